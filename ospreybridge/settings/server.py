"""Settings file of one call server: its exchange, peers, trunk groups, number prefixes, classes and timers.

The `*_SPEC` tables state the nodes and properties of the file; `load` checks what concerns several nodes.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ospreybridge import interface
from ospreybridge.keys.credentials import CredentialPaths
from ospreybridge.policy import check_settings as check_controller_settings
from ospreybridge.settings.errors import SettingsError
from ospreybridge.settings.reader import (
    NodeSpec,
    ParsedNode,
    Reader,
    ValueSpec,
    address,
    choice,
    digits,
    flag,
    integer,
    number,
    text,
)

MILLISECONDS = number(0, 4e9)
POINT_CODE = integer(0, 16_383)  # 14 bits


def dns_name(value: Any) -> str:
    """Converter for a DNS name, to lower case."""
    label = "[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?"
    if not isinstance(value, str) or not re.fullmatch(rf"{label}([.]{label})*", value.lower()):
        raise ValueError('a DNS name such as "cs2.example.net"')
    return value.lower()


PREFIX_SPEC = NodeSpec(ValueSpec(digits, required=True), many_arguments=True)


@dataclass(frozen=True, slots=True)
class Peer:
    """The far end of one association. `cics` is empty if there is no trunk group to it."""

    name: str
    role: str  # exchange, office (the own exchange's lines), callers, list, centre
    point_code: int
    routing_context: int
    number: int = -1
    zone: int = 0  # index in the sorted zone names of the file
    dial_address: tuple[str, int] | None = None  # None: the peer dials this server
    cics: tuple[int, ...] = ()
    tls_name: str = ""  # DNS name that its certificate must contain; empty: a plain peer
    wildcard: bool = False  # a wildcard certificate (*.example.net) is accepted


@dataclass(frozen=True, slots=True)
class TlsSettings:
    """Paths of the own key set; bounds of handshakes, session tickets and links. Times in milliseconds."""

    paths: CredentialPaths
    name: str = ""  # DNS name that the own certificate must contain; empty: any
    listen: tuple[str, int] | None = None
    allow_12: bool = False  # TLS 1.2 beside 1.3
    warn_days: tuple[float, ...] = (30.0, 14.0, 7.0, 3.0, 1.0)  # before expiry
    ticket_age: float = 3_600_000.0  # lifetime of a session and of the ticket keys; 0: no tickets
    link_age: float = 86_400_000.0  # before an established link moves to a new association
    spread: float = 60_000.0  # period over which the links move after the key set was replaced
    slots: int = 64  # incoming handshakes in progress at once
    check_every: float = 60_000.0  # interval of checks of the files and of expiry dates


@dataclass(frozen=True, slots=True)
class TimerSettings:
    """Q.764 timers, with the recommendation's values, and those of the associations. All in milliseconds."""

    t1: float = 15_000.0  # REL is repeated
    t5: float = 300_000.0  # no RLC after REL: the circuit is reset
    t7: float = 25_000.0  # no ACM after an IAM to the own office
    t9: float = 120_000.0  # no ANM after ACM
    t12: float = 15_000.0  # BLO, UBL, CGB, CGU are repeated
    t16: float = 15_000.0  # RSC is repeated
    t22: float = 15_000.0  # GRS is repeated
    heartbeat: float = 2_000.0  # silence before a BEAT is sent; three times that ends the association
    redial: float = 500.0  # before a lost association is dialled again
    handshake: float = 5_000.0  # from connecting to an active association
    report: float = 1_000.0  # interval of reports of free circuits to the centre


@dataclass(frozen=True, slots=True)
class ClassRule:
    """Which calls belong to a class: by calling party's category or by prefix of the called number."""

    categories: tuple[int, ...]
    called_prefixes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ServerSettings:
    """The checked settings of one call server. Times in milliseconds.

    A reload logs the names of the fields that changed.
    """

    name: str
    number: int  # of the own exchange
    point_code: int
    zone: int  # index in the sorted zone names of the file
    listen: tuple[str, int] | None
    network: int  # network indicator, 0 to 3
    peers: tuple[Peer, ...]
    classes: tuple[interface.CallClass, ...]
    class_rules: tuple[ClassRule, ...]  # in the order of `classes`
    tenants: tuple[interface.Tenant, ...]
    tenant_prefixes: dict[str, int]  # index of the tenant by prefix of the calling number
    prefixes: dict[str, int]  # exchange number by prefix of the called number
    rules: interface.Rules
    limits: interface.Limits
    goal: interface.Goal
    timers: TimerSettings = field(default_factory=TimerSettings)
    tick: float = 5.0  # granularity of the controller's timers
    over_share_worth: float = 1.0
    advice: bool = False  # the traffic centre sends route advice
    stop_within: float = 10_000.0  # longest time from the stop request to the end of the process
    out_buffer: int = 1 << 20  # unsent octets queued for a peer before its connection is closed
    answer_margin: float = 100.0  # of a caller's time, kept for the answer's return; at most a tenth of it
    seed: int = 0  # of the controller's random numbers
    path: str = ""  # of the settings file
    tls: TlsSettings | None = None

    def controller_settings(self) -> interface.Settings:
        """The controller's settings."""
        return interface.Settings(
            classes=self.classes,
            tenants=self.tenants,
            own_exchange=self.number,
            server_index=self.number,
            server_count=1 + sum(peer.role == "exchange" for peer in self.peers),
            zone=self.zone,
            tick=self.tick,
            over_share_worth=self.over_share_worth,
            reports_wait=True,
            route_advice=self.advice,
            goal=self.goal,
            limits=self.limits,
            rules=self.rules,
        )


