"""The error raised for settings of any format that can't be used."""

from __future__ import annotations


class SettingsError(Exception):
    """All errors of a file, one string each: file and position, key, what was expected."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__("\n".join(errors))
        self.errors = errors
