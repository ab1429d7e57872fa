"""What a release means to the module, and what the module's refusal is called in ISUP: tables only."""

from __future__ import annotations

from ospreybridge.interface import Note, Result
from ospreybridge.signalling import causes

# cause: (result and note where the next hop itself says so, the same where it passes on another's word)
_BY_CAUSE: dict[int, tuple[tuple[Result, Note], tuple[Result, Note]]] = {
    causes.NO_CIRCUIT: ((Result.FULL, Note.NO_CIRCUIT), (Result.FULL, Note.TURNED_BACK)),
    causes.RESOURCE_UNAVAILABLE: ((Result.FULL, Note.NO_CIRCUIT), (Result.FULL, Note.TURNED_BACK)),
    causes.CONGESTION: ((Result.FULL, Note.PROCESSOR_FULL), (Result.FULL, Note.TURNED_BACK)),
    causes.NO_ROUTE_TO_DESTINATION: ((Result.CONNECT_FAILED, Note.NONE), (Result.FULL, Note.TURNED_BACK)),
    causes.DESTINATION_OUT_OF_ORDER: ((Result.CONNECT_FAILED, Note.NONE), (Result.FULL, Note.TURNED_BACK)),
    causes.NETWORK_OUT_OF_ORDER: ((Result.CONNECT_FAILED, Note.NONE), (Result.FULL, Note.TURNED_BACK)),
    causes.TIMER_EXPIRY: ((Result.TIMEOUT, Note.NONE), (Result.TIMEOUT, Note.NONE)),
    causes.USER_BUSY: ((Result.ERROR, Note.LINES_BUSY), (Result.ERROR, Note.LINES_BUSY)),
}
_ENDS = (
    causes.UNALLOCATED_NUMBER,
    causes.NORMAL_CLEARING,
    causes.NO_USER_RESPONDING,
    causes.NO_ANSWER,
    causes.INVALID_NUMBER_FORMAT,
    causes.NORMAL_UNSPECIFIED,
    causes.BEARER_NOT_IMPLEMENTED,
)
_NO_WAIT_TOLD = 1.0  # ms: a full processor beyond the tandem that names no wait; 0 would read as "no circuit"


def of_release(cause: int, source: int, tandem: int, direct: bool, wait: float) -> tuple[Result, Note, float]:
    """Result, note and wait of an attempt released before it stood.

    `source`: point code where the call failed; `tandem`: the adjacent exchange; `wait`: ms it asked for.
    """
    if cause in _ENDS:
        return Result.ERROR, Note.NONE, 0.0
    own, beyond = _BY_CAUSE.get(cause, ((Result.RESET, Note.NONE), (Result.RESET, Note.NONE)))
    if direct:
        return *own, wait
    if source == tandem and cause == causes.CONGESTION:
        return *own, wait
    if cause == causes.CONGESTION:
        return *beyond, max(wait, _NO_WAIT_TOLD)
    # What the tandem itself could not do for this destination is its turn-back.
    return *beyond, 0.0


def of_refusal(last: int, free: int | None) -> int:
    """Cause of a refusal: the last attempt's, else why nothing was tried (free is None without a group)."""
    if last:
        return last
    if free is None:
        return causes.NO_ROUTE_TO_DESTINATION
    return causes.NO_CIRCUIT if free == 0 else causes.CONGESTION


CONGESTION_LEVEL = {causes.NO_CIRCUIT: 1, causes.RESOURCE_UNAVAILABLE: 1, causes.CONGESTION: 2}
