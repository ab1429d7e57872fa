"""Small fleets for tests of the decision module, without the bench."""

from __future__ import annotations

from dataclasses import replace
from typing import TypeVar

from ospreybridge import Controller
from ospreybridge import interface as i
from ospreybridge.policy import POLL_LABEL

T = TypeVar("T")

RULES = i.Rules(
    grace_to_answer=20.0,
    drain_grace=500.0,
    ask_within=10_000.0,
    cold_share=0.3,
    warm_after=10_000.0,
    overload_factor=3.0,
    overload_for=1_000.0,
    release=300.0,
)
CLASS = i.CallClass(on_time=2_000.0, deadline=9_000.0, late_worth=0.2, hold=10_000.0)
SETTINGS = i.Settings(
    classes=(CLASS,),
    own_exchange=0,
    server_count=4,
    tick=5.0,
    limits=i.Limits(cancel=True, max_tries=4),
    rules=RULES,
)
NOTHING: list[i.Action] = []


class Rig:
    """A controller whose list names exchanges 1 to `count` by the office 100 + cell."""

    def __init__(self, settings: i.Settings = SETTINGS, count: int = 4, seed: int = 7) -> None:
        self.now = 1_000.0
        self.controller = Controller(settings, seed)
        entries = tuple(i.Entry(100 + cell, cell) for cell in range(count + 1))
        self.say(i.Members(i.ListForm.CACHED, 1, entries))

    def say(self, event: i.Event, after: float = 0.0) -> list[i.Action]:
        self.now += after
        return self.controller.handle(self.now, event)

    def groups(self, **free: float) -> None:
        for name, value in free.items():
            self.circuits(int(name[1:]), value)

    def circuits(self, cell: int, free: float, size: float = 20.0) -> list[i.Action]:
        return self.say(i.Probed(100 + cell, i.Result.OK, 0.0, i.Report(free, size)))

    def call(self, ref: int = 1, dest: int = 1, lasts: float = 3_000.0, **more: object) -> list[i.Action]:
        request = replace(i.Request(ref, 0, dest, self.now + lasts, called_number=ref), **more)  # type: ignore[arg-type]
        return self.say(request)

    def poll(self) -> list[i.Action]:
        return self.say(i.TimerExpired(POLL_LABEL))

    def ends(
        self, ref: int, attempt: int, cell: int, result: i.Result, note: i.Note = i.Note.NONE, **more: object
    ) -> list[i.Action]:
        outcome = i.Outcome(ref, attempt, 100 + cell, result, note=note)
        return self.say(replace(outcome, **more))  # type: ignore[arg-type]


def only(actions: list[i.Action], kind: type[T]) -> list[T]:
    return [action for action in actions if isinstance(action, kind)]


def sent_to(actions: list[i.Action]) -> list[int]:
    return [send.office - 100 for send in only(actions, i.Send)]
