"""Base class of the stand-ins: dials a call server and answers circuit supervision."""

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

OUT_BUFFER_BYTES = 1 << 24
REDIAL_DELAY_MS = 200.0  # wait after a lost association or a failed dial


@dataclass(frozen=True, slots=True)
class EndpointConfig:
    """Connection settings of an endpoint.

    `call_server` describes the call server as a peer of the endpoint; `get_address` returns the address it
    listens on now, or None while it does not listen.
    """

    loop: EventLoop
    point_code: int
    call_server: Peer
    get_address: Callable[[], tuple[str, int] | None]
    tls_contexts: TlsContexts | None = None  # own credentials; the expected name is `call_server.tls_name`


class Endpoint:
    """One association to `get_address()`, dialled again whenever it ends while `dial_enabled`."""

    def __init__(self, config: EndpointConfig) -> None:
        self.loop, self.point_code = config.loop, config.point_code
        self.call_server, self.get_address, self.tls_contexts = (
            config.call_server,
            config.get_address,
            config.tls_contexts,
        )
        self.handshakes = HandshakeScheduler(1, config.point_code)
        self.association: Association | None = None
        self.stream: tcp.Stream | None = None
        self.dial_enabled = True
        self.last_dial_error = ""  # why the last dial failed
        self.protocol_errors: list[str] = []  # messages of the call server that a real peer would reject
        self.loop.spawn(self._run())

    @property
    def up(self) -> bool:
        """Whether the association is active."""
        return self.association is not None and self.association.state is AspState.ACTIVE

    def _run(self) -> Task:
        while True:
            address = self.get_address() if self.dial_enabled else None
            if address is not None:
                try:
                    sock = yield from tcp.connect(self.loop, address, 2_000.0)
                    if self.tls_contexts is not None:
                        stream: tcp.Stream = yield from self.tls_contexts.connect(
                            self.loop, sock, self.handshakes, self.call_server.tls_name
                        )
                    else:
                        stream = tcp.Stream(self.loop, sock, OUT_BUFFER_BYTES)
                except (OSError, HandshakeError) as error:
                    self.last_dial_error = str(error)
                else:
                    yield from self._run_association(stream)
            yield "sleep", REDIAL_DELAY_MS

    def _run_association(self, stream: tcp.Stream) -> Task:
        self.stream = stream
        association = Association(self, stream.write, self.point_code, 2, {}, self.call_server)
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
                self.protocol_errors.append(str(error))
                stream.close(str(error))

    def disconnect(self) -> None:
        """Closes the connection; it is dialled again while `dial_enabled`."""
        if self.stream is not None:
            self.stream.close("dropped")

    def stop(self) -> None:
        """Closes the connection and dials no more."""
        self.dial_enabled = False
        self.disconnect()

    def send(self, message: IsupMessage) -> None:
        """Sends an ISUP message, or drops it while the association is not active."""
        if self.up and self.association is not None:
            self.association.send_data(m3ua.SI_ISUP, message.cic & 15, isup.encode(message))

    # -- callbacks of the association; the on_* methods are for subclasses

    def on_active(self) -> None:
        """Called when the association becomes active."""

    def on_inactive(self, reason: str) -> None:
        """Called when the association is lost; all its circuits are idle when it becomes active again."""

    def on_isup(self, message: IsupMessage) -> None:
        """Called for each ISUP message that is not circuit supervision."""

    def on_other_data(self, data: m3ua.Data) -> None:
        """Called for each DATA message of another service than ISUP."""

    def association_active(self, association: Association) -> None:
        self.on_active()

    def association_inactive(self, association: Association, reason: str) -> None:
        if association is self.association:
            self.on_inactive(reason)

    def data_received(self, association: Association, data: m3ua.Data) -> None:
        if data.si != m3ua.SI_ISUP:
            self.on_other_data(data)
            return
        try:
            message = isup.decode(data.body)
        except MessageError as error:
            self.protocol_errors.append(str(error))
            raise
        answer_type = SUPERVISION_ANSWERS.get(message.type)
        if answer_type is None:
            self.on_isup(message)
            return
        if message.type in (isup.RSC, isup.GRS):
            self.on_reset(message)
        parameters = dict(message.parameters)
        if answer_type == isup.GRA:
            count, _ = isup.decode_range_status(parameters[isup.RANGE_STATUS])
            parameters[isup.RANGE_STATUS] = isup.encode_range_status(count, [False] * count)
        self.on_supervision(message)
        self.send(IsupMessage(message.cic, answer_type, parameters))

    def on_reset(self, message: IsupMessage) -> None:
        """Called for RSC and GRS: calls on these circuits are lost."""

    def on_supervision(self, message: IsupMessage) -> None:
        """Called for each supervision message (BLO, UBL, CGB, CGU, RSC, GRS) before it is answered."""

    def message_received(self, association: Association, message: m3ua.Message) -> None:
        if message.kind == m3ua.ERR:
            self.protocol_errors.append(f"ERR {message.integer(m3ua.ERROR_CODE)}")

    def unknown_identifier(self, association: Association, identifier: int) -> None:
        """Never called: an endpoint accepts no connections."""

    def may_take_over(self, association: Association) -> bool:
        return False

    def close_association(self, association: Association, reason: str) -> None:
        self.protocol_errors.append(reason)
        self.disconnect()


# Supervision messages and the message type that acknowledges each.
SUPERVISION_ANSWERS = {
    isup.RSC: isup.RLC,
    isup.GRS: isup.GRA,
    isup.BLO: isup.BLA,
    isup.UBL: isup.UBA,
    isup.CGB: isup.CGBA,
    isup.CGU: isup.CGUA,
}
