"""The platform's two codecs with arbitrary octets and fragmentation, and its configuration with errors."""

from __future__ import annotations

import json
from itertools import pairwise
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from ospreybridge import interface
from ospreybridge.settings.errors import SettingsError
from ospreybridge.settings.instance import SettingPairs, read_report, read_settings
from ospreybridge.settings.platform import load, parse
from ospreybridge.signalling import frames, jsonl
from ospreybridge.signalling.errors import MessageError
from tests.platform_rig import SETTINGS, config, member, platform_config

DETERMINISTIC = hypothesis_settings(deadline=None, derandomize=True, database=None)
TEXT = st.text(max_size=40)
MESSAGES = st.builds(
    jsonl.Message,
    st.sampled_from(sorted(jsonl.KINDS)),
    st.integers(0, (1 << 64) - 1).map(lambda n: f"{n:016x}"),
    st.dictionaries(TEXT, TEXT | st.integers(-(1 << 50), 1 << 50), max_size=6),
    st.just(0),
    st.none() | TEXT,
)
RECORDS = st.builds(
    frames.OfficeRecord,
    st.integers(0, (1 << 32) - 1),
    st.tuples(*[st.integers(0, 255)] * 4).map(lambda octets: ".".join(map(str, octets))),
    st.integers(0, 65_535),
    st.integers(0, 2),
    st.integers(0, 255),
    st.integers(0, 255),
    st.integers(0, 65_535),
    st.integers(0, (1 << 32) - 1),
    st.integers(0, (1 << 53)),
)
FRAMES = st.integers(0, 1 << 61).flatmap(
    lambda number: st.just(frames.Frame(number, frames.NO_CHANGES))
    | st.builds(
        frames.Frame, st.just(number), st.sampled_from((1, 2)), st.lists(RECORDS, max_size=4).map(tuple)
    )
)


def split_at(data: bytes, cuts: list[int]) -> list[bytes]:
    positions = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    return [data[begin:end] for begin, end in pairwise(positions)]


@DETERMINISTIC
@given(st.lists(MESSAGES, max_size=6), st.lists(st.integers(0, 10_000), max_size=8))
def test_messages_survive_any_fragmentation(messages: list[jsonl.Message], cuts: list[int]) -> None:
    splitter = jsonl.Splitter()
    parts = split_at(b"".join(map(jsonl.encode, messages)), cuts)
    lines = [line for part in parts for line in splitter.feed(part)]
    assert [jsonl.decode(line) for line in lines] == messages and splitter.buffer == b""


@DETERMINISTIC
@given(st.binary(max_size=400))
def test_any_octets_are_a_message_or_a_named_error(data: bytes) -> None:
    try:
        for line in jsonl.Splitter().feed(data + b"\n"):
            assert jsonl.decode(line).kind in jsonl.KINDS
    except MessageError as error:
        assert str(error)


def test_a_line_that_never_ends_is_refused_before_it_fills_the_memory() -> None:
    splitter = jsonl.Splitter()
    for _ in range(100):
        assert splitter.feed(b"x" * 1_000) == [] and len(splitter.buffer) < jsonl.MAX_LINE_BYTES
    assert splitter.error
    splitter = jsonl.Splitter()
    lines = splitter.feed(b"one\n" + b"y" * jsonl.MAX_LINE_BYTES + b"\ntwo\n")
    assert lines == [b"one"] and splitter.error and splitter.feed(b"three\n") == []


@pytest.mark.parametrize(
    "line",
    [
        b'{"kind":"stop","uid":"9b1f03aa5c7e2d41","reason":NaN}',
        b'{"kind":"stop","uid":"9b1f03aa5c7e2d41","reason":true}',
        b'{"kind":"stop","uid":"9b1f03aa5c7e2d41","reason":999}',
        b'{"kind":"stop","uid":"9B1F03AA5C7E2D41"}',
        b'{"kind":"launch","uid":"9b1f03aa5c7e2d41","meta":{"a":{}}}',
        b'{"kind":["launch"],"uid":"9b1f03aa5c7e2d41"}',
        b'{"kind":"launch","uid":"9b1f03aa5c7e2d41","body":5}',
        b"\xff",
        b"",
    ],
)
def test_invalid_messages_are_refused(line: bytes) -> None:
    with pytest.raises(MessageError):
        jsonl.decode(line)


@pytest.mark.parametrize("value", [None, "", "nan", "inf", "-inf", "1e400", "9" * 30, "five"])
def test_invalid_numbers_are_refused(value: Any) -> None:
    with pytest.raises(MessageError):
        jsonl.parse_number(value, "left")


