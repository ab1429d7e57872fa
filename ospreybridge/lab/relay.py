"""Relays the connections between processes of a scripted day: delays and records frames, injects faults.

Runs as a process of its own: commands arrive on standard input as JSON, one per line, and the ports on which
it listens are written to standard output.
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
from ospreybridge.lab.tap import BUSY_PAYLOAD, FRAME, INJECTED, LINK_DOWN, LINK_UP, RELAY_BUSY, Tap
from ospreybridge.net import tcp, tls
from ospreybridge.net.loop import READ, EventLoop, Task
from ospreybridge.signalling import isup, m3ua, sccp
from ospreybridge.signalling.errors import FrameError, MessageError
from ospreybridge.signalling.isup import IsupMessage

STREAM_BUFFER_BYTES = 1 << 24
# Domain of the names in the fleet's certificates, and the base name of the files of the shared certificate.
DOMAIN, SHARED_CREDENTIALS = "example.test", "everybody"
HANDSHAKE_SLOTS = 4_096  # handshakes at once; enough that the relay never refuses one
BUSY_TURN_MS = 10.0  # longer loop turns are recorded: frames that arrive during them get late timestamps
# Withheld of the first frame on a stalled link; the shortest frame has 8 octets, so that one is cut in two.
CUT_OCTETS = 4
# Offsets in a DATA frame with a routing context: service indicator, CIC (two octets), ISUP message type.
SERVICE_INDICATOR_OFFSET, CIC_OFFSET, MESSAGE_TYPE_OFFSET = 28, 32, 34


def _frame_cic(frame: bytes) -> int:
    return frame[CIC_OFFSET] | (frame[CIC_OFFSET + 1] & 15) << 8


def load_shared_credentials(folder: Path) -> credentials.Credentials:
    """The certificate that relays and stand-ins share; it contains the names of all parties."""
    paths = credentials.CredentialPaths(
        folder / f"{SHARED_CREDENTIALS}.crt", folder / f"{SHARED_CREDENTIALS}.key", folder / "ca.crt"
    )
    return credentials.load(paths, time.time())


class RelayedConnection:
    """One connection through the relay: `client` to the dialling side, `server` to the call server."""

    def __init__(self, relay: Relay, link: Link, client: tcp.Stream, server: tcp.Stream) -> None:
        self.relay, self.link, self.client, self.server = relay, link, client, server
        self.held: list[tuple[tcp.Stream, bytes]] = []  # data withheld while the link is stalled
        client.on_close = server.on_close = self._on_close
        link.connection = self
        relay.tap.write(relay.loop.clock() * 1_000.0, LINK_UP, link.source, link.target)
        relay.loop.spawn(self._forward(client, server, link.source, link.target))
        relay.loop.spawn(self._forward(server, client, link.target, link.source))

    def _on_close(self, reason: str) -> None:
        if self.link.connection is self:
            self.link.connection = None
            self.relay.tap.write(
                self.relay.loop.clock() * 1_000.0, LINK_DOWN, self.link.source, self.link.target
            )
        self.client.close(reason)
        self.server.close(reason)

    def _forward(self, stream: tcp.Stream, to: tcp.Stream, source: int, target: int) -> Task:
        relay = self.relay
        splitter = m3ua.Splitter()
        while True:
            data = yield from stream.read()
            if not data:
                stream.close("end of stream")
                return
            try:
                frames = splitter.feed(data)
            except FrameError:
                to.write(data)  # the receiver handles data that is not M3UA
                continue
            # The time of reading, not that of the loop turn: in the merged records of all relays a message
            # must come before its effects.
            at = relay.loop.clock() * 1_000.0
            forwarded = [frame for frame in frames if not self._is_dropped(frame, source, target)]
            for frame in forwarded:
                relay.tap.write(at, FRAME, source, target, frame)
            if forwarded:
                self._deliver(to, b"".join(forwarded))

    def _deliver(self, to: tcp.Stream, data: bytes) -> None:
        if not self.link.stalled:
            self._send(to, data)
            return
        if not any(stream is to for stream, _ in self.held):
            self._send(to, data[:-CUT_OCTETS])
            data = data[-CUT_OCTETS:]
        self.held.append((to, data))

    def _send(self, to: tcp.Stream, data: bytes) -> None:
        if self.link.delay > 0:
            loop = self.relay.loop
            loop.timers.schedule(loop.now + self.link.delay, lambda now: to.write(data))
        else:
            to.write(data)

    def release_held(self) -> None:
        held, self.held = self.held, []
        for to, data in held:
            self._deliver(to, data)

    def _is_dropped(self, frame: bytes, source: int, target: int) -> bool:
        """Whether to discard a frame: a lost peer message, or the answer to an injected message."""
        if frame[2:4] != b"\1\1":
            return False
        relay = self.relay
        if (
            relay.peer_message_loss
            and frame[SERVICE_INDICATOR_OFFSET] == m3ua.SI_SCCP
            and relay.random.random() < relay.peer_message_loss
        ):
            try:
                data = m3ua.decode(frame)
                return isinstance(data, m3ua.Data) and sccp.decode(data.body)[0] == sccp.PEER_SUBSYSTEM
            except MessageError:
                return False
        if (
            self.link.lost_circuits
            and len(frame) > MESSAGE_TYPE_OFFSET
            and frame[MESSAGE_TYPE_OFFSET] == isup.IAM
        ):
            # The set-up crossed the loss of its circuit and is lost too; its sender receives RSC.
            return _frame_cic(frame) in self.link.lost_circuits
        if self.link.expected_answers and len(frame) > MESSAGE_TYPE_OFFSET:
            key = (target, _frame_cic(frame), frame[MESSAGE_TYPE_OFFSET])
            if key in self.link.expected_answers:
                self.link.expected_answers.discard(key)
                return True
        return False

    def inject(self, source: int, target: int, message: IsupMessage, answer_type: int) -> None:
        """Sends a message as if it came from `source`; the answer is discarded, not forwarded."""
        data = m3ua.Data(
            source, target, m3ua.SI_ISUP, 2, 0, message.cic & 15, isup.encode(message), self.link.context
        )
        frame = m3ua.encode_data(data)
        self.link.expected_answers.add((source, message.cic, answer_type))
        self.relay.tap.write(self.relay.loop.clock() * 1_000.0, INJECTED, source, target, frame)
        self._deliver(self.server if target == self.link.target else self.client, frame)


class Link:
    """A listening port for connections from `source` to `target`, its delay in ms and injected faults."""

    def __init__(self, relay: Relay, source: int, target: int, delay: float, context: int) -> None:
        self.relay, self.source, self.target = relay, source, target
        self.delay, self.context = delay, context
        self.cut = self.stalled = False
        self.connection: RelayedConnection | None = None
        self.lost_circuits: set[int] = set()
        self.expected_answers: set[tuple[int, int, int]] = set()  # point code, CIC, message type
        self.socket = tcp.listen(("127.0.0.1", 0))
        relay.loop.spawn(tcp.accept_connections(relay.loop, self.socket, self._on_accept))

    @property
    def port(self) -> int:
        """The port on which the link listens."""
        return int(self.socket.getsockname()[1])

    def _on_accept(self, sock: socket.socket) -> None:
        if self.cut or self.target not in self.relay.ports:
            sock.close()
        else:
            self.relay.loop.spawn(self._connect(sock))

    def _connect(self, sock: socket.socket) -> Task:
        loop, contexts, scheduler = self.relay.loop, self.relay.tls_contexts, self.relay.handshakes
        client: tcp.Stream | None = None
        try:
            if contexts is not None:
                secured = yield from tls.handshake(
                    loop, sock, contexts.wrap_server, scheduler, tls.STANDIN_HANDSHAKE_TIMEOUT_MS
                )
                client = tls.TlsStream(loop, secured, STREAM_BUFFER_BYTES)
            else:
                client = tcp.Stream(loop, sock, STREAM_BUFFER_BYTES)
            server_socket = yield from tcp.connect(
                loop, ("127.0.0.1", self.relay.ports[self.target]), 2_000.0
            )
            if contexts is not None:
                server: tcp.Stream = yield from contexts.connect(
                    loop, server_socket, scheduler, f"cs{self.target}.{DOMAIN}"
                )
            else:
                server = tcp.Stream(loop, server_socket, STREAM_BUFFER_BYTES)
        except (OSError, tls.HandshakeError):
            if client is not None:
                client.close("the call server could not be reached")
            return
        RelayedConnection(self.relay, self, client, server)


class Relay:
    """The links of one relay process, and the commands that change them."""

    def __init__(self, tap_file: Path, seed: int) -> None:
        self.loop = EventLoop()
        self.tap = Tap(tap_file)
        self.random = random.Random(seed)
        self.links: dict[tuple[int, int], Link] = {}
        self.ports: dict[int, int] = {}  # by point code of the call server; port on which it listens
        self.peer_message_loss = 0.0
        self.tls_contexts: tls.TlsContexts | None = None  # if set, both sides of each connection use TLS
        self.handshakes = HandshakeScheduler(HANDSHAKE_SLOTS, seed, cpu_share=1.0)

    def execute(self, command: dict[str, Any]) -> None:
        """Executes one command: links, port, lose, stop, cut, heal, stall, block or unblock."""
        match command["do"]:
            case "links":
                if command["keys"]:
                    self.tls_contexts = tls.TlsContexts(load_shared_credentials(Path(command["keys"])))
                for source, target, delay, context in command["links"]:
                    self.links[source, target] = Link(self, source, target, delay, context)
                ports = [[source, target, link.port] for (source, target), link in self.links.items()]
                print(json.dumps(ports), flush=True)
            case "port":
                self.ports[command["of"]] = command["port"]
            case "lose":
                self.peer_message_loss = command["share"]
            case "stop":
                self.loop.running = False
            case action:
                link = self.links.get((command["a"], command["b"])) or self.links.get(
                    (command["b"], command["a"])
                )
                if link is not None:
                    self._execute_on_link(link, action, command)

    def _execute_on_link(self, link: Link, action: str, command: dict[str, Any]) -> None:
        connection = link.connection
        if action == "cut":
            link.cut = True
            if connection is not None:
                connection.client.close("cut")
        elif action == "heal":
            link.cut = link.stalled = False
            if connection is not None:
                connection.release_held()
        elif action == "stall":
            link.stalled = True
        elif action in ("block", "unblock") and connection is not None:
            link.lost_circuits = set(command["cics"]) if action == "block" else set()
            # Each end receives a reset and a blocking of the lost circuits, as if sent by the other end.
            first, last = min(command["cics"]), max(command["cics"])
            lost = [cic in command["cics"] for cic in range(first, last + 1)]
            parameters = {
                isup.GROUP_SUPERVISION: isup.MAINTENANCE_ORIENTED,
                isup.RANGE_STATUS: isup.encode_range_status(len(lost), lost),
            }
            message_type, answer_type = (isup.CGB, isup.CGBA) if action == "block" else (isup.CGU, isup.CGUA)
            for source, target in ((link.source, link.target), (link.target, link.source)):
                for cic in command["cics"] if action == "block" else ():
                    connection.inject(source, target, IsupMessage(cic, isup.RSC), isup.RLC)
                connection.inject(source, target, IsupMessage(first, message_type, parameters), answer_type)

    def _read_commands(self) -> Task:
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
                self.execute(json.loads(line))

    def run(self) -> None:
        """Relays until the `stop` command or the end of standard input, then closes the tap."""
        self.loop.spawn(self._read_commands())
        with contextlib.suppress(KeyboardInterrupt):
            while self.loop.running:
                self.loop.run_once()
                turn_started, turn_ended = self.loop.now, self.loop.clock() * 1_000.0
                if turn_ended - turn_started > BUSY_TURN_MS:
                    self.tap.write(turn_ended, RELAY_BUSY, 0, 0, BUSY_PAYLOAD.pack(turn_started))
        self.tap.close()


if __name__ == "__main__":
    Relay(Path(sys.argv[1]), int(sys.argv[2])).run()
