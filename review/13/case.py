"""A client cancels its job while it runs: the cancelling is acknowledged, and the job goes on."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "stand-in-3"))
import fleet as f  # noqa: E402
import worker as w  # noqa: E402

CANCEL_S = 3.0
STOP_S = 0.05
# Far more than a request takes from its client to a worker.
SLACK_S = 0.5


def case(record, has_trouble):
    fleet = f.Fleet(record, [
        ("control", "core-a-1", "ga-south-a"), ("control", "core-b-1", "ga-south-b"),
        ("control", "core-c-1", "ga-south-c"), ("entry", "edge-a-1", "ga-south-a"),
        ("entry", "edge-a-2", "ga-south-a")], ["core-a-1", "core-b-1", "core-c-1"])
    workers = []
    try:
        for machine in fleet.machines.values():
            machine.start(is_first_start=machine.kind == "control")
        if not f.Operator(fleet).change(3, 10):
            raise f.CannotRun("the configuration was not acknowledged")
        for n, port in enumerate(f.free_ports([fleet.worker_ip], 4)):
            workers.append(w.Worker(fleet, "i-%d" % n, "ga-south-a", port,
                                    lambda task, run: (1000.0, "done")))
        time.sleep(4.0)
        w.await_ready(fleet)
        # All machines have been in touch for longer than contact_ms.
        time.sleep(3.0)
        caller = w.Caller(fleet)
        job = "5c0e7a21d94b36f8"
        # A chain of tasks of a second each.
        phases = [{"count": 2, "cpu": 14000, "mem_mb": 64, "estimated_ms": 1000}]
        for n in range(1, 8):
            phases.append(dict(phases[0], depends_on=[n - 1]))
        entry = fleet["edge-a-1"]
        client = threading.Thread(target=caller.submit, args=(
            entry, job, caller.job("leaf", phases), 30.0, 30000))
        client.start()
        time.sleep(0.7)
        acknowledged_at = None
        if has_trouble:
            status, _ = caller.request("DELETE", entry, job)
            if status is None or not (200 <= status < 300 or status == 410):
                raise f.CannotRun("the cancelling was not acknowledged")
            acknowledged_at = record.now()
        client.join()
        time.sleep(0.5)
        runs = [run for it in workers for run in it.history]
        if not runs:
            raise f.CannotRun("nothing ran")
        if acknowledged_at is None:
            return True
        bound = acknowledged_at + CANCEL_S
        starts = [it for it in runs if it[3] > bound + SLACK_S]
        late = [it for it in runs if it[4] > bound + STOP_S + SLACK_S]
        record("acknowledged at %.3f; starts later than cancel_ms after that: %d; tasks that ran on "
               "stop_timeout_ms after that: %d" % (acknowledged_at, len(starts), len(late)))
        return not starts and not late
    finally:
        for it in workers:
            it.close()
        fleet.close()


f.run_case(os.path.dirname(os.path.abspath(__file__)), case)
