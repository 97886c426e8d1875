"""Budget of file descriptors: the numbers of connections to clients and engines that a process may have."""

from typing import NamedTuple

# Connections to discovery. While it does not respond, a request is sent every 120 ms and times out after 2 s.
MAX_DISCOVERY_CONNECTIONS = 18
# Connections accepted per reactor turn. The listener can close them in the next turn at the earliest.
MAX_ACCEPTS_PER_TURN = 32
# Standard streams, selector, wakers, listening port, Twisted's reserve, settings file and late imports.
PROCESS_OVERHEAD_DESCRIPTORS = 14
RESERVED_DESCRIPTORS = MAX_DISCOVERY_CONNECTIONS + MAX_ACCEPTS_PER_TURN + PROCESS_OVERHEAD_DESCRIPTORS

# Fractions of the unreserved descriptors:
CLIENT_FRACTION = 0.45  # client connections, including lingering ones; a third may have open requests
CLIENT_BURST_FRACTION = 0.08  # client connections beyond that, until the listener has closed unused ones
ATTEMPT_FRACTION = 0.40  # engine connections of attempts, one each, and of load probes
# Engine connections of releases and of arrival checks. Attempts may use up theirs, and must not delay these.
CLEANUP_FRACTION = 0.07


class DescriptorBudget(NamedTuple):
    """Maximum numbers of connections by use.

    Attributes:
        clients: Client connections.
        client_burst: Client connections beyond `clients`, for a short time.
        attempts: Engine connections of attempts and load probes.
        cleanup: Engine connections of releases and arrival checks.
    """

    clients: int
    client_burst: int
    attempts: int
    cleanup: int

    @classmethod
    def for_process(cls, descriptors: int) -> "DescriptorBudget":
        """Return the budget of a process with the given number of file descriptors."""
        available = descriptors - RESERVED_DESCRIPTORS
        return cls(
            int(CLIENT_FRACTION * available),
            int(CLIENT_BURST_FRACTION * available),
            int(ATTEMPT_FRACTION * available),
            int(CLEANUP_FRACTION * available),
        )
