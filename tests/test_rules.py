"""The five rules of WIRE-ospreybridge.md section 10, one by one and over random sequences of events."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ospreybridge import Controller, interface
from tests.helpers import CLASS, RULES, SETTINGS, Rig, actions_of_type, sent_to


def test_time_out_leaves_time_for_the_last_answer() -> None:
    rig = Rig()
    send = actions_of_type(rig.request(dest=1, patience=3_000), interface.Send)[0]
    assert send.timeout < 3_000
    late = rig.outcome(1, 0, 1, interface.Result.TIMEOUT)
    assert actions_of_type(late, interface.Send) == []


def test_release_is_awaited_after_each_doubtful_end() -> None:
    for result in (interface.Result.TIMEOUT, interface.Result.RESET, interface.Result.CANCELLED):
        rig = Rig()
        rig.request(dest=1, patience=8_000)
        assert sent_to(rig.outcome(1, 0, 1, result)) == []
        rig.now += RULES.release - 1
        assert sent_to(rig.poll()) == []
        rig.now += 1_000
        assert sent_to(rig.poll()) == [1]


def test_no_second_attempt_while_one_is_out() -> None:
    rig = Rig()
    assert sent_to(rig.request(dest=1)) == [1]
    rig.now += 500
    assert sent_to(rig.report_circuits(1, 20)) == []


@pytest.mark.parametrize("state", [interface.Readiness.DRAINING, interface.Readiness.GONE])
def test_nothing_new_to_a_draining_or_gone_exchange(state: interface.Readiness) -> None:
    rig = Rig()
    rig.set_free_circuits(c1=0, c2=20, c3=5, c4=5)
    rig.handle(interface.Members(interface.ListForm.DELTA, 2, (interface.Entry(102, 2, readiness=state),)))
    assert sent_to(rig.request(ref=1, dest=2)) == []
    assert sent_to(rig.request(ref=2, dest=1)) in ([3], [4])
    assert sent_to(rig.request(ref=3, dest=2, transit=True)) == []


def test_what_a_full_list_leaves_out_is_gone() -> None:
    rig = Rig()
    rig.request(ref=1, dest=2)
    rig.handle(interface.Members(interface.ListForm.FULL, 2, (interface.Entry(101, 1),)))
    assert sent_to(rig.request(ref=2, dest=2)) == []
    answers = rig.outcome(1, 0, 2, interface.Result.RESET)
    assert sent_to(answers) == []


@pytest.mark.parametrize("count", [4, 60])
def test_a_cold_exchange_is_not_pushed_over_by_all_servers_together(count: int) -> None:
    """Each server's part shrinks with its own traffic, so the sum holds for any number of servers."""
    sends = 0
    for seed in range(count):
        rig = Rig(count=count, seed=seed)
        for ref in range(1_000, 1_060):
            rig.request(ref=ref, dest=2 + ref % (count - 1))
            rig.handle(interface.Established(ref, 0, 102 + ref % (count - 1), 20.0), 100.0)
        rig.handle(
            interface.Members(interface.ListForm.DELTA, 2, (interface.Entry(101, 1, started_at=rig.now),))
        )
        begun = rig.now
        for ref in range(1, 30):
            rig.request(ref=ref, dest=1)
        while rig.now < begun + RULES.overload_for:
            for send in actions_of_type(rig.poll(), interface.Send):
                sends += 1
                rig.handle(interface.Established(send.ref, 0, 101, 20.0))
            rig.now += 20.0
        warm = rig.handle(
            interface.Members(
                interface.ListForm.DELTA, 3, (interface.Entry(101, 1, started_at=rig.now - 20_000),)
            )
        )
        assert actions_of_type(warm, interface.Send), "and it is open once it is warm"
    usual = 10.0 * RULES.overload_for / 1_000.0  # set-ups to one warm exchange, from all
    assert 0 < sends <= RULES.overload_factor * RULES.cold_share * usual


