"""Whether a certificate may stand for a peer. Pure decisions: facts and the time come in, a reason goes out.

OpenSSL builds and verifies the chain of a full handshake; this is asked after every handshake, so that a
session resumed by ticket is held against today's date, names and revocation list just as a full one is.
"""

from __future__ import annotations

from collections.abc import Collection
from enum import StrEnum

from ospreybridge.keys.certificate_info import CertificateInfo

MIN_KEY_BITS = {"RSA": 2_048, "EC": 256, "Ed25519": 256, "Ed448": 448}  # 112 bits of strength, SP 800-57
Revoked = Collection[tuple[bytes, int]]  # issuer (DER) and serial number


class FailureReason(StrEnum):
    """Why a link was not had, or ended; one word a cause for the log and the counters."""

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
    """Why a connection may not say that it is this peer; None where the two merely don't belong together."""
    if link_uses_tls:
        return FailureReason.WRONG_NAME  # its certificate is another's
    return FailureReason.TLS_REQUIRED if peer_requires_tls else None


def requires_backoff(reason: FailureReason) -> bool:
    """Whether dialling again at once would meet the same; a peer that is just starting refuses nobody."""
    return reason is not FailureReason.CLOSED_IN_HANDSHAKE


def dns_name_matches(wanted: str, shown: str, wildcard: bool) -> bool:
    """Exact DNS names (RFC 6125, 6.4.1); one whole left-most label may be `*` only where allowed."""
    wanted, shown = wanted.lower().rstrip("."), shown.lower().rstrip(".")
    if wanted == shown:
        return "*" not in shown
    label, _, rest = wanted.partition(".")
    return wildcard and bool(label) and shown == "*." + rest and rest.count(".") >= 1


def certificate_has_name(facts: CertificateInfo, wanted: str, wildcard: bool) -> bool:
    """Whether the SAN shows this name; what else the certificate says does not count."""
    return any(dns_name_matches(wanted, shown, wildcard) for shown in facts.dns_names)


def weak(facts: CertificateInfo) -> bool:
    return facts.key_bits < MIN_KEY_BITS.get(facts.key_type, 1 << 30)


def certificate_error(
    certificate: CertificateInfo, now: float, purpose: str, revoked: Revoked
) -> FailureReason | None:
    """What is wrong with a certificate whoever shows it; `now` in seconds since 1970."""
    if (certificate.issuer, certificate.serial) in revoked:
        return FailureReason.REVOKED
    if now > certificate.not_after:
        return FailureReason.EXPIRED
    if now < certificate.not_before:
        return FailureReason.NOT_YET_VALID
    if weak(certificate):
        return FailureReason.WEAK_KEY
    # An authority's own certificate must never pass as a peer's.
    if purpose not in certificate.purposes or certificate.is_ca:
        return FailureReason.WRONG_PURPOSE
    return None
