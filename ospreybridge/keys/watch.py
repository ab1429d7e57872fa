"""Warnings before a certificate ends: each stated time once, then each day of the last ones. No I/O."""

from __future__ import annotations

DAY = 86_400.0  # seconds
LAST_DAYS = 1.0 * DAY  # from here on a warning each hour: whoever is on call must not miss it
HOUR = 3_600.0


class Expiry:
    """Watches ends by name; `due` gives what is to be said now."""

    def __init__(self, stages: tuple[float, ...]) -> None:
        """`stages`: days before the end at which a warning is due."""
        self.stages = tuple(sorted((days * DAY for days in stages), reverse=True))
        self.said: dict[str, tuple[float, float, float]] = {}  # end, stage passed, when last said

    def due(self, now: float, ends: dict[str, float], brief: str = "") -> list[tuple[str, float]]:
        """(name, days left; negative once over) of each warning due. A renewed one begins anew.

        `brief` lives for days only, as a revocation list does: it is told of on its last one.
        """
        found = []
        for name, end in ends.items():
            left = end - now
            stages = (LAST_DAYS,) if name == brief else self.stages
            passed = min((stage for stage in stages if left <= stage), default=None)
            if passed is None:
                self.said.pop(name, None)
                continue
            known = self.said.get(name)
            fresh = known is None or known[0] != end or passed < known[1]
            again = known is not None and left <= LAST_DAYS and now - known[2] >= HOUR
            if fresh or again:
                self.said[name] = (end, passed, now)
                found.append((name, left / DAY))
        return found
