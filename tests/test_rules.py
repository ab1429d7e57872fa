"""The five rules of WIRE-ospreybridge.md section 10, one by one and over random sequences of events."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ospreybridge import Controller
from ospreybridge import interface as i
from tests.helpers import CLASS, RULES, SETTINGS, Rig, only, sent_to


def test_time_out_leaves_time_for_the_last_answer() -> None:
    rig = Rig()
    send = only(rig.call(dest=1, lasts=3_000), i.Send)[0]
    assert send.timeout < 3_000
    late = rig.ends(1, 0, 1, i.Result.TIMEOUT)
    assert only(late, i.Send) == []


def test_release_is_awaited_after_each_doubtful_end() -> None:
    for result in (i.Result.TIMEOUT, i.Result.RESET, i.Result.CANCELLED):
        rig = Rig()
        rig.call(dest=1, lasts=8_000)
        assert sent_to(rig.ends(1, 0, 1, result)) == []
        rig.now += RULES.release - 1
        assert sent_to(rig.poll()) == []
        rig.now += 1_000
        assert sent_to(rig.poll()) == [1]


def test_no_second_attempt_while_one_is_out() -> None:
    rig = Rig()
    assert sent_to(rig.call(dest=1)) == [1]
    rig.now += 500
    assert sent_to(rig.circuits(1, 20)) == []


@pytest.mark.parametrize("state", [i.Readiness.DRAINING, i.Readiness.GONE])
def test_nothing_new_to_a_draining_or_gone_exchange(state: i.Readiness) -> None:
    rig = Rig()
    rig.groups(c1=0, c2=20, c3=5, c4=5)
    rig.say(i.Members(i.ListForm.DELTA, 2, (i.Entry(102, 2, readiness=state),)))
    assert sent_to(rig.call(ref=1, dest=2)) == []
    assert sent_to(rig.call(ref=2, dest=1)) in ([3], [4])
    assert sent_to(rig.call(ref=3, dest=2, transit=True)) == []


def test_what_a_full_list_leaves_out_is_gone() -> None:
    rig = Rig()
    rig.call(ref=1, dest=2)
    rig.say(i.Members(i.ListForm.FULL, 2, (i.Entry(101, 1),)))
    assert sent_to(rig.call(ref=2, dest=2)) == []
    answers = rig.ends(1, 0, 2, i.Result.RESET)
    assert sent_to(answers) == []


@pytest.mark.parametrize("count", [4, 60])
def test_a_cold_exchange_is_not_pushed_over_by_all_servers_together(count: int) -> None:
    """Each server's part shrinks with its own traffic, so the sum holds for any number of servers."""
    sends = 0
    for seed in range(count):
        rig = Rig(count=count, seed=seed)
        for ref in range(1_000, 1_060):
            rig.call(ref=ref, dest=2 + ref % (count - 1))
            rig.say(i.Established(ref, 0, 102 + ref % (count - 1), 20.0), 100.0)
        rig.say(i.Members(i.ListForm.DELTA, 2, (i.Entry(101, 1, started_at=rig.now),)))
        begun = rig.now
        for ref in range(1, 30):
            rig.call(ref=ref, dest=1)
        while rig.now < begun + RULES.overload_for:
            for send in only(rig.poll(), i.Send):
                sends += 1
                rig.say(i.Established(send.ref, 0, 101, 20.0))
            rig.now += 20.0
        warm = rig.say(i.Members(i.ListForm.DELTA, 3, (i.Entry(101, 1, started_at=rig.now - 20_000),)))
        assert only(warm, i.Send), "and it is open once it is warm"
    usual = 10.0 * RULES.overload_for / 1_000.0  # set-ups to one warm exchange, from all
    assert 0 < sends <= RULES.overload_factor * RULES.cold_share * usual


GRACE = RULES.grace_to_answer
GUARDED = replace(CLASS, semantics=i.Semantics.GUARDED, retry_scope=i.RetryScope.CELL, retry_window=4_000.0)


@pytest.mark.parametrize(
    ("kind", "again"),
    [
        (replace(CLASS, semantics=i.Semantics.SINGLE_SHOT), []),
        (GUARDED, [1]),
        (replace(GUARDED, retry_scope=i.RetryScope.ALL), [1]),
        (replace(GUARDED, retry_window=200.0), []),
    ],
)
def test_effects_bind_after_a_doubtful_end(kind: i.CallClass, again: list[int]) -> None:
    rig = Rig(replace(SETTINGS, classes=(kind,)))
    rig.call(dest=1, lasts=8_000)
    answers = rig.ends(1, 0, 1, i.Result.TIMEOUT)
    assert only(answers, i.Fail) == ([] if again else [i.Fail(1)]), "never to be sent again: ended at once"
    rig.now += 1_000
    assert sent_to(rig.poll()) == again


