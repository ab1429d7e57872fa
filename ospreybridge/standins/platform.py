"""What surrounds the call server on the users' platform, as small stand-ins on its own loop.

A journal service that tells a list, an office that answers what it is told to, a client of callers. They know
the protocol by its codecs alone; faults are switched on by attributes.
"""

from __future__ import annotations

import socket
from collections import deque

from ospreybridge.net import tcp
from ospreybridge.net.loop import EventLoop, Task
from ospreybridge.signalling import causes, frames, jsonl
from ospreybridge.signalling.jsonl import Message


class Place:
    """One listening address on a port of the kernel's choice, and the connections that came to it."""

    def __init__(self, loop: EventLoop) -> None:
        self.loop = loop
        self.sock = tcp.listen(("127.0.0.1", 0))
        self.port = int(self.sock.getsockname()[1])
        self.streams: list[tcp.Stream] = []
        loop.spawn(tcp.accept_connections(loop, self.sock, self._accepted))

    def _accepted(self, sock: socket.socket) -> None:
        stream = tcp.Stream(self.loop, sock)
        self.streams.append(stream)
        self.loop.spawn(self._reading(stream))

    def _reading(self, stream: tcp.Stream) -> Task:
        while data := (yield from stream.read()):
            self.heard(stream, data)
        self.streams = [one for one in self.streams if one is not stream]
        stream.close("the far end closed")

    def heard(self, stream: tcp.Stream, data: bytes) -> None:
        raise NotImplementedError


class JournalService(Place):
    """Tells all events after the number that it is asked for; an empty frame each quarter of a second."""

    def __init__(self, loop: EventLoop, events: list[frames.Frame]) -> None:
        self.events, self.asked, self.mute = events, list[int](), False
        super().__init__(loop)
        loop.spawn(self._beating())

    def heard(self, stream: tcp.Stream, data: bytes) -> None:
        (after,) = frames.REQUEST.unpack(data)
        self.asked.append(after)
        stream.write(b"".join(frames.encode(event) for event in self.events if event.number > after))

    def tell(self, event: frames.Frame) -> None:
        self.events.append(event)
        for stream in self.streams:
            stream.write(frames.encode(event))

    def _beating(self) -> Task:
        while not self.sock._closed:  # type: ignore[attr-defined]
            for stream in self.streams if not self.mute else ():
                stream.write(frames.encode(frames.Frame(self.events[-1].number, frames.NO_CHANGES)))
            yield "sleep", 250.0


class OfficeStandIn(Place):
    """Answers each set-up with a description of its own; `spoil` goes out in place of the next answer."""

    def __init__(self, loop: EventLoop, group: int = 20) -> None:
        self.group, self.spoil, self.mute = group, b"", False
        self.splitters: dict[int, jsonl.Splitter] = {}
        self.stands: dict[str, tcp.Stream] = {}
        self.asked: list[str] = []
        super().__init__(loop)

    def heard(self, stream: tcp.Stream, data: bytes) -> None:
        for line in self.splitters.setdefault(id(stream), jsonl.Splitter()).feed(data):
            message = jsonl.decode(line)
            if message.kind == jsonl.LAUNCH:
                self.asked.append(message.uid)
                self._launch(stream, message)
            elif message.kind == jsonl.STOP:
                self.stands.pop(message.uid, None)

    def _launch(self, stream: tcp.Stream, message: Message) -> None:
        if self.spoil:
            stream.write(self.spoil)
            self.spoil = b""
        elif not self.mute:
            self.stands[message.uid] = stream
            load = f"free:{self.group - len(self.stands)};size:{self.group}"
            stream.write(
                jsonl.encode(Message(jsonl.RUNNING, message.uid, {"load": load}, body=f"of {message.uid}"))
            )

    def release(self, uid: str) -> None:
        self.stands.pop(uid).write(jsonl.encode(Message(jsonl.STOP, uid, {}, causes.NORMAL_CLEARING)))


class CallerStandIn:
    """One connection of callers: what it was answered, by call."""

    def __init__(self, loop: EventLoop, port: int) -> None:
        sock = socket.create_connection(("127.0.0.1", port), timeout=5.0)
        self.stream = tcp.Stream(loop, sock)
        self.answers: dict[str, deque[Message]] = {}
        self.gone = False
        loop.spawn(self._reading())

    def _reading(self) -> Task:
        splitter = jsonl.Splitter()
        while data := (yield from self.stream.read()):
            for line in splitter.feed(data):
                message = jsonl.decode(line)
                self.answers.setdefault(message.uid, deque()).append(message)
        self.stream.close("the far end closed")
        self.gone = True

    def launch(self, uid: str, dest: int, left: int = 1_500) -> None:
        meta: dict[str, jsonl.Value] = {
            "class": "voice",
            "left": str(left),
            "tenant": "acme",
            "key": uid,
            "extras": f"dest:{dest};width:1;via:-1",
        }
        self.stream.write(jsonl.encode(Message(jsonl.LAUNCH, uid, meta, body="an offer")))

    def kinds(self, uid: str) -> list[str]:
        return [message.kind for message in self.answers.get(uid, ())]
