"""Established calls: which of them a new start of an office ends, and what both sides are told."""

from __future__ import annotations

import copy
from typing import Any

import pytest

from ospreybridge.access.established import MAX_UNKNOWN_CALLS, UNKNOWN_CALLS_WINDOW_MS, UNKNOWN_STARTS_MS
from ospreybridge.access.releases import MAX_AGE_MS, MAX_UNCONFIRMED, OfficeReleases
from ospreybridge.signalling import causes, jsonl
from ospreybridge.signalling.jsonl import Message
from tests.platform_rig import SETTINGS, Rig, member, record

OFFICE = 11


def listed_start(rig: Rig, number: int, started: float) -> None:
    rig.apply_changes(number, record(OFFICE, 1, started=int(started)))


def told(rig: Rig, uid: str, connection_id: int) -> list[int]:
    return [message.reason for message in rig.messages_of(uid, connection_id, jsonl.STOP)]


def office_told(rig: Rig, uid: str) -> list[int]:
    """The causes of the releases of a call that were sent on connections to the office."""
    to_office = rig.server.pools[OFFICE].connections
    return [
        message.reason
        for where, message in rig.sent_messages
        if message.uid == uid and message.kind == jsonl.STOP and where in to_office
    ]


@pytest.mark.parametrize("list_delay_ms", [0.0, 300.0, 2_400.0])
def test_new_start_in_the_list_ends_the_calls_of_the_earlier_process_only(list_delay_ms: float) -> None:
    """Guards against live calls cut because the list tells of a start late (review case 2)."""
    rig = Rig()
    client = rig.connect_client()
    old, _ = rig.establish(client)
    rig.advance(100.0)
    start = rig.now
    new, _ = rig.establish(client)
    rig.advance(list_delay_ms)
    listed_start(rig, 2, start)
    assert told(rig, old, client) == [causes.TEMPORARY_FAILURE] and not told(rig, new, client)
    assert old not in rig.server.established and new in rig.server.established
    listed_start(rig, 3, start)  # told again
    assert new in rig.server.established


def test_new_start_in_the_list_retires_the_connections_to_the_earlier_process_only() -> None:
    """Guards against set-ups sent to a process that is gone, and against connections given up needlessly."""
    rig = Rig()
    rig.advance(120.0)
    old = set(rig.server.pools[OFFICE].connections)
    start = rig.now
    client = rig.connect_client()
    for _ in range(3):  # more than there are connections
        rig.launch(client)
    rig.accept_dials()
    new = set(rig.server.pools[OFFICE].connections) - old
    listed_start(rig, 2, start)
    connections = rig.server.pools[OFFICE].connections
    assert new and all(connections[number].retired for number in old)
    assert not any(connections[number].retired for number in new)


def test_two_starts_told_at_once_end_the_calls_before_the_last_one() -> None:
    """Guards against calls of a process kept that the list never named."""
    rig = Rig()
    client = rig.connect_client()
    first, _ = rig.establish(client)
    rig.advance(100.0)
    second, _ = rig.establish(client)  # a process that the list passes over
    rig.advance(100.0)
    start = rig.now
    third, _ = rig.establish(client)
    listed_start(rig, 2, start)
    assert [uid for uid in (first, second, third) if uid in rig.server.established] == [third]


def test_call_told_to_be_lost_is_released_at_its_office_too() -> None:
    """Guards against a call that stands on at its office after its caller was told that it is over."""
    rig = Rig()
    client = rig.connect_client()
    uid, _ = rig.establish(client)
    rig.advance(100.0)
    listed_start(rig, 2, rig.now)
    assert told(rig, uid, client) == [causes.TEMPORARY_FAILURE]
    assert office_told(rig, uid) == [causes.TEMPORARY_FAILURE]


def test_answer_of_an_earlier_process_that_arrives_after_the_news_of_a_start_establishes_nothing() -> None:
    """Guards against a call that its caller keeps although the process that answered it is gone."""
    rig = Rig()
    client = rig.connect_client()
    uid = rig.launch(client)
    connection = rig.set_up_connection(uid)
    rig.advance(100.0)
    listed_start(rig, 2, rig.now)
    rig.office_sends(connection, "running", uid, body="an answer")
    assert not rig.messages_of(uid, client, jsonl.RUNNING) and uid not in rig.server.established
    assert office_told(rig, uid) == [causes.TEMPORARY_FAILURE]


def test_answer_for_a_caller_that_left_where_set_ups_are_not_cancelled_is_released_at_the_office() -> None:
    """Guards against an answer sent after the caller gave its set-up up, and a call that nobody holds."""
    settings = copy.deepcopy(SETTINGS)
    settings["Limits"]["Cancel"] = False
    rig = Rig(settings=settings)
    client = rig.connect_client()
    uid = rig.launch(client)
    connection = rig.set_up_connection(uid)
    rig.client_sends(client, Message(jsonl.STOP, uid, {}, causes.NORMAL_CLEARING))
    assert not office_told(rig, uid)
    rig.office_sends(connection, "running", uid, body="an answer")
    assert not rig.messages_of(uid, client, jsonl.RUNNING) and uid not in rig.server.established
    assert office_told(rig, uid) == [causes.NORMAL_CLEARING]
    assert not rig.server.calls_by_ref


