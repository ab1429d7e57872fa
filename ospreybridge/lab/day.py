"""Plays a scripted day on loopback: call servers as processes, relays between them, stand-ins in this one.

The report counts what callers saw; the rules are judged by the checker from the relays' records alone.
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
from ospreybridge.lab.checker import Checker, Facts, Verdict
from ospreybridge.lab.harness import CALLERS, CENTRE, LIST, OFFICE
from ospreybridge.lab.relay import DOMAIN, SHARED, shared_set
from ospreybridge.lab.script import Day, Trouble
from ospreybridge.net.loop import EventLoop, Task
from ospreybridge.net.tls import TlsContexts
from ospreybridge.settings.server import Peer, parse_cic_ranges
from ospreybridge.signalling import m3ua
from ospreybridge.standins.callers import Callers
from ospreybridge.standins.centre import CentreLink, TheCentre
from ospreybridge.standins.endpoint import Place
from ospreybridge.standins.listservice import ListLink, TheList
from ospreybridge.standins.office import Office

START_WITHIN = 60_000.0  # ms for a fleet of any size to come up


@dataclass(slots=True)
class Server:
    number: int
    zone: int
    file: Path
    process: subprocess.Popen[bytes] | None = None
    port: int = 0


@dataclass(slots=True)
class Report:
    """What a day came to. `tally`: callers' view; `verdict`: the checker's."""

    name: str
    tally: Counter[str]
    verdict: Verdict
    delay_ms: dict[str, float]
    seconds: float
    faults: list[str]
    processor_s: float
    notes: list[str] = field(default_factory=list)

    @property
    def kept(self) -> bool:
        return not self.verdict.broken and not self.faults

    def data(self) -> dict[str, Any]:
        again = self.tally["offered again after a cut"]
        offered = max(1, self.tally["offered"] + again)
        counts = self.verdict.counts
        return {
            "day": self.name,
            "seconds": round(self.seconds, 1),
            "offered": self.tally["offered"],
            "again_after_cuts": again,
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
            "unreadable": self.verdict.unreadable,
            "rules_broken": {str(k): v for k, v in sorted(self.verdict.rules.items())},
            "broken": self.verdict.broken[:50],
            "faults": self.faults[:50],
            "processor_s_per_call": round(self.processor_s / offered, 5),
            "notes": self.notes,
        }


class Player:
    def __init__(self, day: Day, folder: Path, say: Callable[[str], None]) -> None:
        self.day, self.folder, self.say = day, folder, say
        folder.mkdir(parents=True, exist_ok=True)
        self.random = np.random.default_rng(day.seed)
        self.loop = EventLoop()
        self.tally: Counter[str] = Counter()
        self.delays = HdrHistogram(1, 120_000_000, 3)
        self.count: int = day.fleet["exchanges"]
        self.numbers = range(1, self.count + 1)
        zones = day.fleet["zones"]
        self.servers = {n: Server(n, (n - 1) % zones, folder / f"cs{n}.kdl") for n in self.numbers}
        self.contexts: TlsContexts | None = None
        if day.fleet["tls"]:
            self._certify()
        self.relays: list[subprocess.Popen[bytes]] = []
        self.taps: list[Path] = []
        self.ports: dict[tuple[int, int], int] = {}  # the relays' port by dialling and dialled point code
        self.offices: dict[int, Office] = {}
        self.callers: dict[int, Callers] = {}
        self.asleep: list[tuple[int, float, float]] = []
        self.weight = dict.fromkeys(self.numbers, 1.0)
        self.burst = 1.0
        self.serial = 0
        self.ending = False
        self.notes: list[str] = []

    def _certify(self) -> None:
        """A set for each call server, and one that relays and stand-ins share: it names everybody."""
        authority = self.authority = CertificateAuthority.create(self.folder, 2.0)
        servers = [f"cs{n}" for n in self.numbers]
        for name in servers:
            authority.issue(name, [f"{name}.{DOMAIN}"], days=1.0)
        everybody = [*servers, "office", "callers", "list", "centre"]
        authority.issue(SHARED, [f"{name}.{DOMAIN}" for name in everybody], days=1.0)
        self.contexts = TlsContexts(shared_set(self.folder))

    # -- settings of the call servers

    def context(self, a: int, b: int) -> int:
        return min(a, b) * 100_000 + max(a, b)

    def prefix(self, number: int) -> str:
        return f"37{number:03d}"

    def settings(self, n: int) -> str:
        """One call server's file. Of two exchanges the one with the lower number dials."""
        day, ms = self.day, self.day.ms
        server = self.servers[n]
        lines = [
            f'exchange "cs{n}" number={n} point-code={n} zone="z{server.zone}" listen="127.0.0.1:0" '
            f'{{ prefix "{self.prefix(n)}"; }}'
        ]
        for m in self.numbers:
            if m != n:
                dial = f' dial="127.0.0.1:{self.ports[n, m]}"' if (n, m) in self.ports else ""
                lines.append(
                    f'peer "cs{m}" role="exchange" point-code={m} context={self.context(n, m)} number={m} '
                    f'{self.link(f"cs{m}")} zone="z{self.servers[m].zone}"{dial} '
                    f'{{ circuits "1-{day.fleet["circuits"]}"; prefix "{self.prefix(m)}"; }}'
                )
        for name, role, code, size in (
            ("office", "office", OFFICE + n, day.fleet["lines"]),
            ("callers", "callers", CALLERS + n, day.fleet["access"]),
        ):
            given = f'role="{role}" {self.link(name)} point-code={code} context={self.context(n, code)}'
            lines.append(f'peer "{name}" {given} {{ circuits "1-{size}"; }}')
        for name, code in (("list", LIST), ("centre", CENTRE)):
            given = f"{self.link(name)} point-code={code} context={self.context(n, code)}"
            lines.append(f'peer "{name}" role="{name}" {given}')
        for part in day.classes:
            lines.append(
                f'class "{part.argument}" on-time={ms(part["on-time"])} deadline={ms(part["deadline"])} '
                f"importance={part['importance']} late-worth={part['late-worth']} width={part['width']} "
                f"hold={ms(part['hold'])} {{ category {part['category']}; }}"
            )
        for part in day.tenants:
            prefixes = " ".join(f'"{digits}"' for digits in part.all_arguments("calling-prefix"))
            lines.append(
                f'tenant "{part.argument}" share={part["share"]} quota={part["quota"] * day.factor} '
                f"{{ calling-prefix {prefixes}; }}"
            )
        rules = dict(day.rules)
        for key in ("release", "drain-grace", "warm-after", "overload-for", "ask-within"):
            rules[key] = ms(rules[key])
        limits = dict(day.limits) | {"retry-after": ms(day.limits["retry-after"])}
        goal = {key: value for key, value in day.goal.items() if value is not None}
        for name, values in (("rules", rules), ("limits", limits), ("goal", goal)):
            lines.append(name + " " + " ".join(f"{k}={_kdl(v)}" for k, v in values.items()))
        lines.append(
            f"module tick={ms(5.0)} seed={day.seed * 1_000 + n} advice={_kdl(day.module['advice'])} "
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

    def link(self, name: str) -> str:
        return f'tls="{name}.{DOMAIN}"' if self.day.fleet["tls"] else "plain=true"

    # -- processes

    def order(self, **order: Any) -> None:
        for relay in self.relays:
            assert relay.stdin is not None
            relay.stdin.write(json.dumps(order).encode() + b"\n")
            relay.stdin.flush()

    def start_relays(self) -> None:
        many = self.day.fleet["relays"]
        near, far = self.day.fleet["delay"], self.day.fleet["far-delay"]
        links: list[list[list[float]]] = [[] for _ in range(many)]
        for n in self.numbers:
            for m in range(n + 1, self.count + 1):
                delay = near if self.servers[n].zone == self.servers[m].zone else far
                links[m % many].append([n, m, self.day.ms(delay), self.context(n, m)])
            for code in (OFFICE + n, CALLERS + n, LIST, CENTRE):
                links[n % many].append([code, n, 0, self.context(code, n)])
        for index in range(many):
            path = self.folder / f"relay{index}.tap"
            self.taps.append(path)
            process = subprocess.Popen(
                [sys.executable, "-m", "ospreybridge.lab.relay", str(path), str(self.day.seed + index)],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
            )
            self.relays.append(process)
            assert process.stdin is not None and process.stdout is not None
            keys = str(self.folder) if self.day.fleet["tls"] else ""
            order = {"do": "links", "links": links[index], "keys": keys}
            process.stdin.write(json.dumps(order).encode() + b"\n")
            process.stdin.flush()
        for process in self.relays:
            assert process.stdout is not None
            for source, target, port in json.loads(process.stdout.readline()):
                self.ports[source, target] = port

    def start_server(self, n: int) -> None:
        server = self.servers[n]
        port_file = self.folder / f"cs{n}.port"
        port_file.unlink(missing_ok=True)
        server.file.write_text(self.settings(n))
        with (self.folder / f"cs{n}.log").open("ab") as log:
            server.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "ospreybridge",
                    "serve",
                    str(server.file),
                    "--port-file",
                    str(port_file),
                ],
                stdout=log,
                stderr=log,
            )
        self.loop.spawn(self._await_port(server, port_file))

    def _await_port(self, server: Server, port_file: Path) -> Task:
        while not (port_file.exists() and port_file.read_text().strip()):
            yield "sleep", 20.0
        server.port = int(port_file.read_text())
        self.order(do="port", of=server.number, port=server.port)

    def start_standins(self) -> None:
        day, loop = self.day, self.loop
        self.list = TheList(loop, list(self.numbers), day.list_delay, day.seed)
        centre = TheCentre(loop, day.centre_every)
        for n in self.numbers:

            def place(code: int, size: int = 0, n: int = n) -> Place:
                cics = parse_cic_ranges([f"1-{size}"]) if size else ()
                server = Peer(
                    "cs",
                    "exchange",
                    n,
                    self.context(n, code),
                    dial_address=("", 0),
                    cics=cics,
                    tls_name=f"cs{n}.{DOMAIN}",
                )

                def address() -> tuple[str, int] | None:
                    return ("127.0.0.1", self.ports[code, n]) if self.servers[n].port else None

                return Place(loop, code, server, address, self.contexts)

            lines, access = day.fleet["lines"], day.fleet["access"]
            self.offices[n] = Office(place(OFFICE + n, lines), day.processor, day.seed + n)
            self.callers[n] = Callers(
                place(CALLERS + n, access), day.habits, day.seed * 7 + n, self.tally, self.delays
            )
            ListLink(place(LIST), self.list)
            CentreLink(place(CENTRE), centre, n)

    def ready(self) -> bool:
        up = all(self.offices[n].up and self.callers[n].up for n in self.numbers)
        return up and all(link.up for link in self.list.subscribers)

    # -- traffic

    def arrivals(self) -> Task:
        """Open loop: arrivals are drawn ahead of all answers; a slow fleet slows no caller."""
        day, random = self.day, self.random
        shares = np.array([kind.share for kind in day.kinds])
        shares = shares / shares.sum()
        prefixes = [p for part in day.tenants for p in part.all_arguments("calling-prefix")[:1]] or ["5"]
        weights = np.array([part["share"] for part in day.tenants] or [1.0])
        weights = weights / weights.sum() if weights.sum() else np.full(len(weights), 1 / len(weights))
        due = self.loop.now
        while not self.ending:
            total = sum(self.weight.values())
            due += float(random.exponential(1_000.0 / (day.rate * self.burst * total / self.count)))
            if due > self.loop.now:
                yield "sleep", due - self.loop.now
            if self.ending:
                return
            origin = self._origin(total)
            dest = 1 + (origin + int(random.integers(self.count - 1))) % self.count
            kind = day.kinds[int(random.choice(len(day.kinds), p=shares))]
            prefix = prefixes[int(random.choice(len(prefixes), p=weights))]
            self.serial += 1
            calling = f"{prefix}{self.serial:0{min(9, 15 - len(prefix))}d}"
            self.callers[origin].wish(kind, calling, self.prefix(dest) + f"{self.serial % 10_000:04d}")

    def _origin(self, total: float) -> int:
        point = float(self.random.random()) * total
        for n, weight in self.weight.items():
            point -= weight
            if point < 0:
                return n
        return self.count

    # -- troubles

    def chosen(self, trouble: Trouble) -> list[int]:
        if trouble.exchanges:
            return list(trouble.exchanges)
        many = max(1, round(trouble.share * self.count))
        return sorted(int(n) + 1 for n in self.random.permutation(self.count)[:many])

    def trouble(self, trouble: Trouble) -> Task:
        ms = self.day.ms
        yield "sleep", ms(trouble.at * 1_000)
        names = self.chosen(trouble)
        self.say(f"{trouble.at:6.1f} s  {trouble.kind}: {self._about(trouble, names)}")
        run = getattr(self, "_" + trouble.kind.replace("-", "_"))
        yield from run(trouble, names, ms(trouble.lasts * 1_000))

    def _about(self, trouble: Trouble, names: list[int]) -> str:
        if trouble.kind in ("burst", "stale-list", "retry-abuse", "peer-messages-lost", "lost-circuits"):
            return f"for {trouble.lasts:g} s"
        return f"exchanges {', '.join(map(str, names))} for {trouble.lasts:g} s"

    def _hot_callers(self, trouble: Trouble, names: list[int], lasts: float) -> Task:
        self.weight |= dict.fromkeys(names, trouble.factor)
        yield "sleep", lasts
        self.weight |= dict.fromkeys(names, 1.0)

    def _burst(self, trouble: Trouble, names: list[int], lasts: float) -> Task:
        self.burst = trouble.factor
        yield "sleep", lasts
        self.burst = 1.0

    def _retry_abuse(self, trouble: Trouble, names: list[int], lasts: float) -> Task:
        usual = self.day.habits
        rude = replace(usual, redials=usual.redials + 4, redial_after=usual.redial_after / 4, heeds=0.0)
        for callers in self.callers.values():
            callers.habits = rude
        yield "sleep", lasts
        for callers in self.callers.values():
            callers.habits = usual

    def _cut_calls(self, trouble: Trouble, names: list[int], lasts: float) -> Task:
        cut = sum(c.cut(trouble.share, self.day.ms(trouble.back * 1_000)) for c in self.callers.values())
        self.notes.append(f"{cut} standing calls cut at {trouble.at:g} s")
        yield "sleep", lasts

    def _slow(self, trouble: Trouble, names: list[int], lasts: float) -> Task:
        for n in names:
            self.offices[n].slow = trouble.factor
        yield "sleep", lasts
        for n in names:
            self.offices[n].slow = 1.0

    def _hang(self, trouble: Trouble, names: list[int], lasts: float) -> Task:
        for n in names:
            self.offices[n].hung = True
        yield "sleep", lasts
        for n in names:
            self.offices[n].hung = False

    def _silent(self, trouble: Trouble, names: list[int], lasts: float) -> Task:
        yield from self._hang(trouble, names, lasts)
        for n in names:
            self._restart(n)

    def _restart(self, n: int) -> None:
        self.offices[n].drop()
        self.offices[n].restart()
        self.list.change(n, m3ua.DAVA, started=True)

    def _crash(self, trouble: Trouble, names: list[int], lasts: float) -> Task:
        for n in names:
            self.offices[n].die()
            self.list.change(n, m3ua.DUNA)
        yield "sleep", lasts
        for n in names:
            self._restart(n)

    def _deploy(self, trouble: Trouble, names: list[int], lasts: float) -> Task:
        """One after another: drains, stops, comes back cold."""
        each = lasts / max(1, len(names))
        for n in names:
            self.list.change(n, m3ua.DRST)
            grace = min(self.day.ms(trouble.grace * 1_000), each * 0.7)
            yield "sleep", grace
            self.offices[n].die()
            self.list.change(n, m3ua.DUNA)
            yield "sleep", each - grace
            self._restart(n)

    def _lost_circuits(self, trouble: Trouble, names: list[int], lasts: float) -> Task:
        cics = [
            c
            for c in parse_cic_ranges([f"1-{self.day.fleet['circuits']}"])
            if self.random.random() < trouble.share
        ]
        pairs = [
            (a, b)
            for a in self.numbers
            for b in range(a + 1, self.count + 1)
            if self.servers[a].zone != self.servers[b].zone or self.day.fleet["zones"] == 1
        ]
        for a, b in pairs:
            self.order(do="block", a=a, b=b, cics=cics)
        yield "sleep", lasts
        for a, b in pairs:
            self.order(do="unblock", a=a, b=b, cics=cics)

    def _renew_keys(self, trouble: Trouble, names: list[int], lasts: float) -> Task:
        def run() -> None:
            for n in names:
                self.authority.issue(f"cs{n}", [f"cs{n}.{DOMAIN}"], days=1.0)

        # Replacing a file may wait for the disk; the callers of this process must not.
        threading.Thread(target=run).start()
        yield "sleep", lasts

    def _call_server_killed(self, trouble: Trouble, names: list[int], lasts: float) -> Task:
        for n in names:
            process = self.servers[n].process
            assert process is not None
            process.send_signal(signal.SIGKILL)
            process.wait()
            self.servers[n].port = 0
        yield "sleep", lasts
        for n in names:
            self.start_server(n)

    def _call_server_stalled(self, trouble: Trouble, names: list[int], lasts: float) -> Task:
        begun = self.loop.now
        for n in names:
            os.kill(self._pid(n), signal.SIGSTOP)
        yield "sleep", lasts
        for n in names:
            os.kill(self._pid(n), signal.SIGCONT)
            self.asleep.append((n, begun, self.loop.now))

    def _pid(self, n: int) -> int:
        process = self.servers[n].process
        assert process is not None
        return int(process.pid)

    def _peer_messages_lost(self, trouble: Trouble, names: list[int], lasts: float) -> Task:
        self.order(do="lose", share=trouble.share)
        yield "sleep", lasts
        self.order(do="lose", share=0.0)

    def _stale_list(self, trouble: Trouble, names: list[int], lasts: float) -> Task:
        self.list.freeze(True)
        yield "sleep", lasts
        self.list.freeze(False)

    def _link_cut(self, trouble: Trouble, names: list[int], lasts: float) -> Task:
        yield from self._on_links("cut", names, lasts)

    def _half_frame(self, trouble: Trouble, names: list[int], lasts: float) -> Task:
        yield from self._on_links("stall", names, lasts)

    def _on_links(self, action: str, names: list[int], lasts: float) -> Task:
        """What the relays do to all links of these exchanges for so long."""
        pairs = [(a, b) for a in names for b in self.numbers if a != b]
        for a, b in pairs:
            self.order(do=action, a=a, b=b)
        yield "sleep", lasts
        for a, b in pairs:
            self.order(do="heal", a=a, b=b)

    # -- the whole

    def play(self) -> Report:
        day, loop = self.day, self.loop
        begun = time.monotonic()
        try:
            self.start_relays()
            self.start_standins()
            for n in self.numbers:
                self.start_server(n)
            if not loop.run_until(self.ready, START_WITHIN):
                raise RuntimeError(
                    f"the fleet did not come up in {START_WITHIN / 1_000:g} s; see {self.folder}"
                )
            loop.run_until(lambda: False, 500.0)  # circuits are reset, the list is told
            self.say(f"fleet of {self.count} is up after {time.monotonic() - begun:.1f} s")
            failures: list[str] = []
            loop.on_task_error = lambda name, error: failures.append(f"{name}: {error!r}")
            loop.spawn(self.arrivals())
            for trouble in day.troubles:
                loop.spawn(self.trouble(trouble))
            loop.spawn(self._progress())
            loop.run_until(lambda: bool(failures), day.ms(day.seconds * 1_000))
            if failures:
                raise RuntimeError(failures[0])
            self.ending = True
            for callers in self.callers.values():
                callers.quiet = True
            longest = max(kind.deadline for kind in day.kinds)
            loop.run_until(self._settled, longest + 2_000.0)
            return self._finish(time.monotonic() - begun)
        finally:
            self._end_processes()

    def _settled(self) -> bool:
        return all(wish.stood for callers in self.callers.values() for wish in callers.on.values())

    def _progress(self) -> Task:
        every = max(1_000.0, self.day.ms(self.day.seconds * 100))
        while not self.ending:
            yield "sleep", every
            t = self.tally
            done = t["in time"] + t["late"]
            self.say(
                f"          offered {t['offered']}, stood {done}, unserved {t['unserved']}, cut {t['cut']}"
            )

    def _finish(self, seconds: float) -> Report:
        faults = []
        processor = 0.0
        for server in self.servers.values():
            if server.process is not None:
                server.process.send_signal(signal.SIGTERM)
        for n, server in self.servers.items():
            if server.process is None:
                continue
            # The stand-ins must go on answering while call servers release their circuits.
            process = server.process
            usage: list[Any] = []

            def gone(process: subprocess.Popen[bytes] = process, usage: list[Any] = usage) -> bool:
                pid, status, spent = os.wait4(process.pid, os.WNOHANG)
                if pid:
                    process.returncode = os.waitstatus_to_exitcode(status)
                    usage.append(spent)
                return bool(pid)

            if not self.loop.run_until(gone, 15_000.0):
                faults.append(f"cs{n} did not stop in time")
            elif process.returncode:
                faults.append(f"cs{n} ended with {process.returncode}")
            else:
                processor += usage[0].ru_utime + usage[0].ru_stime
        if self.day.fleet["tls"]:
            logs = [server.file.with_suffix(".log").read_text() for server in self.servers.values()]
            for event in ("link moved over", "link not moved over", "handshake refused"):
                told = json.dumps(event)
                self.notes.append(f"{event}: {sum(log.count(told) for log in logs)}")
        faults += [f"callers {n}: {fault}" for n, c in self.callers.items() for fault in c.faults[:3]]
        faults += [f"office {n}: {fault}" for n, o in self.offices.items() for fault in o.faults[:3]]
        faults += [f"office {n} fell over while cold" for n, o in self.offices.items() if o.fallen]
        self.order(do="stop")
        for relay in self.relays:
            relay.wait(10)
        verdict = Checker(self.facts()).check(tap.merged(self.taps))
        at = self.delays.get_value_at_percentile
        delay = {name: at(p) / 1_000 for name, p in (("p50", 50), ("p90", 90), ("p99", 99), ("max", 100))}
        return Report(self.day.name, self.tally, verdict, delay, seconds, faults, processor, self.notes)

    def facts(self) -> Facts:
        day = self.day
        ms, rules = day.ms, day.rules
        return Facts(
            exchanges=frozenset(self.numbers),
            offices={OFFICE + n: n for n in self.numbers},
            callers=frozenset(CALLERS + n for n in self.numbers),
            lists=frozenset({LIST}),
            deadline=max(kind.deadline for kind in day.kinds),
            answer_grace=20.0,
            drain_grace=ms(rules["drain-grace"]),
            release=ms(rules["release"]),
            overload_factor=rules["overload-factor"],
            overload_for=ms(rules["overload-for"]),
            cold_share=rules["cold-share"],
            warm_after=ms(rules["warm-after"]),
            setup=day.processor.setup,
            asleep=tuple(self.asleep),
        )

    def _end_processes(self) -> None:
        running = [server.process for server in self.servers.values() if server.process is not None]
        for process in [*running, *self.relays]:
            if process.poll() is None:
                process.kill()
                process.wait()

    def capture(self, path: Path) -> int:
        """The whole day as exported PDUs; how many frames."""
        capture, count = tap.Capture(path), 0
        for record in tap.merged(self.taps):
            if record.frame and record.kind != tap.BUSY:
                capture.note(record.at, record.source, record.target, record.frame)
                count += 1
        capture.close()
        return count


def _kdl(value: Any) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)
