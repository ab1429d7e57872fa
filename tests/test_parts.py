"""Unit tests of the exchange list, outcomes, timers, circuit ranges, the association and the event loop."""

from __future__ import annotations

import gc
import socket
import weakref
from dataclasses import dataclass, field

import pytest

from ospreybridge.core import outcomes
from ospreybridge.core.association import MAX_CONSECUTIVE_ERRORS, AspState, Association
from ospreybridge.core.exchange_list import ExchangeList, format_info
from ospreybridge.core.lateness import LatenessTracker
from ospreybridge.core.timers import TimerQueue
from ospreybridge.interface import ListForm, Members, Note, Readiness, Result
from ospreybridge.net.loop import READ, EventLoop, Task
from ospreybridge.settings.server import Peer, parse_cic_ranges
from ospreybridge.signalling import causes, m3ua


def exchange_list() -> ExchangeList:
    return ExchangeList({1: (1, 0), 2: (2, 0), 3: (3, 1)})


def test_the_list_ignores_old_repeated_and_unknown_entries() -> None:
    known = exchange_list()
    first = known.update(100.0, m3ua.DAVA, 2, format_info(5, 0, 0))
    assert first is not None and first.form is ListForm.DELTA and first.entries[0].exchange == 2
    assert known.update(110.0, m3ua.DAVA, 2, format_info(5, 0, 0)) is None
    assert known.update(120.0, m3ua.DRST, 2, format_info(4, 0, 0)) is None
    assert known.update(130.0, m3ua.DAVA, 9, format_info(6, 0, 0)) is None and known.unknown_count == 1
    assert not known.is_barred(1_000.0, 2, 250.0)


def test_a_start_reported_again_is_the_same_start() -> None:
    known = exchange_list()
    first = known.update(10_000.0, m3ua.DAVA, 2, format_info(5, 1, 400))
    assert first is not None and first.entries[0].started_at == 9_600.0
    again = known.update(12_000.0, m3ua.DAVA, 2, format_info(6, 1, 2_900))
    assert again is None or again.entries[0].started_at == 9_600.0
    other = known.update(13_000.0, m3ua.DAVA, 2, format_info(7, 2, 100))
    assert other is not None and other.entries[0].started_at == 12_900.0


def test_a_whole_list_removes_exchanges_that_are_not_in_it() -> None:
    known = exchange_list()
    known.update(0.0, m3ua.DAVA, 3, format_info(1, 0, 0))
    assert known.update(10.0, m3ua.DAVA, 1, format_info(8, 0, 0, list_size=2)) is None
    whole = known.update(11.0, m3ua.DRST, 2, format_info(8, 0, 0, list_size=2))
    assert isinstance(whole, Members) and whole.form is ListForm.FULL
    assert {entry.office: entry.readiness for entry in whole.entries} == {
        1: Readiness.READY,
        2: Readiness.DRAINING,
    }
    assert (
        known.is_barred(300.0, 2, 250.0)
        and known.is_barred(300.0, 3, 250.0)
        and not known.is_barred(100.0, 2, 250.0)
    )
    assert known.update(20.0, m3ua.DAVA, 3, "of=3 garbage v=x") is None
    # A superscript 2 passes str.isdigit but not int().
    assert known.update(30.0, m3ua.DAVA, 3, "v=\u00b2 start=\u00b2") is None


@pytest.mark.parametrize(
    ("cause", "source", "direct", "wait", "expected"),
    [
        (causes.NO_CIRCUIT, 7, False, 0.0, (Result.FULL, Note.TURNED_BACK, 0.0)),
        (causes.NO_CIRCUIT, 2, True, 0.0, (Result.FULL, Note.NO_CIRCUIT, 0.0)),
        (causes.CONGESTION, 7, False, 300.0, (Result.FULL, Note.PROCESSOR_FULL, 300.0)),
        (causes.CONGESTION, 2, False, 0.0, (Result.FULL, Note.TURNED_BACK, 1.0)),
        (causes.DESTINATION_OUT_OF_ORDER, 7, False, 0.0, (Result.FULL, Note.TURNED_BACK, 0.0)),
        (causes.DESTINATION_OUT_OF_ORDER, 2, True, 0.0, (Result.CONNECT_FAILED, Note.NONE, 0.0)),
        (causes.USER_BUSY, 2, True, 0.0, (Result.ERROR, Note.LINES_BUSY, 0.0)),
        (causes.TEMPORARY_FAILURE, 2, True, 0.0, (Result.RESET, Note.NONE, 0.0)),
        (99, 2, True, 0.0, (Result.RESET, Note.NONE, 0.0)),
    ],
)
def test_outcome_of_a_release(
    cause: int, source: int, direct: bool, wait: float, expected: tuple[Result, Note, float]
) -> None:
    assert outcomes.outcome_of_release(cause, source, 7, direct, wait) == expected


