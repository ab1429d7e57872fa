"""Circuits of one trunk group, shared by both ends (Q.764): selection, dual seizure, blocking, what is free.

The number of free circuits is exact at every moment: an idle, unblocked circuit stands in one of two lists,
and every change of state goes through `_settle`.
"""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ospreybridge.core.calls import Leg


class CircuitState(IntEnum):
    IDLE = 0
    SEIZED = 1  # seized by us, nothing came back yet: dual seizure is possible
    HELD = 2  # seized by us, the far end has answered something
    IN = 3  # seized by the far end
    RELEASING = 4  # REL sent, RLC awaited
    RESETTING = 5  # RSC or GRS sent, RLC or GRA awaited
    DOWN = 6  # no association: must be reset before use


class Circuit:
    __slots__ = ("cic", "far_blocked", "leg", "near_blocked", "state")

    def __init__(self, cic: int) -> None:
        self.cic = cic
        self.state = CircuitState.DOWN
        self.near_blocked = self.far_blocked = False
        self.leg: Leg | None = None


class TrunkGroup:
    """The circuits towards one adjacent exchange or office."""

    def __init__(self, name: str, cics: tuple[int, ...], here: int, there: int, changed: set[int]) -> None:
        self.name, self.here, self.there = name, here, there
        self.changed = changed  # point codes of groups whose free circuits changed; shared by all groups
        self.circuits = {cic: Circuit(cic) for cic in cics}
        self.ours: dict[int, None] = {}  # idle ones that we control, longest idle first
        self.theirs: dict[int, None] = {}  # idle ones that the far end controls, longest idle first

    @property
    def free(self) -> int:
        return len(self.ours) + len(self.theirs)

    @property
    def size(self) -> int:
        return len(self.circuits)

    def controls(self, cic: int) -> bool:
        """The exchange with the higher point code controls the even circuits (Q.764, 2.9.1.4)."""
        return (self.here > self.there) == (cic % 2 == 0)

    def set_state(self, circuit: Circuit, state: CircuitState, leg: Leg | None = None) -> None:
        circuit.state, circuit.leg = state, leg
        self._settle(circuit)

    def set_blocked(self, circuit: Circuit, *, local: bool | None = None, remote: bool | None = None) -> None:
        circuit.near_blocked = circuit.near_blocked if local is None else local
        circuit.far_blocked = circuit.far_blocked if remote is None else remote
        self._settle(circuit)

    def _settle(self, circuit: Circuit) -> None:
        idle = self.ours if self.controls(circuit.cic) else self.theirs
        usable = circuit.state is CircuitState.IDLE and not circuit.near_blocked and not circuit.far_blocked
        if usable and circuit.cic not in idle:
            idle[circuit.cic] = None
            self.changed.add(self.there)
        elif not usable and circuit.cic in idle:
            del idle[circuit.cic]
            self.changed.add(self.there)

    def select(self, width: int) -> tuple[int, ...]:
        """Circuits for a call: ours that is idle longest, else theirs that is idle shortest (method 2).

        That order keeps dual seizure rare. A wide call takes neighbours if it can, else any of one multiplex
        (by the circuit assignment map); empty where there are none.
        """
        if width == 1:
            if self.ours:
                return (next(iter(self.ours)),)
            return (next(reversed(self.theirs)),) if self.theirs else ()
        free = [*self.ours, *reversed(self.theirs)]
        idle = set(free)
        for cic in free:
            run = tuple(range(cic, cic + width))
            if idle.issuperset(run) and cic >> 5 == run[-1] >> 5:
                return run
        for cic in free:
            same = sorted(other for other in free if other >> 5 == cic >> 5)
            if len(same) >= width:
                return tuple(same[:width])
        return ()

    def yields(self, mine: tuple[int, ...], other: tuple[int, ...]) -> bool:
        """Whether our call is the loser of a dual seizure (Q.764, 2.9.1.4): both ends judge alike.

        The wider call goes on. Of two single ones the exchange that controls the circuit goes on; of two
        equally wide ones the lowest circuit over the width decides in place of the circuit.
        """
        if len(mine) != len(other):
            return len(mine) < len(other)
        return not self.controls(min(mine + other) // len(mine))


def runs(cics: list[int], longest: int = 32) -> list[tuple[int, int]]:
    """(first, count) of neighbouring circuits, as the group messages name them; at most `longest` each."""
    found: list[tuple[int, int]] = []
    for cic in sorted(cics):
        if found and found[-1][0] + found[-1][1] == cic and found[-1][1] < longest:
            found[-1] = (found[-1][0], found[-1][1] + 1)
        else:
            found.append((cic, 1))
    return found
