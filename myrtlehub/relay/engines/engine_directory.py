"""Addresses of the engines, and the time at which each last sent data."""

from collections.abc import Iterator

from myrtlehub.clock import Clock
from myrtlehub.membership.endpoint import EndpointState
from myrtlehub.node.endpoint_index import EndpointIndex
from myrtlehub.relay.engines.engine_connections import EngineConnections


class EngineDirectory:
    """The engines of the endpoint list, by endpoint index or by name.

    Attributes:
        dial_addresses: HOST:PORT of each engine, by name.
        last_contact_at: Clock time in seconds at which each engine last sent data, by name, the latest last.
    """

    def __init__(self, clock: Clock, connections: EngineConnections, index: EndpointIndex) -> None:
        self.clock = clock
        self.connections = connections
        self.index = index
        self.dial_addresses: dict[str, str] = {}
        self.last_contact_at: dict[str, float] = {}

    def name(self, engine: int) -> str:
        """Return the name of the engine in the endpoint list."""
        return self.index.endpoints[engine].address

    def is_serving(self, engine: int) -> bool:
        """Return whether the engine is in the endpoint list and in state serving."""
        return (
            not self.index.is_removed(engine) and self.index.endpoints[engine].state == EndpointState.SERVING
        )

    def serving_names(self) -> Iterator[str]:
        """Yield the names of all engines in state serving, the one that sent data last first."""
        for name in reversed(self.last_contact_at):
            engine = self.index.index_by_address.get(name)
            if engine is not None and self.is_serving(engine):
                yield name
        for engine, row in enumerate(self.index.endpoints):
            if row.address not in self.last_contact_at and self.is_serving(engine):
                yield row.address

    def record_contact(self, engine: int) -> None:
        """Record that the engine has just sent data, so that it is reachable."""
        name = self.name(engine)
        self.last_contact_at.pop(name, None)  # reinserts the name at the end
        self.last_contact_at[name] = self.clock.seconds()

    def set_address(self, name: str, dial_address: str) -> None:
        """Set the HOST:PORT of an engine, and close its idle connections if the address has changed."""
        if self.dial_addresses.get(name, dial_address) != dial_address:
            self.connections.close_idle(name)
        self.dial_addresses[name] = dial_address

    def forget(self, name: str) -> None:
        """Remove an engine that is not in the endpoint list and has no outstanding attempt or probe."""
        self.connections.close_idle(name)
        self.dial_addresses.pop(name, None)
        self.last_contact_at.pop(name, None)
