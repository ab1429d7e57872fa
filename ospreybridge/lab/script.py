"""A scripted day in KDL: fleet, traffic, habits, troubles. Times are milliseconds, or seconds as named."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ospreybridge.settings.reader import (
    NodeSpec,
    ParsedNode,
    Reader,
    ValueSpec,
    choice,
    digits,
    flag,
    integer,
    number,
    text,
)
from ospreybridge.settings.server import SERVER_SPEC as SERVER
from ospreybridge.standins.callers import Habits, Kind
from ospreybridge.standins.office import Processor

KINDS = {
    "hot-callers": "some exchanges get `factor` times their calls",
    "burst": "all exchanges get `factor` times their calls",
    "retry-abuse": "callers dial again at once and often, whatever a refusal says",
    "cut-calls": "`share` of the standing calls is cut and comes back within `back` s",
    "slow": "processors take `factor` times as long",
    "hang": "processors take set-ups and answer none",
    "silent": "processors go silent, their calls stay, and they come back cold",
    "crash": "processors die, calls that touch them are cut, and they come back cold",
    "deploy": "processors drain, stop after `grace` s and come back cold",
    "lost-circuits": "groups between zones lose `share` of their circuits",
    "renew-keys": "call servers of a fleet over TLS get new certificates; their links move over within `for`",
    "call-server-killed": "call servers are killed and started again",
    "call-server-stalled": "call servers stand still",
    "peer-messages-lost": "`share` of the messages between call servers is lost",
    "stale-list": "the exchange list tells nothing new",
    "link-cut": "associations between exchanges drop and return",
    "half-frame": "an association stops in the middle of a frame and stays silent",
}
_SECONDS_OF_A_DAY = number(0, 86_400)
_SHARE = number(0, 1)
SCRIPT_SPEC = NodeSpec(
    children={
        "day": NodeSpec(
            ValueSpec(text, required=True),
            {
                "seconds": ValueSpec(number(1, 86_400), 30.0),
                "factor": ValueSpec(number(0.1, 20), 1.0),
                "seed": ValueSpec(integer(0, 2**32), 1),
            },
        ),
        "fleet": NodeSpec(
            properties={
                "exchanges": ValueSpec(integer(2, 200), 5),
                "zones": ValueSpec(integer(1, 8), 1),
                "circuits": ValueSpec(integer(1, 992), 24),
                "access": ValueSpec(integer(1, 2_000), 300),
                "lines": ValueSpec(integer(1, 2_000), 300),
                "relays": ValueSpec(integer(1, 8), 1),
                "delay": ValueSpec(number(0, 1_000), 1.0),
                "far-delay": ValueSpec(number(0, 1_000), 8.0),
                "tls": ValueSpec(flag, False),
            }
        ),
        "traffic": NodeSpec(properties={"rate": ValueSpec(number(0.1, 100_000), 50.0)}),
        "callers": NodeSpec(
            properties={
                "patience": ValueSpec(number(1, 1e6), 3_300.0),
                "redials": ValueSpec(integer(0, 20), 2),
                "redial-after": ValueSpec(number(1, 1e6), 800.0),
                "heeds": ValueSpec(_SHARE, 0.7),
            }
        ),
        "processor": NodeSpec(
            properties={
                "setup": ValueSpec(number(0.01, 1e5), 4.0),
                "release": ValueSpec(number(0, 1e5), 0.5),
                "refuse-after": ValueSpec(number(1, 1e6), 1_500.0),
            }
        ),
        "list": NodeSpec(
            properties={
                "delay-low": ValueSpec(number(0, 1e5), 200.0),
                "delay-high": ValueSpec(number(0, 1e5), 1_500.0),
            }
        ),
        "centre": NodeSpec(properties={"every": ValueSpec(number(1, 1e6), 2_500.0)}),
        "class": NodeSpec(
            ValueSpec(text, required=True),
            {
                **SERVER.children["class"].properties,
                "share": ValueSpec(_SHARE, 1.0),
                "category": ValueSpec(integer(0, 255), 10),
            },
        ),
        "tenant": NodeSpec(
            ValueSpec(text, required=True),
            dict(SERVER.children["tenant"].properties),
            {"calling-prefix": NodeSpec(ValueSpec(digits, required=True), many_arguments=True)},
        ),
        "rules": SERVER.children["rules"],
        "limits": SERVER.children["limits"],
        "goal": SERVER.children["goal"],
        "module": NodeSpec(
            properties={"over-share-worth": ValueSpec(_SHARE, 1.0), "advice": ValueSpec(flag, True)}
        ),
        "trouble": NodeSpec(
            ValueSpec(choice(*KINDS), required=True),
            {
                "at": ValueSpec(_SECONDS_OF_A_DAY, 0.0, True),
                "for": ValueSpec(_SECONDS_OF_A_DAY, 0.0),
                "share": ValueSpec(_SHARE),
                "factor": ValueSpec(number(0, 1_000), 3.0),
                "exchanges": ValueSpec(text, ""),
                "back": ValueSpec(_SECONDS_OF_A_DAY, 2.0),
                "grace": ValueSpec(_SECONDS_OF_A_DAY, 2.0),
            },
        ),
    }
)


@dataclass(frozen=True, slots=True)
class Trouble:
    kind: str
    at: float  # seconds of the day
    duration: float
    share: float
    factor: float
    exchanges: tuple[int, ...]  # named ones; empty: drawn by `share`
    return_within: float
    grace: float


@dataclass(frozen=True, slots=True)
class Day:
    name: str
    seconds: float
    speedup: float
    seed: int
    fleet: dict[str, Any]
    calls_per_s: float
    habits: Habits
    processor: Processor
    list_delay_ms: tuple[float, float]
    centre_interval_ms: float
    call_kinds: tuple[Kind, ...]
    classes: tuple[ParsedNode, ...]
    tenants: tuple[ParsedNode, ...]
    rules: dict[str, Any]
    limits: dict[str, Any]
    goal: dict[str, Any]
    module: dict[str, Any]
    troubles: tuple[Trouble, ...] = field(default=())

    def scale_ms(self, value: float) -> float:
        """A duration of the script as it is on this day's clock."""
        return value / self.speedup


