"""Measures one call server: processor time relative to an echo server, delay, memory and controller time.

Both sides of a ratio are measured in one run on one machine; absolute times hold for that machine only.
Run as a process it is the answering exchanges: PORT EXCHANGES CREDENTIALS_DIR (empty for plain links).
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

from ospreybridge import Controller, interface
from ospreybridge.keys import credentials
from ospreybridge.keys.authority import CertificateAuthority
from ospreybridge.lab import harness
from ospreybridge.net import tcp
from ospreybridge.net.loop import EventLoop, Task
from ospreybridge.net.tls import TlsContexts
from ospreybridge.settings.server import Peer, parse_cic_ranges
from ospreybridge.signalling import isup, m3ua
from ospreybridge.signalling.isup import IsupMessage
from ospreybridge.standins.endpoint import Endpoint, EndpointConfig
from ospreybridge.standins.listservice import ListLink, ListService

HOLD_MS = 100.0  # between the answer and the caller's REL
ACCESS_CIRCUITS = 1_900  # of the callers' group: enough for two seconds of calls at 900 a second
GROUP_CIRCUITS = 200  # of the trunk group to each exchange
CLOCK_PERIOD_US = 10**12  # the send time in a calling number wraps to 0 after this
Output = Callable[[str], None]
Phase = tuple[str, Callable[[bool], None]]  # name, and a function that switches it on or off
PHASE_MS, SETTLE_MS = 2_000.0, 300.0  # measured part of a phase, and the pause before and after it
PHASE_NAMES = ("quiet", "elsewhere", "here")


def standin_tls_contexts(work_dir: Path) -> TlsContexts:
    """Returns TLS contexts of the stand-ins; the first call issues the certificates of both sides."""
    if not (work_dir / "ca.key").exists():
        authority = CertificateAuthority.create(work_dir, 2.0)
        authority.issue("cs1", ["cs1.test"], days=1.0)
        authority.issue("standins", ["standins.test"], days=1.0)
    return TlsContexts(credentials.load(standin_credential_paths(work_dir), time.time()))


def standin_credential_paths(work_dir: Path) -> credentials.CredentialPaths:
    """Returns the credential files that all stand-ins share."""
    return credentials.CredentialPaths(
        work_dir / "standins.crt", work_dir / "standins.key", work_dir / "ca.crt"
    )


def settings_text(exchanges: int, use_tls: bool = False) -> str:
    """Returns the settings file of exchange 1 in a full mesh of `exchanges`."""
    transport = 'tls="standins.test"' if use_tls else "plain=true"
    lines = ['exchange "cs1" number=1 point-code=1 listen="127.0.0.1:0" { prefix "37001"; }']
    if use_tls:
        lines.append(
            'tls certificate="cs1.crt" key="cs1.key" trust="ca.crt" name="cs1.test" listen="127.0.0.1:0" '
            "slots=512"
        )
    for n in range(2, exchanges + 1):
        lines.append(
            f'peer "cs{n}" role="exchange" {transport} point-code={n} context={100 + n} number={n} '
            f'{{ circuits "1-{GROUP_CIRCUITS}"; prefix "37{n:03d}"; }}'
        )
    properties = f'point-code=2000 context=5 {{ circuits "1-{ACCESS_CIRCUITS}"; }}'
    lines.append(f'peer "callers" role="callers" {transport} {properties}')
    lines.append(f'peer "list" role="list" {transport} point-code=16000 context=9')
    lines.append('class "lookup" on-time=2000 deadline=9000 hold=100')
    return "\n".join(lines) + "\n"


class AnsweringExchange(Endpoint):
    """An exchange that answers each call at once and records its delay.

    The calling number is the time in µs at which the caller sent the IAM, modulo CLOCK_PERIOD_US.
    """

    setup_delays: HdrHistogram

    def on_isup(self, message: IsupMessage) -> None:
        if message.type == isup.IAM:
            sent_at_us = int(isup.decode_calling_number(message.parameters[isup.CALLING_NUMBER]))
            elapsed_us = int(self.loop.clock() * 1e6) % CLOCK_PERIOD_US - sent_at_us
            self.setup_delays.record_value(max(1, elapsed_us))
            self.send(IsupMessage(message.cic, isup.ACM, harness.ACM_PARAMETERS))
            self.send(IsupMessage(message.cic, isup.ANM))
        elif message.type == isup.REL:
            self.send(IsupMessage(message.cic, isup.RLC))


def _cycle_phases(phases: list[Phase], answering_process: subprocess.Popen[bytes]) -> Task:
    """Cycles through the phases; a SIGUSR2 tells the answering process of each start and end."""
    while True:
        for _, switch in phases:
            switch(True)
            yield "sleep", SETTLE_MS
            answering_process.send_signal(signal.SIGUSR2)  # from now on, delays are recorded for this phase
            yield "sleep", PHASE_MS
            answering_process.send_signal(signal.SIGUSR2)  # from now on, delays are recorded for no phase
            switch(False)
            yield "sleep", SETTLE_MS


def run_answering_exchanges(port: int, exchanges: int, credentials_dir: str) -> None:
    """Runs all exchanges but the first until SIGTERM, then prints the delays as JSON.

    It is a separate process so that the callers' work does not add to the measured delay. SIGUSR1 discards
    the delays recorded so far; SIGUSR2 starts or ends a phase.
    """
    loop, setup_delays = EventLoop(), HdrHistogram(1, 60_000_000, 3)
    contexts = standin_tls_contexts(Path(credentials_dir)) if credentials_dir else None

    def stop() -> None:
        loop.running = False

    # Even indexes: between phases; odd indexes: the phases in order.
    histograms = [HdrHistogram(1, 60_000_000, 3) for _ in range(2 * len(PHASE_NAMES))]
    current = 0

    def next_histogram() -> None:
        nonlocal current
        current = (current + 1) % len(histograms)
        for endpoint in endpoints:
            endpoint.setup_delays = histograms[current]

    loop.on_signals(
        {signal.SIGTERM: stop, signal.SIGUSR1: setup_delays.reset, signal.SIGUSR2: next_histogram}
    )
    endpoints = []
    for n in range(2, exchanges + 1):
        server = Peer("cs1", "exchange", 1, 100 + n, 1, dial_address=("", 0), tls_name="cs1.test")
        endpoints.append(
            AnsweringExchange(EndpointConfig(loop, n, server, lambda: ("127.0.0.1", port), contexts))
        )
        endpoints[-1].setup_delays = setup_delays
    limit_gc_pauses()
    loop.run()
    phases = {name: _summarize(histograms[1 + 2 * n]) for n, name in enumerate(PHASE_NAMES)}
    print(json.dumps(_summarize(setup_delays) | {"phases": phases}))


def _summarize(setup_delays: HdrHistogram) -> dict[str, float]:
    summary = {f"p{p}_ms": setup_delays.get_value_at_percentile(p) / 1_000 for p in (50, 99, 99.9)}
    return summary | {
        "within_5_ms": _share_within(setup_delays, 5_000),
        "calls": setup_delays.get_total_count(),
    }


class PacedCallers(Endpoint):
    """Callers that start calls at scheduled times; the circuit that was free longest is used next."""

    def prepare(self, exchanges: int) -> None:
        """Resets the counts; calls go to the other exchanges of the mesh in turn."""
        self.exchanges = exchanges
        self.lateness_us = HdrHistogram(1, 60_000_000, 3)  # how late the callers themselves sent their IAMs
        self.free_circuits = list(reversed(parse_cic_ranges([f"1-{ACCESS_CIRCUITS}"])))
        self.started = self.ended = self.refused = 0

    def dial(self, due_at: float) -> None:
        """Starts a call that was scheduled for `due_at`, in ms."""
        cic = self.free_circuits.pop()
        destination = 2 + self.started % (self.exchanges - 1)
        self.started += 1
        self.lateness_us.record_value(max(1, int((self.loop.clock() * 1e3 - due_at) * 1e3)))
        calling = f"{int(self.loop.clock() * 1e6) % CLOCK_PERIOD_US:012d}"
        self.send(harness.iam(cic, f"37{destination:03d}{self.started % 10_000:04d}", calling, left=9_000))

    def on_isup(self, message: IsupMessage) -> None:
        if message.type == isup.ACM:
            self.loop.timers.schedule(self.loop.now + HOLD_MS, self._hang_up, message.cic)
        elif message.type == isup.REL:
            self.refused += 1
            self.send(IsupMessage(message.cic, isup.RLC))
            self._end_call(message.cic)
        elif message.type == isup.RLC:
            self._end_call(message.cic)

    def _hang_up(self, now: float, cic: int) -> None:
        self.send(harness.rel(cic, 16))

    def _end_call(self, cic: int) -> None:
        self.ended += 1
        self.free_circuits.insert(0, cic)


def limit_gc_pauses() -> None:
    """Keeps this process's garbage collection from adding to the measured delay of the call server."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(100_000, 50, 1_000)