GRACE = RULES.grace_to_answer
GUARDED = replace(
    CLASS, semantics=interface.Semantics.GUARDED, retry_scope=interface.RetryScope.CELL, retry_window=4_000.0
)


@pytest.mark.parametrize(
    ("kind", "again"),
    [
        (replace(CLASS, semantics=interface.Semantics.SINGLE_SHOT), []),
        (GUARDED, [1]),
        (replace(GUARDED, retry_scope=interface.RetryScope.ALL), [1]),
        (replace(GUARDED, retry_window=200.0), []),
    ],
)
def test_effects_bind_after_a_doubtful_end(kind: interface.CallClass, again: list[int]) -> None:
    rig = Rig(replace(SETTINGS, classes=(kind,)))
    rig.request(dest=1, patience=8_000)
    answers = rig.outcome(1, 0, 1, interface.Result.TIMEOUT)
    assert actions_of_type(answers, interface.Fail) == ([] if again else [interface.Fail(1)]), (
        "never to be sent again: ended at once"
    )
    rig.now += 1_000
    assert sent_to(rig.poll()) == again


def test_a_guarded_call_in_doubt_takes_no_other_cell() -> None:
    rig = Rig(replace(SETTINGS, classes=(GUARDED,)))
    rig.request(dest=1, patience=8_000)
    rig.outcome(1, 0, 1, interface.Result.TIMEOUT)
    rig.report_circuits(1, 0)
    rig.now += 1_000
    assert sent_to(rig.report_circuits(2, 20)) == []
    assert actions_of_type(rig.poll(), interface.Fail) == []
    rig.now += GUARDED.retry_window
    assert actions_of_type(rig.poll(), interface.Fail) == [interface.Fail(1)], (
        "its window is over; may have run: failed, not refused"
    )


def test_subscription_is_asked_for_and_asked_again() -> None:
    subscribed = replace(SETTINGS, discovery=interface.Discovery.SUBSCRIBE)
    rig = Rig.__new__(Rig)
    rig.now, rig.controller = 0.0, Controller(subscribed, 1)
    assert actions_of_type(
        rig.handle(interface.Members(interface.ListForm.CACHED, 1, (interface.Entry(101, 1),))),
        interface.Subscribe,
    ) == [interface.Subscribe(True)]
    wait = actions_of_type(rig.handle(interface.Members(interface.ListForm.FAILED)), interface.StartTimer)[0]
    assert wait.delay < RULES.ask_within
    assert actions_of_type(
        rig.handle(interface.TimerExpired(wait.label), wait.delay), interface.Subscribe
    ) == [interface.Subscribe(True)]


