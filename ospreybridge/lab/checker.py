"""Checks the five routing rules using only the frames recorded between the processes.

A call is identified at an exchange by its calling number, which a scripted day gives to one caller only.
Frames can cross in transit, so whether a call server has received a message is inferred from its later
messages (for example its RLC in response to a REL).

1. Every call gets exactly one final answer, in time; no attempt is made without a call or after that answer.
2. An exchange has at most one open attempt for a call.
3. No attempt goes to an exchange that was reported as draining or down longer ago than the drain grace.
4. An exchange whose processor is cold gets no more set-ups than it can take.
5. An attempt that may have been executed is not repeated before the release time has passed.
"""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field

from ospreybridge.lab import tap
from ospreybridge.lab.tap import Record
from ospreybridge.signalling import causes, isup, m3ua
from ospreybridge.signalling.errors import MessageError
from ospreybridge.signalling.isup import IsupMessage

# Covers the difference between the timestamps of two relay processes and the delay within a loaded relay.
TIMESTAMP_TOLERANCE_MS = 25.0
BUSY_SLOT_MS = 10.0  # the shortest loop turn that a relay records (relay.BUSY_TURN_MS)


@dataclass(frozen=True, slots=True)
class CheckerConfig:
    """Point codes by role and the parameters of the rules; durations and times are in milliseconds."""

    exchanges: frozenset[int]
    offices: dict[int, int]  # office -> its exchange
    callers: frozenset[int]
    list_services: frozenset[int]
    deadline: float
    answer_grace: float
    drain_grace: float
    release: float
    overload_factor: float
    overload_for: float
    cold_share: float
    warm_after: float
    setup_time: float  # processing time of one set-up on a warm processor
    setup_slack: float = 6.0  # set-ups above the limit of rule 4 that random arrivals may add
    # Periods in which a call server was stopped by SIGSTOP: exchange, start, end.
    suspensions: tuple[tuple[int, float, float], ...] = ()


@dataclass(slots=True)
class Leg:
    """One leg of a call: from the side that seized the circuit (`source`) to the other (`target`).

    Times are in milliseconds; 0 means that the event has not happened.
    """

    source: int
    target: int
    cic: int
    calling_number: str
    seized_at: float
    cics: tuple[int, ...]
    answer_due_at: float = 0.0
    established_at: float = 0.0  # first ACM, CON or ANM
    answered_at: float = 0.0
    released_at: float = 0.0  # first REL from either side
    released_by: int = 0
    cause: int = 0
    ended: bool = False
    ended_at: float = 0.0  # when both sides know of the end: at the RLC or a final answer


@dataclass(slots=True)
class CheckResult:
    """Rule violations and counters; `unreadable` counts frames that could not be decoded."""

    violations: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    unreadable: int = 0
    violations_by_rule: Counter[int] = field(default_factory=Counter)