def test_timers_run_in_order_once_and_not_when_cancelled() -> None:
    timers, ran = TimerQueue(), []
    timers.schedule(20.0, lambda now: ran.append("b"))
    timers.schedule(10.0, lambda now: ran.append("a"))
    timers.schedule(20.0, lambda now: ran.append("c"))
    timers.schedule(15.0, lambda now: ran.append("never")).cancel()
    assert timers.next_due() == 10.0
    timers.run_due(20.0)
    timers.run_due(30.0)
    assert ran == ["a", "b", "c"] and timers.next_due() is None


def test_circuit_ranges_leave_out_slot_0() -> None:
    assert parse_cic_ranges(["1-3", "31-34"]) == (1, 2, 3, 31, 33, 34)
    for wrong in ("0-3", "5-4", "x", "4096"):
        with pytest.raises(ValueError, match="FIRST-LAST"):
            parse_cic_ranges([wrong])


@dataclass
class RecordingOwner:
    """An owner that records the calls of its association."""

    events: list[str] = field(default_factory=list)

    def association_active(self, association: Association) -> None:
        self.events.append("active")

    def association_inactive(self, association: Association, reason: str) -> None:
        self.events.append("inactive")

    def data_received(self, association: Association, data: m3ua.Data) -> None:
        self.events.append("data")

    def message_received(self, association: Association, message: m3ua.Message) -> None:
        self.events.append(message.name)

    def close_association(self, association: Association, reason: str) -> None:
        self.events.append("end")

    def unknown_identifier(self, association: Association, identifier: int) -> None:
        self.events.append(f"unknown identifier {identifier}")

    def may_take_over(self, association: Association) -> bool:
        return "active" in self.events


class Pair:
    """The dialling and the dialled association, connected by hand; frames can be held back."""

    def __init__(self) -> None:
        self.near, self.far = RecordingOwner(), RecordingOwner()
        self.wire: list[tuple[str, bytes]] = []
        a, b = Peer("a", "exchange", 1, 9), Peer("b", "exchange", 2, 9, dial_address=("h", 1))
        self.client = Association(self.near, lambda f: self.wire.append(("far", f)), 1, 2, {}, b)
        self.server = Association(self.far, lambda f: self.wire.append(("near", f)), 2, 2, {1: a})

    def run(self) -> list[str]:
        names = []
        while self.wire:
            to, frame = self.wire.pop(0)
            names.append(m3ua.NAMES[frame[2], frame[3]])
            (self.server if to == "far" else self.client).receive(frame)
        return names


def test_an_association_comes_up_carries_data_and_is_shut_down() -> None:
    pair = Pair()
    pair.client.open()
    assert pair.run() == ["ASPUP", "ASPUP ACK", "NTFY", "ASPAC", "ASPAC ACK", "NTFY"]
    assert [pair.client.state, pair.server.state] == [AspState.ACTIVE, AspState.ACTIVE]
    pair.client.send_data(5, 1, b"\1\0\x10\0")
    pair.server.send_data(5, 1, b"\1\0\x10\0")
    beats: list[bool] = []
    pair.client.send_heartbeat(beats.append)
    pair.run()
    assert pair.near.events == pair.far.events == ["active", "data"] and beats == [True]
    pair.client.shut_down()
    pair.run()
    assert pair.far.events[-1] == "inactive"


