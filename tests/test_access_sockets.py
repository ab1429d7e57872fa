"""The platform's sockets on loopback, with stand-ins for callers, offices and the journal service."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from ospreybridge.fronts.access import AccessFront
from ospreybridge.net import tcp
from ospreybridge.net.loop import EventLoop, Task
from ospreybridge.settings.platform import parse
from ospreybridge.signalling import frames
from ospreybridge.standins.platform import CallerStandIn, JournalService, OfficeStandIn
from tests.platform_rig import config, member, record

TIMEOUT_MS = 10_000.0  # far more than any wait here takes


class World:
    """Stand-ins on one event loop, and the server under test once it is started."""

    def __init__(self) -> None:
        self.loop = EventLoop()
        self.offices = [OfficeStandIn(self.loop) for _ in range(3)]
        self.records = [record(10 + cell, cell, port=x.port) for cell, x in enumerate(self.offices)]
        self.journal = JournalService(self.loop, [frames.Frame(1, frames.FULL_LIST, tuple(self.records))])
        self.last_uid = 0

    def server_config(self) -> dict[str, object]:
        members = [member(10 + cell, cell, port=x.port) for cell, x in enumerate(self.offices)]
        return config(
            known={"pos": 1, "entries": [{"pos": 1, "hosts": {"complete": True, "members": members}}]},
            journal=f"127.0.0.1:{self.journal.port}",
        )

    def start_server(self) -> AccessFront:
        self.loop.on_task_error = lambda name, error: pytest.fail(f"{name}: {error!r}")
        front = AccessFront(self.loop, parse("config.json", self.server_config()), 0.0)
        self.until(lambda: all(len(pool.connections) == 2 for pool in front.server.pools.values()))
        return front

    def until(self, condition: object) -> None:
        assert callable(condition) and self.loop.run_until(condition, TIMEOUT_MS), "not in time"

    def set_up(self, caller: CallerStandIn, dest: int = 1, left: int = 1_500) -> str:
        self.last_uid += 1
        uid = f"{self.last_uid:016x}"
        caller.launch(uid, dest, left)
        return uid


@pytest.fixture
def world() -> Iterator[World]:
    created = World()
    yield created
    created.loop.close()
    for service in (*created.offices, created.journal):
        with contextlib.suppress(OSError):
            service.listener.close()


def test_calls_are_established_and_end(world: World) -> None:
    front = world.start_server()
    caller = CallerStandIn(world.loop, front.port)
    uids = [world.set_up(caller, 1 + number % 2) for number in range(20)]
    world.until(lambda: all(caller.kinds(uid) == ["running"] for uid in uids))
    assert all(caller.answers[uid][0].body == f"of {uid}" for uid in uids)
    for uid in uids:
        next(x for x in world.offices if uid in x.established).release(uid)
    world.until(lambda: all(caller.kinds(uid) == ["running", "stop"] for uid in uids))
    assert not front.server.established and not front.server.calls_by_ref


def test_invalid_answer_costs_only_its_own_call_an_attempt(world: World) -> None:
    front = world.start_server()
    caller = CallerStandIn(world.loop, front.port)
    world.offices[1].silent = True
    held = world.set_up(caller)
    world.until(lambda: world.offices[1].launched == [held])
    world.offices[1].silent, world.offices[1].malformed_answer = False, b"\x00\xff{{{\n"
    retried = world.set_up(caller)
    world.until(lambda: caller.kinds(retried) == ["running"])
    assert world.offices[1].launched.count(retried) == 2 and world.offices[1].launched.count(held) == 1
    assert front.server.counts["attempts reset"] == 1 and held in front.server.pending


def test_silent_connections_do_not_disturb_a_caller(world: World) -> None:
    front = world.start_server()
    caller = CallerStandIn(world.loop, front.port)
    first = world.set_up(caller)
    world.until(lambda: caller.kinds(first) == ["running"])
    silent = []
    for _ in range(300):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(("127.0.0.1", front.port))
        silent.append(sock)
    uids = [world.set_up(caller) for _ in range(5)]
    world.until(lambda: all(caller.kinds(uid) == ["running"] for uid in uids))
    world.until(lambda: len(front.server.clients) == 1)
    assert not caller.closed
    for sock in silent:
        sock.close()


def test_finished_stream_sends_what_was_queued_and_goes_on_reading(world: World) -> None:
    """Guards against data of the peer lost because this side has nothing more to send."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        stream = tcp.Stream(world.loop, socket.create_connection(listener.getsockname()))
        far = listener.accept()[0]
    received: list[bytes] = []

    def read() -> Task:
        while data := (yield from stream.read()):
            received.append(data)
        stream.close("closed by the peer")

    world.loop.spawn(read())
    stream.write(b"queued")
    stream.finish()
    stream.write(b"too late")
    assert far.recv(64) + far.recv(64) == b"queued"  # the second one returns the end of the stream
    far.send(b"on its way")
    far.close()
    world.until(lambda: stream.closed)
    assert received == [b"on its way"]


