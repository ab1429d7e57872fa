"""Messages about calls as JSON lines: one object per line of at most 16 KiB. No I/O.

A message has a kind, the id of its call (`uid`, 16 hex digits), fields (`meta`, strings or numbers), and for
some kinds a cause (`reason`) and a description (`body`). The description is passed on unchanged.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field

import orjson

from ospreybridge.signalling.errors import MessageError

MAX_LINE_BYTES = 16_384  # of one message, with its line feed
LAUNCH, STAGING, RUNNING, STOP, STOPPED = "launch", "staging", "running", "stop", "stopped"
CHECK, CHECKED, USAGE = "check", "checked", "usage"
KINDS = frozenset((LAUNCH, STAGING, RUNNING, STOP, STOPPED, CHECK, CHECKED, USAGE))
MAX_FIELDS = 32
MAX_CAUSE = 127
_ID = re.compile(r"[0-9a-f]{16}")

Value = str | int | float


@dataclass(slots=True)
class Message:
    """One message; the attributes have the names of the JSON keys."""

    kind: str
    uid: str
    meta: dict[str, Value] = field(default_factory=dict)
    reason: int = 0
    body: str | None = None


class Splitter:
    """Cuts a byte stream into lines.

    `error` is not empty once a line was too long: it states why, and nothing more is read.
    """

    def __init__(self) -> None:
        self.buffer = b""
        self.error = ""

    def feed(self, data: bytes) -> list[bytes]:
        """The lines completed by `data`, in order, without their line feeds."""
        if self.error:
            return []
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for index, line in enumerate((*lines, self.buffer)):
            if len(line) >= MAX_LINE_BYTES:
                self.error, self.buffer = f"a line of more than {MAX_LINE_BYTES} octets", b""
                return lines[:index]
        return lines


def decode(line: bytes) -> Message:
    """Decodes one line; MessageError states the field and what was expected."""
    try:
        tree = orjson.loads(line)
    except orjson.JSONDecodeError:
        raise MessageError("not JSON") from None
    if not isinstance(tree, dict):
        raise MessageError("a JSON object was expected")
    kind, uid, meta = tree.get("kind"), tree.get("uid", ""), tree.get("meta", {})
    reason, body = tree.get("reason", 0), tree.get("body")
    if not isinstance(kind, str) or kind not in KINDS:
        raise MessageError("kind: not a kind of message")
    if not isinstance(uid, str) or (uid and not _ID.fullmatch(uid)) or (not uid and kind != USAGE):
        raise MessageError("uid: 16 hex digits were expected")
    if not isinstance(meta, dict) or len(meta) > MAX_FIELDS:
        raise MessageError("meta: an object of a few fields was expected")
    for value in meta.values():
        if isinstance(value, bool) or not isinstance(value, str | int | float):
            raise MessageError("meta: texts and numbers were expected")
    if isinstance(reason, bool) or not isinstance(reason, int) or not 0 <= reason <= MAX_CAUSE:
        raise MessageError(f"reason: a whole number from 0 to {MAX_CAUSE} was expected")
    if body is not None and not isinstance(body, str):
        raise MessageError("body: a text was expected")
    return Message(kind, uid, meta, reason, body)


def encode(message: Message) -> bytes:
    """The message as one line, with its line feed."""
    tree: dict[str, object] = {"kind": message.kind, "uid": message.uid, "meta": message.meta}
    if message.kind in (STOP, CHECK, CHECKED):
        tree["reason"] = message.reason
    if message.body is not None:
        tree["body"] = message.body
    return orjson.dumps(tree, option=orjson.OPT_APPEND_NEWLINE)


def parse_number(value: Value | None, field_name: str) -> float:
    """The number in a field, given as a number or a string; MessageError if it is none."""
    try:
        result = float(value) if value is not None else float("nan")
    except (ValueError, OverflowError):
        result = float("nan")
    if not -1e15 < result < 1e15 or (isinstance(value, str) and len(value) > 24):
        raise MessageError(f"{field_name}: a number was expected")
    return result


def parse_extras(text: Value | None) -> dict[str, str]:
    """The pairs of a string such as `a:1;b:2`; MessageError if it has another form."""
    if text is None or text == "":
        return {}
    if not isinstance(text, str) or len(text) > 512:
        raise MessageError("extras: words like a:1;b:2 were expected")
    pairs: dict[str, str] = {}
    for pair in text.split(";"):
        name, colon, value = pair.partition(":")
        if not colon or not name or name in pairs:
            raise MessageError("extras: words like a:1;b:2 were expected")
        pairs[name] = value
    return pairs
