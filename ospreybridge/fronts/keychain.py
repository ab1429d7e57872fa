"""The set of keys in use: read, watched, replaced whole. What is decided stands in `keys` and `core`."""

from __future__ import annotations

import os
import socket
import ssl
import time
from collections.abc import Callable
from typing import Any

from ospreybridge.core.handshakes import Handshakes
from ospreybridge.core.sessions import Sessions
from ospreybridge.keys import judge, material
from ospreybridge.keys.facts import DIALS, SERVES, Facts
from ospreybridge.keys.judge import Reason
from ospreybridge.keys.watch import Expiry
from ospreybridge.net import tls
from ospreybridge.settings.server import Peer, Tls

LIST = "revocation list"
Say = Callable[..., None]


class Keychain:
    def __init__(self, settings: Tls, seed: int, say: Say, wall: Callable[[], float] = time.time) -> None:
        """MaterialError where the first set is not sound: without one nothing is served."""
        self.s, self.say, self.wall = settings, say, wall
        self.handshakes = Handshakes(settings.slots, seed)
        self.sessions = Sessions(settings.ticket_age)
        self.expiry = Expiry(settings.warn_days)
        self.peers: dict[str, float] = {}  # ends of the certificates that peers showed last
        self.contexts = self._load()
        self.seen = self._stamp()

    @property
    def digest(self) -> str:
        return self.contexts.material.digest

    def _load(self) -> tls.Contexts:
        checked = material.load(self.s.paths, self.wall(), self.s.name)
        return tls.Contexts(checked, self.s.allow_12, self.s.ticket_age > 0)

    def _stamp(self) -> tuple[tuple[int, int, int], ...]:
        found = []
        for path in self.s.paths.all():
            try:
                known = os.stat(path)
            except OSError:
                found.append((0, 0, 0))
            else:
                found.append((known.st_mtime_ns, known.st_size, known.st_ino))
        return tuple(found)

    def look(self, now: float, force: bool = False) -> bool:
        """Whether a new set is in use. An unsound one is told and the old one stays; it is tried again."""
        stamp = self._stamp()
        if stamp == self.seen and not force:
            return False
        try:
            fresh = self._load()
        except material.MaterialError as error:
            self.say("key set refused", faults=error.faults, in_use=self.digest)
            return False
        self.seen = stamp
        if fresh.material.digest == self.digest:
            return False
        self.contexts = fresh
        self.sessions.replaced(now)
        self.say("key set in use", digest=self.digest, names=list(fresh.material.own.names))
        return True

    def watch(self, now: float) -> None:
        """Ticket keys and warnings, at each look."""
        if self.s.ticket_age > 0 and self.sessions.rotate(now):
            self.contexts.renew_tickets()
        wall, held = self.wall(), self.contexts.material
        listed = {LIST: held.list_ends} if held.list_ends is not None else {}
        for name, left in self.expiry.due(wall, held.ends | self.peers | listed, LIST):
            self.say("ends soon" if left > 0 else "has ended", what=name, days_left=round(left, 2))

    # -- handshakes

    def identity(self, peer: Peer) -> str:
        """What a session is bound to: the own set and the name it was checked for."""
        return f"{self.digest} {peer.tls} {peer.wildcard}"

    def dialling(self, peer: Peer, session: Any) -> Callable[[socket.socket], ssl.SSLSocket]:
        contexts = self.contexts
        return lambda sock: contexts.wrap_client(sock, peer.tls, session)

    def check(self, sock: ssl.SSLSocket, dialled: bool, peers: list[Peer]) -> list[Peer]:
        """Those of the peers whose name the far end's certificate shows; Refused where there is none."""
        facts = tls.peer_facts(sock)
        held = self.contexts.material
        reason = judge.fault(facts, self.wall(), SERVES if dialled else DIALS, held.revoked)
        found = [peer for peer in peers if peer.tls and judge.named(facts, peer.tls, peer.wildcard)]
        if reason is None and not found:
            reason = Reason.WRONG_NAME
        if reason is not None:
            raise tls.Refused(reason, shown(facts))
        for peer in found:
            self.peers[f"peer {peer.name}"] = facts.not_after
        return found


def shown(facts: Facts) -> str:
    """The far end's own words, cut to a line: they come from outside."""
    return f"it shows {', '.join(facts.names)[:200] or 'no name'}, serial {facts.serial:x}"
