"""Stand-ins for the scripts of this review: the platform's store, replicas, clients and the start of routers.

Everything listens on 127.0.0.1 at free ports. The store and the replicas run as threads of the script, routers as
processes of their own, by the command and the template of the deploy file.
"""
import base64, json, os, pathlib, queue, random, re, shutil, signal, socket, subprocess, sys, tempfile, threading, time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HEARTBEAT_S = 1.2
SILENT_HEARTBEATS = 3

# Record


class Record:
    """Writes what was sent, answered and run to `record.txt`, with the time since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / 'record.txt', 'w')
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        with self.lock:
            self.file.write(f'{self.now():8.3f} {text}\n')
            self.file.flush()


# HTTP


class Broken(Exception):
    """The peer closed or reset the connection."""


class Reader:
    """Reads HTTP messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buf = b''

    def fill(self):
        try:
            data = self.sock.recv(65536)
        except OSError as e:
            raise Broken(str(e)) from e
        if not data:
            raise Broken('closed')
        self.buf += data

    def until(self, mark):
        while mark not in self.buf:
            self.fill()
        part, self.buf = self.buf.split(mark, 1)
        return part

    def exactly(self, count):
        while len(self.buf) < count:
            self.fill()
        part, self.buf = self.buf[:count], self.buf[count:]
        return part

    def head(self):
        lines = self.until(b'\r\n\r\n').decode('latin-1').split('\r\n')
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
        return lines[0], headers

    def chunk(self):
        size = int(self.until(b'\r\n').split(b';')[0], 16)
        data = self.exactly(size)
        self.exactly(2)
        return data

    def body(self, headers):
        if 'chunked' in headers.get('transfer-encoding', ''):
            parts = []
            while True:
                data = self.chunk()
                if not data:
                    return b''.join(parts)
                parts.append(data)
        return self.exactly(int(headers.get('content-length', '0')))


def listen():
    """Listens at a free port below those of outgoing connections, which could take it while its owner is down."""
    for _ in range(200):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(('127.0.0.1', random.randrange(10_000, 32_000)))
            sock.listen(256)
            return sock
        except OSError:
            sock.close()
    raise RuntimeError('no free port')


def address_of(sock):
    return '%s:%d' % sock.getsockname()


def free_ports(count):
    socks = [listen() for _ in range(count)]
    ports = [s.getsockname()[1] for s in socks]
    for s in socks:
        s.close()
    return ports


def spawn(f, *args):
    threading.Thread(target=f, args=args, daemon=True).start()


def message(first_line, headers, body=b''):
    lines = [first_line] + [f'{name}: {value}' for name, value in headers]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


# The platform's store


