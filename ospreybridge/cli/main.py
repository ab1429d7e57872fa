"""The `ospreybridge` command. Exit codes: 0 success, 1 rule broken or call refused, 2 invalid settings."""

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

EXISTING_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
OUTPUT_FILE = click.Path(dir_okay=False, path_type=Path)

CONFIG_VARIABLE = "ROUTER_CONFIG"  # path of the platform's configuration, used without a settings file


class _LazyGroup(click.Group):
    """Imports `keys` only when it is called, so that `serve` needs less memory."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted([*super().list_commands(ctx), "keys"])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name == "keys":
            from ospreybridge.cli.keys import keys

            return keys
        return super().get_command(ctx, cmd_name)


@click.group(cls=_LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="ospreybridge")
def main() -> None:
    """A call router that sets up calls over trunk groups.

    Calls come in by M3UA and ISUP over TCP, go direct where they can, else through the tandem whose own
    first-leg group has most free circuits, and get exactly one final answer each.

    \b
    To begin:
      ospreybridge check examples/cs1.kdl     checks a settings file
      ospreybridge serve examples/cs1.kdl     runs one call server
      ospreybridge keys --help                certificates for TLS links
      ospreybridge day examples/bad-day.kdl   runs a scripted day with troubles on loopback
    """


T = TypeVar("T")


def _load_or_exit(read: Callable[[], T]) -> T:
    """Returns what `read` loads; on invalid settings prints each error and exits with code 2."""
    try:
        return read()
    except SettingsError as error:
        for message in error.errors:
            click.echo(message, err=True)
        sys.exit(2)


def _load_settings(path: Path) -> ServerSettings:
    from ospreybridge.settings.server import load

    return _load_or_exit(lambda: load(path))


def _require_plain_links(file: Path, settings: ServerSettings, *roles: str) -> None:
    """Exits with code 2 if a peer that the command simulates uses TLS: it has no certificate for it."""
    for peer in settings.peers:
        if peer.role in roles and peer.tls_name:
            click.echo(f"{file}: peer {peer.name}: over TLS; this command has a plain link only", err=True)
            sys.exit(2)


@main.command()
@click.argument("file", type=EXISTING_FILE)
def check(file: Path) -> None:
    """Checks a settings file and prints every error with its line and key.

    Exit code 0: valid; 2: invalid.
    """
    settings = _load_settings(file)
    groups = sum(bool(peer.cics) for peer in settings.peers)
    circuits = sum(len(peer.cics) for peer in settings.peers)
    click.echo(
        f"{file}: exchange {settings.name} (number {settings.number}, point code {settings.point_code}), "
        f"{len(settings.peers)} peers, {groups} trunk groups with {circuits} circuits, "
        f"{len(settings.classes)} classes, {len(settings.tenants)} tenants"
    )


@main.command()
@click.argument("file", type=EXISTING_FILE, required=False)
@click.option("--capture", type=OUTPUT_FILE, help="Write every frame to a pcapng file for Wireshark.")
@click.option(
    "--port-file",
    type=OUTPUT_FILE,
    help="Write the listening port to this file; the TLS port if there is one.",
)
@click.option("--log", "log_format", type=click.Choice(["json", "text"]), default="json", show_default=True)
@click.option("--log-calls", is_flag=True, help="Log each step of each call with its reference.")
def serve(
    file: Path | None, capture: Path | None, port_file: Path | None, log_format: str, log_calls: bool
) -> None:
    """Runs one call server until SIGTERM or SIGINT.

    SIGTERM: blocks the circuits at the peers (CGB), accepts no new calls, answers pending calls, releases all
    circuits and exits with code 0 within the `stop within` of the settings. SIGHUP: reloads number tables,
    class rules, tenant prefixes and timers; an invalid file is refused and the old tables stay in use.

    Without FILE, the environment variable ROUTER_CONFIG names the platform's configuration (JSON). Calls are
    then JSON lines, and the office list comes from the journal service (docs/platform.md).
    """
    from ospreybridge.cli.logs import make_logger

    if file is None:
        _serve_platform(make_logger, log_format, log_calls)

    from ospreybridge.daemon.daemon import Daemon
    from ospreybridge.keys.credentials import CredentialsError

    settings = _load_settings(file)
    record = None
    writer: Any = None
    if capture is not None:
        from ospreybridge.lab.tap import Capture

        writer = Capture(capture)

        def record(source: int, target: int, frame: bytes) -> None:
            writer.write(time.time() * 1_000.0, source, target, frame)

    try:
        daemon = Daemon(settings, make_logger(log_format, settings.name), log_calls, record)
    except OSError as error:
        click.echo(f"{file}: listen: {error}", err=True)
        sys.exit(2)
    except CredentialsError as error:
        for message in error.errors:
            click.echo(f"{file}: tls: {message}", err=True)
        sys.exit(2)
    if port_file is not None:
        port_file.write_text(f"{daemon.front.tls_port or daemon.front.port}\n")
    code = daemon.run()
    if writer is not None:
        writer.close()
    sys.exit(code)


def _serve_platform(
    make_logger: Callable[[str, str], Callable[..., None]], log_format: str, log_calls: bool
) -> NoReturn:
    """Runs the platform's call server with the configuration that ROUTER_CONFIG names."""
    from ospreybridge.daemon.platform import PlatformDaemon
    from ospreybridge.settings.platform import load

    config_path = os.environ.get(CONFIG_VARIABLE)
    if not config_path:
        click.echo(f"serve: expected a settings file, or {CONFIG_VARIABLE} in the environment", err=True)
        sys.exit(2)
    platform = _load_or_exit(lambda: load(Path(config_path)))
    try:
        daemon = PlatformDaemon(platform, make_logger(log_format, platform.name), log_calls)
    except OSError as error:
        click.echo(f"{config_path}: listen: {error}", err=True)
        sys.exit(2)
    sys.exit(daemon.run())


