"""Simulated traffic centre.

It receives the free circuits of each exchange's trunk groups and sends each exchange the recommended tandem
per destination. Advice is sent periodically, so it lags behind the reports.
"""

from __future__ import annotations

from ospreybridge.net.loop import EventLoop
from ospreybridge.signalling import m3ua, sccp
from ospreybridge.standins.endpoint import Endpoint, EndpointConfig


class TrafficCentre:
    """Keeps the last reported free circuits by exchange and far exchange, and sends advice periodically."""

    def __init__(self, loop: EventLoop, interval_ms: float) -> None:
        self.loop, self.interval_ms = loop, interval_ms
        self.free_circuits: dict[int, dict[int, int]] = {}
        self.links: list[CentreLink] = []
        loop.timers.schedule(loop.now + interval_ms, self._send_advice)

    def best_tandem(self, origin: int, destination: int) -> int:
        """Returns the tandem whose smaller leg has the most free circuits, or 255 (no advice) if none."""
        first_legs = self.free_circuits.get(origin, {})
        free_via = {
            tandem: min(free, self.free_circuits.get(tandem, {}).get(destination, 0))
            for tandem, free in first_legs.items()
            if tandem != destination
        }
        tandem = max(free_via, key=lambda number: free_via[number], default=255)
        return tandem if free_via.get(tandem) else 255

    def _send_advice(self, now: float) -> None:
        self.loop.timers.schedule(now + self.interval_ms, self._send_advice)
        # Two octets for each destination: 120 of them fit into the 254 octets of one SCCP unitdata message.
        for link in self.links:
            for offset in range(0, len(self.free_circuits), 120):
                destinations = sorted(self.free_circuits)[offset : offset + 120]
                advice = [
                    bytes((d & 255, self.best_tandem(link.exchange_number, d) & 255))
                    for d in destinations
                    if d != link.exchange_number
                ]
                if advice:
                    link.send_unitdata(b"".join(advice))


class CentreLink(Endpoint):
    """The centre's association to one call server; bodies travel in SCCP unitdata."""

    def __init__(
        self,
        config: EndpointConfig,
        centre: TrafficCentre,
        exchange_number: int,
    ) -> None:
        self.centre, self.exchange_number = centre, exchange_number
        centre.links.append(self)
        super().__init__(config)

    def send_unitdata(self, body: bytes) -> None:
        if self.up and self.association is not None:
            self.association.send_data(m3ua.SI_SCCP, 0, sccp.encode(sccp.CENTRE_SUBSYSTEM, body))

    def on_other_data(self, data: m3ua.Data) -> None:
        _, body = sccp.decode(data.body)
        # The sender's exchange number (one octet), then for each far exchange its number (two octets,
        # little-endian) and the free circuits towards it (one octet; 255: that many or more).
        offsets = range(1, len(body) - 2, 3)
        self.centre.free_circuits[self.exchange_number] = {
            body[at] | body[at + 1] << 8: body[at + 2] for at in offsets
        }
