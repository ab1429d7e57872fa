"""Reads a KDL document, checks it against a table of nodes and collects all errors.

The functions from `text` to `address` are converters, or make one, for the values of a `ValueSpec`.
"""

from __future__ import annotations

import bisect
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from kdl.errors import ParseError, ParseFragment
from kdl.parsing import ParseConfig, Parser
from kdl.types import Decimal, Node

from ospreybridge.settings.errors import SettingsError

Converter = Callable[[Any], Any]  # from a KDL value; its ValueError states the expectation


@dataclass(frozen=True, slots=True)
class ValueSpec:
    """How an argument or property is converted, and the value used if it is absent or invalid."""

    convert: Converter
    default: Any = None
    required: bool = False


@dataclass(frozen=True, slots=True)
class NodeSpec:
    """What a node may contain: one or several arguments, properties by key, child nodes by name."""

    argument: ValueSpec | None = None
    properties: Mapping[str, ValueSpec] = field(default_factory=dict)
    children: Mapping[str, NodeSpec] = field(default_factory=dict)
    many_arguments: bool = False  # `argument` applies to each


@dataclass(slots=True)
class ParsedNode:
    """A checked node, with the defaults of absent properties filled in."""

    line: int
    argument: Any  # None if absent; a list if the node takes several
    properties: dict[str, Any]
    children: dict[str, list[ParsedNode]]

    def __getitem__(self, key: str) -> Any:
        return self.properties[key]

    def children_named(self, name: str) -> list[ParsedNode]:
        """Child nodes of this name, in the order of the file."""
        return self.children.get(name, [])

    def first_child(self, name: str) -> ParsedNode | None:
        """The first child node of this name, or None."""
        nodes = self.children.get(name)
        return nodes[0] if nodes else None

    def all_arguments(self, name: str) -> list[Any]:
        """Arguments of all child nodes of this name, which must take several."""
        return [value for node in self.children_named(name) for value in node.argument]


def text(value: Any) -> str:
    """A string that is not empty."""
    if not isinstance(value, str) or not value:
        raise ValueError("a non-empty string")
    return value


def flag(value: Any) -> bool:
    """A boolean."""
    if not isinstance(value, bool):
        raise ValueError("true or false")
    return value


def number(low: float, high: float) -> Converter:
    """A converter for numbers from `low` to `high`."""

    def convert(value: Any) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
            raise ValueError(f"a number from {low:g} to {high:g}")
        return float(value)

    return convert


def integer(low: int, high: int) -> Converter:
    """A converter for whole numbers from `low` to `high`; 3.0 counts as whole."""

    def convert(value: Any) -> int:
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        is_whole = is_number and math.isfinite(value) and value == int(value)
        if not is_whole or not low <= value <= high:
            raise ValueError(f"a whole number from {low} to {high}")
        return int(value)

    return convert


def digits(value: Any) -> str:
    """A string of at most 15 digits, the longest E.164 number."""
    if not isinstance(value, str) or not value.isdigit() or len(value) > 15:
        raise ValueError("a quoted string of at most 15 digits")
    return value


def choice(*names: str) -> Converter:
    """A converter that accepts one of the names."""

    def convert(value: Any) -> str:
        if value not in names:
            raise ValueError("one of " + ", ".join(names))
        return str(value)

    return convert


def address(value: Any) -> tuple[str, int]:
    """Host and port of a string such as "10.0.0.1:2905"."""
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not port.isdigit() or int(port) > 65_535:
        raise ValueError('"host:port"')
    return host, int(port)


def _read_decimal(value: Decimal, fragment: ParseFragment) -> float:
    """The value of a decimal number; infinite, which converters refuse, if it is too large for a float."""
    try:
        return float(value.value)
    except OverflowError:
        return math.copysign(math.inf, value.mantissa)


class Reader:
    """Reads one file and collects its errors."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.errors: list[str] = []

    def add_error(self, line: int, key: str, expectation: str) -> None:
        """Records an error; `key`: name of the node and property, `expectation`: what should be there."""
        self.errors.append(f"{self.path}:{line}: {key}: {expectation}")

    def read(self, spec: NodeSpec) -> ParsedNode:
        """The document as one node. Errors in it are only recorded: call `raise_errors` when done.

        Raises SettingsError if the file can't be read or isn't KDL.
        """
        try:
            source = self.path.read_text()
        except (OSError, UnicodeDecodeError) as error:
            raise SettingsError([f"{self.path}: can't be read: {error}"]) from None
        line_starts = [0] + [at + 1 for at, char in enumerate(source) if char == "\n"]
        lines: dict[int, int] = {}

        def record_line(node: Node, fragment: ParseFragment) -> Node:
            lines[id(node)] = bisect.bisect_right(line_starts, fragment._i)
            return node

        config = ParseConfig(
            nodeConverters={None: record_line}, valueConverters={(None, Decimal): _read_decimal}
        )
        try:
            document = Parser().parse(source, config)
        except ParseError as error:
            position = f"{self.path}:{error.line}:{error.col}"
            raise SettingsError([f"{position}: not KDL: {error.msg.splitlines()[-1].strip()}"]) from None
        children = self._check_children("", 1, document.nodes, spec, lines)
        return ParsedNode(1, None, {}, children)

    def raise_errors(self) -> None:
        """Raises SettingsError if any error was recorded."""
        if self.errors:
            raise SettingsError(self.errors)

    def _check_children(
        self, prefix: str, line: int, nodes: list[Node], spec: NodeSpec, lines: dict[int, int]
    ) -> dict[str, list[ParsedNode]]:
        children: dict[str, list[ParsedNode]] = {}
        for node in nodes:
            key = f"{prefix}{node.name}"
            child_spec = spec.children.get(node.name)
            if child_spec is None:
                allowed = ", ".join(sorted(spec.children)) or "nothing"
                self.add_error(lines[id(node)], key, f"unknown; expected {allowed}")
            else:
                children.setdefault(node.name, []).append(self._check_node(key, node, child_spec, lines))
        return children

    def _check_node(self, key: str, node: Node, spec: NodeSpec, lines: dict[int, int]) -> ParsedNode:
        line = lines[id(node)]
        arguments = [self._convert_value(line, key, spec.argument, value) for value in node.args]
        if spec.argument is None and arguments:
            self.add_error(line, key, "takes no argument")
        elif spec.argument is not None and not spec.many_arguments and len(arguments) > 1:
            self.add_error(line, key, "takes one argument")
        elif spec.argument is not None and spec.argument.required and not arguments:
            self.add_error(line, key, "argument missing")
        properties = {}
        for name, value in node.props.items():
            if name not in spec.properties:
                allowed = ", ".join(sorted(spec.properties)) or "none"
                self.add_error(line, f"{key} {name}", f"unknown; expected {allowed}")
            else:
                properties[name] = self._convert_value(line, f"{key} {name}", spec.properties[name], value)
        for name, value_spec in spec.properties.items():
            if name not in properties:
                if value_spec.required:
                    self.add_error(line, f"{key} {name}", "missing")
                properties[name] = value_spec.default
        argument: Any = arguments if spec.many_arguments else (arguments[0] if arguments else None)
        children = self._check_children(key + " / ", line, node.nodes, spec, lines)
        return ParsedNode(line, argument, properties, children)

    def _convert_value(self, line: int, key: str, spec: ValueSpec | None, value: Any) -> Any:
        if spec is None:
            return None
        try:
            return spec.convert(value)
        except ValueError as error:
            self.add_error(line, key, f"expected {error}, found {value!r}")
            return spec.default
