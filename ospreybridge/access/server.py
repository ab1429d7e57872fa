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

from ospreybridge import interface
from ospreybridge.access import calls
from ospreybridge.access.admission import Admission
from ospreybridge.access.calls import Attempt, Call, Client, Stage
from ospreybridge.access.offices import OfficeList
from ospreybridge.access.pool import ConnectionPool, OfficeConnection
from ospreybridge.access.releases import Release, Releases
from ospreybridge.core.timers import TimerQueue
from ospreybridge.policy import Controller
from ospreybridge.settings.instance import read_report
from ospreybridge.settings.platform import Address, PlatformConfig
from ospreybridge.signalling import causes, frames, jsonl
from ospreybridge.signalling.errors import MessageError
from ospreybridge.signalling.jsonl import Message

REFUSAL_CAUSES = (causes.NO_CIRCUIT, causes.CONGESTION, causes.TIMER_EXPIRY)  # trying again is harmless
RESET_CAUSE = causes.TEMPORARY_FAILURE  # an office's word for a set-up or a call that was cut
MOOT_CAUSE = causes.TIMER_EXPIRY  # an office's word for a set-up that never left
ANSWER_SLACK_MS = 50.0  # ms by which the platform lengthens each of the rules' times
MAINTENANCE_INTERVAL_MS = 50.0  # ms between looks at connections
MAX_ESTABLISHED = 20_000  # calls that stand: some hundred octets each
MAX_EARLY_RELEASES = 4_000  # releases of calls not known (yet), after a restart
MAX_DATAGRAM_BYTES = 256  # octets
STOP_ACCEPT_MS = 700.0  # ms after SIGTERM in which clients are still taken in and served as usual
STOP_ACCEPT_TRANSIT_MS = 2_500.0  # ms after SIGTERM in which calls in transit, which go on coming, are served
STOP_FINAL_MS = 3_500.0  # ms after SIGTERM: the last answers, before the earliest SIGKILL
NOTE_BY_WORD = {
    "no_path": interface.Note.NO_CIRCUIT,
    "sent_back": interface.Note.TURNED_BACK,
    "end_queue_long": interface.Note.TURNED_BACK,
    "queue_long": interface.Note.PROCESSOR_FULL,
    "line_taken": interface.Note.LINES_BUSY,
}
REMOTE_BUSY_WAIT_MS = (
    1.0  # ms: a wait that tells a full processor beyond from a circuit beyond, where none is told
)


class Transport(Protocol):
    """What the front carries out. Connections are numbers, given by this side."""

    def dial(self, conn: int, address: Address) -> None: ...
    def send(self, conn: int, data: bytes) -> None: ...
    def close(self, conn: int, reason: str) -> None: ...
    def send_datagram(self, to: Address, body: bytes) -> None: ...