@main.command()
@click.argument("file", type=EXISTING_FILE)
@click.option("--setup", default=4.0, show_default=True, help="Mean service time of a set-up, milliseconds.")
@click.option("--seconds", default=0.0, help="Stop after this time; 0: run until interrupted.")
def offices(file: Path, setup: float, seconds: float) -> None:
    """Stands in for what surrounds the call server of FILE: its office's lines and the exchange list.

    The office answers each call after its processor's service time; the list reports all exchanges as ready.
    """
    from ospreybridge.net.loop import EventLoop
    from ospreybridge.settings.server import Peer
    from ospreybridge.standins.endpoint import Endpoint, EndpointConfig
    from ospreybridge.standins.listservice import ListLink, ListService
    from ospreybridge.standins.office import Office, Processor

    settings = _load_settings(file)
    _require_plain_links(file, settings, "office", "list")
    loop = EventLoop()
    numbers = [settings.point_code, *(p.point_code for p in settings.peers if p.role == "exchange")]
    list_service = ListService(loop, numbers, (0.0, 100.0), 1)
    standins: list[Endpoint] = []
    for peer in settings.peers:
        server = Peer(
            settings.name,
            "exchange",
            settings.point_code,
            peer.routing_context,
            dial_address=("", 0),
            cics=peer.cics,
        )
        config = EndpointConfig(loop, peer.point_code, server, lambda: settings.listen)
        if peer.role == "office":
            standins.append(Office(config, Processor(setup_ms=setup), 1))
        elif peer.role == "list":
            standins.append(ListLink(config, list_service))
    click.echo(f"standing in for {len(standins)} peers of {settings.name}; interrupt to end")
    with contextlib.suppress(KeyboardInterrupt):
        loop.run_until(lambda: False, seconds * 1_000 if seconds else 1e12)


@main.command()
@click.argument("number")
@click.option(
    "--settings", "file", type=EXISTING_FILE, required=True, help="The call server's own settings file."
)
@click.option("--calling", default="5000000", show_default=True, help="Number of the caller.")
@click.option("--category", default=10, show_default=True, help="Calling party's category, 0 to 255.")
@click.option("--wide", is_flag=True, help="A call of two circuits (2 x 64 kbit/s).")
@click.option("--hold", default=0.0, show_default=True, help="Seconds before the call is released.")
@click.option("--within", default=10.0, show_default=True, help="Seconds to wait for an answer.")
def call(
    number: str, file: Path, calling: str, category: int, wide: bool, hold: float, within: float
) -> None:
    """Makes one call to NUMBER as one of the call server's callers and shows its progress.

    It uses the callers' association of the settings. Exit code 0: established; 1: not established.
    """
    from ospreybridge.lab.onecall import OneCall

    settings = _load_settings(file)
    if not number.isdigit() or not calling.isdigit():
        raise click.UsageError("numbers are digits only")
    if settings.listen is None or not any(peer.role == "callers" for peer in settings.peers):
        click.echo(f'{file}: exchange listen and a peer with role="callers" are needed', err=True)
        sys.exit(2)
    _require_plain_links(file, settings, "callers")
    one_call = OneCall(settings, number, calling, category, wide, click.echo)
    sys.exit(0 if one_call.run(within * 1_000, hold * 1_000) else 1)


