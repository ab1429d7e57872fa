"""Stand-ins for the cases of this review: journal service, offices, callers. Starts real call servers.

Everything runs on loopback and the real clock. The stand-ins are written from the platform's pages alone
and use nothing of the project's code. Only the standard library is needed.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
RECORD = struct.Struct(">IIHBBBHIQ")
STATES = {"up": 0, "draining": 1, "removed": 2}


class CannotRun(Exception):
    """The case could not run: the rule was not tested."""


class Log:
    """The record of a run: one line an event, with milliseconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file, self.start = path.open("w"), time.monotonic()

    def now(self) -> float:
        return (time.monotonic() - self.start) * 1_000.0

    def __call__(self, who: str, text: str) -> None:
        self.file.write(f"{self.now():9.1f} {who:12} {text}\n")
        self.file.flush()


def settings(**classes: Any) -> dict[str, Any]:
    """The settings of a small deployment: those that the bench gives a call server of voor-catalogue.

    Its aims, deadlines and release time are the platform's, a part of those in the site file.
    """
    first = {
        "Name": "title-lookup",
        "OnTime": 500.0,
        "Deadline": 3_000.0,
        "LateWorth": 0.1,
        "Semantics": "free",
        "Group": "all",
        "Importance": 1.0,
        "Streaming": True,
        "Window": 5_000.0,
        **classes,
    }
    return {
        "Callers": {"MarksRetry": False},
        "Classes": [first],
        "Customers": [
            {"Name": "vanalinna-raamat", "QuotaPerS": 22.0, "Share": 0.65},
            {"Name": "emajoe-antikvariaat", "QuotaPerS": 8.0, "Share": 0.23},
            {"Name": "rannarahva-raamat", "QuotaPerS": 4.0, "Share": 0.12},
        ],
        "Discovery": "automatic",
        "DomainType": "trunks",
        "FamilyInfo": {
            "ClassCells": [],
            "ClassHold": [11_000.0],
            "ClassWidth": [1],
            "Guard": 100.0,
            "Layout": "mesh",
            "RemoteLoad": "off",
            "Repeat": 0.0,
            "RouteAdvice": True,
            "TellsWait": True,
            "ThisNode": 0,
        },
        "Goal": {"Whole": 0.7, "WorstClass": 0.0, "WorstTenant": 0.1, "WorstWindow": 0.2},
        "Kinds": ["small-1c"],
        "Layer": 0,
        "Limits": {
            "Cancel": True,
            "CpuUsPerRequest": 0.0,
            "CpuUsPerS": 1_000_000,
            "DialTimeout": 500.0,
            "Keepalive": 600_000.0,
            "MaxOpen": 20_000,
            "MaxRetryAfter": 2_000.0,
            "MostTries": 4,
            "Multiplex": 1_048_576,
            "ParallelTries": False,
            "PeerMessages": True,
            "Probes": False,
            "RetryAfter": True,
        },
        "Locality": 0,
        "Me": 0,
        "OverShareWorth": 0.2,
        "PeersTotal": 5,
        "Round": 1.0,
        "Rules": {
            "AskWithin": 10_000.0,
            "ColdShare": 0.3,
            "DrainGrace": 250.0,
            "GraceToAnswer": 5.0,
            "OverloadFactor": 2.5,
            "OverloadFor": 1_500.0,
            "WarmAfter": 14_000.0,
        },
        "Stats": {"Columns": ["free", "size"], "How": "on_probe"},
        "Tiers": ["lookup-nodes"],
        "Weights": "off",
        "WorthBy": "request",
        "Zones": ["tallinn", "tartu"],
    }


def line(
    kind: str, uid: str, meta: dict[str, Any], reason: int | None = None, body: str | None = None
) -> bytes:
    tree: dict[str, Any] = {"kind": kind, "uid": uid, "meta": meta}
    if reason is not None:
        tree["reason"] = reason
    if body is not None:
        tree["body"] = body
    return json.dumps(tree).encode() + b"\n"


