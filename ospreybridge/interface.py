"""Settings, events and actions of the decision module. Times are milliseconds; nothing here decides."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Layout(Enum):
    MESH = "mesh"
    POOLS = "pools"


class Semantics(Enum):
    FREE = "free"
    GUARDED = "guarded"
    SINGLE_SHOT = "single_shot"


class Group(Enum):
    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Discovery(Enum):
    AUTOMATIC = "automatic"
    SUBSCRIBE = "subscribe"


class Readiness(IntEnum):
    GONE = 0
    READY = 1
    DRAINING = 2


class ListForm(IntEnum):
    FAILED = 0
    CACHED = 1
    DELTA = 2
    FULL = 3


class Result(IntEnum):
    ERROR = 0
    OK = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    MOOT = 7


class Note(IntEnum):
    NONE = 0
    NO_CIRCUIT = 1
    TURNED_BACK = 2
    PROCESSOR_FULL = 3
    LINES_BUSY = 4


@dataclass(frozen=True, slots=True)
class CallClass:
    on_time: float
    deadline: float
    importance: float = 1.0
    late_worth: float = 0.0
    width: float = 1.0
    hold: float = 0.0
    semantics: Semantics = Semantics.FREE
    group: Group = Group.ALL
    window: float = 0.0
    cells: tuple[int, ...] = ()
    name: str = ""


@dataclass(frozen=True, slots=True)
class Tenant:
    quota_per_s: float = 0.0
    share: float = 0.0
    name: str = ""


@dataclass(frozen=True, slots=True)
class Goal:
    whole: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    cancel: bool = False
    most_tries: int = 1
    probes: bool = False
    peer_messages: bool = False
    retry_after: bool = False
    max_retry_after: float = 0.0
    dial_timeout: float = 0.0


@dataclass(frozen=True, slots=True)
class Rules:
    grace_to_answer: float = 0.0
    drain_grace: float = 0.0
    ask_within: float = 0.0
    cold_share: float = 1.0
    warm_after: float = 0.0
    overload_factor: float = 1.0
    overload_for: float = 0.0
    release: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    classes: tuple[CallClass, ...]
    tenants: tuple[Tenant, ...] = ()
    layout: Layout = Layout.MESH
    discovery: Discovery = Discovery.AUTOMATIC
    here: int = -1
    me: int = 0
    peers: int = 1
    zone: int = 0
    tick: float = 0.0
    over_share_worth: float = 1.0
    marks_retry: bool = False
    tells_wait: bool = False
    advice: bool = False
    goal: Goal = field(default_factory=Goal)
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)


@dataclass(frozen=True, slots=True)
class Report:
    """A load report: circuits of the own group are exact, the rest tells of the far processor, late."""

    free: float | None = None
    size: float | None = None
    working: float | None = None
    queued: float | None = None
    busy: float | None = None
    wait: float | None = None
    can_take: float | None = None
    hold_back: float | None = None


@dataclass(frozen=True, slots=True)
class Entry:
    office: int
    cell: int
    zone: int = 0
    readiness: Readiness = Readiness.READY
    started: float = 0.0
    kind: int = 0
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Members:
    form: ListForm
    version: int = 0
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    ref: int
    cls: int
    dest: int
    expires: float
    width: float = 1.0
    tenant: int = 0
    via: int = -1
    number: int = 0
    work: float = 0.0
    again: bool = False
    transit: bool = False
    cut: bool = False


@dataclass(frozen=True, slots=True)
class Stands:
    ref: int
    attempt: int
    office: int
    took: float


@dataclass(frozen=True, slots=True)
class Outcome:
    ref: int
    attempt: int
    office: int
    result: Result
    took: float = 0.0
    ended: bool = False
    note: Note = Note.NONE
    wait: float = 0.0
    report: Report | None = None


@dataclass(frozen=True, slots=True)
class Probed:
    office: int
    result: Result
    took: float = 0.0
    report: Report | None = None


@dataclass(frozen=True, slots=True)
class CallerLeft:
    ref: int


@dataclass(frozen=True, slots=True)
class Timer:
    label: int


@dataclass(frozen=True, slots=True)
class Peer:
    sender: int
    body: bytes


Event = Members | Request | Stands | Outcome | Probed | CallerLeft | Timer | Peer


@dataclass(frozen=True, slots=True)
class Send:
    ref: int
    office: int
    max_wait: float


@dataclass(frozen=True, slots=True)
class Refuse:
    ref: int
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    ref: int


@dataclass(frozen=True, slots=True)
class Cancel:
    ref: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Remind:
    label: int
    after: float


@dataclass(frozen=True, slots=True)
class Follow:
    want: bool


@dataclass(frozen=True, slots=True)
class Lookup:
    pass


@dataclass(frozen=True, slots=True)
class Probe:
    office: int


@dataclass(frozen=True, slots=True)
class Tell:
    peer: int | None
    body: bytes


@dataclass(frozen=True, slots=True)
class Close:
    office: int


@dataclass(frozen=True, slots=True)
class Remark:
    text: str


Action = Send | Refuse | Fail | Cancel | Remind | Follow | Lookup | Probe | Tell | Close | Remark
