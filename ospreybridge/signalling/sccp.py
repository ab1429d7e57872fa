"""SCCP unitdata (Q.713), class 0, routed on subsystem number: messages between call servers."""

from __future__ import annotations

from ospreybridge.signalling.errors import EncodeError, MessageError

UDT = 0x09
# Subsystem numbers of the national range: messages between call servers, route advice of the centre.
PEER_SUBSYSTEM, CENTRE_SUBSYSTEM = 250, 251


def encode(subsystem: int, body: bytes) -> bytes:
    """A unitdata message with 1 to 254 octets of data, between two subsystems of the same number."""
    if not 1 <= len(body) <= 254:
        raise EncodeError(f"{len(body)} octets of unitdata, not 1 to 254")
    # Length; address indicator: routed on the subsystem number, which alone is present.
    address = bytes((2, 0x42, subsystem))
    # Message type, protocol class 0, pointers to called address, calling address and data.
    return bytes((UDT, 0, 3, 5, 7)) + address + address + bytes((len(body),)) + body


def decode(raw: bytes) -> tuple[int, bytes]:
    """Called subsystem number and data; MessageError if the message can't be decoded."""
    if len(raw) < 5 or raw[0] != UDT:
        raise MessageError("not an SCCP unitdata message")
    fields = []  # called address, calling address, data
    for at in (2, 3, 4):
        start = at + raw[at]
        if start >= len(raw) or start + 1 + raw[start] > len(raw):
            raise MessageError("an SCCP pointer is outside the message")
        fields.append(raw[start + 1 : start + 1 + raw[start]])
    address = fields[0]
    if len(address) < 2 or not address[0] & 2:
        raise MessageError("an SCCP address without a subsystem number")
    at = 3 if address[0] & 1 else 1  # after the point code, if there is one
    if at >= len(address):
        raise MessageError("an SCCP address ends before its subsystem number")
    return address[at], fields[2]
