"""Simulated office: a single-server queue of set-ups that can refuse, slow down, hang or crash."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

import numpy as np

from ospreybridge.signalling import causes, isup
from ospreybridge.signalling.isup import IsupMessage
from ospreybridge.standins.endpoint import Endpoint, EndpointConfig


@dataclass(frozen=True, slots=True)
class Processor:
    """Model of an office's processor. Times are in ms; the service times are means of a warm processor.

    After a start its capacity grows from `cold_share` to 1 over `warm_after` ms. More set-ups than
    `overload_factor` times the current capacity within `overload_for` ms crash it while it is cold.
    """

    setup_ms: float = 4.0
    release_ms: float = 0.5
    refuse_after: float = 1_500.0  # queueing delay in ms above which set-ups are refused with a retry time
    cold_share: float = 0.3
    warm_after: float = 14_000.0
    overload_factor: float = 2.5
    overload_for: float = 1_500.0
    setup_slack: float = 6.0  # set-ups above the limit that random arrivals may add


class Office(Endpoint):
    """The office of one exchange. Troubles set the factor that slows its work and whether it hangs."""

    def __init__(
        self,
        config: EndpointConfig,
        processor: Processor,
        seed: int,
    ) -> None:
        self.processor, self.random = processor, np.random.default_rng(seed)
        self.slowdown, self.hung, self.crashed_cold = 1.0, False, False
        self.started_at = -1e12  # when the processor last started
        self.idle_at = 0.0  # when the queued work is done
        self.queue: deque[IsupMessage] = deque()
        self.circuit_states: dict[int, str] = {}  # "waiting" or "established", by circuit
        self.recent_setups: deque[float] = deque()
        super().__init__(config)

    # -- troubles

    def restart(self) -> None:
        """Replaces the processor by a cold one with no queue and no calls, and dials again."""
        self.started_at, self.hung, self.crashed_cold = self.loop.now, False, False
        self.queue.clear()
        self.circuit_states.clear()
        self.idle_at = self.loop.now
        self.dial_enabled = True

    def capacity_share(self, now: float) -> float:
        """Returns the share of the warm capacity, which grows linearly from the cold share."""
        warm_up_progress = (now - self.started_at) / self.processor.warm_after
        return (
            1.0
            if warm_up_progress >= 1
            else self.processor.cold_share + (1 - self.processor.cold_share) * max(0.0, warm_up_progress)
        )

    def _is_overloaded(self, now: float) -> bool:
        """Counts a set-up; returns whether the last window exceeds what a cold processor takes (rule 4)."""
        self.recent_setups.append(now)
        while now - self.recent_setups[0] > self.processor.overload_for:
            self.recent_setups.popleft()
        share = self.capacity_share(now)
        max_setups = (
            self.processor.overload_factor * share * self.processor.overload_for / self.processor.setup_ms
        )
        return share < 1 and len(self.recent_setups) > max_setups + self.processor.setup_slack

    # -- calls

    def on_isup(self, message: IsupMessage) -> None:
        now = self.loop.now
        if message.type == isup.IAM:
            if self._is_overloaded(now):
                self.crashed_cold = True
                self.stop()
                return
            if self.hung:
                return
            wait = max(0.0, self.idle_at - now)
            if wait > self.processor.refuse_after:
                self._add_work(self.processor.setup_ms / 4)  # a refusal takes less work than a set-up
                parameters = {
                    isup.CAUSE_INDICATORS: isup.encode_cause(causes.CONGESTION, causes.LOCATION_USER),
                    isup.CONGESTION_LEVEL: b"\x02",
                    isup.USER_TO_USER: isup.encode_user_words(retry=int(wait)),
                }
                self.send(IsupMessage(message.cic, isup.REL, parameters))
                return
            self.circuit_states[message.cic] = "waiting"
            self._add_work(self.processor.setup_ms)
            self.loop.timers.schedule(self.idle_at, self._answer, message.cic, self.started_at)
        elif message.type == isup.REL:
            self.circuit_states.pop(message.cic, None)
            self._add_work(self.processor.release_ms)
            self.send(IsupMessage(message.cic, isup.RLC))

    def _add_work(self, mean_ms: float) -> None:
        duration = self.random.gamma(4.0, mean_ms / 4.0) * self.slowdown / self.capacity_share(self.loop.now)
        self.idle_at = max(self.idle_at, self.loop.now) + duration

    def _answer(self, now: float, cic: int, started_at: float) -> None:
        if (
            self.circuit_states.get(cic) != "waiting"
            or started_at != self.started_at
            or self.hung
            or not self.up
        ):
            return
        self.circuit_states[cic] = "established"
        self.send(IsupMessage(cic, isup.ACM, {isup.BACKWARD_INDICATORS: isup.SUBSCRIBER_FREE}))
        self.send(IsupMessage(cic, isup.ANM))

    def on_reset(self, message: IsupMessage) -> None:
        count = 1
        if message.type == isup.GRS:
            count, _ = isup.decode_range_status(message.parameters[isup.RANGE_STATUS])
        for cic in range(message.cic, message.cic + count):
            self.circuit_states.pop(cic, None)

    def on_inactive(self, reason: str) -> None:
        self.circuit_states.clear()
