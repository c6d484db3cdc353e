"""Stand-ins of the cases 6 to 10: the platform's store, runners under a supervisor, clients, and the
start of the project's own program with the template of the deploy file. Only the standard library."""

import http.client
import json
import os
import re
import shutil
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target/release/wisteriahitch-platform")
TEMPLATE = os.path.join(ROOT, "deploy/settings.toml.in")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case couldn't be played; it says nothing of the rule."""


# --- HTTP/1.1 over blocking sockets -------------------------------------------------------------

class Reader:
    def __init__(self, sock):
        self.sock, self.data = sock, b""

    def more(self):
        got = self.sock.recv(65536)
        if not got:
            raise EOFError
        self.data += got

    def until(self, mark):
        while mark not in self.data:
            self.more()
        head, self.data = self.data.split(mark, 1)
        return head

    def exactly(self, count):
        while len(self.data) < count:
            self.more()
        body, self.data = self.data[:count], self.data[count:]
        return body

    def request(self):
        """Returns method, target, headers (names in lowercase) and body of the next request."""
        lines = self.until(b"\r\n\r\n").decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
        body = b""
        if "chunked" in headers.get("transfer-encoding", ""):
            while True:
                size = int(self.until(b"\r\n").split(b";")[0], 16)
                body += self.exactly(size)
                self.until(b"\r\n")
                if size == 0:
                    break
        elif "content-length" in headers:
            body = self.exactly(int(headers["content-length"]))
        return method, target, headers, body


def listen(address):
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen(256)
    return listener


def serve(address, handle):
    """Listens and calls `handle(sock)` in a thread for each connection. Returns the address."""
    listener = listen(address)
    serve_on(listener, handle)
    return listener.getsockname()


def serve_on(listener, handle):

    def one(sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            handle(sock)
        except (EOFError, OSError, ValueError):
            pass
        finally:
            sock.close()

    def accept():
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=one, args=(sock,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()


def answer(sock, status, body=b"", headers=()):
    reason = http.client.responses.get(status, "Other")
    head = [f"HTTP/1.1 {status} {reason}", *headers, f"Content-Length: {len(body)}"]
    sock.sendall("\r\n".join(head).encode() + b"\r\n\r\n" + body)


# --- the platform's store -----------------------------------------------------------------------

class Store:
    """Objects by kind and name, with one revision counter, listings and watches (PROTOCOL.md)."""

    def __init__(self, ip):
        self.changed = threading.Condition()
        self.revision, self.kinds, self.history = 1, {}, []
        self.is_down = False
        self.address = serve((ip, 0), self.connection)

    def view(self, ip, replaced):
        """Serves the same objects at a further address, to one machine whose links to some addresses
        are proxies: `replaced` maps an address to that of its link."""
        def connection(sock):
            self.connection(sock, replaced)

        return serve((ip, 0), connection)

    def put(self, kind, name, spec):
        with self.changed:
            return self.write(kind, name, spec, "spec")

    def write(self, kind, name, content, part):
        objects = self.kinds.setdefault(kind, {})
        old = objects.get(name, {"metadata": {"created_rev": self.revision + 1}})
        if without_sequence(old.get(part)) == without_sequence(content) and content is not None:
            return old
        self.revision += 1
        metadata = {"finalizers": [], **old["metadata"], "name": name, "revision": self.revision}
        new = {"spec": None, "status": None, **old, "metadata": metadata, part: content}
        objects[name] = new
        self.history.append((self.revision, kind, new, False))
        self.changed.notify_all()
        return new

    def delete(self, kind, name):
        with self.changed:
            old = self.kinds.get(kind, {}).pop(name, None)
            if old is None:
                return None
            self.revision += 1
            gone = {**old, "metadata": {**old["metadata"], "revision": self.revision}}
            self.history.append((self.revision, kind, gone, True))
            self.changed.notify_all()
            return gone

    def connection(self, sock, replaced=None):
        reader = Reader(sock)
        while True:
            method, target, _, body = reader.request()
            if self.is_down:
                answer(sock, 503, b"{}")
                continue
            status, content = self.call(method, target, json.loads(body) if body else {})
            text = json.dumps(content)
            for address, link in (replaced or {}).items():
                text = text.replace(f'"{address}"', f'"{link}"')
            answer(sock, status, text.encode(), ["Content-Type: application/json"])

    def call(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        words = [urllib.parse.unquote(word) for word in url.path.split("/")[3:]]
        kind, name = words[0], words[1] if len(words) > 1 else None
        if method == "GET" and "watch" in query:
            return self.watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)) / 1000)
        with self.changed:
            objects = self.kinds.setdefault(kind, {})
            if method == "GET" and name is None:
                names = sorted(n for n in objects if n > query.get("after", ""))
                page = [objects[n] for n in names[:500]]
                return 200, {"items": page, "has_more": len(names) > 500, "store_revision": self.revision}
            if method == "POST":
                name = body["metadata"]["name"]
                if name in objects:
                    return 409, objects[name]
                return 201, self.write(kind, name, body.get("spec"), "spec")
            if name not in objects:
                return 404, {"error": "no such object"}
            if method == "GET":
                return 200, objects[name]
            expected = body.get("metadata", {}).get("revision", query.get("revision"))
            if expected is not None and int(expected) != objects[name]["metadata"]["revision"]:
                return 409, objects[name]
            if method == "PUT":
                part = "status" if words[2:] == ["status"] else "spec"
                return 200, self.write(kind, name, body.get(part), part)
            if method == "DELETE":
                return 200, self.delete(kind, name)
        return 400, {"error": "unknown call"}

    def watch(self, kind, after, wait_s):
        end = time.monotonic() + wait_s
        with self.changed:
            while True:
                events = [
                    {"object": o, "deleted": gone} for r, k, o, gone in self.history if k == kind and r > after
                ]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "store_revision": self.revision}
                self.changed.wait(left)


