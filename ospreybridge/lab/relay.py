"""Stands between all processes of a day: passes bytes on late as told, records every frame, and makes faults.

Run as a process: links come as JSON on standard input, one command a line; the ports it listens on go out.
"""

from __future__ import annotations

import contextlib
import json
import os
import random
import socket
import sys
import time
from pathlib import Path
from typing import Any

from ospreybridge.core.handshakes import HandshakeScheduler
from ospreybridge.keys import credentials
from ospreybridge.lab.tap import BUSY, DOWN, FRAME, INJECTED, STAMP, UP, Tap
from ospreybridge.net import tcp, tls
from ospreybridge.net.loop import READ, EventLoop, Task
from ospreybridge.signalling import isup, m3ua, sccp
from ospreybridge.signalling.errors import FrameError, MessageError
from ospreybridge.signalling.isup import IsupMessage

BUFFER = 1 << 24
DOMAIN, SHARED = "example.test", "everybody"  # of the names in a fleet's certificates; the shared set's files
SLOTS = 4_096  # handshakes at once: the relay must refuse nobody
LONG_TURN = 10.0  # ms of one turn that the checker must know of: what came meanwhile was read late
# Octets of a DATA frame with a routing context: service indicator, circuit (two), ISUP message type.
SERVICE, CIRCUIT, TYPE = 28, 32, 34


def _cic(frame: bytes) -> int:
    return frame[CIRCUIT] | (frame[CIRCUIT + 1] & 15) << 8


def shared_set(folder: Path) -> credentials.Credentials:
    paths = credentials.CredentialPaths(folder / f"{SHARED}.crt", folder / f"{SHARED}.key", folder / "ca.crt")
    return credentials.load(paths, time.time())


class Pair:
    """One connection through the relay: the dialling side `near`, the dialled side `far`."""

    def __init__(self, relay: Relay, link: Link, near: tcp.Stream, far: tcp.Stream) -> None:
        self.relay, self.link, self.near, self.far = relay, link, near, far
        self.held: list[tuple[tcp.Stream, bytes]] = []
        near.on_close = far.on_close = self._closed
        link.pair = self
        relay.tap.note(relay.loop.clock() * 1_000.0, UP, link.source, link.target)
        relay.loop.spawn(self._pump(near, far, link.source, link.target))
        relay.loop.spawn(self._pump(far, near, link.target, link.source))

    def _closed(self, reason: str) -> None:
        if self.link.pair is self:
            self.link.pair = None
            self.relay.tap.note(self.relay.loop.clock() * 1_000.0, DOWN, self.link.source, self.link.target)
        self.near.close(reason)
        self.far.close(reason)

    def _pump(self, stream: tcp.Stream, to: tcp.Stream, source: int, target: int) -> Task:
        relay = self.relay
        splitter = m3ua.Splitter()
        while True:
            data = yield from stream.read()
            if not data:
                stream.close("end")
                return
            try:
                frames = splitter.feed(data)
            except FrameError:
                to.write(data)  # what is not M3UA is for the far end to judge
                continue
            # The moment of the reading, not of the turn: across relays no effect may stand before its cause.
            at = relay.loop.clock() * 1_000.0
            passed = [frame for frame in frames if not self._swallowed(frame, source, target)]
            for frame in passed:
                relay.tap.note(at, FRAME, source, target, frame)
            if passed:
                self._pass(to, b"".join(passed))

    def _pass(self, to: tcp.Stream, data: bytes) -> None:
        if self.link.stalled:
            self.held.append((to, data))
        elif self.link.delay > 0:
            loop = self.relay.loop
            loop.timers.schedule(loop.now + self.link.delay, lambda now: to.write(data))
        else:
            to.write(data)

    def unstall(self) -> None:
        held, self.held = self.held, []
        for to, data in held:
            self._pass(to, data)

    def _swallowed(self, frame: bytes, source: int, target: int) -> bool:
        """Peer messages that are lost, and the answers to what the relay itself said for the other side."""
        if frame[2:4] != b"\1\1":
            return False
        relay = self.relay
        if relay.lose and frame[SERVICE] == m3ua.SI_SCCP and relay.random.random() < relay.lose:
            try:
                data = m3ua.decode(frame)
                return isinstance(data, m3ua.Data) and sccp.decode(data.body)[0] == sccp.PEER_SUBSYSTEM
            except MessageError:
                return False
        if self.link.dead and len(frame) > TYPE and frame[TYPE] == isup.IAM:
            # A set-up that crossed the loss of its circuit: it is lost with it, its sender has heard RSC.
            return _cic(frame) in self.link.dead
        if self.link.owed and len(frame) > TYPE:
            key = (target, _cic(frame), frame[TYPE])
            if key in self.link.owed:
                self.link.owed.discard(key)
                return True
        return False

    def say(self, source: int, target: int, message: IsupMessage, answer: int) -> None:
        """Puts a message in as if `source` had sent it; its answer stays here."""
        data = m3ua.Data(
            source, target, m3ua.SI_ISUP, 2, 0, message.cic & 15, isup.encode(message), self.link.context
        )
        frame = m3ua.encode_data(data)
        self.link.owed.add((source, message.cic, answer))
        self.relay.tap.note(self.relay.loop.clock() * 1_000.0, INJECTED, source, target, frame)
        self._pass(self.far if target == self.link.target else self.near, frame)


