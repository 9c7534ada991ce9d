"""Starts the deployed programs on loopback addresses, and the stand-ins that the cases share.

A deployment is a set of machines, each with an address of its own in 127.0.0.0/8; all machines use
the same ports. The settings have the keys of deploy/control.yaml and deploy/entry.yaml.
"""
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
CONTROL = os.path.join(ROOT, "target/bin/camphorspindle-fleet-control")
ENTRY = os.path.join(ROOT, "target/bin/camphorspindle-fleet-entry")
ZONES = ["ga-south-a", "ga-south-b", "ga-south-c"]


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run, with the time since the start of the case."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self._lock = threading.Lock()
        self._file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        with self._lock:
            line = "%8.3f  %s" % (self.now(), text)
            self._file.write(line + "\n")
            self._file.flush()
            print(line, flush=True)


def free_ports(addresses, count):
    """Ports that are free on all of the addresses."""
    ports = []
    while len(ports) < count:
        port = random.randint(20000, 31000)
        if port in ports:
            continue
        try:
            for address in addresses:
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((address, port))
            ports.append(port)
        except OSError:
            pass
    return ports


class Machine:
    """One machine of the system with one process."""

    def __init__(self, fleet, kind, name, zone, ip):
        self.fleet, self.kind, self.name, self.zone, self.ip = fleet, kind, name, zone, ip
        self.folder = os.path.join(fleet.folder, name)
        self.process = None
        os.makedirs(self.folder)

    @property
    def data(self):
        return os.path.join(self.folder, "data")

    def settings(self, is_first_start):
        fleet = self.fleet
        lines = {
            "instance": self.name,
            "domain": self.zone,
            "rpcListen": "%s:%d" % (self.ip, fleet.rpc_port),
            "metricsListen": "%s:%d" % (self.ip, fleet.metrics_port),
            "seeds": ["%s:%d" % (it.ip, fleet.control_port) for it in fleet.seeds],
        }
        if self.kind == "control":
            lines["operatorListen"] = "%s:%d" % (self.ip, fleet.control_port)
            lines["firstStart"] = is_first_start
            lines["dataFolder"] = self.data
            lines["domains"] = {zone: "ga-south" for zone in ZONES}
            lines["instanceHeartbeatMs"] = 1500
            lines["toleratedLosses"] = fleet.tolerated_losses
        else:
            lines["callerListen"] = "%s:%d" % (self.ip, fleet.caller_port)
            lines["readinessListen"] = "%s:%d" % (self.ip, fleet.ready_port)
            lines["longestLeaseMs"] = 1000
            lines["resendAfterMs"] = 1300
            lines["memoryMb"] = 260
            lines["descriptorLimit"] = 4100
            lines["cpuShare"] = 0.25
            lines["learnInstanceSpeeds"] = True
        return "".join("%s: %s\n" % (key, json.dumps(value)) for key, value in lines.items())

    def start(self, is_first_start=False):
        path = os.path.join(self.folder, "boot.yaml")
        with open(path, "w") as file:
            file.write(self.settings(is_first_start))
        if self.kind == "control":
            os.makedirs(self.data, exist_ok=True)
        self.log = open(os.path.join(self.folder, "log"), "ab")
        program = CONTROL if self.kind == "control" else ENTRY
        self.process = subprocess.Popen(
            [program], cwd=ROOT, stdout=self.log, stderr=self.log, stdin=subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""), "CAMPHORSPINDLE_SETTINGS": path})
        self.fleet.record("start %s at %s%s" % (
            self.name, self.ip, ", first start" if is_first_start else ""))

    def send_signal(self, number):
        self.fleet.record("%s to %s" % (signal.Signals(number).name, self.name))
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None


