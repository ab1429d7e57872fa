"""Ten thousand calls with faults drawn from a seed: one attempt at a time, one final answer, no more."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from ospreybridge.core.circuits import CircuitState
from ospreybridge.lab.harness import ACM, CALLERS, Harness, iam, rel, server
from ospreybridge.signalling import causes, isup, m3ua
from ospreybridge.signalling.isup import IsupMessage

FAR = (2, 3, 4, 5)
RELEASE = 200.0


class World:
    """Far ends that misbehave by a seed, and an observer who only sees messages."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.h = Harness(server(5, circuits=20, access=400), keep=False)
        self.h.keep = True
        self.h.up()
        self.h.ready()
        self.h.keep = False
        self.h.watch = self.seen
        self.out: dict[tuple[int, int], str] = {}  # far end and circuit: the calling number out there
        self.attempts: Counter[str] = Counter()  # out now, by calling number
        self.doubt: dict[str, float] = {}
        self.caller: dict[int, str] = {}  # access circuit: pending or standing
        self.number: dict[int, str] = {}
        self.due: dict[int, float] = {}
        self.finals: Counter[str] = Counter()
        self.broken: list[str] = []
        self.kinds: Counter[str] = Counter()

    # -- the observer

    def ends(self, code: int, cic: int, doubtful: bool = False) -> None:
        calling = self.out.pop((code, cic), None)
        if calling is not None:
            self.attempts[calling] -= 1
            if doubtful:
                self.doubt[calling] = self.h.now

    def seen(self, code: int, message: IsupMessage) -> None:
        now = self.h.now
        self.kinds[message.name] += 1
        if code == CALLERS:
            self.to_caller(now, message)
            return
        key = (code, message.cic)
        if code not in FAR:  # the own office, for the calls that the far ends make
            answer = {isup.IAM: isup.ACM, isup.REL: isup.RLC}.get(message.type)
            if answer is not None:
                self.later(code, IsupMessage(message.cic, answer, ACM if answer == isup.ACM else {}))
        elif message.type == isup.IAM:
            calling = isup.decode_calling_number(message.parameters[isup.CALLING_NUMBER])
            if self.attempts[calling]:
                self.broken.append(f"{calling}: two attempts out at {now:.0f}")
            if now < self.doubt.get(calling, -1e9) + RELEASE:
                self.broken.append(f"{calling}: again {now - self.doubt[calling]:.0f} ms after a doubt")
            if calling not in {self.number[cic] for cic, state in self.caller.items() if state == "pending"}:
                self.broken.append(f"{calling}: an attempt without a pending call")
            self.out[key] = calling
            self.attempts[calling] += 1
            self.h.timers.schedule(
                now + self.random.expovariate(1 / 40), self.react, code, message.cic, calling
            )
        elif message.type == isup.REL:
            self.ends(*key, doubtful=self.out.get(key) is not None)
            if self.random.random() < 0.97:
                self.later(code, IsupMessage(message.cic, isup.RLC))
        elif message.type in (isup.RSC, isup.GRS):
            self.ends(*key, doubtful=True)
            if message.type == isup.RSC:
                self.later(code, IsupMessage(message.cic, isup.RLC))
            else:
                octets = isup.encode_range_status(message.parameters[isup.RANGE_STATUS][0] + 1, [False] * 20)
                self.later(code, IsupMessage(message.cic, isup.GRA, {isup.RANGE_STATUS: octets}))

    def later(self, code: int, message: IsupMessage) -> None:
        def give(now: float) -> None:
            if code in self.h.core.links:
                self.h.give(code, message)

        self.h.timers.schedule(self.h.now + self.random.expovariate(1 / 15), give)

    def to_caller(self, now: float, message: IsupMessage) -> None:
        state = self.caller.get(message.cic)
        if message.type in (isup.ACM, isup.CON):
            if state != "pending":
                self.broken.append(f"circuit {message.cic}: {message.name} to a call that is {state}")
            elif now > self.due[message.cic] + 20:
                self.broken.append(
                    f"circuit {message.cic}: answered {now - self.due[message.cic]:.0f} ms late"
                )
            else:
                self.caller[message.cic] = "standing"
                self.finals["stands"] += 1
                hold = self.random.expovariate(1 / 300)
                self.h.timers.schedule(now + hold, self.hang_up, message.cic, self.number[message.cic])
        elif message.type == isup.REL:
            if state is None:
                self.broken.append(f"circuit {message.cic}: REL without a call")
            elif state == "pending":
                self.finals["refused"] += 1
                if now > self.due[message.cic] + 20:
                    self.broken.append(f"circuit {message.cic}: refused late")
            self.caller.pop(message.cic, None)
            self.h.give(CALLERS, IsupMessage(message.cic, isup.RLC))

    # -- the far ends and the callers

    def react(self, now: float, code: int, cic: int, calling: str) -> None:
        if self.out.get((code, cic)) != calling:
            if self.random.random() < 0.5 and code in self.h.core.links:
                circuit = self.h.core.groups[code].circuits[cic]
                if circuit.state is CircuitState.RELEASING:
                    self.h.give(code, IsupMessage(cic, isup.ACM, ACM))  # an answer after the end
            return
        what = self.random.random()
        if what < 0.70:
            self.ends(code, cic)
            self.h.give(code, IsupMessage(cic, isup.ACM, ACM))
            self.h.give(code, IsupMessage(cic, isup.ANM))
        elif what < 0.90:
            cause = self.random.choice([34, 42, 27, 17, 41, 102, 16, 3])
            doubtful = cause in (41, 102)
            self.ends(code, cic, doubtful)
            self.h.give(code, rel(cic, cause, **({"retry": 300} if cause == 42 else {})))
        elif what < 0.94:
            self.ends(code, cic, doubtful=True)
            self.h.give(code, IsupMessage(cic, isup.RSC))
        elif what < 0.96:
            group = self.h.core.groups[code]
            if not group.controls(cic):
                self.ends(code, cic)  # the far end's IAM crossed ours, and wins
            self.h.give(code, iam(cic, "370010001", "99"))
        # else: silence

    def hang_up(self, now: float, cic: int, calling: str) -> None:
        if self.caller.get(cic) is not None and self.number.get(cic) == calling:
            if self.caller.pop(cic) == "pending":
                self.finals["caller left"] += 1
            self.h.give(CALLERS, rel(cic, causes.NORMAL_CLEARING))

    def drop(self, code: int, back_after: float) -> None:
        for key in [key for key in self.out if key[0] == code]:
            self.ends(*key, doubtful=True)
        self.h.core.link_down(self.h.now, code, "dropped")
        self.h.timers.schedule(
            self.h.now + back_after, lambda now: self.h.core.link_up(now, code, self.h.wires[code])
        )

    def run(self, calls: int, rate: float) -> None:
        h, serial = self.h, 0
        cics = list(h.core.groups[CALLERS].circuits)
        while serial < calls:
            h.advance(self.random.expovariate(rate / 1_000))
            cic = cics[serial % len(cics)]
            serial += 1
            if (
                self.caller.get(cic) is not None
                or h.core.groups[CALLERS].circuits[cic].state is not CircuitState.IDLE
            ):
                continue
            self.caller[cic], self.number[cic] = "pending", f"50{serial:07d}"
            patience = self.random.uniform(300, 3_300)
            self.due[cic] = h.now + 3_300
            if self.random.random() < 0.15:
                h.timers.schedule(h.now + patience, self.hang_up, cic, self.number[cic])
            h.give(CALLERS, iam(cic, f"3700{self.random.choice(FAR)}0001", self.number[cic], left=3_300))
            if self.random.random() < 0.002:
                code = self.random.choice(FAR)
                if code in h.core.links:
                    self.drop(code, self.random.uniform(50, 1_500))
            if self.random.random() < 0.002:
                h.ready(
                    serial + 10,
                    self.random.choice([m3ua.DRST, m3ua.DAVA, m3ua.DAVA]),
                    self.random.choice(FAR),
                )
        h.advance(15_000)


@pytest.mark.parametrize("seed", [1, 2])
def test_ten_thousand_calls_never_have_two_attempts_out(seed: int) -> None:
    world = World(seed)
    world.run(5_000, 100.0)
    assert world.broken == []
    pending = [cic for cic, state in world.caller.items() if state == "pending"]
    assert not pending, f"never answered: {pending}"
    assert min(world.finals[name] for name in ("stands", "refused", "caller left")) > 50
    assert min(world.kinds[name] for name in ("GRS", "REL", "IAM", "RLC")) > 5
    assert not any(call.stage.name == "PENDING" for call in world.h.core.calls.values())
