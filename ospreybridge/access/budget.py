"""How the connections to all offices share the descriptors of the process. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

SPARE_CONNECTIONS = 2  # kept idle per office: one for its load updates, one for the next set-up
SPARE_SHARE = 0.75  # of all connections: what the spare ones of all offices may use
OFFICE_SHARE = 0.5  # of all connections: what one office may use
LIVENESS_SHARE = 0.25  # of all connections: what may test at a time whether silent offices are alive


class DialReason(IntEnum):
    """Why a connection is opened although no set-up waits for one; the lowest goes first."""

    RECOVERY = 0  # releases may have been lost with an older connection
    SPARE = 1  # for the next set-up and for load reports
    LIVENESS = 2  # the office is silent: only a new connection tells whether it is there


@dataclass(frozen=True, order=True, slots=True)
class WantedConnection:
    """A connection that no set-up waits for; the lowest is opened first."""

    reason: DialReason
    without_calls: bool  # no call is established at the office
    heard_or_tested_at: float
    office_id: int


class ConnectionBudget:
    """Limits on connections that are open or being opened, in all and by their use."""

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self.max_per_office = max(2, int(OFFICE_SHARE * max_connections))
        self.max_liveness_tests = max(1, int(LIVENESS_SHARE * max_connections))

    def spare_connections(self, office_count: int) -> int:
        """The number of idle connections to keep to each of so many offices; 0 if there are too many."""
        return min(SPARE_CONNECTIONS, int(SPARE_SHARE * self.max_connections / max(1, office_count)))

    def allows(self, open_count: int) -> bool:
        """Whether one more connection may be opened beside `open_count` ones."""
        return open_count < self.max_connections

    def allows_spare(self, open_count: int) -> bool:
        """The same for a spare connection: some room is left for set-ups, releases and tests of liveness."""
        return open_count < SPARE_SHARE * self.max_connections

    def allows_at_office(self, open_count: int, open_there: int) -> bool:
        """The same for a set-up to an office that has `open_there` connections."""
        return self.allows(open_count) and open_there < self.max_per_office
