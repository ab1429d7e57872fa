"""ISUP codec (Q.763): message layouts as a table, and the parameters that the call server reads and writes.

A decoded message keeps its parameters as raw octets by code; the `decode_*` and `encode_*` functions convert
their contents. Not implemented: segmentation, compatibility forwarding. See docs/signalling.md.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ospreybridge.signalling.errors import EncodeError, MessageError

# Message types.
IAM, SAM, COT, ACM, CON, FOT, ANM, REL = 0x01, 0x02, 0x05, 0x06, 0x07, 0x08, 0x09, 0x0C
SUS, RES, RLC, RSC, BLO, UBL, BLA, UBA = 0x0D, 0x0E, 0x10, 0x12, 0x13, 0x14, 0x15, 0x16
GRS, CGB, CGU, CGBA, CGUA, GRA = 0x17, 0x18, 0x19, 0x1A, 0x1B, 0x29
CQM, CQR, CPG, USR, UCIC, CFN = 0x2A, 0x2B, 0x2C, 0x2D, 0x2E, 0x2F
NAMES = {
    IAM: "IAM", SAM: "SAM", COT: "COT", ACM: "ACM", CON: "CON", FOT: "FOT", ANM: "ANM", REL: "REL",
    SUS: "SUS", RES: "RES", RLC: "RLC", RSC: "RSC", BLO: "BLO", UBL: "UBL", BLA: "BLA", UBA: "UBA",
    GRS: "GRS", CGB: "CGB", CGU: "CGU", CGBA: "CGBA", CGUA: "CGUA", GRA: "GRA", CQM: "CQM", CQR: "CQR",
    CPG: "CPG", USR: "USR", UCIC: "UCIC", CFN: "CFN",
}  # fmt: skip

# Parameter codes.
(MEDIUM_REQUIREMENT, CALLED_NUMBER, SUBSEQUENT_NUMBER,
 NATURE_OF_CONNECTION, FORWARD_INDICATORS, OPTIONAL_FORWARD) = 0x02, 0x04, 0x05, 0x06, 0x07, 0x08  # fmt: skip
(CALLING_CATEGORY, CALLING_NUMBER, CONTINUITY_INDICATORS,
 BACKWARD_INDICATORS, CAUSE_INDICATORS, GROUP_SUPERVISION) = 0x09, 0x0A, 0x10, 0x11, 0x12, 0x15  # fmt: skip
RANGE_STATUS, SIGNALLING_POINT_CODE, USER_TO_USER, SUSPEND_RESUME_INDICATORS = 0x16, 0x1E, 0x20, 0x22
(EVENT_INFORMATION, CIRCUIT_ASSIGNMENT_MAP, CIRCUIT_STATE,
 CONGESTION_LEVEL, HOP_COUNTER) = 0x24, 0x25, 0x26, 0x27, 0x3D  # fmt: skip

# By message type: (fixed mandatory parameters with their length in octets, variable mandatory parameters,
# whether optional parameters may follow).
LAYOUT: dict[int, tuple[tuple[tuple[int, int], ...], tuple[int, ...], bool]] = {
    IAM: (
        ((NATURE_OF_CONNECTION, 1), (FORWARD_INDICATORS, 2), (CALLING_CATEGORY, 1), (MEDIUM_REQUIREMENT, 1)),
        (CALLED_NUMBER,),
        True,
    ),
    SAM: ((), (SUBSEQUENT_NUMBER,), True),
    COT: (((CONTINUITY_INDICATORS, 1),), (), False),
    ACM: (((BACKWARD_INDICATORS, 2),), (), True),
    CON: (((BACKWARD_INDICATORS, 2),), (), True),
    FOT: ((), (), True),
    ANM: ((), (), True),
    REL: ((), (CAUSE_INDICATORS,), True),
    SUS: (((SUSPEND_RESUME_INDICATORS, 1),), (), True),
    RES: (((SUSPEND_RESUME_INDICATORS, 1),), (), True),
    RLC: ((), (), True),
    RSC: ((), (), False),
    BLO: ((), (), False),
    UBL: ((), (), False),
    BLA: ((), (), False),
    UBA: ((), (), False),
    UCIC: ((), (), False),
    GRS: ((), (RANGE_STATUS,), False),
    GRA: ((), (RANGE_STATUS,), False),
    CGB: (((GROUP_SUPERVISION, 1),), (RANGE_STATUS,), False),
    CGU: (((GROUP_SUPERVISION, 1),), (RANGE_STATUS,), False),
    CGBA: (((GROUP_SUPERVISION, 1),), (RANGE_STATUS,), False),
    CGUA: (((GROUP_SUPERVISION, 1),), (RANGE_STATUS,), False),
    CQM: ((), (RANGE_STATUS,), False),
    CQR: ((), (RANGE_STATUS, CIRCUIT_STATE), False),
    CPG: (((EVENT_INFORMATION, 1),), (), True),
    USR: ((), (USER_TO_USER,), True),
    CFN: ((), (CAUSE_INDICATORS,), True),
}
SPEECH, TWO_TIMES_64 = 0, 7  # transmission medium requirements: one circuit, and 2 x 64 kbit/s
# Backward call indicators: no charge indication, subscriber free, ordinary subscriber, ISUP used all the way.
SUBSCRIBER_FREE = b"\x14\x04"
DEFAULT_NATURE_OF_CONNECTION = b"\x00"
DEFAULT_FORWARD_INDICATORS = b"\x20\x01"  # ISUP used and preferred all the way; originating ISDN access
MAINTENANCE_ORIENTED = b"\x00"  # group supervision type: blocking that leaves established calls alone
EVENT_ALERTING = b"\x01"  # event information


@dataclass(slots=True)
class IsupMessage:
    """One message: circuit identification code, message type, and raw octets of the parameters by code."""

    cic: int
    type: int
    parameters: dict[int, bytes] = field(default_factory=dict)

    @property
    def name(self) -> str:
        """The message's name for logs."""
        return NAMES.get(self.type, f"type {self.type:#04x}")


