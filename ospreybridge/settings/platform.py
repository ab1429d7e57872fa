"""The platform's configuration: a JSON file named by ROUTER_CONFIG, validated as a whole before use."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ospreybridge import interface
from ospreybridge.policy import check_settings
from ospreybridge.settings.errors import SettingsError
from ospreybridge.settings.instance import SettingPairs, read_settings
from ospreybridge.signalling import frames

Address = tuple[str, int]
STATE_BY_PHASE = {"up": frames.READY, "draining": frames.DRAINING, "removed": frames.REMOVED}
WEIGHT_SCALE = 1_000.0  # frames carry weights in thousandths
NO_ADDRESS: Address = ("0.0.0.0", 0)  # of a removed office


@dataclass(frozen=True, slots=True)
class PlatformConfig:
    """The configuration of one call server. Times are milliseconds."""

    path: str
    name: str
    listen: Address
    seed: int
    memory_mb: float
    sockets: int  # descriptors that the process may have open
    cores: float
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None  # messages to all peers go here
    journal: Address  # of the journal service
    known_events: tuple[frames.Frame, ...]  # the office list at the start
    settings: interface.Settings
    report_columns: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]


class _ErrorCollector:
    """Collects all errors of a file, each with the file, the key and what was expected."""

    def __init__(self, path: str) -> None:
        self.path, self.errors = path, list[str]()

    def add_error(self, key: str, expected: str) -> None:
        """`key`: the dotted path from the top of the file."""
        self.errors.append(f"{self.path}: {key}: {expected}")

    def read(self, tree: dict[str, Any], key: str, convert: Callable[[Any], Any], default: Any = None) -> Any:
        """The converted value of the last part of `key` in `tree`; `default` if it is absent or invalid.

        An invalid value is recorded as an error, and so is an absent one if there is no default.
        """
        name = key.rpartition(".")[2]
        if name not in tree and default is not None:
            return default
        try:
            return convert(tree.get(name))
        except (ValueError, TypeError) as error:
            self.add_error(key, str(error))
            return default


def parse_address(value: Any) -> Address:
    """Parses "IPv4:port"; ValueError if it is anything else."""
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    octets = host.split(".")
    valid = len(octets) == 4 and all(
        octet.isascii() and octet.isdigit() and int(octet) < 256 for octet in octets
    )
    if not valid or not (port.isascii() and port.isdigit()) or not 0 <= int(port) < 65_536:
        raise ValueError('expected "IPv4:port"')
    return host, int(port)


def _parse_text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError("expected a text")
    return value


def _parse_object(value: Any) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise ValueError("expected an object")
    return value


def _parse_list(value: Any) -> list[Any]:
    if not isinstance(value, list):
        raise ValueError("expected a list")
    return value


def _parse_seed(value: Any) -> int:
    if not isinstance(value, str) or not 1 <= len(value) <= 32:
        raise ValueError("expected hex digits")
    try:
        seed = int(value, 16)
    except ValueError:
        raise ValueError("expected hex digits") from None
    return seed


def _parse_positive(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < 1e9:
        raise ValueError("expected a number above 0")
    return float(value)


def _integer_parser(low: int, high: int) -> Callable[[Any], int]:
    def convert(value: Any) -> int:
        if isinstance(value, bool) or not isinstance(value, int) or not low <= value <= high:
            raise ValueError(f"expected a whole number from {low} to {high}")
        return int(value)

    return convert


def _index_parser(names: tuple[str, ...]) -> Callable[[Any], int]:
    def convert(value: Any) -> int:
        if value not in names:
            raise ValueError("expected one of " + ", ".join(names))
        return names.index(value)

    return convert


def _parse_phase(value: Any) -> int:
    if value not in STATE_BY_PHASE:
        raise ValueError("expected one of " + ", ".join(STATE_BY_PHASE))
    return STATE_BY_PHASE[value]


def _read_member(
    collector: _ErrorCollector, key: str, tree: dict[str, Any], zones: tuple[str, ...], kinds: tuple[str, ...]
) -> frames.OfficeRecord | None:
    """One office of the list; None after an error."""
    errors_before = len(collector.errors)
    office_id = collector.read(tree, f"{key}.id", frames.office_id)
    state = collector.read(tree, f"{key}.phase", _parse_phase)
    removed = state == frames.REMOVED  # then its id is enough
    host, port = (
        collector.read(tree, f"{key}.host_port", parse_address, NO_ADDRESS if removed else None) or NO_ADDRESS
    )
    zone = collector.read(tree, f"{key}.locality", _index_parser(zones), 0 if removed else None)
    kind = collector.read(tree, f"{key}.flavor", _index_parser(kinds), 0)
    cell = collector.read(tree, f"{key}.cell", _integer_parser(0, 65_535), 0)
    weight = collector.read(tree, f"{key}.size", _parse_positive, 1.0)
    started_unix_ms = collector.read(tree, f"{key}.up_since_ms", _integer_parser(0, 1 << 53), 0)
    if len(collector.errors) > errors_before:
        return None
    return frames.OfficeRecord(
        office_id, host, port, state, zone, kind, cell, int(weight * WEIGHT_SCALE), started_unix_ms
    )


def _read_known_events(
    collector: _ErrorCollector, tree: dict[str, Any], zones: tuple[str, ...], kinds: tuple[str, ...]
) -> tuple[frames.Frame, ...]:
    """The events of the office list that are known at the start, in the form of the journal service."""
    events = []
    for entry_index, entry in enumerate(collector.read(tree, "known.entries", _parse_list, [])):
        key = f"known.entries.{entry_index}"
        try:
            hosts = _parse_object(_parse_object(entry).get("hosts"))
        except ValueError as error:
            collector.add_error(key, str(error))
            continue
        number = collector.read(entry, f"{key}.pos", _integer_parser(0, 1 << 62))
        members = collector.read(hosts, f"{key}.hosts.members", _parse_list, [])
        records = []
        for member_index, member in enumerate(members):
            tree = member if isinstance(member, dict) else {}
            records.append(_read_member(collector, f"{key}.hosts.members.{member_index}", tree, zones, kinds))
        kind = frames.FULL_LIST if hosts.get("complete") else frames.CHANGES
        events.append(
            frames.Frame(number or 0, kind, tuple(record for record in records if record is not None))
        )
    return tuple(events)


def load(path: Path) -> PlatformConfig:
    """Reads and validates a configuration file; SettingsError with all its errors."""
    try:
        tree = json.loads(path.read_bytes())
    except OSError as error:
        raise SettingsError([f"{path}: {error.strerror or error}"]) from None
    except ValueError as error:
        raise SettingsError([f"{path}: not JSON: {error}"]) from None
    return parse(str(path), tree)


def parse(path: str, tree: Any) -> PlatformConfig:
    """Validates a decoded configuration; `path` is for the error lines. SettingsError with all its errors."""
    collector = _ErrorCollector(path)
    if not isinstance(tree, dict):
        raise SettingsError([f"{path}: expected an object"])
    settings: interface.Settings | None = None
    columns: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    raw = collector.read(tree, "settings", _parse_object)
    if raw is not None:
        try:
            pairs = SettingPairs.from_json(raw)
            settings, columns = read_settings(pairs)
            check_settings(settings)
            zones, kinds = tuple(raw.get("Zones") or ()), tuple(raw.get("Kinds") or ())
        except (ValueError, TypeError) as error:
            collector.add_error("settings", str(error))
    limits = collector.read(tree, "limits", _parse_object, {})
    peers = []
    for index, item in enumerate(collector.read(tree, "peers", _parse_list, [])):
        try:
            peers.append(parse_address(item))
        except ValueError as error:
            collector.add_error(f"peers.{index}", str(error))
    config = PlatformConfig(
        path=path,
        name=collector.read(tree, "name", _parse_text),
        listen=collector.read(tree, "listen", parse_address),
        seed=collector.read(tree, "seed", _parse_seed),
        memory_mb=collector.read(limits, "limits.memory_mb", _parse_positive, 192.0),
        sockets=collector.read(limits, "limits.sockets", _integer_parser(16, 1 << 20), 256),
        cores=collector.read(limits, "limits.cores", _parse_positive, 1.0),
        peer_listen=collector.read(tree, "peer_listen", parse_address) if tree.get("peer_listen") else None,
        peers=tuple(peers),
        peers_all=collector.read(tree, "peers_all", parse_address) if tree.get("peers_all") else None,
        journal=collector.read(tree, "journal", parse_address),
        known_events=_read_known_events(
            collector, collector.read(tree, "known", _parse_object, {"entries": []}), zones, kinds
        )
        if settings is not None
        else (),
        settings=settings,  # type: ignore[arg-type]
        report_columns=columns,
        zones=zones,
        kinds=kinds,
    )
    if collector.errors:
        raise SettingsError(collector.errors)
    return config