def test_data_before_active_is_an_error_and_too_many_errors_end_the_association() -> None:
    pair = Pair()
    early = m3ua.encode_data(m3ua.Data(1, 2, 5, 2, 0, 0, b"\1\0\x10\0", 9))
    for _ in range(MAX_CONSECUTIVE_ERRORS):
        pair.server.receive(early)
    assert pair.far.events == ["end"]
    errors = [m3ua.decode(frame) for _, frame in pair.wire]
    assert all(
        isinstance(e, m3ua.Message) and e.integer(m3ua.ERROR_CODE) == m3ua.UNEXPECTED_MESSAGE for e in errors
    )
    pair.server.receive(m3ua.encode(m3ua.ASPAC, [(m3ua.ROUTING_CONTEXT, m3ua.uint32(9))]))
    assert pair.server.state is AspState.DOWN


def test_a_repeated_aspup_ends_the_active_association_first() -> None:
    pair = Pair()
    pair.client.open()
    pair.run()
    pair.server.receive(m3ua.encode(m3ua.ASPUP, [(m3ua.ASP_ID, m3ua.uint32(1))]))
    assert pair.far.events == ["active", "inactive"] and pair.server.state is AspState.INACTIVE
    beats: list[bool] = []
    pair.client.send_heartbeat(beats.append)
    pair.client.connection_closed("gone")
    assert beats == [False] and pair.near.events == ["active", "inactive"]


def test_lateness_is_recorded_and_decays() -> None:
    timers = TimerQueue()
    timers.schedule(100.0, lambda now: None)
    timers.run_due(380.0)
    assert timers.lateness.peak_ms == 280.0
    timers.schedule(5_378.0, lambda now: None)
    timers.run_due(5_380.0)
    assert timers.lateness.peak_ms == pytest.approx(140.0, rel=0.01)
    timers.schedule(0.0, lambda now: None)  # armed in the past, and too late to count as lateness
    timers.run_due(30_000.0)
    assert timers.lateness.peak_ms == pytest.approx(140.0, rel=0.01)


def test_the_margin_follows_lateness_within_bounds() -> None:
    lateness = LatenessTracker()
    assert lateness.margin(0.0, 9_000.0, 100.0) == 100.0
    assert lateness.margin(0.0, 300.0, 100.0) == 30.0
    lateness.record(1_000.0, 200.0)
    assert lateness.margin(1_000.0, 9_000.0, 100.0) == 400.0
    assert lateness.margin(6_000.0, 9_000.0, 100.0) == pytest.approx(200.0)
    assert lateness.margin(60_000.0, 9_000.0, 100.0) == 100.0


def test_occasional_errors_do_not_end_an_association_and_err_is_not_answered() -> None:
    pair = Pair()
    pair.client.open()
    pair.run()
    for _ in range(3 * MAX_CONSECUTIVE_ERRORS):
        pair.server.receive(m3ua.encode((9, 9)))
        pair.client.send_heartbeat(lambda answered: None)
        pair.run()
    assert "end" not in pair.far.events and pair.server.state is AspState.ACTIVE
    pair.server.receive(m3ua.encode(m3ua.ERR) + b"xx")
    assert not pair.wire


def test_an_exception_in_a_timer_is_reported_and_the_loop_goes_on() -> None:
    loop, failed, ran = EventLoop(), [], []
    loop.on_task_error = lambda name, error: failed.append((name, type(error)))

    def broken(now: float) -> None:
        raise ZeroDivisionError

    loop.timers.schedule(loop.now, broken)
    loop.timers.schedule(loop.now, lambda now: ran.append(now))
    assert loop.run_until(lambda: bool(ran), 2_000.0) and failed == [("timer", ZeroDivisionError)]
    loop.close()


def test_an_interrupted_task_frees_its_locals_without_garbage_collection() -> None:
    """A reference cycle would keep the last data read of each closed connection, and memory would grow."""

    class Held:
        pass

    loop = EventLoop()
    near, far = socket.socketpair()
    dropped: list[weakref.ref[Held]] = []

    def waits() -> Task:
        held = Held()
        dropped.append(weakref.ref(held))
        yield READ, near.fileno()
        raise AssertionError(held)

    gc.disable()
    try:
        loop.spawn(waits())
        loop.interrupt(near.fileno())
        assert dropped[0]() is None
    finally:
        gc.enable()
        loop.close()
        near.close()
        far.close()
