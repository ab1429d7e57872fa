"""Ten thousand calls with seeded random faults: one attempt at a time and exactly one final answer each."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from ospreybridge.core.circuits import CircuitState
from ospreybridge.lab.harness import ACM_PARAMETERS, CALLERS_CODE_BASE, Harness, iam, rel, server_settings
from ospreybridge.signalling import causes, isup, m3ua
from ospreybridge.signalling.isup import IsupMessage

FAR_CODES = (2, 3, 4, 5)
RELEASE_MS = 200.0


class FaultySimulation:
    """Far ends that misbehave at random from a seed, and an observer that only sees messages."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.h = Harness(server_settings(5, circuits=20, access=400), keep_sent=False)
        self.h.keep_sent = True
        self.h.activate_links()
        self.h.announce_exchanges()
        self.h.keep_sent = False
        self.h.on_sent = self.observe
        # Calling number of each outstanding attempt, by far end and circuit.
        self.attempts_by_circuit: dict[tuple[int, int], str] = {}
        self.attempts_out: Counter[str] = Counter()  # outstanding attempts by calling number
        # End of the last attempt that the far end may have executed, by calling number.
        self.maybe_executed_at: dict[str, float] = {}
        self.caller_states: dict[int, str] = {}  # access circuit -> "pending" or "established"
        self.calling_numbers: dict[int, str] = {}
        self.latest_answer_at: dict[int, float] = {}
        self.finals: Counter[str] = Counter()
        self.violations: list[str] = []
        self.message_counts: Counter[str] = Counter()

    # -- the observer

    def attempt_ended(self, code: int, cic: int, maybe_executed: bool = False) -> None:
        calling = self.attempts_by_circuit.pop((code, cic), None)
        if calling is not None:
            self.attempts_out[calling] -= 1
            if maybe_executed:
                self.maybe_executed_at[calling] = self.h.now

    def observe(self, code: int, message: IsupMessage) -> None:
        now = self.h.now
        self.message_counts[message.name] += 1
        if code == CALLERS_CODE_BASE:
            self.observe_caller_side(now, message)
            return
        key = (code, message.cic)
        if code not in FAR_CODES:  # the own office, for calls from the far ends
            answer = {isup.IAM: isup.ACM, isup.REL: isup.RLC}.get(message.type)
            if answer is not None:
                self.reply_later(
                    code, IsupMessage(message.cic, answer, ACM_PARAMETERS if answer == isup.ACM else {})
                )
        elif message.type == isup.IAM:
            calling = isup.decode_calling_number(message.parameters[isup.CALLING_NUMBER])
            if self.attempts_out[calling]:
                self.violations.append(f"{calling}: two attempts outstanding at {now:.0f}")
            if now < self.maybe_executed_at.get(calling, -1e9) + RELEASE_MS:
                self.violations.append(
                    f"{calling}: again {now - self.maybe_executed_at[calling]:.0f} ms after an unknown result"
                )
            if calling not in {
                self.calling_numbers[cic] for cic, state in self.caller_states.items() if state == "pending"
            }:
                self.violations.append(f"{calling}: an attempt without a pending call")
            self.attempts_by_circuit[key] = calling
            self.attempts_out[calling] += 1
            self.h.timers.schedule(
                now + self.random.expovariate(1 / 40), self.react, code, message.cic, calling
            )
        elif message.type == isup.REL:
            self.attempt_ended(*key, maybe_executed=self.attempts_by_circuit.get(key) is not None)
            if self.random.random() < 0.97:
                self.reply_later(code, IsupMessage(message.cic, isup.RLC))
        elif message.type in (isup.RSC, isup.GRS):
            self.attempt_ended(*key, maybe_executed=True)
            if message.type == isup.RSC:
                self.reply_later(code, IsupMessage(message.cic, isup.RLC))
            else:
                octets = isup.encode_range_status(message.parameters[isup.RANGE_STATUS][0] + 1, [False] * 20)
                self.reply_later(code, IsupMessage(message.cic, isup.GRA, {isup.RANGE_STATUS: octets}))

    def reply_later(self, code: int, message: IsupMessage) -> None:
        def give(now: float) -> None:
            if code in self.h.call_server.links:
                self.h.receive(code, message)

        self.h.timers.schedule(self.h.now + self.random.expovariate(1 / 15), give)

    def observe_caller_side(self, now: float, message: IsupMessage) -> None:
        state = self.caller_states.get(message.cic)
        if message.type in (isup.ACM, isup.CON):
            if state != "pending":
                self.violations.append(f"circuit {message.cic}: {message.name} to a call that is {state}")
            elif now > self.latest_answer_at[message.cic] + 20:
                self.violations.append(
                    f"circuit {message.cic}: answered {now - self.latest_answer_at[message.cic]:.0f} ms late"
                )
            else:
                self.caller_states[message.cic] = "established"
                self.finals["stands"] += 1
                hold = self.random.expovariate(1 / 300)
                self.h.timers.schedule(
                    now + hold, self.hang_up, message.cic, self.calling_numbers[message.cic]
                )
        elif message.type == isup.REL:
            if state is None:
                self.violations.append(f"circuit {message.cic}: REL without a call")
            elif state == "pending":
                self.finals["refused"] += 1
                if now > self.latest_answer_at[message.cic] + 20:
                    self.violations.append(f"circuit {message.cic}: refused late")
            self.caller_states.pop(message.cic, None)
            self.h.receive(CALLERS_CODE_BASE, IsupMessage(message.cic, isup.RLC))

    # -- the far ends and the callers

    def react(self, now: float, code: int, cic: int, calling: str) -> None:
        if self.attempts_by_circuit.get((code, cic)) != calling:
            if self.random.random() < 0.5 and code in self.h.call_server.links:
                circuit = self.h.call_server.groups[code].circuits[cic]
                if circuit.state is CircuitState.RELEASING:
                    self.h.receive(
                        code, IsupMessage(cic, isup.ACM, ACM_PARAMETERS)
                    )  # an answer after the release
            return
        draw = self.random.random()
        if draw < 0.70:
            self.attempt_ended(code, cic)
            self.h.receive(code, IsupMessage(cic, isup.ACM, ACM_PARAMETERS))
            self.h.receive(code, IsupMessage(cic, isup.ANM))
        elif draw < 0.90:
            cause = self.random.choice([34, 42, 27, 17, 41, 102, 16, 3])
            maybe_executed = cause in (41, 102)
            self.attempt_ended(code, cic, maybe_executed)
            self.h.receive(code, rel(cic, cause, **({"retry": 300} if cause == 42 else {})))
        elif draw < 0.94:
            self.attempt_ended(code, cic, maybe_executed=True)
            self.h.receive(code, IsupMessage(cic, isup.RSC))
        elif draw < 0.96:
            group = self.h.call_server.groups[code]
            if not group.controls(cic):
                self.attempt_ended(code, cic)  # the far end's IAM crossed ours and wins
            self.h.receive(code, iam(cic, "370010001", "99"))
        # else: no answer

    def hang_up(self, now: float, cic: int, calling: str) -> None:
        if self.caller_states.get(cic) is not None and self.calling_numbers.get(cic) == calling:
            if self.caller_states.pop(cic) == "pending":
                self.finals["caller left"] += 1
            self.h.receive(CALLERS_CODE_BASE, rel(cic, causes.NORMAL_CLEARING))

    def drop_link(self, code: int, back_after: float) -> None:
        for key in [key for key in self.attempts_by_circuit if key[0] == code]:
            self.attempt_ended(*key, maybe_executed=True)
        self.h.call_server.link_down(self.h.now, code, "dropped")
        self.h.timers.schedule(
            self.h.now + back_after, lambda now: self.h.call_server.link_up(now, code, self.h.links[code])
        )

    def run(self, calls: int, rate: float) -> None:
        h, serial = self.h, 0
        cics = list(h.call_server.groups[CALLERS_CODE_BASE].circuits)
        while serial < calls:
            h.advance(self.random.expovariate(rate / 1_000))
            cic = cics[serial % len(cics)]
            serial += 1
            if (
                self.caller_states.get(cic) is not None
                or h.call_server.groups[CALLERS_CODE_BASE].circuits[cic].state is not CircuitState.IDLE
            ):
                continue
            self.caller_states[cic], self.calling_numbers[cic] = "pending", f"50{serial:07d}"
            patience = self.random.uniform(300, 3_300)
            self.latest_answer_at[cic] = h.now + 3_300
            if self.random.random() < 0.15:
                h.timers.schedule(h.now + patience, self.hang_up, cic, self.calling_numbers[cic])
            h.receive(
                CALLERS_CODE_BASE,
                iam(cic, f"3700{self.random.choice(FAR_CODES)}0001", self.calling_numbers[cic], left=3_300),
            )
            if self.random.random() < 0.002:
                code = self.random.choice(FAR_CODES)
                if code in h.call_server.links:
                    self.drop_link(code, self.random.uniform(50, 1_500))
            if self.random.random() < 0.002:
                h.announce_exchanges(
                    serial + 10,
                    self.random.choice([m3ua.DRST, m3ua.DAVA, m3ua.DAVA]),
                    self.random.choice(FAR_CODES),
                )
        h.advance(15_000)


@pytest.mark.parametrize("seed", [1, 2])
def test_calls_with_random_faults_have_one_attempt_at_a_time_and_one_answer(seed: int) -> None:
    simulation = FaultySimulation(seed)
    simulation.run(5_000, 100.0)
    assert simulation.violations == []
    pending = [cic for cic, state in simulation.caller_states.items() if state == "pending"]
    assert not pending, f"never answered: {pending}"
    assert min(simulation.finals[name] for name in ("stands", "refused", "caller left")) > 50
    assert min(simulation.message_counts[name] for name in ("GRS", "REL", "IAM", "RLC")) > 5
    assert not any(call.stage.name == "PENDING" for call in simulation.h.call_server.calls.values())
