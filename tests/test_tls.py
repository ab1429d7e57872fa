"""Links over TLS on loopback: who is refused, by which name, and that calls on standing links go on."""

from __future__ import annotations

import os
import socket
import ssl
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
from tests.fleet import Fleet, connect, fleet, standin_contexts
from tests.test_sockets import _ended, answered


def raw_context(folder: Path, file: str, server: bool = False) -> ssl.SSLContext:
    """A context that shows whatever the files hold, as a peer does that checks nothing of its own."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER if server else ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    context.set_ciphers("DEFAULT:@SECLEVEL=0")
    if file:
        context.load_cert_chain(folder / f"{file}.crt", folder / f"{file}.key")
    return context


def bad(f: Fleet, reason: FailureReason) -> str:
    """Issues a certificate to be refused for this reason; the file's name."""
    assert f.authority is not None
    a, name = f.authority, ["standins.test", "cs2.test"]
    match reason:
        case FailureReason.WRONG_NAME:
            a.issue("bad", ["mallory.test"], common_name="standins.test")
        case FailureReason.UNKNOWN_ISSUER:
            CertificateAuthority.create(f.folder / "other", 9.0).issue("bad", name)
            for end in ("crt", "key"):
                (f.folder / "other" / f"bad.{end}").rename(f.folder / f"bad.{end}")
        case FailureReason.EXPIRED:
            a.issue("bad", name, days=-0.5, starts_in_days=-1.0)
        case FailureReason.NOT_YET_VALID:
            a.issue("bad", name, days=3.0, starts_in_days=1.0)
        case FailureReason.REVOKED:
            a.write_revocation_list([a.issue("bad", name).serial_number])
            f.run_until(
                lambda: all(
                    front.credentials and front.credentials.contexts.credentials.revoked
                    for front in f.fronts.values()
                )
            )
        case FailureReason.WEAK_KEY:
            a.issue("bad", name, rsa_bits=1_024)
    return "bad"


def outcome(
    f: Fleet, sock: socket.socket, wrap: Callable[[socket.socket], ssl.SSLSocket], ends: list[str]
) -> Task:
    """Shakes hands on one connection and waits for its end, which `ends` gets."""
    try:
        secured = yield from tls.handshake(f.loop, sock, wrap, HandshakeScheduler(1, 0), 2_000.0)
    except tls.HandshakeError as refused:
        ends.append(str(refused.reason))
        return
    stream = tls.TlsStream(f.loop, secured)
    stream.on_close = ends.append
    if not (yield from stream.read()):
        stream.close("the call server closed")


def shaken(f: Fleet, context: ssl.SSLContext, port: int, ends: list[str], count: int = 1) -> None:
    """Dials `count` times one after the other; `ends` gets what came of each."""

    def wrap(sock: socket.socket) -> ssl.SSLSocket:
        return context.wrap_socket(sock, do_handshake_on_connect=False, suppress_ragged_eofs=False)

    def dial() -> Task:
        for _ in range(count):
            sock = yield from tcp.connect(f.loop, ("127.0.0.1", port), 2_000.0)
            yield from outcome(f, sock, wrap, ends)

    f.loop.spawn(dial())


def logged(f: Fleet, reason: FailureReason, at: int) -> list[dict[str, Any]]:
    return [
        w
        for w in f.log_records
        if w["event"] == "handshake refused" and w["reason"] == reason and w["at"] == at
    ]


REASONS = [
    FailureReason.WRONG_NAME,
    FailureReason.UNKNOWN_ISSUER,
    FailureReason.EXPIRED,
    FailureReason.NOT_YET_VALID,
    FailureReason.REVOKED,
    FailureReason.WEAK_KEY,
]


@pytest.mark.parametrize("reason", [*REASONS, FailureReason.WRONG_PURPOSE, FailureReason.NO_CERTIFICATE])
def test_a_peer_that_dials_with_a_bad_certificate_is_refused_by_name_every_time(
    tmp_path: Path, reason: FailureReason
) -> None:
    with fleet(tmp_path, size=2, tls_options="") as f:
        assert f.authority is not None
        file = bad(f, reason)
        if reason is FailureReason.WRONG_PURPOSE:
            f.authority.issue(file, ["standins.test"], purposes=(SERVER_AUTH,))
        context = raw_context(tmp_path, "" if reason is FailureReason.NO_CERTIFICATE else file)
        ends: list[str] = []
        shaken(f, context, f.ports[1], ends, 3)
        f.run_until(lambda: len(ends) == 3 and f.fronts[1].counts[f"tls {reason}"] == 3)
        assert len(logged(f, reason, 1)) == 3
        f.call(1, 2, 0)
        f.run_until(lambda: answered(f.tally) == 1)


