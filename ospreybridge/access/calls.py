"""What the platform's call server keeps of a call, its one attempt and a client; how it reads a set-up."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from enum import IntEnum

from ospreybridge import interface
from ospreybridge.core.timers import ScheduledTimer
from ospreybridge.signalling import frames, jsonl
from ospreybridge.signalling.errors import MessageError
from ospreybridge.signalling.jsonl import Message

TIME_LEFT_TOLERANCE_MS = (
    50.0  # ms by which a caller's time may exceed the settings' deadline: rounding, no more
)
TRUST_UNKNOWN, TRUST_VALID_MESSAGE, TRUST_SERVED = (
    0,
    1,
    2,
)  # said nothing sound yet; said something sound; had an answer or heard one
MAX_CELL = 65_535
_KEY_PATTERN = re.compile(r"[0-9a-f]{1,16}")


class Stage(IntEnum):
    PENDING = 0  # owed a final answer
    ESTABLISHED = 1
    ENDED = 2


@dataclass(slots=True, eq=False)
class Attempt:
    call: Call
    number: int
    office_id: int
    started_at: float
    deadline: float  # given up then
    connection_id: int = 0  # the connection it was written to; 0 while it waits for one
    timer: ScheduledTimer | None = None


@dataclass(slots=True, eq=False)
class Call:
    ref: int
    uid: str
    class_name: str  # its class, as told
    key: str
    body: str | None  # kept until the call stands
    client_id: int  # the connection it came on
    expires_at: float
    transit: bool = False
    stage: Stage = Stage.PENDING
    open_attempt: Attempt | None = None
    attempt_count: int = 0
    office_id: int = 0  # where it stands
    last_cause: int = 0  # of its last attempt's release
    timer: ScheduledTimer | None = None
    attempt_started_at: float = 0.0


@dataclass(slots=True, eq=False)
class Client:
    """One connection of callers."""

    connection_id: int
    opened_at: float
    last_active: float
    pending_calls: dict[str, Call] = field(default_factory=dict)  # set-ups that wait for their answer
    trust: int = 0  # STRANGER, SPOKEN or SERVED


@dataclass(frozen=True, slots=True)
class SetUp:
    """A set-up's fields, checked."""

    class_index: int
    tenant_index: int
    time_left: float
    destination: int
    width: float
    via: int
    number: int
    transit: bool
    after_cut: bool
    current_office: int | None


class SetUpParser:
    """Checks a set-up against the settings; MessageError names the field and what was expected."""

    def __init__(self, settings: interface.Settings) -> None:
        self.class_indexes = {kind.name: number for number, kind in enumerate(settings.classes)}
        self.tenant_indexes = {tenant.name: number for number, tenant in enumerate(settings.tenants)}
        self.call_classes = settings.classes

    def parse(self, message: Message) -> SetUp:
        meta = message.meta
        cls = self.class_indexes.get(str(meta.get("class")))
        if cls is None:
            raise MessageError("class: not a class of the settings")
        tenant = self.tenant_indexes.get(str(meta.get("tenant")), -1 if self.tenant_indexes else 0)
        if tenant < 0:
            raise MessageError("tenant: not a tenant of the settings")
        key = meta.get("key")
        if not isinstance(key, str) or not _KEY_PATTERN.fullmatch(key):
            raise MessageError("key: hex digits were expected")
        extras = jsonl.parse_extras(meta.get("extras"))
        at = extras.get("at")
        try:
            office = frames.office_id(at) if at is not None else None
        except ValueError as error:
            raise MessageError(f"at: {error}") from None
        kind = self.call_classes[cls]
        left = 0.0
        if office is None:
            left = jsonl.parse_number(meta.get("left"), "left")
            if not 0 < left <= kind.deadline + TIME_LEFT_TOLERANCE_MS:
                raise MessageError(f"left: above 0 and at most {kind.deadline:g} was expected")
            if not message.body:
                raise MessageError("body: a description was expected")
        return SetUp(
            cls,
            tenant,
            left,
            destination=self._integer(extras, "dest", 0, MAX_CELL),
            width=float(self._integer(extras, "width", 1, int(max(1.0, kind.width)), "1")),
            via=self._integer(extras, "via", -1, MAX_CELL, "-1"),
            number=int(key, 16),
            transit=bool(self._integer(extras, "transit", 0, 1, "0")),
            after_cut=bool(self._integer(extras, "again", 0, 1, "0")),
            current_office=office,
        )

    def _integer(self, words: dict[str, str], name: str, low: int, high: int, absent: str = "") -> int:
        found = jsonl.parse_number(words.get(name, absent), name)
        if found != int(found) or not low <= found <= high:
            raise MessageError(f"{name}: a whole number from {low} to {high} was expected")
        return int(found)
