"""The discovery agent of one node, with its faults."""

import math
import time
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

from twisted.internet.protocol import Factory

from myrtlehub.lab.fault_soak.agent_connection import AgentConnection
from myrtlehub.lab.fault_soak.endpoint_list import EndpointList
from myrtlehub.lab.fault_soak.tcp_peer import listen_on_loopback
from myrtlehub.lab.interfaces import Reactor

NOTICE_S = 6.0  # a node must have a change within this time even if its agent had a fault
SLOW_RESPONSE_S = 0.7
ADDRESS_COUNT = 2  # a settings change can then point a node to the other address of its agent


class Watch(NamedTuple):
    """A long-poll request, answered at the next change of the list or at its timeout."""

    connection: AgentConnection
    since: int


class DiscoveryAgent(Factory):
    """Answers requests for the endpoint list.

    Attributes:
        node: Number of the node.
        addresses: Where it listens, HOST:PORT.
        is_slow: Fault: responses are delayed.
        truncates_responses: Fault: responses are cut off in the middle.
    """

    noisy = False

    def __init__(self, reactor: Reactor, node: int, endpoints: EndpointList) -> None:
        self.node = node
        self.is_slow = False
        self.truncates_responses = False
        self._reactor = reactor
        self._endpoints = endpoints
        self._is_silent = False
        self._watches: list[Watch] = []
        self._watches_lost_at = -math.inf
        self.addresses = [listen_on_loopback(reactor, self) for _ in range(ADDRESS_COUNT)]
        endpoints.observers.append(self)

    def buildProtocol(self, addr: object) -> AgentConnection:  # noqa: N802
        """Return the protocol of a new connection."""
        return AgentConnection(self._handle_request)

    def known_at(self, now: float) -> float:
        """Return the time by which the node must have received a change that is made now.

        Infinite while the agent is silent; `end_silence` then sets the time.
        """
        if self._is_silent:
            return math.inf
        if self.is_slow or self.truncates_responses:
            return now + NOTICE_S
        return max(now, self._watches_lost_at + NOTICE_S)

    def lose_watches(self) -> None:
        """Drop the open watches without an answer."""
        self._watches = []
        self._watches_lost_at = time.monotonic()

    def begin_silence(self) -> None:
        """Stop answering."""
        self._is_silent = True
        self.lose_watches()

    def end_silence(self) -> None:
        """Answer requests again; set the time by which the node must have the changes missed meanwhile."""
        self._is_silent = False
        self._watches_lost_at = -math.inf
        now = time.monotonic()
        for change in self._endpoints.records.changes:
            if change.known_at.get(self.node) == math.inf:
                change.known_at[self.node] = now

    def _handle_request(self, connection: AgentConnection, target: str) -> None:
        if self._is_silent:
            return
        query = parse_qs(urlsplit(target).query)
        if "since" not in query:
            self._answer(connection, None)
            return
        watch = Watch(connection, int(query["since"][0]))
        if watch.since < self._endpoints.version:
            self._answer(connection, watch.since)
            return
        self._watches.append(watch)
        timeout_s = int(query["timeout_ms"][0]) / 1e3
        self._reactor.callLater(timeout_s, self._watch_timed_out, watch)

    def _watch_timed_out(self, watch: Watch) -> None:
        if watch in self._watches:
            self._watches.remove(watch)
            self._answer(watch.connection, watch.since)

    def list_changed(self) -> None:
        """Answer all open watches."""
        if self._is_silent:
            return
        watches, self._watches = self._watches, []
        for watch in watches:
            self._answer(watch.connection, watch.since)

    def _answer(self, connection: AgentConnection, since: int | None) -> None:
        message = self._endpoints.message(since)
        if self.is_slow:
            self._reactor.callLater(SLOW_RESPONSE_S, connection.send, message, False)
        else:
            connection.send(message, self.truncates_responses)
