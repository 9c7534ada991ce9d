"""A control machine erases its disk because of a removal that the group has never agreed on."""
import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand-in-2"))
sys.dont_write_bytecode = True
import signal  # noqa: E402

import fleet  # noqa: E402

# Seconds after the first freeze began.
SECOND_FREEZE_AT_S = 3.85
FIRST_THAW_AT_S = 4.6
WIPE_AT_S = 5.6
SECOND_THAW_AT_S = 6.6
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
    first, second = [it for it in system.controls[:3] if it is not wiped]
    record(f"roles: {wiped.name} leads, {first.name} freezes first, {second.name} second")
    newest = system.configuration(8, ["/lohu930/", "/volo102/"])
    if not await system.put_configuration(newest):
        record("verdict: version 8 was not acknowledged before the disruption")
        return 2
    # All machines hold version 8 before anything happens.
    await asyncio.sleep(2)
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
        # The operator's call arrives again, and the machine acknowledges it right before the loss.
        await system.put_configuration(newest, [wiped], 1)
        await wiped.lose_power_and_disk()
        await at(SECOND_THAW_AT_S)
        second.signal(signal.SIGCONT)
        await asyncio.sleep(RESTART_AFTER_S)
        await wiped.start()
    record("all machines are back")
    await asyncio.sleep(fleet.BOUNDS["recovery_s"] + 2 * fleet.BOUNDS["contact_ms"] / 1000)
    return await system.read_back(8)


if __name__ == "__main__":
    sys.exit(fleet.run_case(HERE, case))
