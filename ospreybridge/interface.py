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


class RetryScope(Enum):
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
    retry_scope: RetryScope = RetryScope.ALL
    retry_window: float = 0.0
    allowed_pools: tuple[int, ...] = ()
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
    max_tries: int = 1
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
    own_exchange: int = -1
    server_index: int = 0
    server_count: int = 1
    zone: int = 0
    tick: float = 0.0
    over_share_worth: float = 1.0
    redials_marked: bool = False
    reports_wait: bool = False
    route_advice: bool = False
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
    exchange: int
    zone: int = 0
    readiness: Readiness = Readiness.READY
    started_at: float = 0.0
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
    class_index: int
    dest: int
    expires: float
    width: float = 1.0
    tenant: int = 0
    via: int = -1
    called_number: int = 0
    work: float = 0.0
    redial: bool = False
    transit: bool = False
    after_cut: bool = False


@dataclass(frozen=True, slots=True)
class Established:
    ref: int
    attempt: int
    office: int
    elapsed: float


@dataclass(frozen=True, slots=True)
class Outcome:
    ref: int
    attempt: int
    office: int
    result: Result
    elapsed: float = 0.0
    call_ended: bool = False
    note: Note = Note.NONE
    retry_after: float = 0.0
    report: Report | None = None


@dataclass(frozen=True, slots=True)
class Probed:
    office: int
    result: Result
    elapsed: float = 0.0
    report: Report | None = None


@dataclass(frozen=True, slots=True)
class CallerLeft:
    ref: int


@dataclass(frozen=True, slots=True)
class TimerExpired:
    label: int


@dataclass(frozen=True, slots=True)
class PeerMessage:
    sender: int
    body: bytes


Event = Members | Request | Established | Outcome | Probed | CallerLeft | TimerExpired | PeerMessage


@dataclass(frozen=True, slots=True)
class Send:
    ref: int
    office: int
    timeout: float


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
class StartTimer:
    label: int
    delay: float


@dataclass(frozen=True, slots=True)
class Subscribe:
    enabled: bool


@dataclass(frozen=True, slots=True)
class Lookup:
    pass


@dataclass(frozen=True, slots=True)
class Probe:
    office: int


@dataclass(frozen=True, slots=True)
class NotifyPeers:
    peer: int | None
    body: bytes


@dataclass(frozen=True, slots=True)
class Close:
    office: int


@dataclass(frozen=True, slots=True)
class Remark:
    text: str


Action = (
    Send | Refuse | Fail | Cancel | StartTimer | Subscribe | Lookup | Probe | NotifyPeers | Close | Remark
)
