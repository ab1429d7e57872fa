"""The own exchange's lines behind a processor with one line: it queues, refuses, slows, hangs, dies."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

import numpy as np

from ospreybridge.signalling import causes, isup
from ospreybridge.signalling.isup import IsupMessage
from ospreybridge.standins.endpoint import Endpoint, Place


@dataclass(frozen=True, slots=True)
class Processor:
    """Work in milliseconds of a warm processor; capacity right after a start as a share of the warm one."""

    setup: float = 4.0
    release: float = 0.5
    refuse_after: float = 1_500.0  # wait at which set-ups are refused, with the time to come back
    cold_share: float = 0.3
    warm_after: float = 14_000.0
    overload_factor: float = 2.5
    overload_for: float = 1_500.0
    slack: float = 6.0  # set-ups over the budget that chance may bring


class Office(Endpoint):
    def __init__(
        self,
        place: Place,
        processor: Processor,
        seed: int,
    ) -> None:
        self.p, self.random = processor, np.random.default_rng(seed)
        self.slow, self.hung, self.fallen = 1.0, False, False
        self.began = -1e12  # when the processor last started
        self.free_at = 0.0  # when its line is free
        self.queue: deque[IsupMessage] = deque()
        self.taken: dict[int, str] = {}  # circuit: waiting, standing
        self.arrivals: deque[float] = deque()
        super().__init__(place)

    # -- troubles

    def restart(self) -> None:
        """A new processor: cold, its queue and calls are gone."""
        self.began, self.hung, self.fallen = self.loop.now, False, False
        self.queue.clear()
        self.taken.clear()
        self.free_at = self.loop.now
        self.alive = True

    def capacity(self, now: float) -> float:
        """Share of the warm capacity: linear from the cold share until it is warm."""
        age = (now - self.began) / self.p.warm_after
        return 1.0 if age >= 1 else self.p.cold_share + (1 - self.p.cold_share) * max(0.0, age)

    def _over(self, now: float) -> bool:
        """Whether what was sent in the last window is more than a cold processor bears (rule 4)."""
        self.arrivals.append(now)
        while now - self.arrivals[0] > self.p.overload_for:
            self.arrivals.popleft()
        share = self.capacity(now)
        bears = self.p.overload_factor * share * self.p.overload_for / self.p.setup
        return share < 1 and len(self.arrivals) > bears + self.p.slack

    # -- calls

    def isup(self, message: IsupMessage) -> None:
        now = self.loop.now
        if message.type == isup.IAM:
            if self._over(now):
                self.fallen = True
                self.die()
                return
            if self.hung:
                return
            wait = max(0.0, self.free_at - now)
            if wait > self.p.refuse_after:
                self._work(self.p.setup / 4)
                given = {
                    isup.CAUSE_INDICATORS: isup.encode_cause(causes.CONGESTION, causes.LOCATION_USER),
                    isup.CONGESTION_LEVEL: b"\x02",
                    isup.USER_TO_USER: isup.encode_user_words(retry=int(wait)),
                }
                self.send(IsupMessage(message.cic, isup.REL, given))
                return
            self.taken[message.cic] = "waiting"
            self._work(self.p.setup)
            self.loop.timers.schedule(self.free_at, self._answer, message.cic, self.began)
        elif message.type == isup.REL:
            self.taken.pop(message.cic, None)
            self._work(self.p.release)
            self.send(IsupMessage(message.cic, isup.RLC))

    def _work(self, work: float) -> None:
        took = self.random.gamma(4.0, work / 4.0) * self.slow / self.capacity(self.loop.now)
        self.free_at = max(self.free_at, self.loop.now) + took

    def _answer(self, now: float, cic: int, began: float) -> None:
        if self.taken.get(cic) != "waiting" or began != self.began or self.hung or not self.up:
            return
        self.taken[cic] = "standing"
        self.send(IsupMessage(cic, isup.ACM, {isup.BACKWARD_INDICATORS: isup.SUBSCRIBER_FREE}))
        self.send(IsupMessage(cic, isup.ANM))

    def reset(self, message: IsupMessage) -> None:
        count = 1
        if message.type == isup.GRS:
            count, _ = isup.decode_range_status(message.parameters[isup.RANGE_STATUS])
        for cic in range(message.cic, message.cic + count):
            self.taken.pop(cic, None)

    def lost(self, reason: str) -> None:
        self.taken.clear()
