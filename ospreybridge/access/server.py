"""The platform's call server without I/O: messages of clients, offices, peers and the journal service.

A call's life: `launch` from a client, validated -> the controller -> `launch` to an office -> `running` from
the office -> `running` to the client (established) -> `stop` from either side. The controller alone chooses
routes and decides on further attempts, waiting and refusing; this module carries out each decision at once.

All times are milliseconds of the event loop's clock, passed in as `now`.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from random import Random
from typing import Any, Protocol

from ospreybridge import interface
from ospreybridge.access import calls
from ospreybridge.access.admission import Admission
from ospreybridge.access.budget import ConnectionBudget, DialReason, WantedConnection
from ospreybridge.access.calls import Attempt, Call, Client, Stage
from ospreybridge.access.established import EstablishedCall, EstablishedCalls
from ospreybridge.access.office_messages import interpret_stop, parse_load
from ospreybridge.access.offices import Office, OfficeList
from ospreybridge.access.pool import ConnectionPool, OfficeConnection, connection_to_give_back
from ospreybridge.access.recent import RecentCalls
from ospreybridge.access.release_sender import ReleaseSender
from ospreybridge.access.shutdown import ShutdownPhases
from ospreybridge.core.timers import TimerQueue
from ospreybridge.policy import NOT_EXECUTED_RESULTS, Controller
from ospreybridge.settings.platform import Address, PlatformConfig
from ospreybridge.signalling import causes, frames, jsonl
from ospreybridge.signalling.errors import MessageError
from ospreybridge.signalling.jsonl import Message

REFUSAL_CAUSES = (causes.NO_CIRCUIT, causes.CONGESTION, causes.TIMER_EXPIRY)  # safe to retry
RESET_CAUSE = causes.TEMPORARY_FAILURE  # sent by an office for a set-up or call that was cut
ANSWER_SLACK_MS = 50.0  # the platform itself allows this much beyond each time limit of its rules
MAINTENANCE_INTERVAL_MS = 50.0
MAX_DATAGRAM_BYTES = 256


class Transport(Protocol):
    """The I/O that the server needs. Connection numbers are assigned by the server, also to accepted ones."""

    def dial(self, connection_id: int, address: Address) -> None: ...
    def send(self, connection_id: int, data: bytes) -> None: ...
    def unsent_bytes(self, connection_id: int) -> int: ...
    def finish(self, connection_id: int) -> None: ...
    def close(self, connection_id: int, reason: str) -> None: ...
    def send_datagram(self, destination: Address, body: bytes) -> None: ...


class PlatformServer:
    """Calls, attempts, connections and the office list of one call server."""

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
        """`unix_offset_ms`: Unix time at zero of the clock of `now`; `trace` is called for each message."""
        self.config, self.timers, self.transport, self.log, self.trace = config, timers, transport, log, trace
        self.settings = config.settings
        self.controller = Controller(self.settings, config.seed)
        self.random = Random(config.seed + 1)
        self.set_up_parser = calls.SetUpParser(self.settings)
        self.admission = Admission(config.sockets, config.memory_mb)
        self.budget = ConnectionBudget(self.admission.max_office_connections)
        self.office_list = OfficeList(max(1, len(config.zones)), max(1, len(config.kinds)), unix_offset_ms)
        self.peer_numbers = {address: number for number, address in enumerate(config.peers)}
        self.clients: dict[int, Client] = {}
        self.pools: dict[int, ConnectionPool] = {}
        self.pool_by_connection: dict[int, ConnectionPool] = {}  # open connections and those being opened
        self.calls_by_ref: dict[int, Call] = {}  # calls that the controller's actions may refer to
        self.pending: dict[str, Call] = {}
        self.established = EstablishedCalls(now)
        self.releases = ReleaseSender(
            self.established, self.clients, self.pools, self._send, transport.unsent_bytes
        )
        self.recent_calls = RecentCalls()
        self.open_probes: dict[str, tuple[int, float]] = {}  # uid -> office, time sent
        self.events: deque[interface.Event] = deque()
        self.handling_events = False
        self.last_ref = self.last_connection_id = 0
        self.shutdown_phases = ShutdownPhases.for_settings(self.settings)
        self.stopping_since: float | None = None  # time of SIGTERM
        self.finals: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()
        for frame in config.known_events:
            self.apply_list_event(now, frame)
        timers.schedule(now + MAINTENANCE_INTERVAL_MS, self._maintain)

    # -- clients

    def client_connected(self, now: float) -> int | None:
        """Assigns a number to an accepted connection; None if the front has to close it at once."""
        while self.admission.is_full(len(self.clients)):
            evicted = self.admission.client_to_evict(self.clients.values())
            if evicted is None:
                self.counts["clients turned away"] += 1
                return None
            self.counts["clients closed for room"] += 1
            self.transport.close(evicted.connection_id, "evicted for a new connection")
            self.client_disconnected(now, evicted.connection_id)
        self.last_connection_id += 1
        self.clients[self.last_connection_id] = Client(self.last_connection_id, now, now)
        return self.last_connection_id

    def client_line(self, now: float, connection_id: int, line: bytes) -> None:
        """Handles one line (a JSON message without its line feed) from a client."""
        client = self.clients.get(connection_id)
        if client is None:
            return
        try:
            message = jsonl.decode(line)
        except MessageError as error:
            self.client_unreadable(now, connection_id, str(error))
            return
        client.last_active = now
        if self.trace is not None:
            self._trace_message("client", connection_id, message)
        if message.kind == jsonl.LAUNCH:
            self._handle_set_up(now, client, message)
        elif message.kind == jsonl.STOP:
            self._handle_caller_stop(now, client, message)
        elif message.kind == jsonl.CHECK:
            self._mark_valid(now, client)
            self._send(connection_id, Message(jsonl.CHECKED, message.uid, {}, 1))
        elif message.kind == jsonl.STOPPED:
            if self.established.confirmed_by_caller(message.uid):
                client.trust = calls.TRUST_SERVED
        elif message.kind == jsonl.STAGING:
            pass
        else:
            self.client_unreadable(now, connection_id, f"{message.kind}: not a message of a caller")

    def client_leaving(self, now: float, connection_id: int) -> None:
        """A client has closed its connection, of which some is still unread.

        Its pending calls end, and set-ups that are read from now on are dropped: nobody waits for their
        answers. Whatever else it sent counts, as an end of a call belongs to no connection.
        """
        client = self.clients.get(connection_id)
        if client is None or client.has_left:
            return
        client.has_left = True
        for call in list(client.pending_calls.values()):
            self._caller_left(now, call)
        self._process_events(now)

    def client_unreadable(self, now: float, connection_id: int, reason: str) -> None:
        """Closes a client's connection after invalid input: what follows can't be trusted."""
        self.counts["clients unreadable"] += 1
        self.transport.close(connection_id, reason)
        self.client_disconnected(now, connection_id)

    def client_disconnected(self, now: float, connection_id: int) -> None:
        """Drops the client's pending calls and sends releases that it didn't confirm to another client."""
        client = self.clients.pop(connection_id, None)
        if client is None:
            return
        for call in list(client.pending_calls.values()):
            self._caller_left(now, call)
        self.established.client_disconnected(connection_id)
        self.releases.send_new(now)
        self._process_events(now)

    def _mark_valid(self, now: float, client: Client) -> None:
        """Records a client's first valid message; releases that had no client to go to are sent now."""
        if client.trust == calls.TRUST_UNKNOWN:
            client.trust = calls.TRUST_VALID_MESSAGE
            self.releases.send_new(now)

    def _handle_set_up(self, now: float, client: Client, message: Message) -> None:
        """Validates a set-up and passes it to the controller, or answers it at once."""
        uid = message.uid
        try:
            set_up = self.set_up_parser.parse(message)
        except MessageError as error:
            self._reject_set_up(now, client, uid, str(error))
            return
        if uid in self.pending or uid in self.established:
            if set_up.current_office is None:
                self._reject_set_up(now, client, uid, "uid: of a call that is open")
            return
        if set_up.current_office is not None:
            self._restore_established(now, client, uid, set_up.current_office)
            return
        if client.has_left:
            self.counts["set-ups of clients that left"] += 1
            return
        self._mark_valid(now, client)
        if self.recent_calls.contains(now, uid):
            self.counts["set-ups under the id of an ended call"] += 1
            self._send(client.connection_id, Message(jsonl.STOP, uid, {}, RESET_CAUSE))
            return
        if not self.admission.accepts_set_up(client, len(self.pending), message.body):
            self.counts["over the most open"] += 1
            self._send(client.connection_id, Message(jsonl.STOP, uid, {}, causes.CONGESTION))
            return
        self.last_ref = self.last_ref % 0xFFFFFFFF + 1
        call_class = self.settings.classes[set_up.class_index]
        call = Call(
            self.last_ref,
            uid,
            call_class.name,
            str(message.meta["key"]),
            message.body,
            client.connection_id,
            now + set_up.time_left,
            set_up.transit,
        )
        self.calls_by_ref[call.ref] = self.pending[uid] = client.pending_calls[uid] = call
        self.admission.set_up_accepted(call.body)
        accept_ms = self.shutdown_phases.accept_transit if set_up.transit else self.shutdown_phases.accept
        if self.stopping_since is not None and now - self.stopping_since > accept_ms:
            self._send_final_stop(now, call, causes.CONGESTION, {})
            return
        request = interface.Request(
            call.ref,
            set_up.class_index,
            set_up.destination,
            call.expires_at,
            set_up.width,
            set_up.tenant_index,
            set_up.via,
            set_up.called_number,
            0.0,
            False,
            set_up.transit,
            set_up.after_cut,
        )
        self.events.append(request)
        self._process_events(now)

    def _reject_set_up(self, now: float, client: Client, uid: str, reason: str) -> None:
        """Refuses an invalid set-up; if it reuses the id of this client's pending call, that call ends too.

        The client can't tell which of the two set-ups a `stop` under their id answers, so it answers both.
        """
        self.counts["set-ups turned away"] += 1
        call = client.pending_calls.get(uid)
        if call is not None:
            self._caller_left(now, call)
        self._send(client.connection_id, Message(jsonl.STOP, uid, {"note": reason}, causes.PROTOCOL_ERROR))
        self._process_events(now)

    def _restore_established(self, now: float, client: Client, uid: str, office_id: int) -> None:
        """Registers a call that a caller reports as established, after a restart of this process.

        It is released instead if it has ended, if its office is gone or may have started again since,
        or if there are too many calls.
        """
        self._mark_valid(now, client)
        office = self.office_list.by_id.get(office_id)
        cause = self.established.refusal_cause(uid, office, self.recent_calls.contains(now, uid))
        if cause is not None:
            self.established.refuse_report(now, uid, cause, client.connection_id)
            self._send(client.connection_id, Message(jsonl.STOP, uid, {}, cause))
            return
        call = EstablishedCall(uid, office_id, client.connection_id)
        self.established.add(call)
        self.counts["told to stand"] += 1
        if office is not None and self.established.may_predate(office):
            self.counts["told to stand, lost by a start"] += 1
            self._report_end(now, self.established.lose(now, call), interface.Result.RESET)
            self.releases.send_new(now)
            self.releases.send_to_office(now, office_id)
            self._process_events(now)

    def _handle_caller_stop(self, now: float, client: Client, message: Message) -> None:
        """Ends a call for its caller: a pending one only on its own connection, an established one on any."""
        self._mark_valid(now, client)
        call = self.pending.get(message.uid)
        if call is not None:
            if call.client_id == client.connection_id:
                self._caller_left(now, call)
                self._process_events(now)
            return
        established = self.established.released_by_caller(now, message.uid)
        if established is not None:
            self._report_end(now, established, interface.Result.CANCELLED)
            self.releases.send_to_office(now, established.office_id)
            self._process_events(now)
        elif self.established.release_unknown(now, message.uid, list(self.pools)):
            self.counts["releases of unknown calls"] += 1
            for office_id in self.pools:
                self.releases.send_to_office(now, office_id)
        self._send(client.connection_id, Message(jsonl.STOPPED, message.uid))

    def _caller_left(self, now: float, call: Call) -> None:
        """Closes a pending call without an answer; the controller cancels an attempt that is still open."""
        if call.stage is not Stage.PENDING:
            return
        self.finals["caller left"] += 1
        self._close_set_up(now, call)
        self.events.append(interface.CallerLeft(call.ref))
        if call.open_attempt is None:
            self.calls_by_ref.pop(call.ref, None)

    # -- final answers and ends

    def _close_set_up(self, now: float, call: Call, answered_by: int = 0) -> None:
        """Removes a call from the pending ones, both here and at its client.

        It is released at the offices that may hold it, other than the one that it is `answered_by`. Not
        before: a further attempt may go to one of them under the same id.
        """
        self.admission.set_up_closed(call.body)
        call.stage, call.body = Stage.ENDED, None
        self.pending.pop(call.uid, None)
        if call.may_have_taken_effect():
            self.recent_calls.add(now, call.uid)
        client = self.clients.get(call.client_id)
        if client is not None:
            client.pending_calls.pop(call.uid, None)
        for office_id in call.doubtful_offices - {answered_by}:
            self.established.to_offices.begin(
                now, call.uid, causes.NORMAL_CLEARING, office_id
            ).reply_due = False
            self.releases.send_to_office(now, office_id)

    def _send_final_stop(self, now: float, call: Call, cause: int, meta: dict[str, jsonl.Value]) -> None:
        """Answers a call that was not established: the only final answer that it gets."""
        self._close_set_up(now, call)
        self.calls_by_ref.pop(call.ref, None)
        self.finals["refused" if cause in REFUSAL_CAUSES else "failed"] += 1
        self._send(call.client_id, Message(jsonl.STOP, call.uid, meta, cause))

    def _end_unanswered(self, now: float, action: interface.Refuse | interface.Fail) -> None:
        """Answers a call that the controller gave up, with a cause and the time after which to retry."""
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

    def _report_end(
        self,
        now: float,
        call: EstablishedCall,
        result: interface.Result,
        report: interface.Report | None = None,
    ) -> None:
        """Counts the end of an established call and reports it to the controller unless it was restored."""
        self.finals["ended" if result is interface.Result.OK else "cut"] += 1
        self.recent_calls.add(now, call.uid)
        if call.ref:
            elapsed = now - call.attempt_started_at
            self.events.append(
                interface.Outcome(
                    call.ref, call.attempt_number, call.office_id, result, elapsed, True, report=report
                )
            )

    def _report_lost(self, now: float, office_id: int, lost: list[EstablishedCall], reason: str) -> None:
        """Reports calls that were lost with a process of an office, and tells both sides of each."""
        if not lost:
            return
        self.log_event(
            "standing calls lost", office=frames.office_name(office_id), calls=len(lost), reason=reason
        )
        for call in lost:
            self._report_end(now, call, interface.Result.RESET)
        self.releases.send_new(now)
        self.releases.send_to_office(now, office_id)

    def _end_office_calls(self, now: float, office_id: int, reason: str) -> None:
        """Ends all calls established at a lost office and retires the connections to it."""
        for connection_id in self.pools[office_id].connections if office_id in self.pools else ():
            self._retire_connection(now, self.pools[office_id], connection_id)
        self._report_lost(now, office_id, self.established.lost_with_office(now, office_id), reason)

    # -- the controller

    def _process_events(self, now: float) -> None:
        """Passes queued events to the controller in order and executes its actions.

        Actions may queue further events; the guard keeps a nested call from handling them out of order.
        """
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
        # Subscribe and Lookup: the journal is always followed. Close: the pools close what is idle.

    def _timer_due(self, now: float, label: int) -> None:
        self.events.append(interface.TimerExpired(label))
        self._process_events(now)

    def _send_to_peer(self, action: interface.NotifyPeers) -> None:
        """Sends a datagram to one peer or, without a number, to the address of all peers."""
        destination = self.config.peers_all if action.peer is None else None
        if action.peer is not None and 0 <= action.peer < len(self.config.peers):
            destination = self.config.peers[action.peer]
        if destination is not None and len(action.body) <= MAX_DATAGRAM_BYTES:
            self.counts["datagrams out"] += 1
            self.transport.send_datagram(destination, action.body)

    def datagram_received(self, now: float, source: Address, body: bytes) -> None:
        """Passes a peer's datagram to the controller; drops it if the source isn't a configured peer."""
        sender = self.peer_numbers.get(source)
        if sender is None or not body or len(body) > MAX_DATAGRAM_BYTES:
            self.counts["datagrams dropped"] += 1
            return
        self.events.append(interface.PeerMessage(sender, body))
        self._process_events(now)

    # -- attempts

    def _start_attempt(self, now: float, action: interface.Send) -> None:
        """Queues an attempt for a connection to the office that the controller chose."""
        call = self.calls_by_ref.get(action.ref)
        if call is None or call.stage is not Stage.PENDING or call.open_attempt is not None:
            self.log_event("attempt for no call", ref=action.ref)
            return
        deadline = min(now + max(1.0, action.timeout), call.expires_at)
        attempt = Attempt(call, call.attempt_count, action.office, now, deadline)
        call.attempt_count += 1
        call.open_attempt = attempt
        pool = self.pools.get(action.office)
        if pool is None or self.office_list.is_barred(now, action.office, self.settings.rules.drain_grace):
            self._end_attempt(now, attempt, interface.Result.CONNECT_FAILED)
            return
        attempt.timer = self.timers.schedule(deadline, self._attempt_timed_out, attempt)
        pool.waiting.append(attempt)
        self._serve_waiting(now, pool)

    def _send_attempt(
        self, now: float, pool: ConnectionPool, connection: OfficeConnection, attempt: Attempt
    ) -> None:
        """Sends the set-up on a connection, unless the office began to drain while the attempt waited."""
        call = attempt.call
        if self.office_list.is_barred(now, attempt.office_id, self.settings.rules.drain_grace):
            self._end_attempt(now, attempt, interface.Result.CONNECT_FAILED)
            return
        attempt.connection_id = connection.id
        attempt.sent_at = now
        connection.attempts[call.uid] = attempt
        connection.message_due(now)
        time_left = max(1, int(attempt.deadline - now))
        meta: dict[str, jsonl.Value] = {"class": call.class_name, "key": call.key, "left": str(time_left)}
        self._send(connection.id, Message(jsonl.LAUNCH, call.uid, meta, body=call.body))

    def _attempt_timed_out(self, now: float, attempt: Attempt) -> None:
        """Ends an attempt without an answer; the office gets its `stop` before the controller can retry."""
        if attempt.call.open_attempt is not attempt:
            return
        if not attempt.connection_id:  # still waiting for a connection
            self._end_attempt(now, attempt, interface.Result.CONNECT_FAILED)
        else:
            self._send(
                attempt.connection_id, Message(jsonl.STOP, attempt.call.uid, {}, causes.NORMAL_CLEARING)
            )
            self._retire_connection(now, self.pools[attempt.office_id], attempt.connection_id)
            self._end_attempt(now, attempt, interface.Result.TIMEOUT)
        self._process_events(now)

    def _cancel_attempt(self, now: float, action: interface.Cancel) -> None:
        """Ends the open attempt of a call if it is still the one that the controller means."""
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
            self.pools[attempt.office_id].cancel_sent(now, attempt.connection_id)

    def _end_attempt(
        self,
        now: float,
        attempt: Attempt,
        result: interface.Result,
        note: interface.Note = interface.Note.NONE,
        wait: float = 0.0,
        report: interface.Report | None = None,
    ) -> None:
        """Reports the outcome of an attempt that did not establish its call to the controller."""
        call = attempt.call
        if attempt.connection_id and result not in NOT_EXECUTED_RESULTS:
            call.may_have_run = True
        self._detach_attempt(now, attempt)
        call.open_attempt = None
        call_ended = call.stage is Stage.ENDED
        if call_ended:
            self.calls_by_ref.pop(call.ref, None)
        elapsed = now - attempt.started_at
        if report is None and note is not interface.Note.NO_CIRCUIT:
            # The controller subtracts a circuit at each Send, and the office sends no update for a circuit
            # that was never taken: without the last load the controller would count it as taken.
            pool = self.pools.get(attempt.office_id)
            report = (
                parse_load(self.config.report_columns, {"load": pool.last_load})
                if pool is not None and pool.last_load
                else None
            )
        self.counts[f"attempts {result.name.lower()}"] += 1
        self.events.append(
            interface.Outcome(
                call.ref, attempt.number, attempt.office_id, result, elapsed, call_ended, note, wait, report
            )
        )

    def _detach_attempt(self, now: float, attempt: Attempt) -> None:
        """Removes an attempt from its connection, which can then carry a waiting one."""
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
        connection = pool.connections.get(attempt.connection_id)
        if connection is not None and connection.attempts.pop(attempt.call.uid, None) is not None:
            connection.idle_since = now
            self._serve_waiting(now, pool)

    def _serve_waiting(self, now: float, pool: ConnectionPool) -> None:
        """Sends waiting set-ups in order on free connections, or opens a connection for them."""
        if self.office_list.has_lost_address(pool.office_id):
            for attempt in list(pool.waiting):
                self._end_attempt(now, attempt, interface.Result.CONNECT_FAILED)
        while pool.waiting:
            connection, dial_needed = pool.choose_connection(
                self.budget.allows_at_office(len(self.pool_by_connection), pool.size())
            )
            if connection is not None:
                self._send_attempt(now, pool, connection, pool.waiting.popleft())
            elif dial_needed:
                self._dial(now, pool)
            else:
                if not pool.dialling and not self.budget.allows(len(self.pool_by_connection)):
                    self._make_room(now, pool)
                return

    # -- offices

    def _dial(self, now: float, pool: ConnectionPool, reason: DialReason | None = None) -> None:
        """Starts to open a connection to the pool's office; without a `reason`, for a set-up that waits."""
        office = self.office_list.by_id.get(pool.office_id)
        if office is None or self.office_list.has_lost_address(office.id):
            return
        self.last_connection_id += 1
        connection_id = self.last_connection_id
        pool.dial_started(now, connection_id)
        if reason is DialReason.LIVENESS:
            pool.liveness_tests.add(connection_id)
        self.pool_by_connection[connection_id] = pool
        self.transport.dial(connection_id, office.address)

    def office_connected(self, now: float, connection_id: int) -> None:
        """A connection that was being opened is usable."""
        pool = self.pool_by_connection.get(connection_id)
        if pool is not None and self.office_list.has_lost_address(pool.office_id):
            self.office_dial_failed(now, connection_id, refused=False)
            pool = None
        if pool is None:
            self.transport.close(connection_id, "office removed from the list")
            return
        connection = pool.dial_succeeded(now, connection_id)
        self.counts["office connections opened"] += 1
        self._trace_connection("connection opened", pool, connection_id)
        self.established.to_offices.repeat(pool.office_id)
        self.releases.send_to_office(now, pool.office_id, connection)
        self._serve_waiting(now, pool)
        self._process_events(now)

    def office_dial_failed(self, now: float, connection_id: int, refused: bool) -> None:
        """A connection could not be opened: attempts beyond the remaining dials end unsent.

        `refused`: the office's host refused it, as opposed to a time-out or another error.
        """
        pool = self.pool_by_connection.pop(connection_id, None)
        if pool is None:
            return
        if not pool.failures:
            self.log_event(
                "office not reached",
                office=frames.office_name(pool.office_id),
                refused=refused,
                open=len(pool.connections),
                standing=self.established.count_at(pool.office_id),
            )
        pool.dial_failed(now, connection_id, refused)
        self.counts["connects failed"] += 1
        while len(pool.waiting) > len(pool.dialling):
            self._end_attempt(now, pool.waiting[0], interface.Result.CONNECT_FAILED)
        self._check_office_lost(now, pool)
        self._process_events(now)

    def _check_office_lost(self, now: float, pool: ConnectionPool) -> None:
        """Ends the calls established at an office that counts as lost."""
        if self.established.count_at(pool.office_id) and pool.is_lost(now):
            self._end_office_calls(
                now, pool.office_id, "refuses connections" if pool.dial_refused else "silent"
            )

    def office_line(self, now: float, connection_id: int, line: bytes) -> None:
        """Handles one line from an office; invalid input closes the connection."""
        pool = self.pool_by_connection.get(connection_id)
        connection = pool.connections.get(connection_id) if pool is not None else None
        if pool is None or connection is None:
            return
        pool.last_received = now
        try:
            self._handle_office_message(now, pool, connection, jsonl.decode(line))
            connection.message_handled(now)
        except MessageError as error:
            self.counts["offices unreadable"] += 1
            self.log_event("office unreadable", office=frames.office_name(pool.office_id), reason=str(error))
            self.office_disconnected(now, connection_id, str(error))
            self.transport.close(connection_id, str(error))
        self._process_events(now)

    def _retire_connection(self, now: float, pool: ConnectionPool, connection_id: int) -> None:
        """Takes a connection out of use; it is closed a little later."""
        pool.retire(connection_id, now)
        self.counts["office connections retired"] += 1
        self._trace_connection("connection retired", pool, connection_id)

    def office_disconnected(self, now: float, connection_id: int, reason: str) -> None:
        """A connection ended: the attempts open on it end as RESET."""
        pool = self.pool_by_connection.pop(connection_id, None)
        if pool is None:
            return
        self.counts["office connections ended"] += 1
        self._trace_connection("connection ended", pool, connection_id, reason)
        connection = pool.connection_ended(now, connection_id)
        self.established.to_offices.connection_closed(connection_id)
        for attempt in list(connection.attempts.values()) if connection is not None else ():
            attempt.call.doubtful_offices.add(attempt.office_id)
            self._end_attempt(now, attempt, interface.Result.RESET)
        self.releases.send_to_office(now, pool.office_id)
        self._process_events(now)

    def _handle_office_message(
        self, now: float, pool: ConnectionPool, connection: OfficeConnection, message: Message
    ) -> None:
        """MessageError if the message isn't one that an office may send."""
        kind, uid = message.kind, message.uid
        if self.trace is not None:
            self._trace_message(frames.office_name(pool.office_id), connection.id, message)
        if kind == jsonl.USAGE:
            report = parse_load(self.config.report_columns, message.meta)
            if report is not None and pool.update_load(now, connection, str(message.meta["load"])):
                self.events.append(interface.Probed(pool.office_id, interface.Result.OK, 0.0, report))
        elif kind == jsonl.RUNNING:
            attempt = connection.attempts.get(uid)
            if attempt is None:
                self.counts["answers to no set-up"] += 1
                return
            if not message.body:
                raise MessageError("body: a description was expected")
            self._attempt_answered(now, attempt, message)
        elif kind == jsonl.STOP:
            self._handle_office_stop(now, pool, connection, message)
        elif kind == jsonl.CHECKED:
            office_id, sent_at = self.open_probes.pop(uid, (0, 0.0))
            if office_id == pool.office_id:
                result = interface.Result.OK if message.reason == 1 else interface.Result.ERROR
                self.events.append(
                    interface.Probed(
                        office_id, result, now - sent_at, parse_load(self.config.report_columns, message.meta)
                    )
                )
        elif kind == jsonl.STOPPED:
            self.established.to_offices.confirm(uid, pool.office_id)
        elif kind == jsonl.CHECK:
            self._send(connection.id, Message(jsonl.CHECKED, uid, {}, 1))
        elif kind == jsonl.LAUNCH:
            raise MessageError("a set-up from an office")

    def _attempt_answered(self, now: float, attempt: Attempt, message: Message) -> None:
        """Establishes the call and passes the answer to its client, unless the answer is too late."""
        call = attempt.call
        if call.stage is Stage.ENDED:
            self._answered_after_end(now, attempt)
            return
        if now > call.expires_at + self.settings.rules.grace_to_answer + ANSWER_SLACK_MS:
            self._attempt_timed_out(now, attempt)
            return
        if attempt.sent_at < self.office_list.by_id[attempt.office_id].process_since:
            self._answered_by_earlier_process(now, attempt)
            return
        self._detach_attempt(now, attempt)
        call.open_attempt = None
        self._close_set_up(now, call, attempt.office_id)
        self.calls_by_ref.pop(call.ref, None)
        self.established.add(
            EstablishedCall(
                call.uid,
                attempt.office_id,
                call.client_id,
                attempt.sent_at,
                call.ref,
                attempt.number,
                attempt.started_at,
            )
        )
        self.finals["stands"] += 1
        client = self.clients.get(call.client_id)
        if client is not None:
            client.trust = calls.TRUST_SERVED
        self._send(call.client_id, Message(jsonl.RUNNING, call.uid, {}, body=message.body))
        self.events.append(
            interface.Established(call.ref, attempt.number, attempt.office_id, now - attempt.started_at)
        )

    def _answered_after_end(self, now: float, attempt: Attempt) -> None:
        """The caller has left, and set-ups are not cancelled here: the call that now stands is released."""
        self._end_attempt(now, attempt, interface.Result.CANCELLED)
        self.established.to_offices.begin(now, attempt.call.uid, causes.NORMAL_CLEARING, attempt.office_id)
        self.releases.send_to_office(now, attempt.office_id)

    def _answered_by_earlier_process(self, now: float, attempt: Attempt) -> None:
        """The list told of the office's new start before this answer arrived: the call does not stand.

        Its `stop` is sent once, as the same id may be sent to the office again in a further attempt.
        """
        self._send(attempt.connection_id, Message(jsonl.STOP, attempt.call.uid, {}, RESET_CAUSE))
        self._end_attempt(now, attempt, interface.Result.RESET)

    def _handle_office_stop(
        self, now: float, pool: ConnectionPool, connection: OfficeConnection, message: Message
    ) -> None:
        """Ends an attempt or an established call at the office's request."""
        uid, cause = message.uid, message.reason
        report = parse_load(self.config.report_columns, message.meta)
        attempt = connection.attempts.get(uid)
        if attempt is not None:
            end = interpret_stop(message)
            attempt.call.last_cause = cause
            self._end_attempt(now, attempt, end.result, end.note, end.wait, report)
            return
        self._send(connection.id, Message(jsonl.STOPPED, uid))
        if uid in self.pending:
            return
        call = self.established.released_by_office(now, uid, pool.office_id, cause)
        if call is not None:
            result = interface.Result.OK if cause == causes.NORMAL_CLEARING else interface.Result.RESET
            self._report_end(now, call, result, report)
            self.releases.send_new(now)

    def _probe(self, now: float, office_id: int) -> None:
        """Sends a `check` to an office for the controller; the reply or a time-out is reported as Probed."""
        pool = self.pools.get(office_id)
        connection = pool.any_connection() if pool is not None else None
        if connection is None:
            self.events.append(interface.Probed(office_id, interface.Result.CONNECT_FAILED))
            return
        uid = f"{self.random.getrandbits(64):016x}"
        self.open_probes[uid] = (office_id, now)
        self.timers.schedule(now + self.settings.limits.dial_timeout, self._probe_timed_out, uid)
        connection.message_due(now)
        self._send(connection.id, Message(jsonl.CHECK, uid))

    def _probe_timed_out(self, now: float, uid: str) -> None:
        office_id, sent_at = self.open_probes.pop(uid, (0, 0.0))
        if office_id:
            self.events.append(interface.Probed(office_id, interface.Result.TIMEOUT, now - sent_at))
            self._process_events(now)

    # -- the office list

    def apply_list_event(self, now: float, frame: frames.Frame) -> None:
        """Applies one event of the journal service; FrameError if it is invalid."""
        since_before = {office.id: office.process_since for office in self.office_list.by_id.values()}
        members = self.office_list.apply(now, frame)
        if members is None:
            return
        for office in list(self.office_list.by_id.values()):
            if office.process_since > since_before.get(office.id, office.process_since):
                self._end_earlier_process(now, office)
            if office.readiness is interface.Readiness.GONE:
                self._remove_office(now, office.id)
            elif office.cell != self.settings.own_exchange and office.id not in self.pools:
                self.pools[office.id] = ConnectionPool(office.id, now, self.random)
                if self.budget.allows_spare(len(self.pool_by_connection)):
                    self._dial(now, self.pools[office.id])
        self.log_event("list", number=frame.number, kind=frame.kind, entries=len(members.entries))
        self.events.append(members)
        self._process_events(now)

    def _end_earlier_process(self, now: float, office: Office) -> None:
        """The list told of a new start: ends the calls and retires the connections of the process before."""
        pool = self.pools.get(office.id)
        if pool is not None:
            for connection_id in pool.opened_before(office.process_since):
                self._retire_connection(now, pool, connection_id)
        lost = self.established.lost_by_start(now, office.id, office.process_since)
        self._report_lost(now, office.id, lost, "started again")

    def _remove_office(self, now: float, office_id: int) -> None:
        """Closes the connections to an office that left the list: another office may take its address.

        An office with open attempts or established calls stays until the maintenance finds it unused.
        """
        pool = self.pools.get(office_id)
        if pool is None:
            self.office_list.forget(office_id)
            return
        if self.established.count_at(office_id) or any(
            connection.attempts for connection in pool.connections.values()
        ):
            return
        del self.pools[office_id]
        self.office_list.forget(office_id)
        self.established.to_offices.forget_office(office_id)
        for attempt in list(pool.waiting):
            self._end_attempt(now, attempt, interface.Result.CONNECT_FAILED)
        for connection_id in [*pool.connections, *pool.dialling]:
            self.pool_by_connection.pop(connection_id, None)
            self.transport.close(connection_id, "office removed from the list")

    # -- time

    def _maintain(self, now: float) -> None:
        """Periodic work: spare and idle connections, silent clients, lost offices, unconfirmed releases."""
        self.timers.schedule(now + MAINTENANCE_INTERVAL_MS, self._maintain)
        spare = self.budget.spare_connections(len(self.pools))
        wanted: list[WantedConnection] = []
        for pool in list(self.pools.values()):
            office = self.office_list.by_id[pool.office_id]
            gone = office.readiness is interface.Readiness.GONE
            replaced = self.office_list.has_lost_address(pool.office_id)
            if gone:
                if replaced:
                    self._end_office_calls(now, pool.office_id, "another has its address")
                self._remove_office(now, pool.office_id)
                if pool.office_id not in self.pools:
                    continue
            has_calls = self.established.needs_office(pool.office_id) and not replaced
            ready = office.readiness is interface.Readiness.READY
            reason = pool.wanted_connection(now, spare, ready, has_calls)
            if reason is not None:
                wanted.append(
                    WantedConnection(reason, not has_calls, pool.last_heard_or_tested(), pool.office_id)
                )
            self._check_office_lost(now, pool)
            for connection_id in pool.check_responses(now):
                self._retire_connection(now, pool, connection_id)
            self._close_unused_connections(now, pool, spare)
            self._serve_waiting(now, pool)
        self._open_wanted(now, wanted)
        for client in self.admission.silent_clients(now, self.clients.values()):
            self.counts["clients mute"] += 1
            self.transport.close(client.connection_id, "no valid message in time")
            self.client_disconnected(now, client.connection_id)
        self.recent_calls.expire(now)
        self.established.expire_releases(now)
        self.releases.send_due(now)
        self.counts["releases given up"] = self.established.releases_given_up()
        self._process_events(now)

    def _open_wanted(self, now: float, wanted: list[WantedConnection]) -> None:
        """Opens the connections that no set-up waits for, as far as the budget allows."""
        liveness_tests = sum(len(pool.liveness_tests) for pool in self.pools.values())
        for connection in sorted(wanted):
            open_count = len(self.pool_by_connection)
            if connection.reason is DialReason.SPARE and not self.budget.allows_spare(open_count):
                continue
            if not self.budget.allows(open_count):
                self._make_room(now, self.pools[connection.office_id])
                return
            if connection.reason is DialReason.LIVENESS:
                if liveness_tests >= self.budget.max_liveness_tests:
                    return
                liveness_tests += 1
            self._dial(now, self.pools[connection.office_id], connection.reason)

    def _make_room(self, now: float, pool: ConnectionPool) -> None:
        """Gives back the connection to another office that was idle for longest, as all are in use."""
        given_back = connection_to_give_back(self.pools.values(), pool)
        if given_back is not None:
            other, connection_id = given_back
            other.finish_connection(now, connection_id)
            self._trace_connection("connection finished", other, connection_id, "for another office")
            self.transport.finish(connection_id)

    def _close_unused_connections(self, now: float, pool: ConnectionPool, spare: int) -> None:
        """Closes the connections out of use whose time is over; ends the idle ones beyond the spare ones."""
        for connection_id in pool.expire_connections(now):
            self.office_disconnected(now, connection_id, "out of use")
            self.transport.close(connection_id, "out of use")
        for connection_id in pool.finish_surplus_connections(now, spare):
            self._trace_connection("connection finished", pool, connection_id, "idle")
            self.transport.finish(connection_id)

    def stop(self, now: float) -> None:
        """Begins the shutdown (SIGTERM): calls are served for a while, later ones refused, all answered."""
        if self.stopping_since is None:
            self.stopping_since = now
            self.log_event("stopping", pending=len(self.pending), standing=len(self.established))
            self.timers.schedule(now + self.shutdown_phases.final, self._end_pending)

    def _end_pending(self, now: float) -> None:
        """Has the controller answer all calls that are still pending at the end of a shutdown."""
        self.events.extend(interface.FinalAnswerDue(call.ref) for call in self.pending.values())
        self._process_events(now)

    def is_stopped(self, now: float) -> bool:
        """Whether the process may exit. It uses its whole time, as it goes on passing releases on."""
        return (
            self.stopping_since is not None
            and now - self.stopping_since >= self.shutdown_phases.final
            and not self.pending
        )

    # -- sending and logging

    def _send(self, connection_id: int, message: Message) -> None:
        if self.trace is not None:
            self._trace_message("to", connection_id, message)
        self.transport.send(connection_id, jsonl.encode(message))

    def _trace_message(self, source: str, connection_id: int, message: Message) -> None:
        if self.trace is not None and message.kind != jsonl.USAGE:
            self.trace(
                source,
                conn=connection_id,
                kind=message.kind,
                ref=message.uid,
                cause=message.reason,
                **{f"f_{name}": value for name, value in message.meta.items()},
            )

    def _trace_connection(
        self, event: str, pool: ConnectionPool, connection_id: int, reason: str = ""
    ) -> None:
        if self.trace is not None:
            self.trace(event, office=frames.office_name(pool.office_id), conn=connection_id, reason=reason)

    def log_event(self, event: str, **fields: Any) -> None:
        """Writes one log line if the server has a log."""
        if self.log is not None:
            self.log(event, **fields)
