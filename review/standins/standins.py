"""Stand-ins for the review's scripts: the platform's store, backend servers, callers, and the
gateways as separate processes. Everything listens on loopback addresses with free ports."""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
STARTED = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - STARTED


class CannotRun(Exception):
    """The case could not be set up; the script exits with 2."""


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / 'record.txt', 'w')

    def line(self, text):
        self.file.write(f'{now():9.3f} {text}\n')

    def close(self):
        self.file.close()


_given = set()


def free_port():
    """Returns a free port below those that outgoing connections get. REVIEW_PORTS names the first of 1,500
    ports for scripts that run side by side."""
    first = int(os.environ.get('REVIEW_PORTS', 12_000))
    last = first + 1_500 if 'REVIEW_PORTS' in os.environ else 32_000
    for _ in range(1_000):
        port = random.randrange(first, last)
        with socket.socket() as s:
            try:
                s.bind(('127.0.0.1', port))
            except OSError:
                continue
        if port not in _given:
            _given.add(port)
            return port
    raise CannotRun('no free port')


# HTTP

class Head:
    def __init__(self, first, headers):
        self.first = first
        self.headers = headers

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Reads a head; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if ':' in line:
            name, value = line.split(':', 1)
            headers[name.strip().lower()] = value.strip()
    return Head(lines[0], headers)


async def read_body(reader, head):
    """Reads the body of a request or of a framed response."""
    if head.get('transfer-encoding', '').lower() == 'chunked':
        out = b''
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return out
            out += data[:-2]
    length = int(head.get('content-length', 0))
    return await reader.readexactly(length) if length else b''


def http_response(status, body=b'', headers=(), reason='X'):
    lines = [f'HTTP/1.1 {status} {reason}', f'Content-Length: {len(body)}']
    lines += [f'{n}: {v}' for n, v in headers]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


# The platform's store

