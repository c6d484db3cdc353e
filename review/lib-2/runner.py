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

BODY_BYTES = 800
EVENTS = 8


def log(path, **fields):
    line = json.dumps({"at": time.monotonic(), **fields}) + "\n"
    out = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
    os.write(out, line.encode())
    os.close(out)


class Worker:
    def __init__(self, listener, store, name, service, zone, log_path, policy):
        self.store, self.name, self.service, self.zone = store, name, service, zone
        self.log_path, self.policy = log_path, policy
        self.born, self.sequence = int(time.time() * 1000), 0
        self.address = listener.getsockname()
        standins.serve_on(listener, self.connection)

    def heartbeats(self):
        while True:
            self.sequence += 1
            spec = {
                "service": self.service, "addr": f"{self.address[0]}:{self.address[1]}", "zone": self.zone,
                "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0,
                "sequence": self.sequence, "born": self.born,
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
                answer(sock, 200, said, [f"Wisteriahitch-Instance-Id: {self.name}", "Content-Type: application/json"])
            elif target == "/api/report":
                said = {"stage": "plain", "models": [], "busy": False, "sequence": 0, "waiting": 0, "running": 0,
                        "kv_used": 0, "kv_total": 0, "handles": 0, "born": self.born}
                answer(sock, 200, json.dumps(said).encode(), ["Content-Type: application/json"])
            elif not self.respond(sock, target, headers):
                return

    def respond(self, sock, target, headers):
        """Runs a request. Returns whether the connection is kept."""
        request = headers["wisteriahitch-request-id"]
        log(self.log_path, what="runs", request=request, pid=os.getpid(), born=self.born)
        body = (request + "." ).encode() * (BODY_BYTES // len(request) + 1)
        body = body[:BODY_BYTES]
        own = [f"Wisteriahitch-Request-Id: {request}", "Wisteriahitch-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1"]
        if "/stream/" in target:
            return self.stream(sock, request, headers, own)
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


    def stream(self, sock, request, headers, own):
        """Sends eight events, or those after Last-Event-Id, in an answer with a length."""
        first = int(headers.get("last-event-id", 0)) + 1
        text = "word " * (3 if self.policy == "short" else 9)
        events = [f"id: {n}\ndata: {text}{n}\n\n".encode() for n in range(first, EVENTS + 1)]
        length = sum(map(len, events))
        head = ["HTTP/1.1 200 OK", *own, "Content-Type: text/event-stream"]
        head.append(f"Content-Length: {length}")
        sock.sendall("\r\n".join(head).encode() + b"\r\n\r\n")
        for number, event in enumerate(events, first):
            sock.sendall(event)
            log(self.log_path, what="event", request=request, number=number, pid=os.getpid())
            time.sleep(0.15)
        log(self.log_path, what="whole", request=request, pid=os.getpid(), born=self.born)
        return True


def supervise(arguments):
    ip, store_host, store_port, name, service, zone, log_path, policy, restart_ms, kind = arguments
    held = standins.listen((ip, 0))
    address = held.getsockname()
    if kind == "own":
        held.close()
    while True:
        pid = os.fork()
        if pid == 0:
            listener = held if kind == "held" else standins.listen(address)
            worker = Worker(listener, (store_host, int(store_port)), name, service, zone, log_path, policy)
            log(log_path, what="started", pid=os.getpid(), born=worker.born)
            worker.heartbeats()
        os.waitpid(pid, 0)
        log(log_path, what="ended", pid=pid)
        time.sleep(int(restart_ms) / 1000)


if __name__ == "__main__":
    supervise(sys.argv[1:])
