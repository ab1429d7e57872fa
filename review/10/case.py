"""The call server stands still while an office begins to drain, and then sends it new set-ups."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

import stand

STANDSTILL_S = 1.9  # page: 1,500 to 2,000 ms
GRACE_MS = 1000.0  # page: nothing new later than 1 s after it was told
SLACK_MS = 50.0  # page: each time limit grows by 50 ms
CALLS = 8


async def case(stage: stand.Stage) -> bool:
    await stage.server.start(stage.journal)
    caller = await stage.caller("caller")
    await stage.settle(caller, "1")
    office = stage.offices[1]
    await asyncio.sleep(1.0)
    # A moment at which no empty frame of the journal service is due for the next second.
    frame_at = stage.journal.empty_frame_at
    if not await stage.until(lambda: stage.journal.empty_frame_at > frame_at, 5.0):
        raise stand.CannotRun("no frame from the journal service")
    await asyncio.sleep(0.05)
    if stand.TROUBLE:
        stage.server.signal(signal.SIGSTOP)
    for index in range(CALLS):  # they come in the first 0.3 s of the standstill
        await asyncio.sleep(0.3 / CALLS)
        caller.launch(f"2{index:015x}", 1, 3000)
    await asyncio.sleep(0.1)
    event = stage.journal.add(office.member(stand.DRAINING))
    told = stage.journal.times[event]
    await asyncio.sleep(STANDSTILL_S - 0.4)
    if stand.TROUBLE:
        stage.server.signal(signal.SIGCONT)
    await asyncio.sleep(5.0)
    late = [(at, uid) for at, uid in office.launches if at > told + GRACE_MS + SLACK_MS]
    for at, uid in late:
        stage.record(f"{uid} reached the draining office {at - told:.0f} ms after the call server was told")
    stage.record(f"sent too late: {len(late)} of {len(office.launches)} set-ups to that office")
    return not late


stand.main(__file__, case)
