"""Binary frames of the journal service, which report the office list and its changes. No I/O.

Frame: length (4 octets), number (8), kind (1), payload; big-endian; the length counts the octets after it.
Kinds: 0 no changes, 1 full list, 2 changes. The payload of 1 and 2 is records of 27 octets.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

from ospreybridge.signalling.errors import FrameError

LENGTH_FORMAT = struct.Struct(">I")
HEADER_FORMAT = struct.Struct(">QB")
RECORD_FORMAT = struct.Struct(">IIHBBBHIQ")
REQUEST_FORMAT = struct.Struct(">Q")  # number of the last frame received: asks for the frames after it
NO_CHANGES, FULL_LIST, CHANGES = 0, 1, 2  # kinds
READY, DRAINING, REMOVED = 0, 1, 2  # states of an office
MAX_RECORDS = 20_000
MAX_FRAME_BYTES = HEADER_FORMAT.size + MAX_RECORDS * RECORD_FORMAT.size  # without the length field


@dataclass(frozen=True, slots=True)
class OfficeRecord:
    """One office as the journal service reports it."""

    id: int
    address: str
    port: int
    state: int
    zone: int  # index in the settings' list of zones
    kind: int  # index in the settings' list of kinds
    cell: int
    weight: int  # in thousandths
    started_unix_ms: int  # 0: long ago


@dataclass(frozen=True, slots=True)
class Frame:
    """One numbered event of the office list."""

    number: int
    kind: int
    records: tuple[OfficeRecord, ...] = ()


class Splitter:
    """Cuts a byte stream into frames.

    `error` is not empty once the frame boundaries are lost: it states why, and nothing more is read.
    """

    def __init__(self) -> None:
        self.buffer = b""
        self.error = ""

    def feed(self, data: bytes) -> list[Frame]:
        """The frames completed by `data`, in order."""
        self.buffer += data
        frames: list[Frame] = []
        while not self.error and len(self.buffer) >= LENGTH_FORMAT.size:
            (length,) = LENGTH_FORMAT.unpack_from(self.buffer)
            if not HEADER_FORMAT.size <= length <= MAX_FRAME_BYTES:
                self.error = f"invalid frame length {length}"
            elif len(self.buffer) < LENGTH_FORMAT.size + length:
                break
            else:
                body = self.buffer[LENGTH_FORMAT.size : LENGTH_FORMAT.size + length]
                self.buffer = self.buffer[LENGTH_FORMAT.size + length :]
                try:
                    frames.append(decode(body))
                except FrameError as error:
                    self.error = str(error)
        if self.error:
            self.buffer = b""
        return frames


def decode(body: bytes) -> Frame:
    """Decodes a frame without its length field; FrameError if it is invalid."""
    number, kind = HEADER_FORMAT.unpack_from(body)
    payload = body[HEADER_FORMAT.size :]
    if kind not in (NO_CHANGES, FULL_LIST, CHANGES):
        raise FrameError(f"unknown frame kind {kind}")
    if number >= 1 << 62:
        raise FrameError(f"frame number {number} is too large")
    if kind == NO_CHANGES:
        return Frame(number, kind)
    if len(payload) % RECORD_FORMAT.size:
        raise FrameError(f"{len(payload)} octets are no whole number of records")
    records = []
    for office, address, port, state, zone, office_kind, cell, weight, started in RECORD_FORMAT.iter_unpack(
        payload
    ):
        if state > REMOVED:
            raise FrameError(f"unknown office state {state}")
        host = ".".join(str(octet) for octet in address.to_bytes(4, "big"))
        records.append(OfficeRecord(office, host, port, state, zone, office_kind, cell, weight, started))
    return Frame(number, kind, tuple(records))


def encode(frame: Frame) -> bytes:
    """The frame with its length field."""
    payload = b"".join(
        RECORD_FORMAT.pack(
            record.id,
            int.from_bytes(bytes(int(octet) for octet in record.address.split(".")), "big"),
            record.port,
            record.state,
            record.zone,
            record.kind,
            record.cell,
            record.weight,
            record.started_unix_ms,
        )
        for record in frame.records
    )
    return (
        LENGTH_FORMAT.pack(HEADER_FORMAT.size + len(payload))
        + HEADER_FORMAT.pack(frame.number, frame.kind)
        + payload
    )


def office_name(office: int) -> str:
    """The name of an office: `s-` and 8 hex digits."""
    return f"s-{office:08x}"


def office_id(text: object) -> int:
    """The office id in a name; ValueError if it is not an office name."""
    if not isinstance(text, str) or len(text) != 10 or not text.startswith("s-"):
        raise ValueError("s- and 8 hex digits were expected")
    return int(text[2:], 16)
