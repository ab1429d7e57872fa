"""Measurements of one call server: processor time against a bare echo, rate, memory, the module's decisions.

Ratios are taken in one run on one machine; absolute times tell of that machine only.
"""

from __future__ import annotations

import gc
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from ospreybridge import Controller
from ospreybridge import interface as i
from ospreybridge.keys import credentials
from ospreybridge.keys.authority import CertificateAuthority
from ospreybridge.lab import harness
from ospreybridge.net import tcp
from ospreybridge.net.loop import EventLoop, Task
from ospreybridge.net.tls import TlsContexts
from ospreybridge.settings.server import Peer, parse_cic_ranges
from ospreybridge.signalling import isup, m3ua
from ospreybridge.signalling.isup import IsupMessage
from ospreybridge.standins.endpoint import Endpoint, Place
from ospreybridge.standins.listservice import ListLink, TheList

HOLD = 100.0  # ms between the answer and the caller's REL
ACCESS = 1_900  # circuits of the callers' group: enough for two seconds of calls at 900 a second
GROUP = 200
CLOCK = 10**12  # µs after which the moment in a calling number starts again
Say = Callable[[str], None]
Phase = tuple[str, Callable[[bool], None]]  # name, and what switches it on and off
TURN, SETTLE = 2_000.0, 300.0  # ms that a phase is measured, and before and after it
PHASES = ("quiet", "elsewhere", "here")


def keys_of(folder: Path) -> TlsContexts:
    """A set for the call server and one for all stand-ins, whose contexts these are."""
    if not (folder / "ca.key").exists():
        authority = CertificateAuthority.create(folder, 2.0)
        authority.issue("cs1", ["cs1.test"], days=1.0)
        authority.issue("standins", ["standins.test"], days=1.0)
    return TlsContexts(credentials.load(standin_paths(folder), time.time()))


def standin_paths(folder: Path) -> credentials.CredentialPaths:
    return credentials.CredentialPaths(folder / "standins.crt", folder / "standins.key", folder / "ca.crt")


def settings_text(exchanges: int, secured: bool = False) -> str:
    link = 'tls="standins.test"' if secured else "plain=true"
    lines = ['exchange "cs1" number=1 point-code=1 listen="127.0.0.1:0" { prefix "37001"; }']
    if secured:
        lines.append(
            'tls certificate="cs1.crt" key="cs1.key" trust="ca.crt" name="cs1.test" listen="127.0.0.1:0" '
            "slots=512"
        )
    for n in range(2, exchanges + 1):
        lines.append(
            f'peer "cs{n}" role="exchange" {link} point-code={n} context={100 + n} number={n} '
            f'{{ circuits "1-{GROUP}"; prefix "37{n:03d}"; }}'
        )
    given = f'point-code=2000 context=5 {{ circuits "1-{ACCESS}"; }}'
    lines.append(f'peer "callers" role="callers" {link} {given}')
    lines.append(f'peer "list" role="list" {link} point-code=16000 context=9')
    lines.append('class "lookup" on-time=2000 deadline=9000 hold=100')
    return "\n".join(lines) + "\n"


class Answering(Endpoint):
    """An exchange that answers each call at once. The calling number is the moment of its IAM, in µs."""

    delays: HdrHistogram

    def isup(self, message: IsupMessage) -> None:
        if message.type == isup.IAM:
            due = int(isup.decode_calling_number(message.parameters[isup.CALLING_NUMBER]))
            took = int(self.loop.clock() * 1e6) % CLOCK - due
            self.delays.record_value(max(1, took))
            self.send(IsupMessage(message.cic, isup.ACM, harness.ACM))
            self.send(IsupMessage(message.cic, isup.ANM))
        elif message.type == isup.REL:
            self.send(IsupMessage(message.cic, isup.RLC))


def _in_turns(phases: list[Phase], far: subprocess.Popen[bytes]) -> Task:
    """One phase after the other, round and round; the answering process is told of each change."""
    while True:
        for _, switch in phases:
            switch(True)
            yield "sleep", SETTLE
            far.send_signal(signal.SIGUSR2)  # from here on its delays count as this phase's
            yield "sleep", TURN
            far.send_signal(signal.SIGUSR2)  # and from here on as nobody's
            switch(False)
            yield "sleep", SETTLE


