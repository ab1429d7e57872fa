"""Clients that send messages at full speed must not delay other clients, nor use up memory."""

from __future__ import annotations

import contextlib
import multiprocessing
import socket
import ssl
import threading
import time
from collections import deque
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from ospreybridge.net import tcp
from ospreybridge.net.loop import NEXT_TURN, EventLoop, Task
from ospreybridge.signalling import causes, jsonl, m3ua
from ospreybridge.signalling.jsonl import Message
from ospreybridge.standins.platform import CallerStandIn
from tests.fleet import fleet
from tests.platform_rig import Rig, set_up_message
from tests.served import peak_memory_mb, served_exchange
from tests.test_access_sockets import World, process, world

__all__ = ["world"]  # a fixture
MEMORY_LIMIT_MB = 64.0  # of the configuration
PLATFORM_MEMORY_MB = 192.0  # the most that the platform gives to a process
MAX_GROWTH_MB = 3.0  # in a second of a flood that goes on
FLOOD_MESSAGES = 12_000
ANSWERED_WITHIN_MS = 1_550.0  # the time that the caller gives its set-up; each time limit grows by 50 ms
MAX_MESSAGES_AHEAD = 4 * tcp.MAX_MESSAGES_PER_TURN  # of a flooding connection, handled before another's one


def check(number: int) -> bytes:
    return jsonl.encode(Message(jsonl.CHECK, f"{number:016x}"))


def test_task_that_leaves_its_turn_goes_on_after_the_sockets_and_timers_of_one_iteration() -> None:
    loop = EventLoop()
    order: list[str] = []

    def task(name: str) -> Task:
        for number in range(3):
            order.append(f"{name}{number}")
            yield NEXT_TURN, 0.0

    loop.spawn(task("a"))
    loop.spawn(task("b"))
    loop.timers.schedule(loop.now, lambda now: order.append("timer"))
    for _ in range(4):
        loop.run_once()
    assert order == ["a0", "b0", "a1", "b1", "timer", "a2", "b2"]
    loop.close()


def test_messages_of_a_flooding_client_are_handled_in_turns_with_those_of_others(world: World) -> None:
    """Guards against answers that come late because one client has sent much at once (full speed)."""
    front = world.start_server()
    handled: list[int] = []
    record_lines(front.server, handled)
    flooding = [socket.create_connection(("127.0.0.1", front.port)) for _ in range(3)]
    world.until(lambda: len(front.server.clients) == 3)
    sound = CallerStandIn(world.loop, front.port)
    world.until(lambda: len(front.server.clients) == 4)
    sound_id = max(front.server.clients)
    for sock in flooding:
        sock.sendall(b"".join(check(number) for number in range(600)))
    sound.stream.write(check(1) * 3)
    world.until(lambda: len(handled) == 1_803)
    ahead = handled.index(sound_id)
    assert ahead <= 3 * MAX_MESSAGES_AHEAD
    for sock in flooding:
        sock.close()


def record_lines(server: Any, handled: list[int]) -> None:
    """Records the connection of each line that the server handles."""
    handle = server.client_line

    def recording(now: float, connection_id: int, line: bytes) -> None:
        handled.append(connection_id)
        handle(now, connection_id, line)

    server.client_line = recording


def record_frames(association: Any) -> list[bytes]:
    """The frames that the association handles from now on."""
    handled: list[bytes] = []
    receive = association.receive

    def recording(frame: bytes) -> None:
        handled.append(frame)
        receive(frame)

    association.receive = recording
    return handled


@pytest.mark.parametrize("over_tls", [False, True])
def test_frames_of_a_flooding_peer_are_handled_in_turns(tmp_path: Path, over_tls: bool) -> None:
    """Guards against calls that wait because a peer, known or not, has sent much at once."""
    with fleet(tmp_path, tls_options="" if over_tls else None) as f:
        front = f.fronts[1]
        channel = f.channel(1, 2)
        handled = record_frames(channel.association)
        far = f.channel(2, 1)
        for _ in range(2_000):
            far.stream.write(m3ua.encode(m3ua.BEAT))
        most = 0
        while len(handled) < 2_000:
            before = len(handled)
            f.loop.run_once(20.0)
            most = max(most, len(handled) - before)
        assert 0 < most <= tcp.MAX_MESSAGES_PER_TURN and not front.counts["broken stream"]


