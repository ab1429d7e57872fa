"""The five rules, judged from the frames that passed between processes, and from nothing else.

A call is known at an exchange by its calling number, which the day gives to one wish only. What a call server
has heard is taken from what it says afterwards (its RLC to a REL), since frames cross on their way.
"""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field

from ospreybridge.lab import tap
from ospreybridge.lab.tap import Record
from ospreybridge.signalling import causes, isup, m3ua
from ospreybridge.signalling.errors import MessageError
from ospreybridge.signalling.isup import IsupMessage

SKEW = 25.0  # ms between the clocks' readings of two relay processes, and a relay's own delay under load
SLOT = 10.0  # ms, the shortest turn of a relay that is written down


@dataclass(frozen=True, slots=True)
class Facts:
    """What the day itself knows: who is who, and the figures of the rules, in milliseconds."""

    exchanges: frozenset[int]
    offices: dict[int, int]  # office: its exchange
    callers: frozenset[int]
    lists: frozenset[int]
    deadline: float
    answer_grace: float
    drain_grace: float
    release: float
    overload_factor: float
    overload_for: float
    cold_share: float
    warm_after: float
    setup: float  # ms of a warm processor for one set-up
    slack: float = 6.0
    asleep: tuple[tuple[int, float, float], ...] = ()  # exchange, from, to: a process that was stopped


@dataclass(slots=True)
class Leg:
    """A call on one circuit, from the side that seized it to the other."""

    source: int
    target: int
    cic: int
    calling: str
    began: float
    cics: tuple[int, ...]
    due: float = 0.0
    stood: float = 0.0
    answered: float = 0.0
    released: float = 0.0  # first REL of either side
    by: int = 0
    cause: int = 0
    over: bool = False
    ended: float = 0.0  # both sides know it: RLC, or a final answer


@dataclass(slots=True)
class Verdict:
    broken: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    unreadable: int = 0
    rules: Counter[int] = field(default_factory=Counter)


