"""An exchange with an M3UA front in a process of its own, and the memory of processes."""

from __future__ import annotations

import contextlib
import os
import socket
import ssl
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

from ospreybridge.signalling import m3ua
from tests.fleet import fleet

ANSWER_TIMEOUT_S = 10.0  # far more than any wait here takes


def peak_memory_mb(pid: int) -> float:
    """The most memory that a process has used."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) / 1_024.0


class ServedExchange:
    """A call server with an M3UA front in a process of its own, and how to connect to it."""

    def __init__(self, server: subprocess.Popen[bytes], port: int, context: ssl.SSLContext | None) -> None:
        self.server, self.port, self.context = server, port, context

    def connect(self) -> socket.socket:
        return socket.create_connection(("127.0.0.1", self.port), timeout=ANSWER_TIMEOUT_S)

    def connect_as_peer(self) -> socket.socket:
        """A connection on which frames can be sent."""
        sock = self.connect()
        if self.context is None:
            return sock
        return self.context.wrap_socket(sock, server_hostname="cs2.test")

    def assert_served(self) -> None:
        """A sound peer is answered; a connection may be refused while others hold the places."""
        end = time.monotonic() + ANSWER_TIMEOUT_S
        while time.monotonic() < end:
            with contextlib.suppress(OSError), self.connect_as_peer() as sock:
                sock.sendall(m3ua.encode(m3ua.BEAT, [(m3ua.HEARTBEAT_DATA, b"sound")]))
                if b"sound" in sock.recv(4_096):
                    return
        raise AssertionError("no answer to BEAT")


@contextlib.contextmanager
def served_exchange(folder: Path, over_tls: bool) -> Iterator[ServedExchange]:
    """An exchange of a fleet, served by a process of its own in place of the fleet's."""
    with fleet(folder, tls_options="" if over_tls else None) as f:
        context = f.standin_contexts.client if over_tls else None
    file = folder / "cs2.kdl"
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
    text = file.read_text()
    place = text.rindex("127.0.0.1:0") if over_tls else text.index("127.0.0.1:0")
    file.write_text(text[:place] + f"127.0.0.1:{port}" + text[place + len("127.0.0.1:0") :])
    command = [sys.executable, "-m", "ospreybridge", "serve", str(file)]
    with open(folder / "server.log", "wb") as log:
        server = subprocess.Popen(command, stdout=log, stderr=log, env=dict(os.environ))
    try:
        yield ServedExchange(server, port, context)
    finally:
        server.kill()
        server.wait()
