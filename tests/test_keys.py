"""Certificates, handshake scheduling, session tickets and credential renewal, without sockets."""

from __future__ import annotations

import random
import time
from collections import deque
from pathlib import Path

import pytest
from click.testing import CliRunner

from ospreybridge.cli.main import main
from ospreybridge.core.changeover import HeartbeatCallback, PeerLink
from ospreybridge.core.handshakes import CPU_SHARE, MAX_DOUBLINGS, STALLED_AFTER_MS, HandshakeScheduler
from ospreybridge.core.renewal import MAX_CONCURRENT_MOVES, RenewalScheduler
from ospreybridge.core.sessions import MAX_RESUMPTIONS, SessionCache
from ospreybridge.core.timers import TimerQueue
from ospreybridge.keys import certificate_info, credentials, validation
from ospreybridge.keys.authority import CertificateAuthority
from ospreybridge.keys.certificate_info import CLIENT_AUTH, SERVER_AUTH
from ospreybridge.keys.expiry import DAY_S, ExpiryWarnings
from ospreybridge.keys.validation import FailureReason
from ospreybridge.net.tls import TlsContexts


@pytest.mark.parametrize(
    ("expected", "presented", "allow_wildcard", "matches"),
    [
        ("cs1.a.test", "CS1.a.test", False, True),
        ("cs1.a.test", "cs2.a.test", False, False),
        ("cs1.a.test", "*.a.test", False, False),
        ("cs1.a.test", "*.a.test", True, True),
        ("x.cs1.a.test", "*.a.test", True, False),
        ("a.test", "*.test", True, False),
        ("cs1.a.test", "c*.a.test", True, False),
        ("cs1.a.test", "cs1.a.test.evil", True, False),
    ],
)
def test_dns_names_match_exactly_or_by_wildcard(
    expected: str, presented: str, allow_wildcard: bool, matches: bool
) -> None:
    assert validation.dns_name_matches(expected, presented, allow_wildcard) is matches


def test_certificates_are_checked_for_san_dates_key_purpose_and_revocation(tmp_path: Path) -> None:
    authority, now = CertificateAuthority.create(tmp_path, 30.0), time.time()
    good = certificate_info.from_certificate(authority.issue("good", ["cs1.test"]))
    assert (
        validation.certificate_error(good, now, SERVER_AUTH, ()) is None
        and validation.certificate_error(good, now, CLIENT_AUTH, ()) is None
    )
    common = certificate_info.from_certificate(authority.issue("cn", [], common_name="cs1.test"))
    assert not validation.certificate_has_name(common, "cs1.test", True)  # the CN is ignored
    assert validation.certificate_error(good, good.not_after + 1, SERVER_AUTH, ()) is FailureReason.EXPIRED
    assert (
        validation.certificate_error(good, good.not_before - 1, SERVER_AUTH, ())
        is FailureReason.NOT_YET_VALID
    )
    assert (
        validation.certificate_error(good, now, SERVER_AUTH, {(good.issuer, good.serial)})
        is FailureReason.REVOKED
    )
    assert validation.certificate_error(good, now, SERVER_AUTH, {(b"another", good.serial)}) is None
    assert (
        validation.certificate_error(
            certificate_info.from_certificate(authority.issue("w", ["a"], rsa_bits=1_024)),
            now,
            SERVER_AUTH,
            (),
        )
        is FailureReason.WEAK_KEY
    )
    serves = certificate_info.from_certificate(authority.issue("s", ["a"], purposes=(SERVER_AUTH,)))
    assert validation.certificate_error(serves, now, CLIENT_AUTH, ()) is FailureReason.WRONG_PURPOSE
    assert (
        validation.certificate_error(
            certificate_info.from_certificate(authority.certificate), now, SERVER_AUTH, ()
        )
        is FailureReason.WRONG_PURPOSE
    )


