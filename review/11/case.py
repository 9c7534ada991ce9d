"""A control machine is replaced as planned, then two others lose their disks: the configuration that
was acknowledged cannot be read any more."""
import os
import shutil
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "stand-in-3"))
import fleet as f  # noqa: E402

CATCH_UP_S = 6.0
RECOVERY_S = 15.0
DARK_S = 3.0
CORE = ["core-a-1", "core-b-1", "core-c-1", "core-a-2", "core-b-2", "core-c-2"]
SUCCESSOR = "core-c-3"


def read_back(record, fleet, operator, patience_s):
    """The operator asks every machine that runs until one answers with a configuration."""
    until = record.now() + patience_s
    while record.now() < until:
        for node in fleet.controls():
            version = operator.read(node)
            if version is not None:
                return version
        time.sleep(1.0)
    return None


def case(record, has_trouble):
    fleet = f.Fleet(
        record, [("control", name, "ga-south-" + name[5]) for name in CORE + [SUCCESSOR]],
        CORE[:3], tolerated_losses=2)
    try:
        for name in CORE:
            fleet[name].start(is_first_start=True)
        operator = f.Operator(fleet)
        if not operator.change(3, 10):
            raise f.CannotRun("the first configuration was not acknowledged")
        time.sleep(CATCH_UP_S)
        # The new machine comes first, and has twice the time in which a machine catches up.
        fleet[SUCCESSOR].start()
        time.sleep(2 * CATCH_UP_S)
        if not operator.change(8, 4):
            raise f.CannotRun("a configuration was not acknowledged beside the new machine")
        if has_trouble:
            fleet["core-c-1"].send_signal(signal.SIGTERM)
            fleet["core-c-1"].process.wait()
            record("core-c-1 has ended and is gone for good")
        time.sleep(1.0)
        if not operator.change(11, 4):
            raise f.CannotRun("a configuration was not acknowledged after the replacement")
        if has_trouble:
            lost = [fleet["core-a-1"], fleet["core-b-1"]]
            for it in lost:
                it.send_signal(signal.SIGKILL)
                it.process.wait()
                shutil.rmtree(it.data)
                record("%s has lost its disk" % it.name)
            time.sleep(DARK_S)
            for it in lost:
                it.start()
            time.sleep(RECOVERY_S)
        version = read_back(record, fleet, operator, 2 * RECOVERY_S)
        record("acknowledged: version %d, read back: %s" % (operator.acknowledged, version))
        return version is not None and version >= operator.acknowledged
    finally:
        fleet.close()


f.run_case(os.path.dirname(os.path.abspath(__file__)), case)
