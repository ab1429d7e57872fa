"""TLS on the loop: contexts made of a checked set, handshakes step by step, streams of records."""

from __future__ import annotations

import contextlib
import os
import socket
import ssl
import time
from collections.abc import Callable, Generator

from ospreybridge.core.handshakes import HandshakeScheduler
from ospreybridge.keys import certificate_info as read_facts
from ospreybridge.keys import validation
from ospreybridge.keys.certificate_info import CertificateInfo
from ospreybridge.keys.credentials import Credentials, CredentialsError
from ospreybridge.keys.validation import FailureReason
from ospreybridge.net.loop import READ, WORK, WRITE, EventLoop, TimedOut, WaitRequest
from ospreybridge.net.tcp import CHUNK, Stream

# OpenSSL's X509_V_ERR_* (openssl/x509_vfy.h), as far as a peer's chain brings them about.
_VERIFY = {
    2: FailureReason.UNKNOWN_ISSUER, 7: FailureReason.UNKNOWN_ISSUER, 9: FailureReason.NOT_YET_VALID,
    10: FailureReason.EXPIRED, 18: FailureReason.UNKNOWN_ISSUER, 19: FailureReason.UNKNOWN_ISSUER,
    20: FailureReason.UNKNOWN_ISSUER, 21: FailureReason.UNKNOWN_ISSUER, 23: FailureReason.REVOKED,
    24: FailureReason.UNKNOWN_ISSUER, 26: FailureReason.WRONG_PURPOSE, 66: FailureReason.WEAK_KEY,
    67: FailureReason.WEAK_KEY, 68: FailureReason.WEAK_KEY, 79: FailureReason.UNKNOWN_ISSUER,
}  # fmt: skip
# OpenSSL's names of library errors, without the alerts, which all begin alike.
_LIBRARY = {
    "PEER_DID_NOT_RETURN_A_CERTIFICATE": FailureReason.NO_CERTIFICATE,
    "WRONG_VERSION_NUMBER": FailureReason.NOT_TLS, "HTTP_REQUEST": FailureReason.NOT_TLS,
    "HTTPS_PROXY_REQUEST": FailureReason.NOT_TLS, "PACKET_LENGTH_TOO_LONG": FailureReason.NOT_TLS,
    "UNEXPECTED_MESSAGE": FailureReason.NOT_TLS, "RECORD_LAYER_FAILURE": FailureReason.NOT_TLS,
    "UNSUPPORTED_PROTOCOL": FailureReason.NO_COMMON_VERSION,
    "NO_PROTOCOLS_AVAILABLE": FailureReason.NO_COMMON_VERSION, "EE_KEY_TOO_SMALL": FailureReason.WEAK_KEY,
}  # fmt: skip
_OLD_ALERT = "TLSV1_ALERT_PROTOCOL_VERSION"
STANDIN_HANDSHAKE_TIMEOUT_MS, STANDIN_BUFFER = (
    5_000.0,
    1 << 24,
)  # ms of a stand-in's handshake, octets it may have unread
PROTOCOL_ERROR_PREFIX = "tls: "  # begins the reason of a stream that ended against the protocol


class HandshakeError(Exception):
    """A handshake that came to nothing; `reason` is its one name, `detail` what the library or judge said."""

    def __init__(self, reason: FailureReason, detail: str = "") -> None:
        super().__init__(f"{reason}{': ' if detail else ''}{detail}")
        self.reason, self.detail = reason, detail


def reason_of(error: BaseException) -> FailureReason:
    if isinstance(error, ssl.SSLCertVerificationError):
        return _VERIFY.get(error.verify_code, FailureReason.UNREADABLE_CERTIFICATE)
    if isinstance(error, ssl.SSLEOFError | ssl.SSLZeroReturnError | ssl.SSLSyscallError):
        return FailureReason.CLOSED_IN_HANDSHAKE
    if isinstance(error, ssl.SSLError):
        name = error.reason or ""
        if name == _OLD_ALERT:
            return FailureReason.NO_COMMON_VERSION
        return (
            FailureReason.REFUSED_BY_PEER
            if "ALERT" in name
            else _LIBRARY.get(name, FailureReason.BROKEN_RECORD)
        )
    return FailureReason.CLOSED_IN_HANDSHAKE


