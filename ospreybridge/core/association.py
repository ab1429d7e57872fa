"""One M3UA association as a state machine without I/O (RFC 4666, 4.3): IPSP, single exchange.

The side that dials sends ASPUP and ASPAC, the other acknowledges. The ASP identifier names the far end: it is
its point code and is checked against the settings.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from enum import IntEnum
from typing import Protocol

from ospreybridge.settings.server import Peer
from ospreybridge.signalling import m3ua
from ospreybridge.signalling.errors import MessageError
from ospreybridge.signalling.m3ua import Data, Message

MAX_CONSECUTIVE_ERRORS = 100  # unreadable messages in a row that end the association


def _discard(frame: bytes) -> None:
    """Stands for the sending of a connection that has ended; drops the association's reference to it."""


class AspState(IntEnum):
    """State of the association (RFC 4666, 4.3.1)."""

    DOWN = 0
    INACTIVE = 1
    ACTIVE = 2


class AssociationOwner(Protocol):
    """What an association calls in the front or stand-in that owns it."""

    def association_active(self, association: Association) -> None: ...
    def association_inactive(self, association: Association, reason: str) -> None: ...
    def data_received(self, association: Association, data: Data) -> None: ...
    def message_received(self, association: Association, message: Message) -> None: ...
    def close_association(self, association: Association, reason: str) -> None: ...
    def unknown_identifier(self, association: Association, identifier: int) -> None: ...
    def may_take_over(self, association: Association) -> bool: ...


