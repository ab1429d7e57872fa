"""The M3UA front: one association per TCP or TLS connection, attached to the call server's links.

It keeps dialling the peers that have a dial address in the settings and accepts connections from the others.
A peer with a TLS name may connect over TLS only, a plain peer on the plain port only.
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
MAX_UNIDENTIFIED_CONNECTIONS = 64  # connections whose peer has not sent its ASP identifier yet
HANDSHAKE_SLOT_POLL_MS = 50.0  # interval of checks whether an outgoing handshake may start
CHANGEOVER_POLL_MS = 10.0  # interval of checks whether a link has moved to its new association


class Channel:
    """One connection and its association; while active it is the carrier of its peer's link."""

    def __init__(
        self,
        front: M3uaFront,
        stream: tcp.Stream,
        peers: Iterable[Peer],
        dialled: Peer | None = None,
        takes_over: bool = False,
        handshake: HandshakeResult | None = None,
    ) -> None:
        """`peers`: those that may be at the far end; `takes_over`: replaces the peer's active association."""
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
        """Writes one M3UA frame to the connection and records it."""
        if self.front.record is not None:
            self.front.record(self.front.settings.point_code, self.peer_point_code, frame)
        self.stream.write(frame)

    @property
    def peer_point_code(self) -> int:
        """Point code of the peer, 0 while it is not known."""
        peer = self.association.peer
        return peer.point_code if peer is not None else 0

    def read(self) -> Task:
        """Passes received frames to the association until the connection ends."""
        stream, front = self.stream, self.front
        while True:
            data = yield from stream.read()
            if not data:
                self.drop("closed by the peer")
                return
            self.last_received = front.loop.now
            try:
                frames = self.splitter.feed(data)
            except FrameError as error:
                self.send(m3ua.encode_error(error.error_code))
                front.counts["broken stream"] += 1
                stream.flush()
                stream.close(str(error))
                return
            del data  # a task that waits for more must not keep what it has handled
            yield from tcp.handle_in_turns(
                frames, self._handle_frame, lambda: not stream.closed, self._begin_turn
            )
            if stream.closed:
                return
            del frames

    def _handle_frame(self, frame: bytes) -> None:
        if self.front.record is not None:
            self.front.record(self.peer_point_code, self.front.settings.point_code, frame)
        self.association.receive(frame)

    def _begin_turn(self) -> None:
        if self.stream.peer_has_finished():
            self.front.association_ending(self.association)

    def supervise(self) -> Task:
        """Closes the connection if its association isn't active in time, or if the peer has gone silent."""
        timers = self.front.settings.timers
        yield "sleep", timers.handshake
        while not self.stream.closed:
            if self.association.state is not AspState.ACTIVE:
                self.stream.close("no active association in time")
                return
            silent_ms = self.front.loop.now - self.last_received
            if silent_ms >= 3 * timers.heartbeat:
                self.drop(f"silent for {silent_ms:.0f} ms")
                return
            if silent_ms >= timers.heartbeat:
                self.association.send_heartbeat(lambda answered: None)
            yield "sleep", timers.heartbeat

    def store_session(self) -> None:
        """Stores the newest TLS session ticket of this connection for the next one to the same peer."""
        front, handshake, peer = self.front, self.handshake, self.association.peer
        if handshake is not None and handshake.dialled and front.credentials is not None and peer is not None:
            sock = self.stream.sock
            session = sock.session if isinstance(sock, ssl.SSLSocket) else None
            if session is not None and session.has_ticket:
                front.credentials.sessions.store(
                    front.loop.now,
                    peer.point_code,
                    session,
                    handshake.session_identity,
                    handshake.resumptions,
                )

    def _closed(self, reason: str) -> None:
        front = self.front
        if reason.startswith(tls.PROTOCOL_ERROR_PREFIX):
            kind = reason.removeprefix(tls.PROTOCOL_ERROR_PREFIX).partition(":")[0]
            front.counts[f"tls {kind}"] += 1
            peer = self.association.peer
            front.log_event("link broken", peer=peer.name if peer else "unknown", reason=reason)
        self.association.connection_closed(reason)
        front.channels.pop(id(self.association), None)
        self.stream.on_close = None  # nothing refers to this channel in a circle: it is freed at once

    # -- Carrier interface

    def send_data(self, service: int, sls: int, body: bytes) -> None:
        """Sends a DATA message with the user part `body`; `service`: service indicator."""
        self.association.send_data(service, sls, body)

    def send_marker(self, answered: Callable[[bool], None]) -> None:
        """Sends a BEAT: its answer shows that everything sent before it has arrived."""
        self.association.send_heartbeat(answered)

    def probe(self, on_result: Callable[[float, float | None], None]) -> None:
        """Measures the round trip with a BEAT: `on_result(now, elapsed)`, in ms, None without an answer."""
        sent_at = self.front.loop.now

        def answered(success: bool) -> None:
            now = self.front.loop.now
            on_result(now, now - sent_at if success else None)

        self.association.send_heartbeat(answered)

    def request_audit(self) -> None:
        """Sends DAUD for all point codes (mask of 14 bits); the peer answers with the full list."""
        assert self.association.peer is not None
        self.send(m3ua.encode_ssnm(m3ua.DAUD, self.association.peer.routing_context, 14, 0))

    def notify_alternate_active(self) -> None:
        """Notifies the peer (NTFY) that another association has taken over from this one."""
        self.association.notify_alternate_active()

    def shut_down(self, reason: str) -> None:
        """Takes the association down in order (ASPIA, ASPDN), then closes the connection."""
        self.association.shut_down()
        self.stream.flush()
        self.drop(reason)

    def drop(self, reason: str) -> None:
        """Closes the connection and keeps its TLS session for the next one."""
        if not self.stream.closed:
            self.store_session()
        self.stream.close(reason)