@main.command()
@click.argument("script", type=EXISTING_FILE)
@click.option("--json", "json_file", type=OUTPUT_FILE, help="Write the report as JSON.")
@click.option("--capture", type=OUTPUT_FILE, help="Write all frames of the day as a pcapng.")
@click.option("--factor", type=float, help="Run this many times faster than the script's clock.")
@click.option("--calm", is_flag=True, help="Skip the troubles, for comparison.")
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
    """Runs a scripted day on loopback with call servers as processes, and checks the five rules.

    The rules are checked against the frames that passed between the processes. Exit code 0: no rule broken;
    1: a rule was broken or a process failed; 2: the script is invalid.
    """
    from ospreybridge.lab.day import DayRunner
    from ospreybridge.lab.script import load as load_script

    scripted_day = _load_or_exit(lambda: load_script(script, factor, not calm))

    def log(line: str) -> None:
        if not quiet:
            click.echo(line, err=True)

    with tempfile.TemporaryDirectory(prefix="ospreybridge-") as temporary:
        runner = DayRunner(scripted_day, keep or Path(temporary), log)
        try:
            report = runner.run()
        except RuntimeError as error:
            click.echo(str(error), err=True)
            sys.exit(1)
        if capture is not None:
            log(f"{runner.write_capture(capture)} frames in {capture}")
    data = report.as_dict()
    if json_file is not None:
        json_file.write_text(json.dumps(data, indent=1) + "\n")
    _print_report(data)
    sys.exit(0 if report.passed else 1)


@main.command()
@click.argument("what", type=click.Choice(["path", "memory", "module", "tls"]))
@click.option("--rate", default=600.0, show_default=True, help="Calls a second (path).")
@click.option("--calls", "count", type=int, help="Number of calls; default 5000, for memory 50000.")
@click.option("--json", "json_file", type=OUTPUT_FILE, help="Write the results as JSON.")
def measure(what: str, rate: float, count: int | None, json_file: Path | None) -> None:
    """Measures one call server on this machine; both sides of a ratio are measured in one run.

    \b
    path    processor time of a whole call relative to an echo of its bytes, and the delays
    memory  resident memory of an established call
    module  the controller's processor time per call, at increasing rates
    tls     connections plain, with full and resumed handshakes; calls over TLS and plain; set-ups in a storm
    """
    from ospreybridge.lab import measure as measurements

    if what == "path":
        data = measurements.measure_path(click.echo, rate, count or 5_000)
    elif what == "memory":
        data = measurements.measure_memory(click.echo, count or 50_000)
    elif what == "tls":
        from ospreybridge.lab import measure_tls

        data = measure_tls.measure_tls(click.echo, rate, count or 5_000)
    else:
        data = measurements.measure_controller(click.echo)
    if json_file is not None:
        json_file.write_text(json.dumps(data, indent=1) + "\n")


def _print_report(report: dict[str, Any]) -> None:
    click.echo(f"\n{report['day']} (stand-ins on loopback), {report['seconds']} s in all")
    rows = [
        ("offered, first tries", report["offered"]),
        ("offered again after cuts", report["again_after_cuts"]),
        ("stood in time", f"{report['in_time']} ({report['in_time_share']:.1%})"),
        ("late", report["late"]),
        ("unserved", report["unserved"]),
        ("cut while standing", report["cut"]),
        ("tries with redials", report["tries"]),
        ("tries given up by callers", report["given_up"]),
        ("refused, by cause", ", ".join(f"{k}: {v}" for k, v in report["refused"].items()) or "none"),
        ("attempts a try", report["attempts_per_try"]),
        ("dual seizures", report["dual_seizures"]),
        ("set-up delay, ms", ", ".join(f"{k} {v:.1f}" for k, v in report["delay_ms"].items())),
        ("call servers' time a call", f"{report['processor_s_per_call'] * 1_000:.2f} ms"),
        ("unreadable frames", report["unreadable"]),
        ("rules broken", ", ".join(f"rule {k}: {v}" for k, v in report["rules_broken"].items()) or "none"),
    ]
    for name, value in rows:
        click.echo(f"  {name:<28}{value}")
    for line in [*report["notes"], *report["broken"][:10], *report["faults"][:10]]:
        click.echo(f"  - {line}")
