"""Silence detection and reconnection delays for the connection to the journal service. No I/O.

The platform expects the server to know of a change at the latest two seconds after a break or a silence
began, so it reconnects well within that time. Delays are jittered, so that a fleet doesn't reconnect in step.
"""

from __future__ import annotations

from random import Random

SILENCE_TIMEOUT_MS = 1_700.0  # the service sends a frame, if only an empty one, each second
DIAL_TIMEOUT_MS = 500.0
FIRST_RETRY_DELAY_MS = 40.0
MAX_RETRY_DELAY_MS = 640.0  # within the two seconds after which changes count as known


class JournalFeed:
    """State of the connection to the journal service."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.last_received = 0.0
        self.failures = 0

    def connected(self, now: float) -> None:
        """A new connection is open; the silence is counted from here."""
        self.last_received = now

    def frame_received(self, now: float) -> None:
        """A valid frame was received: the next retry delay is the shortest again."""
        self.last_received, self.failures = now, 0

    def is_silent(self, now: float) -> bool:
        """Whether the connection counts as dead."""
        return now - self.last_received >= SILENCE_TIMEOUT_MS

    def next_retry_delay(self) -> float:
        """Milliseconds until the next dial; doubles with each connection that brought no frame."""
        delay = min(MAX_RETRY_DELAY_MS, FIRST_RETRY_DELAY_MS * 2.0**self.failures)
        self.failures = min(self.failures + 1, 16)
        return delay * self.random.uniform(0.5, 1.0)
