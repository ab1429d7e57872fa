"""Pool of connections to one office: which one is used, when one is opened, when the office counts as lost.

Each connection carries one set-up at a time and is shared only if no more may be opened: an invalid answer
ends everything open on its connection, which costs a pool one call but a shared connection all of them. The
alternatives are compared in docs/access.md.

No I/O: the time (milliseconds of the event loop's clock) is passed in as `now`, and the jitter is seeded.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from random import Random

from ospreybridge.access.budget import DialReason
from ospreybridge.access.calls import Attempt
from ospreybridge.access.recovery import ReleaseRecovery

IDLE_TIMEOUT_MS = 8_000.0  # idle connections beyond the spare ones are closed then
RETIRED_LINGER_MS = 500.0  # a retired connection stays open for this time; releases may be lost on it
CLOSE_TIMEOUT_MS = 1_000.0  # for the office to close a connection on which nothing more is sent
CLOSE_PROPAGATION_MS = 100.0  # within which an office learns that a connection was closed
FIRST_RETRY_DELAY_MS = 60.0  # between dials; doubled after each failure
MAX_RETRY_DELAY_MS = 1_000.0  # an office that is back must be noticed within a second
LIVENESS_DIAL_AFTER_MS = 1_000.0  # silence after which a new connection tests whether the office is alive
UNRESPONSIVE_AFTER_MS = 500.0  # silence of one connection on which a message is due
REPORTER_TIMEOUT_MS = 300.0  # without a load update from the reporting connection, another one takes over
REFUSAL_CONFIRMED_AFTER_MS = 1_500.0  # silence on open connections after which a refused dial means lost
LOST_AFTER_MS = 4_500.0  # silence and failed dials after which established calls count as ended


class OfficeConnection:
    """An open connection to an office."""

    __slots__ = ("attempts", "finished", "id", "idle_since", "opened_at", "retired", "waiting_since")

    def __init__(self, connection_id: int, now: float) -> None:
        self.id, self.opened_at, self.idle_since = connection_id, now, now
        self.retired = False  # takes no new set-ups; closed once what is still in transit can have arrived
        self.finished = False  # nothing more is sent on it; it is read until the office closes it
        self.attempts: dict[str, Attempt] = {}  # sent on it and unanswered, by uid
        self.waiting_since: float | None = None  # nothing received since then although a message is due

    def message_due(self, now: float) -> None:
        """Something was sent on the connection that the office reacts to."""
        if self.waiting_since is None:
            self.waiting_since = now

    def message_handled(self, now: float) -> None:
        """Any message received shows that the connection is of use."""
        self.waiting_since = now if self.attempts else None

    def closing_time(self) -> float:
        """Milliseconds from when it was taken out of use until it is closed at the latest."""
        return CLOSE_TIMEOUT_MS if self.finished else RETIRED_LINGER_MS

    def is_unresponsive(self, now: float) -> bool:
        """Whether nothing was received for too long although a message is due."""
        return self.waiting_since is not None and now - self.waiting_since >= UNRESPONSIVE_AFTER_MS


class ConnectionPool:
    """The connections to one office and the attempts that wait for one."""

    def __init__(self, office_id: int, now: float, random: Random) -> None:
        self.office_id, self.random = office_id, random
        self.connections: dict[int, OfficeConnection] = {}
        self.dialling: dict[int, float] = {}  # start of the dial by connection number
        self.waiting: deque[Attempt] = deque()  # attempts without a connection yet, oldest first
        self.last_received = now  # any message, or a new connection
        self.failures = 0
        self.next_dial_at = now
        self.last_dial_at = now
        self.reporter_id, self.reported_at = 0, now  # the connection whose load updates are used
        self.last_load: str = ""  # the trunk group's state as last reported
        self.dial_refused = False  # the last dial was refused: no process is listening there
        self.recovery = ReleaseRecovery()
        self.liveness_tests: set[int] = set()  # dials made because the office is silent
        self.liveness_tested = False  # one of them has succeeded since idle connections were last reviewed

    def size(self) -> int:
        """Connections that are open or being opened."""
        return len(self.connections) + len(self.dialling)

    def idle_connections(self) -> list[OfficeConnection]:
        """Connections that can take a set-up at once."""
        return [
            connection
            for connection in self.connections.values()
            if not connection.attempts and not connection.retired
        ]

    def any_connection(self) -> OfficeConnection | None:
        """A connection for messages that belong to no set-up; a retired one only if there is no other."""
        usable = [connection for connection in self.connections.values() if not connection.finished]
        return min(usable, key=lambda connection: connection.retired, default=None)

    def choose_connection(self, may_dial: bool) -> tuple[OfficeConnection | None, bool]:
        """The connection for the oldest waiting attempt, and whether to open one for it.

        With neither, the attempt keeps waiting.
        """
        idle = self.idle_connections()
        if idle:  # the most recently used one, so that the others reach the idle time-out
            return max(idle, key=lambda connection: connection.idle_since), False
        if may_dial:
            return None, len(self.dialling) < len(self.waiting)
        shared = [connection for connection in self.connections.values() if not connection.retired]
        if not self.dialling and shared:
            return min(shared, key=lambda connection: len(connection.attempts)), False
        return None, False

    def retire(self, connection_id: int, now: float) -> None:
        """Takes a connection out of use after an unanswered set-up or when its office was unreachable.

        A machine that vanishes leaves connections open that never break, and each set-up sent on one is lost.
        So are the releases that the office sends on it. The cost: a slow office has new connections opened
        for each time-out.
        """
        connection = self.connections.get(connection_id)
        if connection is not None and not connection.retired:
            connection.retired, connection.idle_since = True, now
            self.recovery.request(now)

    def cancel_sent(self, now: float, connection_id: int) -> None:
        """A set-up was cancelled: its office is due to confirm that, or to report its load."""
        connection = self.connections.get(connection_id)
        if connection is not None:
            connection.waiting_since = now

    def opened_before(self, time: float) -> list[int]:
        """The numbers of the connections in use that were opened before a time."""
        return [
            connection.id
            for connection in self.connections.values()
            if not connection.retired and connection.opened_at < time
        ]

    def check_responses(self, now: float) -> list[int]:
        """The numbers of the unresponsive connections to retire, as no set-up on them will time out.

        Those with an open set-up stay: its answer may come late. Releases may be lost on them meanwhile.
        """
        unresponsive = [
            connection
            for connection in self.connections.values()
            if not connection.retired and connection.is_unresponsive(now)
        ]
        for connection in unresponsive:
            if connection.attempts:
                connection.waiting_since = now
                self.recovery.request(now)
        return [connection.id for connection in unresponsive if not connection.attempts]

    def connection_ended(self, now: float, connection_id: int) -> OfficeConnection | None:
        """Removes a connection, or a dial, that is over; returns the connection if it was open.

        One that was finished and then closed by its office has lost nothing.
        """
        self.dialling.pop(connection_id, None)
        self.liveness_tests.discard(connection_id)
        connection = self.connections.pop(connection_id, None)
        if connection is not None and not connection.finished:
            # A connection opened before the office learns of the end would not bring what is lost until then.
            self.recovery.request(now + CLOSE_PROPAGATION_MS)
        return connection

    def wanted_connection(self, now: float, spare: int, ready: bool, has_calls: bool) -> DialReason | None:
        """Why to open a connection although no attempt is waiting for one; None if there is no reason.

        `spare` idle ones are for offices that may get new calls (`ready`). A silent office gets one as a
        liveness test: only a new connection tells a machine that vanished from one that has nothing to send,
        and it costs the office's processor nothing. With established calls (`has_calls`) one is opened after
        another was lost.
        """
        if now < self.next_dial_at or self.dialling or not (ready or has_calls):
            return None
        if has_calls and self.recovery.is_due(now):
            return DialReason.RECOVERY
        if len(self.idle_connections()) < spare and (ready or not self.connections):
            return DialReason.SPARE
        if now - self.last_received >= LIVENESS_DIAL_AFTER_MS:
            return DialReason.LIVENESS
        return None

    def last_heard_or_tested(self) -> float:
        """When the office was last heard of, or a connection to it last tried."""
        return max(self.last_received, self.last_dial_at)

    def update_load(self, now: float, connection: OfficeConnection, load: str) -> bool:
        """Stores a trunk group's state if it is new; returns whether it is.

        An office reports it on all its connections, with different delays, so only one of them is used.
        Another takes over when that one is gone, or sends nothing while the other does.
        """
        if (
            connection.id != self.reporter_id
            and self.reporter_id in self.connections
            and now - self.reported_at < REPORTER_TIMEOUT_MS
        ):
            return False
        self.reporter_id, self.reported_at = connection.id, now
        if load == self.last_load:
            return False
        self.last_load = load
        return True

    def dial_started(self, now: float, connection_id: int) -> None:
        """Records a dial and delays the next one."""
        self.dialling[connection_id] = self.last_dial_at = now
        self.next_dial_at = now + FIRST_RETRY_DELAY_MS

    def dial_succeeded(self, now: float, connection_id: int) -> OfficeConnection:
        """Adds the new connection; after failed dials the older ones are retired, as they may be dead."""
        started_at = self.dialling.pop(connection_id, now)
        self.liveness_tested = self.liveness_tested or connection_id in self.liveness_tests
        self.liveness_tests.discard(connection_id)
        for older_id in self.connections if self.failures else ():
            self.retire(older_id, now)
        self.recovery.connected(started_at)
        self.last_received, self.failures, self.dial_refused = now, 0, False
        connection = self.connections[connection_id] = OfficeConnection(connection_id, now)
        return connection

    def dial_failed(self, now: float, connection_id: int, refused: bool) -> None:
        """Schedules the next dial with exponential, jittered delay."""
        self.dialling.pop(connection_id, None)
        self.liveness_tests.discard(connection_id)
        self.dial_refused = refused
        delay = min(MAX_RETRY_DELAY_MS, FIRST_RETRY_DELAY_MS * 2.0**self.failures)
        self.failures = min(self.failures + 1, 16)
        self.next_dial_at = now + delay * self.random.uniform(0.5, 1.0)

    def is_lost(self, now: float) -> bool:
        """Whether the calls established at the office are lost: it is not running, or silent for too long.

        A refused dial shows that nothing is listening. Open connections prove nothing, as those of a machine
        that vanished stay open and silent; only a message received recently outweighs the refusal.
        """
        if self.dial_refused:
            return not self.connections or now - self.last_received >= REFUSAL_CONFIRMED_AFTER_MS
        return self.failures > 1 and now - self.last_received >= LOST_AFTER_MS

    def finish_surplus_connections(self, now: float, spare: int) -> list[int]:
        """Takes the connections that were idle for too long out of use.

        The server ends its sending direction of them and reads on, as a release may be on its way: the office
        closes them when it has seen the end. After a liveness test the older ones go at once, or one would
        be left over from each test of a quiet office.
        """
        idle = sorted(self.idle_connections(), key=lambda connection: -connection.idle_since)
        surplus = [
            connection
            for connection in idle[spare:]
            if self.liveness_tested or now - connection.idle_since >= IDLE_TIMEOUT_MS
        ]
        self.liveness_tested = False
        for connection in surplus:
            self.finish_connection(now, connection.id)
        return [connection.id for connection in surplus]

    def finish_connection(self, now: float, connection_id: int) -> None:
        """Takes an idle connection out of use; the server ends its sending direction."""
        connection = self.connections[connection_id]
        connection.retired, connection.finished, connection.idle_since = True, True, now

    def expire_connections(self, now: float) -> list[int]:
        """The numbers of the connections out of use whose time is over, which the server closes."""
        expired = [
            connection
            for connection in self.connections.values()
            if connection.retired
            and not connection.attempts
            and now - connection.idle_since >= connection.closing_time()
        ]
        for connection in expired:
            connection.finished = False  # if it was, its office has not closed it: releases may be lost
        return [connection.id for connection in expired]


def connection_to_give_back(
    pools: Iterable[ConnectionPool], wanting: ConnectionPool
) -> tuple[ConnectionPool, int] | None:
    """The connection that was idle for longest, to be ended for the office that is `wanting` one.

    None if all are in use, or if room is being made already.
    """
    others = [
        (connection, pool)
        for pool in pools
        if pool is not wanting
        for connection in pool.connections.values()
    ]
    if any(connection.finished for connection, _ in others):
        return None
    idle = [
        (connection.idle_since, connection.id, pool)
        for connection, pool in others
        if not connection.attempts and not connection.retired
    ]
    if not idle:
        return None
    _, connection_id, pool = min(idle, key=lambda candidate: candidate[:2])
    return pool, connection_id
