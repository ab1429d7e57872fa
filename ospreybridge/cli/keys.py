"""`ospreybridge keys`: a test authority, certificates, and a check of the credentials of settings."""

from __future__ import annotations

import sys
import time
from datetime import UTC, datetime
from pathlib import Path

import click
from cryptography import x509

from ospreybridge.keys import certificate_info, credentials, validation
from ospreybridge.keys.authority import CA_FILE_STEM, CertificateAuthority
from ospreybridge.keys.certificate_info import CLIENT_AUTH, SERVER_AUTH, CertificateInfo
from ospreybridge.net.tls import TlsContexts
from ospreybridge.settings.errors import SettingsError
from ospreybridge.settings.server import load

DIRECTORY = click.Path(file_okay=False, path_type=Path)
EXISTING_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
SECONDS_PER_DAY = 86_400.0


@click.group()
def keys() -> None:
    """Manages certificates and keys of TLS links.

    \b
    Credentials for a test fleet:
      ospreybridge keys authority trial               creates a test authority in trial/
      ospreybridge keys issue trial cs1.example.test  writes trial/cs1.crt and trial/cs1.key
      ospreybridge keys check cs1.kdl                 checks the credentials of the settings
    """


def _exit_with_error(text: str) -> None:
    click.echo(text, err=True)
    sys.exit(2)


def _open_authority(folder: Path) -> CertificateAuthority:
    try:
        return CertificateAuthority.open(folder)
    except (OSError, ValueError) as error:
        _exit_with_error(f"{folder}: cannot open a test authority: {error}")
        raise AssertionError from error


@keys.command()
@click.argument("folder", type=DIRECTORY)
@click.option("--days", default=365.0, show_default=True, help="Validity in days.")
@click.option("--name", default="ospreybridge test authority", show_default=True)
def authority(folder: Path, days: float, name: str) -> None:
    """Creates a test authority in FOLDER: ca.crt (the trust file), ca.key and ca.crl (nothing revoked yet).

    An existing authority is not replaced. For tests only: a production network has its own authority.
    """
    if (folder / f"{CA_FILE_STEM}.key").exists():
        _exit_with_error(f"{folder}: already has an authority; choose another folder or remove it first")
    CertificateAuthority.create(folder, days, name)
    click.echo(f"{folder}: ca.crt, ca.key, ca.crl")


@keys.command()
@click.argument("folder", type=DIRECTORY)
@click.argument("names", nargs=-1, required=True)
@click.option("--file", help="Name of the files; default: the first label of the first name.")
@click.option("--days", default=90.0, show_default=True, help="Validity in days.")
@click.option("--rsa", default=0, help="Size in bits of an RSA key to use instead of P-256.")
def issue(folder: Path, names: tuple[str, ...], file: str | None, days: float, rsa: int) -> None:
    """Issues a certificate with NAMES in its SAN, valid for both the dialling and the listening side.

    Existing files are replaced atomically; a running server loads the new credentials by itself.
    """
    if rsa and not validation.MIN_KEY_BITS["RSA"] <= rsa <= 8_192:
        raise click.UsageError(f"--rsa: from {validation.MIN_KEY_BITS['RSA']} to 8192 bits")
    file_stem = file or names[0].partition(".")[0]
    try:
        _open_authority(folder).issue(file_stem, list(names), days, rsa_bits=rsa)
    except ValueError as error:
        _exit_with_error(f"{names}: {error}")
    click.echo(f"{folder}: {file_stem}.crt, {file_stem}.key for {', '.join(names)}, {days:g} days")


@keys.command()
@click.argument("folder", type=DIRECTORY)
@click.argument("certificate", type=EXISTING_FILE)
def revoke(folder: Path, certificate: Path) -> None:
    """Puts CERTIFICATE on the revocation list of the authority in FOLDER."""
    authority = _open_authority(folder)
    serial = _read_certificates(certificate)[0].serial
    authority.write_revocation_list(sorted({*authority.revoked_serials(), serial}))
    click.echo(f"{folder / 'ca.crl'}: {len(authority.revoked_serials())} revoked, with serial {serial:x}")


