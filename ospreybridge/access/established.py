"""The calls that are established, from the office's answer to the confirmed end at both sides. No I/O.

Each call belongs to one process of one office: the one that its set-up was sent to. Whatever ends a call (its
caller, its office, the loss of that office or a new start of it) ends it here. The sides that don't know of
the end yet are told by releases that are repeated until they are confirmed.

Times are milliseconds of the event loop's clock.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from ospreybridge.access.offices import Office
from ospreybridge.access.releases import MAX_REFUSED_REPORTS, CallerReleases, OfficeReleases, Releases
from ospreybridge.signalling import causes

MAX_ESTABLISHED = 20_000  # each takes a few hundred octets
MAX_EARLY_RELEASES = 4_000  # releases of calls that no caller has named since a restart
# Callers' releases of calls that this process doesn't know are passed to all offices for some time after its
# start: the calls may have been established before it, and not been reported yet.
UNKNOWN_CALLS_WINDOW_MS = 30_000.0
MAX_UNKNOWN_CALLS = 500  # in that time
# Before this process started: a start of an office since then may not have been known to the process before
# this one. Call servers are away for up to 8 s, and starts become known up to 4 s late.
UNKNOWN_STARTS_MS = 12_000.0


@dataclass(slots=True, eq=False)
class EstablishedCall:
    """One established call."""

    uid: str
    office_id: int
    client_id: int  # the connection of its caller
    sent_at: float = -math.inf  # when the set-up that was answered was sent; unknown for a restored call
    ref: int = 0  # its number at the controller; 0: a restored call, of which the controller does not know
    attempt_number: int = 0
    attempt_started_at: float = 0.0


class EstablishedCalls:
    """All established calls, and the releases that their callers and offices have not confirmed."""

    def __init__(self, now: float) -> None:
        """`now`: the start of this process."""
        self._started_at = now
        self._unknown_calls_until = now + UNKNOWN_CALLS_WINDOW_MS
        self._unknown_calls = 0
        self.to_callers = CallerReleases()
        self.refused_reports = Releases(MAX_REFUSED_REPORTS)  # of calls that could not be restored
        self.to_offices = OfficeReleases()
        self._calls: dict[str, EstablishedCall] = {}
        self._by_office: dict[int, dict[str, EstablishedCall]] = {}
        self._early_releases: OrderedDict[str, int] = OrderedDict()  # uid -> cause

    def __contains__(self, uid: str) -> bool:
        return uid in self._calls

    def __iter__(self) -> Iterator[str]:
        return iter(self._calls)

    def __len__(self) -> int:
        return len(self._calls)

    def count_at(self, office_id: int) -> int:
        """The number of calls established at an office."""
        return len(self._by_office.get(office_id, ()))

    def needs_office(self, office_id: int) -> bool:
        """Whether a connection to an office is needed for its calls or for releases towards it."""
        return office_id in self._by_office or self.to_offices.has_any(office_id)

    def releases_given_up(self) -> int:
        """The number of releases, in both directions, that were never confirmed.

        Those of calls that could not be restored don't count: anybody can report calls.
        """
        return self.to_callers.given_up + self.to_offices.given_up

    def confirmed_by_caller(self, uid: str) -> bool:
        """A caller sent `stopped`; returns whether a release was waiting for it."""
        return self.to_callers.confirm(uid) or self.refused_reports.confirm(uid)

    def client_disconnected(self, connection_id: int) -> None:
        """The releases sent on a client's connection that ended are to be sent on another one."""
        self.to_callers.connection_closed(connection_id)
        self.refused_reports.connection_closed(connection_id)

    def expire_releases(self, now: float) -> None:
        """Gives up the releases, in both directions, that are too old."""
        for releases in (self.to_callers, self.refused_reports, self.to_offices):
            releases.expire(now)

    def add(self, call: EstablishedCall) -> None:
        """Records a call that an office answered or that its caller reports as established."""
        self._calls[call.uid] = call
        self._by_office.setdefault(call.office_id, {})[call.uid] = call

    def refusal_cause(self, uid: str, office: Office | None, has_ended: bool) -> int | None:
        """The cause with which a reported call is released instead of restored; None if it is restored.

        `office`: where it is said to be established, if the list has it; `has_ended`: it is known to be over.
        """
        cause = self._early_releases.pop(uid, None)
        if cause is None and (has_ended or office is None or len(self._calls) >= MAX_ESTABLISHED):
            cause = causes.TEMPORARY_FAILURE
        return cause

    def may_predate(self, office: Office) -> bool:
        """Whether a restored call may have been answered by a process of its office before the present one.

        A restored call was established before this process started. An office's start that the process
        before this one knew of has ended the earlier calls already; one that it may not have known of ends
        them now.
        """
        return (
            office.process_since > self._started_at - UNKNOWN_STARTS_MS
            or office.process_known_since > self._started_at
        )

    def refuse_report(self, now: float, uid: str, cause: int, client_id: int) -> None:
        """Records the release of a reported call that isn't restored; it is sent to that client now."""
        release = self.refused_reports.begin(now, uid, cause, client_id=client_id)
        self.refused_reports.sent(now, release, client_id)

    def released_by_caller(self, now: float, uid: str) -> EstablishedCall | None:
        """Ends a call for its caller; its office has to be told. None if there is no such call."""
        call = self._calls.get(uid)
        if call is not None:
            self._remove(call)
            self.to_offices.begin(now, uid, causes.NORMAL_CLEARING, call.office_id)
        return call

    def release_unknown(self, now: float, uid: str, office_ids: Iterable[int]) -> bool:
        """Begins the release of a call, established before this process started, at whichever office has it.

        Returns False, and begins nothing, long after the start and for too many calls.
        """
        if now >= self._unknown_calls_until or self._unknown_calls >= MAX_UNKNOWN_CALLS:
            return False
        self._unknown_calls += 1
        for office_id in office_ids:
            self.to_offices.begin(now, uid, causes.NORMAL_CLEARING, office_id).reply_due = False
        return True

    def released_by_office(self, now: float, uid: str, office_id: int, cause: int) -> EstablishedCall | None:
        """Ends a call for its office; its caller has to be told. None if the office has no such call."""
        call = self._calls.get(uid)
        if call is None:
            self._record_early_release(uid, cause)
            return None
        if call.office_id != office_id:
            return None
        self._remove(call)
        self.to_callers.begin(now, uid, cause, client_id=call.client_id)
        return call

    def lost_with_office(self, now: float, office_id: int) -> list[EstablishedCall]:
        """Ends all calls at an office that counts as lost."""
        return [self.lose(now, call) for call in list(self._by_office.get(office_id, {}).values())]

    def lost_by_start(self, now: float, office_id: int, started_at: float) -> list[EstablishedCall]:
        """Ends the calls of the processes that ran at an office before the one started at `started_at`.

        To be asked once, when the start becomes known: for a restored call it isn't known which process
        answered, so it ends.
        """
        return [
            self.lose(now, call)
            for call in list(self._by_office.get(office_id, {}).values())
            if call.sent_at < started_at
        ]

    def lose(self, now: float, call: EstablishedCall) -> EstablishedCall:
        """Ends a call that counts as lost; both sides are told, as the office may hold it all the same."""
        self._remove(call)
        self.to_callers.begin(now, call.uid, causes.TEMPORARY_FAILURE, client_id=call.client_id)
        self.to_offices.begin(now, call.uid, causes.TEMPORARY_FAILURE, call.office_id)
        return call

    def _remove(self, call: EstablishedCall) -> None:
        del self._calls[call.uid]
        calls_there = self._by_office[call.office_id]
        del calls_there[call.uid]
        if not calls_there:
            del self._by_office[call.office_id]

    def _record_early_release(self, uid: str, cause: int) -> None:
        """The call may have been established before this process started, and not been reported yet."""
        self._early_releases[uid] = cause
        if len(self._early_releases) > MAX_EARLY_RELEASES:
            self._early_releases.popitem(last=False)
