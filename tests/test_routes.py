"""Direct calls, overflow, marks, transit and waiting calls; windows and pauses of exchanges in trouble."""

from __future__ import annotations

from dataclasses import replace

import pytest

from ospreybridge import Controller, interface
from ospreybridge.policy import POLL_LABEL
from tests.helpers import CLASS, NO_ACTIONS, SETTINGS, Rig, actions_of_type, sent_to


def test_direct_while_the_group_has_the_width() -> None:
    rig = Rig()
    rig.set_free_circuits(c1=1, c2=20, c3=20, c4=20)
    assert sent_to(rig.request(dest=1)) == [1]


def test_unknown_groups_count_as_open() -> None:
    assert sent_to(Rig().request(dest=3)) == [3]


def test_overflow_takes_the_tandem_with_most_free_circuits() -> None:
    rig = Rig()
    rig.set_free_circuits(c1=0, c2=9, c3=15, c4=12)
    assert sent_to(rig.request(dest=1)) == [3]


def test_ties_are_broken_by_the_seed_alone() -> None:
    picks = set()
    for seed in range(20):
        pair = []
        for _ in range(2):
            rig = Rig(seed=seed)
            rig.set_free_circuits(c1=0, c2=15, c3=15, c4=15)
            pair.append(sent_to(rig.request(dest=1)))
        assert pair[0] == pair[1]
        picks.add(pair[0][0])
    assert picks == {2, 3, 4}


def test_wide_calls_need_their_width() -> None:
    rig = Rig()
    rig.set_free_circuits(c1=1, c2=20, c3=0, c4=0)
    assert sent_to(rig.request(dest=1, width=2.0)) == [2]


def test_a_turn_back_marks_the_tandem_and_one_more_is_tried() -> None:
    rig = Rig()
    rig.set_free_circuits(c1=0, c2=9, c3=15, c4=12)
    rig.request(dest=1)
    assert sent_to(rig.outcome(1, 0, 3, interface.Result.FULL, interface.Note.TURNED_BACK)) == [4]
    rig.report_circuits(3, 15)
    assert sent_to(rig.request(ref=2, dest=1)) == [4], "the mark holds for the next call"
    assert sent_to(rig.outcome(1, 1, 4, interface.Result.FULL, interface.Note.TURNED_BACK)) == [], (
        "no third tandem after two turn-backs"
    )


def test_marks_expire_and_an_established_call_clears_its_mark() -> None:
    rig = Rig()
    rig.set_free_circuits(c1=0, c2=0, c3=15, c4=0)
    rig.request(dest=1)
    rig.outcome(1, 0, 3, interface.Result.FULL, interface.Note.TURNED_BACK)
    rig.now += 11_000
    assert sent_to(rig.request(ref=2, dest=1)) == [3]
    rig.outcome(2, 0, 3, interface.Result.FULL, interface.Note.TURNED_BACK)
    rig.controller.marks[(3, 2)] = rig.now + 9_000
    rig.controller.marks[(3, 1)] = 0.0
    rig.now += 5_000
    rig.request(ref=3, dest=1)
    rig.controller.marks[(3, 1)] = rig.now + 9_000
    rig.handle(interface.Established(3, 0, 103, 50.0))
    assert (3, 1) not in rig.controller.marks
    assert (3, 2) in rig.controller.marks


def test_overflow_leaves_the_reserve_to_direct_calls() -> None:
    rig = Rig()
    rig.set_free_circuits(c1=0, c2=1, c3=1, c4=2)
    assert sent_to(rig.request(dest=1)) == []
    assert sent_to(rig.report_circuits(4, 4)) == [4]


def test_a_transit_call_is_sent_on_or_turned_back_at_once() -> None:
    rig = Rig()
    rig.set_free_circuits(c1=10, c2=0)
    assert sent_to(rig.request(ref=1, dest=1, via=3, transit=True)) == [1]
    assert actions_of_type(rig.request(ref=2, dest=2, via=3, transit=True), interface.Refuse) == [
        interface.Refuse(2, 0.0)
    ]
    assert actions_of_type(
        rig.outcome(1, 0, 1, interface.Result.FULL, interface.Note.PROCESSOR_FULL), interface.Refuse
    ) == [interface.Refuse(1, 0.0)]


