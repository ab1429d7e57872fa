"""Calls as JSON lines: one object a line, at most 16 KiB; no I/O, no state but the splitter.

A message has a kind, the id of its call (16 hex digits), fields (texts or numbers), and where they belong a
cause and a description. The description goes through unchanged, whatever it holds.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field

import orjson

from ospreybridge.signalling.errors import MessageError

MAX_LINE_BYTES = 16_384  # octets of one message, its line feed included
LAUNCH, STAGING, RUNNING, STOP, STOPPED = "launch", "staging", "running", "stop", "stopped"
CHECK, CHECKED, USAGE = "check", "checked", "usage"
KINDS = frozenset((LAUNCH, STAGING, RUNNING, STOP, STOPPED, CHECK, CHECKED, USAGE))
MAX_FIELDS = 32
MAX_CAUSE = 127
_ID = re.compile(r"[0-9a-f]{16}")

Value = str | int | float


@dataclass(slots=True)
class Message:
    kind: str
    uid: str
    meta: dict[str, Value] = field(default_factory=dict)
    reason: int = 0
    body: str | None = None


class Splitter:
    """Octets in, whole lines out. `broken` says why nothing after the last line given can be read."""

    def __init__(self) -> None:
        self.buffer = b""
        self.error = ""

    def feed(self, data: bytes) -> list[bytes]:
        if self.error:
            return []
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for place, line in enumerate((*lines, self.buffer)):
            if len(line) >= MAX_LINE_BYTES:
                self.error, self.buffer = f"a line of more than {MAX_LINE_BYTES} octets", b""
                return lines[:place]
        return lines


def decode(line: bytes) -> Message:
    """One message; MessageError says what was expected."""
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
    tree: dict[str, object] = {"kind": message.kind, "uid": message.uid, "meta": message.meta}
    if message.kind in (STOP, CHECK, CHECKED):
        tree["reason"] = message.reason
    if message.body is not None:
        tree["body"] = message.body
    return orjson.dumps(tree, option=orjson.OPT_APPEND_NEWLINE)


def parse_number(value: Value | None, field_name: str) -> float:
    """A field's figure, from a text or a number; MessageError where it is none."""
    try:
        found = float(value) if value is not None else float("nan")
    except (ValueError, OverflowError):
        found = float("nan")
    if not -1e15 < found < 1e15 or (isinstance(value, str) and len(value) > 24):
        raise MessageError(f"{field_name}: a number was expected")
    return found


def parse_extras(text: Value | None) -> dict[str, str]:
    """`a:1;b:2` as a dict; MessageError where it has another form."""
    if text is None or text == "":
        return {}
    if not isinstance(text, str) or len(text) > 512:
        raise MessageError("extras: words like a:1;b:2 were expected")
    found: dict[str, str] = {}
    for part in text.split(";"):
        name, colon, value = part.partition(":")
        if not colon or not name or name in found:
            raise MessageError("extras: words like a:1;b:2 were expected")
        found[name] = value
    return found
