"""Callers: open-loop arrivals, patience, redials, hang-ups; masses of cut calls that come back."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

import numpy as np
from hdrh.histogram import HdrHistogram

from ospreybridge.core.circuits import CircuitState, TrunkGroup
from ospreybridge.signalling import isup
from ospreybridge.signalling.isup import IsupMessage
from ospreybridge.standins.endpoint import Endpoint, Place

FORWARD = {
    isup.NATURE_OF_CONNECTION: isup.DEFAULT_NATURE_OF_CONNECTION,
    isup.FORWARD_INDICATORS: isup.DEFAULT_FORWARD_INDICATORS,
}


@dataclass(frozen=True, slots=True)
class Kind:
    """A class of calls as callers make them; times in ms, `share` of all calls."""

    name: str
    share: float
    category: int
    width: int
    on_time: float
    deadline: float
    hold: float


@dataclass(frozen=True, slots=True)
class Habits:
    patience: float = 3_300.0  # one try; the class's deadline bounds all
    redials: int = 2
    redial_after: float = 800.0
    heeds: float = 0.7  # share of callers who come back when a refusal says, not before


class Wish:
    """One caller's wish to speak: its first try and what became of it."""

    __slots__ = ("called", "calling", "cic", "first", "kind", "stood", "tries", "was_cut")

    def __init__(self, kind: Kind, calling: str, called: str, first: float) -> None:
        self.kind, self.calling, self.called, self.first = kind, calling, called, first
        self.tries, self.cic = 0, 0
        self.stood = self.was_cut = False


