"""The centre: hears the free circuits of each exchange's groups and advises a tandem by destination, late."""

from __future__ import annotations

from ospreybridge.net.loop import EventLoop
from ospreybridge.signalling import m3ua, sccp
from ospreybridge.standins.endpoint import Endpoint, Place


class TheCentre:
    """Free circuits as last reported, by exchange and far exchange; advice is worked out each `every` ms."""

    def __init__(self, loop: EventLoop, every: float) -> None:
        self.loop, self.every = loop, every
        self.free: dict[int, dict[int, int]] = {}
        self.links: list[CentreLink] = []
        loop.timers.schedule(loop.now + every, self._advise)

    def best(self, origin: int, dest: int) -> int:
        """The tandem whose narrower leg has the most free circuits; 255 where there is none."""
        mine = self.free.get(origin, {})
        rooms = {
            tandem: min(room, self.free.get(tandem, {}).get(dest, 0))
            for tandem, room in mine.items()
            if tandem != dest
        }
        tandem = max(rooms, key=lambda number: rooms[number], default=255)
        return tandem if rooms.get(tandem) else 255

    def _advise(self, now: float) -> None:
        self.loop.timers.schedule(now + self.every, self._advise)
        for link in self.links:
            for at in range(0, len(self.free), 120):
                dests = sorted(self.free)[at : at + 120]
                pairs = [bytes((d & 255, self.best(link.number, d) & 255)) for d in dests if d != link.number]
                if pairs:
                    link.unitdata(b"".join(pairs))


class CentreLink(Endpoint):
    def __init__(
        self,
        place: Place,
        centre: TheCentre,
        number: int,
    ) -> None:
        self.centre, self.number = centre, number
        centre.links.append(self)
        super().__init__(place)

    def unitdata(self, body: bytes) -> None:
        if self.up and self.association is not None:
            self.association.send_data(m3ua.SI_SCCP, 0, sccp.encode(sccp.CENTRE_SUBSYSTEM, body))

    def unit(self, data: m3ua.Data) -> None:
        _, body = sccp.decode(data.body)
        rows = range(1, len(body) - 2, 3)
        self.centre.free[self.number] = {body[at] | body[at + 1] << 8: body[at + 2] for at in rows}
