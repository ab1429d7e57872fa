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

MARK_AGE = 10_000.0  # ms a turn-back keeps (tandem, destination) marked; the design's own value
NEWS_EVERY = 0.5  # of the mark's age: time between messages to the peers on the own full groups
SPARE_TICKS = 2.0  # ticks kept before a caller's time ends, so that the last answer is in time
CUT_WORTH = 2.0  # times the worth of a call that was cut and comes again: without it all it earned is lost
RESERVE = 0.1  # share of a group kept free of overflow, transit and second-rate calls (trunk reservation)
WINDOW_START = 4.0  # unanswered set-ups towards an exchange nothing is known of
WINDOW_TOP = 6.0  # most unanswered set-ups towards one exchange
GOOD_DELAY = 0.12  # of the aim: a set-up answered within this widens the window
BAD_DELAY = 0.25  # of the aim: one that took longer narrows it
BACK_GAP = 0.1  # of the usual time: no overflow to a destination, for each turn-back in a row but the first
NARROW = 0.6  # factor on the window after a bad sign, at most once per set-up sent since the last
OWN_NARROW = 0.8  # the same for the window over all own set-ups, which gets many more signs
WINDOW_FLOOR = 0.2  # narrowest window: one set-up, then a gap of four times its duration
THIN = 2.0  # most that both may grow where set-ups to one exchange are rare: one sign must count for more
GAP_TOP = 1.0  # of the usual time between set-ups: longest such gap (one aim at least)
PAUSE = 0.3  # of the aim: no set-up to a processor that said it is full, where it names no longer wait
PATIENCE = 1.0  # of the aim left: time-out of an attempt that can still be on time
COLD_MARGIN = 0.6  # of one server's part of the fail-back budget
EASE = 1.5  # growth of the pace to a cold one that answers in time; below any overload factor above it
EASE_TOP = 4.0  # times the first pace: by then it has answered in time for several such windows
USUAL_AGE = 10_000.0  # ms of own set-ups that tell the usual pace, dozens of calls even at a small exchange
MIX_AGE = 10_000.0  # ms half-life of the tenants' mix, long enough for dozens of calls
SMOOTH = 0.1  # weight of the newest answer in the usual duration of a set-up
POLL = 0.04  # of the smallest aim: how often waiting calls are looked at when nothing happens
DOUBTFUL = (Result.TIMEOUT, Result.RESET, Result.CANCELLED)
NEVER_RAN = (Result.FULL, Result.CONNECT_FAILED, Result.MOOT)
POLL_LABEL = 1 << 40


class Exchange:
    """What is known of one exchange (or pool): its own-group circuits and how it answers set-ups."""

    def __init__(self, entry: Entry) -> None:
        self.office, self.cell, self.zone = entry.office, entry.exchange, entry.zone
        self.state, self.started = entry.readiness, entry.started_at
        self.free, self.size, self.kept = float("inf"), 0.0, 1.0  # an unknown group counts as open
        self.window, self.told = WINDOW_START, False  # told: a log line says that it gets a trickle only
        self.pending: dict[tuple[int, int], float] = {}  # unanswered set-ups and when each was sent
        self.shrunk, self.resumes = 0.0, 0.0  # sent before: does not narrow again; no set-up before
        self.overflows, self.backs = 0.0, 0  # no overflow before; turn-backs in a row
        self.paced, self.paced_at = 0.0, 0.0  # set-ups sent while warm and well, halved every MIX_AGE
        self.ease, self.eased_at = 1.0, 0.0  # while cold: times the first pace, by what it answers in time


class Call:
    """One call this server owes an answer, from its arrival until it stands or ends."""

    def __init__(self, request: Request, kind: CallClass, now: float, spare: float) -> None:
        self.request, self.kind, self.part, self.first, self.came = request, kind, 1.0, now, now
        self.aim_at = min(now + kind.on_time, request.expires)
        self.last = request.expires - spare  # the last moment for an answer
        self.attempts, self.turned = 0, 0
        self.ready_at, self.group_end = now, 0.0  # not to be sent before this (release)
        self.sent_to: Exchange | None = None  # where its one attempt is out
        self.stands, self.doubt = False, False  # doubt: an earlier attempt may have run
        self.group_of: Exchange | None = None
        self.place = 0  # among the waiting


