"""Reads a KDL document against a table of nodes and collects every fault before anything is used."""

from __future__ import annotations

import bisect
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from kdl.errors import ParseError, ParseFragment
from kdl.parsing import ParseConfig, Parser
from kdl.types import Node

from ospreybridge.settings.errors import SettingsError

Converter = Callable[[Any], Any]  # a KDL value to ours; ValueError says what was expected


@dataclass(frozen=True, slots=True)
class ValueSpec:
    convert: Converter
    default: Any = None
    required: bool = False


@dataclass(frozen=True, slots=True)
class NodeSpec:
    """What a node may hold: one argument (or several), properties by key, children by name."""

    argument: ValueSpec | None = None
    properties: Mapping[str, ValueSpec] = field(default_factory=dict)
    children: Mapping[str, NodeSpec] = field(default_factory=dict)
    many_arguments: bool = False  # arguments, not one


@dataclass(slots=True)
class ParsedNode:
    """A checked node: its line, its argument(s), its properties with defaults filled in, its children."""

    line: int
    argument: Any
    properties: dict[str, Any]
    children: dict[str, list[ParsedNode]]

    def __getitem__(self, key: str) -> Any:
        return self.properties[key]

    def children_named(self, name: str) -> list[ParsedNode]:
        return self.children.get(name, [])

    def first_child(self, name: str) -> ParsedNode | None:
        found = self.children.get(name)
        return found[0] if found else None

    def all_arguments(self, name: str) -> list[Any]:
        return [value for node in self.children_named(name) for value in node.argument]


def text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError("a text")
    return value


def flag(value: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError("true or false")
    return value


def number(low: float, high: float) -> Converter:
    def convert(value: Any) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
            raise ValueError(f"a number from {low:g} to {high:g}")
        return float(value)

    return convert


def integer(low: int, high: int) -> Converter:
    def convert(value: Any) -> int:
        whole_number = isinstance(value, int | float) and not isinstance(value, bool) and value == int(value)
        if not whole_number or not low <= value <= high:
            raise ValueError(f"a whole number from {low} to {high}")
        return int(value)

    return convert


def digits(value: Any) -> str:
    if not isinstance(value, str) or not value.isdigit() or len(value) > 15:
        raise ValueError("digits in quotes, at most 15")
    return value


def choice(*names: str) -> Converter:
    def convert(value: Any) -> str:
        if value not in names:
            raise ValueError("one of " + ", ".join(names))
        return str(value)

    return convert


def address(value: Any) -> tuple[str, int]:
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not port.isdigit() or int(port) > 65_535:
        raise ValueError('"host:port"')
    return host, int(port)


class Reader:
    def __init__(self, path: Path) -> None:
        self.path = path
        self.errors: list[str] = []

    def add_error(self, line: int, key: str, expectation: str) -> None:
        self.errors.append(f"{self.path}:{line}: {key}: {expectation}")

    def read(self, spec: NodeSpec) -> ParsedNode:
        """The whole document as one part; faults are collected, call `check` when done."""
        try:
            source = self.path.read_text()
        except (OSError, UnicodeDecodeError) as error:
            raise SettingsError([f"{self.path}: can't be read: {error}"]) from None
        line_starts = [0] + [at + 1 for at, char in enumerate(source) if char == "\n"]
        lines: dict[int, int] = {}

        def record_line(node: Node, fragment: ParseFragment) -> Node:
            lines[id(node)] = bisect.bisect_right(line_starts, fragment._i)
            return node

        try:
            document = Parser().parse(source, ParseConfig(nodeConverters={None: record_line}))
        except ParseError as error:
            at = f"{self.path}:{error.line}:{error.col}"
            raise SettingsError([f"{at}: not KDL: {error.msg.splitlines()[-1].strip()}"]) from None
        children = self._check_children("", 1, document.nodes, spec, lines)
        return ParsedNode(1, None, {}, children)

    def raise_errors(self) -> None:
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
                known = ", ".join(sorted(spec.children)) or "nothing"
                self.add_error(lines[id(node)], key, f"unknown; expected {known}")
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
            self.add_error(line, key, "an argument is missing")
        properties = {}
        for name, value in node.props.items():
            if name not in spec.properties:
                known = ", ".join(sorted(spec.properties)) or "none"
                self.add_error(line, f"{key} {name}", f"unknown; expected {known}")
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
