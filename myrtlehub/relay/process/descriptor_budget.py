"""The budget of file descriptors: how many connections to clients and engines a process may have."""

from typing import NamedTuple

# Connections to discovery. While it does not respond, a request is sent every 120 ms and lasts up to 2 s.
MAX_DISCOVERY_CONNECTIONS = 18
# Connections accepted per reactor turn. The listener cannot close any of them before the next turn.
MAX_ACCEPTS_PER_TURN = 32
# For standard streams, selector, wakers, listening port, Twisted's reserve, settings file and late imports.
PROCESS_DESCRIPTORS = 14
RESERVED_DESCRIPTORS = MAX_DISCOVERY_CONNECTIONS + MAX_ACCEPTS_PER_TURN + PROCESS_DESCRIPTORS

# Fractions of the descriptors that are not reserved:
CLIENT_SHARE = 0.47  # clients' connections, including lingering ones; a third may have open requests
BURST_SHARE = 0.13  # new connections of clients beyond that, until the listener has closed unused ones
ENGINE_SHARE = 0.40  # connections to engines: one per request in flight, and those of releases


class DescriptorBudget(NamedTuple):
    """Numbers of file descriptors by use.

    Attributes:
        clients: Connections of clients.
        client_burst: Connections of clients beyond `clients`, for a short time.
        engines: Connections to engines.
    """

    clients: int
    client_burst: int
    engines: int

    @classmethod
    def of(cls, descriptors: int) -> "DescriptorBudget":
        """Divide the descriptors of a process, except the reserved ones, among the uses."""
        free = descriptors - RESERVED_DESCRIPTORS
        return cls(int(CLIENT_SHARE * free), int(BURST_SHARE * free), int(ENGINE_SHARE * free))
