"""Loads certificate, key, trusted authorities and revocation lists, and checks them together before use."""

from __future__ import annotations

import hashlib
import os
import stat
from dataclasses import dataclass
from pathlib import Path

from cryptography import x509
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.types import PrivateKeyTypes
from cryptography.hazmat.primitives.serialization import Encoding, PublicFormat, load_pem_private_key

from ospreybridge.keys import certificate_info, validation
from ospreybridge.keys.certificate_info import CLIENT_AUTH, SERVER_AUTH, CertificateInfo

MAX_FILE_BYTES = 1 << 20  # anything longer is not a PEM file of certificates


class CredentialsError(Exception):
    """All errors found in a set of credentials; each names the file and what was expected."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__("; ".join(errors))
        self.errors = errors


@dataclass(frozen=True, slots=True)
class CredentialPaths:
    """The files of a set of credentials."""

    certificate: Path  # PEM: the own certificate first, then the intermediates
    key: Path  # PEM, not encrypted, accessible to its owner only
    trust: Path  # PEM: the authorities that peers' certificate chains must end at
    revoked: Path | None = None  # PEM: revocation lists of those authorities

    def configured(self) -> list[Path]:
        """All paths that are set."""
        return [path for path in (self.certificate, self.key, self.trust, self.revoked) if path is not None]


@dataclass(frozen=True, slots=True)
class Credentials:
    """A checked set of credentials.

    Holds the bytes that were checked, so that a later change of a file has no effect until the next load.
    """

    certificate: bytes
    key: bytes
    trust: bytes
    own_certificate: CertificateInfo
    revoked: frozenset[tuple[bytes, int]]  # (issuer name in DER, serial number)
    expiry_times: dict[str, float]  # by file, in seconds since 1970
    digest: str  # identifies the set in the log
    crl_next_update: float | None = None  # earliest next update of the revocation lists, seconds since 1970


def _read_file(path: Path, errors: list[str], private: bool = False) -> bytes:
    try:
        with path.open("rb") as file:
            mode = os.fstat(file.fileno()).st_mode
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        errors.append(f"{path}: can't be read: {error.strerror}")
        return b""
    if private and stat.S_IMODE(mode) & 0o077:
        # Anyone who can read the key can impersonate this server. The mode is that of the open file, so
        # the file that is checked is the one that was read.
        errors.append(f"{path}: readable by others (mode {stat.S_IMODE(mode):04o}); expected 0600")
    if len(data) > MAX_FILE_BYTES:
        errors.append(f"{path}: longer than {MAX_FILE_BYTES} bytes")
        return b""
    return data


def _parse_certificates(path: Path, data: bytes, errors: list[str]) -> list[x509.Certificate]:
    try:
        return x509.load_pem_x509_certificates(data)
    except ValueError:
        errors.append(f"{path}: no PEM certificate, or it is cut off")
        return []


def _parse_revocation_lists(
    path: Path, data: bytes, authorities: list[x509.Certificate], errors: list[str]
) -> list[x509.CertificateRevocationList]:
    pem_header = b"-----BEGIN X509 CRL-----"
    found = []
    for part in data.split(pem_header)[1:]:
        try:
            revocation_list = x509.load_pem_x509_crl(pem_header + part)
        except ValueError:
            errors.append(f"{path}: a revocation list can't be parsed")
            continue
        signers = [authority for authority in authorities if authority.subject == revocation_list.issuer]
        if not any(_is_signed_by(revocation_list, signer) for signer in signers):
            errors.append(f"{path}: a revocation list is signed by no trusted authority")
        else:
            found.append(revocation_list)
    if not found and not errors:
        errors.append(f"{path}: no PEM revocation list")
    return found


def _is_signed_by(revocation_list: x509.CertificateRevocationList, authority: x509.Certificate) -> bool:
    try:
        return revocation_list.is_signature_valid(authority.public_key())  # type: ignore[arg-type]
    except (InvalidSignature, TypeError, ValueError):
        return False


def _is_key_of(certificate: x509.Certificate, key: PrivateKeyTypes) -> bool:
    encoding = (Encoding.DER, PublicFormat.SubjectPublicKeyInfo)
    return certificate.public_key().public_bytes(*encoding) == key.public_key().public_bytes(*encoding)


def load(paths: CredentialPaths, now: float, expected_name: str = "") -> Credentials:
    """Loads and checks a set of credentials; raises CredentialsError with all errors found.

    The chain is not verified here: `net.tls.TlsContexts` has OpenSSL do that. `now` is in seconds since 1970;
    the own certificate must contain `expected_name`, unless that is empty.
    """
    errors: list[str] = []
    certificate = _read_file(paths.certificate, errors)
    key = _read_file(paths.key, errors, private=True)
    trust = _read_file(paths.trust, errors)
    revoked = _read_file(paths.revoked, errors) if paths.revoked is not None else b""
    if errors:
        raise CredentialsError(errors)
    chain = _parse_certificates(paths.certificate, certificate, errors)
    authorities = _parse_certificates(paths.trust, trust, errors)
    try:
        private_key = load_pem_private_key(key, None)
    except (ValueError, TypeError):
        errors.append(f"{paths.key}: no PEM private key, or it is cut off or encrypted")
        private_key = None
    if chain and private_key is not None and not _is_key_of(chain[0], private_key):
        errors.append(f"{paths.key}: does not match the first certificate of {paths.certificate}")
    revocation_lists = (
        _parse_revocation_lists(paths.revoked, revoked, authorities, errors)
        if paths.revoked is not None and authorities
        else []
    )
    revoked_certificates = frozenset(
        (revocation_list.issuer.public_bytes(), entry.serial_number)
        for revocation_list in revocation_lists
        for entry in revocation_list
    )
    own_certificate = None
    if chain and authorities:
        try:
            own_certificate = certificate_info.from_certificate(chain[0])
            trust_expiry = {
                str(paths.trust): min(authority.not_valid_after_utc.timestamp() for authority in authorities)
            }
        except ValueError as error:
            raise CredentialsError([*errors, f"{paths.certificate}: {error}"]) from None
        for purpose in (SERVER_AUTH, CLIENT_AUTH):
            reason = validation.certificate_error(own_certificate, now, purpose, revoked_certificates)
            if reason is not None:
                errors.append(f"{paths.certificate}: {reason}")
                break
        if expected_name and not validation.certificate_has_name(own_certificate, expected_name, True):
            errors.append(
                f"{paths.certificate}: names {', '.join(own_certificate.dns_names) or 'none'};"
                f" expected {expected_name}"
            )
    if errors or own_certificate is None:
        raise CredentialsError(errors)
    expiry_times = {str(paths.certificate): own_certificate.not_after} | trust_expiry
    next_updates = [
        revocation_list.next_update_utc.timestamp()
        for revocation_list in revocation_lists
        if revocation_list.next_update_utc is not None
    ]
    digest = hashlib.sha256(b"\0".join((certificate, key, trust, revoked))).hexdigest()[:16]
    return Credentials(
        certificate,
        key,
        trust,
        own_certificate,
        revoked_certificates,
        expiry_times,
        digest,
        min(next_updates) if next_updates else None,
    )