class Controller:
    def __init__(self, settings: Settings, seed: int) -> None:
        check_settings(settings)
        self.s, self.random = settings, Random(seed)
        self.mesh = settings.layout is Layout.MESH
        self.own = Exchange(
            Entry(-1, settings.own_exchange)
        )  # on the way of every own set-up: one window for all
        self.offices: dict[int, Exchange] = {}
        self.ready: dict[int, Exchange] = {}  # those that take calls, by number
        self.calls: dict[int, Call] = {}
        self.waiting: dict[int, Call] = {}
        self.queues: dict[int, dict[int, Call]] = {}  # the same by destination
        self.queued = 0  # calls that ever began to wait: their order
        self.legs: dict[tuple[int, int], tuple[list[Exchange], float, int]] = {}
        self.unserved: dict[tuple[int, int, int], float] = {}  # number called: when its caller first tried
        self.marks: dict[tuple[int, int], float] = {}
        self.seen, self.seen_at = [0.0 for _ in settings.tenants], 0.0
        self.hold = max(1.0, min(kind.hold * kind.width for kind in settings.classes))
        self.aim = min(kind.on_time for kind in settings.classes)
        self.suspects: list[Exchange] = []  # the way of the last bad sign
        self.recent: deque[float] = deque()  # own sends of late, for what a warm exchange bears
        self.setup = 0.0  # ms a set-up that stands usually takes
        self.born = -1.0  # time of the first event
        self.polling, self.look = False, False
        self.out: list[Action] = [Subscribe(True)] if settings.discovery is Discovery.SUBSCRIBE else []
        self.handlers: dict[type, Callable[[float, Any], None]] = {
            Request: self._request,
            Established: self._stands,
            Outcome: self._outcome,
            Probed: self._circuits,
            Members: self._members,
            CallerLeft: self._left,
            TimerExpired: self._timer,
            PeerMessage: self._peer,
        }

    def handle(self, now: float, event: Event) -> list[Action]:
        self.born = now if self.born < 0 else self.born
        self.look = type(event) is Members  # whether this event may let a waiting call go
        handler = self.handlers.get(type(event))
        if handler is not None:
            handler(now, event)
        looks = type(event) is Members or (type(event) is TimerExpired and event.label >= POLL_LABEL)
        for call in list(self.waiting.values()) if looks else ():
            self._waits(now, call)
        if self.look and self.waiting and self._open(now, self.own):
            self._dispatch(now)
        self._poll()
        out, self.out = self.out, []
        return out

    # -- the list of exchanges and their circuits

    def _members(self, now: float, event: Members) -> None:
        if event.form is ListForm.FAILED:
            self.out.append(
                StartTimer(POLL_LABEL + 1, self.s.rules.ask_within * self.random.uniform(0.1, 0.3))
            )
            return
        if not self.offices and self.mesh and self.s.limits.peer_messages:
            self.out.append(StartTimer(POLL_LABEL + 2, self.aim * self.random.random() + self.s.tick))
        listed, started = {entry.office for entry in event.entries}, []
        for entry in event.entries:
            known = self.offices.get(entry.office)
            fresh = known is None or (
                entry.started_at != known.started and entry.readiness is Readiness.READY
            )
            if known is None:
                known = Exchange(entry)
                for old in self.offices.values():  # a new processor takes over the groups of the old
                    if old.cell == entry.exchange:
                        known.free, known.size, known.kept = old.free, old.size, old.kept
                        known.paced, known.paced_at = old.paced, old.paced_at
                self.offices[entry.office] = known
            known.state, known.started, known.cell = entry.readiness, entry.started_at, entry.exchange
            if fresh:
                started.append(known)
        self.offices = {
            office: x
            for office, x in self.offices.items()
            if x.state is not Readiness.GONE and (office in listed or event.form is ListForm.DELTA)
        }
        self.ready = {x.cell: x for x in self.offices.values() if x.state is Readiness.READY}
        for x in started:  # all servers hear of a start at about the same time: each begins at its own
            x.window, x.ease, x.eased_at = WINDOW_START, 1.0, now
            x.resumes = now + self._cold_gap(now, x) * self.random.random()

    def _circuits(self, now: float, event: Probed | Outcome) -> None:
        known, report = self.offices.get(event.office), event.report
        if known is not None and report is not None and report.free is not None:
            self.look = self.look or report.free >= known.free
            known.free, known.size = report.free, report.size or 0.0
            known.kept = max(1.0, RESERVE * known.size)

    def _tell(self) -> None:
        """Tells the peers to which numbers nothing can go on from here; they mark it as if turned back.

        Guards against dozens of tandems found full one by one. Harm: seconds old; a lost one changes nothing.
        """
        full = sum(1 << x.cell for x in self.ready.values() if x.free < 1.0 + x.kept and x.cell < 2_000)
        body = self.s.own_exchange.to_bytes(2, "little") + full.to_bytes(full.bit_length() // 8 + 1, "little")
        self.out.append(NotifyPeers(None, body))
        self.out.append(StartTimer(POLL_LABEL + 2, NEWS_EVERY * MARK_AGE * self.random.uniform(0.9, 1.1)))

    def _peer(self, now: float, event: PeerMessage) -> None:
        sender, full = int.from_bytes(event.body[:2], "little"), int.from_bytes(event.body[2:], "little")
        for cell in self.ready if len(event.body) > 2 and sender in self.ready else ():
            if full >> cell & 1:
                self.marks[(sender, cell)] = now + 1.5 * NEWS_EVERY * MARK_AGE

    # -- calls come and go

    def _request(self, now: float, request: Request) -> None:
        call = Call(request, self.s.classes[request.class_index], now, SPARE_TICKS * self.s.tick)
        call.part = self._tenant_part(now, request)
        self._redial(now, call)
        self.calls[request.ref] = call
        # A call to the own exchange, handed over while another server was down, has no route: back at once.
        stray = call.last <= now or request.dest == self.s.own_exchange
        if stray or (request.transit and not self._transit(now, call)):
            self._end(now, call)
        elif not request.transit and self._waits(now, call):
            self.look = True
            self.out.append(StartTimer(request.ref, call.last - now))

    def _redial(self, now: float, call: Call) -> None:
        """A caller that dials again is judged by its first try, marked or not: the aim ran on meanwhile."""
        request = call.request
        if request.transit or request.after_cut or (self.s.redials_marked and not request.redial):
            return
        first = self.unserved.pop((request.called_number, request.dest, request.class_index), None)
        if first is None and request.redial:
            first = now - call.kind.on_time
        if first is not None and now - first < call.kind.deadline:
            call.first, call.aim_at = first, min(first + call.kind.on_time, request.expires)

    def _unserved(self, now: float, call: Call) -> None:
        request = call.request
        if request.transit:
            return
        self.unserved[(request.called_number, request.dest, request.class_index)] = call.first
        oldest = next(iter(self.unserved))
        if now - self.unserved[oldest] > call.kind.deadline:
            del self.unserved[oldest]

    def _tenant_part(self, now: float, request: Request) -> float:
        """Worth of a tenant's call: the part of its traffic here that its quota covers.

        One server cannot see the fleet's traffic; the mix of what it sees is held against the quotas.
        """
        if request.transit or not 0 <= request.tenant < len(self.seen):
            return 1.0
        fade = 0.5 ** ((now - self.seen_at) / MIX_AGE)
        self.seen, self.seen_at = [count * fade for count in self.seen], now
        self.seen[request.tenant] += 1.0
        quotas = [tenant.quota_per_s or tenant.share for tenant in self.s.tenants]
        due = sum(self.seen) * quotas[request.tenant] / max(sum(quotas), 1e-9)
        covered = min(1.0, due / self.seen[request.tenant])
        return covered + (1.0 - covered) * self.s.over_share_worth

    def _transit(self, now: float, call: Call) -> bool:
        """A call in transit holds a circuit already: it goes on at once or is turned back, never held."""
        dest = self.ready.get(call.request.dest)
        waits = any(now < x.aim_at for x in self.queues.get(call.request.dest, {}).values())
        if waits or dest is None or not self._open(now, dest) or not self._room(dest, call, True):
            return False
        self._send(now, call, dest, [dest])
        return True

    def _waits(self, now: float, call: Call) -> bool:
        """A call waits while it can and will be tried; else it ends in this step, with advice when to return.

        Guards against calls held for nothing: a destination that takes no calls, an effect that forbids
        another attempt, too little time for a set-up (callers who hang up early), and past the aim a pair
        without a group. Harm: an exchange back within the caller's time is found by a redial only.
        """
        start, dest = max(now, call.ready_at), self.ready.get(call.request.dest)
        barred = dest is None or not self._may_send(start, call, call.group_of or dest)
        late = dest and start >= call.aim_at and max(dest.free, dest.size) < call.request.width
        if barred or late or start + self.setup > call.last:
            self._end(now, call)
            return False
        ref = call.request.ref
        if ref not in self.waiting:
            self.queued += 1
            call.place = self.queued
            self.waiting[ref] = self.queues.setdefault(call.request.dest, {})[ref] = call
        return True

    def _unqueue(self, ref: int) -> None:
        call = self.waiting.pop(ref, None)
        if call is not None:
            queue = self.queues[call.request.dest]
            del queue[ref]
            if not queue:
                del self.queues[call.request.dest]

    def _end(self, now: float, call: Call) -> None:
        ref, limits, dest = call.request.ref, self.s.limits, self.ready.get(call.request.dest)
        self.calls.pop(ref, None)
        self._unqueue(ref)
        self._unserved(now, call)
        guarded_by_all = call.kind.semantics is Semantics.GUARDED and call.kind.retry_scope is RetryScope.ALL
        harmless = not call.doubt or call.kind.semantics is Semantics.FREE or guarded_by_all
        # Back after as long again as it waited in vain, or when the next set-up may go.
        wait = max(now - call.came, dest.resumes - now, self.own.resumes - now) if dest else float("inf")
        advice = min(wait, limits.max_retry_after) if limits.retry_after and not call.request.transit else 0.0
        self.out.append(Refuse(ref, advice) if harmless else Fail(ref))

    def _may_send(self, now: float, call: Call, to: Exchange) -> bool:
        """Once an attempt may have run, classes with an effect bind where and when the next may go."""
        if not call.doubt or call.kind.semantics is Semantics.FREE:
            return True
        if call.kind.semantics is Semantics.SINGLE_SHOT or now >= call.group_end or call.group_of is None:
            return False
        if call.kind.retry_scope is RetryScope.ZONE:
            return to.zone == call.group_of.zone
        return call.kind.retry_scope is RetryScope.ALL or (
            to.cell == call.group_of.cell and to.cell in self.ready
        )

    def _left(self, now: float, event: CallerLeft) -> None:
        call = self.calls.pop(event.ref, None)
        self._unqueue(event.ref)
        if call is None or call.stands:
            return
        self._unserved(now, call)
        if call.sent_to is not None and self.s.limits.cancel:
            self.out.append(Cancel(event.ref, call.attempts - 1))

    # -- routes

    def _worth(self, now: float, call: Call) -> float:
        kind = call.kind
        worth = call.part * kind.importance
        dest = self.ready.get(call.request.dest)
        if dest is None or not self._room(dest, call, True):
            worth *= self.hold / (call.request.width * max(1.0, kind.hold))  # circuits are short, not set-ups
        if call.request.after_cut:
            worth *= CUT_WORTH
        if now >= call.aim_at:
            worth *= kind.late_worth
        return worth

    def _open(self, now: float, to: Exchange) -> bool:
        return now >= to.resumes and (not to.pending or len(to.pending) + 1 <= to.window)

    def _usual(self, now: float, to: Exchange | None = None) -> float:
        """Usual ms between own set-ups to one exchange: the list's mean, from all own set-ups of late."""
        each = (len(self.offices) if to is not self.own else 1) / (len(self.recent) + 1)
        return min(USUAL_AGE, each * min(USUAL_AGE, max(now - self.born, self.aim)))

    def _cold_gap(self, now: float, x: Exchange) -> float:
        """Mean gap between own set-ups to a processor that started lately; 0 once it is warm.

        Guards against pushing it over: what a warm one bears from here is known, the peers' part is not, so
        each keeps to its own, however many they are: the mean of its usual pace to any exchange and to this
        one, so that the sum over all is never above the usual load of this exchange or of all. While it
        answers in time it is not full, and a little more may go. Harm: a server that just restarted is
        over-careful.
        """
        share = max(0.01, COLD_MARGIN * self.s.rules.overload_factor * self.s.rules.cold_share)
        left = x.started + self.s.rules.warm_after - now if x.started > 0 else 0.0
        pace = (1.0 / self._usual(now) + x.paced * log(2.0) / MIX_AGE) / 2.0
        return max(0.0, min(left, 1.0 / (pace * share * x.ease)))

    def _ease(self, now: float, x: Exchange) -> None:
        """A good sign of a cold exchange: more may go there, by EASE in the time of its overload budget."""
        passed = min(1.0, (now - x.eased_at) / max(self.s.rules.overload_for, 1.0))
        x.ease, x.eased_at = min(EASE_TOP, x.ease * EASE**passed), now

    def _room(self, to: Exchange, call: Call, spare: bool) -> bool:
        return to.free >= call.request.width + (to.kept if spare else 0.0)

    def _dispatch(self, now: float) -> None:
        able = [
            x
            for x in self.ready.values()
            if x.free >= 1.0 + x.kept and self._open(now, x) and x.cell != self.s.own_exchange
        ]
        moving = []
        for cell, queue in self.queues.items():
            dest = self.ready.get(cell)
            if dest is None or not self._open(now, dest):
                continue
            ways = now >= dest.overflows and (
                not self.mesh
                or any(x is not dest and self.marks.get((x.cell, cell), 0.0) <= now for x in able)
            )
            if dest.free >= 1.0 or ways:  # else nothing can go there, whatever it is worth
                moving += [
                    c
                    for c in queue.values()
                    if now >= c.ready_at
                    and (dest.free >= 1.0 or (now < c.aim_at and (c.turned < 2 or not dest.size)))
                ]
        short: set[int] = set()  # destinations for which a better call waits for circuits
        shut: dict[int, float] = {}  # destinations to which a call of this width found no way just now
        for call in sorted(moving, key=lambda c: (-self._worth(now, c), c.place)):
            if not self._open(now, self.own):
                return
            dest = self.ready[call.request.dest]
            if call.request.width < shut.get(dest.cell, float("inf")) and self._open(now, dest):
                self._route(now, call, dest, short, able)
                free = now < call.aim_at and call.turned < 2 and not call.doubt and self.mesh
                if free and call.request.ref in self.waiting:
                    shut[dest.cell] = call.request.width

    def _route(self, now: float, call: Call, dest: Exchange, short: set[int], able: list[Exchange]) -> None:
        second_rate = now >= call.aim_at
        direct = dest.cell not in short and self._room(dest, call, second_rate)
        if direct and self._may_send(now, call, dest):
            self._send(now, call, dest, [dest])
            return
        short.add(dest.cell)
        if second_rate or (call.turned > 1 and dest.size) or now < dest.overflows:
            return
        tandems = [
            x
            for x in able
            if x.cell != dest.cell
            and (self.mesh or x.cell in call.kind.allowed_pools)
            and self.marks.get((x.cell, dest.cell), 0.0) <= now
            and self._open(now, x)
            and self._room(x, call, True)
            and self._may_send(now, call, x)
        ]
        if tandems:
            most = max(x.free for x in tandems)
            tandem = self.random.choice([x for x in tandems if x.free == most])
            # Here only the first leg is seen; after a turn-back the centre, late, knows more of the second.
            if self.s.route_advice and (call.turned or dest.backs > 1):
                tandem = next((x for x in tandems if x.cell == call.request.via), tandem)
            self._send(now, call, tandem, [tandem, dest] if self.mesh else [tandem])

    def _send(self, now: float, call: Call, to: Exchange, path: list[Exchange]) -> None:
        ref = call.request.ref
        self._unqueue(ref)
        in_time = not call.request.transit and now < call.aim_at
        limit = min(call.last - now, PATIENCE * (call.aim_at - now) if in_time else call.last)
        leg = (ref, call.attempts)
        self.legs[leg] = (path, now, call.request.dest)
        self.own.pending[leg] = now
        for x in path:
            if x.window >= 1.0 and now >= x.started + self.s.rules.warm_after:
                x.paced = 1.0 + x.paced * 0.5 ** ((now - x.paced_at) / MIX_AGE)
                x.paced_at = now
            x.pending[leg] = now
            x.resumes = max(x.resumes, now + self._cold_gap(now, x) * self.random.uniform(0.5, 1.5))
        while self.recent and now - self.recent[0] >= USUAL_AGE:
            self.recent.popleft()
        self.recent.append(now)
        to.free -= call.request.width
        if call.group_of is None:
            call.group_of, call.group_end = to, now + call.kind.retry_window
        call.attempts, call.sent_to = call.attempts + 1, to
        self.out.append(Send(ref, to.office, max(1.0, limit)))

    # -- answers

    def _stands(self, now: float, event: Established) -> None:
        leg = (event.ref, event.attempt)
        if leg not in self.legs:
            return
        path, _, dest = self.legs[leg]
        call = self.calls.get(event.ref)
        for x in (*path, self.own):
            self._answered(now, x, leg, event.elapsed, call.kind.on_time if call else self.aim, path)
        if len(path) > 1:
            path[1].backs = 0
            self.marks.pop((path[0].cell, dest), None)
        if call is not None:
            call.stands = True
            self.setup += 0.0 if call.request.transit else SMOOTH * (event.elapsed - self.setup)

    def _answered(
        self, now: float, x: Exchange, leg: tuple[int, int], took: float, aim: float, path: list[Exchange]
    ) -> None:
        self.look = True
        sent = x.pending.pop(leg, now)
        usual = self._usual(now, x)
        thin = aim * (THIN if x is self.own else min(THIN, max(1.0, usual / self.aim)))
        if took <= GOOD_DELAY * thin:
            top = 1.0 + 2.0 * self.aim / usual
            top = max(WINDOW_START, top) if x is self.own else min(WINDOW_TOP, top)
            x.window = min(top, x.window + 1.0 / max(1.0, x.window))
            self._ease(now, x)
        elif took > BAD_DELAY * thin:
            self._narrow(now, x, sent, took, path)
        if x.told and x.window >= 1.0:
            x.told = False
            self.out.append(Remark(f"exchange {x.cell}: answers set-ups in time again"))

    def _narrow(self, now: float, x: Exchange, sent: float, took: float, path: list[Exchange]) -> None:
        """A bad sign: the window narrows, once for all set-ups sent before; below one it becomes a gap.

        Guards against silent, hung, slow, cold and flooded processors alike, and against many servers whose
        single set-ups are together too many. Harm: a far exchange behind a slow own processor is spared too.
        The own exchange is on every way, so its window has the signs of all together and falls below what
        is offered where a far one meets a set-up in seconds: it ends an overload of all processors, however
        many there are. It takes two bad signs in a row that share no exchange; while it is under one
        no other is blamed. Harm: a third of the exchanges silent at once slows calls to the rest too.
        """
        if x is self.own:
            known = not self.suspects or any(y in self.suspects for y in path)
            self.suspects = path
            if known:
                return
        elif self.own.window < 1.0:  # the own processor is slow, or all are: not this one's fault
            return
        usual = self._usual(now, x)
        x.ease, x.eased_at = 1.0, now
        if sent >= x.shrunk:
            factor = OWN_NARROW if x is self.own else NARROW
            x.window = max(WINDOW_FLOOR, factor * min(x.window, 1.0 + self.aim / usual))
            x.shrunk = now
        if x.window < 1.0:
            if not x.told:
                x.told = True
                self.out.append(Remark(f"exchange {x.cell}: set-ups late or unanswered; a trickle only"))
            gap = min(max(self.aim, GAP_TOP * usual), max(took, usual) * (1.0 / x.window - 1.0))
            x.resumes = max(x.resumes, now + gap * self.random.uniform(0.5, 1.5))

    def _outcome(self, now: float, event: Outcome) -> None:
        self._circuits(now, event)
        key = (event.ref, event.attempt)
        if key not in self.legs:
            return
        path, sent, dest = self.legs.pop(key)
        stood = key not in path[0].pending
        self.look = self.look or not stood
        for x in (*path, self.own):
            x.pending.pop(key, None)
        result, note = event.result, event.note
        if result in (Result.TIMEOUT, Result.CONNECT_FAILED) and not stood:
            for x in (*path, self.own):
                self._narrow(now, x, sent, event.elapsed, path)
        elif result is Result.FULL and note is Note.PROCESSOR_FULL:
            # It answers fast, so its gap is not measured by the answer: many servers would ask all the time.
            self._narrow(now, path[0], sent, max(event.retry_after, PAUSE * self.aim), path)
            path[0].resumes = max(path[0].resumes, now + event.retry_after, now + PAUSE * self.aim)
        elif result is Result.FULL and note is Note.TURNED_BACK:
            if event.retry_after > 0:
                self._narrow(now, path[-1], sent, PAUSE * self.aim, path)
            elif len(path) > 1:
                self.marks[(path[0].cell, dest)] = now + MARK_AGE
                # Marks name one tandem each; where there are dozens, all groups to a destination may be full.
                path[1].backs += 1
                gap = min(MARK_AGE, BACK_GAP * self._usual(now) * (path[1].backs - 1))
                path[1].overflows = now + gap * self.random.uniform(0.5, 1.5)
        elif result is Result.MOOT and note is Note.PROCESSOR_FULL:  # the own processor is down
            self.own.resumes = max(self.own.resumes, now + max(event.retry_after, PAUSE * self.aim))
        call = self.calls.get(event.ref)
        if call is None or call.attempts - 1 != event.attempt:
            return
        call.sent_to = None
        if note is Note.NO_CIRCUIT and event.report is None:
            path[0].free = min(path[0].free, call.request.width - 1.0)  # a pair may have no group at all
        if event.call_ended or stood:
            self.calls.pop(event.ref, None)
            return
        call.doubt = call.doubt or result not in NEVER_RAN
        if not call.doubt:
            call.group_of = None
        call.turned += result is Result.FULL and note is Note.TURNED_BACK
        call.ready_at = now + (self.s.rules.release + self.s.tick if result in DOUBTFUL else 0.0)
        # An exchange that errs at random stands the next try; one that says why (lines busy) says it again.
        spent = call.ready_at >= call.last or call.attempts >= self.s.limits.max_tries
        if spent or call.request.transit or (result is Result.ERROR and note is not Note.NONE):
            self._end(now, call)
        else:
            self._waits(now, call)

    # -- time

    def _poll(self) -> None:
        if self.waiting and not self.polling:
            self.polling = True
            self.out.append(StartTimer(POLL_LABEL, max(self.s.tick, POLL * self.aim)))

    def _timer(self, now: float, event: TimerExpired) -> None:
        if event.label == POLL_LABEL:
            self.polling, self.look = False, True
        elif event.label == POLL_LABEL + 1:
            self.out.append(Subscribe(True))
        elif event.label == POLL_LABEL + 2:
            self._tell()
        elif event.label in self.waiting:
            self._end(now, self.waiting[event.label])


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
