"""Reads the KDL script of a day: fleet, traffic, caller behaviour and troubles (injected faults).

Times in a script are milliseconds, except `seconds` and the times of troubles, which are seconds.
"""

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
from ospreybridge.settings.server import SERVER_SPEC
from ospreybridge.standins.callers import CallerBehaviour, CallKind
from ospreybridge.standins.office import Processor

# Kinds of trouble and their effects.
TROUBLE_KINDS = {
    "hot-callers": "some exchanges originate `factor` times as many calls",
    "burst": "all exchanges originate `factor` times as many calls",
    "retry-abuse": "callers redial soon and often, and ignore the retry time of refusals",
    "cut-calls": "`share` of the established calls is cut; the callers redial within `back` s",
    "slow": "processors take `factor` times as long",
    "hang": "processors accept set-ups but answer none",
    "silent": "processors stop answering, then restart cold; established calls stay until the restart",
    "crash": "processors crash, calls through them are cut, and they restart cold",
    "deploy": "processors drain, stop after `grace` s and restart cold, one after another",
    "lost-circuits": "trunk groups between zones lose `share` of their circuits",
    "renew-keys": "call servers with TLS get new certificates; their links move over within `for` s",
    "call-server-killed": "call servers are killed and restarted",
    "call-server-stalled": "call servers are suspended and resumed",
    "peer-messages-lost": "`share` of the messages between call servers is lost",
    "stale-list": "the exchange list sends no updates and answers audits with its old state",
    "link-cut": "associations between exchanges are closed and cannot be reopened for `for` s",
    "half-frame": "associations between exchanges stay open but deliver nothing for `for` s",
}
_TIME_S = number(0, 86_400)
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
                **SERVER_SPEC.children["class"].properties,
                "share": ValueSpec(_SHARE, 1.0),
                "category": ValueSpec(integer(0, 255), 10),
            },
        ),
        "tenant": NodeSpec(
            ValueSpec(text, required=True),
            dict(SERVER_SPEC.children["tenant"].properties),
            {"calling-prefix": NodeSpec(ValueSpec(digits, required=True), many_arguments=True)},
        ),
        "rules": SERVER_SPEC.children["rules"],
        "limits": SERVER_SPEC.children["limits"],
        "goal": SERVER_SPEC.children["goal"],
        "module": NodeSpec(
            properties={"over-share-worth": ValueSpec(_SHARE, 1.0), "advice": ValueSpec(flag, True)}
        ),
        "trouble": NodeSpec(
            ValueSpec(choice(*TROUBLE_KINDS), required=True),
            {
                "at": ValueSpec(_TIME_S, 0.0, True),
                "for": ValueSpec(_TIME_S, 0.0),
                "share": ValueSpec(_SHARE),
                "factor": ValueSpec(number(0, 1_000), 3.0),
                "exchanges": ValueSpec(text, ""),
                "back": ValueSpec(_TIME_S, 2.0),
                "grace": ValueSpec(_TIME_S, 2.0),
            },
        ),
    }
)


@dataclass(frozen=True, slots=True)
class Trouble:
    """An injected fault of the script."""

    kind: str
    at: float  # seconds from the start of the day; the other times are seconds too
    duration: float
    share: float
    factor: float
    exchanges: tuple[int, ...]  # empty: `share` of all, chosen at random
    return_within: float  # the callers of cut calls dial again within this time
    grace: float  # from the drain of a processor to its stop


@dataclass(frozen=True, slots=True)
class Day:
    """A checked script.

    `seconds` and the times in dicts, nodes and troubles are those of the script; the other times are divided
    by `speedup`, and `calls_per_s` is multiplied by it.
    """

    name: str
    seconds: float
    speedup: float
    seed: int
    fleet: dict[str, Any]
    calls_per_s: float
    caller_behaviour: CallerBehaviour
    processor: Processor
    list_delay_ms: tuple[float, float]
    centre_interval_ms: float
    call_kinds: tuple[CallKind, ...]
    classes: tuple[ParsedNode, ...]
    tenants: tuple[ParsedNode, ...]
    rules: dict[str, Any]
    limits: dict[str, Any]
    goal: dict[str, Any]
    module: dict[str, Any]
    troubles: tuple[Trouble, ...] = field(default=())

    def scale_ms(self, value: float) -> float:
        """Converts a duration of the script to one of this run: a day may run faster than real time."""
        return value / self.speedup


