"""Types of the controller's settings, events and actions. They carry data alone: decisions are in policy.py.

Times and durations are milliseconds. An exchange is named by its number, its processor by an office id: a new
processor of the same exchange has another office id.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Layout(Enum):
    """How exchanges are connected."""

    MESH = "mesh"  # trunk groups between all exchanges; overflow goes through a tandem
    POOLS = "pools"  # pools of agents; overflow goes to another pool that the class allows


class Semantics(Enum):
    """What executing an attempt of a class twice does."""

    FREE = "free"  # no harm: it may be repeated at any time
    GUARDED = "guarded"  # repeats are recognised, within the class's retry scope and window
    SINGLE_SHOT = "single_shot"  # harm: no repeat once an attempt may have been executed


class RetryScope(Enum):
    """Exchanges that recognise the repeat of a guarded attempt."""

    ALL = "all"  # every exchange
    ZONE = "zone"  # exchanges in the zone of the first one
    CELL = "cell"  # the first exchange alone


class Discovery(Enum):
    """How the controller gets the exchange list."""

    AUTOMATIC = "automatic"  # it arrives unasked
    SUBSCRIBE = "subscribe"  # after a `Subscribe`, to be repeated when the subscription fails


class Readiness(IntEnum):
    """State of an exchange's processor in the exchange list."""

    GONE = 0
    READY = 1
    DRAINING = 2  # accepts no new calls


class ListForm(IntEnum):
    """What a `Members` event holds."""

    FAILED = 0  # nothing: the subscription failed
    CACHED = 1  # a whole list that may be out of date
    DELTA = 2  # only the entries that changed
    FULL = 3  # the whole list


class Result(IntEnum):
    """How an attempt or a probe ended."""

    ERROR = 0  # the far end answered with an error; it may have executed the attempt
    OK = 1  # an established call was released normally
    FULL = 2  # refused for lack of circuits or processor time, not executed
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5  # cut off
    CANCELLED = 6
    MOOT = 7  # never left this server


class Note(IntEnum):
    """Reason given with a result."""

    NONE = 0
    NO_CIRCUIT = 1
    TURNED_BACK = 2  # the tandem couldn't carry the call on
    PROCESSOR_FULL = 3
    LINES_BUSY = 4


@dataclass(frozen=True, slots=True)
class CallClass:
    """A class of calls and what it requires."""

    on_time: float  # target: a call established within this is on time
    deadline: float  # a call is worthless after this
    importance: float = 1.0  # worth of a call established on time
    late_worth: float = 0.0  # factor on the worth of a call established late
    width: float = 1.0  # circuits a call takes
    hold: float = 0.0  # mean holding time
    semantics: Semantics = Semantics.FREE
    retry_scope: RetryScope = RetryScope.ALL
    retry_window: float = 0.0  # from the first attempt on: how long a guarded one may be repeated
    allowed_pools: tuple[int, ...] = ()  # pools layout: exchange numbers that calls may overflow to
    name: str = ""


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer and the quota agreed for its traffic."""

    quota_per_s: float = 0.0  # calls per second; 0: `share` applies
    share: float = 0.0  # share of the fleet's traffic
    name: str = ""


@dataclass(frozen=True, slots=True)
class Goal:
    """Weights by which a day's service is judged. The controller doesn't use them."""

    whole: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """What this deployment allows a controller to do."""

    cancel: bool = False  # unanswered attempts may be cancelled
    max_tries: int = 1  # attempts per call
    probes: bool = False  # `Probe` is allowed
    peer_messages: bool = False  # `NotifyPeers` is allowed
    retry_after: bool = False  # `Refuse` may say when to redial
    max_retry_after: float = 0.0
    dial_timeout: float = 0.0


@dataclass(frozen=True, slots=True)
class Rules:
    """Rules that every controller must keep, as they are judged from outside."""

    grace_to_answer: float = 0.0  # after a call's expiry: latest final answer
    drain_grace: float = 0.0  # after an exchange stopped accepting calls: latest attempt
    ask_within: float = 0.0  # after a failed subscription: latest new one
    cold_share: float = 1.0  # capacity of a cold exchange as a share of a warm one's
    warm_after: float = 0.0  # from an exchange's start until it is warm
    overload_factor: float = 1.0  # multiple of its capacity that an exchange withstands
    overload_for: float = 0.0  # how long a load above that must last to overload it
    release: float = 0.0  # after a time-out, reset or cancel: earliest next attempt of the call


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one controller."""

    classes: tuple[CallClass, ...]
    tenants: tuple[Tenant, ...] = ()
    layout: Layout = Layout.MESH
    discovery: Discovery = Discovery.AUTOMATIC
    own_exchange: int = -1  # number of the exchange this server belongs to; -1: none
    server_index: int = 0  # this server's number among all servers
    server_count: int = 1  # all servers, this one included
    zone: int = 0
    tick: float = 0.0  # granularity of the host's timers
    over_share_worth: float = 1.0  # worth factor of a tenant's traffic beyond its quota
    redials_marked: bool = False  # callers mark redials (`Request.redial`)
    reports_wait: bool = False
    route_advice: bool = False  # `Request.via` is the traffic centre's advice
    goal: Goal = field(default_factory=Goal)
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)


