"""The machine that gives a zone's orders freezes for 4 s and wakes again, three times, while its
zone's clients wait for 1.5 s, leave, and hand their jobs in at another node."""

import asyncio
import pathlib
import signal
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import standins  # noqa: E402

ZONE = "ga-south-a"
FREEZE_S = 4.0
FREEZES = 3
JOBS_PER_S = 20.0
# One task of 1 s: about the mean of cure-check.
PHASES = [{"count": 1, "cpu": 14_000, "mem_mb": 64, "estimated_ms": 1_000}]
WORK_MS = [1_000]


async def clients(fleet):
    while True:
        job = fleet.new_job(PHASES, WORK_MS)
        fleet.keep(asyncio.create_task(fleet.hand_in(ZONE, job, deadline_ms=1_500)))
        await asyncio.sleep(1.0 / JOBS_PER_S)


async def case(fleet, trouble):
    traffic = asyncio.create_task(clients(fleet))
    for _ in range(FREEZES):
        await asyncio.sleep(5.0)
        machine = await fleet.holder(ZONE)
        if machine is None:
            raise standins.CannotRun("no machine of the zone holds its workers")
        fleet.record.line("freeze", machine=machine.name, trouble=trouble)
        if trouble:
            machine.signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        if trouble:
            machine.signal(signal.SIGCONT)
        await asyncio.sleep(6.0)
    traffic.cancel()
    await asyncio.sleep(8.0)
    pairs = standins.double_runs(fleet.record)
    for first, second, overlap in pairs:
        fleet.record.say(
            f"TWICE: {first.task} run {first.number} on {first.worker} from "
            f"{fleet.record.seconds(first.started):.3f} s under token {first.token}, and run "
            f"{second.number} on {second.worker} from {fleet.record.seconds(second.started):.3f} s "
            f"under token {second.token}: both for {overlap:.0f} ms")
    answers = [answer[1] for job in fleet.jobs.values() for answer in job["answers"]]
    fleet.record.say(f"{len(fleet.jobs)} jobs, {len(fleet.record.runs)} runs, answers: "
                     + ", ".join(f"{it}: {answers.count(it)}" for it in sorted(set(answers))))
    return len(pairs)


standins.main(pathlib.Path(__file__).parent, case)