class Store:
    """The platform's key-value store: keys, revisions, watches, transactions and leases."""

    def __init__(self, record):
        self.record = record
        self.port = free_port()
        self.items = {}
        self.revision = 100
        self.history = []
        self.leases = {}
        self.next_lease = 1000
        self.changed = asyncio.Condition()
        self.down = False
        # The label of the port over which the last write under a condition arrived.
        self.last_conditional_writer = None

    async def start(self):
        await self.listen(self.port, None)

    async def listen(self, port, label):
        """Serves one more port; calls over it are known by `label`."""
        await asyncio.start_server(lambda r, w: self.serve(r, w, label), '127.0.0.1', port)

    async def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {}).get('created', self.revision)
        text = base64.b64encode(value).decode()
        item = {'key': key, 'value': text, 'revision': self.revision, 'created': created, 'lease': lease}
        self.items[key] = item
        self.history.append(item)
        async with self.changed:
            self.changed.notify_all()

    async def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.history.append({'key': key, 'revision': self.revision, 'removed': True})
        async with self.changed:
            self.changed.notify_all()

    def value(self, key):
        item = self.items.get(key)
        return item and base64.b64decode(item['value'])

    async def serve(self, reader, writer, label):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head)
                if self.down:
                    await asyncio.sleep(3600)
                status, reply = await self.answer(head, body, label)
                await asyncio.sleep(0.004)
                headers = [('Content-Type', 'application/json'), ('Store-Era', '1')]
                writer.write(http_response(status, json.dumps(reply).encode(), headers))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, head, body, label):
        method, target, _ = head.first.split(' ')
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        path = url.path
        if path == '/api/kv-key':
            item = self.items.get(query['key'])
            return (200, {**item, 'storeRevision': self.revision}) if item else (404, {})
        if path == '/api/kv-range':
            keys = sorted(k for k in self.items if k.startswith(query.get('prefix', '')))
            if 'after' in query:
                keys = [k for k in keys if k > query['after']]
            page = [self.items[k] for k in keys[:500]]
            return 200, {'items': page, 'hasMore': len(keys) > 500, 'storeRevision': self.revision}
        if path == '/api/kv-watch':
            return await self.watch(query)
        if path == '/api/kv-txn':
            return await self.txn(json.loads(body), label)
        if path == '/api/kv-lease':
            self.next_lease += 1
            ttl = json.loads(body)['ttlMs']
            self.leases[self.next_lease] = ttl
            return 200, {'lease': self.next_lease, 'ttlMs': ttl}
        if path.startswith('/api/kv-keep/'):
            ttl = self.leases.get(int(path.rsplit('/', 1)[1]))
            return (200, {'ttlMs': ttl}) if ttl else (404, {})
        if path.startswith('/api/kv-lease-end/'):
            lease = int(path.rsplit('/', 1)[1])
            self.leases.pop(lease, None)
            for key in [k for k, i in self.items.items() if i['lease'] == lease]:
                await self.remove(key)
            return 200, {}
        return 404, {}

    async def watch(self, query):
        prefix, after = query['prefix'], int(query['after'])
        end = time.monotonic() + int(query['waitMs']) / 1000
        while True:
            events = [e for e in self.history if e['revision'] > after and e['key'].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'storeRevision': self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def txn(self, txn, label):
        current = lambda key: self.items.get(key, {}).get('revision', 0)
        rows = txn.get('expectRev', [])
        if any(current(r['key']) != r['revision'] for r in rows):
            items = [self.items[r['key']] for r in rows if r['key'] in self.items]
            return 412, {'items': items}
        if rows:
            self.last_conditional_writer = label
            self.record.line(f'the store accepted a write of {label} under a condition: {rows[0]["key"]}')
        for w in txn.get('writes', []):
            await self.put(w['key'], base64.b64decode(w['value']), w.get('lease', 0))
        for key in txn.get('remove', []):
            await self.remove(key)
        return 200, {'revision': self.revision}


# Backend servers

class Request:
    def __init__(self, head, body, at):
        self.head = head
        self.body = body
        self.at = at
        self.method, self.target, _ = head.first.split(' ')
        self.attempt = head.get('toucanchute-attempt-id', '')
        self.usage = head.get('toucanchute-token-usage', '')


class Replica:
    """A backend server. `respond(replica, request, reader, writer)` answers one request and returns
    whether the connection goes on."""

    def __init__(self, store, record, name, service, zone, respond, slots=64):
        self.store, self.record, self.name = store, record, name
        self.service, self.zone, self.respond, self.slots = service, zone, respond, slots
        self.port = free_port()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.arrivals = []
        self.running = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', self.port)
        await self.register()

    async def register(self):
        self.sequence += 1
        entry = {'service': self.service, 'address': f'127.0.0.1:{self.port}', 'zone': self.zone,
                 'version': 'v1', 'slots': self.slots, 'state': self.state, 'coldLeftMs': 0,
                 'sequence': self.sequence, 'born': self.born}
        if self.service == 'llm':
            entry.update(stage='both', models=[{'name': 'm', 'version': 1, 'adapters': []}])
        await self.store.put(f'servers/{self.name}', json.dumps(entry).encode())

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head)
                request = Request(head, body, now())
                expected = head.get('toucanchute-expect-replica')
                if expected not in (None, self.name):
                    writer.write(http_response(421, b'', [('Toucanchute-Attempt-Id', request.attempt)]))
                    await writer.drain()
                    continue
                self.arrivals.append(request)
                self.record.line(f'arrived {request.attempt} at {self.name}: {head.first}')
                self.running += 1
                try:
                    if not await self.respond(self, request, reader, writer):
                        return
                finally:
                    self.running -= 1
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def seal_headers(self, request):
        return [('Toucanchute-Attempt-Id', request.attempt),
                ('Toucanchute-Response-Seal', f'seal.{self.name}.{request.attempt}'),
                ('Toucanchute-Replica-Load', f'{self.running},0,{self.slots}')]

    def stream_head(self, request):
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream', 'Transfer-Encoding: chunked']
        lines += [f'{n}: {v}' for n, v in self.seal_headers(request)]
        return ('\r\n'.join(lines) + '\r\n\r\n').encode()


def chunk(data):
    return f'{len(data):x}\r\n'.encode() + data + b'\r\n'


async def plain_answer(replica, request, reader, writer, body=b'served', work_s=0.02):
    await asyncio.sleep(work_s)
    writer.write(http_response(200, body, replica.seal_headers(request), 'OK'))
    await writer.drain()
    replica.record.line(f'run {request.attempt} at {replica.name}: 200')
    return True


# Gateways