def decode(body: bytes) -> IsupMessage:
    """Decodes one message; MessageError states what is wrong with it."""
    if len(body) < 3:
        raise MessageError(f"an ISUP message of {len(body)} octets")
    cic, message_type = body[0] | (body[1] & 0x0F) << 8, body[2]
    layout = LAYOUT.get(message_type)
    if layout is None:
        raise MessageError(f"unknown ISUP message type {message_type:#04x}")
    fixed, variable, options = layout
    parameters: dict[int, bytes] = {}
    at, size = 3, len(body)
    for code, length in fixed:
        if at + length > size:
            raise MessageError(f"{NAMES[message_type]} ends in its mandatory parameter {code:#04x}")
        parameters[code] = body[at : at + length]
        at += length
    for code in variable:
        start = at + body[at] if at < size else size
        if start >= size or start == at or start + 1 + body[start] > size:
            raise MessageError(
                f"{NAMES[message_type]}: the pointer to parameter {code:#04x} is outside the message"
            )
        parameters[code] = body[start + 1 : start + 1 + body[start]]
        at += 1
    if not options or at >= size or not body[at]:
        return IsupMessage(cic, message_type, parameters)
    at += body[at]
    while True:
        if at >= size:
            raise MessageError(f"{NAMES[message_type]}: end of optional parameters missing")
        code = body[at]
        if not code:
            return IsupMessage(cic, message_type, parameters)
        if at + 1 >= size or at + 2 + body[at + 1] > size:
            raise MessageError(f"{NAMES[message_type]}: optional parameter {code:#04x} does not fit")
        parameters.setdefault(code, body[at + 2 : at + 2 + body[at + 1]])
        at += 2 + body[at + 1]


def encode(message: IsupMessage) -> bytes:
    """The octets of a message; EncodeError if a mandatory parameter is missing or has a wrong length."""
    layout = LAYOUT.get(message.type)
    if layout is None or not 0 <= message.cic < 4096:
        raise EncodeError(f"can't encode {message.name} on circuit {message.cic}")
    fixed, variable, options = layout
    remaining = dict(message.parameters)
    out = bytearray((message.cic & 0xFF, message.cic >> 8, message.type))
    try:
        for code, length in fixed:
            value = remaining.pop(code)
            if len(value) != length:
                raise EncodeError(
                    f"{message.name}: parameter {code:#04x} of {len(value)} octets, not {length}"
                )
            out += value
        variable_values = [remaining.pop(code) for code in variable]
    except KeyError as missing:
        raise EncodeError(f"{message.name} without its mandatory parameter {missing.args[0]:#04x}") from None
    if remaining and not options:
        raise EncodeError(f"{message.name} takes no optional parameters")
    pointer_count = len(variable_values) + options
    offset = pointer_count  # from the first pointer to the next value
    for index, variable_value in enumerate(variable_values):
        if len(variable_value) > 255:
            raise EncodeError(f"{message.name}: a parameter of {len(variable_value)} octets is too long")
        out.append(offset - index)
        offset += 1 + len(variable_value)
    if options:
        out.append(offset - len(variable_values) if remaining else 0)
    for variable_value in variable_values:
        out.append(len(variable_value))
        out += variable_value
    for code, value in remaining.items():
        out += bytes((code, len(value))) + value
    if remaining:
        out.append(0)
    return bytes(out)


# -- called and calling numbers


def _unpack_digits(raw: bytes, odd: bool) -> str:
    text = "".join(f"{octet & 15:x}{octet >> 4:x}" for octet in raw)
    return text[:-1] if odd and text else text


def _pack_digits(digits: str) -> bytes:
    padded = digits + "0" * (len(digits) % 2)
    return bytes(int(padded[at], 16) | int(padded[at + 1], 16) << 4 for at in range(0, len(padded), 2))


def decode_called_number(raw: bytes) -> str:
    """Digits of a called party number (Q.763, 3.9), without the ST signal."""
    if len(raw) < 3:
        raise MessageError(f"a called party number of {len(raw)} octets")
    return _unpack_digits(raw[2:], bool(raw[0] & 0x80)).rstrip("f")


