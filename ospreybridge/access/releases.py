"""Reliable delivery of releases (`stop` of an established call) to callers and to offices. No I/O.

Both directions follow the same rules: a release is sent on the best open connection and kept while there is
none. It is sent again elsewhere if that one was of no use, until it is confirmed (`stopped`) or too old.

What the best connection is differs. A release to a caller may be sent on any connection from callers, but not
everyone who connects is a caller, and others ignore it: the connection of the call is preferred, then the
most trusted and most recently active one, and an unconfirmed release is sent again on another one after a
while. An office has connections of its own: any that is in use will do, and an unconfirmed release is sent
again on the next one that opens.

A caller may also report a call that this process can't restore. Its release is the answer to the connection
that reported the call, and is sent elsewhere only if that connection ends.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import islice
from typing import TypeVar

from ospreybridge.access.calls import Client

RESEND_AFTER_MS = 250.0  # allows three connections within the second that the platform's rule gives
MAX_AGE_MS = 9_000.0  # by the platform's rule callers and offices wait for eight seconds
MAX_UNCONFIRMED = 20_000  # in each direction; the oldest is given up for a new one
MAX_REFUSED_REPORTS = 1_000  # anybody can report calls, so they get a limit of their own
# In one pass; passes are made every 50 ms at least.
MAX_FIRST_SENDS = 2_000
MAX_REPEATS = 200
MAX_REFUSED_REPORT_REPEATS = 50
MAX_BACKLOG_BYTES = 1 << 16  # unsent on a connection: it gets no further release until they have gone out

Key = TypeVar("Key")


@dataclass(slots=True)
class Release:
    """One release that is not confirmed yet."""

    uid: str
    cause: int
    started_at: float
    office_id: int = 0  # towards an office: which one
    client_id: int = 0  # towards a caller: the connection of its call
    connection_id: int = 0  # the open connection where it was sent last; 0: none
    sent_at: float = 0.0
    tried: set[int] = field(default_factory=set)  # connections that it was sent on
    reply_due: bool = True  # the far end has the call, so it reacts when the release is first sent


class Releases:
    """The unconfirmed releases of one direction, oldest first."""

    def __init__(self, max_unconfirmed: int = MAX_UNCONFIRMED) -> None:
        self.max_unconfirmed = max_unconfirmed
        self.unconfirmed: OrderedDict[tuple[int, str], Release] = OrderedDict()  # by office and uid
        self.given_up = 0
        self._unsent: dict[int, dict[str, Release]] = {}  # by office and uid: on no open connection
        self._sent_on: dict[int, dict[tuple[int, str], Release]] = {}  # by connection

    def begin(self, now: float, uid: str, cause: int, office_id: int = 0, client_id: int = 0) -> Release:
        """The release of a call, created if there is none.

        `office_id`: the office, if it goes to one; `client_id`: the connection that its caller used.
        """
        release = self.unconfirmed.get((office_id, uid))
        if release is None:
            if len(self.unconfirmed) >= self.max_unconfirmed:
                self._give_up(next(iter(self.unconfirmed.values())))
            release = Release(uid, cause, now, office_id, client_id)
            self.unconfirmed[office_id, uid] = release
            self._add_unsent(release)
        return release

    def sent(self, now: float, release: Release, connection_id: int) -> None:
        """Records that a release is sent on a connection now."""
        self._detach(release)
        release.connection_id, release.sent_at = connection_id, now
        release.tried.add(connection_id)
        self._sent_on.setdefault(connection_id, {})[release.office_id, release.uid] = release

    def connection_closed(self, connection_id: int) -> None:
        """The releases last sent on a connection that ended are to be sent on another one."""
        for release in list(self._sent_on.get(connection_id, {}).values()):
            self._detach(release)
            self._add_unsent(release)

    def is_unconfirmed(self, release: Release) -> bool:
        """Whether a release was neither confirmed nor given up."""
        return self.unconfirmed.get((release.office_id, release.uid)) is release

    def confirm(self, uid: str, office_id: int = 0) -> bool:
        """The far end sent `stopped`; returns whether a release was waiting for it."""
        release = self.unconfirmed.get((office_id, uid))
        if release is None:
            return False
        self._remove(release)
        return True

    def unsent(self, office_id: int = 0, limit: int = MAX_FIRST_SENDS) -> list[Release]:
        """Releases that were not sent on any connection which is still open, `limit` at most."""
        return list(islice(self._unsent.get(office_id, {}).values(), limit))

    def expire(self, now: float) -> None:
        """Gives up the releases that are too old."""
        while self.unconfirmed:
            oldest = next(iter(self.unconfirmed.values()))
            if now - oldest.started_at <= MAX_AGE_MS:
                return
            self._give_up(oldest)

    def _give_up(self, release: Release) -> None:
        self.given_up += 1
        self._remove(release)

    def _remove(self, release: Release) -> None:
        del self.unconfirmed[release.office_id, release.uid]
        self._detach(release)

    def _add_unsent(self, release: Release) -> None:
        self._unsent.setdefault(release.office_id, {})[release.uid] = release

    def _detach(self, release: Release) -> None:
        """Removes a release from its connection, or from those that are on none."""
        if release.connection_id:
            _remove_entry(self._sent_on, release.connection_id, (release.office_id, release.uid))
            release.connection_id = 0
        else:
            _remove_entry(self._unsent, release.office_id, release.uid)


def _remove_entry(index: dict[int, dict[Key, Release]], number: int, key: Key) -> None:
    """Removes an entry from an index, and the number once it has no entries."""
    entries = index[number]
    del entries[key]
    if not entries:
        del index[number]


class CallerReleases(Releases):
    """Releases towards callers."""

    def __init__(self) -> None:
        super().__init__()
        self._in_order_of_sending: OrderedDict[str, Release] = OrderedDict()

    def sent(self, now: float, release: Release, connection_id: int) -> None:
        """Records that a release is sent on a connection now."""
        super().sent(now, release, connection_id)
        self._in_order_of_sending[release.uid] = release

    def unanswered(self, now: float) -> list[Release]:
        """Releases to send again, as they were not confirmed for too long."""
        overdue: list[Release] = []
        for release in self._in_order_of_sending.values():
            if now - release.sent_at < RESEND_AFTER_MS or len(overdue) >= MAX_REPEATS:
                break
            overdue.append(release)
        return overdue

    def _detach(self, release: Release) -> None:
        super()._detach(release)
        self._in_order_of_sending.pop(release.uid, None)


class ClientChoice:
    """Chooses the clients for the releases of one pass."""

    def __init__(self, clients: dict[int, Client], has_room: Callable[[Client], bool]) -> None:
        """`has_room`: whether a client's connection takes one more release now."""
        self._clients, self._has_room = clients, has_room
        self._ranked: list[Client] | None = None

    def client_for(self, release: Release) -> Client | None:
        """The client to send a release to; None while no client that has proven to be a caller has room."""
        client = self._clients.get(release.client_id)
        if client is not None and release.client_id not in release.tried and self._is_usable(client):
            return client
        if self._ranked is None:
            self._ranked = self._rank()
        # Once all connections were tried, they are used again: the release may arrive twice, but does.
        used_before: Client | None = None
        for client in self._ranked:
            if not self._is_usable(client):
                continue
            if client.connection_id not in release.tried:
                return client
            used_before = used_before or client
        return used_before

    def _is_usable(self, client: Client) -> bool:
        return bool(client.trust) and client.connection_id in self._clients and self._has_room(client)

    def _rank(self) -> list[Client]:
        """The clients that may be callers: the most trusted first, of these the most recently active."""
        proven = [client for client in self._clients.values() if client.trust]
        return sorted(proven, key=lambda client: (client.trust, client.last_active), reverse=True)


