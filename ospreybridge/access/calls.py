"""State of calls, attempts and clients in the platform's call server, and validation of set-ups.

Times are milliseconds of the event loop's clock.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from enum import IntEnum

from ospreybridge import interface
from ospreybridge.core.timers import ScheduledTimer
from ospreybridge.signalling import frames, jsonl
from ospreybridge.signalling.errors import MessageError
from ospreybridge.signalling.jsonl import Message

TIME_LEFT_TOLERANCE_MS = 50.0  # a caller's time may exceed the class's deadline by rounding
# How far a client is trusted to be a caller: it sent nothing valid yet; it sent a valid message; it was sent
# an answer or confirmed a release.
TRUST_UNKNOWN, TRUST_VALID_MESSAGE, TRUST_SERVED = 0, 1, 2
MAX_CELL = 65_535
_KEY_PATTERN = re.compile(r"[0-9a-f]{1,16}")


class Stage(IntEnum):
    """Life of a set-up."""

    PENDING = 0  # no final answer sent yet
    ENDED = 1  # answered or given up; an established call lives on in EstablishedCalls


@dataclass(slots=True, eq=False)
class Attempt:
    """One set-up of a call towards one office."""

    call: Call
    number: int
    office_id: int
    started_at: float
    deadline: float  # without an answer it is cancelled then
    connection_id: int = 0  # the connection it was sent on; 0 while it waits for one
    sent_at: float = 0.0
    timer: ScheduledTimer | None = None


@dataclass(slots=True, eq=False)
class Call:
    """One call of a client."""

    ref: int
    uid: str
    class_name: str
    key: str
    body: str | None  # the caller's offer; dropped once no further attempt can need it
    client_id: int  # the connection that it arrived on
    expires_at: float
    transit: bool = False
    stage: Stage = Stage.PENDING
    open_attempt: Attempt | None = None
    attempt_count: int = 0
    last_cause: int = 0  # release cause of the latest attempt
    may_have_run: bool = False  # an attempt that has ended may have taken effect at its office
    # Offices that may have answered an attempt whose connection ended before the answer could be read.
    doubtful_offices: set[int] = field(default_factory=set)

    def may_have_taken_effect(self) -> bool:
        """Whether an attempt that was sent, open or ended, may have reached the called party."""
        return self.may_have_run or (self.open_attempt is not None and self.open_attempt.connection_id > 0)


@dataclass(slots=True, eq=False)
class Client:
    """One connection from callers."""

    connection_id: int
    opened_at: float
    last_active: float
    pending_calls: dict[str, Call] = field(default_factory=dict)  # by uid
    trust: int = 0  # one of the TRUST_ values
    has_left: bool = False  # it sends nothing more; what it sent before may be unread


@dataclass(frozen=True, slots=True)
class SetUp:
    """The validated fields of a set-up."""

    class_index: int
    tenant_index: int
    time_left: float  # milliseconds
    destination: int  # cell of the destination exchange
    width: float  # circuits
    via: int  # cell of the tandem, or -1
    called_number: int
    transit: bool
    after_cut: bool  # a repeat of a call that was cut
    current_office: int | None  # not a new call: established there already


class SetUpParser:
    """Validates set-ups against the settings; its MessageError begins with the name of the field."""

    def __init__(self, settings: interface.Settings) -> None:
        self.class_indexes = {call_class.name: index for index, call_class in enumerate(settings.classes)}
        self.tenant_indexes = {tenant.name: index for index, tenant in enumerate(settings.tenants)}
        self.call_classes = settings.classes

    def parse(self, message: Message) -> SetUp:
        """The fields of a `launch` message; MessageError if one is missing or invalid."""
        meta = message.meta
        class_index = self.class_indexes.get(str(meta.get("class")))
        if class_index is None:
            raise MessageError("class: not a class of the settings")
        tenant_index = self.tenant_indexes.get(str(meta.get("tenant")), -1 if self.tenant_indexes else 0)
        if tenant_index < 0:
            raise MessageError("tenant: not a tenant of the settings")
        key = meta.get("key")
        if not isinstance(key, str) or not _KEY_PATTERN.fullmatch(key):
            raise MessageError("key: hex digits were expected")
        extras = jsonl.parse_extras(meta.get("extras"))
        office_name = extras.get("at")
        try:
            current_office = frames.office_id(office_name) if office_name is not None else None
        except ValueError as error:
            raise MessageError(f"at: {error}") from None
        call_class = self.call_classes[class_index]
        time_left = 0.0
        if current_office is None:
            time_left = jsonl.parse_number(meta.get("left"), "left")
            if not 0 < time_left <= call_class.deadline + TIME_LEFT_TOLERANCE_MS:
                raise MessageError(f"left: above 0 and at most {call_class.deadline:g} was expected")
            if not message.body:
                raise MessageError("body: a description was expected")
        return SetUp(
            class_index,
            tenant_index,
            time_left,
            destination=self._integer(extras, "dest", 0, MAX_CELL),
            width=float(self._integer(extras, "width", 1, int(max(1.0, call_class.width)), "1")),
            via=self._integer(extras, "via", -1, MAX_CELL, "-1"),
            called_number=int(key, 16),
            transit=bool(self._integer(extras, "transit", 0, 1, "0")),
            after_cut=bool(self._integer(extras, "again", 0, 1, "0")),
            current_office=current_office,
        )

    def _integer(self, extras: dict[str, str], name: str, low: int, high: int, default: str = "") -> int:
        """An integer of the extras, from `low` to `high`."""
        value = jsonl.parse_number(extras.get(name, default), name)
        if value != int(value) or not low <= value <= high:
            raise MessageError(f"{name}: a whole number from {low} to {high} was expected")
        return int(value)
