"""Measures the cost of TLS: handshakes, calls over TLS links, and set-ups during a storm of handshakes.

Run as a process it is the storm: PORT WORK_DIR PEERS, each peer dialling repeatedly.
"""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Generator
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from ospreybridge.core.handshakes import HandshakeScheduler
from ospreybridge.lab.measure import (
    Output,
    cpu_seconds,
    limit_gc_pauses,
    measure_calls,
    settings_text,
    standin_tls_contexts,
    start_process,
)
from ospreybridge.net import tcp
from ospreybridge.net.loop import EventLoop, Task, WaitRequest
from ospreybridge.net.tls import HandshakeError, TlsContexts, TlsStream
from ospreybridge.signalling import m3ua

STORM_CALLS_FACTOR = 5  # times the calls of the other measurements: each phase needs enough for a p99
MODULE_NAME = "ospreybridge.lab.measure_tls"
STORM_PEERS = 200  # peers that dial at the same time
STORM_PAUSE_MS = 200.0  # between a peer's handshakes, as when links fail and recover repeatedly
WARM_UP_CONNECTIONS = 20  # not measured
CONCURRENT_DIALLERS = 16
SINGLE_PAUSE_MS = 20.0  # between connections that are made one at a time
BEAT = m3ua.encode(m3ua.BEAT, [(m3ua.HEARTBEAT_DATA, b"mark")])


class ConnectionProbe:
    """Makes connections to a call server and measures the time to the answer to the first BEAT, in µs.

    With `resume`, TLS sessions of earlier connections are used again.
    """

    def __init__(self, loop: EventLoop, port: int, tls_contexts: TlsContexts | None, resume: bool) -> None:
        self.loop, self.port, self.tls_contexts, self.resume = loop, port, tls_contexts, resume
        self.delays = HdrHistogram(1, 60_000_000, 3)
        self.sessions: list[Any] = []
        self.resumed = self.completed = 0

    def connect_once(self) -> Generator[WaitRequest, None, None]:
        """Makes one connection and closes it after the first answer."""
        started = self.loop.clock()
        sock = yield from tcp.connect(self.loop, ("127.0.0.1", self.port), 5_000.0)
        session = self.sessions.pop() if self.sessions else None
        if self.tls_contexts is None:
            stream = tcp.Stream(self.loop, sock)
        else:
            scheduler = HandshakeScheduler(1, 0)  # one each: the dialler's own queue is not measured
            stream = yield from self.tls_contexts.connect(self.loop, sock, scheduler, "cs1.test", session)
        stream.write(BEAT)
        if not (yield from stream.read()):
            stream.close("not answered")
            raise RuntimeError("the call server closed a connection before it answered")
        self.delays.record_value(max(1, int((self.loop.clock() - started) * 1e6)))
        if isinstance(stream, TlsStream):
            self.resumed += bool(stream.sock.session_reused)
            if self.resume:
                self.sessions.append(stream.sock.session)
        stream.close("measured")
        self.completed += 1

    def connect_repeatedly(self, count: int, pause_ms: float = 0.0) -> Task:
        """Makes `count` connections one after the other."""
        for _ in range(count):
            yield from self.connect_once()
            if pause_ms:
                yield "sleep", pause_ms


