"""Stand-ins of the second review's cases: offices, journal service, callers, and one call server.

Standard library only. Every address is 127.0.0.1, every port is chosen by the kernel. Nothing is imported
from the project, so that a case judges by what passes on the sockets alone.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TIME_LIMIT_S = 110.0
HELD, BROKEN, NOT_RUN = 0, 1, 2
READY, DRAINING, GONE = 0, 1, 2
PHASES = {READY: "up", DRAINING: "draining", GONE: "removed"}


class CannotRun(Exception):
    """The case could not be played, so it says nothing about the rule."""


class Record:
    """The lines of record.txt, each with the milliseconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.start = time.monotonic()

    def ms(self) -> float:
        return (time.monotonic() - self.start) * 1000.0

    def __call__(self, text: str) -> None:
        self.file.write(f"{self.ms():9.1f}  {text}\n")
        self.file.flush()


def office_name(office: int) -> str:
    return f"s-{office:08x}"


def encode(kind: str, uid: str, meta: dict[str, Any] | None = None, **more: Any) -> bytes:
    return json.dumps({"kind": kind, "uid": uid, "meta": meta or {}, **more}).encode() + b"\n"


class Listener:
    """Base class: a listener and its open connections."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.port = 0

    async def open(self) -> None:
        """Listens; a second call listens on the same port again."""
        self.server = await asyncio.start_server(self._connected, "127.0.0.1", self.port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, ValueError):
            await self.serve(reader, writer)
        self.writers.discard(writer)
        writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def die(self) -> None:
        """As a process that is killed: nothing listens any more, open connections are reset."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()


class Office(Listener):
    """An office: answers each set-up, reports its trunk group, keeps the calls that stand."""

    def __init__(self, record: Record, office: int, cell: int, free: int = 20, size: int = 20) -> None:
        super().__init__(record)
        self.id, self.cell, self.free, self.size = office, cell, free, size  # free: with no call of this case
        self.hold_s = 2.0  # how long a call stands; 0: until it is released
        self.silent = False
        self.answer_after_s = 0.01
        self.standing: set[str] = set()
        self.unsent: list[str] = []  # releases for the next connection that opens
        self.open: dict[str, asyncio.StreamWriter] = {}
        self.launches: list[tuple[float, str]] = []  # time of arrival (ms), id

    async def listen(self) -> None:
        await Listener.open(self)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self.silent:
            writer.write(self._usage())
        while self.unsent:  # a release goes out once more on the next connection that opens
            writer.write(encode("stop", self.unsent.pop(), reason=16))
        while line := await reader.readline():
            if self.silent:
                continue
            message = json.loads(line)
            uid = message["uid"]
            if message["kind"] == "launch":
                self.launches.append((self.record.ms(), uid))
                left = message["meta"]["left"]
                self.record(f"office {office_name(self.id)} <- launch {uid} left {left}")
                self.open[uid] = writer
                asyncio.get_running_loop().call_later(self.answer_after_s, self._answer, uid, writer)
            elif message["kind"] == "stop":
                self.open.pop(uid, None)
                self.record(f"office {office_name(self.id)} <- stop {uid} cause {message.get('reason')}")
                if uid in self.standing:
                    self.standing.discard(uid)
                    self._report()
                writer.write(encode("stopped", uid))
            elif message["kind"] == "check":
                writer.write(encode("checked", uid, {"load": self._load()}, reason=1))
        for uid in [uid for uid, where in self.open.items() if where is writer]:
            del self.open[uid]  # closing a connection gives up the set-ups open on it

    def _answer(self, uid: str, writer: asyncio.StreamWriter) -> None:
        if self.open.get(uid) is not writer or writer.is_closing():
            return
        del self.open[uid]
        self.standing.add(uid)
        self.record(f"office {office_name(self.id)} -> running {uid}")
        writer.write(encode("running", uid, body=f"answer of {office_name(self.id)} to {uid}"))
        self._report()
        if self.hold_s:
            asyncio.get_running_loop().call_later(self.hold_s, self.end, uid)

    def _load(self) -> str:
        return f"free:{max(0, self.free - len(self.standing))};size:{self.size}"

    def _report(self) -> None:
        for writer in self.writers:
            writer.write(self._usage())

    def _usage(self) -> bytes:
        return encode("usage", "0" * 16, {"load": self._load()})

    def set_free(self, free: int) -> None:
        """Changes the free circuits of the group and tells the call server."""
        self.free = free
        self.record(f"office {office_name(self.id)}: {free} circuits free")
        self._report()

    def end(self, uid: str) -> None:
        """A call comes to its end: the release goes on any open connection."""
        if uid not in self.standing:
            return
        self.standing.discard(uid)
        self.record(f"office {office_name(self.id)} -> stop {uid} cause 16")
        self.unsent.append(uid)
        for writer in list(self.writers)[:1]:
            writer.write(encode("stop", uid, reason=16))
        self._report()

    def go_silent(self) -> None:
        """As a machine that vanishes: open connections stay open and silent. Its calls are cut."""
        self.record(f"office {office_name(self.id)} goes silent; it had {sorted(self.standing)}")
        self.silent = True
        self.standing.clear()
        self.unsent.clear()
        self.open.clear()

    async def come_back(self) -> None:
        """A new process, which knows nothing of the one before it."""
        self.die()
        self.silent = False
        await self.listen()
        self.record(f"office {office_name(self.id)} is back")

    def member(self, state: int = READY, started_ms: int = 0) -> dict[str, Any]:
        return {
            "id": office_name(self.id),
            "host_port": f"127.0.0.1:{self.port}",
            "locality": "colombo",
            "flavor": "std",
            "cell": self.cell,
            "phase": PHASES[state],
            "size": 1,
            "up_since_ms": started_ms,
        }


