"""TCP on the event loop: streams with a bounded send buffer, outgoing connections and listeners."""

from __future__ import annotations

import contextlib
import errno
import os
import select
import socket
from collections.abc import Callable, Generator

from ospreybridge.net.loop import NEXT_TURN, READ, WRITE, EventLoop, Task, TimedOut, WaitRequest

READ_SIZE_BYTES = 65_536
MAX_MESSAGES_PER_TURN = 16  # of one connection; then other connections are served
MAX_ACCEPTS_PER_TURN = 4  # a flood of new connections must not delay established links


def handle_in_turns(
    messages: list[bytes],
    handle: Callable[[bytes], None],
    is_open: Callable[[], bool],
    begin_turn: Callable[[], None] | None = None,
) -> Generator[WaitRequest, None, None]:
    """Handles messages of one connection, some in each iteration of the loop, as long as it `is_open`.

    `begin_turn` is called before the first message of each turn.
    """
    for index, message in enumerate(messages):
        if index and index % MAX_MESSAGES_PER_TURN == 0:
            yield NEXT_TURN, 0.0
        if not is_open():
            return
        if begin_turn is not None and index % MAX_MESSAGES_PER_TURN == 0:
            begin_turn()
        handle(message)


class Stream:
    """One connection. Writes are sent together, once in each iteration of the loop.

    More than `max_unsent_bytes` waiting to be sent close the connection.
    """

    def __init__(self, loop: EventLoop, sock: socket.socket, max_unsent_bytes: int = 1 << 20) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.loop, self.sock, self.fd, self.max_unsent_bytes = loop, sock, sock.fileno(), max_unsent_bytes
        self.unsent: list[bytes] = []
        self.unsent_bytes = 0
        self.flush_scheduled = self.blocked = self.finished = self.closed = False
        self.has_written = False  # whether anything was ever written
        self.on_close: Callable[[str], None] | None = None

    def read(self, max_bytes: int = READ_SIZE_BYTES) -> Generator[WaitRequest, None, bytes]:
        """Waits for data and returns it, `max_bytes` at most.

        Returns nothing at the end of the stream or once it is closed.
        """
        while not self.closed:
            yield READ, self.fd
            if self.closed:
                break
            try:
                return self.sock.recv(max_bytes)
            except BlockingIOError:
                continue
            except OSError:
                return b""
        return b""

    def peer_has_finished(self) -> bool:
        """Whether the peer sends nothing more on the connection; what it sent before may be unread."""
        if self.closed:
            return True
        poll = select.poll()
        poll.register(self.fd, select.POLLRDHUP)
        return any(mask & (select.POLLRDHUP | select.POLLHUP | select.POLLERR) for _, mask in poll.poll(0))

    def write(self, data: bytes) -> None:
        """Queues data for the next flush; ignored once the stream is finished or closed."""
        if self.closed or self.finished:
            return
        self.has_written = True
        self.unsent.append(data)
        self.unsent_bytes += len(data)
        if self.unsent_bytes > self.max_unsent_bytes and not self.blocked:
            self.flush()  # much written at once says nothing about the peer: only a full socket does
        if self.unsent_bytes > self.max_unsent_bytes:
            # A peer that does not read must not use up the memory that the calls of other peers need.
            self.close("the peer does not read")
        elif not self.flush_scheduled and not self.blocked:
            self.flush_scheduled = True
            self.loop.pending_flushes.append(self)

    def flush(self) -> None:
        """Sends what is queued, as far as the socket accepts it; the rest follows when it is writable."""
        self.flush_scheduled = False
        if self.closed or not self.unsent:
            return
        data = self.unsent[0] if len(self.unsent) == 1 else b"".join(self.unsent)
        try:
            sent = self._send(data)
        except OSError as error:
            self.close(f"write failed: {errno.errorcode.get(error.errno or 0, '?')}")
            return
        rest = data[sent:]
        self.unsent, self.unsent_bytes = ([rest] if rest else []), len(rest)
        if rest:
            self.blocked = True
            self.loop.when_writable(self.fd, self._on_writable)

    def _send(self, data: bytes) -> int:
        """Returns the number of bytes accepted by the socket; 0 if it would block."""
        try:
            return self.sock.send(data)
        except BlockingIOError:
            return 0

    def _on_writable(self) -> None:
        self.blocked = False
        self.flush()

    def finish(self) -> None:
        """Sends what is queued and ends the sending direction; the peer's data can still be read.

        The direction stays open if the socket doesn't accept all that is queued.
        """
        self.flush()
        self.finished = True
        if not self.closed and not self.unsent:
            with contextlib.suppress(OSError):  # the peer may be gone already
                self.sock.shutdown(socket.SHUT_WR)

    def close(self, reason: str) -> None:
        """Closes the connection, discards unsent data and reports the reason to `on_close`."""
        if self.closed:
            return
        self.closed = True
        self.loop.unregister(self.fd)
        self.sock.close()
        self.unsent, self.unsent_bytes = [], 0
        if self.on_close is not None:
            self.on_close(reason)


def connect(
    loop: EventLoop, address: tuple[str, int], timeout_ms: float
) -> Generator[WaitRequest, None, socket.socket]:
    """Opens a connection and returns its socket; raises OSError if it fails or takes too long."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setblocking(False)
    code = sock.connect_ex(address)
    if code not in (0, errno.EINPROGRESS):
        sock.close()
        raise OSError(code, os.strerror(code))
    fd = sock.fileno()
    timeout = loop.timers.schedule(loop.now + timeout_ms, lambda now: loop.interrupt(fd))
    try:
        yield WRITE, fd
    except TimedOut:
        loop.unregister(fd)
        sock.close()
        raise TimeoutError("connect timed out") from None
    timeout.cancel()
    loop.unregister(fd)
    code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        sock.close()
        raise OSError(code, os.strerror(code))
    return sock


def listen(address: tuple[str, int]) -> socket.socket:
    """Returns a non-blocking listening socket; port 0 picks a free port."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(256)
    sock.setblocking(False)
    return sock


def accept_connections(
    loop: EventLoop, sock: socket.socket, on_accept: Callable[[socket.socket], None]
) -> Task:
    """Passes each accepted connection to `on_accept`."""
    while True:
        yield READ, sock.fileno()
        for _ in range(MAX_ACCEPTS_PER_TURN):
            try:
                on_accept(sock.accept()[0])
            except BlockingIOError:
                break
            except OSError:  # no descriptors left, or the client is gone already: try the next one later
                yield "sleep", 50.0
                break
