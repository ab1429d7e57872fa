"""A bare echo on the same loop and streams: what the bytes alone cost. Its argument is the port file."""

from __future__ import annotations

import signal
import socket
import sys
from pathlib import Path

from ospreybridge.net import tcp
from ospreybridge.net.loop import EventLoop, Task


def serve(port_file: Path) -> None:
    loop = EventLoop()

    def stop() -> None:
        loop.running = False

    def echo(sock: socket.socket) -> Task:
        stream = tcp.Stream(loop, sock)
        while data := (yield from stream.read()):
            stream.write(data)
        stream.close("end")

    listener = tcp.listen(("127.0.0.1", 0))
    loop.on_signals({signal.SIGTERM: stop})

    def accepted(sock: socket.socket) -> None:
        loop.spawn(echo(sock))

    loop.spawn(tcp.accept_connections(loop, listener, accepted))
    port_file.write_text(f"{listener.getsockname()[1]}\n")
    loop.run()


if __name__ == "__main__":
    serve(Path(sys.argv[1]))