RULES_PROPERTIES = {
    "release": ValueSpec(MILLISECONDS, 200.0),
    "drain-grace": ValueSpec(MILLISECONDS, 250.0),
    "warm-after": ValueSpec(MILLISECONDS, 14_000.0),
    "overload-for": ValueSpec(MILLISECONDS, 1_500.0),
    "overload-factor": ValueSpec(number(1, 100), 2.5),
    "cold-share": ValueSpec(number(0.01, 1), 0.3),
    "ask-within": ValueSpec(MILLISECONDS, 10_000.0),
}
LIMITS_PROPERTIES = {
    "tries": ValueSpec(integer(1, 20), 4),
    "retry-after": ValueSpec(MILLISECONDS, 2_000.0),
    "peer-messages": ValueSpec(flag, True),
    "probes": ValueSpec(flag, False),
}
GOAL_PROPERTIES = {
    name: ValueSpec(number(0, 1), 0.0) for name in ("whole", "worst-window", "worst-class", "worst-tenant")
}
TIMER_PROPERTIES = {name: ValueSpec(MILLISECONDS) for name in TimerSettings.__dataclass_fields__}
CLASS_SPEC = NodeSpec(
    ValueSpec(text, required=True),
    {
        "on-time": ValueSpec(number(1, 1e7), required=True),
        "deadline": ValueSpec(number(1, 1e7), required=True),
        "importance": ValueSpec(number(0, 1e6), 1.0),
        "late-worth": ValueSpec(number(0, 1), 0.0),
        "width": ValueSpec(integer(1, 2), 1),
        "hold": ValueSpec(MILLISECONDS, 10_000.0),
    },
    {
        "category": NodeSpec(ValueSpec(integer(0, 255), required=True), many_arguments=True),
        "called-prefix": PREFIX_SPEC,
    },
)
TENANT_SPEC = NodeSpec(
    ValueSpec(text, required=True),
    {"share": ValueSpec(number(0, 1), 0.0), "quota": ValueSpec(number(0, 1e6), 0.0)},
    {"calling-prefix": PREFIX_SPEC},
)
PEER_SPEC = NodeSpec(
    ValueSpec(text, required=True),
    {
        "role": ValueSpec(choice("exchange", "office", "callers", "list", "centre"), "exchange", True),
        "point-code": ValueSpec(POINT_CODE, 0, True),
        "context": ValueSpec(integer(0, 2**32 - 1), 0, True),
        "number": ValueSpec(integer(0, 1_999), -1),
        "zone": ValueSpec(text, ""),
        "dial": ValueSpec(address),
        "tls": ValueSpec(dns_name, ""),
        "wildcard": ValueSpec(flag, False),
        "plain": ValueSpec(flag, False),
    },
    {"circuits": NodeSpec(ValueSpec(text, required=True), many_arguments=True), "prefix": PREFIX_SPEC},
)
TLS_SPEC = NodeSpec(
    properties={
        "certificate": ValueSpec(text, "", True),
        "key": ValueSpec(text, "", True),
        "trust": ValueSpec(text, "", True),
        "revoked": ValueSpec(text),
        "name": ValueSpec(dns_name, ""),
        "listen": ValueSpec(address),
        "allow-1.2": ValueSpec(flag, False),
        "ticket-age": ValueSpec(MILLISECONDS),
        "link-age": ValueSpec(number(1, 4e9)),
        "spread": ValueSpec(MILLISECONDS),
        "slots": ValueSpec(integer(1, 10_000)),
        "check-every": ValueSpec(number(100, 4e9)),
    },
    children={"warn-days": NodeSpec(ValueSpec(number(0, 3_650), required=True), many_arguments=True)},
)
SERVER_SPEC = NodeSpec(
    children={
        "exchange": NodeSpec(
            ValueSpec(text, "", True),
            {
                "number": ValueSpec(integer(0, 1_999), 0, True),
                "point-code": ValueSpec(POINT_CODE, 0, True),
                "zone": ValueSpec(text, ""),
                "listen": ValueSpec(address),
                "network-indicator": ValueSpec(integer(0, 3), 2),
            },
            {"prefix": PREFIX_SPEC},
        ),
        "peer": PEER_SPEC,
        "class": CLASS_SPEC,
        "tenant": TENANT_SPEC,
        "rules": NodeSpec(properties=RULES_PROPERTIES),
        "limits": NodeSpec(properties=LIMITS_PROPERTIES),
        "goal": NodeSpec(properties=GOAL_PROPERTIES),
        "timers": NodeSpec(properties=TIMER_PROPERTIES),
        "module": NodeSpec(
            properties={
                "tick": ValueSpec(number(0, 1_000), 5.0),
                "seed": ValueSpec(integer(0, 2**32), 0),
                "advice": ValueSpec(flag, False),
                "over-share-worth": ValueSpec(number(0, 1), 1.0),
            }
        ),
        "tls": TLS_SPEC,
        "stop": NodeSpec(properties={"within": ValueSpec(number(100, 600_000), 10_000.0)}),
        "link": NodeSpec(
            properties={
                "out-buffer": ValueSpec(integer(4_096, 1 << 30), 1 << 20),
                "answer-margin": ValueSpec(MILLISECONDS, 100.0),
            }
        ),
    }
)


