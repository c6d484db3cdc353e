"""Stand-ins for the platform: its store, model runners, clients, and the start of the daemons.

Only the Python standard library is used. Everything listens on loopback addresses.
"""

import asyncio
import json
import os
import random
import signal
import socket
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "wisteriahitch-platform")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "shop.example"
MODEL = "m"


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def write(self, what, **fields):
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():9.3f} {what} {words}\n")
        self.file.flush()


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        parts = urlsplit(target)
        self.path, self.query = parts.path, {k: v[0] for k, v in parse_qs(parts.query).items()}

    def json(self):
        return json.loads(self.body or b"{}")


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    """Yields the chunks of a body."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_body(reader, headers):
    if headers.get("transfer-encoding") == "chunked":
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", "0")))


def encode(status, body=b"", headers=()):
    if not isinstance(body, bytes):
        body = json.dumps(body, separators=(",", ":")).encode()
        headers = [*headers, ("Content-Type", "application/json")]
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def serve(ip, port, handle):
    """Serves HTTP/1.1; `handle(request, reader, writer)` writes the answer, or returns it."""

    async def connection(reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                request = Request(method, target, headers, await read_body(reader, headers))
                answer = await handle(request, reader, writer)
                if answer is not None:
                    writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            if not asyncio.get_running_loop().is_closed():
                writer.close()

    return await asyncio.start_server(connection, ip, port, backlog=512)


class Store:
    """The platform's store: objects by kind, one revision counter, watches."""

    def __init__(self, record):
        self.record, self.revision, self.kinds, self.history = record, 0, {}, []
        self.changed = asyncio.Condition()
        self.on_write = None
        self.watching = {}

    async def start(self, ip):
        server = await serve(ip, 0, self.handle)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]

    async def put(self, kind, name, spec, status=None):
        old = self.kinds.setdefault(kind, {}).get(name)
        if old is not None and old["spec"] == spec and status is None:
            return old
        self.revision += 1
        created = old["metadata"]["created_rev"] if old else self.revision
        metadata = {"name": name, "revision": self.revision, "created_rev": created,
                    "finalizers": [], "deleting": False}
        entry = {"metadata": metadata, "spec": spec, "status": status}
        self.kinds[kind][name] = entry
        self.history.append((self.revision, kind, entry, False))
        async with self.changed:
            self.changed.notify_all()
        return entry

    async def delete(self, kind, name):
        entry = self.kinds.get(kind, {}).pop(name, None)
        if entry is not None:
            self.revision += 1
            metadata = {**entry["metadata"], "revision": self.revision}
            self.history.append((self.revision, kind, {**entry, "metadata": metadata}, True))
            async with self.changed:
                self.changed.notify_all()

    def cut_watches(self, kind):
        """Cuts off the watches that are waiting, with an ordinary close of their connections."""
        writers = self.watching.pop(kind, set())
        for writer in writers:
            writer.close()
        return len(writers)

    async def handle(self, request, _reader, writer):
        await asyncio.sleep(0.004)
        words = [unquote(word) for word in request.path.split("/")[3:]]
        kind, name = words[0], (words[1] if len(words) > 1 else None)
        objects = self.kinds.setdefault(kind, {})
        if request.method == "GET" and name is None:
            if "watch" in request.query:
                waiting = self.watching.setdefault(kind, set())
                waiting.add(writer)
                try:
                    return await self.watch(kind, int(request.query["watch"]),
                                            int(request.query.get("wait_ms", "0")))
                finally:
                    waiting.discard(writer)
            items = [objects[key] for key in sorted(objects) if key > request.query.get("after", "")]
            return encode(200, {"items": items, "has_more": False, "store_revision": self.revision})
        if request.method == "GET":
            return encode(200, objects[name]) if name in objects else encode(404, {})
        if request.method == "DELETE":
            asked = request.query.get("revision")
            if name in objects and asked not in (None, str(objects[name]["metadata"]["revision"])):
                return encode(409, objects[name])
            await self.delete(kind, name)
            return encode(200, {})
        body = request.json()
        if request.method == "POST":
            name = body["metadata"]["name"]
            if name in objects:
                return encode(409, objects[name])
        elif name not in objects:
            return encode(404, {})
        expected = body.get("metadata", {}).get("revision")
        if request.method == "PUT" and expected not in (None, objects[name]["metadata"]["revision"]):
            return encode(409, objects[name])
        if len(words) > 2:
            entry = await self.put(kind, name, objects[name]["spec"], body.get("status"))
        else:
            entry = await self.put(kind, name, body["spec"])
        if self.on_write is not None:
            self.on_write(kind, name, entry)
        return encode(200, entry)

    async def watch(self, kind, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000

        def events():
            return [{"object": entry, "deleted": gone} for revision, of_kind, entry, gone in self.history
                    if of_kind == kind and revision > after]

        async with self.changed:
            while not events() and (left := end - time.monotonic()) > 0:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    break
        return encode(200, {"events": events(), "store_revision": self.revision})


class Runner:
    """A model runner: streams of events, cached parts, orders with swap mode `await`."""

    def __init__(self, record, store, number, ip, event_ms=10, load_s=0.4):
        self.record, self.store, self.ip = record, store, ip
        self.id, self.event_s, self.load_s = f"i-{number}", event_ms / 1000, load_s
        self.version, self.sequence, self.busy, self.beats = 1, 0, False, 0
        self.running, self.orders, self.cached = {}, [], {}
        self.on_order = self.on_start = None

    async def start(self):
        self.server = await serve(self.ip, 0, self.handle)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        await self.register()
        self.heart = asyncio.create_task(self.beat())

    def models(self):
        return [{"name": MODEL, "version": self.version, "adapters": []}]

    async def register(self):
        await self.store.put("servers", self.id, {
            "service": "llm", "addr": self.address, "zone": "zone-a", "version": "1", "slots": 64,
            "state": "ready", "cold_left_ms": 0, "sequence": self.beats, "stage": "colocated",
            "models": self.models()})

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            self.beats += 1

    async def handle(self, request, reader, writer):
        expected = request.headers.get("wisteriahitch-expect-instance", self.id)
        if expected != self.id:
            return encode(421, b"", [("Wisteriahitch-Instance-Id", self.id)])
        if request.path == "/api/report":
            return encode(200, {
                "stage": "colocated", "models": self.models(), "busy": self.busy,
                "sequence": self.sequence, "waiting": 0, "running": len(self.running),
                "kv_used": 0, "kv_total": 99503, "handles": 0, "state": "ready"})
        if request.path == "/api/kv-events":
            await asyncio.sleep(int(request.headers.get("wait-ms", "0")) / 1000)
            return encode(200, {"boot_epoch": 1, "next_token": 0, "lost": False, "events": []})
        if request.path == "/api/kv-list":
            return encode(200, {"boot_epoch": 1, "next_token": 0, "held": []})
        if request.path == "/api/order":
            return self.order(request.json())
        if request.path == "/healthz":
            return encode(200, b"", [("Wisteriahitch-Instance-Id", self.id)])
        return await self.run(request, reader, writer)

    def order(self, order):
        accepted = not self.busy and order.get("expected", self.sequence) == self.sequence
        status = 200 if order["version"] == self.version else 202 if accepted else 409
        self.orders.append((self.record.now(), order["holder"], order["version"], status))
        self.record.write("order", runner=self.id, holder=order["holder"], fence=order["fence"],
                          version=order["version"], status=status)
        if status == 202:
            self.sequence += 1
            self.busy = True
            asyncio.create_task(self.load(order["version"]))
        if self.on_order is not None:
            self.on_order(self, order, status)
        return encode(status, {})

    async def load(self, version):
        while self.running:
            await asyncio.sleep(0.005)
        await asyncio.sleep(self.load_s)
        self.version, self.busy, self.cached = version, False, {}
        self.record.write("loaded", runner=self.id, version=version)
        await self.register()

    async def run(self, request, reader, writer):
        headers = request.headers
        number = headers.get("wisteriahitch-request-id", "")
        answer = [("Wisteriahitch-Request-Id", number), ("Wisteriahitch-Instance-Id", self.id),
                  ("Wisteriahitch-Weight-Versions", self.version),
                  ("Wisteriahitch-Server-Load", f"{len(self.running)},0,64")]
        if int(headers.get("wisteriahitch-expect-version", self.version)) != self.version:
            return encode(421, b"", answer)
        if self.busy or len(self.running) >= 64 or not number:
            return encode(503 if number else 400, b"", [*answer, ("Wisteriahitch-Not-Run", "1")])
        tenant = headers.get("wisteriahitch-tenant")
        self.running[number] = tenant
        self.record.write("run", runner=self.id, request=number, version=self.version, tenant=tenant,
                          salt=headers.get("wisteriahitch-cache-salt"))
        if self.on_start is not None:
            self.on_start(self, number, tenant, headers)
        gone = asyncio.create_task(reader.read(1))
        sent, whole = 0, False
        try:
            tokens = int(headers.get("wisteriahitch-token-counts", "0,1").split(",")[1])
            stamp = ("Wisteriahitch-Server-Stamp", f"stamp.{number}")
            head = [f"{name}: {value}" for name, value in [*answer, stamp]]
            writer.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                          "Transfer-Encoding: chunked\r\n" + "\r\n".join(head) + "\r\n\r\n").encode())
            for event in range(1, tokens + 1):
                await asyncio.wait([gone], timeout=self.event_s)
                if gone.done():
                    raise ConnectionError
                data = f"id: {event}\ndata: {number}.{event}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await writer.drain()
                sent = event
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            whole = True
        finally:
            del self.running[number]
            gone.cancel()
            await asyncio.gather(gone, return_exceptions=True)
            self.record.write("run_end", runner=self.id, request=number, events=sent, whole=whole)
        return None


