"""Figures of each office for the log: the controller's state beside what was counted on the connections."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import asdict, dataclass
from typing import Any

from ospreybridge.access.established import EstablishedCalls
from ospreybridge.access.pool import ConnectionPool
from ospreybridge.policy import Exchange
from ospreybridge.signalling import frames


@dataclass(frozen=True, slots=True)
class OfficeFigures:
    """One office; the names are those of the log line `figures`."""

    state: str
    cell: int
    free: float | None  # circuits, as the controller counts them
    told: str  # the trunk group's state as last reported
    window: float | None
    pending: int  # unanswered set-ups, as the controller counts them
    out: int  # the same, as counted on the connections
    standing: int
    links: int
    heard: int  # milliseconds since the last message
    failures: int  # to connect, in a row


def office_figures(
    now: float,
    pools: Mapping[int, ConnectionPool],
    exchanges: Mapping[int, Exchange],
    established: EstablishedCalls,
) -> dict[str, dict[str, Any]]:
    """The figures of all offices, by name, as the log takes them."""
    return {
        frames.office_name(office_id): asdict(
            _figures(now, pool, exchanges.get(office_id), established.count_at(office_id))
        )
        for office_id, pool in pools.items()
    }


def _figures(now: float, pool: ConnectionPool, exchange: Exchange | None, standing: int) -> OfficeFigures:
    open_attempts = sum(len(connection.attempts) for connection in pool.connections.values())
    return OfficeFigures(
        state=exchange.readiness.name if exchange else "GONE",
        cell=exchange.number if exchange else -1,
        free=exchange.free if exchange else None,
        told=pool.last_load,
        window=round(exchange.window, 2) if exchange else None,
        pending=len(exchange.unanswered) if exchange else 0,
        out=open_attempts + len(pool.waiting),
        standing=standing,
        links=len(pool.connections),
        heard=round(now - pool.last_received),
        failures=pool.failures,
    )
