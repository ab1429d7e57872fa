"""Resets and blocking of circuits (Q.764, 2.8 and 2.9.3): what both ends agree on besides calls."""

from __future__ import annotations

from typing import Any, Protocol

from ospreybridge import interface as i
from ospreybridge.core.calls import Call, Leg, Stage
from ospreybridge.core.circuits import Circuit, CircuitState, TrunkGroup, runs
from ospreybridge.core.timers import ScheduledTimer, TimerQueue
from ospreybridge.settings.server import TimerSettings as Times
from ospreybridge.signalling import causes, isup
from ospreybridge.signalling.isup import IsupMessage


class Host(Protocol):
    """What supervision asks of the call server: to send, and to end what a reset or a blocking has met."""

    links: dict[int, Any]
    timers: TimerQueue
    timer_settings: Times

    def send(self, point_code: int, message: IsupMessage) -> None: ...
    def leg_lost(self, now: float, leg: Leg) -> None: ...
    def release(self, now: float, leg: Leg, cause: int) -> None: ...
    def free(self, leg: Leg) -> None: ...
    def final(self, now: float, call: Call, cause: int) -> None: ...
    def note(self, event: str, **fields: Any) -> None: ...
    def attempt_over(
        self, now: float, call: Call, release: int, result: i.Result, note: i.Note = ...
    ) -> None: ...