def test_credentials_are_checked_together_and_each_error_is_reported(tmp_path: Path) -> None:
    authority, now = CertificateAuthority.create(tmp_path, 30.0), time.time()
    certificate = authority.issue("cs1", ["cs1.test"])
    authority.issue("cs2", ["cs2.test"])
    other = CertificateAuthority.create(tmp_path / "other", 30.0)

    def errors(name: str = "cs1.test", **changed: Path) -> str:
        given = {"certificate": "cs1.crt", "key": "cs1.key", "trust": "ca.crt", "revoked": "ca.crl"}
        paths = credentials.CredentialPaths(**{k: changed.get(k, tmp_path / v) for k, v in given.items()})
        try:
            TlsContexts(credentials.load(paths, now, name))
        except credentials.CredentialsError as error:
            return str(error)
        return ""

    assert errors() == ""
    assert "does not match" in errors(key=tmp_path / "cs2.key")
    assert "expected x.test" in errors("x.test")
    assert FailureReason.UNKNOWN_ISSUER in errors(
        trust=other.folder / "ca.crt", revoked=other.folder / "ca.crl"
    )
    assert "no trusted authority" in errors(revoked=other.folder / "ca.crl")
    truncated = tmp_path / "half.crt"
    truncated.write_bytes((tmp_path / "cs1.crt").read_bytes()[:200])
    assert "cut off" in errors(certificate=truncated)
    assert "can't be read" in errors(certificate=tmp_path / "none.crt")
    (tmp_path / "cs1.key").chmod(0o640)
    assert "readable by others (mode 0640)" in errors()
    (tmp_path / "cs1.key").chmod(0o600)
    authority.write_revocation_list([certificate.serial_number])
    assert FailureReason.REVOKED in errors()


def test_expiry_warns_once_at_each_threshold_and_hourly_on_the_last_day() -> None:
    expiry_warnings, expires_at = ExpiryWarnings((30.0, 7.0, 1.0)), 100 * DAY_S
    warned_hours = [
        hour
        for hour in range(24 * 101)
        for _ in expiry_warnings.due_warnings(hour * 3_600.0, {"cs1.crt": expires_at})
    ]
    assert warned_hours[:3] == [70 * 24, 93 * 24, 99 * 24] and warned_hours[3:] == list(
        range(99 * 24 + 1, 24 * 101)
    )
    assert expiry_warnings.due_warnings(101 * DAY_S, {"cs1.crt": 500 * DAY_S}) == []
    assert expiry_warnings.due_warnings(0.0, {"list": 6 * DAY_S}, "list") == []
    assert len(expiry_warnings.due_warnings(5.5 * DAY_S, {"list": 6 * DAY_S}, "list")) == 1
    assert (
        len(expiry_warnings.due_warnings(480 * DAY_S, {"cs1.crt": 500 * DAY_S})) == 1
    )  # renewed: starts over


def test_handshake_slots_are_bounded_and_a_stalled_one_is_given_to_a_new_peer() -> None:
    handshakes = HandshakeScheduler(4, 1)
    assert all(handshakes.admit(float(n), n)[0] for n in range(4))
    assert handshakes.admit(10.0, 4) == (False, None)
    handshakes.record_progress(200.0, 0)
    assert handshakes.admit(STALLED_AFTER_MS + 2.0, 5) == (True, 1) and len(handshakes.inbound) == 4
    handshakes.release_slot(5)
    assert handshakes.admit(STALLED_AFTER_MS + 3.0, 6) == (True, None)


def test_handshake_steps_take_no_more_than_their_share_of_the_processor() -> None:
    handshakes = HandshakeScheduler(64, 1)
    for _ in range(200):
        handshakes.schedule_step(0.0)
        handshakes.record_cost(2.0)
    first = handshakes.schedule_step(0.0)
    assert handshakes.schedule_step(0.0) - first == pytest.approx(handshakes.step_cost_ms / CPU_SHARE)
    after_idle = first + 10_000.0  # idle time earns a small credit only
    assert [handshakes.schedule_step(after_idle) == after_idle for _ in range(3)] == [True, False, False]
    assert handshakes.step_cost_ms == pytest.approx(2.0, rel=0.01)
    handshakes.record_cost(10_000.0)  # the process was suspended: not counted as the cost of a step
    assert handshakes.step_cost_ms < 8.0


def test_repeated_failures_back_off_with_random_spread() -> None:
    handshakes = HandshakeScheduler(4, 1)
    waits = [handshakes.record_failure(7, 100.0) for _ in range(12)]
    assert all(
        0.75 * 100 * 2 ** min(n, MAX_DOUBLINGS) <= wait <= 1.25 * 100 * 2 ** min(n, MAX_DOUBLINGS)
        for n, wait in enumerate(waits)
    )
    assert len(set(waits)) == 12
    handshakes.record_success(7)
    assert handshakes.record_failure(7, 100.0) < 126


