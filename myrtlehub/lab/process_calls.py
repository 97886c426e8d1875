"""Unary calls to the processes of a scenario."""

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint

from myrtlehub.clock import Clock
from myrtlehub.lab.interfaces import Reactor
from myrtlehub.rpc.channel import Channel, Connect

TCP_TIMEOUT = 2  # seconds for a TCP connection
CALL_TIMEOUT = 2.0  # seconds
CONNECT_TIMEOUT = 1.0  # seconds in which a channel has to be connected


class ProcessCalls:
    """Calls processes, each over a channel that is made at its first call."""

    def __init__(self, reactor: Reactor, clock: Clock) -> None:
        self._reactor = reactor
        self._clock = clock
        self._channels: dict[str, Channel] = {}

    def dial(self, address: str) -> Connect:
        """Return a function that connects a factory to an address."""
        host, port = address.rsplit(":", 1)
        endpoint = TCP4ClientEndpoint(self._reactor, host, int(port), timeout=TCP_TIMEOUT)
        return endpoint.connect  # type: ignore[return-value] # zope interfaces are unknown to mypy

    def call(self, address: str, method: str, request: bytes) -> Deferred[bytes]:
        """Make a unary call to a process."""
        if address not in self._channels:
            dial = self.dial(address)
            self._channels[address] = Channel(self._clock, dial, address, connect_timeout=CONNECT_TIMEOUT)
        return self._channels[address].unary(method, request, timeout=CALL_TIMEOUT)

    def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            channel.close()
