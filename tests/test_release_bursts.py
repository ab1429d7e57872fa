"""Many releases at once, of sound calls or of calls that bad clients report, must end no sound connection."""

from __future__ import annotations

import socket
from collections import Counter

import pytest

from ospreybridge.access.established import EstablishedCall
from ospreybridge.access.releases import MAX_BACKLOG_BYTES, MAX_REFUSED_REPORTS
from ospreybridge.net import tcp
from ospreybridge.net.loop import EventLoop
from ospreybridge.signalling import causes, jsonl
from ospreybridge.signalling.jsonl import Message
from ospreybridge.standins.platform import CallerStandIn
from tests.platform_rig import Rig, set_up_message
from tests.test_access_sockets import World, world

__all__ = ["world"]  # a fixture
OFFICE = 11
TOLD_WITHIN_MS = 1_050.0  # a release must be passed on within 1 s; each time limit grows by 50 ms
UNKNOWN_OFFICE = ";at:s-0bad0bad"


class NarrowRig(Rig):
    """A rig whose connections take a limited number of octets in 10 ms; more than a limit ends them."""

    OCTETS_PER_STEP = 20_000
    STEP_MS = 10.0
    MAX_UNSENT = 1 << 18

    def send(self, connection_id: int, data: bytes) -> None:
        super().send(connection_id, data)
        self.backlog[connection_id] = self.backlog.get(connection_id, 0) + len(data)
        assert self.backlog[connection_id] <= self.MAX_UNSENT, "closed: the peer does not read"

    def advance(self, ms: float, connect: bool = True) -> None:
        end = self.now + ms
        while self.now < end:
            super().advance(min(self.STEP_MS, end - self.now), connect)
            for connection_id in self.backlog:
                self.backlog[connection_id] = max(0, self.backlog[connection_id] - self.OCTETS_PER_STEP)


def told(rig: Rig, connection_id: int) -> Counter[str]:
    """How often each call was released on a connection."""
    return Counter(
        message.uid
        for where, message in rig.sent_messages
        if where == connection_id and message.kind == jsonl.STOP
    )


def establish_many(rig: Rig, client: int, count: int) -> list[str]:
    uids = [rig.new_uid() for _ in range(count)]
    for uid in uids:
        rig.server.established.add(EstablishedCall(uid, OFFICE, client, rig.now))
    return uids


def test_reports_of_unknown_offices_are_answered_to_their_sender_only() -> None:
    """Guards against bad clients' reports that fill the connections of sound callers (case 6)."""
    rig = NarrowRig()
    sound = rig.connect_client()
    rig.establish(sound)
    reported = set()
    for _ in range(30):
        bad = rig.connect_client()
        uids = [rig.launch(bad, words=UNKNOWN_OFFICE) for _ in range(300)]
        assert told(rig, bad) == Counter(uids)
        reported.update(uids)
    rig.advance(9_500.0)
    assert not reported & set(told(rig, sound))
    assert not rig.server.established.refused_reports.unconfirmed


def test_reports_of_unknown_offices_by_clients_that_left_are_passed_on_within_a_limit() -> None:
    """Guards against a flood on sound connections when the bad clients close theirs."""
    rig = NarrowRig()
    sound = rig.connect_client()
    rig.establish(sound)
    for _ in range(20):
        bad = rig.connect_client()
        for _ in range(300):
            rig.launch(bad, words=UNKNOWN_OFFICE)
        rig.server.client_disconnected(rig.now, bad)
    uid, connection = rig.establish(sound)
    rig.office_sends(connection, "stop", uid, causes.NORMAL_CLEARING)
    assert told(rig, sound)[uid] == 1  # at once
    rig.advance(9_500.0)
    reports = told(rig, sound)
    assert 0 < sum(reports.values()) - reports[uid] <= MAX_REFUSED_REPORTS


def test_release_of_a_reported_call_is_sent_elsewhere_when_its_connection_ends() -> None:
    """Guards against a caller that never hears the end of a call that it reported."""
    rig = Rig()
    first, second = rig.connect_client(), rig.connect_client()
    rig.establish(second)
    uid = rig.launch(first, words=UNKNOWN_OFFICE)
    rig.server.client_disconnected(rig.now, first)
    rig.advance(TOLD_WITHIN_MS)
    assert told(rig, second)[uid] == 1
    rig.client_sends(second, Message(jsonl.STOPPED, uid))
    assert not rig.server.established.refused_reports.unconfirmed


