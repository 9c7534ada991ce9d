"""A route is added whose host has capital letters: the entries answer 404 though it is there."""
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "stand-in-3"))
import fleet as f  # noqa: E402
import worker as w  # noqa: E402

CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0


def case(record, has_trouble):
    fleet = f.Fleet(record, [
        ("control", "core-a-1", "ga-south-a"), ("control", "core-b-1", "ga-south-b"),
        ("control", "core-c-1", "ga-south-c"), ("entry", "edge-a-1", "ga-south-a"),
        ("entry", "edge-a-2", "ga-south-a")], ["core-a-1", "core-b-1", "core-c-1"])
    workers = []
    try:
        for machine in fleet.machines.values():
            machine.start(is_first_start=machine.kind == "control")
        operator = f.Operator(fleet)
        if not operator.change(3, 10):
            raise f.CannotRun("the first configuration was not acknowledged")
        for n, port in enumerate(f.free_ports([fleet.worker_ip], 4)):
            workers.append(w.Worker(fleet, "i-%d" % n, "ga-south-a", port,
                                    lambda task, run: (100.0, "done")))
        time.sleep(4.0)
        w.await_ready(fleet)
        host = "Ficu95.Example" if has_trouble else "ficu95.example"
        body = json.loads(f.configuration(8))
        body["routes"].append(dict(body["routes"][0], name="r-2", host=host,
                                   path_prefix="/pufi791/"))
        if not operator.change(8, 4, json.dumps(body)):
            raise f.CannotRun("the change was not acknowledged")
        if operator.read(fleet["core-a-1"]) != 8:
            raise f.CannotRun("the change is not read back")
        # Nothing was disrupted, so all machines are in touch.
        time.sleep(CONFIG_APPLY_S + CONTACT_S)
        phases = [{"count": 1, "cpu": 14000, "mem_mb": 64, "estimated_ms": 100}]
        job = w.Caller(fleet).job("leaf", phases)
        held = True
        for n, entry in enumerate(fleet.entries()):
            # The client sends the host as the route names it.
            for method, path, content in (("GET", "/pufi791/", None),
                                          ("POST", "/pufi791/%016x" % (n + 1), job)):
                status, text = f.call(entry.ip, fleet.caller_port, method, path, content,
                                      timeout=3.0, headers={"Host": host})
                record("client: %s %s, host %s, at %s: %s %s" % (
                    method, path, host, entry.name, status, text))
                if status is None:
                    raise f.CannotRun("an entry does not answer")
                held = held and status != 404
        return held
    finally:
        for it in workers:
            it.close()
        fleet.close()


f.run_case(os.path.dirname(os.path.abspath(__file__)), case)