def test_frames_behind_the_end_of_a_connection_are_not_handled(tmp_path: Path) -> None:
    """Guards against frames handled in a later turn, after their association was closed meanwhile."""
    with fleet(tmp_path) as f:
        channel, far = f.channel(1, 2), f.channel(2, 1)
        handled = record_frames(channel.association)
        far.stream.write(m3ua.encode(m3ua.BEAT) * 500)
        f.run_until(lambda: bool(handled))
        count = len(handled)
        channel.drop("ended by the test")
        f.run_until(lambda: 2 in f.fronts[1].links and f.channel(1, 2) is not channel)
        assert len(handled) == count < 500


def flood(rig: Rig, client: int, count: int, message: Callable[[int], Message]) -> None:
    """Sends `count` messages at 2,000 a second."""
    for number in range(count):
        rig.client_sends(client, message(number))
        if number % 100 == 99:
            rig.advance(50.0)


def count_entries(root: object) -> int:
    """The entries of all containers that can be reached from an object."""
    seen: set[int] = set()
    todo, total = deque([root]), 0
    while todo:
        item = todo.popleft()
        if id(item) in seen or isinstance(item, str | bytes | int | float | type) or callable(item):
            continue
        seen.add(id(item))
        if isinstance(item, dict):
            total += len(item)
            todo.extend((*item.keys(), *item.values()))
        elif isinstance(item, list | tuple | set | frozenset | deque):
            total += len(item)
            todo.extend(item)
        else:
            todo.extend(vars(item).values() if hasattr(item, "__dict__") else ())
            slots = [name for kind in type(item).__mro__ for name in getattr(kind, "__slots__", ())]
            todo.extend(getattr(item, name) for name in slots if hasattr(item, name))
    return total


class FloodMessages:
    """Messages under ever new names; `first` numbers them on from an earlier flood."""

    def __init__(self, first: int) -> None:
        self.first = first

    def set_up(self, number: int, words: str = "", left: str = "1500", dest: int = 1) -> Message:
        number += self.first
        return set_up_message(f"f{number:015x}", dest, words, left=left, key=f"{number:x}")

    def unsound(self, number: int) -> Message:
        return self.set_up(number, left="-1")

    def to_anywhere(self, number: int) -> Message:
        return self.set_up(number, dest=(number + self.first) % 65_536)

    def reported(self, number: int) -> Message:
        return self.set_up(number, words=";at:s-000000ff")

    def taken_back(self, number: int) -> Message:
        if number % 2:
            return Message(jsonl.STOP, f"f{self.first + number - 1:015x}", {}, causes.NORMAL_CLEARING)
        return self.set_up(number)

    def released(self, number: int) -> Message:
        return Message(jsonl.STOP, f"e{self.first + number:015x}", {}, causes.NORMAL_CLEARING)


@pytest.mark.parametrize("kind", ["set_up", "unsound", "to_anywhere", "reported", "taken_back", "released"])
def test_tables_do_not_grow_with_a_flood_under_ever_new_names(kind: str) -> None:
    """Guards against memory that grows without end while one client sends at full speed."""
    rig = Rig()
    client = rig.connect_client()
    sizes = []
    for round_number in range(3):
        flood(rig, client, FLOOD_MESSAGES, getattr(FloodMessages(round_number * 100_000), kind))
        rig.advance(20_000.0)
        rig.sent_messages.clear()
        rig.trace_events.clear()
        rig.log_events.clear()
        sizes.append(count_entries(rig.server))
    assert sizes[2] <= sizes[1] + 500, sizes


def send_at_full_speed(port: int, kind: str) -> None:
    """Sends messages under ever new names, and reads what comes back, until the process is ended."""
    sock = socket.create_connection(("127.0.0.1", port))
    threading.Thread(target=read_all, args=(sock,), daemon=True).start()
    first = 0
    while True:
        messages = FloodMessages(first)
        sock.sendall(b"".join(jsonl.encode(getattr(messages, kind)(number)) for number in range(200)))
        first += 200


