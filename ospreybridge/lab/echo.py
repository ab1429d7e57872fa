"""Echo server on the event loop and streams of a call server: the baseline for the cost of a call.

Run as a process with the port file as its argument.
"""

from __future__ import annotations

import signal
import socket
import sys
from pathlib import Path

from ospreybridge.net import tcp
from ospreybridge.net.loop import EventLoop, Task


def serve(port_file: Path) -> None:
    """Echoes what it receives until SIGTERM; writes the port listened on to `port_file`."""
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

    def on_accept(sock: socket.socket) -> None:
        loop.spawn(echo(sock))

    loop.spawn(tcp.accept_connections(loop, listener, on_accept))
    port_file.write_text(f"{listener.getsockname()[1]}\n")
    loop.run()


if __name__ == "__main__":
    serve(Path(sys.argv[1]))
