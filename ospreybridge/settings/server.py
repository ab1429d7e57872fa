"""Settings of one call server: its exchange, peers with their trunk groups, numbers, classes, timers."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ospreybridge import interface as i
from ospreybridge.keys.material import Paths
from ospreybridge.policy import check as check_module
from ospreybridge.settings.faults import SettingsError
from ospreybridge.settings.reader import (
    Form,
    Key,
    Part,
    Reader,
    address,
    choice,
    digits,
    flag,
    number,
    text,
    whole,
)

MS = number(0, 4e9)
POINT_CODE = whole(0, 16_383)


def dns_name(value: Any) -> str:
    label = "[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?"
    if not isinstance(value, str) or not re.fullmatch(rf"{label}([.]{label})*", value.lower()):
        raise ValueError('a DNS name such as "cs2.example.net"')
    return value.lower()


PREFIX = Form(Key(digits, needed=True), several=True)


@dataclass(frozen=True, slots=True)
class Peer:
    """The far end of one association. `cics` is empty where it has no trunk group."""

    name: str
    role: str  # exchange, office (the own exchange's lines), callers, list, centre
    point_code: int
    context: int
    number: int = -1
    zone: int = 0
    dial: tuple[str, int] | None = None  # where we dial it; None: it dials us
    cics: tuple[int, ...] = ()
    tls: str = ""  # DNS name its certificate must show; empty: plain, as the settings say
    wildcard: bool = False  # the certificate may show *.rest for it


@dataclass(frozen=True, slots=True)
class Tls:
    """Where the own set lies, and the bounds of handshakes, tickets and links. Times in milliseconds."""

    paths: Paths
    name: str = ""  # what the own certificate must say; empty: anything
    listen: tuple[str, int] | None = None
    allow_12: bool = False
    warn_days: tuple[float, ...] = (30.0, 14.0, 7.0, 3.0, 1.0)
    ticket_age: float = 3_600_000.0  # of a session, and between changes of the ticket keys; 0: no tickets
    link_age: float = 86_400_000.0  # before a standing link moves over to a new association
    spread: float = 60_000.0  # over which links move after the set was replaced
    slots: int = 64  # handshakes in progress that came in
    check_every: float = 60_000.0  # between looks at the files and at the dates


@dataclass(frozen=True, slots=True)
class Timers:
    """Q.764 timers and those of the associations, all in milliseconds, with the recommendation's values."""

    t1: float = 15_000.0  # REL is sent again
    t5: float = 300_000.0  # REL without RLC: the circuit is reset
    t7: float = 25_000.0  # IAM to the own office without ACM
    t9: float = 120_000.0  # ACM without ANM
    t12: float = 15_000.0  # BLO, UBL, CGB, CGU are sent again
    t16: float = 15_000.0  # RSC is sent again
    t22: float = 15_000.0  # GRS is sent again
    heartbeat: float = 2_000.0  # silence before a BEAT; three of these end the association
    redial: float = 500.0  # before a lost association is dialled again
    handshake: float = 5_000.0  # from the connect to an active association
    report: float = 1_000.0  # between reports of free circuits to the centre


@dataclass(frozen=True, slots=True)
class ClassRule:
    categories: tuple[int, ...]
    called: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Server:
    name: str
    number: int
    point_code: int
    zone: int
    listen: tuple[str, int] | None
    network: int  # network indicator, 0 to 3
    peers: tuple[Peer, ...]
    classes: tuple[i.CallClass, ...]
    class_rules: tuple[ClassRule, ...]
    tenants: tuple[i.Tenant, ...]
    tenant_prefixes: dict[str, int]
    prefixes: dict[str, int]
    rules: i.Rules
    limits: i.Limits
    goal: i.Goal
    timers: Timers = field(default_factory=Timers)
    tick: float = 5.0
    over_share_worth: float = 1.0
    advice: bool = False
    stop_within: float = 10_000.0
    out_buffer: int = 1 << 20
    answer_margin: float = 100.0  # ms of a caller's time kept for the answer's way, a tenth of it at most
    seed: int = 0
    path: str = ""
    tls: Tls | None = None

    def module(self) -> i.Settings:
        """What the module is told at its start."""
        return i.Settings(
            classes=self.classes,
            tenants=self.tenants,
            here=self.number,
            me=self.number,
            peers=1 + sum(peer.role == "exchange" for peer in self.peers),
            zone=self.zone,
            tick=self.tick,
            over_share_worth=self.over_share_worth,
            tells_wait=True,
            advice=self.advice,
            goal=self.goal,
            limits=self.limits,
            rules=self.rules,
        )


