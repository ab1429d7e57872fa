"""What the fields of an office's messages mean to the controller. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from ospreybridge import interface
from ospreybridge.settings.instance import read_report
from ospreybridge.signalling import causes, jsonl
from ospreybridge.signalling.jsonl import Message

MOOT_CAUSE = causes.TIMER_EXPIRY  # sent by an office for a set-up that it never passed on
NOTE_BY_WORD = {
    "no_path": interface.Note.NO_CIRCUIT,
    "sent_back": interface.Note.TURNED_BACK,
    "end_queue_long": interface.Note.TURNED_BACK,
    "queue_long": interface.Note.PROCESSOR_FULL,
    "line_taken": interface.Note.LINES_BUSY,
}
# Reported as the wait of an `end_queue_long` that gives none: by a wait above 0 the controller knows that the
# far processor is overloaded rather than out of circuits.
REMOTE_BUSY_WAIT_MS = 1.0


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How an office ended a set-up that it had not answered."""

    result: interface.Result
    note: interface.Note
    wait: float  # at the full processor, in milliseconds


def interpret_stop(message: Message) -> AttemptEnd:
    """The end that a `stop` for an unanswered set-up tells of; MessageError if its wait is no number."""
    meta = message.meta
    note = NOTE_BY_WORD.get(str(meta.get("note", "")), interface.Note.NONE)
    wait = max(0.0, jsonl.parse_number(meta["waited"], "waited")) if "waited" in meta else 0.0
    if meta.get("note") == "end_queue_long":
        wait = max(wait, REMOTE_BUSY_WAIT_MS)
    return AttemptEnd(_result_of_cause(message.reason), note, wait)


def _result_of_cause(cause: int) -> interface.Result:
    if cause == causes.NO_CIRCUIT:
        return interface.Result.FULL
    if cause in (causes.USER_BUSY, causes.RESOURCE_UNAVAILABLE):
        return interface.Result.ERROR
    if cause == MOOT_CAUSE:
        return interface.Result.MOOT
    return interface.Result.RESET


def parse_load(columns: tuple[str, ...], meta: dict[str, jsonl.Value]) -> interface.Report | None:
    """The load report in a message, if it has one; columns that it leaves out stay unknown."""
    load = jsonl.parse_extras(meta.get("load"))
    if not load:
        return None
    values = tuple(jsonl.parse_number(load[column], column) if column in load else -1.0 for column in columns)
    return read_report(columns, values)
