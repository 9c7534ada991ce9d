"""Two control machines freeze for some seconds, a third one loses its disk: the group is lost."""
import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand-in-2"))
sys.dont_write_bytecode = True
import signal  # noqa: E402

import fleet  # noqa: E402

# Seconds after the first freeze began.
SECOND_FREEZE_AT_S = 3.6
FIRST_THAW_AT_S = 5.5
WIPE_AT_S = 6.0
SECOND_THAW_AT_S = 7.5
RESTART_AFTER_S = 1.0


async def case(record, trouble):
    system = fleet.Fleet(record, zones=fleet.TERANGA_ZONES, entries=4, workers=4)
    try:
        if not await system.begin(system.configuration(7, ["/lohu930/"])):
            record("verdict: the system did not become ready")
            return 2
        return await play(record, system, trouble)
    finally:
        await system.end()


async def play(record, system, trouble):
    leaders = [it for it in system.controls[:3] if await it.is_leader()]
    if len(leaders) != 1:
        record("verdict: no single leader among the seeds")
        return 2
    wiped = leaders[0]
    first = next(it for it in system.controls[:3] if it is not wiped)
    second = system.controls[3]
    record(f"roles: {wiped.name} leads, {first.name} freezes first, {second.name} second")
    start = fleet.now()

    async def at(seconds):
        await asyncio.sleep(max(0.0, start + seconds - fleet.now()))

    if trouble:
        first.signal(signal.SIGSTOP)
        await at(SECOND_FREEZE_AT_S)
        second.signal(signal.SIGSTOP)
        await at(FIRST_THAW_AT_S)
        first.signal(signal.SIGCONT)
    await at(WIPE_AT_S)
    running = [it for it in system.controls if it is not second]
    newest = 8
    changed = system.configuration(newest, ["/lohu930/", "/volo102/"])
    if not await system.put_configuration(changed, running, 12):
        newest = 7  # Not acknowledged, so it may or may not be in force.
    if trouble:
        await wiped.lose_power_and_disk()
        await at(SECOND_THAW_AT_S)
        second.signal(signal.SIGCONT)
        await asyncio.sleep(RESTART_AFTER_S)
        await wiped.start()
    record("all machines are back")
    await asyncio.sleep(fleet.BOUNDS["recovery_s"] + 2 * fleet.BOUNDS["contact_ms"] / 1000)
    return await system.read_back(newest)


if __name__ == "__main__":
    sys.exit(fleet.run_case(HERE, case))
