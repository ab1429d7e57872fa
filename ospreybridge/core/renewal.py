"""When standing links move over to a new association: after their set was replaced, and at a stated age.

No I/O, time from the caller, randomness from a seed. The moves are spread so that a fleet whose certificates
were replaced together, or that came up together, does not shake hands together.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from ospreybridge.core.handshakes import backoff

MAX_CONCURRENT_MOVES = (
    2  # moves in progress: one may hang at a peer that does not answer without holding up the rest
)
RETRY = 1_000.0  # ms before a failed move is tried again, doubled with each failure in a row
AGE_SPREAD = 0.2  # of the age: links that came up together move over within this part of it
LONGEST_LOOK = 1_000.0  # ms between looks
SHORTEST_LOOK = 20.0


@dataclass(slots=True)
class Standing:
    digest: str  # of the set its handshake used
    due: float
    failures: int = 0


class RenewalScheduler:
    """Links by point code; only those that this side dials: the other side can't begin an association."""

    def __init__(self, age: float, spread: float, seed: int) -> None:
        """`age`, `spread`: milliseconds."""
        self.age, self.spread, self.random = age, spread, random.Random(seed)
        self.links: dict[int, Standing] = {}
        self.moving: set[int] = set()
        self.current_digest = ""

    def link_up(self, now: float, peer: int, digest: str) -> None:
        """A link stands since now, by a handshake that used the set `digest`."""
        due = now + self.age * (1 - AGE_SPREAD * self.random.random())
        if self.current_digest and digest != self.current_digest:  # replaced again while it was shaking hands
            due = min(due, now + self.spread * self.random.random())
        self.links[peer] = Standing(digest, due)

    def link_down(self, peer: int) -> None:
        self.links.pop(peer, None)

    def key_set_replaced(self, now: float, digest: str) -> None:
        """A new set is in use: each link of an older one gets its own part of the spread, in drawn order."""
        self.current_digest = digest
        stale = [peer for peer, link in self.links.items() if link.digest != digest]
        self.random.shuffle(stale)
        for place, peer in enumerate(stale):
            at = now + self.spread * (place + self.random.random()) / len(stale)
            self.links[peer].due = min(self.links[peer].due, at)

    def take_due(self, now: float) -> list[int]:
        """The peers whose links move over now; `over` must be called for each."""
        due = [p for p, link in self.links.items() if link.due <= now and p not in self.moving]
        due.sort(key=lambda peer: self.links[peer].due)
        chosen = due[: max(0, MAX_CONCURRENT_MOVES - len(self.moving))]
        self.moving.update(chosen)
        return chosen

    def move_ended(self, now: float, peer: int, moved: bool) -> None:
        """A move ended. A failed one is tried again later; the standing link stays meanwhile."""
        self.moving.discard(peer)
        link = self.links.get(peer)
        if link is not None and not moved:
            link.failures += 1
            link.due = now + backoff(RETRY, link.failures, self.random)

    def next_check_delay(self, now: float) -> float:
        """Milliseconds until the next look is worth while."""
        due = min((link.due for p, link in self.links.items() if p not in self.moving), default=now + 1e9)
        return min(LONGEST_LOOK, max(SHORTEST_LOOK, due - now))
