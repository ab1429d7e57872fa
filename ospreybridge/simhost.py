"""Adapter: hosts one Controller for each simulated call server and translates; it decides nothing."""

from __future__ import annotations

import sys
import traceback
from dataclasses import replace
from typing import BinaryIO

from ospreybridge import interface as i
from ospreybridge import wire
from ospreybridge.policy import Controller
from ospreybridge.settings.instance import SettingPairs, read_report, read_settings


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
            settings, columns = read_settings(SettingPairs.from_text(event.settings))
            self.controllers[inst] = Controller(settings, event.seed)
            self.columns[inst] = columns
            return []
        if isinstance(event, wire.Retire):
            self.controllers.pop(inst, None)
            return []
        if inst not in self.controllers:
            raise wire.WireError(f"instance {inst} was never provisioned")
        if isinstance(event, i.Outcome | i.Probed):
            event = replace(event, report=read_report(self.columns[inst], raw.values))
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
