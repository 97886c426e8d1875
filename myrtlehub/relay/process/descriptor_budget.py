"""The budget of file descriptors: how many connections to clients and engines a process may have."""

from typing import NamedTuple

# Connections to discovery: while it is silent, one request each 120 ms, each open for up to 2 s.
MAX_DISCOVERY_CONNECTIONS = 18
# Connections accepted per reactor turn; none of them can be closed before the next turn.
MAX_ACCEPTS_PER_TURN = 32
# Standard streams, selector, wakers, listening port and its spare, settings file, lazily imported modules.
PROCESS_DESCRIPTORS = 14
RESERVED_DESCRIPTORS = MAX_DISCOVERY_CONNECTIONS + MAX_ACCEPTS_PER_TURN + PROCESS_DESCRIPTORS

# Fractions of the descriptors that are not reserved:
CLIENT_SHARE = 0.47  # clients' connections, lingering ones included; a third may have open requests
BURST_SHARE = 0.13  # additional new connections of clients, until the listener has closed unused ones
ENGINE_SHARE = 0.40  # engines: one connection per in-flight request, and those of releases


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
        """Divide the descriptors of a process, less the reserved ones."""
        free = descriptors - RESERVED_DESCRIPTORS
        return cls(int(CLIENT_SHARE * free), int(BURST_SHARE * free), int(ENGINE_SHARE * free))
