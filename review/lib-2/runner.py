"""A runner of a plain service under a supervisor, as separate processes.

    runner.py IP STORE_HOST STORE_PORT ID SERVICE ZONE LOG POLICY RESTART_MS LISTENER

The supervisor forks a worker, waits until it ends and forks the next one after RESTART_MS, as process
supervisors do. LISTENER is `own` if each worker opens the listening socket itself, and `held` if the
supervisor holds it for them, so that connections wait while no worker runs. Each worker is one start of the runner: it keeps the id, tells its own start (`born`)
in all that it says of itself, and registers itself in the store. It logs one JSON line for each
request that it runs. POLICY names how it answers requests (see `respond`)."""

import json
import os
import sys
import threading
import time

import standins
from standins import Reader, answer, store_put

BODY_BYTES, EVENT_S = 800, 0.25
COLD_S, COLD_PER_S, COLD_OVER, COLD_SLACK = 3.0, 14.0, 1.5, 5
COLD_BOUND = COLD_PER_S * COLD_OVER + COLD_SLACK


def log(path, **fields):
    line = json.dumps({"at": time.monotonic(), **fields}) + "\n"
    out = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
    os.write(out, line.encode())
    os.close(out)


class Worker:
    def __init__(self, listener, store, name, service, zone, log_path, policy, is_first):
        self.store, self.name, self.service, self.zone = store, name, service, zone
        self.log_path, self.policy = log_path, policy
        self.born, self.sequence = int(time.time() * 1000), 0
        self.cold_until = time.monotonic() + (COLD_S if policy in ("cold", "model") and not is_first else 0)
        self.lock, self.recent = threading.Lock(), []
        self.address = listener.getsockname()
        standins.serve_on(listener, self.connection)

    def cold_left_ms(self):
        """A start during traffic is cold for COLD_S; the first one is warm."""
        left = self.cold_until - time.monotonic()
        return max(0, int(left * 1000))

    def models(self):
        """What a model runner says besides."""
        if self.policy != "model":
            return {}
        return {"stage": "colocated", "models": [{"name": "m0", "version": 1, "adapters": []}]}

    def heartbeats(self):
        while True:
            self.sequence += 1
            spec = {
                "service": self.service, "addr": f"{self.address[0]}:{self.address[1]}", "zone": self.zone,
                "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": self.cold_left_ms(),
                "sequence": self.sequence, "born": self.born, **self.models(),
            }
            try:
                store_put(self.store, "servers", self.name, spec)
            except OSError:
                pass
            time.sleep(1.2)

    def connection(self, sock):
        reader = Reader(sock)
        while True:
            method, target, headers, body = reader.request()
            if headers.get("wisteriahitch-expect-instance", self.name) != self.name:
                answer(sock, 421, b"", [f"Wisteriahitch-Instance-Id: {self.name}", "Wisteriahitch-Not-Run: 1"])
            elif target == "/healthz":
                said = json.dumps({"born": self.born}).encode()
                own = [f"Wisteriahitch-Instance-Id: {self.name}", "Content-Type: application/json"]
                answer(sock, 200, said, [*own, f"Wisteriahitch-Cold-Ms: {self.cold_left_ms()}"])
            elif target == "/api/report":
                said = {"stage": "plain", "models": [], "busy": False, "sequence": 0, "waiting": 0, "running": 0,
                        "kv_used": 0, "kv_total": 0, "handles": 0, "born": self.born, **self.models()}
                answer(sock, 200, json.dumps(said).encode(), ["Content-Type: application/json"])
            elif "wisteriahitch-request-id" not in headers:
                answer(sock, 404)
            elif not self.respond(sock, target, headers):
                return

    def respond(self, sock, target, headers):
        """Runs a request. Returns whether the connection is kept."""
        request = headers["wisteriahitch-request-id"]
        log(self.log_path, what="runs", request=request, pid=os.getpid(), born=self.born, cold_ms=self.cold_left_ms())
        if self.policy == "cold":
            self.bear(request)
        body = (request + ".").encode() * (BODY_BYTES // len(request) + 1)
        body = body[:BODY_BYTES]
        own = [f"Wisteriahitch-Request-Id: {request}", "Wisteriahitch-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1"]
        if self.policy == "model":
            return self.stream(sock, request, own)
        if self.policy != "unframed" or "/whole/" in target:
            answer(sock, 200, body, own)
            return True
        # The answer has no length and ends with its connection.
        sock.sendall("\r\n".join(["HTTP/1.1 200 OK", *own, "Connection: close"]).encode() + b"\r\n\r\n")
        sock.sendall(body[: BODY_BYTES // 2])
        log(self.log_path, what="half", request=request, pid=os.getpid(), born=self.born)
        time.sleep(0.3)
        sock.sendall(body[BODY_BYTES // 2 :])
        log(self.log_path, what="whole", request=request, pid=os.getpid(), born=self.born)
        return False


    def stream(self, sock, request, own):
        """Sends eight events in chunks, one each EVENT_S."""
        head = ["HTTP/1.1 200 OK", *own, "Content-Type: text/event-stream", "Wisteriahitch-Weight-Versions: 1"]
        sock.sendall("\r\n".join([*head, "Transfer-Encoding: chunked"]).encode() + b"\r\n\r\n")
        for number in range(1, 9):
            time.sleep(EVENT_S)
            event = f"id: {number}\ndata: word {number}\n\n".encode()
            sock.sendall(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        sock.sendall(b"0\r\n\r\n")
        log(self.log_path, what="whole", request=request, pid=os.getpid(), born=self.born)
        return True

    def bear(self, request):
        """A cold runner crashes at a rate well above the one that its service states: here at twice
        the bound of the rules."""
        now = time.monotonic()
        with self.lock:
            self.recent = [at for at in self.recent if now - at < 1] + [now]
            if self.cold_left_ms() > 0 and len(self.recent) > 2 * COLD_BOUND:
                log(self.log_path, what="crashes", request=request, pid=os.getpid(), in_a_second=len(self.recent))
                os._exit(1)
        time.sleep(0.05)


def supervise(arguments):
    ip, store_host, store_port, name, service, zone, log_path, policy, restart_ms, kind = arguments
    held = standins.listen((ip, 0))
    address = held.getsockname()
    if kind == "own":
        held.close()
    is_first = True
    while True:
        pid = os.fork()
        if pid == 0:
            listener = held if kind == "held" else standins.listen(address)
            worker = Worker(listener, (store_host, int(store_port)), name, service, zone, log_path, policy, is_first)
            log(log_path, what="started", pid=os.getpid(), born=worker.born)
            worker.heartbeats()
        is_first = False
        os.waitpid(pid, 0)
        log(log_path, what="ended", pid=pid)
        time.sleep(int(restart_ms) / 1000)


if __name__ == "__main__":
    supervise(sys.argv[1:])