_RULES = {
    "release": Key(MS, 200.0),
    "drain-grace": Key(MS, 250.0),
    "warm-after": Key(MS, 14_000.0),
    "overload-for": Key(MS, 1_500.0),
    "overload-factor": Key(number(1, 100), 2.5),
    "cold-share": Key(number(0.01, 1), 0.3),
    "ask-within": Key(MS, 10_000.0),
}
_LIMITS = {
    "tries": Key(whole(1, 20), 4),
    "retry-after": Key(MS, 2_000.0),
    "peer-messages": Key(flag, True),
    "probes": Key(flag, False),
}
_GOAL = {name: Key(number(0, 1), 0.0) for name in ("whole", "worst-window", "worst-class", "worst-tenant")}
_TIMERS = {name: Key(MS) for name in Timers.__dataclass_fields__}
CLASS = Form(
    Key(text, needed=True),
    {
        "on-time": Key(number(1, 1e7), needed=True),
        "deadline": Key(number(1, 1e7), needed=True),
        "importance": Key(number(0, 1e6), 1.0),
        "late-worth": Key(number(0, 1), 0.0),
        "width": Key(whole(1, 2), 1),
        "hold": Key(MS, 10_000.0),
    },
    {"category": Form(Key(whole(0, 255), needed=True), several=True), "called-prefix": PREFIX},
)
TENANT = Form(
    Key(text, needed=True),
    {"share": Key(number(0, 1), 0.0), "quota": Key(number(0, 1e6), 0.0)},
    {"calling-prefix": PREFIX},
)
PEER = Form(
    Key(text, needed=True),
    {
        "role": Key(choice("exchange", "office", "callers", "list", "centre"), "exchange", True),
        "point-code": Key(POINT_CODE, 0, True),
        "context": Key(whole(0, 2**32 - 1), 0, True),
        "number": Key(whole(0, 1_999), -1),
        "zone": Key(text, ""),
        "dial": Key(address),
        "tls": Key(dns_name, ""),
        "wildcard": Key(flag, False),
        "plain": Key(flag, False),
    },
    {"circuits": Form(Key(text, needed=True), several=True), "prefix": PREFIX},
)
TLS = Form(
    keys={
        "certificate": Key(text, "", True),
        "key": Key(text, "", True),
        "trust": Key(text, "", True),
        "revoked": Key(text),
        "name": Key(dns_name, ""),
        "listen": Key(address),
        "allow-1.2": Key(flag, False),
        "ticket-age": Key(MS),
        "link-age": Key(number(1, 4e9)),
        "spread": Key(MS),
        "slots": Key(whole(1, 10_000)),
        "check-every": Key(number(100, 4e9)),
    },
    children={"warn-days": Form(Key(number(0, 3_650), needed=True), several=True)},
)
FORM = Form(
    children={
        "exchange": Form(
            Key(text, "", True),
            {
                "number": Key(whole(0, 1_999), 0, True),
                "point-code": Key(POINT_CODE, 0, True),
                "zone": Key(text, ""),
                "listen": Key(address),
                "network-indicator": Key(whole(0, 3), 2),
            },
            {"prefix": PREFIX},
        ),
        "peer": PEER,
        "class": CLASS,
        "tenant": TENANT,
        "rules": Form(keys=_RULES),
        "limits": Form(keys=_LIMITS),
        "goal": Form(keys=_GOAL),
        "timers": Form(keys=_TIMERS),
        "module": Form(
            keys={
                "tick": Key(number(0, 1_000), 5.0),
                "seed": Key(whole(0, 2**32), 0),
                "advice": Key(flag, False),
                "over-share-worth": Key(number(0, 1), 1.0),
            }
        ),
        "tls": TLS,
        "stop": Form(keys={"within": Key(number(100, 600_000), 10_000.0)}),
        "link": Form(
            keys={
                "out-buffer": Key(whole(4_096, 1 << 30), 1 << 20),
                "answer-margin": Key(MS, 100.0),
            }
        ),
    }
)


