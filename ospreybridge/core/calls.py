"""State of a call in the call server: its incoming leg, its current attempt and its stage."""

from __future__ import annotations

from enum import IntEnum

from ospreybridge.core.circuits import TrunkGroup
from ospreybridge.core.timers import ScheduledTimer
from ospreybridge.signalling.isup import IsupMessage


class CallStage(IntEnum):
    """How far a call has progressed."""

    PENDING = 0  # needs a final answer
    ESTABLISHED = 1  # address complete (ACM) was passed back
    ANSWERED = 2  # answer (ANM or CON) was passed back
    ENDED = 3


class Leg:
    """One side of a call on one trunk group."""

    __slots__ = ("call", "cics", "group", "outgoing", "released_at", "timer", "won_dual_seizure")

    def __init__(self, group: TrunkGroup, cics: tuple[int, ...], call: Call, outgoing: bool) -> None:
        self.group, self.cics, self.outgoing = group, cics, outgoing
        self.call: Call | None = call
        self.won_dual_seizure = False  # the far end seized its circuit at the same time and has to give way
        self.released_at = 0.0  # time of our first REL, ms
        self.timer: ScheduledTimer | None = None


class Call:
    """One call, from its IAM until it ends; its circuits may await RLC longer. Times are in milliseconds."""

    __slots__ = (
        "attempt_number",
        "attempt_sent_at",
        "called",
        "calling",
        "cause",
        "cause_source",
        "class_index",
        "destination",
        "expires_at",
        "iam",
        "incoming_leg",
        "is_transit",
        "outgoing_leg",
        "ref",
        "stage",
        "terminates_here",
        "timer",
        "trace",
        "width",
    )

    def __init__(self, ref: int, iam: IsupMessage, width: int) -> None:
        self.ref, self.width = ref, width
        self.iam: IsupMessage | None = iam  # kept until the call is established, for further attempts
        self.incoming_leg: Leg | None = None
        self.outgoing_leg: Leg | None = None
        self.called = self.calling = ""
        self.class_index, self.destination = 0, -1
        self.expires_at = self.attempt_sent_at = 0.0
        self.attempt_number = -1  # of the newest attempt; at most that one is outstanding
        self.stage = CallStage.PENDING
        # Delivered to the own office, and received from another exchange: a call can be both.
        self.terminates_here = self.is_transit = False
        # Identifies the call in the logs of all exchanges: origin point code << 32 | ref there.
        self.trace = ref
        self.cause = self.cause_source = 0  # of the last release, and the point code where the call failed
        self.timer: ScheduledTimer | None = None
