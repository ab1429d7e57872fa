"""One peer's way, over one association or from an old one to a new one without a message lost or overtaken.

Make-before-break: the new association is active before the old is left (RFC 4666, 4.3.4.3, override mode).
Two TCP connections keep no order between them, so a REL could overtake its IAM. Each side therefore sends a
BEAT as the last thing on the old association, holds what it would send, and goes on over the new one when
the BEAT ACK has shown that all before it arrived.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ospreybridge.core.timers import ScheduledTimer, TimerQueue

LONGEST_HOLD = 1_000.0  # ms; an old association that does not answer for so long is as good as cut
HeartbeatCallback = Callable[[bool], None]


class Carrier(Protocol):
    """One association as the path uses it."""

    def send_data(self, service: int, sls: int, body: bytes) -> None: ...
    def send_marker(self, answered: HeartbeatCallback) -> None: ...
    def probe(self, on_result: Callable[[float, float | None], None]) -> None: ...
    def request_audit(self) -> None: ...
    def notify_alternate_active(self) -> None: ...
    def shut_down(self, reason: str) -> None: ...
    def drop(self, reason: str) -> None: ...


class PeerLink:
    """The call server's link to one peer; `lost(reason)` is called once, when calls on it can't stand."""

    def __init__(self, timers: TimerQueue, carrier: Carrier, lost: Callable[[str], None]) -> None:
        self.timers, self.current, self.on_lost = timers, carrier, lost
        self.successor: Carrier | None = None
        self.former: Carrier | None = None
        self.held: list[tuple[int, int, bytes]] = []
        self.far_moved = self.dialler = False
        self.limit: ScheduledTimer | None = None
        self.closed = False

    # -- the call server's link

    def send_data(self, service: int, sls: int, body: bytes) -> None:
        if self.successor is not None:
            self.held.append((service, sls, body))
        else:
            self.current.send_data(service, sls, body)

    def probe(self, on_result: Callable[[float, float | None], None]) -> None:
        self.current.probe(on_result)

    def request_audit(self) -> None:
        self.current.request_audit()

    # -- moving over

    def start_changeover(self, now: float, successor: Carrier, dialler: bool) -> None:
        """`successor` is active. The side that dialled leaves the old association when both have moved."""
        if self.successor is not None:
            # Of two moves at once the second waits for none: the first one's association is left.
            successor.drop("another move is under way")
            return
        if self.former is not None:
            self.former.drop("another move begins")
        # `far_moved` may be told already: the old association can be quicker than the new one's ASPAC ACK.
        self.successor, self.former, self.dialler = successor, None, dialler
        self.limit = self.timers.schedule(now + LONGEST_HOLD, self._too_long)
        self.current.send_marker(lambda came: self._marked(successor) if came else None)

    def _marked(self, successor: Carrier) -> None:
        """All that was sent on the old association has arrived."""
        if self.successor is not successor or self.closed:
            return
        self._stop_limit()
        self.former, self.current, self.successor = self.current, successor, None
        if not self.dialler:
            self.former.notify_alternate_active()
        self._flush()
        self._leave()

    def _flush(self) -> None:
        held, self.held = self.held, []
        for service, sls, body in held:
            self.current.send_data(service, sls, body)

    def peer_switched(self) -> None:
        """The far end sends nothing more on the old association."""
        self.far_moved = True
        self._leave()

    def _leave(self) -> None:
        if self.dialler and self.far_moved and self.former is not None and self.successor is None:
            former, self.former, self.far_moved = self.former, None, False
            former.shut_down("moved over")

    def _too_long(self, now: float) -> None:
        self._lost("the old association did not answer while moving over")

    def _stop_limit(self) -> None:
        if self.limit is not None:
            self.limit.cancel()
            self.limit = None

    # -- ends

    def association_ended(self, carrier: Carrier, reason: str) -> None:
        """An association of this peer is down."""
        if self.closed:
            return
        if carrier is self.successor:
            # The move failed before this side sent anything over it: the old one goes on.
            self.successor = None
            self._stop_limit()
            self._flush()
        elif carrier is self.current:
            # What was under way on it may be lost: both ends must see the same, so nothing else lives on.
            self._lost(reason, carrier)
        elif carrier is self.former:
            self.former = None

    def _lost(self, reason: str, ended: Carrier | None = None) -> None:
        self.closed = True
        self._stop_limit()
        self.held = []
        for carrier in (self.successor, self.former, self.current):
            if carrier is not None and carrier is not ended:
                carrier.drop(reason)
        self.on_lost(reason)
