"""Hand-made frames violate each rule once and the checker must detect it; a normal call violates none."""

from __future__ import annotations

from ospreybridge.lab import tap
from ospreybridge.lab.checker import Checker, CheckerConfig, CheckResult
from ospreybridge.lab.harness import ACM_PARAMETERS, iam, rel
from ospreybridge.lab.tap import Record
from ospreybridge.signalling import causes, isup, m3ua
from ospreybridge.signalling.isup import IsupMessage

CALLERS, OFFICE, LIST = 2_001, 1_002, 16_000
CONFIG = CheckerConfig(
    exchanges=frozenset({1, 2, 3}),
    offices={1_001: 1, 1_002: 2, 1_003: 3},
    callers=frozenset({CALLERS}),
    list_services=frozenset({LIST}),
    deadline=9_000,
    answer_grace=20,
    drain_grace=250,
    release=200,
    overload_factor=2.5,
    overload_for=1_500,
    cold_share=0.3,
    warm_after=10_000,
    setup_time=50,
)


class Recording:
    """Builds the records of a tap: ISUP messages and updates of the exchange list."""

    def __init__(self) -> None:
        self.records: list[Record] = []

    def add_isup(self, at: float, source: int, target: int, message: IsupMessage) -> Recording:
        data = m3ua.Data(source, target, 5, 2, 0, 0, isup.encode(message), 1)
        self.records.append(Record(at, tap.FRAME, source, target, m3ua.encode_data(data)))
        return self

    def add_list_update(
        self, at: float, target: int, kind: tuple[int, int], code: int, info: str
    ) -> Recording:
        self.records.append(Record(at, tap.FRAME, LIST, target, m3ua.encode_ssnm(kind, 1, 0, code, info)))
        return self

    def check(self) -> CheckResult:
        return Checker(CONFIG).check(sorted(self.records, key=lambda record: record.at))


def call_with_attempt() -> Recording:
    """A call that exchange 1 receives from a caller and attempts towards exchange 2 on circuit 5."""
    recording = Recording().add_isup(0, CALLERS, 1, iam(1, "370020001", "501", left=3_000))
    return recording.add_isup(5, 1, 2, iam(5, "370020001", "501", left=2_000))


def test_a_normal_call_violates_no_rule() -> None:
    recording = (
        call_with_attempt()
        .add_isup(50, 2, 1, IsupMessage(5, isup.ACM, ACM_PARAMETERS))
        .add_isup(55, 1, CALLERS, IsupMessage(1, isup.ACM, ACM_PARAMETERS))
    )
    recording.add_isup(900, CALLERS, 1, rel(1, 16)).add_isup(
        901, 1, CALLERS, IsupMessage(1, isup.RLC)
    ).add_isup(902, 1, 2, rel(5, 16))
    assert recording.add_isup(910, 2, 1, IsupMessage(5, isup.RLC)).check().violations == []


def test_rule_1_missing_late_repeated_answers_and_attempts_after_the_final_one() -> None:
    unanswered = call_with_attempt().add_isup(9_000, CALLERS, 1, iam(2, "370020001", "502"))
    assert unanswered.check().violations_by_rule[1] == 2  # neither exchange answered
    late = call_with_attempt().add_isup(3_200, 1, CALLERS, IsupMessage(1, isup.ACM, ACM_PARAMETERS))
    assert sorted(text.split(": ", 1)[1] for text in late.check().violations) == [
        "exchange 1: 501 155 ms late",
        "exchange 2 never answered the call of 501",
    ]
    twice = (
        call_with_attempt()
        .add_isup(50, 1, CALLERS, IsupMessage(1, isup.ACM, ACM_PARAMETERS))
        .add_isup(60, 1, CALLERS, IsupMessage(1, isup.ACM, ACM_PARAMETERS))
    )
    assert twice.check().violations_by_rule[1] == 1
    answer_after_rel = (
        call_with_attempt()
        .add_isup(50, 1, CALLERS, rel(1, 34))
        .add_isup(70, 1, CALLERS, IsupMessage(1, isup.ACM, ACM_PARAMETERS))
    )
    assert answer_after_rel.check().violations_by_rule[1] == 1
    attempt_after_rel = (
        call_with_attempt().add_isup(50, 1, 2, rel(5, 16)).add_isup(60, 1, CALLERS, rel(1, 34))
    )
    attempt_after_rel.add_isup(900, 1, 3, iam(6, "370020001", "501"))
    assert attempt_after_rel.check().violations_by_rule[1] == 1


def test_rule_2_two_open_attempts_but_not_after_a_lost_dual_seizure() -> None:
    assert (
        call_with_attempt().add_isup(20, 1, 3, iam(7, "370020001", "501")).check().violations_by_rule[2] == 1
    )
    dual_seizure = Recording().add_isup(0, CALLERS, 1, iam(1, "370020001", "501", left=3_000))
    dual_seizure.add_isup(5, 1, 2, iam(4, "370020001", "501")).add_isup(6, 2, 1, iam(4, "370010001", "601"))
    dual_seizure.add_isup(9, 1, 3, iam(7, "370020001", "501")).add_isup(
        40, 1, CALLERS, IsupMessage(1, isup.ACM, ACM_PARAMETERS)
    )
    assert dual_seizure.check().violations_by_rule[2] == 0  # exchange 2 controls the even circuits


def test_rule_3_attempt_after_the_drain_grace_but_not_after_an_outdated_update() -> None:
    draining = Recording().add_list_update(0, 1, m3ua.DRST, 2, "v=5 start=0 age=0")
    draining.add_isup(900, CALLERS, 1, iam(1, "370020001", "501", left=3_000)).add_isup(
        905, 1, 2, iam(5, "370020001", "501")
    )
    assert draining.check().violations_by_rule[3] == 1
    outdated = (
        Recording()
        .add_list_update(0, 1, m3ua.DAVA, 2, "v=6 start=0 age=0")
        .add_list_update(10, 1, m3ua.DRST, 2, "v=5 start=0 age=0")
    )
    outdated.add_isup(900, CALLERS, 1, iam(1, "370020001", "501", left=3_000)).add_isup(
        905, 1, 2, iam(5, "370020001", "501")
    )
    assert outdated.check().violations_by_rule[3] == 0


def test_rule_4_more_setups_than_a_cold_processor_can_take() -> None:
    def setups_at_interval(interval: float) -> Recording:
        recording = Recording().add_list_update(0, 2, m3ua.DAVA, 2, "v=2 start=1 age=0")
        for n in range(100):
            recording.add_isup(100 + n * interval, 2, OFFICE, iam(1 + n, "370020001", f"7{n}"))
        return recording

    assert setups_at_interval(interval=15).check().violations_by_rule[4] >= 1
    assert setups_at_interval(interval=70).check().violations_by_rule[4] == 0


def test_rule_5_attempt_repeated_within_the_release_time() -> None:
    def repeated_after(after: float, cause: int) -> CheckResult:
        recording = call_with_attempt().add_isup(2_005, 1, 2, rel(5, cause))
        return recording.add_isup(2_005 + after, 1, 3, iam(7, "370020001", "501")).check()

    assert repeated_after(100, causes.TIMER_EXPIRY).violations_by_rule[5] == 1
    assert repeated_after(205, causes.TIMER_EXPIRY).violations_by_rule[5] == 0


def test_undecodable_frames_are_counted() -> None:
    recording = Recording()
    recording.records.append(
        Record(0, tap.FRAME, 1, 2, m3ua.encode_data(m3ua.Data(1, 2, 5, 2, 0, 0, b"\1\0\xee", 1)))
    )
    assert recording.check().unreadable == 1
