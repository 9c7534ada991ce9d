"""Stand-ins for the users' platform, workers, operator and clients, for the scripts of this review.

They follow PROTOCOL.md and DEPLOY.md. Everything listens on loopback addresses, and every process
that is started here is ended here, by its id.
"""
import asyncio
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
BIN = {"entry": ROOT / "target/bin/camphorspindle-fleet-entry",
       "control": ROOT / "target/bin/camphorspindle-fleet-control"}

# Bounds that sites/vane-sched.toml and sites/teranga-swap.toml, the small deployments, share.
BOUNDS = {"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6,
          "config_apply_ms": 2000, "hold_max_ms": 1000, "stop_timeout_ms": 50,
          "cancel_ms": 3000, "resend_ms": 1300, "recovery_s": 12}
HEARTBEAT_MS = 1500
# How long a worker takes for a stop; less than stop_timeout_ms.
STOP_MS = 30
VANE_ZONES = {"ga-south-a": "ga-south", "ga-south-b": "ga-south", "ga-south-c": "ga-south"}
TERANGA_ZONES = {it: "dakar-region" for it in ("plateau", "pikine", "rufisque", "thies-road")}


def now():
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.start = now()
        self.file = open(path, "w", buffering=1)

    def __call__(self, text):
        self.file.write(f"{now() - self.start:9.3f} {text}\n")


CONTROL_IPS = [f"127.0.0.{11 + n}" for n in range(4)]
ENTRY_IPS = [f"127.0.0.{31 + n}" for n in range(8)]


def is_free(ip, port):
    with socket.socket() as it:
        try:
            it.bind((ip, port))
        except OSError:
            return False
    return True


def free_ports(count):
    """Ports that are free on all addresses of the machines."""
    ports = []
    while len(ports) < count:
        with socket.socket() as it:
            it.bind((ENTRY_IPS[0], 0))
            port = it.getsockname()[1]
        if port not in ports and all(is_free(ip, port) for ip in CONTROL_IPS + ENTRY_IPS):
            ports.append(port)
    return ports


# --- HTTP

