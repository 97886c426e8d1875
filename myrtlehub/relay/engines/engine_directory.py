"""Addresses of the engines, and the time at which each last sent data."""

from myrtlehub.clock import Clock
from myrtlehub.membership.endpoint import EndpointState
from myrtlehub.node.endpoint_index import EndpointIndex
from myrtlehub.relay.engines.engine_connections import EngineConnections


class EngineDirectory:
    """The engines of the endpoint list, by endpoint index or by name.

    Attributes:
        dial_addresses: HOST:PORT of each engine, by name.
        last_contact_at: Clock time in seconds at which each engine last sent data, by name.
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

    def serving_names(self) -> list[str]:
        """Return the names of all engines in state serving."""
        return [row.address for row in self.index.endpoints if row.state == EndpointState.SERVING]

    def record_contact(self, engine: int) -> None:
        """Record that the engine has just sent data, so that it is reachable."""
        self.last_contact_at[self.name(engine)] = self.clock.seconds()

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
