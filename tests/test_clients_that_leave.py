"""Clients that close their connection with much unread, and ids that come again afterwards."""

from __future__ import annotations

import copy
import socket
from pathlib import Path

import pytest

from ospreybridge.access.recent import MAX_REMEMBERED, REMEMBERED_MS, RecentCalls
from ospreybridge.signalling import causes, isup, jsonl
from ospreybridge.signalling.isup import IsupMessage
from ospreybridge.signalling.jsonl import Message
from ospreybridge.standins.platform import CallerStandIn
from tests.fleet import fleet
from tests.platform_rig import SETTINGS, Rig, set_up_message
from tests.test_access_sockets import World, world

__all__ = ["world"]  # a fixture


def set_up(uid: str, dest: int) -> bytes:
    return jsonl.encode(set_up_message(uid, dest, key=uid))


def leave(port: int, data: bytes) -> None:
    """Writes on a new connection and closes it at once."""
    with socket.create_connection(("127.0.0.1", port)) as sock:
        sock.sendall(data)


@pytest.mark.parametrize("set_ups", [1, 100, 1_000])
def test_set_ups_of_clients_that_closed_their_connection_are_not_sent_on(world: World, set_ups: int) -> None:
    """Guards against requests sent on although their client closed its connection with them unread."""
    front = world.start_server()
    for client in range(20):
        uids = [f"{client:04x}{number:012x}" for number in range(set_ups)]
        leave(front.port, b"".join(set_up(uid, 1 + index % 2) for index, uid in enumerate(uids)))
    server = front.server
    world.until(lambda: server.counts["set-ups of clients that left"] == 20 * set_ups and not server.clients)
    assert not [uid for office in world.offices for uid in office.launched]
    assert not server.pending and not server.calls_by_ref


def test_release_is_passed_on_although_its_client_closed_the_connection(world: World) -> None:
    """Guards against a call left at its office, as its caller released it and closed the connection."""
    front = world.start_server()
    caller = CallerStandIn(world.loop, front.port)
    uid = world.set_up(caller)
    world.until(lambda: caller.kinds(uid) == ["running"])
    leave(front.port, jsonl.encode(Message(jsonl.STOP, uid, {}, causes.NORMAL_CLEARING)))
    world.until(lambda: not world.offices[1].established)
    assert not front.server.established


def rig_with(semantics: str, cancel: bool) -> Rig:
    settings = copy.deepcopy(SETTINGS)
    settings["Classes"][0]["Semantics"] = semantics
    settings["Limits"]["Cancel"] = cancel
    return Rig(settings=settings)


@pytest.mark.parametrize("semantics", ["free", "single_shot"])
@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("answered", [True, False])
def test_id_that_comes_again_after_its_client_left_is_not_sent_twice(
    semantics: str, cancel: bool, answered: bool
) -> None:
    """Guards against a call that runs twice, as its id comes again after its client has left."""
    rig = rig_with(semantics, cancel)
    first, second = rig.connect_client(), rig.connect_client()
    uid = rig.launch(first)
    connection = rig.set_up_connection(uid)
    rig.server.client_disconnected(rig.now, first)
    if answered:
        rig.office_sends(connection, "running", uid, body="an answer")
    rig.advance(300.0)
    rig.launch(second, uid=uid)
    rig.advance(300.0)
    assert len(rig.messages_of(uid, kind=jsonl.LAUNCH)) == 1
    assert [message.reason for message in rig.messages_of(uid, second)] == [causes.TEMPORARY_FAILURE]


def test_id_of_an_ended_call_is_not_sent_again() -> None:
    """Guards against a call that runs twice, as its id comes again after the call has ended."""
    rig = Rig()
    client = rig.connect_client()
    uid, connection = rig.establish(client)
    rig.office_sends(connection, "stop", uid, causes.NORMAL_CLEARING)
    rig.client_sends(client, Message(jsonl.STOPPED, uid))
    rig.launch(client, uid=uid)
    assert len(rig.messages_of(uid, kind=jsonl.LAUNCH)) == 1
    assert rig.messages_of(uid, client)[-1].reason == causes.TEMPORARY_FAILURE