class OfficeReleases(Releases):
    """Releases towards offices."""

    def __init__(self) -> None:
        super().__init__()
        self._by_office: dict[int, dict[str, Release]] = {}

    def begin(self, now: float, uid: str, cause: int, office_id: int = 0, client_id: int = 0) -> Release:
        """The release of a call at an office, created if there is none."""
        release = super().begin(now, uid, cause, office_id)
        self._by_office.setdefault(release.office_id, {})[uid] = release
        return release

    def has_any(self, office_id: int) -> bool:
        """Whether a release waits for a confirmation by an office."""
        return office_id in self._by_office

    def offices_with_unsent(self) -> list[int]:
        """The offices for which a release is on no open connection."""
        return list(self._unsent)

    def repeat(self, office_id: int) -> None:
        """All unconfirmed releases towards an office are to be sent on a connection that opened just now."""
        for release in self._by_office.get(office_id, {}).values():
            self._detach(release)
            self._add_unsent(release)

    def forget_office(self, office_id: int) -> None:
        """Drops the releases towards an office that has left the list."""
        for release in list(self._by_office.get(office_id, {}).values()):
            self._give_up(release)

    def _remove(self, release: Release) -> None:
        super()._remove(release)
        _remove_entry(self._by_office, release.office_id, release.uid)
