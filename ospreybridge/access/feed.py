"""When the journal service is asked again: after a break, a silence, or what can't be read. No I/O.

What it would have told counts as told soon after a break or a silence began, so both end in a new connection
at once or well before that; attempts that fail are spread, so that a fleet does not come back in step.
"""

from __future__ import annotations

from random import Random

SILENCE_TIMEOUT_MS = 1_700.0  # ms without a frame: an empty one is due each second
DIAL_TIMEOUT_MS = 500.0  # ms for a connection to come up
FIRST_RETRY_DELAY_MS = 40.0  # ms before the first new attempt
MAX_RETRY_DELAY_MS = 640.0  # ms: told counts at the latest two seconds after a break


class JournalFeed:
    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.last_received = 0.0
        self.failures = 0

    def connected(self, now: float) -> None:
        self.last_received = now

    def frame_received(self, now: float) -> None:
        """A sound frame came."""
        self.last_received, self.failures = now, 0

    def is_silent(self, now: float) -> bool:
        return now - self.last_received >= SILENCE_TIMEOUT_MS

    def next_retry_delay(self) -> float:
        """Milliseconds before the next attempt, after one that told nothing."""
        pause = min(MAX_RETRY_DELAY_MS, FIRST_RETRY_DELAY_MS * 2.0**self.failures)
        self.failures = min(self.failures + 1, 16)
        return pause * self.random.uniform(0.5, 1.0)
