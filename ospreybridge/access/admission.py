"""Admission of client connections and set-ups within the limits of descriptors and memory. No I/O.

Connections to offices have a share of their own that clients can't use up. When the clients' share is full, a
client that never sent a valid message is evicted before one that did; an idle but proven client stays as long
as there is room.
"""

from __future__ import annotations

from collections.abc import Iterable

from ospreybridge.access.calls import Client

RESERVED_DESCRIPTORS = 24  # for the event loop, the listener, the journal service, peers, logs and files
OFFICE_SHARE = 0.45  # of the other descriptors; callers use at most a third of all
FIRST_MESSAGE_TIMEOUT_MS = 1_500.0  # for the first valid message of a new connection
MAX_OPEN_PER_CLIENT = 256  # pending set-ups on one connection
MAX_OPEN_TOTAL = 2_000  # pending set-ups in all: a few KB each, so that they fit into 32 MB


class Admission:
    """Decides which clients and set-ups are accepted."""

    def __init__(self, sockets: int) -> None:
        """`sockets`: the number of descriptors that the process may have open."""
        free = max(8, sockets - RESERVED_DESCRIPTORS)
        self.max_office_connections = max(4, int(free * OFFICE_SHARE))
        self.max_clients = free - self.max_office_connections

    def client_to_evict(self, clients: Iterable[Client]) -> Client | None:
        """The client to close in favour of a new one; None if each client has a pending set-up."""
        idle = [client for client in clients if not client.pending_calls]
        return min(idle, key=lambda client: (client.trust, client.last_active), default=None)

    def is_full(self, count: int) -> bool:
        """Whether `count` clients use up the clients' share."""
        return count >= self.max_clients

    def accepts_set_up(self, client: Client, pending: int) -> bool:
        """Whether the client may have one more set-up pending; `pending`: set-ups of all clients."""
        return len(client.pending_calls) < MAX_OPEN_PER_CLIENT and pending < MAX_OPEN_TOTAL

    def silent_clients(self, now: float, clients: Iterable[Client]) -> list[Client]:
        """Clients whose first valid message is overdue."""
        return [
            client
            for client in clients
            if not client.trust and now - client.opened_at >= FIRST_MESSAGE_TIMEOUT_MS
        ]