def test_refusal_arrives_although_its_connection_is_closed_with_octets_unread(world: World) -> None:
    front = world.start_server()
    for _ in range(20):
        caller = CallerStandIn(world.loop, front.port)
        uid = world.set_up(caller, 9)
        caller.stream.write(b"not a message\n" + b"x" * 60_000)
        world.until(lambda: caller.closed)  # noqa: B023
        assert caller.kinds(uid) == ["stop"]


def test_endless_and_half_messages_are_closed(world: World) -> None:
    front = world.start_server()
    endless, half = (CallerStandIn(world.loop, front.port) for _ in range(2))
    half.stream.write(b'{"kind":"launch"')
    endless.stream.max_unsent_bytes = 1 << 24
    endless.stream.write(b"x" * (1 << 20))
    world.until(lambda: endless.closed and half.closed)
    assert not front.server.clients


def test_journal_connection_is_reopened_after_a_break_and_after_a_silence(world: World) -> None:
    front = world.start_server()
    world.until(lambda: world.journal.requested_after == [1])
    world.journal.streams[0].close("breaks")
    world.until(lambda: world.journal.requested_after == [1, 1])
    world.journal.publish(frames.Frame(2, frames.CHANGES, (record(11, 1, frames.DRAINING),)))
    world.until(lambda: front.server.office_list.last_number == 2)
    world.journal.silent = True  # open but silent
    world.until(lambda: world.journal.requested_after == [1, 1, 2])


@contextlib.contextmanager
def process(world: World, path: Path) -> Iterator[tuple[subprocess.Popen[bytes], int]]:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
    tree = {**world.server_config(), "listen": f"127.0.0.1:{port}"}
    path.write_text(json.dumps(tree))
    command = [sys.executable, "-m", "ospreybridge", "serve"]
    with open(path.with_suffix(".log"), "wb") as log:
        child = subprocess.Popen(command, env={**os.environ, "ROUTER_CONFIG": str(path)}, stderr=log)
    try:
        world.until(lambda: b'"serving"' in path.with_suffix(".log").read_bytes())
        yield child, port
    finally:
        child.kill()
        child.wait()


def test_sighup_moves_the_journal_connection_and_an_invalid_file_changes_nothing(
    world: World, tmp_path: Path
) -> None:
    path = tmp_path / "config.json"
    with process(world, path) as (child, port):
        world.until(lambda: world.journal.requested_after == [1])
        tree = json.loads(path.read_text())
        path.write_text("{")
        child.send_signal(signal.SIGHUP)
        world.until(lambda: b"reload refused" in path.with_suffix(".log").read_bytes())
        other = JournalService(world.loop, world.journal.events)
        path.write_text(json.dumps({**tree, "journal": f"127.0.0.1:{other.port}"}))
        child.send_signal(signal.SIGHUP)
        world.until(lambda: other.requested_after == [1])
        caller = CallerStandIn(world.loop, port)
        uid = world.set_up(caller)
        world.until(lambda: caller.kinds(uid) == ["running"])
        assert child.poll() is None


@pytest.mark.parametrize("number", ["1e400", "1" + 400 * "0"])
def test_sighup_with_a_number_too_large_for_a_float_changes_nothing(
    world: World, tmp_path: Path, number: str
) -> None:
    """Guards against a process that ends as its configuration has such a number."""
    path = tmp_path / "config.json"
    with process(world, path) as (child, port):
        text = path.read_text()
        assert '"MostTries": 4' in text
        path.write_text(text.replace('"MostTries": 4', f'"MostTries": {number}'))
        child.send_signal(signal.SIGHUP)
        world.until(lambda: b"Limits.MostTries" in path.with_suffix(".log").read_bytes())
        caller = CallerStandIn(world.loop, port)
        uid = world.set_up(caller)
        world.until(lambda: caller.kinds(uid) == ["running"])
        assert child.poll() is None


