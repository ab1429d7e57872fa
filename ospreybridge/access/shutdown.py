"""Phases of a shutdown after SIGTERM, from the longest deadline of the settings. No I/O.

The platform kills the process at the earliest when the longest deadline and a little more have passed since
SIGTERM. Until shortly before that it serves what still arrives, and then each pending call is answered.
"""

from __future__ import annotations

from dataclasses import dataclass

from ospreybridge.interface import Settings

LONGEST_COUNTED_DEADLINE_MS = 3_000.0  # the platform counts longer deadlines as this
KILL_AFTER_DEADLINE_MS = 700.0  # from the longest deadline after SIGTERM to the earliest SIGKILL
KILL_MARGIN_MS = 200.0  # for the last answers to be written and read
NEW_CALLS_MS = 700.0  # new calls of subscribers arrive for up to this time after SIGTERM
TRANSIT_SETUP_MS = 1_000.0  # left for the last call in transit; other exchanges send them all the time


@dataclass(frozen=True, slots=True)
class ShutdownPhases:
    """The ends of the phases, in milliseconds after SIGTERM."""

    accept: float  # until then new calls are served as usual, later ones refused
    accept_transit: float  # the same for calls in transit
    final: float  # pending calls get their final answers then

    @classmethod
    def for_settings(cls, settings: Settings) -> ShutdownPhases:
        """The phases that fit the settings' longest deadline."""
        longest = max(call_class.deadline for call_class in settings.classes)
        earliest_kill = min(longest, LONGEST_COUNTED_DEADLINE_MS) + KILL_AFTER_DEADLINE_MS
        final = max(NEW_CALLS_MS, earliest_kill - KILL_MARGIN_MS)
        return cls(NEW_CALLS_MS, max(NEW_CALLS_MS, final - TRANSIT_SETUP_MS), final)