class Association:
    """One association; `send` takes whole frames, `receive` is given whole frames."""

    def __init__(
        self,
        owner: AssociationOwner,
        send: Callable[[bytes], None],
        own_code: int,
        network_indicator: int,
        peers: dict[int, Peer],
        dialled: Peer | None = None,
        takes_over: bool = False,
    ) -> None:
        """`peers`: who may be at the far end, by point code; `dialled`: the peer that this side dialled.

        `takes_over`: it replaces an active association, in override mode.
        """
        self.owner, self.send, self.own_code, self.network_indicator, self.peers = (
            owner,
            send,
            own_code,
            network_indicator,
            peers,
        )
        self.peer, self.dialled = dialled, dialled is not None
        self.takes_over = takes_over
        self.state = AspState.DOWN
        self.consecutive_errors = 0
        self.pending_heartbeats: dict[bytes, Callable[[bool], None]] = {}
        self.heartbeat_count = 0

    # -- procedures started by this side

    def open(self) -> None:
        """Sends ASPUP; for the side that dialled."""
        identifier = (m3ua.ASP_ID, m3ua.uint32(self.own_code))
        self.send(m3ua.encode(m3ua.ASPUP, [identifier]))

    def send_data(self, service: int, sls: int, body: bytes) -> None:
        """Sends a DATA message; `service`: service indicator, `sls`: signalling link selection."""
        peer = self.peer
        assert peer is not None
        self.send(
            m3ua.encode_data(
                Data(
                    self.own_code,
                    peer.point_code,
                    service,
                    self.network_indicator,
                    0,
                    sls,
                    body,
                    peer.routing_context,
                )
            )
        )

    def send_heartbeat(self, answered: Callable[[bool], None]) -> None:
        """Sends BEAT; calls `answered(True)` on BEAT ACK, `answered(False)` if the association ends first."""
        self.heartbeat_count += 1
        heartbeat_data = m3ua.uint32(self.heartbeat_count & 0xFFFFFFFF)
        self.pending_heartbeats[heartbeat_data] = answered
        self.send(m3ua.encode(m3ua.BEAT, [(m3ua.HEARTBEAT_DATA, heartbeat_data)]))

    def shut_down(self) -> None:
        """Ends the association in order: ASPIA, then ASPDN."""
        if self.state is AspState.ACTIVE and self.peer is not None:
            context = (m3ua.ROUTING_CONTEXT, m3ua.uint32(self.peer.routing_context))
            self.send(m3ua.encode(m3ua.ASPIA, [context]))
        if self.state is not AspState.DOWN:
            self.send(m3ua.encode(m3ua.ASPDN))
        self._set_state(AspState.DOWN, "left")

    def connection_closed(self, reason: str) -> None:
        """The connection has ended: open heartbeats fail and the association is down."""
        pending, self.pending_heartbeats = self.pending_heartbeats, {}
        for answered in pending.values():
            answered(False)
        self._set_state(AspState.DOWN, reason)
        self.send = _discard

    # -- received messages

    def receive(self, frame: bytes) -> None:
        """Handles one whole frame; answers an unreadable or unexpected one by ERR.

        A single such frame affects no call; MAX_CONSECUTIVE_ERRORS of them in a row close the association.
        """
        try:
            message = m3ua.decode(frame)
            if type(message) is Data:
                self._handle_data(message, frame)
            else:
                assert isinstance(message, Message)
                _HANDLERS[message.kind](self, message)
            self.consecutive_errors = 0
        except MessageError as error:
            self.consecutive_errors += 1
            if frame[2:4] != bytes(m3ua.ERR):  # an ERR is never answered by one (RFC 4666, 3.8.1)
                self.send(m3ua.encode_error(error.error_code, frame))
            if self.consecutive_errors >= MAX_CONSECUTIVE_ERRORS:
                self.owner.close_association(
                    self, f"{MAX_CONSECUTIVE_ERRORS} messages that can't be read, the last: {error}"
                )

    def _handle_data(self, data: Data, frame: bytes) -> None:
        peer = self.peer
        if self.state is not AspState.ACTIVE or peer is None:
            raise MessageError("DATA before the association is active", m3ua.UNEXPECTED_MESSAGE)
        if data.routing_context is not None and data.routing_context != peer.routing_context:
            self.send(m3ua.encode_error(m3ua.INVALID_ROUTING_CONTEXT, frame, data.routing_context))
            return
        if data.opc != peer.point_code or data.dpc != self.own_code:
            raise MessageError(
                f"DATA from {data.opc} to {data.dpc} on this association", m3ua.PARAMETER_FIELD_ERROR
            )
        # An unreadable user part is answered by CFN and is no M3UA error.
        with contextlib.suppress(MessageError):
            self.owner.data_received(self, data)

    def _set_state(self, state: AspState, reason: str = "") -> None:
        before, self.state = self.state, state
        if before is not AspState.ACTIVE and state is AspState.ACTIVE:
            self.owner.association_active(self)
        elif before is AspState.ACTIVE and state is not AspState.ACTIVE:
            self.owner.association_inactive(self, reason)

    def _handle_aspup(self, message: Message) -> None:
        identifier = message.integer(m3ua.ASP_ID)
        if self.dialled:
            raise MessageError("ASPUP from the side that was dialled", m3ua.UNEXPECTED_MESSAGE)
        if identifier is None:
            raise MessageError("ASPUP without an ASP identifier", m3ua.ASP_ID_REQUIRED)
        peer = self.peers.get(identifier)
        if peer is None or peer.dial_address is not None or (self.peer is not None and self.peer is not peer):
            self.owner.unknown_identifier(self, identifier)
            raise MessageError(
                f"ASP identifier {identifier} belongs to no peer that dials in here", m3ua.INVALID_ASP_ID
            )
        self.peer = peer
        was_active = self.state is AspState.ACTIVE
        self._set_state(AspState.INACTIVE, "the peer came up anew")
        self.send(m3ua.encode(m3ua.ASPUP_ACK, [(m3ua.ASP_ID, m3ua.uint32(self.own_code))]))
        if was_active:
            self.send(m3ua.encode_error(m3ua.UNEXPECTED_MESSAGE))
        self._notify(m3ua.AS_INACTIVE)

    def notify_alternate_active(self) -> None:
        """Notifies the far end that traffic continues on the newer association."""
        self._notify(m3ua.ALTERNATE_ASP_ACTIVE, m3ua.STATUS_OTHER)

    def _notify(self, status: int, status_type: int = 1) -> None:
        """Sends NTFY; `status_type`: 1 for a change of the AS state (RFC 4666, 3.8.2)."""
        assert self.peer is not None
        parameters = [
            (m3ua.STATUS, m3ua.uint32(status_type << 16 | status)),
            (m3ua.ROUTING_CONTEXT, m3ua.uint32(self.peer.routing_context)),
        ]
        self.send(m3ua.encode(m3ua.NTFY, parameters))

    def _check_context(self, message: Message) -> int:
        assert self.peer is not None
        context = message.integer(m3ua.ROUTING_CONTEXT)
        if context is not None and context != self.peer.routing_context:
            raise MessageError(
                f"routing context {context} is not configured here", m3ua.INVALID_ROUTING_CONTEXT
            )
        return self.peer.routing_context

    def _handle_aspac(self, message: Message) -> None:
        if self.state is AspState.DOWN or self.peer is None or self.dialled:
            raise MessageError("ASPAC before ASPUP", m3ua.UNEXPECTED_MESSAGE)
        context = self._check_context(message)
        mode = message.integer(m3ua.TRAFFIC_MODE) or m3ua.LOADSHARE
        self.takes_over = mode == m3ua.OVERRIDE
        if self.takes_over and not self.owner.may_take_over(self):
            raise MessageError("override without an active association", m3ua.UNSUPPORTED_TRAFFIC_MODE)
        parameters = [(m3ua.TRAFFIC_MODE, m3ua.uint32(mode)), (m3ua.ROUTING_CONTEXT, m3ua.uint32(context))]
        self.send(m3ua.encode(m3ua.ASPAC_ACK, parameters))
        self._notify(m3ua.AS_ACTIVE)
        self._set_state(AspState.ACTIVE)

    def _handle_aspia(self, message: Message) -> None:
        if self.state is AspState.DOWN or self.peer is None:
            raise MessageError("ASPIA before ASPUP", m3ua.UNEXPECTED_MESSAGE)
        context = self._check_context(message)
        self.send(m3ua.encode(m3ua.ASPIA_ACK, [(m3ua.ROUTING_CONTEXT, m3ua.uint32(context))]))
        self._set_state(AspState.INACTIVE, "the peer became inactive")

    def _handle_aspdn(self, message: Message) -> None:
        self.send(m3ua.encode(m3ua.ASPDN_ACK))
        self._set_state(AspState.DOWN, "the peer went down")

    def _handle_beat(self, message: Message) -> None:
        heartbeat_data = message.parameters.get(m3ua.HEARTBEAT_DATA)
        self.send(
            m3ua.encode(
                m3ua.BEAT_ACK, [] if heartbeat_data is None else [(m3ua.HEARTBEAT_DATA, heartbeat_data)]
            )
        )

    def _handle_beat_ack(self, message: Message) -> None:
        answered = self.pending_heartbeats.pop(message.parameters.get(m3ua.HEARTBEAT_DATA, b""), None)
        if answered is not None:
            answered(True)

    def _handle_aspup_ack(self, message: Message) -> None:
        if not self.dialled or self.peer is None or self.state is not AspState.DOWN:
            return
        identifier = message.integer(m3ua.ASP_ID)
        if identifier is not None and identifier != self.peer.point_code:
            self.owner.close_association(self, f"dialled {self.peer.point_code}, found {identifier}")
            return
        self.state = AspState.INACTIVE
        mode = m3ua.OVERRIDE if self.takes_over else m3ua.LOADSHARE
        parameters = [
            (m3ua.TRAFFIC_MODE, m3ua.uint32(mode)),
            (m3ua.ROUTING_CONTEXT, m3ua.uint32(self.peer.routing_context)),
        ]
        self.send(m3ua.encode(m3ua.ASPAC, parameters))

    def _handle_aspac_ack(self, message: Message) -> None:
        if self.dialled and self.state is AspState.INACTIVE:
            self._set_state(AspState.ACTIVE)

    def _handle_daud(self, message: Message) -> None:
        """Answers a DAUD of the list service, or one for this exchange's point code, by DAVA.

        Only the list service knows the state of other point codes.
        """
        if self.state is not AspState.ACTIVE or self.peer is None:
            raise MessageError("DAUD before the association is active", m3ua.UNEXPECTED_MESSAGE)
        if self.peer.role == "list" or any(
            mask == 0 and code == self.own_code for mask, code in message.affected_point_codes()
        ):
            self.send(m3ua.encode_ssnm(m3ua.DAVA, self.peer.routing_context, 0, self.own_code))
        self.owner.message_received(self, message)

    def _forward_management(self, message: Message) -> None:
        if message.kind not in (m3ua.ERR, m3ua.DUPU):
            if self.state is not AspState.ACTIVE:
                raise MessageError(
                    f"{message.name} before the association is active", m3ua.UNEXPECTED_MESSAGE
                )
            message.affected_point_codes()
        self.owner.message_received(self, message)

    def _handle_notify(self, message: Message) -> None:
        if message.integer(m3ua.STATUS) == m3ua.STATUS_OTHER << 16 | m3ua.ALTERNATE_ASP_ACTIVE:
            self.owner.message_received(self, message)

    def _ignore(self, message: Message) -> None:
        pass


# What handles each kind of message. A table of bound methods would keep each ended association alive until a
# full garbage collection.
_HANDLERS: dict[tuple[int, int], Callable[[Association, Message], None]] = {
    m3ua.ASPUP: Association._handle_aspup,
    m3ua.ASPDN: Association._handle_aspdn,
    m3ua.BEAT: Association._handle_beat,
    m3ua.ASPUP_ACK: Association._handle_aspup_ack,
    m3ua.ASPDN_ACK: Association._ignore,
    m3ua.BEAT_ACK: Association._handle_beat_ack,
    m3ua.ASPAC: Association._handle_aspac,
    m3ua.ASPIA: Association._handle_aspia,
    m3ua.ASPAC_ACK: Association._handle_aspac_ack,
    m3ua.ASPIA_ACK: Association._ignore,
    m3ua.ERR: Association._forward_management,
    m3ua.NTFY: Association._handle_notify,
    m3ua.DAUD: Association._handle_daud,
    m3ua.DUPU: Association._forward_management,
    m3ua.DAVA: Association._forward_management,
    m3ua.DUNA: Association._forward_management,
    m3ua.DRST: Association._forward_management,
    m3ua.SCON: Association._forward_management,
}