def without_sequence(spec):
    """The entry of a runner changes when more than `sequence` changes."""
    return {k: v for k, v in spec.items() if k != "sequence"} if isinstance(spec, dict) else spec


def store_put(store, kind, name, spec):
    """Writes an object as another process of the platform does: create it, else replace it."""
    link = http.client.HTTPConnection(*store, timeout=2)
    body = json.dumps({"metadata": {"name": name}, "spec": spec})
    headers = {"Content-Type": "application/json"}
    for method, path in (("PUT", f"/api/objects/{kind}/{name}"), ("POST", f"/api/objects/{kind}")):
        link.request(method, path, body, headers)
        response = link.getresponse()
        response.read()
        if response.status in (200, 201):
            return
    raise OSError(f"the store answered {response.status}")


# --- the project's own program ------------------------------------------------------------------

def fill(template, values):
    """Fills the template of the deploy file as DEPLOY.md says."""

    def look(name, scopes):
        if name in (".", "@"):
            return scopes[-1][name]
        for scope in reversed(scopes):
            found = scope
            for word in name.split("."):
                if isinstance(found, dict) and word in found:
                    found = found[word]
                elif isinstance(found, list) and word.isdigit() and int(word) < len(found):
                    found = found[int(word)]
                else:
                    found = None
                    break
            if found is not None:
                return found
        return None

    section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)
    value = re.compile(r"\{\{([\w.@]+)(\|json)?\}\}")

    def render(text, scopes):
        def part(match):
            sign, name, inner = match.groups()
            found = look(name, scopes)
            if sign == "^":
                return "" if found else render(inner, scopes)
            if not found:
                return ""
            entries = list(found.items()) if isinstance(found, dict) else None
            entries = entries if entries is not None else (
                list(enumerate(found)) if isinstance(found, list) else [("", found)])
            out = []
            for index, (key, entry) in enumerate(entries):
                scope = {**(entry if isinstance(entry, dict) else {}), ".": entry, "@": key}
                comma = "" if index + 1 == len(entries) else ","
                out.append(render(inner.replace("{{,}}", comma), [*scopes, scope]))
            return "".join(out)

        def plain(match):
            found = look(match.group(1), scopes)
            if found is None:
                return ""
            if match.group(2):
                return json.dumps(found)
            if isinstance(found, list):
                return ",".join(map(str, found))
            return str(found).lower() if isinstance(found, bool) else str(found)

        return value.sub(plain, section.sub(part, text))

    return render(template, [values])


