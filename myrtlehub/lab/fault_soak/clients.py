"""The clients of all nodes: they connect at random times and behave in different ways."""

import random
import time
from collections import defaultdict
from collections.abc import Callable

from twisted.internet.protocol import ClientFactory

from myrtlehub.lab.fault_soak.chat_request import chat_request
from myrtlehub.lab.fault_soak.client_connection import (
    ClientBehavior,
    ClientConnection,
    Population,
    SentRequest,
)
from myrtlehub.lab.fault_soak.fleet_settings import LONG_PROMPT_TOKENS, SHORT_PROMPT_TOKENS
from myrtlehub.lab.fault_soak.records import RequestRecord, RunRecords, TrafficType
from myrtlehub.lab.interfaces import Reactor

TIME_LEFT_SHARE = (0.2, 0.83)  # of the deadline
TRAFFIC = (
    TrafficType.IDEMPOTENT,
    TrafficType.IDEMPOTENT,
    TrafficType.AT_MOST_ONCE,
    TrafficType.DEDUPLICATED,
)
BEHAVIORS = (
    *(ClientBehavior.PATIENT,) * 12,
    *(ClientBehavior.DISCONNECTING,) * 5,
    *(ClientBehavior.BURSTING,) * 2,
    ClientBehavior.PIPELINING,
    ClientBehavior.INCOMPLETE,
    ClientBehavior.SILENT,
)


class ClientPopulation:
    """All clients.

    Attributes:
        rate: New clients per second and node.
        deadline_s: Deadline of all traffic types in seconds.
        is_stopped: No more clients connect by themselves.
        connections: Open connections by node.
    """

    def __init__(
        self, reactor: Reactor, records: RunRecords, seed: int, rate: float, deadline_s: float
    ) -> None:
        self.reactor = reactor
        self.records = records
        self.random = random.Random(seed)
        self.rate = rate
        self.deadline_s = deadline_s
        self.is_stopped = False
        self.connections: defaultdict[int, set[ClientConnection]] = defaultdict(set)
        self._request_count = 0

    def connect_repeatedly(self, node: int, address: Callable[[], str | None]) -> None:
        """Connect clients to a node until `is_stopped`.

        Args:
            node: Number of the node.
            address: Returns the node's address; None while no clients are sent to it.
        """
        if self.is_stopped:
            return
        self.reactor.callLater(self.random.expovariate(self.rate), self.connect_repeatedly, node, address)
        current_address = address()
        if current_address is not None:
            self.connect(node, current_address, self.random.choice(BEHAVIORS))

    def connect(self, node: int, address: str, behavior: ClientBehavior) -> None:
        """Connect a client."""
        host, port = address.rsplit(":", 1)
        self.reactor.connectTCP(host, int(port), _ClientFactory(self, node, behavior))

    def node_terminated(self, node: int) -> None:
        """Let the clients of a node that has got SIGTERM use their connections as long as these are open."""
        for connection in list(self.connections[node]):
            connection.node_terminated()

    def new_request(self, node: int, previous: RequestRecord | None, is_first: bool) -> SentRequest:
        """Make a request, and record it as sent now.

        Args:
            node: Number of the node that it is sent to.
            previous: The request before it on the connection, if that is still open.
            is_first: It is the first one on its connection.
        """
        self._request_count += 1
        request_id = f"n{node}-{self._request_count}"
        traffic = self.random.choice(TRAFFIC)
        time_left_ms = int(1000 * self.deadline_s * self.random.uniform(*TIME_LEFT_SHARE))
        record = RequestRecord(
            request_id, node, traffic, time.monotonic(), time_left_ms / 1e3, is_first, previous
        )
        self.records.requests[request_id] = record
        prompt_tokens = self.random.choice((SHORT_PROMPT_TOKENS, LONG_PROMPT_TOKENS))
        return SentRequest(record, chat_request(request_id, traffic, prompt_tokens, time_left_ms))


class _ClientFactory(ClientFactory):
    noisy = False

    def __init__(self, population: Population, node: int, behavior: ClientBehavior) -> None:
        self.population = population
        self.node = node
        self.behavior = behavior

    def buildProtocol(self, addr: object) -> ClientConnection:  # noqa: N802
        return ClientConnection(self.population, self.node, self.behavior)
