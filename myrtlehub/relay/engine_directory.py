"""Where engines are reached, and when each was last heard of."""

from myrtlehub.clock import Clock
from myrtlehub.http1.connection_pool import ConnectionPool
from myrtlehub.node.endpoint_index import EndpointIndex
from myrtlehub.relay.endpoint_list import EndpointState


class EngineDirectory:
    """Engines of the list by their dense index, and by name: their addresses.

    Attributes:
        dial_addresses: HOST:PORT by name.
        last_heard: When an engine last sent something, by name.
    """

    def __init__(self, clock: Clock, pool: ConnectionPool, index: EndpointIndex) -> None:
        self.clock = clock
        self.pool = pool
        self.index = index
        self.dial_addresses: dict[str, str] = {}
        self.last_heard: dict[str, float] = {}

    def name(self, engine: int) -> str:
        """Return an engine's name in the list."""
        return self.index.rows[engine].address

    def is_serving(self, engine: int) -> bool:
        """Return whether the list has it for new work."""
        return not self.index.is_gone(engine) and self.index.rows[engine].state == EndpointState.SERVING

    def serving_names(self) -> list[str]:
        """Return the names of all engines that take new work."""
        return [row.address for row in self.index.rows if row.state == EndpointState.SERVING]

    def note_heard(self, engine: int) -> None:
        """Note that an engine sends something: it can be reached."""
        self.last_heard[self.name(engine)] = self.clock.seconds()

    def set_address(self, name: str, dial_address: str) -> None:
        """Reach an engine at this address from now on."""
        if self.dial_addresses.get(name, dial_address) != dial_address:
            self.pool.close_idle(name)
        self.dial_addresses[name] = dial_address

    def forget(self, name: str) -> None:
        """Forget an engine that is off the list and unused."""
        self.pool.close_idle(name)
        self.dial_addresses.pop(name, None)
        self.last_heard.pop(name, None)