@dataclass(frozen=True, slots=True)
class HandshakeResult:
    """Outcome of a connection's TLS handshake."""

    dialled: bool
    credentials_digest: str  # of the key set that the handshake used
    session_identity: str = ""  # what the session is bound to: the own key set and the peer's name
    resumptions: int = 0  # in a row since the last full handshake


class M3uaFront:
    """Owns the listening sockets, the channels and the peers' links of one call server.

    Implements `AssociationOwner`.
    """

    def __init__(
        self,
        loop: EventLoop,
        settings: ServerSettings,
        call_server: CallServer,
        log: Callable[..., None] | None = None,
        record: Recorder | None = None,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Starts listening and dialling.

        Raises CredentialsError if the key set of the settings is not valid, OSError if a port can't be bound.
        `record` is called for each frame sent or received; `wall` returns Unix seconds.
        """
        self.loop, self.settings, self.call_server, self.log, self.record = (
            loop,
            settings,
            call_server,
            log,
            record,
        )
        self.channels: dict[int, Channel] = {}  # by id() of the association
        self.links: dict[int, PeerLink] = {}  # by point code of the peer
        self.counts: Counter[str] = Counter()
        self.stopping = False
        self.plain_peers = [peer for peer in settings.peers if not peer.tls_name]
        self.tls_peers = [peer for peer in settings.peers if peer.tls_name and peer.dial_address is None]
        # Incoming handshakes in progress, by handshake id.
        self.pending_handshakes: dict[int, socket.socket] = {}
        self.last_handshake_id = 0
        self.credentials: CredentialManager | None = None
        self.listening_sockets: list[socket.socket] = []
        if settings.tls is not None:
            self.credentials = CredentialManager(settings.tls, settings.seed, self.log_event, wall_clock)
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
        """Listens on the address and returns its port; 0 without an address."""
        if address is None:
            return 0
        sock = tcp.listen(address)
        self.listening_sockets.append(sock)
        self.loop.spawn(tcp.accept_connections(self.loop, sock, accepted))
        return int(sock.getsockname()[1])

    # -- incoming connections

    def _must_reject(self) -> bool:
        unidentified = sum(channel.association.peer is None for channel in self.channels.values())
        return self.stopping or unidentified >= MAX_UNIDENTIFIED_CONNECTIONS

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
        handshake_id = self.last_handshake_id = self.last_handshake_id + 1
        admitted, stale_id = self.credentials.handshakes.admit(self.loop.now, handshake_id)
        if not admitted:
            self.counts[f"tls {FailureReason.NO_HANDSHAKE_SLOT}"] += 1
            sock.close()
            return
        stale_sock = self.pending_handshakes.pop(stale_id, None) if stale_id is not None else None
        if stale_sock is not None:
            self.loop.interrupt(stale_sock.fileno())
        self.loop.spawn(self._accept_handshake(sock, handshake_id, self.credentials))

    def _accept_handshake(
        self, sock: socket.socket, handshake_id: int, credentials: CredentialManager
    ) -> Task:
        try:
            address = "{}:{}".format(*sock.getpeername()[:2])
        except OSError:
            address = "gone"
        self.pending_handshakes[handshake_id] = sock
        wrap = credentials.contexts.wrap_server

        def wrap_and_track(plain_sock: socket.socket) -> ssl.SSLSocket:
            wrapped = wrap(plain_sock)
            self.pending_handshakes[handshake_id] = wrapped
            return wrapped

        handshake = HandshakeResult(False, credentials.digest)
        try:
            tls_sock = yield from tls.handshake(
                self.loop,
                sock,
                wrap_and_track,
                credentials.handshakes,
                self.settings.timers.handshake,
                handshake_id,
            )
        except tls.HandshakeError as error:
            self._report_refusal(error, address)
            return
        finally:
            credentials.handshakes.release_slot(handshake_id)
            self.pending_handshakes.pop(handshake_id, None)
        stream = tls.TlsStream(self.loop, tls_sock, self.settings.out_buffer)
        try:
            peers = credentials.verify_peer(tls_sock, False, self.tls_peers)
        except tls.HandshakeError as error:
            self._report_refusal(error, address)
            stream.close(str(error.reason))
            return
        if self.stopping:
            stream.close("stopping")
            return
        self.counts["tls resumed" if tls_sock.session_reused else "tls full"] += 1
        self._start(Channel(self, stream, peers, handshake=handshake))

    def _report_refusal(self, error: tls.HandshakeError, address: str, peer: Peer | None = None) -> None:
        self.counts[f"tls {error.reason}"] += 1
        self.log_event(
            "handshake refused",
            reason=str(error.reason),
            detail=error.detail,
            address=address,
            **({"peer": peer.name} if peer is not None else {}),
        )

    def _start(self, channel: Channel) -> Channel:
        self.loop.spawn(channel.read())
        self.loop.spawn(channel.supervise())
        return channel

    # -- outgoing connections

    def _keep_connected(self, peer: Peer) -> Task:
        """Dials the peer again whenever its association has ended."""
        while not self.stopping:
            pause_ms = self.settings.timers.redial / 2
            try:
                channel = yield from self._dial(peer, False)
            except tls.HandshakeError as error:
                assert self.credentials is not None
                self._report_refusal(error, "dialled", peer)
                if validation.requires_backoff(error.reason):
                    pause_ms = self.credentials.handshakes.record_failure(
                        peer.point_code, self.settings.timers.redial
                    )
            except OSError as error:
                self.counts["dial failed"] += 1
                self.log_event("dial failed", peer=peer.name, error=str(error))
            else:
                while not channel.stream.closed or peer.point_code in self.links:
                    yield "sleep", self.settings.timers.redial
                if self.credentials is not None and peer.tls_name and not channel.was_active:
                    # In TLS 1.3 the dialler's handshake completes before the peer checks its certificate: a
                    # refusal shows only as a connection that closed before its association was active.
                    self._report_refusal(
                        tls.HandshakeError(FailureReason.REFUSED_BY_PEER, "closed before it was active"),
                        "dialled",
                        peer,
                    )
                    pause_ms = self.credentials.handshakes.record_failure(
                        peer.point_code, self.settings.timers.redial
                    )
            yield "sleep", pause_ms

    def _dial(self, peer: Peer, takes_over: bool) -> Generator[WaitRequest, None, Channel]:
        """Connects to the peer and opens an association (sends ASPUP).

        Raises OSError if the connection fails, HandshakeError if either side refuses the TLS handshake.
        """
        assert peer.dial_address is not None
        credentials = self.credentials if peer.tls_name else None
        while credentials is not None and not credentials.handshakes.may_dial():
            yield "sleep", HANDSHAKE_SLOT_POLL_MS
        if credentials is None:
            sock = yield from tcp.connect(self.loop, peer.dial_address, self.settings.timers.handshake)
            channel = Channel(
                self, tcp.Stream(self.loop, sock, self.settings.out_buffer), [peer], peer, takes_over
            )
        else:
            credentials.handshakes.active_dials += 1
            try:
                channel = yield from self._dial_tls(peer, credentials, takes_over)
            finally:
                credentials.handshakes.active_dials -= 1
        self._start(channel)
        channel.association.open()
        return channel

    def _dial_tls(
        self, peer: Peer, credentials: CredentialManager, takes_over: bool
    ) -> Generator[WaitRequest, None, Channel]:
        assert peer.dial_address is not None
        timeout_ms = self.settings.timers.handshake
        sock = yield from tcp.connect(self.loop, peer.dial_address, timeout_ms)
        identity = credentials.session_identity(peer)
        session, resumptions = credentials.sessions.take(self.loop.now, peer.point_code, identity)
        digest = credentials.digest  # kept now: the key set may be replaced during the handshake
        wrap = credentials.client_wrapper(peer, session)
        tls_sock = yield from tls.handshake(self.loop, sock, wrap, credentials.handshakes, timeout_ms)
        stream = tls.TlsStream(self.loop, tls_sock, self.settings.out_buffer)
        try:
            credentials.verify_peer(tls_sock, True, [peer])
        except tls.HandshakeError as error:
            stream.close(str(error.reason))
            raise
        reused = bool(tls_sock.session_reused)
        self.counts["tls resumed" if reused else "tls full"] += 1
        handshake = HandshakeResult(True, digest, identity, resumptions if reused else 0)
        return Channel(self, stream, [peer], peer, takes_over, handshake)

    # -- key sets and link renewal

    def _watch_credentials(self, credentials: CredentialManager) -> Task:
        while not self.stopping:
            self.check_credentials(credentials)
            yield "sleep", credentials.settings.check_every

    def check_credentials(self, credentials: CredentialManager, force: bool = False) -> None:
        """Loads a replaced key set and schedules the links' renewal; warns of certificates near expiry."""
        if credentials.reload_if_changed(self.loop.now, force):
            self.renewals.key_set_replaced(self.loop.now, credentials.digest)
        credentials.rotate_tickets_and_warn(self.loop.now)

    def _renew_links(self) -> Task:
        while not self.stopping:
            for point_code in self.renewals.take_due(self.loop.now):
                self.loop.spawn(self._move_link(self.call_server.peers[point_code]))
            yield "sleep", self.renewals.next_check_delay(self.loop.now)

    def _move_link(self, peer: Peer) -> Task:
        """Moves the peer's link to a new association, make-before-break: if it fails, the old one stays."""
        point_code, moved = peer.point_code, False

        def current() -> Carrier | None:
            link = self.links.get(point_code)
            return link.current if link is not None else None

        try:
            active = current()
            if isinstance(active, Channel):
                active.store_session()
                channel = yield from self._dial(peer, True)
                deadline = self.loop.now + self.settings.timers.handshake
                while current() is not channel and not channel.stream.closed and self.loop.now < deadline:
                    yield "sleep", CHANGEOVER_POLL_MS
                moved = current() is channel
                if not moved:
                    channel.drop("the link did not move over in time")
        except tls.HandshakeError as error:
            self._report_refusal(error, "dialled to move over", peer)
        except OSError as error:
            self.log_event("dial failed", peer=peer.name, error=str(error))
        self.renewals.move_ended(self.loop.now, point_code, moved)
        self.counts["links moved over" if moved else "moves failed"] += 1
        self.log_event("link moved over" if moved else "link not moved over", peer=peer.name)

    # -- AssociationOwner interface

    def association_active(self, association: Association) -> None:
        """Attaches an active association: as a new link, or as the successor on the peer's existing link."""
        channel, peer = self.channels[id(association)], peer_of(association)
        point_code, now = peer.point_code, self.loop.now
        channel.was_active = True
        link = self.links.get(point_code)
        handshake = channel.handshake
        if link is not None and association.takes_over:
            link.start_changeover(now, channel, association.dialled)
        elif association.takes_over:
            channel.drop("the association to take over from has ended")
            return
        else:
            if link is not None:
                link.current.drop("the peer has a newer association")
            link = self.links[point_code] = PeerLink(
                self.loop.timers, channel, lambda reason: self._link_lost(point_code, reason)
            )
            self.call_server.link_up(now, point_code, link)
        if handshake is not None and self.credentials is not None:
            self.credentials.handshakes.record_success(point_code)
            if handshake.dialled:
                self.renewals.link_up(now, point_code, handshake.credentials_digest)

    def association_inactive(self, association: Association, reason: str) -> None:
        """Detaches an association from its peer's link."""
        link = self.links.get(peer_of(association).point_code)
        if link is not None:
            link.association_ended(self.channels[id(association)], reason)

    def association_ending(self, association: Association) -> None:
        """The peer has closed an association's connection, of which some is still unread."""
        link = self.links.get(association.peer.point_code) if association.peer is not None else None
        if link is not None:
            link.association_ending(self.channels[id(association)])

    def _link_lost(self, point_code: int, reason: str) -> None:
        del self.links[point_code]
        if self.credentials is not None:
            self.renewals.link_down(point_code)
        self.call_server.link_down(self.loop.now, point_code, reason)

    def may_take_over(self, association: Association) -> bool:
        """Whether the peer has a link that this association may take over."""
        return association.peer is not None and association.peer.point_code in self.links

    def unknown_identifier(self, association: Association, identifier: int) -> None:
        """Reports an ASP identifier that this connection may not use, if it belongs to a configured peer."""
        peer, over_tls = (
            self.call_server.peers.get(identifier),
            self.channels[id(association)].handshake is not None,
        )
        reason = validation.identity_claim_error(bool(peer.tls_name), over_tls) if peer is not None else None
        if peer is not None and reason is not None:
            self._report_refusal(
                tls.HandshakeError(reason, f"it claims to be {peer.name}"), "connected", peer
            )

    def data_received(self, association: Association, data: m3ua.Data) -> None:
        """Passes a DATA message to the call server; MessageError if its user part can't be decoded."""
        try:
            self.call_server.receive_data(self.loop.now, data.opc, data)
        except MessageError as error:
            self.log_event("unreadable", peer=peer_of(association).name, error=str(error))
            raise

    def message_received(self, association: Association, message: m3ua.Message) -> None:
        """Handles NTFY, ERR and the exchange list's SSNM messages; logs any other."""
        peer = association.peer
        channel = self.channels[id(association)]
        if message.kind == m3ua.NTFY:
            link = self.links.get(peer_of(association).point_code)
            if link is not None:
                link.peer_switched()
        elif message.kind == m3ua.ERR and association.takes_over and association.state is not AspState.ACTIVE:
            channel.drop("the peer refused the takeover")
        elif peer is not None and peer.role == "list" and message.kind in (m3ua.DAVA, m3ua.DRST, m3ua.DUNA):
            if message.info_string():
                self.call_server.receive_list_update(
                    self.loop.now, message.kind, message.affected_point_codes(), message.info_string()
                )
        else:
            self.counts[message.name] += 1
            self.log_event("told", peer=peer.name if peer else "unknown", message=message.name)

    def close_association(self, association: Association, reason: str) -> None:
        """Closes the association's connection."""
        self.channels[id(association)].drop(reason)

    def log_event(self, event: str, **fields: Any) -> None:
        """Writes a log line, if the front has a log."""
        if self.log is not None:
            self.log(event, **fields)

    # -- shutting down

    def stop_listening(self) -> None:
        """Closes the listening sockets; no peer is dialled or accepted any more."""
        self.stopping = True
        for sock in self.listening_sockets:
            self.loop.unregister(sock.fileno())
            sock.close()

    def shut_down(self) -> None:
        """Ends all associations in order and closes their connections."""
        for channel in list(self.channels.values()):
            channel.shut_down("left")


def peer_of(association: Association) -> Peer:
    """The peer of an association that has identified itself."""
    assert association.peer is not None
    return association.peer