def cpu_seconds(pid: int) -> float:
    """Returns the processor seconds that a process has used, user and system."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def start_process(command: list[str], work_dir: Path) -> tuple[subprocess.Popen[bytes], int]:
    """Starts a Python module that writes its port to a file; returns the process and the port.

    The path of the port file is appended to `command`.
    """
    port_file = work_dir / f"port{len(list(work_dir.iterdir()))}"
    with (work_dir / "log").open("ab") as log:
        process = subprocess.Popen([sys.executable, "-m", *command, str(port_file)], stdout=log, stderr=log)
    give_up_at = time.monotonic() + 20
    while not (port_file.exists() and port_file.read_text().strip()):
        if time.monotonic() > give_up_at or process.poll() is not None:
            raise RuntimeError(f"{command[0]} did not start: {(work_dir / 'log').read_text()[-500:]}")
        time.sleep(0.02)
    return process, int(port_file.read_text())


def _start_calls(loop: EventLoop, rate: float, count: int, start_call: Callable[[float], None]) -> Task:
    """Starts `count` calls at `rate` per second; each is passed the time it was due, in ms."""
    due_at = loop.now
    for _ in range(count):
        due_at += 1_000.0 / rate
        if due_at > loop.now:
            yield "sleep", due_at - loop.now
        start_call(due_at)


def measure_calls(
    exchanges: int,
    rate: float,
    count: int,
    work_dir: Path,
    use_tls: bool = False,
    start_phases: Callable[[int], list[Phase]] | None = None,
) -> dict[str, Any]:
    """Makes complete calls through one call server.

    Measures its processor time per call and the delay from the caller's IAM to the IAM at the far exchange.
    `start_phases` gets the call server's port and returns phases that alternate during the calls; the delays
    are also reported for each phase.
    """
    settings_file = work_dir / f"measure{exchanges}.kdl"
    settings_file.write_text(settings_text(exchanges, use_tls))
    contexts = standin_tls_contexts(work_dir) if use_tls else None
    process, port = start_process(["ospreybridge", "serve", str(settings_file), "--port-file"], work_dir)
    try:
        loop = EventLoop()

        def endpoint_config(point_code: int, routing_context: int) -> EndpointConfig:
            server = Peer("cs1", "exchange", 1, routing_context, 1, dial_address=("", 0), tls_name="cs1.test")
            return EndpointConfig(loop, point_code, server, lambda: ("127.0.0.1", port), contexts)

        answering_process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                __spec__.name,
                str(port),
                str(exchanges),
                str(work_dir) if use_tls else "",
            ],
            stdout=subprocess.PIPE,
        )
        callers = PacedCallers(endpoint_config(2_000, 5))
        list_service = ListService(loop, list(range(1, exchanges + 1)), (0.0, 1.0), 1)
        endpoints: list[Endpoint] = [callers, ListLink(endpoint_config(16_000, 9), list_service)]
        callers.prepare(exchanges)
        if not loop.run_until(lambda: all(endpoint.up for endpoint in endpoints), 20_000):
            raise RuntimeError("the call server's associations did not come up")
        loop.run_until(lambda: False, 2_500)  # the answering process starts, circuits are reset
        loop.spawn(_start_calls(loop, rate, count // 10, callers.dial))  # warm-up, not counted
        loop.run_until(lambda: callers.ended == count // 10, 30_000)
        phases = start_phases(port) if start_phases is not None else []
        loop.run_until(lambda: False, 500.0)  # drains the backlog if starting the phases blocked this process
        answering_process.send_signal(signal.SIGUSR1)
        if phases:
            loop.spawn(_cycle_phases(phases, answering_process))
        cpu_before, started = cpu_seconds(process.pid), time.monotonic()
        loop.spawn(_start_calls(loop, rate, count, callers.dial))
        if not loop.run_until(lambda: callers.ended == count // 10 + count, 10_000 + 3_000 * count / rate):
            raise RuntimeError(f"{callers.started - callers.ended} calls did not end")
        seconds = time.monotonic() - started
        cpu_s = cpu_seconds(process.pid) - cpu_before
        answering_process.terminate()
        summary: dict[str, Any] = json.loads(answering_process.communicate(timeout=10)[0])
        return summary | {
            "exchanges": exchanges,
            "rate": round(count / seconds, 1),
            "calls": count,
            "refused": callers.refused,
            "callers_late_p99_ms": callers.lateness_us.get_value_at_percentile(99) / 1_000,
            "ms_a_call": 1_000 * cpu_s / count,
            "busy": cpu_s / seconds,
        }
    finally:
        process.kill()
        process.wait()


def _share_within(setup_delays: HdrHistogram, limit_us: int) -> float:
    total = setup_delays.get_total_count()
    within_limit = sum(
        item.count_added_in_this_iter_step
        for item in setup_delays.get_recorded_iterator()
        if item.value_iterated_to <= limit_us
    )
    return float(within_limit / total) if total else 0.0


def measure_echo(exchanges: int, rate: float, count: int, work_dir: Path) -> dict[str, Any]:
    """Sends the frames of such calls, at the same rate and over as many connections, to the echo server."""
    process, port = start_process(["ospreybridge.lab.echo"], work_dir)
    try:
        loop = EventLoop()
        ended = 0
        streams: list[tcp.Stream] = []

        def encode_frame(message: IsupMessage) -> bytes:
            return m3ua.encode_data(m3ua.Data(2_000, 1, 5, 2, 0, message.cic & 15, isup.encode(message), 5))

        def run_connection(index: int) -> Task:
            nonlocal ended
            sock = yield from tcp.connect(loop, ("127.0.0.1", port), 2_000)
            stream = tcp.Stream(loop, sock, 1 << 24)
            streams.append(stream)
            splitter = m3ua.Splitter()
            while data := (yield from stream.read()):
                for frame in splitter.feed(data):
                    data_message = m3ua.decode(frame)
                    assert isinstance(data_message, m3ua.Data)
                    message = isup.decode(data_message.body)
                    reply_stream = streams[1 + message.cic % (exchanges - 1)]
                    if message.type == isup.IAM:
                        reply_stream.write(
                            encode_frame(IsupMessage(message.cic, isup.ACM, harness.ACM_PARAMETERS))
                        )
                        reply_stream.write(encode_frame(IsupMessage(message.cic, isup.ANM)))
                    elif message.type == isup.ANM:
                        loop.timers.schedule(loop.now + HOLD_MS, release, message.cic)
                    elif message.type == isup.REL:
                        reply_stream.write(encode_frame(IsupMessage(message.cic, isup.RLC)))
                    elif message.type == isup.RLC:
                        ended += 1

        def release(now: float, cic: int) -> None:
            streams[0].write(encode_frame(harness.rel(cic, 16)))

        started = 0

        def start_call(due_at: float) -> None:
            nonlocal started
            started += 1
            called = f"37{2 + started % (exchanges - 1):03d}{started % 10_000:04d}"
            streams[0].write(
                encode_frame(harness.iam(1 + started % 4_000, called, f"50{started:08d}", left=9_000))
            )

        for index in range(exchanges + 1):
            loop.spawn(run_connection(index))
        loop.run_until(lambda: len(streams) == exchanges + 1, 10_000)
        loop.spawn(_start_calls(loop, rate, count // 10, start_call))
        loop.run_until(lambda: ended == count // 10, 30_000)
        cpu_before = cpu_seconds(process.pid)
        loop.spawn(_start_calls(loop, rate, count, start_call))
        if not loop.run_until(lambda: ended == count // 10 + count, 10_000 + 3_000 * count / rate):
            raise RuntimeError("the echo lost frames")
        return {"ms_a_call": 1_000 * (cpu_seconds(process.pid) - cpu_before) / count}
    finally:
        process.kill()
        process.wait()


def measure_path(output: Output, rate: float, count: int) -> dict[str, Any]:
    """Compares a whole call with an echo of its bytes, at 26 and 62 exchanges as in the users' fleets."""
    results: dict[str, Any] = {}
    limit_gc_pauses()
    with tempfile.TemporaryDirectory() as directory:
        for exchanges in (26, 62):
            echo_result = measure_echo(exchanges, rate, count, Path(directory))
            call_result = measure_calls(exchanges, rate, count, Path(directory))
            ratio = call_result["ms_a_call"] / max(echo_result["ms_a_call"], 1e-9)
            output(
                f"{exchanges} exchanges, {call_result['rate']:.0f} calls/s: "
                f"{call_result['ms_a_call']:.3f} ms a call, "
                f"echo {echo_result['ms_a_call']:.3f} ms, ratio {ratio:.2f}; "
                f"processor {call_result['busy']:.0%} busy; "
                f"IAM in to IAM out p50 {call_result['p50_ms']:.2f} ms, p99 {call_result['p99_ms']:.2f} ms, "
                f"{call_result['within_5_ms']:.2%} within 5 ms "
                f"(callers late p99 {call_result['callers_late_p99_ms']:.2f} ms); "
                f"refused {call_result['refused']}"
            )
            results[str(exchanges)] = call_result | {
                "echo_ms_a_call": echo_result["ms_a_call"],
                "ratio": ratio,
            }
    return results


