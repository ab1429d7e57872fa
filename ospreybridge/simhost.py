"""Adapter: hosts one Controller for each simulated call server and translates; it decides nothing."""

from __future__ import annotations

import sys
import traceback
from dataclasses import replace
from typing import BinaryIO

from ospreybridge import interface, wire
from ospreybridge.policy import Controller
from ospreybridge.settings.instance import SettingPairs, read_report, read_settings


class InstanceHost:
    """The instances of one process, kept apart as if each ran on a machine of its own."""

    def __init__(self) -> None:
        self.controllers: dict[int, Controller] = {}
        self.columns: dict[int, tuple[str, ...]] = {}
        self.lists: wire.NumberedLists = {}

    def handle_batch(self, count: int, body: bytes) -> bytes:
        now, events = wire.decode_batch(count, body, self.lists)
        actions: list[tuple[int, interface.Action | wire.Fault]] = []
        for inst, event, raw in events:
            try:
                actions += [(inst, action) for action in self._handle_event(now, inst, event, raw)]
            except wire.WireError:
                raise
            except Exception:
                actions.append((inst, wire.Fault(traceback.format_exc())))
        return wire.encode_reply(actions)

    def _handle_event(
        self,
        now: float,
        inst: int,
        event: wire.Provision | wire.Retire | interface.Event,
        raw: wire.RawReport,
    ) -> list[interface.Action]:
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
        if isinstance(event, interface.Outcome | interface.Probed):
            event = replace(event, report=read_report(self.columns[inst], raw.values))
        return self.controllers[inst].handle(now, event)


def _read_exact(source: BinaryIO, size: int) -> bytes:
    data = source.read(size)
    if len(data) < size:
        raise wire.WireError(f"input ended {size - len(data)} bytes early")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    host = InstanceHost()
    while head := source.read(wire.HEADER.size):
        head += _read_exact(source, wire.HEADER.size - len(head))
        count, length = wire.HEADER.unpack(head)
        sink.write(host.handle_batch(count, _read_exact(source, length)))
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
