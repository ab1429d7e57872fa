"""The set of keys in use: read, watched, replaced whole. What is decided stands in `keys` and `core`."""

from __future__ import annotations

import os
import socket
import ssl
import time
from collections.abc import Callable
from typing import Any

from ospreybridge.core.handshakes import HandshakeScheduler
from ospreybridge.core.sessions import SessionCache
from ospreybridge.keys import credentials, validation
from ospreybridge.keys.certificate_info import CLIENT_AUTH, SERVER_AUTH, CertificateInfo
from ospreybridge.keys.validation import FailureReason
from ospreybridge.keys.watch import Expiry
from ospreybridge.net import tls
from ospreybridge.settings.server import Peer, TlsSettings

LIST = "revocation list"
Say = Callable[..., None]


class CredentialManager:
    def __init__(
        self, settings: TlsSettings, seed: int, say: Say, wall: Callable[[], float] = time.time
    ) -> None:
        """MaterialError where the first set is not sound: without one nothing is served."""
        self.settings, self.say, self.wall = settings, say, wall
        self.handshakes = HandshakeScheduler(settings.slots, seed)
        self.sessions = SessionCache(settings.ticket_age)
        self.expiry = Expiry(settings.warn_days)
        self.peers: dict[str, float] = {}  # ends of the certificates that peers showed last
        self.contexts = self._load()
        self.seen = self._stamp()

    @property
    def digest(self) -> str:
        return self.contexts.credentials.digest

    def _load(self) -> tls.TlsContexts:
        checked = credentials.load(self.settings.paths, self.wall(), self.settings.name)
        return tls.TlsContexts(checked, self.settings.allow_12, self.settings.ticket_age > 0)

    def _stamp(self) -> tuple[tuple[int, int, int], ...]:
        found = []
        for path in self.settings.paths.all():
            try:
                known = os.stat(path)
            except OSError:
                found.append((0, 0, 0))
            else:
                found.append((known.st_mtime_ns, known.st_size, known.st_ino))
        return tuple(found)

    def reload_if_changed(self, now: float, force: bool = False) -> bool:
        """Whether a new set is in use. An unsound one is told and the old one stays; it is tried again."""
        stamp = self._stamp()
        if stamp == self.seen and not force:
            return False
        try:
            fresh = self._load()
        except credentials.CredentialsError as error:
            self.say("key set refused", faults=error.errors, in_use=self.digest)
            return False
        self.seen = stamp
        if fresh.credentials.digest == self.digest:
            return False
        self.contexts = fresh
        self.sessions.key_set_replaced(now)
        self.say(
            "key set in use", digest=self.digest, names=list(fresh.credentials.own_certificate.dns_names)
        )
        return True

    def rotate_tickets_and_warn(self, now: float) -> None:
        """Ticket keys and warnings, at each look."""
        if self.settings.ticket_age > 0 and self.sessions.rotate_if_due(now):
            self.contexts.renew_tickets()
        wall, held = self.wall(), self.contexts.credentials
        listed = {LIST: held.crl_next_update} if held.crl_next_update is not None else {}
        for name, left in self.expiry.due(wall, held.expiry_times | self.peers | listed, LIST):
            self.say("ends soon" if left > 0 else "has ended", what=name, days_left=round(left, 2))

    # -- handshakes

    def session_identity(self, peer: Peer) -> str:
        """What a session is bound to: the own set and the name it was checked for."""
        return f"{self.digest} {peer.tls_name} {peer.wildcard}"

    def client_wrapper(self, peer: Peer, session: Any) -> Callable[[socket.socket], ssl.SSLSocket]:
        contexts = self.contexts
        return lambda sock: contexts.wrap_client(sock, peer.tls_name, session)

    def verify_peer(self, sock: ssl.SSLSocket, dialled: bool, peers: list[Peer]) -> list[Peer]:
        """Those of the peers whose name the far end's certificate shows; Refused where there is none."""
        facts = tls.peer_certificate(sock)
        held = self.contexts.credentials
        reason = validation.certificate_error(
            facts, self.wall(), SERVER_AUTH if dialled else CLIENT_AUTH, held.revoked
        )
        found = [
            peer
            for peer in peers
            if peer.tls_name and validation.certificate_has_name(facts, peer.tls_name, peer.wildcard)
        ]
        if reason is None and not found:
            reason = FailureReason.WRONG_NAME
        if reason is not None:
            raise tls.HandshakeError(reason, shown(facts))
        for peer in found:
            self.peers[f"peer {peer.name}"] = facts.not_after
        return found


def shown(facts: CertificateInfo) -> str:
    """The far end's own words, cut to a line: they come from outside."""
    return f"it shows {', '.join(facts.dns_names)[:200] or 'no name'}, serial {facts.serial:x}"