def _read_certificates(path: Path) -> list[CertificateInfo]:
    try:
        return [
            certificate_info.from_certificate(certificate)
            for certificate in x509.load_pem_x509_certificates(path.read_bytes())
        ]
    except (ValueError, OSError) as error:
        _exit_with_error(f"{path}: no PEM certificate: {error}")
        raise AssertionError from error


def _format_expiry(expires_at: float, now: float) -> str:
    date = datetime.fromtimestamp(expires_at, UTC).strftime("%Y-%m-%d %H:%M UTC")
    return (
        f"{date}, {(expires_at - now) / SECONDS_PER_DAY:.1f} days left"
        if expires_at > now
        else f"{date}, OVER"
    )


@keys.command()
@click.argument("files", nargs=-1, required=True, type=EXISTING_FILE)
def show(files: tuple[Path, ...]) -> None:
    """Shows names, dates, key and purposes of certificates, and why a peer would refuse them."""
    now = time.time()
    for path in files:
        for certificate in _read_certificates(path):
            refusal_reasons = {
                str(validation.certificate_error(certificate, now, purpose, ()))
                for purpose in (SERVER_AUTH, CLIENT_AUTH)
            } - {"None"}
            if certificate.is_ca:
                refusal_reasons -= {str(validation.FailureReason.WRONG_PURPOSE)}
            click.echo(f"{path}")
            rows = [
                ("names", ", ".join(certificate.dns_names) or "none"),
                ("kind", "authority" if certificate.is_ca else "end"),
                (
                    "begins",
                    datetime.fromtimestamp(certificate.not_before, UTC).strftime("%Y-%m-%d %H:%M UTC"),
                ),
                ("ends", _format_expiry(certificate.not_after, now)),
                ("key", f"{certificate.key_type} {certificate.key_bits}"),
                ("purposes", ", ".join(sorted(certificate.purposes)) or "none of a link's"),
                ("serial", f"{certificate.serial:x}"),
                ("refused as", ", ".join(sorted(refusal_reasons)) or "-"),
            ]
            for name, value in rows:
                click.echo(f"  {name:<12}{value}")


@keys.command()
@click.argument("file", type=EXISTING_FILE)
def check(file: Path) -> None:
    """Checks the credentials that settings FILE names: key, chain, names, dates, revocation, file modes.

    Exit code 0: valid; 1: valid, but something expires within the first of the warning days; 2: invalid.
    """
    try:
        settings = load(file)
    except SettingsError as error:
        _exit_with_error("\n".join(error.errors))
        return
    if settings.tls is None:
        plain = sum(not peer.tls_name for peer in settings.peers)
        click.echo(f"{file}: no tls node; {plain} peers are plain")
        return
    now = time.time()
    try:
        loaded = credentials.load(settings.tls.paths, now, settings.tls.name)
        TlsContexts(loaded, settings.tls.allow_12)
    except credentials.CredentialsError as error:
        _exit_with_error("\n".join(error.errors))
        return
    click.echo(f"{file}: set {loaded.digest} is sound, names {', '.join(loaded.own_certificate.dns_names)}")
    for name, expires_at in loaded.expiry_times.items():
        click.echo(f"  {name}: {_format_expiry(expires_at, now)}")
    if loaded.crl_next_update is not None:
        click.echo(
            f"  revocation list, next due: {_format_expiry(loaded.crl_next_update, now)}; "
            f"{len(loaded.revoked)} revoked"
        )
    tls_peers = [peer for peer in settings.peers if peer.tls_name]
    click.echo(f"  {len(tls_peers)} peers over TLS, {len(settings.peers) - len(tls_peers)} plain")
    warn_days = max(settings.tls.warn_days, default=0.0)
    sys.exit(1 if min(loaded.expiry_times.values()) - now < warn_days * SECONDS_PER_DAY else 0)