def test_exception_in_a_list_event_is_reported_and_the_next_event_is_applied(world: World) -> None:
    """Guards against a task that follows the journal service and ends with a defect."""
    front = world.start_server()
    reported: list[str] = []
    world.loop.on_task_error = lambda name, error: reported.append(f"{name}: {error}")
    apply_list_event = front.server.apply_list_event

    def fail_once(now: float, frame: frames.Frame) -> None:
        front.server.apply_list_event = apply_list_event  # type: ignore[method-assign]
        raise ZeroDivisionError("a defect")

    front.server.apply_list_event = fail_once  # type: ignore[method-assign]
    world.journal.publish(frames.Frame(2, frames.CHANGES, (record(11, 1, frames.DRAINING),)))
    world.until(lambda: bool(reported))
    world.journal.publish(frames.Frame(3, frames.CHANGES, (record(11, 1),)))
    world.until(lambda: front.server.office_list.last_number == 3)
    assert reported == ["journal service: a defect"]


def test_exception_in_a_signal_handler_is_reported_and_the_next_signal_is_handled() -> None:
    """Guards against a task that reads signals and ends with a defect."""
    loop = EventLoop()
    reported: list[str] = []
    handled: list[int] = []
    loop.on_task_error = lambda name, error: reported.append(f"{name}: {error}")

    def handle() -> None:
        handled.append(signal.SIGUSR1)
        if len(handled) == 1:
            raise ZeroDivisionError("a defect")

    loop.on_signals({signal.SIGUSR1: handle})
    try:
        for count in (1, 2):
            signal.raise_signal(signal.SIGUSR1)
            assert loop.run_until(lambda count=count: len(handled) == count, TIMEOUT_MS)  # type: ignore[misc]
    finally:
        signal.set_wakeup_fd(-1)
        signal.signal(signal.SIGUSR1, signal.SIG_DFL)
        loop.close()
    assert reported == ["signal SIGUSR1: a defect"]


def test_sigterm_with_calls_pending_answers_each_and_ends(world: World, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    with process(world, path) as (child, port):
        caller = CallerStandIn(world.loop, port)
        established = world.set_up(caller)
        world.until(lambda: caller.kinds(established) == ["running"])
        world.offices[1].silent = True
        pending = world.set_up(caller, left=3_000)
        world.until(lambda: pending in world.offices[1].launched)
        child.send_signal(signal.SIGTERM)
        world.until(lambda: b'"stopping"' in path.with_suffix(".log").read_bytes())
        world.offices[1].release(established)
        world.until(lambda: caller.kinds(established) == ["running", "stop"])
        world.until(lambda: caller.kinds(pending) == ["stop"])
        world.until(lambda: child.poll() == 0)


@pytest.mark.parametrize("content", [None, "{", '{"name": 5}'])
def test_invalid_configuration_exits_with_code_2_and_a_line_per_error(
    tmp_path: Path, content: str | None
) -> None:
    path = tmp_path / "config.json"
    env = {**os.environ, "ROUTER_CONFIG": str(path)}
    if content is None:
        del env["ROUTER_CONFIG"]
    else:
        path.write_text(content)
    done = subprocess.run(
        [sys.executable, "-m", "ospreybridge", "serve"], env=env, capture_output=True, text=True, timeout=60
    )
    lines = done.stderr.splitlines()
    assert done.returncode == 2 and done.stdout == "" and lines
    assert all(("expected" in line or "JSON" in line) and "Traceback" not in line for line in lines)


def test_platform_daemon_imports_no_heavy_packages() -> None:
    code = (
        "import sys, ospreybridge.cli.main, ospreybridge.cli.logs, ospreybridge.daemon.platform\n"
        "print([m for m in ('cryptography', 'numpy', 'kdl', 'pcapng', 'hdrh') if m in sys.modules])"
    )
    command = [sys.executable, "-c", code]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60, check=True)
    assert done.stdout.strip() == "[]"