class Fleet:
    """A small deployment."""

    def __init__(self, record, machines, seeds, tolerated_losses=1):
        """machines: list of (kind, name, zone); seeds: names of the founders."""
        for program in (CONTROL, ENTRY):
            if not os.access(program, os.X_OK):
                raise CannotRun(program + " is not built")
        self.record, self.tolerated_losses = record, tolerated_losses
        self._temporary = tempfile.TemporaryDirectory(prefix="review-3-")
        self.folder = self._temporary.name
        network = "127.%d.%d" % (random.randint(20, 240), random.randint(1, 250))
        self.machines = {}
        for n, (kind, name, zone) in enumerate(machines):
            self.machines[name] = Machine(self, kind, name, zone, "%s.%d" % (network, n + 1))
        self.seeds = [self.machines[name] for name in seeds]
        self.worker_ip = network + ".200"
        addresses = [it.ip for it in self.machines.values()]
        (self.rpc_port, self.metrics_port, self.control_port, self.caller_port,
         self.ready_port) = free_ports(addresses, 5)

    def __getitem__(self, name):
        return self.machines[name]

    def controls(self):
        return [it for it in self.machines.values() if it.kind == "control" and it.is_running()]

    def entries(self):
        return [it for it in self.machines.values() if it.kind == "entry" and it.is_running()]

    def close(self):
        for it in self.machines.values():
            if it.is_running():
                it.process.kill()
        for it in self.machines.values():
            if it.process is not None:
                it.process.wait()
        self._temporary.cleanup()


def metric(machine, name):
    """A metric that a machine's process exposes."""
    _, text = call(machine.ip, machine.fleet.metrics_port, "GET", "/metrics")
    for line in (text or "").splitlines():
        if line.startswith(name + " "):
            return float(line.split()[1])
    return None


def call(ip, port, method, path, body=None, timeout=1.0, headers=None):
    """One request. Returns (status, text), or (None, reason) without an answer."""
    connection = http.client.HTTPConnection(ip, port, timeout=timeout)
    try:
        all_headers = {"Content-Type": "application/json"}
        all_headers.update(headers or {})
        connection.request(method, path, body=body, headers=all_headers)
        response = connection.getresponse()
        return response.status, response.read().decode()
    except (OSError, http.client.HTTPException) as error:
        return None, type(error).__name__
    finally:
        connection.close()


def configuration(version, timeout_ms=1500):
    """A configuration of one queue."""
    return json.dumps({
        "version": version,
        "routes": [{"name": "r-1", "host": "novo13.example", "path_prefix": "/gono990/",
                    "kind": "non_idempotent", "timeout_ms": timeout_ms, "target_duration_ms": 60,
                    "priority": 0, "service": "gilder-desk", "max_attempts": 3,
                    "stretch_factor": 1.6}],
        "services": [{"name": "gilder-desk", "health_path": "/healthz", "max_conns": 64,
                      "protocol": "h1", "tls": False, "enforces_capacity": True,
                      "standby": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})


class Operator:
    """Sends orders to any node, and sends them again there or elsewhere without a clear answer."""

    def __init__(self, fleet):
        self.fleet, self.record = fleet, fleet.record
        self.acknowledged = 0

    def change(self, version, patience_s, body=None):
        """Returns whether the version was acknowledged. body: other content than the usual one."""
        body = body or configuration(version)
        until = time.monotonic() + patience_s
        while time.monotonic() < until:
            for node in self.fleet.controls():
                status, text = call(node.ip, self.fleet.control_port, "PUT", "/configuration",
                                    body)
                self.record("operator: PUT version %d at %s: %s %s" % (
                    version, node.name, status, "" if status == 200 else text))
                if status == 200:
                    self.acknowledged = max(self.acknowledged, version)
                    return True
            time.sleep(0.5)
        return False

    def read(self, node):
        """Returns the version that a node reads, or None."""
        status, text = call(node.ip, self.fleet.control_port, "GET", "/configuration")
        version = json.loads(text)["version"] if status == 200 else None
        self.record("operator: GET at %s: %s %s" % (
            node.name, status, "version %d" % version if status == 200 else text))
        return version


def run_case(folder, case):
    """Runs case(record, has_trouble) -> whether the rule held, and ends with the exit status."""
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        held = case(record, has_trouble)
    except CannotRun as reason:
        record("cannot run: %s" % reason)
        sys.exit(2)
    record("the rule held" if held else "THE RULE WAS BROKEN")
    sys.exit(0 if held else 1)
