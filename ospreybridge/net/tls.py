"""TLS on the event loop: contexts built from checked credentials, stepwise handshakes, and streams."""

from __future__ import annotations

import contextlib
import os
import socket
import ssl
import time
from collections.abc import Callable, Generator

from ospreybridge.core.handshakes import HandshakeScheduler
from ospreybridge.keys import certificate_info, validation
from ospreybridge.keys.certificate_info import CertificateInfo
from ospreybridge.keys.credentials import Credentials, CredentialsError
from ospreybridge.keys.validation import FailureReason
from ospreybridge.net.loop import READ, WORK, WRITE, EventLoop, TimedOut, WaitRequest
from ospreybridge.net.tcp import READ_SIZE_BYTES, Stream

# The X509_V_ERR_* codes of OpenSSL (openssl/x509_vfy.h) that a peer's chain can cause.
_VERIFY_ERRORS = {
    2: FailureReason.UNKNOWN_ISSUER, 7: FailureReason.UNKNOWN_ISSUER, 9: FailureReason.NOT_YET_VALID,
    10: FailureReason.EXPIRED, 18: FailureReason.UNKNOWN_ISSUER, 19: FailureReason.UNKNOWN_ISSUER,
    20: FailureReason.UNKNOWN_ISSUER, 21: FailureReason.UNKNOWN_ISSUER, 23: FailureReason.REVOKED,
    24: FailureReason.UNKNOWN_ISSUER, 26: FailureReason.WRONG_PURPOSE, 66: FailureReason.WEAK_KEY,
    67: FailureReason.WEAK_KEY, 68: FailureReason.WEAK_KEY, 79: FailureReason.UNKNOWN_ISSUER,
}  # fmt: skip
# OpenSSL's names of library errors. Alerts are not listed: they are recognised by "ALERT" in the name.
_LIBRARY_ERRORS = {
    "PEER_DID_NOT_RETURN_A_CERTIFICATE": FailureReason.NO_CERTIFICATE,
    "WRONG_VERSION_NUMBER": FailureReason.NOT_TLS, "HTTP_REQUEST": FailureReason.NOT_TLS,
    "HTTPS_PROXY_REQUEST": FailureReason.NOT_TLS, "PACKET_LENGTH_TOO_LONG": FailureReason.NOT_TLS,
    "UNEXPECTED_MESSAGE": FailureReason.NOT_TLS, "RECORD_LAYER_FAILURE": FailureReason.NOT_TLS,
    "UNSUPPORTED_PROTOCOL": FailureReason.NO_COMMON_VERSION,
    "NO_PROTOCOLS_AVAILABLE": FailureReason.NO_COMMON_VERSION, "EE_KEY_TOO_SMALL": FailureReason.WEAK_KEY,
}  # fmt: skip
_VERSION_ALERT = "TLSV1_ALERT_PROTOCOL_VERSION"
STANDIN_HANDSHAKE_TIMEOUT_MS, STANDIN_BUFFER_BYTES = 5_000.0, 1 << 24  # bytes queued for sending at most
PROTOCOL_ERROR_PREFIX = "tls: "  # starts the close reason of a stream that ended with a protocol error


class HandshakeError(Exception):
    """A handshake failed, or the peer's certificate was rejected; `detail` is the explanation for the log."""

    def __init__(self, reason: FailureReason, detail: str = "") -> None:
        super().__init__(f"{reason}{': ' if detail else ''}{detail}")
        self.reason, self.detail = reason, detail


def failure_reason(error: BaseException) -> FailureReason:
    """The reason that an error raised during a handshake stands for."""
    if isinstance(error, ssl.SSLCertVerificationError):
        return _VERIFY_ERRORS.get(error.verify_code, FailureReason.UNREADABLE_CERTIFICATE)
    if isinstance(error, ssl.SSLEOFError | ssl.SSLZeroReturnError | ssl.SSLSyscallError):
        return FailureReason.CLOSED_IN_HANDSHAKE
    if isinstance(error, ssl.SSLError):
        name = error.reason or ""
        if name == _VERSION_ALERT:
            return FailureReason.NO_COMMON_VERSION
        return (
            FailureReason.REFUSED_BY_PEER
            if "ALERT" in name
            else _LIBRARY_ERRORS.get(name, FailureReason.BROKEN_RECORD)
        )
    return FailureReason.CLOSED_IN_HANDSHAKE


