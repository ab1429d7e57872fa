"""Call servers with their M3UA fronts and stand-ins for their peers, on one loop and loopback sockets."""

from __future__ import annotations

import socket
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from ospreybridge.core.callserver import CallServer
from ospreybridge.fronts.m3ua import Channel, M3uaFront
from ospreybridge.keys.authority import CertificateAuthority
from ospreybridge.keys.credentials import CredentialPaths
from ospreybridge.keys.credentials import load as load_credentials
from ospreybridge.net.loop import EventLoop
from ospreybridge.net.tls import TlsContexts
from ospreybridge.settings.server import Peer, ServerSettings, load, parse_cic_ranges
from ospreybridge.signalling.isup import IsupMessage
from ospreybridge.standins.callers import CallerBehaviour, Callers, CallKind
from ospreybridge.standins.endpoint import EndpointConfig
from ospreybridge.standins.listservice import ListLink, ListService
from ospreybridge.standins.office import Office, Processor

LOOKUP = CallKind("lookup", 1.0, 10, 1, 2_000.0, 9_000.0, 60_000.0)
SETTINGS_TEMPLATE = """
exchange "cs{n}" number={n} point-code={n} listen="127.0.0.1:0" {{ prefix "37{n}"; }}
{peers}
{tls}
peer "office" role="office" {link} point-code={office} context={office} {{ circuits "1-60"; }}
peer "callers" role="callers" {link} point-code={callers} context={callers} {{ circuits "1-90"; }}
peer "list" role="list" {link} point-code=16000 context=9
class "lookup" on-time=2000 deadline=9000 hold=1000
timers redial=50 heartbeat=400 handshake=1000 t1=300 t5=1000 t16=300 t22=300
"""

TLS_TEMPLATE = """tls certificate="cs{n}.crt" key="cs{n}.key" trust="ca.crt" revoked="ca.crl" \\
    name="cs{n}.test" listen="127.0.0.1:0" check-every=100 spread=200 {more}
"""


