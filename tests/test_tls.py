"""Links over TLS on loopback: which peers are refused, for which reason, while calls on other links go on."""

from __future__ import annotations

import os
import socket
import ssl
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from OpenSSL import SSL

from ospreybridge.core.handshakes import HandshakeScheduler
from ospreybridge.keys.authority import CertificateAuthority
from ospreybridge.keys.certificate_info import CLIENT_AUTH, SERVER_AUTH
from ospreybridge.keys.validation import FailureReason
from ospreybridge.net import tcp, tls
from ospreybridge.net.loop import Task
from ospreybridge.signalling import m3ua
from tests.clocks import ClockWithoutStops
from tests.fleet import Fleet, connect, fleet, standin_contexts
from tests.test_sockets import answered, closed_by_peer


def unchecked_context(folder: Path, file: str, server: bool = False) -> ssl.SSLContext:
    """A context without any checks, for a peer that presents whatever certificate the files hold."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER if server else ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    context.set_ciphers("DEFAULT:@SECLEVEL=0")
    if file:
        context.load_cert_chain(folder / f"{file}.crt", folder / f"{file}.key")
    return context


def issue_bad_certificate(f: Fleet, reason: FailureReason) -> str:
    """Issues a certificate that is refused for this reason; returns the file stem."""
    assert f.authority is not None
    authority, names = f.authority, ["standins.test", "cs2.test"]
    match reason:
        case FailureReason.WRONG_NAME:
            authority.issue("bad", ["mallory.test"], common_name="standins.test")
        case FailureReason.UNKNOWN_ISSUER:
            CertificateAuthority.create(f.folder / "other", 9.0).issue("bad", names)
            for suffix in ("crt", "key"):
                (f.folder / "other" / f"bad.{suffix}").rename(f.folder / f"bad.{suffix}")
        case FailureReason.EXPIRED:
            authority.issue("bad", names, days=-0.5, starts_in_days=-1.0)
        case FailureReason.NOT_YET_VALID:
            authority.issue("bad", names, days=3.0, starts_in_days=1.0)
        case FailureReason.REVOKED:
            authority.write_revocation_list([authority.issue("bad", names).serial_number])
            f.run_until(
                lambda: all(
                    front.credentials and front.credentials.contexts.credentials.revoked
                    for front in f.fronts.values()
                )
            )
        case FailureReason.WEAK_KEY:
            authority.issue("bad", names, rsa_bits=1_024)
    return "bad"


def handshake_and_wait(
    f: Fleet, sock: socket.socket, wrap: Callable[[socket.socket], ssl.SSLSocket], results: list[str]
) -> Task:
    """Makes a handshake on one connection, waits for its end and appends the reason to `results`."""
    try:
        tls_socket = yield from tls.handshake(f.loop, sock, wrap, HandshakeScheduler(1, 0), 2_000.0)
    except tls.HandshakeError as refused:
        results.append(str(refused.reason))
        return
    stream = tls.TlsStream(f.loop, tls_socket)
    stream.on_close = results.append
    if not (yield from stream.read()):
        stream.close("the call server closed")


def connect_repeatedly(
    f: Fleet, context: ssl.SSLContext, port: int, results: list[str], count: int = 1
) -> None:
    """Connects `count` times one after the other; appends the result of each to `results`."""

    def wrap(sock: socket.socket) -> ssl.SSLSocket:
        return context.wrap_socket(sock, do_handshake_on_connect=False, suppress_ragged_eofs=False)

    def dial() -> Task:
        for _ in range(count):
            sock = yield from tcp.connect(f.loop, ("127.0.0.1", port), 2_000.0)
            yield from handshake_and_wait(f, sock, wrap, results)

    f.loop.spawn(dial())


def logged_refusals(f: Fleet, reason: FailureReason, at: int) -> list[dict[str, Any]]:
    """The refused handshakes that exchange `at` has logged with this reason."""
    return [
        record
        for record in f.log_records
        if record["event"] == "handshake refused" and record["reason"] == reason and record["at"] == at
    ]


CERTIFICATE_REASONS = [
    FailureReason.WRONG_NAME,
    FailureReason.UNKNOWN_ISSUER,
    FailureReason.EXPIRED,
    FailureReason.NOT_YET_VALID,
    FailureReason.REVOKED,
    FailureReason.WEAK_KEY,
]


@pytest.mark.parametrize(
    "reason", [*CERTIFICATE_REASONS, FailureReason.WRONG_PURPOSE, FailureReason.NO_CERTIFICATE]
)
def test_a_connecting_peer_with_a_bad_certificate_is_refused_with_the_reason_each_time(
    tmp_path: Path, reason: FailureReason
) -> None:
    with fleet(tmp_path, size=2, tls_options="") as f:
        assert f.authority is not None
        file = issue_bad_certificate(f, reason)
        if reason is FailureReason.WRONG_PURPOSE:
            f.authority.issue(file, ["standins.test"], purposes=(SERVER_AUTH,))
        context = unchecked_context(tmp_path, "" if reason is FailureReason.NO_CERTIFICATE else file)
        results: list[str] = []
        connect_repeatedly(f, context, f.ports[1], results, 3)
        f.run_until(lambda: len(results) == 3 and f.fronts[1].counts[f"tls {reason}"] == 3)
        assert len(logged_refusals(f, reason, 1)) == 3
        f.call(1, 2, 0)
        f.run_until(lambda: answered(f.tally) == 1)


@pytest.mark.parametrize("reason", [*CERTIFICATE_REASONS, FailureReason.WRONG_PURPOSE])
def test_a_dialled_peer_with_a_bad_certificate_is_refused_with_the_reason(
    tmp_path: Path, reason: FailureReason
) -> None:
    with fleet(tmp_path, size=2, tls_options="") as f:
        assert f.authority is not None
        file = issue_bad_certificate(f, reason)
        if reason is FailureReason.WRONG_PURPOSE:
            f.authority.issue(file, ["cs2.test"], purposes=(CLIENT_AUTH,))
        context = unchecked_context(tmp_path, file, server=True)
        f.kill(2)
        listener = tcp.listen(("127.0.0.1", f.ports[2]))
        results: list[str] = []

        def wrap(plain: socket.socket) -> ssl.SSLSocket:
            return context.wrap_socket(plain, server_side=True, do_handshake_on_connect=False)

        def accepted(sock: socket.socket) -> None:
            f.loop.spawn(handshake_and_wait(f, sock, wrap, results))

        f.loop.spawn(tcp.accept_connections(f.loop, listener, accepted))
        f.run_until(lambda: f.fronts[1].counts[f"tls {reason}"] >= 2)
        assert logged_refusals(f, reason, 1)[0]["peer"] == "cs2" and 2 not in f.call_servers[1].links
        f.loop.unregister(listener.fileno())
        listener.close()


class StoppingClock:
    """The machine's clock, with a stop of 2.5 s of the process when `stop` is called."""

    def __init__(self) -> None:
        self.stopped_s = 0.0

    def __call__(self) -> float:
        return time.monotonic() + self.stopped_s

    def stop(self) -> None:
        self.stopped_s += 2.5


