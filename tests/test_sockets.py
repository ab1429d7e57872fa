"""Failures of links, offices and call servers on real loopback sockets.

Guards against circuits that stay seized after a failure, calls answered twice, and faults at the stand-ins.
"""

from __future__ import annotations

import contextlib
import socket
import time
from pathlib import Path

import pytest

from ospreybridge.lab import relay
from ospreybridge.signalling import isup, m3ua
from tests.fleet import connect, fleet


def answered(counts: dict[str, int]) -> int:
    """Number of calls answered, in time or late."""
    return counts.get("in time", 0) + counts.get("late", 0)


def test_calls_between_all_exchanges_are_answered_and_released(tmp_path: Path) -> None:
    with fleet(tmp_path) as f:
        for serial in range(12):
            f.call(1 + serial % 3, 1 + (serial + 1) % 3, serial)
        f.run_until(lambda: answered(f.tally) == 12)
        f.hang_up_all()
        f.run_until(f.all_circuits_free)
        # Each call is counted at both of its ends.
        assert sum(server.finals["stands"] for server in f.call_servers.values()) == 24
        assert not any(end.protocol_errors for end in [*f.offices.values(), *f.callers.values()])


def test_full_trunk_group_overflows_over_a_tandem_whose_own_controller_routes_on(tmp_path: Path) -> None:
    with fleet(tmp_path, group=4) as f:
        for serial in range(4):
            f.call(1, 2, serial)
            f.run_until(lambda n=serial: answered(f.tally) == n + 1)  # type: ignore[misc]
        f.call(1, 2, 4)
        f.run_until(lambda: answered(f.tally) == 5)
        assert f.call_servers[3].finals["stands"] == 1 and f.call_servers[1].groups[3].free == 3
        f.hang_up_all()
        f.run_until(f.all_circuits_free)


def test_an_association_drops_with_calls_pending_and_returns(tmp_path: Path) -> None:
    with fleet(tmp_path) as f:
        f.call(1, 2, 0)
        f.run_until(lambda: answered(f.tally) == 1)
        f.offices[2].hung = True
        f.call(1, 2, 1)
        f.run_until(lambda: f.call_servers[2].finals["stands"] == 1 and len(f.call_servers[2].calls) == 2)
        f.fronts[1].links[2].current.drop("cut by the test")
        f.run_until(lambda: f.tally["cut"] == 1)  # the established call is lost
        f.offices[2].hung = False
        f.run_until(lambda: answered(f.tally) == 2)  # the pending one is set up again
        assert f.call_servers[1].finals["stands"] == 2
        f.run_until(lambda: 2 in f.call_servers[1].links and f.call_servers[1].groups[2].free >= 5)
        f.hang_up_all()
        f.run_until(f.all_circuits_free)


def test_an_office_that_answers_after_the_caller_gave_up(tmp_path: Path) -> None:
    with fleet(tmp_path) as f:
        f.offices[2].slowdown = 2_000.0  # a set-up takes about a second
        f.call(1, 2, 0)
        f.run_until(lambda: len(f.call_servers[2].calls) == 1)
        intent = next(iter(f.callers[1].intent_by_circuit.values()))
        f.callers[1]._hang_up(f.loop.now, intent)
        f.run_until(f.all_circuits_free)
        f.loop.run_until(lambda: f.offices[2].idle_at < f.loop.now, 5_000)
        f.loop.run_until(lambda: False, 100)
        assert answered(f.tally) == 0 and not f.call_servers[1].calls and not f.call_servers[2].calls
        assert not f.callers[1].protocol_errors


def test_rel_crosses_acm(tmp_path: Path) -> None:
    """The caller hangs up while the answer is on its way: both sides must agree that the call has ended."""
    with fleet(tmp_path) as f:
        for serial in range(40):
            f.call(1, 2, serial)
            loop_runs = serial % 8
            for _ in range(loop_runs):
                f.loop.run_once(1.0)
            for intent in list(f.callers[1].intent_by_circuit.values()):
                f.callers[1]._hang_up(f.loop.now, intent)
            f.run_until(f.all_circuits_free)
        assert not f.callers[1].protocol_errors and not f.offices[2].protocol_errors


def test_dual_seizure_on_every_circuit_at_once(tmp_path: Path) -> None:
    with fleet(tmp_path, size=2, group=8) as f:
        for round_ in range(3):
            before = answered(f.tally)
            for serial in range(4):
                f.call(1, 2, round_ * 20 + serial)
                f.call(2, 1, round_ * 20 + 10 + serial)
            f.run_until(lambda n=before: answered(f.tally) == n + 8)  # type: ignore[misc]
            f.hang_up_all()
            f.run_until(f.all_circuits_free)
        assert f.tally["unserved"] == 0


