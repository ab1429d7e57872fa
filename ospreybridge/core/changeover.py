"""The link to one peer, and its changeover to a new association without loss or reordering of messages.

Make-before-break: the new association is active before the old one is left (RFC 4666, 4.3.4.3, override
mode). Order is not kept across two TCP connections, so a REL could overtake its IAM. Each side therefore
sends a BEAT as the last message on the old association, holds further messages, and sends them on the new one
once the BEAT ACK shows that everything before it has arrived.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ospreybridge.core.timers import ScheduledTimer, TimerQueue

MAX_HOLD_MS = 1_000.0  # the old association counts as cut if its BEAT is not answered by then
HeartbeatCallback = Callable[[bool], None]


class Carrier(Protocol):
    """One association as the link uses it; `answered` is called on the BEAT ACK of a marker."""

    def send_data(self, service: int, sls: int, body: bytes) -> None: ...
    def send_marker(self, answered: HeartbeatCallback) -> None: ...
    def probe(self, on_result: Callable[[float, float | None], None]) -> None: ...
    def request_audit(self) -> None: ...
    def notify_alternate_active(self) -> None: ...
    def shut_down(self, reason: str) -> None: ...
    def drop(self, reason: str) -> None: ...


class PeerLink:
    """The call server's link to one peer; calls `lost(reason)` once, when the calls on it are lost."""

    def __init__(self, timers: TimerQueue, carrier: Carrier, lost: Callable[[str], None]) -> None:
        self.timers, self.current, self.on_lost = timers, carrier, lost
        self.successor: Carrier | None = None
        self.previous: Carrier | None = None
        self.held_messages: list[tuple[int, int, bytes]] = []  # (service indicator, SLS, body)
        self.peer_has_switched = self.dialler = False
        self.hold_timer: ScheduledTimer | None = None
        self.closed = False
        self.ending = False  # the peer has closed the connection that carries the link; some is unread

    # -- interface to the call server

    def send_data(self, service: int, sls: int, body: bytes) -> None:
        """Sends a DATA message, or holds it during a changeover."""
        if self.successor is not None:
            self.held_messages.append((service, sls, body))
        else:
            self.current.send_data(service, sls, body)

    def probe(self, on_result: Callable[[float, float | None], None]) -> None:
        """Measures the round trip on the current association."""
        self.current.probe(on_result)

    def request_audit(self) -> None:
        """Asks the peer for the whole exchange list."""
        self.current.request_audit()

    # -- changeover

    def start_changeover(self, now: float, successor: Carrier, dialler: bool) -> None:
        """Starts the changeover to `successor`, which is active.

        The side that dialled (`dialler`) leaves the old association when both sides have moved.
        """
        if self.successor is not None:
            # Only one changeover at a time: the second one is refused at once.
            successor.drop("another move is under way")
            return
        if self.previous is not None:
            self.previous.drop("another move begins")
        # `peer_has_switched` may be set already: the NTFY on the old association can precede the ASPAC ACK.
        self.successor, self.previous, self.dialler = successor, None, dialler
        self.hold_timer = self.timers.schedule(now + MAX_HOLD_MS, self._hold_timeout)
        self.current.send_marker(lambda answered: self._marker_answered(successor) if answered else None)

    def _marker_answered(self, successor: Carrier) -> None:
        """Everything sent on the old association has arrived: switches to the new one."""
        if self.successor is not successor or self.closed:
            return
        self._cancel_hold_timer()
        self.previous, self.current, self.successor = self.current, successor, None
        if not self.dialler:
            self.previous.notify_alternate_active()
        self._send_held_messages()
        self._leave_previous()

    def _send_held_messages(self) -> None:
        held, self.held_messages = self.held_messages, []
        for service, sls, body in held:
            self.current.send_data(service, sls, body)

    def peer_switched(self) -> None:
        """The far end sends nothing more on the old association (NTFY, alternate ASP active)."""
        self.peer_has_switched = True
        self._leave_previous()

    def _leave_previous(self) -> None:
        if self.dialler and self.peer_has_switched and self.previous is not None and self.successor is None:
            previous, self.previous, self.peer_has_switched = self.previous, None, False
            previous.shut_down("moved over")

    def _hold_timeout(self, now: float) -> None:
        self._fail("the old association did not answer while moving over")

    def _cancel_hold_timer(self) -> None:
        if self.hold_timer is not None:
            self.hold_timer.cancel()
            self.hold_timer = None

    # -- end of associations

    def association_ending(self, carrier: Carrier) -> None:
        """The peer has closed the connection of one of the associations, of which some is still unread."""
        self.ending = self.ending or carrier is self.current

    def association_ended(self, carrier: Carrier, reason: str) -> None:
        """Handles the end of one of the associations to this peer."""
        if self.closed:
            return
        if carrier is self.successor:
            # The changeover failed before anything was sent on the new association: stay on the old one.
            self.successor = None
            self._cancel_hold_timer()
            self._send_held_messages()
        elif carrier is self.current:
            # Messages in transit may be lost. Both ends must see the same loss, so the others end as well.
            self._fail(reason, carrier)
        elif carrier is self.previous:
            self.previous = None

    def _fail(self, reason: str, ended: Carrier | None = None) -> None:
        self.closed = True
        self._cancel_hold_timer()
        self.held_messages = []
        for carrier in (self.successor, self.previous, self.current):
            if carrier is not None and carrier is not ended:
                carrier.drop(reason)
        self.on_lost(reason)