def configuration(version=1, tenants=None, kind="stream", timeout_ms=15000):
    route = {"name": "r-1", "host": HOST, "path_prefix": "/x/", "kind": kind,
             "timeout_ms": timeout_ms, "target_latency_ms": 800, "gap_aim_ms": 400, "priority": 1,
             "service": "llm", "max_attempts": 2, "public": False, "sticky": True, "resumable": False}
    service = {"name": "llm", "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": False,
               "engine": {"slots": 64, "kv_capacity_tokens": 99503, "kv_token_bytes": 163840,
                          "link_mbps": 260000.0, "models": [{"name": MODEL}]}}
    tenants = tenants or [{"name": "tenant-1", "api_keys": ["key-1"], "priority": 1, "isolated": False}]
    limits = {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000,
              "idle_timeout_ms": 15000}
    return {"version": version, "routes": [route], "services": [service], "limits": limits,
            "tenants": tenants}


def free_ports(ip, count):
    base = random.randrange(20000, 30000, 8)
    while True:
        sockets = []
        try:
            for port in range(base, base + count):
                sockets.append(socket.socket())
                sockets[-1].bind((ip, port))
            return base
        except OSError:
            base += 8
        finally:
            for opened in sockets:
                opened.close()


class Daemon:
    """One process of the role `entry` of the deploy file."""

    def __init__(self, site, number):
        self.site, self.number = site, number
        self.ip = f"127.{site.octet}.1.{number}"
        self.id = f"front-{number}"
        self.callers = (self.ip, site.base + 1)
        self.ready = (self.ip, site.base + 2)
        self.process = None

    def settings(self):
        # The fields of deploy/settings.toml.in, with the values of a site of 6 machines.
        seeds = ",".join(f'"127.{self.site.octet}.1.{n}:{self.site.base + 4}"' for n in (1, 2, 3))
        ip, base = self.ip, self.site.base
        return f'''
id = "{self.id}"
ip = "{ip}"
zone = "zone-a"
seeds = [{seeds}]
[regions]
"zone-a" = "west"
[listen]
callers = "{ip}:{base + 1}"
ready = "{ip}:{base + 2}"
entries = "{ip}:{base + 3}"
control = "{ip}:{base + 4}"
metrics = "{ip}:{base + 5}"
peer_port = {base}
[limits]
memory_mb = 260
cores = 0.25
link_mbps = 1000.0
[store]
address = "{self.site.store.address}"
[bounds]
old_weights_ms = 8000
all_weights_ms = 11000
endpoint_drain_ms = 2000
configuration_ms = 2000
contact_ms = 3000
store_history_s = 20
[retry]
ratio = 0.2
slack = 52
[rollout]
lease_ms = 3000
[drain]
grace_s = 8
[entries]
ttl_max_s = 5
'''

    async def start(self):
        path = os.path.join(self.site.folder.name, f"{self.id}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        log = open(os.path.join(self.site.folder.name, f"{self.id}.log"), "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["WISTERIAHITCH_NODE_FILE"] = path
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()
        self.site.record.write("started", daemon=self.id, pid=self.process.pid)

    def signal(self, number):
        self.site.record.write("signal", daemon=self.id, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def wait_ready(self, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
                first, _ = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
                if " 200 " in first + " ":
                    return
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.id} doesn't become ready")


class Site:
    """A small deployment; all of its processes end with it."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.TemporaryDirectory()
        self.octet = random.randrange(2, 250)
        self.base = free_ports(f"127.{self.octet}.1.1", 6)
        self.store = Store(self.record)
        self.runners, self.daemons, self.requests = [], [], 0

    async def start(self, daemons, runners, config=None, **of_runners):
        await self.store.start(f"127.{self.octet}.0.1")
        await self.store.put("config", "main", config or configuration())
        await self.store.put("versions", MODEL, {"model": MODEL, "version": 1})
        for number in range(runners):
            runner = Runner(self.record, self.store, number, f"127.{self.octet}.2.{number + 1}", **of_runners)
            await runner.start()
            self.runners.append(runner)
        for number in range(1, daemons + 1):
            daemon = Daemon(self, number)
            await daemon.start()
            self.daemons.append(daemon)
        for daemon in self.daemons:
            await daemon.wait_ready()

    async def end_processes(self):
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.returncode is None:
                daemon.process.kill()
                await daemon.process.wait()

    def end(self):
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.system(f"cp {self.folder.name}/*.log {keep}/")
        self.folder.cleanup()

    async def stream(self, daemon, tokens, key="key-1", parts=None, deadline_ms=15000, connection=None):
        """Sends one request on a connection and returns (number, outcome, events received)."""
        self.requests += 1
        number = f"{self.requests:016x}"
        parts = parts or f"a1:600,{self.requests:x}f:100"
        try:
            opened = connection or await asyncio.wait_for(asyncio.open_connection(*daemon.callers), 1)
        except (OSError, asyncio.TimeoutError):
            return number, "no connection", 0
        reader, writer = opened
        body = b"{}"
        writer.write((f"POST /x/plan HTTP/1.1\r\nHost: {HOST}\r\nWisteriahitch-Request-Id: {number}\r\n"
                      f"Wisteriahitch-Model: {MODEL}\r\nWisteriahitch-Token-Counts: 700,{tokens}\r\n"
                      f"Wisteriahitch-Prompt-Prefix: {parts}\r\nWisteriahitch-Deadline-Ms: {deadline_ms}\r\n"
                      f"Authorization: Bearer {key}\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body)
        self.record.write("sent", request=number, daemon=daemon.id, tokens=tokens, key=key)
        events, outcome, status = 0, "cut before the head", None
        try:
            first, headers = await read_head(reader)
            status = int(first.split(" ")[1])
            outcome = "cut within the answer"
            if headers.get("transfer-encoding") == "chunked":
                async for chunk in read_chunks(reader):
                    events += chunk.count(b"\n\n")
            else:
                await read_body(reader, headers)
            outcome = "whole"
        except (OSError, asyncio.IncompleteReadError):
            pass
        self.record.write("answer", request=number, daemon=daemon.id, status=status, outcome=outcome.replace(" ", "_"),
                          events=events)
        if connection is None:
            writer.close()
        return number, (status if outcome == "whole" else outcome), events


def main(run, folder):
    """Runs `run(site)`, which returns whether the rule was broken, and exits with 1, 0 or 2."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    site = Site(folder)

    async def bounded():
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
        try:
            return await asyncio.wait_for(run(site), 112)
        finally:
            await site.end_processes()

    try:
        broken = asyncio.run(bounded())
        site.record.write("result", broken=broken)
        code = 1 if broken else 0
    except Exception as error:  # whatever it is, the case couldn't run
        site.record.write("result", error=repr(error).replace(" ", "_"))
        code = 2
    finally:
        site.end()
    print(("the rule held", "the rule was broken", "the case couldn't run")[code])
    raise SystemExit(code)
