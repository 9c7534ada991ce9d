"""A sound worker: leases, fencing tokens, runs, lists of ends, and heartbeats."""
import http.server
import json
import socket
import threading
import time

import fleet as f

LONGEST_LEASE_MS = 1000.0


class Run:
    def __init__(self, task, run, spec, started_at, length_ms, end):
        self.task, self.run, self.spec = task, run, spec
        self.started_at, self.length_ms, self.end = started_at, length_ms, end
        self.born = time.monotonic()


class Worker:
    """One worker at an address of its own. length_of(task, run) gives the milliseconds of a run and
    how it ends. clock_rate: of its steady clock, which may be 2% slow."""

    def __init__(self, fleet, worker_id, zone, port, length_of, labels=("a", "r1-1"),
                 clock_rate=1.0):
        self.fleet, self.record, self.id, self.zone, self.port = (
            fleet, fleet.record, worker_id, zone, port)
        self.length_of, self.labels, self.clock_rate = length_of, list(labels), clock_rate
        self.lock = threading.Condition()
        self.born_ms = int(time.time() * 1000)
        self.began = time.monotonic()
        self.token = 0
        self.lease_until = 0.0
        self.running = {}
        self.ended = []
        self.last_end = 0
        self.rejected = {}
        self.sequence = 0
        self.state = "ready"
        self.is_up = True
        self.history = []  # (task, run, spec, start, end, how), in seconds since the case began
        worker = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"])) or b"{}")
                expected = self.headers.get("Camphorspindle-Expected-Instance")
                status, reply = worker.on_order(self.path, expected, body)
                text = json.dumps(reply).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)

            def log_message(self, *args):
                pass

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 64

            def handle_error(self, request, client_address):
                pass

        self.server = Server((fleet.worker_ip, port), Handler)
        self.address = "%s:%d" % (fleet.worker_ip, port)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self._tick, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def clock_ms(self):
        return 1000.0 + (time.monotonic() - self.began) * 1000.0 * self.clock_rate

    # --- Runs; all of these hold the lock

    def _advance(self):
        now = self.clock_ms()
        for key, run in list(self.running.items()):
            if now >= run.started_at + run.length_ms:
                self._end(key, run.end)
            elif now > self.lease_until:
                self._end(key, "lapsed")

    def _end(self, key, how):
        run = self.running.pop(key)
        self.rejected[run.task] = max(self.rejected.get(run.task, 0), run.run)
        self.last_end += 1
        self.ended.append([self.last_end, run.task, run.run, how, ""])
        self.record("%s: run %d of %s ended %s after %.0f ms" % (
            self.id, run.run, run.task, how, self.clock_ms() - run.started_at))
        self.history.append((run.task, run.run, run.spec, run.born - self.record.start,
                             self.record.now(), how))
        self.lock.notify_all()

    def _reply(self, **fields):
        reply = {"clock_ms": int(self.clock_ms()), "born": self.born_ms}
        reply.update(fields)
        return reply

    def _extend(self, deadline_ms):
        self.lease_until = max(self.lease_until,
                               min(deadline_ms, self.clock_ms() + LONGEST_LEASE_MS))

    def on_order(self, path, expected, body):
        with self.lock:
            self._advance()
            if expected != self.id:
                return 421, self._reply()
            token = body.get("fencing_token", 0)
            if token < self.token:
                return 409, self._reply(reason="fence")
            self.token = token
            if path == "/run-start":
                return self._start(body)
            if path == "/run-stop":
                return self._stop(body)
            if path == "/hold":
                return self._hold(body)
            return 400, self._reply()

    def _start(self, body):
        key = (body["task"], body["run"])
        if key in self.running:
            return 200, self._reply()
        self._extend(body["deadline_ms"])
        if body["run"] <= self.rejected.get(body["task"], 0):
            return 409, self._reply(reason="old")
        if body["deadline_ms"] < self.clock_ms():
            return 409, self._reply(reason="late")
        length_ms, end = self.length_of(body["task"], body["run"])
        self.running[key] = Run(body["task"], body["run"], body["spec"], self.clock_ms(), length_ms,
                                end)
        self.record("%s: run %d of %s begins, for %.0f ms" % (
            self.id, body["run"], body["task"], length_ms))
        return 200, self._reply()

    def _stop(self, body):
        key = (body["task"], body["run"])
        self.rejected[body["task"]] = max(self.rejected.get(body["task"], 0), body["run"])
        if key in self.running:
            self._end(key, "stopped")
        return 200, self._reply()

    def _hold(self, body):
        acked = body.get("acked_through", 0)
        self.ended = [it for it in self.ended if it[0] > acked]
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"])
        until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000.0
        while not self.ended and time.monotonic() < until:
            self.lock.wait(until - time.monotonic())
            self._advance()
        now = self.clock_ms()
        running = [[it.task, it.run, "", int(100 * (now - it.started_at) / it.length_ms), 14000]
                   for it in self.running.values()]
        return 200, self._reply(running=running, ended_runs=self.ended[:500])

    def _tick(self):
        while self.is_up:
            with self.lock:
                self._advance()
            time.sleep(0.002)

    # --- Heartbeats

    def report(self):
        self.sequence += 1
        return json.dumps({
            "service": "gilder-desk", "address": self.address, "zone": self.zone, "version": "v1",
            "slots": 8, "state": self.state, "cold_remaining_ms": 0,
            "capacity": {"cpu": 32000, "mem_mb": 131072, "gpu": 0}, "labels": self.labels,
            "clock_ms": int(self.clock_ms()), "born": self.born_ms, "seq": self.sequence})

    def beat(self):
        """Reports to the first node that acknowledges."""
        for node in self.fleet.controls():
            status, _ = f.call(node.ip, self.fleet.control_port, "PUT", "/instances/" + self.id,
                               self.report())
            if status == 200:
                return node
        return None

    def _beat(self):
        while self.is_up:
            self.beat()
            time.sleep(1.5)

    def close(self):
        self.is_up = False
        self.server.shutdown()
        self.server.server_close()


