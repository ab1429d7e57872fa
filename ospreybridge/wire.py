"""Codec of the simulator's interface (WIRE-ospreybridge.md): batches of event records in, action records out.

Numbers are little-endian. A batch is a header, the clock, records of fixed size and a tail that holds data of
variable length; records refer to it by offset and length.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

from ospreybridge import interface

HEADER = struct.Struct("<II")  # number of records, length of the body
CLOCK = struct.Struct("<d")  # ms
REPLY = struct.Struct("<II")  # length of what follows this field, number of records
EVENT_SIZE = 56  # octets
ACTION_SIZE = 24  # octets
# One row of an exchange list in the tail.
ENTRY = struct.Struct("<HdBBf6sH")
# Event records after their code.
PROVISION = struct.Struct("<xHQII")
ROSTER = struct.Struct("<xIII")
ROSTER_CHANGE = struct.Struct("<xHIIB")
INGRESS = struct.Struct("<xHIHfdfHQdHf")
PONG = struct.Struct("<xHdH6sB4f")
FIRST = struct.Struct("<xHIB6sd")
RETIRE = struct.Struct("<xH")
CLIENT_LEFT = struct.Struct("<xHI")
RESOLVED = struct.Struct("<xHIB6sHdBIB4f")
DATAGRAM = struct.Struct("<xHIII")
TIMER = struct.Struct("<xHQ")
REDIAL_BIT, TRANSIT_BIT, AFTER_CUT_BIT = 2, 8, 16  # flags of INGRESS
NOTE_BASE = 16  # RESOLVED carries the note plus this times the wait in ms
ALL_PEERS = 0xFFFF
NOTES = {note.value: note for note in interface.Note}


class WireError(ValueError):
    """A frame that violates WIRE-ospreybridge.md."""


@dataclass(frozen=True, slots=True)
class Provision:
    """Event for the host: start an instance with these settings, as KEY=VALUE lines."""

    seed: int
    settings: str


@dataclass(frozen=True, slots=True)
class Retire:
    """Event for the host: drop an instance."""

    pass


@dataclass(frozen=True, slots=True)
class RawReport:
    """Values of a load report; the instance's settings name their columns."""

    values: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Fault:
    """Action of the host: report an exception of the controller."""

    text: str


Decoded = tuple[int, Provision | Retire | interface.Event, RawReport]
NumberedLists = dict[int, tuple[interface.Entry, ...]]


def office_id(raw: bytes) -> int:
    """The office id from its six octets in a record."""
    return int.from_bytes(raw, "little")


def office_bytes(office: int) -> bytes:
    """The six octets of an office id in a record."""
    return office.to_bytes(6, "little")


def decode_batch(count: int, body: bytes, lists: NumberedLists) -> tuple[float, Iterator[Decoded]]:
    """Clock and events of one batch, decoded on demand. WireError: the batch is malformed.

    `lists` keeps the numbered exchange lists from one batch to the next.
    """
    tail_at = CLOCK.size + count * EVENT_SIZE
    if len(body) < tail_at:
        raise WireError(f"batch of {count} records is {tail_at - len(body)} bytes short")
    (now,) = CLOCK.unpack_from(body)
    return now, _decode_records(count, body, body[tail_at:], lists)


def _decode_records(count: int, body: bytes, tail: bytes, lists: NumberedLists) -> Iterator[Decoded]:
    for index in range(count):
        start = CLOCK.size + index * EVENT_SIZE
        record = body[start : start + EVENT_SIZE]
        try:
            decoded = _decode_record(record, tail, lists)
        except (ValueError, OverflowError) as error:
            raise WireError(f"record {index}: {error}") from error
        if decoded is not None:
            yield decoded


def _tail_slice(tail: bytes, offset: int, length: int) -> bytes:
    """The part of the tail that a record refers to; WireError if it lies beyond the end."""
    if offset + length > len(tail):
        raise WireError(f"tail reference {offset}+{length} beyond {len(tail)}")
    return tail[offset : offset + length]


def _decode_entries(tail: bytes, offset: int, count: int) -> tuple[interface.Entry, ...]:
    entries = []
    for zone, started_at, readiness, kind, weight, office_octets, exchange in ENTRY.iter_unpack(
        _tail_slice(tail, offset, count * ENTRY.size)
    ):
        entries.append(
            interface.Entry(
                office_id(office_octets),
                exchange,
                zone,
                interface.Readiness(readiness),
                started_at,
                kind,
                weight,
            )
        )
    return tuple(entries)