class Journal(Listener):
    """The journal service: the events after the number asked for, then new ones; an empty frame a second."""

    def __init__(self, record: Record, name: str = "journal") -> None:
        super().__init__(record)
        self.name = name
        self.events: list[dict[str, Any]] = []
        self.times: dict[int, float] = {}  # event -> time at which it was in the service (ms)
        self.turn_after_s = 0.0  # a crowded service: how long a call server waits for its turn
        self.asked: list[float] = []
        self.empty_frame_at = 0.0  # time of the last one (ms)
        self.followers: set[asyncio.StreamWriter] = set()

    def add(self, *members: dict[str, Any]) -> int:
        """Adds an event; the first one is the whole list."""
        number = len(self.events) + 1
        hosts = {"revision": number, "complete": number == 1, "members": list(members)}
        self.events.append({"pos": number, "hosts": hosts})
        self.times[number] = self.record.ms()
        for member in members:
            self.record(f"{self.name}: event {number}: {member['id']} {member['phase']}")
        for writer in self.followers:
            writer.write(self.frame(number))
        return number

    def frame(self, number: int) -> bytes:
        event = self.events[number - 1]["hosts"]
        payload = b""
        for member in event["members"]:
            host, _, port = member["host_port"].rpartition(":")
            state = next(state for state, phase in PHASES.items() if phase == member["phase"])
            payload += struct.pack(
                ">I4sHBBBHIQ",
                int(member["id"][2:], 16),
                socket.inet_aton(host),
                int(port),
                state,
                0,
                0,
                member["cell"],
                1000,
                member["up_since_ms"],
            )
        body = struct.pack(">QB", number, 1 if event["complete"] else 2) + payload
        return struct.pack(">I", len(body)) + body

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        (after,) = struct.unpack(">Q", await reader.readexactly(8))
        self.asked.append(self.record.ms())
        self.record(f"{self.name}: asked for what follows {after}")
        ended = asyncio.ensure_future(reader.read(1))
        if self.turn_after_s:
            await asyncio.wait([ended], timeout=self.turn_after_s)
            if ended.done():
                self.record(f"{self.name}: the asker left before its turn")
                return
            self.record(f"{self.name}: its turn")
        for number in range(after + 1, len(self.events) + 1):
            writer.write(self.frame(number))
        self.followers.add(writer)
        try:
            while not ended.done():
                writer.write(struct.pack(">IQB", 9, len(self.events), 0))
                self.empty_frame_at = self.record.ms()
                await asyncio.wait([ended], timeout=1.0)
        finally:
            self.followers.discard(writer)