def test_call_that_has_ended_is_not_restored_when_it_is_reported() -> None:
    """Guards against an ended call that stands for ever, as its caller reports it on a new connection."""
    rig = Rig()
    client = rig.connect_client()
    uid, connection = rig.establish(client)
    rig.office_sends(connection, "stop", uid, causes.NORMAL_CLEARING)
    other = rig.connect_client()
    rig.launch(other, uid=uid, words=";at:s-0000000b")
    assert uid not in rig.server.established
    assert [message.reason for message in rig.messages_of(uid, other)] == [causes.TEMPORARY_FAILURE]


def test_id_of_a_call_that_never_ran_may_come_again() -> None:
    """Guards against a set-up refused for an id that no office ever saw."""
    rig = Rig()
    first, second = rig.connect_client(), rig.connect_client()
    for connection_id in list(rig.server.pools[11].connections):
        rig.break_office_connection(connection_id)
    uid = rig.launch(first)  # waits for a connection
    assert not rig.messages_of(uid, kind=jsonl.LAUNCH)
    rig.server.client_disconnected(rig.now, first)
    rig.advance(1_000.0)
    rig.launch(second, uid=uid)
    rig.accept_dials()
    assert len(rig.messages_of(uid, kind=jsonl.LAUNCH)) == 1


def test_remembered_ids_are_bounded_in_number_and_time() -> None:
    recent = RecentCalls()
    for number in range(MAX_REMEMBERED + 10):
        recent.add(float(number >= 20), f"{number:016x}")
    assert len(recent) == MAX_REMEMBERED and not recent.contains(1.0, f"{0:016x}")
    recent.expire(REMEMBERED_MS)
    assert len(recent) == MAX_REMEMBERED - 10
    assert not recent.contains(REMEMBERED_MS + 1.0, f"{MAX_REMEMBERED:016x}")
    recent.expire(REMEMBERED_MS + 1.0)
    assert not len(recent)


@pytest.mark.parametrize("over_tls", [False, True])
def test_set_ups_of_a_peer_that_closed_its_association_are_not_sent_on(
    tmp_path: Path, over_tls: bool
) -> None:
    """Guards against IAMs sent on although their exchange closed its connection with them unread."""
    with fleet(tmp_path, tls_options="" if over_tls else None) as f:
        callers = f.callers[1]
        set_ups = [0]
        f.offices[1].on_isup = lambda message: count_set_up(set_ups, message)  # type: ignore[method-assign]
        for serial in range(90):
            f.call(1, 1 + serial % 3, serial)
        assert callers.stream is not None and f.call_servers[1].last_ref == 0
        callers.stream.flush()
        callers.stop()
        f.run_until(lambda: 2_001 not in f.call_servers[1].links)
        f.loop.run_until(lambda: False, 200.0)
        assert set_ups == [0] and not any(f.call_servers[n].last_ref for n in (1, 2, 3))
        assert f.call_servers[1].counts["set-ups of peers that left"] >= 60
        callers.dial_enabled = True
        f.loop.spawn(callers._run())
        f.run_until(f.ready)  # the next link of this peer is served
        f.call(1, 2, 91)
        f.run_until(lambda: f.tally["in time"] == 1)


def count_set_up(set_ups: list[int], message: IsupMessage) -> None:
    set_ups[0] += message.type == isup.IAM


@pytest.mark.parametrize("over_tls", [False, True])
def test_release_of_a_peer_that_closed_its_association_counts(tmp_path: Path, over_tls: bool) -> None:
    """Guards against the cause of a release lost because its exchange closed the connection after it."""
    with fleet(tmp_path, tls_options="" if over_tls else None) as f:
        f.call(1, 2, 0)
        f.run_until(lambda: f.tally["in time"] == 1)
        f.hang_up_all()
        callers = f.callers[1]
        assert callers.stream is not None
        callers.stream.flush()
        callers.stop()
        f.run_until(lambda: 2_001 not in f.call_servers[1].links)
        assert f.call_servers[1].finals["cleared"] == 1 and not f.call_servers[1].finals["cut"]
