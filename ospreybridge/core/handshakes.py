"""Which handshakes may run, when their next step may, and when a failing peer is dialled again. No I/O.

A step of a handshake costs as much as many messages of a call. So steps are booked one after the other with
a gap in proportion to what they cost: set-ups on standing links keep the rest of the machine, however many
peers come at once.
"""

from __future__ import annotations

import random
from collections import OrderedDict

CPU_SHARE = 0.05  # of a processor for handshakes while they are many: some 45 a second, calls first
CREDIT = 12.0  # ms of unused turns that may be used at once: a lone peer waits for nothing, a storm does
FIRST_COST = 0.5  # ms of a step before any was measured: about one signature and two verifications
LEARNS = 0.1  # weight of the newest step in the measured cost
LONGEST_COST = 50.0  # ms; a step beyond it met a processor that was away, which says nothing of the next one
STALLED_AFTER_MS = (
    250.0  # ms a handshake may wait for its peer before a newcomer may take its slot: some round trips
)
DIALLING = 8  # handshakes of our own at once: a restart with many peers shakes hands a few at a time
MAX_DOUBLINGS = (
    4  # of the pause after failures in a row: with the usual half second a mended set is seen in 8 s
)
JITTER = 0.5  # of a pause is drawn, so that servers that failed together don't come back together


def backoff(pause: float, failures: int, draw: random.Random) -> float:
    """The pause after so many failures in a row, in the unit of `pause`."""
    doubled = pause * 2.0 ** min(failures - 1, MAX_DOUBLINGS)
    return doubled * (1 - JITTER / 2 + JITTER * draw.random())


class HandshakeScheduler:
    def __init__(self, slots: int, seed: int, cpu_share: float = CPU_SHARE) -> None:
        self.slots, self.share = slots, cpu_share
        self.random = random.Random(seed)
        self.inbound: OrderedDict[int, float] = OrderedDict()  # when each last made progress, oldest first
        self.active_dials = 0
        self.step_cost_ms, self.free_at = FIRST_COST, 0.0
        self.failures: dict[int, int] = {}  # in a row, by point code

    # -- slots

    def admit(self, now: float, key: int) -> tuple[bool, int | None]:
        """Whether a connection that came in may shake hands, and whose slot it takes, if somebody's.

        A peer that stops in the middle keeps its slot only while nobody else needs it.
        """
        stale = None
        if len(self.inbound) >= self.slots:
            stale, since = next(iter(self.inbound.items()))
            if now - since < STALLED_AFTER_MS:
                return False, None
            del self.inbound[stale]
        self.inbound[key] = now
        return True, stale

    def record_progress(self, now: float, key: int) -> None:
        if key in self.inbound:
            self.inbound[key] = now
            self.inbound.move_to_end(key)

    def holds_slot(self, key: int) -> bool:
        """Whether the slot is still its own; key 0 needs none."""
        return not key or key in self.inbound

    def release_slot(self, key: int) -> None:
        self.inbound.pop(key, None)

    def may_dial(self) -> bool:
        return self.active_dials < DIALLING

    # -- pace

    def schedule_step(self, now: float) -> float:
        """The moment for the next step; each call books one. Never before `now`."""
        at = max(now - CREDIT, self.free_at)
        self.free_at = at + self.step_cost_ms / self.share
        return max(now, at)

    def record_cost(self, cost: float) -> None:
        """Milliseconds of a step."""
        self.step_cost_ms += LEARNS * (min(cost, LONGEST_COST) - self.step_cost_ms)

    # -- failures

    def record_failure(self, peer: int, pause: float) -> float:
        """How long to wait before this peer is dialled again; `pause` and the answer in milliseconds."""
        count = self.failures[peer] = self.failures.get(peer, 0) + 1
        return backoff(pause, count, self.random)

    def record_success(self, peer: int) -> None:
        self.failures.pop(peer, None)
