"""A peer that dials a call server, and answers supervision; what a call does is its heirs'."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ospreybridge.core.association import AspState, Association
from ospreybridge.core.handshakes import HandshakeScheduler
from ospreybridge.net import tcp
from ospreybridge.net.loop import EventLoop, Task
from ospreybridge.net.tls import HandshakeError, TlsContexts
from ospreybridge.settings.server import Peer
from ospreybridge.signalling import isup, m3ua
from ospreybridge.signalling.errors import FrameError, MessageError
from ospreybridge.signalling.isup import IsupMessage

BUFFER = 1 << 24
REDIAL = 200.0  # ms before a lost association is dialled again


@dataclass(frozen=True, slots=True)
class Place:
    """Where an endpoint stands: its point code, the call server as its peer, and where that listens now."""

    loop: EventLoop
    point_code: int
    server: Peer
    address: Callable[[], tuple[str, int] | None]
    tls: TlsContexts | None = None  # the stand-ins' own set; `server.tls` is who they expect


class Endpoint:
    """One association towards `address()`, dialled again whenever it ends while `alive`."""

    def __init__(self, place: Place) -> None:
        self.loop, self.point_code = place.loop, place.point_code
        self.server, self.address, self.tls = place.server, place.address, place.tls
        self.pace = HandshakeScheduler(1, place.point_code)
        self.association: Association | None = None
        self.stream: tcp.Stream | None = None
        self.alive = True
        self.failure = ""  # why the last dialling came to nothing
        self.faults: list[str] = []  # what the call server sent that a real peer would not understand
        self.loop.spawn(self._life())

    @property
    def up(self) -> bool:
        return self.association is not None and self.association.state is AspState.ACTIVE

    def _life(self) -> Task:
        while True:
            address = self.address() if self.alive else None
            if address is not None:
                try:
                    sock = yield from tcp.connect(self.loop, address, 2_000.0)
                    if self.tls is not None:
                        stream: tcp.Stream = yield from self.tls.connect(
                            self.loop, sock, self.pace, self.server.tls_name
                        )
                    else:
                        stream = tcp.Stream(self.loop, sock, BUFFER)
                except (OSError, HandshakeError) as error:
                    self.failure = str(error)
                else:
                    yield from self._serve(stream)
            yield "sleep", REDIAL

    def _serve(self, stream: tcp.Stream) -> Task:
        self.stream = stream
        association = Association(self, stream.write, self.point_code, 2, {}, self.server)
        self.association = association
        stream.on_close = association.connection_closed
        splitter = m3ua.Splitter()
        association.open()
        while not stream.closed:
            data = yield from stream.read()
            if not data:
                stream.close("the call server closed")
                break
            try:
                for frame in splitter.feed(data):
                    association.receive(frame)
            except FrameError as error:
                self.faults.append(str(error))
                stream.close(str(error))

    def drop(self) -> None:
        if self.stream is not None:
            self.stream.close("dropped")

    def die(self) -> None:
        self.alive = False
        self.drop()

    def send(self, message: IsupMessage) -> None:
        if self.up and self.association is not None:
            self.association.send_data(m3ua.SI_ISUP, message.cic & 15, isup.encode(message))

    # -- what the association tells

    def started(self) -> None:
        """The association is up; heirs begin their work here."""

    def lost(self, reason: str) -> None:
        """The association is down; all its circuits are idle at the next start."""

    def isup(self, message: IsupMessage) -> None:
        """One ISUP message that is no supervision."""

    def unit(self, data: m3ua.Data) -> None:
        """A DATA message of another service."""

    def association_active(self, association: Association) -> None:
        self.started()

    def association_inactive(self, association: Association, reason: str) -> None:
        if association is self.association:
            self.lost(reason)

    def data_received(self, association: Association, data: m3ua.Data) -> None:
        if data.si != m3ua.SI_ISUP:
            self.unit(data)
            return
        try:
            message = isup.decode(data.body)
        except MessageError as error:
            self.faults.append(str(error))
            raise
        answer = SUPERVISION.get(message.type)
        if answer is None:
            self.isup(message)
            return
        if message.type in (isup.RSC, isup.GRS):
            self.reset(message)
        given = dict(message.parameters)
        if answer == isup.GRA:
            count, _ = isup.decode_range_status(given[isup.RANGE_STATUS])
            given[isup.RANGE_STATUS] = isup.encode_range_status(count, [False] * count)
        self.supervised(message)
        self.send(IsupMessage(message.cic, answer, given))

    def reset(self, message: IsupMessage) -> None:
        """RSC or GRS: calls on those circuits are lost."""

    def supervised(self, message: IsupMessage) -> None:
        """BLO, UBL, CGB, CGU and resets, after they were understood."""

    def message_received(self, association: Association, message: m3ua.Message) -> None:
        if message.kind == m3ua.ERR:
            self.faults.append(f"ERR {message.integer(m3ua.ERROR_CODE)}")

    def unknown_identifier(self, association: Association, identifier: int) -> None:
        """Nobody dials an endpoint."""

    def may_take_over(self, association: Association) -> bool:
        return False

    def close_association(self, association: Association, reason: str) -> None:
        self.faults.append(reason)
        self.drop()


SUPERVISION = {
    isup.RSC: isup.RLC,
    isup.GRS: isup.GRA,
    isup.BLO: isup.BLA,
    isup.UBL: isup.UBA,
    isup.CGB: isup.CGBA,
    isup.CGU: isup.CGUA,
}