BOUNDS = {
    "drain_ms": 3000, "contact_ms": 4000, "config_deadline_ms": 3000, "grace_s": 8, "lease_ms": 3000,
    "version_ms": 15000, "version_all_ms": 21000, "budget_ratio": 0.2, "retry_slack": 194, "ttl_max_s": 5,
    "cold_over": 1.5, "cold_slack": 5,
}


class Daemon:
    """One process of the role `entry`, started with the command of the deploy file."""

    def __init__(self, ip, store, zone="taipei-a", seeds=(), bounds=None, zones=None):
        self.ip = ip
        port = {"front": 8005, "ready": 8002, "control": 8000, "directory": 8009, "inner": 7700}
        self.front, self.ready = (ip, port["front"]), (ip, port["ready"])
        self.directory = (ip, port["directory"])
        values = {
            "node": f"front-{ip.replace('.', '-')}", "ip": ip, "zone": zone, "zones": zones or {zone: "tw-north"},
            "seeds": [f"{seed}:{port['control']}" for seed in seeds], "inner_ports": [port["inner"], port["inner"] + 15],
            "listen": {
                "front": f"{ip}:{port['front']}", "ready_addr": f"{ip}:{port['ready']}",
                "control": f"{ip}:{port['control']}", "directory": f"{ip}:{port['directory']}",
            },
            "limits": {"memory_mb": 260, "cpu_share": 0.25, "link_mbps": 1000.0},
            "provider": {"addr": f"{store[0]}:{store[1]}", "history_s": 20},
            "heartbeat_ms": 1200, "bounds": {**BOUNDS, **(bounds or {})},
        }
        self.folder = tempfile.mkdtemp(prefix="wisteriahitch-case-")
        self.settings = os.path.join(self.folder, "settings.toml")
        with open(TEMPLATE) as template, open(self.settings, "w") as out:
            out.write(fill(template.read(), values))
        self.log_path = os.path.join(self.folder, "log")
        self.process = None
        self.start()

    def start(self):
        if not os.path.exists(PROGRAM):
            raise CannotRun(f"{PROGRAM} isn't built")
        env = {"PATH": os.environ.get("PATH", ""), "WISTERIAHITCH_NODE_FILE": self.settings}
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen([PROGRAM], cwd=ROOT, env=env, stdout=log, stderr=log)

    def wait_ready(self, wait_s=20):
        end = time.monotonic() + wait_s
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CannotRun("the daemon has ended: " + open(self.log_path).read()[-500:])
            try:
                link = http.client.HTTPConnection(*self.ready, timeout=1)
                link.request("GET", "/api/readyz")
                if link.getresponse().status == 200:
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise CannotRun("the daemon isn't ready")

    def log(self, event):
        lines = []
        for line in open(self.log_path, errors="replace"):
            try:
                entry = json.loads(line)
            except ValueError:
                continue
            if entry.get("event") == event:
                lines.append(entry)
        return lines

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def free_ip(last=1):
    """Returns an unused address of the loopback network."""
    for number in range(1, 250):
        ip = f"127.{60 + os.getpid() % 60}.{(number * 7 + os.getpid()) % 250 + 1}.{last}"
        try:
            for port in (8005, 9464, 7700):
                probe = socket.socket()
                probe.bind((ip, port))
                probe.close()
            return ip
        except OSError:
            continue
    raise CannotRun("no free loopback address")


# --- links --------------------------------------------------------------------------------------

