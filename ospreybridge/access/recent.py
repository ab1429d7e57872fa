"""The ids of calls that ended a short time ago and may have taken effect at an office. No I/O.

Callers use a new id for each set-up, and for each retry. An id that comes again belongs to the same call,
which may have run: an office may have answered it after its caller had left, or a moment before.

Times are milliseconds of the event loop's clock.
"""

from __future__ import annotations

from collections import OrderedDict

REMEMBERED_MS = 10_000.0  # longer than a caller waits for any answer
MAX_REMEMBERED = 20_000  # the oldest is forgotten for a new one


class RecentCalls:
    """Ids of calls that ended, oldest first."""

    def __init__(self) -> None:
        self._ended_at: OrderedDict[str, float] = OrderedDict()  # by uid

    def __len__(self) -> int:
        return len(self._ended_at)

    def add(self, now: float, uid: str) -> None:
        """A call ended now that may have taken effect."""
        self._ended_at[uid] = now
        self._ended_at.move_to_end(uid)
        if len(self._ended_at) > MAX_REMEMBERED:
            self._ended_at.popitem(last=False)

    def contains(self, now: float, uid: str) -> bool:
        """Whether the call ended within the last REMEMBERED_MS."""
        return now - self._ended_at.get(uid, -REMEMBERED_MS) < REMEMBERED_MS

    def expire(self, now: float) -> None:
        """Forgets the calls that ended too long ago."""
        while self._ended_at and now - next(iter(self._ended_at.values())) >= REMEMBERED_MS:
            self._ended_at.popitem(last=False)