def test_a_stop_of_the_process_refuses_no_handshake(tmp_path: Path) -> None:
    """Guards the test of a thousand wrong names against a stop of the machine, which ended ten handshakes."""
    base = StoppingClock()
    with fleet(tmp_path, size=2, tls_options="", clock=ClockWithoutStops(base)) as f:
        context = unchecked_context(tmp_path, issue_bad_certificate(f, FailureReason.WRONG_NAME))
        results: list[str] = []
        for _ in range(10):
            connect_repeatedly(f, context, f.ports[1], results, 3)
        for finished in (5, 15):
            f.run_until(lambda n=finished: len(results) >= n)  # type: ignore[misc]
            base.stop()
        f.run_until(lambda: len(results) == 30)
        assert f.fronts[1].counts["tls wrong name"] == 30


def test_a_thousand_wrong_names_are_refused_while_calls_go_on(tmp_path: Path) -> None:
    with fleet(tmp_path, size=2, tls_options="", clock=ClockWithoutStops()) as f:
        context = unchecked_context(tmp_path, issue_bad_certificate(f, FailureReason.WRONG_NAME))
        results: list[str] = []
        for _ in range(10):
            connect_repeatedly(f, context, f.ports[1], results, 100)
        for serial in range(20):
            f.call(1, 2, serial)
            f.run_until(lambda n=serial: answered(f.tally) == n + 1)  # type: ignore[misc]
            f.hang_up_all()
        f.run_until(lambda: len(results) == 1_000, 600_000)
        counts = f.fronts[1].counts
        assert counts["tls wrong name"] + counts["tls no handshake slot"] == 1_000
        assert counts["tls no handshake slot"] == 0
        assert len(f.fronts[1].channels) == 4