def test_transit_yields_to_waiting_own_calls() -> None:
    rig = Rig()
    rig.set_free_circuits(c1=0, c2=0, c3=0, c4=0)
    rig.request(ref=1, dest=1, width=4.0)
    rig.report_circuits(1, 3, 3)
    actions = rig.request(ref=2, dest=1, via=3, transit=True)
    assert actions_of_type(actions, interface.Refuse) == [interface.Refuse(2, 0.0)]


def test_a_blocked_call_waits_and_takes_the_next_free_circuit() -> None:
    rig = Rig()
    rig.set_free_circuits(c1=0, c2=0, c3=0, c4=0)
    assert actions_of_type(rig.request(dest=1), interface.Refuse) == []
    rig.now += 400
    assert sent_to(rig.report_circuits(1, 1)) == [1]


def test_a_waiting_call_is_refused_before_its_caller_leaves() -> None:
    rig = Rig()
    rig.set_free_circuits(c1=0, c2=0, c3=0, c4=0)
    timers = actions_of_type(rig.request(ref=5, dest=1, patience=3_000), interface.StartTimer)
    call_timer = next(timer for timer in timers if timer.label == 5)
    assert call_timer.delay < 3_000
    assert actions_of_type(rig.handle(interface.TimerExpired(5), call_timer.delay), interface.Refuse) == [
        interface.Refuse(5, 0.0)
    ]
    assert rig.handle(interface.TimerExpired(5)) == NO_ACTIONS


def test_more_worthy_calls_go_first_and_cut_calls_before_equal_ones() -> None:
    important = replace(CLASS, importance=5.0)
    rig = Rig(replace(SETTINGS, classes=(CLASS, important)))
    rig.set_free_circuits(c1=0, c2=0, c3=0, c4=0)
    rig.request(ref=1, dest=1)
    rig.request(ref=2, dest=1, class_index=1)
    rig.request(ref=3, dest=1, after_cut=True)
    order = [
        send.ref for _ in range(3) for send in actions_of_type(rig.report_circuits(1, 1), interface.Send)
    ]
    assert order == [2, 3, 1]


def test_a_tenant_beyond_its_quota_goes_last() -> None:
    tenants = (interface.Tenant(10.0, 0.5), interface.Tenant(10.0, 0.5))
    rig = Rig(replace(SETTINGS, tenants=tenants, over_share_worth=0.1))
    for ref in range(10, 30):
        rig.report_circuits(1, 9)
        rig.request(ref=ref, dest=1, tenant=0)
        rig.handle(interface.Established(ref, 0, 101, 50.0))
    rig.report_circuits(1, 0)
    rig.set_free_circuits(c2=0, c3=0, c4=0)
    rig.request(ref=1, dest=1, tenant=0)
    rig.request(ref=2, dest=1, tenant=1)
    assert [send.ref for send in actions_of_type(rig.report_circuits(1, 1), interface.Send)] == [2]


@pytest.mark.parametrize("marked", [False, True])
def test_a_redial_counts_its_time_from_the_first_try(marked: bool) -> None:
    rig = Rig(replace(SETTINGS, redials_marked=marked))
    rig.set_free_circuits(c1=0, c2=0, c3=0, c4=0)
    rig.request(ref=1, dest=1, called_number=77)
    rig.handle(interface.TimerExpired(1), 2_990.0)
    rig.request(ref=2, dest=1, called_number=77, redial=marked)
    rig.request(ref=3, dest=1, called_number=78)
    assert [send.ref for send in actions_of_type(rig.report_circuits(1, 1), interface.Send)] == [3], (
        "the new call is worth more"
    )
    assert sent_to(rig.report_circuits(1, 1)) == [], "a late call does not use reserved circuits"
    assert [send.ref for send in actions_of_type(rig.report_circuits(1, 4), interface.Send)] == [2]


