"""Connections to offices are bounded per office and in all, and silent offices are noticed in time."""

from __future__ import annotations

from typing import Any

import pytest

from ospreybridge.access.budget import SPARE_CONNECTIONS, ConnectionBudget
from ospreybridge.signalling import jsonl
from tests.platform_rig import Rig, member

OFFICES = 256
SOCKETS = 256
TOLD_WITHIN_MS = 8_050.0  # of the end of a call whose office says nothing


def rig_with_many_offices() -> Rig:
    members = [member(10 + cell, cell) for cell in range(OFFICES + 1)]
    known: dict[str, Any] = {
        "pos": 1,
        "entries": [{"pos": 1, "hosts": {"complete": True, "members": members}}],
    }
    return Rig(known=known, limits={"cores": 1.0, "memory_mb": 64, "sockets": SOCKETS})


def test_many_silent_offices_leave_room_for_callers_and_for_set_ups() -> None:
    """Guards against descriptors used up by tests of silent offices, one more each second."""
    rig = rig_with_many_offices()
    most = 0
    for _ in range(400):
        rig.advance(50.0)
        most = max(most, len(rig.server.pool_by_connection))
    assert most <= rig.server.admission.max_office_connections
    assert max(pool.size() for pool in rig.server.pools.values()) <= SPARE_CONNECTIONS + 1
    callers = [rig.connect_client() for _ in range(SOCKETS // 3)]
    assert most + len(callers) < SOCKETS
    unconnected = next(pool for pool in rig.server.pools.values() if not pool.size())
    uid = rig.launch(callers[0], dest=unconnected.office_id - 10)
    rig.advance(200.0)
    assert len(rig.messages_of(uid, kind=jsonl.LAUNCH)) == 1


def test_quiet_office_does_not_collect_connections() -> None:
    """Guards against a connection left over from each test of an office that has nothing to say."""
    rig = Rig()
    most = 0
    for _ in range(400):
        rig.advance(50.0)
        most = max(most, *(pool.size() for pool in rig.server.pools.values()))
    assert most <= SPARE_CONNECTIONS + 2


@pytest.mark.parametrize("offices_with_calls", [8, 64])
@pytest.mark.parametrize("refused", [False, True])
def test_calls_at_offices_that_vanish_together_are_told_to_be_over_in_time(
    refused: bool, offices_with_calls: int
) -> None:
    """Guards against tests of liveness that come too late, or always go to the same offices."""
    rig = rig_with_many_offices()
    client = rig.connect_client()
    uids = []
    for dest in range(1, 1 + offices_with_calls):
        uid = rig.launch(client, dest=dest)
        for _ in range(10):
            rig.advance(50.0)
            if rig.messages_of(uid, kind=jsonl.LAUNCH):
                break
        rig.office_sends(rig.set_up_connection(uid), "running", uid, body="an answer")
        uids.append(uid)
    assert all(uid in rig.server.established for uid in uids)
    vanished_at = rig.now
    while len(rig.server.established) and rig.now - vanished_at < TOLD_WITHIN_MS:
        rig.advance(200.0, connect=False)
        rig.fail_dials(refused)
    assert not len(rig.server.established)


def test_shares_of_the_budget() -> None:
    budget = ConnectionBudget(104)
    assert [budget.spare_connections(count) for count in (0, 4, 39, 40, 78, 79, 256)] == [2, 2, 2, 1, 1, 0, 0]
    assert budget.allows(103) and not budget.allows(104)
    assert budget.allows_spare(77) and not budget.allows_spare(78)
    assert budget.allows_at_office(60, 51) and not budget.allows_at_office(60, 52)
    assert ConnectionBudget(4).max_liveness_tests == 1 and ConnectionBudget(4).max_per_office == 2
