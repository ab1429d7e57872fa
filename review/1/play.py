"""One answer of an office stops short; calls that were set up on the same connection come to their end."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from rig import Call, Caller, CallServer, Journal, Log, Office, main, settings

WITHIN_MS = 8_050.0  # the longer of the page's two times, and its 50 ms


async def play(log: Log, folder: Path, trouble: bool) -> list[str]:
    journal = Journal(log)
    await journal.start()
    own = Office(log, 0x10, 0)
    offices = [Office(log, 0x100 + cell, cell, answer_ms=45.0) for cell in range(1, 5)]
    journal.add([office.entry() for office in (own, *offices)])
    server = CallServer(
        log,
        folder,
        "n0",
        journal=f"127.0.0.1:{journal.port}",
        known=journal.known(),
        settings=settings(),
    )
    calls: dict[str, Call] = {}
    ended: dict[str, float] = {}
    spoilt = 0

    async def visit(office: Office, caller: Caller) -> None:
        """A busy moment, some single calls, one spoilt answer, the calls' ends, calls again."""
        nonlocal spoilt
        for _ in range(12):
            caller.launch(office.cell, 1_000)
        await asyncio.sleep(1.0)
        for _ in range(12):
            caller.launch(office.cell, 1_000)
            await asyncio.sleep(0.15)
        office.spoil_next = trouble
        caller.launch(office.cell, 1_000)
        await asyncio.sleep(0.2)
        spoilt += any(event == "spoilt" for _, event, _ in office.history)
        for uid in list(office.standing):
            if "running" in calls[uid].kinds():
                ended[uid] = log.now()
                office.end_call(uid)
                await asyncio.sleep(0.04)
        await asyncio.sleep(0.5)
        for _ in range(4):
            caller.launch(office.cell, 1_000)
        for _ in range(24):
            await asyncio.sleep(0.4)
            caller.launch(office.cell, 1_000)

    try:
        await server.start()
        caller = await Caller(log, "callers", calls).connect(server.port)
        await asyncio.sleep(0.5)
        await asyncio.gather(*(visit(office, caller) for office in offices))
        await asyncio.sleep(2.0)
        broken = []
        for uid, at in ended.items():
            told = [then for then, kind, _ in calls[uid].heard if kind == "stop"]
            if not told:
                broken.append(f"{uid}: its office released it at {at:.0f}; its caller was never told")
            elif told[0] - at > WITHIN_MS:
                broken.append(
                    f"{uid}: its office released it at {at:.0f}; its caller heard {told[0] - at:.0f} ms later"
                )
        late = sum(
            1
            for uid, at in ended.items()
            if not any(then - at <= 1_050 for then, _, _ in calls[uid].heard[1:])
        )
        log(
            "case",
            f"{len(ended)} calls released by offices, {late} not told in 1 s, {len(broken)} not in 8 s",
        )
        if len(ended) < 60 or (trouble and spoilt < 4):
            raise RuntimeError(f"only {len(ended)} calls ended, {spoilt} answers spoilt")
        return broken
    finally:
        await server.end()


main(Path(__file__).resolve().parent, play)
