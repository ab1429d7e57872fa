"""One thread beside the loop, for work that would hold every call meanwhile and that lets go of the lock."""

from __future__ import annotations

import contextlib
import os
import threading
from collections import deque
from collections.abc import Callable
from queue import SimpleQueue

Work = Callable[[], None]


class Worker:
    """`descriptor` becomes readable when work is done; `done` then tells which, in order."""

    def __init__(self) -> None:
        self.descriptor = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self.waiting: SimpleQueue[tuple[Work, Work] | None] = SimpleQueue()
        self.finished: deque[Work] = deque()
        self.thread = threading.Thread(target=self._run, name="handshakes", daemon=True)
        self.thread.start()

    def give(self, work: Work, then: Work) -> None:
        """`work` runs on the thread and must not raise; `then` is one of what `done` gives back."""
        self.waiting.put((work, then))

    def _run(self) -> None:
        while (item := self.waiting.get()) is not None:
            item[0]()
            self.finished.append(item[1])
            os.eventfd_write(self.descriptor, 1)

    def done(self) -> list[Work]:
        with contextlib.suppress(BlockingIOError):
            os.eventfd_read(self.descriptor)
        return [self.finished.popleft() for _ in range(len(self.finished))]

    def close(self) -> None:
        self.waiting.put(None)
        self.thread.join()
        os.close(self.descriptor)
