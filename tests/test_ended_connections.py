"""Connections that have ended must leave nothing in memory, also before a garbage collection."""

from __future__ import annotations

import gc
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from ospreybridge.access.calls import Client
from ospreybridge.core.association import Association
from ospreybridge.fronts.m3ua import Channel
from ospreybridge.net import tcp
from ospreybridge.signalling import jsonl, m3ua
from ospreybridge.signalling.jsonl import Message
from tests.fleet import connect, fleet
from tests.test_access_sockets import World, world

__all__ = ["world"]  # a fixture


@pytest.fixture
def no_collections() -> Iterator[None]:
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def alive(*kinds: type) -> int:
    return sum(isinstance(item, kinds) for item in gc.get_objects())


def assert_nothing_left(
    use: Callable[[], None], until: Callable[[Callable[[], bool]], None], *kinds: type
) -> None:
    """Uses some connections and waits until as many objects of these kinds are alive as before."""
    use()
    before = alive(*kinds)
    for _ in range(30):
        use()
    until(lambda: alive(*kinds) <= before)


@pytest.mark.parametrize("over_tls", [False, True])
def test_connections_of_unknown_peers_leave_nothing(
    tmp_path: Path, over_tls: bool, no_collections: None
) -> None:
    """Guards against memory that grows while somebody connects again and again at full speed."""
    with fleet(tmp_path, tls_options="" if over_tls else None) as f:
        context = f.standin_contexts.client if over_tls else None

        def use() -> None:
            sock = connect(f.ports[1])
            if context is None:
                sock.send(m3ua.encode(m3ua.BEAT))
                f.run_until(lambda: bool(f.fronts[1].channels))
            f.loop.run_until(lambda: False, 10.0)
            sock.close()

        assert_nothing_left(use, f.run_until, Channel, Association, tcp.Stream)


def test_connections_of_clients_leave_nothing(world: World, no_collections: None) -> None:
    """Guards against memory that grows while clients connect again and again at full speed."""
    front = world.start_server()

    def use() -> None:
        sock = connect(front.port)
        sock.send(jsonl.encode(Message(jsonl.CHECK, "0123456789abcdef")))
        world.until(lambda: len(front.server.clients) == 1)
        sock.close()
        world.until(lambda: not front.server.clients)

    assert_nothing_left(use, world.until, Client, tcp.Stream)
