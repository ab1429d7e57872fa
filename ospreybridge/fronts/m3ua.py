"""The M3UA front: TCP connections, one association each, tied to the call server's links.

It dials the peers that the settings give an address for, again and again, and takes those who dial here;
peers with a name over TLS alone, plain ones on the plain port alone.
"""

from __future__ import annotations

import socket
import ssl
import time
from collections import Counter
from collections.abc import Callable, Generator, Iterable
from dataclasses import dataclass
from typing import Any

from ospreybridge.core.association import AspState, Association
from ospreybridge.core.callserver import CallServer
from ospreybridge.core.changeover import Carrier, PeerLink
from ospreybridge.core.renewal import RenewalScheduler
from ospreybridge.fronts.credential_manager import CredentialManager
from ospreybridge.keys import validation
from ospreybridge.keys.validation import FailureReason
from ospreybridge.net import tcp, tls
from ospreybridge.net.loop import EventLoop, Task, WaitRequest
from ospreybridge.settings.server import Peer, ServerSettings
from ospreybridge.signalling import m3ua
from ospreybridge.signalling.errors import FrameError, MessageError

Recorder = Callable[[int, int, bytes], None]  # (from point code, to point code, frame)
MAX_UNIDENTIFIED_CONNECTIONS = 64  # connections that have not yet said who they are
HANDSHAKE_SLOT_POLL_MS = 50.0  # ms between looks whether a handshake of our own may begin
CHANGEOVER_POLL_MS = 10.0  # ms between looks whether a link has moved over


class Channel:
    """One connection with its association; it is a carrier of its peer's path while active."""

    def __init__(
        self,
        front: M3uaFront,
        stream: tcp.Stream,
        peers: Iterable[Peer],
        dialled: Peer | None = None,
        takes_over: bool = False,
        handshake: HandshakeResult | None = None,
    ) -> None:
        """`peers`: who may be at the far end."""
        self.front, self.stream, self.handshake = front, stream, handshake
        self.splitter = m3ua.Splitter()
        self.last_received = front.loop.now
        self.was_active = False
        self.association = Association(
            front,
            self.send,
            front.settings.point_code,
            front.settings.network,
            {peer.point_code: peer for peer in peers},
            dialled,
            takes_over,
        )
        stream.on_close = self._closed
        front.channels[id(self.association)] = self

    def send(self, frame: bytes) -> None:
        if self.front.record is not None:
            self.front.record(self.front.settings.point_code, self.peer_point_code, frame)
        self.stream.write(frame)

    @property
    def peer_point_code(self) -> int:
        peer = self.association.peer
        return peer.point_code if peer is not None else 0

    def read(self) -> Task:
        stream, front, association = self.stream, self.front, self.association
        while True:
            data = yield from stream.read()
            if not data:
                self.drop("the peer closed")
                return
            self.last_received = front.loop.now
            try:
                frames = self.splitter.feed(data)
            except FrameError as error:
                self.send(
                    m3ua.encode_error(
                        m3ua.INVALID_VERSION if "version" in str(error) else m3ua.PROTOCOL_ERROR
                    )
                )
                front.counts["broken stream"] += 1
                stream.flush()
                stream.close(str(error))
                return
            for frame in frames:
                if front.record is not None:
                    front.record(self.peer_point_code, front.settings.point_code, frame)
                association.receive(frame)
                if stream.closed:
                    return

    def supervise(self) -> Task:
        """Ends a connection that does not come up in time, or that has gone silent."""
        timers = self.front.settings.timers
        yield "sleep", timers.handshake
        while not self.stream.closed:
            if self.association.state is not AspState.ACTIVE:
                self.stream.close("no active association in time")
                return
            silent = self.front.loop.now - self.last_received
            if silent >= 3 * timers.heartbeat:
                self.drop(f"silent for {silent:.0f} ms")
                return
            if silent >= timers.heartbeat:
                self.association.send_heartbeat(lambda answered: None)
            yield "sleep", timers.heartbeat

    def store_session(self) -> None:
        """The newest ticket of this connection, for the next one to the same peer."""
        front, shaken, peer = self.front, self.handshake, self.association.peer
        if shaken is not None and shaken.dialled and front.credentials is not None and peer is not None:
            sock = self.stream.sock
            session = sock.session if isinstance(sock, ssl.SSLSocket) else None
            if session is not None and session.has_ticket:
                front.credentials.sessions.store(
                    front.loop.now, peer.point_code, session, shaken.session_identity, shaken.resumptions
                )

    def _closed(self, reason: str) -> None:
        front = self.front
        if reason.startswith(tls.PROTOCOL_ERROR_PREFIX):
            word = reason.removeprefix(tls.PROTOCOL_ERROR_PREFIX).partition(":")[0]
            front.counts[f"tls {word}"] += 1
            peer = self.association.peer
            front.log_event("link broken", peer=peer.name if peer else "unknown", reason=reason)
        self.association.connection_closed(reason)
        front.channels.pop(id(self.association), None)

    # -- the path's carrier

    def send_data(self, service: int, sls: int, body: bytes) -> None:
        self.association.send_data(service, sls, body)

    def send_marker(self, answered: Callable[[bool], None]) -> None:
        self.association.send_heartbeat(answered)

    def probe(self, on_result: Callable[[float, float | None], None]) -> None:
        sent = self.front.loop.now

        def answered(came: bool) -> None:
            now = self.front.loop.now
            on_result(now, now - sent if came else None)

        self.association.send_heartbeat(answered)

    def request_audit(self) -> None:
        """DAUD for every point code: the answer is the whole list."""
        assert self.association.peer is not None
        self.send(m3ua.encode_ssnm(m3ua.DAUD, self.association.peer.routing_context, 14, 0))

    def notify_alternate_active(self) -> None:
        self.association.notify_alternate_active()

    def shut_down(self, reason: str) -> None:
        self.association.shut_down()
        self.stream.flush()
        self.drop(reason)

    def drop(self, reason: str) -> None:
        if not self.stream.closed:
            self.store_session()
        self.stream.close(reason)