def answering(port: int, exchanges: int, keys: str) -> None:
    """A process of its own, so that the callers' work does not stand in the way of the measured delay."""
    loop, delays = EventLoop(), HdrHistogram(1, 60_000_000, 3)
    contexts = keys_of(Path(keys)) if keys else None

    def stop() -> None:
        loop.running = False

    # Phases: in turn nobody's and theirs.
    places = [HdrHistogram(1, 60_000_000, 3) for _ in range(2 * len(PHASES))]
    turn = 0

    def change() -> None:
        nonlocal turn
        turn = (turn + 1) % len(places)
        for end in ends:
            end.delays = places[turn]

    loop.on_signals({signal.SIGTERM: stop, signal.SIGUSR1: delays.reset, signal.SIGUSR2: change})
    ends = []
    for n in range(2, exchanges + 1):
        server = Peer("cs1", "exchange", 1, 100 + n, 1, dial_address=("", 0), tls_name="cs1.test")
        ends.append(Answering(Place(loop, n, server, lambda: ("127.0.0.1", port), contexts)))
        ends[-1].delays = delays
    steady()
    loop.run()
    phases = {name: _told(places[1 + 2 * n]) for n, name in enumerate(PHASES)}
    print(json.dumps(_told(delays) | {"phases": phases}))


def _told(delays: HdrHistogram) -> dict[str, float]:
    found = {f"p{p}_ms": delays.get_value_at_percentile(p) / 1_000 for p in (50, 99, 99.9)}
    return found | {"within_5_ms": _share_within(delays, 5_000), "calls": delays.get_total_count()}


class Dialler(Endpoint):
    """Callers whose calls come at set moments; each circuit is used in turn."""

    def begin(self, exchanges: int) -> None:
        self.exchanges = exchanges
        self.lag = HdrHistogram(1, 60_000_000, 3)  # µs by which the callers themselves were late
        self.free = list(reversed(parse_cic_ranges([f"1-{ACCESS}"])))
        self.made = self.done = self.refused = 0

    def dial(self, due: float) -> None:
        cic = self.free.pop()
        dest = 2 + self.made % (self.exchanges - 1)
        self.made += 1
        self.lag.record_value(max(1, int((self.loop.clock() * 1e3 - due) * 1e3)))
        calling = f"{int(self.loop.clock() * 1e6) % CLOCK:012d}"
        self.send(harness.iam(cic, f"37{dest:03d}{self.made % 10_000:04d}", calling, left=9_000))

    def isup(self, message: IsupMessage) -> None:
        if message.type == isup.ACM:
            self.loop.timers.schedule(self.loop.now + HOLD, self._hang_up, message.cic)
        elif message.type == isup.REL:
            self.refused += 1
            self.send(IsupMessage(message.cic, isup.RLC))
            self._end(message.cic)
        elif message.type == isup.RLC:
            self._end(message.cic)

    def _hang_up(self, now: float, cic: int) -> None:
        self.send(harness.rel(cic, 16))

    def _end(self, cic: int) -> None:
        self.done += 1
        self.free.insert(0, cic)


def steady() -> None:
    """The measuring processes' own collections must not be read as the call server's delay."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(100_000, 50, 1_000)


def spent_by(pid: int) -> float:
    """Processor seconds of a process, user and system."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def child(command: list[str], folder: Path) -> tuple[subprocess.Popen[bytes], int]:
    port_file = folder / f"port{len(list(folder.iterdir()))}"
    with (folder / "log").open("ab") as log:
        process = subprocess.Popen([sys.executable, "-m", *command, str(port_file)], stdout=log, stderr=log)
    end = time.monotonic() + 20
    while not (port_file.exists() and port_file.read_text().strip()):
        if time.monotonic() > end or process.poll() is not None:
            raise RuntimeError(f"{command[0]} did not start: {(folder / 'log').read_text()[-500:]}")
        time.sleep(0.02)
    return process, int(port_file.read_text())


def _paced(loop: EventLoop, rate: float, calls: int, make: Callable[[float], None]) -> Task:
    due = loop.now
    for _ in range(calls):
        due += 1_000.0 / rate
        if due > loop.now:
            yield "sleep", due - loop.now
        make(due)


