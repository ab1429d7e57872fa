"""What of a certificate matters to a link (RFC 5280), read once from its DER form."""

from __future__ import annotations

import functools
from dataclasses import dataclass

from cryptography import x509
from cryptography.hazmat.primitives.asymmetric import dsa, ec, ed448, ed25519, rsa
from cryptography.x509.oid import ExtendedKeyUsageOID

SERVER_AUTH, CLIENT_AUTH = "server", "client"  # the two purposes of RFC 5280, 4.2.1.12 that a link asks for
_PURPOSES = {ExtendedKeyUsageOID.SERVER_AUTH: SERVER_AUTH, ExtendedKeyUsageOID.CLIENT_AUTH: CLIENT_AUTH}


@dataclass(frozen=True, slots=True)
class CertificateInfo:
    """`names`: DNS names of the SAN, lower case; times in seconds since 1970; `bits` of the public key."""

    dns_names: tuple[str, ...]
    issuer: bytes
    serial: int
    not_before: float
    not_after: float
    key_type: str  # RSA, EC, Ed25519, Ed448, DSA, other
    key_bits: int
    purposes: frozenset[str]  # both where the certificate names no extended key usage
    is_ca: bool


def _key(public: object) -> tuple[str, int]:
    if isinstance(public, rsa.RSAPublicKey):
        return "RSA", public.key_size
    if isinstance(public, ec.EllipticCurvePublicKey):
        return "EC", public.curve.key_size
    if isinstance(public, ed25519.Ed25519PublicKey):
        return "Ed25519", 256
    if isinstance(public, ed448.Ed448PublicKey):
        return "Ed448", 448
    return ("DSA", public.key_size) if isinstance(public, dsa.DSAPublicKey) else ("other", 0)


def from_certificate(certificate: x509.Certificate) -> CertificateInfo:
    """ValueError where the certificate breaks its own form (a duplicate extension, a key nobody knows)."""
    extensions = certificate.extensions

    def value(kind: type[x509.ExtensionType]) -> x509.ExtensionType | None:
        try:
            return extensions.get_extension_for_class(kind).value
        except x509.ExtensionNotFound:
            return None

    san, usage, basic = (
        value(kind) for kind in (x509.SubjectAlternativeName, x509.ExtendedKeyUsage, x509.BasicConstraints)
    )
    names = san.get_values_for_type(x509.DNSName) if isinstance(san, x509.SubjectAlternativeName) else []
    purposes = (
        frozenset(_PURPOSES[oid] for oid in usage if oid in _PURPOSES)
        if isinstance(usage, x509.ExtendedKeyUsage)
        else frozenset((SERVER_AUTH, CLIENT_AUTH))
    )
    key, bits = _key(certificate.public_key())
    return CertificateInfo(
        dns_names=tuple(name.lower() for name in names),
        issuer=certificate.issuer.public_bytes(),
        serial=certificate.serial_number,
        not_before=certificate.not_valid_before_utc.timestamp(),
        not_after=certificate.not_valid_after_utc.timestamp(),
        key_type=key,
        key_bits=bits,
        purposes=purposes,
        is_ca=isinstance(basic, x509.BasicConstraints) and basic.ca,
    )


@functools.lru_cache(maxsize=1_024)
def read(der: bytes) -> CertificateInfo:
    """The facts of a DER certificate; ValueError where it can't be read."""
    return from_certificate(x509.load_der_x509_certificate(der))