def read_all(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while sock.recv(1 << 20):
            pass


@contextlib.contextmanager
def other_process(target: Callable[..., None], *arguments: object) -> Iterator[None]:
    """Runs a function that never returns in a process of its own."""
    child = multiprocessing.get_context("fork").Process(target=target, args=arguments, daemon=True)
    child.start()
    try:
        yield
    finally:
        child.kill()
        child.join()


@pytest.mark.parametrize("kind", ["unsound", "taken_back", "to_anywhere"])
def test_calls_are_answered_and_memory_holds_while_a_client_floods_the_process(
    world: World, tmp_path: Path, kind: str
) -> None:
    """Guards against answers late or never, and memory over its limit, under one client's flood."""
    with process(world, tmp_path / "config.json") as (server, port):
        sound = CallerStandIn(world.loop, port)
        with other_process(send_at_full_speed, port, kind):
            sent_at: dict[str, float] = {}
            end = world.loop.now + 3_000.0
            while world.loop.now < end:
                sent_at[world.set_up(sound, 1 + len(sent_at) % 2)] = world.loop.now
                resume_at = world.loop.now + 50.0
                world.until(lambda at=resume_at: world.loop.now >= at)
                for office in world.offices:
                    for uid in list(office.established):
                        office.release(uid)
                overdue = [uid for uid, at in sent_at.items() if world.loop.now - at > ANSWERED_WITHIN_MS]
                assert all(sound.kinds(uid) for uid in overdue)
        assert any("running" in sound.kinds(uid) for uid in sent_at) and not sound.closed
        assert peak_memory_mb(server.pid) < MEMORY_LIMIT_MB


def test_datagrams_of_a_stranger_are_dropped_and_delay_nobody(world: World) -> None:
    """Guards against answers that come late because somebody sends datagrams at full speed."""
    config_of_world = world.server_config
    world.server_config = lambda: {**config_of_world(), "peer_listen": "127.0.0.1:0"}  # type: ignore[method-assign]
    front = world.start_server()
    assert front.peer_socket is not None
    sound = CallerStandIn(world.loop, front.port)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
        before = count_entries(front.server)
        for _ in range(30):
            for number in range(200):
                stranger.sendto(number.to_bytes(256, "big"), front.peer_socket.getsockname())
            uid = world.set_up(sound)
            world.until(lambda uid=uid: sound.kinds(uid) == ["running"])
            next(office for office in world.offices if uid in office.established).release(uid)
            world.until(lambda uid=uid: sound.kinds(uid) == ["running", "stop"])
        assert front.server.counts["datagrams dropped"] >= 30 * 100
        assert count_entries(front.server) < before + 30 * 20  # the calls leave traces


def send_frames_at_full_speed(port: int, kind: str, context: ssl.SSLContext | None) -> None:
    """Connects again whenever the connection is closed, and goes on under new identifiers."""
    identifier = 100_000
    while True:
        with contextlib.suppress(OSError):
            sock = socket.create_connection(("127.0.0.1", port))
            if context is not None:
                sock = context.wrap_socket(sock, server_hostname="cs2.test")
            threading.Thread(target=read_all, args=(sock,), daemon=True).start()
            while True:
                sock.sendall(b"".join(unsound_frame(kind, identifier + number) for number in range(200)))
                identifier += 200


def unsound_frame(kind: str, number: int) -> bytes:
    if kind == "small":
        return m3ua.encode(m3ua.BEAT)
    if kind == "unsound":
        return b"\x01\x00\x09\x09" + (8).to_bytes(4, "big")
    return m3ua.encode(m3ua.ASPUP, [(m3ua.ASP_ID, m3ua.uint32(number))])


@pytest.mark.parametrize("over_tls", [False, True])
@pytest.mark.parametrize("kind", ["small", "unsound", "new names"])
def test_peers_are_answered_and_memory_holds_while_one_floods_the_process(
    tmp_path: Path, over_tls: bool, kind: str
) -> None:
    """Guards against peers answered late or never, and memory that grows, under one peer's flood."""
    with served_exchange(tmp_path, over_tls) as exchange:
        exchange.assert_served()
        peaks = []
        with other_process(send_frames_at_full_speed, exchange.port, kind, exchange.context):
            for _ in range(3):
                end = time.monotonic() + 1.0
                while time.monotonic() < end:
                    exchange.assert_served()
                peaks.append(peak_memory_mb(exchange.server.pid))
        print(f"{kind}, TLS {over_tls}: {[round(peak, 1) for peak in peaks]} MB")
        assert peaks[2] - peaks[1] <= MAX_GROWTH_MB and peaks[2] < PLATFORM_MEMORY_MB
