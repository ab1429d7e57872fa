"""The checker can fail: each rule is broken once by hand-made frames, and a clean run breaks none."""

from __future__ import annotations

from ospreybridge.lab import tap
from ospreybridge.lab.checker import Checker, Facts, Verdict
from ospreybridge.lab.harness import ACM, iam, rel
from ospreybridge.lab.tap import Record
from ospreybridge.signalling import causes, isup, m3ua
from ospreybridge.signalling.isup import IsupMessage

CALLERS, OFFICE, LIST = 2_001, 1_002, 16_000
FACTS = Facts(
    exchanges=frozenset({1, 2, 3}),
    offices={1_001: 1, 1_002: 2, 1_003: 3},
    callers=frozenset({CALLERS}),
    lists=frozenset({LIST}),
    deadline=9_000,
    answer_grace=20,
    drain_grace=250,
    release=200,
    overload_factor=2.5,
    overload_for=1_500,
    cold_share=0.3,
    warm_after=10_000,
    setup=50,
)


class Story:
    def __init__(self) -> None:
        self.records: list[Record] = []

    def say(self, at: float, source: int, target: int, message: IsupMessage) -> Story:
        data = m3ua.Data(source, target, 5, 2, 0, 0, isup.encode(message), 1)
        self.records.append(Record(at, tap.FRAME, source, target, m3ua.encode_data(data)))
        return self

    def tell(self, at: float, target: int, kind: tuple[int, int], code: int, info: str) -> Story:
        self.records.append(Record(at, tap.FRAME, LIST, target, m3ua.encode_ssnm(kind, 1, 0, code, info)))
        return self

    def judge(self) -> Verdict:
        return Checker(FACTS).check(sorted(self.records, key=lambda record: record.at))


def begun() -> Story:
    """A caller's call at exchange 1, sent on to exchange 2 on circuit 5."""
    story = Story().say(0, CALLERS, 1, iam(1, "370020001", "501", left=3_000))
    return story.say(5, 1, 2, iam(5, "370020001", "501", left=2_000))


def test_a_clean_call_breaks_nothing() -> None:
    story = (
        begun()
        .say(50, 2, 1, IsupMessage(5, isup.ACM, ACM))
        .say(55, 1, CALLERS, IsupMessage(1, isup.ACM, ACM))
    )
    story.say(900, CALLERS, 1, rel(1, 16)).say(901, 1, CALLERS, IsupMessage(1, isup.RLC)).say(
        902, 1, 2, rel(5, 16)
    )
    assert story.say(910, 2, 1, IsupMessage(5, isup.RLC)).judge().broken == []


def test_rule_1_no_answer_a_late_one_two_of_them_and_something_after() -> None:
    never = begun().say(9_000, CALLERS, 1, iam(2, "370020001", "502"))
    assert never.judge().rules[1] == 2  # neither exchange answered
    late = begun().say(3_200, 1, CALLERS, IsupMessage(1, isup.ACM, ACM))
    assert sorted(text.split(": ", 1)[1] for text in late.judge().broken) == [
        "exchange 1: 501 155 ms late",
        "exchange 2 never answered the call of 501",
    ]
    twice = (
        begun()
        .say(50, 1, CALLERS, IsupMessage(1, isup.ACM, ACM))
        .say(60, 1, CALLERS, IsupMessage(1, isup.ACM, ACM))
    )
    assert twice.judge().rules[1] == 1
    after = begun().say(50, 1, CALLERS, rel(1, 34)).say(70, 1, CALLERS, IsupMessage(1, isup.ACM, ACM))
    assert after.judge().rules[1] == 1
    goes_on = begun().say(50, 1, 2, rel(5, 16)).say(60, 1, CALLERS, rel(1, 34))
    goes_on.say(900, 1, 3, iam(6, "370020001", "501"))
    assert goes_on.judge().rules[1] == 1


def test_rule_2_two_attempts_and_the_loser_of_a_dual_seizure_is_none() -> None:
    assert begun().say(20, 1, 3, iam(7, "370020001", "501")).judge().rules[2] == 1
    crossed = Story().say(0, CALLERS, 1, iam(1, "370020001", "501", left=3_000))
    crossed.say(5, 1, 2, iam(4, "370020001", "501")).say(6, 2, 1, iam(4, "370010001", "601"))
    crossed.say(9, 1, 3, iam(7, "370020001", "501")).say(40, 1, CALLERS, IsupMessage(1, isup.ACM, ACM))
    assert crossed.judge().rules[2] == 0  # exchange 2 controls the even circuits


def test_rule_3_something_new_after_the_grace_and_old_news_that_comes_late() -> None:
    told = Story().tell(0, 1, m3ua.DRST, 2, "v=5 start=0 age=0")
    told.say(900, CALLERS, 1, iam(1, "370020001", "501", left=3_000)).say(
        905, 1, 2, iam(5, "370020001", "501")
    )
    assert told.judge().rules[3] == 1
    old = Story().tell(0, 1, m3ua.DAVA, 2, "v=6 start=0 age=0").tell(10, 1, m3ua.DRST, 2, "v=5 start=0 age=0")
    old.say(900, CALLERS, 1, iam(1, "370020001", "501", left=3_000)).say(
        905, 1, 2, iam(5, "370020001", "501")
    )
    assert old.judge().rules[3] == 0


def test_rule_4_a_cold_processor_gets_more_than_it_bears() -> None:
    def sent(gap: float) -> Story:
        story = Story().tell(0, 2, m3ua.DAVA, 2, "v=2 start=1 age=0")
        for n in range(100):
            story.say(100 + n * gap, 2, OFFICE, iam(1 + n, "370020001", f"7{n}"))
        return story

    assert sent(gap=15).judge().rules[4] >= 1
    assert sent(gap=70).judge().rules[4] == 0


def test_rule_5_sent_again_before_the_release_is_over() -> None:
    def again(after: float, cause: int) -> Verdict:
        story = begun().say(2_005, 1, 2, rel(5, cause))
        return story.say(2_005 + after, 1, 3, iam(7, "370020001", "501")).judge()

    assert again(100, causes.TIMER_EXPIRY).rules[5] == 1
    assert again(205, causes.TIMER_EXPIRY).rules[5] == 0


def test_frames_that_nobody_can_read_are_counted() -> None:
    story = Story()
    story.records.append(
        Record(0, tap.FRAME, 1, 2, m3ua.encode_data(m3ua.Data(1, 2, 5, 2, 0, 0, b"\1\0\xee", 1)))
    )
    assert story.judge().unreadable == 1