def parse_cic_ranges(ranges: list[str]) -> tuple[int, ...]:
    """CICs of ranges such as "1-31", without time slot 0 of each 2048 kbit/s multiplex of 32."""
    cics: set[int] = set()
    for item in ranges:
        low, _, high = item.partition("-")
        if not low.isdigit() or not (high or low).isdigit() or not 0 < int(low) <= int(high or low) < 4_096:
            raise ValueError(f'"FIRST-LAST" of 1 to 4095, found {item!r}')
        cics |= {cic for cic in range(int(low), int(high or low) + 1) if cic & 31}
    return tuple(sorted(cics))


def _properties_or_defaults(spec: NodeSpec, node: ParsedNode | None) -> dict[str, Any]:
    return {name: node[name] if node else key.default for name, key in spec.properties.items()}


def _tls_settings(node: ParsedNode | None, folder: Path) -> TlsSettings | None:
    """The `tls` node; its paths are relative to the folder of the settings file."""
    if node is None:
        return None
    paths = {name: folder / node[name] for name in ("certificate", "key", "trust", "revoked") if node[name]}
    optional: dict[str, Any] = {
        name: node[name.replace("_", "-")]
        for name in ("ticket_age", "link_age", "spread", "slots", "check_every")
        if node[name.replace("_", "-")] is not None
    }
    if days := node.all_arguments("warn-days"):
        optional["warn_days"] = tuple(days)
    return TlsSettings(CredentialPaths(**paths), node["name"], node["listen"], node["allow-1.2"], **optional)