class Link:
    """The path from one machine to one runner, as a proxy. `cut` refuses new connections and resets open
    ones. It notes the id of each request that passes, with the size of its body."""

    def __init__(self, ip, target):
        self.target, self.passed, self.open = target, [], set()
        self.listener = listen((ip, 0))
        self.address = self.listener.getsockname()
        self.is_cut = False
        serve_on(self.listener, self.connection)

    def cut(self):
        self.is_cut = True
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for sock in list(self.open):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            sock.close()

    def connection(self, sock):
        far = socket.create_connection(self.target, timeout=5)
        far.settimeout(None)
        self.open.update((sock, far))
        back = threading.Thread(target=self.copy, args=(far, sock), daemon=True)
        back.start()
        reader = Reader(sock)
        try:
            while True:
                method, target, headers, body = reader.request()
                if "wisteriahitch-request-id" in headers:
                    self.passed.append((time.monotonic(), headers["wisteriahitch-request-id"], len(body)))
                head = [f"{method} {target} HTTP/1.1", *(f"{n}: {v}" for n, v in headers.items())]
                far.sendall("\r\n".join(head).encode("latin-1") + b"\r\n\r\n" + body)
        except (EOFError, OSError, ValueError):
            pass
        finally:
            for each in (sock, far):
                try:
                    each.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
                self.open.discard(each)

    def copy(self, source, target):
        try:
            while data := source.recv(65536):
                target.sendall(data)
            target.shutdown(socket.SHUT_WR)
        except OSError:
            pass


# --- clients ------------------------------------------------------------------------------------

class Answer:
    """What a client has seen of one request: status, headers, body, and whether it looks complete."""

    def __init__(self):
        self.status, self.headers, self.body, self.is_whole, self.end = None, {}, b"", False, ""


def call(front, method, path, request_id, host, key=None, headers=(), body=b"", timeout=10.0, sock=None):
    """Sends one request on a new connection and reads its answer to the end."""
    out = Answer()
    sock = sock or socket.create_connection(front, timeout=2)
    sock.settimeout(timeout)
    head = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Wisteriahitch-Request-Id: {request_id}",
            f"Wisteriahitch-Deadline-Ms: {int(timeout * 1000)}", *headers]
    if key:
        head.append(f"Authorization: Bearer {key}")
    if body or method == "POST":
        head.append(f"Content-Length: {len(body)}")
    try:
        sock.sendall("\r\n".join(head).encode() + b"\r\n\r\n" + body)
        response = http.client.HTTPResponse(sock, method=method)
        response.begin()
        out.status, out.headers = response.status, {k.lower(): v for k, v in response.getheaders()}
        while True:
            piece = response.read1(65536)
            if not piece:
                break
            out.body += piece
        stated = out.headers.get("content-length")
        out.is_whole = stated is None or int(stated) == len(out.body)
        out.end = "complete" if out.is_whole else "closed before the stated length"
    except (OSError, http.client.HTTPException, ValueError) as error:
        out.end = f"broken off: {type(error).__name__}"
    finally:
        sock.close()
    return out


# --- running a case -----------------------------------------------------------------------------

class Record:
    def __init__(self, folder):
        self.path, self.lock = os.path.join(folder, "record.txt"), threading.Lock()
        self.start = time.monotonic()
        open(self.path, "w").close()

    def __call__(self, text):
        with self.lock, open(self.path, "a") as out:
            out.write(f"{time.monotonic() - self.start:8.3f} s  {text}\n")


def main(case, folder):
    """Runs `case(record, keep)`: it returns a list of what broke the rule; `keep` collects what is ended."""
    record, keep = Record(folder), []
    record(f"TROUBLE={1 if TROUBLE else 0}")
    watchdog = threading.Timer(110, lambda: (record("too slow: given up"), end_all(keep), os._exit(2)))
    watchdog.daemon = True
    watchdog.start()
    code = 2
    try:
        broken = case(record, keep)
        for line in broken:
            record(f"BROKEN: {line}")
        record(f"result: {'the rule was broken' if broken else 'the rule held'}")
        code = 1 if broken else 0
    except CannotRun as error:
        record(f"the case couldn't run: {error}")
    except Exception as error:  # a fault of the case isn't one of the system
        record(f"the case couldn't run: {type(error).__name__}: {error}")
    end_all(keep)
    sys.stdout.flush()
    os._exit(code)


def end_all(keep):
    for thing in reversed(keep):
        try:
            thing.end()
        except Exception:
            pass
