"""The exchange list as SSNM messages tell it, turned into the module's `Members`.

DAVA: ready; DRST: draining; DUNA: gone. The info string carries `v` (list version), `start` (which start of
the processor), `age` (ms since it), and in a whole list `of` (how many exchanges it has).
"""

from __future__ import annotations

from dataclasses import replace

from ospreybridge.interface import Entry, ListForm, Members, Readiness
from ospreybridge.signalling import m3ua

READINESS = {m3ua.DAVA: Readiness.READY, m3ua.DRST: Readiness.DRAINING, m3ua.DUNA: Readiness.GONE}
INFO_WORDS = ("v", "start", "age", "of")


def format_info(version: int, start: int, age: int, list_size: int = 0) -> str:
    text = f"v={version} start={start} age={age}"
    return text + f" of={list_size}" if list_size else text


def _words(text: str) -> dict[str, int]:
    found = {}
    for part in text.split():
        name, _, value = part.partition("=")
        if name in INFO_WORDS and value.isascii() and value.isdigit() and len(value) < 16:
            found[name] = int(value)
    return found


class Roster:
    """Known exchanges by point code. News may be late, repeated, out of order: old versions are dropped."""

    def __init__(self, cells: dict[int, tuple[int, int]]) -> None:
        self.cells = cells  # point code: exchange number, zone
        self.version: dict[int, int] = {}
        self.entries: dict[int, Entry] = {}
        self.starts: dict[int, tuple[int, float]] = {}  # which start, and when it was by our clock
        self.since: dict[int, float] = {}  # told that it drains or is gone since
        self.whole: dict[int, dict[int, Entry]] = {}  # parts of whole lists, by version
        self.strange = 0

    def news(self, now: float, kind: tuple[int, int], point_code: int, text: str) -> Members | None:
        """One exchange's state; None where it tells nothing new."""
        words = _words(text)
        if point_code not in self.cells:
            self.strange += 1
            return None
        version, size = words.get("v", 0), words.get("of", 0)
        start = words.get("start", 0)
        if not start:
            started = 0.0
        elif self.starts.get(point_code, (0, 0.0))[0] == start:
            started = self.starts[point_code][1]  # the same start told again must not look like another
        else:
            started = max(0.001, now - words.get("age", 0))
            self.starts[point_code] = (start, started)
        cell, zone = self.cells[point_code]
        entry = Entry(point_code, cell, zone, READINESS[kind], started)
        if size:
            parts = self.whole.setdefault(version, {})
            parts[point_code] = entry
            if len(parts) < size:
                return None
            newest = max(self.version.values(), default=0)
            self.whole = {known: held for known, held in self.whole.items() if known > version}
            if version < newest:
                return None
            for code in parts:
                self.version[code] = version
            gone = [
                replace(old, readiness=Readiness.GONE)
                for code, old in self.entries.items()
                if code not in parts
            ]
            for entry in (*parts.values(), *gone):
                self._hold(now, entry)
            kept = tuple(e for e in parts.values() if e.readiness is not Readiness.GONE)
            return Members(ListForm.FULL, version, kept)
        if version < self.version.get(point_code, 0) or self.entries.get(point_code) == entry:
            return None
        self.version[point_code] = version
        self._hold(now, entry)
        return Members(ListForm.DELTA, version, (entry,))

    def _hold(self, now: float, entry: Entry) -> None:
        self.entries[entry.office] = entry
        if entry.readiness is Readiness.READY:
            self.since.pop(entry.office, None)
        else:
            self.since.setdefault(entry.office, now)

    def barred(self, now: float, point_code: int, grace: float) -> bool:
        """Whether the grace after the news of a drain or an end is over."""
        since = self.since.get(point_code)
        return since is not None and now - since >= grace