class Checker:
    """Follows every call through the recorded frames and collects the violations of the rules."""

    def __init__(self, config: CheckerConfig) -> None:
        self.config = config
        self.result = CheckResult()
        # Pair of point codes (lower first) -> CIC -> the latest leg on that circuit.
        self.legs_by_circuit: dict[tuple[int, int], dict[int, Leg]] = defaultdict(dict)
        # The key (exchange, calling number) identifies a call at an exchange.
        self.accepted_legs: dict[tuple[int, str], Leg] = {}  # the leg on which the exchange received the call
        self.open_attempts: dict[tuple[int, str], list[Leg]] = defaultdict(list)
        # When the last attempt ended by a timeout, reset or cancellation.
        self.maybe_executed_at: dict[tuple[int, str], float] = {}
        # (receiving exchange, listed exchange) -> when the list first reported it as not accepting calls.
        self.unavailable_since: dict[tuple[int, int], float] = {}
        self.busy_since: dict[int, float] = {}  # time slot -> start of the long loop turn that covers it
        # (receiving exchange, listed exchange) -> version of the newest list update received.
        self.list_versions: dict[tuple[int, int], int] = {}
        self.processor_started_at: dict[int, float] = {}  # by exchange, as reported by the list
        self.recent_setups: dict[int, deque[float]] = defaultdict(deque)
        self.handlers = {
            isup.IAM: self._on_iam,
            isup.ACM: self._on_answer,
            isup.CON: self._on_answer,
            isup.ANM: self._on_answer,
            isup.REL: self._on_rel,
            isup.RLC: self._on_rlc,
            isup.RSC: self._on_reset,
            isup.GRS: self._on_reset,
            isup.UCIC: self._on_ucic,
        }

    def check(self, records: list[Record]) -> CheckResult:
        """Checks all records, which must be in order of time."""
        last_record_at = 0.0
        for record in records:
            if record.kind == tap.RELAY_BUSY:
                turn_started = tap.BUSY_PAYLOAD.unpack(record.frame)[0]
                # What arrives during this turn is read in the next one, which may take as long again.
                for slot in range(
                    int(turn_started // BUSY_SLOT_MS), int((2 * record.at - turn_started) // BUSY_SLOT_MS) + 1
                ):
                    self.busy_since[slot] = min(turn_started, self.busy_since.get(slot, turn_started))
        for record in records:
            last_record_at = record.at
            if record.kind == tap.RELAY_BUSY:
                continue
            if record.kind in (tap.LINK_UP, tap.LINK_DOWN):
                self._on_link_change(record)
                continue
            try:
                message = m3ua.decode(record.frame)
                if not isinstance(message, m3ua.Data):
                    self._on_list_update(record, message)
                elif message.si == m3ua.SI_ISUP:
                    decoded = isup.decode(message.body)
                    self.result.counts[decoded.name] += 1
                    handler = self.handlers.get(decoded.type)
                    if handler is not None:
                        handler(record, decoded)
            except MessageError:
                self.result.unreadable += 1
        for leg in self.accepted_legs.values():
            if (
                not leg.ended
                and not leg.established_at
                and not leg.released_at
                and leg.answer_due_at + self.config.answer_grace < last_record_at
            ):
                self._add_violation(
                    1,
                    leg.answer_due_at,
                    f"exchange {leg.target} never answered the call of {leg.calling_number}",
                )
        return self.result

    def _add_violation(self, rule: int, at: float, text: str) -> None:
        self.result.violations_by_rule[rule] += 1
        self.result.violations.append(f"rule {rule} at {at:.1f} ms: {text}")

    def _was_suspended(self, exchange: int, at: float) -> bool:
        """Whether a call server was suspended at `at`, or resumed up to 1 s before; it may answer late."""
        return any(
            suspended == exchange and begin <= at <= end + 1_000
            for suspended, begin, end in self.config.suspensions
        )

    def _legs_between(self, record: Record) -> dict[int, Leg]:
        return self.legs_by_circuit[min(record.source, record.target), max(record.source, record.target)]

    # -- messages of a call

    def _earliest_arrival(self, at: float) -> float:
        """Earliest possible arrival of a frame with timestamp `at`: a busy relay reads frames late."""
        return min(at, self.busy_since.get(int(at // BUSY_SLOT_MS), at))

    def _seized_circuits(self, message: IsupMessage) -> tuple[int, ...]:
        if message.parameters[isup.MEDIUM_REQUIREMENT] != bytes((isup.TWO_TIMES_64,)):
            return (message.cic,)
        if isup.CIRCUIT_ASSIGNMENT_MAP in message.parameters:
            return isup.decode_circuit_map(message.cic, message.parameters[isup.CIRCUIT_ASSIGNMENT_MAP])
        return (message.cic, message.cic + 1)

    def _on_iam(self, record: Record, message: IsupMessage) -> None:
        at, source, target = record.at, record.source, record.target
        calling_number = isup.decode_calling_number(message.parameters.get(isup.CALLING_NUMBER, b"\0\0"))
        cics = self._seized_circuits(message)
        legs = self._legs_between(record)
        existing = [legs.get(cic) for cic in cics]
        crossing = {
            id(leg): leg for leg in existing if leg is not None and not leg.ended and not leg.established_at
        }
        crossing = {key: leg for key, leg in crossing.items() if leg.source == target and not leg.released_at}
        self.result.counts["dual seizures"] += bool(crossing)
        if any(_keeps_circuit(leg, cics, target, source) for leg in crossing.values()):
            return  # the far end ignores this IAM, and its sender withdraws it when the other IAM arrives
        for leg in crossing.values():
            self._end_leg(leg, at)
        leg = Leg(source, target, message.cic, calling_number, at, cics)
        for cic in cics:
            legs[cic] = leg
        remaining = isup.decode_user_words(message.parameters.get(isup.USER_TO_USER)).get("left", 0)
        leg.answer_due_at = at + min(remaining or self.config.deadline, self.config.deadline)
        if target in self.config.exchanges:
            self.accepted_legs[target, calling_number] = leg
            self.maybe_executed_at.pop((target, calling_number), None)
        if source in self.config.exchanges:
            self._check_attempt(leg)
        if target in self.config.offices:
            self._check_cold_overload(at, self.config.offices[target])

    def _check_attempt(self, leg: Leg) -> None:
        exchange, at = leg.source, leg.seized_at
        accepted = self.accepted_legs.get((exchange, leg.calling_number))
        still_open = [
            other
            for other in self.open_attempts[exchange, leg.calling_number]
            if not other.ended and not other.released_at
        ]
        if accepted is None:
            self._add_violation(
                1,
                at,
                f"exchange {exchange} sent an attempt for {leg.calling_number} but received no such call",
            )
        elif accepted.ended and self._earliest_arrival(at) - accepted.ended_at > 2 * TIMESTAMP_TOLERANCE_MS:
            self._add_violation(
                1, at, f"exchange {exchange} sent an attempt for {leg.calling_number} after its final answer"
            )
        if still_open:
            self._add_violation(2, at, f"exchange {exchange} has two open attempts for {leg.calling_number}")
        uncertain_since = self.maybe_executed_at.get((exchange, leg.calling_number))
        if (
            uncertain_since is not None
            and at - uncertain_since < self.config.release - TIMESTAMP_TOLERANCE_MS
        ):
            self._add_violation(
                5,
                at,
                f"exchange {exchange} repeated the attempt for {leg.calling_number} "
                f"after {at - uncertain_since:.0f} ms",
            )
        unavailable_since = self.unavailable_since.get((exchange, leg.target))
        if (
            unavailable_since is not None
            and at - unavailable_since > self.config.drain_grace + 2 * TIMESTAMP_TOLERANCE_MS
        ):
            self._add_violation(
                3,
                at,
                f"exchange {exchange} sent an attempt to exchange {leg.target} "
                f"{at - unavailable_since:.0f} ms after it became unavailable",
            )
        self.open_attempts[exchange, leg.calling_number] = [*still_open, leg]
        accepted_from_callers = accepted is not None and accepted.source in self.config.callers
        self.result.counts["attempts of origins"] += (
            accepted_from_callers and leg.target in self.config.exchanges
        )

    def _on_answer(self, record: Record, message: IsupMessage) -> None:
        leg = self._legs_between(record).get(message.cic)
        if leg is None or leg.source != record.target or (leg.ended and leg.released_by != record.source):
            return
        if record.source in self.config.exchanges:
            if leg.released_at and leg.released_by == record.source:
                self._add_violation(
                    1,
                    record.at,
                    f"exchange {record.source} answered the call of {leg.calling_number} after its REL",
                )
            elif message.type in (isup.ACM, isup.CON) and leg.established_at and not leg.released_at:
                self._add_violation(
                    1, record.at, f"exchange {record.source} answered the call of {leg.calling_number} twice"
                )
            elif not leg.established_at:
                self._check_answer_time(leg, record)
        if not leg.released_at:
            leg.established_at = leg.established_at or record.at

    def _check_answer_time(self, leg: Leg, record: Record) -> None:
        late = (
            self._earliest_arrival(record.at)
            - leg.answer_due_at
            - self.config.answer_grace
            - TIMESTAMP_TOLERANCE_MS
        )
        if late > 0 and not leg.released_at and not self._was_suspended(record.source, record.at):
            self._add_violation(
                1, record.at, f"exchange {record.source}: {leg.calling_number} {late:.0f} ms late"
            )

    def _on_rel(self, record: Record, message: IsupMessage) -> None:
        leg = self._legs_between(record).get(message.cic)
        if leg is None or leg.ended or leg.released_at:
            return
        if record.source == leg.target and not leg.established_at and record.source in self.config.exchanges:
            self._check_answer_time(leg, record)
        leg.released_at, leg.released_by = record.at, record.source
        leg.cause, _ = isup.decode_cause(message.parameters[isup.CAUSE_INDICATORS])
        if record.source == leg.target and leg.target in self.config.exchanges:
            leg.ended, leg.ended_at = True, record.at  # the final answer
        self._note_maybe_executed(leg, record.at, record.source)

    def _note_maybe_executed(self, leg: Leg, at: float, released_by: int) -> None:
        """Records an attempt that timed out, was cancelled or failed, but may have been executed."""
        if leg.source not in self.config.exchanges or leg.established_at:
            return
        if released_by == leg.source or leg.cause in (causes.TIMER_EXPIRY, causes.TEMPORARY_FAILURE):
            self.maybe_executed_at[leg.source, leg.calling_number] = at

    def _on_rlc(self, record: Record, message: IsupMessage) -> None:
        leg = self._legs_between(record).get(message.cic)
        if leg is None:
            return
        if leg.released_at and record.source != leg.released_by:
            leg.ended, leg.ended_at = True, leg.ended_at or record.at
        elif not leg.released_at and record.source == leg.source:
            # The RLC acknowledges an earlier release that crossed the IAM: the new call ended with it.
            self._end_leg(leg, record.at)

    def _end_leg(self, leg: Leg, at: float) -> None:
        leg.ended, leg.ended_at = True, leg.ended_at or at
        leg.released_at = leg.released_at or at

    def _on_ucic(self, record: Record, message: IsupMessage) -> None:
        leg = self._legs_between(record).get(message.cic)
        if leg is not None:
            self._end_leg(leg, record.at)

    def _on_reset(self, record: Record, message: IsupMessage) -> None:
        count = 1
        if message.type == isup.GRS:
            count, _ = isup.decode_range_status(message.parameters[isup.RANGE_STATUS])
        legs = self._legs_between(record)
        for cic in range(message.cic, message.cic + count):
            self._cut_leg(legs.get(cic), record.at)

    def _cut_leg(self, leg: Leg | None, at: float) -> None:
        if leg is None or leg.ended:
            return
        if not leg.established_at and not leg.released_at and leg.source in self.config.exchanges:
            self.maybe_executed_at[leg.source, leg.calling_number] = at
        self._end_leg(leg, at)

    # -- links, exchange list, processors

    def _on_link_change(self, record: Record) -> None:
        if record.kind == tap.LINK_DOWN:
            for leg in self._legs_between(record).values():
                self._cut_leg(leg, record.at)
        elif record.source in self.config.list_services:
            for key in [key for key in self.unavailable_since if key[0] == record.target]:
                del self.unavailable_since[key]

    def _on_list_update(self, record: Record, message: m3ua.Message) -> None:
        if record.source not in self.config.list_services or message.kind not in (
            m3ua.DAVA,
            m3ua.DRST,
            m3ua.DUNA,
        ):
            return
        words = dict(part.split("=") for part in message.info_string().split())
        version = int(words.get("v", 0))
        for _, code in message.affected_point_codes():
            if version < self.list_versions.get((record.target, code), 0):
                continue  # an older update that arrived later
            self.list_versions[record.target, code] = version
            if message.kind == m3ua.DAVA:
                self.unavailable_since.pop((record.target, code), None)
                if int(words.get("start", 0)):
                    self.processor_started_at[code] = record.at - int(words["age"])
            else:
                self.unavailable_since.setdefault((record.target, code), record.at)

    def _check_cold_overload(self, at: float, exchange: int) -> None:
        """Compares the set-ups in a sliding window with the capacity of a cold processor (rule 4)."""
        started_at = self.processor_started_at.get(exchange)
        if started_at is None or at - started_at >= self.config.warm_after:
            return
        recent = self.recent_setups[exchange]
        recent.append(at)
        while at - recent[0] > self.config.overload_for:
            recent.popleft()
        capacity_share = self.config.cold_share + (1 - self.config.cold_share) * max(
            0.0, (at - started_at) / self.config.warm_after
        )
        max_setups = (
            self.config.overload_factor * capacity_share * self.config.overload_for / self.config.setup_time
            + self.config.setup_slack
        )
        if len(recent) > max_setups:
            self._add_violation(
                4,
                at,
                f"{len(recent)} set-ups reached cold exchange {exchange}; the limit is {max_setups:.0f}",
            )
            recent.clear()


def _keeps_circuit(existing: Leg, cics: tuple[int, ...], existing_source: int, other_side: int) -> bool:
    """Whether the existing call wins a dual seizure: the wider call, otherwise as in Q.764, 2.9.1.4."""
    if len(existing.cics) != len(cics):
        return len(existing.cics) > len(cics)
    circuit_index = min(*existing.cics, *cics) // len(cics)
    return circuit_index % 2 == (0 if existing_source > other_side else 1)
