"""Drives the platform's call server without sockets: records what it sends, with a clock set by the test."""

from __future__ import annotations

from typing import Any

from ospreybridge.access.server import PlatformServer
from ospreybridge.core.timers import TimerQueue
from ospreybridge.settings.platform import Address, PlatformConfig, parse
from ospreybridge.signalling import frames, jsonl
from ospreybridge.signalling.jsonl import Message

SETTINGS: dict[str, Any] = {
    "Classes": [
        {
            "Name": "voice",
            "OnTime": 500.0,
            "Deadline": 3_000.0,
            "LateWorth": 0.1,
            "Semantics": "free",
            "Group": "all",
            "Importance": 1.0,
            "Window": 5_000.0,
        }
    ],
    "Customers": [{"Name": "acme", "Share": 0.6, "QuotaPerS": 30.0}, {"Name": "east end", "Share": 0.4}],
    "FamilyInfo": {
        "ThisNode": 0,
        "Layout": "mesh",
        "Guard": 100.0,
        "ClassHold": [2_000.0],
        "ClassWidth": [1],
        "TellsWait": True,
        "RouteAdvice": True,
    },
    "Limits": {
        "Cancel": True,
        "MostTries": 4,
        "PeerMessages": True,
        "RetryAfter": True,
        "MaxRetryAfter": 2_000.0,
        "DialTimeout": 200.0,
    },
    "Rules": {
        "DrainGrace": 250.0,
        "GraceToAnswer": 5.0,
        "AskWithin": 10_000.0,
        "ColdShare": 0.3,
        "WarmAfter": 14_000.0,
        "OverloadFactor": 2.5,
        "OverloadFor": 1_500.0,
    },
    "Callers": {"MarksRetry": False},
    "Discovery": "automatic",
    "Me": 0,
    "PeersTotal": 3,
    "Locality": 0,
    "Round": 1.0,
    "Stats": {"Columns": ["free", "size"]},
    "Zones": ["north", "south"],
    "Kinds": ["std"],
}


def member(office: int, cell: int, state: str = "up", port: int = 0, **more: Any) -> dict[str, Any]:
    return {
        "id": frames.office_name(office),
        "host_port": f"127.0.0.1:{port or 4000 + office}",
        "locality": "north",
        "flavor": "std",
        "cell": cell,
        "phase": state,
        "size": 1,
        "up_since_ms": 0,
        **more,
    }


def config(**more: Any) -> dict[str, Any]:
    members = [member(10 + cell, cell) for cell in range(3)]
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "seed": "00ff",
        "journal": "127.0.0.1:7070",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "peers": ["127.0.0.1:7100", "127.0.0.1:7101", "127.0.0.1:7102"],
        "peers_all": "127.0.0.1:7199",
        "known": {"pos": 1, "entries": [{"pos": 1, "hosts": {"complete": True, "members": members}}]},
        "settings": SETTINGS,
        **more,
    }


def platform_config(**more: Any) -> PlatformConfig:
    return parse("config.json", config(**more))


def set_up_message(uid: str, dest: int = 1, words: str = "", body: str = "an offer", **meta: Any) -> Message:
    """A set-up as callers send it; `words` go behind its extras, `meta` replaces fields."""
    fields = {
        "class": "voice",
        "left": "1500",
        "tenant": "acme",
        "key": "7f3a9c21e0b4d655",
        "extras": f"dest:{dest};width:1;via:-1{words}",
        **meta,
    }
    return Message(jsonl.LAUNCH, uid, fields, body=body)