@dataclass
class RandomDay:
    """Plays exchanges and callers at random and keeps its own books of what the rules allow."""

    rng: random.Random
    settings: interface.Settings
    now: float = 0.0
    awaiting_answer: dict[int, interface.Request] = field(default_factory=dict)
    open_attempts: dict[tuple[int, int], int] = field(default_factory=dict)
    established: list[tuple[int, int]] = field(default_factory=list)
    attempt_counts: dict[int, int] = field(default_factory=dict)
    not_before: dict[int, float] = field(default_factory=dict)
    ended: set[int] = field(default_factory=set)
    not_ready_since: dict[int, float] = field(default_factory=dict)
    attempt_deadlines: dict[tuple[int, int], float] = field(default_factory=dict)
    timers: list[tuple[float, int]] = field(default_factory=list)
    maybe_executed: set[int] = field(default_factory=set)

    def run(self, steps: int) -> int:
        controller = Controller(self.settings, 3)
        entries = tuple(interface.Entry(100 + cell, cell, cell % 2) for cell in range(5))
        self.check_actions(
            controller.handle(self.now, interface.Members(interface.ListForm.FULL, 1, entries))
        )
        refs = 0
        for _ in range(steps):
            until = self.now + self.rng.choice([0.0, 1.0, 5.0, 40.0, 300.0])
            while self.timers and min(self.timers)[0] <= until:
                self.timers.remove(due := min(self.timers))
                self.now = max(self.now, due[0])
                self.check_actions(controller.handle(self.now, interface.TimerExpired(due[1])))
                self.expire_attempts(controller)
            self.now = until
            self.expire_attempts(controller)
            for ref, request in self.awaiting_answer.items():
                assert self.now <= request.expires + GRACE, f"rule 1: {ref} unanswered"
            move = self.rng.random()
            if move < 0.4:
                refs += 1
                lasts = self.rng.choice([0.0, 20.0, 700.0, 3_000.0])
                request = interface.Request(
                    refs,
                    self.rng.randrange(len(self.settings.classes)),
                    self.rng.randrange(6),
                    self.now + lasts,
                    self.rng.choice([1.0, 2.0]),
                    self.rng.randrange(2),
                    3,
                    self.rng.randrange(9),
                    0.0,
                    self.rng.random() < 0.2,
                    self.rng.random() < 0.2,
                    self.rng.random() < 0.1,
                )
                self.awaiting_answer[refs] = request
                self.check_actions(controller.handle(self.now, request))
            elif move < 0.7 and self.open_attempts:
                self.check_actions(controller.handle(self.now, self.attempt_answer()))
            elif move < 0.85:
                cell = self.rng.randrange(5)
                report = interface.Report(float(self.rng.randrange(4)), 10.0)
                self.check_actions(
                    controller.handle(
                        self.now, interface.Probed(100 + cell, interface.Result.OK, 0.0, report)
                    )
                )
            elif move < 0.9 and self.awaiting_answer:
                ref = self.rng.choice(sorted(self.awaiting_answer))
                self.awaiting_answer.pop(ref)
                self.ended.add(ref)
                self.check_actions(controller.handle(self.now, interface.CallerLeft(ref)))
            elif move < 0.95:
                self.check_actions(controller.handle(self.now, self.list_update()))
        return refs

    def list_update(self) -> interface.Members:
        cell = self.rng.randrange(1, 5)
        ready = interface.Readiness.READY
        state = self.rng.choice([ready, ready, interface.Readiness.DRAINING, interface.Readiness.GONE])
        if state is interface.Readiness.READY:
            self.not_ready_since.pop(100 + cell, None)
        else:
            self.not_ready_since.setdefault(100 + cell, self.now)
        started = self.now if self.rng.random() < 0.3 else 0.0
        return interface.Members(
            interface.ListForm.DELTA, 2, (interface.Entry(100 + cell, cell, cell % 2, state, started),)
        )

    def attempt_answer(self) -> interface.Event:
        key = self.rng.choice(sorted(self.open_attempts))
        ref, attempt = key
        if key not in self.established and self.rng.random() < 0.4:
            self.established.append(key)
            self.awaiting_answer.pop(ref, None)
            self.ended.add(ref)
            return interface.Established(
                ref, attempt, self.open_attempts[key], self.rng.choice([50.0, 1_500.0])
            )
        office = self.open_attempts.pop(key)
        stood = key in self.established
        result = (
            self.rng.choice([interface.Result.OK, interface.Result.RESET])
            if stood
            else interface.Result(self.rng.choice([0, 2, 3, 4, 5, 6, 7]))
        )
        if result in (interface.Result.TIMEOUT, interface.Result.RESET, interface.Result.CANCELLED):
            self.not_before[ref] = self.now + self.settings.rules.release
        if result in (
            interface.Result.ERROR,
            interface.Result.TIMEOUT,
            interface.Result.RESET,
            interface.Result.CANCELLED,
        ):
            self.maybe_executed.add(ref)
        note = (
            interface.Note(self.rng.randrange(5))
            if result in (interface.Result.FULL, interface.Result.MOOT)
            else interface.Note.NONE
        )
        return interface.Outcome(ref, attempt, office, result, 60.0, stood or ref in self.ended, note)

    def expire_attempts(self, controller: Controller) -> None:
        for key in sorted(self.open_attempts):
            if (
                key in self.open_attempts
                and key not in self.established
                and self.attempt_deadlines[key] <= self.now
            ):
                office = self.open_attempts.pop(key)
                self.not_before[key[0]] = self.now + self.settings.rules.release
                self.maybe_executed.add(key[0])
                ended = key[0] in self.ended
                outcome = interface.Outcome(key[0], key[1], office, interface.Result.TIMEOUT, 900.0, ended)
                self.check_actions(controller.handle(self.now, outcome))

    def check_actions(self, actions: list[interface.Action]) -> None:
        for action in actions:
            if isinstance(action, interface.Send):
                self.check_send(action)
            elif isinstance(action, interface.Refuse | interface.Fail):
                assert action.ref not in self.ended, "rule 1: a second final answer"
                assert all(key[0] != action.ref for key in self.open_attempts), (
                    "rule 1: ended with an attempt out"
                )
                request = self.awaiting_answer.pop(action.ref)
                assert self.now <= request.expires + GRACE
                kind = self.settings.classes[request.class_index]
                if isinstance(action, interface.Refuse) and action.ref in self.maybe_executed:
                    assert kind.semantics is interface.Semantics.FREE or (
                        kind.semantics is interface.Semantics.GUARDED
                        and kind.retry_scope is interface.RetryScope.ALL
                    )
                self.ended.add(action.ref)
            elif isinstance(action, interface.StartTimer):
                assert action.delay > 0
                self.timers.append((self.now + action.delay, action.label))

    def check_send(self, action: interface.Send) -> None:
        ref = action.ref
        assert ref not in self.ended, "rule 1: sent after its end"
        assert all(key[0] != ref for key in self.open_attempts), "rule 2: two attempts at once"
        assert (
            self.now - self.not_ready_since.get(action.office, self.now) <= self.settings.rules.drain_grace
        ), "rule 3"
        assert self.now >= self.not_before.get(ref, 0.0), "rule 5: before the release"
        request = self.awaiting_answer[ref]
        assert self.now + action.timeout <= request.expires, "rule 1: a time-out beyond the caller's time"
        assert action.office != 100 + self.settings.own_exchange
        if request.transit:
            assert action.office == 100 + request.dest
        if ref in self.maybe_executed:
            assert self.settings.classes[request.class_index].semantics is not interface.Semantics.SINGLE_SHOT
        attempt = self.attempt_counts.get(ref, 0)
        assert attempt < self.settings.limits.max_tries
        self.attempt_counts[ref] = attempt + 1
        self.open_attempts[(ref, attempt)] = action.office
        self.attempt_deadlines[(ref, attempt)] = self.now + action.timeout
        self.timers.append((self.now + action.timeout, 1 << 50))