class Callers(Endpoint):
    """All callers of one exchange, on one access group. `tally` counts first tries by how they ended."""

    def __init__(
        self,
        place: Place,
        habits: Habits,
        seed: int,
        tally: Counter[str],
        delays: HdrHistogram,
    ) -> None:
        self.habits, self.random, self.tally, self.delays = habits, np.random.default_rng(seed), tally, delays
        self.group = TrunkGroup("access", place.server.cics, place.point_code, place.server.point_code, set())
        self.on: dict[int, Wish] = {}
        self.before: dict[int, float] = {}  # circuit: when its try began
        self.pairs: dict[int, tuple[int, ...]] = {}  # circuits of wide calls, by the lowest
        self.quiet = False  # the day is over: no redials
        super().__init__(place)

    def started(self) -> None:
        for circuit in self.group.circuits.values():
            self.group.set_state(circuit, CircuitState.IDLE)
            self.group.set_blocked(circuit, remote=False)

    def lost(self, reason: str) -> None:
        for circuit in self.group.circuits.values():
            self.group.set_state(circuit, CircuitState.DOWN)
        wishes, self.on = list(self.on.values()), {}
        for wish in wishes:
            if wish.stood:
                self._cut(wish)
            else:
                self._again(wish, 0.0)

    # -- a wish

    def wish(self, kind: Kind, calling: str, called: str) -> None:
        self.tally["offered"] += 1
        self._try(self.loop.now, Wish(kind, calling, called, self.loop.now))

    def _try(self, now: float, wish: Wish) -> None:
        cics = self.group.select(wish.kind.width) if self.up else ()
        wish.tries += 1
        if not cics:
            self._again(wish, 0.0)
            return
        for cic in cics:
            self.group.set_state(self.group.circuits[cic], CircuitState.SEIZED)
        self.tally["tries"] += 1
        wish.cic = cics[0]
        if len(cics) > 1:
            self.pairs[wish.cic] = cics
        else:
            self.pairs.pop(wish.cic, None)
        self.on[wish.cic] = wish
        self.before[wish.cic] = now
        left = min(self.habits.patience, wish.first + wish.kind.deadline - now)
        words = {"left": max(1, int(left))}
        if wish.was_cut:
            words["cut"] = 1
        required = isup.TWO_TIMES_64 if wish.kind.width == 2 else isup.SPEECH
        given = {
            **FORWARD,
            isup.CALLING_CATEGORY: bytes((wish.kind.category,)),
            isup.MEDIUM_REQUIREMENT: bytes((required,)),
            isup.CALLED_NUMBER: isup.encode_called_number(wish.called),
            isup.CALLING_NUMBER: isup.encode_calling_number(wish.calling),
            isup.USER_TO_USER: isup.encode_user_words(**words),
        }
        if len(cics) == 2 and cics[1] != cics[0] + 1:
            given[isup.CIRCUIT_ASSIGNMENT_MAP] = isup.encode_circuit_map(cics)
        self.send(IsupMessage(wish.cic, isup.IAM, given))
        self.loop.timers.schedule(now + left, self._impatient, wish, wish.tries)

    def _impatient(self, now: float, wish: Wish, tried: int) -> None:
        if not wish.stood and wish.tries == tried and self.on.get(wish.cic) is wish:
            self.tally["given up"] += 1
            self._hang_up(now, wish)
            self._again(wish, 0.0)

    def _hang_up(self, now: float, wish: Wish, cause: int = 16) -> None:
        self.on.pop(wish.cic, None)
        for cic in self._circuits(wish):
            self.group.set_state(self.group.circuits[cic], CircuitState.RELEASING)
        self.send(IsupMessage(wish.cic, isup.REL, {isup.CAUSE_INDICATORS: isup.encode_cause(cause, 0)}))

    def _circuits(self, wish: Wish) -> tuple[int, ...]:
        return self.pairs.get(wish.cic, (wish.cic,))

    def _again(self, wish: Wish, retry: float) -> None:
        """Dials again, as often as callers do; what can't be heeded is not waited for."""
        wait = self.habits.redial_after * float(self.random.uniform(0.5, 1.5))
        if retry and self.random.random() < self.habits.heeds:
            wait = max(wait, retry * float(self.random.uniform(1.0, 1.2)))
        now = self.loop.now
        late = now + wait > wish.first + wish.kind.deadline
        if wish.tries > self.habits.redials or late or self.quiet:
            self.tally["unserved"] += 1
            return
        self.loop.timers.schedule(now + wait, self._try, wish)

    def _cut(self, wish: Wish) -> None:
        self.tally["cut"] += 1

    def cut(self, share: float, back_within: float) -> int:
        """A mass of standing calls ends at once and comes again, marked as cut."""
        standing = [wish for wish in self.on.values() if wish.stood]
        chosen = [wish for wish in standing if self.random.random() < share]
        for wish in chosen:
            self._hang_up(self.loop.now, wish, 41)
            self.tally["cut"] += 1
            new = Wish(wish.kind, wish.calling, wish.called, 0.0)
            new.was_cut = True
            wait = float(self.random.uniform(0.1, 1.0)) * back_within
            new.first = self.loop.now + wait
            self.tally["offered again after a cut"] += 1
            self.loop.timers.schedule(new.first, self._try, new)
        return len(chosen)

    # -- what the call server says

    def isup(self, message: IsupMessage) -> None:
        wish = self.on.get(message.cic)
        now = self.loop.now
        if message.type in (isup.ACM, isup.CON, isup.ANM) and wish is not None and not wish.stood:
            wish.stood = True
            took = now - wish.first
            self.delays.record_value(max(1, int((now - self.before[message.cic]) * 1_000)))
            self.tally["in time" if took <= wish.kind.on_time else "late"] += 1
            hold = float(self.random.exponential(wish.kind.hold))
            self.loop.timers.schedule(now + hold, self._done, wish)
        elif message.type == isup.REL:
            self.send(IsupMessage(message.cic, isup.RLC))
            if wish is None:
                return
            del self.on[message.cic]
            for cic in self._circuits(wish):
                self.group.set_state(self.group.circuits[cic], CircuitState.IDLE)
            cause, _ = isup.decode_cause(message.parameters[isup.CAUSE_INDICATORS])
            if wish.stood:
                if cause not in (16, 31) and not self.quiet:
                    self._cut(wish)  # at the end of the day the call servers release what stands
                return
            self.tally[f"refused, cause {cause}"] += 1
            words = isup.decode_user_words(message.parameters.get(isup.USER_TO_USER))
            self._again(wish, float(words.get("retry", 0)))
        elif message.type == isup.RLC:
            for cic in self.pairs.get(message.cic, (message.cic,)):
                circuit = self.group.circuits.get(cic)
                if circuit is not None and circuit.state is CircuitState.RELEASING:
                    self.group.set_state(circuit, CircuitState.IDLE)

    def _done(self, now: float, wish: Wish) -> None:
        if self.on.get(wish.cic) is wish and self.up:
            self._hang_up(now, wish)

    def supervised(self, message: IsupMessage) -> None:
        if message.type in (isup.CGB, isup.CGU):
            count, status = isup.decode_range_status(message.parameters[isup.RANGE_STATUS])
            for at in range(count):
                circuit = self.group.circuits.get(message.cic + at)
                if circuit is not None and status[at]:
                    self.group.set_blocked(circuit, remote=message.type == isup.CGB)
        elif message.type in (isup.BLO, isup.UBL):
            self.group.set_blocked(self.group.circuits[message.cic], remote=message.type == isup.BLO)
