"""The process of one call server: event loop, call server, sockets, signals and logs."""

from __future__ import annotations

import gc
import signal
from collections.abc import Callable
from dataclasses import fields
from pathlib import Path

from ospreybridge.core.callserver import CallServer
from ospreybridge.fronts.m3ua import M3uaFront, Recorder
from ospreybridge.net.loop import EventLoop, Task
from ospreybridge.settings.errors import SettingsError
from ospreybridge.settings.server import ServerSettings, load

Log = Callable[..., None]
# Fields of ServerSettings that a reload may change; the others identify the server and need a restart.
RELOADABLE = (
    "class_rules",
    "tenant_prefixes",
    "prefixes",
    "timers",
    "stop_within",
    "out_buffer",
    "answer_margin",
)
# Allocations before a young collection, young ones before a middle one, middle ones before a full one.
GC_THRESHOLDS = (50_000, 20, 1_000)
PENDING_SHARE = 0.6  # of the time to stop: until then pending calls may still be answered


class Daemon:
    """Runs one call server until a signal stops it."""

    def __init__(
        self, settings: ServerSettings, log: Log, log_calls: bool = False, recorder: Recorder | None = None
    ) -> None:
        self.settings, self.log = settings, log
        self.loop = EventLoop()
        self.loop.on_task_error = lambda name, error: log(
            "task failed", task=name, error=repr(error), exc_info=error
        )
        self.call_server = CallServer(
            settings, self.loop.timers, log if log_calls else self._log_without_calls
        )
        self.front = M3uaFront(self.loop, settings, self.call_server, log, recorder)
        self.exit_code = 0

    def _log_without_calls(self, event: str, **values: object) -> None:
        """Logs an event unless it concerns a single call."""
        if "ref" not in values:
            self.log(event, **values)

    def run(self) -> int:
        """Serves until SIGTERM or SIGINT; returns the exit code."""
        self.loop.on_signals(
            {signal.SIGTERM: self.stop, signal.SIGINT: self.stop, signal.SIGHUP: self.reload}
        )
        listeners = {"plain": (self.settings.listen, self.front.port)}
        if self.settings.tls is not None:
            listeners["tls"] = (self.settings.tls.listen, self.front.tls_port)
        addresses = {name: f"{address[0]}:{port}" for name, (address, port) in listeners.items() if address}
        self.log("serving", exchange=self.settings.name, listen=addresses or "nowhere")
        # Long-lived objects are excluded from collections: calls create no reference cycles, and a full
        # collection over tens of thousands of established calls would delay every set-up for its duration.
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        self.loop.run()
        counts = dict(self.call_server.counts + self.front.counts)
        self.log("stopped", finals=dict(self.call_server.finals), counts=counts, code=self.exit_code)
        return self.exit_code

    def stop(self) -> None:
        """Begins the shutdown: no new calls, then _drain."""
        if not self.call_server.stopping:
            self.front.stop_listening()
            self.call_server.stop(self.loop.now)
            self.loop.spawn(self._drain())

    def _drain(self) -> Task:
        """Waits for pending calls, releases established ones, then ends the associations and the loop."""
        started_at, stop_within = self.loop.now, self.settings.stop_within
        while self.call_server.pending_count() and self.loop.now - started_at < PENDING_SHARE * stop_within:
            yield "sleep", 10.0
        self.call_server.release_all(self.loop.now)
        # The last 5 % of the time is left for ending the associations.
        while not self.call_server.all_released() and self.loop.now - started_at < 0.95 * stop_within:
            yield "sleep", 10.0
        if not self.call_server.all_released():
            self.log("circuits not released by the far end in time")
        self.front.shut_down()
        self.loop.running = False

    def reload(self) -> None:
        """Reloads credentials and the settings file; invalid settings are logged and the old ones kept."""
        if self.front.credentials is not None:
            self.front.check_credentials(self.front.credentials, force=True)
        try:
            new = load(Path(self.settings.path))
        except SettingsError as error:
            self.log("reload refused", faults=error.errors)
            return
        changed = [
            f.name for f in fields(ServerSettings) if getattr(new, f.name) != getattr(self.settings, f.name)
        ]
        fixed = [name for name in changed if name not in RELOADABLE]
        if fixed:
            self.log("reload refused", faults=[f"{name} can't change without a restart" for name in fixed])
            return
        self.settings = self.call_server.settings = self.front.settings = new
        self.call_server.timer_settings = new.timers
        self.log("reloaded", changed=changed)
