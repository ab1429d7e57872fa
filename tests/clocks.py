"""Clocks for event loops under test."""

from __future__ import annotations

import time
from collections.abc import Callable

MAX_STEP_S = 0.25  # between two readings; a loop that runs reads its clock far more often


class ClockWithoutStops:
    """A clock that leaves out the time for which the process did not run.

    It moves on by at most MAX_STEP_S between two readings, so that a stop of the machine lets no time limit
    run out. Whatever else takes long takes as long on it as on its base.
    """

    def __init__(self, base: Callable[[], float] = time.monotonic) -> None:
        self.base, self.last_read, self.now = base, base(), 0.0

    def __call__(self) -> float:
        read = self.base()
        self.now += min(MAX_STEP_S, read - self.last_read)
        self.last_read = read
        return self.now