def load(path: Path) -> ServerSettings:
    """Reads and checks a settings file; SettingsError holds all errors found."""
    reader = Reader(path)
    document = reader.read(SERVER_SPEC)
    own_node = document.first_child("exchange")
    if own_node is None or len(document.children_named("exchange")) != 1:
        reader.add_error(1, "exchange", "exactly one is needed")
    if not document.children_named("class"):
        reader.add_error(1, "class", "at least one is needed")
    for name in ("rules", "limits", "goal", "timers", "module", "stop", "link", "tls"):
        for duplicate in document.children_named(name)[1:]:
            reader.add_error(duplicate.line, name, "occurs more than once")
    reader.raise_errors()
    assert own_node is not None
    zones = sorted({node["zone"] for node in [own_node, *document.children_named("peer")]})
    prefixes: dict[str, int] = {}
    peers: list[Peer] = []
    seen: dict[tuple[str, Any], int] = {("point-code", own_node["point-code"]): own_node.line}
    seen["number", own_node["number"]] = own_node.line

    def check_unique(node: ParsedNode, key: str, value: Any) -> None:
        if (key, value) in seen:
            reader.add_error(node.line, f"peer {key}", f"{value} is already used in line {seen[key, value]}")
        seen[key, value] = node.line

    def add_prefixes(node: ParsedNode, exchange: int) -> None:
        for prefix in node.all_arguments("prefix"):
            if prefix in prefixes:
                reader.add_error(
                    node.line, "prefix", f"{prefix} is already routed to exchange {prefixes[prefix]}"
                )
            prefixes[prefix] = exchange

    add_prefixes(own_node, own_node["number"])
    for node in document.children_named("peer"):
        check_unique(node, "name", node.argument)
        check_unique(node, "point-code", node["point-code"])
        check_unique(node, "context", node["context"])
        if node["role"] == "exchange":
            if node["number"] < 0:
                reader.add_error(node.line, "peer number", "required for role exchange")
            check_unique(node, "number", node["number"])
            add_prefixes(node, node["number"])
        if bool(node["tls"]) == node["plain"]:
            expected = 'either tls="the DNS name of its certificate" or plain=true'
            reader.add_error(node.line, "peer tls", f"expected {expected}")
        cics: tuple[int, ...] = ()
        try:
            cics = parse_cic_ranges(node.all_arguments("circuits"))
        except ValueError as error:
            reader.add_error(node.line, "peer / circuits", f"expected {error}")
        peers.append(
            Peer(
                node.argument,
                node["role"],
                node["point-code"],
                node["context"],
                node["number"],
                zones.index(node["zone"]),
                node["dial"],
                cics,
                node["tls"],
                node["wildcard"],
            )
        )
    if sum(peer.role == "office" for peer in peers) > 1:
        reader.add_error(own_node.line, "peer", "at most one peer with role office, the own exchange's lines")
    classes, class_rules = [], []
    for node in document.children_named("class"):
        if node["deadline"] < node["on-time"]:
            reader.add_error(node.line, "class deadline", f"at least on-time, {node['on-time']:g}")
        classes.append(
            interface.CallClass(
                node["on-time"],
                node["deadline"],
                node["importance"],
                node["late-worth"],
                float(node["width"]),
                node["hold"],
                name=node.argument,
            )
        )
        class_rules.append(
            ClassRule(tuple(node.all_arguments("category")), tuple(node.all_arguments("called-prefix")))
        )
    tenants, tenant_prefixes = [], {}
    for index, node in enumerate(document.children_named("tenant")):
        tenants.append(interface.Tenant(node["quota"], node["share"], node.argument))
        for prefix in node.all_arguments("calling-prefix"):
            if prefix in tenant_prefixes:
                reader.add_error(
                    node.line, "tenant calling-prefix", f"{prefix} already belongs to another tenant"
                )
            tenant_prefixes[prefix] = index
    rules = _properties_or_defaults(SERVER_SPEC.children["rules"], document.first_child("rules"))
    limits = _properties_or_defaults(SERVER_SPEC.children["limits"], document.first_child("limits"))
    goal = _properties_or_defaults(SERVER_SPEC.children["goal"], document.first_child("goal"))
    timers = (document.first_child("timers") or ParsedNode(0, 0, {}, {})).properties
    controller = _properties_or_defaults(SERVER_SPEC.children["module"], document.first_child("module"))
    server = ServerSettings(
        name=own_node.argument,
        number=own_node["number"],
        point_code=own_node["point-code"],
        zone=zones.index(own_node["zone"]),
        listen=own_node["listen"],
        network=own_node["network-indicator"],
        peers=tuple(peers),
        classes=tuple(classes),
        class_rules=tuple(class_rules),
        tenants=tuple(tenants),
        tenant_prefixes=tenant_prefixes,
        prefixes=prefixes,
        rules=interface.Rules(**{name.replace("-", "_"): value for name, value in rules.items()}),
        limits=interface.Limits(
            cancel=True,
            max_tries=limits["tries"],
            probes=limits["probes"],
            peer_messages=limits["peer-messages"],
            retry_after=limits["retry-after"] > 0,
            max_retry_after=limits["retry-after"],
        ),
        goal=interface.Goal(**{name.replace("-", "_"): value for name, value in goal.items()})
        if document.first_child("goal")
        else interface.Goal(),
        timers=TimerSettings(**{name: value for name, value in timers.items() if value is not None}),
        tick=controller["tick"],
        over_share_worth=controller["over-share-worth"],
        advice=controller["advice"],
        stop_within=_properties_or_defaults(SERVER_SPEC.children["stop"], document.first_child("stop"))[
            "within"
        ],
        out_buffer=_properties_or_defaults(SERVER_SPEC.children["link"], document.first_child("link"))[
            "out-buffer"
        ],
        answer_margin=_properties_or_defaults(SERVER_SPEC.children["link"], document.first_child("link"))[
            "answer-margin"
        ],
        seed=controller["seed"] or own_node["point-code"],
        path=str(path),
        tls=_tls_settings(document.first_child("tls"), path.parent),
    )
    if any(peer.dial_address is None and not peer.tls_name for peer in peers) and server.listen is None:
        reader.add_error(own_node.line, "exchange listen", "required: a plain peer has no dial address")
    for node, peer in zip(document.children_named("peer"), peers, strict=True):
        if peer.tls_name and (
            server.tls is None or (peer.dial_address is None and server.tls.listen is None)
        ):
            needed = "a tls node" if server.tls is None else "tls listen: it has no dial address"
            reader.add_error(node.line, "peer tls", f"needs {needed}")
    reader.raise_errors()
    try:
        check_controller_settings(server.controller_settings())
    except ValueError as error:
        raise SettingsError([f"{path}:{own_node.line}: {error}"]) from None
    return server
