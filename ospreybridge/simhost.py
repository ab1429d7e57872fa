"""Serves the simulator over standard input and output: one controller for each simulated call server."""

from __future__ import annotations

import sys
import traceback
from dataclasses import replace
from typing import BinaryIO

from ospreybridge import interface, wire
from ospreybridge.policy import Controller
from ospreybridge.settings.instance import SettingPairs, read_report, read_settings


class InstanceHost:
    """The instances of one process. They share nothing, as if each ran on a machine of its own."""

    def __init__(self) -> None:
        self.controllers: dict[int, Controller] = {}
        self.columns: dict[int, tuple[str, ...]] = {}
        self.lists: wire.NumberedLists = {}

    def handle_batch(self, count: int, body: bytes) -> bytes:
        """Handles one batch of events and returns the encoded reply.

        An exception of a controller becomes a fault record of its instance; WireError ends the process.
        """
        now, events = wire.decode_batch(count, body, self.lists)
        actions: list[tuple[int, interface.Action | wire.Fault]] = []
        for instance, event, raw_report in events:
            try:
                actions += [
                    (instance, action) for action in self._handle_event(now, instance, event, raw_report)
                ]
            except wire.WireError:
                raise
            except Exception:
                actions.append((instance, wire.Fault(traceback.format_exc())))
        return wire.encode_reply(actions)

    def _handle_event(
        self,
        now: float,
        instance: int,
        event: wire.Provision | wire.Retire | interface.Event,
        raw_report: wire.RawReport,
    ) -> list[interface.Action]:
        if isinstance(event, wire.Provision):
            settings, columns = read_settings(SettingPairs.from_text(event.settings))
            self.controllers[instance] = Controller(settings, event.seed)
            self.columns[instance] = columns
            return []
        if isinstance(event, wire.Retire):
            self.controllers.pop(instance, None)
            return []
        if instance not in self.controllers:
            raise wire.WireError(f"instance {instance} was never provisioned")
        if isinstance(event, interface.Outcome | interface.Probed):
            event = replace(event, report=read_report(self.columns[instance], raw_report.values))
        return self.controllers[instance].handle(now, event)


def _read_exact(source: BinaryIO, size: int) -> bytes:
    """Reads `size` octets; WireError if the source ends before."""
    data = source.read(size)
    if len(data) < size:
        raise wire.WireError(f"input ended {size - len(data)} bytes early")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers batches until the source ends. WireError: it ended within a frame or a frame is malformed."""
    host = InstanceHost()
    while head := source.read(wire.HEADER.size):
        head += _read_exact(source, wire.HEADER.size - len(head))
        count, length = wire.HEADER.unpack(head)
        sink.write(host.handle_batch(count, _read_exact(source, length)))
        sink.flush()


def main() -> int:
    """Serves the simulator; the exit code is 1 after malformed input."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"ospreybridge: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
