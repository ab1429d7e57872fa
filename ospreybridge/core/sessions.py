"""Which TLS sessions may be resumed and when ticket keys change. Session objects are opaque here; no I/O."""

from __future__ import annotations

from typing import Any

MAX_RESUMPTIONS = 16  # in a row, before a full handshake proves certificate and key again


class SessionCache:
    """At most one session per peer, used once (RFC 8446, C.4) and only with unchanged trust and identity."""

    def __init__(self, age: float) -> None:
        """`age`: ms during which a session may be resumed, and between changes of the ticket keys."""
        self.age = age
        self.stored: dict[int, tuple[Any, float, str, int]] = {}  # by point code
        self.rotated_at = 0.0

    def store(self, now: float, peer: int, session: Any, identity: str, resumed: int) -> None:
        """Stores a session for the next handshake, unless it was resumed too often.

        `identity`: names of both sides and digest of the key set; `resumed`: resumptions since a full one.
        """
        if session is not None and self.age > 0 and resumed < MAX_RESUMPTIONS:
            self.stored[peer] = (session, now, identity, resumed)

    def take(self, now: float, peer: int, identity: str) -> tuple[Any, int]:
        """Removes and returns (session, resumptions including this one); (None, 0) for a full handshake."""
        session, at, known, resumed = self.stored.pop(peer, (None, 0.0, "", 0))
        if session is None or known != identity or now - at >= self.age:
            return None, 0
        return session, resumed + 1

    def key_set_replaced(self, now: float) -> None:
        """A new key set is in use: its ticket keys are new, and sessions of the old set are dropped."""
        self.stored.clear()
        self.rotated_at = now

    def rotate_if_due(self, now: float) -> bool:
        """Whether the ticket keys are due for a change; if so, the change is recorded as done."""
        if now - self.rotated_at < self.age:
            return False
        self.rotated_at = now
        return True
