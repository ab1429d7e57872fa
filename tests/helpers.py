"""A controller with a small fleet, for tests of its decisions without the simulator."""

from __future__ import annotations

from dataclasses import replace
from typing import TypeVar

from ospreybridge import Controller, interface
from ospreybridge.policy import POLL_LABEL

T = TypeVar("T")

RULES = interface.Rules(
    grace_to_answer=20.0,
    drain_grace=500.0,
    ask_within=10_000.0,
    cold_share=0.3,
    warm_after=10_000.0,
    overload_factor=3.0,
    overload_for=1_000.0,
    release=300.0,
)
CLASS = interface.CallClass(on_time=2_000.0, deadline=9_000.0, late_worth=0.2, hold=10_000.0)
SETTINGS = interface.Settings(
    classes=(CLASS,),
    own_exchange=0,
    server_count=4,
    tick=5.0,
    limits=interface.Limits(cancel=True, max_tries=4),
    rules=RULES,
)
NO_ACTIONS: list[interface.Action] = []


class Rig:
    """A controller and its clock; its list holds exchanges 0 to `count`, with offices 100 + number."""

    def __init__(self, settings: interface.Settings = SETTINGS, count: int = 4, seed: int = 7) -> None:
        self.now = 1_000.0
        self.controller = Controller(settings, seed)
        entries = tuple(interface.Entry(100 + exchange, exchange) for exchange in range(count + 1))
        self.handle(interface.Members(interface.ListForm.CACHED, 1, entries))

    def handle(self, event: interface.Event, after: float = 0.0) -> list[interface.Action]:
        """Passes an event to the controller, `after` ms from now."""
        self.now += after
        return self.controller.handle(self.now, event)

    def set_free_circuits(self, **free: float) -> None:
        """Reports the free circuits towards exchanges, named c1, c2 ... ."""
        for name, value in free.items():
            self.report_circuits(int(name[1:]), value)

    def report_circuits(self, exchange: int, free: float, size: float = 20.0) -> list[interface.Action]:
        return self.handle(
            interface.Probed(100 + exchange, interface.Result.OK, 0.0, interface.Report(free, size))
        )

    def request(
        self, ref: int = 1, dest: int = 1, patience: float = 3_000.0, **more: object
    ) -> list[interface.Action]:
        """A new call whose caller waits `patience` ms; `more` sets further fields of the request."""
        request = replace(interface.Request(ref, 0, dest, self.now + patience, called_number=ref), **more)  # type: ignore[arg-type]
        return self.handle(request)

    def poll(self) -> list[interface.Action]:
        """Expires the controller's poll timer."""
        return self.handle(interface.TimerExpired(POLL_LABEL))

    def outcome(
        self,
        ref: int,
        attempt: int,
        exchange: int,
        result: interface.Result,
        note: interface.Note = interface.Note.NONE,
        **more: object,
    ) -> list[interface.Action]:
        outcome = interface.Outcome(ref, attempt, 100 + exchange, result, note=note)
        return self.handle(replace(outcome, **more))  # type: ignore[arg-type]


def actions_of_type(actions: list[interface.Action], kind: type[T]) -> list[T]:
    return [action for action in actions if isinstance(action, kind)]


def sent_to(actions: list[interface.Action]) -> list[int]:
    """Exchange numbers that attempts were sent to, in order."""
    return [send.office - 100 for send in actions_of_type(actions, interface.Send)]
