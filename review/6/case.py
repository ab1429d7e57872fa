"""Bad clients send hundreds of set-ups at once that name offices which don't exist."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

import stand

BAD_CLIENTS = 30
SET_UPS_EACH = 300  # "hundreds of requests at once"
CROSSING_MS = 100.0  # a set-up that crosses a close within 50 ms may go again; twice that is left out here
LEFT_MS = 3000


def misbehave(stage: stand.Stage, number: int, client: stand.Caller) -> bytes:
    """What a bad client sends at once. It confirms no release (`stopped` is free)."""
    stage.record(f"bad client {number}: {SET_UPS_EACH} set-ups for ids that no office knows")
    uids = [f"bad{number:05x}{index:08x}" for index in range(SET_UPS_EACH)]
    return b"".join(client.set_up(uid, 1, LEFT_MS, ";at:s-0bad0bad") for uid in uids)


async def case(stage: stand.Stage) -> bool:
    journal = stage.journal
    await stage.server.start(journal)
    for office in stage.offices.values():
        office.answer_after_s = 0.3
    callers = [await stage.caller(f"caller {number}") for number in range(3)]
    await stage.settle(callers[0], "1")
    bad = [
        await stage.caller(f"bad client {number}") for number in range(BAD_CLIENTS if stand.TROUBLE else 0)
    ]
    for client in bad:
        client.quiet, client.confirms = True, False
    in_use = list(callers)
    for step in range(100):  # 10 s, 20 calls a second
        if step == 8:
            floods = [misbehave(stage, number, client) for number, client in enumerate(bad)]
            for client, flood in zip(bad, floods, strict=True):
                client.writer.write(flood)
        for index in range(2):
            place = (step + index) % len(in_use)
            if in_use[place].closed_at is not None:  # a caller whose connection ended opens another one
                in_use[place] = await stage.caller(f"caller {len(callers)}")
                callers.append(in_use[place])
            in_use[place].launch(f"2{step:07x}{index:08x}", 1 + (step + index) % 4, LEFT_MS)
        await asyncio.sleep(0.1)
    await asyncio.sleep(LEFT_MS / 1000.0 + 0.6)
    told = sum(any(entry[1]["kind"] == "stop" for entry in each) for c in bad for each in c.received.values())
    stage.record(f"bad clients: {told} of {len(bad) * SET_UPS_EACH} set-ups were turned away")
    forwarded = {uid for office in stage.offices.values() for _, uid in office.launches}
    lost = []
    for caller in callers:
        for uid, sent_at in caller.sent.items():
            if caller.first(uid, "running", "stop") is not None:
                continue
            if caller.closed_at is not None and caller.closed_at - sent_at < CROSSING_MS:
                continue
            lost.append(uid)
            state = "an office had it" if uid in forwarded else "no office had it"
            stage.record(f"{caller.name}: {uid} has no answer ({state})")
    ended = sum(caller.closed_at is not None for caller in callers)
    stage.record(
        f"lost: {len(lost)} of {sum(len(c.sent) for c in callers)} calls; connections ended: {ended}"
    )
    return not lost


stand.main(__file__, case)
