"""Runs a scripted day on loopback: call servers and relays as child processes, stand-ins in this process.

The report counts outcomes as the callers experienced them. The checker verifies the rules from the records of
the relays alone.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram

from ospreybridge.keys.authority import CertificateAuthority
from ospreybridge.lab import tap
from ospreybridge.lab.checker import Checker, CheckerConfig, CheckResult
from ospreybridge.lab.harness import CALLERS_CODE_BASE, CENTRE_POINT_CODE, LIST_POINT_CODE, OFFICE_CODE_BASE
from ospreybridge.lab.relay import DOMAIN, SHARED_CREDENTIALS, load_shared_credentials
from ospreybridge.lab.script import Day, Trouble
from ospreybridge.net.loop import EventLoop, Task
from ospreybridge.net.tls import TlsContexts
from ospreybridge.settings.server import Peer, parse_cic_ranges
from ospreybridge.signalling import m3ua
from ospreybridge.standins.callers import Callers
from ospreybridge.standins.centre import CentreLink, TrafficCentre
from ospreybridge.standins.endpoint import EndpointConfig
from ospreybridge.standins.listservice import ListLink, ListService
from ospreybridge.standins.office import Office

START_TIMEOUT_MS = 60_000.0


@dataclass(slots=True)
class CallServerProcess:
    """A call server of the fleet and its process."""

    number: int
    zone: int
    settings_file: Path
    process: subprocess.Popen[bytes] | None = None
    port: int = 0  # 0: not listening


@dataclass(slots=True)
class Report:
    """The result of a day: `tally` counts the outcomes of calls as their callers saw them."""

    name: str
    tally: Counter[str]
    check_result: CheckResult
    delay_ms: dict[str, float]
    seconds: float
    faults: list[str]
    cpu_s: float
    notes: list[str] = field(default_factory=list)

    @property
    def passed(self) -> bool:
        """Whether all rules were kept and no process or stand-in reported a fault."""
        return not self.check_result.violations and not self.faults

    def as_dict(self) -> dict[str, Any]:
        """The report in its JSON form."""
        offered_again = self.tally["offered again after a cut"]
        offered = max(1, self.tally["offered"] + offered_again)
        counts = self.check_result.counts
        return {
            "day": self.name,
            "seconds": round(self.seconds, 1),
            "offered": self.tally["offered"],
            "again_after_cuts": offered_again,
            "in_time": self.tally["in time"],
            "in_time_share": round(self.tally["in time"] / offered, 4),
            "late": self.tally["late"],
            "unserved": self.tally["unserved"],
            "cut": self.tally["cut"],
            "tries": self.tally["tries"],
            "given_up": self.tally["given up"],
            "refused": {k.split()[-1]: v for k, v in sorted(self.tally.items()) if k.startswith("refused")},
            "attempts_per_try": round(counts["attempts of origins"] / max(1, self.tally["tries"]), 3),
            "dual_seizures": counts["dual seizures"],
            "delay_ms": self.delay_ms,
            "messages": dict(sorted(counts.items())),
            "unreadable": self.check_result.unreadable,
            "rules_broken": {str(k): v for k, v in sorted(self.check_result.violations_by_rule.items())},
            "broken": self.check_result.violations[:50],
            "faults": self.faults[:50],
            "processor_s_per_call": round(self.cpu_s / offered, 5),
            "notes": self.notes,
        }


class DayRunner:
    """Starts the fleet of a day, generates its traffic and troubles, and reports the result."""

    def __init__(self, day: Day, work_dir: Path, log: Callable[[str], None]) -> None:
        self.day, self.work_dir, self.log = day, work_dir, log
        work_dir.mkdir(parents=True, exist_ok=True)
        self.random = np.random.default_rng(day.seed)
        self.loop = EventLoop()
        self.tally: Counter[str] = Counter()
        self.setup_delays = HdrHistogram(1, 120_000_000, 3)
        self.exchange_count: int = day.fleet["exchanges"]
        self.exchange_numbers = range(1, self.exchange_count + 1)
        zones = day.fleet["zones"]
        self.servers = {
            n: CallServerProcess(n, (n - 1) % zones, work_dir / f"cs{n}.kdl") for n in self.exchange_numbers
        }
        self.tls_contexts: TlsContexts | None = None
        if day.fleet["tls"]:
            self._issue_certificates()
        self.relays: list[subprocess.Popen[bytes]] = []
        self.tap_files: list[Path] = []
        # (dialling point code, dialled point code) -> port on which a relay listens.
        self.relay_ports: dict[tuple[int, int], int] = {}
        self.offices: dict[int, Office] = {}
        self.callers: dict[int, Callers] = {}
        self.suspensions: list[tuple[int, float, float]] = []
        self.origin_weights = dict.fromkeys(self.exchange_numbers, 1.0)
        self.traffic_factor = 1.0
        self.call_count = 0
        self.stopping = False
        self.notes: list[str] = []

    def _issue_certificates(self) -> None:
        """Issues a certificate for each call server and one with all names for the relays and stand-ins."""
        authority = self.authority = CertificateAuthority.create(self.work_dir, 2.0)
        servers = [f"cs{n}" for n in self.exchange_numbers]
        for name in servers:
            authority.issue(name, [f"{name}.{DOMAIN}"], days=1.0)
        all_names = [*servers, "office", "callers", "list", "centre"]
        authority.issue(SHARED_CREDENTIALS, [f"{name}.{DOMAIN}" for name in all_names], days=1.0)
        self.tls_contexts = TlsContexts(load_shared_credentials(self.work_dir))

    # -- settings of the call servers

    def routing_context(self, a: int, b: int) -> int:
        """The routing context of the association between two point codes."""
        return min(a, b) * 100_000 + max(a, b)

    def called_prefix(self, number: int) -> str:
        """The prefix of called numbers that belong to an exchange."""
        return f"37{number:03d}"

    def settings_text(self, n: int) -> str:
        """The settings file of call server `n`. Of two exchanges, the one with the lower number dials."""
        day, ms = self.day, self.day.scale_ms
        server = self.servers[n]
        lines = [
            f'exchange "cs{n}" number={n} point-code={n} zone="z{server.zone}" listen="127.0.0.1:0" '
            f'{{ prefix "{self.called_prefix(n)}"; }}'
        ]
        for m in self.exchange_numbers:
            if m != n:
                dial = f' dial="127.0.0.1:{self.relay_ports[n, m]}"' if (n, m) in self.relay_ports else ""
                lines.append(
                    f'peer "cs{m}" role="exchange" point-code={m} context={self.routing_context(n, m)} '
                    f'number={m} {self.transport_property(f"cs{m}")} zone="z{self.servers[m].zone}"{dial} '
                    f'{{ circuits "1-{day.fleet["circuits"]}"; prefix "{self.called_prefix(m)}"; }}'
                )
        for name, role, code, size in (
            ("office", "office", OFFICE_CODE_BASE + n, day.fleet["lines"]),
            ("callers", "callers", CALLERS_CODE_BASE + n, day.fleet["access"]),
        ):
            properties = (
                f'role="{role}" {self.transport_property(name)} point-code={code} '
                f"context={self.routing_context(n, code)}"
            )
            lines.append(f'peer "{name}" {properties} {{ circuits "1-{size}"; }}')
        for name, code in (("list", LIST_POINT_CODE), ("centre", CENTRE_POINT_CODE)):
            properties = (
                f"{self.transport_property(name)} point-code={code} context={self.routing_context(n, code)}"
            )
            lines.append(f'peer "{name}" role="{name}" {properties}')
        for node in day.classes:
            lines.append(
                f'class "{node.argument}" on-time={ms(node["on-time"])} deadline={ms(node["deadline"])} '
                f"importance={node['importance']} late-worth={node['late-worth']} width={node['width']} "
                f"hold={ms(node['hold'])} {{ category {node['category']}; }}"
            )
        for node in day.tenants:
            prefixes = " ".join(f'"{digits}"' for digits in node.all_arguments("calling-prefix"))
            lines.append(
                f'tenant "{node.argument}" share={node["share"]} quota={node["quota"] * day.speedup} '
                f"{{ calling-prefix {prefixes}; }}"
            )
        rules = dict(day.rules)
        for key in ("release", "drain-grace", "warm-after", "overload-for", "ask-within"):
            rules[key] = ms(rules[key])
        limits = dict(day.limits) | {"retry-after": ms(day.limits["retry-after"])}
        goal = {key: value for key, value in day.goal.items() if value is not None}
        for name, values in (("rules", rules), ("limits", limits), ("goal", goal)):
            lines.append(name + " " + " ".join(f"{k}={_kdl_value(v)}" for k, v in values.items()))
        lines.append(
            f"module tick={ms(5.0)} seed={day.seed * 1_000 + n} advice={_kdl_value(day.module['advice'])} "
            f"over-share-worth={day.module['over-share-worth']}"
        )
        if day.fleet["tls"]:
            lines.append(
                f'tls certificate="cs{n}.crt" key="cs{n}.key" trust="ca.crt" revoked="ca.crl" '
                f'name="cs{n}.{DOMAIN}" listen="127.0.0.1:0" slots=256 check-every=1000 spread={ms(3_000)}'
            )
        lines.append(f"link answer-margin={ms(100.0)}")
        lines.append(f"timers t1={ms(4_000)} t5={ms(20_000)} t16={ms(4_000)} t22={ms(4_000)} t12={ms(4_000)}")
        return "\n".join(lines) + "\n"

    def transport_property(self, name: str) -> str:
        """The property of a `peer` node that selects TLS with the expected name, or plain TCP."""
        return f'tls="{name}.{DOMAIN}"' if self.day.fleet["tls"] else "plain=true"

    # -- processes

    def command_relays(self, **command: Any) -> None:
        """Sends a command to all relays; a relay ignores links that it does not have."""
        for relay in self.relays:
            assert relay.stdin is not None
            relay.stdin.write(json.dumps(command).encode() + b"\n")
            relay.stdin.flush()

    def start_relays(self) -> None:
        """Starts the relay processes, distributes the links among them and reads their ports."""
        relay_count = self.day.fleet["relays"]
        delay, far_delay = self.day.fleet["delay"], self.day.fleet["far-delay"]
        links: list[list[list[float]]] = [[] for _ in range(relay_count)]
        for n in self.exchange_numbers:
            for m in range(n + 1, self.exchange_count + 1):
                link_delay = delay if self.servers[n].zone == self.servers[m].zone else far_delay
                links[m % relay_count].append(
                    [n, m, self.day.scale_ms(link_delay), self.routing_context(n, m)]
                )
            for code in (OFFICE_CODE_BASE + n, CALLERS_CODE_BASE + n, LIST_POINT_CODE, CENTRE_POINT_CODE):
                links[n % relay_count].append([code, n, 0, self.routing_context(code, n)])
        for index in range(relay_count):
            path = self.work_dir / f"relay{index}.tap"
            self.tap_files.append(path)
            process = subprocess.Popen(
                [sys.executable, "-m", "ospreybridge.lab.relay", str(path), str(self.day.seed + index)],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
            )
            self.relays.append(process)
            assert process.stdin is not None and process.stdout is not None
            keys = str(self.work_dir) if self.day.fleet["tls"] else ""
            command = {"do": "links", "links": links[index], "keys": keys}
            process.stdin.write(json.dumps(command).encode() + b"\n")
            process.stdin.flush()
        for process in self.relays:
            assert process.stdout is not None
            for source, target, port in json.loads(process.stdout.readline()):
                self.relay_ports[source, target] = port

    def start_server(self, n: int) -> None:
        """Writes the settings of call server `n` and starts it; the relays learn its port once it listens."""
        server = self.servers[n]
        port_file = self.work_dir / f"cs{n}.port"
        port_file.unlink(missing_ok=True)
        server.settings_file.write_text(self.settings_text(n))
        with (self.work_dir / f"cs{n}.log").open("ab") as log:
            server.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "ospreybridge",
                    "serve",
                    str(server.settings_file),
                    "--port-file",
                    str(port_file),
                ],
                stdout=log,
                stderr=log,
            )
        self.loop.spawn(self._await_port(server, port_file))

    def _await_port(self, server: CallServerProcess, port_file: Path) -> Task:
        while not (port_file.exists() and port_file.read_text().strip()):
            yield "sleep", 20.0
        server.port = int(port_file.read_text())
        self.command_relays(do="port", of=server.number, port=server.port)

    def start_standins(self) -> None:
        """Creates the exchange list, the traffic centre, and the office and callers of each exchange."""
        day, loop = self.day, self.loop
        self.exchange_list = ListService(loop, list(self.exchange_numbers), day.list_delay_ms, day.seed)
        centre = TrafficCentre(loop, day.centre_interval_ms)
        for n in self.exchange_numbers:

            def endpoint_config(code: int, size: int = 0, n: int = n) -> EndpointConfig:
                cics = parse_cic_ranges([f"1-{size}"]) if size else ()
                server = Peer(
                    "cs",
                    "exchange",
                    n,
                    self.routing_context(n, code),
                    dial_address=("", 0),
                    cics=cics,
                    tls_name=f"cs{n}.{DOMAIN}",
                )

                def get_address() -> tuple[str, int] | None:
                    return ("127.0.0.1", self.relay_ports[code, n]) if self.servers[n].port else None

                return EndpointConfig(loop, code, server, get_address, self.tls_contexts)

            lines, access = day.fleet["lines"], day.fleet["access"]
            self.offices[n] = Office(
                endpoint_config(OFFICE_CODE_BASE + n, lines), day.processor, day.seed + n
            )
            self.callers[n] = Callers(
                endpoint_config(CALLERS_CODE_BASE + n, access),
                day.caller_behaviour,
                day.seed * 7 + n,
                self.tally,
                self.setup_delays,
            )
            ListLink(endpoint_config(LIST_POINT_CODE), self.exchange_list)
            CentreLink(endpoint_config(CENTRE_POINT_CODE), centre, n)

    def all_associations_up(self) -> bool:
        """Whether the associations of all offices, callers and list links are active."""
        up = all(self.offices[n].up and self.callers[n].up for n in self.exchange_numbers)
        return up and all(link.up for link in self.exchange_list.subscribers)

    # -- traffic

    def generate_calls(self) -> Task:
        """Generates open-loop traffic: arrivals do not depend on answers, so a slow fleet slows no caller."""
        day, random = self.day, self.random
        shares = np.array([call_kind.share for call_kind in day.call_kinds])
        shares = shares / shares.sum()
        prefixes = [p for node in day.tenants for p in node.all_arguments("calling-prefix")[:1]] or ["5"]
        weights = np.array([node["share"] for node in day.tenants] or [1.0])
        weights = weights / weights.sum() if weights.sum() else np.full(len(weights), 1 / len(weights))
        next_arrival = self.loop.now
        while not self.stopping:
            total = sum(self.origin_weights.values())
            next_arrival += float(
                random.exponential(
                    1_000.0 / (day.calls_per_s * self.traffic_factor * total / self.exchange_count)
                )
            )
            if next_arrival > self.loop.now:
                yield "sleep", next_arrival - self.loop.now
            if self.stopping:
                return
            origin = self._draw_origin(total)
            destination = 1 + (origin + int(random.integers(self.exchange_count - 1))) % self.exchange_count
            call_kind = day.call_kinds[int(random.choice(len(day.call_kinds), p=shares))]
            prefix = prefixes[int(random.choice(len(prefixes), p=weights))]
            self.call_count += 1
            calling_number = f"{prefix}{self.call_count:0{min(9, 15 - len(prefix))}d}"
            self.callers[origin].place_call(
                call_kind, calling_number, self.called_prefix(destination) + f"{self.call_count % 10_000:04d}"
            )

    def _draw_origin(self, total: float) -> int:
        point = float(self.random.random()) * total
        for n, weight in self.origin_weights.items():
            point -= weight
            if point < 0:
                return n
        return self.exchange_count

    # -- troubles

    def affected_exchanges(self, trouble: Trouble) -> list[int]:
        """The exchanges that the script names, otherwise a random selection of `share` of them."""
        if trouble.exchanges:
            return list(trouble.exchanges)
        affected_count = max(1, round(trouble.share * self.exchange_count))
        return sorted(int(n) + 1 for n in self.random.permutation(self.exchange_count)[:affected_count])

    def run_trouble(self, trouble: Trouble) -> Task:
        """Waits for the start of a trouble and calls the method named "_" and its kind."""
        scale_ms = self.day.scale_ms
        yield "sleep", scale_ms(trouble.at * 1_000)
        affected = self.affected_exchanges(trouble)
        self.log(f"{trouble.at:6.1f} s  {trouble.kind}: {self._describe(trouble, affected)}")
        run_kind = getattr(self, "_" + trouble.kind.replace("-", "_"))
        yield from run_kind(trouble, affected, scale_ms(trouble.duration * 1_000))

    def _describe(self, trouble: Trouble, affected: list[int]) -> str:
        if trouble.kind in ("burst", "stale-list", "retry-abuse", "peer-messages-lost", "lost-circuits"):
            return f"for {trouble.duration:g} s"
        return f"exchanges {', '.join(map(str, affected))} for {trouble.duration:g} s"

    def _hot_callers(self, trouble: Trouble, affected: list[int], duration: float) -> Task:
        self.origin_weights |= dict.fromkeys(affected, trouble.factor)
        yield "sleep", duration
        self.origin_weights |= dict.fromkeys(affected, 1.0)

    def _burst(self, trouble: Trouble, affected: list[int], duration: float) -> Task:
        self.traffic_factor = trouble.factor
        yield "sleep", duration
        self.traffic_factor = 1.0

    def _retry_abuse(self, trouble: Trouble, affected: list[int], duration: float) -> Task:
        normal = self.day.caller_behaviour
        abusive = replace(
            normal, redials=normal.redials + 4, redial_after=normal.redial_after / 4, heed_share=0.0
        )
        for callers in self.callers.values():
            callers.behaviour = abusive
        yield "sleep", duration
        for callers in self.callers.values():
            callers.behaviour = normal

    def _cut_calls(self, trouble: Trouble, affected: list[int], duration: float) -> Task:
        cut = sum(
            c.cut_calls(trouble.share, self.day.scale_ms(trouble.return_within * 1_000))
            for c in self.callers.values()
        )
        self.notes.append(f"{cut} established calls cut at {trouble.at:g} s")
        yield "sleep", duration

    def _slow(self, trouble: Trouble, affected: list[int], duration: float) -> Task:
        for n in affected:
            self.offices[n].slowdown = trouble.factor
        yield "sleep", duration
        for n in affected:
            self.offices[n].slowdown = 1.0

    def _hang(self, trouble: Trouble, affected: list[int], duration: float) -> Task:
        for n in affected:
            self.offices[n].hung = True
        yield "sleep", duration
        for n in affected:
            self.offices[n].hung = False

    def _silent(self, trouble: Trouble, affected: list[int], duration: float) -> Task:
        yield from self._hang(trouble, affected, duration)
        for n in affected:
            self._restart_office(n)

    def _restart_office(self, n: int) -> None:
        self.offices[n].disconnect()
        self.offices[n].restart()
        self.exchange_list.update(n, m3ua.DAVA, started=True)

    def _crash(self, trouble: Trouble, affected: list[int], duration: float) -> Task:
        for n in affected:
            self.offices[n].stop()
            self.exchange_list.update(n, m3ua.DUNA)
        yield "sleep", duration
        for n in affected:
            self._restart_office(n)

    def _deploy(self, trouble: Trouble, affected: list[int], duration: float) -> Task:
        """Drains, stops and restarts the processors one after another; each comes back cold."""
        duration_per_exchange = duration / max(1, len(affected))
        for n in affected:
            self.exchange_list.update(n, m3ua.DRST)
            grace = min(self.day.scale_ms(trouble.grace * 1_000), duration_per_exchange * 0.7)
            yield "sleep", grace
            self.offices[n].stop()
            self.exchange_list.update(n, m3ua.DUNA)
            yield "sleep", duration_per_exchange - grace
            self._restart_office(n)

    def _lost_circuits(self, trouble: Trouble, affected: list[int], duration: float) -> Task:
        cics = [
            cic
            for cic in parse_cic_ranges([f"1-{self.day.fleet['circuits']}"])
            if self.random.random() < trouble.share
        ]
        pairs = [
            (a, b)
            for a in self.exchange_numbers
            for b in range(a + 1, self.exchange_count + 1)
            if self.servers[a].zone != self.servers[b].zone or self.day.fleet["zones"] == 1
        ]
        for a, b in pairs:
            self.command_relays(do="block", a=a, b=b, cics=cics)
        yield "sleep", duration
        for a, b in pairs:
            self.command_relays(do="unblock", a=a, b=b, cics=cics)

    def _renew_keys(self, trouble: Trouble, affected: list[int], duration: float) -> Task:
        def issue_certificates() -> None:
            for n in affected:
                self.authority.issue(f"cs{n}", [f"cs{n}.{DOMAIN}"], days=1.0)

        # Writing files can block on the disk, which must not delay the callers in this process.
        threading.Thread(target=issue_certificates).start()
        yield "sleep", duration

    def _call_server_killed(self, trouble: Trouble, affected: list[int], duration: float) -> Task:
        for n in affected:
            process = self.servers[n].process
            assert process is not None
            process.send_signal(signal.SIGKILL)
            process.wait()
            self.servers[n].port = 0
        yield "sleep", duration
        for n in affected:
            self.start_server(n)

    def _call_server_stalled(self, trouble: Trouble, affected: list[int], duration: float) -> Task:
        suspended_at = self.loop.now
        for n in affected:
            os.kill(self._pid(n), signal.SIGSTOP)
        yield "sleep", duration
        for n in affected:
            os.kill(self._pid(n), signal.SIGCONT)
            self.suspensions.append((n, suspended_at, self.loop.now))

    def _pid(self, n: int) -> int:
        process = self.servers[n].process
        assert process is not None
        return int(process.pid)

    def _peer_messages_lost(self, trouble: Trouble, affected: list[int], duration: float) -> Task:
        self.command_relays(do="lose", share=trouble.share)
        yield "sleep", duration
        self.command_relays(do="lose", share=0.0)

    def _stale_list(self, trouble: Trouble, affected: list[int], duration: float) -> Task:
        self.exchange_list.set_frozen(True)
        yield "sleep", duration
        self.exchange_list.set_frozen(False)

    def _link_cut(self, trouble: Trouble, affected: list[int], duration: float) -> Task:
        yield from self._apply_to_links("cut", affected, duration)

    def _half_frame(self, trouble: Trouble, affected: list[int], duration: float) -> Task:
        yield from self._apply_to_links("stall", affected, duration)

    def _apply_to_links(self, action: str, affected: list[int], duration: float) -> Task:
        """Applies an action to all links of the affected exchanges, for `duration` milliseconds."""
        pairs = [(a, b) for a in affected for b in self.exchange_numbers if a != b]
        for a, b in pairs:
            self.command_relays(do=action, a=a, b=b)
        yield "sleep", duration
        for a, b in pairs:
            self.command_relays(do="heal", a=a, b=b)

    # -- the whole day

    def run(self) -> Report:
        """Runs the day; raises RuntimeError when the fleet does not start or a task of this process fails."""
        day, loop = self.day, self.loop
        started = time.monotonic()
        try:
            self.start_relays()
            self.start_standins()
            for n in self.exchange_numbers:
                self.start_server(n)
            if not loop.run_until(self.all_associations_up, START_TIMEOUT_MS):
                raise RuntimeError(
                    f"the fleet was not ready within {START_TIMEOUT_MS / 1_000:g} s; see {self.work_dir}"
                )
            loop.run_until(lambda: False, 500.0)  # for circuit resets and the first list updates
            self.log(f"{self.exchange_count} exchanges ready after {time.monotonic() - started:.1f} s")
            failures: list[str] = []
            loop.on_task_error = lambda name, error: failures.append(f"{name}: {error!r}")
            loop.spawn(self.generate_calls())
            for trouble in day.troubles:
                loop.spawn(self.run_trouble(trouble))
            loop.spawn(self._log_progress())
            loop.run_until(lambda: bool(failures), day.scale_ms(day.seconds * 1_000))
            if failures:
                raise RuntimeError(failures[0])
            self.stopping = True
            for callers in self.callers.values():
                callers.redials_disabled = True
            longest_deadline = max(kind.deadline for kind in day.call_kinds)
            loop.run_until(self._all_calls_established, longest_deadline + 2_000.0)
            return self._finish(time.monotonic() - started)
        finally:
            self._kill_processes()

    def _all_calls_established(self) -> bool:
        return all(
            intent.established
            for callers in self.callers.values()
            for intent in callers.intent_by_circuit.values()
        )

    def _log_progress(self) -> Task:
        interval_ms = max(1_000.0, self.day.scale_ms(self.day.seconds * 100))
        while not self.stopping:
            yield "sleep", interval_ms
            tally = self.tally
            established = tally["in time"] + tally["late"]
            self.log(
                f"          offered {tally['offered']}, established {established}, "
                f"unserved {tally['unserved']}, cut {tally['cut']}"
            )

    def _finish(self, seconds: float) -> Report:
        faults = []
        cpu_s = 0.0
        for server in self.servers.values():
            if server.process is not None:
                server.process.send_signal(signal.SIGTERM)
        for n, server in self.servers.items():
            if server.process is None:
                continue
            # The loop keeps running: the stand-ins must answer while the call servers release their circuits.
            process = server.process
            usage: list[Any] = []

            def has_exited(process: subprocess.Popen[bytes] = process, usage: list[Any] = usage) -> bool:
                pid, status, resources = os.wait4(process.pid, os.WNOHANG)
                if pid:
                    process.returncode = os.waitstatus_to_exitcode(status)
                    usage.append(resources)
                return bool(pid)

            if not self.loop.run_until(has_exited, 15_000.0):
                faults.append(f"cs{n} did not stop in time")
            elif process.returncode:
                faults.append(f"cs{n} exited with code {process.returncode}")
            else:
                cpu_s += usage[0].ru_utime + usage[0].ru_stime
        if self.day.fleet["tls"]:
            logs = [server.settings_file.with_suffix(".log").read_text() for server in self.servers.values()]
            for event in ("link moved over", "link not moved over", "handshake refused"):
                quoted_event = json.dumps(event)
                self.notes.append(f"{event}: {sum(log.count(quoted_event) for log in logs)}")
        faults += [
            f"callers {n}: {fault}" for n, c in self.callers.items() for fault in c.protocol_errors[:3]
        ]
        faults += [f"office {n}: {fault}" for n, o in self.offices.items() for fault in o.protocol_errors[:3]]
        faults += [f"office {n} was overloaded while cold" for n, o in self.offices.items() if o.crashed_cold]
        self.command_relays(do="stop")
        for relay in self.relays:
            relay.wait(10)
        check_result = Checker(self.checker_config()).check(tap.merge_taps(self.tap_files))
        percentile_us = self.setup_delays.get_value_at_percentile
        delay_ms = {
            name: percentile_us(p) / 1_000
            for name, p in (("p50", 50), ("p90", 90), ("p99", 99), ("max", 100))
        }
        return Report(self.day.name, self.tally, check_result, delay_ms, seconds, faults, cpu_s, self.notes)

    def checker_config(self) -> CheckerConfig:
        """The roles and rule parameters of this day for the checker."""
        day = self.day
        scale_ms, rules = day.scale_ms, day.rules
        return CheckerConfig(
            exchanges=frozenset(self.exchange_numbers),
            offices={OFFICE_CODE_BASE + n: n for n in self.exchange_numbers},
            callers=frozenset(CALLERS_CODE_BASE + n for n in self.exchange_numbers),
            list_services=frozenset({LIST_POINT_CODE}),
            deadline=max(kind.deadline for kind in day.call_kinds),
            answer_grace=20.0,
            drain_grace=scale_ms(rules["drain-grace"]),
            release=scale_ms(rules["release"]),
            overload_factor=rules["overload-factor"],
            overload_for=scale_ms(rules["overload-for"]),
            cold_share=rules["cold-share"],
            warm_after=scale_ms(rules["warm-after"]),
            setup_time=day.processor.setup_ms,
            suspensions=tuple(self.suspensions),
        )

    def _kill_processes(self) -> None:
        running = [server.process for server in self.servers.values() if server.process is not None]
        for process in [*running, *self.relays]:
            if process.poll() is None:
                process.kill()
                process.wait()

    def write_capture(self, path: Path) -> int:
        """Writes all frames of the day as a pcapng file of exported PDUs; returns their number."""
        capture, count = tap.Capture(path), 0
        for record in tap.merge_taps(self.tap_files):
            if record.frame and record.kind != tap.RELAY_BUSY:
                capture.write(record.at, record.source, record.target, record.frame)
                count += 1
        capture.close()
        return count


def _kdl_value(value: Any) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)
