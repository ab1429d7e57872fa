"""One call server on the users' platform as a process: configuration, loop, front, signals, logs."""

from __future__ import annotations

import gc
import signal
import time
from collections.abc import Callable
from pathlib import Path

from ospreybridge.fronts.access import Front
from ospreybridge.net.loop import EventLoop, Task
from ospreybridge.settings.errors import SettingsError
from ospreybridge.settings.platform import PlatformConfig, load

Log = Callable[..., None]
FIGURES_INTERVAL_MS = 5_000.0  # ms between the lines that tell what the server believes
GC_THRESHOLDS = (50_000, 20, 1_000)  # allocations, young and middle collections before the next kind


class PlatformDaemon:
    def __init__(self, config: PlatformConfig, log: Log, log_calls: bool = False) -> None:
        self.config, self.log = config, log
        self.loop = EventLoop()
        self.loop.on_task_error = lambda name, error: log(
            "task failed", task=name, error=repr(error), exc_info=error
        )
        unix = time.time() * 1_000.0 - self.loop.now
        self.front = Front(self.loop, config, unix, log, log if log_calls else None)
        self.server = self.front.server
        self.loop.spawn(self._log_figures())

    def run(self) -> int:
        """Serves until it has stopped after SIGTERM or SIGINT; the exit code."""
        self.loop.on_signals(
            {signal.SIGTERM: self.stop, signal.SIGINT: self.stop, signal.SIGHUP: self.reload}
        )
        self.log("serving", listen="{}:{}".format(*self.config.listen), offices=len(self.server.pools))
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        self.loop.run()
        self.log("stopped", finals=dict(self.server.finals), counts=dict(self.server.counts))
        return 0

    def _log_figures(self) -> Task:
        """What the server believes, for a person to hold against what passed."""
        while True:
            yield "sleep", FIGURES_INTERVAL_MS
            core = self.server
            self.log(
                "figures",
                pending=len(core.pending),
                standing=len(core.established),
                clients=len(core.clients),
                links=len(core.pool_by_connection),
                late=round(self.loop.timers.lateness.peak_ms, 1),
                finals=dict(core.finals),
                counts=dict(core.counts),
                offices=core.office_figures(self.loop.now),
            )

    def stop(self) -> None:
        self.server.stop(self.loop.now)
        self.loop.spawn(self._wait_until_stopped())

    def _wait_until_stopped(self) -> Task:
        while not self.server.is_stopped(self.loop.now):
            yield "sleep", 20.0
        self.loop.running = False

    def reload(self) -> None:
        """Reads the configuration anew; a bad one is refused by its faults and the old one stays."""
        try:
            new = load(Path(self.config.path))
        except SettingsError as error:
            self.log("reload refused", faults=error.errors)
            return
        self.log("reloaded", journal="{}:{}".format(*new.journal))
        self.front.reload(new)