class TlsContexts:
    """The two contexts of one set. `renew_tickets` makes a server context whose ticket keys are new."""

    def __init__(self, material: Credentials, allow_12: bool = False, tickets: bool = True) -> None:
        """MaterialError where OpenSSL would not use the set, or would not believe its own certificate."""
        self.credentials, self.allow_12, self.tickets = material, allow_12, tickets
        try:
            self.client = self._made(ssl.PROTOCOL_TLS_CLIENT)
            self.renew_tickets()
            self._shake_hands_with_itself()
        except ssl.SSLError as error:
            raise CredentialsError([f"the set is not usable: {reason_of(error)}: {error}"]) from None

    def renew_tickets(self) -> None:
        self.server = self._made(ssl.PROTOCOL_TLS_SERVER)

    def _made(self, protocol: ssl._SSLMethod) -> ssl.SSLContext:
        context = ssl.SSLContext(protocol)
        context.check_hostname = False  # names are held against the settings by keys.judge, with no CN
        context.verify_mode = ssl.CERT_REQUIRED
        context.minimum_version = ssl.TLSVersion.TLSv1_2 if self.allow_12 else ssl.TLSVersion.TLSv1_3
        context.options |= ssl.OP_NO_RENEGOTIATION | ssl.OP_NO_COMPRESSION
        if protocol is ssl.PROTOCOL_TLS_SERVER:
            context.num_tickets = 1 if self.tickets else 0
        if not self.tickets:
            context.options |= ssl.OP_NO_TICKET
        # The library reads files only. It is given the octets that were checked, in memory, so that a file
        # changed between the check and the use can't come in.
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
        pace: HandshakeScheduler,
        name: str,
        session: ssl.SSLSession | None = None,
    ) -> Generator[WaitRequest, None, TlsStream]:
        """A stream to the peer of that name, for stand-ins; Refused where it is somebody else."""

        def wrap(plain: socket.socket) -> ssl.SSLSocket:
            return self.wrap_client(plain, name, session)

        secured = yield from handshake(loop, sock, wrap, pace, STANDIN_HANDSHAKE_TIMEOUT_MS)
        stream = TlsStream(loop, secured, STANDIN_BUFFER)
        if not validation.certificate_has_name(peer_certificate(secured), name, False):
            stream.close(str(FailureReason.WRONG_NAME))
            raise HandshakeError(FailureReason.WRONG_NAME)
        return stream

    def wrap_client(self, sock: socket.socket, name: str, session: ssl.SSLSession | None) -> ssl.SSLSocket:
        return self.client.wrap_socket(
            sock,
            server_hostname=name,
            do_handshake_on_connect=False,
            suppress_ragged_eofs=False,
            session=session,
        )

    def wrap_server(self, sock: socket.socket) -> ssl.SSLSocket:
        return self.server.wrap_socket(
            sock, server_side=True, do_handshake_on_connect=False, suppress_ragged_eofs=False
        )

    def _shake_hands_with_itself(self) -> None:
        """Chain, key and both purposes are verified by the very code that verifies them for a peer."""
        up, down = ssl.MemoryBIO(), ssl.MemoryBIO()
        ends = [
            self.client.wrap_bio(down, up, server_side=False),
            self.server.wrap_bio(up, down, server_side=True),
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
        raise ssl.SSLError("the set does not finish a handshake with itself")


def peer_certificate(sock: ssl.SSLSocket) -> CertificateInfo:
    """What the far end showed, in a resumed session what it showed in the full handshake."""
    der = sock.getpeercert(True)
    if not der:
        raise HandshakeError(FailureReason.NO_CERTIFICATE)
    try:
        return read_facts.read(der)
    except ValueError as error:
        raise HandshakeError(FailureReason.UNREADABLE_CERTIFICATE, str(error)) from None


class _Step:
    """One step of a handshake; its signatures and verifications run without the interpreter's lock."""

    def __init__(self, sock: ssl.SSLSocket) -> None:
        self.sock = sock
        self.error: OSError | None = None
        self.took = 0.0  # ms

    def __call__(self) -> None:
        begun = time.thread_time()  # what it cost, not how long it waited for the processor or the lock
        try:
            self.sock.do_handshake()
        except OSError as error:
            self.error = error
        except ValueError as error:
            self.error = OSError(str(error))
        self.took = 1_000.0 * (time.thread_time() - begun)


def handshake(
    loop: EventLoop,
    sock: socket.socket,
    wrap: Callable[[socket.socket], ssl.SSLSocket],
    pace: HandshakeScheduler,
    within: float,
    key: int = 0,
) -> Generator[WaitRequest, None, ssl.SSLSocket]:
    """Shakes hands without holding the loop; Refused if it comes to nothing. The socket is closed then.

    `key`: the slot it holds in `pace`; 0 for one that was dialled and has none.
    """
    sock.setblocking(False)
    end = loop.now + within
    fd = sock.fileno()
    late = loop.timers.schedule(end, lambda now: loop.interrupt(fd))
    tls: ssl.SSLSocket | None = None
    try:
        tls = wrap(sock)
        fd = tls.fileno()
        wants: str | None = None if not tls.server_side else READ
        while True:
            if wants is not None:
                yield wants, fd
            at = pace.schedule_step(loop.now)
            if at > loop.now:
                yield "sleep", at - loop.now
            if loop.now >= end or not pace.holds_slot(
                key
            ):  # late, or its slot was given to another meanwhile
                raise TimedOut
            pace.record_progress(loop.now, key)
            step = _Step(tls)
            yield WORK, step
            pace.record_cost(step.took)
            if step.error is None:
                return tls
            if isinstance(step.error, ssl.SSLWantReadError):
                wants = READ
            elif isinstance(step.error, ssl.SSLWantWriteError):
                wants = WRITE
            else:
                raise step.error
    except TimedOut:
        _drop(loop, tls or sock)
        raise HandshakeError(FailureReason.HANDSHAKE_TIMEOUT) from None
    except OSError as error:
        _drop(loop, tls or sock)
        raise HandshakeError(reason_of(error), str(error)) from None
    finally:
        late.cancel()


def _drop(loop: EventLoop, sock: socket.socket) -> None:
    if sock.fileno() >= 0:
        loop.unregister(sock.fileno())
        sock.close()


MOST_RECORDS = 16  # taken from one peer before the others have their turn
LOOK_FOR_MORE = 8  # reads of a quiet link between looks for a second record: a look in vain is a system call


class TlsStream(Stream):
    """A stream of TLS records. An end without close_notify is told apart from an orderly one."""

    sock: ssl.SSLSocket
    failed: OSError | None = None  # met after records that were still good
    reads = 0
    several = False  # the last read found more than one record

    def read(self) -> Generator[WaitRequest, None, bytes]:
        while not self.closed:
            if self.failed is None:
                yield READ, self.fd
            if self.closed:
                break
            got: list[bytes] = []
            try:
                if self.failed is not None:
                    raise self.failed
                # One record a time comes out. All that is there is taken: a record a turn would leave a busy
                # link's messages standing in line behind other peers' handshakes.
                self.reads += 1
                deep = self.several or self.reads % LOOK_FOR_MORE == 0
                for _ in range(MOST_RECORDS if deep else 1):
                    got.append(self.sock.recv(CHUNK))
                self.several = len(got) > 1
                return got[0] if len(got) == 1 else b"".join(got)
            except (ssl.SSLWantReadError, ssl.SSLWantWriteError):
                self.several = len(got) > 1
                if got:
                    return got[0] if len(got) == 1 else b"".join(got)
                continue
            except OSError as error:
                if got:
                    self.failed = error
                    return b"".join(got)
                if isinstance(error, ssl.SSLZeroReturnError):
                    return b""
                self._ended(error)
        return b""

    def _ended(self, error: OSError) -> None:
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
                self.sock.unwrap()  # sends close_notify; the far end's is not waited for
        super().close(reason)
