"""The platform's front: sockets only. Octets in, lines and frames to the core; what the core says, out."""

from __future__ import annotations

import contextlib
import errno
import socket
from collections.abc import Callable, Generator

from ospreybridge.access.feed import DIAL_TIMEOUT_MS, JournalFeed
from ospreybridge.access.server import PlatformServer
from ospreybridge.net import tcp
from ospreybridge.net.loop import READ, EventLoop, Task, WaitRequest
from ospreybridge.settings.platform import Address, PlatformConfig
from ospreybridge.signalling import frames, jsonl
from ospreybridge.signalling.errors import FrameError

MAX_UNSENT_BYTES = 1 << 18  # octets that a peer may leave unread
MAX_DATAGRAMS_PER_TURN = 64  # taken in a turn
LINGER_MS = 200.0  # ms in which a closed connection may still be read, so that its last words arrive
MAX_LINGERING = 16  # such connections at once, and octets read from each: a stranger gets no more
MAX_DRAINED_BYTES = 1 << 18
SILENCE_CHECK_INTERVAL_MS = 100.0  # ms between looks whether the feed has gone silent


class Front:
    def __init__(
        self,
        loop: EventLoop,
        config: PlatformConfig,
        unix_offset_ms: float,
        log: Callable[..., None] | None = None,
        trace: Callable[..., None] | None = None,
    ) -> None:
        """OSError where an address can't be listened on."""
        self.loop, self.config, self.log = loop, config, log
        self.streams: dict[int, tcp.Stream] = {}
        self.lingering_count = 0
        self.client_ids: set[int] = set()  # connections that came in
        self.dialling: set[int] = set()  # connections being opened and still wanted
        self.peer_socket: socket.socket | None = None
        self.server = PlatformServer(config, loop.timers, self, loop.now, unix_offset_ms, log, trace)
        self.listener = tcp.listen(config.listen)
        self.port = int(self.listener.getsockname()[1])
        if config.peer_listen is not None:
            self.peer_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self.peer_socket.setblocking(False)
            self.peer_socket.bind(config.peer_listen)
            loop.spawn(self._receive_datagrams(self.peer_socket))
        self.journal_feed = JournalFeed(config.seed + 2)
        self.journal_stream: tcp.Stream | None = None
        self.journal_moves = 0  # how often the journal service has got another address
        loop.spawn(self._follow_journal())
        loop.spawn(self._watch_journal())
        loop.spawn(tcp.accept_connections(loop, self.listener, self._accepted))

    # -- clients

    def _accepted(self, sock: socket.socket) -> None:
        conn = self.server.client_connected(self.loop.now)
        if conn is None:
            sock.close()
            return
        stream = self.streams[conn] = tcp.Stream(self.loop, sock, MAX_UNSENT_BYTES)
        self.client_ids.add(conn)
        stream.on_close = lambda reason: self._client_closed(conn)
        self.loop.spawn(self._read_client(conn, stream))

    def _read_client(self, conn: int, stream: tcp.Stream) -> Task:
        splitter = jsonl.Splitter()
        while data := (yield from stream.read()):
            for line in splitter.feed(data):
                self.server.client_line(self.loop.now, conn, line)
                if conn not in self.streams:
                    return
            if splitter.error:
                self.server.client_unreadable(self.loop.now, conn, splitter.error)
                return
        stream.close("the client closed")

    def _client_closed(self, conn: int) -> None:
        self.streams.pop(conn, None)
        self.client_ids.discard(conn)
        self.server.client_disconnected(self.loop.now, conn)

    # -- offices

    def dial(self, conn: int, address: Address) -> None:
        self.dialling.add(conn)
        self.loop.spawn(self._dial_office(conn, address))

    def _dial_office(self, conn: int, address: Address) -> Task:
        within = self.config.settings.limits.dial_timeout or DIAL_TIMEOUT_MS
        yield "sleep", 0.0  # the core is in the middle of a step
        try:
            sock = yield from tcp.connect(self.loop, address, within)
        except OSError as error:
            refused = error.errno == errno.ECONNREFUSED
            self.dialling.discard(conn)
            self.server.office_dial_failed(self.loop.now, conn, refused)
            return
        if conn not in self.dialling:
            sock.close()
            return
        self.dialling.discard(conn)
        stream = self.streams[conn] = tcp.Stream(self.loop, sock, MAX_UNSENT_BYTES)
        stream.on_close = lambda reason: self._office_closed(conn)
        self.server.office_connected(self.loop.now, conn)
        yield from self._read_office(conn, stream)

    def _read_office(self, conn: int, stream: tcp.Stream) -> Generator[WaitRequest, None, None]:
        splitter = jsonl.Splitter()
        while data := (yield from stream.read()):
            for line in splitter.feed(data):
                self.server.office_line(self.loop.now, conn, line)
                if conn not in self.streams:
                    return
            if splitter.error:
                stream.close(splitter.error)
                return
        stream.close("the office closed")

    def _office_closed(self, conn: int) -> None:
        self.streams.pop(conn, None)
        self.server.office_disconnected(self.loop.now, conn)

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
        words = conn in self.client_ids and stream.has_written and not stream.closed
        if words and self.lingering_count < MAX_LINGERING:
            # Octets left unread would turn the close into a reset, which may destroy what was just written.
            # An office's connection closes at once: until then its set-ups count as out.
            self.streams.pop(conn, None)
            self.client_ids.discard(conn)
            stream.on_close = None
            self.loop.interrupt(stream.fd)
            self.loop.spawn(self._close_after_drain(stream, reason))
        else:
            stream.close(reason)

    def _close_after_drain(self, stream: tcp.Stream, reason: str) -> Task:
        self.lingering_count += 1
        end = self.loop.timers.schedule(self.loop.now + LINGER_MS, lambda now: stream.close(reason))
        drained = 0
        try:
            with contextlib.suppress(OSError):
                if not stream.unsent:
                    stream.sock.shutdown(socket.SHUT_WR)
            while drained < MAX_DRAINED_BYTES and (data := (yield from stream.read())):
                drained += len(data)
            stream.close(reason)
        finally:  # also where the timer was first: the loop drops a task whose socket it forgets
            end.cancel()
            self.lingering_count -= 1

    def send_datagram(self, to: Address, body: bytes) -> None:
        if self.peer_socket is not None:
            with contextlib.suppress(OSError):  # lost, as any datagram may be
                self.peer_socket.sendto(body, to)

    # -- peers and the journal service

    def _receive_datagrams(self, udp: socket.socket) -> Task:
        while True:
            yield READ, udp.fileno()
            for _ in range(MAX_DATAGRAMS_PER_TURN):
                try:
                    body, source = udp.recvfrom(512)
                except OSError:
                    break
                self.server.datagram_received(self.loop.now, source, body)

    def _follow_journal(self) -> Task:
        while True:
            moved = self.journal_moves
            try:
                sock = yield from tcp.connect(self.loop, self.config.journal, DIAL_TIMEOUT_MS)
                stream = self.journal_stream = tcp.Stream(self.loop, sock)
                self.journal_feed.connected(self.loop.now)
                yield from self._read_journal(stream)
            except OSError as error:
                self._log_event("journal service not reached", error=str(error))
            self.journal_stream = None
            if moved == self.journal_moves:
                yield "sleep", self.journal_feed.next_retry_delay()

    def _read_journal(self, stream: tcp.Stream) -> Generator[WaitRequest, None, None]:
        splitter = frames.Splitter()
        stream.write(frames.REQUEST.pack(self.server.office_list.last_number))
        while data := (yield from stream.read()):
            try:
                for frame in splitter.feed(data):
                    self.server.apply_list_event(self.loop.now, frame)
                    self.journal_feed.frame_received(self.loop.now)
            except FrameError as error:
                splitter.error = str(error)
            if splitter.error:
                self._log_event("journal service unreadable", reason=splitter.error)
                break
        stream.close("asked anew")

    def _watch_journal(self) -> Task:
        while True:
            yield "sleep", SILENCE_CHECK_INTERVAL_MS
            if self.journal_stream is not None and self.journal_feed.is_silent(self.loop.now):
                self._log_event("journal service silent")
                self._restart_journal(self.journal_stream)

    def _restart_journal(self, stream: tcp.Stream) -> None:
        """Ends a feed whose task waits for octets that may never come."""
        with contextlib.suppress(OSError):
            stream.sock.shutdown(socket.SHUT_RDWR)

    def reload(self, config: PlatformConfig) -> None:
        """Takes a new address of the journal service; the numbering goes on."""
        if config.journal != self.config.journal:
            self.config = config
            self.journal_moves += 1
            if self.journal_stream is not None:
                self._restart_journal(self.journal_stream)

    def _log_event(self, event: str, **fields: object) -> None:
        if self.log is not None:
            self.log(event, **fields)
