"""A call server without sockets: links that keep what goes out, and the far ends' messages by hand.

Used by measurements and by tests: time is what the caller says it is.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from ospreybridge import interface as i
from ospreybridge.core.callserver import CallServer
from ospreybridge.core.roster import info_text
from ospreybridge.core.timers import Timers
from ospreybridge.settings.server import ClassRule, Peer, Server
from ospreybridge.settings.server import Timers as Settings
from ospreybridge.settings.server import circuits as cics
from ospreybridge.signalling import isup, m3ua
from ospreybridge.signalling.isup import Isup

# Point codes of the lab: an exchange's is its number, its office's and callers' are these plus its number.
OFFICE, CALLERS, LIST, CENTRE = 1_000, 2_000, 16_000, 16_001


def server(exchanges: int, circuits: int = 30, access: int = 300, **changes: object) -> Server:
    """Exchange 1 of a mesh; called numbers 37 and three digits of the exchange's number lead to it."""
    peers = [
        Peer(f"cs{n}", "exchange", n, 100 + n, n, dial=("127.0.0.1", 1), cics=cics([f"1-{circuits}"]))
        for n in range(2, exchanges + 1)
    ]
    peers.append(
        Peer("office", "office", OFFICE, 1, dial=("127.0.0.1", 1), cics=cics([f"1-{min(access, 3_900)}"]))
    )
    for extra in range(0, access, 3_900):
        size = min(3_900, access - extra)
        code = CALLERS + extra // 3_900
        peers.append(
            Peer(f"callers{code}", "callers", code, code, dial=("127.0.0.1", 1), cics=cics([f"1-{size}"]))
        )
    peers.append(Peer("list", "list", LIST, 3, dial=("127.0.0.1", 1)))
    given: dict[str, object] = {
        "name": "cs1",
        "number": 1,
        "point_code": 1,
        "zone": 0,
        "listen": None,
        "network": 2,
        "peers": tuple(peers),
        "class_rules": (ClassRule((10,), ()), ClassRule((11,), ())),
        "classes": (
            i.CallClass(2_000.0, 9_000.0, hold=10_000.0, name="narrow"),
            i.CallClass(2_000.0, 9_000.0, hold=10_000.0, width=2.0, name="wide"),
        ),
        "tenants": (),
        "tenant_prefixes": {},
        "prefixes": {f"37{n:03d}": n for n in range(1, exchanges + 1)},
        "rules": i.Rules(
            release=200.0,
            drain_grace=250.0,
            warm_after=14_000.0,
            overload_for=1_500.0,
            overload_factor=2.5,
            cold_share=0.3,
            ask_within=10_000.0,
        ),
        "limits": i.Limits(
            cancel=True, most_tries=4, peer_messages=False, retry_after=True, max_retry_after=2_000.0
        ),
        "goal": i.Goal(),
        "timers": Settings(),
        "seed": 5,
    }
    return Server(**(given | changes))  # type: ignore[arg-type]


class Wire:
    """One link: what the call server sent on it, decoded, oldest first."""

    def __init__(self, harness: Harness, point_code: int) -> None:
        self.harness, self.point_code = harness, point_code
        self.sent: deque[Isup] = deque()

    def data(self, service: int, sls: int, body: bytes) -> None:
        if service == m3ua.SI_ISUP:
            self.harness.out(self.point_code, isup.decode(body))

    def beat(self, told: Callable[[float, float | None], None]) -> None:
        told(self.harness.now, 1.0)

    def audit(self) -> None:
        pass


class Harness:
    def __init__(self, settings: Server, keep: bool = True) -> None:
        self.timers = Timers()
        self.core = CallServer(settings, self.timers)
        self.now, self.keep = 1_000.0, keep
        self.wires = {peer.point_code: Wire(self, peer.point_code) for peer in settings.peers}
        self.watch: Callable[[int, Isup], None] | None = None

    def out(self, point_code: int, message: Isup) -> None:
        if self.keep:
            self.wires[point_code].sent.append(message)
        if self.watch is not None:
            self.watch(point_code, message)

    def up(self, *point_codes: int) -> None:
        """Links become active, and the far ends acknowledge the reset of their circuits."""
        for code in point_codes or self.wires:
            self.core.link_up(self.now, code, self.wires[code])
            for message in list(self.wires[code].sent):
                if message.type == isup.GRS:
                    count, _ = isup.range_status(message.parameters[isup.RANGE_STATUS])
                    octets = isup.range_octets(count, [False] * count)
                    self.give(code, Isup(message.cic, isup.GRA, {isup.RANGE_STATUS: octets}))
                elif message.type == isup.RSC:
                    self.give(code, Isup(message.cic, isup.RLC))
            self.wires[code].sent.clear()

    def ready(self, version: int = 1, kind: tuple[int, int] = m3ua.DAVA, *exchanges: int) -> None:
        """The list tells the named exchanges (all of them by default)."""
        for code in exchanges or (1, *self.core.exchanges.values()):
            self.core.news(self.now, kind, [(0, code)], info_text(version, 0, 0))

    def give(self, point_code: int, message: Isup) -> None:
        body = isup.encode(message)
        data = m3ua.Data(point_code, 1, m3ua.SI_ISUP, 2, 0, message.cic & 15, body)
        self.core.data(self.now, point_code, data)

    def take(self, point_code: int) -> list[Isup]:
        sent = list(self.wires[point_code].sent)
        self.wires[point_code].sent.clear()
        return sent

    def advance(self, ms: float) -> None:
        """Time passes; timers run at their own moments."""
        end = self.now + ms
        while (due := self.timers.next()) is not None and due <= end:
            self.now = max(self.now, due)
            self.timers.run(self.now)
        self.now = end


def iam(cic: int, called: str, calling: str = "5000001", width: int = 1, **words: int) -> Isup:
    given = {
        isup.NATURE: isup.NATURE_PLAIN,
        isup.FORWARD: isup.FORWARD_PLAIN,
        isup.CATEGORY: bytes((9 + width,)),
        isup.REQUIREMENT: bytes((isup.TWO_TIMES_64 if width == 2 else isup.SPEECH,)),
        isup.CALLED: isup.called(called),
        isup.CALLING: isup.calling(calling),
    }
    if words:
        given[isup.USER_TO_USER] = isup.user_words(**words)
    return Isup(cic, isup.IAM, given)


ACM = {isup.BACKWARD: isup.SUBSCRIBER_FREE}


def rel(cic: int, cause: int, **words: int) -> Isup:
    given = {isup.CAUSE: isup.cause_indicators(cause, 0)}
    if words:
        given[isup.USER_TO_USER] = isup.user_words(**words)
    return Isup(cic, isup.REL, given)
