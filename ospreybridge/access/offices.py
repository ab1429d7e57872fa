"""The office list as the journal service tells it: who is there, where, in which state, and since when.

Events are numbered; old ones are ignored. What the module is told is made here, and so is which calls are
over because their office is another one now.
"""

from __future__ import annotations

from dataclasses import dataclass

from ospreybridge import interface
from ospreybridge.signalling import frames
from ospreybridge.signalling.errors import FrameError

READINESS_BY_STATE = {
    frames.READY: interface.Readiness.READY,
    frames.DRAINING: interface.Readiness.DRAINING,
    frames.REMOVED: interface.Readiness.GONE,
}
WEIGHT_SCALE = 1_000.0
Address = tuple[str, int]


@dataclass(slots=True)
class Office:
    id: int
    cell: int
    address: Address
    readiness: interface.Readiness
    started_at: float  # ms of the loop's clock, 0: long ago
    readiness_since: float  # since when it is known to drain or to be gone


class OfficeList:
    def __init__(self, zone_count: int, kind_count: int, unix_offset_ms: float) -> None:
        """`unix`: Unix milliseconds at zero of the clock that the events' times are turned to."""
        self.zone_count, self.kind_count, self.unix_offset_ms = zone_count, kind_count, unix_offset_ms
        self.last_number = 0  # number of the last event
        self.by_id: dict[int, Office] = {}

    def apply(self, now: float, frame: frames.Frame) -> interface.Members | None:
        """What an event means to the module; None for nothing new; FrameError where it can't be meant."""
        if frame.kind == frames.NO_CHANGES or frame.number <= self.last_number:
            return None
        if frame.kind == frames.CHANGES and frame.number != self.last_number + 1:
            raise FrameError(f"event {frame.number} after {self.last_number}")
        for r in frame.records:
            if r.state != frames.REMOVED and (
                r.zone >= self.zone_count or r.kind >= self.kind_count or not r.port
            ):
                raise FrameError(f"office {frames.office_name(r.id)} has no zone, kind or port")
        entries = tuple(self._apply_record(now, record) for record in frame.records)
        self.last_number = frame.number
        if frame.kind == frames.FULL_LIST:
            listed = {entry.office for entry in entries}
            for office in self.by_id.values():
                if office.id not in listed:
                    self._set_readiness(now, office, interface.Readiness.GONE)
        form = interface.ListForm.FULL if frame.kind == frames.FULL_LIST else interface.ListForm.DELTA
        return interface.Members(form, frame.number, entries)

    def _apply_record(self, now: float, r: frames.OfficeRecord) -> interface.Entry:
        started = max(0.001, r.started_unix_ms - self.unix_offset_ms) if r.started_unix_ms else 0.0
        office = self.by_id.get(r.id)
        if office is None:
            office = self.by_id[r.id] = Office(
                r.id, r.cell, (r.address, r.port), interface.Readiness.READY, started, 0.0
            )
        if r.state != frames.REMOVED:
            office.cell, office.address, office.started_at = r.cell, (r.address, r.port), started
        self._set_readiness(now, office, READINESS_BY_STATE[r.state])
        weight = r.weight / WEIGHT_SCALE
        return interface.Entry(r.id, office.cell, r.zone, office.readiness, office.started_at, r.kind, weight)

    def _set_readiness(self, now: float, office: Office, readiness: interface.Readiness) -> None:
        if office.readiness is not readiness:
            office.readiness, office.readiness_since = readiness, now

    def is_barred(self, now: float, office: int, grace: float) -> bool:
        """Whether nothing new may go there: unknown, or told for longer than the grace that it drains."""
        found = self.by_id.get(office)
        return found is None or (
            found.readiness is not interface.Readiness.READY and now - found.readiness_since >= grace
        )

    def forget(self, office: int) -> None:
        self.by_id.pop(office, None)
