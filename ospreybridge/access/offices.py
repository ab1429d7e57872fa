"""The office list from the journal service: address, cell, readiness and start time of each office.

Events are numbered, and old ones are ignored. Each event is translated into the controller's form; from the
start times the server recognizes that an office was restarted and its calls are lost.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from ospreybridge import interface
from ospreybridge.signalling import frames
from ospreybridge.signalling.errors import FrameError

READINESS_BY_STATE = {
    frames.READY: interface.Readiness.READY,
    frames.DRAINING: interface.Readiness.DRAINING,
    frames.REMOVED: interface.Readiness.GONE,
}
WEIGHT_SCALE = 1_000.0  # frames carry weights in thousandths
Address = tuple[str, int]


@dataclass(slots=True)
class Office:
    """One office of the list."""

    id: int
    cell: int
    address: Address
    readiness: interface.Readiness
    started_at: float  # milliseconds of the loop's clock; 0: long ago
    readiness_since: float  # when the present readiness was learnt
    process_since: float = -math.inf  # set-ups sent before went to an earlier process than the present one
    process_known_since: float = -math.inf  # when the list told of the present process


class OfficeList:
    """The offices known, and the number of the last event applied."""

    def __init__(self, zone_count: int, kind_count: int, unix_offset_ms: float) -> None:
        """`unix_offset_ms`: Unix time at zero of the clock that start times are converted to."""
        self.zone_count, self.kind_count, self.unix_offset_ms = zone_count, kind_count, unix_offset_ms
        self.last_number = 0
        self.by_id: dict[int, Office] = {}
        self._holders: dict[Address, int] = {}  # the office that has an address now

    def apply(self, now: float, frame: frames.Frame) -> interface.Members | None:
        """The event for the controller; None if it holds nothing new; FrameError if invalid."""
        if frame.kind == frames.NO_CHANGES or frame.number <= self.last_number:
            return None
        if frame.kind == frames.CHANGES and frame.number != self.last_number + 1:
            raise FrameError(f"event {frame.number} after {self.last_number}")
        for record in frame.records:
            if record.state != frames.REMOVED and (
                record.zone >= self.zone_count or record.kind >= self.kind_count or not record.port
            ):
                raise FrameError(f"office {frames.office_name(record.id)} has no zone, kind or port")
        entries = {record.id: self._apply_record(now, record) for record in frame.records}
        self.last_number = frame.number
        if frame.kind == frames.FULL_LIST:
            for office in self.by_id.values():
                if office.id not in entries:
                    self._set_readiness(now, office, interface.Readiness.GONE)
        for office in self._replaced_offices(frame.records):
            self._set_readiness(now, office, interface.Readiness.GONE)
            entries[office.id] = interface.Entry(office.id, office.cell, 0, office.readiness)
        self._holders = {
            office.address: office.id
            for office in self.by_id.values()
            if office.readiness is not interface.Readiness.GONE
        }
        form = interface.ListForm.FULL if frame.kind == frames.FULL_LIST else interface.ListForm.DELTA
        return interface.Members(form, frame.number, tuple(entries.values()))

    def _replaced_offices(self, records: tuple[frames.OfficeRecord, ...]) -> list[Office]:
        """Offices whose address another one has by these records: their process has gone, told or not."""
        holders = {
            (record.address, record.port): record.id for record in records if record.state != frames.REMOVED
        }
        return [
            office
            for office in self.by_id.values()
            if office.readiness is not interface.Readiness.GONE
            and holders.get(office.address, office.id) != office.id
        ]

    def has_lost_address(self, office_id: int) -> bool:
        """Whether another office has the address now: whatever answers there is not this office."""
        office = self.by_id.get(office_id)
        return office is not None and self._holders.get(office.address, office_id) != office_id

    def _apply_record(self, now: float, record: frames.OfficeRecord) -> interface.Entry:
        """Updates one office; a removed one keeps its cell and address."""
        started_at = (
            max(0.001, record.started_unix_ms - self.unix_offset_ms) if record.started_unix_ms else 0.0
        )
        office = self.by_id.get(record.id)
        if office is None:
            address = (record.address, record.port)
            office = Office(record.id, record.cell, address, interface.Readiness.READY, 0.0, 0.0)
            self.by_id[record.id] = office
        if record.state != frames.REMOVED:
            office.cell, office.address = record.cell, (record.address, record.port)
            if started_at != office.started_at:
                self._set_process(now, office, started_at)
        self._set_readiness(now, office, READINESS_BY_STATE[record.state])
        weight = record.weight / WEIGHT_SCALE
        return interface.Entry(
            record.id, office.cell, record.zone, office.readiness, office.started_at, record.kind, weight
        )

    def _set_process(self, now: float, office: Office, started_at: float) -> None:
        """Records the start of an office's present process."""
        office.started_at, office.process_known_since = started_at, now
        # A start that seems to lie ahead, as clocks differ, is not later than the news of it.
        office.process_since = min(started_at, now)

    def _set_readiness(self, now: float, office: Office, readiness: interface.Readiness) -> None:
        if office.readiness is not readiness:
            office.readiness, office.readiness_since = readiness, now

    def is_barred(self, now: float, office_id: int, grace: float) -> bool:
        """Whether an office gets no new set-ups: unknown, replaced, or not ready for `grace` milliseconds."""
        office = self.by_id.get(office_id)
        if office is None or self.has_lost_address(office_id):
            return True
        return office.readiness is not interface.Readiness.READY and now - office.readiness_since >= grace

    def forget(self, office_id: int) -> None:
        """Drops an office that nothing refers to any more."""
        self.by_id.pop(office_id, None)