def test_sessions_are_used_once_and_limited_by_age_identity_and_number_of_resumptions() -> None:
    sessions = SessionCache(1_000.0)
    sessions.store(0.0, 2, "ticket", "set-a cs2", 0)
    assert sessions.take(10.0, 2, "set-b cs2") == (None, 0)
    sessions.store(0.0, 2, "ticket", "set-a cs2", 0)
    assert sessions.take(10.0, 2, "set-a cs2") == ("ticket", 1)
    assert sessions.take(10.0, 2, "set-a cs2") == (None, 0)
    sessions.store(0.0, 2, "ticket", "set-a cs2", 0)
    assert sessions.take(1_000.0, 2, "set-a cs2") == (None, 0)
    sessions.store(0.0, 2, "ticket", "set-a cs2", MAX_RESUMPTIONS)
    assert sessions.take(1.0, 2, "set-a cs2") == (None, 0)
    assert [sessions.rotate_if_due(now) for now in (999.0, 1_000.0, 1_500.0, 2_000.0)] == [
        False,
        True,
        False,
        True,
    ]


def test_sixty_links_move_over_spread_in_time_and_few_at_once() -> None:
    renewals = RenewalScheduler(1e9, 60_000.0, 3)
    renewals.current_digest = "old"
    for peer in range(60):
        renewals.link_up(0.0, peer, "old")
    renewals.key_set_replaced(1_000.0, "new")
    now = 1_000.0
    started_at: list[float] = []
    under_way: deque[tuple[float, int]] = deque()
    while len(started_at) < 60 and now < 70_000.0:
        now += renewals.next_check_delay(now)
        while under_way and under_way[0][0] <= now:
            peer = under_way.popleft()[1]
            renewals.move_ended(now, peer, True)
            renewals.link_up(now, peer, "new")
        for peer in renewals.take_due(now):
            started_at.append(now)
            under_way.append((now + 300.0, peer))
        assert len(renewals.moving) <= MAX_CONCURRENT_MOVES
    assert len(started_at) == 60 and started_at[-1] <= 61_500.0
    assert max(sum(low <= at < low + 5_000 for at in started_at) for low in range(1_000, 60_000, 1_000)) <= 9


def test_a_failed_move_is_retried_and_credentials_replaced_during_a_move_cause_another() -> None:
    renewals = RenewalScheduler(1e9, 100.0, 3)
    renewals.link_up(0.0, 2, "a")
    renewals.key_set_replaced(0.0, "b")
    assert renewals.take_due(100.0) == [2] and renewals.take_due(100.0) == []  # one move of a link at a time
    renewals.move_ended(100.0, 2, False)
    assert renewals.take_due(200.0) == [] and renewals.take_due(1_400.0) == [2]
    renewals.key_set_replaced(1_400.0, "c")
    renewals.move_ended(1_500.0, 2, True)
    renewals.link_up(1_500.0, 2, "b")
    assert renewals.take_due(1_700.0) == [2]


class SimulatedAssociation:
    """One association between two links: one ordered queue a direction, no order across associations."""

    def __init__(self) -> None:
        self.queues: tuple[deque[tuple[str, int]], ...] = (deque(), deque())
        self.marker_callbacks: list[list[HeartbeatCallback]] = [[], []]
        self.open = True


class SimulatedCarrier:
    """The carrier of one side of a simulated association."""

    def __init__(self, association: SimulatedAssociation, side: int) -> None:
        self.association, self.side = association, side

    def _enqueue(self, kind: str, number: int = 0) -> None:
        if self.association.open:
            self.association.queues[self.side].append((kind, number))

    def send_data(self, service: int, sls: int, body: bytes) -> None:
        self._enqueue("data", int(body))

    def send_marker(self, answered: HeartbeatCallback) -> None:
        self.association.marker_callbacks[self.side].append(answered)
        self._enqueue("beat")

    def probe(self, on_result: object) -> None: ...

    def request_audit(self) -> None: ...

    def notify_alternate_active(self) -> None:
        self._enqueue("taken over")

    def shut_down(self, reason: str) -> None:
        self.drop(reason)

    def drop(self, reason: str) -> None:
        self.association.open = False


