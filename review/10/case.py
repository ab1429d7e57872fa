"""An office goes silent and the call server dies: a call that stood there is never released."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

import stand

OFFICE_AWAY_S = 8.0  # page: processors go silent and come back cold after 8 to 29 s
NEWS_AFTER_S = 0.55  # site: a start is told 0.51 to 2.1 s late
KILLED_AFTER_S = 1.0  # the call server, after the office went silent
SERVER_AWAY_S = 7.7  # page: call servers come back after 1.1 to 8 s
RELEASE_MS = 8000.0  # page: released within 8 s of its end if no release could be sent
CALL = "2".ljust(16, "0")


async def case(stage: stand.Stage) -> bool:
    await stage.server.start(stage.journal)
    caller = await stage.caller("caller")
    await stage.settle(caller, "1")
    office = stage.offices[1]
    office.hold_s = 0.0
    caller.launch(CALL, 1, 3000)
    if not await stage.until(lambda: caller.first(CALL, "running") is not None, 5.0):
        raise stand.CannotRun("the call did not stand")
    await asyncio.sleep(1.5)
    if stand.TROUBLE:
        office.go_silent()
        await asyncio.sleep(KILLED_AFTER_S)
        stage.record("the call server is killed")
        stage.server.kill()
        killed_at = time.monotonic()
        await asyncio.sleep(OFFICE_AWAY_S - KILLED_AFTER_S)
        started_ms = int(time.time() * 1000)
        await office.come_back()
        await asyncio.sleep(NEWS_AFTER_S)
        stage.journal.add(office.member(started_ms=started_ms))
        await asyncio.sleep(SERVER_AWAY_S - (time.monotonic() - killed_at))
        await stage.server.start(stage.journal)
    office.hold_s = 2.0
    again = await stage.caller("caller after the restart")
    again.launch(CALL, 1, 3000, f";at:{stand.office_name(office.id)}")
    if not stand.TROUBLE:
        await asyncio.sleep(0.5)
        office.end(CALL)
    told_at = stage.record.ms()
    for step in range(100):  # traffic goes on, on the connection that the release may take
        again.launch(f"3{step:015x}", 1 + step % 4, 3000)
        await asyncio.sleep(0.1)
    await asyncio.sleep(2.0)
    releases = [entry for each in (caller, again) if (entry := each.first(CALL, "stop")) is not None]
    for at, _ in releases:
        stage.record(f"the call was released {at - told_at:.0f} ms after it was named or ended")
    if not releases:
        stage.record(f"no release in {stage.record.ms() - told_at:.0f} ms")
    return any(at - told_at <= RELEASE_MS + 50.0 for at, _ in releases)


stand.main(__file__, case)