def test_a_call_to_the_own_exchange_is_refused() -> None:
    rig = Rig()
    assert rig.request(dest=0) == [interface.Refuse(1, 0.0)]
    assert rig.request(ref=2, dest=0, transit=True) == [interface.Refuse(2, 0.0)]


WITH_RETRY_AFTER = replace(
    SETTINGS, limits=replace(SETTINGS.limits, retry_after=True, max_retry_after=2_000.0)
)


@pytest.mark.parametrize(("variant", "retry_after"), [(WITH_RETRY_AFTER, 2_000.0), (SETTINGS, 0.0)])
def test_a_destination_not_listed_is_refused_at_once(variant: interface.Settings, retry_after: float) -> None:
    assert Rig(variant).request(dest=9) == [interface.Refuse(1, retry_after)]


def test_calls_waiting_for_an_exchange_end_when_it_drains() -> None:
    rig = Rig(WITH_RETRY_AFTER)
    rig.set_free_circuits(c1=0, c2=0, c3=0, c4=0)
    rig.request(ref=1, dest=1)
    rig.request(ref=2, dest=2)
    actions = rig.handle(
        interface.Members(
            interface.ListForm.DELTA, 2, (interface.Entry(101, 1, readiness=interface.Readiness.DRAINING),)
        )
    )
    assert actions_of_type(actions, interface.Refuse) == [interface.Refuse(1, 2_000.0)]


def test_a_late_call_to_a_destination_without_a_group_ends_at_once() -> None:
    rig = Rig(WITH_RETRY_AFTER)
    rig.report_circuits(1, 0, 0)
    rig.set_free_circuits(c2=0, c3=0, c4=0)
    assert actions_of_type(rig.request(dest=1, patience=5_000), interface.Refuse) == []
    rig.now += CLASS.on_time - 1
    assert actions_of_type(rig.poll(), interface.Refuse) == [], "a tandem may still be found"
    rig.now += 1
    assert actions_of_type(rig.poll(), interface.Refuse) == [interface.Refuse(1, 2_000.0)]


def test_a_call_with_no_time_for_a_set_up_ends_instead_of_being_sent() -> None:
    """A set-up that can't be established before its caller hangs up loads the exchanges in vain."""
    rig = Rig()
    for ref in range(1_000, 1_040):
        rig.request(ref=ref, dest=1)
        rig.handle(interface.Established(ref, 0, 101, 150.0))
    ends = rig.request(ref=1, dest=1, patience=100.0)
    assert sent_to(ends) == [] and actions_of_type(ends, interface.Refuse) == [interface.Refuse(1, 0.0)]
    assert sent_to(rig.request(ref=2, dest=1, patience=400.0)) == [1]
    rig.set_free_circuits(c1=0, c2=0, c3=0, c4=0)
    rig.request(ref=3, dest=1, patience=400.0)
    rig.now += 260
    assert actions_of_type(rig.poll(), interface.Refuse) == [interface.Refuse(3, 0.0)], (
        "waiting used up its time"
    )


def test_a_refusal_says_when_to_redial() -> None:
    rig = Rig(WITH_RETRY_AFTER)
    rig.set_free_circuits(c1=0, c2=0, c3=0, c4=0)
    rig.request(ref=1, dest=1, patience=700.0)
    assert actions_of_type(rig.handle(interface.TimerExpired(1), 690.0), interface.Refuse) == [
        interface.Refuse(1, 690.0)
    ], "as long as the call waited"
    rig.request(ref=2, dest=1, patience=7_000.0)
    assert actions_of_type(rig.handle(interface.TimerExpired(2), 6_990.0), interface.Refuse) == [
        interface.Refuse(2, 2_000.0)
    ], "max_retry_after"
    assert actions_of_type(rig.request(ref=3, dest=1, transit=True), interface.Refuse) == [
        interface.Refuse(3, 0.0)
    ], "no advice for transit calls"