@dataclass(frozen=True, slots=True)
class HandshakeResult:
    """How a link's handshake went; `identity` binds its session."""

    dialled: bool
    credentials_digest: str
    session_identity: str = ""
    resumptions: int = 0


class M3uaFront:
    def __init__(
        self,
        loop: EventLoop,
        settings: ServerSettings,
        core: CallServer,
        log: Callable[..., None] | None = None,
        record: Recorder | None = None,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """MaterialError where the settings name keys that are not sound; OSError where a port is taken."""
        self.loop, self.settings, self.core, self.log, self.record = loop, settings, core, log, record
        self.channels: dict[int, Channel] = {}
        self.links: dict[int, PeerLink] = {}
        self.counts: Counter[str] = Counter()
        self.stopping = False
        self.plain_peers = [peer for peer in settings.peers if not peer.tls_name]
        self.tls_peers = [peer for peer in settings.peers if peer.tls_name and peer.dial_address is None]
        self.pending_handshakes: dict[
            int, socket.socket
        ] = {}  # handshakes that came in, by a number of their own
        self.last_handshake_id = 0
        self.credentials: CredentialManager | None = None
        self.sockets: list[socket.socket] = []
        if settings.tls is not None:
            self.credentials = CredentialManager(settings.tls, settings.seed, self.log_event, wall)
            self.renewals = RenewalScheduler(settings.tls.link_age, settings.tls.spread, settings.seed + 1)
            self.renewals.current_digest = self.credentials.digest
            loop.spawn(self._watch_credentials(self.credentials))
            loop.spawn(self._renew_links())
        self.port = self._listen(settings.listen, self._accept_plain)
        self.tls_port = self._listen(settings.tls.listen if settings.tls else None, self._accept_tls)
        for peer in settings.peers:
            if peer.dial_address is not None:
                loop.spawn(self._keep_connected(peer))

    def _listen(self, address: tuple[str, int] | None, accepted: Callable[[socket.socket], None]) -> int:
        """The port that is listened on; 0 for none."""
        if address is None:
            return 0
        sock = tcp.listen(address)
        self.sockets.append(sock)
        self.loop.spawn(tcp.accept_connections(self.loop, sock, accepted))
        return int(sock.getsockname()[1])

    # -- connections that come in

    def _must_reject(self) -> bool:
        strangers = sum(channel.association.peer is None for channel in self.channels.values())
        return self.stopping or strangers >= MAX_UNIDENTIFIED_CONNECTIONS

    def _accept_plain(self, sock: socket.socket) -> None:
        if self._must_reject():
            sock.close()
            return
        self._start(Channel(self, tcp.Stream(self.loop, sock, self.settings.out_buffer), self.plain_peers))

    def _accept_tls(self, sock: socket.socket) -> None:
        assert self.credentials is not None
        if self._must_reject():
            sock.close()
            return
        key = self.last_handshake_id = self.last_handshake_id + 1
        granted, stale = self.credentials.handshakes.admit(self.loop.now, key)
        if not granted:
            self.counts[f"tls {FailureReason.NO_HANDSHAKE_SLOT}"] += 1
            sock.close()
            return
        stalled = self.pending_handshakes.pop(stale, None) if stale is not None else None
        if stalled is not None:
            self.loop.interrupt(stalled.fileno())
        self.loop.spawn(self._accept_handshake(sock, key, self.credentials))

    def _accept_handshake(self, sock: socket.socket, key: int, keys: CredentialManager) -> Task:
        try:
            address = "{}:{}".format(*sock.getpeername()[:2])
        except OSError:
            address = "gone"
        self.pending_handshakes[key] = sock
        wrap = keys.contexts.wrap_server

        def wrapped(plain: socket.socket) -> ssl.SSLSocket:
            found = wrap(plain)
            self.pending_handshakes[key] = found
            return found

        shaken = HandshakeResult(False, keys.digest)
        try:
            secured = yield from tls.handshake(
                self.loop, sock, wrapped, keys.handshakes, self.settings.timers.handshake, key
            )
        except tls.HandshakeError as refused:
            self._count_refusal(refused, address)
            return
        finally:
            keys.handshakes.release_slot(key)
            self.pending_handshakes.pop(key, None)
        stream = tls.TlsStream(self.loop, secured, self.settings.out_buffer)
        try:
            peers = keys.verify_peer(secured, False, self.tls_peers)
        except tls.HandshakeError as refused:
            self._count_refusal(refused, address)
            stream.close(str(refused.reason))
            return
        if self.stopping:
            stream.close("stopping")
            return
        self.counts["tls resumed" if secured.session_reused else "tls full"] += 1
        self._start(Channel(self, stream, peers, handshake=shaken))

    def _count_refusal(self, refused: tls.HandshakeError, address: str, peer: Peer | None = None) -> None:
        self.counts[f"tls {refused.reason}"] += 1
        self.log_event(
            "handshake refused",
            reason=str(refused.reason),
            detail=refused.detail,
            address=address,
            **({"peer": peer.name} if peer is not None else {}),
        )

    def _start(self, channel: Channel) -> Channel:
        self.loop.spawn(channel.read())
        self.loop.spawn(channel.supervise())
        return channel

    # -- connections that go out

    def _keep_connected(self, peer: Peer) -> Task:
        while not self.stopping:
            pause = self.settings.timers.redial / 2
            try:
                channel = yield from self._dial(peer, False)
            except tls.HandshakeError as refused:
                assert self.credentials is not None
                self._count_refusal(refused, "dialled", peer)
                if validation.requires_backoff(refused.reason):
                    pause = self.credentials.handshakes.record_failure(
                        peer.point_code, self.settings.timers.redial
                    )
            except OSError as error:
                self.counts["dial failed"] += 1
                self.log_event("dial failed", peer=peer.name, error=str(error))
            else:
                while not channel.stream.closed or peer.point_code in self.links:
                    yield "sleep", self.settings.timers.redial
                if self.credentials is not None and peer.tls_name and not channel.was_active:
                    # In TLS 1.3 a peer refuses what it was shown only after the dialler's handshake is over.
                    self._count_refusal(
                        tls.HandshakeError(FailureReason.REFUSED_BY_PEER, "closed before it was active"),
                        "dialled",
                        peer,
                    )
                    pause = self.credentials.handshakes.record_failure(
                        peer.point_code, self.settings.timers.redial
                    )
            yield "sleep", pause

    def _dial(self, peer: Peer, takes_over: bool) -> Generator[WaitRequest, None, Channel]:
        """An open connection whose association is on its way up; OSError or Refused where there is none."""
        assert peer.dial_address is not None
        keys = self.credentials if peer.tls_name else None
        while keys is not None and not keys.handshakes.may_dial():
            yield "sleep", HANDSHAKE_SLOT_POLL_MS
        if keys is None:
            sock = yield from tcp.connect(self.loop, peer.dial_address, self.settings.timers.handshake)
            channel = Channel(
                self, tcp.Stream(self.loop, sock, self.settings.out_buffer), [peer], peer, takes_over
            )
        else:
            keys.handshakes.active_dials += 1
            try:
                channel = yield from self._dial_tls(peer, keys, takes_over)
            finally:
                keys.handshakes.active_dials -= 1
        self._start(channel)
        channel.association.open()
        return channel

    def _dial_tls(
        self, peer: Peer, keys: CredentialManager, takes_over: bool
    ) -> Generator[WaitRequest, None, Channel]:
        assert peer.dial_address is not None
        within = self.settings.timers.handshake
        sock = yield from tcp.connect(self.loop, peer.dial_address, within)
        identity = keys.session_identity(peer)
        session, resumed = keys.sessions.take(self.loop.now, peer.point_code, identity)
        digest = keys.digest  # of the set that shakes hands: it may be replaced meanwhile
        wrap = keys.client_wrapper(peer, session)
        secured = yield from tls.handshake(self.loop, sock, wrap, keys.handshakes, within)
        stream = tls.TlsStream(self.loop, secured, self.settings.out_buffer)
        try:
            keys.verify_peer(secured, True, [peer])
        except tls.HandshakeError as refused:
            stream.close(str(refused.reason))
            raise
        reused = bool(secured.session_reused)
        self.counts["tls resumed" if reused else "tls full"] += 1
        shaken = HandshakeResult(True, digest, identity, resumed if reused else 0)
        return Channel(self, stream, [peer], peer, takes_over, shaken)

    # -- keys and renewal

    def _watch_credentials(self, keys: CredentialManager) -> Task:
        while not self.stopping:
            self.check_credentials(keys)
            yield "sleep", keys.settings.check_every

    def check_credentials(self, keys: CredentialManager, force: bool = False) -> None:
        """A replaced set is taken into use and the standing links are told to move; dates are looked at."""
        if keys.reload_if_changed(self.loop.now, force):
            self.renewals.key_set_replaced(self.loop.now, keys.digest)
        keys.rotate_tickets_and_warn(self.loop.now)

    def _renew_links(self) -> Task:
        while not self.stopping:
            for code in self.renewals.take_due(self.loop.now):
                self.loop.spawn(self._move_link(self.core.peers[code]))
            yield "sleep", self.renewals.next_check_delay(self.loop.now)

    def _move_link(self, peer: Peer) -> Task:
        """Make-before-break: the standing link stays whatever comes of it."""
        code, moved = peer.point_code, False

        def current() -> Carrier | None:
            path = self.links.get(code)
            return path.current if path is not None else None

        try:
            standing = current()
            if isinstance(standing, Channel):
                standing.store_session()
                channel = yield from self._dial(peer, True)
                end = self.loop.now + self.settings.timers.handshake
                while current() is not channel and not channel.stream.closed and self.loop.now < end:
                    yield "sleep", CHANGEOVER_POLL_MS
                moved = current() is channel
                if not moved:
                    channel.drop("the move came to nothing")
        except tls.HandshakeError as refused:
            self._count_refusal(refused, "dialled to move over", peer)
        except OSError as error:
            self.log_event("dial failed", peer=peer.name, error=str(error))
        self.renewals.move_ended(self.loop.now, code, moved)
        self.counts["links moved over" if moved else "moves failed"] += 1
        self.log_event("link moved over" if moved else "link not moved over", peer=peer.name)

    # -- what associations tell

    def association_active(self, association: Association) -> None:
        channel, peer = self.channels[id(association)], channel_peer(association)
        code, now = peer.point_code, self.loop.now
        channel.was_active = True
        path = self.links.get(code)
        shaken = channel.handshake
        if path is not None and association.takes_over:
            path.start_changeover(now, channel, association.dialled)
        elif association.takes_over:
            channel.drop("the association it was to follow is gone")
            return
        else:
            if path is not None:
                path.current.drop("the peer has a newer association")
            path = self.links[code] = PeerLink(
                self.loop.timers, channel, lambda reason: self._path_lost(code, reason)
            )
            self.core.link_up(now, code, path)
        if shaken is not None and self.credentials is not None:
            self.credentials.handshakes.record_success(code)
            if shaken.dialled:
                self.renewals.link_up(now, code, shaken.credentials_digest)

    def association_inactive(self, association: Association, reason: str) -> None:
        path = self.links.get(channel_peer(association).point_code)
        if path is not None:
            path.association_ended(self.channels[id(association)], reason)

    def _path_lost(self, code: int, reason: str) -> None:
        del self.links[code]
        if self.credentials is not None:
            self.renewals.link_down(code)
        self.core.link_down(self.loop.now, code, reason)

    def may_take_over(self, association: Association) -> bool:
        return association.peer is not None and association.peer.point_code in self.links

    def unknown_identifier(self, association: Association, identifier: int) -> None:
        """An identifier that this connection may not have: told by name where it is a peer's."""
        peer, secured = self.core.peers.get(identifier), self.channels[id(association)].handshake is not None
        reason = validation.identity_claim_error(bool(peer.tls_name), secured) if peer is not None else None
        if peer is not None and reason is not None:
            self._count_refusal(tls.HandshakeError(reason, f"it says it is {peer.name}"), "connected", peer)

    def data_received(self, association: Association, data: m3ua.Data) -> None:
        try:
            self.core.receive_data(self.loop.now, data.opc, data)
        except MessageError as error:
            self.log_event("unreadable", peer=channel_peer(association).name, error=str(error))
            raise

    def message_received(self, association: Association, message: m3ua.Message) -> None:
        peer = association.peer
        channel = self.channels[id(association)]
        if message.kind == m3ua.NTFY:
            path = self.links.get(channel_peer(association).point_code)
            if path is not None:
                path.peer_switched()
        elif message.kind == m3ua.ERR and association.takes_over and association.state is not AspState.ACTIVE:
            channel.drop("the peer does not let it take over")
        elif peer is not None and peer.role == "list" and message.kind in (m3ua.DAVA, m3ua.DRST, m3ua.DUNA):
            if message.info_string():
                self.core.receive_list_update(
                    self.loop.now, message.kind, message.affected_point_codes(), message.info_string()
                )
        else:
            self.counts[message.name] += 1
            self.log_event("told", peer=peer.name if peer else "unknown", message=message.name)

    def close_association(self, association: Association, reason: str) -> None:
        self.channels[id(association)].drop(reason)

    def log_event(self, event: str, **fields: Any) -> None:
        if self.log is not None:
            self.log(event, **fields)

    # -- shutting down

    def stop_listening(self) -> None:
        self.stopping = True
        for sock in self.sockets:
            self.loop.unregister(sock.fileno())
            sock.close()

    def shut_down(self) -> None:
        for channel in list(self.channels.values()):
            channel.shut_down("left")


def channel_peer(association: Association) -> Peer:
    assert association.peer is not None
    return association.peer
