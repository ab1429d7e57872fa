"""Decides whether a certificate identifies a peer. Pure functions without I/O or a clock of their own.

OpenSSL builds and verifies the chain only in a full handshake. These checks run after every handshake, so
that a session resumed by ticket is also checked against the current date, names and revocation list.
"""

from __future__ import annotations

from collections.abc import Collection
from enum import StrEnum

from ospreybridge.keys.certificate_info import CertificateInfo

MIN_KEY_BITS = {
    "RSA": 2_048,
    "EC": 256,
    "Ed25519": 256,
    "Ed448": 448,
}  # at least 112 bits of strength (NIST SP 800-57)
RevokedCertificates = Collection[tuple[bytes, int]]  # (issuer name in DER, serial number)


class FailureReason(StrEnum):
    """Why a TLS link could not be set up, or ended. The values are written to the log and the counters."""

    WRONG_NAME = "wrong name"
    UNKNOWN_ISSUER = "unknown issuer"
    EXPIRED = "expired"
    NOT_YET_VALID = "not yet valid"
    REVOKED = "revoked"
    WEAK_KEY = "weak key"
    WRONG_PURPOSE = "wrong purpose"
    UNREADABLE_CERTIFICATE = "unreadable certificate"
    NO_CERTIFICATE = "no certificate"
    NOT_TLS = "not TLS"
    NO_COMMON_VERSION = "no common TLS version"
    TLS_REQUIRED = "plain where TLS is due"
    REFUSED_BY_PEER = "refused by the peer"
    HANDSHAKE_TIMEOUT = "handshake not finished in time"
    CLOSED_IN_HANDSHAKE = "closed in the handshake"
    NO_HANDSHAKE_SLOT = "no handshake slot"
    TRUNCATED = "truncated"
    BROKEN_RECORD = "broken record"


def identity_claim_error(peer_requires_tls: bool, link_uses_tls: bool) -> FailureReason | None:
    """Why a connection is not allowed to identify itself as this peer.

    None if neither its certificate nor missing TLS is the cause: both the peer and the connection are plain.
    """
    if link_uses_tls:
        return FailureReason.WRONG_NAME  # its certificate belongs to another peer
    return FailureReason.TLS_REQUIRED if peer_requires_tls else None


def requires_backoff(reason: FailureReason) -> bool:
    """Whether an immediate redial would fail in the same way.

    A connection closed during the handshake does not count: the peer may just be starting.
    """
    return reason is not FailureReason.CLOSED_IN_HANDSHAKE


def dns_name_matches(expected: str, presented: str, allow_wildcard: bool) -> bool:
    """Compares DNS names without regard to case (RFC 6125, 6.4.1).

    With `allow_wildcard`, the whole left-most label of the presented name may be `*`.
    """
    expected, presented = expected.lower().rstrip("."), presented.lower().rstrip(".")
    if expected == presented:
        return "*" not in presented
    label, _, rest = expected.partition(".")
    return allow_wildcard and bool(label) and presented == "*." + rest and rest.count(".") >= 1


def certificate_has_name(certificate: CertificateInfo, expected: str, allow_wildcard: bool) -> bool:
    """Whether the subject alternative name contains this DNS name; the common name is ignored."""
    return any(dns_name_matches(expected, presented, allow_wildcard) for presented in certificate.dns_names)


def has_weak_key(certificate: CertificateInfo) -> bool:
    """Whether the key is too short, or of a type that is not accepted at all."""
    return certificate.key_bits < MIN_KEY_BITS.get(certificate.key_type, 1 << 30)


def certificate_error(
    certificate: CertificateInfo, now: float, required_purpose: str, revoked: RevokedCertificates
) -> FailureReason | None:
    """The first reason to reject a certificate, whatever its name; None if there is none.

    `now` is in seconds since 1970; `required_purpose` is SERVER_AUTH or CLIENT_AUTH.
    """
    if (certificate.issuer, certificate.serial) in revoked:
        return FailureReason.REVOKED
    if now > certificate.not_after:
        return FailureReason.EXPIRED
    if now < certificate.not_before:
        return FailureReason.NOT_YET_VALID
    if has_weak_key(certificate):
        return FailureReason.WEAK_KEY
    # The certificate of an authority must never be accepted as that of a peer.
    if required_purpose not in certificate.purposes or certificate.is_ca:
        return FailureReason.WRONG_PURPOSE
    return None
