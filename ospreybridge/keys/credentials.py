"""One whole set of certificate, key, trust and revocation list, checked before any of it is used."""

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

from ospreybridge.keys import certificate_info as read_facts
from ospreybridge.keys import validation
from ospreybridge.keys.certificate_info import CLIENT_AUTH, SERVER_AUTH, CertificateInfo

LARGEST = 1 << 20  # octets of one file; anything longer is no set of certificates


class CredentialsError(Exception):
    """All faults of a set: each names the file and what was expected."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.errors = faults


@dataclass(frozen=True, slots=True)
class CredentialPaths:
    certificate: Path  # PEM: the own certificate first, then its intermediates
    key: Path  # PEM, not encrypted, readable by its owner alone
    trust: Path  # PEM: authorities that peers' certificates must lead to
    revoked: Path | None = None  # PEM revocation lists of those authorities

    def all(self) -> list[Path]:
        return [path for path in (self.certificate, self.key, self.trust, self.revoked) if path is not None]


@dataclass(frozen=True, slots=True)
class Credentials:
    """The very octets that were checked; a file that changes afterwards changes nothing here."""

    certificate: bytes
    key: bytes
    trust: bytes
    own_certificate: CertificateInfo
    revoked: frozenset[tuple[bytes, int]]
    expiry_times: dict[str, float]  # what ends when, in seconds since 1970
    digest: str
    crl_next_update: float | None = None  # when the next revocation list was due


def _read(path: Path, faults: list[str], private: bool = False) -> bytes:
    try:
        with path.open("rb") as file:
            mode = os.fstat(file.fileno()).st_mode
            data = file.read(LARGEST + 1)
    except OSError as error:
        faults.append(f"{path}: can't be read: {error.strerror}")
        return b""
    if private and stat.S_IMODE(mode) & 0o077:
        # Who can read the key can pass as this server; the checked handle is the one that was read.
        faults.append(f"{path}: readable by others (mode {stat.S_IMODE(mode):04o}); expected 0600")
    if len(data) > LARGEST:
        faults.append(f"{path}: longer than {LARGEST} octets")
        return b""
    return data


def _certificates(path: Path, data: bytes, faults: list[str]) -> list[x509.Certificate]:
    try:
        return x509.load_pem_x509_certificates(data)
    except ValueError:
        faults.append(f"{path}: no PEM certificate, or one cut off")
        return []


def _lists(
    path: Path, data: bytes, trust: list[x509.Certificate], faults: list[str]
) -> list[x509.CertificateRevocationList]:
    mark = b"-----BEGIN X509 CRL-----"
    found = []
    for part in data.split(mark)[1:]:
        try:
            revocations = x509.load_pem_x509_crl(mark + part)
        except ValueError:
            faults.append(f"{path}: a revocation list that can't be read")
            continue
        signers = [one for one in trust if one.subject == revocations.issuer]
        if not any(_signed(revocations, one) for one in signers):
            faults.append(f"{path}: a revocation list that no trusted authority has signed")
        else:
            found.append(revocations)
    if not found and not faults:
        faults.append(f"{path}: no PEM revocation list")
    return found


def _signed(revocations: x509.CertificateRevocationList, authority: x509.Certificate) -> bool:
    try:
        return revocations.is_signature_valid(authority.public_key())  # type: ignore[arg-type]
    except (InvalidSignature, TypeError, ValueError):
        return False


def _matches(certificate: x509.Certificate, key: PrivateKeyTypes) -> bool:
    form = (Encoding.DER, PublicFormat.SubjectPublicKeyInfo)
    return certificate.public_key().public_bytes(*form) == key.public_key().public_bytes(*form)


def load(paths: CredentialPaths, now: float, name: str = "") -> Credentials:
    """The set, checked but for its chain (`net.tls.Contexts` has OpenSSL do that); MaterialError names every
    fault. `now` in seconds since 1970; `name`: what the own certificate must say.
    """
    faults: list[str] = []
    certificate = _read(paths.certificate, faults)
    key = _read(paths.key, faults, private=True)
    trust = _read(paths.trust, faults)
    revoked = _read(paths.revoked, faults) if paths.revoked is not None else b""
    if faults:
        raise CredentialsError(faults)
    chain = _certificates(paths.certificate, certificate, faults)
    anchors = _certificates(paths.trust, trust, faults)
    try:
        private = load_pem_private_key(key, None)
    except (ValueError, TypeError):
        faults.append(f"{paths.key}: no PEM private key, one cut off, or an encrypted one")
        private = None
    if chain and private is not None and not _matches(chain[0], private):
        faults.append(f"{paths.key}: does not match the first certificate of {paths.certificate}")
    lists = _lists(paths.revoked, revoked, anchors, faults) if paths.revoked is not None and anchors else []
    serials = frozenset((one.issuer.public_bytes(), entry.serial_number) for one in lists for entry in one)
    own = None
    if chain and anchors:
        try:
            own = read_facts.from_certificate(chain[0])
            trusted = {str(paths.trust): min(one.not_valid_after_utc.timestamp() for one in anchors)}
        except ValueError as error:
            raise CredentialsError([*faults, f"{paths.certificate}: {error}"]) from None
        for purpose in (SERVER_AUTH, CLIENT_AUTH):
            reason = validation.certificate_error(own, now, purpose, serials)
            if reason is not None:
                faults.append(f"{paths.certificate}: {reason}")
                break
        if name and not validation.certificate_has_name(own, name, True):
            faults.append(f"{paths.certificate}: names {', '.join(own.dns_names) or 'none'}; expected {name}")
    if faults or own is None:
        raise CredentialsError(faults)
    ends = {str(paths.certificate): own.not_after} | trusted
    updates = [one.next_update_utc.timestamp() for one in lists if one.next_update_utc is not None]
    digest = hashlib.sha256(b"\0".join((certificate, key, trust, revoked))).hexdigest()[:16]
    return Credentials(certificate, key, trust, own, serials, ends, digest, min(updates) if updates else None)
