"""M3UA codec (RFC 4666). The length in the common header delimits messages, so that it can run over TCP.

Not implemented: SCTP, REG/DEREG (routing keys are in the settings), the use of correlation ids at fail-over
and network appearance (there is one network). See docs/signalling.md.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass, field

from ospreybridge.signalling.errors import EncodeError, FrameError, MessageError

VERSION = 1
HEADER_FORMAT = struct.Struct(">BBBBI")
PARAMETER_HEADER = struct.Struct(">HH")  # tag, length
PROTOCOL_DATA_HEADER = struct.Struct(">IIBBBB")  # OPC, DPC, SI, NI, MP, SLS
DATA_HEADER = struct.Struct(">BBBBIHHIHHIIBBBB")  # common header, routing context, protocol data header
MAX_FRAME_BYTES = 4_096  # an ISUP message has at most 272 octets

# Message classes, and messages as (class, type).
MGMT, TRANSFER, SSNM, ASPSM, ASPTM = 0, 1, 2, 3, 4
ERR, NTFY = (MGMT, 0), (MGMT, 1)
DATA = (TRANSFER, 1)
DUNA, DAVA, DAUD, SCON, DUPU, DRST = (SSNM, 1), (SSNM, 2), (SSNM, 3), (SSNM, 4), (SSNM, 5), (SSNM, 6)
ASPUP, ASPDN, BEAT = (ASPSM, 1), (ASPSM, 2), (ASPSM, 3)
ASPUP_ACK, ASPDN_ACK, BEAT_ACK = (ASPSM, 4), (ASPSM, 5), (ASPSM, 6)
ASPAC, ASPIA, ASPAC_ACK, ASPIA_ACK = (ASPTM, 1), (ASPTM, 2), (ASPTM, 3), (ASPTM, 4)
NAMES = {
    ERR: "ERR", NTFY: "NTFY", DATA: "DATA", DUNA: "DUNA", DAVA: "DAVA", DAUD: "DAUD", SCON: "SCON",
    DUPU: "DUPU", DRST: "DRST", ASPUP: "ASPUP", ASPDN: "ASPDN", BEAT: "BEAT", ASPUP_ACK: "ASPUP ACK",
    ASPDN_ACK: "ASPDN ACK", BEAT_ACK: "BEAT ACK", ASPAC: "ASPAC", ASPIA: "ASPIA", ASPAC_ACK: "ASPAC ACK",
    ASPIA_ACK: "ASPIA ACK",
}  # fmt: skip
SUPPORTED_CLASSES = frozenset(kind[0] for kind in NAMES)

# Parameter tags.
(INFO_STRING, ROUTING_CONTEXT, DIAGNOSTIC,
 HEARTBEAT_DATA, TRAFFIC_MODE) = 0x0004, 0x0006, 0x0007, 0x0009, 0x000B  # fmt: skip
ERROR_CODE, STATUS, ASP_ID, AFFECTED_POINT_CODE, CONGESTION = 0x000C, 0x000D, 0x0011, 0x0012, 0x0205
PROTOCOL_DATA_TAG = 0x0210
# Error codes.
INVALID_VERSION, UNSUPPORTED_CLASS, UNSUPPORTED_TYPE, UNSUPPORTED_TRAFFIC_MODE = 0x01, 0x03, 0x04, 0x05
UNEXPECTED_MESSAGE, PROTOCOL_ERROR = 0x06, 0x07
ASP_ID_REQUIRED, INVALID_ASP_ID, PARAMETER_FIELD_ERROR = 0x0E, 0x0F, 0x12
MISSING_PARAMETER, INVALID_ROUTING_CONTEXT = 0x16, 0x19
AS_INACTIVE, AS_ACTIVE = 2, 3  # status information of an AS state change (status type 1)
# Status type "other" and its information: another ASP is active in place of this one.
STATUS_OTHER, ALTERNATE_ASP_ACTIVE = 2, 2
OVERRIDE, LOADSHARE = 1, 2  # traffic mode types
SI_SCCP, SI_ISUP = 3, 5  # service indicators


@dataclass(slots=True)
class Data:
    """One DATA message, with point codes of 14 bits and the user part's octets as `body`."""

    opc: int
    dpc: int
    si: int
    ni: int
    mp: int
    sls: int
    body: bytes
    routing_context: int | None = None


