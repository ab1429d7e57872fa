"""The process of one call server on the users' platform: event loop, sockets, signals and logs."""

from __future__ import annotations

import gc
import signal
import time
from collections.abc import Callable
from pathlib import Path

from ospreybridge.access.figures import office_figures
from ospreybridge.fronts.access import AccessFront
from ospreybridge.net.loop import EventLoop, Task
from ospreybridge.settings.errors import SettingsError
from ospreybridge.settings.platform import PlatformConfig, load

Log = Callable[..., None]
FIGURES_INTERVAL_MS = 5_000.0  # between the `figures` log lines
# Allocations before a young collection, young ones before a middle one, middle ones before a full one.
GC_THRESHOLDS = (50_000, 20, 1_000)


class PlatformDaemon:
    """Runs one call server on the platform until a signal stops it."""

    def __init__(self, config: PlatformConfig, log: Log, log_calls: bool = False) -> None:
        self.config, self.log = config, log
        self.loop = EventLoop()
        self.loop.on_task_error = self._report_error
        unix_offset_ms = time.time() * 1_000.0 - self.loop.now
        self.front = AccessFront(self.loop, config, unix_offset_ms, log, log if log_calls else None)
        self.server = self.front.server
        self.loop.spawn(self._log_figures())

    def run(self) -> int:
        """Serves until the shutdown after SIGTERM or SIGINT is over; returns the exit code."""
        self.loop.on_signals(
            {signal.SIGTERM: self.stop, signal.SIGINT: self.stop, signal.SIGHUP: self.reload}
        )
        self.log("serving", listen="{}:{}".format(*self.config.listen), offices=len(self.server.pools))
        # Excludes long-lived objects from collections, as `Daemon.run` does.
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        self.loop.run()
        self.log("stopped", finals=dict(self.server.finals), counts=dict(self.server.counts))
        return 0

    def _report_error(self, task: str, error: BaseException) -> None:
        """Logs and counts a defect in a task, a timer or a signal's handler."""
        self.server.counts["tasks failed"] += 1
        self.log("task failed", task=task, error=repr(error), exc_info=error)

    def _log_figures(self) -> Task:
        """Logs the server's counters and each office's state regularly."""
        while True:
            yield "sleep", FIGURES_INTERVAL_MS
            server = self.server
            self.log(
                "figures",
                pending=len(server.pending),
                standing=len(server.established),
                clients=len(server.clients),
                links=len(server.pool_by_connection),
                late=round(self.loop.timers.lateness.peak_ms, 1),
                finals=dict(server.finals),
                counts=dict(server.counts),
                offices=office_figures(
                    self.loop.now, server.pools, server.controller.exchanges, server.established
                ),
            )

    def stop(self) -> None:
        """Begins the shutdown."""
        self.server.stop(self.loop.now)
        self.loop.spawn(self._wait_until_stopped())

    def _wait_until_stopped(self) -> Task:
        while not self.server.is_stopped(self.loop.now):
            yield "sleep", 20.0
        self.loop.running = False

    def reload(self) -> None:
        """Reloads the configuration; an invalid one is logged with its errors and the old one kept."""
        try:
            new = load(Path(self.config.path))
        except SettingsError as error:
            self.log("reload refused", faults=error.errors)
            return
        self.log("reloaded", journal="{}:{}".format(*new.journal))
        self.front.reload(new)
