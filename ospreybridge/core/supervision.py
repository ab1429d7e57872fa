"""Reset and blocking of circuits (Q.764, 2.8 and 2.9.3), with repetition until acknowledged."""

from __future__ import annotations

from typing import Any, Protocol

from ospreybridge import interface
from ospreybridge.core.calls import Call, CallStage, Leg
from ospreybridge.core.circuits import Circuit, CircuitState, TrunkGroup, contiguous_ranges
from ospreybridge.core.timers import ScheduledTimer, TimerQueue
from ospreybridge.settings.server import TimerSettings
from ospreybridge.signalling import causes, isup
from ospreybridge.signalling.isup import IsupMessage


class SupervisionHost(Protocol):
    """What supervision uses of the call server: sending, and ending calls hit by a reset or a blocking."""

    links: dict[int, Any]
    timers: TimerQueue
    timer_settings: TimerSettings

    def send(self, point_code: int, message: IsupMessage) -> None: ...
    def leg_lost(self, now: float, leg: Leg) -> None: ...
    def release_leg(self, now: float, leg: Leg, cause: int) -> None: ...
    def free_leg(self, leg: Leg) -> None: ...
    def reject_call(self, now: float, call: Call, cause: int) -> None: ...
    def log_event(self, event: str, **fields: Any) -> None: ...
    def end_attempt(
        self, now: float, call: Call, release_cause: int, result: interface.Result, note: interface.Note = ...
    ) -> None: ...


