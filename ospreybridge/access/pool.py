"""The connections to one office: which is used, when one is opened, when the office counts as unreachable.

Ways weighed (docs/access.md): one set-up a connection out of a pool of idle ones, shared only where no more
may be opened. A spoilt answer spoils what is open on its connection, so a pool loses one call where a shared
connection loses all. Time comes with every call, the jitter from a seed; nothing here does I/O.
"""

from __future__ import annotations

from collections import deque
from random import Random

from ospreybridge.access.calls import Attempt

SPARE_CONNECTIONS = (
    2  # idle connections held to an office that takes calls: one for its news, one for the next set-up
)
IDLE_TIMEOUT_MS = 8_000.0  # ms after which an idle connection beyond the spare ones is given back
RETIRED_LINGER_MS = 1_000.0  # ms for which a connection that takes no more set-ups is still read
FIRST_RETRY_DELAY_MS = 60.0  # ms between attempts to open one, doubled after each failure
MAX_RETRY_DELAY_MS = 1_000.0  # ms: an office that is back must be heard within a second
LIVENESS_DIAL_AFTER_MS = (
    1_000.0  # ms without a word after which a new connection is opened, to see whether it lives
)
REPORTER_TIMEOUT_MS = 300.0  # ms without news on the connection whose news count, while others bring some
REFUSAL_CONFIRMED_AFTER_MS = (
    1_500.0  # ms of silence on open connections after which a refused connect is believed
)
LOST_AFTER_MS = 4_500.0  # ms of silence and failed connects after which its standing calls count as over


class OfficeConnection:
    __slots__ = ("attempts", "id", "idle_since", "retired")

    def __init__(self, conn: int, now: float) -> None:
        self.id, self.idle_since = conn, now
        self.retired = False  # takes no more set-ups: what is still on its way may arrive, then it is closed
        self.attempts: dict[str, Attempt] = {}  # set-ups written to it that wait for their answer


class ConnectionPool:
    def __init__(self, office: int, now: float, random: Random) -> None:
        self.office_id, self.random = office, random
        self.connections: dict[int, OfficeConnection] = {}
        self.dialling: set[int] = set()
        self.waiting: deque[Attempt] = deque()  # set-ups that wait for a connection
        self.last_received = now  # the last sign of life
        self.failures = 0
        self.next_dial_at = now
        self.reporter_id, self.reported_at = 0, now  # the connection whose news of the group count
        self.last_load: str = ""  # the group's state as last told
        self.dial_refused = False  # the last connect was refused: nothing runs there

    def size(self) -> int:
        return len(self.connections) + len(self.dialling)

    def idle_connections(self) -> list[OfficeConnection]:
        return [link for link in self.connections.values() if not link.attempts and not link.retired]

    def any_connection(self) -> OfficeConnection | None:
        """One that may carry what belongs to no set-up; one taken out of use only where there is no other."""
        return min(self.connections.values(), key=lambda link: link.retired, default=None)

    def choose_connection(self, may_open: bool) -> tuple[OfficeConnection | None, bool]:
        """The connection for the set-up that waits longest, or whether to open one; else it waits on."""
        idle = self.idle_connections()
        if idle:  # the one last used: the others can go back
            return max(idle, key=lambda link: link.idle_since), False
        if may_open:
            return None, len(self.dialling) < len(self.waiting)
        shared = [link for link in self.connections.values() if not link.retired]
        if not self.dialling and shared:
            return min(shared, key=lambda link: len(link.attempts)), False
        return None, False

    def retire(self, conn: int, now: float) -> None:
        """A set-up on it was not answered in time, or its machine was away: an open connection may be dead.

        Guards against connections that a machine left open when it vanished: they never break, and each
        set-up written to one is lost. Harm: a slow office has a connection opened anew for each time-out.
        """
        link = self.connections.get(conn)
        if link is not None and not link.retired:
            link.retired, link.idle_since = True, now

    def needs_connection(self, now: float, may_open: bool, ready: bool, standing: bool) -> bool:
        """Whether to open a connection now that no set-up asked for.

        Spare ones where new calls may go, and one to see whether a quiet office lives: only a new connection
        tells a machine that vanished from one that has nothing to say, and it is no work for its processor.
        """
        if now < self.next_dial_at or self.dialling or not (ready or standing):
            return False
        spare = (
            len(self.idle_connections()) < SPARE_CONNECTIONS and may_open and (ready or not self.connections)
        )
        return spare or now - self.last_received >= LIVENESS_DIAL_AFTER_MS

    def update_load(self, now: float, link: OfficeConnection, load: str) -> bool:
        """Whether a group's state is new. An office tells it on all its connections: one of them counts.

        Another counts instead where that one is gone, or tells nothing while the other does.
        """
        if (
            link.id != self.reporter_id
            and self.reporter_id in self.connections
            and now - self.reported_at < REPORTER_TIMEOUT_MS
        ):
            return False
        self.reporter_id, self.reported_at = link.id, now
        if load == self.last_load:
            return False
        self.last_load = load
        return True

    def dial_started(self, now: float) -> None:
        self.next_dial_at = now + FIRST_RETRY_DELAY_MS

    def dial_succeeded(self, now: float, conn: int) -> OfficeConnection:
        self.dialling.discard(conn)
        for older in self.connections if self.failures else ():
            self.retire(older, now)
        self.last_received, self.failures, self.dial_refused = now, 0, False
        link = self.connections[conn] = OfficeConnection(conn, now)
        return link

    def dial_failed(self, now: float, conn: int, refused: bool) -> None:
        """A connection could not be had."""
        self.dialling.discard(conn)
        self.dial_refused = refused
        pause = min(MAX_RETRY_DELAY_MS, FIRST_RETRY_DELAY_MS * 2.0**self.failures)
        self.failures = min(self.failures + 1, 16)
        self.next_dial_at = now + pause * self.random.uniform(0.5, 1.0)

    def is_lost(self, now: float) -> bool:
        """Whether what stood there is over: nothing runs there, or nothing was heard for long.

        A refused connect proves that nothing runs. Connections that a machine left open when it went stay
        open and silent, so they prove nothing; only a word that came a moment ago speaks against it.
        """
        if self.dial_refused:
            return not self.connections or now - self.last_received >= REFUSAL_CONFIRMED_AFTER_MS
        return self.failures > 1 and now - self.last_received >= LOST_AFTER_MS

    def surplus_connections(self, now: float) -> list[int]:
        """Idle connections to give back."""
        idle = sorted(self.idle_connections(), key=lambda link: -link.idle_since)
        old = [link.id for link in idle[SPARE_CONNECTIONS:] if now - link.idle_since >= IDLE_TIMEOUT_MS]
        retired = [link for link in self.connections.values() if link.retired and not link.attempts]
        return old + [link.id for link in retired if now - link.idle_since >= RETIRED_LINGER_MS]