class Store:
    """The platform's store as PROTOCOL.md tells it, with `Store-Era` in all its answers."""

    def __init__(self, record, era=1):
        self.record = record
        self.era = era
        self.items = {}
        self.history = []
        self.revision = 100
        self.next_lease = 1
        self.leases = {}
        self.copies = []
        self.is_up = True
        self.changed = threading.Condition()
        self.turned_away = set()
        self.address = self.door('all')
        spawn(self.tick)

    def door(self, machine):
        """Returns an address for the calls of one machine, which may be turned away (503) while others are served."""
        sock = listen()
        spawn(self.accept, sock, machine)
        return address_of(sock)

    # What the operator and the replicas write

    def put(self, key, document):
        with self.changed:
            self.write(key, json.dumps(document).encode(), 0)
            self.changed.notify_all()

    def remove(self, key):
        with self.changed:
            self.delete(key)
            self.changed.notify_all()

    def write(self, key, value, lease):
        self.revision += 1
        created = self.items[key]['created'] if key in self.items else self.revision
        item = {'key': key, 'value': base64.b64encode(value).decode(), 'revision': self.revision,
                'created': created, 'lease': lease}
        self.items[key] = item
        self.history.append(item)

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append({'key': key, 'revision': self.revision, 'removed': True})

    # Drill

    def tick(self):
        while True:
            time.sleep(0.25)
            with self.changed:
                now = time.monotonic()
                self.copies.append((now, self.revision, dict(self.items), dict(self.leases)))
                self.copies = [c for c in self.copies if now - c[0] < 20]
                for lease, (ttl, ends) in list(self.leases.items()):
                    if now > ends:
                        self.end_lease(lease)

    def drill(self, away_s, copy_age_s):
        """Is away for a moment, and comes back from a copy that is some seconds old. What the operator and the
        replicas wrote is written again at once."""
        self.record(f'store: away for {away_s} s (drill)')
        with self.changed:
            self.is_up = False
            self.changed.notify_all()
        time.sleep(away_s)
        with self.changed:
            written = {k: v for k, v in self.items.items() if k.startswith(('op/', 'servers/'))}
            old = [c for c in self.copies if time.monotonic() - c[0] >= copy_age_s] or self.copies[:1]
            _, self.revision, items, leases = old[-1]
            self.items, self.leases = dict(items), dict(leases)
            self.history = []
            self.era += 1
            for key, item in written.items():
                self.write(key, base64.b64decode(item['value']), 0)
            self.is_up = True
            self.changed.notify_all()
        self.record(f'store: back from a copy that is about {copy_age_s} s old, Store-Era {self.era}')

    # The API

    def accept(self, sock, machine):
        while True:
            conn, _ = sock.accept()
            spawn(self.serve, conn, machine)

    def serve(self, conn, machine):
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = Reader(conn)
        try:
            while True:
                first, headers = reader.head()
                body = reader.body(headers)
                method, target, _ = first.split(' ')
                with self.changed:
                    up = self.is_up
                if not up:
                    conn.close()
                    return
                if machine in self.turned_away:
                    status, answer = 503, {}
                else:
                    status, answer = self.call(method, target, body)
                if machine in self.turned_away:
                    # A watch that waited is turned away too.
                    status, answer = 503 if status and method == 'GET' else status, answer
                if status is None:
                    conn.close()
                    return
                data = json.dumps(answer).encode()
                conn.sendall(message(f'HTTP/1.1 {status} X', [
                    ('Content-Type', 'application/json'), ('Content-Length', len(data)), ('Store-Era', self.era)], data))
        except (Broken, OSError, ValueError):
            conn.close()

    def call(self, method, target, body):
        path, _, query = target.partition('?')
        params = dict(p.partition('=')[::2] for p in query.split('&') if p)
        text = lambda name: re.sub('%([0-9A-Fa-f]{2})', lambda m: chr(int(m[1], 16)), params.get(name, ''))
        if path == '/api/kv-watch':
            return self.watch(text('prefix'), int(text('after')), int(text('waitMs') or 0) / 1000)
        with self.changed:
            if path == '/api/kv-key':
                item = self.items.get(text('key'))
                return (200, dict(item, storeRevision=self.revision)) if item else (404, {'storeRevision': self.revision})
            if path == '/api/kv-range':
                keys = sorted(k for k in self.items if k.startswith(text('prefix')) and k > text('after'))
                items = [self.items[k] for k in keys[:50]]
                return 200, {'items': items, 'hasMore': len(keys) > 50, 'storeRevision': self.revision}
            if path == '/api/kv-txn':
                return self.txn(json.loads(body))
            if path == '/api/kv-lease':
                ttl = json.loads(body)['ttlMs'] / 1000
                lease = self.next_lease
                self.next_lease += 1
                self.leases[lease] = (ttl, time.monotonic() + ttl)
                return 200, {'lease': lease, 'ttlMs': int(ttl * 1000)}
            lease = int(path.rsplit('/', 1)[1])
            if lease not in self.leases:
                return 404, {}
            if path.startswith('/api/kv-keep/'):
                ttl, _ = self.leases[lease]
                self.leases[lease] = (ttl, time.monotonic() + ttl)
                return 200, {'ttlMs': int(ttl * 1000)}
            if path.startswith('/api/kv-lease-end/'):
                self.end_lease(lease)
                return 200, {}
        return 404, {}

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item['lease'] == lease]:
            self.delete(key)
        self.changed.notify_all()

    def txn(self, txn):
        for row in txn.get('expectRev', []):
            item = self.items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                items = [self.items.get(r['key'], {'key': r['key'], 'revision': 0, 'removed': True})
                         for r in txn['expectRev']]
                return 412, {'items': items}
        keys = [w['key'] for w in txn.get('writes', [])] + txn.get('remove', [])
        if any(k.startswith(('op/', 'servers/')) for k in keys):
            return 403, {}
        if any(w.get('lease') and w['lease'] not in self.leases for w in txn.get('writes', [])):
            return 404, {}
        for w in txn.get('writes', []):
            self.write(w['key'], base64.b64decode(w['value']), w.get('lease') or 0)
        for key in txn.get('remove', []):
            self.delete(key)
        self.changed.notify_all()
        return 200, {'revision': self.revision}

    def watch(self, prefix, after, wait_s):
        until = time.monotonic() + wait_s
        with self.changed:
            era = self.era
            while True:
                if not self.is_up:
                    return None, None
                # A revision that this era's history does not reach back to is no longer available.
                first = self.history[0]['revision'] if self.history else self.revision + 1
                if era != self.era or after > self.revision or after + 1 < first:
                    return 410, {}
                events = [e for e in self.history if e['revision'] > after and e['key'].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {'events': events, 'storeRevision': self.revision}
                self.changed.wait(left)


# Replicas


class Request:
    def __init__(self, replica, conn, reader, first, headers, body):
        self.replica, self.conn, self.reader = replica, conn, reader
        self.method, self.path, _ = first.split(' ')
        self.headers, self.body = headers, body
        self.id = headers.get('toucanchute-attempt-id', '')

    def answer_head(self, status, extra=()):
        seal = [('Toucanchute-Response-Seal', f'{self.replica.id}.{self.id}')]
        return message(f'HTTP/1.1 {status} X', [('Toucanchute-Attempt-Id', self.id)] + seal + list(extra))

    def send(self, data):
        self.conn.sendall(data)

    def answer(self, status, body, extra=()):
        self.send(self.answer_head(status, [('Content-Length', len(body))] + list(extra)) + body)

    def caller_left(self):
        """Whether the connection was closed while the request runs."""
        self.conn.setblocking(False)
        try:
            return self.conn.recv(1, socket.MSG_PEEK) == b''
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            self.conn.setblocking(True)

    def stream(self, events, pause_s, text=lambda n: f'piece {n}', until=lambda: False, after=0):
        """Sends a stream of events, each a chunk. Stops when the caller left, or without its end once `until`."""
        self.send(self.answer_head(200, [('Content-Type', 'text/event-stream'), ('Transfer-Encoding', 'chunked')]))
        for n in range(after + 1, events + 1):
            if until() or self.caller_left():
                return False
            data = f'id: {n}\ndata: {text(n)}\n\n'.encode()
            self.send(b'%x\r\n%s\r\n' % (len(data), data))
            time.sleep(pause_s)
        self.send(b'0\r\n\r\n')
        return True


class Replica:
    """A replica that registers itself. `handle(request)` answers what it runs."""

    def __init__(self, store, record, service, id, zone, handle, slots=64, version='v1'):
        self.store, self.record, self.service, self.id, self.zone = store, record, service, id, zone
        self.handle, self.slots, self.version = handle, slots, version
        self.sock = listen()
        self.port = self.sock.getsockname()[1]
        self.last_beat = time.monotonic()
        self.start()

    def start(self, first_beat_s=0.0):
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.dark = False
        self.run = object()
        self.conns = set()
        spawn(self.beat, self.run, first_beat_s)
        spawn(self.accept, self.sock, self.run)

    def restart(self, version, first_beat_s):
        """Starts again under its id and address."""
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(('127.0.0.1', self.port))
        self.sock.listen(256)
        self.version = version
        self.start(first_beat_s)
        self.record(f'replica {self.id}: starts again, version {version}, born {self.born}')

    def crash(self):
        """Ends without a word: its port refuses and its connections end."""
        self.record(f'replica {self.id} ({self.version}): crashes')
        self.run = None
        spawn(self.expire)
        # Ends a waiting accept too, which would hold the port open.
        self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        for conn in list(self.conns):
            try:
                conn.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            conn.close()

    def go_dark(self):
        """Loses its power: connections stay silent, no request is answered, and it writes nothing more."""
        self.record(f'replica {self.id}: goes dark')
        self.dark = True
        self.run = None
        # New connections hang: nothing is accepted, and the queue of the port is full.
        self.sock.listen(0)
        self.fillers = [socket.socket() for _ in range(4)]
        for filler in self.fillers:
            filler.setblocking(False)
            filler.connect_ex(('127.0.0.1', self.port))
        spawn(self.expire)

    def expire(self):
        """Removes the entry after three heartbeats of silence, unless the replica has written it again."""
        last = self.last_beat
        time.sleep(max(0.0, last + SILENT_HEARTBEATS * HEARTBEAT_S - time.monotonic()))
        if self.last_beat == last:
            self.store.remove(f'servers/{self.id}')
            self.record(f'store: the entry of {self.id} is removed after {SILENT_HEARTBEATS} silent heartbeats')

    def entry(self):
        self.sequence += 1
        return {'service': self.service, 'address': f'127.0.0.1:{self.port}', 'zone': self.zone,
                'version': self.version, 'slots': self.slots, 'state': 'ready', 'coldLeftMs': 0,
                'sequence': self.sequence, 'born': self.born}

    def beat(self, run, first_beat_s):
        time.sleep(first_beat_s)
        while self.run is run:
            self.last_beat = time.monotonic()
            self.store.put(f'servers/{self.id}', self.entry())
            time.sleep(HEARTBEAT_S)

    def accept(self, sock, run):
        while self.run is run:
            try:
                conn, _ = sock.accept()
            except OSError:
                return
            self.conns.add(conn)
            spawn(self.serve, conn, run)

    def serve(self, conn, run):
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = Reader(conn)
        try:
            while True:
                first, headers = reader.head()
                body = reader.body(headers)
                if self.run is not run:
                    # A dark replica neither answers nor closes.
                    time.sleep(200)
                req = Request(self, conn, reader, first, headers, body)
                expected = headers.get('toucanchute-expect-replica', self.id)
                if req.path == '/health':
                    conn.sendall(message('HTTP/1.1 200 X', [('Content-Length', 0), ('Toucanchute-Replica-Id', self.id)]))
                elif expected != self.id:
                    req.answer(421, b'')
                else:
                    self.handle(req)
        except (Broken, OSError, ValueError):
            conn.close()
        finally:
            self.conns.discard(conn)


# Routers


def lookup(fields, path):
    for name in path.split('.'):
        if isinstance(fields, list):
            fields = fields[int(name)] if int(name) < len(fields) else None
        else:
            fields = fields.get(name) if isinstance(fields, dict) else None
        if fields is None:
            return None
    return fields


def render(template, fields):
    """Fills in the template of the deploy file, as DEPLOY.md tells it."""

    def section(match):
        value, inner = lookup(fields, match[1]), match[2]
        if isinstance(value, dict):
            entries = [inner.replace('{{@}}', str(k)).replace('{{.}}', str(v)) for k, v in value.items()]
            return ''.join(e.replace('{{,}}', ',' if n + 1 < len(entries) else '') for n, e in enumerate(entries))
        return render(inner, fields) if value not in (None, False) else ''

    template = re.sub(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', section, template, flags=re.S)
    value = lambda m: str(lookup(fields, m[1]) if lookup(fields, m[1]) is not None else '')
    return re.sub(r'\{\{([\w.]+)\}\}', value, template)


BOUNDS = {'drainMs': 2000, 'configApplyMs': 2000, 'graceS': 8, 'retryBudgetRatio': 0.2, 'retryAllowance': 54}


class Router:
    """A process of the project: the command and the template of deploy/system.toml."""

    def __init__(self, record, folder, store, name, zone, zones, own_door=False):
        self.record, self.name = record, name
        front, ready, directory, peer, spare, metrics = free_ports(6)
        fields = {'node': name, 'zone': zone, 'region': 'r1', 'zones': {z: 'r1' for z in zones}, 'ip': '127.0.0.1',
                  'internalPorts': [peer, spare], 'platform': {'address': store.door(name) if own_door else store.address},
                  'listen': {'front': f'127.0.0.1:{front}', 'ready': f'127.0.0.1:{ready}',
                             'directory': f'127.0.0.1:{directory}'},
                  'limits': {'cpuQuota': 0.25, 'cores': 1, 'linkMbps': 1000.0, 'maxFds': 4100}, 'bounds': BOUNDS}
        template = (ROOT / 'deploy/gateway.ini').read_text()
        # Several machines share this one, so each has a metrics port of its own.
        text = render(template, fields).replace(':9464', f':{metrics}')
        text = re.sub('peer_secret = .*', 'peer_secret = one-fleet', text)
        self.front, self.ready_port, self.directory = front, ready, directory
        self.settings = pathlib.Path(folder) / f'{name}.ini'
        self.settings.write_text(text)
        self.log = open(pathlib.Path(folder) / f'{name}.log', 'ab')
        self.start()

    def start(self):
        command = [str(ROOT / 'target/release/toucanchute-router'), 'gateway', '--settings', str(self.settings)]
        self.process = subprocess.Popen(command, cwd=ROOT, stdout=self.log, stderr=subprocess.STDOUT)
        self.record(f'router {self.name}: started')

    def kill(self):
        self.record(f'router {self.name}: SIGKILL')
        self.process.kill()
        self.process.wait()

    def is_ready(self):
        try:
            with socket.create_connection(('127.0.0.1', self.ready_port), 1) as sock:
                sock.sendall(b'GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n')
                return b' 200 ' in Reader(sock).until(b'\r\n')
        except (OSError, Broken):
            return False

    def wait_ready(self, timeout_s=15):
        until = time.monotonic() + timeout_s
        while not self.is_ready():
            if time.monotonic() > until:
                raise RuntimeError(f'router {self.name} did not get ready')
            time.sleep(0.05)
        self.record(f'router {self.name}: ready')

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


# Clients


class Answer:
    def __init__(self):
        self.status, self.headers, self.body, self.complete, self.error = None, {}, b'', False, ''

    def __str__(self):
        end = 'whole' if self.complete else f'incomplete ({self.error})'
        return f'{self.status} {end} {self.body[:160]!r}'


def ask(port, method, path, id, key=None, body=b'', deadline_ms=1500, extra=(), host='site.example', on_data=None,
        conn=None):
    """Sends one client attempt over a new connection, or over `conn`, and reads the answer."""
    answer = Answer()
    headers = [('Host', host), ('Toucanchute-Attempt-Id', id), ('Toucanchute-Request-Deadline', deadline_ms)]
    headers += [('Authorization', f'Token {key}')] if key else []
    headers += [('Content-Length', len(body))] if body or method == 'POST' else []
    until = time.monotonic() + deadline_ms / 1000 + 1.0
    sock = conn
    try:
        sock = sock or socket.create_connection(('127.0.0.1', port), 1)
        sock.settimeout(max(0.01, until - time.monotonic()))
        sock.sendall(message(f'{method} {path} HTTP/1.1', headers + list(extra), body))
        reader = Reader(sock)
        first, answer.headers = reader.head()
        answer.status = int(first.split(' ')[1])
        if 'chunked' in answer.headers.get('transfer-encoding', ''):
            while True:
                data = reader.chunk()
                if not data:
                    break
                answer.body += data
                if on_data:
                    on_data(data)
        else:
            answer.body = reader.body(answer.headers)
        answer.complete = True
    except (OSError, Broken, ValueError) as e:
        answer.error = str(e)
    finally:
        if conn is None and sock is not None:
            sock.close()
    return answer


def new_id():
    return '%016x' % random.getrandbits(64)


def generation(tokens_in, tokens_out, parts):
    prefix = ','.join(f'{id}:{tokens}' for id, tokens in parts)
    return [('Toucanchute-Model', 'm'), ('Toucanchute-Token-Usage', f'{tokens_in},{tokens_out}'),
            ('Toucanchute-Prompt-Prefix', prefix)]


def events_of(body):
    """Returns the events of a stream as pairs of id and data."""
    found = re.findall(rb'id: (\d+)\ndata: ([^\n]*)\n\n', body)
    return [(int(id), data.decode()) for id, data in found]


# Cases

LIMITS = {'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304, 'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000}


def route(name, prefix, kind, service, **fields):
    return {'name': name, 'host': 'site.example', 'prefix': prefix, 'kind': kind, 'timeoutMs': 15000, 'goalMs': 1000,
            'priority': 1, 'service': service, 'attempts': 2, 'public': False, 'sticky': False, 'resumable': False,
            'gapTargetMs': 600, **fields}


def service(name, slots=None):
    entry = {'name': name, 'healthPath': '/health', 'maxConnections': 360, 'protocol': 'h1', 'tls': False}
    if slots:
        entry['engine'] = {'slots': slots, 'kvCapacity': 500078, 'stride': 6, 'models': [{'name': 'm'}]}
    return entry


def run_case(folder, case):
    """Runs a case and exits with its verdict: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(folder)
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record(f'TROUBLE={int(trouble)}')
    temp = tempfile.mkdtemp(prefix='review-')
    routers = []
    status = 2
    try:
        status = case(record, temp, routers, trouble)
    except Exception as e:  # the case could not run
        record(f'could not run: {type(e).__name__}: {e}')
        print(f'could not run: {type(e).__name__}: {e}')
    finally:
        for r in routers:
            r.end()
        if os.environ.get('KEEP'):
            print(temp)
        else:
            shutil.rmtree(temp, ignore_errors=True)
    record(f'verdict: {["the rule held", "the rule was broken", "could not run"][status]}')
    print(['held', 'broken', 'could not run'][status])
    sys.stdout.flush()
    os._exit(status)