def test_an_expired_call_is_refused_at_once() -> None:
    assert actions_of_type(Rig().request(patience=0.0), interface.Refuse) == [interface.Refuse(1, 0.0)]


def test_a_call_ends_when_its_attempts_are_used_up() -> None:
    rig = Rig(replace(SETTINGS, limits=interface.Limits(max_tries=1)))
    rig.request(dest=1)
    actions = rig.outcome(1, 0, 1, interface.Result.MOOT, interface.Note.NO_CIRCUIT)
    assert actions_of_type(actions, interface.Refuse) == [interface.Refuse(1, 0.0)] and sent_to(actions) == []


def test_pools_first_choice_then_the_allowed_pool_with_most_agents() -> None:
    classes = (replace(CLASS, allowed_pools=(1, 2, 3)),)
    rig = Rig(replace(SETTINGS, layout=interface.Layout.POOLS, own_exchange=-1, classes=classes))
    rig.set_free_circuits(c1=1, c2=8, c3=12, c4=20)
    assert sent_to(rig.request(ref=1, dest=1)) == [1]
    assert sent_to(rig.request(ref=2, dest=1)) == [3], "pool 4 is not allowed for the class"


@pytest.mark.parametrize(
    ("settings", "key"),
    [
        (replace(SETTINGS, classes=()), "Classes"),
        (replace(SETTINGS, classes=(replace(CLASS, deadline=0.0),)), "Deadline"),
        (replace(SETTINGS, classes=(replace(CLASS, on_time=-1.0),)), "OnTime"),
        (replace(SETTINGS, rules=replace(SETTINGS.rules, release=-1.0)), "Guard"),
        (replace(SETTINGS, tick=-5.0), "Round"),
    ],
)
def test_an_invalid_setting_is_named_by_its_key(settings: interface.Settings, key: str) -> None:
    with pytest.raises(ValueError, match=key):
        Controller(settings, 1)


def test_events_of_unknown_or_ended_calls_are_ignored() -> None:
    rig = Rig()
    rig.request(ref=1, dest=1)
    rig.handle(interface.CallerLeft(1))
    assert rig.handle(interface.CallerLeft(1)) == NO_ACTIONS
    assert rig.handle(interface.CallerLeft(99)) == NO_ACTIONS
    assert rig.handle(interface.TimerExpired(1)) == NO_ACTIONS
    assert rig.outcome(1, 0, 1, interface.Result.CANCELLED) == NO_ACTIONS
    assert rig.outcome(1, 0, 1, interface.Result.TIMEOUT) == NO_ACTIONS
    assert rig.handle(interface.Established(99, 0, 101, 1.0)) == NO_ACTIONS


def test_worth_counts_per_circuit_only_where_circuits_are_short() -> None:
    wide = replace(CLASS, importance=1.5, width=2.0)
    for free, first in ((20.0, 2), (2.0, 1)):
        rig = Rig(replace(SETTINGS, classes=(CLASS, wide)))
        rig.set_free_circuits(c1=0, c2=0, c3=0, c4=0)
        rig.request(ref=1, dest=1)
        rig.request(ref=2, dest=1, class_index=1, width=2.0)
        assert actions_of_type(rig.report_circuits(1, free), interface.Send)[0].ref == first


