"""All decisions of one call controller. Types, events and actions: ospreybridge/interface.py.

A call goes direct while the own trunk group has its width free; else through the unmarked tandem whose
first-leg group has most free circuits (in pools: the allowed pool with most free agents). A call with no
route now waits within its time. Each exchange has a window of unanswered set-ups.
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

MARK_LIFETIME_MS = 10_000.0  # ms a turn-back keeps (tandem, destination) marked; the design's own value
PEER_MESSAGE_INTERVAL_FRACTION = (
    0.5  # of the mark's age: time between messages to the peers on the own full groups
)
ANSWER_MARGIN_TICKS = 2.0  # ticks kept before a caller's time ends, so that the last answer is in time
CUT_CALL_WORTH_FACTOR = (
    2.0  # times the worth of a call that was cut and comes again: without it all it earned is lost
)
RESERVED_FRACTION = (
    0.1  # share of a group kept free of overflow, transit and second-rate calls (trunk reservation)
)
INITIAL_WINDOW = 4.0  # unanswered set-ups towards an exchange nothing is known of
MAX_WINDOW = 6.0  # most unanswered set-ups towards one exchange
GOOD_DELAY_FRACTION = 0.12  # of the aim: a set-up answered within this widens the window
BAD_DELAY_FRACTION = 0.25  # of the aim: one that took longer narrows it
TURN_BACK_GAP_FACTOR = (
    0.1  # of the usual time: no overflow to a destination, for each turn-back in a row but the first
)
WINDOW_DECREASE_FACTOR = (
    0.6  # factor on the window after a bad sign, at most once per set-up sent since the last
)
OWN_WINDOW_DECREASE_FACTOR = 0.8  # the same for the window over all own set-ups, which gets many more signs
MIN_WINDOW = 0.2  # narrowest window: one set-up, then a gap of four times its duration
MAX_DELAY_TOLERANCE = (
    2.0  # most that both may grow where set-ups to one exchange are rare: one sign must count for more
)
MAX_GAP_FACTOR = 1.0  # of the usual time between set-ups: longest such gap (one aim at least)
FULL_PROCESSOR_PAUSE_FRACTION = (
    0.3  # of the aim: no set-up to a processor that said it is full, where it names no longer wait
)
ON_TIME_TIMEOUT_FRACTION = 1.0  # of the aim left: time-out of an attempt that can still be on time
COLD_BUDGET_FRACTION = 0.6  # of one server's part of the fail-back budget
COLD_PACE_GROWTH = (
    1.5  # growth of the pace to a cold one that answers in time; below any overload factor above it
)
MAX_COLD_PACE_FACTOR = 4.0  # times the first pace: by then it has answered in time for several such windows
SEND_HISTORY_MS = (
    10_000.0  # ms of own set-ups that tell the usual pace, dozens of calls even at a small exchange
)
TRAFFIC_HALF_LIFE_MS = 10_000.0  # ms half-life of the tenants' mix, long enough for dozens of calls
SETUP_TIME_SMOOTHING = 0.1  # weight of the newest answer in the usual duration of a set-up
POLL_INTERVAL_FRACTION = (
    0.04  # of the smallest aim: how often waiting calls are looked at when nothing happens
)
UNRELEASED_RESULTS = (Result.TIMEOUT, Result.RESET, Result.CANCELLED)
NOT_EXECUTED_RESULTS = (Result.FULL, Result.CONNECT_FAILED, Result.MOOT)
POLL_LABEL = 1 << 40


class Exchange:
    """What is known of one exchange (or pool): its own-group circuits and how it answers set-ups."""

    def __init__(self, entry: Entry) -> None:
        self.office, self.cell, self.zone = entry.office, entry.exchange, entry.zone
        self.state, self.started_at = entry.readiness, entry.started_at
        self.free, self.size, self.reserved = float("inf"), 0.0, 1.0  # an unknown group counts as open
        self.window, self.trickle_logged = (
            INITIAL_WINDOW,
            False,
        )  # told: a log line says that it gets a trickle only
        self.pending: dict[tuple[int, int], float] = {}  # unanswered set-ups and when each was sent
        self.narrowed_at, self.resume_at = 0.0, 0.0  # sent before: does not narrow again; no set-up before
        self.overflow_at, self.turn_backs = 0.0, 0  # no overflow before; turn-backs in a row
        self.warm_sends, self.warm_sends_at = (
            0.0,
            0.0,
        )  # set-ups sent while warm and well, halved every MIX_AGE
        self.pace_factor, self.pace_factor_at = (
            1.0,
            0.0,
        )  # while cold: times the first pace, by what it answers in time


class Call:
    """One call this server owes an answer, from its arrival until it stands or ends."""

    def __init__(self, request: Request, call_class: CallClass, now: float, answer_margin: float) -> None:
        self.request, self.call_class, self.tenant_factor, self.first_tried_at, self.arrived_at = (
            request,
            call_class,
            1.0,
            now,
            now,
        )
        self.on_time_until = min(now + call_class.on_time, request.expires)
        self.answer_by = request.expires - answer_margin  # the last moment for an answer
        self.attempt_count, self.turn_backs = 0, 0
        self.not_before, self.retry_window_end = now, 0.0  # not to be sent before this (release)
        self.sent_to: Exchange | None = None  # where its one attempt is out
        self.established, self.maybe_executed = False, False  # doubt: an earlier attempt may have run
        self.scope_exchange: Exchange | None = None
        self.queue_order = 0  # among the waiting


class Controller:
    def __init__(self, settings: Settings, seed: int) -> None:
        check_settings(settings)
        self.settings, self.random = settings, Random(seed)
        self.mesh = settings.layout is Layout.MESH
        self.own = Exchange(
            Entry(-1, settings.own_exchange)
        )  # on the way of every own set-up: one window for all
        self.offices: dict[int, Exchange] = {}
        self.ready: dict[int, Exchange] = {}  # those that take calls, by number
        self.calls: dict[int, Call] = {}
        self.waiting: dict[int, Call] = {}
        self.queues: dict[int, dict[int, Call]] = {}  # the same by destination
        self.queued_count = 0  # calls that ever began to wait: their order
        self.legs: dict[tuple[int, int], tuple[list[Exchange], float, int]] = {}
        self.unserved_since: dict[
            tuple[int, int, int], float
        ] = {}  # number called: when its caller first tried
        self.marks: dict[tuple[int, int], float] = {}
        self.tenant_calls, self.tenant_calls_at = [0.0 for _ in settings.tenants], 0.0
        self.min_circuit_time = max(1.0, min(kind.hold * kind.width for kind in settings.classes))
        self.on_time = min(kind.on_time for kind in settings.classes)
        self.last_late_path: list[Exchange] = []  # the way of the last bad sign
        self.recent_sends: deque[float] = deque()  # own sends of late, for what a warm exchange bears
        self.usual_setup_time = 0.0  # ms a set-up that stands usually takes
        self.first_event_at = -1.0  # time of the first event
        self.poll_scheduled, self.dispatch_due = False, False
        self.actions: list[Action] = [Subscribe(True)] if settings.discovery is Discovery.SUBSCRIBE else []
        self.handlers: dict[type, Callable[[float, Any], None]] = {
            Request: self._on_request,
            Established: self._on_established,
            Outcome: self._on_outcome,
            Probed: self._update_circuits,
            Members: self._on_members,
            CallerLeft: self._on_caller_left,
            TimerExpired: self._on_timer,
            PeerMessage: self._on_peer_message,
        }

    def handle(self, now: float, event: Event) -> list[Action]:
        self.first_event_at = now if self.first_event_at < 0 else self.first_event_at
        self.dispatch_due = type(event) is Members  # whether this event may let a waiting call go
        handler = self.handlers.get(type(event))
        if handler is not None:
            handler(now, event)
        looks = type(event) is Members or (type(event) is TimerExpired and event.label >= POLL_LABEL)
        for call in list(self.waiting.values()) if looks else ():
            self._wait_or_end(now, call)
        if self.dispatch_due and self.waiting and self._accepts_setup(now, self.own):
            self._dispatch_waiting(now)
        self._schedule_poll()
        out, self.actions = self.actions, []
        return out

    # -- the list of exchanges and their circuits

    def _on_members(self, now: float, event: Members) -> None:
        if event.form is ListForm.FAILED:
            self.actions.append(
                StartTimer(POLL_LABEL + 1, self.settings.rules.ask_within * self.random.uniform(0.1, 0.3))
            )
            return
        if not self.offices and self.mesh and self.settings.limits.peer_messages:
            self.actions.append(
                StartTimer(POLL_LABEL + 2, self.on_time * self.random.random() + self.settings.tick)
            )
        listed, started = {entry.office for entry in event.entries}, []
        for entry in event.entries:
            known = self.offices.get(entry.office)
            fresh = known is None or (
                entry.started_at != known.started_at and entry.readiness is Readiness.READY
            )
            if known is None:
                known = Exchange(entry)
                for old in self.offices.values():  # a new processor takes over the groups of the old
                    if old.cell == entry.exchange:
                        known.free, known.size, known.reserved = old.free, old.size, old.reserved
                        known.warm_sends, known.warm_sends_at = old.warm_sends, old.warm_sends_at
                self.offices[entry.office] = known
            known.state, known.started_at, known.cell = entry.readiness, entry.started_at, entry.exchange
            if fresh:
                started.append(known)
        self.offices = {
            office: x
            for office, x in self.offices.items()
            if x.state is not Readiness.GONE and (office in listed or event.form is ListForm.DELTA)
        }
        self.ready = {x.cell: x for x in self.offices.values() if x.state is Readiness.READY}
        for x in started:  # all servers hear of a start at about the same time: each begins at its own
            x.window, x.pace_factor, x.pace_factor_at = INITIAL_WINDOW, 1.0, now
            x.resume_at = now + self._cold_gap(now, x) * self.random.random()

    def _update_circuits(self, now: float, event: Probed | Outcome) -> None:
        known, report = self.offices.get(event.office), event.report
        if known is not None and report is not None and report.free is not None:
            self.dispatch_due = self.dispatch_due or report.free >= known.free
            known.free, known.size = report.free, report.size or 0.0
            known.reserved = max(1.0, RESERVED_FRACTION * known.size)

    def _report_full_groups(self) -> None:
        """Tells the peers to which numbers nothing can go on from here; they mark it as if turned back.

        Guards against dozens of tandems found full one by one. Harm: seconds old; a lost one changes nothing.
        """
        full = sum(1 << x.cell for x in self.ready.values() if x.free < 1.0 + x.reserved and x.cell < 2_000)
        body = self.settings.own_exchange.to_bytes(2, "little") + full.to_bytes(
            full.bit_length() // 8 + 1, "little"
        )
        self.actions.append(NotifyPeers(None, body))
        self.actions.append(
            StartTimer(
                POLL_LABEL + 2,
                PEER_MESSAGE_INTERVAL_FRACTION * MARK_LIFETIME_MS * self.random.uniform(0.9, 1.1),
            )
        )

    def _on_peer_message(self, now: float, event: PeerMessage) -> None:
        sender, full = int.from_bytes(event.body[:2], "little"), int.from_bytes(event.body[2:], "little")
        for cell in self.ready if len(event.body) > 2 and sender in self.ready else ():
            if full >> cell & 1:
                self.marks[(sender, cell)] = now + 1.5 * PEER_MESSAGE_INTERVAL_FRACTION * MARK_LIFETIME_MS

    # -- calls come and go

    def _on_request(self, now: float, request: Request) -> None:
        call = Call(
            request, self.settings.classes[request.class_index], now, ANSWER_MARGIN_TICKS * self.settings.tick
        )
        call.tenant_factor = self._tenant_factor(now, request)
        self._apply_first_try(now, call)
        self.calls[request.ref] = call
        # A call to the own exchange, handed over while another server was down, has no route: back at once.
        stray = call.answer_by <= now or request.dest == self.settings.own_exchange
        if stray or (request.transit and not self._send_transit(now, call)):
            self._refuse_or_fail(now, call)
        elif not request.transit and self._wait_or_end(now, call):
            self.dispatch_due = True
            self.actions.append(StartTimer(request.ref, call.answer_by - now))

    def _apply_first_try(self, now: float, call: Call) -> None:
        """A caller that dials again is judged by its first try, marked or not: the aim ran on meanwhile."""
        request = call.request
        if request.transit or request.after_cut or (self.settings.redials_marked and not request.redial):
            return
        first = self.unserved_since.pop((request.called_number, request.dest, request.class_index), None)
        if first is None and request.redial:
            first = now - call.call_class.on_time
        if first is not None and now - first < call.call_class.deadline:
            call.first_tried_at, call.on_time_until = (
                first,
                min(first + call.call_class.on_time, request.expires),
            )

    def _remember_unserved(self, now: float, call: Call) -> None:
        request = call.request
        if request.transit:
            return
        self.unserved_since[(request.called_number, request.dest, request.class_index)] = call.first_tried_at
        oldest = next(iter(self.unserved_since))
        if now - self.unserved_since[oldest] > call.call_class.deadline:
            del self.unserved_since[oldest]

    def _tenant_factor(self, now: float, request: Request) -> float:
        """Worth of a tenant's call: the part of its traffic here that its quota covers.

        One server cannot see the fleet's traffic; the mix of what it sees is held against the quotas.
        """
        if request.transit or not 0 <= request.tenant < len(self.tenant_calls):
            return 1.0
        fade = 0.5 ** ((now - self.tenant_calls_at) / TRAFFIC_HALF_LIFE_MS)
        self.tenant_calls, self.tenant_calls_at = [count * fade for count in self.tenant_calls], now
        self.tenant_calls[request.tenant] += 1.0
        quotas = [tenant.quota_per_s or tenant.share for tenant in self.settings.tenants]
        due = sum(self.tenant_calls) * quotas[request.tenant] / max(sum(quotas), 1e-9)
        covered = min(1.0, due / self.tenant_calls[request.tenant])
        return covered + (1.0 - covered) * self.settings.over_share_worth

    def _send_transit(self, now: float, call: Call) -> bool:
        """A call in transit holds a circuit already: it goes on at once or is turned back, never held."""
        dest = self.ready.get(call.request.dest)
        waits = any(now < x.on_time_until for x in self.queues.get(call.request.dest, {}).values())
        if (
            waits
            or dest is None
            or not self._accepts_setup(now, dest)
            or not self._has_circuits(dest, call, True)
        ):
            return False
        self._send(now, call, dest, [dest])
        return True

    def _wait_or_end(self, now: float, call: Call) -> bool:
        """A call waits while it can and will be tried; else it ends in this step, with advice when to return.

        Guards against calls held for nothing: a destination that takes no calls, an effect that forbids
        another attempt, too little time for a set-up (callers who hang up early), and past the aim a pair
        without a group. Harm: an exchange back within the caller's time is found by a redial only.
        """
        start, dest = max(now, call.not_before), self.ready.get(call.request.dest)
        barred = dest is None or not self._retry_allowed(start, call, call.scope_exchange or dest)
        late = dest and start >= call.on_time_until and max(dest.free, dest.size) < call.request.width
        if barred or late or start + self.usual_setup_time > call.answer_by:
            self._refuse_or_fail(now, call)
            return False
        ref = call.request.ref
        if ref not in self.waiting:
            self.queued_count += 1
            call.queue_order = self.queued_count
            self.waiting[ref] = self.queues.setdefault(call.request.dest, {})[ref] = call
        return True

    def _dequeue(self, ref: int) -> None:
        call = self.waiting.pop(ref, None)
        if call is not None:
            queue = self.queues[call.request.dest]
            del queue[ref]
            if not queue:
                del self.queues[call.request.dest]

    def _refuse_or_fail(self, now: float, call: Call) -> None:
        ref, limits, dest = call.request.ref, self.settings.limits, self.ready.get(call.request.dest)
        self.calls.pop(ref, None)
        self._dequeue(ref)
        self._remember_unserved(now, call)
        guarded_by_all = (
            call.call_class.semantics is Semantics.GUARDED and call.call_class.retry_scope is RetryScope.ALL
        )
        harmless = not call.maybe_executed or call.call_class.semantics is Semantics.FREE or guarded_by_all
        # Back after as long again as it waited in vain, or when the next set-up may go.
        wait = (
            max(now - call.arrived_at, dest.resume_at - now, self.own.resume_at - now)
            if dest
            else float("inf")
        )
        advice = min(wait, limits.max_retry_after) if limits.retry_after and not call.request.transit else 0.0
        self.actions.append(Refuse(ref, advice) if harmless else Fail(ref))

    def _retry_allowed(self, now: float, call: Call, to: Exchange) -> bool:
        """Once an attempt may have run, classes with an effect bind where and when the next may go."""
        if not call.maybe_executed or call.call_class.semantics is Semantics.FREE:
            return True
        if (
            call.call_class.semantics is Semantics.SINGLE_SHOT
            or now >= call.retry_window_end
            or call.scope_exchange is None
        ):
            return False
        if call.call_class.retry_scope is RetryScope.ZONE:
            return to.zone == call.scope_exchange.zone
        return call.call_class.retry_scope is RetryScope.ALL or (
            to.cell == call.scope_exchange.cell and to.cell in self.ready
        )

    def _on_caller_left(self, now: float, event: CallerLeft) -> None:
        call = self.calls.pop(event.ref, None)
        self._dequeue(event.ref)
        if call is None or call.established:
            return
        self._remember_unserved(now, call)
        if call.sent_to is not None and self.settings.limits.cancel:
            self.actions.append(Cancel(event.ref, call.attempt_count - 1))

    # -- routes

    def _worth(self, now: float, call: Call) -> float:
        kind = call.call_class
        worth = call.tenant_factor * kind.importance
        dest = self.ready.get(call.request.dest)
        if dest is None or not self._has_circuits(dest, call, True):
            worth *= self.min_circuit_time / (
                call.request.width * max(1.0, kind.hold)
            )  # circuits are short, not set-ups
        if call.request.after_cut:
            worth *= CUT_CALL_WORTH_FACTOR
        if now >= call.on_time_until:
            worth *= kind.late_worth
        return worth

    def _accepts_setup(self, now: float, to: Exchange) -> bool:
        return now >= to.resume_at and (not to.pending or len(to.pending) + 1 <= to.window)

    def _usual_interval(self, now: float, to: Exchange | None = None) -> float:
        """Usual ms between own set-ups to one exchange: the list's mean, from all own set-ups of late."""
        each = (len(self.offices) if to is not self.own else 1) / (len(self.recent_sends) + 1)
        return min(SEND_HISTORY_MS, each * min(SEND_HISTORY_MS, max(now - self.first_event_at, self.on_time)))

    def _cold_gap(self, now: float, x: Exchange) -> float:
        """Mean gap between own set-ups to a processor that started lately; 0 once it is warm.

        Guards against pushing it over: what a warm one bears from here is known, the peers' part is not, so
        each keeps to its own, however many they are: the mean of its usual pace to any exchange and to this
        one, so that the sum over all is never above the usual load of this exchange or of all. While it
        answers in time it is not full, and a little more may go. Harm: a server that just restarted is
        over-careful.
        """
        share = max(
            0.01, COLD_BUDGET_FRACTION * self.settings.rules.overload_factor * self.settings.rules.cold_share
        )
        left = x.started_at + self.settings.rules.warm_after - now if x.started_at > 0 else 0.0
        pace = (1.0 / self._usual_interval(now) + x.warm_sends * log(2.0) / TRAFFIC_HALF_LIFE_MS) / 2.0
        return max(0.0, min(left, 1.0 / (pace * share * x.pace_factor)))

    def _raise_cold_pace(self, now: float, x: Exchange) -> None:
        """A good sign of a cold exchange: more may go there, by EASE in the time of its overload budget."""
        passed = min(1.0, (now - x.pace_factor_at) / max(self.settings.rules.overload_for, 1.0))
        x.pace_factor, x.pace_factor_at = (
            min(MAX_COLD_PACE_FACTOR, x.pace_factor * COLD_PACE_GROWTH**passed),
            now,
        )

    def _has_circuits(self, to: Exchange, call: Call, keep_reserve: bool) -> bool:
        return to.free >= call.request.width + (to.reserved if keep_reserve else 0.0)

    def _dispatch_waiting(self, now: float) -> None:
        able = [
            x
            for x in self.ready.values()
            if x.free >= 1.0 + x.reserved
            and self._accepts_setup(now, x)
            and x.cell != self.settings.own_exchange
        ]
        moving = []
        for cell, queue in self.queues.items():
            dest = self.ready.get(cell)
            if dest is None or not self._accepts_setup(now, dest):
                continue
            ways = now >= dest.overflow_at and (
                not self.mesh
                or any(x is not dest and self.marks.get((x.cell, cell), 0.0) <= now for x in able)
            )
            if dest.free >= 1.0 or ways:  # else nothing can go there, whatever it is worth
                moving += [
                    c
                    for c in queue.values()
                    if now >= c.not_before
                    and (dest.free >= 1.0 or (now < c.on_time_until and (c.turn_backs < 2 or not dest.size)))
                ]
        short: set[int] = set()  # destinations for which a better call waits for circuits
        shut: dict[int, float] = {}  # destinations to which a call of this width found no way just now
        for call in sorted(moving, key=lambda c: (-self._worth(now, c), c.queue_order)):
            if not self._accepts_setup(now, self.own):
                return
            dest = self.ready[call.request.dest]
            if call.request.width < shut.get(dest.cell, float("inf")) and self._accepts_setup(now, dest):
                self._route(now, call, dest, short, able)
                free = (
                    now < call.on_time_until and call.turn_backs < 2 and not call.maybe_executed and self.mesh
                )
                if free and call.request.ref in self.waiting:
                    shut[dest.cell] = call.request.width

    def _route(self, now: float, call: Call, dest: Exchange, short: set[int], able: list[Exchange]) -> None:
        second_rate = now >= call.on_time_until
        direct = dest.cell not in short and self._has_circuits(dest, call, second_rate)
        if direct and self._retry_allowed(now, call, dest):
            self._send(now, call, dest, [dest])
            return
        short.add(dest.cell)
        if second_rate or (call.turn_backs > 1 and dest.size) or now < dest.overflow_at:
            return
        tandems = [
            x
            for x in able
            if x.cell != dest.cell
            and (self.mesh or x.cell in call.call_class.allowed_pools)
            and self.marks.get((x.cell, dest.cell), 0.0) <= now
            and self._accepts_setup(now, x)
            and self._has_circuits(x, call, True)
            and self._retry_allowed(now, call, x)
        ]
        if tandems:
            most = max(x.free for x in tandems)
            tandem = self.random.choice([x for x in tandems if x.free == most])
            # Here only the first leg is seen; after a turn-back the centre, late, knows more of the second.
            if self.settings.route_advice and (call.turn_backs or dest.turn_backs > 1):
                tandem = next((x for x in tandems if x.cell == call.request.via), tandem)
            self._send(now, call, tandem, [tandem, dest] if self.mesh else [tandem])

    def _send(self, now: float, call: Call, to: Exchange, path: list[Exchange]) -> None:
        ref = call.request.ref
        self._dequeue(ref)
        in_time = not call.request.transit and now < call.on_time_until
        limit = min(
            call.answer_by - now,
            ON_TIME_TIMEOUT_FRACTION * (call.on_time_until - now) if in_time else call.answer_by,
        )
        leg = (ref, call.attempt_count)
        self.legs[leg] = (path, now, call.request.dest)
        self.own.pending[leg] = now
        for x in path:
            if x.window >= 1.0 and now >= x.started_at + self.settings.rules.warm_after:
                x.warm_sends = 1.0 + x.warm_sends * 0.5 ** ((now - x.warm_sends_at) / TRAFFIC_HALF_LIFE_MS)
                x.warm_sends_at = now
            x.pending[leg] = now
            x.resume_at = max(x.resume_at, now + self._cold_gap(now, x) * self.random.uniform(0.5, 1.5))
        while self.recent_sends and now - self.recent_sends[0] >= SEND_HISTORY_MS:
            self.recent_sends.popleft()
        self.recent_sends.append(now)
        to.free -= call.request.width
        if call.scope_exchange is None:
            call.scope_exchange, call.retry_window_end = to, now + call.call_class.retry_window
        call.attempt_count, call.sent_to = call.attempt_count + 1, to
        self.actions.append(Send(ref, to.office, max(1.0, limit)))

    # -- answers

    def _on_established(self, now: float, event: Established) -> None:
        leg = (event.ref, event.attempt)
        if leg not in self.legs:
            return
        path, _, dest = self.legs[leg]
        call = self.calls.get(event.ref)
        for x in (*path, self.own):
            self._update_window(
                now, x, leg, event.elapsed, call.call_class.on_time if call else self.on_time, path
            )
        if len(path) > 1:
            path[1].turn_backs = 0
            self.marks.pop((path[0].cell, dest), None)
        if call is not None:
            call.established = True
            self.usual_setup_time += (
                0.0
                if call.request.transit
                else SETUP_TIME_SMOOTHING * (event.elapsed - self.usual_setup_time)
            )

    def _update_window(
        self, now: float, x: Exchange, leg: tuple[int, int], took: float, aim: float, path: list[Exchange]
    ) -> None:
        self.dispatch_due = True
        sent = x.pending.pop(leg, now)
        usual = self._usual_interval(now, x)
        thin = aim * (
            MAX_DELAY_TOLERANCE if x is self.own else min(MAX_DELAY_TOLERANCE, max(1.0, usual / self.on_time))
        )
        if took <= GOOD_DELAY_FRACTION * thin:
            top = 1.0 + 2.0 * self.on_time / usual
            top = max(INITIAL_WINDOW, top) if x is self.own else min(MAX_WINDOW, top)
            x.window = min(top, x.window + 1.0 / max(1.0, x.window))
            self._raise_cold_pace(now, x)
        elif took > BAD_DELAY_FRACTION * thin:
            self._narrow_window(now, x, sent, took, path)
        if x.trickle_logged and x.window >= 1.0:
            x.trickle_logged = False
            self.actions.append(Remark(f"exchange {x.cell}: answers set-ups in time again"))

    def _narrow_window(self, now: float, x: Exchange, sent: float, took: float, path: list[Exchange]) -> None:
        """A bad sign: the window narrows, once for all set-ups sent before; below one it becomes a gap.

        Guards against silent, hung, slow, cold and flooded processors alike, and against many servers whose
        single set-ups are together too many. Harm: a far exchange behind a slow own processor is spared too.
        The own exchange is on every way, so its window has the signs of all together and falls below what
        is offered where a far one meets a set-up in seconds: it ends an overload of all processors, however
        many there are. It takes two bad signs in a row that share no exchange; while it is under one
        no other is blamed. Harm: a third of the exchanges silent at once slows calls to the rest too.
        """
        if x is self.own:
            known = not self.last_late_path or any(y in self.last_late_path for y in path)
            self.last_late_path = path
            if known:
                return
        elif self.own.window < 1.0:  # the own processor is slow, or all are: not this one's fault
            return
        usual = self._usual_interval(now, x)
        x.pace_factor, x.pace_factor_at = 1.0, now
        if sent >= x.narrowed_at:
            factor = OWN_WINDOW_DECREASE_FACTOR if x is self.own else WINDOW_DECREASE_FACTOR
            x.window = max(MIN_WINDOW, factor * min(x.window, 1.0 + self.on_time / usual))
            x.narrowed_at = now
        if x.window < 1.0:
            if not x.trickle_logged:
                x.trickle_logged = True
                self.actions.append(Remark(f"exchange {x.cell}: set-ups late or unanswered; a trickle only"))
            gap = min(max(self.on_time, MAX_GAP_FACTOR * usual), max(took, usual) * (1.0 / x.window - 1.0))
            x.resume_at = max(x.resume_at, now + gap * self.random.uniform(0.5, 1.5))

    def _on_outcome(self, now: float, event: Outcome) -> None:
        self._update_circuits(now, event)
        key = (event.ref, event.attempt)
        if key not in self.legs:
            return
        path, sent, dest = self.legs.pop(key)
        stood = key not in path[0].pending
        self.dispatch_due = self.dispatch_due or not stood
        for x in (*path, self.own):
            x.pending.pop(key, None)
        result, note = event.result, event.note
        if result in (Result.TIMEOUT, Result.CONNECT_FAILED) and not stood:
            for x in (*path, self.own):
                self._narrow_window(now, x, sent, event.elapsed, path)
        elif result is Result.FULL and note is Note.PROCESSOR_FULL:
            # It answers fast, so its gap is not measured by the answer: many servers would ask all the time.
            self._narrow_window(
                now, path[0], sent, max(event.retry_after, FULL_PROCESSOR_PAUSE_FRACTION * self.on_time), path
            )
            path[0].resume_at = max(
                path[0].resume_at, now + event.retry_after, now + FULL_PROCESSOR_PAUSE_FRACTION * self.on_time
            )
        elif result is Result.FULL and note is Note.TURNED_BACK:
            if event.retry_after > 0:
                self._narrow_window(now, path[-1], sent, FULL_PROCESSOR_PAUSE_FRACTION * self.on_time, path)
            elif len(path) > 1:
                self.marks[(path[0].cell, dest)] = now + MARK_LIFETIME_MS
                # Marks name one tandem each; where there are dozens, all groups to a destination may be full.
                path[1].turn_backs += 1
                gap = min(
                    MARK_LIFETIME_MS,
                    TURN_BACK_GAP_FACTOR * self._usual_interval(now) * (path[1].turn_backs - 1),
                )
                path[1].overflow_at = now + gap * self.random.uniform(0.5, 1.5)
        elif result is Result.MOOT and note is Note.PROCESSOR_FULL:  # the own processor is down
            self.own.resume_at = max(
                self.own.resume_at, now + max(event.retry_after, FULL_PROCESSOR_PAUSE_FRACTION * self.on_time)
            )
        call = self.calls.get(event.ref)
        if call is None or call.attempt_count - 1 != event.attempt:
            return
        call.sent_to = None
        if note is Note.NO_CIRCUIT and event.report is None:
            path[0].free = min(path[0].free, call.request.width - 1.0)  # a pair may have no group at all
        if event.call_ended or stood:
            self.calls.pop(event.ref, None)
            return
        call.maybe_executed = call.maybe_executed or result not in NOT_EXECUTED_RESULTS
        if not call.maybe_executed:
            call.scope_exchange = None
        call.turn_backs += result is Result.FULL and note is Note.TURNED_BACK
        call.not_before = now + (
            self.settings.rules.release + self.settings.tick if result in UNRELEASED_RESULTS else 0.0
        )
        # An exchange that errs at random stands the next try; one that says why (lines busy) says it again.
        spent = call.not_before >= call.answer_by or call.attempt_count >= self.settings.limits.max_tries
        if spent or call.request.transit or (result is Result.ERROR and note is not Note.NONE):
            self._refuse_or_fail(now, call)
        else:
            self._wait_or_end(now, call)

    # -- time

    def _schedule_poll(self) -> None:
        if self.waiting and not self.poll_scheduled:
            self.poll_scheduled = True
            self.actions.append(
                StartTimer(POLL_LABEL, max(self.settings.tick, POLL_INTERVAL_FRACTION * self.on_time))
            )

    def _on_timer(self, now: float, event: TimerExpired) -> None:
        if event.label == POLL_LABEL:
            self.poll_scheduled, self.dispatch_due = False, True
        elif event.label == POLL_LABEL + 1:
            self.actions.append(Subscribe(True))
        elif event.label == POLL_LABEL + 2:
            self._report_full_groups()
        elif event.label in self.waiting:
            self._refuse_or_fail(now, self.waiting[event.label])


def check_settings(settings: Settings) -> None:
    """Settings that make no sense are refused by the name of their key."""
    rules = settings.rules
    times = [
        ("FamilyInfo.Guard", rules.release),
        ("Rules.WarmAfter", rules.warm_after),
        ("Round", settings.tick),
        ("Rules.OverloadFor", rules.overload_for),
        ("Rules.DrainGrace", rules.drain_grace),
        ("Rules.AskWithin", rules.ask_within),
        ("Rules.GraceToAnswer", rules.grace_to_answer),
    ]
    needed = [("Classes.count", float(len(settings.classes)))]
    for number, kind in enumerate(settings.classes):
        key = f"Classes.{number}."
        needed += [(key + "OnTime", kind.on_time), (key + "Deadline", kind.deadline)]
        times += [(key + "hold", kind.hold), (key + "Window", kind.retry_window)]
    wrong = [item for item in times if item[1] < 0] + [item for item in needed if item[1] <= 0]
    if wrong:
        raise ValueError(f"{wrong[0][0]}: {wrong[0][1]} makes no sense")