def test_a_peer_can_not_identify_as_another_and_plain_connections_are_refused(tmp_path: Path) -> None:
    """A valid certificate with the ASP identifier of another peer is refused, and so is plain M3UA on the TLS
    port, and on the plain port from a peer that the settings require TLS of.
    """
    with fleet(tmp_path, size=2, tls_options="") as f:
        asp_up = m3ua.encode(m3ua.ASPUP, [(m3ua.ASP_ID, m3ua.uint32(2))])
        context = unchecked_context(tmp_path, "standins")
        before = f.fronts[1].links[2].current

        def identify_as_exchange_2() -> Task:
            sock = yield from tcp.connect(f.loop, ("127.0.0.1", f.ports[1]), 2_000.0)
            tls_socket = yield from tls.handshake(
                f.loop,
                sock,
                lambda s: context.wrap_socket(s, do_handshake_on_connect=False),
                HandshakeScheduler(1, 0),
                2_000.0,
            )
            streams.append(tls.TlsStream(f.loop, tls_socket))
            streams[0].write(asp_up)

        streams: list[tls.TlsStream] = []
        f.loop.spawn(identify_as_exchange_2())
        f.run_until(lambda: f.fronts[1].counts["tls wrong name"] == 1)
        plain = connect(f.ports[1])
        plain.send(asp_up)
        f.run_until(lambda: f.fronts[1].counts["tls not TLS"] == 1 and closed_by_peer(plain))
        other = connect(f.fronts[1].port)
        other.send(asp_up)
        f.run_until(lambda: f.fronts[1].counts["tls plain where TLS is due"] == 1)
        assert f.fronts[1].links[2].current is before
        plain.close()
        other.close()


def test_peers_that_stall_in_the_handshake_do_not_block_the_slots(tmp_path: Path) -> None:
    with fleet(tmp_path, size=2, tls_options="slots=8") as f:
        partial_record = bytes.fromhex("16030102000100")
        max_pending = reconnects = 0
        for wave in range(10):
            socks = [connect(f.ports[2]) for _ in range(100)]
            for sock in socks:
                sock.send(partial_record)
            f.channel(1, 2).drop("cut by the test")  # exchange 1 must reconnect among them

            def reconnected() -> bool:
                nonlocal max_pending
                max_pending = max(max_pending, len(f.fronts[2].pending_handshakes))
                return 2 in f.call_servers[1].links and f.call_servers[1].groups[2].free == 6

            f.run_until(lambda: 2 not in f.call_servers[1].links)
            f.run_until(reconnected)
            reconnects += 1
            f.call(1, 2, wave)
            f.run_until(lambda n=wave: answered(f.tally) == n + 1)  # type: ignore[misc]
            f.hang_up_all()
            f.run_until(f.all_circuits_free)
            for sock in socks:
                sock.close()
        assert reconnects == 10 and max_pending <= 8
        counts = f.fronts[2].counts
        refused = sum(
            counts[f"tls {r}"]
            for r in (
                FailureReason.NO_HANDSHAKE_SLOT,
                FailureReason.HANDSHAKE_TIMEOUT,
                FailureReason.CLOSED_IN_HANDSHAKE,
            )
        )
        f.run_until(lambda: not f.fronts[2].pending_handshakes)
        assert refused >= 900