@DETERMINISTIC
@given(st.lists(FRAMES, max_size=5), st.lists(st.integers(0, 10_000), max_size=8))
def test_frames_survive_any_fragmentation(events: list[frames.Frame], cuts: list[int]) -> None:
    splitter = frames.Splitter()
    parts = split_at(b"".join(map(frames.encode, events)), cuts)
    assert [frame for part in parts for frame in splitter.feed(part)] == events


@DETERMINISTIC
@given(st.lists(FRAMES, max_size=3), st.binary(max_size=80))
def test_frames_before_invalid_octets_are_kept_and_none_after_them(
    events: list[frames.Frame], noise: bytes
) -> None:
    splitter = frames.Splitter()
    assert splitter.feed(b"".join(map(frames.encode, events)) + b"\xff\xff\xff\xff" + noise) == events
    assert splitter.error and splitter.feed(frames.encode(frames.Frame(1, frames.NO_CHANGES))) == []


@DETERMINISTIC
@given(st.binary(max_size=200))
def test_any_octets_are_frames_or_a_named_error(data: bytes) -> None:
    splitter = frames.Splitter()
    assert all(frame.kind in (0, 1, 2) for frame in splitter.feed(data))
    assert len(splitter.buffer) <= 200 and isinstance(splitter.error, str)


# -- settings


def test_settings_of_the_wire_and_of_the_platform_are_read_alike() -> None:
    found = platform_config()
    text = "\n".join(f"{key}={value}" for key, value in SettingPairs.from_json(SETTINGS).values.items())
    assert read_settings(SettingPairs.from_text(text)) == (found.settings, found.report_columns)
    assert found.settings.classes[0].name == "voice" and found.settings.classes[0].hold == 2_000.0
    assert found.settings.rules.release == 100.0 and found.settings.layout is interface.Layout.MESH
    assert [tenant.name for tenant in found.settings.tenants] == ["acme", "east end"]
    assert read_report(found.report_columns, (3.0, -1.0)) == interface.Report(free=3.0)
    assert found.known_events[0].records[2].cell == 2 and found.seed == 255


def config_errors(tree: Any) -> list[str]:
    with pytest.raises(SettingsError) as caught:
        parse("c.json", tree)
    return caught.value.errors


def test_every_error_names_its_key_and_what_was_expected() -> None:
    tree = config(listen="here", seed="xyz", peers=["127.0.0.1:7100", "no"], journal=5, limits={"sockets": 1})
    found = config_errors(tree)
    keys = [line.split(": ")[1] for line in found]
    assert keys == ["peers.1", "listen", "seed", "limits.sockets", "journal"]
    assert all(line.startswith("c.json: ") and "expected" in line for line in found)


@pytest.mark.parametrize(
    ("key", "value", "named"),
    [
        ("Classes", [], "Classes.count"),
        ("Rules", {"DrainGrace": -1.0}, "Rules.DrainGrace"),
        ("Rules", {"DrainGrace": "soon"}, "Rules.DrainGrace"),
        ("Limits", 5, ""),
        # Too large for a float: the JSON reader turns them into infinity.
        ("Limits", {"MostTries": 1e400}, "Limits.MostTries"),
        ("Limits", {"DialTimeout": 1e400}, "Limits.DialTimeout"),
        ("Limits", {"MostTries": 10**400}, "Limits.MostTries"),
        ("Stats", {"Columns": [1e400]}, "Stats.Columns"),
        ("Me", -1e400, "Me"),
    ],
)
def test_invalid_settings_are_refused_with_their_key(key: str, value: Any, named: str) -> None:
    try:
        parse("c.json", config(settings={**SETTINGS, key: value}))
    except SettingsError as error:
        assert any(f"c.json: settings: {named}" in line for line in error.errors)
    else:
        assert not named  # without limits the interface's defaults apply


def test_offices_known_at_the_start_are_validated() -> None:
    bad = [{"id": 5}, "x", member(12, 2, host_port="a:b")]
    members = [member(10, 0, "asleep"), member(11, 1, locality="west"), *bad]
    hosts = {"complete": True, "members": members}
    found = config_errors(config(known={"entries": [{"pos": 1, "hosts": hosts}, {}]}))
    assert [line.split(": ")[1] for line in found][:2] == [
        "known.entries.0.hosts.members.0.phase",
        "known.entries.0.hosts.members.1.locality",
    ]
    assert any("known.entries.1" in line for line in found)
    assert any("members.4.host_port" in line for line in found)


@pytest.mark.parametrize("content", [None, b"{", b"[]", b"\xff", b'"text"'])
def test_unreadable_file_gives_one_error(tmp_path: Path, content: bytes | None) -> None:
    path = tmp_path / "config.json"
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(SettingsError) as caught:
        load(path)
    assert len(caught.value.errors) == 1 and str(path) in caught.value.errors[0]


def test_valid_file_is_read(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config()))
    assert load(path) == parse(str(path), config())