@pytest.mark.parametrize("reason", [*REASONS, FailureReason.WRONG_PURPOSE])
def test_a_dialled_peer_with_a_bad_certificate_is_refused_by_name(
    tmp_path: Path, reason: FailureReason
) -> None:
    with fleet(tmp_path, size=2, tls_options="") as f:
        assert f.authority is not None
        file = bad(f, reason)
        if reason is FailureReason.WRONG_PURPOSE:
            f.authority.issue(file, ["cs2.test"], purposes=(CLIENT_AUTH,))
        context = raw_context(tmp_path, file, server=True)
        f.kill(2)
        listener = tcp.listen(("127.0.0.1", f.ports[2]))
        ends: list[str] = []

        def wrap(plain: socket.socket) -> ssl.SSLSocket:
            return context.wrap_socket(plain, server_side=True, do_handshake_on_connect=False)

        def accepted(sock: socket.socket) -> None:
            f.loop.spawn(outcome(f, sock, wrap, ends))

        f.loop.spawn(tcp.accept_connections(f.loop, listener, accepted))
        f.run_until(lambda: f.fronts[1].counts[f"tls {reason}"] >= 2)
        assert logged(f, reason, 1)[0]["peer"] == "cs2" and 2 not in f.call_servers[1].links
        f.loop.unregister(listener.fileno())
        listener.close()


def test_a_thousand_wrong_names_are_all_refused_while_calls_go_on(tmp_path: Path) -> None:
    with fleet(tmp_path, size=2, tls_options="") as f:
        context = raw_context(tmp_path, bad(f, FailureReason.WRONG_NAME))
        ends: list[str] = []
        for _ in range(10):
            shaken(f, context, f.ports[1], ends, 100)
        for serial in range(20):
            f.call(1, 2, serial)
            f.run_until(lambda n=serial: answered(f.tally) == n + 1)  # type: ignore[misc]
            f.hang_up_all()
        f.run_until(lambda: len(ends) == 1_000, 600_000)
        counts = f.fronts[1].counts
        assert counts["tls wrong name"] + counts["tls no handshake slot"] == 1_000
        assert counts["tls no handshake slot"] == 0
        assert len(f.fronts[1].channels) == 4


def test_a_name_of_one_peer_is_no_way_to_another_and_plain_is_refused(tmp_path: Path) -> None:
    """A valid certificate claims another's ASP identifier; plain octets come where TLS is due."""
    with fleet(tmp_path, size=2, tls_options="") as f:
        hello = m3ua.encode(m3ua.ASPUP, [(m3ua.ASP_ID, m3ua.uint32(2))])
        context = raw_context(tmp_path, "standins")
        before = f.fronts[1].links[2].current

        def claim() -> Task:
            sock = yield from tcp.connect(f.loop, ("127.0.0.1", f.ports[1]), 2_000.0)
            secured = yield from tls.handshake(
                f.loop,
                sock,
                lambda s: context.wrap_socket(s, do_handshake_on_connect=False),
                HandshakeScheduler(1, 0),
                2_000.0,
            )
            streams.append(tls.TlsStream(f.loop, secured))
            streams[0].write(hello)

        streams: list[tls.TlsStream] = []
        f.loop.spawn(claim())
        f.run_until(lambda: f.fronts[1].counts["tls wrong name"] == 1)
        plain = connect(f.ports[1])
        plain.send(hello)
        f.run_until(lambda: f.fronts[1].counts["tls not TLS"] == 1 and _ended(plain))
        other = connect(f.fronts[1].port)
        other.send(hello)
        f.run_until(lambda: f.fronts[1].counts["tls plain where TLS is due"] == 1)
        assert f.fronts[1].links[2].current is before
        plain.close()
        other.close()