def _properties(top: ParsedNode, name: str) -> dict[str, Any]:
    node = top.first_child(name)
    return (
        node.properties
        if node
        else {key: spec.default for key, spec in SCRIPT_SPEC.children[name].properties.items()}
    )


def load(path: Path, speedup_override: float | None = None, with_troubles: bool = True) -> Day:
    """Reads and checks a script; SettingsError lists every error.

    `speedup_override` replaces the script's factor, and `with_troubles=False` leaves out its troubles.
    """
    reader = Reader(path)
    top = reader.read(SCRIPT_SPEC)
    day = top.first_child("day")
    if day is None:
        reader.add_error(1, "day", "missing")
    if not top.children_named("class"):
        reader.add_error(1, "class", "at least one is needed")
    fleet = _properties(top, "fleet")
    troubles = []
    for node in top.children_named("trouble"):
        exchanges = tuple(int(item) for item in node["exchanges"].split(",") if item.strip().isdigit())
        if any(not 1 <= n <= fleet["exchanges"] for n in exchanges):
            reader.add_error(node.line, "trouble exchanges", f"numbers from 1 to {fleet['exchanges']}")
        if (
            node["share"] is None
            and not exchanges
            and node.argument not in ("burst", "stale-list", "retry-abuse")
        ):
            reader.add_error(node.line, "trouble", "exchanges or share is needed")
        share = 1.0 if node["share"] is None else node["share"]
        troubles.append(
            Trouble(
                node.argument,
                node["at"],
                node["for"],
                share,
                node["factor"],
                exchanges,
                node["back"],
                node["grace"],
            )
        )
        if node.argument == "renew-keys" and not fleet["tls"]:
            reader.add_error(node.line, "trouble", "renew-keys needs fleet tls=true")
        if day is not None and node["at"] > day["seconds"]:
            reader.add_error(node.line, "trouble at", f"within the day's {day['seconds']:g} seconds")
    reader.raise_errors()
    assert day is not None
    speedup = speedup_override or day["factor"]
    callers, processor, rules = (
        _properties(top, "callers"),
        _properties(top, "processor"),
        _properties(top, "rules"),
    )
    call_kinds = tuple(
        CallKind(
            node.argument,
            node["share"],
            node["category"],
            node["width"],
            node["on-time"] / speedup,
            node["deadline"] / speedup,
            node["hold"] / speedup,
        )
        for node in top.children_named("class")
    )
    list_delays = _properties(top, "list")
    return Day(
        name=day.argument,
        seconds=day["seconds"],
        speedup=speedup,
        seed=day["seed"],
        fleet=fleet,
        calls_per_s=_properties(top, "traffic")["rate"] * speedup,
        caller_behaviour=CallerBehaviour(
            callers["patience"] / speedup,
            callers["redials"],
            callers["redial-after"] / speedup,
            callers["heeds"],
        ),
        processor=Processor(
            setup_ms=processor["setup"] / speedup,
            release_ms=processor["release"] / speedup,
            refuse_after=processor["refuse-after"] / speedup,
            cold_share=rules["cold-share"],
            warm_after=rules["warm-after"] / speedup,
            overload_factor=rules["overload-factor"],
            overload_for=rules["overload-for"] / speedup,
        ),
        list_delay_ms=(list_delays["delay-low"] / speedup, list_delays["delay-high"] / speedup),
        centre_interval_ms=_properties(top, "centre")["every"] / speedup,
        call_kinds=call_kinds,
        classes=tuple(top.children_named("class")),
        tenants=tuple(top.children_named("tenant")),
        rules=rules,
        limits=_properties(top, "limits"),
        goal=_properties(top, "goal"),
        module=_properties(top, "module"),
        troubles=tuple(troubles) if with_troubles else (),
    )