@dataclass(slots=True)
class Message:
    """Any other message: (class, type), and parameters by tag (of a repeated tag, the last one)."""

    kind: tuple[int, int]
    parameters: dict[int, bytes] = field(default_factory=dict)

    @property
    def name(self) -> str:
        """The message's name for logs."""
        return NAMES[self.kind]

    def integer(self, tag: int) -> int | None:
        """A 32-bit parameter, or None if it is absent."""
        raw = self.parameters.get(tag)
        if raw is None:
            return None
        if len(raw) < 4:
            raise MessageError(
                f"{self.name}: parameter {tag:#06x} has {len(raw)} octets, not 4", PARAMETER_FIELD_ERROR
            )
        return int.from_bytes(raw[:4], "big")

    def affected_point_codes(self) -> list[tuple[int, int]]:
        """(mask, point code) pairs; the mask is the number of low-order bits that are wildcards."""
        raw = self.parameters.get(AFFECTED_POINT_CODE)
        if raw is None:
            raise MessageError(f"{self.name} without an affected point code", MISSING_PARAMETER)
        if not raw or len(raw) % 4:
            raise MessageError(
                f"{self.name}: affected point code parameter of {len(raw)} octets", PARAMETER_FIELD_ERROR
            )
        return [(raw[at], int.from_bytes(raw[at + 1 : at + 4], "big")) for at in range(0, len(raw), 4)]

    def info_string(self) -> str:
        """The info string, empty if it is absent."""
        return self.parameters.get(INFO_STRING, b"").decode("utf-8", "replace")


class Splitter:
    """Cuts the byte stream of one direction of a connection into frames."""

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self.max_frame_bytes = max_frame_bytes
        self.buffer = b""

    def feed(self, data: bytes) -> list[bytes]:
        """The frames completed by `data`, in order.

        Raises FrameError on an invalid header; the stream can't be read after it.
        """
        data = self.buffer + data if self.buffer else data
        frames, at, size = [], 0, len(data)
        while size - at >= 8:
            length = int.from_bytes(data[at + 4 : at + 8], "big")
            if data[at] != VERSION:
                raise FrameError(f"version {data[at]} in the common header, not {VERSION}", INVALID_VERSION)
            if length < 8 or length > self.max_frame_bytes:
                raise FrameError(f"length {length} in the common header, not 8 to {self.max_frame_bytes}")
            if at + length > size:
                break
            frames.append(data[at : at + length])
            at += length
        self.buffer = data[at:]
        return frames


def decode(frame: bytes) -> Data | Message:
    """Decodes one frame; MessageError states what is wrong with it."""
    if len(frame) < 8:
        raise MessageError(f"a frame of {len(frame)} octets", PROTOCOL_ERROR)
    version, _, message_class, message_type, length = HEADER_FORMAT.unpack_from(frame)
    if version != VERSION:
        raise MessageError(f"version {version}, not {VERSION}", INVALID_VERSION)
    if length != len(frame):
        raise MessageError(f"length {length} in a frame of {len(frame)} octets", PROTOCOL_ERROR)
    if (message_class, message_type) not in NAMES:
        if message_class in SUPPORTED_CLASSES:
            raise MessageError(
                f"type {message_type} of class {message_class} is not supported", UNSUPPORTED_TYPE
            )
        raise MessageError(f"class {message_class} is not supported", UNSUPPORTED_CLASS)
    parameters: dict[int, bytes] = {}
    at = 8
    while at < length:
        if length - at < 4:
            raise MessageError(f"{length - at} octets after the last parameter", PROTOCOL_ERROR)
        tag, size = PARAMETER_HEADER.unpack_from(frame, at)
        if size < 4 or at + size > length:
            raise MessageError(f"parameter {tag:#06x} with length {size} does not fit", PARAMETER_FIELD_ERROR)
        parameters[tag] = frame[at + 4 : at + size]
        at += (size + 3) & ~3  # the last parameter may lack its padding if the header's length excludes it
    if (message_class, message_type) != DATA:
        return Message((message_class, message_type), parameters)
    raw = parameters.get(PROTOCOL_DATA_TAG)
    if raw is None:
        raise MessageError("DATA without protocol data", MISSING_PARAMETER)
    if len(raw) < 12:
        raise MessageError(f"protocol data of {len(raw)} octets", PARAMETER_FIELD_ERROR)
    opc, dpc, si, ni, mp, sls = PROTOCOL_DATA_HEADER.unpack_from(raw)
    raw_context = parameters.get(ROUTING_CONTEXT)
    if raw_context is not None and len(raw_context) != 4:
        raise MessageError(
            f"DATA with a routing context of {len(raw_context)} octets", INVALID_ROUTING_CONTEXT
        )
    routing_context = None if raw_context is None else int.from_bytes(raw_context, "big")
    return Data(opc, dpc, si, ni, mp, sls, raw[12:], routing_context)


