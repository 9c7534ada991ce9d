"""On a quiet night the machine that gives a zone's orders freezes for 2.5 s and wakes again, just as
some jobs come; three times."""

import asyncio
import pathlib
import signal
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import standins  # noqa: E402

ZONE = "ga-south-a"
FREEZE_S = 2.5
ROUNDS = 3
JOBS = 12  # Of one round, handed in within JOBS_S.
JOBS_S = 0.2
# One task of 1.4 s: within the durations of cure-check (0.9 s on average, 3.6 s at most).
PHASES = [{"count": 1, "cpu": 14_000, "mem_mb": 64, "estimated_ms": 1_400}]
WORK_MS = [1_400]


async def hand_in_some(fleet):
    for _ in range(JOBS):
        job = fleet.new_job(PHASES, WORK_MS)
        fleet.keep(asyncio.create_task(fleet.hand_in(ZONE, job, deadline_ms=4_500)))
        await asyncio.sleep(JOBS_S / JOBS)


async def case(fleet, trouble):
    await hand_in_some(fleet)
    for _ in range(ROUNDS):
        await asyncio.sleep(8.0)  # Until the jobs of the round before have ended.
        machine = await fleet.holder(ZONE)
        if machine is None:
            raise standins.CannotRun("no machine of the zone holds its workers")
        fleet.record.line("freeze", machine=machine.name, trouble=trouble)
        if trouble:
            machine.signal(signal.SIGSTOP)
        await hand_in_some(fleet)
        await asyncio.sleep(FREEZE_S - JOBS_S)
        if trouble:
            machine.signal(signal.SIGCONT)
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
