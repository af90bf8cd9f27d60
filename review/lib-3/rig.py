"""Stand-ins for the scripts of this review: the platform's store, replicas and clients, and the
start of gateways by the commands and the settings template of deploy/.

Python's standard library only; all addresses are loopback addresses.
"""

import asyncio
import base64
import json
import os
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
from urllib.parse import parse_qs, unquote, urlsplit

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PREFIX = "Toucanchute-"


class CannotRun(Exception):
    """The case could not run; the script ends with 2."""


# HTTP messages


class Message:
    """Head and body of a request or a response."""

    def __init__(self, first, headers, body=b""):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, default=None):
        name = name.lower()
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return default

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_head(reader):
    """Reads a head; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as e:
        if e.partial:
            raise
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if line]
    return Message(lines[0], headers)


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        if size == 0:
            while (await reader.readline()).strip():
                pass
            return body
        await reader.readexactly(2)


async def read_body(reader, message):
    if "chunked" in (message.get("Transfer-Encoding") or "").lower():
        return await read_chunks(reader)
    length = int(message.get("Content-Length") or 0)
    return await reader.readexactly(length)


def encode(first, headers, body=b"", length=True):
    lines = [first] + [f"{name}: {value}" for name, value in headers]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


# The platform's store


class Store:
    """The platform's metadata store: keys, transactions, watches and leases."""

    def __init__(self, ip):
        self.ip = ip
        self.items = {}
        self.removed = []
        self.revision = 100
        self.leases = {}
        self.last_lease = 500
        self.changed = asyncio.Event()
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{self.port}"

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.notify()
        return self.revision

    def put_json(self, key, value):
        return self.put(key, json.dumps(value).encode())

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.removed.append({"key": key, "revision": self.revision, "removed": True})
            self.notify()

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while request := await read_head(reader):
                request.body = await read_body(reader, request)
                status, answer = await self.answer(request)
                body = json.dumps(answer).encode()
                head = [("Content-Type", "application/json")]
                writer.write(encode(f"HTTP/1.1 {status} X", head, body))
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        self.expire()
        url = urlsplit(request.target)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        path, body = url.path, json.loads(request.body or b"{}")
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "storeRevision": self.revision}) if item else (404, {})
        if path == "/api/kv-range":
            return 200, self.page(query)
        if path == "/api/kv-watch":
            return await self.watch(query)
        if path == "/api/kv-txn":
            return self.transact(body)
        if path == "/api/kv-lease":
            self.last_lease += 1
            self.leases[self.last_lease] = [time.monotonic() + body["ttlMs"] / 1000, body["ttlMs"]]
            return 200, {"lease": self.last_lease, "ttlMs": body["ttlMs"]}
        name, number = path.rsplit("/", 1)
        lease = self.leases.get(int(number))
        if lease is None:
            return 404, {}
        if name == "/api/kv-keep":
            lease[0] = time.monotonic() + lease[1] / 1000
            return 200, {"ttlMs": lease[1]}
        self.end_lease(int(number))
        return 200, {}

    def page(self, query):
        after = query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > after)
        items = [self.items[k] for k in keys[:500]]
        return {"items": items, "hasMore": len(keys) > 500, "storeRevision": self.revision}

    async def watch(self, query):
        after, until = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            changed = self.changed
            events = [e for e in [*self.items.values(), *self.removed] if e["revision"] > after]
            events = [e for e in events if e["key"].startswith(query["prefix"])]
            left = until - time.monotonic()
            if events or left <= 0:
                events.sort(key=lambda e: e["revision"])
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        expected = body.get("expectRev") or []
        for row in expected:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                current = [self.items[r["key"]] for r in expected if r["key"] in self.items]
                return 412, {"items": current}
        writes = body.get("writes") or []
        if any(w.get("lease") and w["lease"] not in self.leases for w in writes):
            return 404, {}
        for write in writes:
            self.put(write["key"], base64.b64decode(write["value"]), write.get("lease") or 0)
        for key in body.get("remove") or []:
            self.remove(key)
        return 200, {"revision": self.revision}

    def expire(self):
        for lease, (until, _) in list(self.leases.items()):
            if until < time.monotonic():
                self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)


# Replicas


