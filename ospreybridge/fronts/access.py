"""Sockets of the call server on the platform: passes received lines, frames and datagrams to PlatformServer.

It implements the server's Transport and decides nothing about calls. A test checks that it imports none of
the heavy packages (cryptography and others).
"""

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

MAX_UNHANDLED_BYTES = 1 << 21  # read from all clients and not handled yet
SMALL_READ_BYTES = 16_384  # for each client once there is as much
MAX_UNSENT_BYTES = 1 << 18  # a peer that leaves more unread is disconnected
MAX_DATAGRAMS_PER_TURN = 64  # then other sockets are served
LINGER_MS = 200.0  # a closed connection is read for this time, so that its last messages arrive
MAX_LINGERING = 16  # connections at once: bounds what a misbehaving client can use
MAX_DRAINED_BYTES = 1 << 18  # read from each of them
SILENCE_CHECK_INTERVAL_MS = 100.0  # for the journal service


class AccessFront:
    """The listener and all connections of one call server."""

    def __init__(
        self,
        loop: EventLoop,
        config: PlatformConfig,
        unix_offset_ms: float,
        log: Callable[..., None] | None = None,
        trace: Callable[..., None] | None = None,
    ) -> None:
        """OSError if an address can't be bound. `unix_offset_ms`: Unix time at zero of the loop's clock."""
        self.loop, self.config, self.log = loop, config, log
        self.streams: dict[int, tcp.Stream] = {}
        self.lingering_count = 0
        self.unhandled_bytes = 0  # read from clients
        self.client_ids: set[int] = set()  # connections that were accepted
        self.dialling: set[int] = set()  # being opened and not closed meanwhile
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
        self.journal_moves = 0  # changes of the service's address
        loop.spawn(self._follow_journal())
        loop.spawn(self._watch_journal())
        loop.spawn(tcp.accept_connections(loop, self.listener, self._accepted))

    # -- clients

    def _accepted(self, sock: socket.socket) -> None:
        connection_id = self.server.client_connected(self.loop.now)
        if connection_id is None:
            sock.close()
            return
        stream = self.streams[connection_id] = tcp.Stream(self.loop, sock, MAX_UNSENT_BYTES)
        self.client_ids.add(connection_id)
        stream.on_close = lambda reason: self._client_closed(connection_id)
        self.loop.spawn(self._read_client(connection_id, stream))

    def _read_client(self, connection_id: int, stream: tcp.Stream) -> Task:
        def is_open() -> bool:
            return connection_id in self.streams

        def handle(line: bytes) -> None:
            self.server.client_line(self.loop.now, connection_id, line)

        def begin_turn() -> None:
            if stream.peer_has_finished():
                self.server.client_leaving(self.loop.now, connection_id)

        splitter = jsonl.Splitter()
        while data := (yield from stream.read(self._client_read_size())):
            size, lines = len(data), splitter.feed(data)
            del data  # a task that waits for more must not keep what it has handled
            self.unhandled_bytes += size
            try:
                yield from tcp.handle_in_turns(lines, handle, is_open, begin_turn)
            finally:
                self.unhandled_bytes -= size
                del lines
            if not is_open():
                return
            if splitter.error:
                self.server.client_unreadable(self.loop.now, connection_id, splitter.error)
                return
        stream.close("closed by the client")

    def _client_read_size(self) -> int:
        """A large read shows early that a client has left; many at once would take much memory."""
        return tcp.READ_SIZE_BYTES if self.unhandled_bytes < MAX_UNHANDLED_BYTES else SMALL_READ_BYTES

    def _client_closed(self, connection_id: int) -> None:
        self.streams.pop(connection_id, None)
        self.client_ids.discard(connection_id)
        self.server.client_disconnected(self.loop.now, connection_id)

    # -- offices

    def dial(self, connection_id: int, address: Address) -> None:
        """Opens a connection to an office; the result goes to office_connected or office_dial_failed."""
        self.dialling.add(connection_id)
        self.loop.spawn(self._dial_office(connection_id, address))

    def _dial_office(self, connection_id: int, address: Address) -> Task:
        timeout = self.config.settings.limits.dial_timeout or DIAL_TIMEOUT_MS
        yield "sleep", 0.0  # the server is still handling the event that asked for it
        try:
            sock = yield from tcp.connect(self.loop, address, timeout)
        except OSError as error:
            refused = error.errno == errno.ECONNREFUSED
            self.dialling.discard(connection_id)
            self.server.office_dial_failed(self.loop.now, connection_id, refused)
            return
        if connection_id not in self.dialling:
            sock.close()
            return
        self.dialling.discard(connection_id)
        stream = self.streams[connection_id] = tcp.Stream(self.loop, sock, MAX_UNSENT_BYTES)
        stream.on_close = lambda reason: self._office_closed(connection_id, reason)
        self.server.office_connected(self.loop.now, connection_id)
        yield from self._read_office(connection_id, stream)

    def _read_office(self, connection_id: int, stream: tcp.Stream) -> Generator[WaitRequest, None, None]:
        def is_open() -> bool:
            return connection_id in self.streams

        def handle(line: bytes) -> None:
            self.server.office_line(self.loop.now, connection_id, line)

        splitter = jsonl.Splitter()
        while data := (yield from stream.read()):
            lines = splitter.feed(data)
            del data  # a task that waits for more must not keep what it has handled
            yield from tcp.handle_in_turns(lines, handle, is_open)
            del lines
            if splitter.error:
                stream.close(splitter.error)
                return
        stream.close("closed by the office")

    def _office_closed(self, connection_id: int, reason: str) -> None:
        self.streams.pop(connection_id, None)
        self.server.office_disconnected(self.loop.now, connection_id, reason)

    # -- Transport

    def send(self, connection_id: int, data: bytes) -> None:
        """Queues octets on a connection; dropped if it is closed."""
        stream = self.streams.get(connection_id)
        if stream is not None:
            stream.write(data)

    def unsent_bytes(self, connection_id: int) -> int:
        """Octets queued on a connection that its socket has not accepted yet."""
        stream = self.streams.get(connection_id)
        return stream.unsent_bytes if stream is not None else 0

    def finish(self, connection_id: int) -> None:
        """Ends the sending direction of a connection; what the peer sends is read until it closes."""
        stream = self.streams.get(connection_id)
        if stream is not None:
            stream.finish()

    def close(self, connection_id: int, reason: str) -> None:
        """Closes a connection or abandons its dial; a client's is first read for LINGER_MS."""
        stream = self.streams.get(connection_id)
        if stream is None:
            self.dialling.discard(connection_id)
            return
        stream.flush()
        drain_first = connection_id in self.client_ids and stream.has_written and not stream.closed
        if drain_first and self.lingering_count < MAX_LINGERING:
            # Octets left unread would turn the close into a reset, which may destroy what was just written.
            # An office's connection is closed at once: until then its set-ups count as open.
            self.streams.pop(connection_id, None)
            self.client_ids.discard(connection_id)
            stream.on_close = None
            self.loop.interrupt(stream.fd)
            self.loop.spawn(self._close_after_drain(stream, reason))
        else:
            stream.close(reason)

    def _close_after_drain(self, stream: tcp.Stream, reason: str) -> Task:
        self.lingering_count += 1
        timer = self.loop.timers.schedule(self.loop.now + LINGER_MS, lambda now: stream.close(reason))
        drained = 0
        try:
            stream.finish()
            while drained < MAX_DRAINED_BYTES and (data := (yield from stream.read())):
                drained += len(data)
            stream.close(reason)
        finally:  # also if the timer closed the stream: the loop then drops this task
            timer.cancel()
            self.lingering_count -= 1

    def send_datagram(self, destination: Address, body: bytes) -> None:
        """Sends a datagram to a peer, if datagrams are configured."""
        if self.peer_socket is not None:
            with contextlib.suppress(OSError):  # any datagram may be lost
                self.peer_socket.sendto(body, destination)

    # -- peers and the journal service

    def _receive_datagrams(self, sock: socket.socket) -> Task:
        while True:
            yield READ, sock.fileno()
            for _ in range(MAX_DATAGRAMS_PER_TURN):
                try:
                    body, source = sock.recvfrom(512)
                except OSError:
                    break
                self.server.datagram_received(self.loop.now, source, body)

    def _follow_journal(self) -> Task:
        """Keeps a connection to the journal service; reconnects without a delay if its address changed."""
        while True:
            moves_before = self.journal_moves
            try:
                sock = yield from tcp.connect(self.loop, self.config.journal, DIAL_TIMEOUT_MS)
                stream = self.journal_stream = tcp.Stream(self.loop, sock)
                self.journal_feed.connected(self.loop.now)
                yield from self._read_journal(stream)
            except OSError as error:
                self._log_event("journal service not reached", error=str(error))
            self.journal_stream = None
            if moves_before == self.journal_moves:
                yield "sleep", self.journal_feed.next_retry_delay()

    def _read_journal(self, stream: tcp.Stream) -> Generator[WaitRequest, None, None]:
        """Asks for the events after the last one applied and applies them until the connection ends."""
        splitter = frames.Splitter()
        stream.write(frames.REQUEST_FORMAT.pack(self.server.office_list.last_number))
        while data := (yield from stream.read()):
            try:
                for frame in splitter.feed(data):
                    self._apply_list_event(frame)
                    self.journal_feed.frame_received(self.loop.now)
            except FrameError as error:
                splitter.error = str(error)
            if splitter.error:
                self._log_event("journal service unreadable", reason=splitter.error)
                break
        stream.close("reconnecting")

    def _apply_list_event(self, frame: frames.Frame) -> None:
        """Applies an event; FrameError if it is invalid. A defect is reported and ends nothing."""
        try:
            self.server.apply_list_event(self.loop.now, frame)
        except FrameError:
            raise
        except Exception as caught:
            self.loop.report_error("journal service", caught)

    def _watch_journal(self) -> Task:
        """Ends a connection to the journal service that has gone silent."""
        while True:
            yield "sleep", SILENCE_CHECK_INTERVAL_MS
            if self.journal_stream is not None and self.journal_feed.is_silent(self.loop.now):
                self._log_event("journal service silent")
                self._restart_journal(self.journal_stream)

    def _restart_journal(self, stream: tcp.Stream) -> None:
        """Wakes the task that waits for octets that may never come: it sees the end and reconnects."""
        with contextlib.suppress(OSError):
            stream.sock.shutdown(socket.SHUT_RDWR)

    def reload(self, config: PlatformConfig) -> None:
        """Applies a new address of the journal service, which continues the numbering of events."""
        if config.journal != self.config.journal:
            self.config = config
            self.journal_moves += 1
            if self.journal_stream is not None:
                self._restart_journal(self.journal_stream)

    def _log_event(self, event: str, **fields: object) -> None:
        if self.log is not None:
            self.log(event, **fields)