def measure_memory(output: Output, count: int) -> dict[str, Any]:
    """Measures the resident memory of an established call, in a call server without sockets."""
    exchanges = 62
    circuits = count // (exchanges - 1) * 34 // 31 + 64
    bench = harness.Harness(
        harness.server_settings(exchanges, circuits=circuits, access=count * 33 // 31 + 64)
    )
    bench.activate_links()
    bench.announce_exchanges()
    bench.keep_sent = False
    sent: list[tuple[int, IsupMessage]] = []
    bench.on_sent = lambda code, message: sent.append((code, message))
    groups = [
        (peer.point_code, peer.cics) for peer in bench.call_server.settings.peers if peer.role == "callers"
    ]
    access = [(code, cic) for code, cics in groups for cic in cics][:count]
    gc.collect()
    bytes_before = _resident_bytes()
    for serial, (code, cic) in enumerate(access):
        bench.advance(0.1)
        sent.clear()
        called = f"37{2 + serial % (exchanges - 1):03d}{serial % 10_000:04d}"
        bench.receive(code, harness.iam(cic, called, f"50{serial:08d}"))
        setups = [(far, m) for far, m in sent if m.type == isup.IAM]
        for far, message in setups:
            bench.receive(far, IsupMessage(message.cic, isup.ACM, harness.ACM_PARAMETERS))
            bench.receive(far, IsupMessage(message.cic, isup.ANM))
    bench.advance(10_000)  # lets the timers of the set-ups run out
    gc.collect()
    established = len(bench.call_server.calls)
    bytes_per_call = (_resident_bytes() - bytes_before) / max(1, established)
    output(f"{established} standing calls: {bytes_per_call / 1_000:.2f} kB a call")
    return {"standing": established, "bytes_a_call": bytes_per_call}


def _resident_bytes() -> int:
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def measure_controller(output: Output) -> dict[str, Any]:
    """Measures the controller's processor time per call, at 62 exchanges and increasing rates."""
    results = {}
    for rate in (25, 500, 2_000):
        rules = interface.Rules(
            release=200.0, warm_after=14_000.0, overload_for=1_500.0, overload_factor=2.5, cold_share=0.3
        )
        call_class = interface.CallClass(on_time=2_000.0, deadline=9_000.0, hold=10_000.0)
        controller = Controller(
            interface.Settings(
                classes=(call_class,),
                own_exchange=0,
                server_count=62,
                tick=5.0,
                rules=rules,
                limits=interface.Limits(cancel=True, max_tries=4),
            ),
            1,
        )
        entries = tuple(interface.Entry(100 + n, n) for n in range(1, 62))
        controller.handle(0.0, interface.Members(interface.ListForm.FULL, 1, entries))
        report = interface.Report(free=500.0, size=500.0)
        for entry in entries:
            controller.handle(0.0, interface.Probed(entry.office, interface.Result.OK, 0.0, report))
        count, now, cpu_before = rate * 12 + 4_000, 1_000.0, 0.0
        for ref in range(count):
            if ref == count - 1_500:
                cpu_before, first_measured = time.process_time(), ref
            now += 1_000.0 / rate
            for action in controller.handle(now, interface.Request(ref, 0, 1 + ref % 61, now + 9_000.0)):
                if isinstance(action, interface.Send):
                    controller.handle(now, interface.Established(ref, 0, action.office, 5.0))
                    controller.handle(
                        now,
                        interface.Outcome(
                            ref, 0, action.office, interface.Result.OK, 5.0, True, report=report
                        ),
                    )
        results[str(rate)] = 1_000 * (time.process_time() - cpu_before) / (count - first_measured)
        output(f"{rate:>5} calls/s: {results[str(rate)]:.3f} ms a call in the module")
    return results


if __name__ == "__main__":
    run_answering_exchanges(int(sys.argv[1]), int(sys.argv[2]), sys.argv[3])
