"""A test authority: certificates for trials on loopback, never for a network that carries real calls."""

from __future__ import annotations

import os
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.asymmetric import ec, rsa
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    NoEncryption,
    PrivateFormat,
    load_pem_private_key,
)
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

from ospreybridge.keys.certificate_info import CLIENT_AUTH, SERVER_AUTH

PrivateKey = ec.EllipticCurvePrivateKey | rsa.RSAPrivateKey
CA_FILE_STEM, LIST = "ca", "ca.crl"
_USAGE = {SERVER_AUTH: ExtendedKeyUsageOID.SERVER_AUTH, CLIENT_AUTH: ExtendedKeyUsageOID.CLIENT_AUTH}


def _subject(name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name[:64])])


def write(path: Path, data: bytes, private: bool = False) -> None:
    """Whole or not at all: a reader sees the old file or the new one."""
    beside = path.with_name(f".{path.name}.{os.getpid()}")
    mode = 0o600 if private else 0o644
    with open(os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, mode), "wb") as file:
        file.write(data)
    os.replace(beside, path)


def _pem(key: PrivateKey) -> bytes:
    return key.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption())


@dataclass(frozen=True, slots=True)
class CertificateAuthority:
    folder: Path
    certificate: x509.Certificate
    key: ec.EllipticCurvePrivateKey

    @classmethod
    def create(
        cls, folder: Path, days: float, name: str = "ospreybridge test authority"
    ) -> CertificateAuthority:
        folder.mkdir(parents=True, exist_ok=True)
        key = ec.generate_private_key(ec.SECP256R1())
        begin = datetime.now(UTC) - timedelta(hours=1)
        identifier = x509.SubjectKeyIdentifier.from_public_key(key.public_key())
        certificate = (
            x509.CertificateBuilder()
            .subject_name(_subject(name))
            .issuer_name(_subject(name))
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(begin)
            .not_valid_after(begin + timedelta(days=days))
            .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
            .add_extension(x509.KeyUsage(False, False, False, False, False, True, True, False, False), True)
            .add_extension(identifier, critical=False)
            .sign(key, hashes.SHA256())
        )
        made = cls(folder, certificate, key)
        write(folder / f"{CA_FILE_STEM}.key", _pem(key), private=True)
        write(folder / f"{CA_FILE_STEM}.crt", certificate.public_bytes(Encoding.PEM))
        made.write_revocation_list([])
        return made

    @classmethod
    def open(cls, folder: Path) -> CertificateAuthority:
        """OSError or ValueError where the folder holds no test authority."""
        certificate = x509.load_pem_x509_certificate((folder / f"{CA_FILE_STEM}.crt").read_bytes())
        key = load_pem_private_key((folder / f"{CA_FILE_STEM}.key").read_bytes(), None)
        if not isinstance(key, ec.EllipticCurvePrivateKey):
            raise ValueError("the authority's key is not the kind that this command makes")
        return cls(folder, certificate, key)

    def issue(
        self,
        file: str,
        names: list[str],
        days: float = 90.0,
        begins: float = -1 / 24,
        purposes: tuple[str, ...] = (SERVER_AUTH, CLIENT_AUTH),
        rsa_bits: int = 0,
        common: str = "",
    ) -> x509.Certificate:
        """FILE.key and FILE.crt in the folder; `days` and `begins` (days from now) may lie in the past."""
        key: PrivateKey = (
            rsa.generate_private_key(65_537, rsa_bits)
            if rsa_bits
            else ec.generate_private_key(ec.SECP256R1())
        )
        now = datetime.now(UTC)
        authority = x509.AuthorityKeyIdentifier.from_issuer_public_key(self.key.public_key())
        certificate = (
            x509.CertificateBuilder()
            .subject_name(_subject(common or (names[0] if names else file)))
            .issuer_name(self.certificate.subject)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now + timedelta(days=begins))
            .not_valid_after(now + timedelta(days=days))
            .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
            .add_extension(x509.SubjectAlternativeName([x509.DNSName(name) for name in names]), False)
            .add_extension(x509.ExtendedKeyUsage([_USAGE[purpose] for purpose in purposes]), False)
            .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), critical=False)
            .add_extension(authority, critical=False)
            .sign(self.key, hashes.SHA256())
        )
        write(self.folder / f"{file}.key", _pem(key), private=True)
        write(self.folder / f"{file}.crt", certificate.public_bytes(Encoding.PEM))
        return certificate

    def revoked_serials(self) -> list[int]:
        known = x509.load_pem_x509_crl((self.folder / LIST).read_bytes())
        return [entry.serial_number for entry in known]

    def write_revocation_list(self, serials: list[int], days: float = 30.0) -> None:
        """Writes the list anew with exactly these serial numbers."""
        now = datetime.now(UTC)
        builder = (
            x509.CertificateRevocationListBuilder()
            .issuer_name(self.certificate.subject)
            .last_update(now)
            .next_update(now + timedelta(days=days))
        )
        for serial in serials:
            entry = x509.RevokedCertificateBuilder().serial_number(serial).revocation_date(now).build()
            builder = builder.add_revoked_certificate(entry)
        write(self.folder / LIST, builder.sign(self.key, hashes.SHA256()).public_bytes(Encoding.PEM))