class TlsContexts:
    """The client and server context of one set of credentials."""

    def __init__(self, credentials: Credentials, allow_12: bool = False, tickets: bool = True) -> None:
        """Raises CredentialsError if OpenSSL rejects the credentials or can't verify the own certificate.

        `allow_12` permits TLS 1.2 besides 1.3; `tickets` enables session resumption.
        """
        self.credentials, self.allow_12, self.tickets = credentials, allow_12, tickets
        try:
            self.client = self._make_context(ssl.PROTOCOL_TLS_CLIENT)
            self.renew_tickets()
            self._verify_own_chain()
        except ssl.SSLError as error:
            raise CredentialsError(
                [f"the credentials can't be used: {failure_reason(error)}: {error}"]
            ) from None

    def renew_tickets(self) -> None:
        """Replaces the server context by one with new ticket keys."""
        self.server = self._make_context(ssl.PROTOCOL_TLS_SERVER)

    def _make_context(self, protocol: ssl._SSLMethod) -> ssl.SSLContext:
        context = ssl.SSLContext(protocol)
        context.check_hostname = False  # keys.validation compares names with the settings and ignores the CN
        context.verify_mode = ssl.CERT_REQUIRED
        context.minimum_version = ssl.TLSVersion.TLSv1_2 if self.allow_12 else ssl.TLSVersion.TLSv1_3
        context.options |= ssl.OP_NO_RENEGOTIATION | ssl.OP_NO_COMPRESSION
        if protocol is ssl.PROTOCOL_TLS_SERVER:
            context.num_tickets = 1 if self.tickets else 0
        if not self.tickets:
            context.options |= ssl.OP_NO_TICKET
        # load_cert_chain reads files only. It gets in-memory files with the bytes that were checked, so that
        # a file changed after the check is not used.
        chain = os.memfd_create("certificate", os.MFD_CLOEXEC)
        key = os.memfd_create("key", os.MFD_CLOEXEC)
        try:
            for descriptor, data in ((chain, self.credentials.certificate), (key, self.credentials.key)):
                while data:
                    data = data[os.write(descriptor, data) :]
            context.load_cert_chain(f"/proc/self/fd/{chain}", f"/proc/self/fd/{key}")
        finally:
            os.close(chain)
            os.close(key)
        context.load_verify_locations(cadata=self.credentials.trust.decode("ascii", "replace"))
        return context

    def connect(
        self,
        loop: EventLoop,
        sock: socket.socket,
        handshakes: HandshakeScheduler,
        name: str,
        session: ssl.SSLSession | None = None,
    ) -> Generator[WaitRequest, None, TlsStream]:
        """Handshakes on a connected socket, for stand-ins; returns the stream.

        Raises HandshakeError if the handshake fails or the server's certificate does not contain `name`.
        """

        def wrap(plain: socket.socket) -> ssl.SSLSocket:
            return self.wrap_client(plain, name, session)

        tls_socket = yield from handshake(loop, sock, wrap, handshakes, STANDIN_HANDSHAKE_TIMEOUT_MS)
        stream = TlsStream(loop, tls_socket, STANDIN_BUFFER_BYTES)
        if not validation.certificate_has_name(peer_certificate(tls_socket), name, False):
            stream.close(str(FailureReason.WRONG_NAME))
            raise HandshakeError(FailureReason.WRONG_NAME)
        return stream

    def wrap_client(self, sock: socket.socket, name: str, session: ssl.SSLSession | None) -> ssl.SSLSocket:
        """The client side of a TLS connection to server `name`; no handshake has been made yet."""
        return self.client.wrap_socket(
            sock,
            server_hostname=name,
            do_handshake_on_connect=False,
            suppress_ragged_eofs=False,
            session=session,
        )

    def wrap_server(self, sock: socket.socket) -> ssl.SSLSocket:
        """The server side of a TLS connection; no handshake has been made yet."""
        return self.server.wrap_socket(
            sock, server_side=True, do_handshake_on_connect=False, suppress_ragged_eofs=False
        )

    def _verify_own_chain(self) -> None:
        """Verifies chain, key and both purposes by an in-memory handshake between the two contexts.

        The checks are thus the same as those that are made of a peer.
        """
        to_server, to_client = ssl.MemoryBIO(), ssl.MemoryBIO()
        ends = [
            self.client.wrap_bio(to_client, to_server, server_side=False),
            self.server.wrap_bio(to_server, to_client, server_side=True),
        ]
        for _ in range(8):
            for end in list(ends):
                try:
                    end.do_handshake()
                    ends.remove(end)
                except ssl.SSLWantReadError:
                    continue
            if not ends:
                return
        raise ssl.SSLError("a handshake between the own client and server context did not finish")


def peer_certificate(sock: ssl.SSLSocket) -> CertificateInfo:
    """The peer's certificate; in a resumed session, the one of the full handshake.

    Raises HandshakeError if there is none or it is malformed.
    """
    der = sock.getpeercert(True)
    if not der:
        raise HandshakeError(FailureReason.NO_CERTIFICATE)
    try:
        return certificate_info.from_der(der)
    except ValueError as error:
        raise HandshakeError(FailureReason.UNREADABLE_CERTIFICATE, str(error)) from None


class _HandshakeStep:
    """One step of a handshake, for the worker thread.

    OpenSSL releases the interpreter lock while it computes and verifies signatures.
    """

    def __init__(self, sock: ssl.SSLSocket) -> None:
        self.sock = sock
        self.error: OSError | None = None
        self.cpu_ms = 0.0

    def __call__(self) -> None:
        started = time.thread_time()  # processor time: without the wait for a processor or the lock
        try:
            self.sock.do_handshake()
        except OSError as error:
            self.error = error
        except ValueError as error:
            self.error = OSError(str(error))
        self.cpu_ms = 1_000.0 * (time.thread_time() - started)


