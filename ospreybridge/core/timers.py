"""Timers of the core: a heap of due times. Nothing here reads a clock; time is handed in."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any

from ospreybridge.core.lateness import Lateness


class ScheduledTimer:
    """One armed timer. `cancel` is cheap: the heap forgets it when its time comes."""

    __slots__ = ("args", "call")

    def __init__(self, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.call: Callable[..., None] | None = call
        self.args = args

    def cancel(self) -> None:
        self.call, self.args = None, ()


class TimerQueue:
    def __init__(self) -> None:
        self.lateness = Lateness()
        self.heap: list[tuple[float, int, ScheduledTimer]] = []
        self.order = count()  # timers of one moment run in the order in which they were armed

    def schedule(self, when: float, call: Callable[..., None], *args: Any) -> ScheduledTimer:
        """`call(now, *args)` at `when`, in milliseconds of the clock that `run` is given."""
        due = ScheduledTimer(call, args)
        heapq.heappush(self.heap, (when, next(self.order), due))
        return due

    def next_due(self) -> float | None:
        while self.heap and self.heap[0][2].call is None:
            heapq.heappop(self.heap)
        return self.heap[0][0] if self.heap else None

    def run_due(self, now: float) -> None:
        heap = self.heap
        if heap and heap[0][0] < now:
            self.lateness.saw(now, now - heap[0][0])
        while heap and heap[0][0] <= now:
            due = heapq.heappop(heap)[2]
            if due.call is not None:
                call, args = due.call, due.args
                due.call = None
                call(now, *args)