class Replica:
    """A replica that serves one request at a time on a connection and registers itself."""

    def __init__(self, rig, service, answer, slots=64, zone="north", version="v1", engine=False):
        self.rig, self.service, self.answer = rig, service, answer
        self.slots, self.zone, self.version, self.engine = slots, zone, version, engine
        self.id = f"i-{random.randrange(1 << 32):08x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.tasks = set()

    async def start(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port, limit=1 << 17)
        self.address = f"{ip}:{self.server.sockets[0].getsockname()[1]}"
        self.beat_task = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.register()
            await asyncio.sleep(self.rig.heartbeat_s)

    def register(self):
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.engine:
            entry["stage"] = "both"
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        self.rig.store.put_json(f"servers/{self.id}", entry)

    def head(self, request, status="200 OK", seal=True, more=()):
        """First line and headers of an answer to a request."""
        headers = [(PREFIX + "Attempt-Id", request.get(PREFIX + "Attempt-Id") or "")]
        if seal:
            headers.append((PREFIX + "Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"))
        headers.append((PREFIX + "Replica-Load", f"{self.running},0,{self.slots}"))
        return f"HTTP/1.1 {status}", headers + list(more)

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while request := await read_head(reader):
                expected = request.get(PREFIX + "Expect-Replica")
                if request.target == "/health":
                    health = [(PREFIX + "Replica-Id", self.id)]
                    writer.write(encode("HTTP/1.1 200 OK", health))
                elif expected not in (None, self.id):
                    await read_body(reader, request)
                    first, headers = self.head(request, "421 Misdirected Request", seal=False)
                    headers.append((PREFIX + "Replica-Id", self.id))
                    writer.write(encode(first, headers))
                else:
                    self.running += 1
                    try:
                        await self.answer(self, request, reader, writer)
                    finally:
                        self.running -= 1
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    def end(self):
        """Ends as a process does that is killed: its listener first, then its connections."""
        self.beat_task.cancel()
        self.server.close()
        for task in list(self.tasks):
            task.cancel()


# Clients


class Client:
    """A client that keeps its connection."""

    def __init__(self, rig, address):
        self.rig, self.address = rig, address
        self.reader = self.writer = None

    async def connect(self, receive_buffer=None):
        host, port = self.address.rsplit(":", 1)
        sock = socket.socket()
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        self.reader, self.writer = await asyncio.open_connection(sock=sock, limit=1 << 16)

    async def send(self, method, path, key, deadline_ms, body=b"", attempt=None, more=()):
        attempt = attempt or f"{random.randrange(1 << 64):016x}"
        headers = [
            ("Host", self.rig.host),
            (PREFIX + "Attempt-Id", attempt),
            (PREFIX + "Request-Deadline", str(deadline_ms)),
            ("Authorization", f"Token {key}"),
            *more,
        ]
        self.writer.write(encode(f"{method} {path} HTTP/1.1", headers, body, method != "GET"))
        await self.writer.drain()
        return attempt

    async def receive_head(self):
        head = await read_head(self.reader)
        if head is None:
            raise EOFError("the connection was closed without an answer")
        return head

    async def receive(self):
        head = await self.receive_head()
        head.body = await read_body(self.reader, head)
        return head

    def close(self):
        if self.writer:
            self.writer.close()


async def call(rig, address, *args, timeout_s=20, **more):
    """One request on a connection of its own."""
    client = Client(rig, address)
    try:
        await client.connect()
        await client.send(*args, **more)
        return await asyncio.wait_for(client.receive(), timeout_s)
    finally:
        client.close()


# Settings of a gateway


def lookup(scopes, path):
    for scope in scopes:
        value = scope
        for part in path.split("."):
            if isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            elif isinstance(value, dict) and part in value:
                value = value[part]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def render(template, scopes):
    """Fills the placeholders and sections of a template, as DEPLOY.md tells them."""
    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)

    def fill_section(match):
        value = lookup(scopes, match[1])
        if value is None or value is False:
            return ""
        if not isinstance(value, (list, dict)):
            return render(match[2], scopes)
        pairs = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
        parts = []
        for index, (key, entry) in enumerate(pairs):
            part = match[2].replace("{{@}}", str(key)).replace("{{.}}", str(entry))
            part = part.replace("{{,}}", "," if index + 1 < len(pairs) else "")
            parts.append(render(part, [entry, *scopes] if isinstance(entry, dict) else scopes))
        return "".join(parts)

    def fill(match):
        value = lookup(scopes, match[1])
        if isinstance(value, bool):
            return str(value).lower()
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", fill, section.sub(fill_section, template))