def handshake(
    loop: EventLoop,
    sock: socket.socket,
    wrap: Callable[[socket.socket], ssl.SSLSocket],
    handshakes: HandshakeScheduler,
    timeout_ms: float,
    slot: int = 0,
) -> Generator[WaitRequest, None, ssl.SSLSocket]:
    """Makes a handshake without blocking the loop; raises HandshakeError and closes the socket on failure.

    `wrap` makes the TLS socket; `handshakes` paces the steps. `slot` is the slot of an incoming handshake,
    0 for an outgoing one, which needs none.
    """
    sock.setblocking(False)
    deadline = loop.now + timeout_ms
    fd = sock.fileno()
    timeout = loop.timers.schedule(deadline, lambda now: loop.interrupt(fd))
    tls_socket: ssl.SSLSocket | None = None
    try:
        tls_socket = wrap(sock)
        fd = tls_socket.fileno()
        wanted: str | None = None if not tls_socket.server_side else READ
        while True:
            if wanted is not None:
                yield wanted, fd
            start_at = handshakes.schedule_step(loop.now)
            if start_at > loop.now:
                yield "sleep", start_at - loop.now
            # The slot of a stalled handshake may have been given to another one.
            if loop.now >= deadline or not handshakes.holds_slot(slot):
                raise TimedOut
            handshakes.record_progress(loop.now, slot)
            step = _HandshakeStep(tls_socket)
            yield WORK, step
            handshakes.record_cost(step.cpu_ms)
            if step.error is None:
                return tls_socket
            if isinstance(step.error, ssl.SSLWantReadError):
                wanted = READ
            elif isinstance(step.error, ssl.SSLWantWriteError):
                wanted = WRITE
            else:
                raise step.error
    except TimedOut:
        _close_socket(loop, tls_socket or sock)
        raise HandshakeError(FailureReason.HANDSHAKE_TIMEOUT) from None
    except OSError as error:
        _close_socket(loop, tls_socket or sock)
        raise HandshakeError(failure_reason(error), str(error)) from None
    finally:
        timeout.cancel()


def _close_socket(loop: EventLoop, sock: socket.socket) -> None:
    if sock.fileno() >= 0:
        loop.unregister(sock.fileno())
        sock.close()


MAX_RECORDS_PER_READ = 16  # of up to 16 KiB; bounds how long one peer keeps the others waiting
# On a quiet link, an attempt to read a second record is mostly a wasted system call. It is made in one
# read of this many, and whenever the last read returned more than one record.
READS_PER_DRAIN = 8


class TlsStream(Stream):
    """A TLS stream. An end without close_notify is a truncation and closes it with an error as the reason."""

    sock: ssl.SSLSocket
    pending_error: OSError | None = None  # raised after complete records; reported by the next read
    read_count = 0
    had_more_records = False  # whether the last read returned more than one

    def read(self, max_bytes: int = READ_SIZE_BYTES) -> Generator[WaitRequest, None, bytes]:
        """Waits for data and returns it: up to MAX_RECORDS_PER_READ records, each of `max_bytes` at most."""
        while not self.closed:
            if self.pending_error is None:
                yield READ, self.fd
            if self.closed:
                break
            records: list[bytes] = []
            try:
                if self.pending_error is not None:
                    raise self.pending_error
                # recv returns one record at a time. With one record in each turn of the loop, messages of a
                # busy link would wait behind the handshakes of other peers, so all that is there is read.
                self.read_count += 1
                drain = self.had_more_records or self.read_count % READS_PER_DRAIN == 0
                for _ in range(MAX_RECORDS_PER_READ if drain else 1):
                    records.append(self.sock.recv(max_bytes))
                self.had_more_records = len(records) > 1
                return records[0] if len(records) == 1 else b"".join(records)
            except (ssl.SSLWantReadError, ssl.SSLWantWriteError):
                self.had_more_records = len(records) > 1
                if records:
                    return records[0] if len(records) == 1 else b"".join(records)
                continue
            except OSError as error:
                if records:
                    self.pending_error = error
                    return b"".join(records)
                if isinstance(error, ssl.SSLZeroReturnError):
                    return b""
                self._close_after_error(error)
        return b""

    def _close_after_error(self, error: OSError) -> None:
        if isinstance(error, ssl.SSLError) and not isinstance(error, ssl.SSLEOFError | ssl.SSLSyscallError):
            reason = (
                FailureReason.REFUSED_BY_PEER
                if "ALERT" in (error.reason or "")
                else FailureReason.BROKEN_RECORD
            )
            self.close(f"{PROTOCOL_ERROR_PREFIX}{reason}: {error.reason or error}")
        else:
            self.close(f"{PROTOCOL_ERROR_PREFIX}{FailureReason.TRUNCATED}")

    def _send(self, data: bytes) -> int:
        try:
            return self.sock.send(data)
        except (ssl.SSLWantWriteError, ssl.SSLWantReadError):
            return 0

    def close(self, reason: str) -> None:
        if not self.closed and not reason.startswith(PROTOCOL_ERROR_PREFIX):
            with contextlib.suppress(OSError, ValueError):
                self.sock.unwrap()  # sends close_notify and does not wait for the peer's
        super().close(reason)