def render(template, values):
    """Fills in the placeholders of a template as the users' page on deployment says."""
    def find(scope, path):
        value = scope
        for part in path.split('.'):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                value = None
        return value

    section = re.compile(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', re.S)
    template = section.sub(lambda m: m[2] if find(values, m[1]) else '', template)

    def text(m):
        value = find(values, m[1])
        if value is None:
            return ''
        return ','.join(map(str, value)) if isinstance(value, list) else str(value)

    return re.sub(r'\{\{([\w.]+)\}\}', text, template)


class Gateway:
    """One gateway process, started with the command of deploy/system.toml."""

    def __init__(self, folder, store, name, zone, record, store_port=None, bounds=None, limits=None):
        self.name, self.zone, self.record = name, zone, record
        self.front, self.ready, self.directory = free_port(), free_port(), free_port()
        self.peer = free_port()
        self.log_path = pathlib.Path(folder) / f'{name}.log'
        self.settings = pathlib.Path(folder) / f'{name}.ini'
        self.process = None
        role = tomllib.loads((ROOT / 'deploy/system.toml').read_text())['roles']['gateway']
        values = {
            'node': name, 'zone': zone, 'region': 'cantabrico', 'ip': '127.0.0.1',
            'internalPorts': [self.peer, self.peer],
            'limits': {'cpuQuota': 0.25, 'cores': 1, 'memoryMb': 260, 'maxFds': 4100, **(limits or {})},
            'listen': {'front': f'127.0.0.1:{self.front}', 'ready': f'127.0.0.1:{self.ready}',
                       'directory': f'127.0.0.1:{self.directory}'},
            'bounds': {'drainMs': 2000, 'configApplyMs': 2000, 'retryBudgetRatio': 0.2,
                       'retryAllowance': 54, 'graceS': 8, **(bounds or {})},
            'platform': {'address': f'127.0.0.1:{store.port}'},
        }
        content = render((ROOT / role['template']).read_text(), values)
        if store_port:
            # The secret of the peers stays that of the common address of the store.
            content = content.replace(f'endpoint = 127.0.0.1:{store.port}', f'endpoint = 127.0.0.1:{store_port}')
        # All processes share one address here, so that each needs a metrics port of its own.
        content = content.replace('127.0.0.1:9464', f'127.0.0.1:{free_port()}')
        self.settings.write_text(content)
        self.command = [str(self.settings) if w.startswith('/etc/') else w for w in role['run'].split()]

    def start(self):
        program = ROOT / self.command[0]
        if not program.exists():
            raise CannotRun(f'{self.command[0]} is missing: run the build of deploy/system.toml')
        env = {k: os.environ[k] for k in ('PATH', 'HOME', 'LANG') if k in os.environ}
        with open(self.log_path, 'ab') as log:
            self.process = subprocess.Popen([str(program)] + self.command[1:], cwd=ROOT, env=env,
                                            stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.record.line(f'started {self.name}')

    def signal(self, number):
        self.record.line(f'{signal.Signals(number).name} to {self.name}')
        self.process.send_signal(number)

    def exited(self):
        return self.process is not None and self.process.poll() is not None

    def rss_mb(self):
        try:
            text = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0.0
        found = re.search(r'VmRSS:\s+(\d+) kB', text)
        return int(found[1]) / 1024 if found else 0.0

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection('127.0.0.1', self.ready)
            writer.write(b'GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n')
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and ' 200' in head.first
        except (OSError, asyncio.TimeoutError):
            return False

    async def stop(self):
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


async def start_gateways(folder, store, record, gateways, count, bounds=None, limits=None):
    """Starts gateways, each with a store port of its own, and waits until they are ready and have
    found each other."""
    zones = ['bilbao', 'santander', 'oviedo', 'pamplona']
    for i in range(count):
        port, name = free_port(), f'front-{zones[i % 4]}-{i // 4 + 1}'
        await store.listen(port, name)
        g = Gateway(folder, store, name, zones[i % 4], record, port, bounds, limits)
        gateways.append(g)
        g.start()
    await wait_ready(gateways)
    # The users' traffic starts 10 s after the machines.
    await asyncio.sleep(6)


async def wait_ready(gateways, seconds=15):
    end = now() + seconds
    while now() < end:
        ready = await asyncio.gather(*(g.is_ready() for g in gateways))
        if all(ready):
            return
        await asyncio.sleep(0.1)
    raise CannotRun('the gateways did not become ready')


# Callers

class Answer:
    """What a caller saw of one request."""

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b''
        self.complete = False
        self.error = ''
        self.sent_at = 0.0
        self.ended_at = 0.0

    def __str__(self):
        whole = 'complete' if self.complete else f'cut ({self.error})'
        return f'{self.status} {whole}, {len(self.body)} bytes'


class Connection:
    """A caller's connection to a gateway."""

    def __init__(self, port, limit=2 ** 16):
        self.port, self.limit = port, limit

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection('127.0.0.1', self.port, limit=self.limit)
        return self

    async def request(self, method, path, headers, body=b'', keep=None):
        """Sends a request and reads its answer. `keep` is called with each piece of the body in place
        of collecting it; it may be a coroutine function."""
        a = Answer()
        lines = [f'{method} {path} HTTP/1.1']
        lines += [f'{n}: {v}' for n, v in headers]
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        a.sent_at = now()
        try:
            self.writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)
            await self.writer.drain()
            head = await read_head(self.reader)
            if head is None:
                a.error = 'connection closed without an answer'
                return a
            a.status, a.headers = int(head.first.split(' ')[1]), head.headers
            if head.get('transfer-encoding', '').lower() == 'chunked':
                while True:
                    size = int((await self.reader.readuntil(b'\r\n')).strip(), 16)
                    data = await self.reader.readexactly(size + 2)
                    if size == 0:
                        break
                    if keep:
                        await keep(data[:-2])
                    else:
                        a.body += data[:-2]
            else:
                length = int(head.get('content-length', 0))
                a.body = await self.reader.readexactly(length) if length else b''
            a.complete = True
        except (ConnectionError, asyncio.IncompleteReadError) as e:
            a.error = type(e).__name__
        finally:
            a.ended_at = now()
        return a

    def close(self):
        self.writer.close()


def llm_headers(attempt, key, usage, deadline_ms, prefix):
    """Headers of a request to a model."""
    return [('Host', 'a.example'), ('Toucanchute-Attempt-Id', attempt), ('Toucanchute-Model', 'm'),
            ('Toucanchute-Token-Usage', usage), ('Toucanchute-Prompt-Prefix', prefix),
            ('Toucanchute-Request-Deadline', str(deadline_ms)), ('Authorization', f'Token {key}')]


def llm_config(version, prepaid, resumable=False, attempts=1, timeout_ms=15000, stride=6):
    """A configuration with one model service, one booking service and one tenant."""
    route = {'host': 'a.example', 'goalMs': 1000, 'priority': 1, 'public': False}
    return json.dumps({
        'version': version,
        'routes': [
            {**route, 'name': 'r-llm', 'prefix': '/llm/', 'kind': 'streaming', 'timeoutMs': timeout_ms,
             'service': 'llm', 'attempts': attempts, 'sticky': True, 'resumable': resumable,
             'gapTargetMs': 600},
            {**route, 'name': 'r-book', 'prefix': '/book/', 'kind': 'non_idempotent', 'timeoutMs': 800,
             'goalMs': 150, 'service': 'desk', 'attempts': 1},
            {**route, 'name': 'r-look', 'prefix': '/look/', 'kind': 'safe', 'timeoutMs': 800,
             'goalMs': 150, 'service': 'desk', 'attempts': 2}],
        'services': [
            {'name': 'llm', 'healthPath': '/health', 'maxConnections': 360, 'protocol': 'h1', 'tls': False,
             'engine': {'slots': 64, 'kvCapacity': 500078, 'kvTokenBytes': 18432, 'stride': stride,
                        'models': [{'name': 'm'}]}},
            {'name': 'desk', 'healthPath': '/health', 'maxConnections': 100, 'protocol': 'h1', 'tls': False}],
        'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304, 'headerTimeoutMs': 3000,
                   'idleTimeoutMs': 15000},
        'tenants': [{'name': 't1', 'apiKeys': ['key-of-t1'], 'priority': 1, 'prepaid': prepaid}],
    }).encode()


