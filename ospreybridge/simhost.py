"""Adapter: hosts one Controller for each simulated call server and translates; it decides nothing."""

from __future__ import annotations

import sys
import traceback
from dataclasses import replace
from typing import BinaryIO

from ospreybridge import interface as i
from ospreybridge import wire
from ospreybridge.policy import Controller

COLUMNS = {
    "free": "free",
    "size": "size",
    "rif": "working",
    "q": "queued",
    "busy": "busy",
    "lat_ms": "wait",
    "can_take": "can_take",
    "hold_back": "hold_back",
}


class Pairs:
    """The path=value lines of the settings; an absent key leaves the interface's own value."""

    def __init__(self, text: str) -> None:
        self.values = dict(line.split("=", 1) for line in text.splitlines() if "=" in line)

    def items(self, path: str) -> list[str]:
        return [part for part in self.values.get(path, "").split(",") if part]

    def fill(self, prefix: str, keys: dict[str, tuple[str, object]]) -> dict[str, object]:
        """Fields present under `prefix`, each turned by its converter."""
        found: dict[str, object] = {}
        for name, (path, convert) in keys.items():
            text = self.values.get(prefix + path, "")
            if text:
                try:
                    found[name] = convert(text)  # type: ignore[operator]
                except ValueError as error:
                    raise ValueError(f"{prefix + path}: {error}") from error
        return found


def _flag(text: str) -> bool:
    return text == "true"


def _count(text: str) -> int:
    return int(float(text))


LIMITS = {
    "cancel": ("Cancel", _flag),
    "most_tries": ("MostTries", _count),
    "probes": ("Probes", _flag),
    "peer_messages": ("PeerMessages", _flag),
    "retry_after": ("RetryAfter", _flag),
    "max_retry_after": ("MaxRetryAfter", float),
    "dial_timeout": ("DialTimeout", float),
}
RULES = {
    "grace_to_answer": ("GraceToAnswer", float),
    "drain_grace": ("DrainGrace", float),
    "ask_within": ("AskWithin", float),
    "cold_share": ("ColdShare", float),
    "warm_after": ("WarmAfter", float),
    "overload_factor": ("OverloadFactor", float),
    "overload_for": ("OverloadFor", float),
}
GOAL = {
    "whole": ("Whole", float),
    "worst_window": ("WorstWindow", float),
    "worst_class": ("WorstClass", float),
    "worst_tenant": ("WorstTenant", float),
}
CLASS = {
    "on_time": ("OnTime", float),
    "deadline": ("Deadline", float),
    "importance": ("Importance", float),
    "late_worth": ("LateWorth", float),
    "semantics": ("Semantics", i.Semantics),
    "group": ("Group", i.Group),
    "window": ("Window", float),
    "name": ("Name", str),
}
TENANT = {"quota_per_s": ("QuotaPerS", float), "share": ("Share", float), "name": ("Name", str)}
TOP = {
    "layout": ("FamilyInfo.Layout", i.Layout),
    "discovery": ("Discovery", i.Discovery),
    "here": ("FamilyInfo.ThisNode", _count),
    "me": ("Me", _count),
    "peers": ("PeersTotal", _count),
    "zone": ("Locality", _count),
    "tick": ("Round", float),
    "over_share_worth": ("OverShareWorth", float),
    "marks_retry": ("Callers.MarksRetry", _flag),
    "tells_wait": ("FamilyInfo.TellsWait", _flag),
    "advice": ("FamilyInfo.RouteAdvice", _flag),
}


def _classes(pairs: Pairs) -> tuple[i.CallClass, ...]:
    holds, widths = pairs.items("FamilyInfo.ClassHold"), pairs.items("FamilyInfo.ClassWidth")
    classes = []
    for index in range(_count(pairs.values.get("Classes.count", "0"))):
        fields: dict[str, object] = {"on_time": 0.0, "deadline": 0.0}
        fields |= pairs.fill(f"Classes.{index}.", CLASS)  # type: ignore[arg-type]
        if index < len(holds):
            fields["hold"] = float(holds[index])
        if index < len(widths):
            fields["width"] = float(widths[index])
        cells = pairs.items(f"FamilyInfo.ClassCells.{index}")
        fields["cells"] = tuple(_count(cell) for cell in cells)
        classes.append(i.CallClass(**fields))  # type: ignore[arg-type]
    return tuple(classes)


def read_settings(text: str) -> tuple[i.Settings, tuple[str, ...]]:
    """Settings for the controller, and the columns of its load reports."""
    pairs = Pairs(text)
    tenants = tuple(
        i.Tenant(**pairs.fill(f"Customers.{index}.", TENANT))  # type: ignore[arg-type]
        for index in range(_count(pairs.values.get("Customers.count", "0")))
    )
    rules = pairs.fill("Rules.", RULES)  # type: ignore[arg-type]
    rules |= pairs.fill("FamilyInfo.", {"release": ("Guard", float)})
    settings = i.Settings(
        classes=_classes(pairs),
        tenants=tenants,
        goal=i.Goal(**pairs.fill("Goal.", GOAL)),  # type: ignore[arg-type]
        limits=i.Limits(**pairs.fill("Limits.", LIMITS)),  # type: ignore[arg-type]
        rules=i.Rules(**rules),  # type: ignore[arg-type]
        **pairs.fill("", TOP),  # type: ignore[arg-type]
    )
    return settings, tuple(pairs.items("Stats.Columns"))


def read_report(raw: wire.RawReport, columns: tuple[str, ...]) -> i.Report | None:
    if not raw.values:
        return None
    named = {
        COLUMNS[column]: value
        for column, value in zip(columns, raw.values, strict=False)
        if column in COLUMNS and value >= 0
    }
    return i.Report(**named)


class Host:
    """The instances of one process, kept apart as if each ran on a machine of its own."""

    def __init__(self) -> None:
        self.controllers: dict[int, Controller] = {}
        self.columns: dict[int, tuple[str, ...]] = {}
        self.lists: wire.Lists = {}

    def answer(self, count: int, body: bytes) -> bytes:
        now, events = wire.decode_body(count, body, self.lists)
        actions: list[tuple[int, i.Action | wire.Fault]] = []
        for inst, event, raw in events:
            try:
                actions += [(inst, action) for action in self._one(now, inst, event, raw)]
            except wire.WireError:
                raise
            except Exception:
                actions.append((inst, wire.Fault(traceback.format_exc())))
        return wire.encode_reply(actions)

    def _one(
        self, now: float, inst: int, event: wire.Provision | wire.Retire | i.Event, raw: wire.RawReport
    ) -> list[i.Action]:
        if isinstance(event, wire.Provision):
            settings, columns = read_settings(event.settings)
            self.controllers[inst] = Controller(settings, event.seed)
            self.columns[inst] = columns
            return []
        if isinstance(event, wire.Retire):
            self.controllers.pop(inst, None)
            return []
        if inst not in self.controllers:
            raise wire.WireError(f"instance {inst} was never provisioned")
        if isinstance(event, i.Outcome | i.Probed):
            event = replace(event, report=read_report(raw, self.columns[inst]))
        return self.controllers[inst].handle(now, event)


def _read(source: BinaryIO, size: int) -> bytes:
    data = source.read(size)
    if len(data) < size:
        raise wire.WireError(f"input ended {size - len(data)} bytes early")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    host = Host()
    while head := source.read(wire.HEADER.size):
        head += _read(source, wire.HEADER.size - len(head))
        count, length = wire.HEADER.unpack(head)
        sink.write(host.answer(count, _read(source, length)))
        sink.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"ospreybridge: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