def test_start_that_lies_ahead_by_a_clock_that_is_fast_ends_no_later_calls() -> None:
    """Guards against calls cut for as long as the office's clock is ahead."""
    rig = Rig()
    client = rig.connect_client()
    uid = rig.launch(client)
    listed_start(rig, 2, rig.now + 3_600_000.0)
    rig.office_sends(rig.set_up_connection(uid), "running", uid, body="an answer")
    assert uid in rig.server.established and not told(rig, uid, client)


def test_restored_call_ends_with_a_start_that_becomes_known_later() -> None:
    """It isn't known which process answered it; kept wrongly, it would never be released."""
    rig = Rig()
    client = rig.connect_client()
    uid = rig.launch(client, uid=rig.new_uid(), words=";at:s-0000000b")
    rig.advance(100.0)
    listed_start(rig, 2, rig.now - 50.0)
    assert told(rig, uid, client) == [causes.TEMPORARY_FAILURE]
    assert office_told(rig, uid) == [causes.TEMPORARY_FAILURE]


def known_start(started: float) -> dict[str, Any]:
    """The list of a configuration in which the office has started at some time."""
    members = [member(10, 0), member(OFFICE, 1, up_since_ms=int(started)), member(12, 2)]
    return {"pos": 1, "entries": [{"pos": 1, "hosts": {"complete": True, "members": members}}]}


@pytest.mark.parametrize("before_ms", [0.0, 700.0, 9_000.0])
def test_call_named_after_a_start_that_the_configuration_tells_of_is_released(before_ms: float) -> None:
    """Guards against a cut call that is never released: its office started anew meanwhile (case 10)."""
    rig = Rig(start=100_000.0, known=known_start(100_000.0 - before_ms))
    client = rig.connect_client()
    uid = rig.launch(client, words=";at:s-0000000b")
    assert told(rig, uid, client) == [causes.TEMPORARY_FAILURE]
    assert office_told(rig, uid) == [causes.TEMPORARY_FAILURE]
    assert uid not in rig.server.established


@pytest.mark.parametrize("late_ms", [0.0, 50_000.0])
def test_call_named_after_a_start_told_since_the_restart_is_released(late_ms: float) -> None:
    """Guards against a cut call that is never released: the list told of the start before it was named."""
    rig = Rig(start=100_000.0)
    client = rig.connect_client()
    rig.advance(100.0)
    listed_start(rig, 2, rig.now - late_ms)
    uid = rig.launch(client, words=";at:s-0000000b")
    assert told(rig, uid, client) == [causes.TEMPORARY_FAILURE]
    assert office_told(rig, uid) == [causes.TEMPORARY_FAILURE]


@pytest.mark.parametrize("started", [0.0, 100_000.0 - UNKNOWN_STARTS_MS])
def test_call_at_an_office_that_started_long_before_the_restart_is_kept(started: float) -> None:
    """Guards against live calls cut by a start that the process before this one knew of."""
    rig = Rig(start=100_000.0, known=known_start(started))
    client = rig.connect_client()
    uid = rig.launch(client, words=";at:s-0000000b")
    rig.advance(1_000.0)
    assert uid in rig.server.established and not told(rig, uid, client) and not office_told(rig, uid)


@pytest.mark.parametrize("reset", ["before", "after"])
def test_callers_release_reaches_the_office_through_resets_of_all_connections(reset: str) -> None:
    """Guards against a release that its caller hears confirmed and its office never gets (review case 3)."""
    rig = Rig()
    client = rig.connect_client()
    uid, _ = rig.establish(client)

    def reset_all() -> None:
        for connection_id in list(rig.server.pools[OFFICE].connections):
            rig.break_office_connection(connection_id)

    if reset == "before":
        reset_all()
    rig.client_sends(client, Message(jsonl.STOP, uid, {}, causes.NORMAL_CLEARING))
    assert len(rig.messages_of(uid, client, jsonl.STOPPED)) == 1
    if reset == "after":
        reset_all()
    for _ in range(20):  # two seconds in which each new connection is reset as well
        rig.advance(100.0)
        reset_all()
    rig.advance(1_100.0)
    assert office_told(rig, uid)[-1:] == [causes.NORMAL_CLEARING]


