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


class Asp(IntEnum):
    DOWN = 0
    INACTIVE = 1
    ACTIVE = 2


class Owner(Protocol):
    def active(self, association: Association) -> None: ...
    def inactive(self, association: Association, reason: str) -> None: ...
    def received(self, association: Association, data: Data) -> None: ...
    def told(self, association: Association, message: Message) -> None: ...
    def end(self, association: Association, reason: str) -> None: ...
    def stranger(self, association: Association, identifier: int) -> None: ...
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
        self.state = Asp.DOWN
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
        identifier = (m3ua.ASP_ID, m3ua.word(self.here))
        self.send(m3ua.encode(m3ua.ASPUP, [identifier]))

    def data(self, service: int, sls: int, body: bytes) -> None:
        peer = self.peer
        assert peer is not None
        self.send(
            m3ua.encode_data(
                Data(self.here, peer.point_code, service, self.network, 0, sls, body, peer.context)
            )
        )

    def beat(self, answered: Callable[[bool], None]) -> None:
        """A heartbeat; `answered(False)` if the association ends before its answer."""
        self.beaten += 1
        mark = m3ua.word(self.beaten & 0xFFFFFFFF)
        self.beats[mark] = answered
        self.send(m3ua.encode(m3ua.BEAT, [(m3ua.HEARTBEAT, mark)]))

    def leave(self) -> None:
        """Orderly end: no more traffic here, then down."""
        if self.state is Asp.ACTIVE and self.peer is not None:
            context = (m3ua.ROUTING_CONTEXT, m3ua.word(self.peer.context))
            self.send(m3ua.encode(m3ua.ASPIA, [context]))
        if self.state is not Asp.DOWN:
            self.send(m3ua.encode(m3ua.ASPDN))
        self._to(Asp.DOWN, "left")

    def closed(self, reason: str) -> None:
        beats, self.beats = self.beats, {}
        for answered in beats.values():
            answered(False)
        self._to(Asp.DOWN, reason)

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
                self.send(m3ua.error(error.code, frame))
            if self.errors >= MOST_ERRORS:
                self.owner.end(self, f"{MOST_ERRORS} messages that can't be read, the last: {error}")

    def _data(self, data: Data, frame: bytes) -> None:
        peer = self.peer
        if self.state is not Asp.ACTIVE or peer is None:
            raise MessageError("DATA before the association is active", m3ua.UNEXPECTED)
        if data.context is not None and data.context != peer.context:
            self.send(m3ua.error(m3ua.INVALID_CONTEXT, frame, data.context))
            return
        if data.opc != peer.point_code or data.dpc != self.here:
            raise MessageError(f"DATA from {data.opc} to {data.dpc} on this association", m3ua.BAD_FIELD)
        # A user part that can't be read is answered by CFN, its own way: no fault of M3UA.
        with contextlib.suppress(MessageError):
            self.owner.received(self, data)

    def _to(self, state: Asp, reason: str = "") -> None:
        before, self.state = self.state, state
        if before is not Asp.ACTIVE and state is Asp.ACTIVE:
            self.owner.active(self)
        elif before is Asp.ACTIVE and state is not Asp.ACTIVE:
            self.owner.inactive(self, reason)

    def _up(self, message: Message) -> None:
        identifier = message.number(m3ua.ASP_ID)
        if self.dialled:
            raise MessageError("ASPUP from the side that was dialled", m3ua.UNEXPECTED)
        if identifier is None:
            raise MessageError("ASPUP without an ASP identifier", m3ua.ASP_ID_REQUIRED)
        peer = self.peers.get(identifier)
        if peer is None or peer.dial is not None or (self.peer is not None and self.peer is not peer):
            self.owner.stranger(self, identifier)
            raise MessageError(f"ASP identifier {identifier} is nobody who dials here", m3ua.INVALID_ASP_ID)
        self.peer = peer
        again = self.state is Asp.ACTIVE
        self._to(Asp.INACTIVE, "the peer came up anew")
        self.send(m3ua.encode(m3ua.ASPUP_ACK, [(m3ua.ASP_ID, m3ua.word(self.here))]))
        if again:
            self.send(m3ua.error(m3ua.UNEXPECTED))
        self._notify(m3ua.AS_INACTIVE)

    def taken_over(self) -> None:
        """Tells the far end that nothing more comes here: the newer association carries it."""
        self._notify(m3ua.ALTERNATE_ACTIVE, m3ua.OTHER)

    def _notify(self, status: int, kind: int = 1) -> None:
        assert self.peer is not None
        given = [
            (m3ua.STATUS, m3ua.word(kind << 16 | status)),
            (m3ua.ROUTING_CONTEXT, m3ua.word(self.peer.context)),
        ]
        self.send(m3ua.encode(m3ua.NTFY, given))

    def _context(self, message: Message) -> int:
        assert self.peer is not None
        context = message.number(m3ua.ROUTING_CONTEXT)
        if context is not None and context != self.peer.context:
            raise MessageError(f"routing context {context} is not configured here", m3ua.INVALID_CONTEXT)
        return self.peer.context

    def _activate(self, message: Message) -> None:
        if self.state is Asp.DOWN or self.peer is None or self.dialled:
            raise MessageError("ASPAC before ASPUP", m3ua.UNEXPECTED)
        context = self._context(message)
        mode = message.number(m3ua.TRAFFIC_MODE) or m3ua.LOADSHARE
        self.takes_over = mode == m3ua.OVERRIDE
        if self.takes_over and not self.owner.may_take_over(self):
            raise MessageError("override without an active association", m3ua.UNSUPPORTED_MODE)
        given = [(m3ua.TRAFFIC_MODE, m3ua.word(mode)), (m3ua.ROUTING_CONTEXT, m3ua.word(context))]
        self.send(m3ua.encode(m3ua.ASPAC_ACK, given))
        self._notify(m3ua.AS_ACTIVE)
        self._to(Asp.ACTIVE)

    def _inactivate(self, message: Message) -> None:
        if self.state is Asp.DOWN or self.peer is None:
            raise MessageError("ASPIA before ASPUP", m3ua.UNEXPECTED)
        context = self._context(message)
        self.send(m3ua.encode(m3ua.ASPIA_ACK, [(m3ua.ROUTING_CONTEXT, m3ua.word(context))]))
        self._to(Asp.INACTIVE, "the peer became inactive")

    def _down(self, message: Message) -> None:
        self.send(m3ua.encode(m3ua.ASPDN_ACK))
        self._to(Asp.DOWN, "the peer went down")

    def _beat(self, message: Message) -> None:
        given = message.parameters.get(m3ua.HEARTBEAT)
        self.send(m3ua.encode(m3ua.BEAT_ACK, [] if given is None else [(m3ua.HEARTBEAT, given)]))

    def _beat_ack(self, message: Message) -> None:
        answered = self.beats.pop(message.parameters.get(m3ua.HEARTBEAT, b""), None)
        if answered is not None:
            answered(True)

    def _up_ack(self, message: Message) -> None:
        if not self.dialled or self.peer is None or self.state is not Asp.DOWN:
            return
        identifier = message.number(m3ua.ASP_ID)
        if identifier is not None and identifier != self.peer.point_code:
            self.owner.end(self, f"dialled {self.peer.point_code}, found {identifier}")
            return
        self.state = Asp.INACTIVE
        mode = m3ua.OVERRIDE if self.takes_over else m3ua.LOADSHARE
        given = [
            (m3ua.TRAFFIC_MODE, m3ua.word(mode)),
            (m3ua.ROUTING_CONTEXT, m3ua.word(self.peer.context)),
        ]
        self.send(m3ua.encode(m3ua.ASPAC, given))

    def _active_ack(self, message: Message) -> None:
        if self.dialled and self.state is Asp.INACTIVE:
            self._to(Asp.ACTIVE)

    def _audit(self, message: Message) -> None:
        """DAUD: what is asked about the own point code is answered; of others the list service knows."""
        if self.state is not Asp.ACTIVE or self.peer is None:
            raise MessageError("DAUD before the association is active", m3ua.UNEXPECTED)
        if self.peer.role == "list" or any(
            mask == 0 and code == self.here for mask, code in message.affected()
        ):
            self.send(m3ua.ssnm(m3ua.DAVA, self.peer.context, 0, self.here))
        self.owner.told(self, message)

    def _told(self, message: Message) -> None:
        if message.kind not in (m3ua.ERR, m3ua.DUPU):
            if self.state is not Asp.ACTIVE:
                raise MessageError(f"{message.name} before the association is active", m3ua.UNEXPECTED)
            message.affected()
        self.owner.told(self, message)

    def _notified(self, message: Message) -> None:
        if message.number(m3ua.STATUS) == m3ua.OTHER << 16 | m3ua.ALTERNATE_ACTIVE:
            self.owner.told(self, message)

    def _ignored(self, message: Message) -> None:
        pass
