"""The epoll event loop. A task is a generator; it waits only by yielding one of the five requests below.

One iteration handles readable and writable sockets, then tasks that left their turn to others, then due
timers, then flushes each stream written to.
`now` is set once in an iteration, after the wait, and everything in it uses that time.
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

READ, WRITE, SLEEP, WORK, NEXT_TURN = "read", "write", "sleep", "work", "next turn"
# (READ or WRITE, file descriptor), (SLEEP, milliseconds), (WORK, function for the worker thread that must
# not raise) or (NEXT_TURN, 0): go on in the next iteration, after the sockets that are ready then
WaitRequest = tuple[str, float | Work]
Task = Generator[WaitRequest, None, None]
MAX_WAIT_MS = 1_000.0  # bounds the time until a change of `running` from outside the loop is noticed


class TimedOut(Exception):
    """Raised in a waiting task by `interrupt`."""


class EventLoop:
    """Runs tasks, timers and stream flushes in one thread."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """`clock`: returns seconds."""
        self.clock = clock
        self.timers = TimerQueue()
        self.epoll = select.epoll()
        self.readers: dict[int, Task] = {}
        self.writers: dict[int, Task | Callable[[], None]] = {}
        self.registered_masks: dict[int, int] = {}
        self.next_turn: list[Task] = []
        self.pending_flushes: list[Any] = []
        self.worker: Worker | None = None
        self.running = True
        self.now = clock() * 1_000.0  # ms; never goes back
        self.on_task_error: Callable[[str, BaseException], None] | None = None

    # -- tasks

    def spawn(self, task: Task) -> Task:
        """Starts a task; it runs at once until its first wait."""
        self._resume(task)
        return task

    def _resume(self, task: Task, error: type[Exception] | None = None) -> None:
        # `error` is a class: an exception instance held here would reference this frame by its traceback and
        # so keep the task's frames, with the data they have read, alive until a full garbage collection.
        try:
            kind, value = next(task) if error is None else task.throw(error)
        except StopIteration:
            return
        except TimedOut:
            return
        except Exception as caught:
            self.report_error(getattr(task, "__name__", "task"), caught)
            return
        if callable(value):
            if self.worker is None:
                self.worker = Worker()
                self.spawn(self._deliver_completions(self.worker))
            self.worker.submit(value, lambda: self._resume(task))
        elif kind == READ:
            self.readers[int(value)] = task
            self._update_registration(int(value))
        elif kind == WRITE:
            self.writers[int(value)] = task
            self._update_registration(int(value))
        elif kind == NEXT_TURN:
            self.next_turn.append(task)
        else:
            self.timers.schedule(self.now + value, lambda now: self._resume(task))

    def report_error(self, where: str, error: Exception) -> None:
        """Reports a defect, which must not end the calls of others; raises it if nobody takes reports."""
        if self.on_task_error is None:
            raise error
        self.on_task_error(where, error)

    def _deliver_completions(self, worker: Worker) -> Task:
        """Resumes the tasks whose work on the thread is done."""
        while True:
            yield READ, worker.descriptor
            for on_done in worker.take_completed():
                on_done()

    def interrupt(self, fd: int) -> None:
        """Raises TimedOut in the task that waits for this socket, if there is one."""
        task = self.readers.pop(fd, None) or self.writers.get(fd)
        if task is not None and not callable(task):
            self.writers.pop(fd, None)
            if fd in self.registered_masks:
                self._update_registration(fd)
            self._resume(task, TimedOut)

    # -- sockets

    def _update_registration(self, fd: int) -> None:
        mask = (select.EPOLLIN if fd in self.readers else 0) | (select.EPOLLOUT if fd in self.writers else 0)
        registered = self.registered_masks.get(fd)
        if registered is None:
            self.epoll.register(fd, mask)
        elif registered != mask:
            self.epoll.modify(fd, mask)
        self.registered_masks[fd] = mask

    def when_writable(self, fd: int, callback: Callable[[], None]) -> None:
        """Calls back once, when the socket is writable."""
        self.writers[fd] = callback
        self._update_registration(fd)

    def unregister(self, fd: int) -> None:
        """Drops the socket and the tasks that wait for it; to be called before it is closed."""
        # Leaves epoll first: dropping the last reference to a waiting task may also close its socket.
        if self.registered_masks.pop(fd, None) is not None:
            self.epoll.unregister(fd)
        self.readers.pop(fd, None)
        self.writers.pop(fd, None)

    # -- iterations

    def run_once(self, max_wait_ms: float = MAX_WAIT_MS) -> None:
        """Runs one iteration; waits up to `max_wait_ms` for a socket or timer."""
        due = self.timers.next_due()
        wait = max_wait_ms if due is None else min(max_wait_ms, max(0.0, due - self.clock() * 1_000.0))
        if self.next_turn:
            wait = 0.0
        ready = self.epoll.poll(wait / 1_000.0)
        self.now = max(self.now, self.clock() * 1_000.0)
        continuing, self.next_turn = self.next_turn, []
        for fd, mask in ready:
            if mask & (select.EPOLLIN | select.EPOLLHUP | select.EPOLLERR):
                reader = self.readers.pop(fd, None)
                if reader is not None:
                    self._resume(reader)
                    if fd not in self.readers and fd in self.registered_masks:
                        self._update_registration(fd)
            if mask & (select.EPOLLOUT | select.EPOLLHUP | select.EPOLLERR):
                writer = self.writers.pop(fd, None)
                if writer is not None:
                    if callable(writer):
                        writer()
                    else:
                        self._resume(writer)
                if fd in self.registered_masks:
                    self._update_registration(fd)
        for task in continuing:
            self._resume(task)
        try:
            self.timers.run_due(self.now)
        except Exception as caught:  # the remaining timers run in the next iteration
            self.report_error("timer", caught)
        while self.pending_flushes:
            streams, self.pending_flushes = self.pending_flushes, []
            for stream in streams:
                stream.flush()

    def run(self) -> None:
        """Runs until `running` is false."""
        while self.running:
            self.run_once()

    def run_until(self, condition: Callable[[], bool], timeout_ms: float) -> bool:
        """Runs until the condition holds; returns False if it does not within `timeout_ms`."""
        end = self.clock() * 1_000.0 + timeout_ms
        while not condition():
            if self.clock() * 1_000.0 >= end:
                return False
            self.run_once(20.0)
        return True

    def on_signals(self, handlers: dict[int, Callable[[], None]]) -> None:
        """Installs signal handlers; they run as a task in the loop and never interrupt other code."""
        receiver, sender = socket.socketpair()
        receiver.setblocking(False)
        sender.setblocking(False)
        signal.set_wakeup_fd(sender.fileno(), warn_on_full_buffer=False)
        for number in handlers:
            signal.signal(number, lambda *_: None)

        def handle(number: int) -> None:
            try:
                handlers[number]()
            except Exception as caught:
                self.report_error(f"signal {signal.Signals(number).name}", caught)

        def read() -> Task:
            while True:
                yield READ, receiver.fileno()
                for number in receiver.recv(256):
                    if number in handlers:
                        handle(number)
                _ = sender  # this reference keeps the socket open while the task runs

        self.spawn(read())

    def close(self) -> None:
        """Drops all sockets, stops the worker thread and closes the epoll object."""
        for fd in list(self.registered_masks):
            self.unregister(fd)
        self.next_turn = []
        if self.worker is not None:
            self.worker.close()
        self.epoll.close()