def encode_data(data: Data) -> bytes:
    """A DATA frame; the routing context comes first, in the order of RFC 4666, 3.3.1.

    Raises EncodeError if the user part is too long.
    """
    size = 16 + len(data.body)
    pad = -size % 4
    if size + pad > MAX_FRAME_BYTES - 24:
        raise EncodeError(f"a user part of {len(data.body)} octets is too long")
    if data.routing_context is None:
        head = HEADER_FORMAT.pack(VERSION, 0, *DATA, 8 + size + pad) + PARAMETER_HEADER.pack(
            PROTOCOL_DATA_TAG, size
        )
        head += PROTOCOL_DATA_HEADER.pack(data.opc, data.dpc, data.si, data.ni, data.mp, data.sls)
    else:
        head = DATA_HEADER.pack(
            VERSION,
            0,
            1,
            1,
            16 + size + pad,
            ROUTING_CONTEXT,
            8,
            data.routing_context,
            PROTOCOL_DATA_TAG,
            size,
            data.opc,
            data.dpc,
            data.si,
            data.ni,
            data.mp,
            data.sls,
        )
    return head + data.body + b"\0" * pad


def encode(kind: tuple[int, int], parameters: Iterable[tuple[int, bytes]] = ()) -> bytes:
    """A frame from (class, type) and (tag, value) pairs."""
    body = b"".join(
        PARAMETER_HEADER.pack(tag, 4 + len(value)) + value + b"\0" * (-len(value) % 4)
        for tag, value in parameters
    )
    return HEADER_FORMAT.pack(VERSION, 0, *kind, 8 + len(body)) + body


def uint32(value: int) -> bytes:
    """The value of a 32-bit parameter."""
    return value.to_bytes(4, "big")


def encode_affected(*point_codes: tuple[int, int]) -> bytes:
    """The value of an affected point code parameter from (mask, point code) pairs."""
    return b"".join(bytes([mask]) + code.to_bytes(3, "big") for mask, code in point_codes)


def encode_ssnm(
    kind: tuple[int, int], routing_context: int, mask: int, point_code: int, info: str = ""
) -> bytes:
    """An SSNM message (DUNA, DAVA, DAUD, DRST, SCON) for one point code or a range of them."""
    parameters = [
        (ROUTING_CONTEXT, uint32(routing_context)),
        (AFFECTED_POINT_CODE, encode_affected((mask, point_code))),
    ]
    if info:
        parameters.append((INFO_STRING, info.encode()[:255]))
    return encode(kind, parameters)


def encode_error(code: int, diagnostic: bytes = b"", routing_context: int | None = None) -> bytes:
    """An ERR message; `diagnostic`: the message that it answers, of which 64 octets are sent."""
    parameters = [(ERROR_CODE, uint32(code))]
    if routing_context is not None:
        parameters.append((ROUTING_CONTEXT, uint32(routing_context)))
    if diagnostic:
        parameters.append((DIAGNOSTIC, diagnostic[:64]))
    return encode(ERR, parameters)
