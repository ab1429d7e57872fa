"""Calls and circuits without sockets: dual seizure, blocking, resets, late answers, one attempt at a time."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace

import pytest

from ospreybridge.core.circuits import CircuitState, TrunkGroup, contiguous_ranges
from ospreybridge.interface import Action, Event, Request
from ospreybridge.lab.harness import (
    ACM_PARAMETERS,
    CALLERS_CODE_BASE,
    CENTRE_POINT_CODE,
    OFFICE_CODE_BASE,
    Harness,
    iam,
    rel,
    server_settings,
)
from ospreybridge.settings.server import Peer
from ospreybridge.signalling import causes, isup, m3ua, sccp
from ospreybridge.signalling.isup import IsupMessage

SendData = Callable[[int, int, bytes], None]


@pytest.fixture
def h() -> Harness:
    harness = Harness(server_settings(4, circuits=4))
    harness.activate_links()
    harness.announce_exchanges()
    return harness


def take_one(h: Harness, point_code: int, kind: int) -> IsupMessage:
    found = [message for message in h.take_sent(point_code) if message.type == kind]
    assert len(found) == 1, f"{isup.NAMES[kind]}: {[m.name for m in found]}"
    return found[0]


def test_a_direct_call_is_established_and_released_and_frees_every_circuit(h: Harness) -> None:
    h.receive(CALLERS_CODE_BASE, iam(1, "370020001", left=3_000))
    set_up = take_one(h, 2, isup.IAM)
    assert isup.decode_called_number(set_up.parameters[isup.CALLED_NUMBER]) == "370020001"
    assert h.call_server.groups[2].free == 3
    h.receive(2, IsupMessage(set_up.cic, isup.ACM, ACM_PARAMETERS))
    h.receive(2, IsupMessage(set_up.cic, isup.ANM))
    assert [m.type for m in h.take_sent(CALLERS_CODE_BASE)] == [isup.ACM, isup.ANM]
    h.receive(CALLERS_CODE_BASE, rel(1, causes.NORMAL_CLEARING))
    take_one(h, CALLERS_CODE_BASE, isup.RLC)
    take_one(h, 2, isup.REL)
    assert h.call_server.groups[2].free == 3  # taken until RLC
    h.receive(2, IsupMessage(set_up.cic, isup.RLC))
    assert h.call_server.groups[2].free == 4 and not h.call_server.calls


def test_a_wide_call_takes_two_circuits_and_names_them_if_they_are_not_adjacent() -> None:
    h = Harness(server_settings(3, circuits=4))
    h.activate_links()
    h.announce_exchanges()
    for cic in (1, 3):
        h.receive(2, IsupMessage(cic, isup.BLO))
    h.take_sent(2)
    h.receive(CALLERS_CODE_BASE, iam(5, "370020001", width=2))
    set_up = take_one(h, 2, isup.IAM)
    assert set_up.parameters[isup.MEDIUM_REQUIREMENT] == bytes((isup.TWO_TIMES_64,))
    assert isup.decode_circuit_map(set_up.cic, set_up.parameters[isup.CIRCUIT_ASSIGNMENT_MAP]) == (2, 4)
    assert h.call_server.groups[2].free == 0


def test_a_full_group_overflows_to_the_tandem_with_most_free_circuits(h: Harness) -> None:
    for cic in (1, 2, 3, 4):
        h.receive(2, IsupMessage(cic, isup.BLO))
    h.receive(3, IsupMessage(1, isup.BLO))
    h.take_sent(2)
    h.receive(CALLERS_CODE_BASE, iam(1, "370020001"))
    assert take_one(h, 4, isup.IAM) and not h.take_sent(2)


def test_an_unallocated_number_and_an_unequipped_circuit_are_refused_at_once(h: Harness) -> None:
    h.receive(CALLERS_CODE_BASE, iam(1, "99"))
    assert (
        isup.decode_cause(take_one(h, CALLERS_CODE_BASE, isup.REL).parameters[isup.CAUSE_INDICATORS])[0]
        == causes.UNALLOCATED_NUMBER
    )
    h.receive(2, iam(9, "370010001"))
    take_one(h, 2, isup.UCIC)


def test_a_refusal_carries_the_redial_delay_and_the_congestion_level() -> None:
    h = Harness(server_settings(2, circuits=4))
    h.activate_links()
    h.announce_exchanges()

    def refuse(code: int, message: IsupMessage) -> None:
        if message.type == isup.IAM:
            h.timers.schedule(
                h.now + 20, lambda now: h.receive(2, rel(message.cic, causes.CONGESTION, retry=900))
            )

    h.on_sent = refuse
    h.receive(CALLERS_CODE_BASE, iam(1, "370020001"))
    h.advance(8_995)
    assert len([m for m in h.take_sent(2) if m.type == isup.IAM]) <= 4
    answer = take_one(h, CALLERS_CODE_BASE, isup.REL)
    assert isup.decode_cause(answer.parameters[isup.CAUSE_INDICATORS])[0] == causes.CONGESTION
    assert answer.parameters[isup.CONGESTION_LEVEL] == b"\2"
    assert 0 < isup.decode_user_words(answer.parameters[isup.USER_TO_USER])["retry"] <= 2_000


def test_dual_seizure_on_every_circuit_at_once_loses_no_call() -> None:
    """Both ends seize all circuits of the group at the same time; each call ends up on exactly one route."""
    h = Harness(server_settings(4, circuits=6, access=60))
    h.activate_links()
    h.announce_exchanges()
    for n in range(6):
        h.receive(CALLERS_CODE_BASE, iam(1 + n, "370020001", f"50{n}"))
    set_ups = [m for m in h.take_sent(2) if m.type == isup.IAM]
    assert (
        len(set_ups) == 4 and h.call_server.groups[2].free == 2
    )  # limited by the window; two circuits are left
    for cic in (m.cic for m in set_ups):
        h.receive(2, iam(cic, "370010001", f"60{cic}"))  # the far end's IAM crossed ours
    won = [m.cic for m in set_ups if h.call_server.groups[2].controls(m.cic)]
    lost = [m.cic for m in set_ups if m.cic not in won]
    assert lost, "exchange 1 has the lower point code and controls the odd circuits"
    assert h.call_server.counts["dual seizure lost"] == len(lost)
    assert h.call_server.counts["dual seizure won"] == len(won)
    # The far end's winning calls proceed to the own office.
    assert len([m for m in h.take_sent(OFFICE_CODE_BASE) if m.type == isup.IAM]) == len(lost)
    for call in h.call_server.calls.values():
        assert call.outgoing_leg is None or call.outgoing_leg.call is call
    h.advance(20)
    legs = [
        call.outgoing_leg
        for call in h.call_server.calls.values()
        if call.outgoing_leg is not None and not call.terminates_here
    ]
    assert len({leg.cics for leg in legs}) == len(legs)


def test_an_answer_after_the_caller_released_changes_nothing(h: Harness) -> None:
    h.receive(CALLERS_CODE_BASE, iam(1, "370020001"))
    set_up = take_one(h, 2, isup.IAM)
    h.receive(CALLERS_CODE_BASE, rel(1, causes.NORMAL_CLEARING))
    assert [m.type for m in h.take_sent(CALLERS_CODE_BASE)] == [isup.RLC]
    take_one(h, 2, isup.REL)
    h.receive(2, IsupMessage(set_up.cic, isup.ACM, ACM_PARAMETERS))  # crosses our REL
    h.receive(2, IsupMessage(set_up.cic, isup.ANM))
    assert not h.take_sent(CALLERS_CODE_BASE) and not h.call_server.calls
    h.receive(2, IsupMessage(set_up.cic, isup.RLC))
    assert h.call_server.groups[2].free == 4


def test_a_caller_release_that_crosses_the_answer_yields_one_final_answer(h: Harness) -> None:
    for first in ("answer", "release"):
        h.receive(CALLERS_CODE_BASE, iam(1, "370020001"))
        set_up = take_one(h, 2, isup.IAM)
        steps = [
            (2, IsupMessage(set_up.cic, isup.ACM, ACM_PARAMETERS)),
            (CALLERS_CODE_BASE, rel(1, causes.NORMAL_CLEARING)),
        ]
        for code, message in steps if first == "answer" else reversed(steps):
            h.receive(code, message)
        sent = [m.type for m in h.take_sent(CALLERS_CODE_BASE)]
        assert sent == ([isup.ACM, isup.RLC] if first == "answer" else [isup.RLC])
        take_one(h, 2, isup.REL)
        h.receive(2, IsupMessage(set_up.cic, isup.RLC))
        assert h.call_server.groups[2].free == 4 and not h.call_server.calls


def test_a_timed_out_attempt_is_released_and_the_next_waits_for_the_release_time(h: Harness) -> None:
    h.receive(CALLERS_CODE_BASE, iam(1, "370020001"))
    take_one(h, 2, isup.IAM)
    sent: list[tuple[float, int]] = []
    h.on_sent = lambda code, message: sent.append((h.now, code)) if message.type == isup.IAM else None
    begun = h.now
    h.advance(2_100)
    released = [m for m in h.take_sent(2) if m.type == isup.REL]
    assert isup.decode_cause(released[0].parameters[isup.CAUSE_INDICATORS])[0] == causes.TIMER_EXPIRY
    h.advance(6_895)
    final = [m for m in h.take_sent(CALLERS_CODE_BASE) if m.type == isup.REL]
    assert len(final) == 1 and h.now - begun < 9_000
    assert all(at >= begun + 2_000 + 200 for at, _ in sent)


def test_a_circuit_without_rlc_stays_taken_until_it_is_reset_by_timers(h: Harness) -> None:
    h.receive(CALLERS_CODE_BASE, iam(1, "370020001"))
    set_up = take_one(h, 2, isup.IAM)
    h.receive(CALLERS_CODE_BASE, rel(1, causes.NORMAL_CLEARING))
    h.advance(299_000)
    kinds = [m.type for m in h.take_sent(2)]
    assert kinds.count(isup.REL) == 20 and isup.RSC not in kinds  # T1 every 15 s
    h.advance(20_000)
    resets = [m.cic for m in h.take_sent(2) if m.type == isup.RSC]
    assert resets == [set_up.cic] * 2 and h.call_server.groups[2].free == 3  # RSC is repeated by T16
    h.receive(2, IsupMessage(set_up.cic, isup.RLC))
    assert h.call_server.groups[2].free == 4


def test_a_lost_link_ends_its_calls_and_its_circuits_are_reset_when_it_returns(h: Harness) -> None:
    h.receive(CALLERS_CODE_BASE, iam(1, "370020001", "501"))
    established = take_one(h, 2, isup.IAM)
    h.receive(2, IsupMessage(established.cic, isup.ACM, ACM_PARAMETERS))
    h.receive(CALLERS_CODE_BASE, iam(2, "370020001", "502"))
    take_one(h, 2, isup.IAM)
    h.take_sent(CALLERS_CODE_BASE)
    h.call_server.link_down(h.now, 2, "dropped")
    assert h.call_server.groups[2].free == 0
    assert [m.cic for m in h.take_sent(CALLERS_CODE_BASE) if m.type == isup.REL] == [
        1
    ]  # the established call was cut
    begun = h.now
    h.advance(300)
    retried = [m for code in (3, 4) for m in h.take_sent(code) if m.type == isup.IAM]
    # The pending call is tried on another route, after the release time.
    assert len(retried) == 1 and h.now - begun >= 200
    h.call_server.link_up(h.now, 2, h.links[2])
    assert take_one(h, 2, isup.GRS).cic == 1 and h.call_server.groups[2].free == 0
    h.receive(
        2,
        IsupMessage(
            1, isup.GRA, {isup.RANGE_STATUS: isup.encode_range_status(4, [False, True, False, False])}
        ),
    )
    assert h.call_server.groups[2].free == 3  # one is blocked at the far end


def test_blocking_by_either_end_keeps_the_free_count_exact(h: Harness) -> None:
    group = h.call_server.groups[2]
    h.call_server.set_circuit_blocking(h.now, 2, 3, True)
    take_one(h, 2, isup.BLO)
    h.receive(2, IsupMessage(3, isup.BLA))
    octets = isup.encode_range_status(2, [True, False])
    h.receive(2, IsupMessage(1, isup.CGB, {isup.GROUP_SUPERVISION: b"\0", isup.RANGE_STATUS: octets}))
    take_one(h, 2, isup.CGBA)
    assert group.free == 2
    h.receive(2, IsupMessage(3, isup.BLO))
    h.call_server.set_circuit_blocking(h.now, 2, 3, False)
    assert group.free == 2  # still blocked by the far end
    h.receive(2, IsupMessage(3, isup.UBL))
    h.receive(2, IsupMessage(1, isup.CGU, {isup.GROUP_SUPERVISION: b"\0", isup.RANGE_STATUS: octets}))
    assert group.free == 4


def test_a_transit_call_is_forwarded_or_turned_back_at_once(h: Harness) -> None:
    h.receive(2, iam(1, "370030001", left=2_000))
    assert take_one(h, 3, isup.IAM).parameters[isup.HOP_COUNTER] == b"\2"
    for cic in range(1, 5):
        h.receive(4, IsupMessage(cic, isup.BLO))
    h.receive(2, iam(2, "370040001", left=2_000))
    answer = take_one(h, 2, isup.REL)
    assert isup.decode_cause(answer.parameters[isup.CAUSE_INDICATORS])[0] == causes.NO_CIRCUIT
    assert isup.decode_point_code(answer.parameters[isup.SIGNALLING_POINT_CODE]) == 1


def test_a_draining_exchange_gets_no_new_calls(h: Harness) -> None:
    h.announce_exchanges(2, m3ua.DRST, 2)
    h.advance(300)
    h.receive(CALLERS_CODE_BASE, iam(1, "370020001"))
    assert (
        isup.decode_cause(take_one(h, CALLERS_CODE_BASE, isup.REL).parameters[isup.CAUSE_INDICATORS])[0]
        == causes.DESTINATION_OUT_OF_ORDER
    )
    assert not [m for code in (2, 3, 4) for m in h.take_sent(code) if m.type == isup.IAM]


def test_stopping_blocks_the_groups_answers_pending_calls_and_clears_the_rest(h: Harness) -> None:
    h.receive(CALLERS_CODE_BASE, iam(1, "370020001", "501"))
    set_up = take_one(h, 2, isup.IAM)
    h.call_server.stop(h.now)
    assert [m.type for m in h.take_sent(3)] == [isup.CGB]
    h.receive(CALLERS_CODE_BASE, iam(2, "370020001", "502"))  # its IAM crossed the blocking
    h.receive(2, IsupMessage(set_up.cic, isup.ACM, ACM_PARAMETERS))
    assert isup.ACM in [m.type for m in h.take_sent(CALLERS_CODE_BASE)]
    h.call_server.release_all(h.now)
    assert isup.REL in [m.type for m in h.take_sent(CALLERS_CODE_BASE)] and not h.call_server.calls


def test_the_controller_always_knows_the_exact_number_of_free_circuits(h: Harness) -> None:
    """After every call of a random run the controller and the trunk groups have the same figures."""
    rng = random.Random(3)
    busy_cics: list[int] = []
    for serial in range(300):
        cic = rng.choice([c for c in range(1, 32) if c not in busy_cics])
        busy_cics.append(cic)
        h.receive(CALLERS_CODE_BASE, iam(cic, f"3700{rng.choice((2, 3, 4))}0001", f"50{serial:05d}"))
        for code in (2, 3, 4):
            for message in h.take_sent(code):
                if message.type == isup.IAM:
                    h.receive(code, IsupMessage(message.cic, isup.ACM, ACM_PARAMETERS))
                elif message.type == isup.REL:
                    h.receive(code, IsupMessage(message.cic, isup.RLC))
        h.advance(rng.random() * 50)
        for message in h.take_sent(CALLERS_CODE_BASE):
            if message.type == isup.REL:
                h.receive(CALLERS_CODE_BASE, IsupMessage(message.cic, isup.RLC))
                busy_cics.remove(message.cic)
        while len(busy_cics) > 8:
            ended = busy_cics.pop(0)
            h.receive(CALLERS_CODE_BASE, rel(ended, causes.NORMAL_CLEARING))
        for code in (2, 3, 4):
            reported = h.call_server.controller.exchanges[code].free
            assert reported == h.call_server.groups[code].free, f"exchange {code} after {serial} calls"


@pytest.mark.parametrize("width", [1, 2])
def test_exactly_one_end_loses_a_dual_seizure(width: int) -> None:
    low = TrunkGroup("g", tuple(range(1, 16)), 1, 2, set())
    high = TrunkGroup("g", tuple(range(1, 16)), 2, 1, set())
    for cic in range(1, 14):
        own_cics = tuple(range(cic, cic + width))
        for shift in range(-width + 1, width):
            peer_cics = tuple(c + shift for c in own_cics)
            if min(peer_cics) > 0:
                assert low.loses_dual_seizure(own_cics, peer_cics) != high.loses_dual_seizure(
                    peer_cics, own_cics
                )
    assert low.loses_dual_seizure((1,), (1, 2)) and not low.loses_dual_seizure((1, 2), (2,))


def test_selection_prefers_the_longest_idle_circuits_this_end_controls() -> None:
    group = TrunkGroup("g", (1, 2, 3, 4), 1, 2, set())
    for circuit in group.circuits.values():
        group.set_state(circuit, CircuitState.IDLE)
    assert [group.select(1), group.select(2)] == [(1,), (1, 2)]
    group.set_state(group.circuits[1], CircuitState.SEIZED)
    assert group.select(1) == (3,) and group.free == 3
    assert contiguous_ranges([1, 2, 3, 7, *range(33, 70)]) == [(1, 3), (7, 1), (33, 32), (65, 5)]


def send_unit(h: Harness, point_code: int, subsystem: int, body: bytes) -> None:
    unit = sccp.encode(subsystem, body)
    h.call_server.receive_data(h.now, point_code, m3ua.Data(point_code, 1, m3ua.SI_SCCP, 2, 0, 0, unit))


def test_peer_messages_and_the_centre_s_advice_reach_the_controller() -> None:
    settings = server_settings(4, circuits=4)
    centre = Peer("centre", "centre", CENTRE_POINT_CODE, 4, dial_address=("127.0.0.1", 1))
    h = Harness(replace(settings, peers=(*settings.peers, centre), advice=True))
    h.activate_links()
    h.announce_exchanges()
    for cic in (1, 2, 3, 4):
        h.receive(2, IsupMessage(cic, isup.BLO))  # no direct circuit to exchange 2
    # Exchange 3 reports that it cannot reach exchange 2 either.
    send_unit(h, 3, sccp.PEER_SUBSYSTEM, b"\3\0" + (1 << 2).to_bytes(1, "little"))
    h.take_sent(3)
    for serial in range(3):
        h.receive(CALLERS_CODE_BASE, iam(1 + serial, "370020001", f"50{serial}"))
        h.advance(20)
    assert not [m for m in h.take_sent(3) if m.type == isup.IAM]
    assert len([m for m in h.take_sent(4) if m.type == isup.IAM]) >= 1
    advised: list[int] = []
    handle = h.call_server.controller.handle

    def recording(now: float, event: Event) -> list[Action]:
        if isinstance(event, Request):
            advised.append(event.via)
        return handle(now, event)

    h.call_server.controller.handle = recording  # type: ignore[method-assign]
    send_unit(h, CENTRE_POINT_CODE, sccp.CENTRE_SUBSYSTEM, bytes((2, 4, 3, 255)))
    send_unit(h, 3, sccp.CENTRE_SUBSYSTEM, bytes((2, 3)))  # ignored: only the centre may advise
    h.receive(CALLERS_CODE_BASE, iam(7, "370020001", "507"))
    h.receive(CALLERS_CODE_BASE, iam(8, "370030001", "508"))
    assert advised == [4, -1]


def test_servers_report_free_circuits_to_each_other_and_to_the_centre() -> None:
    settings = server_settings(3, circuits=4)
    centre = Peer("centre", "centre", CENTRE_POINT_CODE, 4, dial_address=("127.0.0.1", 1))
    limits = replace(settings.limits, peer_messages=True)
    h = Harness(replace(settings, peers=(*settings.peers, centre), limits=limits))
    sent: list[tuple[int, int, bytes]] = []
    for code, wire in h.links.items():
        send_data = wire.send_data

        def record(
            service: int, sls: int, body: bytes, code: int = code, send_data: SendData = send_data
        ) -> None:
            if service == m3ua.SI_SCCP:
                sent.append((code, *sccp.decode(body)))
            send_data(service, sls, body)

        wire.send_data = record  # type: ignore[method-assign]
    h.activate_links()
    h.announce_exchanges()
    h.advance(8_000)
    peers = {code for code, subsystem, _ in sent if subsystem == sccp.PEER_SUBSYSTEM}
    assert peers == {2, 3}
    reports = [
        body
        for code, subsystem, body in sent
        if (code, subsystem) == (CENTRE_POINT_CODE, sccp.CENTRE_SUBSYSTEM)
    ]
    assert len(reports) >= 7 and reports[-1] == bytes((1, 2, 0, 4, 3, 0, 4))


def test_an_empty_optional_parameter_counts_as_absent_and_leaks_no_call(h: Harness) -> None:
    message = iam(1, "370030001")
    message.parameters |= {isup.HOP_COUNTER: b"", isup.USER_TO_USER: b"", isup.SIGNALLING_POINT_CODE: b""}
    h.receive(2, message)
    assert take_one(h, 3, isup.IAM).parameters[isup.HOP_COUNTER] == b"\2"
    looping = iam(2, "370030001")
    looping.parameters[isup.HOP_COUNTER] = b"\0"
    h.receive(2, looping)
    assert (
        isup.decode_cause(take_one(h, 2, isup.REL).parameters[isup.CAUSE_INDICATORS])[0]
        == causes.EXCHANGE_ROUTING_ERROR
    )


def test_a_blocking_removed_before_its_acknowledgement_is_not_repeated(h: Harness) -> None:
    h.call_server.set_circuit_blocking(h.now, 2, 3, True)
    h.call_server.set_circuit_blocking(h.now, 2, 3, False)
    h.take_sent(2)
    h.advance(40_000)
    assert {m.type for m in h.take_sent(2)} == {isup.UBL} and h.call_server.groups[2].free == 4
    h.receive(2, IsupMessage(3, isup.UBA))
    h.advance(40_000)
    assert not h.take_sent(2)


def blocked_by(message: IsupMessage) -> list[int]:
    """The circuits that a CGB blocks."""
    count, status = isup.decode_range_status(message.parameters[isup.RANGE_STATUS])
    return [message.cic + offset for offset in range(count) if status[offset]]


def test_a_repeated_group_blocking_leaves_out_the_circuits_unblocked_since(h: Harness) -> None:
    """Guards against a repeated CGB that undoes a UBL at the far end."""
    group = h.call_server.groups[2]
    h.call_server.supervision.block_all(h.now, group)
    assert blocked_by(take_one(h, 2, isup.CGB)) == [1, 2, 3, 4]
    h.call_server.set_circuit_blocking(h.now, 2, 3, False)
    h.receive(2, IsupMessage(3, isup.UBA))
    h.take_sent(2)
    h.advance(40_000)
    repeated = [message for message in h.take_sent(2) if message.type == isup.CGB]
    assert repeated and all(blocked_by(message) == [1, 2, 4] for message in repeated)
    for cic in (1, 2, 4):
        h.call_server.set_circuit_blocking(h.now, 2, cic, False)
        h.receive(2, IsupMessage(cic, isup.UBA))
    h.take_sent(2)
    h.advance(40_000)
    assert not h.take_sent(2) and group.free == 4


def test_a_group_blocking_ends_the_repetition_of_an_earlier_unblocking(h: Harness) -> None:
    """Guards against a repeated UBL that undoes a CGB at the far end."""
    h.call_server.set_circuit_blocking(h.now, 2, 3, False)
    h.call_server.supervision.block_all(h.now, h.call_server.groups[2])
    h.take_sent(2)
    h.advance(40_000)
    assert {message.type for message in h.take_sent(2)} == {isup.CGB}