def test_a_guarded_call_in_doubt_takes_no_other_cell() -> None:
    rig = Rig(replace(SETTINGS, classes=(GUARDED,)))
    rig.call(dest=1, lasts=8_000)
    rig.ends(1, 0, 1, i.Result.TIMEOUT)
    rig.circuits(1, 0)
    rig.now += 1_000
    assert sent_to(rig.circuits(2, 20)) == []
    assert only(rig.poll(), i.Fail) == []
    rig.now += GUARDED.retry_window
    assert only(rig.poll(), i.Fail) == [i.Fail(1)], "its window is over; may have run: failed, not refused"


def test_subscription_is_asked_for_and_asked_again() -> None:
    subscribed = replace(SETTINGS, discovery=i.Discovery.SUBSCRIBE)
    rig = Rig.__new__(Rig)
    rig.now, rig.controller = 0.0, Controller(subscribed, 1)
    assert only(rig.say(i.Members(i.ListForm.CACHED, 1, (i.Entry(101, 1),))), i.Subscribe) == [
        i.Subscribe(True)
    ]
    wait = only(rig.say(i.Members(i.ListForm.FAILED)), i.StartTimer)[0]
    assert wait.delay < RULES.ask_within
    assert only(rig.say(i.TimerExpired(wait.label), wait.delay), i.Subscribe) == [i.Subscribe(True)]


