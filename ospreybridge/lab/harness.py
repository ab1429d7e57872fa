"""Runs a call server without sockets and on a simulated clock, for measurements and tests.

Messages that the call server sends are recorded per link; the caller passes in messages of the far ends.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from ospreybridge import interface
from ospreybridge.core.callserver import CallServer
from ospreybridge.core.exchange_list import format_info
from ospreybridge.core.timers import TimerQueue
from ospreybridge.settings.server import ClassRule, Peer, ServerSettings, TimerSettings, parse_cic_ranges
from ospreybridge.signalling import isup, m3ua
from ospreybridge.signalling.isup import IsupMessage

# Point codes of the lab. An exchange has its number as its point code. In a scripted day its office and its
# callers have the first two of these plus that number. In the harness, the office of the one call server has
# the first, and its groups of callers count up from the second.
OFFICE_CODE_BASE, CALLERS_CODE_BASE, LIST_POINT_CODE, CENTRE_POINT_CODE = 1_000, 2_000, 16_000, 16_001


def server_settings(
    exchanges: int, circuits: int = 30, access: int = 300, **changes: object
) -> ServerSettings:
    """Returns settings of exchange 1 in a full mesh of `exchanges`.

    Called numbers that begin with 37 and the three-digit number of an exchange lead to it. `circuits` is the
    size of each trunk group, `access` the number of access circuits, in groups of at most 3,900
    (a CIC has 12 bits); `changes` replaces fields of the result.
    """
    peers = [
        Peer(
            f"cs{n}",
            "exchange",
            n,
            100 + n,
            n,
            dial_address=("127.0.0.1", 1),
            cics=parse_cic_ranges([f"1-{circuits}"]),
        )
        for n in range(2, exchanges + 1)
    ]
    peers.append(
        Peer(
            "office",
            "office",
            OFFICE_CODE_BASE,
            1,
            dial_address=("127.0.0.1", 1),
            cics=parse_cic_ranges([f"1-{min(access, 3_900)}"]),
        )
    )
    for offset in range(0, access, 3_900):
        size = min(3_900, access - offset)
        code = CALLERS_CODE_BASE + offset // 3_900
        peers.append(
            Peer(
                f"callers{code}",
                "callers",
                code,
                code,
                dial_address=("127.0.0.1", 1),
                cics=parse_cic_ranges([f"1-{size}"]),
            )
        )
    peers.append(Peer("list", "list", LIST_POINT_CODE, 3, dial_address=("127.0.0.1", 1)))
    fields: dict[str, object] = {
        "name": "cs1",
        "number": 1,
        "point_code": 1,
        "zone": 0,
        "listen": None,
        "network": 2,
        "peers": tuple(peers),
        "class_rules": (ClassRule((10,), ()), ClassRule((11,), ())),
        "classes": (
            interface.CallClass(2_000.0, 9_000.0, hold=10_000.0, name="narrow"),
            interface.CallClass(2_000.0, 9_000.0, hold=10_000.0, width=2.0, name="wide"),
        ),
        "tenants": (),
        "tenant_prefixes": {},
        "prefixes": {f"37{n:03d}": n for n in range(1, exchanges + 1)},
        "rules": interface.Rules(
            release=200.0,
            drain_grace=250.0,
            warm_after=14_000.0,
            overload_for=1_500.0,
            overload_factor=2.5,
            cold_share=0.3,
            ask_within=10_000.0,
        ),
        "limits": interface.Limits(
            cancel=True, max_tries=4, peer_messages=False, retry_after=True, max_retry_after=2_000.0
        ),
        "goal": interface.Goal(),
        "timers": TimerSettings(),
        "seed": 5,
    }
    return ServerSettings(**(fields | changes))  # type: ignore[arg-type]


class LinkRecorder:
    """One link; `sent` holds the decoded ISUP messages that the call server sent on it, oldest first."""

    ending = False

    def __init__(self, harness: Harness, point_code: int) -> None:
        self.harness, self.point_code = harness, point_code
        self.sent: deque[IsupMessage] = deque()

    def send_data(self, service: int, sls: int, body: bytes) -> None:
        if service == m3ua.SI_ISUP:
            self.harness.record_sent(self.point_code, isup.decode(body))

    def probe(self, on_result: Callable[[float, float | None], None]) -> None:
        on_result(self.harness.now, 1.0)

    def request_audit(self) -> None:
        pass


class Harness:
    """A call server with recorded links; `now` is its clock in ms."""

    def __init__(self, settings: ServerSettings, keep_sent: bool = True) -> None:
        self.timers = TimerQueue()
        self.call_server = CallServer(settings, self.timers)
        self.now, self.keep_sent = 1_000.0, keep_sent  # ms; whether sent messages are recorded
        self.links = {peer.point_code: LinkRecorder(self, peer.point_code) for peer in settings.peers}
        self.on_sent: Callable[[int, IsupMessage], None] | None = None  # called with each message sent

    def record_sent(self, point_code: int, message: IsupMessage) -> None:
        if self.keep_sent:
            self.links[point_code].sent.append(message)
        if self.on_sent is not None:
            self.on_sent(point_code, message)

    def activate_links(self, *point_codes: int) -> None:
        """Activates the given links (default: all); the far ends acknowledge the reset of their circuits."""
        for code in point_codes or self.links:
            self.call_server.link_up(self.now, code, self.links[code])
            for message in list(self.links[code].sent):
                if message.type == isup.GRS:
                    count, _ = isup.decode_range_status(message.parameters[isup.RANGE_STATUS])
                    range_status = isup.encode_range_status(count, [False] * count)
                    self.receive(code, IsupMessage(message.cic, isup.GRA, {isup.RANGE_STATUS: range_status}))
                elif message.type == isup.RSC:
                    self.receive(code, IsupMessage(message.cic, isup.RLC))
            self.links[code].sent.clear()

    def announce_exchanges(
        self, version: int = 1, kind: tuple[int, int] = m3ua.DAVA, *exchanges: int
    ) -> None:
        """Sends list updates of the given kind for the given exchanges (default: all)."""
        for code in exchanges or (1, *self.call_server.exchange_codes.values()):
            self.call_server.receive_list_update(self.now, kind, [(0, code)], format_info(version, 0, 0))

    def receive(self, point_code: int, message: IsupMessage) -> None:
        """Passes a message of a far end to the call server."""
        body = isup.encode(message)
        data = m3ua.Data(point_code, 1, m3ua.SI_ISUP, 2, 0, message.cic & 15, body)
        self.call_server.receive_data(self.now, point_code, data)

    def take_sent(self, point_code: int) -> list[IsupMessage]:
        """Returns the messages sent on a link since the last call, and forgets them."""
        sent = list(self.links[point_code].sent)
        self.links[point_code].sent.clear()
        return sent

    def advance(self, ms: float) -> None:
        """Moves the clock on by `ms` and runs each timer at its due time."""
        end = self.now + ms
        while (due_at := self.timers.next_due()) is not None and due_at <= end:
            self.now = max(self.now, due_at)
            self.timers.run_due(self.now)
        self.now = end


def iam(cic: int, called: str, calling: str = "5000001", width: int = 1, **user_words: int) -> IsupMessage:
    """Builds an IAM of a call `width` circuits wide; `user_words` go into the user-to-user information."""
    parameters = {
        isup.NATURE_OF_CONNECTION: isup.DEFAULT_NATURE_OF_CONNECTION,
        isup.FORWARD_INDICATORS: isup.DEFAULT_FORWARD_INDICATORS,
        isup.CALLING_CATEGORY: bytes((9 + width,)),
        isup.MEDIUM_REQUIREMENT: bytes((isup.TWO_TIMES_64 if width == 2 else isup.SPEECH,)),
        isup.CALLED_NUMBER: isup.encode_called_number(called),
        isup.CALLING_NUMBER: isup.encode_calling_number(calling),
    }
    if user_words:
        parameters[isup.USER_TO_USER] = isup.encode_user_words(**user_words)
    return IsupMessage(cic, isup.IAM, parameters)


# Parameters of an ACM.
ACM_PARAMETERS = {isup.BACKWARD_INDICATORS: isup.SUBSCRIBER_FREE}


def rel(cic: int, cause: int, **user_words: int) -> IsupMessage:
    """Builds a REL; `user_words` go into the user-to-user information."""
    parameters = {isup.CAUSE_INDICATORS: isup.encode_cause(cause, 0)}
    if user_words:
        parameters[isup.USER_TO_USER] = isup.encode_user_words(**user_words)
    return IsupMessage(cic, isup.REL, parameters)
