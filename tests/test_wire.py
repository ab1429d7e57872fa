"""The simulator's codec and host against frames built by hand from the offsets in WIRE-ospreybridge.md."""

from __future__ import annotations

import io
import struct
import subprocess
import sys
from typing import Any

import pytest

from ospreybridge import Controller, interface, simhost, wire
from ospreybridge.settings.instance import SettingPairs, read_report, read_settings

SETTINGS = """Classes.count=2
Classes.0.OnTime=1500.0
Classes.0.Deadline=9000.0
Classes.1.OnTime=2500.0
Classes.1.Deadline=8000.0
Classes.1.Semantics=guarded
Classes.1.Group=zone
Customers.count=1
Customers.0.QuotaPerS=22.0
Customers.0.Share=0.65
Discovery=automatic
FamilyInfo.ClassHold=12400.0,9000.0
FamilyInfo.ClassWidth=1,2
FamilyInfo.Guard=200.0
FamilyInfo.Layout=mesh
FamilyInfo.ThisNode=1
Limits.Cancel=true
Limits.MostTries=4
PeersTotal=4
Round=5.0
Some.Unknown.Key=7
Stats.Columns=free,size,lat_ms
"""
OFFICE = bytes([10, 18, 74, 7]) + struct.pack("<H", 8003)


def make_record(size: int, code: int, *fields: tuple[int, str, Any]) -> bytes:
    record = bytearray(size)
    record[0] = code
    for at, kind, value in fields:
        struct.pack_into("<" + kind, record, at, value)
    return bytes(record)


def frame(now: float, records: list[bytes], tail: bytes = b"") -> bytes:
    body = struct.pack("<d", now) + b"".join(records) + tail
    return struct.pack("<II", len(records), len(body)) + body


def entry(cell: int, raw: bytes, ready: int = 1, started: float = 0.0, zone: int = 0) -> bytes:
    row = bytearray(24)
    struct.pack_into("<H", row, 0, zone)
    struct.pack_into("<d", row, 2, started)
    row[10] = ready
    struct.pack_into("<f", row, 12, 1.5)
    row[16:22] = raw
    struct.pack_into("<H", row, 22, cell)
    return bytes(row)


def decode_events(
    records: list[bytes], tail: bytes = b"", lists: wire.NumberedLists | None = None
) -> list[Any]:
    raw = frame(7.5, records, tail)
    now, found = wire.decode_batch(len(records), raw[8:], {} if lists is None else lists)
    assert now == 7.5
    return [(inst, event, report.values) for inst, event, report in found]


def test_the_ingress_example_of_the_interface_document() -> None:
    raw = bytes.fromhex(
        "1e 0300 c4913a5d 0000 00006442 0000000000002840 00008043 0000 640ad2557c3bf091"
        "0000000020e6c040 0100 00009644".replace(" ", "")
    ).ljust(56, b"\0")
    [(inst, request, _)] = decode_events([raw])
    assert inst == 3
    assert request == interface.Request(
        0x5D3A91C4, 0, 57, 8652.25, 1200.0, 0, 256, 0x91F03B7C55D20A64, 12.0, False, False, False
    )


def test_every_event_is_decoded_by_its_offsets() -> None:
    ingress = make_record(
        56,
        30,
        (1, "H", 2),
        (3, "I", 9),
        (7, "H", 1),
        (9, "f", 4),
        (21, "f", -1),
        (25, "H", 2),
        (27, "Q", 77),
        (35, "d", 99.5),
        (43, "H", 2 + 8 + 16),
        (45, "f", 2),
    )
    pong = make_record(
        56,
        80,
        (1, "H", 2),
        (3, "d", 1.5),
        (11, "H", 1),
        (13, "6s", OFFICE),
        (19, "B", 2),
        (20, "f", 3),
        (24, "f", 8),
    )
    first = make_record(56, 40, (1, "H", 2), (3, "I", 9), (7, "B", 1), (8, "6s", OFFICE), (14, "d", 12.5))
    left = make_record(56, 60, (1, "H", 2), (3, "I", 9))
    resolved = make_record(
        56,
        50,
        (1, "H", 2),
        (3, "I", 9),
        (7, "B", 1),
        (8, "6s", OFFICE),
        (14, "H", 2),
        (16, "d", 5.5),
        (24, "B", 1),
        (25, "I", 3 + 16 * 250),
        (29, "B", 3),
        (30, "f", 1),
        (34, "f", 8),
        (38, "f", 44),
    )
    peer = make_record(56, 90, (1, "H", 2), (3, "I", 5), (7, "I", 1), (11, "I", 2))
    timer = make_record(56, 70, (1, "H", 2), (3, "Q", 1 << 40))
    retire = make_record(56, 100, (1, "H", 2))
    office = wire.office_id(OFFICE)
    assert wire.office_bytes(office) == OFFICE
    found = decode_events([ingress, pong, first, left, resolved, peer, timer, retire], b"xhi")
    assert found == [
        (2, interface.Request(9, 1, 4, 99.5, 2.0, 2, -1, 77, 0.0, True, True, True), ()),
        (2, interface.Probed(office, interface.Result.OK, 1.5), (3.0, 8.0)),
        (2, interface.Established(9, 1, office, 12.5), ()),
        (2, interface.CallerLeft(9), ()),
        (
            2,
            interface.Outcome(
                9, 1, office, interface.Result.FULL, 5.5, True, interface.Note.PROCESSOR_FULL, 250.0
            ),
            (1.0, 8.0, 44.0),
        ),
        (2, interface.PeerMessage(5, b"hi"), ()),
        (2, interface.TimerExpired(1 << 40), ()),
        (2, wire.Retire(), ()),
    ]


