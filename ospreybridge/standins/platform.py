"""Simulated parties of the platform: journal service, office and caller, on the call server's own loop.

They share only the event loop, the TCP streams and the protocol codecs with the call server. Faults are
switched on by attributes.
"""

from __future__ import annotations

import socket
from collections import deque

from ospreybridge.net import tcp
from ospreybridge.net.loop import EventLoop, Task
from ospreybridge.signalling import causes, frames, jsonl
from ospreybridge.signalling.jsonl import Message


class ListeningStandIn:
    """Base class: a listener on a port chosen by the kernel, and its open connections."""

    def __init__(self, loop: EventLoop) -> None:
        self.loop = loop
        self.listener = tcp.listen(("127.0.0.1", 0))
        self.port = int(self.listener.getsockname()[1])
        self.streams: list[tcp.Stream] = []
        loop.spawn(tcp.accept_connections(loop, self.listener, self._on_accept))

    def _on_accept(self, sock: socket.socket) -> None:
        stream = tcp.Stream(self.loop, sock)
        self.streams.append(stream)
        self.loop.spawn(self._read(stream))

    def _read(self, stream: tcp.Stream) -> Task:
        while data := (yield from stream.read()):
            self.on_data(stream, data)
        self.streams = [other for other in self.streams if other is not stream]
        stream.close("the far end closed")

    def on_data(self, stream: tcp.Stream, data: bytes) -> None:
        """Called with each block of data read from a connection."""
        raise NotImplementedError


class JournalService(ListeningStandIn):
    """Sends the events after the number in each request, then new ones as they are published.

    An empty frame goes out every 250 ms, unless the service is set to be silent.
    """

    def __init__(self, loop: EventLoop, events: list[frames.Frame]) -> None:
        self.events, self.requested_after, self.silent = events, list[int](), False
        super().__init__(loop)
        loop.spawn(self._send_heartbeats())

    def on_data(self, stream: tcp.Stream, data: bytes) -> None:
        (after,) = frames.REQUEST_FORMAT.unpack(data)
        self.requested_after.append(after)
        stream.write(b"".join(frames.encode(event) for event in self.events if event.number > after))

    def publish(self, event: frames.Frame) -> None:
        """Appends an event and sends it on all connections."""
        self.events.append(event)
        for stream in self.streams:
            stream.write(frames.encode(event))

    def _send_heartbeats(self) -> Task:
        while not self.listener._closed:  # type: ignore[attr-defined]
            for stream in self.streams if not self.silent else ():
                stream.write(frames.encode(frames.Frame(self.events[-1].number, frames.NO_CHANGES)))
            yield "sleep", 250.0


class OfficeStandIn(ListeningStandIn):
    """Answers each set-up with its load and a body of its own, unless it is set to be silent.

    Malformed data can be set that goes out instead of the next answer.
    """

    def __init__(self, loop: EventLoop, size: int = 20) -> None:
        self.size, self.malformed_answer, self.silent = size, b"", False
        self.splitters: dict[int, jsonl.Splitter] = {}
        self.established: dict[str, tcp.Stream] = {}
        self.launched: list[str] = []
        super().__init__(loop)

    def on_data(self, stream: tcp.Stream, data: bytes) -> None:
        for line in self.splitters.setdefault(id(stream), jsonl.Splitter()).feed(data):
            message = jsonl.decode(line)
            if message.kind == jsonl.LAUNCH:
                self.launched.append(message.uid)
                self._launch(stream, message)
            elif message.kind == jsonl.STOP:
                self.established.pop(message.uid, None)

    def _launch(self, stream: tcp.Stream, message: Message) -> None:
        if self.malformed_answer:
            stream.write(self.malformed_answer)
            self.malformed_answer = b""
        elif not self.silent:
            self.established[message.uid] = stream
            load = f"free:{self.size - len(self.established)};size:{self.size}"
            stream.write(
                jsonl.encode(Message(jsonl.RUNNING, message.uid, {"load": load}, body=f"of {message.uid}"))
            )

    def release(self, uid: str) -> None:
        """Ends an established call from the office's side."""
        self.established.pop(uid).write(jsonl.encode(Message(jsonl.STOP, uid, {}, causes.NORMAL_CLEARING)))


class CallerStandIn:
    """One client connection; `answers` holds the messages received, by call."""

    def __init__(self, loop: EventLoop, port: int) -> None:
        sock = socket.create_connection(("127.0.0.1", port), timeout=5.0)
        self.stream = tcp.Stream(loop, sock)
        self.answers: dict[str, deque[Message]] = {}
        self.closed = False
        loop.spawn(self._read())

    def _read(self) -> Task:
        splitter = jsonl.Splitter()
        while data := (yield from self.stream.read()):
            for line in splitter.feed(data):
                message = jsonl.decode(line)
                self.answers.setdefault(message.uid, deque()).append(message)
        self.stream.close("the far end closed")
        self.closed = True

    def launch(self, uid: str, dest: int, remaining_ms: int = 1_500) -> None:
        """Sends a call to exchange `dest`; `remaining_ms` is the time left for its set-up."""
        meta: dict[str, jsonl.Value] = {
            "class": "voice",
            "left": str(remaining_ms),
            "tenant": "acme",
            "key": uid,
            "extras": f"dest:{dest};width:1;via:-1",
        }
        self.stream.write(jsonl.encode(Message(jsonl.LAUNCH, uid, meta, body="an offer")))

    def kinds(self, uid: str) -> list[str]:
        """Returns the kinds of the messages received for a call, in order."""
        return [message.kind for message in self.answers.get(uid, ())]
