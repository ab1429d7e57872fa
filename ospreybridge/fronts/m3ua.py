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

from ospreybridge.core.association import Asp, Association
from ospreybridge.core.callserver import CallServer
from ospreybridge.core.changeover import Carrier, Path
from ospreybridge.core.renewal import Renewals
from ospreybridge.fronts.keychain import Keychain
from ospreybridge.keys import judge
from ospreybridge.keys.judge import Reason
from ospreybridge.net import tcp, tls
from ospreybridge.net.loop import Loop, Task, Trap
from ospreybridge.settings.server import Peer, Server
from ospreybridge.signalling import m3ua
from ospreybridge.signalling.errors import FrameError, MessageError

Recorder = Callable[[int, int, bytes], None]  # (from point code, to point code, frame)
MOST_STRANGERS = 64  # connections that have not yet said who they are
WAIT_FOR_SLOT = 50.0  # ms between looks whether a handshake of our own may begin
MOVE_LOOK = 10.0  # ms between looks whether a link has moved over


class Channel:
    """One connection with its association; it is a carrier of its peer's path while active."""

    def __init__(
        self,
        front: Front,
        stream: tcp.Stream,
        peers: Iterable[Peer],
        dialled: Peer | None = None,
        takes_over: bool = False,
        shaken: Shaken | None = None,
    ) -> None:
        """`peers`: who may be at the far end."""
        self.front, self.stream, self.shaken = front, stream, shaken
        self.splitter = m3ua.Splitter()
        self.heard = front.loop.now
        self.was_active = False
        self.association = Association(
            front,
            self.send,
            front.s.point_code,
            front.s.network,
            {peer.point_code: peer for peer in peers},
            dialled,
            takes_over,
        )
        stream.on_close = self._closed
        front.channels[id(self.association)] = self

    def send(self, frame: bytes) -> None:
        if self.front.record is not None:
            self.front.record(self.front.s.point_code, self.far, frame)
        self.stream.write(frame)

    @property
    def far(self) -> int:
        peer = self.association.peer
        return peer.point_code if peer is not None else 0

    def read(self) -> Task:
        stream, front, association = self.stream, self.front, self.association
        while True:
            data = yield from stream.read()
            if not data:
                self.drop("the peer closed")
                return
            self.heard = front.loop.now
            try:
                frames = self.splitter.feed(data)
            except FrameError as error:
                self.send(
                    m3ua.error(m3ua.INVALID_VERSION if "version" in str(error) else m3ua.PROTOCOL_ERROR)
                )
                front.counts["broken stream"] += 1
                stream.flush()
                stream.close(str(error))
                return
            for frame in frames:
                if front.record is not None:
                    front.record(self.far, front.s.point_code, frame)
                association.receive(frame)
                if stream.closed:
                    return

    def watch(self) -> Task:
        """Ends a connection that does not come up in time, or that has gone silent."""
        timers = self.front.s.timers
        yield "sleep", timers.handshake
        while not self.stream.closed:
            if self.association.state is not Asp.ACTIVE:
                self.stream.close("no active association in time")
                return
            silent = self.front.loop.now - self.heard
            if silent >= 3 * timers.heartbeat:
                self.drop(f"silent for {silent:.0f} ms")
                return
            if silent >= timers.heartbeat:
                self.association.beat(lambda answered: None)
            yield "sleep", timers.heartbeat

    def keep_session(self) -> None:
        """The newest ticket of this connection, for the next one to the same peer."""
        front, shaken, peer = self.front, self.shaken, self.association.peer
        if shaken is not None and shaken.dialled and front.keys is not None and peer is not None:
            sock = self.stream.sock
            session = sock.session if isinstance(sock, ssl.SSLSocket) else None
            if session is not None and session.has_ticket:
                front.keys.sessions.keep(
                    front.loop.now, peer.point_code, session, shaken.identity, shaken.resumed
                )

    def _closed(self, reason: str) -> None:
        front = self.front
        if reason.startswith(tls.BROKEN):
            word = reason.removeprefix(tls.BROKEN).partition(":")[0]
            front.counts[f"tls {word}"] += 1
            peer = self.association.peer
            front.say("link broken", peer=peer.name if peer else "unknown", reason=reason)
        self.association.closed(reason)
        front.channels.pop(id(self.association), None)

    # -- the path's carrier

    def carry(self, service: int, sls: int, body: bytes) -> None:
        self.association.data(service, sls, body)

    def mark(self, answered: Callable[[bool], None]) -> None:
        self.association.beat(answered)

    def probe(self, told: Callable[[float, float | None], None]) -> None:
        sent = self.front.loop.now

        def answered(came: bool) -> None:
            now = self.front.loop.now
            told(now, now - sent if came else None)

        self.association.beat(answered)

    def audit(self) -> None:
        """DAUD for every point code: the answer is the whole list."""
        assert self.association.peer is not None
        self.send(m3ua.ssnm(m3ua.DAUD, self.association.peer.context, 14, 0))

    def taken_over(self) -> None:
        self.association.taken_over()

    def leave(self, reason: str) -> None:
        self.association.leave()
        self.stream.flush()
        self.drop(reason)

    def drop(self, reason: str) -> None:
        if not self.stream.closed:
            self.keep_session()
        self.stream.close(reason)