class Journal:
    """The journal service: numbered events, all later ones to who asks, an empty frame each second."""

    def __init__(self, log: Log) -> None:
        self.log = log
        self.events: list[tuple[int, list[dict[str, Any]]]] = []  # kind (1 whole list, 2 changes), entries
        self.writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def add(self, entries: list[dict[str, Any]], why: str = "") -> None:
        """A new event; told at once on each open connection."""
        self.events.append((1 if not self.events else 2, entries))
        for entry in entries:
            self.log(
                "journal",
                f"event {len(self.events)}: {entry['id']} cell {entry['cell']} {entry['phase']}"
                f" up_since_ms {entry['up_since_ms']} {why}",
            )
        for writer in self.writers:
            writer.write(self._frame(len(self.events)))

    def known(self) -> dict[str, Any]:
        return {
            "pos": len(self.events),
            "entries": [
                {
                    "pos": number,
                    "hosts": {"revision": number, "complete": kind == 1, "members": entries},
                }
                for number, (kind, entries) in enumerate(self.events, 1)
            ],
        }

    def _frame(self, number: int) -> bytes:
        kind, entries = self.events[number - 1]
        payload = b""
        for entry in entries:
            host, _, port = entry["host_port"].partition(":")
            payload += RECORD.pack(
                int(entry["id"][2:], 16),
                int.from_bytes(socket.inet_aton(host), "big"),
                int(port),
                STATES[entry["phase"]],
                0,
                0,
                entry["cell"],
                1_000,
                entry["up_since_ms"],
            )
        return struct.pack(">IQB", 9 + len(payload), number, kind) + payload

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            (after,) = struct.unpack(">Q", await reader.readexactly(8))
            for number in range(after + 1, len(self.events) + 1):
                writer.write(self._frame(number))
            self.writers.add(writer)
            while not writer.is_closing() and writer in self.writers:
                writer.write(struct.pack(">IQB", 9, len(self.events), 0))
                await writer.drain()
                await asyncio.sleep(1.0)
        if writer in self.writers:  # else it fell silent and stays open
            self.writers.discard(writer)
            writer.close()


