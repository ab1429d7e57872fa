"""The exchange list as an M3UA signalling gateway: DAVA, DRST and DUNA with versions; it answers DAUD."""

from __future__ import annotations

from dataclasses import dataclass, replace

import numpy as np

from ospreybridge.core.association import Association
from ospreybridge.core.exchange_list import format_info
from ospreybridge.net.loop import EventLoop
from ospreybridge.signalling import m3ua
from ospreybridge.standins.endpoint import Endpoint, Place


@dataclass(frozen=True, slots=True)
class Item:
    point_code: int
    kind: tuple[int, int] = m3ua.DAVA
    start: int = 0  # which start of its processor; 0: long ago
    began: float = 0.0
    version: int = 1


class TheList:
    """What is listed; its changes reach each subscriber `delay` ms later, drawn for each of them."""

    def __init__(
        self, loop: EventLoop, point_codes: list[int], delay: tuple[float, float], seed: int
    ) -> None:
        self.loop, self.delay, self.random = loop, delay, np.random.default_rng(seed)
        self.items = {code: Item(code) for code in point_codes}
        self.version, self.starts = 1, 0
        self.subscribers: list[ListLink] = []
        self.stale = False  # the service hangs: no news goes out and audits are answered from before
        self.held: dict[int, Item] = {}

    def change(self, point_code: int, kind: tuple[int, int], started: bool = False) -> None:
        self.version += 1
        old = self.items[point_code]
        item = replace(old, kind=kind, version=self.version)
        if started:
            self.starts += 1
            item = replace(item, start=self.starts, began=self.loop.now)
        self.items[point_code] = item
        if not self.stale:
            for link in self.subscribers:
                wait = float(self.random.uniform(*self.delay))
                self.loop.timers.schedule(self.loop.now + wait, link.tell, item)

    def freeze(self, on: bool) -> None:
        if on:
            self.held = dict(self.items)
        self.stale = on
        if not on:
            for link in self.subscribers:
                link.whole()

    def shown(self) -> dict[int, Item]:
        return self.held if self.stale else self.items


class ListLink(Endpoint):
    """The list service's association to one call server."""

    def __init__(
        self,
        place: Place,
        the_list: TheList,
    ) -> None:
        self.list = the_list
        the_list.subscribers.append(self)
        super().__init__(place)

    def tell(self, now: float, item: Item, of: int = 0) -> None:
        if self.up and self.association is not None:
            age = int(now - item.began) if item.start else 0
            version = self.list.version if of else item.version
            info = format_info(version, item.start, age, of)
            self.association.send(
                m3ua.encode_ssnm(item.kind, self.server.routing_context, 0, item.point_code, info)
            )

    def whole(self) -> None:
        items = self.list.shown()
        for item in items.values():
            self.tell(self.loop.now, item, len(items))

    def message_received(self, association: Association, message: m3ua.Message) -> None:
        if message.kind == m3ua.DAUD:
            self.whole()
        else:
            super().message_received(association, message)
