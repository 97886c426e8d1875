"""An in-memory network on a driven clock: real protocols, data delivered in turns, and injected faults."""

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone, ConnectionLost, ConnectionRefusedError
from twisted.internet.task import Clock
from twisted.python.failure import Failure

MAX_ROUNDS = 200  # per step of the clock; more mean that two ends answer each other without end
CLOCK_ERROR = 1e-9  # seconds, of sums of steps
Connect = Callable[
    [Any], "Deferred[Any]"
]  # from a protocol factory to its connected protocol, as `Channel` has it


class Producer(Protocol):
    """What a protocol registers with its transport."""

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop writing."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Write again, or once if it is a pull producer."""


class ConnectionProtocol(Protocol):
    """One end's protocol; the methods are those of Twisted."""

    transport: Any

    def connectionMade(self) -> None:  # noqa: N802
        """Begin."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take data."""

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """End."""


class ProtocolFactory(Protocol):
    """Makes the protocol of each connection."""

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802, ANN401 (as Twisted's factories)
        """Return a protocol, or None to reject the connection."""


class Address:
    """An address as transports have it."""

    def __init__(self, host: str) -> None:
        self.host, self.port = host, 1


class Pipe:
    """The transport of one end of a connection."""

    other: "Pipe"
    protocol: ConnectionProtocol

    def __init__(self, net: "Net", host: str) -> None:
        self.net, self.host = net, host
        self.outgoing: list[bytes] = []
        self.closing = self.ending = False  # closes, or closes its write side, once everything is delivered
        self.dead = self.stalled = self.paused = False
        self.producer: Producer | None = None
        self.is_pull_producer = False

    def write(self, data: bytes) -> None:
        """Queue data for the other end."""
        if not (self.closing or self.dead or self.ending):
            self.outgoing.append(data)
            if self.producer and self.stalled and not self.is_pull_producer:
                self.producer.pauseProducing()

    def registerProducer(self, producer: Producer, streaming: bool) -> None:  # noqa: N802
        """Register a producer; a pull producer writes at once."""
        self.producer, self.is_pull_producer = producer, not streaming
        if self.is_pull_producer:
            producer.resumeProducing()

    def unregisterProducer(self) -> None:  # noqa: N802
        """Forget the producer."""
        self.producer = None

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading."""
        self.paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Read again."""
        self.paused = False

    def getPeer(self) -> Address:  # noqa: N802
        """Return the address of the other end."""
        return Address(self.other.host)

    def loseConnection(self) -> None:  # noqa: N802
        """Close the connection after the queued data."""
        self.closing = True

    def loseWriteConnection(self) -> None:  # noqa: N802
        """Close the write side after the queued data; the other end then closes the connection."""
        self.ending = True

    def abortConnection(self) -> None:  # noqa: N802
        """Break the connection."""
        self.net.cut(self)


class Net:
    """The network: hosts by name, and the connections between them."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.hosts: dict[str, ProtocolFactory] = {}
        self.pipes: list[Pipe] = []
        self.silent: set[str] = set()  # hosts from which nothing is delivered
        self.delivery_count = 0
        self.fault_at_delivery = 0  # the delivery that `inject_fault` replaces; 0 for none
        self.inject_fault: Callable[[Pipe], object] = lambda pipe: None

    def listen(self, host: str, factory: ProtocolFactory) -> None:
        """Accept connections to a host."""
        self.hosts[host] = factory

    def dialer(self, host: str, client_host: str = "client") -> Connect:
        """Return the function that connects a client host to a host."""

        def dial(factory: ProtocolFactory) -> "Deferred[Any]":
            connected: Deferred[Any] = Deferred()
            self.clock.callLater(0, self._connect, host, client_host, factory, connected)
            return connected

        return dial

    def _connect(
        self, host: str, client_host: str, factory: ProtocolFactory, connected: "Deferred[Any]"
    ) -> None:
        if connected.called:
            return
        if host not in self.hosts:
            connected.errback(_failure_of(ConnectionRefusedError))
            return
        server_protocol = self.hosts[host].buildProtocol(Address(client_host))
        if server_protocol is None:  # closed as soon as it is accepted
            connected.errback(_failure_of(ConnectionLost))
            return
        client_end, server_end = Pipe(self, client_host), Pipe(self, host)
        client_end.other, server_end.other = server_end, client_end
        client_end.protocol, server_end.protocol = factory.buildProtocol(None), server_protocol
        self.pipes += [client_end, server_end]
        for pipe in (server_end, client_end):
            pipe.protocol.transport = pipe
            pipe.protocol.connectionMade()
        connected.callback(client_end.protocol)

    def cut(self, pipe: Pipe, clean: bool = False) -> None:
        """Break a connection, or end it if `clean`."""
        for end in (pipe, pipe.other):
            if not end.dead:
                end.dead, end.producer = True, None  # as the reactor's transports do
                reason = _failure_of(ConnectionDone if clean else ConnectionLost)
                self.clock.callLater(0, end.protocol.connectionLost, reason)
        self.pipes = [p for p in self.pipes if not p.dead]

    def kill(self, host: str) -> None:
        """Kill a host: its connections break and new ones are refused."""
        self.hosts.pop(host, None)
        for pipe in list(self.pipes):
            if pipe.host == host and not pipe.dead:
                self.cut(pipe)

    def deliver(self) -> bool:
        """Deliver what each pipe has queued, and close the drained ones; return whether any had to."""
        progress = False
        for pipe in list(self.pipes):
            if pipe.dead or pipe.stalled or pipe.other.paused or pipe.host in self.silent:
                continue
            if pipe.outgoing:
                self._deliver_from(pipe)
                progress = True
            elif pipe.closing or pipe.ending:
                self.cut(pipe, clean=True)
                progress = True
        return progress

    def _deliver_from(self, pipe: Pipe) -> None:
        """Deliver the queued data of a pipe, or inject the fault in its place."""
        self.delivery_count += 1
        if self.delivery_count == self.fault_at_delivery:
            self.inject_fault(pipe)
            return
        data, pipe.outgoing = b"".join(pipe.outgoing), []
        pipe.other.protocol.dataReceived(data)
        if pipe.producer and pipe.is_pull_producer and not pipe.outgoing:
            pipe.producer.resumeProducing()

    def run(self, seconds: float = 0.0, step: float = 0.002) -> None:
        """Advance the clock; before each step, deliver until nothing is queued or due."""
        until = self.clock.seconds() + seconds
        while True:
            self._settle()
            now = self.clock.seconds()
            if now >= until - CLOCK_ERROR:
                return
            next_timer_at = min(self._timers(), default=until)
            self.clock.advance(min(until - now, max(step, next_timer_at - now)))

    def _settle(self) -> None:
        """Deliver, and run the timers that are due, until there are none."""
        for _ in range(MAX_ROUNDS):
            self.clock.advance(0)
            if not self.deliver() and not any(time <= self.clock.seconds() for time in self._timers()):
                return
        raise AssertionError("the network does not come to rest")

    def _timers(self) -> list[float]:
        """Return when each timer is due, in seconds of the clock."""
        calls = self.clock.getDelayedCalls()
        return [call.getTime() for call in calls]  # type: ignore[misc] # Twisted declares an attribute


def _failure_of(error: type[Exception]) -> Failure:
    """Return the failure of an error without arguments."""
    return Failure(error())  # type: ignore[no-untyped-call] # Twisted has no annotation
