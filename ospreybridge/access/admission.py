"""Which connections of clients are taken in and which go first: descriptors, memory, silence. No I/O.

Offices keep their share whatever clients do. A client that never said a sound word goes before one that did;
one that asked once and holds its connection stays as long as there is room.
"""

from __future__ import annotations

from collections.abc import Iterable

from ospreybridge.access.calls import Client

KEPT = 24  # descriptors for the loop, the listener, the journal service, peers, logs and files
OFFICES_SHARE = 0.45  # of the rest: connections to offices; callers hold a third of all at most
FIRST_WORD = 1_500.0  # ms in which a new connection has to say something sound
MOST_OPEN = 256  # set-ups that one connection may have open
MOST_OPEN_ALL = 2_000  # set-ups open together: a Python object of some KB each, within 32 MB


class Admission:
    def __init__(self, sockets: int) -> None:
        free = max(8, sockets - KEPT)
        self.office_links = max(4, int(free * OFFICES_SHARE))
        self.clients = free - self.office_links

    def makes_room(self, clients: Iterable[Client]) -> Client | None:
        """The connection to close before another is taken in; None where every one has an open set-up."""
        idle = [client for client in clients if not client.calls]
        return min(idle, key=lambda client: (client.trust, client.active), default=None)

    def full(self, count: int) -> bool:
        return count >= self.clients

    def may_open(self, client: Client, pending: int) -> bool:
        return len(client.calls) < MOST_OPEN and pending < MOST_OPEN_ALL

    def mute(self, now: float, clients: Iterable[Client]) -> list[Client]:
        """Connections that said nothing sound in their time."""
        return [c for c in clients if not c.trust and now - c.opened >= FIRST_WORD]