class Caller:
    """One connection from callers, with what came back on it: (ms, message)."""

    def __init__(self, record: Record, name: str) -> None:
        self.record, self.name = record, name
        self.received: dict[str, list[tuple[float, dict[str, Any]]]] = {}
        self.sent: dict[str, float] = {}
        self.closed_at: float | None = None
        self.quiet = False  # keeps its messages out of the record
        self.confirms = True
        self.on_message: Callable[[dict[str, Any]], None] | None = None

    async def connect(self, port: int) -> None:
        reader, self.writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
        self.task = asyncio.ensure_future(self._read(reader))

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(ConnectionError):
            while line := await reader.readline():
                message = json.loads(line)
                uid = message["uid"]
                self.received.setdefault(uid, []).append((self.record.ms(), message))
                if not self.quiet and (uid in self.sent or message["kind"] != "stop"):
                    self.record(
                        f"{self.name} <- {message['kind']} {uid} cause {message.get('reason', '-')} "
                        f"{message['meta'] or ''}"
                    )
                if message["kind"] == "stop" and self.confirms:
                    self.writer.write(encode("stopped", uid))
                if self.on_message is not None:
                    self.on_message(message)
        self.closed_at = self.record.ms()
        self.record(f"{self.name}: its connection ended")

    def set_up(self, uid: str, dest: int, left: int, words: str = "") -> bytes:
        meta = {
            "class": "reading-upload",
            "left": str(left),
            "tenant": "flowline",
            "key": uid,
            "extras": f"dest:{dest};width:1;via:-1{words}",
        }
        return encode("launch", uid, meta, body=f"offer of {uid}")

    def launch(self, uid: str, dest: int, left: int, words: str = "") -> None:
        self.sent[uid] = self.record.ms()
        if not self.quiet:
            self.record(f"{self.name} -> launch {uid} dest {dest} left {left} {words}")
        self.writer.write(self.set_up(uid, dest, left, words))

    def stop(self, uid: str) -> None:
        self.record(f"{self.name} -> stop {uid}")
        self.writer.write(encode("stop", uid, reason=16))

    def first(self, uid: str, *kinds: str) -> tuple[float, dict[str, Any]] | None:
        """The first message of these kinds for a call."""
        return next((entry for entry in self.received.get(uid, ()) if entry[1]["kind"] in kinds), None)


SETTINGS: dict[str, Any] = {
    "Classes": [
        {
            "Name": "reading-upload",
            "OnTime": 1500.0,
            "Deadline": 9000.0,
            "LateWorth": 0.25,
            "Semantics": "free",
            "Group": "all",
            "Importance": 1.0,
            "Window": 5000.0,
            "Streaming": True,
        }
    ],
    "Customers": [{"Name": "flowline", "Share": 1.0, "QuotaPerS": 60.0}],
    "FamilyInfo": {
        "ThisNode": 0,
        "Layout": "mesh",
        "Guard": 500.0,
        "ClassHold": [10000.0],
        "ClassWidth": [1],
        "TellsWait": True,
        "RouteAdvice": True,
    },
    "Limits": {
        "Cancel": True,
        "MostTries": 6,
        "PeerMessages": False,
        "RetryAfter": True,
        "MaxRetryAfter": 2000.0,
        "DialTimeout": 500.0,
    },
    "Rules": {
        "DrainGrace": 1000.0,
        "GraceToAnswer": 5.0,
        "AskWithin": 10000.0,
        "ColdShare": 0.29,
        "WarmAfter": 14000.0,
        "OverloadFactor": 4.0,
        "OverloadFor": 1000.0,
    },
    "Callers": {"MarksRetry": False},
    "Discovery": "automatic",
    "Me": 0,
    "PeersTotal": 5,
    "Locality": 0,
    "Round": 5.0,
    "Stats": {"Columns": ["free", "size"]},
    "Zones": ["colombo"],
    "Kinds": ["std"],
}