def calls(
    exchanges: int,
    rate: float,
    count: int,
    folder: Path,
    secured: bool = False,
    meanwhile: Callable[[int], list[Phase]] | None = None,
) -> dict[str, Any]:
    """Complete calls through one call server: processor ms a call, and the delay from intended IAM to ACM.

    `meanwhile`, given the port, tells phases that take turns while the calls are made; each is switched on
    and off, and the delays of each are told apart.
    """
    file = folder / f"measure{exchanges}.kdl"
    file.write_text(settings_text(exchanges, secured))
    contexts = keys_of(folder) if secured else None
    process, port = child(["ospreybridge", "serve", str(file), "--port-file"], folder)
    try:
        loop = EventLoop()

        def place(code: int, context: int) -> Place:
            server = Peer("cs1", "exchange", 1, context, 1, dial_address=("", 0), tls_name="cs1.test")
            return Place(loop, code, server, lambda: ("127.0.0.1", port), contexts)

        far = subprocess.Popen(
            [sys.executable, "-m", __spec__.name, str(port), str(exchanges), str(folder) if secured else ""],
            stdout=subprocess.PIPE,
        )
        callers = Dialler(place(2_000, 5))
        listed = TheList(loop, list(range(1, exchanges + 1)), (0.0, 1.0), 1)
        ends: list[Endpoint] = [callers, ListLink(place(16_000, 9), listed)]
        callers.begin(exchanges)
        if not loop.run_until(lambda: all(end.up for end in ends), 20_000):
            raise RuntimeError("the call server's associations did not come up")
        loop.run_until(lambda: False, 2_500)  # the far process starts, circuits are reset
        loop.spawn(_paced(loop, rate, count // 10, callers.dial))  # warm-up, not counted
        loop.run_until(lambda: callers.done == count // 10, 30_000)
        phases = meanwhile(port) if meanwhile is not None else []
        loop.run_until(lambda: False, 500.0)  # what stood still meanwhile is no delay of the call server
        far.send_signal(signal.SIGUSR1)
        if phases:
            loop.spawn(_in_turns(phases, far))
        before, begun = spent_by(process.pid), time.monotonic()
        loop.spawn(_paced(loop, rate, count, callers.dial))
        if not loop.run_until(lambda: callers.done == count // 10 + count, 10_000 + 3_000 * count / rate):
            raise RuntimeError(f"{callers.made - callers.done} calls did not end")
        seconds = time.monotonic() - begun
        spent = spent_by(process.pid) - before
        far.terminate()
        told: dict[str, Any] = json.loads(far.communicate(timeout=10)[0])
        return told | {
            "exchanges": exchanges,
            "rate": round(count / seconds, 1),
            "calls": count,
            "refused": callers.refused,
            "callers_late_p99_ms": callers.lag.get_value_at_percentile(99) / 1_000,
            "ms_a_call": 1_000 * spent / count,
            "busy": spent / seconds,
        }
    finally:
        process.kill()
        process.wait()


def _share_within(delays: HdrHistogram, limit: int) -> float:
    total = delays.get_total_count()
    below = sum(
        item.count_added_in_this_iter_step
        for item in delays.get_recorded_iterator()
        if item.value_iterated_to <= limit
    )
    return float(below / total) if total else 0.0


def echo(exchanges: int, rate: float, count: int, folder: Path) -> dict[str, Any]:
    """The same frames in the same order and pace over as many connections, echoed and nothing else."""
    process, port = child(["ospreybridge.lab.echo"], folder)
    try:
        loop = EventLoop()
        done = 0
        streams: list[tcp.Stream] = []

        def frame(message: IsupMessage) -> bytes:
            return m3ua.encode_data(m3ua.Data(2_000, 1, 5, 2, 0, message.cic & 15, isup.encode(message), 5))

        def reader(index: int) -> Task:
            nonlocal done
            sock = yield from tcp.connect(loop, ("127.0.0.1", port), 2_000)
            stream = tcp.Stream(loop, sock, 1 << 24)
            streams.append(stream)
            splitter = m3ua.Splitter()
            while data := (yield from stream.read()):
                for raw in splitter.feed(data):
                    data_message = m3ua.decode(raw)
                    assert isinstance(data_message, m3ua.Data)
                    message = isup.decode(data_message.body)
                    far = streams[1 + message.cic % (exchanges - 1)]
                    if message.type == isup.IAM:
                        far.write(frame(IsupMessage(message.cic, isup.ACM, harness.ACM)))
                        far.write(frame(IsupMessage(message.cic, isup.ANM)))
                    elif message.type == isup.ANM:
                        loop.timers.schedule(loop.now + HOLD, release, message.cic)
                    elif message.type == isup.REL:
                        far.write(frame(IsupMessage(message.cic, isup.RLC)))
                    elif message.type == isup.RLC:
                        done += 1

        def release(now: float, cic: int) -> None:
            streams[0].write(frame(harness.rel(cic, 16)))

        made = 0

        def make(due: float) -> None:
            nonlocal made
            made += 1
            called = f"37{2 + made % (exchanges - 1):03d}{made % 10_000:04d}"
            streams[0].write(frame(harness.iam(1 + made % 4_000, called, f"50{made:08d}", left=9_000)))

        for index in range(exchanges + 1):
            loop.spawn(reader(index))
        loop.run_until(lambda: len(streams) == exchanges + 1, 10_000)
        loop.spawn(_paced(loop, rate, count // 10, make))
        loop.run_until(lambda: done == count // 10, 30_000)
        before = spent_by(process.pid)
        loop.spawn(_paced(loop, rate, count, make))
        if not loop.run_until(lambda: done == count // 10 + count, 10_000 + 3_000 * count / rate):
            raise RuntimeError("the echo lost frames")
        return {"ms_a_call": 1_000 * (spent_by(process.pid) - before) / count}
    finally:
        process.kill()
        process.wait()


def path(say: Say, rate: float, count: int) -> dict[str, Any]:
    """A whole call over a bare echo of its bytes, at the users' 26 and 62 exchanges."""
    found: dict[str, Any] = {}
    steady()
    with tempfile.TemporaryDirectory() as name:
        for exchanges in (26, 62):
            bare = echo(exchanges, rate, count, Path(name))
            whole = calls(exchanges, rate, count, Path(name))
            ratio = whole["ms_a_call"] / max(bare["ms_a_call"], 1e-9)
            say(
                f"{exchanges} exchanges, {whole['rate']:.0f} calls/s: {whole['ms_a_call']:.3f} ms a call, "
                f"echo {bare['ms_a_call']:.3f} ms, ratio {ratio:.2f}; processor {whole['busy']:.0%} busy; "
                f"IAM in to IAM out p50 {whole['p50_ms']:.2f} ms, p99 {whole['p99_ms']:.2f} ms, "
                f"{whole['within_5_ms']:.2%} within 5 ms "
                f"(callers late p99 {whole['callers_late_p99_ms']:.2f} ms); refused {whole['refused']}"
            )
            found[str(exchanges)] = whole | {"echo_ms_a_call": bare["ms_a_call"], "ratio": ratio}
    return found


def memory(say: Say, count: int) -> dict[str, Any]:
    """Resident memory a standing call, in a call server without sockets."""
    exchanges = 62
    needed = count // (exchanges - 1) * 34 // 31 + 64
    h = harness.Harness(harness.server(exchanges, circuits=needed, access=count * 33 // 31 + 64))
    h.up()
    h.ready()
    h.keep = False
    out: list[tuple[int, IsupMessage]] = []
    h.watch = lambda code, message: out.append((code, message))
    groups = [(peer.point_code, peer.cics) for peer in h.core.settings.peers if peer.role == "callers"]
    access = [(code, cic) for code, cics in groups for cic in cics][:count]
    gc.collect()
    before = _resident()
    for serial, (code, cic) in enumerate(access):
        h.advance(0.1)
        out.clear()
        called = f"37{2 + serial % (exchanges - 1):03d}{serial % 10_000:04d}"
        h.give(code, harness.iam(cic, called, f"50{serial:08d}"))
        to = [(far, m) for far, m in out if m.type == isup.IAM]
        for far, message in to:
            h.give(far, IsupMessage(message.cic, isup.ACM, harness.ACM))
            h.give(far, IsupMessage(message.cic, isup.ANM))
    h.advance(10_000)  # timers of the set-ups are gone
    gc.collect()
    standing = len(h.core.calls)
    each = (_resident() - before) / max(1, standing)
    say(f"{standing} standing calls: {each / 1_000:.2f} kB a call")
    return {"standing": standing, "bytes_a_call": each}


def _resident() -> int:
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def module(say: Say) -> dict[str, Any]:
    """Processor ms of the module for one call, at 62 exchanges and growing rates."""
    found = {}
    for rate in (25, 500, 2_000):
        rules = i.Rules(
            release=200.0, warm_after=14_000.0, overload_for=1_500.0, overload_factor=2.5, cold_share=0.3
        )
        kind = i.CallClass(on_time=2_000.0, deadline=9_000.0, hold=10_000.0)
        controller = Controller(
            i.Settings(
                classes=(kind,),
                own_exchange=0,
                server_count=62,
                tick=5.0,
                rules=rules,
                limits=i.Limits(cancel=True, max_tries=4),
            ),
            1,
        )
        entries = tuple(i.Entry(100 + n, n) for n in range(1, 62))
        controller.handle(0.0, i.Members(i.ListForm.FULL, 1, entries))
        full = i.Report(free=500.0, size=500.0)
        for entry in entries:
            controller.handle(0.0, i.Probed(entry.office, i.Result.OK, 0.0, full))
        count, now, begun = rate * 12 + 4_000, 1_000.0, 0.0
        for ref in range(count):
            if ref == count - 1_500:
                begun, first = time.process_time(), ref
            now += 1_000.0 / rate
            for action in controller.handle(now, i.Request(ref, 0, 1 + ref % 61, now + 9_000.0)):
                if isinstance(action, i.Send):
                    controller.handle(now, i.Established(ref, 0, action.office, 5.0))
                    controller.handle(
                        now, i.Outcome(ref, 0, action.office, i.Result.OK, 5.0, True, report=full)
                    )
        found[str(rate)] = 1_000 * (time.process_time() - begun) / (count - first)
        say(f"{rate:>5} calls/s: {found[str(rate)]:.3f} ms a call in the module")
    return found


if __name__ == "__main__":
    answering(int(sys.argv[1]), int(sys.argv[2]), sys.argv[3])
