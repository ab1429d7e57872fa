"""The platform's configuration (JSON, by ROUTER_CONFIG), checked whole before anything of it is used."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ospreybridge import interface as i
from ospreybridge.policy import check_settings
from ospreybridge.settings.errors import SettingsError
from ospreybridge.settings.instance import SettingPairs, read_settings
from ospreybridge.signalling import frames

Address = tuple[str, int]
STATES = {"up": frames.READY, "draining": frames.DRAINING, "removed": frames.REMOVED}
THOUSANDTHS = 1_000.0
NOWHERE: Address = ("0.0.0.0", 0)


@dataclass(frozen=True, slots=True)
class Platform:
    """What one call server is told at its start. Times are milliseconds, memory is MB."""

    path: str
    name: str
    listen: Address
    seed: int
    memory_mb: float
    sockets: int
    cores: float
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    journal: Address
    known: tuple[frames.Frame, ...]
    settings: i.Settings
    columns: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]


class _Checks:
    """Collects every fault of a file: file, key, what was expected."""

    def __init__(self, path: str) -> None:
        self.path, self.faults = path, list[str]()

    def fault(self, key: str, expected: str) -> None:
        self.faults.append(f"{self.path}: {key}: {expected}")

    def get(self, tree: dict[str, Any], key: str, convert: Callable[[Any], Any], default: Any = None) -> Any:
        name = key.rpartition(".")[2]
        if name not in tree and default is not None:
            return default
        try:
            return convert(tree.get(name))
        except (ValueError, TypeError) as error:
            self.fault(key, str(error))
            return default


def address(value: Any) -> Address:
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    octets = host.split(".")
    sound = len(octets) == 4 and all(o.isascii() and o.isdigit() and int(o) < 256 for o in octets)
    if not sound or not (port.isascii() and port.isdigit()) or not 0 <= int(port) < 65_536:
        raise ValueError('expected "IPv4:port"')
    return host, int(port)


def _text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError("expected a text")
    return value


def _tree(value: Any) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise ValueError("expected an object")
    return value


def _list(value: Any) -> list[Any]:
    if not isinstance(value, list):
        raise ValueError("expected a list")
    return value


def _seed(value: Any) -> int:
    if not isinstance(value, str) or not 1 <= len(value) <= 32:
        raise ValueError("expected hex digits")
    try:
        found = int(value, 16)
    except ValueError:
        raise ValueError("expected hex digits") from None
    return found


def _positive(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < 1e9:
        raise ValueError("expected a number above 0")
    return float(value)


def _whole(low: int, high: int) -> Callable[[Any], int]:
    def convert(value: Any) -> int:
        if isinstance(value, bool) or not isinstance(value, int) or not low <= value <= high:
            raise ValueError(f"expected a whole number from {low} to {high}")
        return int(value)

    return convert


def _place(names: tuple[str, ...]) -> Callable[[Any], int]:
    def convert(value: Any) -> int:
        if value not in names:
            raise ValueError("expected one of " + ", ".join(names))
        return names.index(value)

    return convert


def _state(value: Any) -> int:
    if value not in STATES:
        raise ValueError("expected one of " + ", ".join(STATES))
    return STATES[value]


def _member(
    checks: _Checks, key: str, tree: dict[str, Any], zones: tuple[str, ...], kinds: tuple[str, ...]
) -> frames.OfficeRecord | None:
    before = len(checks.faults)
    office = checks.get(tree, f"{key}.id", frames.office_id)
    state = checks.get(tree, f"{key}.phase", _state)
    gone = state == frames.REMOVED  # nothing more is needed of it
    host, port = checks.get(tree, f"{key}.host_port", address, NOWHERE if gone else None) or NOWHERE
    zone = checks.get(tree, f"{key}.locality", _place(zones), 0 if gone else None)
    kind = checks.get(tree, f"{key}.flavor", _place(kinds), 0)
    cell = checks.get(tree, f"{key}.cell", _whole(0, 65_535), 0)
    weight = checks.get(tree, f"{key}.size", _positive, 1.0)
    started = checks.get(tree, f"{key}.up_since_ms", _whole(0, 1 << 53), 0)
    if len(checks.faults) > before:
        return None
    return frames.OfficeRecord(
        office, host, port, state, zone, kind, cell, int(weight * THOUSANDTHS), started
    )


def _known(
    checks: _Checks, tree: dict[str, Any], zones: tuple[str, ...], kinds: tuple[str, ...]
) -> tuple[frames.Frame, ...]:
    found = []
    for place, entry in enumerate(checks.get(tree, "known.entries", _list, [])):
        key = f"known.entries.{place}"
        try:
            hosts = _tree(_tree(entry).get("hosts"))
        except ValueError as error:
            checks.fault(key, str(error))
            continue
        number = checks.get(entry, f"{key}.pos", _whole(0, 1 << 62))
        members = checks.get(hosts, f"{key}.hosts.members", _list, [])
        records = []
        for at, member in enumerate(members):
            tree = member if isinstance(member, dict) else {}
            records.append(_member(checks, f"{key}.hosts.members.{at}", tree, zones, kinds))
        kind = frames.FULL_LIST if hosts.get("complete") else frames.CHANGES
        found.append(frames.Frame(number or 0, kind, tuple(r for r in records if r is not None)))
    return tuple(found)


def load(path: Path) -> Platform:
    """The configuration in a file; SettingsError with every fault."""
    try:
        tree = json.loads(path.read_bytes())
    except OSError as error:
        raise SettingsError([f"{path}: {error.strerror or error}"]) from None
    except ValueError as error:
        raise SettingsError([f"{path}: not JSON: {error}"]) from None
    return build(str(path), tree)


def build(path: str, tree: Any) -> Platform:
    checks = _Checks(path)
    if not isinstance(tree, dict):
        raise SettingsError([f"{path}: expected an object"])
    settings: i.Settings | None = None
    columns: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    raw = checks.get(tree, "settings", _tree)
    if raw is not None:
        try:
            pairs = SettingPairs.from_json(raw)
            settings, columns = read_settings(pairs)
            check_settings(settings)
            zones, kinds = tuple(raw.get("Zones") or ()), tuple(raw.get("Kinds") or ())
        except (ValueError, TypeError) as error:
            checks.fault("settings", str(error))
    limits = checks.get(tree, "limits", _tree, {})
    peers = []
    for place, item in enumerate(checks.get(tree, "peers", _list, [])):
        try:
            peers.append(address(item))
        except ValueError as error:
            checks.fault(f"peers.{place}", str(error))
    found = Platform(
        path=path,
        name=checks.get(tree, "name", _text),
        listen=checks.get(tree, "listen", address),
        seed=checks.get(tree, "seed", _seed),
        memory_mb=checks.get(limits, "limits.memory_mb", _positive, 192.0),
        sockets=checks.get(limits, "limits.sockets", _whole(16, 1 << 20), 256),
        cores=checks.get(limits, "limits.cores", _positive, 1.0),
        peer_listen=checks.get(tree, "peer_listen", address) if tree.get("peer_listen") else None,
        peers=tuple(peers),
        peers_all=checks.get(tree, "peers_all", address) if tree.get("peers_all") else None,
        journal=checks.get(tree, "journal", address),
        known=_known(checks, checks.get(tree, "known", _tree, {"entries": []}), zones, kinds)
        if settings is not None
        else (),
        settings=settings,  # type: ignore[arg-type]
        columns=columns,
        zones=zones,
        kinds=kinds,
    )
    if checks.faults:
        raise SettingsError(checks.faults)
    return found
