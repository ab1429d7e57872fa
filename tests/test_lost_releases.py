"""Releases that an office sent on a connection of no use must reach their callers in the platform's time."""

from __future__ import annotations

import pytest

from ospreybridge.access.budget import SPARE_CONNECTIONS
from ospreybridge.access.pool import CLOSE_TIMEOUT_MS, IDLE_TIMEOUT_MS
from ospreybridge.signalling import causes, jsonl
from ospreybridge.signalling.jsonl import Message
from tests.platform_rig import Rig

OFFICE = 11
TOLD_WITHIN_MS = 1_050.0  # a release must be passed on within 1 s; each time limit grows by 50 ms
STEP_MS = 10.0
LOAD_INTERVAL_MS = 200.0  # an office with traffic is never silent for long


class ReleasingOffice:
    """The office's side of releases: each is sent on the set-up's connection and on the next that opens."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.useless: set[int] = set()  # open at both ends, but nothing sent on it by the office arrives
        self.unsent: list[str] = []  # releases that go out on the next connection that opens
        self.known = self.open_connections()
        self.next_load_at = rig.now

    def open_connections(self) -> set[int]:
        return set(self.rig.server.pools[OFFICE].connections)

    def release(self, uid: str, connection_id: int) -> None:
        """Sends a release on the connection of the set-up, or on another one if that is closed."""
        self.unsent.append(uid)
        if connection_id not in self.open_connections():
            connection_id = min(self.open_connections())
        self._send_release(uid, connection_id)

    def _send_release(self, uid: str, connection_id: int) -> None:
        if connection_id not in self.useless:
            self.rig.office_sends(connection_id, "stop", uid, causes.NORMAL_CLEARING)

    def pass_time(self, ms: float) -> None:
        end = self.rig.now + ms
        while self.rig.now < end:
            self.rig.advance(min(STEP_MS, end - self.rig.now))
            for connection_id in sorted(self.open_connections() - self.known):
                for uid in self.unsent:
                    self._send_release(uid, connection_id)
                self.unsent.clear()
            self.known = self.open_connections()
            if self.rig.now >= self.next_load_at:
                self.next_load_at = self.rig.now + LOAD_INTERVAL_MS
                for connection_id in self.open_connections() - self.useless:
                    self.rig.office_sends(connection_id, "usage", "", load="free:9;size:20")


class BusyMoment:
    """A call server with idle connections to the office after a burst; a call stands on one of them."""

    def __init__(self) -> None:
        self.rig = Rig()
        self.client = self.rig.connect_client()
        burst = [self.rig.launch(self.client) for _ in range(6)]
        self.rig.accept_dials()
        for uid in burst:
            self.rig.office_sends(self.rig.set_up_connection(uid), "running", uid, body="an answer")
        self.office = ReleasingOffice(self.rig)
        self.office.pass_time(100.0)
        self.uid, self.connection = self.rig.establish(self.client)
        self.office.pass_time(100.0)

    def set_up_on_same_connection(self, words: str = "", left: str = "1500") -> str:
        uid = self.rig.launch(self.client, words=words, left=left)
        assert self.rig.set_up_connection(uid) == self.connection  # the most recently used one
        return uid

    def assert_caller_told_in_time(self) -> None:
        self.office.pass_time(TOLD_WITHIN_MS)
        told = self.rig.messages_of(self.uid, self.client, jsonl.STOP)
        assert {message.reason for message in told} == {causes.NORMAL_CLEARING}


@pytest.mark.parametrize("released_after_ms", range(0, 2_000, 100))
def test_release_lost_on_a_connection_that_answers_no_more_is_told_in_time(released_after_ms: int) -> None:
    """Guards against releases told after 8 to 10 s: they wait at the office until a connection opens."""
    moment = BusyMoment()
    moment.set_up_on_same_connection()  # its answer stops short: nothing more arrives on the connection
    moment.office.useless.add(moment.connection)
    moment.office.pass_time(released_after_ms)
    moment.office.release(moment.uid, moment.connection)
    moment.assert_caller_told_in_time()


@pytest.mark.parametrize("released_after_ms", [0, 300, 600, 900, 1_500, 2_400])
@pytest.mark.parametrize("wait", ["cancelled", "long"])
def test_release_lost_on_a_connection_that_is_silent_while_it_owes_a_message_is_told_in_time(
    wait: str, released_after_ms: int
) -> None:
    """Guards against releases lost where no time-out of a set-up tells that its connection is of no use."""
    moment = BusyMoment()
    if wait == "cancelled":
        uid = moment.set_up_on_same_connection()
        moment.rig.client_sends(moment.client, Message(jsonl.STOP, uid, {}, causes.NORMAL_CLEARING))
    else:  # a transit call may wait for its whole deadline
        moment.set_up_on_same_connection(words=";transit:1", left="3000")
    moment.office.useless.add(moment.connection)
    moment.office.pass_time(released_after_ms)
    moment.office.release(moment.uid, moment.connection)
    moment.assert_caller_told_in_time()


def test_connection_that_carries_load_reports_is_not_replaced_while_a_set_up_is_unanswered() -> None:
    """A slow office is not a dead connection: it costs no further connections."""
    moment = BusyMoment()
    moment.set_up_on_same_connection(words=";transit:1", left="3000")
    before = moment.office.open_connections()
    moment.office.pass_time(2_500.0)
    assert moment.office.open_connections() == before


def test_release_that_crosses_the_close_of_an_idle_connection_is_told_in_time() -> None:
    """Guards against a release lost because the call server closed an idle connection at that moment."""
    moment = BusyMoment()
    moment.rig.offices_close_finished = False
    calls = {moment.rig.set_up_connection(uid): uid for uid in moment.rig.server.established}
    closing: set[int] = set()
    while not closing:
        moment.office.pass_time(STEP_MS)
        closing = calls.keys() & {*moment.rig.finished, *moment.rig.closed}
    moment.connection = closing.pop()
    moment.uid = calls[moment.connection]
    moment.office.unsent.append(moment.uid)  # no other connection opens
    moment.rig.office_sends(moment.connection, "stop", moment.uid, causes.NORMAL_CLEARING)
    moment.rig.close_finished()
    moment.assert_caller_told_in_time()


def test_idle_connections_closed_with_their_offices_help_are_not_replaced() -> None:
    """Guards against a connection opened for each idle one that is closed, which would never come to rest."""
    moment = BusyMoment()
    moment.office.pass_time(IDLE_TIMEOUT_MS + 500.0)
    before = moment.office.open_connections()
    moment.office.pass_time(2.0 * IDLE_TIMEOUT_MS)
    assert moment.office.open_connections() == before and len(before) == SPARE_CONNECTIONS


def test_idle_connection_that_its_office_does_not_close_is_closed_and_replaced() -> None:
    """Guards against connections kept for ever, and against releases lost when such a one is closed."""
    moment = BusyMoment()
    moment.rig.offices_close_finished = False
    while not moment.rig.finished:
        moment.office.pass_time(STEP_MS)
    connection = moment.rig.finished[0]
    moment.office.useless.add(connection)
    moment.office.release(moment.uid, connection)
    moment.office.pass_time(CLOSE_TIMEOUT_MS - 100.0)
    assert connection not in moment.rig.closed
    moment.assert_caller_told_in_time()
    assert connection in moment.rig.closed


@pytest.mark.parametrize("end", ["reset", "unreadable"])
def test_release_lost_with_a_connection_that_ended_is_told_in_time(end: str) -> None:
    """Guards against a release that is lost with its connection, while idle ones need no replacement."""
    moment = BusyMoment()
    moment.office.useless.add(moment.connection)
    moment.office.release(moment.uid, moment.connection)
    if end == "reset":
        moment.rig.break_office_connection(moment.connection)
    else:
        moment.rig.server.office_line(moment.rig.now, moment.connection, b'{"kind":"runn\xff')
    moment.assert_caller_told_in_time()
