"""On which connection a caller is told that a call is over, and when it is told again. No I/O.

A release may go on any connection from callers, but not everyone who connects is one: a stranger takes it and
does nothing. So the call's own connection comes first, then those that have had an answer, the one last used
before others; what is not heard (`stopped`) goes out again on another, until it is heard or of no more use.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ospreybridge.access.calls import Client

AGAIN = 250.0  # ms without `stopped`: three connections within the second that the rule gives
KEPT = 9_000.0  # ms: past the rule's eight seconds nobody waits for it


@dataclass(slots=True)
class Release:
    cause: int
    since: float
    conn: int = 0  # where it was sent last; 0: nowhere yet
    sent: float = 0.0
    tried: set[int] = field(default_factory=set)


class Releases:
    def __init__(self) -> None:
        self.open: dict[str, Release] = {}

    def begin(self, now: float, uid: str, cause: int) -> Release:
        found = self.open.get(uid)
        if found is None:
            found = self.open[uid] = Release(cause, now)
        return found

    def choose(self, now: float, release: Release, own: int, clients: dict[int, Client]) -> Client | None:
        """The connection it goes out on now; None while there is none that may be a caller's."""
        client = clients.get(own)
        if client is None or own in release.tried or not client.trust:
            # A connection that was tried counts again once all were: better twice than never.
            client = max(
                (one for one in clients.values() if one.trust),
                key=lambda one: (one.conn not in release.tried, one.trust, one.active),
                default=None,
            )
        if client is not None:
            release.conn, release.sent = client.conn, now
            release.tried.add(client.conn)
        return client

    def heard(self, uid: str) -> None:
        self.open.pop(uid, None)

    def due(self, now: float, closed: int = 0) -> list[tuple[str, Release]]:
        """What has to go out (again): not heard in time, or sent on the connection that just closed."""
        for uid in [uid for uid, one in self.open.items() if now - one.since > KEPT]:
            del self.open[uid]
        return [
            (uid, one)
            for uid, one in self.open.items()
            if (closed and one.conn == closed) or not one.conn or now - one.sent >= AGAIN
        ]