class Supervision:
    def __init__(self, server: Host) -> None:
        self.server = server
        self.resets: dict[tuple[int, int], ScheduledTimer] = {}  # GRS or RSC awaiting its answer
        self.blocks: dict[tuple[int, int, int], ScheduledTimer] = {}  # BLO, UBL, CGB, CGU awaiting theirs

    def link_up(self, now: float, group: TrunkGroup) -> None:
        """Nothing is known of the circuits until the far end has reset them."""
        for circuit in group.circuits.values():
            group.set_state(circuit, CircuitState.RESETTING)
        for first, count in runs(list(group.circuits)):
            self.reset(now, group, first, count)

    def link_down(self, point_code: int) -> None:
        for key in [key for key in self.resets if key[0] == point_code]:
            self.resets.pop(key).cancel()
        for block in [key for key in self.blocks if key[0] == point_code]:
            self.blocks.pop(block).cancel()

    def answered(self, group: TrunkGroup, cic: int) -> None:
        """RLC to an RSC."""
        due = self.resets.pop((group.there, cic), None)
        if due is not None:
            due.cancel()
            group.set_state(group.circuits[cic], CircuitState.IDLE)

    def reset_circuit(self, now: float, group: TrunkGroup, circuit: Circuit) -> None:
        """RSC: both ends take the circuit as idle afterwards; a call on it is lost."""
        leg = circuit.leg
        if leg is not None:
            for cic in leg.cics:
                group.set_state(group.circuits[cic], CircuitState.RESETTING)
            self.server.leg_lost(now, leg)
            for cic in leg.cics:
                self.reset(now, group, cic, 1)
        else:
            group.set_state(circuit, CircuitState.RESETTING)
            self.reset(now, group, circuit.cic, 1)

    def reset(self, now: float, group: TrunkGroup, first: int, count: int) -> None:
        """GRS (RSC for one circuit), repeated by its timer until the far end has answered."""
        known = self.resets.get((group.there, first))
        if known is not None:
            known.cancel()
        if group.there not in self.server.links:
            return
        if count == 1:
            self.server.send(group.there, IsupMessage(first, isup.RSC))
        else:
            self.server.send(
                group.there,
                IsupMessage(first, isup.GRS, {isup.RANGE_STATUS: isup.encode_range_status(count)}),
            )
        wait = self.server.timer_settings.t16 if count == 1 else self.server.timer_settings.t22
        self.resets[group.there, first] = self.server.timers.schedule(
            now + wait, self.reset, group, first, count
        )

    def rsc(self, now: float, group: TrunkGroup, message: IsupMessage) -> None:
        circuit = group.circuits[message.cic]
        self.taken_as_idle(now, group, circuit)
        self.server.send(group.there, IsupMessage(message.cic, isup.RLC))
        if circuit.near_blocked:
            self.block(now, group, message.cic, isup.BLO)

    def taken_as_idle(self, now: float, group: TrunkGroup, circuit: Circuit) -> None:
        leg = circuit.leg
        # Without an RSC or GRS of ours on the way, the circuit is idle at once; else when that is answered.
        cics = leg.cics if leg is not None else (circuit.cic,)
        for cic in cics:
            if group.circuits[cic].state is not CircuitState.RESETTING:
                group.set_state(group.circuits[cic], CircuitState.IDLE)
        group.set_blocked(circuit, remote=False)
        if leg is not None:
            self.server.leg_lost(now, leg)

    def grs(self, now: float, group: TrunkGroup, message: IsupMessage) -> None:
        count, _ = isup.decode_range_status(message.parameters[isup.RANGE_STATUS])
        for cic in range(message.cic, message.cic + count):
            if cic in group.circuits:
                self.taken_as_idle(now, group, group.circuits[cic])
        blocked = [
            cic in group.circuits and group.circuits[cic].near_blocked
            for cic in range(message.cic, message.cic + count)
        ]
        octets = isup.encode_range_status(count, blocked)
        self.server.send(group.there, IsupMessage(message.cic, isup.GRA, {isup.RANGE_STATUS: octets}))

    def gra(self, now: float, group: TrunkGroup, message: IsupMessage) -> None:
        due = self.resets.pop((group.there, message.cic), None)
        if due is None:
            return
        due.cancel()
        count, status = isup.decode_range_status(message.parameters[isup.RANGE_STATUS])
        for at in range(count):
            circuit = group.circuits.get(message.cic + at)
            if circuit is not None and circuit.state is CircuitState.RESETTING:
                group.set_state(circuit, CircuitState.IDLE)
                group.set_blocked(circuit, remote=at < len(status) and status[at])

    def block(self, now: float, group: TrunkGroup, cic: int, kind: int) -> None:
        """BLO or UBL of one circuit, repeated until it is acknowledged."""
        group.set_blocked(group.circuits[cic], local=kind == isup.BLO)
        self.server.send(group.there, IsupMessage(cic, kind))
        key = (group.there, cic, kind)
        # An unacknowledged BLO must not block once more after an operator's UBL, nor the other way round.
        for one in (isup.BLO, isup.UBL):
            waiting = self.blocks.pop((group.there, cic, one), None)
            if waiting is not None:
                waiting.cancel()
        self.blocks[key] = self.server.timers.schedule(
            now + self.server.timer_settings.t12, self.block, group, cic, kind
        )

    def block_all(self, now: float, group: TrunkGroup) -> None:
        for circuit in group.circuits.values():
            group.set_blocked(circuit, local=True)
        for first, count in runs(list(group.circuits)):
            self.block_range(now, group, first, count)

    def block_range(self, now: float, group: TrunkGroup, first: int, count: int) -> None:
        if group.there not in self.server.links:
            return
        if count == 1:
            self.block(now, group, first, isup.BLO)
            return
        octets = isup.encode_range_status(count, [True] * count)
        given = {isup.GROUP_SUPERVISION: isup.MAINTENANCE_ORIENTED, isup.RANGE_STATUS: octets}
        self.server.send(group.there, IsupMessage(first, isup.CGB, given))
        key = (group.there, first, isup.CGB)
        self.blocks[key] = self.server.timers.schedule(
            now + self.server.timer_settings.t12, self.block_range, group, first, count
        )

    def blocking(self, now: float, group: TrunkGroup, message: IsupMessage) -> None:
        on = message.type == isup.BLO
        circuit = group.circuits[message.cic]
        group.set_blocked(circuit, remote=on)
        self.server.send(group.there, IsupMessage(message.cic, isup.BLA if on else isup.UBA))
        self.seized_meanwhile(now, circuit)

    def seized_meanwhile(self, now: float, circuit: Circuit) -> None:
        """A set-up that met a blocking without an answer yet is given up and goes another way (2.8.2.1)."""
        leg = circuit.leg
        if (
            circuit.far_blocked
            and circuit.state is CircuitState.SEIZED
            and leg is not None
            and leg.call is not None
        ):
            call = leg.call
            if call.local:
                self.server.release(now, leg, causes.NORMAL_CLEARING)
                call.out = None
                self.server.final(now, call, causes.DESTINATION_OUT_OF_ORDER)
            elif call.stage is Stage.PENDING:
                call.cause, call.source = causes.NO_CIRCUIT, 0
                self.server.attempt_over(now, call, causes.NORMAL_CLEARING, i.Result.CANCELLED)

    def group_blocking(self, now: float, group: TrunkGroup, message: IsupMessage) -> None:
        on = message.type == isup.CGB
        count, status = isup.decode_range_status(message.parameters[isup.RANGE_STATUS])
        for at in range(count):
            circuit = group.circuits.get(message.cic + at)
            if circuit is not None and at < len(status) and status[at]:
                group.set_blocked(circuit, remote=on)
                self.seized_meanwhile(now, circuit)
        kind = isup.CGBA if on else isup.CGUA
        self.server.send(group.there, IsupMessage(message.cic, kind, dict(message.parameters)))

    def blocked(self, now: float, group: TrunkGroup, message: IsupMessage) -> None:
        kind = {isup.BLA: isup.BLO, isup.UBA: isup.UBL, isup.CGBA: isup.CGB, isup.CGUA: isup.CGU}[
            message.type
        ]
        due = self.blocks.pop((group.there, message.cic, kind), None)
        if due is not None:
            due.cancel()

    def unequipped(self, now: float, group: TrunkGroup, message: IsupMessage) -> None:
        """UCIC: the far end does not know this circuit; it is taken out of service and the call goes on."""
        circuit = group.circuits[message.cic]
        self.server.note("circuit not equipped", group=group.name, cic=message.cic)
        leg = circuit.leg
        group.set_blocked(circuit, remote=True)
        if leg is not None and leg.call is not None and circuit.state is CircuitState.SEIZED:
            call = leg.call
            self.server.free(leg)
            leg.call = None
            if call.local:
                call.out = None
                self.server.final(now, call, causes.NO_CIRCUIT)
            else:
                self.server.attempt_over(now, call, 0, i.Result.MOOT, i.Note.NO_CIRCUIT)