def _decode_record(record: bytes, tail: bytes, lists: NumberedLists) -> Decoded | None:
    """One event, with its instance and raw load report; None for ROSTER, which only stores a list."""
    code = record[0]
    empty = RawReport(())
    if code == 10:
        instance, seed, offset, length = PROVISION.unpack_from(record)
        return instance, Provision(seed, _tail_slice(tail, offset, length).decode()), empty
    if code == 110:
        number, offset, rows = ROSTER.unpack_from(record)
        lists[number] = _decode_entries(tail, offset, rows)
        return None
    if code == 20:
        instance, version, number, raw_form = ROSTER_CHANGE.unpack_from(record)
        form = interface.ListForm(raw_form)
        if form != interface.ListForm.FAILED and number not in lists:
            raise WireError(f"list {number} was never sent")
        entries = () if form == interface.ListForm.FAILED else lists[number]
        return instance, interface.Members(form, version, entries), empty
    if code == 30:
        instance, ref, class_index, dest, work, via, tenant, called_number, expires, bits, width = (
            INGRESS.unpack_from(record)
        )
        redial, transit, after_cut = (
            bool(bits & REDIAL_BIT),
            bool(bits & TRANSIT_BIT),
            bool(bits & AFTER_CUT_BIT),
        )
        request = interface.Request(
            ref,
            class_index,
            int(dest),
            expires,
            width,
            tenant,
            int(via),
            called_number,
            work,
            redial,
            transit,
            after_cut,
        )
        return instance, request, empty
    if code == 80:
        instance, elapsed, result, office_octets, value_count, *values = PONG.unpack_from(record)
        return (
            instance,
            interface.Probed(office_id(office_octets), interface.Result(result), elapsed),
            RawReport(tuple(values[:value_count])),
        )
    if code == 40:
        instance, ref, attempt, office_octets, elapsed = FIRST.unpack_from(record)
        return instance, interface.Established(ref, attempt, office_id(office_octets), elapsed), empty
    if code == 100:
        return RETIRE.unpack_from(record)[0], Retire(), empty
    if code == 60:
        instance, ref = CLIENT_LEFT.unpack_from(record)
        return instance, interface.CallerLeft(ref), empty
    if code == 50:
        (
            instance,
            ref,
            attempt,
            office_octets,
            result,
            elapsed,
            call_ended,
            note_and_wait,
            value_count,
            *values,
        ) = RESOLVED.unpack_from(record)
        note, retry_after = (
            NOTES.get(note_and_wait % NOTE_BASE, interface.Note.NONE),
            float(note_and_wait // NOTE_BASE),
        )
        outcome = interface.Outcome(
            ref,
            attempt,
            office_id(office_octets),
            interface.Result(result),
            elapsed,
            bool(call_ended),
            note,
            retry_after,
        )
        return instance, outcome, RawReport(tuple(values[:value_count]))
    if code == 90:
        instance, sender, offset, length = DATAGRAM.unpack_from(record)
        return instance, interface.PeerMessage(sender, _tail_slice(tail, offset, length)), empty
    if code == 70:
        instance, label = TIMER.unpack_from(record)
        return instance, interface.TimerExpired(label), empty
    raise WireError(f"unknown event code {code}")


def encode_reply(actions: list[tuple[int, interface.Action | Fault]]) -> bytes:
    """The reply to a batch: the actions, each with its instance."""
    records = bytearray()
    tail = bytearray()
    for instance, action in actions:
        records += _encode_action(instance, action, tail).ljust(ACTION_SIZE, b"\0")
    length = 4 + len(records) + len(tail)
    return REPLY.pack(length, len(actions)) + bytes(records) + bytes(tail)


def _encode_text(code: int, instance: int, text: str, tail: bytearray) -> bytes:
    """A record whose text is appended to the tail."""
    encoded = text.encode()
    record = struct.pack("<BHII", code, instance, len(tail), len(encoded))
    tail += encoded
    return record


def _encode_action(instance: int, action: interface.Action | Fault, tail: bytearray) -> bytes:
    """One action record, not yet padded; data of variable length is appended to the tail."""
    match action:
        case interface.Send(ref, office, timeout):
            return struct.pack("<BHId6s", 50, instance, ref, timeout, office_bytes(office))
        case interface.StartTimer(label, delay):
            return struct.pack("<BHQd", 70, instance, label, delay)
        case interface.Refuse(ref, retry_after):
            return struct.pack("<BHId", 110, instance, ref, retry_after)
        case interface.Fail(ref):
            return struct.pack("<BHI", 100, instance, ref)
        case interface.Cancel(ref, attempt):
            return struct.pack("<BHIB", 20, instance, ref, attempt)
        case interface.Subscribe(enabled):
            return struct.pack("<BHB", 30, instance, enabled)
        case interface.Lookup():
            return struct.pack("<BH", 80, instance)
        case interface.Probe(office):
            return struct.pack("<BH6s", 120, instance, office_bytes(office))
        case interface.Close(office):
            return struct.pack("<BH6s", 10, instance, office_bytes(office))
        case interface.NotifyPeers(peer, body):
            recipient = ALL_PEERS if peer is None else peer
            record = struct.pack("<BHHII", 90, instance, recipient, len(tail), len(body))
            tail += body
            return record
        case interface.Remark(text):
            return _encode_text(40, instance, text, tail)
        case Fault(text):
            return _encode_text(60, instance, text, tail)
