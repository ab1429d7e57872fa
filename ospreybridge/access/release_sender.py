"""Sends the releases of calls to callers and offices, as far as their connections take them. No I/O.

Which releases there are, and when one is due again, is kept in access.releases. Times are milliseconds of the
event loop's clock.
"""

from __future__ import annotations

from collections.abc import Callable

from ospreybridge.access.calls import Client
from ospreybridge.access.established import EstablishedCalls
from ospreybridge.access.pool import ConnectionPool, OfficeConnection
from ospreybridge.access.releases import (
    MAX_BACKLOG_BYTES,
    MAX_REFUSED_REPORT_REPEATS,
    ClientChoice,
    Release,
    Releases,
)
from ospreybridge.signalling import jsonl
from ospreybridge.signalling.jsonl import Message


class ReleaseSender:
    """Sends the releases of one call server; those that find no room on a connection stay due."""

    def __init__(
        self,
        established: EstablishedCalls,
        clients: dict[int, Client],
        pools: dict[int, ConnectionPool],
        send: Callable[[int, Message], None],
        unsent_bytes: Callable[[int], int],
    ) -> None:
        """`send(connection, message)`; `unsent_bytes(connection)`: what its socket has not accepted yet.

        `clients` (by connection) and `pools` (by office) are the server's own tables.
        """
        self._established, self._clients, self._pools = established, clients, pools
        self._send, self._unsent_bytes = send, unsent_bytes
        self._sending_to_callers = False

    def send_new(self, now: float) -> None:
        """Sends the releases to callers that are on no open connection."""
        to_callers = self._established.to_callers
        self._send_to_callers(now, to_callers, to_callers.unsent())

    def send_due(self, now: float) -> None:
        """Sends releases that are on no open connection, in both directions, or were not confirmed."""
        self.send_new(now)
        to_callers, refused = self._established.to_callers, self._established.refused_reports
        self._send_to_callers(now, to_callers, to_callers.unanswered(now))
        self._send_to_callers(now, refused, refused.unsent(limit=MAX_REFUSED_REPORT_REPEATS))
        for office_id in self._established.to_offices.offices_with_unsent():
            self.send_to_office(now, office_id)

    def send_to_office(self, now: float, office_id: int, connection: OfficeConnection | None = None) -> None:
        """Sends the releases to an office that are on no open connection.

        `connection`: the one to use; by default any of the office, if there is one.
        """
        pool = self._pools.get(office_id)
        if connection is None and pool is not None:
            connection = pool.any_connection()
        if pool is None or connection is None:
            return
        releases = self._established.to_offices
        for release in releases.unsent(office_id):
            if connection.id not in pool.connections or not self._has_room(connection.id):
                return
            if releases.is_unconfirmed(release):
                self._send_on(now, connection, release)

    def _send_on(self, now: float, connection: OfficeConnection, release: Release) -> None:
        self._established.to_offices.sent(now, release, connection.id)
        if release.reply_due:  # `stopped` is optional: not asked for again on the next connection
            release.reply_due = False
            connection.message_due(now)
        self._send_stop(connection.id, release)

    def _send_to_callers(self, now: float, releases: Releases, due: list[Release]) -> None:
        """A connection that ends while it is written to leaves its releases to the next pass."""
        if self._sending_to_callers or not due:
            return
        self._sending_to_callers = True
        try:
            choice = ClientChoice(self._clients, lambda client: self._has_room(client.connection_id))
            for release in due:
                if not releases.is_unconfirmed(release):
                    continue
                client = choice.client_for(release)
                if client is None:
                    return
                releases.sent(now, release, client.connection_id)
                self._send_stop(client.connection_id, release)
        finally:
            self._sending_to_callers = False

    def _has_room(self, connection_id: int) -> bool:
        """Whether a connection takes one more release."""
        return self._unsent_bytes(connection_id) < MAX_BACKLOG_BYTES

    def _send_stop(self, connection_id: int, release: Release) -> None:
        self._send(connection_id, Message(jsonl.STOP, release.uid, {}, release.cause))
