"""The fields of an X.509 certificate (RFC 5280) that are used for validation."""

from __future__ import annotations

import functools
from dataclasses import dataclass

from cryptography import x509
from cryptography.hazmat.primitives.asymmetric import dsa, ec, ed448, ed25519, rsa
from cryptography.x509.oid import ExtendedKeyUsageOID

SERVER_AUTH, CLIENT_AUTH = "server", "client"  # extended key usages, RFC 5280, 4.2.1.12
_PURPOSES = {ExtendedKeyUsageOID.SERVER_AUTH: SERVER_AUTH, ExtendedKeyUsageOID.CLIENT_AUTH: CLIENT_AUTH}


@dataclass(frozen=True, slots=True)
class CertificateInfo:
    """The validated fields of a certificate; times are in seconds since 1970."""

    dns_names: tuple[str, ...]  # from the subject alternative name, in lower case
    issuer: bytes  # distinguished name in DER
    serial: int
    not_before: float
    not_after: float
    key_type: str  # RSA, EC, Ed25519, Ed448, DSA, other
    key_bits: int  # of the public key
    purposes: frozenset[str]  # both purposes if there is no extended key usage extension
    is_ca: bool


def _key_type_and_bits(public_key: object) -> tuple[str, int]:
    if isinstance(public_key, rsa.RSAPublicKey):
        return "RSA", public_key.key_size
    if isinstance(public_key, ec.EllipticCurvePublicKey):
        return "EC", public_key.curve.key_size
    if isinstance(public_key, ed25519.Ed25519PublicKey):
        return "Ed25519", 256
    if isinstance(public_key, ed448.Ed448PublicKey):
        return "Ed448", 448
    return ("DSA", public_key.key_size) if isinstance(public_key, dsa.DSAPublicKey) else ("other", 0)


def from_certificate(certificate: x509.Certificate) -> CertificateInfo:
    """Reads the fields of a parsed certificate.

    Raises ValueError if it is malformed, for example with a duplicate extension or an unsupported key.
    """
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
    key, bits = _key_type_and_bits(certificate.public_key())
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
def from_der(der: bytes) -> CertificateInfo:
    """Reads the fields of a DER certificate; raises ValueError if it is malformed."""
    return from_certificate(x509.load_der_x509_certificate(der))
