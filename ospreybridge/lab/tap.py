"""Records of the frames that passed a relay, and their export to pcapng for Wireshark (exported PDUs)."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import BinaryIO

from pcapng import FileWriter
from pcapng.blocks import EnhancedPacket, InterfaceDescription, SectionHeader

RECORD_HEADER = struct.Struct(">dBHHI")  # ms of the monotonic clock, kind, source, target, size of the frame
FRAME, LINK_UP, LINK_DOWN, INJECTED, RELAY_BUSY = 0, 1, 2, 3, 4
BUSY_PAYLOAD = struct.Struct(">d")  # in place of a frame: start of the long loop turn (ms)
LINKTYPE_WIRESHARK_UPPER_PDU = 252
# Tags of the exported-PDU format.
(
    _TAG_DISSECTOR_NAME,
    _TAG_IPV4_SOURCE,
    _TAG_IPV4_DESTINATION,
    _TAG_PORT_TYPE,
    _TAG_SOURCE_PORT,
    _TAG_DESTINATION_PORT,
) = 12, 20, 21, 24, 25, 26
_PORT_TYPE_SCTP = 1
M3UA_PORT = 2905


@dataclass(frozen=True, slots=True)
class Record:
    """One frame or state change of a link between two point codes, or a long loop turn of the relay.

    `at` is in milliseconds of the monotonic clock.
    """

    at: float
    kind: int
    source: int
    target: int
    frame: bytes = b""


class Tap:
    """Writes records to a file; the output is buffered until `close`."""

    def __init__(self, path: Path) -> None:
        self.file: BinaryIO = path.open("wb")

    def write(self, at: float, kind: int, source: int, target: int, frame: bytes = b"") -> None:
        self.file.write(RECORD_HEADER.pack(at, kind, source, target, len(frame)) + frame)

    def close(self) -> None:
        self.file.close()


def read_records(path: Path) -> Iterator[Record]:
    """All complete records; one truncated at the end, by a killed relay, is skipped."""
    data = path.read_bytes()
    offset = 0
    while offset + RECORD_HEADER.size <= len(data):
        at, kind, source, target, size = RECORD_HEADER.unpack_from(data, offset)
        offset += RECORD_HEADER.size
        if offset + size > len(data):
            return
        yield Record(at, kind, source, target, data[offset : offset + size])
        offset += size


def merge_taps(paths: list[Path]) -> list[Record]:
    """The records of several taps of one machine in order of time."""
    return sorted((record for path in paths for record in read_records(path)), key=lambda record: record.at)


def _encode_tag(tag: int, value: bytes) -> bytes:
    return struct.pack(">HH", tag, len(value)) + value + b"\0" * (-len(value) % 4)


def encode_exported_pdu(source: int, target: int, frame: bytes) -> bytes:
    """A frame with Wireshark's exported-PDU tags; point codes appear as IPv4 addresses 10.0.x.y."""
    name = b"m3ua"
    tags = _encode_tag(_TAG_DISSECTOR_NAME, name + b"\0" * (-len(name) % 4))
    for code, number in ((_TAG_IPV4_SOURCE, source), (_TAG_IPV4_DESTINATION, target)):
        tags += _encode_tag(code, bytes((10, 0, number >> 8 & 255, number & 255)))
    tags += _encode_tag(_TAG_PORT_TYPE, struct.pack(">I", _PORT_TYPE_SCTP))
    tags += _encode_tag(_TAG_SOURCE_PORT, struct.pack(">I", M3UA_PORT)) + _encode_tag(
        _TAG_DESTINATION_PORT, struct.pack(">I", M3UA_PORT)
    )
    return tags + struct.pack(">HH", 0, 0) + frame


class Capture:
    """Writes frames to a pcapng file of exported PDUs."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("wb")
        self.section = SectionHeader(options={"shb_userappl": "ospreybridge"})
        self.section.new_member(InterfaceDescription, link_type=LINKTYPE_WIRESHARK_UPPER_PDU, snaplen=65_535)
        self.writer = FileWriter(self.file, self.section)

    def write(self, at: float, source: int, target: int, frame: bytes) -> None:
        """Appends one frame with its time `at` in milliseconds."""
        packet = self.section.new_member(EnhancedPacket)
        packet.timestamp = at / 1_000.0
        packet.packet_data = encode_exported_pdu(source, target, frame)
        self.writer.write_block(packet)

    def close(self) -> None:
        self.file.close()