def test_a_reused_list_number_refers_to_the_list_sent_last() -> None:
    roster = make_record(56, 110, (1, "I", 0), (5, "I", 0), (9, "I", 1))
    again = make_record(56, 110, (1, "I", 0), (5, "I", 24), (9, "I", 1))
    change = make_record(56, 20, (1, "H", 3), (3, "I", 41), (7, "I", 0), (11, "B", 2))
    failed = make_record(56, 20, (1, "H", 3), (3, "I", 41), (7, "I", 9), (11, "B", 0))
    tail = entry(4, OFFICE, started=5304.0, zone=1) + entry(6, OFFICE, ready=2)
    found = [event for _, event, _ in decode_events([roster, change, again, change, failed], tail)]
    office = wire.office_id(OFFICE)
    assert found == [
        interface.Members(
            interface.ListForm.DELTA,
            41,
            (interface.Entry(office, 4, 1, interface.Readiness.READY, 5304.0, 0, 1.5),),
        ),
        interface.Members(
            interface.ListForm.DELTA,
            41,
            (interface.Entry(office, 6, 0, interface.Readiness.DRAINING, 0.0, 0, 1.5),),
        ),
        interface.Members(interface.ListForm.FAILED, 41),
    ]


def test_every_action_is_encoded_by_its_offsets() -> None:
    office = wire.office_id(OFFICE)
    actions: list[tuple[int, interface.Action | wire.Fault]] = [
        (3, interface.Send(9, office, 80.0)),
        (3, interface.StartTimer(77, 500.0)),
        (3, interface.Refuse(9, 12.5)),
        (3, interface.Fail(9)),
        (3, interface.Cancel(9, 2)),
        (3, interface.Subscribe(True)),
        (3, interface.Lookup()),
        (3, interface.Probe(office)),
        (3, interface.Close(office)),
        (3, interface.NotifyPeers(None, b"hi")),
        (3, interface.NotifyPeers(4, b"yo")),
        (3, interface.Remark("log")),
        (3, wire.Fault("bad")),
    ]
    head, ref = (1, "H", 3), (3, "I", 9)
    expected = [
        make_record(24, 50, head, ref, (7, "d", 80.0), (15, "6s", OFFICE)),
        make_record(24, 70, head, (3, "Q", 77), (11, "d", 500.0)),
        make_record(24, 110, head, ref, (7, "d", 12.5)),
        make_record(24, 100, head, ref),
        make_record(24, 20, head, ref, (7, "B", 2)),
        make_record(24, 30, head, (3, "B", 1)),
        make_record(24, 80, head),
        make_record(24, 120, head, (3, "6s", OFFICE)),
        make_record(24, 10, head, (3, "6s", OFFICE)),
        make_record(24, 90, head, (3, "H", 0xFFFF), (5, "I", 0), (9, "I", 2)),
        make_record(24, 90, head, (3, "H", 4), (5, "I", 2), (9, "I", 2)),
        make_record(24, 40, head, (3, "I", 4), (7, "I", 3)),
        make_record(24, 60, head, (3, "I", 7), (7, "I", 3)),
    ]
    body = b"".join(expected) + b"hiyologbad"
    assert wire.encode_reply(actions) == struct.pack("<II", 4 + len(body), 13) + body


