"""When the journal service is asked again: after a break, a silence, or what can't be read. No I/O.

What it would have told counts as told soon after a break or a silence began, so both end in a new connection
at once or well before that; attempts that fail are spread, so that a fleet does not come back in step.
"""

from __future__ import annotations

from random import Random

SILENCE = 1_700.0  # ms without a frame: an empty one is due each second
DIAL_WITHIN = 500.0  # ms for a connection to come up
FIRST_PAUSE = 40.0  # ms before the first new attempt
LONGEST_PAUSE = 640.0  # ms: told counts at the latest two seconds after a break


class Feed:
    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.heard = 0.0
        self.failures = 0

    def opened(self, now: float) -> None:
        self.heard = now

    def frame(self, now: float) -> None:
        """A sound frame came."""
        self.heard, self.failures = now, 0

    def silent(self, now: float) -> bool:
        return now - self.heard >= SILENCE

    def pause(self) -> float:
        """Milliseconds before the next attempt, after one that told nothing."""
        pause = min(LONGEST_PAUSE, FIRST_PAUSE * 2.0**self.failures)
        self.failures = min(self.failures + 1, 16)
        return pause * self.random.uniform(0.5, 1.0)
