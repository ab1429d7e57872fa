"""What the call server keeps of a call: its incoming leg, its one attempt, how far it is."""

from __future__ import annotations

from enum import IntEnum

from ospreybridge.core.circuits import TrunkGroup
from ospreybridge.core.timers import ScheduledTimer
from ospreybridge.signalling.isup import IsupMessage


class Stage(IntEnum):
    PENDING = 0  # owed a final answer
    STANDS = 1  # address complete was passed back
    ANSWERED = 2  # answer was passed back too
    OVER = 3


class Leg:
    """One side of a call on one trunk group."""

    __slots__ = ("call", "cics", "glare", "group", "outgoing", "released", "timer")

    def __init__(self, group: TrunkGroup, cics: tuple[int, ...], call: Call, outgoing: bool) -> None:
        self.group, self.cics, self.outgoing = group, cics, outgoing
        self.call: Call | None = call
        self.glare = False  # the far end seized it at the same time and has to yield
        self.released = 0.0  # when our first REL went out
        self.timer: ScheduledTimer | None = None


class Call:
    __slots__ = (
        "attempt",
        "called",
        "calling",
        "cause",
        "cls",
        "dest",
        "expires",
        "iam",
        "inc",
        "local",
        "out",
        "ref",
        "sent",
        "source",
        "stage",
        "timer",
        "trace",
        "transit",
        "width",
    )

    def __init__(self, ref: int, iam: IsupMessage, width: int) -> None:
        self.ref, self.width = ref, width
        self.iam: IsupMessage | None = iam  # kept until the call stands: an attempt sends it on
        self.inc: Leg | None = None
        self.out: Leg | None = None
        self.called = self.calling = ""
        self.cls, self.dest = 0, -1
        self.expires = self.sent = 0.0
        self.attempt = -1  # number of the newest attempt; None is ever out beside it
        self.stage = Stage.PENDING
        self.local = self.transit = False  # local: delivered to the own exchange's lines
        self.trace = ref  # point code where the call began, times 2^32, and its number there: for logs
        self.cause = self.source = 0  # of the last release: its value, and where it failed
        self.timer: ScheduledTimer | None = None