def test_an_exchange_that_does_not_answer_gets_few_set_ups_until_it_recovers() -> None:
    rig = Rig()
    remarks: list[interface.Remark] = []
    sends = 0
    for ref in range(1, 40):
        for send in actions_of_type(
            rig.report_circuits(1, 20) + rig.request(ref=ref, dest=1, patience=2_500), interface.Send
        ):
            sends += 1
            attempt = rig.controller.calls[send.ref].attempt_count - 1
            answers = rig.outcome(send.ref, attempt, 1, interface.Result.TIMEOUT, elapsed=2_000.0)
            assert sent_to(answers) == []
            remarks += actions_of_type(answers, interface.Remark)
        rig.now += 100
    assert 2 <= sends < 10, "few set-ups while it is silent"
    assert len(remarks) == 1 and "trickle" in remarks[0].text
    assert sent_to(rig.request(ref=90, dest=2)) == [2], "other exchanges are not limited"
    for ref in range(1, 40):
        rig.handle(interface.CallerLeft(ref))
    rig.now += 20_000
    recovered: list[interface.Remark] = []
    for ref in range(100, 115):
        rig.report_circuits(1, 20)
        assert sent_to(rig.request(ref=ref, dest=1)) == [1]
        recovered += actions_of_type(rig.handle(interface.Established(ref, 0, 101, 30.0)), interface.Remark)
        rig.now += 1_000
    assert len(recovered) == 1 and "again" in recovered[0].text


def test_a_full_processor_gets_no_set_ups_for_a_while() -> None:
    rig = Rig()
    rig.request(ref=1, dest=1)
    assert (
        sent_to(rig.outcome(1, 0, 1, interface.Result.FULL, interface.Note.PROCESSOR_FULL, elapsed=40.0))
        == []
    )
    rig.now += 100
    assert sent_to(rig.poll()) == [], "the gap is not derived from its quick refusal"
    rig.now += 1_000
    assert sent_to(rig.poll()) == [1]


def test_no_call_is_sent_while_the_own_processor_is_down() -> None:
    rig = Rig()
    rig.request(ref=1, dest=1)
    assert sent_to(rig.outcome(1, 0, 1, interface.Result.MOOT, interface.Note.PROCESSOR_FULL)) == []
    assert sent_to(rig.request(ref=2, dest=2)) == []
    rig.now += 1_000
    assert sorted(sent_to(rig.poll())) == [1, 2]


def test_a_missing_group_is_noticed_at_the_first_moot_attempt() -> None:
    """No report ever comes for a group that doesn't exist, so it would always count as open and freest."""
    rig = Rig()
    rig.set_free_circuits(c1=0, c2=9, c4=5)
    assert sent_to(rig.request(dest=1)) == [3], "a group without a report counts as open"
    assert sent_to(rig.outcome(1, 0, 3, interface.Result.MOOT, interface.Note.NO_CIRCUIT)) == [2]
    assert sent_to(rig.request(ref=2, dest=1)) == [2]


def test_a_new_processor_takes_over_the_groups_of_the_old_one() -> None:
    rig = Rig()
    rig.set_free_circuits(c1=0, c2=9, c3=0, c4=5)
    draining = interface.Entry(103, 3, readiness=interface.Readiness.DRAINING)
    rig.handle(interface.Members(interface.ListForm.DELTA, 2, (draining, interface.Entry(203, 3))))
    assert sent_to(rig.request(dest=1)) == [2]


def test_rare_late_answers_narrow_the_window_and_one_good_answer_widens_it() -> None:
    """With sixty exchanges each gets a set-up every few seconds: a shorter gap relieves no exchange."""
    rig = Rig(count=60)
    for ref in range(1_000, 1_100):
        rig.request(ref=ref, dest=2 + ref % 59)
        rig.handle(interface.Established(ref, 0, 102 + ref % 59, 20.0), 100.0)
    for ref in (1, 2, 3):
        rig.now += 16_000
        assert sent_to(rig.request(ref=ref, dest=1)) == [1]
        rig.outcome(ref, 0, 1, interface.Result.TIMEOUT, elapsed=2_000.0)
        rig.handle(interface.CallerLeft(ref))
    rig.now += 1_000
    assert sent_to(rig.request(ref=4, dest=1)) == [], "the gap scales with the usual set-up interval"
    rig.handle(interface.CallerLeft(4))
    rig.now += 16_000
    assert sent_to(rig.request(ref=5, dest=1)) == [1]
    rig.handle(interface.Established(5, 0, 101, 100.0))
    assert sent_to(rig.request(ref=6, dest=1)) == [1], "one good answer is enough"