def test_old_versions_and_renegotiation_are_refused(tmp_path: Path) -> None:
    with fleet(tmp_path, size=2, tls_options="") as f:
        context = unchecked_context(tmp_path, "standins")
        context.maximum_version = ssl.TLSVersion.TLSv1_2
        results: list[str] = []
        connect_repeatedly(f, context, f.ports[1], results)
        f.run_until(lambda: f.fronts[1].counts[f"tls {FailureReason.NO_COMMON_VERSION}"] == 1)
        f.run_until(lambda: results == [FailureReason.NO_COMMON_VERSION])
    with fleet(tmp_path / "old", size=2, tls_options="allow-1.2=true") as f:
        client_context = SSL.Context(SSL.TLS_CLIENT_METHOD)
        client_context.set_max_proto_version(SSL.TLS1_2_VERSION)
        client_context.use_certificate_file(str(f.folder / "standins.crt"))
        client_context.use_privatekey_file(str(f.folder / "standins.key"))
        sock = connect(f.ports[1])
        client = SSL.Connection(client_context, sock)
        client.set_connect_state()

        def finishes(step: Callable[[], object]) -> Callable[[], bool]:
            def has_finished() -> bool:
                try:
                    step()
                except (SSL.WantReadError, SSL.WantWriteError):
                    return False
                return True

            return has_finished

        f.run_until(finishes(client.do_handshake))
        assert client.get_protocol_version_name() == "TLSv1.2"
        assert client.renegotiate()
        with pytest.raises(SSL.Error):
            f.run_until(finishes(client.do_handshake))
        f.call(1, 2, 0)
        f.run_until(lambda: answered(f.tally) == 1)
        sock.close()


def test_truncation_with_calls_pending_loses_no_answer(tmp_path: Path) -> None:
    """A connection that ends without close_notify is counted as truncated; pending calls are set up again."""
    with fleet(tmp_path, tls_options="") as f:
        f.offices[2].hung = True
        f.call(1, 2, 0)
        f.run_until(lambda: len(f.call_servers[2].calls) == 1)
        duplicate = socket.socket(fileno=os.dup(f.channel(2, 1).stream.fd))
        duplicate.shutdown(socket.SHUT_RDWR)
        duplicate.close()
        f.run_until(lambda: f.fronts[1].counts["tls truncated"] == 1)
        f.offices[2].hung = False
        f.run_until(lambda: answered(f.tally) == 1)
        assert f.call_servers[1].finals["stands"] == 1 and not f.callers[1].protocol_errors


def test_calls_survive_an_expired_certificate_and_renewal_restores_links(tmp_path: Path) -> None:
    with fleet(tmp_path, tls_options="") as f:
        assert f.authority is not None
        f.reissue_certificates(1, days=5.0)
        f.run_until(lambda: f.fronts[1].counts["links moved over"] == 2)
        for serial in range(3):
            f.call(1, 2, serial)
        f.run_until(lambda: answered(f.tally) == 3)
        f.wall_clock_offset_s = 6 * 86_400.0
        assert f.fronts[1].credentials is not None
        f.fronts[1].renewals.links[2].due = 0.0  # the move due now is refused; the link stays up
        f.run_until(lambda: len(logged_refusals(f, FailureReason.EXPIRED, 2)) >= 1)
        f.channel(1, 3).drop("cut by the test")
        f.run_until(lambda: len(logged_refusals(f, FailureReason.EXPIRED, 3)) >= 2)
        assert 3 not in f.call_servers[1].links and 2 in f.call_servers[1].links and f.tally["cut"] == 0
        f.call(1, 2, 5)
        f.run_until(lambda: answered(f.tally) == 4)
        assert any(record["event"] == "has ended" and record["at"] == 1 for record in f.log_records)
        f.reissue_certificates(1, days=25.0)
        f.run_until(lambda: 3 in f.call_servers[1].links, 15_000)
        f.run_until(
            lambda: f.channel(1, 2).handshake.credentials_digest == f.fronts[1].credentials.digest,  # type: ignore[union-attr]
            15_000,
        )
        assert f.tally["cut"] == 0 and answered(f.tally) == 4


