"""Simulated callers of one exchange: patience, redials, hang-ups, and mass cuts whose callers dial again."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

import numpy as np
from hdrh.histogram import HdrHistogram

from ospreybridge.core.circuits import CircuitState, TrunkGroup
from ospreybridge.signalling import isup
from ospreybridge.signalling.isup import IsupMessage
from ospreybridge.standins.endpoint import Endpoint, EndpointConfig

# Parameters that are the same in every IAM of a stand-in.
FORWARD_PARAMETERS = {
    isup.NATURE_OF_CONNECTION: isup.DEFAULT_NATURE_OF_CONNECTION,
    isup.FORWARD_INDICATORS: isup.DEFAULT_FORWARD_INDICATORS,
}


@dataclass(frozen=True, slots=True)
class CallKind:
    """A kind of call that callers make. Times in ms; `share` is relative to the other kinds.

    `category` is the calling party's category, `width` the number of circuits, `hold` the mean holding time.
    """

    name: str
    share: float
    category: int
    width: int
    on_time: float
    deadline: float
    hold: float


@dataclass(frozen=True, slots=True)
class CallerBehaviour:
    """How long callers wait and how often they dial again. Times in ms."""

    patience: float = 3_300.0  # per try; the deadline of the class limits all tries together
    redials: int = 2
    redial_after: float = 800.0  # mean wait before a redial
    heed_share: float = 0.7  # share of callers who wait for the retry time that a refusal gives


class CallIntent:
    """One call that a caller wants to make, over all its tries (call intent of ITU-T E.600)."""

    __slots__ = ("called", "calling", "cic", "established", "first_try_at", "kind", "tries", "was_cut")

    def __init__(self, kind: CallKind, calling: str, called: str, first_try_at: float) -> None:
        self.kind, self.calling, self.called, self.first_try_at = kind, calling, called, first_try_at
        self.tries, self.cic = 0, 0
        self.established = self.was_cut = False


class Callers(Endpoint):
    """All callers of one exchange, on one access trunk group.

    `tally` counts call intents, tries and their outcomes. `setup_delays` records microseconds from the IAM of
    the try to its answer.
    """

    def __init__(
        self,
        config: EndpointConfig,
        behaviour: CallerBehaviour,
        seed: int,
        tally: Counter[str],
        setup_delays: HdrHistogram,
    ) -> None:
        self.behaviour, self.random, self.tally, self.setup_delays = (
            behaviour,
            np.random.default_rng(seed),
            tally,
            setup_delays,
        )
        self.group = TrunkGroup(
            "access", config.call_server.cics, config.point_code, config.call_server.point_code, set()
        )
        self.intent_by_circuit: dict[int, CallIntent] = {}
        self.tried_at: dict[int, float] = {}  # start of the current try, by circuit
        self.wide_call_circuits: dict[int, tuple[int, ...]] = {}  # all circuits of a wide call, by its first
        self.redials_disabled = False  # set at the end of a scripted day
        super().__init__(config)

    def on_active(self) -> None:
        for circuit in self.group.circuits.values():
            self.group.set_state(circuit, CircuitState.IDLE)
            self.group.set_blocked(circuit, remote=False)

    def on_inactive(self, reason: str) -> None:
        for circuit in self.group.circuits.values():
            self.group.set_state(circuit, CircuitState.DOWN)
        intents, self.intent_by_circuit = list(self.intent_by_circuit.values()), {}
        for intent in intents:
            if intent.established:
                self._count_cut(intent)
            else:
                self._redial(intent, 0.0)

    # -- calls

    def place_call(self, kind: CallKind, calling: str, called: str) -> None:
        """Starts a new call intent with its first try."""
        self.tally["offered"] += 1
        self._try(self.loop.now, CallIntent(kind, calling, called, self.loop.now))

    def _try(self, now: float, intent: CallIntent) -> None:
        cics = self.group.select(intent.kind.width) if self.up else ()
        intent.tries += 1
        if not cics:
            self._redial(intent, 0.0)
            return
        for cic in cics:
            self.group.set_state(self.group.circuits[cic], CircuitState.SEIZED)
        self.tally["tries"] += 1
        intent.cic = cics[0]
        if len(cics) > 1:
            self.wide_call_circuits[intent.cic] = cics
        else:
            self.wide_call_circuits.pop(intent.cic, None)
        self.intent_by_circuit[intent.cic] = intent
        self.tried_at[intent.cic] = now
        remaining = min(self.behaviour.patience, intent.first_try_at + intent.kind.deadline - now)
        user_words = {"left": max(1, int(remaining))}
        if intent.was_cut:
            user_words["cut"] = 1
        medium = isup.TWO_TIMES_64 if intent.kind.width == 2 else isup.SPEECH
        parameters = {
            **FORWARD_PARAMETERS,
            isup.CALLING_CATEGORY: bytes((intent.kind.category,)),
            isup.MEDIUM_REQUIREMENT: bytes((medium,)),
            isup.CALLED_NUMBER: isup.encode_called_number(intent.called),
            isup.CALLING_NUMBER: isup.encode_calling_number(intent.calling),
            isup.USER_TO_USER: isup.encode_user_words(**user_words),
        }
        if len(cics) == 2 and cics[1] != cics[0] + 1:
            parameters[isup.CIRCUIT_ASSIGNMENT_MAP] = isup.encode_circuit_map(cics)
        self.send(IsupMessage(intent.cic, isup.IAM, parameters))
        self.loop.timers.schedule(now + remaining, self._on_patience_end, intent, intent.tries)

    def _on_patience_end(self, now: float, intent: CallIntent, try_number: int) -> None:
        if (
            not intent.established
            and intent.tries == try_number
            and self.intent_by_circuit.get(intent.cic) is intent
        ):
            self.tally["given up"] += 1
            self._hang_up(now, intent)
            self._redial(intent, 0.0)

    def _hang_up(self, now: float, intent: CallIntent, cause: int = 16) -> None:
        self.intent_by_circuit.pop(intent.cic, None)
        for cic in self._circuits(intent):
            self.group.set_state(self.group.circuits[cic], CircuitState.RELEASING)
        self.send(IsupMessage(intent.cic, isup.REL, {isup.CAUSE_INDICATORS: isup.encode_cause(cause, 0)}))

    def _circuits(self, intent: CallIntent) -> tuple[int, ...]:
        return self.wide_call_circuits.get(intent.cic, (intent.cic,))

    def _redial(self, intent: CallIntent, retry_after: float) -> None:
        """Schedules the next try, or counts the intent as unserved.

        No redial is scheduled when the redials are used up or the next try would begin after the deadline.
        `retry_after` is the wait in ms that the refusal asked for, 0 for none.
        """
        wait = self.behaviour.redial_after * float(self.random.uniform(0.5, 1.5))
        if retry_after and self.random.random() < self.behaviour.heed_share:
            wait = max(wait, retry_after * float(self.random.uniform(1.0, 1.2)))
        now = self.loop.now
        past_deadline = now + wait > intent.first_try_at + intent.kind.deadline
        if intent.tries > self.behaviour.redials or past_deadline or self.redials_disabled:
            self.tally["unserved"] += 1
            return
        self.loop.timers.schedule(now + wait, self._try, intent)

    def _count_cut(self, intent: CallIntent) -> None:
        self.tally["cut"] += 1

    def cut_calls(self, share: float, return_within: float) -> int:
        """Releases a share of the established calls at once; their callers dial again, marked as cut.

        Each new call intent begins within `return_within` ms. Returns the number of calls cut.
        """
        established = [intent for intent in self.intent_by_circuit.values() if intent.established]
        chosen = [intent for intent in established if self.random.random() < share]
        for intent in chosen:
            self._hang_up(self.loop.now, intent, 41)  # 41: temporary failure
            self.tally["cut"] += 1
            new_intent = CallIntent(intent.kind, intent.calling, intent.called, 0.0)
            new_intent.was_cut = True
            wait = float(self.random.uniform(0.1, 1.0)) * return_within
            new_intent.first_try_at = self.loop.now + wait
            self.tally["offered again after a cut"] += 1
            self.loop.timers.schedule(new_intent.first_try_at, self._try, new_intent)
        return len(chosen)

    # -- messages from the call server

    def on_isup(self, message: IsupMessage) -> None:
        intent = self.intent_by_circuit.get(message.cic)
        now = self.loop.now
        if message.type in (isup.ACM, isup.CON, isup.ANM) and intent is not None and not intent.established:
            intent.established = True
            elapsed = now - intent.first_try_at
            self.setup_delays.record_value(max(1, int((now - self.tried_at[message.cic]) * 1_000)))
            self.tally["in time" if elapsed <= intent.kind.on_time else "late"] += 1
            hold = float(self.random.exponential(intent.kind.hold))
            self.loop.timers.schedule(now + hold, self._end_call, intent)
        elif message.type == isup.REL:
            self.send(IsupMessage(message.cic, isup.RLC))
            if intent is None:
                return
            del self.intent_by_circuit[message.cic]
            for cic in self._circuits(intent):
                self.group.set_state(self.group.circuits[cic], CircuitState.IDLE)
            cause, _ = isup.decode_cause(message.parameters[isup.CAUSE_INDICATORS])
            if intent.established:
                # Not cut: normal clearing (16, 31), and releases by the call servers at the end of a day.
                if cause not in (16, 31) and not self.redials_disabled:
                    self._count_cut(intent)
                return
            self.tally[f"refused, cause {cause}"] += 1
            user_words = isup.decode_user_words(message.parameters.get(isup.USER_TO_USER))
            self._redial(intent, float(user_words.get("retry", 0)))
        elif message.type == isup.RLC:
            for cic in self.wide_call_circuits.get(message.cic, (message.cic,)):
                circuit = self.group.circuits.get(cic)
                if circuit is not None and circuit.state is CircuitState.RELEASING:
                    self.group.set_state(circuit, CircuitState.IDLE)

    def _end_call(self, now: float, intent: CallIntent) -> None:
        if self.intent_by_circuit.get(intent.cic) is intent and self.up:
            self._hang_up(now, intent)

    def on_supervision(self, message: IsupMessage) -> None:
        if message.type in (isup.CGB, isup.CGU):
            count, status = isup.decode_range_status(message.parameters[isup.RANGE_STATUS])
            for offset in range(count):
                circuit = self.group.circuits.get(message.cic + offset)
                if circuit is not None and status[offset]:
                    self.group.set_blocked(circuit, remote=message.type == isup.CGB)
        elif message.type in (isup.BLO, isup.UBL):
            self.group.set_blocked(self.group.circuits[message.cic], remote=message.type == isup.BLO)
