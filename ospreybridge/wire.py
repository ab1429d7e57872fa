"""Codec of the simulator's wire (WIRE-ospreybridge.md): bytes to records and back, without judgement."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

from ospreybridge import interface

HEADER = struct.Struct("<II")
CLOCK = struct.Struct("<d")
REPLY = struct.Struct("<II")
EVENT_SIZE = 56
ACTION_SIZE = 24
ENTRY = struct.Struct("<HdBBf6sH")
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
REDIAL_BIT, TRANSIT_BIT, AFTER_CUT_BIT = 2, 8, 16
NOTE_BASE = 16
ALL_PEERS = 0xFFFF
NOTES = {note.value: note for note in interface.Note}


class WireError(ValueError):
    """A frame that does not follow the page."""


@dataclass(frozen=True, slots=True)
class Provision:
    seed: int
    settings: str


@dataclass(frozen=True, slots=True)
class Retire:
    pass


@dataclass(frozen=True, slots=True)
class RawReport:
    """A load report whose columns only the instance's settings name."""

    values: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Fault:
    text: str


Decoded = tuple[int, Provision | Retire | interface.Event, RawReport]
NumberedLists = dict[int, tuple[interface.Entry, ...]]


def office_id(raw: bytes) -> int:
    return int.from_bytes(raw, "little")


def office_bytes(office: int) -> bytes:
    return office.to_bytes(6, "little")


def decode_batch(count: int, body: bytes, lists: NumberedLists) -> tuple[float, Iterator[Decoded]]:
    """Clock and events of one batch; `lists` keeps the numbered lists between batches."""
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
    if offset + length > len(tail):
        raise WireError(f"tail reference {offset}+{length} beyond {len(tail)}")
    return tail[offset : offset + length]


def _decode_entries(tail: bytes, offset: int, number: int) -> tuple[interface.Entry, ...]:
    entries = []
    for zone, started, ready, kind, weight, raw, cell in ENTRY.iter_unpack(
        _tail_slice(tail, offset, number * ENTRY.size)
    ):
        entries.append(
            interface.Entry(office_id(raw), cell, zone, interface.Readiness(ready), started, kind, weight)
        )
    return tuple(entries)


def _decode_record(record: bytes, tail: bytes, lists: NumberedLists) -> Decoded | None:
    code = record[0]
    empty = RawReport(())
    if code == 10:
        inst, seed, offset, length = PROVISION.unpack_from(record)
        return inst, Provision(seed, _tail_slice(tail, offset, length).decode()), empty
    if code == 110:
        number, offset, rows = ROSTER.unpack_from(record)
        lists[number] = _decode_entries(tail, offset, rows)
        return None
    if code == 20:
        inst, version, number, raw_form = ROSTER_CHANGE.unpack_from(record)
        form = interface.ListForm(raw_form)
        if form != interface.ListForm.FAILED and number not in lists:
            raise WireError(f"list {number} was never sent")
        entries = () if form == interface.ListForm.FAILED else lists[number]
        return inst, interface.Members(form, version, entries), empty
    if code == 30:
        inst, ref, cls, dest, work, via, tenant, key, expires, bits, width = INGRESS.unpack_from(record)
        again, transit, cut = bool(bits & REDIAL_BIT), bool(bits & TRANSIT_BIT), bool(bits & AFTER_CUT_BIT)
        request = interface.Request(
            ref, cls, int(dest), expires, width, tenant, int(via), key, work, again, transit, cut
        )
        return inst, request, empty
    if code == 80:
        inst, took, result, raw, number, *values = PONG.unpack_from(record)
        return (
            inst,
            interface.Probed(office_id(raw), interface.Result(result), took),
            RawReport(tuple(values[:number])),
        )
    if code == 40:
        inst, ref, attempt, raw, took = FIRST.unpack_from(record)
        return inst, interface.Established(ref, attempt, office_id(raw), took), empty
    if code == 100:
        return RETIRE.unpack_from(record)[0], Retire(), empty
    if code == 60:
        inst, ref = CLIENT_LEFT.unpack_from(record)
        return inst, interface.CallerLeft(ref), empty
    if code == 50:
        inst, ref, attempt, raw, result, took, ended, clear, number, *values = RESOLVED.unpack_from(record)
        note, wait = NOTES.get(clear % NOTE_BASE, interface.Note.NONE), float(clear // NOTE_BASE)
        outcome = interface.Outcome(
            ref, attempt, office_id(raw), interface.Result(result), took, bool(ended), note, wait
        )
        return inst, outcome, RawReport(tuple(values[:number]))
    if code == 90:
        inst, sender, offset, length = DATAGRAM.unpack_from(record)
        return inst, interface.PeerMessage(sender, _tail_slice(tail, offset, length)), empty
    if code == 70:
        inst, label = TIMER.unpack_from(record)
        return inst, interface.TimerExpired(label), empty
    raise WireError(f"unknown event code {code}")


def encode_reply(actions: list[tuple[int, interface.Action | Fault]]) -> bytes:
    records = bytearray()
    tail = bytearray()
    for inst, action in actions:
        records += _encode_action(inst, action, tail).ljust(ACTION_SIZE, b"\0")
    length = 4 + len(records) + len(tail)
    return REPLY.pack(length, len(actions)) + bytes(records) + bytes(tail)


def _encode_text(code: int, inst: int, text: str, tail: bytearray) -> bytes:
    raw = text.encode()
    record = struct.pack("<BHII", code, inst, len(tail), len(raw))
    tail += raw
    return record


def _encode_action(inst: int, action: interface.Action | Fault, tail: bytearray) -> bytes:
    match action:
        case interface.Send(ref, office, max_wait):
            return struct.pack("<BHId6s", 50, inst, ref, max_wait, office_bytes(office))
        case interface.StartTimer(label, after):
            return struct.pack("<BHQd", 70, inst, label, after)
        case interface.Refuse(ref, retry_after):
            return struct.pack("<BHId", 110, inst, ref, retry_after)
        case interface.Fail(ref):
            return struct.pack("<BHI", 100, inst, ref)
        case interface.Cancel(ref, attempt):
            return struct.pack("<BHIB", 20, inst, ref, attempt)
        case interface.Subscribe(want):
            return struct.pack("<BHB", 30, inst, want)
        case interface.Lookup():
            return struct.pack("<BH", 80, inst)
        case interface.Probe(office):
            return struct.pack("<BH6s", 120, inst, office_bytes(office))
        case interface.Close(office):
            return struct.pack("<BH6s", 10, inst, office_bytes(office))
        case interface.NotifyPeers(peer, body):
            to = ALL_PEERS if peer is None else peer
            record = struct.pack("<BHHII", 90, inst, to, len(tail), len(body))
            tail += body
            return record
        case interface.Remark(text):
            return _encode_text(40, inst, text, tail)
        case Fault(text):
            return _encode_text(60, inst, text, tail)