def test_a_ticket_does_not_outlive_the_revocation_of_its_certificate(tmp_path: Path) -> None:
    with fleet(tmp_path, size=2, tls_options="") as f:
        assert f.authority is not None
        full_handshakes = f.fronts[1].counts["tls full"]
        f.channel(1, 2).drop("cut by the test")
        f.run_until(lambda: f.fronts[1].counts["tls resumed"] == 1 and 2 in f.call_servers[1].links)
        assert f.fronts[2].counts["tls resumed"] == 1 and f.fronts[1].counts["tls full"] == full_handshakes
        tls_socket = f.channel(2, 1).stream.sock
        assert isinstance(tls_socket, ssl.SSLSocket) and tls_socket.session_reused
        credentials = f.fronts[2].credentials
        assert credentials is not None
        serial = tls.peer_certificate(tls_socket).serial
        f.authority.write_revocation_list([serial])
        f.run_until(lambda: len(credentials.contexts.credentials.revoked) == 1)
        # The resumed connection would be refused as well if it were checked again.
        with pytest.raises(tls.HandshakeError, match="revoked"):
            credentials.verify_peer(tls_socket, False, list(f.fronts[2].settings.peers))
        f.channel(1, 2).drop("cut by the test")
        f.run_until(lambda: len(logged_refusals(f, FailureReason.REVOKED, 2)) >= 2)
        assert f.fronts[2].counts["tls resumed"] == 1 and 1 not in f.call_servers[2].links
        assert any(record["event"] == "key set refused" and record["at"] == 1 for record in f.log_records)
        f.reissue_certificates(1)
        f.run_until(lambda: 2 in f.call_servers[1].links, 15_000)


def test_simultaneous_renewals_lose_no_pending_calls(tmp_path: Path) -> None:
    with fleet(tmp_path, tls_options="") as f:
        assert f.authority is not None
        f.offices[2].slowdown = 40.0
        serial = 0
        for _ in range(4):
            moved = sum(front.counts["links moved over"] for front in f.fronts.values())
            f.reissue_certificates(1, 2, 3)
            for origin in (1, 3):
                f.call(origin, 2, serial)
                serial += 1
            f.run_until(lambda n=moved: sum(x.counts["links moved over"] for x in f.fronts.values()) >= n + 1)  # type: ignore[misc]

        def all_on_new_credentials() -> bool:
            return all(
                f.channel(n, to).handshake.credentials_digest == f.fronts[n].credentials.digest  # type: ignore[union-attr]
                for n, to in ((1, 2), (1, 3), (2, 3))
            )

        f.run_until(all_on_new_credentials, 15_000)
        f.run_until(lambda: answered(f.tally) == serial)
        assert f.tally["cut"] == 0 and not any(record["event"] == "link down" for record in f.log_records)
        # The old connections have been closed.
        f.run_until(lambda: all(len(front.channels) == 5 for front in f.fronts.values()))
        f.hang_up_all()
        f.run_until(f.all_circuits_free)


def test_half_written_credentials_are_refused_and_the_old_ones_stay_in_use(tmp_path: Path) -> None:
    with fleet(tmp_path, size=2, tls_options="") as f:
        assert f.authority is not None and f.fronts[1].credentials is not None
        credentials = f.fronts[1].credentials
        old_digest, old_key = credentials.digest, (tmp_path / "cs1.key").read_bytes()
        # Issued under another name: the server could load a valid pair before the test corrupts it.
        f.authority.issue("next", ["cs1.test"])
        whole, new_key = (tmp_path / "next.crt").read_bytes(), (tmp_path / "next.key").read_bytes()
        for certificate, key in ((whole[:300], new_key), (whole, old_key), (whole, new_key[:80])):
            (tmp_path / "cs1.crt").write_bytes(certificate)
            (tmp_path / "cs1.key").write_bytes(key)
            logged = len(f.log_records)
            f.run_until(lambda n=logged: any(r["event"] == "key set refused" for r in f.log_records[n:]))  # type: ignore[misc]
            assert credentials.digest == old_digest
            f.fronts[1].check_credentials(credentials, force=True)
            assert credentials.digest == old_digest
        (tmp_path / "cs1.key").write_bytes(new_key)
        f.run_until(lambda: credentials.digest != old_digest)
        f.run_until(lambda: f.fronts[1].counts["links moved over"] == 1)
        assert not any(record["event"] == "link down" for record in f.log_records)


def test_a_stand_in_refuses_a_server_with_another_name(tmp_path: Path) -> None:
    with fleet(tmp_path, size=2, tls_options="") as f:
        contexts, results = standin_contexts(tmp_path), []

        def dial() -> Task:
            sock = yield from tcp.connect(f.loop, ("127.0.0.1", f.ports[1]), 2_000.0)
            try:
                yield from contexts.connect(f.loop, sock, HandshakeScheduler(1, 0), "cs2.test")
            except tls.HandshakeError as refused:
                results.append(refused.reason)

        f.loop.spawn(dial())
        f.run_until(lambda: results == [FailureReason.WRONG_NAME])