async def one_request(port, method, path, headers, body=b'', keep=None):
    try:
        conn = await Connection(port).open()
    except OSError as e:
        a = Answer()
        a.sent_at = a.ended_at = now()
        a.error = f'not connected: {type(e).__name__}'
        return a
    answer = await conn.request(method, path, headers, body, keep)
    conn.close()
    return answer


def run_case(folder, case):
    """Runs `case(record, folder, trouble)`, which returns whether the rule was broken, and exits."""
    record = Record(folder)
    trouble = os.environ.get('TROUBLE', '1') != '0'
    temporary = tempfile.mkdtemp(prefix='toucanchute-review-')
    gateways = []
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    async def bounded():
        return await asyncio.wait_for(case(record, temporary, trouble, gateways), 112)

    code = 2
    try:
        code = 1 if asyncio.run(bounded()) else 0
    except CannotRun as e:
        print(f'cannot run: {e}')
        record.line(f'cannot run: {e}')
    except (Exception, asyncio.TimeoutError) as e:
        print(f'cannot run: {e!r}')
        record.line(f'cannot run: {e!r}')
        if os.environ.get('REVIEW_DEBUG'):
            raise
    finally:
        for g in gateways:
            if g.process is not None:
                if g.process.poll() is None:
                    g.process.kill()
                g.process.wait()
        if os.environ.get('REVIEW_KEEP'):
            print('logs in', temporary)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
        record.line(f'exit code {code}')
        record.close()
    sys.exit(code)
