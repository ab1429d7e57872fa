"""Codecs: an independent decoder reads every encoded message; any bytes decode or raise a known error."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from pycrate_mobile.ISUP import parse_ISUP
from pycrate_mobile.M3UA import parse_M3UA
from pycrate_mobile.SCCP import parse_SCCP

from ospreybridge.signalling import isup, m3ua, sccp
from ospreybridge.signalling.errors import EncodeError, FrameError, MessageError
from ospreybridge.signalling.isup import IsupMessage

SAMPLES = {
    isup.NATURE_OF_CONNECTION: b"\0",
    isup.FORWARD_INDICATORS: isup.DEFAULT_FORWARD_INDICATORS,
    isup.CALLING_CATEGORY: b"\x0a",
    isup.MEDIUM_REQUIREMENT: b"\0",
    isup.CALLED_NUMBER: isup.encode_called_number("3725551"),
    isup.SUBSEQUENT_NUMBER: b"\0\x21",
    isup.BACKWARD_INDICATORS: isup.SUBSCRIBER_FREE,
    isup.CAUSE_INDICATORS: isup.encode_cause(34, 3),
    isup.RANGE_STATUS: isup.encode_range_status(9, [True] * 9),
    isup.GROUP_SUPERVISION: b"\0",
    isup.EVENT_INFORMATION: isup.EVENT_ALERTING,
    isup.CONTINUITY_INDICATORS: b"\1",
    isup.SUSPEND_RESUME_INDICATORS: b"\0",
    isup.CIRCUIT_STATE: b"\0" * 9,
    isup.USER_TO_USER: isup.encode_user_words(left=2_000),
}
OPTIONS = {
    isup.CALLING_NUMBER: isup.encode_calling_number("37255512"),
    isup.HOP_COUNTER: b"\2",
    isup.CIRCUIT_ASSIGNMENT_MAP: isup.encode_circuit_map((33, 40)),
    isup.CONGESTION_LEVEL: b"\1",
    isup.SIGNALLING_POINT_CODE: isup.encode_point_code(4_097),
}


def sample(kind: int) -> IsupMessage:
    """A message of this type with all mandatory parameters, and all of OPTIONS if it may have any."""
    fixed, variable, options = isup.LAYOUT[kind]
    parameters = {code: SAMPLES[code] for code in (*(code for code, _ in fixed), *variable)}
    if kind in (isup.GRS, isup.CQM):
        parameters[isup.RANGE_STATUS] = isup.encode_range_status(9)
    return IsupMessage(2_047, kind, parameters | (OPTIONS if options else {}))


@pytest.mark.parametrize("kind", sorted(isup.LAYOUT))
def test_an_independent_decoder_reads_every_isup_message(kind: int) -> None:
    message = sample(kind)
    octets = isup.encode(message)
    assert isup.decode(octets) == message
    parsed, error = parse_ISUP(octets)
    assert error == 0 and parsed["CIC"].get_val() == 2_047 and parsed["Type"].get_val() == kind
    assert parsed.to_bytes() == octets  # pycrate has accounted for every octet


M3UA_FRAMES = [
    m3ua.encode(m3ua.ASPUP, [(m3ua.ASP_ID, m3ua.uint32(7))]),
    m3ua.encode(m3ua.ASPUP_ACK, [(m3ua.ASP_ID, m3ua.uint32(7))]),
    m3ua.encode(m3ua.ASPDN),
    m3ua.encode(m3ua.ASPDN_ACK),
    m3ua.encode(m3ua.BEAT, [(m3ua.HEARTBEAT_DATA, b"\0\0\0\1")]),
    m3ua.encode(m3ua.BEAT_ACK, [(m3ua.HEARTBEAT_DATA, b"abc")]),
    m3ua.encode(m3ua.ASPAC, [(m3ua.TRAFFIC_MODE, m3ua.uint32(2)), (m3ua.ROUTING_CONTEXT, m3ua.uint32(9))]),
    m3ua.encode(
        m3ua.ASPAC_ACK, [(m3ua.TRAFFIC_MODE, m3ua.uint32(2)), (m3ua.ROUTING_CONTEXT, m3ua.uint32(9))]
    ),
    m3ua.encode(m3ua.ASPIA, [(m3ua.ROUTING_CONTEXT, m3ua.uint32(9))]),
    m3ua.encode(m3ua.ASPIA_ACK, [(m3ua.ROUTING_CONTEXT, m3ua.uint32(9))]),
    m3ua.encode(m3ua.NTFY, [(m3ua.STATUS, m3ua.uint32(1 << 16 | m3ua.AS_ACTIVE))]),
    m3ua.encode_error(m3ua.INVALID_ROUTING_CONTEXT, b"\1\0\1\1", 9),
    m3ua.encode_ssnm(m3ua.DUNA, 9, 0, 101, "v=3 start=0 age=0"),
    m3ua.encode_ssnm(m3ua.DAVA, 9, 0, 101),
    m3ua.encode_ssnm(m3ua.DAUD, 9, 14, 0),
    m3ua.encode_ssnm(m3ua.DRST, 9, 0, 101),
    m3ua.encode_ssnm(m3ua.SCON, 9, 0, 101),
    m3ua.encode_data(m3ua.Data(1, 2, 5, 2, 0, 3, b"\1\2\3\4\5", 9)),
]


@pytest.mark.parametrize("frame", M3UA_FRAMES, ids=[m3ua.NAMES[f[2], f[3]] for f in M3UA_FRAMES])
def test_an_independent_decoder_reads_every_m3ua_message(frame: bytes) -> None:
    parsed, error = parse_M3UA(frame)
    assert error == 0 and parsed.to_bytes() == frame
    message = m3ua.decode(frame)
    encoded_again = (
        m3ua.encode_data(message)
        if isinstance(message, m3ua.Data)
        else m3ua.encode(message.kind, message.parameters.items())
    )
    assert encoded_again == frame


def test_an_independent_decoder_reads_unitdata() -> None:
    octets = sccp.encode(sccp.PEER_SUBSYSTEM, b"\1\2news")
    parsed, error = parse_SCCP(octets)
    assert error == 0 and parsed.to_bytes() == octets
    assert sccp.decode(octets) == (sccp.PEER_SUBSYSTEM, b"\1\2news")


@pytest.mark.parametrize("digits", ["3", "37", "372555", "3725551", "123456789012345"])
def test_numbers_decode_to_what_was_encoded(digits: str) -> None:
    assert isup.decode_called_number(isup.encode_called_number(digits)) == digits
    assert isup.decode_calling_number(isup.encode_calling_number(digits)) == digits


def test_a_circuit_map_holds_the_time_slots_of_one_multiplex() -> None:
    assert isup.decode_circuit_map(64 + 3, isup.encode_circuit_map((67, 70))) == (67, 70)


@settings(max_examples=400, deadline=None)
@given(st.binary(max_size=80))
def test_any_bytes_decode_or_raise_message_error(body: bytes) -> None:
    for decode in (isup.decode, m3ua.decode, sccp.decode):
        try:
            decode(body)
        except MessageError as error:
            assert str(error)


@settings(max_examples=400, deadline=None)
@given(st.sampled_from(sorted(isup.LAYOUT)), st.data())
def test_a_damaged_message_decodes_or_raises_message_error(kind: int, data: st.DataObject) -> None:
    octets = bytearray(isup.encode(sample(kind)))
    octets[data.draw(st.integers(3 if len(octets) > 3 else 0, len(octets) - 1))] = data.draw(
        st.integers(0, 255)
    )
    try:
        message = isup.decode(bytes(octets[: data.draw(st.integers(0, len(octets)))]))
    except MessageError as error:
        assert str(error)
        return
    for code, decode in (
        (isup.CALLED_NUMBER, isup.decode_called_number),
        (isup.CAUSE_INDICATORS, isup.decode_cause),
        (isup.RANGE_STATUS, isup.decode_range_status),
    ):
        if code in message.parameters:
            try:
                decode(message.parameters[code])
            except MessageError as error:
                assert str(error)


@settings(max_examples=100, deadline=None)
@given(st.lists(st.sampled_from(M3UA_FRAMES), max_size=8), st.integers(1, 40))
def test_a_stream_is_cut_into_frames_whatever_its_segments(frames: list[bytes], size: int) -> None:
    splitter, stream, received = m3ua.Splitter(), b"".join(frames), []
    for at in range(0, len(stream), size):
        received += splitter.feed(stream[at : at + size])
    assert received == frames and splitter.buffer == b""


@pytest.mark.parametrize(
    "head", [b"\2\0\1\1\0\0\0\x10", b"\1\0\1\1\xff\xff\xff\xff", b"\1\0\1\1\0\0\0\7", b"GET / HT"]
)
def test_an_invalid_common_header_is_refused_at_once(head: bytes) -> None:
    with pytest.raises(FrameError):
        m3ua.Splitter().feed(head + b"\0" * 8)


def test_invalid_messages_are_not_encoded() -> None:
    with pytest.raises(EncodeError):
        isup.encode(IsupMessage(1, isup.IAM, {}))
    with pytest.raises(EncodeError):
        isup.encode(IsupMessage(4_096, isup.RLC))
    with pytest.raises(EncodeError):
        sccp.encode(sccp.PEER_SUBSYSTEM, b"x" * 255)


@pytest.mark.parametrize(
    ("header", "code"),
    [
        (b"\2\0\1\1\0\0\0\x08", m3ua.INVALID_VERSION),
        (b"\1\0\1\1\0\0\0\x07", m3ua.PROTOCOL_ERROR),
    ],
)
def test_framing_error_carries_the_code_of_its_err(header: bytes, code: int) -> None:
    """Guards against a code that changes with the wording of an error."""
    with pytest.raises(FrameError) as caught:
        m3ua.Splitter().feed(header + b"\0" * 8)
    assert caught.value.error_code == code