class CallServer:
    """The project's call server, started with the deploy file's `run`."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record, self.folder = record, folder
        self.sockets = 1024
        self.process: subprocess.Popen[bytes] | None = None
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.port = probe.getsockname()[1]
        self.starts = 0

    def write_config(self, journal: Journal) -> None:
        """`known`: the journal service's events up to now."""
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "seed": f"{time.monotonic_ns() & 0xFFFFFFFFFFFF:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "journal": f"127.0.0.1:{journal.port}",
            "known": {"pos": len(journal.events), "entries": journal.events},
            "settings": SETTINGS,
        }
        new = self.folder / "config.new"
        new.write_text(json.dumps(config))
        new.replace(self.folder / "config.json")

    async def start(self, journal: Journal) -> None:
        """Starts the process and waits until it passes a test."""
        self.write_config(journal)
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.starts += 1
        environment = {
            **os.environ,
            "ROUTER_NAME": "n0",
            "ROUTER_LISTEN": f"127.0.0.1:{self.port}",
            "ROUTER_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.folder),
        }
        with (self.folder / f"server-{self.starts}.log").open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record(f"call server started, pid {self.process.pid}")
        for _ in range(300):
            if self.process.poll() is not None:
                raise CannotRun(f"the call server ended with {self.process.returncode}")
            if await self._passes_test():
                self.record("call server passed its test")
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the call server did not get ready within 30 s")

    async def _passes_test(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return False
        try:
            writer.write(encode("check", "c" * 16, reason=0))
            line = await asyncio.wait_for(reader.readline(), 2.0)
            return bool(line) and json.loads(line).get("reason") == 1
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.record(f"{number.name} to the call server")
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kills it outright and waits for its end; also one that stands still."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def log_tail(self) -> str:
        path = self.folder / f"server-{self.starts}.log"
        return path.read_text(errors="replace")[-1500:] if path.exists() else ""


class Stage:
    """What a case is given: record, journal service, four offices of other exchanges, one call server."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.record = record
        self.journal = Journal(record)
        self.offices = {cell: Office(record, 0x100 + cell, cell) for cell in range(1, 5)}
        self.server = CallServer(record, folder)
        self.callers: list[Caller] = []
        self.listeners: list[Listener] = [self.journal, *self.offices.values()]

    async def open(self) -> None:
        await self.journal.open()
        for office in self.offices.values():
            await office.listen()
        own = Office(self.record, 0x100, 0)
        await own.listen()
        self.listeners.append(own)
        self.journal.add(own.member(), *(office.member() for office in self.offices.values()))

    async def caller(self, name: str) -> Caller:
        caller = Caller(self.record, name)
        self.callers.append(caller)
        await caller.connect(self.server.port)
        return caller

    async def until(self, condition: Callable[[], bool], seconds: float) -> bool:
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                return False
            await asyncio.sleep(0.01)
        return True

    async def settle(self, caller: Caller, prefix: str) -> None:
        """One call to each office that takes calls: proves that the stage works."""
        for cell, office in self.offices.items():
            if office.free < 1:
                continue
            uid = f"{prefix}{cell:015x}"
            caller.launch(uid, cell, 3000)
            if not await self.until(lambda uid=uid: caller.first(uid, "running", "stop") is not None, 5.0):
                raise CannotRun("no answer on a calm stage")
            if caller.first(uid, "running") is None:
                raise CannotRun(f"a call to exchange {cell} did not stand on a calm stage")


async def _play(case: Callable[[Stage], Awaitable[bool]], folder: Path, record: Record) -> int:
    stage = Stage(folder, record)
    this_task = asyncio.current_task()
    assert this_task is not None
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, this_task.cancel)
    try:
        await stage.open()
        held = await asyncio.wait_for(case(stage), TIME_LIMIT_S)
        record("the rule held" if held else "the rule was broken")
        return HELD if held else BROKEN
    except (CannotRun, TimeoutError, OSError, asyncio.CancelledError) as error:
        record(f"could not run: {error!r}")
        return NOT_RUN
    finally:
        stage.server.kill()
        record("log of the call server, its end:\n" + stage.server.log_tail())
        for listener in stage.listeners:
            Listener.die(listener)
        for caller in stage.callers:
            caller.writer.transport.abort()
        await asyncio.sleep(0.1)
        waiting = asyncio.all_tasks() - {asyncio.current_task()}
        for task in waiting:
            task.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)


def main(case_file: str, case: Callable[[Stage], Awaitable[bool]]) -> None:
    """Plays a case and exits with 0 (held), 1 (broken) or 2 (could not run)."""
    record = Record(Path(case_file).resolve().parent / "record.txt")
    record(f"trouble: {'on' if TROUBLE else 'off'}")
    code = NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as folder:
            code = asyncio.run(_play(case, Path(folder), record))
    except Exception as error:
        record(f"could not run: {error!r}")
    print(f"{['the rule held', 'the rule was broken', 'the case could not run'][code]}; see record.txt")
    sys.exit(code)
