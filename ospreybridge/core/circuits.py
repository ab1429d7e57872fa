"""Circuits of a trunk group, shared by both ends (Q.764): states, selection, dual seizure and blocking.

The number of free circuits is always exact: each idle, unblocked circuit is in one of two lists, and every
change of state or blocking goes through `_update_idle`.
"""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ospreybridge.core.calls import Leg


class CircuitState(IntEnum):
    """State of one circuit as this end sees it; blocking is kept apart."""

    IDLE = 0
    SEIZED = 1  # our IAM is out and no backward message arrived: dual seizure is possible
    CONFIRMED = 2  # seized by us, and the far end has answered with a backward message
    INCOMING = 3  # seized by the far end
    RELEASING = 4  # REL sent, RLC awaited
    RESETTING = 5  # RSC or GRS sent, RLC or GRA awaited
    DOWN = 6  # no link: must be reset before use


class Circuit:
    """State and blocking of one circuit, and the leg that uses it."""

    __slots__ = ("cic", "leg", "locally_blocked", "remotely_blocked", "state")

    def __init__(self, cic: int) -> None:
        self.cic = cic
        self.state = CircuitState.DOWN
        self.locally_blocked = self.remotely_blocked = False
        self.leg: Leg | None = None


class TrunkGroup:
    """The circuits towards one adjacent exchange or office."""

    def __init__(
        self, name: str, cics: tuple[int, ...], own_code: int, peer_code: int, changed_groups: set[int]
    ) -> None:
        self.name, self.own_code, self.peer_code = name, own_code, peer_code
        # Peer codes of groups whose free circuits changed; one set shared by all groups.
        self.changed_groups = changed_groups
        self.circuits = {cic: Circuit(cic) for cic in cics}
        self.own_idle: dict[int, None] = {}  # idle circuits we control, longest idle first
        self.peer_idle: dict[int, None] = {}  # idle circuits the peer controls, longest idle first

    @property
    def free(self) -> int:
        """Number of idle, unblocked circuits."""
        return len(self.own_idle) + len(self.peer_idle)

    @property
    def size(self) -> int:
        """Number of circuits in any state."""
        return len(self.circuits)

    def controls(self, cic: int) -> bool:
        """Whether this end controls a circuit: the higher point code has the even ones (Q.764, 2.9.1.4)."""
        return (self.own_code > self.peer_code) == (cic % 2 == 0)

    def set_state(self, circuit: Circuit, state: CircuitState, leg: Leg | None = None) -> None:
        """Changes the state of a circuit and the leg that uses it."""
        circuit.state, circuit.leg = state, leg
        self._update_idle(circuit)

    def set_blocked(self, circuit: Circuit, *, local: bool | None = None, remote: bool | None = None) -> None:
        """Changes the blocking by this end (`local`) or the far end (`remote`); None leaves it as it is."""
        circuit.locally_blocked = circuit.locally_blocked if local is None else local
        circuit.remotely_blocked = circuit.remotely_blocked if remote is None else remote
        self._update_idle(circuit)

    def _update_idle(self, circuit: Circuit) -> None:
        idle_list = self.own_idle if self.controls(circuit.cic) else self.peer_idle
        usable = (
            circuit.state is CircuitState.IDLE
            and not circuit.locally_blocked
            and not circuit.remotely_blocked
        )
        if usable and circuit.cic not in idle_list:
            idle_list[circuit.cic] = None
            self.changed_groups.add(self.peer_code)
        elif not usable and circuit.cic in idle_list:
            del idle_list[circuit.cic]
            self.changed_groups.add(self.peer_code)

    def select(self, width: int) -> tuple[int, ...]:
        """Chooses `width` circuits for a call (Q.764, method 2); empty if there are not enough.

        Prefers the longest idle circuit that this end controls, else the shortest idle one of the far end:
        that keeps dual seizure rare. A call wider than one circuit gets adjacent circuits if possible, else
        any of the same 32-circuit multiplex, which the circuit assignment map can describe.
        """
        if width == 1:
            if self.own_idle:
                return (next(iter(self.own_idle)),)
            return (next(reversed(self.peer_idle)),) if self.peer_idle else ()
        free = [*self.own_idle, *reversed(self.peer_idle)]
        idle = set(free)
        for cic in free:
            candidate = tuple(range(cic, cic + width))
            if idle.issuperset(candidate) and cic >> 5 == candidate[-1] >> 5:
                return candidate
        for cic in free:
            same_multiplex = sorted(other for other in free if other >> 5 == cic >> 5)
            if len(same_multiplex) >= width:
                return tuple(same_multiplex[:width])
        return ()

    def loses_dual_seizure(self, own_cics: tuple[int, ...], peer_cics: tuple[int, ...]) -> bool:
        """Whether our call gives way in a dual seizure (Q.764, 2.9.1.4); the far end concludes the opposite.

        The wider call proceeds. Of two single-circuit calls, that of the end which controls the circuit
        proceeds. Of two wider calls of equal width, it is the end that would control the circuit numbered
        lowest CIC / width, rounded down.
        """
        if len(own_cics) != len(peer_cics):
            return len(own_cics) < len(peer_cics)
        return not self.controls(min(own_cics + peer_cics) // len(own_cics))


def contiguous_ranges(cics: list[int], max_length: int = 32) -> list[tuple[int, int]]:
    """Splits circuits into (first, count) ranges of at most `max_length` circuits, for group messages."""
    ranges: list[tuple[int, int]] = []
    for cic in sorted(cics):
        if ranges and ranges[-1][0] + ranges[-1][1] == cic and ranges[-1][1] < max_length:
            ranges[-1] = (ranges[-1][0], ranges[-1][1] + 1)
        else:
            ranges.append((cic, 1))
    return ranges
