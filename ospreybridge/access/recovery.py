"""When a new connection to an office is needed to receive releases that may have been lost with an older one.

An office sends the release of a call on one connection and once more on the next that opens. If the first one
ended, or is open but of no use any more, the call server learns of the release only from a new connection, so
one is opened after each such event. No I/O; times are milliseconds of the event loop's clock.
"""

from __future__ import annotations


class ReleaseRecovery:
    """Whether connections were lost since the last one was opened to an office."""

    def __init__(self) -> None:
        self.due_at: float | None = None  # when to open a connection; None: no loss is uncovered
        self._covered_from = 0.0  # a connection whose dial began then or later covers every loss so far

    def request(self, at: float) -> None:
        """A connection was lost: another one, dialled at `at` or later, is needed."""
        self._covered_from = max(self._covered_from, at)
        if self.due_at is None:
            self.due_at = at

    def is_due(self, now: float) -> bool:
        """Whether a connection has to be opened now."""
        return self.due_at is not None and now >= self.due_at

    def connected(self, dial_started_at: float) -> None:
        """A connection was opened; it covers the losses whose time had come when its dial began."""
        if self.is_due(dial_started_at):
            self.due_at = self._covered_from if dial_started_at < self._covered_from else None
