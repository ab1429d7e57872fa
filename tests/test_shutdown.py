"""The end of a shutdown: its phases, and who decides what pending calls are answered."""

from __future__ import annotations

import copy
from typing import Any

import pytest

from ospreybridge.access.server import REFUSAL_CAUSES
from ospreybridge.access.shutdown import ShutdownPhases
from ospreybridge.interface import CallClass, Settings
from ospreybridge.signalling import causes, jsonl
from tests.platform_rig import SETTINGS, Rig


def rig_with(deadline: float = 3_000.0, **class_values: Any) -> Rig:
    settings = copy.deepcopy(SETTINGS)
    settings["Classes"][0].update(Deadline=deadline, **class_values)
    return Rig(settings=settings)


@pytest.mark.parametrize(
    ("deadline", "expected"),
    [
        (9_000.0, ShutdownPhases(700.0, 2_500.0, 3_500.0)),
        (3_000.0, ShutdownPhases(700.0, 2_500.0, 3_500.0)),
        (2_000.0, ShutdownPhases(700.0, 1_500.0, 2_500.0)),
        (1_000.0, ShutdownPhases(700.0, 700.0, 1_500.0)),
        (100.0, ShutdownPhases(700.0, 700.0, 700.0)),
    ],
)
def test_phases_follow_from_the_longest_deadline(deadline: float, expected: ShutdownPhases) -> None:
    classes = (CallClass(on_time=50.0, deadline=50.0), CallClass(on_time=50.0, deadline=deadline))
    assert ShutdownPhases.for_settings(Settings(classes=classes)) == expected


@pytest.mark.parametrize("deadline", [100.0, 1_000.0, 2_000.0, 9_000.0])
def test_pending_calls_are_answered_before_the_earliest_kill(deadline: float) -> None:
    """Guards against calls unanswered at SIGKILL where the longest deadline is under 2.8 s."""
    rig = rig_with(deadline)
    client = rig.connect_client()
    rig.server.stop(rig.now)
    rig.advance(650.0)
    uid = rig.launch(client, left=str(int(deadline)), words=";transit:1")
    rig.advance(min(deadline, 3_000.0) + 700.0 - 650.0 - 1.0)
    assert len(rig.messages_of(uid, client)) == 1 and rig.server.is_stopped(rig.now)


@pytest.mark.parametrize(("semantics", "harmless"), [("single_shot", False), ("free", True)])
def test_call_whose_set_up_is_out_is_answered_by_its_class(semantics: str, harmless: bool) -> None:
    """Guards against a call with an effect that may have run and whose caller is told to try again."""
    rig = rig_with(Semantics=semantics)
    rig.server.stop(rig.now)
    rig.advance(2_400.0)
    client = rig.connect_client()
    uid = rig.launch(client, left="3000", words=";transit:1")
    connection = rig.set_up_connection(uid)
    rig.advance(1_150.0)
    (answer,) = rig.messages_of(uid, client, jsonl.STOP)
    assert (answer.reason in REFUSAL_CAUSES) == harmless
    assert [message.reason for message in rig.messages_of(uid, connection, jsonl.STOP)] == [
        causes.NORMAL_CLEARING
    ]
    assert not rig.open_attempts and not rig.server.controller.calls


def test_call_with_an_effect_that_was_never_sent_may_be_repeated() -> None:
    rig = rig_with(Semantics="single_shot")
    client = rig.connect_client()
    for connection_id in list(rig.server.pools[11].connections):
        rig.office_sends(connection_id, "usage", "", load="free:0;size:20")
    for connection_id in list(rig.server.pools[12].connections):
        rig.office_sends(connection_id, "usage", "", load="free:0;size:20")
    uid = rig.launch(client, left="3000", words=";transit:1")
    rig.server.stop(rig.now)
    rig.advance(3_500.0)
    (answer,) = rig.messages_of(uid, client, jsonl.STOP)
    assert not rig.messages_of(uid, kind=jsonl.LAUNCH) and answer.reason in REFUSAL_CAUSES