def test_peers_that_stop_in_the_handshake_hold_no_slot_from_others(tmp_path: Path) -> None:
    with fleet(tmp_path, size=2, tls_options="slots=8") as f:
        half = bytes.fromhex("16030102000100")
        most = served = 0
        for wave in range(10):
            socks = [connect(f.ports[2]) for _ in range(100)]
            for sock in socks:
                sock.send(half)
            f.channel(1, 2).drop("cut by the test")  # exchange 1 must get in among them

            def again() -> bool:
                nonlocal most
                most = max(most, len(f.fronts[2].pending_handshakes))
                return 2 in f.call_servers[1].links and f.call_servers[1].groups[2].free == 6

            f.run_until(lambda: 2 not in f.call_servers[1].links)
            f.run_until(again)
            served += 1
            f.call(1, 2, wave)
            f.run_until(lambda n=wave: answered(f.tally) == n + 1)  # type: ignore[misc]
            f.hang_up_all()
            f.run_until(f.all_circuits_free)
            for sock in socks:
                sock.close()
        assert served == 10 and most <= 8
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
        context = raw_context(tmp_path, "standins")
        context.maximum_version = ssl.TLSVersion.TLSv1_2
        ends: list[str] = []
        shaken(f, context, f.ports[1], ends)
        f.run_until(lambda: f.fronts[1].counts[f"tls {FailureReason.NO_COMMON_VERSION}"] == 1)
        f.run_until(lambda: ends == [FailureReason.NO_COMMON_VERSION])
    with fleet(tmp_path / "old", size=2, tls_options="allow-1.2=true") as f:
        made = SSL.Context(SSL.TLS_CLIENT_METHOD)
        made.set_max_proto_version(SSL.TLS1_2_VERSION)
        made.use_certificate_file(str(f.folder / "standins.crt"))
        made.use_privatekey_file(str(f.folder / "standins.key"))
        sock = connect(f.ports[1])
        client = SSL.Connection(made, sock)
        client.set_connect_state()

        def done(step: Callable[[], object]) -> Callable[[], bool]:
            def tried() -> bool:
                try:
                    step()
                except (SSL.WantReadError, SSL.WantWriteError):
                    return False
                return True

            return tried

        f.run_until(done(client.do_handshake))
        assert client.get_protocol_version_name() == "TLSv1.2"
        assert client.renegotiate()
        with pytest.raises(SSL.Error):
            f.run_until(done(client.do_handshake))
        f.call(1, 2, 0)
        f.run_until(lambda: answered(f.tally) == 1)
        sock.close()


def test_truncation_with_calls_pending_loses_no_answer(tmp_path: Path) -> None:
    """The connection ends without close_notify: a lost link, told as truncated, and calls are set up anew."""
    with fleet(tmp_path, tls_options="") as f:
        f.offices[2].hung = True
        f.call(1, 2, 0)
        f.run_until(lambda: len(f.call_servers[2].calls) == 1)
        cut = socket.socket(fileno=os.dup(f.channel(2, 1).stream.fd))
        cut.shutdown(socket.SHUT_RDWR)
        cut.close()
        f.run_until(lambda: f.fronts[1].counts["tls truncated"] == 1)
        f.offices[2].hung = False
        f.run_until(lambda: answered(f.tally) == 1)
        assert f.call_servers[1].finals["stands"] == 1 and not f.callers[1].faults


def test_calls_stand_when_a_certificate_ends_and_renewal_heals_without_a_restart(tmp_path: Path) -> None:
    with fleet(tmp_path, tls_options="") as f:
        assert f.authority is not None
        f.reissue_certificates(1, days=5.0)
        f.run_until(lambda: f.fronts[1].counts["links moved over"] == 2)
        for serial in range(3):
            f.call(1, 2, serial)
        f.run_until(lambda: answered(f.tally) == 3)
        f.wall_clock_offset_s = 6 * 86_400.0
        assert f.fronts[1].credentials is not None
        f.fronts[1].renewals.links[2].due = 0.0  # a move that falls due now is refused, the link stays
        f.run_until(lambda: len(logged(f, FailureReason.EXPIRED, 2)) >= 1)
        f.channel(1, 3).drop("cut by the test")
        f.run_until(lambda: len(logged(f, FailureReason.EXPIRED, 3)) >= 2)
        assert 3 not in f.call_servers[1].links and 2 in f.call_servers[1].links and f.tally["cut"] == 0
        f.call(1, 2, 5)
        f.run_until(lambda: answered(f.tally) == 4)
        assert any(w["event"] == "has ended" and w["at"] == 1 for w in f.log_records)
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
        full = f.fronts[1].counts["tls full"]
        f.channel(1, 2).drop("cut by the test")
        f.run_until(lambda: f.fronts[1].counts["tls resumed"] == 1 and 2 in f.call_servers[1].links)
        assert f.fronts[2].counts["tls resumed"] == 1 and f.fronts[1].counts["tls full"] == full
        secured = f.channel(2, 1).stream.sock
        assert isinstance(secured, ssl.SSLSocket) and secured.session_reused
        keys = f.fronts[2].credentials
        assert keys is not None
        serial = tls.peer_certificate(secured).serial
        f.authority.write_revocation_list([serial])
        f.run_until(lambda: len(keys.contexts.credentials.revoked) == 1)
        with pytest.raises(
            tls.HandshakeError, match="revoked"
        ):  # even the resumed one, were it looked at again
            keys.verify_peer(secured, False, list(f.fronts[2].settings.peers))
        f.channel(1, 2).drop("cut by the test")
        f.run_until(lambda: len(logged(f, FailureReason.REVOKED, 2)) >= 2)
        assert f.fronts[2].counts["tls resumed"] == 1 and 1 not in f.call_servers[2].links
        assert any(w["event"] == "key set refused" and w["at"] == 1 for w in f.log_records)
        f.reissue_certificates(1)
        f.run_until(lambda: 2 in f.call_servers[1].links, 15_000)