@dataclass
class Referee:
    """Plays exchanges and callers at random and keeps its own books of what the rules allow."""

    plan: random.Random
    world: i.Settings
    now: float = 0.0
    owed: dict[int, i.Request] = field(default_factory=dict)
    out: dict[tuple[int, int], int] = field(default_factory=dict)
    standing: list[tuple[int, int]] = field(default_factory=list)
    tries: dict[int, int] = field(default_factory=dict)
    free_at: dict[int, float] = field(default_factory=dict)
    over: set[int] = field(default_factory=set)
    told: dict[int, float] = field(default_factory=dict)
    limits: dict[tuple[int, int], float] = field(default_factory=dict)
    timers: list[tuple[float, int]] = field(default_factory=list)
    doubt: set[int] = field(default_factory=set)

    def play(self, steps: int) -> int:
        controller = Controller(self.world, 3)
        entries = tuple(i.Entry(100 + cell, cell, cell % 2) for cell in range(5))
        self.take(controller.handle(self.now, i.Members(i.ListForm.FULL, 1, entries)))
        refs = 0
        for _ in range(steps):
            until = self.now + self.plan.choice([0.0, 1.0, 5.0, 40.0, 300.0])
            while self.timers and min(self.timers)[0] <= until:
                self.timers.remove(due := min(self.timers))
                self.now = max(self.now, due[0])
                self.take(controller.handle(self.now, i.TimerExpired(due[1])))
                self.time_outs(controller)
            self.now = until
            self.time_outs(controller)
            for ref, request in self.owed.items():
                assert self.now <= request.expires + GRACE, f"rule 1: {ref} unanswered"
            move = self.plan.random()
            if move < 0.4:
                refs += 1
                lasts = self.plan.choice([0.0, 20.0, 700.0, 3_000.0])
                request = i.Request(
                    refs,
                    self.plan.randrange(len(self.world.classes)),
                    self.plan.randrange(6),
                    self.now + lasts,
                    self.plan.choice([1.0, 2.0]),
                    self.plan.randrange(2),
                    3,
                    self.plan.randrange(9),
                    0.0,
                    self.plan.random() < 0.2,
                    self.plan.random() < 0.2,
                    self.plan.random() < 0.1,
                )
                self.owed[refs] = request
                self.take(controller.handle(self.now, request))
            elif move < 0.7 and self.out:
                self.take(controller.handle(self.now, self.answer()))
            elif move < 0.85:
                cell = self.plan.randrange(5)
                report = i.Report(float(self.plan.randrange(4)), 10.0)
                self.take(controller.handle(self.now, i.Probed(100 + cell, i.Result.OK, 0.0, report)))
            elif move < 0.9 and self.owed:
                ref = self.plan.choice(sorted(self.owed))
                self.owed.pop(ref)
                self.over.add(ref)
                self.take(controller.handle(self.now, i.CallerLeft(ref)))
            elif move < 0.95:
                self.take(controller.handle(self.now, self.news()))
        return refs

    def news(self) -> i.Members:
        cell = self.plan.randrange(1, 5)
        ready = i.Readiness.READY
        state = self.plan.choice([ready, ready, i.Readiness.DRAINING, i.Readiness.GONE])
        if state is i.Readiness.READY:
            self.told.pop(100 + cell, None)
        else:
            self.told.setdefault(100 + cell, self.now)
        started = self.now if self.plan.random() < 0.3 else 0.0
        return i.Members(i.ListForm.DELTA, 2, (i.Entry(100 + cell, cell, cell % 2, state, started),))

    def answer(self) -> i.Event:
        key = self.plan.choice(sorted(self.out))
        ref, attempt = key
        if key not in self.standing and self.plan.random() < 0.4:
            self.standing.append(key)
            self.owed.pop(ref, None)
            self.over.add(ref)
            return i.Established(ref, attempt, self.out[key], self.plan.choice([50.0, 1_500.0]))
        office = self.out.pop(key)
        stood = key in self.standing
        result = (
            self.plan.choice([i.Result.OK, i.Result.RESET])
            if stood
            else i.Result(self.plan.choice([0, 2, 3, 4, 5, 6, 7]))
        )
        if result in (i.Result.TIMEOUT, i.Result.RESET, i.Result.CANCELLED):
            self.free_at[ref] = self.now + self.world.rules.release
        if result in (i.Result.ERROR, i.Result.TIMEOUT, i.Result.RESET, i.Result.CANCELLED):
            self.doubt.add(ref)
        note = i.Note(self.plan.randrange(5)) if result in (i.Result.FULL, i.Result.MOOT) else i.Note.NONE
        return i.Outcome(ref, attempt, office, result, 60.0, stood or ref in self.over, note)

    def time_outs(self, controller: Controller) -> None:
        for key in sorted(self.out):
            if key in self.out and key not in self.standing and self.limits[key] <= self.now:
                office = self.out.pop(key)
                self.free_at[key[0]] = self.now + self.world.rules.release
                self.doubt.add(key[0])
                ended = key[0] in self.over
                outcome = i.Outcome(key[0], key[1], office, i.Result.TIMEOUT, 900.0, ended)
                self.take(controller.handle(self.now, outcome))

    def take(self, actions: list[i.Action]) -> None:
        for action in actions:
            if isinstance(action, i.Send):
                self.send(action)
            elif isinstance(action, i.Refuse | i.Fail):
                assert action.ref not in self.over, "rule 1: a second final answer"
                assert all(key[0] != action.ref for key in self.out), "rule 1: ended with an attempt out"
                request = self.owed.pop(action.ref)
                assert self.now <= request.expires + GRACE
                kind = self.world.classes[request.class_index]
                if isinstance(action, i.Refuse) and action.ref in self.doubt:
                    assert kind.semantics is i.Semantics.FREE or (
                        kind.semantics is i.Semantics.GUARDED and kind.retry_scope is i.RetryScope.ALL
                    )
                self.over.add(action.ref)
            elif isinstance(action, i.StartTimer):
                assert action.delay > 0
                self.timers.append((self.now + action.delay, action.label))

    def send(self, action: i.Send) -> None:
        ref = action.ref
        assert ref not in self.over, "rule 1: sent after its end"
        assert all(key[0] != ref for key in self.out), "rule 2: two attempts at once"
        assert self.now - self.told.get(action.office, self.now) <= self.world.rules.drain_grace, "rule 3"
        assert self.now >= self.free_at.get(ref, 0.0), "rule 5: before the release"
        request = self.owed[ref]
        assert self.now + action.timeout <= request.expires, "rule 1: a time-out beyond the caller's time"
        assert action.office != 100 + self.world.own_exchange
        if request.transit:
            assert action.office == 100 + request.dest
        if ref in self.doubt:
            assert self.world.classes[request.class_index].semantics is not i.Semantics.SINGLE_SHOT
        attempt = self.tries.get(ref, 0)
        assert attempt < self.world.limits.max_tries
        self.tries[ref] = attempt + 1
        self.out[(ref, attempt)] = action.office
        self.limits[(ref, attempt)] = self.now + action.timeout
        self.timers.append((self.now + action.timeout, 1 << 50))


WORLDS = [
    SETTINGS,
    replace(SETTINGS, classes=(CLASS, replace(CLASS, semantics=i.Semantics.SINGLE_SHOT), GUARDED)),
    replace(
        SETTINGS, layout=i.Layout.POOLS, own_exchange=-1, classes=(replace(CLASS, allowed_pools=(0, 1, 2)),)
    ),
    replace(SETTINGS, discovery=i.Discovery.SUBSCRIBE, tenants=(i.Tenant(5.0, 0.5), i.Tenant(5.0, 0.5))),
]


@pytest.mark.parametrize("world", WORLDS)
def test_rules_hold_over_random_days(world: i.Settings) -> None:
    @settings(derandomize=True, max_examples=60, deadline=None, database=None)
    @given(st.integers(0, 2**32))
    def day(seed: int) -> None:
        referee = Referee(random.Random(seed), world)
        assert referee.play(250) > 50
        assert referee.tries

    day()


def test_the_same_events_give_the_same_actions() -> None:
    logs = []
    for _ in range(2):
        referee = Referee(random.Random(11), WORLDS[1])
        referee.play(400)
        logs.append((referee.tries, referee.over, referee.out))
    assert logs[0] == logs[1]
