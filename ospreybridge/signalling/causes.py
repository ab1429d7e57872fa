"""Q.850 cause values and locations that the router sends or acts on."""

from __future__ import annotations

(UNALLOCATED_NUMBER, NO_ROUTE_TO_DESTINATION, NORMAL_CLEARING,
 USER_BUSY, NO_USER_RESPONDING, NO_ANSWER) = 1, 3, 16, 17, 18, 19  # fmt: skip
EXCHANGE_ROUTING_ERROR = 25
DESTINATION_OUT_OF_ORDER, INVALID_NUMBER_FORMAT, NORMAL_UNSPECIFIED = 27, 28, 31
NO_CIRCUIT, NETWORK_OUT_OF_ORDER, TEMPORARY_FAILURE, CONGESTION, RESOURCE_UNAVAILABLE = 34, 38, 41, 42, 47
BEARER_NOT_IMPLEMENTED, UNKNOWN_MESSAGE_TYPE, TIMER_EXPIRY = 65, 97, 102
PROTOCOL_ERROR = 111

# Locations; the networks are the public ones that serve the local and the remote user.
LOCATION_USER, LOCATION_LOCAL_NETWORK, LOCATION_TRANSIT, LOCATION_REMOTE_NETWORK = 0, 2, 3, 4

NAMES = {
    UNALLOCATED_NUMBER: "unallocated number",
    NO_ROUTE_TO_DESTINATION: "no route to destination",
    NORMAL_CLEARING: "normal call clearing",
    USER_BUSY: "user busy",
    NO_USER_RESPONDING: "no user responding",
    NO_ANSWER: "no answer from user",
    EXCHANGE_ROUTING_ERROR: "exchange routing error",
    DESTINATION_OUT_OF_ORDER: "destination out of order",
    INVALID_NUMBER_FORMAT: "invalid number format",
    NORMAL_UNSPECIFIED: "normal, unspecified",
    NO_CIRCUIT: "no circuit available",
    NETWORK_OUT_OF_ORDER: "network out of order",
    TEMPORARY_FAILURE: "temporary failure",
    CONGESTION: "switching equipment congestion",
    RESOURCE_UNAVAILABLE: "resource unavailable, unspecified",
    BEARER_NOT_IMPLEMENTED: "bearer capability not implemented",
    UNKNOWN_MESSAGE_TYPE: "message type not implemented",
    TIMER_EXPIRY: "recovery on timer expiry",
    PROTOCOL_ERROR: "protocol error, unspecified",
}


def name(cause: int) -> str:
    """The cause's name for logs; "cause N" for a value not in the table."""
    return NAMES.get(cause, f"cause {cause}")
