"""A short seeded exploration of the orders of events at the platform's call server."""

from __future__ import annotations

import pytest

from tests.exploration import explore

ORDERS = 100
STEPS = 40


@pytest.mark.parametrize("seed", range(1, 11))
def test_no_order_of_events_breaks_a_rule_or_leaves_the_two_sides_of_a_call_apart(seed: int) -> None:
    """Guards against faults that only a certain order of answers, ends, resets, starts and time shows."""
    explore(seed, ORDERS, STEPS)
