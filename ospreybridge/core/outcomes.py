"""Maps ISUP causes of a release to results for the controller, and refusals to ISUP causes."""

from __future__ import annotations

from ospreybridge.interface import Note, Result
from ospreybridge.signalling import causes

# cause: (result and note if the adjacent exchange itself failed, the same if a tandem relays the cause)
_OUTCOMES_BY_CAUSE: dict[int, tuple[tuple[Result, Note], tuple[Result, Note]]] = {
    causes.NO_CIRCUIT: ((Result.FULL, Note.NO_CIRCUIT), (Result.FULL, Note.TURNED_BACK)),
    causes.RESOURCE_UNAVAILABLE: ((Result.FULL, Note.NO_CIRCUIT), (Result.FULL, Note.TURNED_BACK)),
    causes.CONGESTION: ((Result.FULL, Note.PROCESSOR_FULL), (Result.FULL, Note.TURNED_BACK)),
    causes.NO_ROUTE_TO_DESTINATION: ((Result.CONNECT_FAILED, Note.NONE), (Result.FULL, Note.TURNED_BACK)),
    causes.DESTINATION_OUT_OF_ORDER: ((Result.CONNECT_FAILED, Note.NONE), (Result.FULL, Note.TURNED_BACK)),
    causes.NETWORK_OUT_OF_ORDER: ((Result.CONNECT_FAILED, Note.NONE), (Result.FULL, Note.TURNED_BACK)),
    causes.TIMER_EXPIRY: ((Result.TIMEOUT, Note.NONE), (Result.TIMEOUT, Note.NONE)),
    causes.USER_BUSY: ((Result.ERROR, Note.LINES_BUSY), (Result.ERROR, Note.LINES_BUSY)),
}
# Causes that end the call, whichever exchange gave them.
_FINAL_CAUSES = (
    causes.UNALLOCATED_NUMBER,
    causes.NORMAL_CLEARING,
    causes.NO_USER_RESPONDING,
    causes.NO_ANSWER,
    causes.INVALID_NUMBER_FORMAT,
    causes.NORMAL_UNSPECIFIED,
    causes.BEARER_NOT_IMPLEMENTED,
)
# Wait reported for a congested exchange beyond the tandem that names none: 0 would read as "no circuit".
_UNSPECIFIED_WAIT_MS = 1.0


def outcome_of_release(
    cause: int, source: int, tandem: int, direct: bool, wait: float
) -> tuple[Result, Note, float]:
    """Result, note and wait (ms) of an attempt that was released before it was established.

    `source`: point code where the call failed; `tandem`: the adjacent exchange; `direct`: whether that is the
    destination; `wait`: ms after which the release allows another attempt.
    """
    if cause in _FINAL_CAUSES:
        return Result.ERROR, Note.NONE, 0.0
    direct_outcome, relayed_outcome = _OUTCOMES_BY_CAUSE.get(
        cause, ((Result.RESET, Note.NONE), (Result.RESET, Note.NONE))
    )
    if direct:
        return *direct_outcome, wait
    if source == tandem and cause == causes.CONGESTION:
        return *direct_outcome, wait
    if cause == causes.CONGESTION:
        return *relayed_outcome, max(wait, _UNSPECIFIED_WAIT_MS)
    # The tandem could not carry the call on to this destination: it turned the call back.
    return *relayed_outcome, 0.0


def cause_of_refusal(last_cause: int, free: int | None) -> int:
    """Cause of a refusal: that of the last attempt, else why none was made; `free`: None without a group."""
    if last_cause:
        return last_cause
    if free is None:
        return causes.NO_ROUTE_TO_DESTINATION
    return causes.NO_CIRCUIT if free == 0 else causes.CONGESTION


# Automatic congestion level sent with a release, by cause.
CONGESTION_LEVEL = {causes.NO_CIRCUIT: 1, causes.RESOURCE_UNAVAILABLE: 1, causes.CONGESTION: 2}
