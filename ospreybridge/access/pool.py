"""The connections to one office: which is used, when one is opened, when the office counts as unreachable.

Ways weighed (docs/access.md): one set-up a connection out of a pool of idle ones, shared only where no more
may be opened. A spoilt answer spoils what is open on its connection, so a pool loses one call where a shared
connection loses all. Time comes with every call, the jitter from a seed; nothing here does I/O.
"""

from __future__ import annotations

from collections import deque
from random import Random

from ospreybridge.access.calls import Attempt

SPARE = 2  # idle connections held to an office that takes calls: one for its news, one for the next set-up
IDLE = 8_000.0  # ms after which an idle connection beyond the spare ones is given back
RETIRED = 1_000.0  # ms for which a connection that takes no more set-ups is still read
FIRST_PAUSE = 60.0  # ms between attempts to open one, doubled after each failure
LONGEST_PAUSE = 1_000.0  # ms: an office that is back must be heard within a second
QUIET = 1_000.0  # ms without a word after which a new connection is opened, to see whether it lives
TELLER_QUIET = 300.0  # ms without news on the connection whose news count, while others bring some
REFUSED_AFTER = 1_500.0  # ms of silence on open connections after which a refused connect is believed
LOST_AFTER = 4_500.0  # ms of silence and failed connects after which its standing calls count as over


class Link:
    __slots__ = ("attempts", "conn", "idle_since", "retired")

    def __init__(self, conn: int, now: float) -> None:
        self.conn, self.idle_since = conn, now
        self.retired = False  # takes no more set-ups: what is still on its way may arrive, then it is closed
        self.attempts: dict[str, Attempt] = {}  # set-ups written to it that wait for their answer


class Pool:
    def __init__(self, office: int, now: float, random: Random) -> None:
        self.office, self.random = office, random
        self.links: dict[int, Link] = {}
        self.dialling: set[int] = set()
        self.waiting: deque[Attempt] = deque()  # set-ups that wait for a connection
        self.heard = now  # the last sign of life
        self.failures = 0
        self.next_dial = now
        self.teller, self.told_at = 0, now  # the connection whose news of the group count
        self.load: str = ""  # the group's state as last told
        self.refused = False  # the last connect was refused: nothing runs there

    def size(self) -> int:
        return len(self.links) + len(self.dialling)

    def idle(self) -> list[Link]:
        return [link for link in self.links.values() if not link.attempts and not link.retired]

    def any(self) -> Link | None:
        """One that may carry what belongs to no set-up; one taken out of use only where there is no other."""
        return min(self.links.values(), key=lambda link: link.retired, default=None)

    def take(self, may_open: bool) -> tuple[Link | None, bool]:
        """The connection for the set-up that waits longest, or whether to open one; else it waits on."""
        idle = self.idle()
        if idle:  # the one last used: the others can go back
            return max(idle, key=lambda link: link.idle_since), False
        if may_open:
            return None, len(self.dialling) < len(self.waiting)
        shared = [link for link in self.links.values() if not link.retired]
        if not self.dialling and shared:
            return min(shared, key=lambda link: len(link.attempts)), False
        return None, False

    def retire(self, conn: int, now: float) -> None:
        """A set-up on it was not answered in time, or its machine was away: an open connection may be dead.

        Guards against connections that a machine left open when it vanished: they never break, and each
        set-up written to one is lost. Harm: a slow office has a connection opened anew for each time-out.
        """
        link = self.links.get(conn)
        if link is not None and not link.retired:
            link.retired, link.idle_since = True, now

    def wanted(self, now: float, may_open: bool, ready: bool, standing: bool) -> bool:
        """Whether to open a connection now that no set-up asked for.

        Spare ones where new calls may go, and one to see whether a quiet office lives: only a new connection
        tells a machine that vanished from one that has nothing to say, and it is no work for its processor.
        """
        if now < self.next_dial or self.dialling or not (ready or standing):
            return False
        spare = len(self.idle()) < SPARE and may_open and (ready or not self.links)
        return spare or now - self.heard >= QUIET

    def news(self, now: float, link: Link, load: str) -> bool:
        """Whether a group's state is new. An office tells it on all its connections: one of them counts.

        Another counts instead where that one is gone, or tells nothing while the other does.
        """
        if link.conn != self.teller and self.teller in self.links and now - self.told_at < TELLER_QUIET:
            return False
        self.teller, self.told_at = link.conn, now
        if load == self.load:
            return False
        self.load = load
        return True

    def dialled(self, now: float) -> None:
        self.next_dial = now + FIRST_PAUSE

    def opened(self, now: float, conn: int) -> Link:
        self.dialling.discard(conn)
        for older in self.links if self.failures else ():
            self.retire(older, now)
        self.heard, self.failures, self.refused = now, 0, False
        link = self.links[conn] = Link(conn, now)
        return link

    def failed(self, now: float, conn: int, refused: bool) -> None:
        """A connection could not be had."""
        self.dialling.discard(conn)
        self.refused = refused
        pause = min(LONGEST_PAUSE, FIRST_PAUSE * 2.0**self.failures)
        self.failures = min(self.failures + 1, 16)
        self.next_dial = now + pause * self.random.uniform(0.5, 1.0)

    def dead(self, now: float) -> bool:
        """Whether what stood there is over: nothing runs there, or nothing was heard for long.

        A refused connect proves that nothing runs. Connections that a machine left open when it went stay
        open and silent, so they prove nothing; only a word that came a moment ago speaks against it.
        """
        if self.refused:
            return not self.links or now - self.heard >= REFUSED_AFTER
        return self.failures > 1 and now - self.heard >= LOST_AFTER

    def surplus(self, now: float) -> list[int]:
        """Idle connections to give back."""
        idle = sorted(self.idle(), key=lambda link: -link.idle_since)
        old = [link.conn for link in idle[SPARE:] if now - link.idle_since >= IDLE]
        retired = [link for link in self.links.values() if link.retired and not link.attempts]
        return old + [link.conn for link in retired if now - link.idle_since >= RETIRED]