@pytest.mark.parametrize("count", [5_000, 15_000])
def test_many_calls_lost_at_once_are_all_told_in_time_without_ending_a_connection(count: int) -> None:
    """Guards against the connections of sound callers closed when an office with many calls dies."""
    rig = NarrowRig()
    clients = [rig.connect_client() for _ in range(2)]
    for client in clients:
        rig.establish(client)
    rig.advance(100.0)
    uids = establish_many(rig, clients[0], count)
    rig.server._end_office_calls(rig.now, OFFICE, "lost")
    assert 0 < rig.backlog[clients[0]] <= MAX_BACKLOG_BYTES + 200
    rig.advance(TOLD_WITHIN_MS)
    heard = told(rig, clients[0]) + told(rig, clients[1])
    assert not [uid for uid in uids if uid not in heard]


def test_many_releases_towards_an_office_do_not_end_its_connection() -> None:
    """Guards against each new connection to an office closed under the releases that wait for it."""
    rig = NarrowRig()
    client = rig.connect_client()
    rig.establish(client)
    rig.advance(100.0)
    for connection_id in list(rig.server.pools[OFFICE].connections):
        rig.break_office_connection(connection_id)
    uids = establish_many(rig, client, 10_000)
    for uid in uids:
        rig.client_sends(client, Message(jsonl.STOP, uid, {}, causes.NORMAL_CLEARING))
        rig.backlog[client] = 0
    rig.advance(2_000.0)
    to_office = [m.uid for where, m in rig.sent_messages if m.kind == jsonl.STOP and where != client]
    assert not set(uids) - set(to_office)


def test_sound_caller_keeps_its_connection_while_bad_clients_report_calls(world: World) -> None:
    """Guards, on sockets, against sound callers' connections closed under bad clients' reports (case 6)."""
    front = world.start_server()
    sound = CallerStandIn(world.loop, front.port)
    uids = [world.set_up(sound)]
    world.until(lambda: sound.kinds(uids[0]) == ["running"])
    world.loop.on_task_error = None
    bad_clients = [CallerStandIn(world.loop, front.port) for _ in range(30)]
    for number, bad in enumerate(bad_clients):
        bad.stream.write(b"".join(unknown_report(number, index) for index in range(300)))
    for _ in range(6):  # the releases that are not confirmed fall due 250 ms after the first
        uids.append(world.set_up(sound))
        resume_at = world.loop.now + 100.0
        world.until(lambda: world.loop.now >= resume_at)  # noqa: B023
    world.until(lambda: all(sound.kinds(uid) == ["running"] for uid in uids))
    world.until(lambda: all(len(bad.answers) == 300 for bad in bad_clients))
    assert not sound.closed and set(sound.answers) == set(uids)


def unknown_report(number: int, index: int) -> bytes:
    """A set-up for a call that is said to stand at an office which no list has."""
    return jsonl.encode(set_up_message(f"bad{number:05x}{index:08x}", words=UNKNOWN_OFFICE))


def stream_with_peer(max_unsent_bytes: int, buffer_bytes: int) -> tuple[tcp.Stream, socket.socket]:
    """A stream whose socket buffers have about this size, and the far end, which nobody reads yet."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        near = socket.create_connection(listener.getsockname())
        far, _ = listener.accept()
    near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes)
    return tcp.Stream(EventLoop(), near, max_unsent_bytes), far


def test_much_written_at_once_does_not_close_a_connection_that_its_socket_takes() -> None:
    """Guards against a peer judged by what was queued before the socket got any of it (case 6)."""
    stream, far = stream_with_peer(1 << 16, 1 << 20)
    with far:
        for _ in range(200):
            stream.write(b"x" * 1_000)
        assert not stream.closed
        stream.flush()
        received = bytearray()
        while len(received) < 200_000:
            received += far.recv(1 << 16)
            stream.loop.run_once(0.0)
        assert received == b"x" * 200_000
    stream.loop.close()


def test_connection_that_is_not_read_is_still_closed() -> None:
    """Guards against memory that a peer uses up which takes nothing."""
    stream, far = stream_with_peer(1 << 16, 1 << 14)
    with far:
        for _ in range(1_000):
            stream.write(b"x" * 1_000)
        assert stream.closed and not stream.unsent
    stream.loop.close()