SETTINGS_VARIANTS = [
    SETTINGS,
    replace(SETTINGS, classes=(CLASS, replace(CLASS, semantics=interface.Semantics.SINGLE_SHOT), GUARDED)),
    replace(
        SETTINGS,
        layout=interface.Layout.POOLS,
        own_exchange=-1,
        classes=(replace(CLASS, allowed_pools=(0, 1, 2)),),
    ),
    replace(
        SETTINGS,
        discovery=interface.Discovery.SUBSCRIBE,
        tenants=(interface.Tenant(5.0, 0.5), interface.Tenant(5.0, 0.5)),
    ),
]


@pytest.mark.parametrize("world", SETTINGS_VARIANTS)
def test_rules_hold_over_random_days(world: interface.Settings) -> None:
    @settings(derandomize=True, max_examples=60, deadline=None, database=None)
    @given(st.integers(0, 2**32))
    def day(seed: int) -> None:
        referee = RandomDay(random.Random(seed), world)
        assert referee.run(250) > 50
        assert referee.attempt_counts

    day()


def test_the_same_events_give_the_same_actions() -> None:
    logs = []
    for _ in range(2):
        referee = RandomDay(random.Random(11), SETTINGS_VARIANTS[1])
        referee.run(400)
        logs.append((referee.attempt_counts, referee.ended, referee.open_attempts))
    assert logs[0] == logs[1]
