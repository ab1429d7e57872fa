"""TCP on the loop: streams with a bounded buffer out, dialling and listening."""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Callable, Generator

from ospreybridge.net.loop import READ, WRITE, EventLoop, Task, TimedOut, WaitRequest

CHUNK = 65_536
MOST_ACCEPTS = 4  # connections taken in a turn: a crowd at the door must not hold up standing links


class Stream:
    """One connection. Writes are gathered and leave once a turn; too many unread ones end it."""

    def __init__(self, loop: EventLoop, sock: socket.socket, limit: int = 1 << 20) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.loop, self.sock, self.fd, self.max_unsent_bytes = loop, sock, sock.fileno(), limit
        self.unsent: list[bytes] = []
        self.size = 0
        self.queued = self.blocked = self.closed = False
        self.has_written = False  # anything at all
        self.on_close: Callable[[str], None] | None = None

    def read(self) -> Generator[WaitRequest, None, bytes]:
        """What has come, at most 64 KiB; empty at the end of the stream or once it is closed."""
        while not self.closed:
            yield READ, self.fd
            if self.closed:
                break
            try:
                return self.sock.recv(CHUNK)
            except BlockingIOError:
                continue
            except OSError:
                return b""
        return b""

    def write(self, data: bytes) -> None:
        if self.closed:
            return
        self.has_written = True
        self.unsent.append(data)
        self.size += len(data)
        if self.size > self.max_unsent_bytes:
            # A peer that never reads must not take the memory that other peers' calls need.
            self.close("the peer does not read")
        elif not self.queued and not self.blocked:
            self.queued = True
            self.loop.flushing.append(self)

    def flush(self) -> None:
        self.queued = False
        if self.closed or not self.unsent:
            return
        data = self.unsent[0] if len(self.unsent) == 1 else b"".join(self.unsent)
        try:
            sent = self._send(data)
        except OSError as error:
            self.close(f"write failed: {errno.errorcode.get(error.errno or 0, '?')}")
            return
        rest = data[sent:]
        self.unsent, self.size = ([rest] if rest else []), len(rest)
        if rest:
            self.blocked = True
            self.loop.when_writable(self.fd, self._writable)

    def _send(self, data: bytes) -> int:
        """How many octets the system has taken; none where it would block."""
        try:
            return self.sock.send(data)
        except BlockingIOError:
            return 0

    def _writable(self) -> None:
        self.blocked = False
        self.flush()

    def close(self, reason: str) -> None:
        if self.closed:
            return
        self.closed = True
        self.loop.unregister(self.fd)
        self.sock.close()
        self.unsent, self.size = [], 0
        if self.on_close is not None:
            self.on_close(reason)


def connect(
    loop: EventLoop, address: tuple[str, int], within: float
) -> Generator[WaitRequest, None, socket.socket]:
    """A connected socket; OSError (TimeoutError included) where none could be had."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setblocking(False)
    code = sock.connect_ex(address)
    if code not in (0, errno.EINPROGRESS):
        sock.close()
        raise OSError(code, os.strerror(code))
    fd = sock.fileno()
    late = loop.timers.schedule(loop.now + within, lambda now: loop.interrupt(fd))
    try:
        yield WRITE, fd
    except TimedOut:
        loop.unregister(fd)
        sock.close()
        raise TimeoutError("no answer to the connect") from None
    late.cancel()
    loop.unregister(fd)
    code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        sock.close()
        raise OSError(code, os.strerror(code))
    return sock


def listen(address: tuple[str, int]) -> socket.socket:
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(256)
    sock.setblocking(False)
    return sock


def accept_connections(
    loop: EventLoop, sock: socket.socket, accepted: Callable[[socket.socket], None]
) -> Task:
    while True:
        yield READ, sock.fileno()
        for _ in range(MOST_ACCEPTS):
            try:
                accepted(sock.accept()[0])
            except BlockingIOError:
                break
            except OSError:  # out of descriptors, or gone before it was taken: the next ones still count
                yield "sleep", 50.0
                break
