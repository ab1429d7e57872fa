"""Warnings before a certificate expires: once at each threshold, and hourly from the last day on. No I/O."""

from __future__ import annotations

DAY_S = 86_400.0
REPEATED_WARNINGS_S = 1.0 * DAY_S  # from the last day on, warnings repeat so that whoever is on call sees one
REPEAT_INTERVAL_S = 3_600.0


class ExpiryWarnings:
    """Tracks expiry times by name and decides which warnings are due."""

    def __init__(self, thresholds_days: tuple[float, ...]) -> None:
        """`thresholds_days`: days before expiry at which a warning is due."""
        self.thresholds_s = tuple(sorted((days * DAY_S for days in thresholds_days), reverse=True))
        self.last_warnings: dict[
            str, tuple[float, float, float]
        ] = {}  # by name: (expiry time, threshold reached, time of the warning), in seconds

    def due_warnings(
        self, now: float, expiry_times: dict[str, float], short_lived: str = ""
    ) -> list[tuple[str, float]]:
        """Returns (name, days left) for each warning that is due; days are negative after expiry.

        A name with a changed expiry time (a renewed certificate) starts over. `now` and `expiry_times` are in
        seconds since 1970. `short_lived` is the name of an item that is renewed every few days, such as a
        revocation list: its warnings begin on its last day.
        """
        warnings = []
        for name, expires_at in expiry_times.items():
            remaining = expires_at - now
            thresholds = (REPEATED_WARNINGS_S,) if name == short_lived else self.thresholds_s
            reached = min((threshold for threshold in thresholds if remaining <= threshold), default=None)
            if reached is None:
                self.last_warnings.pop(name, None)
                continue
            previous = self.last_warnings.get(name)
            is_new = previous is None or previous[0] != expires_at or reached < previous[1]
            is_repeat = (
                previous is not None
                and remaining <= REPEATED_WARNINGS_S
                and now - previous[2] >= REPEAT_INTERVAL_S
            )
            if is_new or is_repeat:
                self.last_warnings[name] = (expires_at, reached, now)
                warnings.append((name, remaining / DAY_S))
        return warnings