class PlatformServer:
    def __init__(
        self,
        config: PlatformConfig,
        timers: TimerQueue,
        transport: Transport,
        now: float,
        unix_offset_ms: float,
        log: Callable[..., None] | None = None,
        trace: Callable[..., None] | None = None,
    ) -> None:
        """`unix`: Unix milliseconds at zero of the clock that `now` is of; `trace` is told each message."""
        self.config, self.timers, self.transport, self.log, self.trace = config, timers, transport, log, trace
        self.settings = config.settings
        self.controller = Controller(self.settings, config.seed)
        self.random = Random(config.seed + 1)
        self.set_up_parser = calls.SetUpParser(self.settings)
        self.admission = Admission(config.sockets)
        self.office_list = OfficeList(max(1, len(config.zones)), max(1, len(config.kinds)), unix_offset_ms)
        self.peer_numbers = {address: number for number, address in enumerate(config.peers)}
        self.clients: dict[int, Client] = {}
        self.pools: dict[int, ConnectionPool] = {}
        self.pool_by_connection: dict[int, ConnectionPool] = {}  # by connection, open or being opened
        self.calls_by_ref: dict[int, Call] = {}  # what the module may speak of
        self.pending: dict[str, Call] = {}
        self.established: dict[str, Call] = {}
        self.established_by_office: dict[int, dict[str, Call]] = {}
        self.releases = Releases()
        self.early_releases: OrderedDict[str, int] = OrderedDict()  # releases of calls not known: cause
        self.open_probes: dict[str, tuple[int, float]] = {}  # probes: office, when sent
        self.events: deque[interface.Event] = deque()
        self.handling_events = False
        self.last_ref = self.last_connection_id = 0
        self.stopping_since: float | None = None  # when SIGTERM came
        self.finals: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()
        for frame in config.known_events:
            self.apply_list_event(now, frame)
        timers.schedule(now + MAINTENANCE_INTERVAL_MS, self._maintain)

    # -- clients

    def client_connected(self, now: float) -> int | None:
        """The number of a connection that came in; None where it is to be closed at once."""
        while self.admission.is_full(len(self.clients)):
            goes = self.admission.client_to_evict(self.clients.values())
            if goes is None:
                self.counts["clients turned away"] += 1
                return None
            self.counts["clients closed for room"] += 1
            self.transport.close(goes.connection_id, "room for another")
            self.client_disconnected(now, goes.connection_id)
        self.last_connection_id += 1
        self.clients[self.last_connection_id] = Client(self.last_connection_id, now, now)
        return self.last_connection_id

    def client_line(self, now: float, conn: int, line: bytes) -> None:
        client = self.clients.get(conn)
        if client is None:
            return
        try:
            message = jsonl.decode(line)
        except MessageError as error:
            self.client_unreadable(now, conn, str(error))
            return
        client.last_active = now
        if self.trace is not None:
            self._trace_message("client", conn, message)
        if message.kind == jsonl.LAUNCH:
            self._handle_set_up(now, client, message)
        elif message.kind == jsonl.STOP:
            self._handle_caller_stop(now, client, message)
        elif message.kind == jsonl.CHECK:
            self._mark_valid(now, client)
            self._send(conn, Message(jsonl.CHECKED, message.uid, {}, 1))
        elif message.kind == jsonl.STOPPED:
            if message.uid in self.releases.unconfirmed:
                self.releases.confirm(message.uid)
                client.trust = calls.TRUST_SERVED
        elif message.kind == jsonl.STAGING:
            pass
        else:
            self.client_unreadable(now, conn, f"{message.kind}: not a message of a caller")

    def client_unreadable(self, now: float, conn: int, why: str) -> None:
        """What can't be read on ends its connection: nothing after it would mean anything."""
        self.counts["clients unreadable"] += 1
        self.transport.close(conn, why)
        self.client_disconnected(now, conn)

    def client_disconnected(self, now: float, conn: int) -> None:
        client = self.clients.pop(conn, None)
        if client is None:
            return
        for call in list(client.pending_calls.values()):
            self._caller_left(now, call)
        for uid, release in self.releases.due(now, conn):
            self._send_release(now, uid, release)
        self._process_events(now)

    def _mark_valid(self, now: float, client: Client) -> None:
        """Something sound came: what no caller could be told yet may go here."""
        if client.trust == calls.TRUST_UNKNOWN:
            client.trust = calls.TRUST_VALID_MESSAGE
            for uid, release in self.releases.due(now):
                self._send_release(now, uid, release)

    def _handle_set_up(self, now: float, client: Client, message: Message) -> None:
        uid = message.uid
        try:
            setup = self.set_up_parser.parse(message)
        except MessageError as error:
            self._reject_set_up(now, client, uid, str(error))
            return
        if uid in self.pending or uid in self.established:
            if setup.current_office is None:
                self._reject_set_up(now, client, uid, "uid: of a call that is open")
            return
        if setup.current_office is not None:
            self._restore_established(now, client, uid, setup.current_office)
            return
        if not self.admission.accepts_set_up(client, len(self.pending)):
            self.counts["over the most open"] += 1
            self._send(client.connection_id, Message(jsonl.STOP, uid, {}, causes.CONGESTION))
            return
        self._mark_valid(now, client)
        self.last_ref = self.last_ref % 0xFFFFFFFF + 1
        kind = self.settings.classes[setup.class_index]
        call = Call(
            self.last_ref,
            uid,
            kind.name,
            str(message.meta["key"]),
            message.body,
            client.connection_id,
            now + setup.time_left,
            setup.transit,
        )
        self.calls_by_ref[call.ref] = self.pending[uid] = client.pending_calls[uid] = call
        taken = STOP_ACCEPT_TRANSIT_MS if setup.transit else STOP_ACCEPT_MS
        if self.stopping_since is not None and now - self.stopping_since > taken:
            self._send_final_stop(now, call, causes.CONGESTION, {})
            return
        request = interface.Request(
            call.ref,
            setup.class_index,
            setup.destination,
            call.expires_at,
            setup.width,
            setup.tenant_index,
            setup.via,
            setup.number,
            0.0,
            False,
            setup.transit,
            setup.after_cut,
        )
        self.events.append(request)
        self._process_events(now)

    def _reject_set_up(self, now: float, client: Client, uid: str, why: str) -> None:
        """A set-up that makes no sense gets its refusal; one under the id of an open call ends that too.

        On the connection of the open call a `stop` would be taken for that call's answer, so it is: the two
        can't be told apart, and neither may stand.
        """
        self.counts["set-ups turned away"] += 1
        call = client.pending_calls.get(uid)
        if call is not None:
            self._caller_left(now, call)
        self._send(client.connection_id, Message(jsonl.STOP, uid, {"note": why}, causes.PROTOCOL_ERROR))
        self._process_events(now)

    def _restore_established(self, now: float, client: Client, uid: str, office: int) -> None:
        self._mark_valid(now, client)
        cause = self.early_releases.pop(uid, None)
        if cause is not None:
            self._begin_release(now, uid, cause, client.connection_id)
            return
        if office not in self.office_list.by_id or len(self.established) >= MAX_ESTABLISHED:
            self._begin_release(now, uid, RESET_CAUSE, client.connection_id)  # what stood there is over
            return
        call = Call(
            0, uid, "", "", None, client.connection_id, 0.0, stage=Stage.ESTABLISHED, office_id=office
        )
        self._add_established(call)
        self.counts["told to stand"] += 1

    def _handle_caller_stop(self, now: float, client: Client, message: Message) -> None:
        self._mark_valid(now, client)
        call = self.pending.get(message.uid)
        if call is not None:
            if call.client_id == client.connection_id:
                self._caller_left(now, call)
                self._process_events(now)
            return
        call = self.established.get(message.uid)
        if call is not None:
            self._end_established(now, call, interface.Result.CANCELLED)
            self._send_to_office(
                now, call.office_id, Message(jsonl.STOP, call.uid, {}, causes.NORMAL_CLEARING)
            )
            self._process_events(now)
        self._send(client.connection_id, Message(jsonl.STOPPED, message.uid))

    def _caller_left(self, now: float, call: Call) -> None:
        """Nobody waits for this answer any more; an attempt that is out is called off by the module."""
        if call.stage is not Stage.PENDING:
            return
        self.finals["caller left"] += 1
        self._close_set_up(call)
        self.events.append(interface.CallerLeft(call.ref))
        if call.open_attempt is None:
            self.calls_by_ref.pop(call.ref, None)

    # -- final answers and ends

    def _close_set_up(self, call: Call) -> None:
        call.stage, call.body = Stage.ENDED, None
        self.pending.pop(call.uid, None)
        client = self.clients.get(call.client_id)
        if client is not None:
            client.pending_calls.pop(call.uid, None)

    def _send_final_stop(self, now: float, call: Call, cause: int, meta: dict[str, jsonl.Value]) -> None:
        """The one final answer of a call that does not stand."""
        self._close_set_up(call)
        self.calls_by_ref.pop(call.ref, None)
        self.finals["refused" if cause in REFUSAL_CAUSES else "failed"] += 1
        self._send(call.client_id, Message(jsonl.STOP, call.uid, meta, cause))

    def _end_unanswered(self, now: float, action: interface.Refuse | interface.Fail) -> None:
        call = self.calls_by_ref.get(action.ref)
        if call is None or call.stage is not Stage.PENDING:
            return
        meta: dict[str, jsonl.Value] = {}
        cause = RESET_CAUSE
        if type(action) is interface.Refuse:
            cause = causes.NO_CIRCUIT if call.last_cause == causes.NO_CIRCUIT else causes.CONGESTION
            if action.retry_after >= 1.0:
                meta["wait"] = str(int(action.retry_after))
        self._send_final_stop(now, call, cause, meta)

    def _add_established(self, call: Call) -> None:
        self.established[call.uid] = call
        self.established_by_office.setdefault(call.office_id, {})[call.uid] = call

    def _end_established(
        self, now: float, call: Call, result: interface.Result, report: interface.Report | None = None
    ) -> None:
        """A call that stood is over; the module is told where it knows of it."""
        self.established.pop(call.uid, None)
        at = self.established_by_office.get(call.office_id)
        if at is not None:
            at.pop(call.uid, None)
            if not at:
                del self.established_by_office[call.office_id]
        call.stage = Stage.ENDED
        self.finals["ended" if result is interface.Result.OK else "cut"] += 1
        if self.calls_by_ref.pop(call.ref, None) is not None:
            took = now - call.attempt_started_at
            self.events.append(
                interface.Outcome(
                    call.ref, call.attempt_count - 1, call.office_id, result, took, True, report=report
                )
            )

    def _begin_release(self, now: float, uid: str, cause: int, conn: int = 0) -> None:
        """Tells the callers that a call is over: on its own connection, else where it will be heard."""
        self._send_release(now, uid, self.releases.begin(now, uid, cause), conn)

    def _send_release(self, now: float, uid: str, release: Release, conn: int = 0) -> None:
        client = self.releases.choose_client(now, release, conn, self.clients)
        if client is not None:
            self._send(client.connection_id, Message(jsonl.STOP, uid, {}, release.cause))

    def _end_office_calls(self, now: float, office: int, why: str) -> None:
        """What stood there is over: its callers are told, and the module. Old connections are of no use."""
        for conn in self.pools[office].connections if office in self.pools else ():
            self.pools[office].retire(conn, now)
        calls = list(self.established_by_office.get(office, {}).values())
        if calls:
            self.log_event(
                "standing calls lost", office=frames.office_name(office), calls=len(calls), reason=why
            )
        for call in calls:
            self._end_established(now, call, interface.Result.RESET)
            self._begin_release(now, call.uid, RESET_CAUSE, call.client_id)

    # -- the module

    def _process_events(self, now: float) -> None:
        """Tells the module all that happened, in order, and carries out what it decides at once."""
        if self.handling_events:
            return
        self.handling_events = True
        try:
            while self.events:
                for action in self.controller.handle(now, self.events.popleft()):
                    self._execute(now, action)
        finally:
            self.handling_events = False

    def _execute(self, now: float, action: interface.Action) -> None:
        if type(action) is interface.Send:
            self._start_attempt(now, action)
        elif type(action) is interface.Refuse or type(action) is interface.Fail:
            self._end_unanswered(now, action)
        elif type(action) is interface.StartTimer:
            self.timers.schedule(now + action.delay, self._timer_due, action.label)
        elif type(action) is interface.Cancel:
            self._cancel_attempt(now, action)
        elif type(action) is interface.NotifyPeers:
            self._send_to_peer(action)
        elif type(action) is interface.Probe:
            self._probe(now, action.office)
        elif type(action) is interface.Remark:
            self.log_event("remark", text=action.text)
        # Follow and Lookup: the feed follows always. Close: the pools give back what is idle.

    def _timer_due(self, now: float, label: int) -> None:
        self.events.append(interface.TimerExpired(label))
        self._process_events(now)

    def _send_to_peer(self, action: interface.NotifyPeers) -> None:
        to = self.config.peers_all if action.peer is None else None
        if action.peer is not None and 0 <= action.peer < len(self.config.peers):
            to = self.config.peers[action.peer]
        if to is not None and len(action.body) <= MAX_DATAGRAM_BYTES:
            self.counts["datagrams out"] += 1
            self.transport.send_datagram(to, action.body)

    def datagram_received(self, now: float, source: Address, body: bytes) -> None:
        sender = self.peer_numbers.get(source)
        if sender is None or not body or len(body) > MAX_DATAGRAM_BYTES:
            self.counts["datagrams dropped"] += 1
            return
        self.events.append(interface.PeerMessage(sender, body))
        self._process_events(now)

    # -- attempts

    def _start_attempt(self, now: float, action: interface.Send) -> None:
        call = self.calls_by_ref.get(action.ref)
        if call is None or call.stage is not Stage.PENDING or call.open_attempt is not None:
            self.log_event("attempt for no call", ref=action.ref)
            return
        ends = min(now + max(1.0, action.timeout), call.expires_at)
        attempt = Attempt(call, call.attempt_count, action.office, now, ends)
        call.attempt_count += 1
        call.open_attempt = attempt
        pool = self.pools.get(action.office)
        if pool is None or self.office_list.is_barred(now, action.office, self.settings.rules.drain_grace):
            self._end_attempt(now, attempt, interface.Result.CONNECT_FAILED)
            return
        attempt.timer = self.timers.schedule(ends, self._attempt_timed_out, attempt)
        pool.waiting.append(attempt)
        self._serve_waiting(now, pool)

    def _send_attempt(
        self, now: float, pool: ConnectionPool, link: OfficeConnection, attempt: Attempt
    ) -> None:
        call = attempt.call
        if self.office_list.is_barred(now, attempt.office_id, self.settings.rules.drain_grace):
            self._end_attempt(now, attempt, interface.Result.CONNECT_FAILED)
            return
        attempt.connection_id = link.id
        link.attempts[call.uid] = attempt
        left = max(1, int(attempt.deadline - now))
        meta: dict[str, jsonl.Value] = {"class": call.class_name, "key": call.key, "left": str(left)}
        self._send(link.id, Message(jsonl.LAUNCH, call.uid, meta, body=call.body))

    def _attempt_timed_out(self, now: float, attempt: Attempt) -> None:
        """No answer in time: it is given up at the office before the module hears of it."""
        if attempt.call.open_attempt is not attempt:
            return
        if not attempt.connection_id:  # it never left
            self._end_attempt(now, attempt, interface.Result.CONNECT_FAILED)
        else:
            self._send(
                attempt.connection_id, Message(jsonl.STOP, attempt.call.uid, {}, causes.NORMAL_CLEARING)
            )
            self.pools[attempt.office_id].retire(attempt.connection_id, now)
            self._end_attempt(now, attempt, interface.Result.TIMEOUT)
        self._process_events(now)

    def _cancel_attempt(self, now: float, action: interface.Cancel) -> None:
        call = self.calls_by_ref.get(action.ref)
        attempt = call.open_attempt if call is not None else None
        if attempt is None or attempt.number != action.attempt:
            return
        if not attempt.connection_id:
            self._end_attempt(now, attempt, interface.Result.MOOT)
        else:
            self._send(
                attempt.connection_id, Message(jsonl.STOP, attempt.call.uid, {}, causes.NORMAL_CLEARING)
            )
            self._end_attempt(now, attempt, interface.Result.CANCELLED)

    def _end_attempt(
        self,
        now: float,
        attempt: Attempt,
        result: interface.Result,
        note: interface.Note = interface.Note.NONE,
        wait: float = 0.0,
        report: interface.Report | None = None,
    ) -> None:
        call = attempt.call
        self._detach_attempt(now, attempt)
        call.open_attempt = None
        ended = call.stage is Stage.ENDED
        if ended:
            self.calls_by_ref.pop(call.ref, None)
        took = now - attempt.started_at
        if report is None and note is not interface.Note.NO_CIRCUIT:
            # The module counts a circuit off at each send; one that was not taken brings no news of it.
            pool = self.pools.get(attempt.office_id)
            report = (
                self._parse_load({"load": pool.last_load}) if pool is not None and pool.last_load else None
            )
        self.counts[f"attempts {result.name.lower()}"] += 1
        self.events.append(
            interface.Outcome(
                call.ref, attempt.number, attempt.office_id, result, took, ended, note, wait, report
            )
        )

    def _detach_attempt(self, now: float, attempt: Attempt) -> None:
        """Takes an attempt off its connection, which may carry the next."""
        if attempt.timer is not None:
            attempt.timer.cancel()
            attempt.timer = None
        pool = self.pools.get(attempt.office_id)
        if pool is None:
            return
        if not attempt.connection_id:
            if attempt in pool.waiting:
                pool.waiting.remove(attempt)
            return
        link = pool.connections.get(attempt.connection_id)
        if link is not None and link.attempts.pop(attempt.call.uid, None) is not None:
            link.idle_since = now
            self._serve_waiting(now, pool)

    def _serve_waiting(self, now: float, pool: ConnectionPool) -> None:
        """Set-ups that wait for a connection get one, in their order, or have one opened."""
        while pool.waiting:
            link, opens = pool.choose_connection(
                len(self.pool_by_connection) < self.admission.max_office_connections
            )
            if link is not None:
                self._send_attempt(now, pool, link, pool.waiting.popleft())
            elif opens:
                self._dial(now, pool)
            else:
                return

    # -- offices

    def _dial(self, now: float, pool: ConnectionPool) -> None:
        office = self.office_list.by_id.get(pool.office_id)
        if office is None:
            return
        self.last_connection_id += 1
        conn = self.last_connection_id
        pool.dialling.add(conn)
        pool.dial_started(now)
        self.pool_by_connection[conn] = pool
        self.transport.dial(conn, office.address)

    def office_connected(self, now: float, conn: int) -> None:
        pool = self.pool_by_connection.get(conn)
        if pool is None:
            self.transport.close(conn, "its office is gone")
            return
        pool.dial_succeeded(now, conn)
        self._serve_waiting(now, pool)
        self._process_events(now)

    def office_dial_failed(self, now: float, conn: int, refused: bool) -> None:
        """A connection could not be had: nothing that waited for it ran."""
        pool = self.pool_by_connection.pop(conn, None)
        if pool is None:
            return
        if not pool.failures:
            self.log_event(
                "office not reached",
                office=frames.office_name(pool.office_id),
                refused=refused,
                open=len(pool.connections),
                standing=len(self.established_by_office.get(pool.office_id, ())),
            )
        pool.dial_failed(now, conn, refused)
        self.counts["connects failed"] += 1
        while len(pool.waiting) > len(pool.dialling):
            self._end_attempt(now, pool.waiting[0], interface.Result.CONNECT_FAILED)
        self._check_office_lost(now, pool)
        self._process_events(now)

    def _check_office_lost(self, now: float, pool: ConnectionPool) -> None:
        if pool.office_id in self.established_by_office and pool.is_lost(now):
            self._end_office_calls(
                now, pool.office_id, "refuses connections" if pool.dial_refused else "silent"
            )

    def office_line(self, now: float, conn: int, line: bytes) -> None:
        pool = self.pool_by_connection.get(conn)
        link = pool.connections.get(conn) if pool is not None else None
        if pool is None or link is None:
            return
        pool.last_received = now
        try:
            self._handle_office_message(now, pool, link, jsonl.decode(line))
        except MessageError as error:
            self.counts["offices unreadable"] += 1
            self.log_event("office unreadable", office=frames.office_name(pool.office_id), reason=str(error))
            self.office_disconnected(now, conn)
            self.transport.close(conn, str(error))
        self._process_events(now)

    def office_disconnected(self, now: float, conn: int) -> None:
        """A connection broke, or can't be read on: what was open on it ends as reset."""
        pool = self.pool_by_connection.pop(conn, None)
        if pool is None:
            return
        link = pool.connections.pop(conn, None)
        pool.dialling.discard(conn)
        for attempt in list(link.attempts.values()) if link is not None else ():
            self._end_attempt(now, attempt, interface.Result.RESET)
        self._process_events(now)

    def _handle_office_message(
        self, now: float, pool: ConnectionPool, link: OfficeConnection, message: Message
    ) -> None:
        kind, uid = message.kind, message.uid
        if self.trace is not None:
            self._trace_message(frames.office_name(pool.office_id), link.id, message)
        if kind == jsonl.USAGE:
            report = self._parse_load(message.meta)
            if report is not None and pool.update_load(now, link, str(message.meta["load"])):
                self.events.append(interface.Probed(pool.office_id, interface.Result.OK, 0.0, report))
        elif kind == jsonl.RUNNING:
            attempt = link.attempts.get(uid)
            if attempt is None:
                self.counts["answers to no set-up"] += 1
                return
            if not message.body:
                raise MessageError("body: a description was expected")
            self._attempt_answered(now, attempt, message)
        elif kind == jsonl.STOP:
            self._handle_office_stop(now, pool, link, message)
        elif kind == jsonl.CHECKED:
            office, sent = self.open_probes.pop(uid, (0, 0.0))
            if office == pool.office_id:
                result = interface.Result.OK if message.reason == 1 else interface.Result.ERROR
                self.events.append(
                    interface.Probed(office, result, now - sent, self._parse_load(message.meta))
                )
        elif kind == jsonl.CHECK:
            self._send(link.id, Message(jsonl.CHECKED, uid, {}, 1))
        elif kind == jsonl.LAUNCH:
            raise MessageError("a set-up from an office")

    def _attempt_answered(self, now: float, attempt: Attempt, message: Message) -> None:
        call = attempt.call
        if now > call.expires_at + self.settings.rules.grace_to_answer + ANSWER_SLACK_MS:
            self._attempt_timed_out(now, attempt)
            return
        self._detach_attempt(now, attempt)
        call.open_attempt, call.office_id, call.attempt_started_at = (
            None,
            attempt.office_id,
            attempt.started_at,
        )
        self._close_set_up(call)
        call.stage = Stage.ESTABLISHED
        self._add_established(call)
        self.finals["stands"] += 1
        client = self.clients.get(call.client_id)
        if client is not None:
            client.trust = calls.TRUST_SERVED
        self._send(call.client_id, Message(jsonl.RUNNING, call.uid, {}, body=message.body))
        self.events.append(
            interface.Established(call.ref, attempt.number, attempt.office_id, now - attempt.started_at)
        )

    def _handle_office_stop(
        self, now: float, pool: ConnectionPool, link: OfficeConnection, message: Message
    ) -> None:
        uid, cause = message.uid, message.reason
        report = self._parse_load(message.meta)
        attempt = link.attempts.get(uid)
        if attempt is not None:
            result, note, wait = self._interpret_stop(message)
            attempt.call.last_cause = cause
            self._end_attempt(now, attempt, result, note, wait, report)
            return
        self._send(link.id, Message(jsonl.STOPPED, uid))
        call = self.established.get(uid)
        if call is not None and call.office_id == pool.office_id:
            self._end_established(
                now,
                call,
                interface.Result.OK if cause == causes.NORMAL_CLEARING else interface.Result.RESET,
                report,
            )
            self._begin_release(now, uid, cause, call.client_id)
        elif call is None and uid not in self.pending:
            # Perhaps a call that stood before this process started, and that its caller has not named yet.
            self.early_releases[uid] = cause
            if len(self.early_releases) > MAX_EARLY_RELEASES:
                self.early_releases.popitem(last=False)

    def _interpret_stop(self, message: Message) -> tuple[interface.Result, interface.Note, float]:
        """What an office's release before the answer says."""
        cause, meta = message.reason, message.meta
        note = NOTE_BY_WORD.get(str(meta.get("note", "")), interface.Note.NONE)
        wait = max(0.0, jsonl.parse_number(meta["waited"], "waited")) if "waited" in meta else 0.0
        if meta.get("note") == "end_queue_long":
            wait = max(wait, REMOTE_BUSY_WAIT_MS)
        if cause == causes.NO_CIRCUIT:
            return interface.Result.FULL, note, wait
        if cause in (causes.USER_BUSY, causes.RESOURCE_UNAVAILABLE):
            return interface.Result.ERROR, note, wait
        if cause == MOOT_CAUSE:
            return interface.Result.MOOT, note, wait
        return interface.Result.RESET, note, wait

    def _parse_load(self, meta: dict[str, jsonl.Value]) -> interface.Report | None:
        """The state of a group where a message has one; what is not told stays not told."""
        told = jsonl.parse_extras(meta.get("load"))
        if not told:
            return None
        values = tuple(
            jsonl.parse_number(told[column], column) if column in told else -1.0
            for column in self.config.report_columns
        )
        return read_report(self.config.report_columns, values)

    def _probe(self, now: float, office: int) -> None:
        pool = self.pools.get(office)
        link = pool.any_connection() if pool is not None else None
        if link is None:
            self.events.append(interface.Probed(office, interface.Result.CONNECT_FAILED))
            return
        uid = f"{self.random.getrandbits(64):016x}"
        self.open_probes[uid] = (office, now)
        self.timers.schedule(now + self.settings.limits.dial_timeout, self._probe_timed_out, uid)
        self._send(link.id, Message(jsonl.CHECK, uid))

    def _probe_timed_out(self, now: float, uid: str) -> None:
        office, sent = self.open_probes.pop(uid, (0, 0.0))
        if office:
            self.events.append(interface.Probed(office, interface.Result.TIMEOUT, now - sent))
            self._process_events(now)

    def _send_to_office(self, now: float, office: int, message: Message) -> None:
        pool = self.pools.get(office)
        link = pool.any_connection() if pool is not None else None
        if link is not None:
            self._send(link.id, message)

    # -- the list

    def apply_list_event(self, now: float, frame: frames.Frame) -> None:
        """One event of the journal service; FrameError where it can't be meant."""
        starts = {office.id: office.started_at for office in self.office_list.by_id.values()}
        members = self.office_list.apply(now, frame)
        if members is None:
            return
        for office in list(self.office_list.by_id.values()):
            if office.started_at != starts.get(office.id, office.started_at):
                self._end_office_calls(now, office.id, "started again")
            if office.readiness is interface.Readiness.GONE:
                self._remove_office(now, office.id)
            elif office.cell != self.settings.own_exchange and office.id not in self.pools:
                self.pools[office.id] = ConnectionPool(office.id, now, self.random)
                self._dial(now, self.pools[office.id])
        self.log_event("list", number=frame.number, kind=frame.kind, entries=len(members.entries))
        self.events.append(members)
        self._process_events(now)

    def _remove_office(self, now: float, office: int) -> None:
        """An office left the list: another may come at its address, so its connections end."""
        pool = self.pools.get(office)
        if pool is None:
            self.office_list.forget(office)
            return
        if office in self.established_by_office or any(link.attempts for link in pool.connections.values()):
            return  # looked at again by the upkeep
        del self.pools[office]
        self.office_list.forget(office)
        for attempt in list(pool.waiting):
            self._end_attempt(now, attempt, interface.Result.CONNECT_FAILED)
        for conn in [*pool.connections, *pool.dialling]:
            self.pool_by_connection.pop(conn, None)
            self.transport.close(conn, "its office is gone")

    # -- time

    def _maintain(self, now: float) -> None:
        """Opens spare connections, gives idle ones back, closes silent clients, notices dead offices."""
        self.timers.schedule(now + MAINTENANCE_INTERVAL_MS, self._maintain)
        taken = {
            o.address for o in self.office_list.by_id.values() if o.readiness is not interface.Readiness.GONE
        }
        for pool in list(self.pools.values()):
            office = self.office_list.by_id[pool.office_id]
            gone = office.readiness is interface.Readiness.GONE
            if gone:
                if office.address in taken:
                    self._end_office_calls(now, pool.office_id, "another has its address")
                self._remove_office(now, pool.office_id)
                if pool.office_id not in self.pools:
                    continue
            standing = pool.office_id in self.established_by_office and not (gone and office.address in taken)
            ready = office.readiness is interface.Readiness.READY
            if pool.needs_connection(
                now, len(self.pool_by_connection) < self.admission.max_office_connections, ready, standing
            ):
                self._dial(now, pool)
            self._check_office_lost(now, pool)
            for conn in pool.surplus_connections(now):
                self.office_disconnected(now, conn)
                self.transport.close(conn, "idle")
            self._serve_waiting(now, pool)
        for client in self.admission.silent_clients(now, self.clients.values()):
            self.counts["clients mute"] += 1
            self.transport.close(client.connection_id, "nothing said in time")
            self.client_disconnected(now, client.connection_id)
        for uid, release in self.releases.due(now):
            self._send_release(now, uid, release)
        self._process_events(now)

    def stop(self, now: float) -> None:
        """SIGTERM: calls are served as usual for a while, later ones refused, all pending ones answered."""
        if self.stopping_since is None:
            self.stopping_since = now
            self.log_event("stopping", pending=len(self.pending), standing=len(self.established))
            self.timers.schedule(now + STOP_FINAL_MS, self._refuse_pending)

    def _refuse_pending(self, now: float) -> None:
        for call in list(self.pending.values()):
            if call.open_attempt is not None and call.open_attempt.connection_id:
                self._send(
                    call.open_attempt.connection_id, Message(jsonl.STOP, call.uid, {}, causes.NORMAL_CLEARING)
                )
                self._detach_attempt(now, call.open_attempt)
                call.open_attempt = None
            self._send_final_stop(now, call, causes.CONGESTION, {})
            self.events.append(interface.CallerLeft(call.ref))
        self._process_events(now)

    def is_stopped(self, now: float) -> bool:
        """Whether it may end: not before the last moment, as releases go on being passed."""
        return (
            self.stopping_since is not None
            and now - self.stopping_since >= STOP_FINAL_MS
            and not self.pending
        )

    def office_figures(self, now: float) -> dict[str, dict[str, Any]]:
        """By office, what the module believes beside what passed: free circuits and unanswered set-ups."""
        found = {}
        for office, pool in self.pools.items():
            known = self.controller.offices.get(office)
            out = sum(len(link.attempts) for link in pool.connections.values()) + len(pool.waiting)
            found[frames.office_name(office)] = {
                "state": known.state.name if known else "GONE",
                "cell": known.cell if known else -1,
                "free": known.free if known else None,
                "told": pool.last_load,
                "window": round(known.window, 2) if known else None,
                "pending": len(known.pending) if known else 0,
                "out": out,
                "standing": len(self.established_by_office.get(office, ())),
                "links": len(pool.connections),
                "heard": round(now - pool.last_received),
                "failures": pool.failures,
            }
        return found

    # -- out

    def _send(self, conn: int, message: Message) -> None:
        if self.trace is not None:
            self._trace_message("to", conn, message)
        self.transport.send(conn, jsonl.encode(message))

    def _trace_message(self, source: str, conn: int, message: Message) -> None:
        if self.trace is not None and message.kind != jsonl.USAGE:
            self.trace(
                source,
                conn=conn,
                kind=message.kind,
                ref=message.uid,
                cause=message.reason,
                **{f"f_{name}": value for name, value in message.meta.items()},
            )

    def log_event(self, event: str, **fields: Any) -> None:
        if self.log is not None:
            self.log(event, **fields)