class Checker:
    def __init__(self, facts: Facts) -> None:
        self.f = facts
        self.verdict = Verdict()
        # pair of point codes: circuit: the call on it
        self.on: dict[tuple[int, int], dict[int, Leg]] = defaultdict(dict)
        self.into: dict[tuple[int, str], Leg] = {}  # exchange and calling number: the accepted call
        self.outof: dict[tuple[int, str], list[Leg]] = defaultdict(list)  # the attempts that are out
        self.doubt: dict[tuple[int, str], float] = {}  # last timed out, reset or cancelled attempt
        self.barred: dict[tuple[int, int], float] = {}  # server and exchange: told that it takes nothing new
        self.busy: dict[int, float] = {}  # by slots of time: since when some relay was busy
        self.versions: dict[tuple[int, int], int] = {}  # newest news of the list by server and exchange
        self.began: dict[int, float] = {}  # exchange: start of its processor, as the list told it
        self.arrived: dict[int, deque[float]] = defaultdict(deque)
        self.decoders = {
            isup.IAM: self._iam,
            isup.ACM: self._stands,
            isup.CON: self._stands,
            isup.ANM: self._stands,
            isup.REL: self._rel,
            isup.RLC: self._rlc,
            isup.RSC: self._reset,
            isup.GRS: self._reset,
            isup.UCIC: self._lost,
        }

    def check(self, records: list[Record]) -> Verdict:
        """Judges records in the order of their time."""
        last = 0.0
        for record in records:
            if record.kind == tap.BUSY:
                begun = tap.STAMP.unpack(record.frame)[0]
                # What came in this turn is read in the next one, which may take as long again.
                for slot in range(int(begun // SLOT), int((2 * record.at - begun) // SLOT) + 1):
                    self.busy[slot] = min(begun, self.busy.get(slot, begun))
        for record in records:
            last = record.at
            if record.kind == tap.BUSY:
                continue
            if record.kind in (tap.UP, tap.DOWN):
                self._link(record)
                continue
            try:
                message = m3ua.decode(record.frame)
                if not isinstance(message, m3ua.Data):
                    self._state(record, message)
                elif message.si == m3ua.SI_ISUP:
                    decoded = isup.decode(message.body)
                    self.verdict.counts[decoded.name] += 1
                    handler = self.decoders.get(decoded.type)
                    if handler is not None:
                        handler(record, decoded)
            except MessageError:
                self.verdict.unreadable += 1
        for leg in self.into.values():
            if not leg.over and not leg.stood and not leg.released and leg.due + self.f.answer_grace < last:
                self._break(1, leg.due, f"exchange {leg.target} never answered the call of {leg.calling}")
        return self.verdict

    def _break(self, rule: int, at: float, text: str) -> None:
        self.verdict.rules[rule] += 1
        self.verdict.broken.append(f"rule {rule} at {at:.1f} ms: {text}")

    def _asleep(self, exchange: int, at: float) -> bool:
        return any(x == exchange and begin <= at <= end + 1_000 for x, begin, end in self.f.asleep)

    def _group(self, record: Record) -> dict[int, Leg]:
        return self.on[min(record.source, record.target), max(record.source, record.target)]

    # -- a call's messages

    def _earliest(self, at: float) -> float:
        """When a frame may have arrived that a relay read at `at`, since it was busy itself until then."""
        return min(at, self.busy.get(int(at // SLOT), at))

    def _circuits(self, message: IsupMessage) -> tuple[int, ...]:
        if message.parameters[isup.MEDIUM_REQUIREMENT] != bytes((isup.TWO_TIMES_64,)):
            return (message.cic,)
        if isup.CIRCUIT_ASSIGNMENT_MAP in message.parameters:
            return isup.decode_circuit_map(message.cic, message.parameters[isup.CIRCUIT_ASSIGNMENT_MAP])
        return (message.cic, message.cic + 1)

    def _iam(self, record: Record, message: IsupMessage) -> None:
        at, source, target = record.at, record.source, record.target
        calling = isup.decode_calling_number(message.parameters.get(isup.CALLING_NUMBER, b"\0\0"))
        cics = self._circuits(message)
        group = self._group(record)
        on = [group.get(cic) for cic in cics]
        met = {id(leg): leg for leg in on if leg is not None and not leg.over and not leg.stood}
        met = {key: leg for key, leg in met.items() if leg.source == target and not leg.released}
        self.verdict.counts["dual seizures"] += bool(met)
        if any(_goes_on(leg, cics, target, source) for leg in met.values()):
            return  # this IAM is ignored by the far end; its own sender drops it when it sees the other
        for leg in met.values():
            self._over(leg, at)
        leg = Leg(source, target, message.cic, calling, at, cics)
        for cic in cics:
            group[cic] = leg
        left = isup.decode_user_words(message.parameters.get(isup.USER_TO_USER)).get("left", 0)
        leg.due = at + min(left or self.f.deadline, self.f.deadline)
        if target in self.f.exchanges:
            self.into[target, calling] = leg
            self.doubt.pop((target, calling), None)
        if source in self.f.exchanges:
            self._attempt(leg)
        if target in self.f.offices:
            self._arrival(at, self.f.offices[target])

    def _attempt(self, leg: Leg) -> None:
        server, at = leg.source, leg.began
        accepted = self.into.get((server, leg.calling))
        out = [other for other in self.outof[server, leg.calling] if not other.over and not other.released]
        if accepted is None:
            self._break(
                1, at, f"exchange {server} sent an attempt for {leg.calling}, a call it was not given"
            )
        elif accepted.over and self._earliest(at) - accepted.ended > 2 * SKEW:
            self._break(1, at, f"exchange {server} sent an attempt for {leg.calling} after its final answer")
        if out:
            self._break(2, at, f"exchange {server} has two attempts out for {leg.calling}")
        since = self.doubt.get((server, leg.calling))
        if since is not None and at - since < self.f.release - SKEW:
            self._break(5, at, f"exchange {server} sent {leg.calling} again after {at - since:.0f} ms")
        told = self.barred.get((server, leg.target))
        if told is not None and at - told > self.f.drain_grace + 2 * SKEW:
            self._break(3, at, f"exchange {server} sent to {leg.target} {at - told:.0f} ms after its drain")
        self.outof[server, leg.calling] = [*out, leg]
        accepted_from_callers = accepted is not None and accepted.source in self.f.callers
        self.verdict.counts["attempts of origins"] += accepted_from_callers and leg.target in self.f.exchanges

    def _stands(self, record: Record, message: IsupMessage) -> None:
        leg = self._group(record).get(message.cic)
        if leg is None or leg.source != record.target or (leg.over and leg.by != record.source):
            return
        if record.source in self.f.exchanges:
            if leg.released and leg.by == record.source:
                self._break(1, record.at, f"exchange {record.source} answered {leg.calling} after its REL")
            elif message.type in (isup.ACM, isup.CON) and leg.stood and not leg.released:
                self._break(1, record.at, f"exchange {record.source} answered {leg.calling} twice")
            elif not leg.stood:
                self._in_time(leg, record)
        if not leg.released:
            leg.stood = leg.stood or record.at

    def _in_time(self, leg: Leg, record: Record) -> None:
        late = self._earliest(record.at) - leg.due - self.f.answer_grace - SKEW
        if late > 0 and not leg.released and not self._asleep(record.source, record.at):
            self._break(1, record.at, f"exchange {record.source}: {leg.calling} {late:.0f} ms late")

    def _rel(self, record: Record, message: IsupMessage) -> None:
        leg = self._group(record).get(message.cic)
        if leg is None or leg.over or leg.released:
            return
        if record.source == leg.target and not leg.stood and record.source in self.f.exchanges:
            self._in_time(leg, record)
        leg.released, leg.by = record.at, record.source
        leg.cause, _ = isup.decode_cause(message.parameters[isup.CAUSE_INDICATORS])
        if record.source == leg.target and leg.target in self.f.exchanges:
            leg.over, leg.ended = True, record.at  # the final answer
        self._in_doubt(leg, record.at, record.source)

    def _in_doubt(self, leg: Leg, at: float, by: int) -> None:
        """An attempt timed out, was cancelled, or ended in a way that may have left something taken."""
        if leg.source not in self.f.exchanges or leg.stood:
            return
        if by == leg.source or leg.cause in (causes.TIMER_EXPIRY, causes.TEMPORARY_FAILURE):
            self.doubt[leg.source, leg.calling] = at

    def _rlc(self, record: Record, message: IsupMessage) -> None:
        leg = self._group(record).get(message.cic)
        if leg is None:
            return
        if leg.released and record.source != leg.by:
            leg.over, leg.ended = True, leg.ended or record.at
        elif not leg.released and record.source == leg.source:
            # It acknowledges a release on its way as it seized the circuit: its call ended with it.
            self._over(leg, record.at)

    def _over(self, leg: Leg, at: float) -> None:
        leg.over, leg.ended = True, leg.ended or at
        leg.released = leg.released or at

    def _lost(self, record: Record, message: IsupMessage) -> None:
        leg = self._group(record).get(message.cic)
        if leg is not None:
            self._over(leg, record.at)

    def _reset(self, record: Record, message: IsupMessage) -> None:
        count = 1
        if message.type == isup.GRS:
            count, _ = isup.decode_range_status(message.parameters[isup.RANGE_STATUS])
        group = self._group(record)
        for cic in range(message.cic, message.cic + count):
            self._cut(group.get(cic), record.at)

    def _cut(self, leg: Leg | None, at: float) -> None:
        if leg is None or leg.over:
            return
        if not leg.stood and not leg.released and leg.source in self.f.exchanges:
            self.doubt[leg.source, leg.calling] = at
        self._over(leg, at)

    # -- links, the list, processors

    def _link(self, record: Record) -> None:
        if record.kind == tap.DOWN:
            for leg in self._group(record).values():
                self._cut(leg, record.at)
        elif record.source in self.f.lists:
            for key in [key for key in self.barred if key[0] == record.target]:
                del self.barred[key]

    def _state(self, record: Record, message: m3ua.Message) -> None:
        if record.source not in self.f.lists or message.kind not in (m3ua.DAVA, m3ua.DRST, m3ua.DUNA):
            return
        words = dict(part.split("=") for part in message.info_string().split())
        version = int(words.get("v", 0))
        for _, code in message.affected_point_codes():
            if version < self.versions.get((record.target, code), 0):
                continue  # older news that came later
            self.versions[record.target, code] = version
            if message.kind == m3ua.DAVA:
                self.barred.pop((record.target, code), None)
                if int(words.get("start", 0)):
                    self.began[code] = record.at - int(words["age"])
            else:
                self.barred.setdefault((record.target, code), record.at)

    def _arrival(self, at: float, exchange: int) -> None:
        """Set-ups that reach a cold processor, in a sliding window, against what it can do by then."""
        began = self.began.get(exchange)
        if began is None or at - began >= self.f.warm_after:
            return
        recent = self.arrived[exchange]
        recent.append(at)
        while at - recent[0] > self.f.overload_for:
            recent.popleft()
        share = self.f.cold_share + (1 - self.f.cold_share) * max(0.0, (at - began) / self.f.warm_after)
        bears = self.f.overload_factor * share * self.f.overload_for / self.f.setup + self.f.slack
        if len(recent) > bears:
            self._break(
                4, at, f"{len(recent)} set-ups reached cold exchange {exchange}; it bears {bears:.0f}"
            )
            recent.clear()


def _goes_on(held: Leg, cics: tuple[int, ...], holder: int, other: int) -> bool:
    """Whether the call already on a circuit wins a dual seizure: the wider one, else by Q.764, 2.9.1.4."""
    if len(held.cics) != len(cics):
        return len(held.cics) > len(cics)
    place = min(*held.cics, *cics) // len(cics)
    return place % 2 == (0 if holder > other else 1)
