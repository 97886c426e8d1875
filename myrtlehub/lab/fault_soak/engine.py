"""An emulated engine over HTTP/1.1, behind a fault proxy."""

import random
import time

from twisted.internet.protocol import Factory

from myrtlehub.lab.fault_proxy import FaultProxy
from myrtlehub.lab.fault_soak.engine_connection import EngineConnection, EngineFaults
from myrtlehub.lab.fault_soak.fleet_settings import READER
from myrtlehub.lab.fault_soak.records import RunRecords
from myrtlehub.lab.fault_soak.state_store import StateStore
from myrtlehub.lab.fault_soak.tcp_peer import listen_on_loopback
from myrtlehub.lab.interfaces import Reactor


class Engine(Factory):
    """An engine that reads prompts (prefill) or writes answers (decode), by the first letter of its name.

    Attributes:
        faults: The faults that are active.
        started_at_ms: Unix time of the last restart in milliseconds; 0 (unknown) before the first one.
        proxy: The proxy that nodes connect to.
        connections: Open connections.
    """

    noisy = False

    def __init__(
        self, reactor: Reactor, name: str, store: StateStore, records: RunRecords, seed: int
    ) -> None:
        self.reactor = reactor
        self.name = name
        self.store = store
        self.records = records
        self.random = random.Random(seed)
        self.faults = EngineFaults()
        self.connections: set[EngineConnection] = set()
        self.started_at_ms = 0.0
        self.proxy = FaultProxy(reactor, listen_on_loopback(reactor, self)).listen()

    @property
    def is_reader(self) -> bool:
        """Whether the engine reads prompts (prefill); otherwise it writes answers (decode)."""
        return self.name.startswith(READER)

    def buildProtocol(self, addr: object) -> EngineConnection:  # noqa: N802
        """Return the protocol of a new connection."""
        return EngineConnection(self)

    def stop(self) -> None:
        """Stop like a killed process: attempts and read states are lost, and new connections are closed."""
        self.proxy.cut()
        self.reset_connections()
        self.store.free_engine(self.name)

    def reset_connections(self) -> None:
        """Reset all connections."""
        for connection in list(self.connections):
            connection.break_off()

    def start(self) -> None:
        """Start again after `stop`, without read states."""
        self.started_at_ms = time.time() * 1000
        self.proxy.restore()
