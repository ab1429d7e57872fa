"""The named errors that any received bytes may end in; nothing else leaves a codec."""

from __future__ import annotations


class SignallingError(Exception):
    """Bytes of the other side that do not follow the specification."""


class FrameError(SignallingError):
    """The stream itself can't be read on: no frame border is known any more, so the link must end."""


class MessageError(SignallingError):
    """One message can't be read; the next one still can.

    `code` is the M3UA error code (RFC 4666, 3.8.1) that an ERR names.
    """

    def __init__(self, text: str, code: int = 0x07) -> None:
        super().__init__(text)
        self.error_code = code


class EncodeError(Exception):
    """A message of our own that may not be sent as it is: a defect here, never the other side's."""
