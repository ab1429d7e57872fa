"""Timers of the core: a heap of due times. No clock is read here; the time is passed in."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any

from ospreybridge.core.lateness import LatenessTracker


class ScheduledTimer:
    """One armed timer. `cancel` is cheap: the entry is removed from the heap only when it falls due."""

    __slots__ = ("args", "callback")

    def __init__(self, callback: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.callback: Callable[..., None] | None = callback
        self.args = args

    def cancel(self) -> None:
        """Prevents the call; has no effect once it was made."""
        self.callback, self.args = None, ()


class TimerQueue:
    """All timers of one event loop, and how late they run."""

    def __init__(self) -> None:
        self.lateness = LatenessTracker()
        self.heap: list[tuple[float, int, ScheduledTimer]] = []
        self.sequence = count()  # timers due at the same time run in the order in which they were armed

    def schedule(self, when: float, callback: Callable[..., None], *args: Any) -> ScheduledTimer:
        """Calls `callback(now, *args)` at `when`, in ms of the clock whose time `run_due` is given."""
        timer = ScheduledTimer(callback, args)
        heapq.heappush(self.heap, (when, next(self.sequence), timer))
        return timer

    def next_due(self) -> float | None:
        """Time of the next timer; None if there is none."""
        while self.heap and self.heap[0][2].callback is None:
            heapq.heappop(self.heap)
        return self.heap[0][0] if self.heap else None

    def run_due(self, now: float) -> None:
        """Runs the timers that are due."""
        heap = self.heap
        if heap and heap[0][0] < now:
            self.lateness.record(now, now - heap[0][0])
        while heap and heap[0][0] <= now:
            timer = heapq.heappop(heap)[2]
            if timer.callback is not None:
                callback, args = timer.callback, timer.args
                timer.callback = None
                callback(now, *args)