@dataclass(frozen=True, slots=True)
class Report:
    """A load report; None: not reported.

    The circuits are those of the trunk group from here and exact. The rest describes the far processor and is
    late.
    """

    free: float | None = None  # free circuits
    size: float | None = None  # all circuits
    working: float | None = None  # set-ups in progress
    queued: float | None = None  # set-ups in the queue
    busy: float | None = None
    wait: float | None = None
    can_take: float | None = None
    hold_back: float | None = None


@dataclass(frozen=True, slots=True)
class Entry:
    """One processor in the exchange list."""

    office: int  # id of the processor
    exchange: int  # number of its exchange (or pool)
    zone: int = 0
    readiness: Readiness = Readiness.READY
    started_at: float = 0.0  # start of the processor, as far as known; 0: long ago
    kind: int = 0
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Members:
    """Event: the exchange list, or a change to it."""

    form: ListForm
    version: int = 0
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """Event: a call arrived and needs a final answer."""

    ref: int  # the host's reference of the call
    class_index: int  # index in `Settings.classes`
    dest: int  # exchange number
    expires: float  # time when the caller gives up
    width: float = 1.0
    tenant: int = 0  # index in `Settings.tenants`
    via: int = -1  # exchange number of the advised tandem; -1: none
    called_number: int = 0
    work: float = 0.0
    redial: bool = False  # the caller tried before
    transit: bool = False  # another exchange sent the call here as to a tandem
    after_cut: bool = False  # an established call was cut and is dialled again


@dataclass(frozen=True, slots=True)
class Established:
    """Event: an attempt was answered and its call is established. Its `Outcome` follows when it ends."""

    ref: int
    attempt: int
    office: int
    elapsed: float  # since the attempt was sent


@dataclass(frozen=True, slots=True)
class Outcome:
    """Event: an attempt ended."""

    ref: int
    attempt: int
    office: int
    result: Result
    elapsed: float = 0.0  # since the attempt was sent
    call_ended: bool = False  # the call needs no further attempt and no answer
    note: Note = Note.NONE
    retry_after: float = 0.0  # wait that the far end asks for; 0: none
    report: Report | None = None


@dataclass(frozen=True, slots=True)
class Probed:
    """Event: the answer to a probe, or a load report that arrived by itself."""

    office: int
    result: Result
    elapsed: float = 0.0
    report: Report | None = None


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """Event: the caller hung up before the final answer."""

    ref: int


@dataclass(frozen=True, slots=True)
class FinalAnswerDue:
    """Event: the host ends, so a call that is not established must get its final answer now."""

    ref: int


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """Event: a timer set by `StartTimer` expired."""

    label: int


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Event: a message that another server sent by `NotifyPeers`."""

    sender: int
    body: bytes


Event = (
    Members
    | Request
    | Established
    | Outcome
    | Probed
    | CallerLeft
    | FinalAnswerDue
    | TimerExpired
    | PeerMessage
)


@dataclass(frozen=True, slots=True)
class Send:
    """Action: send one attempt of a call to an office."""

    ref: int
    office: int
    timeout: float  # the host reports TIMEOUT after this


@dataclass(frozen=True, slots=True)
class Refuse:
    """Action: final answer to a call that may be dialled again."""

    ref: int
    retry_after: float = 0.0  # when to dial again; 0: not said


@dataclass(frozen=True, slots=True)
class Fail:
    """Action: final answer to a call that may have been executed and must not be dialled again."""

    ref: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Action: cancel an unanswered attempt."""

    ref: int
    attempt: int


@dataclass(frozen=True, slots=True)
class StartTimer:
    """Action: report `TimerExpired` with this label after the delay."""

    label: int
    delay: float


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Action: subscribe to the exchange list, or unsubscribe."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class Lookup:
    """Action: ask for the exchange list once."""

    pass


@dataclass(frozen=True, slots=True)
class Probe:
    """Action: ask an office for a load report."""

    office: int


@dataclass(frozen=True, slots=True)
class NotifyPeers:
    """Action: send a message to another server; None: to all of them."""

    peer: int | None
    body: bytes


@dataclass(frozen=True, slots=True)
class Close:
    """Action: close unused connections to an office."""

    office: int


@dataclass(frozen=True, slots=True)
class Remark:
    """Action: write a line to the operators' log."""

    text: str


Action = (
    Send | Refuse | Fail | Cancel | StartTimer | Subscribe | Lookup | Probe | NotifyPeers | Close | Remark
)