class Rig:
    """The server's Transport. Cell 0 is the own exchange; offices 11 and 12 (cells 1, 2) have 20 circuits."""

    def __init__(self, start: float = 1_000.0, **more: Any) -> None:
        self.now = start
        self.timers = TimerQueue()
        self.sent_messages: list[tuple[int, Message]] = []  # connection, message
        self.open_dials: dict[int, Address] = {}
        self.closed: dict[int, str] = {}
        self.finished: list[int] = []  # connections whose sending direction was ended
        self.offices_close_finished = True  # as soon as they see the end
        self.backlog: dict[int, int] = {}  # octets that a connection's socket has not accepted
        self.datagrams: list[tuple[Address, bytes]] = []
        self.log_events: list[str] = []
        self.trace_events: list[tuple[str, dict[str, Any]]] = []
        self.server = PlatformServer(
            platform_config(**more),
            self.timers,
            self,
            self.now,
            0.0,
            lambda event, **_: self.log_events.append(event),
            lambda event, **fields: self.trace_events.append((event, fields)),
        )
        self.last_uid = 0
        self.open_attempts: dict[str, int] = {}  # uid -> connection
        self.accept_dials()
        for office in (11, 12):
            self.office_sends(self.office_connection(office), "usage", "", load="free:20;size:20")

    # -- Transport

    def dial(self, connection_id: int, address: Address) -> None:
        self.open_dials[connection_id] = address

    def send(self, connection_id: int, data: bytes) -> None:
        assert connection_id not in self.closed
        message = jsonl.decode(data.rstrip(b"\n"))
        self.sent_messages.append((connection_id, message))
        if message.kind == jsonl.LAUNCH:
            assert message.uid not in self.open_attempts, "two attempts of one call"
            self.open_attempts[message.uid] = connection_id
        elif message.kind == jsonl.STOP and self.open_attempts.get(message.uid) == connection_id:
            del self.open_attempts[message.uid]

    def unsent_bytes(self, connection_id: int) -> int:
        return self.backlog.get(connection_id, 0)

    def close(self, connection_id: int, reason: str) -> None:
        self.closed[connection_id] = reason
        self._drop_attempts(connection_id)

    def finish(self, connection_id: int) -> None:
        self.finished.append(connection_id)

    def _drop_attempts(self, connection_id: int) -> None:
        """A closed connection cancels the set-ups open on it."""
        self.open_attempts = {
            uid: where for uid, where in self.open_attempts.items() if where != connection_id
        }

    def break_office_connection(self, connection_id: int) -> None:
        self._drop_attempts(connection_id)
        self.server.office_disconnected(self.now, connection_id, "closed by the office")

    def close_finished(self) -> None:
        """The offices close the connections on which the server sends nothing more."""
        for connection_id in self.finished:
            self.server.office_disconnected(self.now, connection_id, "closed by the office")
        self.finished.clear()

    def send_datagram(self, destination: Address, body: bytes) -> None:
        self.datagrams.append((destination, body))

    # -- events

    def accept_dials(self) -> None:
        """Lets every open dial succeed."""
        while self.open_dials:
            connection_id, _ = self.open_dials.popitem()
            self.server.office_connected(self.now, connection_id)

    def fail_dials(self, refused: bool = True) -> None:
        for connection_id in list(self.open_dials):
            del self.open_dials[connection_id]
            self.server.office_dial_failed(self.now, connection_id, refused)

    def advance(self, ms: float, connect: bool = True) -> None:
        """Moves the clock and runs the timers that become due; `connect`: dials succeed at once."""
        end = self.now + ms
        while (due_at := self.timers.next_due()) is not None and due_at <= end:
            self.now = max(self.now, due_at)
            self.timers.run_due(self.now)
            if connect:
                self.accept_dials()
            if self.offices_close_finished:
                self.close_finished()
        self.now = end

    def office_connection(self, office: int) -> int:
        return next(iter(self.server.pools[office].connections))

    def connect_client(self) -> int:
        connection_id = self.server.client_connected(self.now)
        assert connection_id is not None
        return connection_id

    def client_sends(self, connection_id: int, message: Message) -> None:
        self.server.client_line(self.now, connection_id, jsonl.encode(message).rstrip(b"\n"))

    def new_uid(self) -> str:
        self.last_uid += 1
        return f"{self.last_uid:016x}"

    def launch(self, connection_id: int, dest: int = 1, uid: str = "", words: str = "", **meta: Any) -> str:
        uid = uid or self.new_uid()
        self.client_sends(connection_id, set_up_message(uid, dest, words, **meta))
        return uid

    def office_sends(
        self, connection_id: int, kind: str, uid: str, reason: int = 0, body: str | None = None, **meta: Any
    ) -> None:
        message = Message(kind, uid or "0" * 16, meta, reason, body)
        if kind in ("running", "stop") and self.open_attempts.get(uid) == connection_id:
            del self.open_attempts[uid]
        self.server.office_line(self.now, connection_id, jsonl.encode(message).rstrip(b"\n"))

    def apply_changes(self, number: int, *records: frames.OfficeRecord, kind: int = frames.CHANGES) -> None:
        self.server.apply_list_event(self.now, frames.Frame(number, kind, records))

    # -- observations

    def messages_of(self, uid: str, connection_id: int | None = None, kind: str = "") -> list[Message]:
        return [
            message
            for where, message in self.sent_messages
            if message.uid == uid and connection_id in (None, where) and kind in ("", message.kind)
        ]

    def set_up_connection(self, uid: str) -> int:
        """The connection on which the latest attempt of a call was sent."""
        return [
            where
            for where, message in self.sent_messages
            if message.uid == uid and message.kind == jsonl.LAUNCH
        ][-1]

    def establish(self, client_id: int, dest: int = 1) -> tuple[str, int]:
        """Establishes a call; its uid and the connection to its office."""
        uid = self.launch(client_id, dest)
        self.accept_dials()
        office_connection_id = self.set_up_connection(uid)
        self.office_sends(office_connection_id, "running", uid, body="an answer")
        return uid, office_connection_id


def record(
    office: int, cell: int, state: int = frames.READY, port: int = 0, started: int = 0
) -> frames.OfficeRecord:
    return frames.OfficeRecord(office, "127.0.0.1", port or 4000 + office, state, 0, 0, cell, 1000, started)
