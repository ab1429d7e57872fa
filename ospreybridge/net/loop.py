"""One epoll loop. A task is a generator; it blocks only by yielding one of the four traps below.

Within a turn: readable and writable sockets, then timers, then one flush of every stream written to. The
time of a turn is read once and handed to everything in it.
"""

from __future__ import annotations

import select
import signal
import socket
import time
from collections.abc import Callable, Generator
from typing import Any

from ospreybridge.core.timers import TimerQueue
from ospreybridge.net.worker import Work, Worker

READ, WRITE, SLEEP, WORK = "read", "write", "sleep", "work"
# (READ or WRITE, file descriptor), (SLEEP, milliseconds) or (WORK, what runs on the thread and never raises)
WaitRequest = tuple[str, float | Work]
Task = Generator[WaitRequest, None, None]
LONGEST_WAIT = 1_000.0  # ms of one epoll wait, so that a stop from another thread of control is seen


class TimedOut(Exception):
    """Thrown into a task by `interrupt`."""


class EventLoop:
    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.timers = TimerQueue()
        self.epoll = select.epoll()
        self.readers: dict[int, Task] = {}
        self.writers: dict[int, Task | Callable[[], None]] = {}
        self.masks: dict[int, int] = {}
        self.flushing: list[Any] = []
        self.worker: Worker | None = None
        self.running = True
        self.now = clock() * 1_000.0  # ms; never goes back within a run
        self.on_task_error: Callable[[str, BaseException], None] | None = None

    # -- tasks

    def spawn(self, task: Task) -> Task:
        self._step(task)
        return task

    def _step(self, task: Task, error: type[Exception] | None = None) -> None:
        # A class, not an instance: one held here would hold this frame by its traceback, and so the task's
        # frames and what they had read, until a full collection.
        try:
            trap, value = next(task) if error is None else task.throw(error)
        except StopIteration:
            return
        except TimedOut:
            return
        except Exception as caught:
            # One task's defect must not end the others' calls; it is told, loudly.
            if self.on_task_error is None:
                raise
            self.on_task_error(getattr(task, "__name__", "task"), caught)
            return
        if callable(value):
            if self.worker is None:
                self.worker = Worker()
                self.spawn(self._working(self.worker))
            self.worker.give(value, lambda: self._step(task))
        elif trap == READ:
            self.readers[int(value)] = task
            self._mask(int(value))
        elif trap == WRITE:
            self.writers[int(value)] = task
            self._mask(int(value))
        else:
            self.timers.schedule(self.now + value, lambda now: self._step(task))

    def _working(self, worker: Worker) -> Task:
        while True:
            yield READ, worker.descriptor
            for then in worker.done():
                then()

    def interrupt(self, fd: int) -> None:
        """Throws TimedOut into the task that waits for this socket."""
        task = self.readers.pop(fd, None) or self.writers.get(fd)
        if task is not None and not callable(task):
            self.writers.pop(fd, None)
            if fd in self.masks:
                self._mask(fd)
            self._step(task, TimedOut)

    # -- sockets

    def _mask(self, fd: int) -> None:
        mask = (select.EPOLLIN if fd in self.readers else 0) | (select.EPOLLOUT if fd in self.writers else 0)
        known = self.masks.get(fd)
        if known is None:
            self.epoll.register(fd, mask)
        elif known != mask:
            self.epoll.modify(fd, mask)
        self.masks[fd] = mask

    def when_writable(self, fd: int, call: Callable[[], None]) -> None:
        self.writers[fd] = call
        self._mask(fd)

    def unregister(self, fd: int) -> None:
        """To be called before a socket is closed."""
        # First of all: the last reference to a waiting task may be the one to its socket too.
        if self.masks.pop(fd, None) is not None:
            self.epoll.unregister(fd)
        self.readers.pop(fd, None)
        self.writers.pop(fd, None)

    # -- turns

    def run_once(self, longest: float = LONGEST_WAIT) -> None:
        due = self.timers.next_due()
        wait = longest if due is None else min(longest, max(0.0, due - self.clock() * 1_000.0))
        ready = self.epoll.poll(wait / 1_000.0)
        self.now = max(self.now, self.clock() * 1_000.0)
        for fd, mask in ready:
            if mask & (select.EPOLLIN | select.EPOLLHUP | select.EPOLLERR):
                reader = self.readers.pop(fd, None)
                if reader is not None:
                    self._step(reader)
                    if fd not in self.readers and fd in self.masks:
                        self._mask(fd)
            if mask & (select.EPOLLOUT | select.EPOLLHUP | select.EPOLLERR):
                writer = self.writers.pop(fd, None)
                if writer is not None:
                    if callable(writer):
                        writer()
                    else:
                        self._step(writer)
                if fd in self.masks:
                    self._mask(fd)
        try:
            self.timers.run_due(self.now)
        except Exception as caught:  # as with a task: the other timers run in the next turn
            if self.on_task_error is None:
                raise
            self.on_task_error("timer", caught)
        while self.flushing:
            streams, self.flushing = self.flushing, []
            for stream in streams:
                stream.flush()

    def run(self) -> None:
        while self.running:
            self.run_once()

    def run_until(self, condition: Callable[[], bool], within: float) -> bool:
        """Turns until the condition holds; False after `within` milliseconds."""
        end = self.clock() * 1_000.0 + within
        while not condition():
            if self.clock() * 1_000.0 >= end:
                return False
            self.run_once(20.0)
        return True

    def on_signals(self, handlers: dict[int, Callable[[], None]]) -> None:
        """Calls a handler in the loop, never in the middle of a turn."""
        near, far = socket.socketpair()
        near.setblocking(False)
        far.setblocking(False)
        signal.set_wakeup_fd(far.fileno(), warn_on_full_buffer=False)
        for number in handlers:
            signal.signal(number, lambda *_: None)

        def read() -> Task:
            while True:
                yield READ, near.fileno()
                for number in near.recv(256):
                    if number in handlers:
                        handlers[number]()
                _ = far  # kept open as long as this task lives

        self.spawn(read())

    def close(self) -> None:
        for fd in list(self.masks):
            self.unregister(fd)
        if self.worker is not None:
            self.worker.close()
        self.epoll.close()