class Link:
    def __init__(self, relay: Relay, source: int, target: int, delay: float, context: int) -> None:
        self.relay, self.source, self.target = relay, source, target
        self.delay, self.context = delay, context
        self.cut = self.stalled = False
        self.pair: Pair | None = None
        self.dead: set[int] = set()  # circuits that are lost
        self.owed: set[tuple[int, int, int]] = set()
        self.socket = tcp.listen(("127.0.0.1", 0))
        relay.loop.spawn(tcp.accept_connections(relay.loop, self.socket, self._accepted))

    @property
    def port(self) -> int:
        return int(self.socket.getsockname()[1])

    def _accepted(self, sock: socket.socket) -> None:
        if self.cut or self.target not in self.relay.ports:
            sock.close()
        else:
            self.relay.loop.spawn(self._join(sock))

    def _join(self, sock: socket.socket) -> Task:
        loop, contexts, pace = self.relay.loop, self.relay.contexts, self.relay.pace
        near: tcp.Stream | None = None
        try:
            if contexts is not None:
                secured = yield from tls.handshake(
                    loop, sock, contexts.wrap_server, pace, tls.STANDIN_HANDSHAKE_TIMEOUT_MS
                )
                near = tls.TlsStream(loop, secured, BUFFER)
            else:
                near = tcp.Stream(loop, sock, BUFFER)
            raw = yield from tcp.connect(loop, ("127.0.0.1", self.relay.ports[self.target]), 2_000.0)
            if contexts is not None:
                far: tcp.Stream = yield from contexts.connect(loop, raw, pace, f"cs{self.target}.{DOMAIN}")
            else:
                far = tcp.Stream(loop, raw, BUFFER)
        except (OSError, tls.HandshakeError):
            if near is not None:
                near.close("nobody there")
            return
        Pair(self.relay, self, near, far)


class Relay:
    def __init__(self, tap: Path, seed: int) -> None:
        self.loop = EventLoop()
        self.tap = Tap(tap)
        self.random = random.Random(seed)
        self.links: dict[tuple[int, int], Link] = {}
        self.ports: dict[int, int] = {}  # where each dialled side listens, by point code
        self.lose = 0.0
        self.contexts: tls.TlsContexts | None = None  # with keys, both halves of each connection are TLS
        self.pace = HandshakeScheduler(SLOTS, seed, cpu_share=1.0)

    def command(self, order: dict[str, Any]) -> None:
        """One order: link, port, cut, heal, stall, lose, block, unblock."""
        match order["do"]:
            case "links":
                if order["keys"]:
                    self.contexts = tls.TlsContexts(shared_set(Path(order["keys"])))
                for source, target, delay, context in order["links"]:
                    self.links[source, target] = Link(self, source, target, delay, context)
                ports = [[s, t, link.port] for (s, t), link in self.links.items()]
                print(json.dumps(ports), flush=True)
            case "port":
                self.ports[order["of"]] = order["port"]
            case "lose":
                self.lose = order["share"]
            case "stop":
                self.loop.running = False
            case action:
                link = self.links.get((order["a"], order["b"])) or self.links.get((order["b"], order["a"]))
                if link is not None:
                    self._on(link, action, order)

    def _on(self, link: Link, action: str, order: dict[str, Any]) -> None:
        pair = link.pair
        if action == "cut":
            link.cut = True
            if pair is not None:
                pair.near.close("cut")
        elif action == "heal":
            link.cut = link.stalled = False
            if pair is not None:
                pair.unstall()
        elif action == "stall":
            link.stalled = True
        elif action in ("block", "unblock") and pair is not None:
            link.dead = set(order["cics"]) if action == "block" else set()
            # Lost circuits: each end hears that the other has reset and blocked them.
            first, last = min(order["cics"]), max(order["cics"])
            lost = [cic in order["cics"] for cic in range(first, last + 1)]
            given = {
                isup.GROUP_SUPERVISION: isup.MAINTENANCE_ORIENTED,
                isup.RANGE_STATUS: isup.encode_range_status(len(lost), lost),
            }
            kind, answer = (isup.CGB, isup.CGBA) if action == "block" else (isup.CGU, isup.CGUA)
            for source, target in ((link.source, link.target), (link.target, link.source)):
                for cic in order["cics"] if action == "block" else ():
                    pair.say(source, target, IsupMessage(cic, isup.RSC), isup.RLC)
                pair.say(source, target, IsupMessage(first, kind, given), answer)

    def orders(self) -> Task:
        os.set_blocking(0, False)
        rest = b""
        while True:
            yield READ, 0
            data = os.read(0, 1 << 20)
            if not data:
                self.loop.running = False
                return
            *lines, rest = (rest + data).split(b"\n")
            for line in lines:
                self.command(json.loads(line))

    def run(self) -> None:
        self.loop.spawn(self.orders())
        with contextlib.suppress(KeyboardInterrupt):
            while self.loop.running:
                self.loop.run_once()
                begun, ended = self.loop.now, self.loop.clock() * 1_000.0
                if ended - begun > LONG_TURN:
                    self.tap.note(ended, BUSY, 0, 0, STAMP.pack(begun))
        self.tap.close()


if __name__ == "__main__":
    Relay(Path(sys.argv[1]), int(sys.argv[2])).run()
