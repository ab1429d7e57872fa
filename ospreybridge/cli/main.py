"""The `ospreybridge` command. Exit codes: 0 done, 1 a rule broken or a call refused, 2 bad settings."""

from __future__ import annotations

import contextlib
import json
import os
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn, TypeVar

import click

from ospreybridge.settings.errors import SettingsError

if TYPE_CHECKING:
    from ospreybridge.settings.server import ServerSettings

FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
OUT = click.Path(dir_okay=False, path_type=Path)


CONFIG = "ROUTER_CONFIG"  # names the platform's configuration where no settings file is given


class _Late(click.Group):
    """Commands whose imports are heavy are loaded when called: `serve` starts on little memory."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted([*super().list_commands(ctx), "keys"])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name == "keys":
            from ospreybridge.cli.keys import keys

            return keys
        return super().get_command(ctx, cmd_name)


@click.group(cls=_Late, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="ospreybridge")
def main() -> None:
    """A call router that sets calls up over trunk groups.

    Calls come in by M3UA and ISUP over TCP, go direct where they can, else through the tandem whose own
    first-leg group has most free circuits, and get exactly one final answer each.

    \b
    To begin:
      ospreybridge check examples/cs1.kdl     is the settings file sound?
      ospreybridge serve examples/cs1.kdl     one call server
      ospreybridge keys --help                certificates for links over TLS
      ospreybridge day examples/bad-day.kdl   a fleet on loopback through a scripted bad day
    """


T = TypeVar("T")


def _sound(read: Callable[[], T]) -> T:
    """What a file holds; each fault is shown and ends the command where it is not sound."""
    try:
        return read()
    except SettingsError as error:
        for fault in error.errors:
            click.echo(fault, err=True)
        sys.exit(2)


def _settings(path: Path) -> ServerSettings:
    from ospreybridge.settings.server import load

    return _sound(lambda: load(path))


def _plain_only(file: Path, settings: ServerSettings, *roles: str) -> None:
    """Ends a command that stands in for a peer whose link needs a certificate, which it has not."""
    for peer in settings.peers:
        if peer.role in roles and peer.tls_name:
            click.echo(f"{file}: peer {peer.name}: over TLS; this command has a plain link only", err=True)
            sys.exit(2)


@main.command()
@click.argument("file", type=FILE)
def check(file: Path) -> None:
    """Reads a settings file whole and names every fault with its line and key.

    Exit code 0: sound; 2: not.
    """
    settings = _settings(file)
    groups = sum(bool(peer.cics) for peer in settings.peers)
    circuits = sum(len(peer.cics) for peer in settings.peers)
    click.echo(
        f"{file}: exchange {settings.name} (number {settings.number}, point code {settings.point_code}), "
        f"{len(settings.peers)} peers, {groups} trunk groups with {circuits} circuits, "
        f"{len(settings.classes)} classes, {len(settings.tenants)} tenants"
    )


@main.command()
@click.argument("file", type=FILE, required=False)
@click.option("--capture", type=OUT, help="Write every frame as a pcapng that Wireshark opens.")
@click.option("--port-file", type=OUT, help="Write the port listened on; the TLS one if there is one.")
@click.option("--log", "form", type=click.Choice(["json", "text"]), default="json", show_default=True)
@click.option("--log-calls", is_flag=True, help="Log each step of each call with its reference.")
def serve(
    file: Path | None, capture: Path | None, port_file: Path | None, form: str, log_calls: bool
) -> None:
    """Runs one call server until SIGTERM or SIGINT.

    SIGTERM: peers are told (CGB), no new calls are taken, pending calls are answered, circuits are released,
    and the exit code is 0 within the `stop within` of the settings. SIGHUP: number tables, classes' rules,
    tenants' prefixes and timers are read anew; a bad file is refused and the old tables stay.

    Without FILE the environment's ROUTER_CONFIG names the platform's configuration (JSON): calls then come
    and go as JSON lines, and the office list comes from the journal service (docs/platform.md).
    """
    from ospreybridge.cli.logs import logger

    if file is None:
        _serve_platform(logger, form, log_calls)

    from ospreybridge.daemon.daemon import Daemon
    from ospreybridge.keys.credentials import CredentialsError

    settings = _settings(file)
    record = None
    writer: Any = None
    if capture is not None:
        from ospreybridge.lab.tap import Capture

        writer = Capture(capture)

        def record(source: int, target: int, frame: bytes) -> None:
            writer.note(time.time() * 1_000.0, source, target, frame)

    try:
        daemon = Daemon(settings, logger(form, settings.name), log_calls, record)
    except OSError as error:
        click.echo(f"{file}: listen: {error}", err=True)
        sys.exit(2)
    except CredentialsError as error:
        for fault in error.errors:
            click.echo(f"{file}: tls: {fault}", err=True)
        sys.exit(2)
    if port_file is not None:
        port_file.write_text(f"{daemon.front.tls_port or daemon.front.port}\n")
    code = daemon.run()
    if writer is not None:
        writer.close()
    sys.exit(code)


def _serve_platform(
    logger: Callable[[str, str], Callable[..., None]], form: str, log_calls: bool
) -> NoReturn:
    from ospreybridge.daemon.platform import PlatformDaemon
    from ospreybridge.settings.platform import load

    named = os.environ.get(CONFIG)
    if not named:
        click.echo(f"serve: a settings file, or {CONFIG} in the environment, was expected", err=True)
        sys.exit(2)
    platform = _sound(lambda: load(Path(named)))
    try:
        daemon = PlatformDaemon(platform, logger(form, platform.name), log_calls)
    except OSError as error:
        click.echo(f"{named}: listen: {error}", err=True)
        sys.exit(2)
    sys.exit(daemon.run())


@main.command()
@click.argument("file", type=FILE)
@click.option("--setup", default=4.0, show_default=True, help="Work of one set-up, milliseconds.")
@click.option("--seconds", default=0.0, help="Stop after so long; 0: until interrupted.")
def offices(file: Path, setup: float, seconds: float) -> None:
    """Stands in for what surrounds the call server of FILE: its office's lines and the exchange list.

    The office answers every call after its processor's work; the list tells all exchanges ready.
    """
    from ospreybridge.net.loop import EventLoop
    from ospreybridge.settings.server import Peer
    from ospreybridge.standins.endpoint import Endpoint, Place
    from ospreybridge.standins.listservice import ListLink, TheList
    from ospreybridge.standins.office import Office, Processor

    settings = _settings(file)
    _plain_only(file, settings, "office", "list")
    loop = EventLoop()
    numbers = [settings.point_code, *(p.point_code for p in settings.peers if p.role == "exchange")]
    listed = TheList(loop, numbers, (0.0, 100.0), 1)
    standing: list[Endpoint] = []
    for peer in settings.peers:
        server = Peer(
            settings.name,
            "exchange",
            settings.point_code,
            peer.routing_context,
            dial_address=("", 0),
            cics=peer.cics,
        )
        place = Place(loop, peer.point_code, server, lambda: settings.listen)
        if peer.role == "office":
            standing.append(Office(place, Processor(setup=setup), 1))
        elif peer.role == "list":
            standing.append(ListLink(place, listed))
    click.echo(f"standing in for {len(standing)} peers of {settings.name}; interrupt to end")
    with contextlib.suppress(KeyboardInterrupt):
        loop.run_until(lambda: False, seconds * 1_000 if seconds else 1e12)


@main.command()
@click.argument("number")
@click.option("--settings", "file", type=FILE, required=True, help="The call server's own settings file.")
@click.option("--calling", default="5000000", show_default=True, help="Number of the caller.")
@click.option("--category", default=10, show_default=True, help="Calling party's category, 0 to 255.")
@click.option("--wide", is_flag=True, help="A call two circuits wide (2 x 64 kbit/s).")
@click.option("--hold", default=0.0, show_default=True, help="Seconds before it is released.")
@click.option("--within", default=10.0, show_default=True, help="Seconds to wait for an answer.")
def call(
    number: str, file: Path, calling: str, category: int, wide: bool, hold: float, within: float
) -> None:
    """Makes one call to NUMBER as one of the call server's callers and shows its way.

    It takes the place of the callers' association of the settings. Exit code 0: it stood; 1: it did not.
    """
    from ospreybridge.lab.onecall import OneCall

    settings = _settings(file)
    if not number.isdigit() or not calling.isdigit():
        raise click.UsageError("numbers are digits only")
    if settings.listen is None or not any(peer.role == "callers" for peer in settings.peers):
        click.echo(f'{file}: exchange listen and a peer with role="callers" are needed', err=True)
        sys.exit(2)
    _plain_only(file, settings, "callers")
    one = OneCall(settings, number, calling, category, wide, click.echo)
    sys.exit(0 if one.run(within * 1_000, hold * 1_000) else 1)


@main.command()
@click.argument("script", type=FILE)
@click.option("--json", "json_file", type=OUT, help="Write the report as JSON.")
@click.option("--capture", type=OUT, help="Write all frames of the day as a pcapng.")
@click.option("--factor", type=float, help="Play so many times faster than the script's own clock.")
@click.option("--calm", is_flag=True, help="Leave the troubles out, for comparison.")
@click.option(
    "--keep", type=click.Path(file_okay=False, path_type=Path), help="Keep settings, logs and taps here."
)
@click.option("--quiet", is_flag=True, help="No progress lines.")
def day(
    script: Path,
    json_file: Path | None,
    capture: Path | None,
    factor: float | None,
    calm: bool,
    keep: Path | None,
    quiet: bool,
) -> None:
    """Plays a scripted day on loopback with call servers as processes, and judges the five rules.

    The rules are checked from the frames that passed between the processes. Exit code 0: all kept; 1: a rule
    was broken or a process misbehaved; 2: the script is not sound.
    """
    from ospreybridge.lab.day import Player
    from ospreybridge.lab.script import load as load_script

    plan = _sound(lambda: load_script(script, factor, not calm))

    def say(line: str) -> None:
        if not quiet:
            click.echo(line, err=True)

    with tempfile.TemporaryDirectory(prefix="ospreybridge-") as temporary:
        player = Player(plan, keep or Path(temporary), say)
        try:
            report = player.play()
        except RuntimeError as error:
            click.echo(str(error), err=True)
            sys.exit(1)
        if capture is not None:
            say(f"{player.capture(capture)} frames in {capture}")
    data = report.data()
    if json_file is not None:
        json_file.write_text(json.dumps(data, indent=1) + "\n")
    _show(data)
    sys.exit(0 if report.kept else 1)


@main.command()
@click.argument("what", type=click.Choice(["path", "memory", "module", "tls"]))
@click.option("--rate", default=600.0, show_default=True, help="Calls a second (path).")
@click.option("--calls", "count", type=int, help="Calls made; path 5000, memory 50000 if not told.")
@click.option("--json", "json_file", type=OUT, help="Write the figures as JSON.")
def measure(what: str, rate: float, count: int | None, json_file: Path | None) -> None:
    """Measures one call server on this machine; ratios are taken in one run.

    \b
    path    processor time of a whole call over that of a bare echo of its bytes, and the delays
    memory  resident memory of a standing call
    module  the module's own time for a call, at growing rates
    tls     handshakes full, resumed and none; calls over TLS against plain; set-ups during a storm
    """
    from ospreybridge.lab import measure as run

    if what == "path":
        data = run.path(click.echo, rate, count or 5_000)
    elif what == "memory":
        data = run.memory(click.echo, count or 50_000)
    elif what == "tls":
        from ospreybridge.lab import measure_tls

        data = measure_tls.tls(click.echo, rate, count or 5_000)
    else:
        data = run.module(click.echo)
    if json_file is not None:
        json_file.write_text(json.dumps(data, indent=1) + "\n")


def _show(data: dict[str, Any]) -> None:
    click.echo(f"\n{data['day']} (stand-ins on loopback), {data['seconds']} s in all")
    rows = [
        ("offered, first tries", data["offered"]),
        ("offered again after cuts", data["again_after_cuts"]),
        ("stood in time", f"{data['in_time']} ({data['in_time_share']:.1%})"),
        ("late", data["late"]),
        ("unserved", data["unserved"]),
        ("cut while standing", data["cut"]),
        ("tries with redials", data["tries"]),
        ("tries given up by callers", data["given_up"]),
        ("refused, by cause", ", ".join(f"{k}: {v}" for k, v in data["refused"].items()) or "none"),
        ("attempts a try", data["attempts_per_try"]),
        ("dual seizures", data["dual_seizures"]),
        ("set-up delay, ms", ", ".join(f"{k} {v:.1f}" for k, v in data["delay_ms"].items())),
        ("call servers' time a call", f"{data['processor_s_per_call'] * 1_000:.2f} ms"),
        ("unreadable frames", data["unreadable"]),
        ("rules broken", ", ".join(f"rule {k}: {v}" for k, v in data["rules_broken"].items()) or "none"),
    ]
    for name, value in rows:
        click.echo(f"  {name:<28}{value}")
    for line in [*data["notes"], *data["broken"][:10], *data["faults"][:10]]:
        click.echo(f"  - {line}")
