"""All decisions of one call controller. Types, events and actions: ospreybridge/interface.py.

A call goes direct while the trunk group to its destination has enough free circuits. Otherwise it overflows
to the tandem whose first-leg group has the most free circuits, except tandems marked because they lately
turned back a call to that destination. In the pools layout it overflows to the allowed pool with the most
free agents. A call without a route waits, within its caller's time. Each exchange has a window: the number of
unanswered set-ups allowed towards it.

The controller does no I/O and reads no clock: events carry the time, and all randomness comes from the seed.
Times are milliseconds. "On-time target" is the class's on_time; the controller's is the smallest of all.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from math import log
from random import Random
from typing import Any

from ospreybridge.interface import (
    Action,
    CallClass,
    CallerLeft,
    Cancel,
    Discovery,
    Entry,
    Established,
    Event,
    Fail,
    FinalAnswerDue,
    Layout,
    ListForm,
    Members,
    Note,
    NotifyPeers,
    Outcome,
    PeerMessage,
    Probed,
    Readiness,
    Refuse,
    Remark,
    Request,
    Result,
    RetryScope,
    Semantics,
    Send,
    Settings,
    StartTimer,
    Subscribe,
    TimerExpired,
)

# Lifetime of a mark, set on a (tandem, destination) pair that turned back a call.
MARK_LIFETIME_MS = 10_000.0
# Interval between messages to the peers about full trunk groups, as a fraction of the mark lifetime.
PEER_MESSAGE_INTERVAL_FRACTION = 0.5
# Ticks kept free before the caller's time ends, so that the final answer is in time.
ANSWER_MARGIN_TICKS = 2.0
# Worth factor of a call that was cut and dialled again: without it, all that the call earned is lost.
CUT_CALL_WORTH_FACTOR = 2.0
# Trunk reservation: fraction of a group kept free of overflow, transit and late calls.
RESERVED_FRACTION = 0.1
# Windows, in unanswered set-ups: initial value for a new exchange or processor, and maximum for one exchange.
INITIAL_WINDOW = 4.0
MAX_WINDOW = 6.0
# Answer delays as fractions of the on-time target: up to the first the window widens, beyond the second it
# narrows.
GOOD_DELAY_FRACTION = 0.12
BAD_DELAY_FRACTION = 0.25
# Pause of overflow to a destination, per consecutive turn-back after the first, in usual set-up intervals.
TURN_BACK_GAP_FACTOR = 0.1
# Factor on a window after a late or missing answer; set-ups sent before the last decrease don't count again.
WINDOW_DECREASE_FACTOR = 0.6
# The same for the window over all own set-ups, which sees many more such answers.
OWN_WINDOW_DECREASE_FACTOR = 0.8
# Smallest window: one set-up, then a gap of four times its duration.
MIN_WINDOW = 0.2
# Largest factor on both delay limits. Where set-ups to one exchange are rare, its window depends on single
# answers, so a longer delay is tolerated.
MAX_DELAY_TOLERANCE = 2.0
# Longest gap of a window below one, in usual set-up intervals; the limit is never below one on-time target.
MAX_GAP_FACTOR = 1.0
# Pause after a processor reported that it is full, as a fraction of the on-time target; a longer wait that it
# asks for wins.
FULL_PROCESSOR_PAUSE_FRACTION = 0.3
# Time-out of an attempt that can still be on time, as a fraction of the time left until the on-time target.
ON_TIME_TIMEOUT_FRACTION = 1.0
# Fraction used of one server's share of the load that a cold exchange may get.
COLD_BUDGET_FRACTION = 0.6
# Growth of the pace towards a cold exchange that answers in time, per overload period (Rules.overload_for).
# It is below the overload factor wherever that is above 1.5.
COLD_PACE_GROWTH = 1.5
# Largest multiple of the first pace; by then the exchange answered in time for several overload periods.
MAX_COLD_PACE_FACTOR = 4.0
# History of own set-ups that gives the usual pace: dozens of calls even at a small exchange.
SEND_HISTORY_MS = 10_000.0
# Half-life of the call counts per tenant and per warm exchange: long enough for dozens of calls.
TRAFFIC_HALF_LIFE_MS = 10_000.0
# Weight of the newest answer in the usual set-up time.
SETUP_TIME_SMOOTHING = 0.1
# Interval at which waiting calls are reviewed without another event, as a fraction of the on-time target.
POLL_INTERVAL_FRACTION = 0.04
# Results after which the far end may still hold the attempt: the next one waits for the release time.
UNRELEASED_RESULTS = (Result.TIMEOUT, Result.RESET, Result.CANCELLED)
# Results that prove the attempt wasn't executed; after any other, a repeat might execute the call twice.
NOT_EXECUTED_RESULTS = (Result.FULL, Result.CONNECT_FAILED, Result.MOOT)
# Timer labels from here on are the controller's own: poll, +1 subscribe again, +2 report full groups to the
# peers. Labels below are call references.
POLL_LABEL = 1 << 40


class Exchange:
    """What is known of one exchange (or pool): its trunk group from here and how it answers set-ups."""

    def __init__(self, entry: Entry) -> None:
        self.office, self.number, self.zone = entry.office, entry.exchange, entry.zone
        self.readiness, self.started_at = entry.readiness, entry.started_at
        # Circuits of the trunk group; until the first report the group counts as open.
        self.free, self.size, self.reserved = float("inf"), 0.0, 1.0
        # trickle_logged: a remark reported the window below one, and none yet that it recovered.
        self.window, self.trickle_logged = INITIAL_WINDOW, False
        self.unanswered: dict[tuple[int, int], float] = {}  # unanswered attempts: time of sending
        # Set-ups sent before narrowed_at don't narrow the window again; none is sent before resume_at.
        self.narrowed_at, self.resume_at = 0.0, 0.0
        # No overflow to this destination before overflow_at; turn_backs counts those in a row.
        self.overflow_at, self.turn_backs = 0.0, 0
        # Set-ups sent while warm and answering in time, decaying with TRAFFIC_HALF_LIFE_MS.
        self.warm_sends, self.warm_sends_at = 0.0, 0.0
        # While cold: multiple of the first pace, raised by answers in time.
        self.pace_factor, self.pace_factor_at = 1.0, 0.0


class Call:
    """One call that this server must answer, from its arrival until it is established or ends."""

    def __init__(self, request: Request, call_class: CallClass, now: float, answer_margin: float) -> None:
        self.request, self.call_class, self.tenant_factor, self.first_tried_at, self.arrived_at = (
            request,
            call_class,
            1.0,
            now,
            now,
        )
        self.on_time_until = min(now + call_class.on_time, request.expires)
        self.answer_by = request.expires - answer_margin  # latest time of the final answer
        self.attempt_count, self.turn_backs = 0, 0
        # No attempt before not_before (release time). Once an attempt may have been executed, a guarded class
        # allows none from retry_window_end on.
        self.not_before, self.retry_window_end = now, 0.0
        self.sent_to: Exchange | None = None  # exchange of the unanswered attempt
        # maybe_executed: an earlier attempt may have taken effect at the far end.
        self.established, self.maybe_executed = False, False
        self.scope_exchange: Exchange | None = None  # exchange that the retry scope refers to
        self.queue_order = 0  # position among the waiting calls


class Controller:
    """Decides on every call of one call server: takes events, returns actions.

    Unless its caller leaves first, each request ends in an attempt that is `Established`, in `Refuse` or in
    `Fail`, exactly once. The host must report a `TimerExpired` for each `StartTimer` and one `Outcome` for
    each `Send`.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        """Raises ValueError, naming the settings key, if the settings are invalid."""
        check_settings(settings)
        self.settings, self.random = settings, Random(seed)
        self.mesh = settings.layout is Layout.MESH
        # The own exchange is on the path of every own set-up: its window bounds all of them together.
        self.own_processor = Exchange(Entry(-1, settings.own_exchange))
        self.exchanges: dict[int, Exchange] = {}  # all listed exchanges, by office
        self.ready_exchanges: dict[int, Exchange] = {}  # those that accept calls, by exchange number
        self.calls: dict[int, Call] = {}  # from request to final answer and outcome, by reference
        self.waiting: dict[int, Call] = {}  # calls waiting for a route, by reference
        self.queues: dict[int, dict[int, Call]] = {}  # the same calls by destination
        self.queued_count = 0  # calls that ever began to wait; gives their order
        # By (call reference, attempt number): exchanges on the path, time of sending, destination.
        self.attempts: dict[tuple[int, int], tuple[list[Exchange], float, int]] = {}
        # By (called number, destination, class): when a caller without service first tried.
        self.unserved_since: dict[tuple[int, int, int], float] = {}
        self.marks: dict[tuple[int, int], float] = {}  # (tandem, destination): end of the mark
        # Calls seen per tenant, decaying with TRAFFIC_HALF_LIFE_MS.
        self.tenant_calls, self.tenant_calls_at = [0.0 for _ in settings.tenants], 0.0
        # Least circuit time (holding time times width, ms) of all classes.
        self.min_circuit_time = max(1.0, min(each.hold * each.width for each in settings.classes))
        self.on_time = min(each.on_time for each in settings.classes)
        self.last_late_path: list[Exchange] = []  # path of the last late or missing answer
        self.recent_sends: deque[float] = deque()  # times of own set-ups in SEND_HISTORY_MS
        self.usual_setup_time = 0.0  # ms from sending to establishment, smoothed
        self.first_event_at = -1.0
        self.poll_scheduled, self.dispatch_due = False, False
        self.actions: list[Action] = [Subscribe(True)] if settings.discovery is Discovery.SUBSCRIBE else []
        self.handlers: dict[type, Callable[[float, Any], None]] = {
            Request: self._on_request,
            Established: self._on_established,
            Outcome: self._on_outcome,
            Probed: self._update_circuits,
            Members: self._on_members,
            CallerLeft: self._on_caller_left,
            FinalAnswerDue: self._on_final_answer_due,
            TimerExpired: self._on_timer,
            PeerMessage: self._on_peer_message,
        }

    def handle(self, now: float, event: Event) -> list[Action]:
        """Takes one event at time `now` (ms) and returns the actions to perform, in order."""
        self.first_event_at = now if self.first_event_at < 0 else self.first_event_at
        self.dispatch_due = type(event) is Members  # whether a waiting call may have a route now
        handler = self.handlers.get(type(event))
        if handler is not None:
            handler(now, event)
        review_waiting = type(event) is Members or (type(event) is TimerExpired and event.label >= POLL_LABEL)
        for call in list(self.waiting.values()) if review_waiting else ():
            self._wait_or_end(now, call)
        if self.dispatch_due and self.waiting and self._accepts_setup(now, self.own_processor):
            self._dispatch_waiting(now)
        self._schedule_poll()
        actions, self.actions = self.actions, []
        return actions

    # -- exchange list and circuits

    def _on_members(self, now: float, event: Members) -> None:
        """Applies an exchange list or a change to it; schedules a new subscription after a failed one."""
        if event.form is ListForm.FAILED:
            self.actions.append(
                StartTimer(POLL_LABEL + 1, self.settings.rules.ask_within * self.random.uniform(0.1, 0.3))
            )
            return
        if not self.exchanges and self.mesh and self.settings.limits.peer_messages:
            self.actions.append(
                StartTimer(POLL_LABEL + 2, self.on_time * self.random.random() + self.settings.tick)
            )
        listed, starting = {entry.office for entry in event.entries}, []
        for entry in event.entries:
            exchange = self.exchanges.get(entry.office)
            newly_started = exchange is None or (
                entry.started_at != exchange.started_at and entry.readiness is Readiness.READY
            )
            if exchange is None:
                exchange = Exchange(entry)
                for old in self.exchanges.values():  # a new processor takes over the old one's trunk groups
                    if old.number == entry.exchange:
                        exchange.free, exchange.size, exchange.reserved = old.free, old.size, old.reserved
                        exchange.warm_sends, exchange.warm_sends_at = old.warm_sends, old.warm_sends_at
                self.exchanges[entry.office] = exchange
            exchange.readiness, exchange.started_at, exchange.number = (
                entry.readiness,
                entry.started_at,
                entry.exchange,
            )
            if newly_started:
                starting.append(exchange)
        self.exchanges = {
            office: x
            for office, x in self.exchanges.items()
            if x.readiness is not Readiness.GONE and (office in listed or event.form is ListForm.DELTA)
        }
        self.ready_exchanges = {
            x.number: x for x in self.exchanges.values() if x.readiness is Readiness.READY
        }
        # All servers learn of a start at about the same time: a random delay spreads their first set-ups.
        for cold in starting:
            cold.window, cold.pace_factor, cold.pace_factor_at = INITIAL_WINDOW, 1.0, now
            cold.resume_at = now + self._cold_gap(now, cold) * self.random.random()

    def _update_circuits(self, now: float, event: Probed | Outcome) -> None:
        """Updates an exchange's trunk group from a load report."""
        exchange, report = self.exchanges.get(event.office), event.report
        if exchange is not None and report is not None and report.free is not None:
            self.dispatch_due = self.dispatch_due or report.free >= exchange.free
            exchange.free, exchange.size = report.free, report.size or 0.0
            exchange.reserved = max(1.0, RESERVED_FRACTION * exchange.size)

    def _report_full_groups(self) -> None:
        """Sends the peers a bit mask of the exchanges to which this one has no circuits for overflow.

        The peers mark them as if this tandem had turned back a call. Without it a call tries dozens of full
        tandems one by one. The message is seconds old when it is used; losing one does no harm. With exchange
        numbers below 2,000 the body has at most 253 octets, so it fits into one SCCP unitdata message (254).
        """
        full_mask = sum(
            1 << x.number
            for x in self.ready_exchanges.values()
            if x.free < 1.0 + x.reserved and x.number < 2_000
        )
        body = self.settings.own_exchange.to_bytes(2, "little") + full_mask.to_bytes(
            full_mask.bit_length() // 8 + 1, "little"
        )
        self.actions.append(NotifyPeers(None, body))
        self.actions.append(
            StartTimer(
                POLL_LABEL + 2,
                PEER_MESSAGE_INTERVAL_FRACTION * MARK_LIFETIME_MS * self.random.uniform(0.9, 1.1),
            )
        )

    def _on_peer_message(self, now: float, event: PeerMessage) -> None:
        """Marks a tandem for the destinations it reported full; other messages are ignored.

        The marks last 1.5 message intervals: the next message renews those that still apply.
        """
        sender, full_mask = int.from_bytes(event.body[:2], "little"), int.from_bytes(event.body[2:], "little")
        for number in self.ready_exchanges if len(event.body) > 2 and sender in self.ready_exchanges else ():
            if full_mask >> number & 1:
                self.marks[(sender, number)] = now + 1.5 * PEER_MESSAGE_INTERVAL_FRACTION * MARK_LIFETIME_MS

    # -- calls: arrival, waiting, final answer

    def _on_request(self, now: float, request: Request) -> None:
        """Admits a new call: it waits for a route or gets its final answer at once.

        A transit call never waits: it is sent on or refused at once.
        """
        call = Call(
            request, self.settings.classes[request.class_index], now, ANSWER_MARGIN_TICKS * self.settings.tick
        )
        call.tenant_factor = self._tenant_factor(now, request)
        self._apply_first_try(now, call)
        self.calls[request.ref] = call
        # A call to the own exchange, handed over while another server was down, has no route from here.
        undeliverable = call.answer_by <= now or request.dest == self.settings.own_exchange
        if undeliverable or (request.transit and not self._send_transit(now, call)):
            self._refuse_or_fail(now, call)
        elif not request.transit and self._wait_or_end(now, call):
            self.dispatch_due = True
            self.actions.append(StartTimer(request.ref, call.answer_by - now))

    def _apply_first_try(self, now: float, call: Call) -> None:
        """Counts a redialling caller's time from its first try, because its on-time target ran on meanwhile.

        A redial is recognised by `Request.redial` or, where callers don't set it, by number, destination and
        class. A flagged redial whose first try isn't known here counts as late.
        """
        request = call.request
        if request.transit or request.after_cut or (self.settings.redials_marked and not request.redial):
            return
        first_tried_at = self.unserved_since.pop(
            (request.called_number, request.dest, request.class_index), None
        )
        if first_tried_at is None and request.redial:
            first_tried_at = now - call.call_class.on_time
        if first_tried_at is not None and now - first_tried_at < call.call_class.deadline:
            call.first_tried_at, call.on_time_until = (
                first_tried_at,
                min(first_tried_at + call.call_class.on_time, request.expires),
            )

    def _remember_unserved(self, now: float, call: Call) -> None:
        """Remembers the first try of a caller who got no service; drops the oldest entry once it expired."""
        request = call.request
        if request.transit:
            return
        self.unserved_since[(request.called_number, request.dest, request.class_index)] = call.first_tried_at
        oldest = next(iter(self.unserved_since))
        if now - self.unserved_since[oldest] > call.call_class.deadline:
            del self.unserved_since[oldest]

    def _tenant_factor(self, now: float, request: Request) -> float:
        """Worth factor of a tenant's call: the share of the tenant's traffic here that its quota covers.

        One server can't see the fleet's traffic, so it compares the mix of what it sees with the quotas.
        """
        if request.transit or not 0 <= request.tenant < len(self.tenant_calls):
            return 1.0
        decay = 0.5 ** ((now - self.tenant_calls_at) / TRAFFIC_HALF_LIFE_MS)
        self.tenant_calls, self.tenant_calls_at = [count * decay for count in self.tenant_calls], now
        self.tenant_calls[request.tenant] += 1.0
        quotas = [tenant.quota_per_s or tenant.share for tenant in self.settings.tenants]
        quota_calls = sum(self.tenant_calls) * quotas[request.tenant] / max(sum(quotas), 1e-9)
        covered_share = min(1.0, quota_calls / self.tenant_calls[request.tenant])
        return covered_share + (1.0 - covered_share) * self.settings.over_share_worth

    def _send_transit(self, now: float, call: Call) -> bool:
        """Sends a transit call on; False if it must be turned back.

        It holds a circuit already, so it never waits. It yields to own calls that wait and can still be on
        time.
        """
        dest = self.ready_exchanges.get(call.request.dest)
        call_waiting = any(now < x.on_time_until for x in self.queues.get(call.request.dest, {}).values())
        if (
            call_waiting
            or dest is None
            or not self._accepts_setup(now, dest)
            or not self._has_circuits(dest, call, True)
        ):
            return False
        self._send(now, call, dest, [dest])
        return True

    def _wait_or_end(self, now: float, call: Call) -> bool:
        """Lets a call wait while it can still be sent; otherwise ends it now and returns False.

        A call isn't held in vain where its destination accepts no calls, its class forbids another attempt,
        too little time is left for a set-up (callers who hang up early), or the on-time target has passed and
        no trunk group leads to the destination. Drawback: a call to an exchange that comes back within the
        caller's time gets there only by a redial.
        """
        earliest_send, dest = max(now, call.not_before), self.ready_exchanges.get(call.request.dest)
        unsendable = dest is None or not self._retry_allowed(earliest_send, call, call.scope_exchange or dest)
        late_without_group = (
            dest and earliest_send >= call.on_time_until and max(dest.free, dest.size) < call.request.width
        )
        if unsendable or late_without_group or earliest_send + self.usual_setup_time > call.answer_by:
            self._refuse_or_fail(now, call)
            return False
        ref = call.request.ref
        if ref not in self.waiting:
            self.queued_count += 1
            call.queue_order = self.queued_count
            self.waiting[ref] = self.queues.setdefault(call.request.dest, {})[ref] = call
        return True

    def _dequeue(self, ref: int) -> None:
        """Removes a call from the waiting calls, if it waits."""
        call = self.waiting.pop(ref, None)
        if call is not None:
            queue = self.queues[call.request.dest]
            del queue[ref]
            if not queue:
                del self.queues[call.request.dest]

    def _refuse_or_fail(self, now: float, call: Call) -> None:
        """Gives the final answer to a call without service.

        `Refuse` invites a redial, so it is given only where a repeat is safe; otherwise the call gets `Fail`.
        """
        ref, limits, dest = (
            call.request.ref,
            self.settings.limits,
            self.ready_exchanges.get(call.request.dest),
        )
        self.calls.pop(ref, None)
        self._dequeue(ref)
        self._remember_unserved(now, call)
        guarded_everywhere = (
            call.call_class.semantics is Semantics.GUARDED and call.call_class.retry_scope is RetryScope.ALL
        )
        safe_to_retry = (
            not call.maybe_executed or call.call_class.semantics is Semantics.FREE or guarded_everywhere
        )
        # The caller should return after as long as it waited in vain, or when the next set-up is allowed.
        retry_wait = (
            max(now - call.arrived_at, dest.resume_at - now, self.own_processor.resume_at - now)
            if dest
            else float("inf")
        )
        retry_after = (
            min(retry_wait, limits.max_retry_after)
            if limits.retry_after and not call.request.transit
            else 0.0
        )
        self.actions.append(Refuse(ref, retry_after) if safe_to_retry else Fail(ref))

    def _retry_allowed(self, now: float, call: Call, exchange: Exchange) -> bool:
        """Whether a call may be sent to an exchange at this time.

        Once an attempt may have been executed, classes with an effect limit where and when the next may go.
        """
        if not call.maybe_executed or call.call_class.semantics is Semantics.FREE:
            return True
        if (
            call.call_class.semantics is Semantics.SINGLE_SHOT
            or now >= call.retry_window_end
            or call.scope_exchange is None
        ):
            return False
        if call.call_class.retry_scope is RetryScope.ZONE:
            return exchange.zone == call.scope_exchange.zone
        return call.call_class.retry_scope is RetryScope.ALL or (
            exchange.number == call.scope_exchange.number and exchange.number in self.ready_exchanges
        )

    def _on_caller_left(self, now: float, event: CallerLeft) -> None:
        """Drops a call whose caller hung up and cancels its unanswered attempt where that is allowed."""
        call = self.calls.pop(event.ref, None)
        self._dequeue(event.ref)
        if call is None or call.established:
            return
        self._remember_unserved(now, call)
        if call.sent_to is not None and self.settings.limits.cancel:
            self.actions.append(Cancel(event.ref, call.attempt_count - 1))

    def _on_final_answer_due(self, now: float, event: FinalAnswerDue) -> None:
        """Ends a call that its host can't serve any longer; an attempt that is out may have been executed."""
        call = self.calls.get(event.ref)
        if call is None or call.established:
            return
        if call.sent_to is not None:
            call.maybe_executed = True
            if self.settings.limits.cancel:
                self.actions.append(Cancel(event.ref, call.attempt_count - 1))
        self._refuse_or_fail(now, call)

    # -- routes

    def _worth(self, now: float, call: Call) -> float:
        """Rank of a waiting call, higher first; where circuits are short it is the worth per circuit time."""
        call_class = call.call_class
        worth = call.tenant_factor * call_class.importance
        dest = self.ready_exchanges.get(call.request.dest)
        if dest is None or not self._has_circuits(dest, call, True):
            worth *= self.min_circuit_time / (call.request.width * max(1.0, call_class.hold))
        if call.request.after_cut:
            worth *= CUT_CALL_WORTH_FACTOR
        if now >= call.on_time_until:
            worth *= call_class.late_worth
        return worth

    def _accepts_setup(self, now: float, exchange: Exchange) -> bool:
        """Whether the exchange's gap is over and its window has room for one more set-up."""
        return now >= exchange.resume_at and (
            not exchange.unanswered or len(exchange.unanswered) + 1 <= exchange.window
        )

    def _usual_interval(self, now: float, exchange: Exchange | None = None) -> float:
        """Usual interval (ms) between own set-ups to one exchange: the mean over all, from recent sends.

        For the own exchange it is the interval between any two own set-ups.
        """
        exchange_count = max(1, len(self.exchanges)) if exchange is not self.own_processor else 1
        exchanges_per_send = exchange_count / (len(self.recent_sends) + 1)
        return min(
            SEND_HISTORY_MS,
            exchanges_per_send * min(SEND_HISTORY_MS, max(now - self.first_event_at, self.on_time)),
        )

    def _cold_gap(self, now: float, exchange: Exchange) -> float:
        """Mean gap (ms) between own set-ups to a processor that started lately; 0 once it is warm.

        The servers together must not overload a cold processor. Each knows what the warm one accepted from
        here but not the peers' part, so each limits itself, however many they are: to the mean of its usual
        pace to any exchange and its usual pace to this one. The sum over all servers is then never above the
        usual load of this exchange or of all. While it answers in time it isn't full, and the pace may rise
        a little.
        Drawback: a server that has just restarted is too careful.
        """
        pace_share = max(
            0.01, COLD_BUDGET_FRACTION * self.settings.rules.overload_factor * self.settings.rules.cold_share
        )
        warm_up_left = (
            exchange.started_at + self.settings.rules.warm_after - now if exchange.started_at > 0 else 0.0
        )
        usual_pace = (
            1.0 / self._usual_interval(now) + exchange.warm_sends * log(2.0) / TRAFFIC_HALF_LIFE_MS
        ) / 2.0
        return max(0.0, min(warm_up_left, 1.0 / (usual_pace * pace_share * exchange.pace_factor)))

    def _raise_cold_pace(self, now: float, exchange: Exchange) -> None:
        """Raises the pace after an answer in time, by at most COLD_PACE_GROWTH per overload period."""
        period_fraction = min(
            1.0, (now - exchange.pace_factor_at) / max(self.settings.rules.overload_for, 1.0)
        )
        exchange.pace_factor, exchange.pace_factor_at = (
            min(MAX_COLD_PACE_FACTOR, exchange.pace_factor * COLD_PACE_GROWTH**period_fraction),
            now,
        )

    def _has_circuits(self, exchange: Exchange, call: Call, keep_reserve: bool) -> bool:
        """Whether the trunk group has the call's width free, beyond the reserve if that is kept."""
        return exchange.free >= call.request.width + (exchange.reserved if keep_reserve else 0.0)

    def _dispatch_waiting(self, now: float) -> None:
        """Sends waiting calls that have a route, in descending order of worth."""
        open_tandems = [
            x
            for x in self.ready_exchanges.values()
            if x.free >= 1.0 + x.reserved
            and self._accepts_setup(now, x)
            and x.number != self.settings.own_exchange
        ]
        candidates = []
        for number, queue in self.queues.items():
            dest = self.ready_exchanges.get(number)
            if dest is None or not self._accepts_setup(now, dest):
                continue
            overflow_possible = now >= dest.overflow_at and (
                not self.mesh
                or any(x is not dest and self.marks.get((x.number, number), 0.0) <= now for x in open_tandems)
            )
            if dest.free >= 1.0 or overflow_possible:  # else no call has a route there
                candidates += [
                    queued
                    for queued in queue.values()
                    if now >= queued.not_before
                    and (
                        dest.free >= 1.0
                        or (now < queued.on_time_until and (queued.turn_backs < 2 or not dest.size))
                    )
                ]
        short_of_circuits: set[int] = set()  # destinations where a call of higher rank waits for circuits
        # By destination: width of a call that found no route just now; none as wide is tried again.
        blocked_width: dict[int, float] = {}
        for call in sorted(candidates, key=lambda queued: (-self._worth(now, queued), queued.queue_order)):
            if not self._accepts_setup(now, self.own_processor):
                return
            dest = self.ready_exchanges[call.request.dest]
            if call.request.width < blocked_width.get(dest.number, float("inf")) and self._accepts_setup(
                now, dest
            ):
                self._route(now, call, dest, short_of_circuits, open_tandems)
                unrestricted = (
                    now < call.on_time_until and call.turn_backs < 2 and not call.maybe_executed and self.mesh
                )
                if unrestricted and call.request.ref in self.waiting:
                    blocked_width[dest.number] = call.request.width

    def _route(
        self,
        now: float,
        call: Call,
        dest: Exchange,
        short_of_circuits: set[int],
        open_tandems: list[Exchange],
    ) -> None:
        """Sends one call direct or through a tandem, or leaves it waiting.

        Late calls get no overflow and leave the reserved circuits alone. A call is turned back twice at most,
        unless no trunk group leads to its destination: there a tandem is the ordinary route.
        """
        past_on_time = now >= call.on_time_until
        direct = dest.number not in short_of_circuits and self._has_circuits(dest, call, past_on_time)
        if direct and self._retry_allowed(now, call, dest):
            self._send(now, call, dest, [dest])
            return
        short_of_circuits.add(dest.number)
        if past_on_time or (call.turn_backs > 1 and dest.size) or now < dest.overflow_at:
            return
        tandems = [
            x
            for x in open_tandems
            if x.number != dest.number
            and (self.mesh or x.number in call.call_class.allowed_pools)
            and self.marks.get((x.number, dest.number), 0.0) <= now
            and self._accepts_setup(now, x)
            and self._has_circuits(x, call, True)
            and self._retry_allowed(now, call, x)
        ]
        if tandems:
            most_free = max(x.free for x in tandems)
            tandem = self.random.choice([x for x in tandems if x.free == most_free])
            # Only the first leg is visible here. After a turn-back the traffic centre's advice, though it is
            # late, says more about the second leg.
            if self.settings.route_advice and (call.turn_backs or dest.turn_backs > 1):
                tandem = next((x for x in tandems if x.number == call.request.via), tandem)
            self._send(now, call, tandem, [tandem, dest] if self.mesh else [tandem])

    def _send(self, now: float, call: Call, next_exchange: Exchange, path: list[Exchange]) -> None:
        """Sends one attempt to `next_exchange`; its answer counts for every exchange on `path`."""
        ref = call.request.ref
        self._dequeue(ref)
        in_time = not call.request.transit and now < call.on_time_until
        timeout = min(
            call.answer_by - now,
            ON_TIME_TIMEOUT_FRACTION * (call.on_time_until - now) if in_time else call.answer_by,
        )
        key = (ref, call.attempt_count)
        self.attempts[key] = (path, now, call.request.dest)
        self.own_processor.unanswered[key] = now
        for exchange in path:
            if exchange.window >= 1.0 and now >= exchange.started_at + self.settings.rules.warm_after:
                exchange.warm_sends = 1.0 + exchange.warm_sends * 0.5 ** (
                    (now - exchange.warm_sends_at) / TRAFFIC_HALF_LIFE_MS
                )
                exchange.warm_sends_at = now
            exchange.unanswered[key] = now
            exchange.resume_at = max(
                exchange.resume_at, now + self._cold_gap(now, exchange) * self.random.uniform(0.5, 1.5)
            )
        while self.recent_sends and now - self.recent_sends[0] >= SEND_HISTORY_MS:
            self.recent_sends.popleft()
        self.recent_sends.append(now)
        next_exchange.free -= call.request.width
        if call.scope_exchange is None:
            call.scope_exchange, call.retry_window_end = next_exchange, now + call.call_class.retry_window
        call.attempt_count, call.sent_to = call.attempt_count + 1, next_exchange
        self.actions.append(Send(ref, next_exchange.office, max(1.0, timeout)))

    # -- answers

    def _on_established(self, now: float, event: Established) -> None:
        """Handles an established call: updates windows, marks and the usual set-up time."""
        key = (event.ref, event.attempt)
        if key not in self.attempts:
            return
        path, _, dest = self.attempts[key]
        call = self.calls.get(event.ref)
        for exchange in (*path, self.own_processor):
            self._update_window(
                now, exchange, key, event.elapsed, call.call_class.on_time if call else self.on_time, path
            )
        if len(path) > 1:
            path[1].turn_backs = 0
            self.marks.pop((path[0].number, dest), None)
        if call is not None:
            call.established = True
            self.usual_setup_time += (
                0.0
                if call.request.transit
                else SETUP_TIME_SMOOTHING * (event.elapsed - self.usual_setup_time)
            )

    def _update_window(
        self,
        now: float,
        exchange: Exchange,
        key: tuple[int, int],
        elapsed: float,
        on_time: float,
        path: list[Exchange],
    ) -> None:
        """Widens or narrows an exchange's window by the delay (ms) of an answer.

        The rarer set-ups to it are, the more delay is tolerated, up to MAX_DELAY_TOLERANCE.
        """
        self.dispatch_due = True
        sent_at = exchange.unanswered.pop(key, now)
        usual_interval = self._usual_interval(now, exchange)
        delay_target = on_time * (
            MAX_DELAY_TOLERANCE
            if exchange is self.own_processor
            else min(MAX_DELAY_TOLERANCE, max(1.0, usual_interval / self.on_time))
        )
        if elapsed <= GOOD_DELAY_FRACTION * delay_target:
            max_window = 1.0 + 2.0 * self.on_time / usual_interval
            max_window = (
                max(INITIAL_WINDOW, max_window)
                if exchange is self.own_processor
                else min(MAX_WINDOW, max_window)
            )
            exchange.window = min(max_window, exchange.window + 1.0 / max(1.0, exchange.window))
            self._raise_cold_pace(now, exchange)
        elif elapsed > BAD_DELAY_FRACTION * delay_target:
            self._narrow_window(now, exchange, sent_at, elapsed, path)
        if exchange.trickle_logged and exchange.window >= 1.0:
            exchange.trickle_logged = False
            self.actions.append(Remark(f"exchange {exchange.number}: answers set-ups in time again"))

    def _narrow_window(
        self, now: float, exchange: Exchange, sent_at: float, elapsed: float, path: list[Exchange]
    ) -> None:
        """Narrows an exchange's window after a late or missing answer; a window below one becomes a gap.

        One decrease counts for all set-ups sent before it. This limits the load on silent, hung, slow, cold
        and flooded processors alike, and that of many servers whose single set-ups are too many together.
        Drawback: a far exchange gets fewer set-ups too while the own processor is slow.

        The own exchange is on every path, so its window gets the late answers of all and falls below the
        offered load even where each far one sees a set-up only every few seconds. So it ends an overload of
        all processors, however many there are. It narrows only after two late answers in a row whose paths
        share no exchange, and while it is below one no other exchange is blamed. Drawback: a third of the
        exchanges silent at once slows the calls to the others too.
        """
        if exchange is self.own_processor:
            may_be_one_exchange = not self.last_late_path or any(hop in self.last_late_path for hop in path)
            self.last_late_path = path
            if may_be_one_exchange:
                return
        elif self.own_processor.window < 1.0:  # the own processor or all are slow
            return
        usual_interval = self._usual_interval(now, exchange)
        exchange.pace_factor, exchange.pace_factor_at = 1.0, now
        if sent_at >= exchange.narrowed_at:
            factor = OWN_WINDOW_DECREASE_FACTOR if exchange is self.own_processor else WINDOW_DECREASE_FACTOR
            exchange.window = max(
                MIN_WINDOW, factor * min(exchange.window, 1.0 + self.on_time / usual_interval)
            )
            exchange.narrowed_at = now
        if exchange.window < 1.0:
            if not exchange.trickle_logged:
                exchange.trickle_logged = True
                self.actions.append(
                    Remark(f"exchange {exchange.number}: set-ups late or unanswered; a trickle only")
                )
            gap = min(
                max(self.on_time, MAX_GAP_FACTOR * usual_interval),
                max(elapsed, usual_interval) * (1.0 / exchange.window - 1.0),
            )
            exchange.resume_at = max(exchange.resume_at, now + gap * self.random.uniform(0.5, 1.5))

    def _on_outcome(self, now: float, event: Outcome) -> None:
        """Handles the end of an attempt: updates windows and marks, then retries the call or ends it."""
        self._update_circuits(now, event)
        key = (event.ref, event.attempt)
        if key not in self.attempts:
            return
        path, sent_at, dest = self.attempts.pop(key)
        was_established = key not in path[0].unanswered
        self.dispatch_due = self.dispatch_due or not was_established
        for exchange in (*path, self.own_processor):
            exchange.unanswered.pop(key, None)
        result, note = event.result, event.note
        if result in (Result.TIMEOUT, Result.CONNECT_FAILED) and not was_established:
            for exchange in (*path, self.own_processor):
                self._narrow_window(now, exchange, sent_at, event.elapsed, path)
        elif result is Result.FULL and note is Note.PROCESSOR_FULL:
            # A full processor refuses fast. A gap derived from that delay would be so short that many servers
            # together would ask it all the time.
            self._narrow_window(
                now,
                path[0],
                sent_at,
                max(event.retry_after, FULL_PROCESSOR_PAUSE_FRACTION * self.on_time),
                path,
            )
            path[0].resume_at = max(
                path[0].resume_at, now + event.retry_after, now + FULL_PROCESSOR_PAUSE_FRACTION * self.on_time
            )
        elif result is Result.FULL and note is Note.TURNED_BACK:
            if event.retry_after > 0:  # the destination's processor is full, not the group to it
                self._narrow_window(
                    now, path[-1], sent_at, FULL_PROCESSOR_PAUSE_FRACTION * self.on_time, path
                )
            elif len(path) > 1:
                self.marks[(path[0].number, dest)] = now + MARK_LIFETIME_MS
                # A mark covers one tandem. With dozens of tandems, the groups of all of them to a destination
                # may be full, so turn-backs in a row pause overflow to it.
                path[1].turn_backs += 1
                gap = min(
                    MARK_LIFETIME_MS,
                    TURN_BACK_GAP_FACTOR * self._usual_interval(now) * (path[1].turn_backs - 1),
                )
                path[1].overflow_at = now + gap * self.random.uniform(0.5, 1.5)
        elif result is Result.MOOT and note is Note.PROCESSOR_FULL:  # the own processor is down
            self.own_processor.resume_at = max(
                self.own_processor.resume_at,
                now + max(event.retry_after, FULL_PROCESSOR_PAUSE_FRACTION * self.on_time),
            )
        call = self.calls.get(event.ref)
        if call is None or call.attempt_count - 1 != event.attempt:
            return
        call.sent_to = None
        if note is Note.NO_CIRCUIT and event.report is None:
            path[0].free = min(path[0].free, call.request.width - 1.0)  # there may be no group at all
        if event.call_ended or was_established:
            self.calls.pop(event.ref, None)
            return
        call.maybe_executed = call.maybe_executed or result not in NOT_EXECUTED_RESULTS
        if not call.maybe_executed:
            call.scope_exchange = None
        call.turn_backs += result is Result.FULL and note is Note.TURNED_BACK
        call.not_before = now + (
            self.settings.rules.release + self.settings.tick if result in UNRELEASED_RESULTS else 0.0
        )
        # An error without a note may be random, so a retry may succeed; one with a note (lines busy) recurs.
        exhausted = call.not_before >= call.answer_by or call.attempt_count >= self.settings.limits.max_tries
        if exhausted or call.request.transit or (result is Result.ERROR and note is not Note.NONE):
            self._refuse_or_fail(now, call)
        else:
            self._wait_or_end(now, call)

    # -- timers

    def _schedule_poll(self) -> None:
        """Starts the timer that reviews waiting calls, unless it runs already."""
        if self.waiting and not self.poll_scheduled:
            self.poll_scheduled = True
            self.actions.append(
                StartTimer(POLL_LABEL, max(self.settings.tick, POLL_INTERVAL_FRACTION * self.on_time))
            )

    def _on_timer(self, now: float, event: TimerExpired) -> None:
        """Handles the controller's own timers; a call's timer ends the call if it still waits."""
        if event.label == POLL_LABEL:
            self.poll_scheduled, self.dispatch_due = False, True
        elif event.label == POLL_LABEL + 1:
            self.actions.append(Subscribe(True))
        elif event.label == POLL_LABEL + 2:
            self._report_full_groups()
        elif event.label in self.waiting:
            self._refuse_or_fail(now, self.waiting[event.label])


def check_settings(settings: Settings) -> None:
    """Raises ValueError that names the key (as in the simulator's settings) of an invalid value."""
    rules = settings.rules
    non_negative = [
        ("FamilyInfo.Guard", rules.release),
        ("Rules.WarmAfter", rules.warm_after),
        ("Round", settings.tick),
        ("Rules.OverloadFor", rules.overload_for),
        ("Rules.DrainGrace", rules.drain_grace),
        ("Rules.AskWithin", rules.ask_within),
        ("Rules.GraceToAnswer", rules.grace_to_answer),
    ]
    positive = [("Classes.count", float(len(settings.classes)))]
    for number, call_class in enumerate(settings.classes):
        key = f"Classes.{number}."
        positive += [(key + "OnTime", call_class.on_time), (key + "Deadline", call_class.deadline)]
        non_negative += [(key + "hold", call_class.hold), (key + "Window", call_class.retry_window)]
    invalid = [item for item in non_negative if item[1] < 0] + [item for item in positive if item[1] <= 0]
    if invalid:
        raise ValueError(f"{invalid[0][0]}: {invalid[0][1]} makes no sense")
