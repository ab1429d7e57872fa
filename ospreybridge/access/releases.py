"""On which connection a caller is told that a call is over, and when it is told again. No I/O.

A release may go on any connection from callers, but not everyone who connects is one: a stranger takes it and
does nothing. So the call's own connection comes first, then those that have had an answer, the one last used
before others; what is not heard (`stopped`) goes out again on another, until it is heard or of no more use.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ospreybridge.access.calls import Client

RESEND_AFTER_MS = 250.0  # ms without `stopped`: three connections within the second that the rule gives
MAX_AGE_MS = 9_000.0  # ms: past the rule's eight seconds nobody waits for it


@dataclass(slots=True)
class Release:
    cause: int
    started_at: float
    connection_id: int = 0  # where it was sent last; 0: nowhere yet
    sent_at: float = 0.0
    tried: set[int] = field(default_factory=set)


class Releases:
    def __init__(self) -> None:
        self.unconfirmed: dict[str, Release] = {}

    def begin(self, now: float, uid: str, cause: int) -> Release:
        found = self.unconfirmed.get(uid)
        if found is None:
            found = self.unconfirmed[uid] = Release(cause, now)
        return found

    def choose_client(
        self, now: float, release: Release, own: int, clients: dict[int, Client]
    ) -> Client | None:
        """The connection it goes out on now; None while there is none that may be a caller's."""
        client = clients.get(own)
        if client is None or own in release.tried or not client.trust:
            # A connection that was tried counts again once all were: better twice than never.
            client = max(
                (one for one in clients.values() if one.trust),
                key=lambda one: (one.connection_id not in release.tried, one.trust, one.last_active),
                default=None,
            )
        if client is not None:
            release.connection_id, release.sent_at = client.connection_id, now
            release.tried.add(client.connection_id)
        return client

    def confirm(self, uid: str) -> None:
        self.unconfirmed.pop(uid, None)

    def due(self, now: float, closed: int = 0) -> list[tuple[str, Release]]:
        """What has to go out (again): not heard in time, or sent on the connection that just closed."""
        for uid in [uid for uid, one in self.unconfirmed.items() if now - one.started_at > MAX_AGE_MS]:
            del self.unconfirmed[uid]
        return [
            (uid, one)
            for uid, one in self.unconfirmed.items()
            if (closed and one.connection_id == closed)
            or not one.connection_id
            or now - one.sent_at >= RESEND_AFTER_MS
        ]
