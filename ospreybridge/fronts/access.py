"""The platform's front: sockets only. Octets in, lines and frames to the core; what the core says, out."""

from __future__ import annotations

import contextlib
import errno
import socket
from collections.abc import Callable, Generator

from ospreybridge.access.feed import DIAL_WITHIN, Feed
from ospreybridge.access.server import Server
from ospreybridge.net import tcp
from ospreybridge.net.loop import READ, EventLoop, Task, WaitRequest
from ospreybridge.settings.platform import Address, Platform
from ospreybridge.signalling import frames, jsonl
from ospreybridge.signalling.errors import FrameError

OUT_LIMIT = 1 << 18  # octets that a peer may leave unread
MOST_DATAGRAMS = 64  # taken in a turn
LINGERS = 200.0  # ms in which a closed connection may still be read, so that its last words arrive
MOST_LINGERING = 16  # such connections at once, and octets read from each: a stranger gets no more
MOST_DRAINED = 1 << 18
FEED_LOOK = 100.0  # ms between looks whether the feed has gone silent


class Front:
    def __init__(
        self,
        loop: EventLoop,
        platform: Platform,
        unix: float,
        log: Callable[..., None] | None = None,
        trace: Callable[..., None] | None = None,
    ) -> None:
        """OSError where an address can't be listened on."""
        self.loop, self.p, self.log = loop, platform, log
        self.streams: dict[int, tcp.Stream] = {}
        self.lingering = 0
        self.callers: set[int] = set()  # connections that came in
        self.dialling: set[int] = set()  # connections being opened and still wanted
        self.udp: socket.socket | None = None
        self.core = Server(platform, loop.timers, self, loop.now, unix, log, trace)
        self.listener = tcp.listen(platform.listen)
        self.port = int(self.listener.getsockname()[1])
        if platform.peer_listen is not None:
            self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self.udp.setblocking(False)
            self.udp.bind(platform.peer_listen)
            loop.spawn(self._hearing(self.udp))
        self.feed = Feed(platform.seed + 2)
        self.feeding: tcp.Stream | None = None
        self.moved = 0  # how often the journal service has got another address
        loop.spawn(self._feeding())
        loop.spawn(self._watching())
        loop.spawn(tcp.accept_connections(loop, self.listener, self._accepted))

    # -- clients

    def _accepted(self, sock: socket.socket) -> None:
        conn = self.core.client_opened(self.loop.now)
        if conn is None:
            sock.close()
            return
        stream = self.streams[conn] = tcp.Stream(self.loop, sock, OUT_LIMIT)
        self.callers.add(conn)
        stream.on_close = lambda reason: self._client_gone(conn)
        self.loop.spawn(self._client(conn, stream))

    def _client(self, conn: int, stream: tcp.Stream) -> Task:
        splitter = jsonl.Splitter()
        while data := (yield from stream.read()):
            for line in splitter.feed(data):
                self.core.client_line(self.loop.now, conn, line)
                if conn not in self.streams:
                    return
            if splitter.error:
                self.core.client_broken(self.loop.now, conn, splitter.error)
                return
        stream.close("the client closed")

    def _client_gone(self, conn: int) -> None:
        self.streams.pop(conn, None)
        self.callers.discard(conn)
        self.core.client_closed(self.loop.now, conn)

    # -- offices

    def dial(self, conn: int, address: Address) -> None:
        self.dialling.add(conn)
        self.loop.spawn(self._dialling(conn, address))

    def _dialling(self, conn: int, address: Address) -> Task:
        within = self.p.settings.limits.dial_timeout or DIAL_WITHIN
        yield "sleep", 0.0  # the core is in the middle of a step
        try:
            sock = yield from tcp.connect(self.loop, address, within)
        except OSError as error:
            refused = error.errno == errno.ECONNREFUSED
            self.dialling.discard(conn)
            self.core.link_failed(self.loop.now, conn, refused)
            return
        if conn not in self.dialling:
            sock.close()
            return
        self.dialling.discard(conn)
        stream = self.streams[conn] = tcp.Stream(self.loop, sock, OUT_LIMIT)
        stream.on_close = lambda reason: self._link_gone(conn)
        self.core.link_opened(self.loop.now, conn)
        yield from self._office(conn, stream)

    def _office(self, conn: int, stream: tcp.Stream) -> Generator[WaitRequest, None, None]:
        splitter = jsonl.Splitter()
        while data := (yield from stream.read()):
            for line in splitter.feed(data):
                self.core.link_line(self.loop.now, conn, line)
                if conn not in self.streams:
                    return
            if splitter.error:
                stream.close(splitter.error)
                return
        stream.close("the office closed")

    def _link_gone(self, conn: int) -> None:
        self.streams.pop(conn, None)
        self.core.link_lost(self.loop.now, conn)

    # -- what the core asks for

    def send(self, conn: int, data: bytes) -> None:
        stream = self.streams.get(conn)
        if stream is not None:
            stream.write(data)

    def close(self, conn: int, reason: str) -> None:
        stream = self.streams.get(conn)
        if stream is None:
            self.dialling.discard(conn)
            return
        stream.flush()
        words = conn in self.callers and stream.has_written and not stream.closed
        if words and self.lingering < MOST_LINGERING:
            # Octets left unread would turn the close into a reset, which may destroy what was just written.
            # An office's connection closes at once: until then its set-ups count as out.
            self.streams.pop(conn, None)
            self.callers.discard(conn)
            stream.on_close = None
            self.loop.interrupt(stream.fd)
            self.loop.spawn(self._lingering(stream, reason))
        else:
            stream.close(reason)

    def _lingering(self, stream: tcp.Stream, reason: str) -> Task:
        self.lingering += 1
        end = self.loop.timers.schedule(self.loop.now + LINGERS, lambda now: stream.close(reason))
        drained = 0
        try:
            with contextlib.suppress(OSError):
                if not stream.unsent:
                    stream.sock.shutdown(socket.SHUT_WR)
            while drained < MOST_DRAINED and (data := (yield from stream.read())):
                drained += len(data)
            stream.close(reason)
        finally:  # also where the timer was first: the loop drops a task whose socket it forgets
            end.cancel()
            self.lingering -= 1

    def datagram(self, to: Address, body: bytes) -> None:
        if self.udp is not None:
            with contextlib.suppress(OSError):  # lost, as any datagram may be
                self.udp.sendto(body, to)

    # -- peers and the journal service

    def _hearing(self, udp: socket.socket) -> Task:
        while True:
            yield READ, udp.fileno()
            for _ in range(MOST_DATAGRAMS):
                try:
                    body, source = udp.recvfrom(512)
                except OSError:
                    break
                self.core.datagram(self.loop.now, source, body)

    def _feeding(self) -> Task:
        while True:
            moved = self.moved
            try:
                sock = yield from tcp.connect(self.loop, self.p.journal, DIAL_WITHIN)
                stream = self.feeding = tcp.Stream(self.loop, sock)
                self.feed.opened(self.loop.now)
                yield from self._events(stream)
            except OSError as error:
                self._note("journal service not reached", error=str(error))
            self.feeding = None
            if moved == self.moved:
                yield "sleep", self.feed.pause()

    def _events(self, stream: tcp.Stream) -> Generator[WaitRequest, None, None]:
        splitter = frames.Splitter()
        stream.write(frames.REQUEST.pack(self.core.offices.last))
        while data := (yield from stream.read()):
            try:
                for frame in splitter.feed(data):
                    self.core.news(self.loop.now, frame)
                    self.feed.frame(self.loop.now)
            except FrameError as error:
                splitter.error = str(error)
            if splitter.error:
                self._note("journal service unreadable", reason=splitter.error)
                break
        stream.close("asked anew")

    def _watching(self) -> Task:
        while True:
            yield "sleep", FEED_LOOK
            if self.feeding is not None and self.feed.silent(self.loop.now):
                self._note("journal service silent")
                self._ask_anew(self.feeding)

    def _ask_anew(self, stream: tcp.Stream) -> None:
        """Ends a feed whose task waits for octets that may never come."""
        with contextlib.suppress(OSError):
            stream.sock.shutdown(socket.SHUT_RDWR)

    def reload(self, platform: Platform) -> None:
        """Takes a new address of the journal service; the numbering goes on."""
        if platform.journal != self.p.journal:
            self.p = platform
            self.moved += 1
            if self.feeding is not None:
                self._ask_anew(self.feeding)

    def _note(self, event: str, **fields: object) -> None:
        if self.log is not None:
            self.log(event, **fields)
