"""The call server without I/O: ISUP in, the module's decisions, ISUP out. Time comes with every call.

A call's way: IAM on an incoming circuit -> numbers, class, tenant -> the module (or the own office, where the
call ends here) -> IAM on an outgoing circuit -> ACM: it stands -> ANM -> REL. What concerns the choice of a
way, another attempt, waiting and refusing is decided by the module alone; this file carries it out.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import replace
from typing import Any, Protocol

from ospreybridge import interface as i
from ospreybridge.core import outcomes
from ospreybridge.core.calls import Call, Leg, Stage
from ospreybridge.core.circuits import CircuitState, TrunkGroup
from ospreybridge.core.exchange_list import Roster
from ospreybridge.core.supervision import Supervision
from ospreybridge.core.timers import TimerQueue
from ospreybridge.policy import Controller
from ospreybridge.settings.server import Peer, ServerSettings
from ospreybridge.signalling import causes, isup, m3ua, sccp
from ospreybridge.signalling.errors import MessageError
from ospreybridge.signalling.isup import IsupMessage

HOPS = 3  # hop counter of a call that starts here: origin, tandem, terminating side
NUMBERS = 1 << 63  # called numbers are handed to the module below this


class Link(Protocol):
    """An active association to one peer, as the front gives it."""

    def send_data(self, service: int, sls: int, body: bytes) -> None: ...
    def probe(self, on_result: Callable[[float, float | None], None]) -> None: ...
    def request_audit(self) -> None: ...


class CallServer:
    def __init__(
        self, settings: ServerSettings, timers: TimerQueue, log: Callable[..., None] | None = None
    ) -> None:
        self.settings, self.timers, self.log = settings, timers, log
        self.timer_settings = settings.timers
        self.module = Controller(settings.controller_settings(), settings.seed)
        self.peers: dict[int, Peer] = {peer.point_code: peer for peer in settings.peers}
        self.links: dict[int, Link] = {}
        self.changed: set[int] = set()
        self.groups = {
            peer.point_code: TrunkGroup(
                peer.name, peer.cics, settings.point_code, peer.point_code, self.changed
            )
            for peer in settings.peers
            if peer.cics
        }
        self.exchange_codes = {p.number: p.point_code for p in settings.peers if p.role == "exchange"}
        self.office = next((p.point_code for p in settings.peers if p.role == "office"), None)
        self.callers = {p.point_code for p in settings.peers if p.role == "callers"}
        cells = {p.point_code: (p.number, p.zone) for p in settings.peers if p.role == "exchange"}
        self.exchange_list = Roster({settings.point_code: (settings.number, settings.zone), **cells})
        self.lists = [p.point_code for p in settings.peers if p.role == "list"]
        self.centre = next((p.point_code for p in settings.peers if p.role == "centre"), None)
        self.calls: dict[int, Call] = {}
        self.events: deque[i.Event] = deque()
        self.busy = False  # the module is being told: what happens meanwhile stands in line
        self.told: dict[int, int] = {}  # free circuits as the module knows them, by point code
        self.advice: dict[int, int] = {}  # the centre's tandem by destination
        self.last_ref = 0
        self.stopping = False
        self.finals: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()
        self.supervision = Supervision(self)
        circuits = self.supervision
        self.handlers: dict[int, Callable[[float, TrunkGroup, IsupMessage], None]] = {
            isup.IAM: self._iam, isup.ACM: self._backward, isup.CON: self._backward, isup.ANM: self._backward,
            isup.CPG: self._backward, isup.REL: self._rel, isup.RLC: self._rlc, isup.RSC: circuits.rsc,
            isup.GRS: circuits.grs, isup.GRA: circuits.gra, isup.BLO: circuits.blocking,
            isup.UBL: circuits.blocking, isup.CGB: circuits.group_blocking, isup.CGU: circuits.group_blocking,
            isup.BLA: circuits.blocked, isup.UBA: circuits.blocked, isup.CGBA: circuits.blocked,
            isup.CGUA: circuits.blocked, isup.UCIC: circuits.unequipped, isup.CFN: self._ignored,
            isup.SUS: self._through, isup.RES: self._through, isup.USR: self._through,
        }  # fmt: skip
        for code in self.groups:
            if self.peers[code].role == "exchange":
                self.told[code] = 0
        if self.centre is not None:
            timers.schedule(0.0, self._report)

    # -- associations

    def link_up(self, now: float, point_code: int, link: Link) -> None:
        """An association became active. Its circuits are unknown until the far end has reset them."""
        self.links[point_code] = link
        self.note("link up", peer=self.peers[point_code].name)
        group = self.groups.get(point_code)
        if group is not None:
            self.supervision.link_up(now, group)
            if self.stopping:
                self.supervision.block_all(now, group)
        if point_code in self.lists:
            link.request_audit()
        self._run(now)

    def link_down(self, now: float, point_code: int, reason: str) -> None:
        """The association is lost: its calls are lost with it, pending attempts end as reset."""
        if self.links.pop(point_code, None) is None:
            return
        self.note("link down", peer=self.peers[point_code].name, reason=reason)
        self.supervision.link_down(point_code)
        group = self.groups.get(point_code)
        if group is not None:
            for circuit in group.circuits.values():
                leg = circuit.leg
                group.set_state(circuit, CircuitState.DOWN)
                # What the far end blocked it blocks again once it is back (Q.764, 2.9.3.3).
                group.set_blocked(circuit, remote=False)
                if leg is not None:
                    self.leg_lost(now, leg)
        if point_code in self.lists:
            self.events.append(i.Members(i.ListForm.FAILED))
        self._run(now)

    def receive_list_update(
        self, now: float, kind: tuple[int, int], affected: list[tuple[int, int]], text: str
    ) -> None:
        """DAVA, DRST or DUNA of the list service."""
        for _, point_code in affected:
            members = self.exchange_list.news(now, kind, point_code, text)
            if members is not None:
                self.note("list", kind=m3ua.NAMES[kind], point_code=point_code, version=members.version)
                self.events.append(members)
                for entry in members.entries:  # a pair may have no group at all: nothing is free there
                    if entry.office not in self.groups and entry.office != self.settings.point_code:
                        none = i.Report(free=0.0, size=0.0)
                        self.events.append(i.Probed(entry.office, i.Result.OK, 0.0, none))
                self._run(now)
                # Only now does the module know these exchanges: what it was told of them before is lost.
                for code in self.told:
                    self.told[code] = -1
                self.changed.update(self.told)
        self._run(now)

    def receive_data(self, now: float, point_code: int, message: m3ua.Data) -> None:
        """One DATA message of a peer; MessageError where its user part can't be read."""
        if message.si == m3ua.SI_ISUP:
            try:
                decoded = isup.decode(message.body)
            except MessageError as error:
                self.counts["unreadable"] += 1
                self._confusion(point_code, message.body)
                raise error
            group = self.groups.get(point_code)
            if group is None or decoded.cic not in group.circuits:
                if decoded.type in (isup.IAM, isup.RSC, isup.GRS, isup.BLO, isup.CGB):
                    self.send(point_code, IsupMessage(decoded.cic, isup.UCIC))
                return
            handler = self.handlers.get(decoded.type)
            if handler is None:
                self._confusion(point_code, message.body)
            else:
                handler(now, group, decoded)
                self._run(now)
        elif message.si == m3ua.SI_SCCP:
            subsystem, body = sccp.decode(message.body)
            if subsystem == sccp.PEER_SUBSYSTEM and self.peers[point_code].role == "exchange":
                self.events.append(i.PeerMessage(self.peers[point_code].number, body))
                self._run(now)
            elif subsystem == sccp.CENTRE_SUBSYSTEM and point_code == self.centre:
                pairs = zip(body[0::2], body[1::2], strict=False)
                self.advice.update((dest, via) for dest, via in pairs if via != 255)
        else:
            self.counts["other service"] += 1

    def _confusion(self, point_code: int, body: bytes) -> None:
        """A message that can't be read is answered by CFN, never by silence or by the end of a call."""
        if len(body) >= 3 and body[2] != isup.CFN:
            indicators = (
                isup.encode_cause(causes.UNKNOWN_MESSAGE_TYPE, causes.LOCATION_LOCAL_NETWORK) + body[2:3]
            )
            self.send(
                point_code,
                IsupMessage(body[0] | (body[1] & 15) << 8, isup.CFN, {isup.CAUSE_INDICATORS: indicators}),
            )

    def _report(self, now: float) -> None:
        """Tells the centre the free circuits of the own groups, three octets an exchange."""
        self.timers.schedule(now + self.timer_settings.report, self._report)
        link = self.links.get(self.centre or -1)
        if link is not None:
            body = bytes((self.settings.number & 255,))
            for number, code in sorted(self.exchange_codes.items())[:80]:
                group = self.groups.get(code)
                body += bytes((number & 255, number >> 8, min(255, group.free if group else 0)))
            link.send_data(m3ua.SI_SCCP, 0, sccp.encode(sccp.CENTRE_SUBSYSTEM, body))

    # -- the module

    def _run(self, now: float) -> None:
        """Tells the module all that happened, in order, and carries out what it decides at once."""
        if self.busy:
            return
        self.busy = True
        try:
            while self.changed or self.events:
                if self.changed:
                    code = self.changed.pop()
                    if code not in self.exchange_list.entries or self.told.get(code) in (
                        None,
                        self.groups[code].free,
                    ):
                        continue
                    self.told[code] = self.groups[code].free
                    event: i.Event = i.Probed(code, i.Result.OK, 0.0, self._circuits(code))
                else:
                    event = self.events.popleft()
                    if type(event) is i.Outcome:
                        event = self._exact(event)
                for action in self.module.handle(now, event):
                    self._act(now, action)
        finally:
            self.busy = False

    def _exact(self, event: i.Outcome) -> i.Outcome:
        """The outcome with the circuits as they are now: what the module is told is never old."""
        if event.office in self.told and event.office in self.exchange_list.entries:
            self.told[event.office] = self.groups[event.office].free
            self.changed.discard(event.office)
        return replace(event, report=self._circuits(event.office))

    def _circuits(self, point_code: int) -> i.Report:
        group = self.groups.get(point_code)
        return i.Report(free=float(group.free), size=float(group.size)) if group else i.Report(0.0, 0.0)

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
        elif type(action) is i.Subscribe or type(action) is i.Lookup:
            for code in self.lists:
                if code in self.links:
                    self.links[code].request_audit()
                else:
                    self.events.append(i.Members(i.ListForm.FAILED))
        elif type(action) is i.Probe:
            self._probe(action.office)
        elif type(action) is i.Remark:
            self.note("remark", text=action.text)
        # Close has nothing to do: associations are provisioned, not kept for single calls.

    def _remind(self, now: float, label: int) -> None:
        self.events.append(i.TimerExpired(label))
        self._run(now)

    def _tell(self, action: i.NotifyPeers) -> None:
        for number, code in self.exchange_codes.items():
            if (action.peer is None or action.peer == number) and code in self.links:
                self.links[code].send_data(
                    m3ua.SI_SCCP, 0, sccp.encode(sccp.PEER_SUBSYSTEM, action.body[:254])
                )

    def _probe(self, office: int) -> None:
        link = self.links.get(office)
        if link is None:
            self.events.append(i.Probed(office, i.Result.CONNECT_FAILED))
            return

        def told(now: float, took: float | None) -> None:
            result = i.Result.TIMEOUT if took is None else i.Result.OK
            self.events.append(i.Probed(office, result, took or 0.0, self._circuits(office)))
            self._run(now)

        link.probe(told)

    # -- a call comes in

    def _iam(self, now: float, group: TrunkGroup, message: IsupMessage) -> None:
        circuit = group.circuits[message.cic]
        width = 2 if message.parameters[isup.MEDIUM_REQUIREMENT] == bytes((isup.TWO_TIMES_64,)) else 1
        cics: tuple[int, ...] = (message.cic,) if width == 1 else (message.cic, message.cic + 1)
        if width == 2 and isup.CIRCUIT_ASSIGNMENT_MAP in message.parameters:
            cics = isup.decode_circuit_map(message.cic, message.parameters[isup.CIRCUIT_ASSIGNMENT_MAP])
        if len(cics) != width or not all(cic in group.circuits for cic in cics):
            self.send(group.there, IsupMessage(message.cic, isup.UCIC))
            return
        taken = [group.circuits[cic] for cic in cics]
        mine = {id(c.leg): c.leg for c in taken if c.state is CircuitState.SEIZED and c.leg is not None}
        for leg in mine.values():
            if not group.yields(leg.cics, cics):
                self.counts["dual seizure won"] += 1
                leg.glare = True
                return  # the other end drops its own call
        if any(c.state not in (CircuitState.IDLE, CircuitState.SEIZED) for c in taken):
            if circuit.state is CircuitState.IN:  # a circuit the far end holds already: both ends start anew
                self.supervision.reset_circuit(now, group, circuit)
            return
        if any(c.near_blocked for c in taken):
            for c in taken:
                self.supervision.block(now, group, c.cic, isup.BLO)
            return
        for leg in mine.values():
            for cic in leg.cics:
                group.set_state(group.circuits[cic], CircuitState.IDLE)
        self.last_ref = self.last_ref % 0xFFFFFFFF + 1
        call = Call(self.last_ref, message, width)
        call.inc = Leg(group, cics, call, outgoing=False)
        for c in taken:
            group.set_state(c, CircuitState.IN, call.inc)
        self.calls[call.ref] = call
        for leg in mine.values():
            self._dual_seizure_lost(now, leg)
        words = isup.decode_user_words(message.parameters.get(isup.USER_TO_USER))
        refusal = self._read(now, group, call, message, words)
        if refusal:
            self.final(now, call, refusal)
        elif call.dest == self.settings.number:
            self._deliver(now, call)
        else:
            self.events.append(
                i.Request(
                    call.ref,
                    call.cls,
                    call.dest,
                    call.expires,
                    float(width),
                    tenant=self._tenant(call.calling),
                    via=self.advice.get(call.dest, -1),
                    called_number=int(call.called) % NUMBERS,
                    redial="again" in words,
                    transit=call.transit,
                    after_cut="cut" in words,
                )
            )

    def _read(
        self, now: float, group: TrunkGroup, call: Call, message: IsupMessage, words: dict[str, int]
    ) -> int:
        """Fills in what the tables say of the numbers; the cause of a refusal, or 0."""
        parameters = message.parameters
        try:
            call.called = isup.decode_called_number(parameters[isup.CALLED_NUMBER])
            if isup.CALLING_NUMBER in parameters:
                call.calling = isup.decode_calling_number(parameters[isup.CALLING_NUMBER])
        except MessageError:
            return causes.INVALID_NUMBER_FORMAT
        if not call.called.isdigit():
            return causes.INVALID_NUMBER_FORMAT
        call.cls = self._class(call.called, parameters[isup.CALLING_CATEGORY][0])
        call.dest = longest(self.settings.prefixes, call.called)
        call.transit = self.peers[group.there].role == "exchange"
        call.trace = words.get("trace", 0) if call.transit else 0
        call.trace = call.trace or self.settings.point_code << 32 | call.ref
        left = words.get("left", 0)
        deadline = self.settings.classes[call.cls].deadline
        patience = min(left, deadline) if left else deadline
        # The answer needs a way back, and this process may be late itself: rule 1 counts where it arrives.
        call.expires = (
            now + patience - self.timers.lateness.margin(now, patience, self.settings.answer_margin)
        )
        self._log(
            call,
            "call",
            called=call.called,
            calling=call.calling,
            dest=call.dest,
            on=group.name,
            cics=call.inc.cics if call.inc else (),
        )
        if call.dest < 0:
            return causes.UNALLOCATED_NUMBER
        if self.stopping:
            return causes.CONGESTION
        if call.transit and isup.decode_hop_counter(parameters) == 0:
            return causes.EXCHANGE_ROUTING_ERROR  # the call goes in a circle
        return 0

    def _class(self, called: str, category: int) -> int:
        by_category = -1
        for index, rule in enumerate(self.settings.class_rules):
            if any(called.startswith(prefix) for prefix in rule.called_prefixes):
                return index
            if by_category < 0 and category in rule.categories:
                by_category = index
        return max(0, by_category)

    def _tenant(self, calling: str) -> int:
        return max(0, longest(self.settings.tenant_prefixes, calling)) if self.settings.tenant_prefixes else 0

    def _deliver(self, now: float, call: Call) -> None:
        """A call that ends here goes to the own office's lines; there is nothing to choose."""
        call.local = True
        office = self.office
        if (
            self.exchange_list.barred(now, self.settings.point_code, self.settings.rules.drain_grace)
            or office is None
            or office not in self.links
        ):
            self.final(now, call, causes.DESTINATION_OUT_OF_ORDER)
        elif not (cics := self.groups[office].select(call.width)):
            self.final(now, call, causes.NO_CIRCUIT)
        else:
            self._seize(now, call, office, cics, call.expires - now)
            limit = min(now + self.timer_settings.t7, call.expires - 2.0 * self.settings.tick)
            call.timer = self.timers.schedule(limit, self._local_late, call)

    def _local_late(self, now: float, call: Call) -> None:
        if call.out is not None:
            self.release(now, call.out, causes.TIMER_EXPIRY)
        self.final(now, call, causes.TIMER_EXPIRY)

    # -- an attempt goes out

    def _attempt(self, now: float, action: i.Send) -> None:
        call = self.calls.get(action.ref)
        if call is None or call.stage is not Stage.PENDING:
            return  # the module ends a call before it forgets it; nothing goes out for an ended one
        call.attempt += 1
        call.sent = now
        group = self.groups.get(action.office)
        if action.office in self.told:
            self.told[action.office] -= call.width  # as the module has counted it itself
        if action.office not in self.links or group is None:
            self._outcome(now, call, action.office, i.Result.CONNECT_FAILED)
            return
        cics = group.select(call.width)
        if not cics:
            self._outcome(now, call, action.office, i.Result.MOOT, i.Note.NO_CIRCUIT)
            return
        self._seize(now, call, action.office, cics, min(action.timeout, call.expires - now))
        call.timer = self.timers.schedule(now + action.timeout, self._late, call, call.attempt)
        self._log(call, "attempt", number=call.attempt, to=group.name, cics=cics, wait=round(action.timeout))

    def _seize(self, now: float, call: Call, point_code: int, cics: tuple[int, ...], left: float) -> None:
        group = self.groups[point_code]
        call.out = leg = Leg(group, cics, call, outgoing=True)
        for cic in cics:
            group.set_state(group.circuits[cic], CircuitState.SEIZED, leg)
        assert call.iam is not None
        given = call.iam.parameters
        parameters = {
            isup.NATURE_OF_CONNECTION: given[isup.NATURE_OF_CONNECTION],
            isup.FORWARD_INDICATORS: given[isup.FORWARD_INDICATORS],
            isup.CALLING_CATEGORY: given[isup.CALLING_CATEGORY],
            isup.MEDIUM_REQUIREMENT: given[isup.MEDIUM_REQUIREMENT],
            isup.CALLED_NUMBER: given[isup.CALLED_NUMBER],
        }
        if isup.CALLING_NUMBER in given:
            parameters[isup.CALLING_NUMBER] = given[isup.CALLING_NUMBER]
        hops = isup.decode_hop_counter(given)
        parameters[isup.HOP_COUNTER] = bytes((max(0, (HOPS if hops is None else hops) - 1),))
        if call.width > 1 and cics[-1] - cics[0] != call.width - 1:
            parameters[isup.CIRCUIT_ASSIGNMENT_MAP] = isup.encode_circuit_map(cics)
        parameters[isup.USER_TO_USER] = b"\0left=%d trace=%d" % (max(1, left), call.trace)
        self.send(point_code, IsupMessage(cics[0], isup.IAM, parameters))

    def _late(self, now: float, call: Call, attempt: int) -> None:
        """The attempt's time-out: it is released, and what it held stays taken until RLC."""
        if call.out is not None and call.stage is Stage.PENDING and call.attempt == attempt:
            call.cause, call.source = causes.TIMER_EXPIRY, 0
            self.attempt_over(now, call, causes.TIMER_EXPIRY, i.Result.TIMEOUT)
            self._run(now)

    def _cancel(self, now: float, action: i.Cancel) -> None:
        call = self.calls.get(action.ref)
        if call is not None and call.out is not None and call.attempt == action.attempt:
            self.attempt_over(now, call, causes.NORMAL_CLEARING, i.Result.CANCELLED)

    def attempt_over(
        self,
        now: float,
        call: Call,
        release: int,
        result: i.Result,
        note: i.Note = i.Note.NONE,
        wait: float = 0.0,
    ) -> None:
        """Ends the one attempt that is out; `release`: the cause of our REL, 0 where its leg has ended."""
        leg = call.out
        assert leg is not None
        if call.timer is not None:
            call.timer.cancel()
        if release:
            self.release(now, leg, release)
        call.out = None
        self._outcome(now, call, leg.group.there, result, note, wait)

    def _outcome(
        self,
        now: float,
        call: Call,
        office: int,
        result: i.Result,
        note: i.Note = i.Note.NONE,
        wait: float = 0.0,
    ) -> None:
        ended = call.stage is not Stage.PENDING
        self._log(call, "outcome", number=call.attempt, result=result.name, note=note.name)
        took = now - call.sent
        self.events.append(i.Outcome(call.ref, call.attempt, office, result, took, ended, note, wait))
        if call.stage is Stage.OVER:
            self.calls.pop(call.ref, None)

    # -- the far end answers

    def _backward(self, now: float, group: TrunkGroup, message: IsupMessage) -> None:
        circuit = group.circuits[message.cic]
        leg = circuit.leg
        call = leg.call if leg is not None else None
        if circuit.state not in (CircuitState.SEIZED, CircuitState.HELD) or call is None or leg is None:
            # Late for a call that was given up (RLC awaited: dropped), or a circuit the ends see differently.
            if circuit.state is CircuitState.IDLE:
                self.supervision.reset_circuit(now, group, circuit)
            return
        if circuit.state is CircuitState.SEIZED:
            for cic in leg.cics:
                group.set_state(group.circuits[cic], CircuitState.HELD, leg)
        if call.inc is None or call.stage is Stage.OVER or call.out is not leg:
            return
        kind = message.type
        if kind == isup.CPG and call.stage is Stage.PENDING:
            return  # progress before the address is complete says nothing yet
        options = {
            k: v
            for k, v in message.parameters.items()
            if k in (isup.BACKWARD_INDICATORS, isup.EVENT_INFORMATION)
        }
        stood = call.stage is Stage.PENDING
        if stood:
            self._stands(now, call)
            kind = isup.CON if kind == isup.ANM else kind
            options.setdefault(isup.BACKWARD_INDICATORS, isup.SUBSCRIBER_FREE)
        elif kind == isup.ACM:
            return
        elif kind == isup.CON:
            kind = isup.ANM
        if kind in (isup.ANM, isup.CPG):
            options.pop(isup.BACKWARD_INDICATORS, None)
        if stood and call.inc.group.there in self.callers:
            # The caller's side may show its user the way: the next exchange and how many were tried.
            options[isup.USER_TO_USER] = isup.encode_user_words(via=leg.group.there, tries=call.attempt + 1)
        if kind in (isup.ANM, isup.CON):
            if call.stage is Stage.ANSWERED:
                return
            call.stage = Stage.ANSWERED
            if call.timer is not None:
                call.timer.cancel()
                call.timer = None
        self.send(call.inc.group.there, IsupMessage(call.inc.cics[0], kind, options))

    def _stands(self, now: float, call: Call) -> None:
        assert call.out is not None
        if call.timer is not None:
            call.timer.cancel()
        call.stage = Stage.STANDS
        call.iam = None
        call.timer = self.timers.schedule(now + self.timer_settings.t9, self._unanswered, call)
        self.finals["stands"] += 1
        self._log(call, "stands", after=round(now - call.sent, 1))
        if not call.local:
            office = call.out.group.there
            self.events.append(i.Established(call.ref, call.attempt, office, now - call.sent))

    def _unanswered(self, now: float, call: Call) -> None:
        if call.stage is Stage.STANDS:
            self._clear(now, call, causes.NO_ANSWER, i.Result.OK)
            self._run(now)

    def _rel(self, now: float, group: TrunkGroup, message: IsupMessage) -> None:
        circuit = group.circuits[message.cic]
        leg = circuit.leg
        self.send(group.there, IsupMessage(message.cic, isup.RLC))
        if leg is None or circuit.state in (
            CircuitState.RELEASING,
            CircuitState.RESETTING,
            CircuitState.DOWN,
        ):
            return
        try:
            cause, _ = isup.decode_cause(message.parameters[isup.CAUSE_INDICATORS])
            code = message.parameters.get(isup.SIGNALLING_POINT_CODE)
            source = isup.decode_point_code(code) if code else group.there
        except MessageError:
            cause, source = causes.NORMAL_UNSPECIFIED, group.there
        words = isup.decode_user_words(message.parameters.get(isup.USER_TO_USER))
        if leg.glare and circuit.state is CircuitState.SEIZED:
            # The far end released the call that lost, and has not seen ours: it is no answer to ours.
            cause, source = causes.TEMPORARY_FAILURE, 0
        self.free(leg)
        self._leg_ended(now, leg, cause, source, words.get("retry", 0))

    def _leg_ended(self, now: float, leg: Leg, cause: int, source: int, retry: int) -> None:
        """The far end of a leg has released it; its circuits are idle again."""
        call = leg.call
        if call is None or call.stage is Stage.OVER:
            return
        if not leg.outgoing:
            self._caller_left(now, call, cause)
        elif call.stage is not Stage.PENDING:
            call.out = None
            self._clear(now, call, cause, i.Result.OK)
        elif call.local:
            call.out = None
            self.final(now, call, cause, 0, retry)
        else:
            call.cause, call.source = cause, source
            direct = leg.group.there == self.exchange_codes.get(call.dest)
            result, note, wait = outcomes.of_release(cause, source, leg.group.there, direct, float(retry))
            self.attempt_over(now, call, 0, result, note, wait)

    def _caller_left(self, now: float, call: Call, cause: int) -> None:
        call.inc = None
        if call.stage is not Stage.PENDING:
            self._clear(now, call, cause, i.Result.OK)
            return
        self.finals["caller left"] += 1
        self._log(call, "caller left", cause=cause)
        call.stage = Stage.OVER
        if call.local:
            self._drop_timer(call)
            if call.out is not None:
                self.release(now, call.out, cause)
            self.calls.pop(call.ref, None)
            return
        self.events.append(i.CallerLeft(call.ref))
        if call.out is None:
            self.calls.pop(call.ref, None)
        # With an attempt out the module cancels it; its outcome takes the call off the books.

    # -- final answers and ends

    def _give_up(self, now: float, action: i.Refuse | i.Fail) -> None:
        call = self.calls.get(action.ref)
        if call is None or call.stage is not Stage.PENDING:
            return
        to = self.exchange_codes.get(call.dest)
        group = self.groups.get(to) if to is not None else None
        entry = self.exchange_list.entries.get(to) if to is not None else None
        if type(action) is i.Fail:
            cause = call.cause or causes.TEMPORARY_FAILURE
        elif not call.cause and (entry is None or entry.readiness is not i.Readiness.READY):
            cause = causes.DESTINATION_OUT_OF_ORDER
        else:
            cause = outcomes.of_refusal(call.cause, group.free if group else None)
        retry = int(action.retry_after) if type(action) is i.Refuse else 0
        self.final(now, call, cause, call.source, retry)

    def final(self, now: float, call: Call, cause: int, source: int = 0, retry: int = 0) -> None:
        """The one final answer of a call that does not stand."""
        self._drop_timer(call)
        call.stage = Stage.OVER
        self.finals["refused" if cause in outcomes.CONGESTION_LEVEL else "failed"] += 1
        self._log(call, "refused", cause=cause, retry=retry, reason=causes.name(cause))
        if call.inc is not None:
            self.release(now, call.inc, cause, source or self.settings.point_code, retry)
            call.inc = None
        self.calls.pop(call.ref, None)

    def _clear(self, now: float, call: Call, cause: int, result: i.Result) -> None:
        """Ends a call that stood: both legs are released, whichever are left."""
        self._drop_timer(call)
        office = call.out.group.there if call.out is not None else None
        call.stage = Stage.OVER
        for leg in (call.inc, call.out):
            if leg is not None:
                self.release(now, leg, cause)
        self._log(call, "ended", cause=cause, result=result.name)
        self.finals["cut" if result is i.Result.RESET else "cleared"] += 1
        call.inc = call.out = None
        if call.local:
            self.calls.pop(call.ref, None)
        else:
            self._outcome(now, call, office if office is not None else self._last_office(call), result)

    def _last_office(self, call: Call) -> int:
        """The module finds the attempt by its number; its exchange is only named for the report."""
        return self.exchange_codes.get(call.dest, -1)

    def leg_lost(self, now: float, leg: Leg) -> None:
        """A leg was cut: association lost or circuit reset. Nothing can be sent on it."""
        call = leg.call
        leg.call = None
        if leg.timer is not None:
            leg.timer.cancel()
        if call is None or call.stage is Stage.OVER:
            return
        if leg is call.inc:
            call.inc = None
        elif leg is call.out and (call.stage is not Stage.PENDING or call.local):
            call.out = None
        if call.stage is not Stage.PENDING:
            self._clear(now, call, causes.TEMPORARY_FAILURE, i.Result.RESET)
        elif not leg.outgoing:
            self._caller_left(now, call, causes.TEMPORARY_FAILURE)
        elif call.local:
            self.final(now, call, causes.TEMPORARY_FAILURE)
        else:
            call.cause, call.source = causes.TEMPORARY_FAILURE, 0
            self.attempt_over(now, call, 0, i.Result.RESET)

    def _dual_seizure_lost(self, now: float, leg: Leg) -> None:
        """Our IAM met the far end's on a circuit it controls: our attempt never ran, the module goes on."""
        self.counts["dual seizure lost"] += 1
        call = leg.call
        leg.call = None
        if call is None or call.stage is Stage.OVER:
            return
        if call.local:
            self._drop_timer(call)
            call.out = None
            self._deliver(now, call)
        else:
            self.attempt_over(now, call, 0, i.Result.MOOT, i.Note.NO_CIRCUIT)

    def _drop_timer(self, call: Call) -> None:
        if call.timer is not None:
            call.timer.cancel()
            call.timer = None

    # -- release of circuits

    def release(self, now: float, leg: Leg, cause: int, source: int = 0, retry: int = 0) -> None:
        """Sends REL and waits for RLC: T1 repeats it, T5 resets the circuit instead."""
        leg.call = None
        leg.released = now
        if leg.group.there not in self.links:
            return
        for cic in leg.cics:
            leg.group.set_state(leg.group.circuits[cic], CircuitState.RELEASING, leg)
        leg.timer = self.timers.schedule(now + self.timer_settings.t1, self._t1, leg, cause, source, retry)
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
        self.send(leg.group.there, IsupMessage(leg.cics[0], isup.REL, parameters))

    def _t1(self, now: float, leg: Leg, cause: int, source: int, retry: int) -> None:
        if now - leg.released < self.timer_settings.t5:
            self._send_rel(leg, cause, source, retry)
            leg.timer = self.timers.schedule(
                now + self.timer_settings.t1, self._t1, leg, cause, source, retry
            )
            return
        for cic in leg.cics:
            self.supervision.reset_circuit(now, leg.group, leg.group.circuits[cic])

    def free(self, leg: Leg) -> None:
        if leg.timer is not None:
            leg.timer.cancel()
        for cic in leg.cics:
            leg.group.set_state(leg.group.circuits[cic], CircuitState.IDLE)

    def _rlc(self, now: float, group: TrunkGroup, message: IsupMessage) -> None:
        circuit = group.circuits[message.cic]
        if circuit.state is CircuitState.RELEASING and circuit.leg is not None:
            self.free(circuit.leg)
        elif circuit.state is CircuitState.RESETTING:
            self.supervision.answered(group, message.cic)

    def _through(self, now: float, group: TrunkGroup, message: IsupMessage) -> None:
        """Messages of a standing call that are only passed on."""
        leg = group.circuits[message.cic].leg
        call = leg.call if leg is not None else None
        if call is None or leg is None or call.stage not in (Stage.STANDS, Stage.ANSWERED):
            return
        other = call.inc if leg.outgoing else call.out
        if other is not None:
            self.send(other.group.there, IsupMessage(other.cics[0], message.type, dict(message.parameters)))

    def _ignored(self, now: float, group: TrunkGroup, message: IsupMessage) -> None:
        self.counts["confusion told"] += 1
        self.note("CFN received", group=group.name, cic=message.cic)

    # -- operators, and shutting down

    def block(self, now: float, point_code: int, cic: int, on: bool) -> None:
        """An operator takes one circuit out of service, or back; standing calls go on."""
        self.supervision.block(now, self.groups[point_code], cic, isup.BLO if on else isup.UBL)
        self._run(now)

    def stop(self, now: float) -> None:
        """No new calls: every peer is told by CGB; pending calls go on to their answer."""
        self.stopping = True
        self.note("stopping", pending=self.pending_count(), standing=len(self.calls) - self.pending_count())
        for code, group in self.groups.items():
            if code in self.links:
                self.supervision.block_all(now, group)
        self._run(now)

    def pending_count(self) -> int:
        return sum(call.stage is Stage.PENDING for call in self.calls.values())

    def release_all(self, now: float) -> None:
        """Answers what is still pending and clears what stands, so that no circuit is left behind."""
        for call in list(self.calls.values()):
            if call.stage is Stage.PENDING:
                if call.out is not None:
                    self.release(now, call.out, causes.TEMPORARY_FAILURE)
                    call.out = None
                self.final(now, call, causes.TEMPORARY_FAILURE)
                self.events.append(i.CallerLeft(call.ref))
            elif call.stage is not Stage.OVER:
                self._clear(now, call, causes.DESTINATION_OUT_OF_ORDER, i.Result.OK)
        self._run(now)

    def all_released(self) -> bool:
        """Whether no circuit of a standing association is taken any more."""
        held = (CircuitState.SEIZED, CircuitState.HELD, CircuitState.IN, CircuitState.RELEASING)
        return not self.calls and not any(
            circuit.state in held
            for code, group in self.groups.items()
            if code in self.links
            for circuit in group.circuits.values()
        )

    # -- out

    def send(self, point_code: int, message: IsupMessage) -> None:
        link = self.links.get(point_code)
        if link is not None:
            link.send_data(m3ua.SI_ISUP, message.cic & 15, isup.encode(message))

    def _log(self, call: Call, event: str, **fields: Any) -> None:
        if self.log is not None:
            self.log(event, ref=f"{call.trace >> 32}/{call.trace & 0xFFFFFFFF}", **fields)

    def note(self, event: str, **fields: Any) -> None:
        if self.log is not None:
            self.log(event, **fields)


def longest(table: dict[str, int], number: str) -> int:
    """What the longest matching prefix leads to; -1 for none."""
    for length in range(len(number), 0, -1):
        found = table.get(number[:length])
        if found is not None:
            return found
    return -1