@pytest.mark.parametrize("seed", range(150))
def test_a_move_loses_and_reorders_no_message_and_both_sides_see_a_break(seed: int) -> None:
    rng = random.Random(seed)
    has_break = seed % 3 == 0
    old, new = SimulatedAssociation(), SimulatedAssociation()
    lost: list[int] = []
    timers = TimerQueue()
    ends = [[SimulatedCarrier(association, side) for association in (old, new)] for side in (0, 1)]
    links = [
        PeerLink(timers, ends[side][0], lambda reason, side=side: lost.append(side))  # type: ignore[misc]
        for side in (0, 1)
    ]
    sent, received = [0, 0], [[], []]  # type: ignore[var-annotated]
    end_reported = [[False, False], [False, False]]  # by side and association: its end was reported
    first = rng.randrange(5, 40)
    moves = [first + rng.randrange(12), first + rng.randrange(12)]
    broken_at = rng.randrange(60) if has_break else -1
    for step in range(400):
        for side in (0, 1):
            if step == moves[side] and new.open and not links[side].closed:
                links[side].start_changeover(0.0, ends[side][1], dialler=side == 0)
            if step < 100 and rng.random() < 0.5 and not links[side].closed:
                sent[side] += 1
                links[side].send_data(5, 0, str(sent[side]).encode())
        if step == broken_at:
            rng.choice((old, new)).open = False
        for index, association in enumerate((old, new)):
            for side in (0, 1):
                queue = association.queues[side]
                if queue and rng.random() < 0.4:
                    kind, number = queue.popleft()
                    receiver = 1 - side
                    if kind == "data" and not links[receiver].closed:
                        received[receiver].append(number)
                    elif kind == "beat":
                        ends[receiver][index]._enqueue("answer")
                    elif kind == "answer":
                        association.marker_callbacks[receiver].pop(0)(True)
                    elif kind == "taken over":
                        links[receiver].peer_switched()
                elif not association.open and not queue and not end_reported[1 - side][index]:
                    end_reported[1 - side][index] = True
                    links[1 - side].association_ended(ends[1 - side][index], "ended")
    assert all(numbers == list(range(1, len(numbers) + 1)) for numbers in received)
    if lost:
        assert has_break and sorted(lost) == [0, 1]
    else:
        assert [len(received[1]), len(received[0])] == sent
        if not has_break:
            assert not old.open and new.open


def test_keys_commands_create_show_revoke_and_check_certificates(tmp_path: Path) -> None:
    def run(*words: str) -> tuple[int, str]:
        result = CliRunner().invoke(main, ["keys", *words])
        return result.exit_code, result.output

    folder, file = str(tmp_path / "trial"), tmp_path / "trial" / "cs1.kdl"
    assert run("authority", folder)[0] == 0 and run("authority", folder)[0] == 2
    assert run("issue", folder, "cs1.test", "--days", "60")[0] == 0
    assert run("issue", str(tmp_path), "cs1.test")[0] == 2
    code, output = run("show", f"{folder}/cs1.crt")
    assert code == 0 and "60.0 days left" in output and "cs1.test" in output
    file.write_text(
        'exchange "cs1" number=1 point-code=1\n'
        'peer "cs2" role="exchange" number=2 point-code=2 context=1 dial="127.0.0.1:1" tls="cs2.test"\n'
        'class "a" on-time=1 deadline=1\n'
        'tls certificate="cs1.crt" key="cs1.key" trust="ca.crt" revoked="ca.crl" name="cs1.test"\n'
    )
    assert run("check", str(file))[0] == 0
    tls_only = file.read_text()
    file.write_text(
        tls_only + 'peer "office" role="office" point-code=9 '
        'context=9 dial="127.0.0.1:1" tls="o.test" { circuits "1-31"; }\n'
    )
    refused = CliRunner().invoke(main, ["offices", str(file), "--seconds", "1"])
    assert refused.exit_code == 2 and "over TLS" in refused.output
    file.write_text(tls_only)
    assert run("issue", folder, "cs1.test", "--days", "5")[0] == 0
    assert run("check", str(file))[0] == 1  # valid, but expires soon
    assert run("revoke", folder, f"{folder}/cs1.crt")[0] == 0
    code, check_output = run("check", str(file))
    assert code == 2 and "revoked" in check_output
    file.write_text(file.read_text().replace('tls="cs2.test"', ""))
    code, check_output = run("check", str(file))
    assert code == 2 and "plain=true" in check_output and ":2:" in check_output
