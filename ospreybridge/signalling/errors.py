"""Errors of the codecs. Decoding any received bytes raises no other exceptions."""

from __future__ import annotations

M3UA_PROTOCOL_ERROR = 0x07  # RFC 4666, 3.8.1


class SignallingError(Exception):
    """Received bytes that violate the specification.

    `error_code`: M3UA error code (RFC 4666, 3.8.1) for the ERR that answers them.
    """

    def __init__(self, text: str, error_code: int = M3UA_PROTOCOL_ERROR) -> None:
        super().__init__(text)
        self.error_code = error_code


class FrameError(SignallingError):
    """The frame boundaries of a stream are lost, so its connection must be closed."""


class MessageError(SignallingError):
    """One message can't be decoded; the next one still can."""


class EncodeError(Exception):
    """A message that can't be encoded: a defect of this program, never of the peer."""
