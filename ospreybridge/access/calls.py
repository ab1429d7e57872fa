"""What the platform's call server keeps of a call, its one attempt and a client; how it reads a set-up."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from enum import IntEnum

from ospreybridge import interface as i
from ospreybridge.core.timers import ScheduledTimer
from ospreybridge.signalling import frames, jsonl
from ospreybridge.signalling.errors import MessageError
from ospreybridge.signalling.jsonl import Message

LEFT_SLACK = 50.0  # ms by which a caller's time may exceed the settings' deadline: rounding, no more
STRANGER, SPOKEN, SERVED = 0, 1, 2  # said nothing sound yet; said something sound; had an answer or heard one
MOST_CELLS = 65_535
_KEY = re.compile(r"[0-9a-f]{1,16}")


class Stage(IntEnum):
    PENDING = 0  # owed a final answer
    STANDS = 1
    OVER = 2


@dataclass(slots=True, eq=False)
class Attempt:
    call: Call
    number: int
    office: int
    began: float
    ends: float  # given up then
    link: int = 0  # the connection it was written to; 0 while it waits for one
    timer: ScheduledTimer | None = None


@dataclass(slots=True, eq=False)
class Call:
    ref: int
    uid: str
    name: str  # its class, as told
    key: str
    body: str | None  # kept until the call stands
    client: int  # the connection it came on
    expires: float
    transit: bool = False
    stage: Stage = Stage.PENDING
    out: Attempt | None = None
    attempts: int = 0
    office: int = 0  # where it stands
    cause: int = 0  # of its last attempt's release
    timer: ScheduledTimer | None = None
    since: float = 0.0


@dataclass(slots=True, eq=False)
class Client:
    """One connection of callers."""

    conn: int
    opened: float
    active: float
    calls: dict[str, Call] = field(default_factory=dict)  # set-ups that wait for their answer
    trust: int = 0  # STRANGER, SPOKEN or SERVED


@dataclass(frozen=True, slots=True)
class SetUp:
    """A set-up's fields, checked."""

    cls: int
    tenant: int
    left: float
    dest: int
    width: float
    via: int
    number: int
    transit: bool
    cut: bool
    at: int | None


class Reader:
    """Checks a set-up against the settings; MessageError names the field and what was expected."""

    def __init__(self, settings: i.Settings) -> None:
        self.classes = {kind.name: number for number, kind in enumerate(settings.classes)}
        self.tenants = {tenant.name: number for number, tenant in enumerate(settings.tenants)}
        self.kinds = settings.classes

    def read(self, message: Message) -> SetUp:
        meta = message.meta
        cls = self.classes.get(str(meta.get("class")))
        if cls is None:
            raise MessageError("class: not a class of the settings")
        tenant = self.tenants.get(str(meta.get("tenant")), -1 if self.tenants else 0)
        if tenant < 0:
            raise MessageError("tenant: not a tenant of the settings")
        key = meta.get("key")
        if not isinstance(key, str) or not _KEY.fullmatch(key):
            raise MessageError("key: hex digits were expected")
        extras = jsonl.parse_extras(meta.get("extras"))
        at = extras.get("at")
        try:
            office = frames.office_id(at) if at is not None else None
        except ValueError as error:
            raise MessageError(f"at: {error}") from None
        kind = self.kinds[cls]
        left = 0.0
        if office is None:
            left = jsonl.parse_number(meta.get("left"), "left")
            if not 0 < left <= kind.deadline + LEFT_SLACK:
                raise MessageError(f"left: above 0 and at most {kind.deadline:g} was expected")
            if not message.body:
                raise MessageError("body: a description was expected")
        return SetUp(
            cls,
            tenant,
            left,
            dest=self._whole(extras, "dest", 0, MOST_CELLS),
            width=float(self._whole(extras, "width", 1, int(max(1.0, kind.width)), "1")),
            via=self._whole(extras, "via", -1, MOST_CELLS, "-1"),
            number=int(key, 16),
            transit=bool(self._whole(extras, "transit", 0, 1, "0")),
            cut=bool(self._whole(extras, "again", 0, 1, "0")),
            at=office,
        )

    def _whole(self, words: dict[str, str], name: str, low: int, high: int, absent: str = "") -> int:
        found = jsonl.parse_number(words.get(name, absent), name)
        if found != int(found) or not low <= found <= high:
            raise MessageError(f"{name}: a whole number from {low} to {high} was expected")
        return int(found)
