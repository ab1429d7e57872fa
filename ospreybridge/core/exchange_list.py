"""The exchange list, received as SSNM messages and passed to the controller as `Members`.

DAVA: ready; DRST: draining; DUNA: gone. The info string carries `v` (list version), `start` (number of the
processor's start), `age` (ms since that start) and, in a whole list, `of` (number of exchanges in it).
"""

from __future__ import annotations

from dataclasses import replace

from ospreybridge.interface import Entry, ListForm, Members, Readiness
from ospreybridge.signalling import m3ua

READINESS = {m3ua.DAVA: Readiness.READY, m3ua.DRST: Readiness.DRAINING, m3ua.DUNA: Readiness.GONE}
INFO_KEYS = ("v", "start", "age", "of")


def format_info(version: int, start: int, age: int, list_size: int = 0) -> str:
    """Info string of one exchange; `age` in ms, `list_size`: 0 outside a whole list."""
    text = f"v={version} start={start} age={age}"
    return text + f" of={list_size}" if list_size else text


def _parse_info(text: str) -> dict[str, int]:
    values = {}
    for part in text.split():
        name, _, value = part.partition("=")
        if name in INFO_KEYS and value.isascii() and value.isdigit() and len(value) < 16:
            values[name] = int(value)
    return values


class ExchangeList:
    """Known exchanges by point code. Updates may be late, repeated or out of order: old ones are ignored."""

    def __init__(self, identities: dict[int, tuple[int, int]]) -> None:
        self.identities = identities  # point code -> (exchange number, zone)
        self.versions: dict[int, int] = {}
        self.entries: dict[int, Entry] = {}
        self.starts: dict[int, tuple[int, float]] = {}  # number of the start, and its time by our clock
        self.unready_since: dict[int, float] = {}  # when it was first reported as draining or gone
        self.partial_lists: dict[int, dict[int, Entry]] = {}  # entries of incomplete whole lists, by version
        self.unknown_count = 0  # updates for exchanges that are not in the settings

    def update(self, now: float, kind: tuple[int, int], point_code: int, text: str) -> Members | None:
        """Applies the state of one exchange; returns None if it changes nothing or its list is incomplete."""
        info = _parse_info(text)
        if point_code not in self.identities:
            self.unknown_count += 1
            return None
        version, list_size = info.get("v", 0), info.get("of", 0)
        start = info.get("start", 0)
        if not start:
            started_at = 0.0
        elif self.starts.get(point_code, (0, 0.0))[0] == start:
            started_at = self.starts[point_code][1]  # a repeated report must not look like another start
        else:
            started_at = max(0.001, now - info.get("age", 0))  # 0 would mean that the start is unknown
            self.starts[point_code] = (start, started_at)
        exchange, zone = self.identities[point_code]
        entry = Entry(point_code, exchange, zone, READINESS[kind], started_at)
        if list_size:
            parts = self.partial_lists.setdefault(version, {})
            parts[point_code] = entry
            if len(parts) < list_size:
                return None
            newest = max(self.versions.values(), default=0)
            self.partial_lists = {
                number: entries for number, entries in self.partial_lists.items() if number > version
            }
            if version < newest:
                return None
            for code in parts:
                self.versions[code] = version
            gone = [
                replace(old, readiness=Readiness.GONE)
                for code, old in self.entries.items()
                if code not in parts
            ]
            for entry in (*parts.values(), *gone):
                self._store(now, entry)
            present = tuple(e for e in parts.values() if e.readiness is not Readiness.GONE)
            return Members(ListForm.FULL, version, present)
        if version < self.versions.get(point_code, 0) or self.entries.get(point_code) == entry:
            return None
        self.versions[point_code] = version
        self._store(now, entry)
        return Members(ListForm.DELTA, version, (entry,))

    def _store(self, now: float, entry: Entry) -> None:
        self.entries[entry.office] = entry
        if entry.readiness is Readiness.READY:
            self.unready_since.pop(entry.office, None)
        else:
            self.unready_since.setdefault(entry.office, now)

    def is_barred(self, now: float, point_code: int, grace: float) -> bool:
        """Whether the grace (ms) after the exchange was reported as draining or gone is over."""
        since = self.unready_since.get(point_code)
        return since is not None and now - since >= grace
