"""A worker thread for work that would block all calls on the loop and that releases the interpreter lock."""

from __future__ import annotations

import contextlib
import os
import threading
from collections import deque
from collections.abc import Callable
from queue import SimpleQueue

Work = Callable[[], None]


class Worker:
    """Runs work in order on one thread; `descriptor` becomes readable when some of it is done."""

    def __init__(self) -> None:
        self.descriptor = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self.pending: SimpleQueue[tuple[Work, Work] | None] = SimpleQueue()
        self.completed: deque[Work] = deque()
        self.thread = threading.Thread(target=self._run, name="handshakes", daemon=True)
        self.thread.start()

    def submit(self, work: Work, on_done: Work) -> None:
        """Runs `work` on the thread; it must not raise. `take_completed` then returns `on_done`."""
        self.pending.put((work, on_done))

    def _run(self) -> None:
        while (item := self.pending.get()) is not None:
            item[0]()
            self.completed.append(item[1])
            os.eventfd_write(self.descriptor, 1)

    def take_completed(self) -> list[Work]:
        """The `on_done` functions of the work completed since the last call, in order."""
        with contextlib.suppress(BlockingIOError):
            os.eventfd_read(self.descriptor)
        return [self.completed.popleft() for _ in range(len(self.completed))]

    def close(self) -> None:
        """Waits for the submitted work and ends the thread."""
        self.pending.put(None)
        self.thread.join()
        os.close(self.descriptor)
