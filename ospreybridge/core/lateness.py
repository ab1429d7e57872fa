"""How late this process is, and what it therefore keeps of a caller's time for the answer. No I/O.

Guards against rule 1 broken by the process itself: an answer that leaves in time arrives late where the
processor is shared, and a stall is often followed by another. Harm: calls after a stall have a little less
time to be set up.
"""

from __future__ import annotations

import math

HALF_LIFE = 5_000.0  # ms in which a maximum fades to its half: some seconds, as stalls come in groups
LONGEST = 10_000.0  # ms: what is later than that was stopped, not busy, and tells nothing of what comes
LEAST = 1.0  # ms of lateness worth noting: the loop's own timer resolution
TIMES = 2.0  # of the lateness: it strikes on the way in and on the way out
MOST = 0.1  # of the caller's time: a margin must not cost more calls than it saves


class Lateness:
    def __init__(self) -> None:
        self.peak_ms, self.at = 0.0, 0.0

    def saw(self, now: float, late: float) -> None:
        """A timer ran `late` ms after its moment."""
        if LEAST < late < LONGEST:
            self.peak_ms, self.at = max(self._faded(now), late), now

    def margin(self, now: float, patience: float, least: float) -> float:
        """What to keep of `patience` ms: at least the settings' margin, but never more than a tenth."""
        return min(max(least, TIMES * self._faded(now)), MOST * patience)

    def _faded(self, now: float) -> float:
        return self.peak_ms * math.pow(0.5, (now - self.at) / HALF_LIFE)