def circuits(ranges: list[str]) -> tuple[int, ...]:
    """CICs of ranges such as "1-31"; slot 0 of each 32 is no circuit in a 2048 kbit/s multiplex."""
    found: set[int] = set()
    for item in ranges:
        low, _, high = item.partition("-")
        if not low.isdigit() or not (high or low).isdigit() or not 0 < int(low) <= int(high or low) < 4_096:
            raise ValueError(f'"FIRST-LAST" of 1 to 4095, found {item!r}')
        found |= {cic for cic in range(int(low), int(high or low) + 1) if cic & 31}
    return tuple(sorted(found))


def _defaults(form: Form, part: Part | None) -> dict[str, Any]:
    return {name: part[name] if part else key.default for name, key in form.keys.items()}


def _tls(part: Part | None, folder: Path) -> Tls | None:
    """Paths are taken from the folder of the settings file."""
    if part is None:
        return None
    at = {name: folder / part[name] for name in ("certificate", "key", "trust", "revoked") if part[name]}
    given: dict[str, Any] = {
        name: part[name.replace("_", "-")]
        for name in ("ticket_age", "link_age", "spread", "slots", "check_every")
        if part[name.replace("_", "-")] is not None
    }
    if days := part.arguments("warn-days"):
        given["warn_days"] = tuple(days)
    return Tls(Paths(**at), part["name"], part["listen"], part["allow-1.2"], **given)


