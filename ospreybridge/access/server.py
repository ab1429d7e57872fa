"""The platform's call server without I/O: its messages in, the module's decisions, its messages out.

A call's way: `launch` of a client -> checked -> the module -> `launch` to an office -> `running` -> `running`
to the client: it stands -> `stop` of either side. What concerns the choice of a way, another attempt, waiting
and refusing is decided by the module alone; this file carries it out, in the step in which it was decided.
"""

from __future__ import annotations

from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from random import Random
from typing import Any, Protocol

from ospreybridge import interface as i
from ospreybridge.access import calls as c
from ospreybridge.access.admission import Admission
from ospreybridge.access.calls import Attempt, Call, Client, Stage
from ospreybridge.access.offices import Offices
from ospreybridge.access.pool import Link, Pool
from ospreybridge.access.releases import Release, Releases
from ospreybridge.core.timers import TimerQueue
from ospreybridge.policy import Controller
from ospreybridge.settings.instance import read_report
from ospreybridge.settings.platform import Address, Platform
from ospreybridge.signalling import causes, frames, jsonl
from ospreybridge.signalling.errors import MessageError
from ospreybridge.signalling.jsonl import Message

REFUSALS = (causes.NO_CIRCUIT, causes.CONGESTION, causes.TIMER_EXPIRY)  # trying again is harmless
RESET = causes.TEMPORARY_FAILURE  # an office's word for a set-up or a call that was cut
MOOT = causes.TIMER_EXPIRY  # an office's word for a set-up that never left
SLACK = 50.0  # ms by which the platform lengthens each of the rules' times
UPKEEP = 50.0  # ms between looks at connections
MOST_STANDING = 20_000  # calls that stand: some hundred octets each
EARLY_KEPT = 4_000  # releases of calls not known (yet), after a restart
MOST_DATAGRAM = 256  # octets
STOP_TAKES = 700.0  # ms after SIGTERM in which clients are still taken in and served as usual
STOP_TRANSIT = 2_500.0  # ms after SIGTERM in which calls in transit, which go on coming, are served
STOP_ENDS = 3_500.0  # ms after SIGTERM: the last answers, before the earliest SIGKILL
NOTES = {
    "no_path": i.Note.NO_CIRCUIT,
    "sent_back": i.Note.TURNED_BACK,
    "end_queue_long": i.Note.TURNED_BACK,
    "queue_long": i.Note.PROCESSOR_FULL,
    "line_taken": i.Note.LINES_BUSY,
}
BEYOND_FULL = 1.0  # ms: a wait that tells a full processor beyond from a circuit beyond, where none is told


class Port(Protocol):
    """What the front carries out. Connections are numbers, given by this side."""

    def dial(self, conn: int, address: Address) -> None: ...
    def send(self, conn: int, data: bytes) -> None: ...
    def close(self, conn: int, reason: str) -> None: ...
    def datagram(self, to: Address, body: bytes) -> None: ...