class CircuitSupervision:
    """Handles and sends the supervision messages of all trunk groups."""

    def __init__(self, server: SupervisionHost) -> None:
        self.server = server
        # Repetition timers of GRS and RSC without an acknowledgement, by point code and first circuit.
        self.pending_resets: dict[tuple[int, int], ScheduledTimer] = {}
        # The same for BLO, UBL and CGB, by point code, first circuit and message type.
        self.pending_blockings: dict[tuple[int, int, int], ScheduledTimer] = {}

    def link_up(self, now: float, group: TrunkGroup) -> None:
        """Resets all circuits: their state is unknown until the far end acknowledges."""
        for circuit in group.circuits.values():
            group.set_state(circuit, CircuitState.RESETTING)
        for first, count in contiguous_ranges(list(group.circuits)):
            self.send_reset(now, group, first, count)

    def link_down(self, point_code: int) -> None:
        """Stops repeating resets and blockings towards this peer."""
        for key in [key for key in self.pending_resets if key[0] == point_code]:
            self.pending_resets.pop(key).cancel()
        for block in [key for key in self.pending_blockings if key[0] == point_code]:
            self.pending_blockings.pop(block).cancel()

    def reset_acknowledged(self, group: TrunkGroup, cic: int) -> None:
        """Handles the RLC that answers an RSC."""
        timer = self.pending_resets.pop((group.peer_code, cic), None)
        if timer is not None:
            timer.cancel()
            group.set_state(group.circuits[cic], CircuitState.IDLE)

    def reset_circuit(self, now: float, group: TrunkGroup, circuit: Circuit) -> None:
        """Resets the circuit by RSC, after which both ends regard it as idle; a call on it is lost."""
        leg = circuit.leg
        if leg is not None:
            for cic in leg.cics:
                group.set_state(group.circuits[cic], CircuitState.RESETTING)
            self.server.leg_lost(now, leg)
            for cic in leg.cics:
                self.send_reset(now, group, cic, 1)
        else:
            group.set_state(circuit, CircuitState.RESETTING)
            self.send_reset(now, group, circuit.cic, 1)

    def send_reset(self, now: float, group: TrunkGroup, first: int, count: int) -> None:
        """Sends GRS (RSC for one circuit) and repeats it by timer until the far end acknowledges."""
        previous_timer = self.pending_resets.get((group.peer_code, first))
        if previous_timer is not None:
            previous_timer.cancel()
        if group.peer_code not in self.server.links:
            return
        if count == 1:
            self.server.send(group.peer_code, IsupMessage(first, isup.RSC))
        else:
            self.server.send(
                group.peer_code,
                IsupMessage(first, isup.GRS, {isup.RANGE_STATUS: isup.encode_range_status(count)}),
            )
        wait = self.server.timer_settings.t16 if count == 1 else self.server.timer_settings.t22
        self.pending_resets[group.peer_code, first] = self.server.timers.schedule(
            now + wait, self.send_reset, group, first, count
        )

    def handle_rsc(self, now: float, group: TrunkGroup, message: IsupMessage) -> None:
        """Handles a reset of one circuit; repeats our blocking of it if there is one."""
        circuit = group.circuits[message.cic]
        self.apply_peer_reset(now, group, circuit)
        self.server.send(group.peer_code, IsupMessage(message.cic, isup.RLC))
        if circuit.locally_blocked:
            self.send_blocking(now, group, message.cic, isup.BLO)

    def apply_peer_reset(self, now: float, group: TrunkGroup, circuit: Circuit) -> None:
        """Frees a circuit that the far end resets; a call on it is lost."""
        leg = circuit.leg
        # If our own RSC or GRS is outstanding, the circuit becomes idle only when that is acknowledged.
        cics = leg.cics if leg is not None else (circuit.cic,)
        for cic in cics:
            if group.circuits[cic].state is not CircuitState.RESETTING:
                group.set_state(group.circuits[cic], CircuitState.IDLE)
        group.set_blocked(circuit, remote=False)
        if leg is not None:
            self.server.leg_lost(now, leg)

    def handle_grs(self, now: float, group: TrunkGroup, message: IsupMessage) -> None:
        """Handles a reset of a range of circuits; the GRA names those that are blocked here."""
        count, _ = isup.decode_range_status(message.parameters[isup.RANGE_STATUS])
        for cic in range(message.cic, message.cic + count):
            if cic in group.circuits:
                self.apply_peer_reset(now, group, group.circuits[cic])
        blocked = [
            cic in group.circuits and group.circuits[cic].locally_blocked
            for cic in range(message.cic, message.cic + count)
        ]
        octets = isup.encode_range_status(count, blocked)
        self.server.send(group.peer_code, IsupMessage(message.cic, isup.GRA, {isup.RANGE_STATUS: octets}))

    def handle_gra(self, now: float, group: TrunkGroup, message: IsupMessage) -> None:
        """Handles the acknowledgement of a GRS; its status bits name the circuits the far end blocks."""
        timer = self.pending_resets.pop((group.peer_code, message.cic), None)
        if timer is None:
            return
        timer.cancel()
        count, status = isup.decode_range_status(message.parameters[isup.RANGE_STATUS])
        for offset in range(count):
            circuit = group.circuits.get(message.cic + offset)
            if circuit is not None and circuit.state is CircuitState.RESETTING:
                group.set_state(circuit, CircuitState.IDLE)
                group.set_blocked(circuit, remote=offset < len(status) and status[offset])

    def send_blocking(self, now: float, group: TrunkGroup, cic: int, kind: int) -> None:
        """Sends BLO or UBL (`kind`) for one circuit and repeats it until acknowledged."""
        group.set_blocked(group.circuits[cic], local=kind == isup.BLO)
        self.server.send(group.peer_code, IsupMessage(cic, kind))
        key = (group.peer_code, cic, kind)
        # A repeated BLO must not undo a later UBL, nor a repeated UBL a later BLO.
        for message_type in (isup.BLO, isup.UBL):
            self._stop_repeating(group.peer_code, cic, message_type)
        self.pending_blockings[key] = self.server.timers.schedule(
            now + self.server.timer_settings.t12, self.send_blocking, group, cic, kind
        )

    def block_all(self, now: float, group: TrunkGroup) -> None:
        """Blocks every circuit of the group at this end."""
        for circuit in group.circuits.values():
            group.set_blocked(circuit, local=True)
        for first, count in contiguous_ranges(list(group.circuits)):
            self.send_group_blocking(now, group, first, count)

    def send_group_blocking(self, now: float, group: TrunkGroup, first: int, count: int) -> None:
        """Sends CGB (BLO for one circuit) and repeats it until acknowledged.

        Circuits that were unblocked since the first one are left out: a repeated CGB must not undo their UBL.
        """
        self._stop_repeating(group.peer_code, first, isup.CGB)
        status = [group.circuits[cic].locally_blocked for cic in range(first, first + count)]
        if group.peer_code not in self.server.links or not any(status):
            return
        if count == 1:
            self.send_blocking(now, group, first, isup.BLO)
            return
        for cic in range(first, first + count):  # nor may a repeated UBL undo this CGB
            if group.circuits[cic].locally_blocked:
                self._stop_repeating(group.peer_code, cic, isup.UBL)
        octets = isup.encode_range_status(count, status)
        parameters = {isup.GROUP_SUPERVISION: isup.MAINTENANCE_ORIENTED, isup.RANGE_STATUS: octets}
        self.server.send(group.peer_code, IsupMessage(first, isup.CGB, parameters))
        key = (group.peer_code, first, isup.CGB)
        self.pending_blockings[key] = self.server.timers.schedule(
            now + self.server.timer_settings.t12, self.send_group_blocking, group, first, count
        )

    def handle_blocking(self, now: float, group: TrunkGroup, message: IsupMessage) -> None:
        """Handles BLO and UBL."""
        blocked = message.type == isup.BLO
        circuit = group.circuits[message.cic]
        group.set_blocked(circuit, remote=blocked)
        self.server.send(group.peer_code, IsupMessage(message.cic, isup.BLA if blocked else isup.UBA))
        self.abandon_blocked_set_up(now, circuit)

    def abandon_blocked_set_up(self, now: float, circuit: Circuit) -> None:
        """Gives up a set-up whose circuit is blocked before it was answered (Q.764, 2.8.2.1).

        The controller may then try another route.
        """
        leg = circuit.leg
        if (
            circuit.remotely_blocked
            and circuit.state is CircuitState.SEIZED
            and leg is not None
            and leg.call is not None
        ):
            call = leg.call
            if call.terminates_here:
                self.server.release_leg(now, leg, causes.NORMAL_CLEARING)
                call.outgoing_leg = None
                self.server.reject_call(now, call, causes.DESTINATION_OUT_OF_ORDER)
            elif call.stage is CallStage.PENDING:
                call.cause, call.cause_source = causes.NO_CIRCUIT, 0
                self.server.end_attempt(now, call, causes.NORMAL_CLEARING, interface.Result.CANCELLED)

    def handle_group_blocking(self, now: float, group: TrunkGroup, message: IsupMessage) -> None:
        """Handles CGB and CGU."""
        blocked = message.type == isup.CGB
        count, status = isup.decode_range_status(message.parameters[isup.RANGE_STATUS])
        for offset in range(count):
            circuit = group.circuits.get(message.cic + offset)
            if circuit is not None and offset < len(status) and status[offset]:
                group.set_blocked(circuit, remote=blocked)
                self.abandon_blocked_set_up(now, circuit)
        kind = isup.CGBA if blocked else isup.CGUA
        self.server.send(group.peer_code, IsupMessage(message.cic, kind, dict(message.parameters)))

    def handle_blocking_ack(self, now: float, group: TrunkGroup, message: IsupMessage) -> None:
        """Handles BLA, UBA, CGBA and CGUA: the blocking is no longer repeated."""
        kind = {isup.BLA: isup.BLO, isup.UBA: isup.UBL, isup.CGBA: isup.CGB, isup.CGUA: isup.CGU}[
            message.type
        ]
        self._stop_repeating(group.peer_code, message.cic, kind)

    def _stop_repeating(self, point_code: int, cic: int, kind: int) -> None:
        """Cancels the repetition of BLO, UBL or CGB, if it is repeated."""
        timer = self.pending_blockings.pop((point_code, cic, kind), None)
        if timer is not None:
            timer.cancel()

    def handle_ucic(self, now: float, group: TrunkGroup, message: IsupMessage) -> None:
        """Handles UCIC: takes the circuit, unknown at the far end, out of service; its attempt never ran."""
        circuit = group.circuits[message.cic]
        self.server.log_event("circuit not equipped", group=group.name, cic=message.cic)
        leg = circuit.leg
        group.set_blocked(circuit, remote=True)
        if leg is not None and leg.call is not None and circuit.state is CircuitState.SEIZED:
            call = leg.call
            self.server.free_leg(leg)
            leg.call = None
            if call.terminates_here:
                call.outgoing_leg = None
                self.server.reject_call(now, call, causes.NO_CIRCUIT)
            else:
                self.server.end_attempt(now, call, 0, interface.Result.MOOT, interface.Note.NO_CIRCUIT)
