"""The call server without I/O: takes ISUP messages, asks the controller, sends ISUP messages.

Sequence of a call: IAM on an incoming circuit -> numbers, class, tenant -> the controller (or the own office
if the call terminates here) -> IAM on an outgoing circuit -> ACM: established -> ANM -> REL. The controller
alone chooses the route and decides on further attempts, waiting and refusal; this file executes its actions.
The current time is passed in as `now`, in milliseconds of the event loop's clock; so are timers and delays.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import replace
from typing import Any, Protocol

from ospreybridge import interface
from ospreybridge.core import outcomes
from ospreybridge.core.calls import Call, CallStage, Leg
from ospreybridge.core.circuits import CircuitState, TrunkGroup
from ospreybridge.core.exchange_list import ExchangeList
from ospreybridge.core.supervision import CircuitSupervision
from ospreybridge.core.timers import TimerQueue
from ospreybridge.policy import Controller
from ospreybridge.settings.server import Peer, ServerSettings
from ospreybridge.signalling import causes, isup, m3ua, sccp
from ospreybridge.signalling.errors import MessageError
from ospreybridge.signalling.isup import IsupMessage

INITIAL_HOP_COUNT = 3  # for a call that originates here: originating, tandem and terminating exchange
CALLED_NUMBER_MODULUS = 1 << 63  # the controller takes called numbers as integers below this


class Link(Protocol):
    """An active link to one peer, provided by the M3UA front.

    `probe` calls `on_result(now, round trip in ms)`, with None if the link ends before the answer;
    `request_audit` asks the list service for the whole exchange list. Of an `ending` link, which the far end
    has closed, only what is unread is still received.
    """

    ending: bool

    def send_data(self, service: int, sls: int, body: bytes) -> None: ...
    def probe(self, on_result: Callable[[float, float | None], None]) -> None: ...
    def request_audit(self) -> None: ...


class CallServer:
    """All calls, trunk groups and links of one exchange; carries out the controller's decisions."""

    def __init__(
        self, settings: ServerSettings, timers: TimerQueue, log: Callable[..., None] | None = None
    ) -> None:
        self.settings, self.timers, self.log = settings, timers, log
        self.timer_settings = settings.timers
        self.controller = Controller(settings.controller_settings(), settings.seed)
        self.peers: dict[int, Peer] = {peer.point_code: peer for peer in settings.peers}
        self.links: dict[int, Link] = {}
        self.changed_groups: set[int] = set()
        self.groups = {
            peer.point_code: TrunkGroup(
                peer.name, peer.cics, settings.point_code, peer.point_code, self.changed_groups
            )
            for peer in settings.peers
            if peer.cics
        }
        self.exchange_codes = {p.number: p.point_code for p in settings.peers if p.role == "exchange"}
        self.office_code = next((p.point_code for p in settings.peers if p.role == "office"), None)
        self.caller_codes = {p.point_code for p in settings.peers if p.role == "callers"}
        list_identities = {p.point_code: (p.number, p.zone) for p in settings.peers if p.role == "exchange"}
        self.exchange_list = ExchangeList(
            {settings.point_code: (settings.number, settings.zone), **list_identities}
        )
        self.list_codes = [p.point_code for p in settings.peers if p.role == "list"]
        self.centre_code = next((p.point_code for p in settings.peers if p.role == "centre"), None)
        self.calls: dict[int, Call] = {}
        self.pending_events: deque[interface.Event] = deque()
        self.dispatching = False  # the controller is running: further events wait in the queue
        # Free circuits as the controller knows them, by point code of the exchange.
        self.last_reported_free: dict[int, int] = {}
        self.advised_tandems: dict[int, int] = {}  # by destination, as the traffic centre advises
        self.last_ref = 0
        self.stopping = False
        self.finals: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()
        self.supervision = CircuitSupervision(self)
        supervision = self.supervision
        self.isup_handlers: dict[int, Callable[[float, TrunkGroup, IsupMessage], None]] = {
            isup.IAM: self._handle_iam,
            isup.ACM: self._handle_backward,
            isup.CON: self._handle_backward,
            isup.ANM: self._handle_backward,
            isup.CPG: self._handle_backward,
            isup.REL: self._handle_rel,
            isup.RLC: self._handle_rlc,
            isup.RSC: supervision.handle_rsc,
            isup.GRS: supervision.handle_grs,
            isup.GRA: supervision.handle_gra,
            isup.BLO: supervision.handle_blocking,
            isup.UBL: supervision.handle_blocking,
            isup.CGB: supervision.handle_group_blocking,
            isup.CGU: supervision.handle_group_blocking,
            isup.BLA: supervision.handle_blocking_ack,
            isup.UBA: supervision.handle_blocking_ack,
            isup.CGBA: supervision.handle_blocking_ack,
            isup.CGUA: supervision.handle_blocking_ack,
            isup.UCIC: supervision.handle_ucic,
            isup.CFN: self._handle_confusion,
            isup.SUS: self._pass_through,
            isup.RES: self._pass_through,
            isup.USR: self._pass_through,
        }
        for code in self.groups:
            if self.peers[code].role == "exchange":
                self.last_reported_free[code] = 0
        if self.centre_code is not None:
            timers.schedule(0.0, self._report_to_centre)

    # -- associations

    def link_up(self, now: float, point_code: int, link: Link) -> None:
        """A link became active. The state of its circuits is unknown until the far end has reset them."""
        self.links[point_code] = link
        self.log_event("link up", peer=self.peers[point_code].name)
        group = self.groups.get(point_code)
        if group is not None:
            self.supervision.link_up(now, group)
            if self.stopping:
                self.supervision.block_all(now, group)
        if point_code in self.list_codes:
            link.request_audit()
        self._dispatch_events(now)

    def link_down(self, now: float, point_code: int, reason: str) -> None:
        """A link was lost: its calls are lost with it, and pending attempts over it end with RESET."""
        if self.links.pop(point_code, None) is None:
            return
        self.log_event("link down", peer=self.peers[point_code].name, reason=reason)
        self.supervision.link_down(point_code)
        group = self.groups.get(point_code)
        if group is not None:
            for circuit in group.circuits.values():
                leg = circuit.leg
                group.set_state(circuit, CircuitState.DOWN)
                # The far end repeats its blockings when the link is back (Q.764, 2.9.3.3).
                group.set_blocked(circuit, remote=False)
                if leg is not None:
                    self.leg_lost(now, leg)
        if point_code in self.list_codes:
            self.pending_events.append(interface.Members(interface.ListForm.FAILED))
        self._dispatch_events(now)

    def receive_list_update(
        self, now: float, kind: tuple[int, int], affected: list[tuple[int, int]], text: str
    ) -> None:
        """Applies a DAVA, DRST or DUNA (`kind`) of the list service; `text` is its info string."""
        for _, point_code in affected:
            members = self.exchange_list.update(now, kind, point_code, text)
            if members is not None:
                self.log_event("list", kind=m3ua.NAMES[kind], point_code=point_code, version=members.version)
                self.pending_events.append(members)
                for entry in members.entries:  # an exchange without a trunk group has no free circuits
                    if entry.office not in self.groups and entry.office != self.settings.point_code:
                        no_circuits = interface.Report(free=0.0, size=0.0)
                        self.pending_events.append(
                            interface.Probed(entry.office, interface.Result.OK, 0.0, no_circuits)
                        )
                self._dispatch_events(now)
                # The controller dropped reports on exchanges it did not know yet: report all groups again.
                for code in self.last_reported_free:
                    self.last_reported_free[code] = -1
                self.changed_groups.update(self.last_reported_free)
        self._dispatch_events(now)

    def receive_data(self, now: float, point_code: int, message: m3ua.Data) -> None:
        """Handles one DATA message of a peer; raises MessageError if its user part is unreadable."""
        if message.si == m3ua.SI_ISUP:
            try:
                decoded = isup.decode(message.body)
            except MessageError as error:
                self.counts["unreadable"] += 1
                self._send_confusion(point_code, message.body)
                raise error
            group = self.groups.get(point_code)
            if group is None or decoded.cic not in group.circuits:
                if decoded.type in (isup.IAM, isup.RSC, isup.GRS, isup.BLO, isup.CGB):
                    self.send(point_code, IsupMessage(decoded.cic, isup.UCIC))
                return
            handler = self.isup_handlers.get(decoded.type)
            if handler is None:
                self._send_confusion(point_code, message.body)
            else:
                handler(now, group, decoded)
                self._dispatch_events(now)
        elif message.si == m3ua.SI_SCCP:
            subsystem, body = sccp.decode(message.body)
            if subsystem == sccp.PEER_SUBSYSTEM and self.peers[point_code].role == "exchange":
                self.pending_events.append(interface.PeerMessage(self.peers[point_code].number, body))
                self._dispatch_events(now)
            elif subsystem == sccp.CENTRE_SUBSYSTEM and point_code == self.centre_code:
                pairs = zip(body[0::2], body[1::2], strict=False)  # 255: no tandem is advised
                self.advised_tandems.update((dest, via) for dest, via in pairs if via != 255)
        else:
            self.counts["other service"] += 1

    def _send_confusion(self, point_code: int, body: bytes) -> None:
        """Answers an unreadable or unknown message with CFN; it is not ignored and releases no call."""
        if len(body) >= 3 and body[2] != isup.CFN:
            indicators = (
                isup.encode_cause(causes.UNKNOWN_MESSAGE_TYPE, causes.LOCATION_LOCAL_NETWORK) + body[2:3]
            )
            self.send(
                point_code,
                IsupMessage(body[0] | (body[1] & 15) << 8, isup.CFN, {isup.CAUSE_INDICATORS: indicators}),
            )

    def _report_to_centre(self, now: float) -> None:
        """Sends the traffic centre the free circuits of the own trunk groups, three octets per exchange.

        At most 80 exchanges: one SCCP unitdata message carries up to 254 octets.
        """
        self.timers.schedule(now + self.timer_settings.report, self._report_to_centre)
        link = self.links.get(self.centre_code or -1)
        if link is not None:
            body = bytes((self.settings.number & 255,))
            for number, code in sorted(self.exchange_codes.items())[:80]:
                group = self.groups.get(code)
                body += bytes((number & 255, number >> 8, min(255, group.free if group else 0)))
            link.send_data(m3ua.SI_SCCP, 0, sccp.encode(sccp.CENTRE_SUBSYSTEM, body))

    # -- the controller

    def _dispatch_events(self, now: float) -> None:
        """Passes changed free circuits, then queued events, to the controller and executes its actions."""
        if self.dispatching:
            return
        self.dispatching = True
        try:
            while self.changed_groups or self.pending_events:
                if self.changed_groups:
                    code = self.changed_groups.pop()
                    if code not in self.exchange_list.entries or self.last_reported_free.get(code) in (
                        None,
                        self.groups[code].free,
                    ):
                        continue
                    self.last_reported_free[code] = self.groups[code].free
                    event: interface.Event = interface.Probed(
                        code, interface.Result.OK, 0.0, self._circuit_report(code)
                    )
                else:
                    event = self.pending_events.popleft()
                    if type(event) is interface.Outcome:
                        event = self._with_current_circuits(event)
                for action in self.controller.handle(now, event):
                    self._execute(now, action)
        finally:
            self.dispatching = False

    def _with_current_circuits(self, event: interface.Outcome) -> interface.Outcome:
        """Adds the free circuits as they are now: a report from the time of queueing would be out of date."""
        if event.office in self.last_reported_free and event.office in self.exchange_list.entries:
            self.last_reported_free[event.office] = self.groups[event.office].free
            self.changed_groups.discard(event.office)
        return replace(event, report=self._circuit_report(event.office))

    def _circuit_report(self, point_code: int) -> interface.Report:
        group = self.groups.get(point_code)
        return (
            interface.Report(free=float(group.free), size=float(group.size))
            if group
            else interface.Report(0.0, 0.0)
        )

    def _execute(self, now: float, action: interface.Action) -> None:
        if type(action) is interface.Send:
            self._start_attempt(now, action)
        elif type(action) is interface.Refuse or type(action) is interface.Fail:
            self._execute_refusal(now, action)
        elif type(action) is interface.StartTimer:
            self.timers.schedule(now + action.delay, self._timer_due, action.label)
        elif type(action) is interface.Cancel:
            self._cancel_attempt(now, action)
        elif type(action) is interface.NotifyPeers:
            self._send_peer_message(action)
        elif type(action) is interface.Subscribe or type(action) is interface.Lookup:
            for code in self.list_codes:
                if code in self.links:
                    self.links[code].request_audit()
                else:
                    self.pending_events.append(interface.Members(interface.ListForm.FAILED))
        elif type(action) is interface.Probe:
            self._probe_office(action.office)
        elif type(action) is interface.Remark:
            self.log_event("remark", text=action.text)
        # Close needs no work: associations are provisioned, not kept for single calls.

    def _timer_due(self, now: float, label: int) -> None:
        self.pending_events.append(interface.TimerExpired(label))
        self._dispatch_events(now)

    def _send_peer_message(self, action: interface.NotifyPeers) -> None:
        for number, code in self.exchange_codes.items():
            if (action.peer is None or action.peer == number) and code in self.links:
                self.links[code].send_data(
                    m3ua.SI_SCCP, 0, sccp.encode(sccp.PEER_SUBSYSTEM, action.body[:254])
                )

    def _probe_office(self, office: int) -> None:
        link = self.links.get(office)
        if link is None:
            self.pending_events.append(interface.Probed(office, interface.Result.CONNECT_FAILED))
            return

        def on_result(now: float, elapsed: float | None) -> None:
            result = interface.Result.TIMEOUT if elapsed is None else interface.Result.OK
            self.pending_events.append(
                interface.Probed(office, result, elapsed or 0.0, self._circuit_report(office))
            )
            self._dispatch_events(now)

        link.probe(on_result)

    # -- incoming calls

    def _handle_iam(self, now: float, group: TrunkGroup, message: IsupMessage) -> None:
        link = self.links.get(group.peer_code)
        if link is not None and link.ending:
            self.counts["set-ups of peers that left"] += 1
            return
        circuit = group.circuits[message.cic]
        width = 2 if message.parameters[isup.MEDIUM_REQUIREMENT] == bytes((isup.TWO_TIMES_64,)) else 1
        cics: tuple[int, ...] = (message.cic,) if width == 1 else (message.cic, message.cic + 1)
        if width == 2 and isup.CIRCUIT_ASSIGNMENT_MAP in message.parameters:
            cics = isup.decode_circuit_map(message.cic, message.parameters[isup.CIRCUIT_ASSIGNMENT_MAP])
        if len(cics) != width or not all(cic in group.circuits for cic in cics):
            self.send(group.peer_code, IsupMessage(message.cic, isup.UCIC))
            return
        seized = [group.circuits[cic] for cic in cics]
        own_legs = {id(c.leg): c.leg for c in seized if c.state is CircuitState.SEIZED and c.leg is not None}
        for leg in own_legs.values():
            if not group.loses_dual_seizure(leg.cics, cics):
                self.counts["dual seizure won"] += 1
                leg.won_dual_seizure = True
                return  # the far end gives up its own call
        if any(c.state not in (CircuitState.IDLE, CircuitState.SEIZED) for c in seized):
            # A second IAM on an incoming circuit: the ends disagree about its state, so it is reset.
            if circuit.state is CircuitState.INCOMING:
                self.supervision.reset_circuit(now, group, circuit)
            return
        if any(c.locally_blocked for c in seized):
            for c in seized:
                self.supervision.send_blocking(now, group, c.cic, isup.BLO)
            return
        for leg in own_legs.values():
            for cic in leg.cics:
                group.set_state(group.circuits[cic], CircuitState.IDLE)
        self.last_ref = self.last_ref % 0xFFFFFFFF + 1
        call = Call(self.last_ref, message, width)
        call.incoming_leg = Leg(group, cics, call, outgoing=False)
        for c in seized:
            group.set_state(c, CircuitState.INCOMING, call.incoming_leg)
        self.calls[call.ref] = call
        for leg in own_legs.values():
            self._dual_seizure_lost(now, leg)
        words = isup.decode_user_words(message.parameters.get(isup.USER_TO_USER))
        refusal_cause = self._analyse_iam(now, group, call, message, words)
        if refusal_cause:
            self.reject_call(now, call, refusal_cause)
        elif call.destination == self.settings.number:
            self._deliver_locally(now, call)
        else:
            self.pending_events.append(
                interface.Request(
                    call.ref,
                    call.class_index,
                    call.destination,
                    call.expires_at,
                    float(width),
                    tenant=self._tenant_index(call.calling),
                    via=self.advised_tandems.get(call.destination, -1),
                    called_number=int(call.called) % CALLED_NUMBER_MODULUS,
                    redial="again" in words,
                    transit=call.is_transit,
                    after_cut="cut" in words,
                )
            )

    def _analyse_iam(
        self, now: float, group: TrunkGroup, call: Call, message: IsupMessage, words: dict[str, int]
    ) -> int:
        """Fills in numbers, class, destination, trace and expiry; returns the cause of a refusal, or 0."""
        parameters = message.parameters
        try:
            call.called = isup.decode_called_number(parameters[isup.CALLED_NUMBER])
            if isup.CALLING_NUMBER in parameters:
                call.calling = isup.decode_calling_number(parameters[isup.CALLING_NUMBER])
        except MessageError:
            return causes.INVALID_NUMBER_FORMAT
        if not call.called.isdigit():
            return causes.INVALID_NUMBER_FORMAT
        call.class_index = self._class_index(call.called, parameters[isup.CALLING_CATEGORY][0])
        call.destination = longest_prefix_match(self.settings.prefixes, call.called)
        call.is_transit = self.peers[group.peer_code].role == "exchange"
        call.trace = words.get("trace", 0) if call.is_transit else 0
        call.trace = call.trace or self.settings.point_code << 32 | call.ref
        remaining_ms = words.get("left", 0)
        deadline = self.settings.classes[call.class_index].deadline
        patience = min(remaining_ms, deadline) if remaining_ms else deadline
        # Whether the answer is in time is measured where it arrives: transport and lateness here count.
        call.expires_at = (
            now + patience - self.timers.lateness.margin(now, patience, self.settings.answer_margin)
        )
        self._log_call(
            call,
            "call",
            called=call.called,
            calling=call.calling,
            dest=call.destination,
            on=group.name,
            cics=call.incoming_leg.cics if call.incoming_leg else (),
        )
        if call.destination < 0:
            return causes.UNALLOCATED_NUMBER
        if self.stopping:
            return causes.CONGESTION
        if call.is_transit and isup.decode_hop_counter(parameters) == 0:
            return causes.EXCHANGE_ROUTING_ERROR  # routing loop
        return 0

    def _class_index(self, called: str, category: int) -> int:
        by_category = -1
        for index, rule in enumerate(self.settings.class_rules):
            if any(called.startswith(prefix) for prefix in rule.called_prefixes):
                return index
            if by_category < 0 and category in rule.categories:
                by_category = index
        return max(0, by_category)

    def _tenant_index(self, calling: str) -> int:
        return (
            max(0, longest_prefix_match(self.settings.tenant_prefixes, calling))
            if self.settings.tenant_prefixes
            else 0
        )

    def _deliver_locally(self, now: float, call: Call) -> None:
        """Offers a call that terminates here to the own office; no route has to be chosen."""
        call.terminates_here = True
        office = self.office_code
        if (
            self.exchange_list.is_barred(now, self.settings.point_code, self.settings.rules.drain_grace)
            or office is None
            or office not in self.links
        ):
            self.reject_call(now, call, causes.DESTINATION_OUT_OF_ORDER)
        elif not (cics := self.groups[office].select(call.width)):
            self.reject_call(now, call, causes.NO_CIRCUIT)
        else:
            self._seize(now, call, office, cics, call.expires_at - now)
            timeout_at = min(now + self.timer_settings.t7, call.expires_at - 2.0 * self.settings.tick)
            call.timer = self.timers.schedule(timeout_at, self._local_timeout, call)

    def _local_timeout(self, now: float, call: Call) -> None:
        if call.outgoing_leg is not None:
            self.release_leg(now, call.outgoing_leg, causes.TIMER_EXPIRY)
        self.reject_call(now, call, causes.TIMER_EXPIRY)

    # -- outgoing attempts

    def _start_attempt(self, now: float, action: interface.Send) -> None:
        call = self.calls.get(action.ref)
        if call is None or call.stage is not CallStage.PENDING:
            return  # the call ended before this action was executed
        call.attempt_number += 1
        call.attempt_sent_at = now
        group = self.groups.get(action.office)
        if action.office in self.last_reported_free:
            self.last_reported_free[action.office] -= call.width  # the controller has subtracted it too
        if action.office not in self.links or group is None:
            self._report_outcome(now, call, action.office, interface.Result.CONNECT_FAILED)
            return
        cics = group.select(call.width)
        if not cics:
            self._report_outcome(now, call, action.office, interface.Result.MOOT, interface.Note.NO_CIRCUIT)
            return
        self._seize(now, call, action.office, cics, min(action.timeout, call.expires_at - now))
        call.timer = self.timers.schedule(
            now + action.timeout, self._attempt_timeout, call, call.attempt_number
        )
        self._log_call(
            call, "attempt", number=call.attempt_number, to=group.name, cics=cics, wait=round(action.timeout)
        )

    def _seize(
        self, now: float, call: Call, point_code: int, cics: tuple[int, ...], remaining_ms: float
    ) -> None:
        group = self.groups[point_code]
        call.outgoing_leg = leg = Leg(group, cics, call, outgoing=True)
        for cic in cics:
            group.set_state(group.circuits[cic], CircuitState.SEIZED, leg)
        assert call.iam is not None
        received = call.iam.parameters
        parameters = {
            isup.NATURE_OF_CONNECTION: received[isup.NATURE_OF_CONNECTION],
            isup.FORWARD_INDICATORS: received[isup.FORWARD_INDICATORS],
            isup.CALLING_CATEGORY: received[isup.CALLING_CATEGORY],
            isup.MEDIUM_REQUIREMENT: received[isup.MEDIUM_REQUIREMENT],
            isup.CALLED_NUMBER: received[isup.CALLED_NUMBER],
        }
        if isup.CALLING_NUMBER in received:
            parameters[isup.CALLING_NUMBER] = received[isup.CALLING_NUMBER]
        hops = isup.decode_hop_counter(received)
        parameters[isup.HOP_COUNTER] = bytes((max(0, (INITIAL_HOP_COUNT if hops is None else hops) - 1),))
        if call.width > 1 and cics[-1] - cics[0] != call.width - 1:
            parameters[isup.CIRCUIT_ASSIGNMENT_MAP] = isup.encode_circuit_map(cics)
        parameters[isup.USER_TO_USER] = b"\0left=%d trace=%d" % (max(1, remaining_ms), call.trace)
        self.send(point_code, IsupMessage(cics[0], isup.IAM, parameters))

    def _attempt_timeout(self, now: float, call: Call, attempt: int) -> None:
        """Releases an attempt that was not answered in time; its circuits stay taken until RLC."""
        if (
            call.outgoing_leg is not None
            and call.stage is CallStage.PENDING
            and call.attempt_number == attempt
        ):
            call.cause, call.cause_source = causes.TIMER_EXPIRY, 0
            self.end_attempt(now, call, causes.TIMER_EXPIRY, interface.Result.TIMEOUT)
            self._dispatch_events(now)

    def _cancel_attempt(self, now: float, action: interface.Cancel) -> None:
        call = self.calls.get(action.ref)
        if call is not None and call.outgoing_leg is not None and call.attempt_number == action.attempt:
            self.end_attempt(now, call, causes.NORMAL_CLEARING, interface.Result.CANCELLED)

    def end_attempt(
        self,
        now: float,
        call: Call,
        release_cause: int,
        result: interface.Result,
        note: interface.Note = interface.Note.NONE,
        retry_after: float = 0.0,
    ) -> None:
        """Ends the outstanding attempt; `release_cause`: cause of our REL, 0 if the leg has ended already."""
        leg = call.outgoing_leg
        assert leg is not None
        if call.timer is not None:
            call.timer.cancel()
        if release_cause:
            self.release_leg(now, leg, release_cause)
        call.outgoing_leg = None
        self._report_outcome(now, call, leg.group.peer_code, result, note, retry_after)

    def _report_outcome(
        self,
        now: float,
        call: Call,
        office: int,
        result: interface.Result,
        note: interface.Note = interface.Note.NONE,
        retry_after: float = 0.0,
    ) -> None:
        call_ended = call.stage is not CallStage.PENDING
        self._log_call(call, "outcome", number=call.attempt_number, result=result.name, note=note.name)
        elapsed = now - call.attempt_sent_at
        self.pending_events.append(
            interface.Outcome(
                call.ref, call.attempt_number, office, result, elapsed, call_ended, note, retry_after
            )
        )
        if call.stage is CallStage.ENDED:
            self.calls.pop(call.ref, None)

    # -- backward messages

    def _handle_backward(self, now: float, group: TrunkGroup, message: IsupMessage) -> None:
        circuit = group.circuits[message.cic]
        leg = circuit.leg
        call = leg.call if leg is not None else None
        if circuit.state not in (CircuitState.SEIZED, CircuitState.CONFIRMED) or call is None or leg is None:
            # Either late, for a call that was released (dropped while RLC is awaited), or the ends disagree
            # about the state of the circuit, which is then reset.
            if circuit.state is CircuitState.IDLE:
                self.supervision.reset_circuit(now, group, circuit)
            return
        if circuit.state is CircuitState.SEIZED:
            for cic in leg.cics:
                group.set_state(group.circuits[cic], CircuitState.CONFIRMED, leg)
        if call.incoming_leg is None or call.stage is CallStage.ENDED or call.outgoing_leg is not leg:
            return
        kind = message.type
        if kind == isup.CPG and call.stage is CallStage.PENDING:
            return  # progress before address complete does not establish the call
        parameters = {
            k: v
            for k, v in message.parameters.items()
            if k in (isup.BACKWARD_INDICATORS, isup.EVENT_INFORMATION)
        }
        newly_established = call.stage is CallStage.PENDING
        if newly_established:
            self._establish(now, call)
            kind = isup.CON if kind == isup.ANM else kind
            parameters.setdefault(isup.BACKWARD_INDICATORS, isup.SUBSCRIBER_FREE)
        elif kind == isup.ACM:
            return
        elif kind == isup.CON:
            kind = isup.ANM
        if kind in (isup.ANM, isup.CPG):
            parameters.pop(isup.BACKWARD_INDICATORS, None)
        if newly_established and call.incoming_leg.group.peer_code in self.caller_codes:
            # The caller's side may show its user the route: next exchange and number of attempts.
            parameters[isup.USER_TO_USER] = isup.encode_user_words(
                via=leg.group.peer_code, tries=call.attempt_number + 1
            )
        if kind in (isup.ANM, isup.CON):
            if call.stage is CallStage.ANSWERED:
                return
            call.stage = CallStage.ANSWERED
            if call.timer is not None:
                call.timer.cancel()
                call.timer = None
        self.send(call.incoming_leg.group.peer_code, IsupMessage(call.incoming_leg.cics[0], kind, parameters))

    def _establish(self, now: float, call: Call) -> None:
        assert call.outgoing_leg is not None
        if call.timer is not None:
            call.timer.cancel()
        call.stage = CallStage.ESTABLISHED
        call.iam = None
        call.timer = self.timers.schedule(now + self.timer_settings.t9, self._answer_timeout, call)
        self.finals["stands"] += 1
        self._log_call(call, "stands", after=round(now - call.attempt_sent_at, 1))
        if not call.terminates_here:
            office = call.outgoing_leg.group.peer_code
            self.pending_events.append(
                interface.Established(call.ref, call.attempt_number, office, now - call.attempt_sent_at)
            )

    def _answer_timeout(self, now: float, call: Call) -> None:
        if call.stage is CallStage.ESTABLISHED:
            self._clear_call(now, call, causes.NO_ANSWER, interface.Result.OK)
            self._dispatch_events(now)

    def _handle_rel(self, now: float, group: TrunkGroup, message: IsupMessage) -> None:
        circuit = group.circuits[message.cic]
        leg = circuit.leg
        self.send(group.peer_code, IsupMessage(message.cic, isup.RLC))
        if leg is None or circuit.state in (
            CircuitState.RELEASING,
            CircuitState.RESETTING,
            CircuitState.DOWN,
        ):
            return
        try:
            cause, _ = isup.decode_cause(message.parameters[isup.CAUSE_INDICATORS])
            code = message.parameters.get(isup.SIGNALLING_POINT_CODE)
            source = isup.decode_point_code(code) if code else group.peer_code
        except MessageError:
            cause, source = causes.NORMAL_UNSPECIFIED, group.peer_code
        words = isup.decode_user_words(message.parameters.get(isup.USER_TO_USER))
        if leg.won_dual_seizure and circuit.state is CircuitState.SEIZED:
            # The far end released its own call, which lost the dual seizure; this does not answer our IAM.
            cause, source = causes.TEMPORARY_FAILURE, 0
        self.free_leg(leg)
        self._leg_released(now, leg, cause, source, words.get("retry", 0))

    def _leg_released(self, now: float, leg: Leg, cause: int, source: int, retry: int) -> None:
        """Handles the release of a leg by the far end; its circuits are idle already."""
        call = leg.call
        if call is None or call.stage is CallStage.ENDED:
            return
        if not leg.outgoing:
            self._caller_left(now, call, cause)
        elif call.stage is not CallStage.PENDING:
            call.outgoing_leg = None
            self._clear_call(now, call, cause, interface.Result.OK)
        elif call.terminates_here:
            call.outgoing_leg = None
            self.reject_call(now, call, cause, 0, retry)
        else:
            call.cause, call.cause_source = cause, source
            direct = leg.group.peer_code == self.exchange_codes.get(call.destination)
            result, note, retry_after = outcomes.outcome_of_release(
                cause, source, leg.group.peer_code, direct, float(retry)
            )
            self.end_attempt(now, call, 0, result, note, retry_after)

    def _caller_left(self, now: float, call: Call, cause: int) -> None:
        call.incoming_leg = None
        if call.stage is not CallStage.PENDING:
            self._clear_call(now, call, cause, interface.Result.OK)
            return
        self.finals["caller left"] += 1
        self._log_call(call, "caller left", cause=cause)
        call.stage = CallStage.ENDED
        if call.terminates_here:
            self._cancel_timer(call)
            if call.outgoing_leg is not None:
                self.release_leg(now, call.outgoing_leg, cause)
            self.calls.pop(call.ref, None)
            return
        self.pending_events.append(interface.CallerLeft(call.ref))
        if call.outgoing_leg is None:
            self.calls.pop(call.ref, None)
        # The controller cancels an outstanding attempt; its outcome then removes the call.

    # -- final answers and ends

    def _execute_refusal(self, now: float, action: interface.Refuse | interface.Fail) -> None:
        call = self.calls.get(action.ref)
        if call is None or call.stage is not CallStage.PENDING:
            return
        destination_code = self.exchange_codes.get(call.destination)
        group = self.groups.get(destination_code) if destination_code is not None else None
        entry = self.exchange_list.entries.get(destination_code) if destination_code is not None else None
        if type(action) is interface.Fail:
            cause = call.cause or causes.TEMPORARY_FAILURE
        elif not call.cause and (entry is None or entry.readiness is not interface.Readiness.READY):
            cause = causes.DESTINATION_OUT_OF_ORDER
        else:
            cause = outcomes.cause_of_refusal(call.cause, group.free if group else None)
        retry = int(action.retry_after) if type(action) is interface.Refuse else 0
        self.reject_call(now, call, cause, call.cause_source, retry)

    def reject_call(self, now: float, call: Call, cause: int, source: int = 0, retry: int = 0) -> None:
        """Gives a call that was not established its one final answer, REL with this cause.

        `source`: point code where the call failed; `retry`: ms after which the caller may redial.
        """
        self._cancel_timer(call)
        call.stage = CallStage.ENDED
        self.finals["refused" if cause in outcomes.CONGESTION_LEVEL else "failed"] += 1
        self._log_call(call, "refused", cause=cause, retry=retry, reason=causes.name(cause))
        if call.incoming_leg is not None:
            self.release_leg(now, call.incoming_leg, cause, source or self.settings.point_code, retry)
            call.incoming_leg = None
        self.calls.pop(call.ref, None)

    def _clear_call(self, now: float, call: Call, cause: int, result: interface.Result) -> None:
        """Ends an established call and releases those of its legs that are left."""
        self._cancel_timer(call)
        office = call.outgoing_leg.group.peer_code if call.outgoing_leg is not None else None
        call.stage = CallStage.ENDED
        for leg in (call.incoming_leg, call.outgoing_leg):
            if leg is not None:
                self.release_leg(now, leg, cause)
        self._log_call(call, "ended", cause=cause, result=result.name)
        self.finals["cut" if result is interface.Result.RESET else "cleared"] += 1
        call.incoming_leg = call.outgoing_leg = None
        if call.terminates_here:
            self.calls.pop(call.ref, None)
        else:
            self._report_outcome(
                now, call, office if office is not None else self._destination_code(call), result
            )

    def _destination_code(self, call: Call) -> int:
        """Office to name in an outcome whose leg is gone: the controller finds the attempt by its number."""
        return self.exchange_codes.get(call.destination, -1)

    def leg_lost(self, now: float, leg: Leg) -> None:
        """Handles the loss of a leg (link lost or circuit reset); no message is sent on it."""
        call = leg.call
        leg.call = None
        if leg.timer is not None:
            leg.timer.cancel()
        if call is None or call.stage is CallStage.ENDED:
            return
        if leg is call.incoming_leg:
            call.incoming_leg = None
        elif leg is call.outgoing_leg and (call.stage is not CallStage.PENDING or call.terminates_here):
            call.outgoing_leg = None
        if call.stage is not CallStage.PENDING:
            self._clear_call(now, call, causes.TEMPORARY_FAILURE, interface.Result.RESET)
        elif not leg.outgoing:
            self._caller_left(now, call, causes.TEMPORARY_FAILURE)
        elif call.terminates_here:
            self.reject_call(now, call, causes.TEMPORARY_FAILURE)
        else:
            call.cause, call.cause_source = causes.TEMPORARY_FAILURE, 0
            self.end_attempt(now, call, 0, interface.Result.RESET)

    def _dual_seizure_lost(self, now: float, leg: Leg) -> None:
        """Our IAM lost a dual seizure, so the attempt never ran: the call is tried again."""
        self.counts["dual seizure lost"] += 1
        call = leg.call
        leg.call = None
        if call is None or call.stage is CallStage.ENDED:
            return
        if call.terminates_here:
            self._cancel_timer(call)
            call.outgoing_leg = None
            self._deliver_locally(now, call)
        else:
            self.end_attempt(now, call, 0, interface.Result.MOOT, interface.Note.NO_CIRCUIT)

    def _cancel_timer(self, call: Call) -> None:
        if call.timer is not None:
            call.timer.cancel()
            call.timer = None

    # -- release of circuits

    def release_leg(self, now: float, leg: Leg, cause: int, source: int = 0, retry: int = 0) -> None:
        """Sends REL and waits for RLC: T1 repeats the REL, after T5 the circuits are reset instead."""
        leg.call = None
        leg.released_at = now
        if leg.group.peer_code not in self.links:
            return
        for cic in leg.cics:
            leg.group.set_state(leg.group.circuits[cic], CircuitState.RELEASING, leg)
        leg.timer = self.timers.schedule(
            now + self.timer_settings.t1, self._t1_expired, leg, cause, source, retry
        )
        self._send_rel(leg, cause, source, retry)

    def _send_rel(self, leg: Leg, cause: int, source: int, retry: int) -> None:
        location = causes.LOCATION_TRANSIT if source else causes.LOCATION_LOCAL_NETWORK
        parameters = {isup.CAUSE_INDICATORS: isup.encode_cause(cause, location)}
        level = outcomes.CONGESTION_LEVEL.get(cause)
        if level:
            parameters[isup.CONGESTION_LEVEL] = bytes((level,))
        if source:
            parameters[isup.SIGNALLING_POINT_CODE] = isup.encode_point_code(source)
        if retry:
            parameters[isup.USER_TO_USER] = isup.encode_user_words(retry=retry)
        self.send(leg.group.peer_code, IsupMessage(leg.cics[0], isup.REL, parameters))

    def _t1_expired(self, now: float, leg: Leg, cause: int, source: int, retry: int) -> None:
        if now - leg.released_at < self.timer_settings.t5:
            self._send_rel(leg, cause, source, retry)
            leg.timer = self.timers.schedule(
                now + self.timer_settings.t1, self._t1_expired, leg, cause, source, retry
            )
            return
        for cic in leg.cics:
            self.supervision.reset_circuit(now, leg.group, leg.group.circuits[cic])

    def free_leg(self, leg: Leg) -> None:
        """Marks the circuits of a released leg as idle."""
        if leg.timer is not None:
            leg.timer.cancel()
        for cic in leg.cics:
            leg.group.set_state(leg.group.circuits[cic], CircuitState.IDLE)

    def _handle_rlc(self, now: float, group: TrunkGroup, message: IsupMessage) -> None:
        circuit = group.circuits[message.cic]
        if circuit.state is CircuitState.RELEASING and circuit.leg is not None:
            self.free_leg(circuit.leg)
        elif circuit.state is CircuitState.RESETTING:
            self.supervision.reset_acknowledged(group, message.cic)

    def _pass_through(self, now: float, group: TrunkGroup, message: IsupMessage) -> None:
        """Passes a message of an established call on to its other leg."""
        leg = group.circuits[message.cic].leg
        call = leg.call if leg is not None else None
        if call is None or leg is None or call.stage not in (CallStage.ESTABLISHED, CallStage.ANSWERED):
            return
        other = call.incoming_leg if leg.outgoing else call.outgoing_leg
        if other is not None:
            self.send(
                other.group.peer_code, IsupMessage(other.cics[0], message.type, dict(message.parameters))
            )

    def _handle_confusion(self, now: float, group: TrunkGroup, message: IsupMessage) -> None:
        self.counts["confusion told"] += 1
        self.log_event("CFN received", group=group.name, cic=message.cic)

    # -- operator commands and shutdown

    def set_circuit_blocking(self, now: float, point_code: int, cic: int, blocked: bool) -> None:
        """Takes one circuit out of service or back into it; established calls go on."""
        self.supervision.send_blocking(now, self.groups[point_code], cic, isup.BLO if blocked else isup.UBL)
        self._dispatch_events(now)

    def stop(self, now: float) -> None:
        """Stops taking new calls and notifies every peer by CGB; pending calls continue to their answer."""
        self.stopping = True
        self.log_event(
            "stopping", pending=self.pending_count(), standing=len(self.calls) - self.pending_count()
        )
        for code, group in self.groups.items():
            if code in self.links:
                self.supervision.block_all(now, group)
        self._dispatch_events(now)

    def pending_count(self) -> int:
        """Number of calls that still need their final answer."""
        return sum(call.stage is CallStage.PENDING for call in self.calls.values())

    def release_all(self, now: float) -> None:
        """Refuses pending calls and clears established ones, so that no circuit stays taken."""
        for call in list(self.calls.values()):
            if call.stage is CallStage.PENDING:
                if call.outgoing_leg is not None:
                    self.release_leg(now, call.outgoing_leg, causes.TEMPORARY_FAILURE)
                    call.outgoing_leg = None
                self.reject_call(now, call, causes.TEMPORARY_FAILURE)
                self.pending_events.append(interface.CallerLeft(call.ref))
            elif call.stage is not CallStage.ENDED:
                self._clear_call(now, call, causes.DESTINATION_OUT_OF_ORDER, interface.Result.OK)
        self._dispatch_events(now)

    def all_released(self) -> bool:
        """Whether no call is left and no circuit of an active link is taken."""
        taken = (CircuitState.SEIZED, CircuitState.CONFIRMED, CircuitState.INCOMING, CircuitState.RELEASING)
        return not self.calls and not any(
            circuit.state in taken
            for code, group in self.groups.items()
            if code in self.links
            for circuit in group.circuits.values()
        )

    # -- output

    def send(self, point_code: int, message: IsupMessage) -> None:
        """Sends an ISUP message; dropped if the link is down."""
        link = self.links.get(point_code)
        if link is not None:
            link.send_data(m3ua.SI_ISUP, message.cic & 15, isup.encode(message))

    def _log_call(self, call: Call, event: str, **fields: Any) -> None:
        if self.log is not None:
            self.log(event, ref=f"{call.trace >> 32}/{call.trace & 0xFFFFFFFF}", **fields)

    def log_event(self, event: str, **fields: Any) -> None:
        """Logs an event that belongs to no single call."""
        if self.log is not None:
            self.log(event, **fields)


def longest_prefix_match(table: dict[str, int], number: str) -> int:
    """Value of the longest prefix of `number` in `table`; -1 if there is none."""
    for length in range(len(number), 0, -1):
        value = table.get(number[:length])
        if value is not None:
            return value
    return -1
