"""One M3UA association as a state machine without I/O (RFC 4666, 4.3): IPSP, single exchange.

The side that dials sends ASPUP and ASPAC; the other acknowledges. Who is at the other end is told by the ASP
identifier, which is its point code, held against the settings.
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

MOST_ERRORS = 100  # messages in a row that can't be read, before the association is ended


class AspState(IntEnum):
    DOWN = 0
    INACTIVE = 1
    ACTIVE = 2


class Owner(Protocol):
    def association_active(self, association: Association) -> None: ...
    def association_inactive(self, association: Association, reason: str) -> None: ...
    def data_received(self, association: Association, data: Data) -> None: ...
    def message_received(self, association: Association, message: Message) -> None: ...
    def close_association(self, association: Association, reason: str) -> None: ...
    def unknown_identifier(self, association: Association, identifier: int) -> None: ...
    def may_take_over(self, association: Association) -> bool: ...


class Association:
    def __init__(
        self,
        owner: Owner,
        send: Callable[[bytes], None],
        here: int,
        network: int,
        peers: dict[int, Peer],
        dialled: Peer | None = None,
        takes_over: bool = False,
    ) -> None:
        """`peers`: who may be at the far end. `takes_over`: it follows an active one, in override mode."""
        self.owner, self.send, self.here, self.network, self.peers = owner, send, here, network, peers
        self.peer, self.dialled = dialled, dialled is not None
        self.takes_over = takes_over
        self.state = AspState.DOWN
        self.errors = 0
        self.beats: dict[bytes, Callable[[bool], None]] = {}
        self.beaten = 0
        self.handlers: dict[tuple[int, int], Callable[[Message], None]] = {
            m3ua.ASPUP: self._up, m3ua.ASPDN: self._down, m3ua.BEAT: self._beat,
            m3ua.ASPUP_ACK: self._up_ack, m3ua.ASPDN_ACK: self._ignored, m3ua.BEAT_ACK: self._beat_ack,
            m3ua.ASPAC: self._activate, m3ua.ASPIA: self._inactivate, m3ua.ASPAC_ACK: self._active_ack,
            m3ua.ASPIA_ACK: self._ignored, m3ua.ERR: self._told, m3ua.NTFY: self._notified,
            m3ua.DAUD: self._audit, m3ua.DUPU: self._told,
            m3ua.DAVA: self._told, m3ua.DUNA: self._told, m3ua.DRST: self._told, m3ua.SCON: self._told,
        }  # fmt: skip

    # -- ours to begin

    def open(self) -> None:
        identifier = (m3ua.ASP_ID, m3ua.uint32(self.here))
        self.send(m3ua.encode(m3ua.ASPUP, [identifier]))

    def send_data(self, service: int, sls: int, body: bytes) -> None:
        peer = self.peer
        assert peer is not None
        self.send(
            m3ua.encode_data(
                Data(self.here, peer.point_code, service, self.network, 0, sls, body, peer.routing_context)
            )
        )

    def send_heartbeat(self, answered: Callable[[bool], None]) -> None:
        """A heartbeat; `answered(False)` if the association ends before its answer."""
        self.beaten += 1
        mark = m3ua.uint32(self.beaten & 0xFFFFFFFF)
        self.beats[mark] = answered
        self.send(m3ua.encode(m3ua.BEAT, [(m3ua.HEARTBEAT_DATA, mark)]))

    def shut_down(self) -> None:
        """Orderly end: no more traffic here, then down."""
        if self.state is AspState.ACTIVE and self.peer is not None:
            context = (m3ua.ROUTING_CONTEXT, m3ua.uint32(self.peer.routing_context))
            self.send(m3ua.encode(m3ua.ASPIA, [context]))
        if self.state is not AspState.DOWN:
            self.send(m3ua.encode(m3ua.ASPDN))
        self._to(AspState.DOWN, "left")

    def connection_closed(self, reason: str) -> None:
        beats, self.beats = self.beats, {}
        for answered in beats.values():
            answered(False)
        self._to(AspState.DOWN, reason)

    # -- what comes in

    def receive(self, frame: bytes) -> None:
        """One whole frame. What can't be read or isn't due is answered by ERR and harms no call."""
        try:
            message = m3ua.decode(frame)
            if type(message) is Data:
                self._data(message, frame)
            else:
                assert isinstance(message, Message)
                self.handlers[message.kind](message)
            self.errors = 0
        except MessageError as error:
            self.errors += 1
            if frame[2:4] != bytes(m3ua.ERR):  # an ERR is never answered by one (RFC 4666, 3.8.1)
                self.send(m3ua.encode_error(error.error_code, frame))
            if self.errors >= MOST_ERRORS:
                self.owner.close_association(
                    self, f"{MOST_ERRORS} messages that can't be read, the last: {error}"
                )

    def _data(self, data: Data, frame: bytes) -> None:
        peer = self.peer
        if self.state is not AspState.ACTIVE or peer is None:
            raise MessageError("DATA before the association is active", m3ua.UNEXPECTED_MESSAGE)
        if data.routing_context is not None and data.routing_context != peer.routing_context:
            self.send(m3ua.encode_error(m3ua.INVALID_ROUTING_CONTEXT, frame, data.routing_context))
            return
        if data.opc != peer.point_code or data.dpc != self.here:
            raise MessageError(
                f"DATA from {data.opc} to {data.dpc} on this association", m3ua.PARAMETER_FIELD_ERROR
            )
        # A user part that can't be read is answered by CFN, its own way: no fault of M3UA.
        with contextlib.suppress(MessageError):
            self.owner.data_received(self, data)

    def _to(self, state: AspState, reason: str = "") -> None:
        before, self.state = self.state, state
        if before is not AspState.ACTIVE and state is AspState.ACTIVE:
            self.owner.association_active(self)
        elif before is AspState.ACTIVE and state is not AspState.ACTIVE:
            self.owner.association_inactive(self, reason)

    def _up(self, message: Message) -> None:
        identifier = message.integer(m3ua.ASP_ID)
        if self.dialled:
            raise MessageError("ASPUP from the side that was dialled", m3ua.UNEXPECTED_MESSAGE)
        if identifier is None:
            raise MessageError("ASPUP without an ASP identifier", m3ua.ASP_ID_REQUIRED)
        peer = self.peers.get(identifier)
        if peer is None or peer.dial_address is not None or (self.peer is not None and self.peer is not peer):
            self.owner.unknown_identifier(self, identifier)
            raise MessageError(f"ASP identifier {identifier} is nobody who dials here", m3ua.INVALID_ASP_ID)
        self.peer = peer
        again = self.state is AspState.ACTIVE
        self._to(AspState.INACTIVE, "the peer came up anew")
        self.send(m3ua.encode(m3ua.ASPUP_ACK, [(m3ua.ASP_ID, m3ua.uint32(self.here))]))
        if again:
            self.send(m3ua.encode_error(m3ua.UNEXPECTED_MESSAGE))
        self._notify(m3ua.AS_INACTIVE)

    def notify_alternate_active(self) -> None:
        """Tells the far end that nothing more comes here: the newer association carries it."""
        self._notify(m3ua.ALTERNATE_ASP_ACTIVE, m3ua.STATUS_OTHER)

    def _notify(self, status: int, kind: int = 1) -> None:
        assert self.peer is not None
        given = [
            (m3ua.STATUS, m3ua.uint32(kind << 16 | status)),
            (m3ua.ROUTING_CONTEXT, m3ua.uint32(self.peer.routing_context)),
        ]
        self.send(m3ua.encode(m3ua.NTFY, given))

    def _context(self, message: Message) -> int:
        assert self.peer is not None
        context = message.integer(m3ua.ROUTING_CONTEXT)
        if context is not None and context != self.peer.routing_context:
            raise MessageError(
                f"routing context {context} is not configured here", m3ua.INVALID_ROUTING_CONTEXT
            )
        return self.peer.routing_context

    def _activate(self, message: Message) -> None:
        if self.state is AspState.DOWN or self.peer is None or self.dialled:
            raise MessageError("ASPAC before ASPUP", m3ua.UNEXPECTED_MESSAGE)
        context = self._context(message)
        mode = message.integer(m3ua.TRAFFIC_MODE) or m3ua.LOADSHARE
        self.takes_over = mode == m3ua.OVERRIDE
        if self.takes_over and not self.owner.may_take_over(self):
            raise MessageError("override without an active association", m3ua.UNSUPPORTED_TRAFFIC_MODE)
        given = [(m3ua.TRAFFIC_MODE, m3ua.uint32(mode)), (m3ua.ROUTING_CONTEXT, m3ua.uint32(context))]
        self.send(m3ua.encode(m3ua.ASPAC_ACK, given))
        self._notify(m3ua.AS_ACTIVE)
        self._to(AspState.ACTIVE)

    def _inactivate(self, message: Message) -> None:
        if self.state is AspState.DOWN or self.peer is None:
            raise MessageError("ASPIA before ASPUP", m3ua.UNEXPECTED_MESSAGE)
        context = self._context(message)
        self.send(m3ua.encode(m3ua.ASPIA_ACK, [(m3ua.ROUTING_CONTEXT, m3ua.uint32(context))]))
        self._to(AspState.INACTIVE, "the peer became inactive")

    def _down(self, message: Message) -> None:
        self.send(m3ua.encode(m3ua.ASPDN_ACK))
        self._to(AspState.DOWN, "the peer went down")

    def _beat(self, message: Message) -> None:
        given = message.parameters.get(m3ua.HEARTBEAT_DATA)
        self.send(m3ua.encode(m3ua.BEAT_ACK, [] if given is None else [(m3ua.HEARTBEAT_DATA, given)]))

    def _beat_ack(self, message: Message) -> None:
        answered = self.beats.pop(message.parameters.get(m3ua.HEARTBEAT_DATA, b""), None)
        if answered is not None:
            answered(True)

    def _up_ack(self, message: Message) -> None:
        if not self.dialled or self.peer is None or self.state is not AspState.DOWN:
            return
        identifier = message.integer(m3ua.ASP_ID)
        if identifier is not None and identifier != self.peer.point_code:
            self.owner.close_association(self, f"dialled {self.peer.point_code}, found {identifier}")
            return
        self.state = AspState.INACTIVE
        mode = m3ua.OVERRIDE if self.takes_over else m3ua.LOADSHARE
        given = [
            (m3ua.TRAFFIC_MODE, m3ua.uint32(mode)),
            (m3ua.ROUTING_CONTEXT, m3ua.uint32(self.peer.routing_context)),
        ]
        self.send(m3ua.encode(m3ua.ASPAC, given))

    def _active_ack(self, message: Message) -> None:
        if self.dialled and self.state is AspState.INACTIVE:
            self._to(AspState.ACTIVE)

    def _audit(self, message: Message) -> None:
        """DAUD: what is asked about the own point code is answered; of others the list service knows."""
        if self.state is not AspState.ACTIVE or self.peer is None:
            raise MessageError("DAUD before the association is active", m3ua.UNEXPECTED_MESSAGE)
        if self.peer.role == "list" or any(
            mask == 0 and code == self.here for mask, code in message.affected_point_codes()
        ):
            self.send(m3ua.encode_ssnm(m3ua.DAVA, self.peer.routing_context, 0, self.here))
        self.owner.message_received(self, message)

    def _told(self, message: Message) -> None:
        if message.kind not in (m3ua.ERR, m3ua.DUPU):
            if self.state is not AspState.ACTIVE:
                raise MessageError(
                    f"{message.name} before the association is active", m3ua.UNEXPECTED_MESSAGE
                )
            message.affected_point_codes()
        self.owner.message_received(self, message)

    def _notified(self, message: Message) -> None:
        if message.integer(m3ua.STATUS) == m3ua.STATUS_OTHER << 16 | m3ua.ALTERNATE_ASP_ACTIVE:
            self.owner.message_received(self, message)

    def _ignored(self, message: Message) -> None:
        pass
