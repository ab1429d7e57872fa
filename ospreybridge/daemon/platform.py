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
from ospreybridge.settings.platform import Platform, load

Log = Callable[..., None]
FIGURES = 5_000.0  # ms between the lines that tell what the server believes
COLLECT = (50_000, 20, 1_000)  # allocations, young and middle collections before the next kind


class PlatformDaemon:
    def __init__(self, platform: Platform, log: Log, calls: bool = False) -> None:
        self.p, self.log = platform, log
        self.loop = EventLoop()
        self.loop.on_task_error = lambda name, error: log(
            "task failed", task=name, error=repr(error), exc_info=error
        )
        unix = time.time() * 1_000.0 - self.loop.now
        self.front = Front(self.loop, platform, unix, log, log if calls else None)
        self.core = self.front.core
        self.loop.spawn(self._telling())

    def run(self) -> int:
        """Serves until it has stopped after SIGTERM or SIGINT; the exit code."""
        self.loop.on_signals(
            {signal.SIGTERM: self.stop, signal.SIGINT: self.stop, signal.SIGHUP: self.reload}
        )
        self.log("serving", listen="{}:{}".format(*self.p.listen), offices=len(self.core.pools))
        gc.collect()
        gc.freeze()
        gc.set_threshold(*COLLECT)
        self.loop.run()
        self.log("stopped", finals=dict(self.core.finals), counts=dict(self.core.counts))
        return 0

    def _telling(self) -> Task:
        """What the server believes, for a person to hold against what passed."""
        while True:
            yield "sleep", FIGURES
            core = self.core
            self.log(
                "figures",
                pending=len(core.pending),
                standing=len(core.standing),
                clients=len(core.clients),
                links=len(core.linked),
                late=round(self.loop.timers.lateness.peak_ms, 1),
                finals=dict(core.finals),
                counts=dict(core.counts),
                offices=core.beliefs(self.loop.now),
            )

    def stop(self) -> None:
        self.core.stop(self.loop.now)
        self.loop.spawn(self._stopping())

    def _stopping(self) -> Task:
        while not self.core.stopped(self.loop.now):
            yield "sleep", 20.0
        self.loop.running = False

    def reload(self) -> None:
        """Reads the configuration anew; a bad one is refused by its faults and the old one stays."""
        try:
            new = load(Path(self.p.path))
        except SettingsError as error:
            self.log("reload refused", faults=error.errors)
            return
        self.log("reloaded", journal="{}:{}".format(*new.journal))
        self.front.reload(new)
