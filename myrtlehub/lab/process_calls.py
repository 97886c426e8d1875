"""Unary calls to the processes of a scenario."""

from collections.abc import Callable

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint

from myrtlehub.clock import Clock
from myrtlehub.lab.interfaces import Reactor
from myrtlehub.rpc.channel import Channel

DIAL_TIMEOUT = 2  # seconds
CALL_TIMEOUT = 2.0
CONNECT_TIMEOUT = 1.0


class ProcessCalls:
    """A channel to each process that was called."""

    def __init__(self, reactor: Reactor, clock: Clock) -> None:
        self._reactor = reactor
        self._clock = clock
        self._channels: dict[str, Channel] = {}

    def dial(self, address: str) -> Callable:
        """Return a channel's way to an address."""
        host, port = address.rsplit(":", 1)
        return TCP4ClientEndpoint(self._reactor, host, int(port), timeout=DIAL_TIMEOUT).connect

    def call(self, address: str, method: str, request: bytes) -> Deferred:
        """Make a unary call to a process."""
        if address not in self._channels:
            dial = self.dial(address)
            self._channels[address] = Channel(self._clock, dial, address, connect_timeout=CONNECT_TIMEOUT)
        return self._channels[address].unary(method, request, timeout=CALL_TIMEOUT)

    def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            channel.close()