def decode_calling_number(raw: bytes) -> str:
    """Digits of a calling party number (Q.763, 3.10); empty if the address is not available."""
    if len(raw) < 2:
        raise MessageError(f"a calling party number of {len(raw)} octets")
    return _unpack_digits(raw[2:], bool(raw[0] & 0x80))


def encode_called_number(digits: str) -> bytes:
    """A called party number: national, ISDN numbering plan, routing to an internal number not allowed."""
    return bytes(((len(digits) & 1) << 7 | 0x03, 0x90)) + _pack_digits(digits)


def encode_calling_number(digits: str) -> bytes:
    """A calling party number: national, ISDN plan, complete, presentation allowed, network provided."""
    return bytes(((len(digits) & 1) << 7 | 0x03, 0x13)) + _pack_digits(digits)


# -- other parameters


def decode_cause(raw: bytes) -> tuple[int, int]:
    """Cause value and location (Q.763, 3.12)."""
    if len(raw) < 2:
        raise MessageError(f"cause indicators of {len(raw)} octets")
    at = 1 if raw[0] & 0x80 else 2  # a recommendation octet may come before it
    if at >= len(raw):
        raise MessageError("cause indicators without a cause value")
    return raw[at] & 0x7F, raw[0] & 0x0F


def encode_cause(value: int, location: int) -> bytes:
    """Cause indicators of a cause value and a location."""
    return bytes((0x80 | location, 0x80 | value))


def decode_hop_counter(parameters: dict[int, bytes]) -> int | None:
    """The hop counter (Q.763, 3.80); None if it is absent or empty."""
    raw = parameters.get(HOP_COUNTER)
    return raw[0] & 31 if raw else None


def decode_point_code(raw: bytes) -> int:
    """A signalling point code of 14 bits."""
    if len(raw) < 2:
        raise MessageError(f"a signalling point code of {len(raw)} octets")
    return raw[0] | (raw[1] & 0x3F) << 8


def encode_point_code(code: int) -> bytes:
    """The octets of a signalling point code."""
    return bytes((code & 0xFF, code >> 8 & 0x3F))


def decode_range_status(raw: bytes) -> tuple[int, list[bool]]:
    """Number of circuits (the range plus one), and the status bits if there are any (Q.763, 3.43)."""
    if not raw:
        raise MessageError("range and status without a range")
    count = raw[0] + 1
    if len(raw) == 1:
        return count, []
    if len(raw) < 1 + (count + 7) // 8:
        raise MessageError(f"range of {count} circuits with only {len(raw) - 1} octets of status")
    return count, [bool(raw[1 + at // 8] >> at % 8 & 1) for at in range(count)]


def encode_range_status(count: int, status: list[bool] | None = None) -> bytes:
    """Range and status of `count` circuits, without status bits by default."""
    out = bytearray((count - 1,))
    if status is not None:
        out += bytearray((count + 7) // 8)
        for at, bit in enumerate(status):
            out[1 + at // 8] |= bit << at % 8
    return bytes(out)


def encode_circuit_map(cics: tuple[int, ...]) -> bytes:
    """Circuit assignment map for 2048 kbit/s (Q.763, 3.69): time slots 1 to 31 of one multiplex."""
    bits = 0
    for cic in cics:
        bits |= 1 << (cic & 31) - 1
    return bytes((0x02,)) + bits.to_bytes(4, "little")


def decode_circuit_map(cic: int, raw: bytes) -> tuple[int, ...]:
    """The CICs of a circuit assignment map; `cic`: any circuit of the same multiplex."""
    if len(raw) < 5 or raw[0] & 0x3F != 2:
        raise MessageError("a circuit assignment map of an unsupported type")
    bits = int.from_bytes(raw[1:5], "little")
    return tuple((cic & ~31) + slot for slot in range(1, 32) if bits >> slot - 1 & 1)


# -- name=number words in the user-to-user information (protocol discriminator 0: user-specific)

# left: ms left to answer; retry: ms after which the caller may call again; again, cut: set by callers, on a
# repeated call and on one after a cut call; via, tries: far end and number of the attempt, for the caller;
# trace: originating exchange times 2^32 plus the call's number there, for logs.
USER_WORDS = ("left", "retry", "again", "cut", "via", "tries", "trace")


def decode_user_words(raw: bytes | None) -> dict[str, int]:
    """The known words in user-to-user information; anything else in it is ignored."""
    if not raw or raw[0]:
        return {}
    values = {}
    for word in raw[1:].decode("ascii", "ignore").split():
        name, _, value = word.partition("=")
        if name in USER_WORDS and value.isascii() and value.isdigit() and len(value) < 17:
            values[name] = int(value)
    return values


def encode_user_words(**values: int) -> bytes:
    """User-to-user information that holds the words."""
    return b"\0" + " ".join(f"{name}={value}" for name, value in values.items()).encode()