def test_a_restarted_call_server_regains_its_circuits_and_no_call_is_answered_twice(tmp_path: Path) -> None:
    with fleet(tmp_path) as f:
        for serial in range(4):
            f.call(1, 2, serial)
            f.call(3, 2, 10 + serial)
        f.run_until(lambda: answered(f.tally) == 8)
        f.kill(2)
        f.run_until(lambda: f.tally["cut"] == 8)
        assert f.call_servers[1].groups[2].free == 0
        f.start(2)
        f.run_until(f.ready)
        assert answered(f.tally) == 8 and f.tally["cut"] == 8
        f.call(1, 2, 20)
        f.run_until(lambda: answered(f.tally) == 9)


def test_a_tandem_drains_during_a_set_up(tmp_path: Path) -> None:
    with fleet(tmp_path, group=4) as f:
        for serial in range(4):
            f.call(1, 2, serial)
            f.run_until(lambda n=serial: answered(f.tally) == n + 1)  # type: ignore[misc]
        f.offices[2].slowdown = 400.0
        f.call(1, 2, 4)  # over exchange 3
        f.run_until(lambda: len(f.call_servers[3].calls) == 1)
        f.exchange_list.update(3, m3ua.DRST)
        f.run_until(lambda: answered(f.tally) == 5)  # the set-up in progress still succeeds
        f.loop.run_until(lambda: False, 300.0)
        before = f.call_servers[3].last_ref
        f.call(1, 2, 5)
        f.run_until(lambda: f.tally["unserved"] == 1, 12_000)
        assert f.call_servers[3].last_ref == before  # no new attempt went over it


def test_an_incomplete_frame_followed_by_silence_ends_that_connection_only(tmp_path: Path) -> None:
    with fleet(tmp_path) as f:
        sock = connect(f.ports[1])
        sock.send(m3ua.encode(m3ua.ASPUP, [(m3ua.ASP_ID, m3ua.uint32(2_001))])[:11])
        f.call(1, 2, 0)
        f.run_until(lambda: answered(f.tally) == 1)
        f.run_until(lambda: closed_by_peer(sock), 4_000)
        assert f.callers[1].up
        sock.close()


def closed_by_peer(sock: object) -> bool:
    """Whether the peer has closed or reset the connection of this non-blocking socket."""
    try:
        return sock.recv(4_096) == b""  # type: ignore[attr-defined,no-any-return]
    except BlockingIOError:
        return False
    except ConnectionError:
        return True


def test_a_peer_that_never_reads_is_dropped_without_harm_to_others(tmp_path: Path) -> None:
    with fleet(tmp_path) as f:
        channel = f.channel(1, 2)
        channel.stream.max_unsent_bytes = 20_000
        far_channel = f.channel(2, 1)
        f.loop.readers.pop(far_channel.stream.fd)  # exchange 2 stops reading
        f.loop._update_registration(far_channel.stream.fd)
        for _ in range(200_000):
            if channel.stream.closed:
                break
            channel.send(m3ua.encode(m3ua.BEAT, [(m3ua.HEARTBEAT_DATA, b"x" * 2_000)]))
            channel.stream.flush()
        assert channel.stream.closed
        f.call(1, 3, 0)
        f.run_until(lambda: answered(f.tally) == 1)


@pytest.mark.parametrize(
    "garbage",
    [
        b"\x02\x00\x01\x01\x00\x00\x00\x10" + b"\0" * 8,
        b"\x01\x00\x01\x01\xff\xff\xff\xff",
        b"GET / HTTP/1.1\r\n\r\n",
    ],
    ids=["wrong version", "4 GiB", "http"],
)
def test_an_invalid_stream_gets_err_and_ends_its_own_connection_only(tmp_path: Path, garbage: bytes) -> None:
    with fleet(tmp_path) as f:
        f.call(1, 2, 0)
        sock = connect(f.ports[1])
        sock.send(garbage)
        received = bytearray()

        def closed() -> bool:
            try:
                data = sock.recv(4_096)
            except BlockingIOError:
                return False
            except ConnectionError:
                return True
            received.extend(data)
            return not data

        f.run_until(closed)
        sock.close()
        message = m3ua.decode(m3ua.Splitter().feed(bytes(received))[0])
        assert isinstance(message, m3ua.Message) and message.kind == m3ua.ERR
        f.run_until(lambda: answered(f.tally) == 1)


