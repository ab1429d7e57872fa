"""The office list as the journal service tells it: who is there, where, in which state, and since when.

Events are numbered; old ones are ignored. What the module is told is made here, and so is which calls are
over because their office is another one now.
"""

from __future__ import annotations

from dataclasses import dataclass

from ospreybridge import interface as i
from ospreybridge.signalling import frames
from ospreybridge.signalling.errors import FrameError

READINESS = {
    frames.READY: i.Readiness.READY,
    frames.DRAINING: i.Readiness.DRAINING,
    frames.REMOVED: i.Readiness.GONE,
}
THOUSANDTHS = 1_000.0
Address = tuple[str, int]


@dataclass(slots=True)
class Office:
    id: int
    cell: int
    address: Address
    readiness: i.Readiness
    started: float  # ms of the loop's clock, 0: long ago
    told: float  # since when it is known to drain or to be gone


class Offices:
    def __init__(self, zones: int, kinds: int, unix: float) -> None:
        """`unix`: Unix milliseconds at zero of the clock that the events' times are turned to."""
        self.zones, self.kinds, self.unix = zones, kinds, unix
        self.last = 0  # number of the last event
        self.known: dict[int, Office] = {}

    def news(self, now: float, frame: frames.Frame) -> i.Members | None:
        """What an event means to the module; None for nothing new; FrameError where it can't be meant."""
        if frame.kind == frames.NO_CHANGES or frame.number <= self.last:
            return None
        if frame.kind == frames.CHANGES and frame.number != self.last + 1:
            raise FrameError(f"event {frame.number} after {self.last}")
        for r in frame.records:
            if r.state != frames.REMOVED and (r.zone >= self.zones or r.kind >= self.kinds or not r.port):
                raise FrameError(f"office {frames.office_name(r.id)} has no zone, kind or port")
        entries = tuple(self._entry(now, record) for record in frame.records)
        self.last = frame.number
        if frame.kind == frames.FULL_LIST:
            listed = {entry.office for entry in entries}
            for office in self.known.values():
                if office.id not in listed:
                    self._state(now, office, i.Readiness.GONE)
        form = i.ListForm.FULL if frame.kind == frames.FULL_LIST else i.ListForm.DELTA
        return i.Members(form, frame.number, entries)

    def _entry(self, now: float, r: frames.OfficeRecord) -> i.Entry:
        started = max(0.001, r.started_unix_ms - self.unix) if r.started_unix_ms else 0.0
        office = self.known.get(r.id)
        if office is None:
            office = self.known[r.id] = Office(
                r.id, r.cell, (r.address, r.port), i.Readiness.READY, started, 0.0
            )
        if r.state != frames.REMOVED:
            office.cell, office.address, office.started = r.cell, (r.address, r.port), started
        self._state(now, office, READINESS[r.state])
        weight = r.weight / THOUSANDTHS
        return i.Entry(r.id, office.cell, r.zone, office.readiness, office.started, r.kind, weight)

    def _state(self, now: float, office: Office, readiness: i.Readiness) -> None:
        if office.readiness is not readiness:
            office.readiness, office.told = readiness, now

    def barred(self, now: float, office: int, grace: float) -> bool:
        """Whether nothing new may go there: unknown, or told for longer than the grace that it drains."""
        found = self.known.get(office)
        return found is None or (found.readiness is not i.Readiness.READY and now - found.told >= grace)

    def forget(self, office: int) -> None:
        self.known.pop(office, None)
