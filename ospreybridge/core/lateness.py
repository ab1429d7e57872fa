"""Measures how late timers run in this process and derives the margin kept for answering in time. No I/O.

Without the margin this process itself could break rule 1 (every call gets its final answer in time): on a
shared processor an answer sent in time may arrive late, and a stall is often followed by another. The cost:
calls after a stall have slightly less time for their set-up.
"""

from __future__ import annotations

import math

HALF_LIFE_MS = 5_000.0  # of the recorded maximum: some seconds, as stalls come in groups
# Beyond it the process was stopped, not busy, which says nothing about further lateness.
MAX_LATENESS_MS = 10_000.0
MIN_LATENESS_MS = 1.0  # timer resolution of the loop
MARGIN_FACTOR = 2.0  # lateness applies twice: on the way in and on the way out
MAX_MARGIN_SHARE = 0.1  # of the caller's time: a larger margin would cost more calls than it saves


class LatenessTracker:
    """Decaying maximum of the lateness of timers."""

    def __init__(self) -> None:
        self.peak_ms, self.peak_at = 0.0, 0.0

    def record(self, now: float, late_ms: float) -> None:
        """Records that a timer ran `late_ms` after its due time."""
        if MIN_LATENESS_MS < late_ms < MAX_LATENESS_MS:
            self.peak_ms, self.peak_at = max(self._decayed_peak(now), late_ms), now

    def margin(self, now: float, patience: float, min_margin: float) -> float:
        """Margin (ms) to keep of `patience` ms: at least `min_margin`, but never more than a tenth."""
        return min(max(min_margin, MARGIN_FACTOR * self._decayed_peak(now)), MAX_MARGIN_SHARE * patience)

    def _decayed_peak(self, now: float) -> float:
        return self.peak_ms * math.pow(0.5, (now - self.peak_at) / HALF_LIFE_MS)
