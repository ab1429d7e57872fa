"""Established calls: what both sides are told of their end."""

from __future__ import annotations

import pytest

from ospreybridge.access.releases import MAX_AGE_MS, MAX_UNCONFIRMED, OfficeReleases
from ospreybridge.signalling import causes, jsonl
from ospreybridge.signalling.jsonl import Message
from tests.platform_rig import Rig, record

OFFICE = 11


def office_told(rig: Rig, uid: str) -> list[int]:
    """The causes of the releases of a call that were sent on connections to the office."""
    to_office = rig.server.pools[OFFICE].connections
    return [
        message.reason
        for where, message in rig.sent_messages
        if message.uid == uid and message.kind == jsonl.STOP and where in to_office
    ]


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