def test_callers_release_is_sent_again_on_each_new_connection_until_the_office_confirms_it() -> None:
    """Guards against a release lost on a connection of no use, and against releases repeated for ever."""
    rig = Rig()
    client = rig.connect_client()
    uid, _ = rig.establish(client)
    rig.client_sends(client, Message(jsonl.STOP, uid, {}, causes.NORMAL_CLEARING))
    rig.advance(1_000.0)  # the office says nothing: the connection counts as unresponsive
    assert len(rig.messages_of(uid, kind=jsonl.STOP)) >= 2
    rig.office_sends(rig.office_connection(OFFICE), "stopped", uid)
    count = len(rig.messages_of(uid, kind=jsonl.STOP))
    rig.break_office_connection(rig.office_connection(OFFICE))
    rig.advance(2_000.0)
    assert len(rig.messages_of(uid, kind=jsonl.STOP)) == count
    assert not rig.server.established.to_offices.unconfirmed


def test_callers_release_of_a_call_from_before_a_restart_reaches_its_office() -> None:
    """Guards against a call left at its office because the restarted call server was not told of it."""
    rig = Rig()
    client = rig.connect_client()
    uid = rig.new_uid()
    for connection_id in list(rig.server.pools[OFFICE].connections):
        rig.break_office_connection(connection_id)
    rig.client_sends(client, Message(jsonl.STOP, uid, {}, causes.NORMAL_CLEARING))
    rig.advance(200.0)
    assert len(rig.messages_of(uid, client, jsonl.STOPPED)) == 1
    assert office_told(rig, uid)[-1:] == [causes.NORMAL_CLEARING]
    rig.office_sends(rig.office_connection(OFFICE), "stopped", uid)
    assert not rig.server.established.to_offices.has_any(OFFICE)


def test_office_that_confirms_no_release_costs_two_connections_at_most() -> None:
    """Guards against connections opened one after the other, as `stopped` is optional."""
    rig = Rig()
    client = rig.connect_client()
    uid, _ = rig.establish(client)
    rig.advance(100.0)
    before = set(rig.server.pools[OFFICE].connections)
    rig.client_sends(client, Message(jsonl.STOP, uid, {}, causes.NORMAL_CLEARING))
    opened: set[int] = set()
    for _ in range(40):
        rig.advance(100.0)
        rig.server.pools[OFFICE].last_received = rig.now  # it is not silent: no test of liveness
        opened |= set(rig.server.pools[OFFICE].connections) - before
    assert len(opened) <= 2  # in place of the retired one, and after its close


def test_callers_releases_of_unknown_calls_are_bounded_in_number_and_time() -> None:
    """Guards against a client that makes the call server flood the offices."""
    rig = Rig()
    client = rig.connect_client()

    def release_unknown() -> bool:
        uid = rig.new_uid()
        rig.client_sends(client, Message(jsonl.STOP, uid, {}, causes.NORMAL_CLEARING))
        return bool(office_told(rig, uid))

    assert [release_unknown() for _ in range(MAX_UNKNOWN_CALLS + 20)].count(True) == MAX_UNKNOWN_CALLS
    late = Rig()
    late_client = late.connect_client()
    late.advance(UNKNOWN_CALLS_WINDOW_MS)
    uid = late.new_uid()
    late.client_sends(late_client, Message(jsonl.STOP, uid, {}, causes.NORMAL_CLEARING))
    assert not office_told(late, uid) and late.server.established.to_offices.given_up == 0


def test_unconfirmed_releases_are_bounded_in_age_and_number_and_counted() -> None:
    releases = OfficeReleases()
    for number in range(MAX_UNCONFIRMED + 5):
        releases.begin(float(number > 9), f"{number:016x}", causes.NORMAL_CLEARING, OFFICE)
    assert len(releases.unconfirmed) == MAX_UNCONFIRMED and releases.given_up == 5
    releases.expire(MAX_AGE_MS + 1.0)
    assert releases.given_up == 10 and releases.has_any(OFFICE)
    releases.expire(MAX_AGE_MS + 2.0)
    assert not releases.unconfirmed and not releases.has_any(OFFICE)


def test_releases_of_an_office_that_left_the_list_are_dropped() -> None:
    rig = Rig()
    client = rig.connect_client()
    uid, _ = rig.establish(client)
    rig.client_sends(client, Message(jsonl.STOP, uid, {}, causes.NORMAL_CLEARING))
    rig.apply_changes(2, record(OFFICE, 1, 2))
    rig.advance(200.0)
    assert OFFICE not in rig.server.pools and not rig.server.established.to_offices.unconfirmed


@pytest.mark.parametrize("end", ["refused", "caller left"])
def test_call_whose_answer_was_lost_with_its_connection_is_released_at_that_office(end: str) -> None:
    """Guards against a call left at an office whose connection was reset under the answer."""
    rig = Rig()
    client = rig.connect_client()
    uid = rig.launch(client, words=";transit:1" if end == "refused" else "")
    rig.break_office_connection(rig.set_up_connection(uid))
    if end == "caller left":
        assert not office_told(rig, uid)  # a further attempt may go there
        rig.client_sends(client, Message(jsonl.STOP, uid, {}, causes.NORMAL_CLEARING))
    rig.advance(200.0)
    assert office_told(rig, uid)[-1:] == [causes.NORMAL_CLEARING]
    assert uid not in rig.server.established and not rig.server.calls_by_ref