@pytest.mark.parametrize(("size", "tries"), [(20.0, 2), (0.0, 3)])
def test_a_call_tries_two_tandems_or_more_if_its_destination_has_no_group(size: float, tries: int) -> None:
    """Without a direct group a tandem is the ordinary route, not overflow; max_tries still limits it."""
    rig = Rig(replace(SETTINGS, limits=replace(SETTINGS.limits, max_tries=4)), count=9)
    rig.report_circuits(1, 0.0, size)
    sends = len(actions_of_type(rig.request(dest=1), interface.Send))
    for attempt in range(4):
        sent = rig.controller.calls[1].sent_to if 1 in rig.controller.calls else None
        if sent is None:
            rig.handle(interface.TimerExpired(POLL_LABEL), 900.0)
            continue
        answers = rig.outcome(1, attempt, sent.number, interface.Result.FULL, interface.Note.TURNED_BACK)
        if tries == 3 and not sent_to(answers):
            answers = rig.handle(interface.TimerExpired(POLL_LABEL), 800.0)
        sends += len(actions_of_type(answers, interface.Send))
    assert sends == tries


def test_turn_backs_in_a_row_pause_overflow_to_that_destination_only() -> None:
    """A mark covers one tandem; with dozens of them a full destination would be tried through each."""
    rig = Rig(count=9)
    rig.report_circuits(1, 0)
    rig.report_circuits(2, 0)
    for ref in range(1, 4):
        for attempt, exchange in enumerate(sent_to(rig.request(ref=ref, dest=1))):
            rig.outcome(ref, attempt, exchange, interface.Result.FULL, interface.Note.TURNED_BACK)
        rig.handle(interface.CallerLeft(ref))
    assert rig.controller.exchanges[101].turn_backs > 1
    assert sent_to(rig.request(ref=9, dest=1)) == []
    assert len(sent_to(rig.request(ref=10, dest=2))) == 1


def test_transit_does_not_yield_to_late_calls() -> None:
    rig = Rig()
    rig.set_free_circuits(c1=0, c2=0, c3=0, c4=0)
    rig.request(ref=1, dest=1, width=4.0, patience=8_000)
    rig.now += CLASS.on_time
    rig.report_circuits(1, 3)
    assert sent_to(rig.request(ref=2, dest=1, via=3, transit=True)) == [1]


def count_sends(rig: Rig, exchanges: list[int], answer: float | None, refs: range) -> int:
    """Attempts of calls to the exchanges in turn, each answered after `answer` ms or, for None, never."""
    sends = 0
    for ref in refs:
        for send in actions_of_type(
            rig.request(ref=ref, dest=exchanges[ref % len(exchanges)], patience=2_500), interface.Send
        ):
            sends += 1
            exchange = send.office - 100
            if answer is None:
                rig.outcome(send.ref, 0, exchange, interface.Result.TIMEOUT, elapsed=2_000.0)
                rig.handle(interface.CallerLeft(send.ref))
            else:
                rig.handle(interface.Established(send.ref, 0, exchange, answer))
        rig.handle(interface.CallerLeft(ref), 100.0)
    return sends


@pytest.mark.parametrize("count", [6, 60])
def test_an_overload_of_all_exchanges_limits_all_own_set_ups_until_it_ends(count: int) -> None:
    """With sixty exchanges no single window sees two late answers in a row, so the load stayed as offered."""
    rig = Rig(count=count)
    exchanges = list(range(1, count + 1))
    assert count_sends(rig, exchanges, 30.0, range(1_000, 1_100)) == 100
    assert count_sends(rig, exchanges, None, range(2_000, 2_100)) < 40, "far below the offered load"
    assert count_sends(rig, exchanges, 30.0, range(3_000, 3_100)) > 60, (
        "the limit ends soon after the overload"
    )