class Gateway:
    """A gateway: the program of the deploy file in a process of its own."""

    def __init__(self, rig, number, zone):
        self.rig, self.number, self.zone = rig, number, zone
        self.name = f"front-{zone}-{number}"
        self.ip = rig.ip(20 + number)
        self.ports = [free_port(self.ip) for _ in range(5)]
        front, ready, directory, peer, self.monitor = self.ports
        self.front = f"{self.ip}:{front}"
        self.ready = f"{self.ip}:{ready}"
        self.directory = f"{self.ip}:{directory}"
        self.peer = peer
        self.process = None

    def settings(self):
        rig = self.rig
        scope = {
            "node": self.name,
            "zone": self.zone,
            "region": "home",
            "zones": {zone: "home" for zone in rig.zones},
            "ip": self.ip,
            "internalPorts": [self.peer, self.peer],
            "listen": {"front": self.front, "ready": self.ready, "directory": self.directory},
            "limits": rig.limits,
            "bounds": rig.bounds,
            "platform": {"address": rig.store.address},
        }
        with open(os.path.join(REPOSITORY, "deploy/gateway.ini")) as f:
            text = render(f.read(), [scope])
        # The template takes port 9464, which may be in use here.
        return text.replace(f"{self.ip}:9464", f"{self.ip}:{self.monitor}")

    def start(self):
        path = os.path.join(self.rig.folder, f"{self.name}.ini")
        with open(path, "w") as f:
            f.write(self.settings())
        words = self.rig.run_words.replace("/etc/toucanchute/settings.toml", path).split(" ")
        self.log = open(os.path.join(self.rig.folder, f"{self.name}.log"), "ab")
        environment = {"PATH": os.environ["PATH"], "TOUCANCHUTE_SETTINGS": path}
        self.process = subprocess.Popen(
            words, cwd=REPOSITORY, stdout=self.log, stderr=self.log, env=environment
        )
        return self

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    async def wait_ready(self, timeout_s=15):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            try:
                host, port = self.ready.split(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                head = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
                if head and head.status == 200:
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} was not ready in time")

    def resident_mb(self):
        """Resident memory of the process, as the platform sees it."""
        with open(f"/proc/{self.process.pid}/status") as f:
            for line in f:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


class Rig:
    """A small deployment with its stand-ins, and the record of what happened."""

    host = "ficu95.example"
    heartbeat_s = 1.2
    zones = ["north", "south"]

    def __init__(self, record_path):
        self.net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.folder = tempfile.mkdtemp(prefix="review-3-")
        self.limits = {"cpuQuota": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100}
        self.limits["linkMbps"] = 1000.0
        self.bounds = {
            "drainMs": 2000,
            "configApplyMs": 2000,
            "graceS": 8,
            "retryBudgetRatio": 0.2,
            "retryAllowance": 54,
        }
        self.started = time.monotonic()
        self.record = open(record_path, "w")
        self.gateways = []
        self.version = 3
        with open(os.path.join(REPOSITORY, "deploy/system.toml"), "rb") as f:
            self.run_words = tomllib.load(f)["roles"]["gateway"]["run"]
        if not os.path.exists(os.path.join(REPOSITORY, self.run_words.split(" ")[0])):
            raise CannotRun("the program of the deploy file is not built")

    def ip(self, last):
        return f"{self.net}.{last}"

    def write(self, text):
        self.record.write(f"{time.monotonic() - self.started:8.3f} {text}\n")

    async def start_store(self):
        self.store = Store(self.ip(10))
        await self.store.start()

    async def start_gateways(self, count):
        for number in range(1, count + 1):
            zone = self.zones[(number - 1) % len(self.zones)]
            self.gateways.append(Gateway(self, number, zone).start())
        for gateway in self.gateways:
            await gateway.wait_ready()
        # Routers find each other and choose owners of accounts in the first seconds.
        await asyncio.sleep(3)

    def configure(self, routes, services, tenants):
        self.version += 4
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        config = {"version": self.version, "routes": routes, "services": services}
        self.store.put_json("op/config", {**config, "limits": limits, "tenants": tenants})

    def end(self):
        for gateway in self.gateways:
            gateway.signal(signal.SIGCONT)
            gateway.signal(signal.SIGKILL)
            if gateway.process:
                gateway.process.wait()
                gateway.log.close()
        self.record.close()
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, service, kind, **more):
    """A route as the operator writes it."""
    return {
        "name": name,
        "host": Rig.host,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 15000,
        "goalMs": 1000,
        "priority": 1,
        "service": service,
        "attempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
        **more,
    }


def plain_service(name):
    return {"name": name, "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": False}


def engine_service(name, stride=6):
    engine = {
        "slots": 64,
        "kvCapacity": 500078,
        "kvTokenBytes": 18432,
        "linkMbps": 280000.0,
        "moves": True,
        "backups": True,
        "stride": stride,
        "most": 12,
        "pinMs": 4000.0,
        "holdMs": 2000.0,
        "handleTtlS": 5.0,
        "models": [{"name": "m"}],
    }
    return {**plain_service(name), "maxConnections": 360, "engine": engine}


def main(case, here):
    """Runs a case and ends with 1 if its rule was broken, 0 if it held and 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        rig = Rig(os.path.join(here, "record.txt"))
    except (CannotRun, OSError) as e:
        print(f"cannot run: {e}")
        sys.exit(2)
    code = 2

    async def run():
        # Connections of stand-ins are cancelled at the end, which asyncio would report.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        return await asyncio.wait_for(case(rig, trouble), 110)

    try:
        code = asyncio.run(run())
    except (CannotRun, OSError, asyncio.TimeoutError) as e:
        rig.write(f"cannot run: {e!r}")
        print(f"cannot run: {e!r}")
    finally:
        rig.end()
    sys.exit(code)
