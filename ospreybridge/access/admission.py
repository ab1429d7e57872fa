"""Which connections of clients are taken in and which go first: descriptors, memory, silence. No I/O.

Offices keep their share whatever clients do. A client that never said a sound word goes before one that did;
one that asked once and holds its connection stays as long as there is room.
"""

from __future__ import annotations

from collections.abc import Iterable

from ospreybridge.access.calls import Client

RESERVED_DESCRIPTORS = (
    24  # descriptors for the loop, the listener, the journal service, peers, logs and files
)
OFFICE_SHARE = 0.45  # of the rest: connections to offices; callers hold a third of all at most
FIRST_MESSAGE_TIMEOUT_MS = 1_500.0  # ms in which a new connection has to say something sound
MAX_OPEN_PER_CLIENT = 256  # set-ups that one connection may have open
MAX_OPEN_TOTAL = 2_000  # set-ups open together: a Python object of some KB each, within 32 MB


class Admission:
    def __init__(self, sockets: int) -> None:
        free = max(8, sockets - RESERVED_DESCRIPTORS)
        self.max_office_connections = max(4, int(free * OFFICE_SHARE))
        self.max_clients = free - self.max_office_connections

    def client_to_evict(self, clients: Iterable[Client]) -> Client | None:
        """The connection to close before another is taken in; None where every one has an open set-up."""
        idle = [client for client in clients if not client.pending_calls]
        return min(idle, key=lambda client: (client.trust, client.last_active), default=None)

    def is_full(self, count: int) -> bool:
        return count >= self.max_clients

    def accepts_set_up(self, client: Client, pending: int) -> bool:
        return len(client.pending_calls) < MAX_OPEN_PER_CLIENT and pending < MAX_OPEN_TOTAL

    def silent_clients(self, now: float, clients: Iterable[Client]) -> list[Client]:
        """Connections that said nothing sound in their time."""
        return [c for c in clients if not c.trust and now - c.opened_at >= FIRST_MESSAGE_TIMEOUT_MS]