async def read_message(reader):
    """One HTTP message: first line, header fields in lower case, body. None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return lines[0], fields, body


def encode(first_line, fields, body=b""):
    lines = [first_line] + [f"{k}: {v}" for k, v in fields.items()]
    return ("\r\n".join(lines) + f"\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body


async def call(address, method, path, body=None, fields=None, timeout=5.0):
    """One request on a connection of its own. Returns (status, body), or (0, reason)."""
    host, port = address
    data = b"" if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, port)
        all_fields = {"Host": f"{host}:{port}", "Content-Type": "application/json"}
        all_fields.update(fields or {})
        writer.write(encode(f"{method} {path} HTTP/1.1", all_fields, data))
        await writer.drain()
        first, _, payload = await read_message(reader)
        return int(first.split()[1]), payload.decode()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return 0, "no response"
    except (OSError, asyncio.IncompleteReadError) as error:
        return 0, f"connection: {error}"
    finally:
        if writer is not None:
            writer.close()


# --- Workers

class Worker:
    """One worker in push mode. The spec of a job is JSON: run time of each step, and the cpu."""

    def __init__(self, record, worker_id, zone, service, controls, cpu=32000,
                 kind="a"):
        self.record, self.id, self.zone, self.service = record, worker_id, zone, service
        self.controls, self.cpu, self.kind = controls, cpu, kind
        self.born = int(time.time() * 1000)
        self.start_at = now()
        self.token = 0
        self.deadline = 0.0
        self.running = {}  # (task, run) -> {"until", "from", "cpu"}
        self.highest = {}  # task -> highest run that was stopped or ended here
        self.ends = []  # [number, task, run, how, saved]
        self.last_end = 0
        self.seq = 0
        self.starts = []  # (time, task, run)
        self.history = []  # (task, run, from, until, how)
        self.changed = asyncio.Event()
        self.tasks = []

    def clock(self):
        return (now() - self.start_at) * 1000

    async def begin(self, host):
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = self.server.sockets[0].getsockname()
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.work())]

    def stop(self):
        for it in self.tasks:
            it.cancel()
        self.server.close()

    async def beat(self):
        while True:
            self.seq += 1
            body = {"service": self.service, "address": "%s:%d" % self.address[:2],
                    "zone": self.zone, "version": "v1", "slots": 8, "state": "ready",
                    "cold_remaining_ms": 0, "born": self.born, "clock_ms": int(self.clock()),
                    "capacity": {"cpu": self.cpu, "mem_mb": 131072, "gpu": 0},
                    "labels": [self.kind, f"r-{self.zone}"], "seq": self.seq}
            for address in list(self.controls):
                status, _ = await call(address, "PUT", f"/instances/{self.id}", body, timeout=1.0)
                if 200 <= status < 300:
                    break
                self.controls.append(self.controls.pop(0))
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def end(self, key, how):
        run = self.running.pop(key)
        task, number = key
        self.highest[task] = max(self.highest.get(task, 0), number)
        self.last_end += 1
        self.ends.append([self.last_end, task, number, how, ""])
        self.history.append((task, number, run["from"], now(), how))
        self.record(f"worker {self.id} end {task} run {number} {how}")
        self.changed.set()

    async def work(self):
        while True:
            await asyncio.sleep(0.005)
            self.expire()

    def expire(self):
        if self.running and self.clock() > self.deadline:
            for key in list(self.running):
                self.end(key, "lapsed")
        for key, run in list(self.running.items()):
            if now() >= run["until"]:
                self.end(key, "done")

    def lease(self, deadline):
        if deadline is not None:
            limit = self.clock() + BOUNDS["hold_max_ms"]
            self.deadline = max(self.deadline, min(float(deadline), limit))

    async def serve(self, reader, writer):
        try:
            while True:
                first, fields, body = await read_message(reader)
                path = first.split()[1]
                status, reply = await self.order(path, fields, json.loads(body or b"{}"))
                reply["clock_ms"] = int(self.clock())
                reply["born"] = self.born
                writer.write(encode(f"HTTP/1.1 {status} X", {"Content-Type": "application/json"},
                                    json.dumps(reply).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def order(self, path, fields, body):
        if fields.get("camphorspindle-expected-instance", self.id) != self.id:
            return 421, {}
        token = body.get("fencing_token", 0)
        if token < self.token:
            return 409, {"reason": "fence"}
        self.token = token
        self.expire()
        if path == "/run-start":
            return self.start_run(body)
        if path == "/run-stop":
            return await self.stop_run(body)
        if path == "/hold":
            return await self.hold(body)
        return 400, {}

    def start_run(self, body):
        key = (body["task"], body["run"])
        if key in self.running:
            self.lease(body["deadline_ms"])
            return 200, {}
        if body["run"] <= self.highest.get(body["task"], 0):
            self.lease(body["deadline_ms"])
            return 409, {"reason": "old"}
        if body["deadline_ms"] <= self.clock():
            return 409, {"reason": "late"}
        spec = json.loads(body["spec"])
        used = sum(it["cpu"] for it in self.running.values())
        if used + spec["cpu"] > self.cpu:
            self.lease(body["deadline_ms"])
            return 409, {"reason": "room"}
        self.lease(body["deadline_ms"])
        step = int(body["task"].split(".")[2])
        self.running[key] = {"from": now(), "until": now() + spec["ms"][step] / 1000,
                             "cpu": spec["cpu"]}
        self.starts.append((now(), body["task"], body["run"]))
        self.record(f"worker {self.id} start {body['task']} run {body['run']}")
        return 200, {}

    async def stop_run(self, body):
        key = (body["task"], body["run"])
        self.record(f"worker {self.id} stop order {key[0]} run {key[1]}")
        if key in self.running:
            # A stop takes at most stop_timeout_ms.
            await asyncio.sleep(STOP_MS / 1000)
            if key in self.running:
                self.end(key, "stopped")
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        return 200, {}

    async def hold(self, body):
        acked = body.get("acked_through", 0)
        self.ends = [it for it in self.ends if it[0] > acked]
        self.lease(body.get("deadline_ms"))
        until = now() + body.get("wait_ms", 0) / 1000
        while not self.ends and now() < until:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, until - now()))
            except asyncio.TimeoutError:
                break
        running = []
        for (task, run), it in self.running.items():
            share = (now() - it["from"]) / max(0.001, it["until"] - it["from"])
            running.append([task, run, "", min(99, int(share * 100)), it["cpu"]])
        return 200, {"running": running, "ended_runs": self.ends[:500]}


# --- The system's processes

class Node:
    """One machine with one process of the system."""

    def __init__(self, fleet, role, name, ip, zone):
        self.fleet, self.role, self.name, self.ip, self.zone = fleet, role, name, ip, zone
        self.process = None

    def settings(self):
        f = self.fleet
        return {"node_name": self.name, "zone": self.zone, "zones": f.zones, "ip": self.ip,
                "internal_ports": [f.rpc_port, f.rpc_port + 1],
                "seeds": [f"{it.ip}:{f.control_port}" for it in f.controls][:3],
                "bootstrap": f.is_first_start, "heartbeat_ms": HEARTBEAT_MS,
                "data_dir": str(f.folder / self.name / "data"),
                "listen_addrs": {"frontend": f"{self.ip}:{f.frontend_port}",
                                 "readiness": f"{self.ip}:{f.readiness_port}",
                                 "control": f"{self.ip}:{f.control_port}"},
                "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": BOUNDS}

    def render(self):
        """Fills in the template of the role, as DEPLOY.md tells it."""
        values = self.settings()

        def fill(match):
            value = values
            for part in match.group(1).split("."):
                value = value[int(part)] if isinstance(value, list) else value[part]
            return json.dumps(value) if match.group(2) else str(value)

        text = (ROOT / f"deploy/{self.role}.yaml").read_text()
        text = re.sub(r"\{\{([a-z_0-9.]+)(\|json)?\}\}", fill, text)
        # The deploy file's metrics port; another one here, because it has to be free.
        return text.replace(":9464", f":{self.fleet.metrics_port}")

    async def start(self):
        folder = self.fleet.folder / self.name
        (folder / "data").mkdir(parents=True, exist_ok=True)
        path = folder / "boot.yaml"
        path.write_text(self.render())
        self.log = open(folder / "log.txt", "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(BIN[self.role]), stdout=self.log, stderr=self.log,
            env={"CAMPHORSPINDLE_SETTINGS": str(path), "PATH": os.environ.get("PATH", "")})
        self.fleet.record(f"platform started {self.name}")

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.fleet.record(f"platform sends {signal.Signals(number).name} to {self.name}")
            self.process.send_signal(number)

    async def lose_power_and_disk(self):
        """The process ends at once; when it starts again, its folder is empty."""
        self.fleet.record(f"platform takes power and disk from {self.name}")
        self.process.kill()
        await self.process.wait()
        shutil.rmtree(self.fleet.folder / self.name / "data")

    async def is_leader(self):
        """For the choice of the machine that is disrupted, like `how = leader` of a day."""
        _, text = await call((self.ip, self.fleet.metrics_port), "GET", "/metrics")
        return "camphorspindle_is_leader 1" in text.splitlines()

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


class Fleet:
    """A small deployment: a control machine in each zone, some entries and workers."""

    def __init__(self, record, zones=None, entries=3, workers=6, service="dele69a"):
        self.record, self.service = record, service
        self.zones = zones or VANE_ZONES
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="camphor-review-"))
        (self.rpc_port, self.control_port, self.frontend_port, self.readiness_port,
         self.metrics_port) = free_ports(5)
        self.is_first_start = True
        zones = list(self.zones)
        self.controls = [Node(self, "control", f"core-{z}-1", CONTROL_IPS[n], z)
                         for n, z in enumerate(zones)]
        self.entries = [Node(self, "entry", f"edge-{zones[n % len(zones)]}-{n // len(zones) + 1}",
                             ENTRY_IPS[n], zones[n % len(zones)]) for n in range(entries)]
        self.workers = [Worker(record, f"i-{n:08x}", zones[n % len(zones)], service,
                               [(it.ip, self.control_port) for it in self.controls])
                        for n in range(workers)]

    def frontend(self, entry):
        return (entry.ip, self.frontend_port)

    def configuration(self, version, routes, timeout_ms=1500):
        return {"version": version,
                "routes": [{"name": f"r-{prefix.strip('/')}", "host": "novo13.example",
                            "path_prefix": prefix, "kind": "non_idempotent",
                            "timeout_ms": timeout_ms, "target_duration_ms": 60, "priority": 1,
                            "service": self.service, "max_attempts": 3, "stretch_factor": 1.6}
                           for prefix in routes],
                "services": [{"name": self.service, "health_path": "/healthz", "max_conns": 64,
                              "protocol": "h1", "tls": False, "enforces_capacity": True,
                              "standby": False}],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                           "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}

    async def put_configuration(self, configuration, nodes=None, attempts=20):
        """As an operator: the same text again, to any node, until it is acknowledged."""
        nodes = nodes or self.controls
        body = json.dumps(configuration).encode()
        for n in range(attempts):
            node = nodes[n % len(nodes)]
            status, _ = await call((node.ip, self.control_port), "PUT", "/configuration", body,
                                   timeout=1.0)
            self.record(f"operator PUT /configuration version {configuration['version']} to"
                        f" {node.name}: {status}")
            if status == 200:
                return True
            await asyncio.sleep(0.2)
        return False

    async def read_back(self, newest):
        """As the operator at the end of a day: repeatedly, for longer than contact_ms, at every
        node. Returns the exit code."""
        until = now() + 3 * BOUNDS["contact_ms"] / 1000
        seen = set()
        while now() < until:
            for node in self.controls:
                status, text = await call((node.ip, self.control_port), "GET", "/configuration",
                                          timeout=1.0)
                version = json.loads(text)["version"] if status == 200 else None
                self.record(f"operator GET /configuration at {node.name}: {status} version"
                            f" {version}")
                if version is not None:
                    seen.add(version)
            await asyncio.sleep(0.5)
        # For the record: whether a change can still be stored.
        changed = await self.put_configuration(
            self.configuration(newest + 10, ["/lohu930/"]), attempts=12)
        self.record(f"a further change was {'' if changed else 'not '}acknowledged")
        if not seen:
            self.record(f"BROKEN CONFIG, LOST: version {newest} was acknowledged; the read back at"
                        " the end did not come from any node")
            return 1
        if min(seen) < newest:
            self.record(f"BROKEN CONFIG: version {min(seen)} was read, {newest} was acknowledged")
            return 1
        self.record("verdict: CONFIG held")
        return 0

    async def begin(self, configuration):
        """Starts everything. Returns whether the system became ready."""
        for node in self.controls + self.entries:
            await node.start()
        self.is_first_start = False
        for n, worker in enumerate(self.workers):
            await worker.begin(f"127.0.0.{101 + n}")
        if not await self.put_configuration(configuration):
            return False
        for _ in range(100):
            states = [await call((it.ip, self.readiness_port), "GET", "/readyz", timeout=1.0)
                      for it in self.entries]
            if all(status == 200 for status, _ in states):
                # Traffic starts 10 s after the machines do.
                await asyncio.sleep(max(0.0, 10 - (now() - self.record.start)))
                return True
            await asyncio.sleep(0.1)
        return False

    async def end(self):
        for worker in self.workers:
            worker.stop()
        for node in self.controls + self.entries:
            await node.end()
        keep = os.environ.get("KEEP")
        if keep:
            self.record(f"folder kept: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, case):
    """Runs a case and returns its exit code: 0 held, 1 broken, 2 could not run."""
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"case with TROUBLE={int(trouble)}")

    async def main():
        try:
            return await asyncio.wait_for(case(record, trouble), 110)
        except asyncio.TimeoutError:
            record("verdict: the case took too long")
            return 2

    code = asyncio.run(main())
    record(f"exit code {code}")
    print(f"exit code {code}; see record.txt")
    return code
