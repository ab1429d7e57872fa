"""Schedules the move of established links to a new association: after a key set was replaced, and by age.

No I/O; the time is passed in, and the randomness is seeded. The moves are spread so that a fleet whose
certificates were replaced together, or that started together, does not do its handshakes all at once.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from ospreybridge.core.handshakes import backoff

MAX_CONCURRENT_MOVES = 2  # one may wait for a silent peer without holding up the rest
RETRY_MS = 1_000.0  # before a failed move is tried again, doubled with each failure in a row
AGE_SPREAD_SHARE = 0.2  # of the age: links that came up together move within this part of it
MAX_CHECK_DELAY_MS = 1_000.0
MIN_CHECK_DELAY_MS = 20.0


@dataclass(slots=True)
class RenewableLink:
    """When one link moves to a new association."""

    digest: str  # of the key set its handshake used
    due: float  # ms
    failures: int = 0


class RenewalScheduler:
    """Links by point code; only those this side dials, as the other side cannot start an association."""

    def __init__(self, age: float, spread: float, seed: int) -> None:
        """`age`: ms after which a link moves; `spread`: ms within which all move after a replacement."""
        self.age, self.spread, self.random = age, spread, random.Random(seed)
        self.links: dict[int, RenewableLink] = {}
        self.moving: set[int] = set()
        self.current_digest = ""

    def link_up(self, now: float, peer: int, digest: str) -> None:
        """A link came up, by a handshake with the key set `digest`."""
        due = now + self.age * (1 - AGE_SPREAD_SHARE * self.random.random())
        if self.current_digest and digest != self.current_digest:  # replaced again during the handshake
            due = min(due, now + self.spread * self.random.random())
        self.links[peer] = RenewableLink(digest, due)

    def link_down(self, peer: int) -> None:
        """A link was lost and is no longer scheduled."""
        self.links.pop(peer, None)

    def key_set_replaced(self, now: float, digest: str) -> None:
        """A new key set is in use: links of older ones get equal parts of the spread, in random order."""
        self.current_digest = digest
        stale = [peer for peer, link in self.links.items() if link.digest != digest]
        self.random.shuffle(stale)
        for place, peer in enumerate(stale):
            at = now + self.spread * (place + self.random.random()) / len(stale)
            self.links[peer].due = min(self.links[peer].due, at)

    def take_due(self, now: float) -> list[int]:
        """Peers whose links move now; `move_ended` must be called for each."""
        due = [p for p, link in self.links.items() if link.due <= now and p not in self.moving]
        due.sort(key=lambda peer: self.links[peer].due)
        chosen = due[: max(0, MAX_CONCURRENT_MOVES - len(self.moving))]
        self.moving.update(chosen)
        return chosen

    def move_ended(self, now: float, peer: int, moved: bool) -> None:
        """A move ended. A failed one is tried again later; the link stays established meanwhile."""
        self.moving.discard(peer)
        link = self.links.get(peer)
        if link is not None and not moved:
            link.failures += 1
            link.due = now + backoff(RETRY_MS, link.failures, self.random)

    def next_check_delay(self, now: float) -> float:
        """Milliseconds until the next call of `take_due` is due."""
        due = min((link.due for p, link in self.links.items() if p not in self.moving), default=now + 1e9)
        return min(MAX_CHECK_DELAY_MS, max(MIN_CHECK_DELAY_MS, due - now))
