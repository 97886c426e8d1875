"""The endpoint list, and an agent for each node that tells it."""

import json
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

import h11
from twisted.internet.protocol import Factory, Protocol

from myrtlehub.lab.fault_proxy import HOST
from myrtlehub.lab.fault_soak.engines import Engine
from myrtlehub.lab.fault_soak.fleet_settings import ZONE
from myrtlehub.lab.fault_soak.records import EngineChange, RunRecords
from myrtlehub.lab.interfaces import Reactor

NOTICE_S = 6.0  # after which a change counts as told, whatever became of it on its way
SLOW_S = 0.7  # that an answer takes of a slow agent


class EndpointBook:
    """All engines with their health, by version; `health` is what discovery says, not what is true."""

    def __init__(self, engines: list[Engine], records: RunRecords) -> None:
        self.engines = {engine.name: engine for engine in engines}
        self.health = dict.fromkeys(self.engines, "active")
        self.version = 1
        self.changed_in = dict.fromkeys(self.engines, 1)
        self.agents: list[DiscoveryAgent] = []
        self.records = records

    def change(self, name: str, health: str) -> None:
        """Change an engine's health, or tell that it has restarted."""
        self.version += 1
        self.health[name] = health
        self.changed_in[name] = self.version
        now = time.monotonic()
        told_at = {agent.node: agent.told_at(now) for agent in self.agents}
        self.records.changes.append(EngineChange(name, health, now, told_at))
        for agent in self.agents:
            agent.answer_watches()

    def message(self, since: int | None) -> dict[str, Any]:
        """Return the complete list, or what has changed since a version."""
        names = [name for name in self.engines if since is None or self.changed_in[name] > since]
        if since is None:
            names = [name for name in names if self.health[name] != "left"]
        return {"seq": self.version, "whole": since is None, "hosts": [self._entry(name) for name in names]}

    def _entry(self, name: str) -> dict[str, Any]:
        engine = self.engines[name]
        return {
            "host": name,
            "dial": engine.proxy.address,
            "site": ZONE,
            "class": name[0],
            "block": 0,
            "health": self.health[name],
            "share": 1.0,
            "born_ms": engine.born_ms,
        }


class DiscoveryAgent(Factory):
    """The agent of one node, at two addresses; the flags are faults."""

    noisy = False

    def __init__(self, reactor: Reactor, node: int, book: EndpointBook) -> None:
        self.reactor = reactor
        self.node = node
        self.book = book
        self.is_silent = False
        self.is_slow = False
        self.is_torn = False
        self.watches: list[tuple[AgentConnection, int]] = []
        self._fell_silent_at = float("-inf")  # some open watches at least
        ports = [reactor.listenTCP(0, self, interface=HOST) for _ in range(2)]
        self.addresses = [f"{HOST}:{port.getHost().port}" for port in ports]
        book.agents.append(self)

    def buildProtocol(self, addr: object) -> "AgentConnection":  # noqa: N802
        """Return the protocol of a new connection."""
        return AgentConnection(self)

    def told_at(self, now: float) -> float:
        """Return by when a change of now counts as told."""
        if self.is_silent:
            return float("inf")  # until it can be reached again
        if self.is_slow or self.is_torn:
            return now + NOTICE_S
        return max(now, self._fell_silent_at + NOTICE_S)

    def lose_watches(self) -> None:
        """Never answer the watches that are open."""
        self.watches = []
        self._fell_silent_at = time.monotonic()

    def set_silent(self, is_silent: bool) -> None:
        """Answer nothing, and learn nothing; or answer again, with all that has happened meanwhile."""
        self.is_silent = is_silent
        if is_silent:
            self.lose_watches()
            return
        self._fell_silent_at = float("-inf")
        now = time.monotonic()
        for change in self.book.records.changes:
            if change.told_at.get(self.node) == float("inf"):
                change.told_at[self.node] = now  # what it gets at its return counts at once

    def request(self, connection: "AgentConnection", target: str) -> None:
        """Take a call."""
        if self.is_silent:
            return
        query = parse_qs(urlsplit(target).query)
        if "since" not in query:
            self.answer(connection, None)
            return
        since = int(query["since"][0])
        if since < self.book.version:
            self.answer(connection, since)
            return
        self.watches.append((connection, since))
        timeout = int(query["timeout_ms"][0]) / 1e3
        self.reactor.callLater(timeout, self._watch_timed_out, connection, since)

    def _watch_timed_out(self, connection: "AgentConnection", since: int) -> None:
        if (connection, since) in self.watches:
            self.watches.remove((connection, since))
            self.answer(connection, since)

    def answer_watches(self) -> None:
        """Answer all open watches: the list has changed."""
        if self.is_silent:
            return
        watches, self.watches = self.watches, []
        for connection, since in watches:
            self.answer(connection, since)

    def answer(self, connection: "AgentConnection", since: int | None) -> None:
        """Answer a call, soon or late, whole or torn."""
        if self.is_slow:
            self.reactor.callLater(SLOW_S, connection.send, self.book.message(since), False)
        else:
            connection.send(self.book.message(since), self.is_torn)


class AgentConnection(Protocol):
    """A node's connection to its agent."""

    def __init__(self, agent: DiscoveryAgent) -> None:
        self.agent = agent
        self.http = h11.Connection(h11.SERVER)
        self.is_lost = False
        self._target = ""

    def connectionMade(self) -> None:  # noqa: N802
        """Send small writes at once."""
        self.transport.setTcpNoDelay(True)

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Note it."""
        self.is_lost = True

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read calls."""
        self.http.receive_data(data)
        while True:
            event = self.http.next_event()
            if type(event) is h11.Request:
                self._target = event.target.decode()
            elif type(event) is h11.EndOfMessage:
                self.http = h11.Connection(h11.SERVER)
                self.agent.request(self, self._target)
                return
            else:
                return

    def send(self, message: dict[str, Any], is_torn: bool) -> None:
        """Send an answer, or half of it and then the end."""
        if self.is_lost:
            return
        body = json.dumps(message).encode()
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        self.transport.write(data[: len(data) // 2] if is_torn else data)
        if is_torn:
            self.transport.loseConnection()
