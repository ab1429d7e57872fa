"""Admission and pacing of TLS handshakes, and the delay before a failing peer is dialled again. No I/O.

A handshake step costs as much as many call messages. Steps are therefore scheduled one after another, with a
gap in proportion to their cost: set-ups on established links keep the rest of the processor, however many
peers connect at once.
"""

from __future__ import annotations

import random
from collections import OrderedDict

CPU_SHARE = 0.05  # of a processor for handshakes under load, about 45 a second: calls go first
# Unused time that may be used at once: a single peer does not wait, many peers at once do.
MAX_CREDIT_MS = 12.0
INITIAL_STEP_COST_MS = 0.5  # until a step was measured: about one signature and two verifications
COST_SMOOTHING = 0.1  # weight of the newest step in the moving average of the cost
MAX_STEP_COST_MS = 50.0  # a longer step was preempted, which says nothing about the next one
# A handshake that waits longer for its peer may lose its slot to another connection: some round trips.
STALLED_AFTER_MS = 250.0
MAX_ACTIVE_DIALS = 8  # outgoing handshakes at once: after a restart many peers are dialled a few at a time
# Of the pause after failures in a row: the usual 0.5 s grows to 8 s (at most 10 s with the jitter), so a
# repaired key set is noticed by then.
MAX_DOUBLINGS = 4
JITTER = 0.5  # width of the random factor (0.75 to 1.25): servers that failed together return apart


def backoff(pause: float, failures: int, random_source: random.Random) -> float:
    """Pause after `failures` in a row, doubled with each and randomised; in the unit of `pause`."""
    doubled = pause * 2.0 ** min(failures - 1, MAX_DOUBLINGS)
    return doubled * (1 - JITTER / 2 + JITTER * random_source.random())


class HandshakeScheduler:
    """Slots of inbound handshakes, pacing of handshake steps and redial delays of failing peers."""

    def __init__(self, slots: int, seed: int, cpu_share: float = CPU_SHARE) -> None:
        self.slots, self.cpu_share = slots, cpu_share
        self.random = random.Random(seed)
        # Time of last progress (ms) by key, oldest first.
        self.inbound: OrderedDict[int, float] = OrderedDict()
        self.active_dials = 0
        self.step_cost_ms, self.next_step_at = INITIAL_STEP_COST_MS, 0.0
        self.failures: dict[int, int] = {}  # in a row, by point code

    # -- slots

    def admit(self, now: float, key: int) -> tuple[bool, int | None]:
        """Whether inbound connection `key` may start its handshake, and the key that loses its slot to it.

        A stalled peer keeps its slot only while no other connection needs it.
        """
        stale = None
        if len(self.inbound) >= self.slots:
            stale, last_progress = next(iter(self.inbound.items()))
            if now - last_progress < STALLED_AFTER_MS:
                return False, None
            del self.inbound[stale]
        self.inbound[key] = now
        return True, stale

    def record_progress(self, now: float, key: int) -> None:
        """The handshake of `key` took a step and is not stalled."""
        if key in self.inbound:
            self.inbound[key] = now
            self.inbound.move_to_end(key)

    def holds_slot(self, key: int) -> bool:
        """Whether `key` still has its slot; outgoing handshakes, key 0, need none."""
        return not key or key in self.inbound

    def release_slot(self, key: int) -> None:
        """The handshake of `key` has ended."""
        self.inbound.pop(key, None)

    def may_dial(self) -> bool:
        """Whether another outgoing handshake may start."""
        return self.active_dials < MAX_ACTIVE_DIALS

    # -- pacing

    def schedule_step(self, now: float) -> float:
        """Reserves and returns the time of the next step, `now` or later."""
        at = max(now - MAX_CREDIT_MS, self.next_step_at)
        self.next_step_at = at + self.step_cost_ms / self.cpu_share
        return max(now, at)

    def record_cost(self, cost: float) -> None:
        """Updates the average cost by a step that took `cost` ms."""
        self.step_cost_ms += COST_SMOOTHING * (min(cost, MAX_STEP_COST_MS) - self.step_cost_ms)

    # -- failures

    def record_failure(self, peer: int, pause: float) -> float:
        """Returns how long to wait before the peer is dialled again; `pause` and the result are in ms."""
        count = self.failures[peer] = self.failures.get(peer, 0) + 1
        return backoff(pause, count, self.random)

    def record_success(self, peer: int) -> None:
        """Resets the failure count of the peer."""
        self.failures.pop(peer, None)