def _properties(top: ParsedNode, name: str) -> dict[str, Any]:
    part = top.first_child(name)
    return (
        part.properties
        if part
        else {key: spec.default for key, spec in SCRIPT_SPEC.children[name].properties.items()}
    )


def load(path: Path, speedup: float | None = None, with_troubles: bool = True) -> Day:
    """A checked day; SettingsError names every fault. `factor` and `troubles=False` override the script."""
    reader = Reader(path)
    top = reader.read(SCRIPT_SPEC)
    day = top.first_child("day")
    if day is None:
        reader.add_error(1, "day", "missing")
    if not top.children_named("class"):
        reader.add_error(1, "class", "at least one is needed")
    fleet = _properties(top, "fleet")
    troubles = []
    for part in top.children_named("trouble"):
        exchanges = tuple(int(x) for x in part["exchanges"].split(",") if x.strip().isdigit())
        if any(not 1 <= name <= fleet["exchanges"] for name in exchanges):
            reader.add_error(part.line, "trouble exchanges", f"numbers from 1 to {fleet['exchanges']}")
        if (
            part["share"] is None
            and not exchanges
            and part.argument not in ("burst", "stale-list", "retry-abuse")
        ):
            reader.add_error(part.line, "trouble", "exchanges or share is needed")
        share = 1.0 if part["share"] is None else part["share"]
        troubles.append(
            Trouble(
                part.argument,
                part["at"],
                part["for"],
                share,
                part["factor"],
                exchanges,
                part["back"],
                part["grace"],
            )
        )
        if part.argument == "renew-keys" and not fleet["tls"]:
            reader.add_error(part.line, "trouble", "renew-keys needs fleet tls=true")
        if day is not None and part["at"] > day["seconds"]:
            reader.add_error(part.line, "trouble at", f"within the day's {day['seconds']:g} seconds")
    reader.raise_errors()
    assert day is not None
    scale = speedup or day["factor"]
    callers, processor, rules = (
        _properties(top, "callers"),
        _properties(top, "processor"),
        _properties(top, "rules"),
    )
    call_kinds = tuple(
        Kind(
            part.argument,
            part["share"],
            part["category"],
            part["width"],
            part["on-time"] / scale,
            part["deadline"] / scale,
            part["hold"] / scale,
        )
        for part in top.children_named("class")
    )
    list_delays = _properties(top, "list")
    return Day(
        name=day.argument,
        seconds=day["seconds"],
        speedup=scale,
        seed=day["seed"],
        fleet=fleet,
        calls_per_s=_properties(top, "traffic")["rate"] * scale,
        habits=Habits(
            callers["patience"] / scale, callers["redials"], callers["redial-after"] / scale, callers["heeds"]
        ),
        processor=Processor(
            setup=processor["setup"] / scale,
            release=processor["release"] / scale,
            refuse_after=processor["refuse-after"] / scale,
            cold_share=rules["cold-share"],
            warm_after=rules["warm-after"] / scale,
            overload_factor=rules["overload-factor"],
            overload_for=rules["overload-for"] / scale,
        ),
        list_delay_ms=(list_delays["delay-low"] / scale, list_delays["delay-high"] / scale),
        centre_interval_ms=_properties(top, "centre")["every"] / scale,
        call_kinds=call_kinds,
        classes=tuple(top.children_named("class")),
        tenants=tuple(top.children_named("tenant")),
        rules=rules,
        limits=_properties(top, "limits"),
        goal=_properties(top, "goal"),
        module=_properties(top, "module"),
        troubles=tuple(troubles) if with_troubles else (),
    )