class Fleet:
    """`size` exchanges in a full mesh; the lower number dials. Dictionaries are by exchange number."""

    def __init__(
        self,
        folder: Path,
        size: int = 3,
        group: int = 6,
        clock: Callable[[], float] | None = None,
        tls_options: str | None = None,
    ) -> None:
        """`group`: circuits of a trunk group; `tls_options`: more keys of the tls nodes, None for plain."""
        self.tls_options, self.authority = (
            tls_options,
            None if tls_options is None else CertificateAuthority.create(folder, 30.0),
        )
        # The log of all fronts; `at` in a record is the exchange number.
        self.log_records: list[dict[str, Any]] = []
        self.wall_clock_offset_s = 0.0  # added to the wall clock of the fronts
        if self.authority is not None:
            self.authority.issue("standins", ["standins.test"])
            self.standin_contexts = standin_contexts(folder)
        self.folder, self.size, self.group = folder, size, group
        self.loop = EventLoop(clock) if clock else EventLoop()
        self.tally: Counter[str] = Counter()
        self.call_servers: dict[int, CallServer] = {}
        self.fronts: dict[int, M3uaFront] = {}
        self.ports: dict[int, int] = {}
        self.exchange_list = ListService(self.loop, list(range(1, size + 1)), (0.0, 1.0), 1)
        self.offices: dict[int, Office] = {}
        self.callers: dict[int, Callers] = {}
        for n in range(size, 0, -1):  # the higher numbers listen before the lower ones dial
            self.start(n)
        for n in range(1, size + 1):
            self._attach_standins(n)

    def settings(self, n: int) -> ServerSettings:
        """Writes the settings file of an exchange, with its certificate if it has none yet, and loads it."""
        peers = "\n".join(
            f'peer "cs{m}" role="exchange" number={m} point-code={m} context={min(n, m) * 10 + max(n, m)} '
            + (f'tls="cs{m}.test" ' if self.authority else "plain=true ")
            + (f'dial="127.0.0.1:{self.ports[m]}" ' if n < m else "")
            + f'{{ circuits "1-{self.group}"; prefix "37{m}"; }}'
            for m in range(1, self.size + 1)
            if m != n
        )
        file = self.folder / f"cs{n}.kdl"
        link, tls = "plain=true", ""
        if self.authority:
            link, tls = 'tls="standins.test"', TLS_TEMPLATE.format(n=n, more=self.tls_options)
            if not (self.folder / f"cs{n}.key").exists():
                self.authority.issue(f"cs{n}", [f"cs{n}.test"])
        values = {"office": 1_000 + n, "callers": 2_000 + n, "link": link, "tls": tls}
        file.write_text(SETTINGS_TEMPLATE.format(n=n, peers=peers, **values))
        return load(file)

    def start(self, n: int) -> None:
        """Starts an exchange; a restarted one listens on its old port."""
        settings = self.settings(n)
        if n in self.ports:
            address = ("127.0.0.1", self.ports[n])
            if settings.tls is not None:
                settings = replace(settings, tls=replace(settings.tls, listen=address))
            else:
                settings = replace(settings, listen=address)
        self.call_servers[n] = CallServer(settings, self.loop.timers)

        def log(event: str, **fields: Any) -> None:
            self.log_records.append({"event": event, "at": n} | fields)

        self.fronts[n] = M3uaFront(
            self.loop,
            settings,
            self.call_servers[n],
            log,
            wall_clock=lambda: time.time() + self.wall_clock_offset_s,
        )
        self.ports[n] = self.fronts[n].tls_port or self.fronts[n].port

    def kill(self, n: int) -> None:
        """Simulates a crash: all sockets close without a release, and the state is lost."""
        front = self.fronts[n]
        # Events that follow reach this call server, which is not used otherwise.
        front.call_server = CallServer(front.settings, type(self.loop.timers)())
        front.stop_listening()
        for channel in list(front.channels.values()):
            channel.stream.close("killed")

    def _attach_standins(self, n: int) -> None:
        def endpoint_config(code: int, context: int, size: int = 0) -> EndpointConfig:
            cics = parse_cic_ranges([f"1-{size}"]) if size else ()
            server = Peer(
                f"cs{n}", "exchange", n, context, dial_address=("", 0), cics=cics, tls_name=f"cs{n}.test"
            )
            contexts = self.standin_contexts if self.authority else None
            return EndpointConfig(self.loop, code, server, lambda: ("127.0.0.1", self.ports[n]), contexts)

        office, callers, delays = 1_000 + n, 2_000 + n, HdrHistogram(1, 60_000_000, 3)
        self.offices[n] = Office(
            endpoint_config(office, office, 60), Processor(setup_ms=0.5, release_ms=0.1), n
        )
        self.callers[n] = Callers(
            endpoint_config(callers, callers, 90), CallerBehaviour(redials=0), n, self.tally, delays
        )
        ListLink(endpoint_config(16_000, 9), self.exchange_list)

    def run_until(self, condition: Callable[[], bool], within: float = 8_000.0) -> None:
        """Runs the loop until the condition holds; fails if it does not within `within` milliseconds."""
        assert self.loop.run_until(condition, within), f"not within {within} ms; tally {dict(self.tally)}"

    def ready(self) -> bool:
        """Whether all links are up, exchange lists loaded and circuits free."""
        return all(
            len(call_server.links) == self.size + 2
            and len(call_server.exchange_list.entries) == self.size
            and all(group.free == group.size for group in call_server.groups.values())
            for call_server in self.call_servers.values()
        ) and all(self.offices[n].up and self.callers[n].up for n in self.call_servers)

    def channel(self, n: int, to: int) -> Channel:
        """The connection that carries the link from exchange `n` to exchange `to` now."""
        channel = self.fronts[n].links[to].current
        assert isinstance(channel, Channel)
        return channel

    def reissue_certificates(self, *numbers: int, **more: Any) -> None:
        """Replaces certificates on disk, on a thread, so that disk writes do not delay calls on the loop."""
        assert self.authority is not None
        issue = self.authority.issue

        def run() -> None:
            for n in numbers:
                issue(f"cs{n}", [f"cs{n}.test"], **more)

        thread = threading.Thread(target=run)
        thread.start()
        self.run_until(lambda: not thread.is_alive(), 30_000)

    def call(self, origin: int, dest: int, serial: int) -> None:
        """Has a caller of exchange `origin` call a number of exchange `dest`."""
        self.callers[origin].place_call(LOOKUP, f"50{serial:06d}", f"37{dest}{serial:04d}")

    def all_circuits_free(self) -> bool:
        """Whether every circuit of every trunk group is free at both ends."""
        return all(
            group.free == group.size
            for call_server in self.call_servers.values()
            for group in call_server.groups.values()
        )

    def hang_up_all(self) -> None:
        """Has the callers release all established calls."""
        for callers in self.callers.values():
            for intent in list(callers.intent_by_circuit.values()):
                if intent.established:
                    callers._hang_up(self.loop.now, intent)


def standin_contexts(folder: Path, file: str = "standins", allow_12: bool = False) -> TlsContexts:
    """TLS contexts of the stand-ins, from a certificate of the test authority."""
    paths = CredentialPaths(folder / f"{file}.crt", folder / f"{file}.key", folder / "ca.crt")
    return TlsContexts(load_credentials(paths, time.time()), allow_12)


@contextmanager
def fleet(
    folder: Path,
    size: int = 3,
    group: int = 6,
    clock: Callable[[], float] | None = None,
    tls_options: str | None = None,
) -> Iterator[Fleet]:
    """A running fleet whose links are all up; parameters as of Fleet."""
    running = Fleet(folder, size, group, clock, tls_options)
    try:
        running.run_until(running.ready)
        yield running
    finally:
        for front in running.fronts.values():
            front.stop_listening()
        running.loop.close()


def connect(port: int) -> socket.socket:
    """A non-blocking connection to a loopback port."""
    sock = socket.create_connection(("127.0.0.1", port))
    sock.setblocking(False)
    return sock


__all__ = ["LOOKUP", "Fleet", "IsupMessage", "connect", "fleet"]
