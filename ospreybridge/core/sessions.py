"""Which TLS session may be resumed, and when the keys of tickets change. Sessions are opaque here; no I/O."""

from __future__ import annotations

from typing import Any

MAX_RESUMPTIONS = 16  # in a row before a full handshake shows certificate and possession of its key once more


class SessionCache:
    """At most one session a peer, each used once (RFC 8446, C.4), none across another trust or identity."""

    def __init__(self, age: float) -> None:
        """`age`: ms a session may be resumed after its handshake, and between changes of the ticket keys."""
        self.age = age
        self.kept: dict[int, tuple[Any, float, str, int]] = {}
        self.rotated = 0.0

    def store(self, now: float, peer: int, session: Any, identity: str, resumed: int) -> None:
        """`identity`: names of both sides and digest of the set; `resumed`: resumptions since a full one."""
        if session is not None and self.age > 0 and resumed < MAX_RESUMPTIONS:
            self.kept[peer] = (session, now, identity, resumed)

    def take(self, now: float, peer: int, identity: str) -> tuple[Any, int]:
        """(session, resumptions including this one); (None, 0) for a full handshake."""
        session, at, known, resumed = self.kept.pop(peer, (None, 0.0, "", 0))
        if session is None or known != identity or now - at >= self.age:
            return None, 0
        return session, resumed + 1

    def key_set_replaced(self, now: float) -> None:
        """A new set is in use: no session outlives the old one, and the ticket keys are new with it."""
        self.kept.clear()
        self.rotated = now

    def rotate_if_due(self, now: float) -> bool:
        """Whether the keys that protect tickets are due for a change; counts as changed then."""
        if now - self.rotated < self.age:
            return False
        self.rotated = now
        return True
