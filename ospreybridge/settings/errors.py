"""The one error that settings of any form end in."""

from __future__ import annotations


class SettingsError(Exception):
    """All faults of a file, one a line: file, place, key, what was expected."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__("\n".join(errors))
        self.errors = errors