class Link:
    """One connection from the call server to an office; its set-ups that have no answer yet."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.open, self.closed = sock, dict[str, asyncio.TimerHandle](), False
        self.buffer = b""
        self.spoilt = False  # an answer stopped short on it: it stays open, but nothing more arrives from it


class Office:
    """One office: a processor and the group of circuits towards it.

    It answers a set-up after `answer_ms`, reports its group on each change and ends a call with cause 16
    when `end_call` is called. It sends such a release on the connection of the set-up, else on any open one,
    and on the next that opens. `vanish` and `come_back` play a machine that goes silent and returns as a new
    process.
    """

    def __init__(
        self, log: Log, office_id: int, cell: int, size: int = 60, answer_ms: float = 30.0, port: int = 0
    ) -> None:
        self.log, self.id, self.cell, self.size, self.answer_ms = log, office_id, cell, size, answer_ms
        self.name = f"s-{office_id:08x}"
        self.links: list[Link] = []
        self.standing: dict[str, Link] = {}
        self.history: list[tuple[float, str, str]] = []  # time, event, uid
        self.to_release: dict[str, int] = {}  # goes out on the next connection that opens
        self.started_unix_ms = 0
        self.away = False
        self.spoil_next = False  # the next answer stops short
        self.resetting = False
        self.fillers: list[socket.socket] = []
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(128)
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]
        asyncio.get_running_loop().add_reader(self.listener, self._accept)

    def entry(self, phase: str = "up") -> dict[str, Any]:
        return {
            "id": self.name,
            "host_port": f"127.0.0.1:{self.port}",
            "locality": "tallinn",
            "flavor": "small-1c",
            "cell": self.cell,
            "phase": phase,
            "size": 1,
            "up_since_ms": self.started_unix_ms,
        }

    def note(self, event: str, uid: str = "", text: str = "") -> None:
        self.history.append((self.log.now(), event, uid))
        self.log(self.name, f"{event} {uid} {text}".rstrip())

    # -- connections

    def _accept(self) -> None:
        try:
            sock, _ = self.listener.accept()
        except OSError:
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        link = Link(sock)
        self.links.append(link)
        if self.resetting:
            self._drop(link, reset=True)
            return
        asyncio.get_running_loop().add_reader(sock, self._readable, link)
        self._send(link, line("usage", "0" * 16, {"load": self._load()}))
        for uid, cause in self.to_release.items():
            self._send(link, line("stop", uid, {}, cause))
        self.to_release.clear()

    def _readable(self, link: Link) -> None:
        if self.away:  # what comes now is never read; the socket stays open
            asyncio.get_running_loop().remove_reader(link.sock)
            return
        try:
            data = link.sock.recv(65_536)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._drop(link)
            return
        *lines, link.buffer = (link.buffer + data).split(b"\n")
        for each in lines:
            self._message(link, json.loads(each))

    def _drop(self, link: Link, reset: bool = False) -> None:
        """The connection is over: its open set-ups are given up, what stands goes on standing."""
        if link.closed:
            return
        link.closed = True
        asyncio.get_running_loop().remove_reader(link.sock)
        if link in self.links:
            self.links.remove(link)
        for uid, timer in link.open.items():
            timer.cancel()
            self.note("given-up", uid, "(its connection ended)")
        link.open.clear()
        if reset:
            link.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        link.sock.close()

    def _send(self, link: Link, data: bytes) -> None:
        if not link.closed and not link.spoilt and not self.away:
            with contextlib.suppress(OSError):
                link.sock.send(data)

    def _load(self) -> str:
        used = len(self.standing) + sum(len(link.open) for link in self.links)
        return f"free:{max(0, self.size - used)};size:{self.size}"

    def _tell_load(self) -> None:
        for link in self.links:
            self._send(link, line("usage", "0" * 16, {"load": self._load()}))

    # -- calls

    def _message(self, link: Link, message: dict[str, Any]) -> None:
        kind, uid = message["kind"], message["uid"]
        if kind == "launch":
            self.note("set-up", uid)
            link.open[uid] = asyncio.get_running_loop().call_later(
                self.answer_ms / 1_000.0, self._answer, link, uid
            )
        elif kind == "stop":
            timer = link.open.pop(uid, None)
            if timer is not None:
                timer.cancel()
                self.note("given-up", uid)
            elif self.standing.pop(uid, None) is not None:
                self.note("released", uid, "(by the call server)")
            self._send(link, line("stopped", uid, {}))
            self._tell_load()
        elif kind == "check":
            self._send(link, line("checked", uid, {"load": self._load()}, 1))

    def _answer(self, link: Link, uid: str) -> None:
        if link.open.pop(uid, None) is None or self.away:
            return
        self.standing[uid] = link
        data = line("running", uid, {"load": self._load()}, body=f"answer of {self.name} to {uid}")
        if self.spoil_next:
            self.spoil_next = False
            self.note("spoilt", uid, "answer: it stops short, and its connection is of no more use")
            self._send(link, data[: len(data) // 2])
            link.spoilt = True
        else:
            self.note("answer", uid)
            self._send(link, data)
        self._tell_load()

    def end_call(self, uid: str) -> None:
        """The call has come to its end."""
        link = self.standing.pop(uid)
        self.note("release", uid, "cause 16")
        if link.closed:
            link = self.links[0] if self.links else link
        self._send(link, line("stop", uid, {"load": self._load()}, 16))
        self.to_release[uid] = 16
        self._tell_load()

    # -- disruptions

    async def reset_for(self, ms: float) -> None:
        """For this time each connection is reset: an idle one at once, a new one when it has come up.

        One with an open set-up is reset after the answer.
        """
        self.note("resets", "", f"begin, for {ms:.0f} ms")
        self.resetting = True
        end = self.log.now() + ms
        while self.log.now() < end:
            for link in [link for link in self.links if not link.open]:
                self._drop(link, reset=True)
            await asyncio.sleep(0.002)
        self.resetting = False
        self.note("resets", "", "end")

    async def vanish(self) -> list[str]:
        """The machine goes silent: connections stay open, new ones never come up, its calls are cut."""
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.listener)
        self.away = True
        cut = list(self.standing)
        self.note("vanish", "", f"cuts {len(cut)} calls")
        self.standing.clear()
        for link in self.links:
            for timer in link.open.values():
                timer.cancel()
            link.open.clear()
        # A full accept queue: the kernel drops the SYN of every further connection.
        self.listener.listen(0)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(("127.0.0.1", self.port))
            self.fillers.append(filler)
        return cut

    def come_back(self) -> None:
        """A new process on the same machine: the old connections are reset, nothing stands."""
        for link in list(self.links):
            self._drop(link, reset=True)
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        with contextlib.suppress(OSError):
            while True:
                self.listener.accept()[0].close()
        self.listener.listen(128)
        self.away = False
        self.started_unix_ms = int(time.time() * 1_000.0)
        asyncio.get_running_loop().add_reader(self.listener, self._accept)
        self.note("started", "", f"unix ms {self.started_unix_ms}")


class Call:
    """One call of a caller: what it was sent, in order."""

    def __init__(self, uid: str, dest: int, sent_at: float, left: float, transit: bool) -> None:
        self.uid, self.dest, self.sent_at, self.left, self.transit = uid, dest, sent_at, left, transit
        self.heard: list[tuple[float, str, int]] = []  # time, kind, cause
        self.connection_ended_at: float | None = None
        self.release_heard_at: float | None = None  # the call server's `stopped` to this caller's release

    def kinds(self) -> list[str]:
        return [kind for _, kind, _ in self.heard]


class Caller:
    """One connection of callers; it carries many calls."""

    def __init__(self, log: Log, name: str, calls: dict[str, Call]) -> None:
        self.log, self.name, self.calls = log, name, calls  # calls of all connections, by uid
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter
        self.ended_at: float | None = None
        self.own: list[Call] = []

    async def connect(self, port: int) -> Caller:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.task = asyncio.create_task(self._read())
        return self

    def launch(self, dest: int, left: float, transit: bool = False) -> Call:
        uid = secrets.token_hex(8)
        call = self.calls[uid] = Call(uid, dest, self.log.now(), left, transit)
        self.own.append(call)
        self.writer.write(
            line(
                "launch",
                uid,
                {
                    "class": "title-lookup",
                    "left": str(int(left)),
                    "tenant": "vanalinna-raamat",
                    "key": secrets.token_hex(8),
                    "extras": f"dest:{dest};width:1;via:-1" + (";transit:1" if transit else ""),
                },
                body="an offer",
            )
        )
        self.log(self.name, f"set-up {uid} dest {dest} left {left:.0f}{' transit' if transit else ''}")
        return call

    def hang_up(self, call: Call) -> None:
        """Releases a call that stands."""
        self.log(self.name, f"release {call.uid}")
        self.writer.write(line("stop", call.uid, {}, 16))

    async def _read(self) -> None:
        with contextlib.suppress(OSError):
            while data := await self.reader.readline():
                message = json.loads(data)
                kind, uid, cause = message["kind"], message["uid"], message.get("reason", 0)
                call = self.calls.get(uid)
                if call is None:
                    continue
                if kind == "stopped":
                    call.release_heard_at = self.log.now()
                    self.log(self.name, f"heard stopped {uid}")
                    continue
                self.log(self.name, f"heard {kind} {uid} {cause if kind == 'stop' else ''}")
                if kind == "stop" and "running" in call.kinds():
                    self.writer.write(line("stopped", uid, {}))
                call.heard.append((self.log.now(), kind, cause))
        self.ended_at = self.log.now()
        for call in self.own:
            call.connection_ended_at = self.ended_at
        self.log(self.name, "connection ended")

    def close(self) -> None:
        self.writer.close()


class CallServer:
    """A call server, started by the deploy file's `run`."""

    def __init__(self, log: Log, folder: Path, name: str, **config: Any) -> None:
        self.log, self.name = log, name
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.port = free.getsockname()[1]
        self.config = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "seed": secrets.token_hex(8),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            **config,
        }
        self.path, self.out = folder / f"{name}.json", folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        self.path.write_text(json.dumps(self.config))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with self.out.open("ab") as out:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                run,
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "ROUTER_NAME": self.name,
                    "ROUTER_LISTEN": self.config["listen"],
                    "ROUTER_CONFIG": str(self.path),
                    "TMPDIR": str(self.path.parent),
                    "PYTHONDONTWRITEBYTECODE": "1",
                },
                stdout=out,
                stderr=out,
            )
        self.log(self.name, f"started, process {self.process.pid}")
        for _ in range(300):
            if self.process.returncode is not None:
                break
            with contextlib.suppress(OSError, ValueError, asyncio.TimeoutError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(line("check", secrets.token_hex(8), {}, 0))
                answer = json.loads(await asyncio.wait_for(reader.readline(), 2.0))
                writer.close()
                if answer["kind"] == "checked" and answer["reason"] == 1:
                    self.log(self.name, "passed a test")
                    return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} did not start: {self.out.read_text()[-2000:]}")

    def send_signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.log(self.name, f"gets {number.name}")
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def end(self) -> int:
        assert self.process is not None
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
        code = await self.process.wait()
        self.log(self.name, f"ended with {code}")
        return code

    def descriptors(self) -> int:
        assert self.process is not None
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


def main(
    folder: Path, play: Callable[[Log, Path, bool], Awaitable[list[str]]], limit_s: float = 110.0
) -> None:
    """Plays a case and exits: 0 the rule held, 1 it was broken, 2 the case could not run."""
    log = Log(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    log("case", f"trouble {'on' if trouble else 'off'}")

    async def run() -> list[str]:
        current = asyncio.current_task()
        assert current is not None
        for number in (signal.SIGTERM, signal.SIGHUP):  # a case that is stopped ends its processes too
            asyncio.get_running_loop().add_signal_handler(number, current.cancel)
        with tempfile.TemporaryDirectory() as temporary:
            return await asyncio.wait_for(play(log, Path(temporary), trouble), limit_s)

    try:
        broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # whatever it was, the rule was not tested
        log("case", f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    for text in broken:
        log("case", f"BROKEN: {text}")
    log("case", f"{'broken' if broken else 'held'}: {len(broken)} faults")
    with contextlib.suppress(OSError):
        print(f"{'broken' if broken else 'held'}: {len(broken)} faults", *broken[:5], sep="\n  ", flush=True)
    sys.exit(1 if broken else 0)
