"""Simulated list service: an M3UA signalling gateway that sends the exchange list.

Changes go out as DAVA, DRST or DUNA with versions; a DAUD is answered with the whole list.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

import numpy as np

from ospreybridge.core.association import Association
from ospreybridge.core.exchange_list import format_info
from ospreybridge.net.loop import EventLoop
from ospreybridge.signalling import m3ua
from ospreybridge.standins.endpoint import Endpoint, EndpointConfig


@dataclass(frozen=True, slots=True)
class ListEntry:
    """State of one exchange; `kind` is the M3UA message that announces it."""

    point_code: int
    kind: tuple[int, int] = m3ua.DAVA
    start_number: int = 0  # counts processor starts over all exchanges; 0: not restarted since the list began
    started_at: float = 0.0  # ms on the clock of the loop
    version: int = 1


class ListService:
    """The exchange list. An update reaches each subscriber after a delay drawn from `delay_range_ms`."""

    def __init__(
        self, loop: EventLoop, point_codes: list[int], delay_range_ms: tuple[float, float], seed: int
    ) -> None:
        self.loop, self.delay_range_ms, self.random = loop, delay_range_ms, np.random.default_rng(seed)
        self.entries = {code: ListEntry(code) for code in point_codes}
        self.version, self.start_count = 1, 0
        self.subscribers: list[ListLink] = []
        self.frozen = False  # no updates are sent, and audits are answered from `frozen_entries`
        self.frozen_entries: dict[int, ListEntry] = {}

    def update(self, point_code: int, kind: tuple[int, int], started: bool = False) -> None:
        """Sets an exchange's state; `started` says that its processor was restarted just now."""
        self.version += 1
        old = self.entries[point_code]
        entry = replace(old, kind=kind, version=self.version)
        if started:
            self.start_count += 1
            entry = replace(entry, start_number=self.start_count, started_at=self.loop.now)
        self.entries[point_code] = entry
        if not self.frozen:
            for link in self.subscribers:
                delay = float(self.random.uniform(*self.delay_range_ms))
                self.loop.timers.schedule(self.loop.now + delay, link.send_entry, entry)

    def set_frozen(self, on: bool) -> None:
        """Stops updates, as a service that hangs; when it ends, every subscriber gets the whole list."""
        if on:
            self.frozen_entries = dict(self.entries)
        self.frozen = on
        if not on:
            for link in self.subscribers:
                link.send_full_list()

    def visible_entries(self) -> dict[int, ListEntry]:
        """Returns the entries that audits are answered from."""
        return self.frozen_entries if self.frozen else self.entries


class ListLink(Endpoint):
    """The list service's association to one call server."""

    def __init__(
        self,
        config: EndpointConfig,
        service: ListService,
    ) -> None:
        self.service = service
        service.subscribers.append(self)
        super().__init__(config)

    def send_entry(self, now: float, entry: ListEntry, list_size: int = 0) -> None:
        """Sends one entry; `list_size` is the number of entries if it is part of the whole list, else 0."""
        if self.up and self.association is not None:
            age_ms = int(now - entry.started_at) if entry.start_number else 0
            version = self.service.version if list_size else entry.version
            info = format_info(version, entry.start_number, age_ms, list_size)
            self.association.send(
                m3ua.encode_ssnm(entry.kind, self.call_server.routing_context, 0, entry.point_code, info)
            )

    def send_full_list(self) -> None:
        """Sends every entry, as after an audit."""
        entries = self.service.visible_entries()
        for entry in entries.values():
            self.send_entry(self.loop.now, entry, len(entries))

    def message_received(self, association: Association, message: m3ua.Message) -> None:
        if message.kind == m3ua.DAUD:
            self.send_full_list()
        else:
            super().message_received(association, message)
