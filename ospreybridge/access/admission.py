"""Admission of client connections and set-ups within the limits of descriptors and memory. No I/O.

Connections to offices have a share of their own that clients can't use up. When the clients' share is full, a
client that never sent a valid message is evicted before one that did; an idle but proven client stays as long
as there is room.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable

from ospreybridge.access.calls import Client

RESERVED_DESCRIPTORS = 24  # for the event loop, the listener, the journal service, peers, logs and files
OFFICE_SHARE = 0.45  # of the other descriptors; callers use at most a third of all
FIRST_MESSAGE_TIMEOUT_MS = 1_500.0  # for the first valid message of a new connection
MAX_OPEN_PER_CLIENT = 256  # pending set-ups on one connection
MAX_OPEN_TOTAL = 2_000  # pending set-ups in all
PROCESS_MEMORY_MB = 40.0  # used without any calls
MIN_FREE_MEMORY_MB = 8.0
BODY_SHARE = 0.25  # of the memory that is left: for the descriptions of pending set-ups
BYTES_PER_MB = 1 << 20


class Admission:
    """Decides which clients and set-ups are accepted."""

    def __init__(self, sockets: int, memory_mb: float) -> None:
        """`sockets`: the number of descriptors that the process may have open; `memory_mb`: its limit."""
        free_memory_mb = max(MIN_FREE_MEMORY_MB, memory_mb - PROCESS_MEMORY_MB)
        self.max_body_bytes = int(BODY_SHARE * free_memory_mb * BYTES_PER_MB)
        self.body_bytes = 0  # of the descriptions of all pending set-ups
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

    def accepts_set_up(self, client: Client, pending: int, body: str | None) -> bool:
        """Whether the client may have one more set-up pending; `pending`: set-ups of all clients."""
        return (
            len(client.pending_calls) < MAX_OPEN_PER_CLIENT
            and pending < MAX_OPEN_TOTAL
            and self.body_bytes + sys.getsizeof(body) <= self.max_body_bytes
        )

    def set_up_accepted(self, body: str | None) -> None:
        """A set-up with this description is pending from now on."""
        self.body_bytes += sys.getsizeof(body)

    def set_up_closed(self, body: str | None) -> None:
        """A set-up with this description has ended."""
        self.body_bytes -= sys.getsizeof(body)

    def silent_clients(self, now: float, clients: Iterable[Client]) -> list[Client]:
        """Clients whose first valid message is overdue."""
        return [
            client
            for client in clients
            if not client.trust and now - client.opened_at >= FIRST_MESSAGE_TIMEOUT_MS
        ]
