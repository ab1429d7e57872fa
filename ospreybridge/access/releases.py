"""Reliable delivery of releases (`stop` of an established call) to callers and to offices. No I/O.

Both directions follow the same rules: a release is sent on the best open connection and kept while there is
none. It is sent again elsewhere if that one was of no use, until it is confirmed (`stopped`) or too old.

What the best connection is differs. A release to a caller may be sent on any connection from callers, but not
everyone who connects is a caller, and others ignore it: the connection of the call is preferred, then the
most trusted and most recently active one, and an unconfirmed release is sent again on another one after a
while. An office has connections of its own: any that is in use will do, and an unconfirmed release is sent
again on the next one that opens.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from ospreybridge.access.calls import Client

RESEND_AFTER_MS = 250.0  # allows three connections within the second that the platform's rule gives
MAX_AGE_MS = 9_000.0  # by the platform's rule callers and offices wait for eight seconds
MAX_UNCONFIRMED = 20_000  # in each direction; the oldest is given up for a new one


@dataclass(slots=True)
class Release:
    """One release that is not confirmed yet."""

    uid: str
    cause: int
    started_at: float
    office_id: int = 0  # towards an office: which one
    connection_id: int = 0  # where it was sent last; 0: not sent yet
    sent_at: float = 0.0
    tried: set[int] = field(default_factory=set)  # connections that it was sent on
    reply_due: bool = True  # the far end has the call, so it reacts when the release is first sent

    def sent(self, now: float, connection_id: int) -> None:
        """Records that it is sent on a connection now."""
        self.connection_id, self.sent_at = connection_id, now
        self.tried.add(connection_id)


class Releases:
    """The unconfirmed releases of one direction, oldest first."""

    def __init__(self) -> None:
        self.unconfirmed: OrderedDict[tuple[int, str], Release] = OrderedDict()  # by office and uid
        self.given_up = 0

    def begin(self, now: float, uid: str, cause: int, office_id: int = 0) -> Release:
        """The release of a call, created if there is none; towards an office, its number is given."""
        release = self.unconfirmed.get((office_id, uid))
        if release is None:
            if len(self.unconfirmed) >= MAX_UNCONFIRMED:
                self._give_up(next(iter(self.unconfirmed.values())))
            release = self.unconfirmed[office_id, uid] = Release(uid, cause, now, office_id)
        return release

    def confirm(self, uid: str, office_id: int = 0) -> bool:
        """The far end sent `stopped`; returns whether a release was waiting for it."""
        release = self.unconfirmed.get((office_id, uid))
        if release is None:
            return False
        self._remove(release)
        return True

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


class CallerReleases(Releases):
    """Releases towards callers."""

    def choose_client(
        self, now: float, release: Release, preferred_id: int, clients: dict[int, Client]
    ) -> Client | None:
        """The client to send a release to, recorded in it; None while no client has proven to be a caller."""
        client = clients.get(preferred_id)
        if client is None or preferred_id in release.tried or not client.trust:
            # Once all connections were tried, they are used again: the release may arrive twice, but does.
            client = max(
                (other for other in clients.values() if other.trust),
                key=lambda other: (
                    other.connection_id not in release.tried,
                    other.trust,
                    other.last_active,
                ),
                default=None,
            )
        if client is not None:
            release.sent(now, client.connection_id)
        return client

    def due(self, now: float, closed_id: int = 0) -> list[Release]:
        """Releases to send (again): unconfirmed for too long, or sent on the connection that just closed."""
        self.expire(now)
        return [
            release
            for release in self.unconfirmed.values()
            if (closed_id and release.connection_id == closed_id)
            or not release.connection_id
            or now - release.sent_at >= RESEND_AFTER_MS
        ]


class OfficeReleases(Releases):
    """Releases towards offices."""

    def __init__(self) -> None:
        super().__init__()
        self._by_office: dict[int, dict[str, Release]] = {}

    def begin(self, now: float, uid: str, cause: int, office_id: int = 0) -> Release:
        """The release of a call at an office, created if there is none."""
        release = super().begin(now, uid, cause, office_id)
        self._by_office.setdefault(release.office_id, {})[uid] = release
        return release

    def has_any(self, office_id: int) -> bool:
        """Whether a release waits for a confirmation by an office."""
        return office_id in self._by_office

    def of_office(self, office_id: int) -> list[Release]:
        """The unconfirmed releases towards an office: what a connection that opens is used for first."""
        return list(self._by_office.get(office_id, {}).values())

    def unsent(self, office_id: int, open_ids: Iterable[int]) -> list[Release]:
        """Releases that were not sent on any connection which is still open."""
        open_connections = set(open_ids)
        return [
            release
            for release in self._by_office.get(office_id, {}).values()
            if release.connection_id not in open_connections
        ]

    def forget_office(self, office_id: int) -> None:
        """Drops the releases towards an office that has left the list."""
        for release in self.of_office(office_id):
            self._give_up(release)

    def _remove(self, release: Release) -> None:
        super()._remove(release)
        releases = self._by_office[release.office_id]
        del releases[release.uid]
        if not releases:
            del self._by_office[release.office_id]