def test_one_silent_exchange_does_not_limit_calls_to_the_others() -> None:
    rig = Rig(count=6)
    assert count_sends(rig, [1, 2, 3, 4, 5, 6], 30.0, range(1_000, 1_060)) == 60
    count_sends(rig, [1], None, range(2_000, 2_040))
    assert count_sends(rig, [2, 3, 4, 5, 6], 30.0, range(3_000, 3_060)) == 60


def test_the_advised_tandem_goes_first_only_after_a_turn_back() -> None:
    """The tandem with the most free first leg may have no second leg, which isn't visible here."""
    rig = Rig(replace(SETTINGS, route_advice=True))
    rig.set_free_circuits(c1=0, c2=9, c3=15, c4=12)
    assert sent_to(rig.request(ref=1, dest=1, via=2)) == [3]
    assert sent_to(rig.outcome(1, 0, 3, interface.Result.FULL, interface.Note.TURNED_BACK)) == [2]
    rig.handle(interface.Established(1, 1, 102, 30.0))
    assert sent_to(rig.request(ref=2, dest=1, via=2)) == [4], (
        "after an established call the ordinary choice applies"
    )


WITH_PEER_MESSAGES = replace(SETTINGS, limits=replace(SETTINGS.limits, peer_messages=True))


def test_full_groups_are_reported_to_the_peers_which_mark_the_tandem() -> None:
    """Without the message, a call tries dozens of full tandems one by one."""
    sender, rig = Rig(replace(WITH_PEER_MESSAGES, own_exchange=3)), Rig(WITH_PEER_MESSAGES)
    for exchange, free in ((1, 0.0), (2, 9.0), (0, 9.0), (4, 1.0)):
        sender.report_circuits(exchange, free)
    actions = sender.handle(interface.TimerExpired(POLL_LABEL + 2))
    message = actions_of_type(actions, interface.NotifyPeers)[0]
    assert message.peer is None and actions_of_type(actions, interface.StartTimer), (
        "the next message is scheduled"
    )
    rig.set_free_circuits(c1=0, c2=9, c3=15, c4=12)
    rig.handle(interface.PeerMessage(3, message.body))
    assert sent_to(rig.request(ref=1, dest=1)) == [4]
    rig.report_circuits(2, 0)
    assert sent_to(rig.request(ref=2, dest=2)) == [3], "it was not reported full for this destination"
    sender.report_circuits(1, 9.0)
    rig.now += 8_000.0
    rig.handle(
        interface.PeerMessage(
            3,
            actions_of_type(sender.handle(interface.TimerExpired(POLL_LABEL + 2)), interface.NotifyPeers)[
                0
            ].body,
        )
    )
    assert sent_to(rig.request(ref=3, dest=1)) == [3], "the tandem has free circuits again"


@pytest.mark.parametrize("body", [b"", b"\x03", b"\x03\x00", b"\xff" * 256, b"\x63\x00\xff"])
def test_malformed_peer_messages_are_ignored(body: bytes) -> None:
    rig = Rig(WITH_PEER_MESSAGES)
    rig.set_free_circuits(c1=0, c2=9, c3=15, c4=12)
    assert rig.handle(interface.PeerMessage(9, body)) == NO_ACTIONS
    assert sent_to(rig.request(dest=1)) == [3]


def test_peer_messages_are_sent_only_where_allowed() -> None:
    entries = (interface.Entry(101, 1), interface.Entry(102, 2))
    for variant, scheduled in ((SETTINGS, False), (WITH_PEER_MESSAGES, True)):
        first = Controller(variant, 1).handle(0.0, interface.Members(interface.ListForm.FULL, 1, entries))
        assert bool(actions_of_type(first, interface.StartTimer)) == scheduled


def test_a_slow_own_processor_does_not_limit_the_other_exchanges() -> None:
    """A server with a slow processor limited every exchange to a trickle, long after it had recovered."""
    rig = Rig(count=20)
    count_sends(rig, list(range(1, 21)), None, range(1_000, 1_060))
    assert rig.controller.own_processor.window < 1.0
    assert sum(x.window < 1.0 for x in rig.controller.exchanges.values()) < 10
