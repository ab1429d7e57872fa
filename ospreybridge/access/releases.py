"""Reliable delivery of releases (`stop` of an established call) to callers. No I/O.

A release may be sent on any connection from callers, but not everyone who connects is a caller, and others
ignore it. So the connection of the call is preferred, then the most trusted and most recently active one. A
release that isn't confirmed (`stopped`) is sent again on another connection until it is confirmed or too old.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ospreybridge.access.calls import Client

RESEND_AFTER_MS = 250.0  # allows three connections within the second that the platform's rule gives
MAX_AGE_MS = 9_000.0  # by the platform's rule callers wait for eight seconds


@dataclass(slots=True)
class Release:
    """One release that no caller has confirmed yet."""

    cause: int
    started_at: float
    connection_id: int = 0  # where it was sent last; 0: not sent yet
    sent_at: float = 0.0
    tried: set[int] = field(default_factory=set)  # connections that it was sent on


class Releases:
    """The unconfirmed releases, by uid of their call."""

    def __init__(self) -> None:
        self.unconfirmed: dict[str, Release] = {}

    def begin(self, now: float, uid: str, cause: int) -> Release:
        """The release of a call, created if there is none."""
        release = self.unconfirmed.get(uid)
        if release is None:
            release = self.unconfirmed[uid] = Release(cause, now)
        return release

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
            release.connection_id, release.sent_at = client.connection_id, now
            release.tried.add(client.connection_id)
        return client

    def confirm(self, uid: str) -> None:
        """The caller sent `stopped`."""
        self.unconfirmed.pop(uid, None)

    def due(self, now: float, closed_id: int = 0) -> list[tuple[str, Release]]:
        """Releases to send (again): unconfirmed for too long, or sent on the connection that just closed."""
        for uid in [
            uid for uid, release in self.unconfirmed.items() if now - release.started_at > MAX_AGE_MS
        ]:
            del self.unconfirmed[uid]
        return [
            (uid, release)
            for uid, release in self.unconfirmed.items()
            if (closed_id and release.connection_id == closed_id)
            or not release.connection_id
            or now - release.sent_at >= RESEND_AFTER_MS
        ]