class Link:
    """The way to a worker, which can be cut: what is sent then is lost, and nothing is reset."""

    def __init__(self, worker, port):
        self.worker, self.is_cut = worker, False
        self.target = (worker.fleet.worker_ip, worker.port)
        worker.address = "%s:%d" % (worker.fleet.worker_ip, port)
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((worker.fleet.worker_ip, port))
        self.listener.listen(64)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
                server = socket.create_connection(self.target)
            except OSError:
                return
            for one, other in ((client, server), (server, client)):
                one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self._forward, args=(one, other), daemon=True).start()

    def _forward(self, one, other):
        try:
            while True:
                data = one.recv(65536)
                if not data and not self.is_cut:
                    break
                if not data:
                    return
                if self.is_cut:
                    continue
                other.sendall(data)
            other.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def close(self):
        self.listener.close()


class Caller:
    """Sends best-effort jobs to entries as a client does."""

    def __init__(self, fleet):
        self.fleet, self.record = fleet, fleet.record

    def job(self, spec, phases):
        return json.dumps({"spec": spec, "best_effort": True, "phases": phases})

    def submit(self, entry, job_id, body, timeout, deadline_ms=1500):
        self.record("client: POST job %s at %s" % (job_id, entry.name))
        status, text = f.call(entry.ip, self.fleet.caller_port, "POST", "/gono990/" + job_id, body,
                              timeout=timeout,
                              headers={"Host": "novo13.example",
                                       "Camphorspindle-Deadline-Ms": str(deadline_ms)})
        self.record("client: job %s at %s: %s %s" % (job_id, entry.name, status, text))
        return status, text

    def request(self, method, entry, job_id, timeout=2.0):
        status, text = f.call(entry.ip, self.fleet.caller_port, method, "/gono990/" + job_id,
                              timeout=timeout, headers={"Host": "novo13.example"})
        self.record("client: %s %s at %s: %s %s" % (method, job_id, entry.name, status, text))
        return status, text


def await_ready(fleet, patience_s=15.0):
    """Waits until all entries are in rotation."""
    until = time.monotonic() + patience_s
    while time.monotonic() < until:
        if all(f.call(it.ip, fleet.ready_port, "GET", "/readyz")[0] == 200
               for it in fleet.entries()):
            return
        time.sleep(0.2)
    raise f.CannotRun("the entries are not ready")
