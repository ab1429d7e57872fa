"""A certificate authority for tests and trials on loopback; not meant for a network with real calls."""

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
CA_FILE_STEM, CRL_FILE = "ca", "ca.crl"
_USAGE_OIDS = {SERVER_AUTH: ExtendedKeyUsageOID.SERVER_AUTH, CLIENT_AUTH: ExtendedKeyUsageOID.CLIENT_AUTH}


def _subject(name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name[:64])])


def write_atomically(path: Path, data: bytes, private: bool = False) -> None:
    """Replaces a file in one step: a reader sees the old content or the new. `private` sets mode 0600."""
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    mode = 0o600 if private else 0o644
    with open(os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, mode), "wb") as file:
        file.write(data)
    os.replace(temporary, path)


def _pem(key: PrivateKey) -> bytes:
    return key.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption())


@dataclass(frozen=True, slots=True)
class CertificateAuthority:
    """An authority whose certificate, key and revocation list are files in one folder."""

    folder: Path
    certificate: x509.Certificate
    key: ec.EllipticCurvePrivateKey

    @classmethod
    def create(
        cls, folder: Path, days: float, name: str = "ospreybridge test authority"
    ) -> CertificateAuthority:
        """Makes an authority and writes its files; the certificate is valid for `days` from an hour ago."""
        folder.mkdir(parents=True, exist_ok=True)
        key = ec.generate_private_key(ec.SECP256R1())
        not_before = datetime.now(UTC) - timedelta(hours=1)
        identifier = x509.SubjectKeyIdentifier.from_public_key(key.public_key())
        certificate = (
            x509.CertificateBuilder()
            .subject_name(_subject(name))
            .issuer_name(_subject(name))
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(not_before)
            .not_valid_after(not_before + timedelta(days=days))
            .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
            .add_extension(x509.KeyUsage(False, False, False, False, False, True, True, False, False), True)
            .add_extension(identifier, critical=False)
            .sign(key, hashes.SHA256())
        )
        created = cls(folder, certificate, key)
        write_atomically(folder / f"{CA_FILE_STEM}.key", _pem(key), private=True)
        write_atomically(folder / f"{CA_FILE_STEM}.crt", certificate.public_bytes(Encoding.PEM))
        created.write_revocation_list([])
        return created

    @classmethod
    def open(cls, folder: Path) -> CertificateAuthority:
        """Reads an authority from its files; raises OSError or ValueError if the folder has none."""
        certificate = x509.load_pem_x509_certificate((folder / f"{CA_FILE_STEM}.crt").read_bytes())
        key = load_pem_private_key((folder / f"{CA_FILE_STEM}.key").read_bytes(), None)
        if not isinstance(key, ec.EllipticCurvePrivateKey):
            raise ValueError("the authority's key is not an EC key, the type that `keys authority` makes")
        return cls(folder, certificate, key)

    def issue(
        self,
        file_stem: str,
        dns_names: list[str],
        days: float = 90.0,
        starts_in_days: float = -1 / 24,
        purposes: tuple[str, ...] = (SERVER_AUTH, CLIENT_AUTH),
        rsa_bits: int = 0,
        common_name: str = "",
    ) -> x509.Certificate:
        """Issues a certificate and writes it and its key as FILE_STEM.crt and FILE_STEM.key.

        It is valid from `starts_in_days` to `days` from now; both may be negative. The key is an RSA key
        if `rsa_bits` is not 0, an EC key otherwise.
        """
        key: PrivateKey = (
            rsa.generate_private_key(65_537, rsa_bits)
            if rsa_bits
            else ec.generate_private_key(ec.SECP256R1())
        )
        now = datetime.now(UTC)
        authority = x509.AuthorityKeyIdentifier.from_issuer_public_key(self.key.public_key())
        certificate = (
            x509.CertificateBuilder()
            .subject_name(_subject(common_name or (dns_names[0] if dns_names else file_stem)))
            .issuer_name(self.certificate.subject)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now + timedelta(days=starts_in_days))
            .not_valid_after(now + timedelta(days=days))
            .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
            .add_extension(x509.SubjectAlternativeName([x509.DNSName(name) for name in dns_names]), False)
            .add_extension(x509.ExtendedKeyUsage([_USAGE_OIDS[purpose] for purpose in purposes]), False)
            .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), critical=False)
            .add_extension(authority, critical=False)
            .sign(self.key, hashes.SHA256())
        )
        write_atomically(self.folder / f"{file_stem}.key", _pem(key), private=True)
        write_atomically(self.folder / f"{file_stem}.crt", certificate.public_bytes(Encoding.PEM))
        return certificate

    def revoked_serials(self) -> list[int]:
        """The serial numbers on the current revocation list."""
        revocation_list = x509.load_pem_x509_crl((self.folder / CRL_FILE).read_bytes())
        return [entry.serial_number for entry in revocation_list]

    def write_revocation_list(self, serials: list[int], days: float = 30.0) -> None:
        """Replaces the revocation list by one of exactly these serial numbers; next update due in `days`."""
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
        write_atomically(
            self.folder / CRL_FILE, builder.sign(self.key, hashes.SHA256()).public_bytes(Encoding.PEM)
        )
