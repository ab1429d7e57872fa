"""Whether a certificate may stand for a peer. Pure decisions: facts and the time come in, a reason goes out.

OpenSSL builds and verifies the chain of a full handshake; this is asked after every handshake, so that a
session resumed by ticket is held against today's date, names and revocation list just as a full one is.
"""

from __future__ import annotations

from collections.abc import Collection
from enum import StrEnum

from ospreybridge.keys.facts import Facts

LEAST_BITS = {"RSA": 2_048, "EC": 256, "Ed25519": 256, "Ed448": 448}  # 112 bits of strength, SP 800-57
Revoked = Collection[tuple[bytes, int]]  # issuer (DER) and serial number


class Reason(StrEnum):
    """Why a link was not had, or ended; one word a cause for the log and the counters."""

    WRONG_NAME = "wrong name"
    UNKNOWN_ISSUER = "unknown issuer"
    EXPIRED = "expired"
    NOT_YET = "not yet valid"
    REVOKED = "revoked"
    WEAK_KEY = "weak key"
    WRONG_PURPOSE = "wrong purpose"
    UNREADABLE = "unreadable certificate"
    NO_CERTIFICATE = "no certificate"
    NOT_TLS = "not TLS"
    OLD_VERSION = "no common TLS version"
    PLAIN = "plain where TLS is due"
    REFUSED = "refused by the peer"
    STOPPED = "handshake not finished in time"
    CLOSED = "closed in the handshake"
    NO_SLOT = "no handshake slot"
    TRUNCATED = "truncated"
    BROKEN = "broken record"


def claim(peer_secured: bool, link_secured: bool) -> Reason | None:
    """Why a connection may not say that it is this peer; None where the two merely don't belong together."""
    if link_secured:
        return Reason.WRONG_NAME  # its certificate is another's
    return Reason.PLAIN if peer_secured else None


def lasting(reason: Reason) -> bool:
    """Whether dialling again at once would meet the same; a peer that is just starting refuses nobody."""
    return reason is not Reason.CLOSED


def same_name(wanted: str, shown: str, wildcard: bool) -> bool:
    """Exact DNS names (RFC 6125, 6.4.1); one whole left-most label may be `*` only where allowed."""
    wanted, shown = wanted.lower().rstrip("."), shown.lower().rstrip(".")
    if wanted == shown:
        return "*" not in shown
    label, _, rest = wanted.partition(".")
    return wildcard and bool(label) and shown == "*." + rest and rest.count(".") >= 1


def named(facts: Facts, wanted: str, wildcard: bool) -> bool:
    """Whether the SAN shows this name; what else the certificate says does not count."""
    return any(same_name(wanted, shown, wildcard) for shown in facts.names)


def weak(facts: Facts) -> bool:
    return facts.bits < LEAST_BITS.get(facts.key, 1 << 30)


def fault(facts: Facts, now: float, purpose: str, revoked: Revoked) -> Reason | None:
    """What is wrong with a certificate whoever shows it; `now` in seconds since 1970."""
    if (facts.issuer, facts.serial) in revoked:
        return Reason.REVOKED
    if now > facts.not_after:
        return Reason.EXPIRED
    if now < facts.not_before:
        return Reason.NOT_YET
    if weak(facts):
        return Reason.WEAK_KEY
    # An authority's own certificate must never pass as a peer's.
    if purpose not in facts.purposes or facts.authority:
        return Reason.WRONG_PURPOSE
    return None