def _measure_connections(loop: EventLoop, probe: ConnectionProbe, pid: int, count: int) -> dict[str, float]:
    """Measures the delay of single connections, then the rate of concurrent ones.

    The call server's pacing of handshake steps does not delay single connections.
    """
    loop.spawn(probe.connect_repeatedly(WARM_UP_CONNECTIONS))
    _run_until(loop, lambda: probe.completed == WARM_UP_CONNECTIONS)
    probe.delays.reset()
    loop.spawn(probe.connect_repeatedly(count, SINGLE_PAUSE_MS))
    _run_until(loop, lambda: probe.completed == WARM_UP_CONNECTIONS + count)
    percentile_us = probe.delays.get_value_at_percentile
    delays = {f"p{p}_ms": percentile_us(p) / 1_000 for p in (50, 99)}
    cpu_before, started, completed_before = cpu_seconds(pid), time.monotonic(), probe.completed
    for _ in range(CONCURRENT_DIALLERS):
        loop.spawn(probe.connect_repeatedly(count // CONCURRENT_DIALLERS))
    _run_until(
        loop, lambda: probe.completed >= completed_before + count // CONCURRENT_DIALLERS * CONCURRENT_DIALLERS
    )
    seconds, completed = time.monotonic() - started, probe.completed - completed_before
    resumed_share = probe.resumed / probe.completed
    return delays | {
        "a_second": completed / seconds,
        "ms_of_server": 1_000 * (cpu_seconds(pid) - cpu_before) / completed,
        "resumed": resumed_share,
    }


def _run_until(loop: EventLoop, condition: Any) -> None:
    if not loop.run_until(condition, 120_000):
        raise RuntimeError("connections did not end in time")


def measure_handshakes(output: Output, work_dir: Path, count: int) -> dict[str, dict[str, float]]:
    """Measures connections without TLS, with full handshakes and with resumed sessions."""
    results = {}
    tls_contexts = standin_tls_contexts(work_dir)
    for name, use_tls, resume in (("plain", False, False), ("full", True, False), ("resumed", True, True)):
        settings_file = work_dir / f"{name}.kdl"
        settings_file.write_text(settings_text(3, use_tls))
        process, port = start_process(["ospreybridge", "serve", str(settings_file), "--port-file"], work_dir)
        try:
            loop = EventLoop()
            probe = ConnectionProbe(loop, port, tls_contexts if use_tls else None, resume)
            result = results[name] = _measure_connections(loop, probe, process.pid, count)
        finally:
            process.kill()
            process.wait()
        output(
            f"{name:>8}: p50 {result['p50_ms']:.2f} ms, p99 {result['p99_ms']:.2f} ms to the first answer; "
            f"{result['a_second']:.0f} a second at {CONCURRENT_DIALLERS} at once, "
            f"{result['ms_of_server']:.2f} ms of the call server each; {result['resumed']:.0%} resumed"
        )
    return results


def measure_tls(output: Output, rate: float, count: int) -> dict[str, Any]:
    """Measures handshakes, calls over plain and TLS links, and set-ups during a handshake storm."""
    limit_gc_pauses()
    with tempfile.TemporaryDirectory() as directory:
        work_dir = Path(directory)
        results: dict[str, Any] = {"handshakes": measure_handshakes(output, work_dir, 400)}
        # Plain, TLS, TLS, plain: a linear drift of the machine affects both alike.
        runs = [measure_calls(26, rate, count, work_dir, secured) for secured in (False, True, True, False)]
        plain, secured = (
            {"ms_a_call": (one["ms_a_call"] + two["ms_a_call"]) / 2, "runs": [one, two]}
            for one, two in ((runs[0], runs[3]), (runs[1], runs[2]))
        )
        ratio = plain["ms_a_call"] / secured["ms_a_call"]
        output(
            f"calls on standing links: plain {plain['ms_a_call']:.3f} ms of the call server a call, TLS "
            f"{secured['ms_a_call']:.3f} ms; calls a second over TLS / plain {ratio:.2f}"
        )

        return (
            results
            | {"calls_plain": plain, "calls_tls": secured, "calls_ratio": ratio}
            | measure_storm(output, work_dir, rate, count)
        )


def measure_storm(output: Output, work_dir: Path, rate: float, count: int) -> dict[str, Any]:
    """Measures set-up delays in one run of calls that alternates between three phases of a few seconds each.

    The phases are: quiet, a handshake storm at another call server, a storm at the measured one. The storm at
    the other one shows how much of the delay is caused by the load of the machine.
    """
    standin_tls_contexts(work_dir)
    settings_file = work_dir / "other.kdl"
    settings_file.write_text(settings_text(3, True))
    other_server, other_port = start_process(
        ["ospreybridge", "serve", str(settings_file), "--port-file"], work_dir
    )
    storm_processes: dict[str, subprocess.Popen[bytes]] = {}

    def start_phases(port: int) -> list[tuple[str, Callable[[bool], None]]]:
        def set_running(name: str, on: bool) -> None:
            storm_processes[name].send_signal(signal.SIGCONT if on else signal.SIGSTOP)

        for name, storm_port in (("here", port), ("elsewhere", other_port)):
            command = [sys.executable, "-m", MODULE_NAME, str(storm_port), str(work_dir), str(STORM_PEERS)]
            storm_processes[name] = subprocess.Popen(command, stdout=subprocess.PIPE)
            stdout = storm_processes[name].stdout
            assert stdout is not None
            stdout.readline()  # the storm has started
            set_running(name, False)
        return [
            ("quiet", lambda on: None),
            ("elsewhere", lambda on: set_running("elsewhere", on)),
            ("here", lambda on: set_running("here", on)),
        ]

    try:
        phases = measure_calls(26, rate, count * STORM_CALLS_FACTOR, work_dir, True, start_phases)["phases"]
        for name, process in storm_processes.items():
            for signal_number in (signal.SIGCONT, signal.SIGTERM):
                process.send_signal(signal_number)
            phases[name]["handshakes"] = int(process.communicate(timeout=20)[0])
    finally:
        for process in (other_server, *storm_processes.values()):
            process.kill()
            process.wait()
    ratios = {name: phases["here"]["p99_ms"] / phases[name]["p99_ms"] for name in ("quiet", "elsewhere")}
    p99 = {name: f"{phase['p99_ms']:.2f} ms" for name, phase in phases.items()}
    output(
        f"set-ups at {rate:.0f} calls/s, p99: quiet {p99['quiet']}, while {STORM_PEERS} peers shake hands "
        f"here {p99['here']} ({phases['here']['handshakes']} done), "
        f"with another call server {p99['elsewhere']}"
    )
    output(f"ratio to quiet {ratios['quiet']:.2f}, to the same storm elsewhere {ratios['elsewhere']:.2f}")
    return {"storm": phases, "storm_ratios": ratios}


def run_storm(port: int, work_dir: Path, peers: int) -> None:
    """Runs peers that dial with full handshakes and close, until SIGTERM; then prints the handshakes made."""
    os.nice(10)  # these peers stand for other machines: their work must not delay the call server
    loop, tls_contexts, completed = EventLoop(), standin_tls_contexts(work_dir), 0

    def stop() -> None:
        loop.running = False

    loop.on_signals({signal.SIGTERM: stop})

    def run_peer(number: int) -> Task:
        nonlocal completed
        yield "sleep", STORM_PAUSE_MS * number / peers
        while True:
            with contextlib.suppress(OSError, HandshakeError, RuntimeError):
                yield from ConnectionProbe(loop, port, tls_contexts, False).connect_once()
                completed += 1
            yield "sleep", STORM_PAUSE_MS

    for number in range(peers):
        loop.spawn(run_peer(number))
    print("under way", flush=True)
    loop.run()
    print(completed, flush=True)


if __name__ == "__main__":
    run_storm(int(sys.argv[1]), Path(sys.argv[2]), int(sys.argv[3]))
