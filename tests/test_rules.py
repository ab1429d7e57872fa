"""The five rules of WIRE-ospreybridge.md section 10, one by one and over random sequences of events."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ospreybridge import Controller, interface
from tests.helpers import CLASS, RULES, SETTINGS, Rig, actions_of_type, sent_to


def test_an_attempt_times_out_early_enough_for_the_final_answer() -> None:
    rig = Rig()
    send = actions_of_type(rig.request(dest=1, patience=3_000), interface.Send)[0]
    assert send.timeout < 3_000
    late = rig.outcome(1, 0, 1, interface.Result.TIMEOUT)
    assert actions_of_type(late, interface.Send) == []


def test_a_retry_waits_for_the_release_time() -> None:
    for result in (interface.Result.TIMEOUT, interface.Result.RESET, interface.Result.CANCELLED):
        rig = Rig()
        rig.request(dest=1, patience=8_000)
        assert sent_to(rig.outcome(1, 0, 1, result)) == []
        rig.now += RULES.release - 1
        assert sent_to(rig.poll()) == []
        rig.now += 1_000
        assert sent_to(rig.poll()) == [1]


def test_no_second_attempt_while_one_is_unanswered() -> None:
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


def test_an_exchange_missing_from_a_full_list_gets_no_calls() -> None:
    rig = Rig()
    rig.request(ref=1, dest=2)
    rig.handle(interface.Members(interface.ListForm.FULL, 2, (interface.Entry(101, 1),)))
    assert sent_to(rig.request(ref=2, dest=2)) == []
    answers = rig.outcome(1, 0, 2, interface.Result.RESET)
    assert sent_to(answers) == []


@pytest.mark.parametrize("count", [4, 60])
def test_all_servers_together_do_not_overload_a_cold_exchange(count: int) -> None:
    """Each server limits itself by its own traffic, so the sum is within the limit for any number of them."""
    sends = 0
    for seed in range(count):
        rig = Rig(count=count, seed=seed)
        for ref in range(1_000, 1_060):
            rig.request(ref=ref, dest=2 + ref % (count - 1))
            rig.handle(interface.Established(ref, 0, 102 + ref % (count - 1), 20.0), 100.0)
        rig.handle(
            interface.Members(interface.ListForm.DELTA, 2, (interface.Entry(101, 1, started_at=rig.now),))
        )
        started_at = rig.now
        for ref in range(1, 30):
            rig.request(ref=ref, dest=1)
        while rig.now < started_at + RULES.overload_for:
            for send in actions_of_type(rig.poll(), interface.Send):
                sends += 1
                rig.handle(interface.Established(send.ref, 0, 101, 20.0))
            rig.now += 20.0
        warm = rig.handle(
            interface.Members(
                interface.ListForm.DELTA, 3, (interface.Entry(101, 1, started_at=rig.now - 20_000),)
            )
        )
        assert actions_of_type(warm, interface.Send), "no limit once it is warm"
    usual_sends = 10.0 * RULES.overload_for / 1_000.0  # set-ups to one warm exchange, from all
    assert 0 < sends <= RULES.overload_factor * RULES.cold_share * usual_sends


GRACE = RULES.grace_to_answer
GUARDED = replace(
    CLASS, semantics=interface.Semantics.GUARDED, retry_scope=interface.RetryScope.CELL, retry_window=4_000.0
)


@pytest.mark.parametrize(
    ("call_class", "retried_at"),
    [
        (replace(CLASS, semantics=interface.Semantics.SINGLE_SHOT), []),
        (GUARDED, [1]),
        (replace(GUARDED, retry_scope=interface.RetryScope.ALL), [1]),
        (replace(GUARDED, retry_window=200.0), []),
    ],
)
def test_a_retry_after_a_time_out_obeys_the_class_semantics(
    call_class: interface.CallClass, retried_at: list[int]
) -> None:
    rig = Rig(replace(SETTINGS, classes=(call_class,)))
    rig.request(dest=1, patience=8_000)
    answers = rig.outcome(1, 0, 1, interface.Result.TIMEOUT)
    assert actions_of_type(answers, interface.Fail) == ([] if retried_at else [interface.Fail(1)]), (
        "a call that must not be sent again ends at once"
    )
    rig.now += 1_000
    assert sent_to(rig.poll()) == retried_at


def test_a_guarded_call_is_retried_at_no_other_exchange() -> None:
    rig = Rig(replace(SETTINGS, classes=(GUARDED,)))
    rig.request(dest=1, patience=8_000)
    rig.outcome(1, 0, 1, interface.Result.TIMEOUT)
    rig.report_circuits(1, 0)
    rig.now += 1_000
    assert sent_to(rig.report_circuits(2, 20)) == []
    assert actions_of_type(rig.poll(), interface.Fail) == []
    rig.now += GUARDED.retry_window
    assert actions_of_type(rig.poll(), interface.Fail) == [interface.Fail(1)], (
        "after the retry window: Fail, as an attempt may have been executed"
    )


def test_the_subscription_is_repeated_after_a_failure() -> None:
    subscribed = replace(SETTINGS, discovery=interface.Discovery.SUBSCRIBE)
    rig = Rig.__new__(Rig)
    rig.now, rig.controller = 0.0, Controller(subscribed, 1)
    assert actions_of_type(
        rig.handle(interface.Members(interface.ListForm.CACHED, 1, (interface.Entry(101, 1),))),
        interface.Subscribe,
    ) == [interface.Subscribe(True)]
    timer = actions_of_type(rig.handle(interface.Members(interface.ListForm.FAILED)), interface.StartTimer)[0]
    assert timer.delay < RULES.ask_within
    assert actions_of_type(
        rig.handle(interface.TimerExpired(timer.label), timer.delay), interface.Subscribe
    ) == [interface.Subscribe(True)]


@dataclass
class RandomDay:
    """Plays random exchanges and callers and checks each action against its own record of the rules."""

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
        """Plays this many steps; returns the number of calls."""
        controller = Controller(self.settings, 3)
        entries = tuple(interface.Entry(100 + exchange, exchange, exchange % 2) for exchange in range(5))
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
            choice_of_event = self.rng.random()
            if choice_of_event < 0.4:
                refs += 1
                patience = self.rng.choice([0.0, 20.0, 700.0, 3_000.0])
                request = interface.Request(
                    refs,
                    self.rng.randrange(len(self.settings.classes)),
                    self.rng.randrange(6),
                    self.now + patience,
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
            elif choice_of_event < 0.7 and self.open_attempts:
                self.check_actions(controller.handle(self.now, self.attempt_answer()))
            elif choice_of_event < 0.85:
                exchange = self.rng.randrange(5)
                report = interface.Report(float(self.rng.randrange(4)), 10.0)
                self.check_actions(
                    controller.handle(
                        self.now, interface.Probed(100 + exchange, interface.Result.OK, 0.0, report)
                    )
                )
            elif choice_of_event < 0.9 and self.awaiting_answer:
                ref = self.rng.choice(sorted(self.awaiting_answer))
                self.awaiting_answer.pop(ref)
                self.ended.add(ref)
                self.check_actions(controller.handle(self.now, interface.CallerLeft(ref)))
            elif choice_of_event < 0.95:
                self.check_actions(controller.handle(self.now, self.list_update()))
        return refs

    def list_update(self) -> interface.Members:
        """A change of one exchange in the list."""
        exchange = self.rng.randrange(1, 5)
        ready = interface.Readiness.READY
        state = self.rng.choice([ready, ready, interface.Readiness.DRAINING, interface.Readiness.GONE])
        if state is interface.Readiness.READY:
            self.not_ready_since.pop(100 + exchange, None)
        else:
            self.not_ready_since.setdefault(100 + exchange, self.now)
        started = self.now if self.rng.random() < 0.3 else 0.0
        return interface.Members(
            interface.ListForm.DELTA,
            2,
            (interface.Entry(100 + exchange, exchange, exchange % 2, state, started),),
        )

    def attempt_answer(self) -> interface.Event:
        """A random answer to a random open attempt."""
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
        was_established = key in self.established
        result = (
            self.rng.choice([interface.Result.OK, interface.Result.RESET])
            if was_established
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
        return interface.Outcome(
            ref, attempt, office, result, 60.0, was_established or ref in self.ended, note
        )

    def expire_attempts(self, controller: Controller) -> None:
        """Reports a time-out for each attempt whose time is over."""
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
                assert action.ref not in self.ended, "rule 1: more than one final answer"
                assert all(key[0] != action.ref for key in self.open_attempts), (
                    "rule 1: final answer while an attempt is open"
                )
                request = self.awaiting_answer.pop(action.ref)
                assert self.now <= request.expires + GRACE
                call_class = self.settings.classes[request.class_index]
                if isinstance(action, interface.Refuse) and action.ref in self.maybe_executed:
                    assert call_class.semantics is interface.Semantics.FREE or (
                        call_class.semantics is interface.Semantics.GUARDED
                        and call_class.retry_scope is interface.RetryScope.ALL
                    )
                self.ended.add(action.ref)
            elif isinstance(action, interface.StartTimer):
                assert action.delay > 0
                self.timers.append((self.now + action.delay, action.label))

    def check_send(self, action: interface.Send) -> None:
        ref = action.ref
        assert ref not in self.ended, "rule 1: attempt after the call's end"
        assert all(key[0] != ref for key in self.open_attempts), "rule 2: two attempts at once"
        assert (
            self.now - self.not_ready_since.get(action.office, self.now) <= self.settings.rules.drain_grace
        ), "rule 3: attempt to an exchange that drains or is gone"
        assert self.now >= self.not_before.get(ref, 0.0), "rule 5: retry before the release time"
        request = self.awaiting_answer[ref]
        assert self.now + action.timeout <= request.expires, "rule 1: time-out after the caller's time"
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


@pytest.mark.parametrize("variant", SETTINGS_VARIANTS)
def test_rules_hold_over_random_days(variant: interface.Settings) -> None:
    @settings(derandomize=True, max_examples=60, deadline=None, database=None)
    @given(st.integers(0, 2**32))
    def day(seed: int) -> None:
        random_day = RandomDay(random.Random(seed), variant)
        assert random_day.run(250) > 50
        assert random_day.attempt_counts

    day()


def test_the_same_events_give_the_same_actions() -> None:
    logs = []
    for _ in range(2):
        random_day = RandomDay(random.Random(11), SETTINGS_VARIANTS[1])
        random_day.run(400)
        logs.append((random_day.attempt_counts, random_day.ended, random_day.open_attempts))
    assert logs[0] == logs[1]