def test_unknown_identifiers_and_routing_contexts_get_err_without_harm_to_calls(tmp_path: Path) -> None:
    with fleet(tmp_path) as f:
        codes: list[int | None] = []
        sock = connect(f.ports[1])
        splitter = m3ua.Splitter()

        def received_errors(count: int) -> bool:
            try:
                frames = splitter.feed(sock.recv(4_096))
            except BlockingIOError:
                return False
            for frame in frames:
                message = m3ua.decode(frame)
                if isinstance(message, m3ua.Message) and message.kind == m3ua.ERR:
                    codes.append(message.integer(m3ua.ERROR_CODE))
            return len(codes) >= count

        unexpected_data = m3ua.encode_data(m3ua.Data(77, 1, 5, 2, 0, 1, b"\1\0\x12", 5))
        sock.send(
            m3ua.encode(m3ua.ASPUP, [(m3ua.ASP_ID, m3ua.uint32(77))])
            + m3ua.encode(m3ua.ASPUP)
            + unexpected_data
        )
        f.run_until(lambda: received_errors(3))
        assert codes == [m3ua.INVALID_ASP_ID, m3ua.ASP_ID_REQUIRED, m3ua.UNEXPECTED_MESSAGE]
        sock.close()
        association = f.callers[1].association
        assert association is not None
        before = association.state
        association.send(m3ua.encode_data(m3ua.Data(2_001, 1, 5, 2, 0, 1, b"\1\0\x12", 4_711)))
        association.send(m3ua.encode((9, 9)))
        f.run_until(lambda: len(f.callers[1].protocol_errors) == 2)
        assert f.callers[1].protocol_errors == ["ERR 25", "ERR 3"] and association.state is before
        f.call(1, 2, 0)
        f.run_until(lambda: answered(f.tally) == 1)


def test_clock_jumps_are_tolerated(tmp_path: Path) -> None:
    """The clock jumps ahead by 1 s, then back by 0.5 s: calls go on, the loop's time never goes back."""
    shift = 0.0

    def clock() -> float:
        return time.monotonic() + shift

    with fleet(tmp_path, clock=clock) as f:
        f.call(1, 2, 0)
        f.run_until(lambda: answered(f.tally) == 1)
        shift = 1.0
        f.call(1, 2, 1)
        f.run_until(lambda: answered(f.tally) == 2)
        latest = f.loop.now
        shift = 0.5
        f.call(1, 2, 2)
        f.run_until(lambda: answered(f.tally) == 3)
        assert f.loop.now >= latest
        f.hang_up_all()
        f.run_until(f.all_circuits_free)


def test_unreadable_isup_messages_are_answered_by_cfn_and_calls_go_on(tmp_path: Path) -> None:
    with fleet(tmp_path) as f:
        f.call(1, 2, 0)
        f.run_until(lambda: answered(f.tally) == 1)
        association = f.callers[1].association
        assert association is not None
        seen: list[int] = []
        f.callers[1].on_isup = lambda message: seen.append(message.type)  # type: ignore[method-assign]
        association.send_data(m3ua.SI_ISUP, 1, b"\x05\x00\xee")
        association.send_data(m3ua.SI_ISUP, 1, b"\x05\x00\x01\x00")
        f.run_until(lambda: seen == [isup.CFN, isup.CFN])
        assert f.call_servers[1].finals["stands"] == 1 and len(f.call_servers[1].calls) == 1


@pytest.mark.parametrize("delay", [0.0, 20.0])
def test_a_stalled_link_cuts_a_frame_in_two_and_delivers_the_rest_later(tmp_path: Path, delay: float) -> None:
    """Guards against the trouble half-frame holding whole frames back."""
    created = relay.Relay(tmp_path / "tap", 1)
    link = created.links[1, 2] = relay.Link(created, 1, 2, delay, 0)
    frames = [m3ua.encode(m3ua.BEAT, [(m3ua.HEARTBEAT_DATA, bytes(16))]) for _ in range(4)]
    with socket.create_server(("127.0.0.1", 0)) as server:
        created.ports[2] = server.getsockname()[1]
        with socket.create_connection(("127.0.0.1", link.port)) as near:
            created.loop.run_until(lambda: link.connection is not None, 5_000.0)
            far = server.accept()[0]
            far.setblocking(False)
            received = b""

            def arrived(count: int) -> bool:
                nonlocal received
                with contextlib.suppress(BlockingIOError):
                    received += far.recv(4_096)
                return len(received) >= count

            near.send(frames[0])
            assert created.loop.run_until(lambda: arrived(len(frames[0])), 5_000.0)
            created.execute({"do": "stall", "a": 1, "b": 2})
            near.send(frames[1] + frames[2])
            whole = len(frames[0] + frames[1])
            assert created.loop.run_until(lambda: arrived(whole + 1), 5_000.0)
            near.send(frames[3])
            assert not created.loop.run_until(lambda: arrived(whole + len(frames[2])), 100.0)
            created.execute({"do": "heal", "a": 1, "b": 2})
            assert created.loop.run_until(lambda: arrived(len(b"".join(frames))), 5_000.0)
            assert received == b"".join(frames)
            far.close()
    created.tap.close()
    created.loop.close()


def test_the_relay_reads_cic_message_type_and_service_indicator_from_a_frame() -> None:
    message = isup.IsupMessage(0x123, isup.RLC)
    frame = m3ua.encode_data(m3ua.Data(1, 2, m3ua.SI_ISUP, 2, 0, 3, isup.encode(message), 9))
    assert relay._frame_cic(frame) == 0x123
    assert (frame[relay.SERVICE_INDICATOR_OFFSET], frame[relay.MESSAGE_TYPE_OFFSET]) == (
        m3ua.SI_ISUP,
        isup.RLC,
    )
