"""`ospreybridge keys`: a test authority, certificates, what they say, and whether a set fits its settings."""

from __future__ import annotations

import sys
import time
from datetime import UTC, datetime
from pathlib import Path

import click
from cryptography import x509

from ospreybridge.keys import certificate_info as read_facts
from ospreybridge.keys import credentials, validation
from ospreybridge.keys.authority import CA_FILE_STEM, CertificateAuthority
from ospreybridge.keys.certificate_info import CLIENT_AUTH, SERVER_AUTH, CertificateInfo
from ospreybridge.net.tls import TlsContexts
from ospreybridge.settings.errors import SettingsError
from ospreybridge.settings.server import load

FOLDER = click.Path(file_okay=False, path_type=Path)
FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
DAY = 86_400.0


@click.group()
def keys() -> None:
    """Certificates and keys of the links.

    \b
    A fleet for trials, from nothing:
      ospreybridge keys authority trial               a test authority in trial/
      ospreybridge keys issue trial cs1.example.test  trial/cs1.crt and trial/cs1.key
      ospreybridge keys check cs1.kdl                 does the set fit the settings?
    """


def _fail(text: str) -> None:
    click.echo(text, err=True)
    sys.exit(2)


def _open(folder: Path) -> CertificateAuthority:
    try:
        return CertificateAuthority.open(folder)
    except (OSError, ValueError) as error:
        _fail(f"{folder}: holds no test authority: {error}")
        raise AssertionError from error


@keys.command()
@click.argument("folder", type=FOLDER)
@click.option("--days", default=365.0, show_default=True, help="How long it holds.")
@click.option("--name", default="ospreybridge test authority", show_default=True)
def authority(folder: Path, days: float, name: str) -> None:
    """Makes a test authority in FOLDER: ca.crt (the trust file), ca.key and ca.crl (nothing revoked yet).

    An authority that stands there already is left alone. For trials: a real network has its own.
    """
    if (folder / f"{CA_FILE_STEM}.key").exists():
        _fail(f"{folder}: has an authority already; take another folder or remove it first")
    CertificateAuthority.create(folder, days, name)
    click.echo(f"{folder}: ca.crt, ca.key, ca.crl")


@keys.command()
@click.argument("folder", type=FOLDER)
@click.argument("names", nargs=-1, required=True)
@click.option("--file", help="Name of the files; if not told, the first label of the first name.")
@click.option("--days", default=90.0, show_default=True, help="How long it holds.")
@click.option("--rsa", default=0, help="An RSA key of so many bits in place of P-256.")
def issue(folder: Path, names: tuple[str, ...], file: str | None, days: float, rsa: int) -> None:
    """Issues a certificate that shows NAMES in its SAN, good for dialling and being dialled.

    Files that stand there are replaced, each whole; a running server takes the new set up by itself.
    """
    if rsa and not validation.MIN_KEY_BITS["RSA"] <= rsa <= 8_192:
        raise click.UsageError(f"--rsa: from {validation.MIN_KEY_BITS['RSA']} to 8192 bits")
    made = file or names[0].partition(".")[0]
    try:
        _open(folder).issue(made, list(names), days, rsa_bits=rsa)
    except ValueError as error:
        _fail(f"{names}: {error}")
    click.echo(f"{folder}: {made}.crt, {made}.key for {', '.join(names)}, {days:g} days")


@keys.command()
@click.argument("folder", type=FOLDER)
@click.argument("certificate", type=FILE)
def revoke(folder: Path, certificate: Path) -> None:
    """Puts CERTIFICATE on the revocation list of the authority in FOLDER."""
    authority = _open(folder)
    serial = _read(certificate)[0].serial
    authority.write_revocation_list(sorted({*authority.revoked_serials(), serial}))
    click.echo(f"{folder / 'ca.crl'}: {len(authority.revoked_serials())} revoked, with serial {serial:x}")


def _read(path: Path) -> list[CertificateInfo]:
    try:
        return [
            read_facts.from_certificate(one) for one in x509.load_pem_x509_certificates(path.read_bytes())
        ]
    except (ValueError, OSError) as error:
        _fail(f"{path}: no PEM certificate: {error}")
        raise AssertionError from error


def _left(end: float, now: float) -> str:
    day = datetime.fromtimestamp(end, UTC).strftime("%Y-%m-%d %H:%M UTC")
    return f"{day}, {(end - now) / DAY:.1f} days left" if end > now else f"{day}, OVER"


@keys.command()
@click.argument("files", nargs=-1, required=True, type=FILE)
def show(files: tuple[Path, ...]) -> None:
    """Shows what certificates say: names, dates, key, purposes, and what a peer would refuse."""
    now = time.time()
    for path in files:
        for facts in _read(path):
            faults = {
                str(validation.certificate_error(facts, now, purpose, ()))
                for purpose in (SERVER_AUTH, CLIENT_AUTH)
            } - {"None"}
            if facts.is_ca:
                faults -= {str(validation.FailureReason.WRONG_PURPOSE)}
            click.echo(f"{path}")
            rows = [
                ("names", ", ".join(facts.dns_names) or "none"),
                ("kind", "authority" if facts.is_ca else "end"),
                ("begins", datetime.fromtimestamp(facts.not_before, UTC).strftime("%Y-%m-%d %H:%M UTC")),
                ("ends", _left(facts.not_after, now)),
                ("key", f"{facts.key_type} {facts.key_bits}"),
                ("purposes", ", ".join(sorted(facts.purposes)) or "none of a link's"),
                ("serial", f"{facts.serial:x}"),
                ("refused as", ", ".join(sorted(faults)) or "-"),
            ]
            for name, value in rows:
                click.echo(f"  {name:<12}{value}")


@keys.command()
@click.argument("file", type=FILE)
def check(file: Path) -> None:
    """Holds the set that settings FILE names against it: key, chain, names, dates, revocation, modes.

    Exit code 0: sound; 1: sound, but something ends within the first of the warning days; 2: not sound.
    """
    try:
        settings = load(file)
    except SettingsError as error:
        _fail("\n".join(error.errors))
        return
    if settings.tls is None:
        plain = sum(not peer.tls_name for peer in settings.peers)
        click.echo(f"{file}: no tls node; {plain} peers are plain")
        return
    now = time.time()
    try:
        held = credentials.load(settings.tls.paths, now, settings.tls.name)
        TlsContexts(held, settings.tls.allow_12)
    except credentials.CredentialsError as error:
        _fail("\n".join(error.errors))
        return
    click.echo(f"{file}: set {held.digest} is sound, names {', '.join(held.own_certificate.dns_names)}")
    for name, end in held.expiry_times.items():
        click.echo(f"  {name}: {_left(end, now)}")
    if held.crl_next_update is not None:
        click.echo(
            f"  revocation list, next due: {_left(held.crl_next_update, now)}; {len(held.revoked)} revoked"
        )
    secured = [peer for peer in settings.peers if peer.tls_name]
    click.echo(f"  {len(secured)} peers over TLS, {len(settings.peers) - len(secured)} plain")
    first = max(settings.tls.warn_days, default=0.0)
    sys.exit(1 if min(held.expiry_times.values()) - now < first * DAY else 0)