def load(path: Path) -> Server:
    """The whole file, checked; SettingsError names every fault."""
    reader = Reader(path)
    top = reader.read(FORM)
    own = top.one("exchange")
    if own is None or len(top.all("exchange")) != 1:
        reader.fault(1, "exchange", "exactly one is needed")
    if not top.all("class"):
        reader.fault(1, "class", "at least one is needed")
    for name in ("rules", "limits", "goal", "timers", "module", "stop", "link", "tls"):
        for extra in top.all(name)[1:]:
            reader.fault(extra.line, name, "stands more than once")
    reader.check()
    assert own is not None
    zones = sorted({part["zone"] for part in [own, *top.all("peer")]})
    prefixes: dict[str, int] = {}
    peers: list[Peer] = []
    seen: dict[tuple[str, Any], int] = {("point-code", own["point-code"]): own.line}
    seen["number", own["number"]] = own.line

    def once(part: Part, key: str, value: Any) -> None:
        if (key, value) in seen:
            reader.fault(part.line, f"peer {key}", f"{value} stands already in line {seen[key, value]}")
        seen[key, value] = part.line

    def lead(part: Part, exchange: int) -> None:
        for prefix in part.arguments("prefix"):
            if prefix in prefixes:
                reader.fault(part.line, "prefix", f"{prefix} leads to exchange {prefixes[prefix]} already")
            prefixes[prefix] = exchange

    lead(own, own["number"])
    for part in top.all("peer"):
        once(part, "name", part.argument)
        once(part, "point-code", part["point-code"])
        once(part, "context", part["context"])
        if part["role"] == "exchange":
            if part["number"] < 0:
                reader.fault(part.line, "peer number", "missing for an exchange")
            once(part, "number", part["number"])
            lead(part, part["number"])
        if bool(part["tls"]) == part["plain"]:
            expected = 'either tls="the DNS name of its certificate" or plain=true'
            reader.fault(part.line, "peer tls", f"expected {expected}")
        cics: tuple[int, ...] = ()
        try:
            cics = circuits(part.arguments("circuits"))
        except ValueError as error:
            reader.fault(part.line, "peer / circuits", f"expected {error}")
        peers.append(
            Peer(
                part.argument,
                part["role"],
                part["point-code"],
                part["context"],
                part["number"],
                zones.index(part["zone"]),
                part["dial"],
                cics,
                part["tls"],
                part["wildcard"],
            )
        )
    if sum(peer.role == "office" for peer in peers) > 1:
        reader.fault(own.line, "peer", "only one office: the own exchange's lines")
    classes, class_rules = [], []
    for part in top.all("class"):
        if part["deadline"] < part["on-time"]:
            reader.fault(part.line, "class deadline", f"at least on-time, {part['on-time']:g}")
        classes.append(
            i.CallClass(
                part["on-time"],
                part["deadline"],
                part["importance"],
                part["late-worth"],
                float(part["width"]),
                part["hold"],
                name=part.argument,
            )
        )
        class_rules.append(
            ClassRule(tuple(part.arguments("category")), tuple(part.arguments("called-prefix")))
        )
    tenants, tenant_prefixes = [], {}
    for index, part in enumerate(top.all("tenant")):
        tenants.append(i.Tenant(part["quota"], part["share"], part.argument))
        for prefix in part.arguments("calling-prefix"):
            if prefix in tenant_prefixes:
                reader.fault(part.line, "tenant calling-prefix", f"{prefix} is another tenant's already")
            tenant_prefixes[prefix] = index
    rules = _defaults(FORM.children["rules"], top.one("rules"))
    limits = _defaults(FORM.children["limits"], top.one("limits"))
    goal = _defaults(FORM.children["goal"], top.one("goal"))
    timers = (top.one("timers") or Part(0, 0, {}, {})).values
    module = _defaults(FORM.children["module"], top.one("module"))
    server = Server(
        name=own.argument,
        number=own["number"],
        point_code=own["point-code"],
        zone=zones.index(own["zone"]),
        listen=own["listen"],
        network=own["network-indicator"],
        peers=tuple(peers),
        classes=tuple(classes),
        class_rules=tuple(class_rules),
        tenants=tuple(tenants),
        tenant_prefixes=tenant_prefixes,
        prefixes=prefixes,
        rules=i.Rules(**{name.replace("-", "_"): value for name, value in rules.items()}),
        limits=i.Limits(
            cancel=True,
            most_tries=limits["tries"],
            probes=limits["probes"],
            peer_messages=limits["peer-messages"],
            retry_after=limits["retry-after"] > 0,
            max_retry_after=limits["retry-after"],
        ),
        goal=i.Goal(**{name.replace("-", "_"): value for name, value in goal.items()})
        if top.one("goal")
        else i.Goal(),
        timers=Timers(**{name: value for name, value in timers.items() if value is not None}),
        tick=module["tick"],
        over_share_worth=module["over-share-worth"],
        advice=module["advice"],
        stop_within=_defaults(FORM.children["stop"], top.one("stop"))["within"],
        out_buffer=_defaults(FORM.children["link"], top.one("link"))["out-buffer"],
        answer_margin=_defaults(FORM.children["link"], top.one("link"))["answer-margin"],
        seed=module["seed"] or own["point-code"],
        path=str(path),
        tls=_tls(top.one("tls"), path.parent),
    )
    if any(peer.dial is None and not peer.tls for peer in peers) and server.listen is None:
        reader.fault(own.line, "exchange listen", "missing: some plain peer has no dial address")
    for part, peer in zip(top.all("peer"), peers, strict=True):
        if peer.tls and (server.tls is None or (peer.dial is None and server.tls.listen is None)):
            needed = "a tls node" if server.tls is None else "tls listen: it has no dial address"
            reader.fault(part.line, "peer tls", f"needs {needed}")
    reader.check()
    try:
        check_module(server.module())
    except ValueError as error:
        raise SettingsError([f"{path}:{own.line}: {error}"]) from None
    return server
