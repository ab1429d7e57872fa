"""A new process at the address of one that has gone must not be taken for the old one."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from ospreybridge.core.callserver import CallServer
from ospreybridge.fronts.m3ua import Channel
from ospreybridge.signalling import causes, frames, jsonl
from ospreybridge.signalling.jsonl import Message
from tests.fleet import Fleet, fleet
from tests.platform_rig import Rig, record

OLD, NEW = 11, 21  # offices of exchange 1
PORT = 4_000 + OLD
TOLD_WITHIN_MS = 1_050.0  # a release must be passed on within 1 s; each time limit grows by 50 ms


def replace_office(rig: Rig, number: int, told_gone: str, kind: int = frames.CHANGES) -> None:
    """The list tells that the new office has the old one's address; it may not tell of the old one's end."""
    new = record(NEW, 1, port=PORT, started=int(rig.now))
    gone = record(OLD, 1, frames.REMOVED)
    changes = {"never": (new,), "before": (gone, new), "after": (new, gone)}
    whole = (record(10, 0), new, record(12, 2))
    rig.apply_changes(number, *(whole if kind == frames.FULL_LIST else changes[told_gone]), kind=kind)


def connections_to_old_address(rig: Rig) -> dict[int, int]:
    """The office that each open connection or dial to the address is taken to lead to, by connection."""
    return {number: pool.office_id for number, pool in rig.server.pool_by_connection.items()}


def sent_to(rig: Rig, connections: set[int], kind: str) -> list[str]:
    return [m.uid for where, m in rig.sent_messages if where in connections and m.kind == kind]


@pytest.mark.parametrize("told_gone", ["never", "before", "after"])
def test_set_ups_do_not_go_to_a_process_that_took_the_address_of_their_office(told_gone: str) -> None:
    """Guards against work sent to a new office under the name of the one that had its address."""
    rig = Rig()
    client = rig.connect_client()
    old_connections = set(rig.server.pools[OLD].connections)
    replace_office(rig, 2, told_gone)
    rig.advance(100.0)
    rig.sent_messages.clear()
    for _ in range(6):
        rig.launch(client, 1)
        rig.accept_dials()
        rig.advance(50.0)
    taken_for_old = {number for number, office in connections_to_old_address(rig).items() if office == OLD}
    assert not taken_for_old and not sent_to(rig, old_connections, jsonl.LAUNCH)
    assert OLD not in rig.server.pools


@pytest.mark.parametrize("told_gone", ["never", "before", "after"])
def test_calls_of_an_office_whose_address_was_taken_are_told_to_be_over(told_gone: str) -> None:
    """Guards against calls that stand for ever, as a process answers at the address of their office."""
    rig = Rig()
    client = rig.connect_client()
    uid, _ = rig.establish(client)
    replace_office(rig, 2, told_gone)
    rig.advance(TOLD_WITHIN_MS)
    assert [m.reason for m in rig.messages_of(uid, client, jsonl.STOP)][:1] == [causes.TEMPORARY_FAILURE]
    assert uid not in rig.server.established


@pytest.mark.parametrize("told_gone", ["never", "before", "after"])
@pytest.mark.parametrize("with_call", [False, True])
def test_dial_that_reaches_the_process_that_took_the_address_carries_nothing(
    told_gone: str, with_call: bool
) -> None:
    """Guards against a set-up that waits for a connection and gets one to another office."""
    rig = Rig()
    client = rig.connect_client()
    if with_call:  # the pool of the old office stays until the end of the call is told
        rig.establish(client)
    for connection_id in list(rig.server.pools[OLD].connections):
        rig.break_office_connection(connection_id)
    uid = rig.launch(client)  # waits for the dial
    dials = {number for number, address in rig.open_dials.items() if address[1] == PORT}
    assert dials and not rig.messages_of(uid, kind=jsonl.LAUNCH)
    replace_office(rig, 2, told_gone)
    rig.accept_dials()
    rig.advance(100.0)
    assert not sent_to(rig, dials, jsonl.LAUNCH) and not dials & set(rig.server.pool_by_connection)


@pytest.mark.parametrize("told_gone", ["never", "before"])
def test_releases_do_not_go_to_the_process_that_took_the_address(told_gone: str) -> None:
    """Guards against a release sent to an office that never had the call, and held back from nobody else."""
    rig = Rig()
    client = rig.connect_client()
    uid, _ = rig.establish(client)
    for connection_id in list(rig.server.pools[OLD].connections):
        rig.break_office_connection(connection_id)
    rig.client_sends(client, Message(jsonl.STOP, uid, {}, causes.NORMAL_CLEARING))
    replace_office(rig, 2, told_gone)
    rig.advance(3_000.0)
    assert NEW in rig.server.pools and OLD not in rig.server.pools
    assert not sent_to(rig, set(rig.server.pools[NEW].connections), jsonl.STOP)


def test_whole_list_that_names_another_office_at_the_address_replaces_it() -> None:
    rig = Rig()
    client = rig.connect_client()
    uid, _ = rig.establish(client)
    replace_office(rig, 2, "", frames.FULL_LIST)
    rig.advance(100.0)
    assert OLD not in rig.server.pools and uid not in rig.server.established


def test_office_that_moved_to_another_address_keeps_its_name() -> None:
    """Guards against an office taken for gone because another one has its former address."""
    rig = Rig()
    client = rig.connect_client()
    moved, new = record(OLD, 1, port=5_011), record(NEW, 1, port=PORT)
    rig.apply_changes(2, new, moved)
    rig.advance(100.0)
    assert {OLD, NEW} <= set(rig.server.pools)
    for _ in range(4):
        rig.launch(client)
        rig.accept_dials()
    assert len([m for _, m in rig.sent_messages if m.kind == jsonl.LAUNCH]) == 4
    rig.apply_changes(3, record(OLD, 1, port=6_011))
    assert rig.server.office_list.by_id[OLD].address[1] == 6_011


def test_office_whose_address_was_taken_comes_back_at_another() -> None:
    rig = Rig()
    replace_office(rig, 2, "never")
    rig.advance(100.0)
    assert OLD not in rig.server.pools
    rig.apply_changes(3, record(OLD, 1, port=5_011))
    rig.advance(100.0)
    assert OLD in rig.server.pools


def vanish(f: Fleet, number: int) -> None:
    """An exchange vanishes: it says nothing more, its connections stay open, and its port is free again."""
    front = f.fronts[number]
    front.call_server = CallServer(front.settings, type(f.loop.timers)())
    front.stop_listening()
    for channel in list(front.channels.values()):
        f.loop.unregister(channel.stream.fd)
        channel.stream.closed = True  # its timers send nothing
        front.channels.pop(id(channel.association))
        VANISHED.append(channel)  # keeps the socket open


VANISHED: list[Channel] = []


@pytest.mark.parametrize(("over_tls", "renewed"), [(False, False), (True, False), (True, True)])
@pytest.mark.parametrize("origin", [1, 3])
def test_new_process_of_an_exchange_is_not_taken_for_the_one_that_vanished(
    tmp_path: Path, over_tls: bool, origin: int, renewed: bool
) -> None:
    """Guards against calls of a vanished exchange kept for the process that came up at its address.

    Exchange 1 dials 2, which dials 3. `renewed`: exchange 1 tries to move its link to a new association.
    """
    with fleet(tmp_path, tls_options="" if over_tls else None) as f:
        f.call(origin, 2, 0)
        f.run_until(lambda: f.tally["in time"] == 1)
        old_link = f.fronts[origin].links[2]
        vanish(f, 2)
        f.start(2)
        if renewed:
            f.loop.spawn(f.fronts[1]._move_link(f.call_servers[1].peers[2]))
        f.run_until(lambda: f.tally["cut"] == 1)
        f.run_until(lambda: 2 in f.fronts[origin].links and f.fronts[origin].links[2] is not old_link)
        f.run_until(lambda: f.call_servers[origin].groups[2].free == f.group)
        assert not f.call_servers[origin].calls and not f.call_servers[2].calls
        assert not f.fronts[1].counts["links moved over"]
    VANISHED.clear()


def test_exchange_that_answers_under_another_identifier_is_not_taken_for_the_one_dialled(
    tmp_path: Path,
) -> None:
    """Guards against set-ups that go to another exchange, which has come up at a peer's address."""
    with fleet(tmp_path) as f:
        f.kill(2)
        f.run_until(lambda: 2 not in f.fronts[1].links)
        f.ports[2] = f.ports[3]  # the address now leads to exchange 3
        peers = f.fronts[1].settings.peers
        peer = next(peer for peer in peers if peer.point_code == 2)
        moved = replace(peer, dial_address=("127.0.0.1", f.ports[3]))
        f.loop.spawn(f.fronts[1]._keep_connected(moved))
        f.loop.run_until(lambda: False, 500.0)
        assert 2 not in f.fronts[1].links and 3 in f.fronts[1].links
        f.call(1, 3, 0)
        f.run_until(lambda: f.tally["in time"] == 1)