@dataclass(frozen=True, slots=True)
class Shaken:
    """How a link's handshake went; `identity` binds its session."""

    dialled: bool
    digest: str
    identity: str = ""
    resumed: int = 0


class Front:
    def __init__(
        self,
        loop: Loop,
        settings: Server,
        core: CallServer,
        log: Callable[..., None] | None = None,
        record: Recorder | None = None,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """MaterialError where the settings name keys that are not sound; OSError where a port is taken."""
        self.loop, self.s, self.core, self.log, self.record = loop, settings, core, log, record
        self.channels: dict[int, Channel] = {}
        self.by_peer: dict[int, Path] = {}
        self.counts: Counter[str] = Counter()
        self.stopping = False
        self.plain = [peer for peer in settings.peers if not peer.tls]
        self.secured = [peer for peer in settings.peers if peer.tls and peer.dial is None]
        self.shaking: dict[int, socket.socket] = {}  # handshakes that came in, by a number of their own
        self.last_shaking = 0
        self.keys: Keychain | None = None
        self.sockets: list[socket.socket] = []
        if settings.tls is not None:
            self.keys = Keychain(settings.tls, settings.seed, self.say, wall)
            self.renewals = Renewals(settings.tls.link_age, settings.tls.spread, settings.seed + 1)
            self.renewals.newest = self.keys.digest
            loop.spawn(self._watching(self.keys))
            loop.spawn(self._renewing())
        self.port = self._listen(settings.listen, self._accepted)
        self.tls_port = self._listen(settings.tls.listen if settings.tls else None, self._accepted_tls)
        for peer in settings.peers:
            if peer.dial is not None:
                loop.spawn(self._dialling(peer))

    def _listen(self, address: tuple[str, int] | None, accepted: Callable[[socket.socket], None]) -> int:
        """The port that is listened on; 0 for none."""
        if address is None:
            return 0
        sock = tcp.listening(address)
        self.sockets.append(sock)
        self.loop.spawn(tcp.accepting(self.loop, sock, accepted))
        return int(sock.getsockname()[1])

    # -- connections that come in

    def _crowded(self) -> bool:
        strangers = sum(channel.association.peer is None for channel in self.channels.values())
        return self.stopping or strangers >= MOST_STRANGERS

    def _accepted(self, sock: socket.socket) -> None:
        if self._crowded():
            sock.close()
            return
        self._begin(Channel(self, tcp.Stream(self.loop, sock, self.s.out_buffer), self.plain))

    def _accepted_tls(self, sock: socket.socket) -> None:
        assert self.keys is not None
        if self._crowded():
            sock.close()
            return
        key = self.last_shaking = self.last_shaking + 1
        granted, stale = self.keys.handshakes.begin(self.loop.now, key)
        if not granted:
            self.counts[f"tls {Reason.NO_SLOT}"] += 1
            sock.close()
            return
        stalled = self.shaking.pop(stale, None) if stale is not None else None
        if stalled is not None:
            self.loop.interrupt(stalled.fileno())
        self.loop.spawn(self._shaking(sock, key, self.keys))

    def _shaking(self, sock: socket.socket, key: int, keys: Keychain) -> Task:
        try:
            address = "{}:{}".format(*sock.getpeername()[:2])
        except OSError:
            address = "gone"
        self.shaking[key] = sock
        wrap = keys.contexts.wrap_server

        def wrapped(plain: socket.socket) -> ssl.SSLSocket:
            found = wrap(plain)
            self.shaking[key] = found
            return found

        shaken = Shaken(False, keys.digest)
        try:
            secured = yield from tls.shake(
                self.loop, sock, wrapped, keys.handshakes, self.s.timers.handshake, key
            )
        except tls.Refused as refused:
            self._refused(refused, address)
            return
        finally:
            keys.handshakes.end(key)
            self.shaking.pop(key, None)
        stream = tls.TlsStream(self.loop, secured, self.s.out_buffer)
        try:
            peers = keys.check(secured, False, self.secured)
        except tls.Refused as refused:
            self._refused(refused, address)
            stream.close(str(refused.reason))
            return
        if self.stopping:
            stream.close("stopping")
            return
        self.counts["tls resumed" if secured.session_reused else "tls full"] += 1
        self._begin(Channel(self, stream, peers, shaken=shaken))

    def _refused(self, refused: tls.Refused, address: str, peer: Peer | None = None) -> None:
        self.counts[f"tls {refused.reason}"] += 1
        self.say(
            "handshake refused",
            reason=str(refused.reason),
            detail=refused.detail,
            address=address,
            **({"peer": peer.name} if peer is not None else {}),
        )

    def _begin(self, channel: Channel) -> Channel:
        self.loop.spawn(channel.read())
        self.loop.spawn(channel.watch())
        return channel

    # -- connections that go out

    def _dialling(self, peer: Peer) -> Task:
        while not self.stopping:
            pause = self.s.timers.redial / 2
            try:
                channel = yield from self._dial(peer, False)
            except tls.Refused as refused:
                assert self.keys is not None
                self._refused(refused, "dialled", peer)
                if judge.lasting(refused.reason):
                    pause = self.keys.handshakes.failed(peer.point_code, self.s.timers.redial)
            except OSError as error:
                self.counts["dial failed"] += 1
                self.say("dial failed", peer=peer.name, error=str(error))
            else:
                while not channel.stream.closed or peer.point_code in self.by_peer:
                    yield "sleep", self.s.timers.redial
                if self.keys is not None and peer.tls and not channel.was_active:
                    # In TLS 1.3 a peer refuses what it was shown only after the dialler's handshake is over.
                    self._refused(tls.Refused(Reason.REFUSED, "closed before it was active"), "dialled", peer)
                    pause = self.keys.handshakes.failed(peer.point_code, self.s.timers.redial)
            yield "sleep", pause

    def _dial(self, peer: Peer, takes_over: bool) -> Generator[Trap, None, Channel]:
        """An open connection whose association is on its way up; OSError or Refused where there is none."""
        assert peer.dial is not None
        keys = self.keys if peer.tls else None
        while keys is not None and not keys.handshakes.may_dial():
            yield "sleep", WAIT_FOR_SLOT
        if keys is None:
            sock = yield from tcp.dial(self.loop, peer.dial, self.s.timers.handshake)
            channel = Channel(self, tcp.Stream(self.loop, sock, self.s.out_buffer), [peer], peer, takes_over)
        else:
            keys.handshakes.dialling += 1
            try:
                channel = yield from self._dial_tls(peer, keys, takes_over)
            finally:
                keys.handshakes.dialling -= 1
        self._begin(channel)
        channel.association.open()
        return channel

    def _dial_tls(self, peer: Peer, keys: Keychain, takes_over: bool) -> Generator[Trap, None, Channel]:
        assert peer.dial is not None
        within = self.s.timers.handshake
        sock = yield from tcp.dial(self.loop, peer.dial, within)
        identity = keys.identity(peer)
        session, resumed = keys.sessions.take(self.loop.now, peer.point_code, identity)
        digest = keys.digest  # of the set that shakes hands: it may be replaced meanwhile
        wrap = keys.dialling(peer, session)
        secured = yield from tls.shake(self.loop, sock, wrap, keys.handshakes, within)
        stream = tls.TlsStream(self.loop, secured, self.s.out_buffer)
        try:
            keys.check(secured, True, [peer])
        except tls.Refused as refused:
            stream.close(str(refused.reason))
            raise
        reused = bool(secured.session_reused)
        self.counts["tls resumed" if reused else "tls full"] += 1
        shaken = Shaken(True, digest, identity, resumed if reused else 0)
        return Channel(self, stream, [peer], peer, takes_over, shaken)

    # -- keys and renewal

    def _watching(self, keys: Keychain) -> Task:
        while not self.stopping:
            self.look_at_keys(keys)
            yield "sleep", keys.s.check_every

    def look_at_keys(self, keys: Keychain, force: bool = False) -> None:
        """A replaced set is taken into use and the standing links are told to move; dates are looked at."""
        if keys.look(self.loop.now, force):
            self.renewals.replaced(self.loop.now, keys.digest)
        keys.watch(self.loop.now)

    def _renewing(self) -> Task:
        while not self.stopping:
            for code in self.renewals.take(self.loop.now):
                self.loop.spawn(self._moving(self.core.peers[code]))
            yield "sleep", self.renewals.look_after(self.loop.now)

    def _moving(self, peer: Peer) -> Task:
        """Make-before-break: the standing link stays whatever comes of it."""
        code, moved = peer.point_code, False

        def current() -> Carrier | None:
            path = self.by_peer.get(code)
            return path.current if path is not None else None

        try:
            standing = current()
            if isinstance(standing, Channel):
                standing.keep_session()
                channel = yield from self._dial(peer, True)
                end = self.loop.now + self.s.timers.handshake
                while current() is not channel and not channel.stream.closed and self.loop.now < end:
                    yield "sleep", MOVE_LOOK
                moved = current() is channel
                if not moved:
                    channel.drop("the move came to nothing")
        except tls.Refused as refused:
            self._refused(refused, "dialled to move over", peer)
        except OSError as error:
            self.say("dial failed", peer=peer.name, error=str(error))
        self.renewals.over(self.loop.now, code, moved)
        self.counts["links moved over" if moved else "moves failed"] += 1
        self.say("link moved over" if moved else "link not moved over", peer=peer.name)

    # -- what associations tell

    def active(self, association: Association) -> None:
        channel, peer = self.channels[id(association)], channel_peer(association)
        code, now = peer.point_code, self.loop.now
        channel.was_active = True
        path = self.by_peer.get(code)
        shaken = channel.shaken
        if path is not None and association.takes_over:
            path.move(now, channel, association.dialled)
        elif association.takes_over:
            channel.drop("the association it was to follow is gone")
            return
        else:
            if path is not None:
                path.current.drop("the peer has a newer association")
            path = self.by_peer[code] = Path(
                self.loop.timers, channel, lambda reason: self._lost(code, reason)
            )
            self.core.link_up(now, code, path)
        if shaken is not None and self.keys is not None:
            self.keys.handshakes.succeeded(code)
            if shaken.dialled:
                self.renewals.up(now, code, shaken.digest)

    def inactive(self, association: Association, reason: str) -> None:
        path = self.by_peer.get(channel_peer(association).point_code)
        if path is not None:
            path.ended(self.channels[id(association)], reason)

    def _lost(self, code: int, reason: str) -> None:
        del self.by_peer[code]
        if self.keys is not None:
            self.renewals.down(code)
        self.core.link_down(self.loop.now, code, reason)

    def may_take_over(self, association: Association) -> bool:
        return association.peer is not None and association.peer.point_code in self.by_peer

    def stranger(self, association: Association, identifier: int) -> None:
        """An identifier that this connection may not have: told by name where it is a peer's."""
        peer, secured = self.core.peers.get(identifier), self.channels[id(association)].shaken is not None
        reason = judge.claim(bool(peer.tls), secured) if peer is not None else None
        if peer is not None and reason is not None:
            self._refused(tls.Refused(reason, f"it says it is {peer.name}"), "connected", peer)

    def received(self, association: Association, data: m3ua.Data) -> None:
        try:
            self.core.data(self.loop.now, data.opc, data)
        except MessageError as error:
            self.say("unreadable", peer=channel_peer(association).name, error=str(error))
            raise

    def told(self, association: Association, message: m3ua.Message) -> None:
        peer = association.peer
        channel = self.channels[id(association)]
        if message.kind == m3ua.NTFY:
            path = self.by_peer.get(channel_peer(association).point_code)
            if path is not None:
                path.far_side_moved()
        elif message.kind == m3ua.ERR and association.takes_over and association.state is not Asp.ACTIVE:
            channel.drop("the peer does not let it take over")
        elif peer is not None and peer.role == "list" and message.kind in (m3ua.DAVA, m3ua.DRST, m3ua.DUNA):
            if message.text():
                self.core.news(self.loop.now, message.kind, message.affected(), message.text())
        else:
            self.counts[message.name] += 1
            self.say("told", peer=peer.name if peer else "unknown", message=message.name)

    def end(self, association: Association, reason: str) -> None:
        self.channels[id(association)].drop(reason)

    def say(self, event: str, **fields: Any) -> None:
        if self.log is not None:
            self.log(event, **fields)

    # -- shutting down

    def stop_listening(self) -> None:
        self.stopping = True
        for sock in self.sockets:
            self.loop.forget(sock.fileno())
            sock.close()

    def leave(self) -> None:
        for channel in list(self.channels.values()):
            channel.leave("left")


def channel_peer(association: Association) -> Peer:
    assert association.peer is not None
    return association.peer