def provision(inst: int = 1, text: str = SETTINGS) -> tuple[bytes, bytes]:
    raw = text.encode()
    return make_record(56, 10, (1, "H", inst), (3, "Q", 5), (11, "I", 0), (15, "I", len(raw))), raw


def test_settings_are_read_and_unknown_keys_ignored() -> None:
    settings, columns = read_settings(SettingPairs.from_text(SETTINGS))
    assert columns == ("free", "size", "lat_ms")
    assert [call_class.width for call_class in settings.classes] == [1.0, 2.0]
    assert [call_class.hold for call_class in settings.classes] == [12_400.0, 9_000.0]
    assert settings.classes[1].semantics is interface.Semantics.GUARDED
    assert settings.classes[1].retry_scope is interface.RetryScope.ZONE
    assert settings.tenants == (interface.Tenant(22.0, 0.65),)
    assert (settings.own_exchange, settings.server_count, settings.tick) == (1, 4, 5.0)
    assert settings.rules.release == 200.0
    assert settings.limits.cancel and settings.limits.max_tries == 4
    assert read_report(columns, (3.0, 8.0, -1.0)) == interface.Report(3.0, 8.0)
    assert read_report(columns, ()) is None


def test_each_class_has_its_allowed_pools() -> None:
    cells = "FamilyInfo.ClassCells.count=2\nFamilyInfo.ClassCells.0=1,2\nFamilyInfo.ClassCells.1=3\n"
    text = SETTINGS + cells
    settings, _ = read_settings(SettingPairs.from_text(text.replace("Layout=mesh", "Layout=pools")))
    assert settings.layout is interface.Layout.POOLS
    assert [call_class.allowed_pools for call_class in settings.classes] == [(1, 2), (3,)]


def test_a_new_provision_replaces_one_instance_and_no_other() -> None:
    host = simhost.InstanceHost()
    for inst in (1, 2):
        record, raw = provision(inst)
        host.handle_batch(1, frame(0.0, [record], raw)[8:])
    kept, old = host.controllers[2], host.controllers[1]
    record, raw = provision(1)
    host.handle_batch(2, frame(1.0, [make_record(56, 100, (1, "H", 1)), record], raw)[8:])
    assert host.controllers[2] is kept
    assert host.controllers[1] is not old


def test_an_exception_of_the_controller_is_reported_with_its_text(monkeypatch: pytest.MonkeyPatch) -> None:
    def crash(*_: object) -> list[interface.Action]:
        raise RuntimeError("told on purpose")

    host = simhost.InstanceHost()
    record, raw = provision()
    host.handle_batch(1, frame(0.0, [record], raw)[8:])
    monkeypatch.setattr(Controller, "handle", crash)
    reply = host.handle_batch(1, frame(1.0, [make_record(56, 70, (1, "H", 1))])[8:])
    assert reply[8] == 60
    assert b"told on purpose" in reply


def run(data: bytes) -> subprocess.CompletedProcess[bytes]:
    command = [sys.executable, "-m", "ospreybridge.simhost"]
    return subprocess.run(command, input=data, capture_output=True, timeout=60)


def test_the_process_answers_batches_and_ends_with_its_input() -> None:
    done = run(frame(1.0, []) + frame(2.0, []))
    assert (done.returncode, done.stderr) == (0, b"")
    assert done.stdout == struct.pack("<II", 4, 0) * 2


@pytest.mark.parametrize(
    "bad",
    [
        frame(1.0, [])[:-3],
        b"\x01\x00",
        struct.pack("<II", 4, 8) + struct.pack("<d", 1.0),
        frame(1.0, [make_record(56, 99)]),
        frame(1.0, [make_record(56, 90, (7, "I", 4), (11, "I", 50))]),
        frame(1.0, [make_record(56, 20, (7, "I", 3), (11, "B", 3))]),
        frame(1.0, [make_record(56, 70, (1, "H", 8))]),
        frame(1.0, [make_record(56, 50, (14, "H", 40))]),
    ],
)
def test_malformed_input_ends_with_a_one_line_error(bad: bytes) -> None:
    done = run(bad)
    assert done.returncode == 1
    assert done.stdout == b""
    lines = done.stderr.decode().splitlines()
    assert len(lines) == 1 and lines[0].startswith("ospreybridge: ")


def test_serve_in_memory_answers_as_the_process() -> None:
    record, raw = provision()
    data = frame(1.0, [record], raw)
    sink = io.BytesIO()
    simhost.serve(io.BytesIO(data), sink)
    assert sink.getvalue() == run(data).stdout