def test_two_renewals_at_once_with_calls_pending_lose_none(tmp_path: Path) -> None:
    with fleet(tmp_path, tls_options="") as f:
        assert f.authority is not None
        f.offices[2].slow = 40.0
        serial = 0
        for _ in range(4):
            moved = sum(front.counts["links moved over"] for front in f.fronts.values())
            f.reissue_certificates(1, 2, 3)
            for origin in (1, 3):
                f.call(origin, 2, serial)
                serial += 1
            f.run_until(lambda n=moved: sum(x.counts["links moved over"] for x in f.fronts.values()) >= n + 1)  # type: ignore[misc]

        def settled() -> bool:
            return all(
                f.channel(n, to).handshake.credentials_digest == f.fronts[n].credentials.digest  # type: ignore[union-attr]
                for n, to in ((1, 2), (1, 3), (2, 3))
            )

        f.run_until(settled, 15_000)
        f.run_until(lambda: answered(f.tally) == serial)
        assert f.tally["cut"] == 0 and not any(w["event"] == "link down" for w in f.log_records)
        f.run_until(
            lambda: all(len(front.channels) == 5 for front in f.fronts.values())
        )  # the old ones are left
        f.hang_up_all()
        f.run_until(f.all_circuits_free)


def test_a_half_written_set_is_refused_whole_and_the_old_one_stays(tmp_path: Path) -> None:
    with fleet(tmp_path, size=2, tls_options="") as f:
        assert f.authority is not None and f.fronts[1].credentials is not None
        keys = f.fronts[1].credentials
        before, old_key = keys.digest, (tmp_path / "cs1.key").read_bytes()
        # Made beside: were it written in its place, the server might rightly use it before it is spoilt.
        f.authority.issue("next", ["cs1.test"])
        whole, new_key = (tmp_path / "next.crt").read_bytes(), (tmp_path / "next.key").read_bytes()
        for certificate, key in ((whole[:300], new_key), (whole, old_key), (whole, new_key[:80])):
            (tmp_path / "cs1.crt").write_bytes(certificate)
            (tmp_path / "cs1.key").write_bytes(key)
            told = len(f.log_records)
            f.run_until(lambda n=told: any(w["event"] == "key set refused" for w in f.log_records[n:]))  # type: ignore[misc]
            assert keys.digest == before
            f.fronts[1].check_credentials(keys, force=True)
            assert keys.digest == before
        (tmp_path / "cs1.key").write_bytes(new_key)
        f.run_until(lambda: keys.digest != before)
        f.run_until(lambda: f.fronts[1].counts["links moved over"] == 1)
        assert not any(w["event"] == "link down" for w in f.log_records)


def test_a_stand_in_refuses_a_server_of_another_name(tmp_path: Path) -> None:
    with fleet(tmp_path, size=2, tls_options="") as f:
        contexts, ends = standin_contexts(tmp_path), []

        def dial() -> Task:
            sock = yield from tcp.connect(f.loop, ("127.0.0.1", f.ports[1]), 2_000.0)
            try:
                yield from contexts.connect(f.loop, sock, HandshakeScheduler(1, 0), "cs2.test")
            except tls.HandshakeError as refused:
                ends.append(refused.reason)

        f.loop.spawn(dial())
        f.run_until(lambda: ends == [FailureReason.WRONG_NAME])