class Server:
    def __init__(
        self,
        platform: Platform,
        timers: TimerQueue,
        port: Port,
        now: float,
        unix: float,
        log: Callable[..., None] | None = None,
        trace: Callable[..., None] | None = None,
    ) -> None:
        """`unix`: Unix milliseconds at zero of the clock that `now` is of; `trace` is told each message."""
        self.p, self.timers, self.port, self.log, self.trace = platform, timers, port, log, trace
        self.s = platform.settings
        self.module = Controller(self.s, platform.seed)
        self.random = Random(platform.seed + 1)
        self.reader = c.Reader(self.s)
        self.admission = Admission(platform.sockets)
        self.offices = Offices(max(1, len(platform.zones)), max(1, len(platform.kinds)), unix)
        self.peers = {address: number for number, address in enumerate(platform.peers)}
        self.clients: dict[int, Client] = {}
        self.pools: dict[int, Pool] = {}
        self.linked: dict[int, Pool] = {}  # by connection, open or being opened
        self.calls: dict[int, Call] = {}  # what the module may speak of
        self.pending: dict[str, Call] = {}
        self.standing: dict[str, Call] = {}
        self.standing_at: dict[int, dict[str, Call]] = {}
        self.releases = Releases()
        self.early: OrderedDict[str, int] = OrderedDict()  # releases of calls not known: cause
        self.checks: dict[str, tuple[int, float]] = {}  # probes: office, when sent
        self.events: deque[i.Event] = deque()
        self.busy = False
        self.last_ref = self.last_conn = 0
        self.stopping: float | None = None  # when SIGTERM came
        self.finals: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()
        for frame in platform.known:
            self.news(now, frame)
        timers.schedule(now + UPKEEP, self._upkeep)

    # -- clients

    def client_opened(self, now: float) -> int | None:
        """The number of a connection that came in; None where it is to be closed at once."""
        while self.admission.full(len(self.clients)):
            goes = self.admission.makes_room(self.clients.values())
            if goes is None:
                self.counts["clients turned away"] += 1
                return None
            self.counts["clients closed for room"] += 1
            self.port.close(goes.conn, "room for another")
            self.client_closed(now, goes.conn)
        self.last_conn += 1
        self.clients[self.last_conn] = Client(self.last_conn, now, now)
        return self.last_conn

    def client_line(self, now: float, conn: int, line: bytes) -> None:
        client = self.clients.get(conn)
        if client is None:
            return
        try:
            message = jsonl.decode(line)
        except MessageError as error:
            self.client_broken(now, conn, str(error))
            return
        client.active = now
        if self.trace is not None:
            self._traced("client", conn, message)
        if message.kind == jsonl.LAUNCH:
            self._launch(now, client, message)
        elif message.kind == jsonl.STOP:
            self._stop(now, client, message)
        elif message.kind == jsonl.CHECK:
            self._spoke(now, client)
            self._say(conn, Message(jsonl.CHECKED, message.uid, {}, 1))
        elif message.kind == jsonl.STOPPED:
            if message.uid in self.releases.open:
                self.releases.heard(message.uid)
                client.trust = c.SERVED
        elif message.kind == jsonl.STAGING:
            pass
        else:
            self.client_broken(now, conn, f"{message.kind}: not a message of a caller")

    def client_broken(self, now: float, conn: int, why: str) -> None:
        """What can't be read on ends its connection: nothing after it would mean anything."""
        self.counts["clients unreadable"] += 1
        self.port.close(conn, why)
        self.client_closed(now, conn)

    def client_closed(self, now: float, conn: int) -> None:
        client = self.clients.pop(conn, None)
        if client is None:
            return
        for call in list(client.calls.values()):
            self._caller_left(now, call)
        for uid, release in self.releases.due(now, conn):
            self._send_release(now, uid, release)
        self._run(now)

    def _spoke(self, now: float, client: Client) -> None:
        """Something sound came: what no caller could be told yet may go here."""
        if client.trust == c.STRANGER:
            client.trust = c.SPOKEN
            for uid, release in self.releases.due(now):
                self._send_release(now, uid, release)

    def _launch(self, now: float, client: Client, message: Message) -> None:
        uid = message.uid
        try:
            setup = self.reader.read(message)
        except MessageError as error:
            self._turn_away(now, client, uid, str(error))
            return
        if uid in self.pending or uid in self.standing:
            if setup.at is None:
                self._turn_away(now, client, uid, "uid: of a call that is open")
            return
        if setup.at is not None:
            self._stands_already(now, client, uid, setup.at)
            return
        if not self.admission.may_open(client, len(self.pending)):
            self.counts["over the most open"] += 1
            self._say(client.conn, Message(jsonl.STOP, uid, {}, causes.CONGESTION))
            return
        self._spoke(now, client)
        self.last_ref = self.last_ref % 0xFFFFFFFF + 1
        kind = self.s.classes[setup.cls]
        call = Call(
            self.last_ref,
            uid,
            kind.name,
            str(message.meta["key"]),
            message.body,
            client.conn,
            now + setup.left,
            setup.transit,
        )
        self.calls[call.ref] = self.pending[uid] = client.calls[uid] = call
        taken = STOP_TRANSIT if setup.transit else STOP_TAKES
        if self.stopping is not None and now - self.stopping > taken:
            self._final(now, call, causes.CONGESTION, {})
            return
        request = i.Request(
            call.ref,
            setup.cls,
            setup.dest,
            call.expires,
            setup.width,
            setup.tenant,
            setup.via,
            setup.number,
            0.0,
            False,
            setup.transit,
            setup.cut,
        )
        self.events.append(request)
        self._run(now)

    def _turn_away(self, now: float, client: Client, uid: str, why: str) -> None:
        """A set-up that makes no sense gets its refusal; one under the id of an open call ends that too.

        On the connection of the open call a `stop` would be taken for that call's answer, so it is: the two
        can't be told apart, and neither may stand.
        """
        self.counts["set-ups turned away"] += 1
        call = client.calls.get(uid)
        if call is not None:
            self._caller_left(now, call)
        self._say(client.conn, Message(jsonl.STOP, uid, {"note": why}, causes.PROTOCOL_ERROR))
        self._run(now)

    def _stands_already(self, now: float, client: Client, uid: str, office: int) -> None:
        self._spoke(now, client)
        cause = self.early.pop(uid, None)
        if cause is not None:
            self._release(now, uid, cause, client.conn)
            return
        if office not in self.offices.known or len(self.standing) >= MOST_STANDING:
            self._release(now, uid, RESET, client.conn)  # what stood there is over
            return
        call = Call(0, uid, "", "", None, client.conn, 0.0, stage=Stage.STANDS, office=office)
        self._keep(call)
        self.counts["told to stand"] += 1

    def _stop(self, now: float, client: Client, message: Message) -> None:
        self._spoke(now, client)
        call = self.pending.get(message.uid)
        if call is not None:
            if call.client == client.conn:
                self._caller_left(now, call)
                self._run(now)
            return
        call = self.standing.get(message.uid)
        if call is not None:
            self._ended(now, call, i.Result.CANCELLED)
            self._tell_office(now, call.office, Message(jsonl.STOP, call.uid, {}, causes.NORMAL_CLEARING))
            self._run(now)
        self._say(client.conn, Message(jsonl.STOPPED, message.uid))

    def _caller_left(self, now: float, call: Call) -> None:
        """Nobody waits for this answer any more; an attempt that is out is called off by the module."""
        if call.stage is not Stage.PENDING:
            return
        self.finals["caller left"] += 1
        self._over(call)
        self.events.append(i.CallerLeft(call.ref))
        if call.out is None:
            self.calls.pop(call.ref, None)

    # -- final answers and ends

    def _over(self, call: Call) -> None:
        call.stage, call.body = Stage.OVER, None
        self.pending.pop(call.uid, None)
        client = self.clients.get(call.client)
        if client is not None:
            client.calls.pop(call.uid, None)

    def _final(self, now: float, call: Call, cause: int, meta: dict[str, jsonl.Value]) -> None:
        """The one final answer of a call that does not stand."""
        self._over(call)
        self.calls.pop(call.ref, None)
        self.finals["refused" if cause in REFUSALS else "failed"] += 1
        self._say(call.client, Message(jsonl.STOP, call.uid, meta, cause))

    def _give_up(self, now: float, action: i.Refuse | i.Fail) -> None:
        call = self.calls.get(action.ref)
        if call is None or call.stage is not Stage.PENDING:
            return
        meta: dict[str, jsonl.Value] = {}
        cause = RESET
        if type(action) is i.Refuse:
            cause = causes.NO_CIRCUIT if call.cause == causes.NO_CIRCUIT else causes.CONGESTION
            if action.retry_after >= 1.0:
                meta["wait"] = str(int(action.retry_after))
        self._final(now, call, cause, meta)

    def _keep(self, call: Call) -> None:
        self.standing[call.uid] = call
        self.standing_at.setdefault(call.office, {})[call.uid] = call

    def _ended(self, now: float, call: Call, result: i.Result, report: i.Report | None = None) -> None:
        """A call that stood is over; the module is told where it knows of it."""
        self.standing.pop(call.uid, None)
        at = self.standing_at.get(call.office)
        if at is not None:
            at.pop(call.uid, None)
            if not at:
                del self.standing_at[call.office]
        call.stage = Stage.OVER
        self.finals["ended" if result is i.Result.OK else "cut"] += 1
        if self.calls.pop(call.ref, None) is not None:
            took = now - call.since
            self.events.append(
                i.Outcome(call.ref, call.attempts - 1, call.office, result, took, True, report=report)
            )

    def _release(self, now: float, uid: str, cause: int, conn: int = 0) -> None:
        """Tells the callers that a call is over: on its own connection, else where it will be heard."""
        self._send_release(now, uid, self.releases.begin(now, uid, cause), conn)

    def _send_release(self, now: float, uid: str, release: Release, conn: int = 0) -> None:
        client = self.releases.choose(now, release, conn, self.clients)
        if client is not None:
            self._say(client.conn, Message(jsonl.STOP, uid, {}, release.cause))

    def _office_lost(self, now: float, office: int, why: str) -> None:
        """What stood there is over: its callers are told, and the module. Old connections are of no use."""
        for conn in self.pools[office].links if office in self.pools else ():
            self.pools[office].retire(conn, now)
        calls = list(self.standing_at.get(office, {}).values())
        if calls:
            self.note("standing calls lost", office=frames.office_name(office), calls=len(calls), reason=why)
        for call in calls:
            self._ended(now, call, i.Result.RESET)
            self._release(now, call.uid, RESET, call.client)

    # -- the module

    def _run(self, now: float) -> None:
        """Tells the module all that happened, in order, and carries out what it decides at once."""
        if self.busy:
            return
        self.busy = True
        try:
            while self.events:
                for action in self.module.handle(now, self.events.popleft()):
                    self._act(now, action)
        finally:
            self.busy = False

    def _act(self, now: float, action: i.Action) -> None:
        if type(action) is i.Send:
            self._attempt(now, action)
        elif type(action) is i.Refuse or type(action) is i.Fail:
            self._give_up(now, action)
        elif type(action) is i.StartTimer:
            self.timers.schedule(now + action.delay, self._remind, action.label)
        elif type(action) is i.Cancel:
            self._cancel(now, action)
        elif type(action) is i.NotifyPeers:
            self._tell(action)
        elif type(action) is i.Probe:
            self._probe(now, action.office)
        elif type(action) is i.Remark:
            self.note("remark", text=action.text)
        # Follow and Lookup: the feed follows always. Close: the pools give back what is idle.

    def _remind(self, now: float, label: int) -> None:
        self.events.append(i.TimerExpired(label))
        self._run(now)

    def _tell(self, action: i.NotifyPeers) -> None:
        to = self.p.peers_all if action.peer is None else None
        if action.peer is not None and 0 <= action.peer < len(self.p.peers):
            to = self.p.peers[action.peer]
        if to is not None and len(action.body) <= MOST_DATAGRAM:
            self.counts["datagrams out"] += 1
            self.port.datagram(to, action.body)

    def datagram(self, now: float, source: Address, body: bytes) -> None:
        sender = self.peers.get(source)
        if sender is None or not body or len(body) > MOST_DATAGRAM:
            self.counts["datagrams dropped"] += 1
            return
        self.events.append(i.PeerMessage(sender, body))
        self._run(now)

    # -- attempts

    def _attempt(self, now: float, action: i.Send) -> None:
        call = self.calls.get(action.ref)
        if call is None or call.stage is not Stage.PENDING or call.out is not None:
            self.note("attempt for no call", ref=action.ref)
            return
        ends = min(now + max(1.0, action.timeout), call.expires)
        attempt = Attempt(call, call.attempts, action.office, now, ends)
        call.attempts += 1
        call.out = attempt
        pool = self.pools.get(action.office)
        if pool is None or self.offices.barred(now, action.office, self.s.rules.drain_grace):
            self._attempt_over(now, attempt, i.Result.CONNECT_FAILED)
            return
        attempt.timer = self.timers.schedule(ends, self._timeout, attempt)
        pool.waiting.append(attempt)
        self._serve(now, pool)

    def _write(self, now: float, pool: Pool, link: Link, attempt: Attempt) -> None:
        call = attempt.call
        if self.offices.barred(now, attempt.office, self.s.rules.drain_grace):
            self._attempt_over(now, attempt, i.Result.CONNECT_FAILED)
            return
        attempt.link = link.conn
        link.attempts[call.uid] = attempt
        left = max(1, int(attempt.ends - now))
        meta: dict[str, jsonl.Value] = {"class": call.name, "key": call.key, "left": str(left)}
        self._say(link.conn, Message(jsonl.LAUNCH, call.uid, meta, body=call.body))

    def _timeout(self, now: float, attempt: Attempt) -> None:
        """No answer in time: it is given up at the office before the module hears of it."""
        if attempt.call.out is not attempt:
            return
        if not attempt.link:  # it never left
            self._attempt_over(now, attempt, i.Result.CONNECT_FAILED)
        else:
            self._say(attempt.link, Message(jsonl.STOP, attempt.call.uid, {}, causes.NORMAL_CLEARING))
            self.pools[attempt.office].retire(attempt.link, now)
            self._attempt_over(now, attempt, i.Result.TIMEOUT)
        self._run(now)

    def _cancel(self, now: float, action: i.Cancel) -> None:
        call = self.calls.get(action.ref)
        attempt = call.out if call is not None else None
        if attempt is None or attempt.number != action.attempt:
            return
        if not attempt.link:
            self._attempt_over(now, attempt, i.Result.MOOT)
        else:
            self._say(attempt.link, Message(jsonl.STOP, attempt.call.uid, {}, causes.NORMAL_CLEARING))
            self._attempt_over(now, attempt, i.Result.CANCELLED)

    def _attempt_over(
        self,
        now: float,
        attempt: Attempt,
        result: i.Result,
        note: i.Note = i.Note.NONE,
        wait: float = 0.0,
        report: i.Report | None = None,
    ) -> None:
        call = attempt.call
        self._detach(now, attempt)
        call.out = None
        ended = call.stage is Stage.OVER
        if ended:
            self.calls.pop(call.ref, None)
        took = now - attempt.began
        if report is None and note is not i.Note.NO_CIRCUIT:
            # The module counts a circuit off at each send; one that was not taken brings no news of it.
            pool = self.pools.get(attempt.office)
            report = self._report({"load": pool.load}) if pool is not None and pool.load else None
        self.counts[f"attempts {result.name.lower()}"] += 1
        self.events.append(
            i.Outcome(call.ref, attempt.number, attempt.office, result, took, ended, note, wait, report)
        )

    def _detach(self, now: float, attempt: Attempt) -> None:
        """Takes an attempt off its connection, which may carry the next."""
        if attempt.timer is not None:
            attempt.timer.cancel()
            attempt.timer = None
        pool = self.pools.get(attempt.office)
        if pool is None:
            return
        if not attempt.link:
            if attempt in pool.waiting:
                pool.waiting.remove(attempt)
            return
        link = pool.links.get(attempt.link)
        if link is not None and link.attempts.pop(attempt.call.uid, None) is not None:
            link.idle_since = now
            self._serve(now, pool)

    def _serve(self, now: float, pool: Pool) -> None:
        """Set-ups that wait for a connection get one, in their order, or have one opened."""
        while pool.waiting:
            link, opens = pool.take(len(self.linked) < self.admission.office_links)
            if link is not None:
                self._write(now, pool, link, pool.waiting.popleft())
            elif opens:
                self._dial(now, pool)
            else:
                return

    # -- offices

    def _dial(self, now: float, pool: Pool) -> None:
        office = self.offices.known.get(pool.office)
        if office is None:
            return
        self.last_conn += 1
        conn = self.last_conn
        pool.dialling.add(conn)
        pool.dialled(now)
        self.linked[conn] = pool
        self.port.dial(conn, office.address)

    def link_opened(self, now: float, conn: int) -> None:
        pool = self.linked.get(conn)
        if pool is None:
            self.port.close(conn, "its office is gone")
            return
        pool.opened(now, conn)
        self._serve(now, pool)
        self._run(now)

    def link_failed(self, now: float, conn: int, refused: bool) -> None:
        """A connection could not be had: nothing that waited for it ran."""
        pool = self.linked.pop(conn, None)
        if pool is None:
            return
        if not pool.failures:
            self.note(
                "office not reached",
                office=frames.office_name(pool.office),
                refused=refused,
                open=len(pool.links),
                standing=len(self.standing_at.get(pool.office, ())),
            )
        pool.failed(now, conn, refused)
        self.counts["connects failed"] += 1
        while len(pool.waiting) > len(pool.dialling):
            self._attempt_over(now, pool.waiting[0], i.Result.CONNECT_FAILED)
        self._judge(now, pool)
        self._run(now)

    def _judge(self, now: float, pool: Pool) -> None:
        if pool.office in self.standing_at and pool.dead(now):
            self._office_lost(now, pool.office, "refuses connections" if pool.refused else "silent")

    def link_line(self, now: float, conn: int, line: bytes) -> None:
        pool = self.linked.get(conn)
        link = pool.links.get(conn) if pool is not None else None
        if pool is None or link is None:
            return
        pool.heard = now
        try:
            self._office_says(now, pool, link, jsonl.decode(line))
        except MessageError as error:
            self.counts["offices unreadable"] += 1
            self.note("office unreadable", office=frames.office_name(pool.office), reason=str(error))
            self.link_lost(now, conn)
            self.port.close(conn, str(error))
        self._run(now)

    def link_lost(self, now: float, conn: int) -> None:
        """A connection broke, or can't be read on: what was open on it ends as reset."""
        pool = self.linked.pop(conn, None)
        if pool is None:
            return
        link = pool.links.pop(conn, None)
        pool.dialling.discard(conn)
        for attempt in list(link.attempts.values()) if link is not None else ():
            self._attempt_over(now, attempt, i.Result.RESET)
        self._run(now)

    def _office_says(self, now: float, pool: Pool, link: Link, message: Message) -> None:
        kind, uid = message.kind, message.uid
        if self.trace is not None:
            self._traced(frames.office_name(pool.office), link.conn, message)
        if kind == jsonl.USAGE:
            report = self._report(message.meta)
            if report is not None and pool.news(now, link, str(message.meta["load"])):
                self.events.append(i.Probed(pool.office, i.Result.OK, 0.0, report))
        elif kind == jsonl.RUNNING:
            attempt = link.attempts.get(uid)
            if attempt is None:
                self.counts["answers to no set-up"] += 1
                return
            if not message.body:
                raise MessageError("body: a description was expected")
            self._answered(now, attempt, message)
        elif kind == jsonl.STOP:
            self._office_stops(now, pool, link, message)
        elif kind == jsonl.CHECKED:
            office, sent = self.checks.pop(uid, (0, 0.0))
            if office == pool.office:
                result = i.Result.OK if message.reason == 1 else i.Result.ERROR
                self.events.append(i.Probed(office, result, now - sent, self._report(message.meta)))
        elif kind == jsonl.CHECK:
            self._say(link.conn, Message(jsonl.CHECKED, uid, {}, 1))
        elif kind == jsonl.LAUNCH:
            raise MessageError("a set-up from an office")

    def _answered(self, now: float, attempt: Attempt, message: Message) -> None:
        call = attempt.call
        if now > call.expires + self.s.rules.grace_to_answer + SLACK:
            self._timeout(now, attempt)
            return
        self._detach(now, attempt)
        call.out, call.office, call.since = None, attempt.office, attempt.began
        self._over(call)
        call.stage = Stage.STANDS
        self._keep(call)
        self.finals["stands"] += 1
        client = self.clients.get(call.client)
        if client is not None:
            client.trust = c.SERVED
        self._say(call.client, Message(jsonl.RUNNING, call.uid, {}, body=message.body))
        self.events.append(i.Established(call.ref, attempt.number, attempt.office, now - attempt.began))

    def _office_stops(self, now: float, pool: Pool, link: Link, message: Message) -> None:
        uid, cause = message.uid, message.reason
        report = self._report(message.meta)
        attempt = link.attempts.get(uid)
        if attempt is not None:
            result, note, wait = self._meaning(message)
            attempt.call.cause = cause
            self._attempt_over(now, attempt, result, note, wait, report)
            return
        self._say(link.conn, Message(jsonl.STOPPED, uid))
        call = self.standing.get(uid)
        if call is not None and call.office == pool.office:
            self._ended(now, call, i.Result.OK if cause == causes.NORMAL_CLEARING else i.Result.RESET, report)
            self._release(now, uid, cause, call.client)
        elif call is None and uid not in self.pending:
            # Perhaps a call that stood before this process started, and that its caller has not named yet.
            self.early[uid] = cause
            if len(self.early) > EARLY_KEPT:
                self.early.popitem(last=False)

    def _meaning(self, message: Message) -> tuple[i.Result, i.Note, float]:
        """What an office's release before the answer says."""
        cause, meta = message.reason, message.meta
        note = NOTES.get(str(meta.get("note", "")), i.Note.NONE)
        wait = max(0.0, jsonl.parse_number(meta["waited"], "waited")) if "waited" in meta else 0.0
        if meta.get("note") == "end_queue_long":
            wait = max(wait, BEYOND_FULL)
        if cause == causes.NO_CIRCUIT:
            return i.Result.FULL, note, wait
        if cause in (causes.USER_BUSY, causes.RESOURCE_UNAVAILABLE):
            return i.Result.ERROR, note, wait
        if cause == MOOT:
            return i.Result.MOOT, note, wait
        return i.Result.RESET, note, wait

    def _report(self, meta: dict[str, jsonl.Value]) -> i.Report | None:
        """The state of a group where a message has one; what is not told stays not told."""
        told = jsonl.parse_extras(meta.get("load"))
        if not told:
            return None
        values = tuple(
            jsonl.parse_number(told[column], column) if column in told else -1.0 for column in self.p.columns
        )
        return read_report(self.p.columns, values)

    def _probe(self, now: float, office: int) -> None:
        pool = self.pools.get(office)
        link = pool.any() if pool is not None else None
        if link is None:
            self.events.append(i.Probed(office, i.Result.CONNECT_FAILED))
            return
        uid = f"{self.random.getrandbits(64):016x}"
        self.checks[uid] = (office, now)
        self.timers.schedule(now + self.s.limits.dial_timeout, self._unchecked, uid)
        self._say(link.conn, Message(jsonl.CHECK, uid))

    def _unchecked(self, now: float, uid: str) -> None:
        office, sent = self.checks.pop(uid, (0, 0.0))
        if office:
            self.events.append(i.Probed(office, i.Result.TIMEOUT, now - sent))
            self._run(now)

    def _tell_office(self, now: float, office: int, message: Message) -> None:
        pool = self.pools.get(office)
        link = pool.any() if pool is not None else None
        if link is not None:
            self._say(link.conn, message)

    # -- the list

    def news(self, now: float, frame: frames.Frame) -> None:
        """One event of the journal service; FrameError where it can't be meant."""
        starts = {office.id: office.started for office in self.offices.known.values()}
        members = self.offices.news(now, frame)
        if members is None:
            return
        for office in list(self.offices.known.values()):
            if office.started != starts.get(office.id, office.started):
                self._office_lost(now, office.id, "started again")
            if office.readiness is i.Readiness.GONE:
                self._gone(now, office.id)
            elif office.cell != self.s.own_exchange and office.id not in self.pools:
                self.pools[office.id] = Pool(office.id, now, self.random)
                self._dial(now, self.pools[office.id])
        self.note("list", number=frame.number, kind=frame.kind, entries=len(members.entries))
        self.events.append(members)
        self._run(now)

    def _gone(self, now: float, office: int) -> None:
        """An office left the list: another may come at its address, so its connections end."""
        pool = self.pools.get(office)
        if pool is None:
            self.offices.forget(office)
            return
        if office in self.standing_at or any(link.attempts for link in pool.links.values()):
            return  # looked at again by the upkeep
        del self.pools[office]
        self.offices.forget(office)
        for attempt in list(pool.waiting):
            self._attempt_over(now, attempt, i.Result.CONNECT_FAILED)
        for conn in [*pool.links, *pool.dialling]:
            self.linked.pop(conn, None)
            self.port.close(conn, "its office is gone")

    # -- time

    def _upkeep(self, now: float) -> None:
        """Opens spare connections, gives idle ones back, closes silent clients, notices dead offices."""
        self.timers.schedule(now + UPKEEP, self._upkeep)
        taken = {o.address for o in self.offices.known.values() if o.readiness is not i.Readiness.GONE}
        for pool in list(self.pools.values()):
            office = self.offices.known[pool.office]
            gone = office.readiness is i.Readiness.GONE
            if gone:
                if office.address in taken:
                    self._office_lost(now, pool.office, "another has its address")
                self._gone(now, pool.office)
                if pool.office not in self.pools:
                    continue
            standing = pool.office in self.standing_at and not (gone and office.address in taken)
            ready = office.readiness is i.Readiness.READY
            if pool.wanted(now, len(self.linked) < self.admission.office_links, ready, standing):
                self._dial(now, pool)
            self._judge(now, pool)
            for conn in pool.surplus(now):
                self.link_lost(now, conn)
                self.port.close(conn, "idle")
            self._serve(now, pool)
        for client in self.admission.mute(now, self.clients.values()):
            self.counts["clients mute"] += 1
            self.port.close(client.conn, "nothing said in time")
            self.client_closed(now, client.conn)
        for uid, release in self.releases.due(now):
            self._send_release(now, uid, release)
        self._run(now)

    def stop(self, now: float) -> None:
        """SIGTERM: calls are served as usual for a while, later ones refused, all pending ones answered."""
        if self.stopping is None:
            self.stopping = now
            self.note("stopping", pending=len(self.pending), standing=len(self.standing))
            self.timers.schedule(now + STOP_ENDS, self._last_answers)

    def _last_answers(self, now: float) -> None:
        for call in list(self.pending.values()):
            if call.out is not None and call.out.link:
                self._say(call.out.link, Message(jsonl.STOP, call.uid, {}, causes.NORMAL_CLEARING))
                self._detach(now, call.out)
                call.out = None
            self._final(now, call, causes.CONGESTION, {})
            self.events.append(i.CallerLeft(call.ref))
        self._run(now)

    def stopped(self, now: float) -> bool:
        """Whether it may end: not before the last moment, as releases go on being passed."""
        return self.stopping is not None and now - self.stopping >= STOP_ENDS and not self.pending

    def beliefs(self, now: float) -> dict[str, dict[str, Any]]:
        """By office, what the module believes beside what passed: free circuits and unanswered set-ups."""
        found = {}
        for office, pool in self.pools.items():
            known = self.module.offices.get(office)
            out = sum(len(link.attempts) for link in pool.links.values()) + len(pool.waiting)
            found[frames.office_name(office)] = {
                "state": known.state.name if known else "GONE",
                "cell": known.cell if known else -1,
                "free": known.free if known else None,
                "told": pool.load,
                "window": round(known.window, 2) if known else None,
                "pending": len(known.pending) if known else 0,
                "out": out,
                "standing": len(self.standing_at.get(office, ())),
                "links": len(pool.links),
                "heard": round(now - pool.heard),
                "failures": pool.failures,
            }
        return found

    # -- out

    def _say(self, conn: int, message: Message) -> None:
        if self.trace is not None:
            self._traced("to", conn, message)
        self.port.send(conn, jsonl.encode(message))

    def _traced(self, source: str, conn: int, message: Message) -> None:
        if self.trace is not None and message.kind != jsonl.USAGE:
            self.trace(
                source,
                conn=conn,
                kind=message.kind,
                ref=message.uid,
                cause=message.reason,
                **{f"f_{name}": value for name, value in message.meta.items()},
            )

    def note(self, event: str, **fields: Any) -> None:
        if self.log is not None:
            self.log(event, **fields)
