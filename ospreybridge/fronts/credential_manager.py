"""The TLS credentials in use: loaded, watched for changes and replaced as a whole.

The decisions are made in `keys` and `core`; this module does the I/O.
"""

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
from ospreybridge.keys.expiry import ExpiryWarnings
from ospreybridge.keys.validation import FailureReason
from ospreybridge.net import tls
from ospreybridge.settings.server import Peer, TlsSettings

REVOCATION_LIST = "revocation list"
Log = Callable[..., None]


class CredentialManager:
    """Holds the TLS contexts of an exchange and the state of its handshakes and sessions."""

    def __init__(
        self, settings: TlsSettings, seed: int, log: Log, wall_clock: Callable[[], float] = time.time
    ) -> None:
        """Raises CredentialsError if the first credentials are not valid: nothing is served without any.

        `wall_clock`: seconds since 1970.
        """
        self.settings, self.log, self.wall_clock = settings, log, wall_clock
        self.handshakes = HandshakeScheduler(settings.slots, seed)
        self.sessions = SessionCache(settings.ticket_age)
        self.expiry_warnings = ExpiryWarnings(settings.warn_days)
        self.peer_expiry_times: dict[str, float] = {}  # by "peer NAME", of the last certificate seen
        self.contexts = self._load()
        self.loaded_file_stats = self._file_stats()

    @property
    def digest(self) -> str:
        """Identifies the credentials in use."""
        return self.contexts.credentials.digest

    def _load(self) -> tls.TlsContexts:
        loaded = credentials.load(self.settings.paths, self.wall_clock(), self.settings.name)
        return tls.TlsContexts(loaded, self.settings.allow_12, self.settings.ticket_age > 0)

    def _file_stats(self) -> tuple[tuple[int, int, int], ...]:
        stats = []
        for path in self.settings.paths.configured():
            try:
                status = os.stat(path)
            except OSError:
                stats.append((0, 0, 0))
            else:
                stats.append((status.st_mtime_ns, status.st_size, status.st_ino))
        return tuple(stats)

    def reload_if_changed(self, now: float, force: bool = False) -> bool:
        """Loads changed files; returns whether new credentials are in use.

        Invalid ones are logged and the old ones stay in use; the next call tries again. `force` loads files
        that look unchanged, too.
        """
        file_stats = self._file_stats()
        if file_stats == self.loaded_file_stats and not force:
            return False
        try:
            new_contexts = self._load()
        except credentials.CredentialsError as error:
            self.log("key set refused", faults=error.errors, in_use=self.digest)
            return False
        self.loaded_file_stats = file_stats
        if new_contexts.credentials.digest == self.digest:
            return False
        self.contexts = new_contexts
        self.sessions.key_set_replaced(now)
        self.log(
            "key set in use",
            digest=self.digest,
            names=list(new_contexts.credentials.own_certificate.dns_names),
        )
        return True

    def rotate_tickets_and_warn(self, now: float) -> None:
        """Renews the ticket keys when due and logs the expiry warnings that are due."""
        if self.settings.ticket_age > 0 and self.sessions.rotate_if_due(now):
            self.contexts.renew_tickets()
        wall_time, current = self.wall_clock(), self.contexts.credentials
        crl_expiry = {REVOCATION_LIST: current.crl_next_update} if current.crl_next_update is not None else {}
        for name, days_left in self.expiry_warnings.due_warnings(
            wall_time, current.expiry_times | self.peer_expiry_times | crl_expiry, REVOCATION_LIST
        ):
            self.log("ends soon" if days_left > 0 else "has ended", what=name, days_left=round(days_left, 2))

    # -- handshakes

    def session_identity(self, peer: Peer) -> str:
        """What a session may be resumed for: the same own credentials and the same expected peer name."""
        return f"{self.digest} {peer.tls_name} {peer.wildcard}"

    def client_wrapper(self, peer: Peer, session: Any) -> Callable[[socket.socket], ssl.SSLSocket]:
        """A function that makes the client TLS socket for a peer, with the credentials in use now."""
        contexts = self.contexts
        return lambda sock: contexts.wrap_client(sock, peer.tls_name, session)

    def verify_peer(self, sock: ssl.SSLSocket, dialled: bool, peers: list[Peer]) -> list[Peer]:
        """Returns those of `peers` whose name the certificate of the connection contains.

        Raises HandshakeError if there is none or the certificate is rejected. `dialled`: whether this end
        opened the connection.
        """
        certificate = tls.peer_certificate(sock)
        current = self.contexts.credentials
        reason = validation.certificate_error(
            certificate, self.wall_clock(), SERVER_AUTH if dialled else CLIENT_AUTH, current.revoked
        )
        matching = [
            peer
            for peer in peers
            if peer.tls_name and validation.certificate_has_name(certificate, peer.tls_name, peer.wildcard)
        ]
        if reason is None and not matching:
            reason = FailureReason.WRONG_NAME
        if reason is not None:
            raise tls.HandshakeError(reason, describe_certificate(certificate))
        for peer in matching:
            self.peer_expiry_times[f"peer {peer.name}"] = certificate.not_after
        return matching


def describe_certificate(certificate: CertificateInfo) -> str:
    """Names and serial number for the log; the names come from the peer and are cut to 200 characters."""
    return (
        f"certificate names {', '.join(certificate.dns_names)[:200] or 'none'}, serial {certificate.serial:x}"
    )
