"""A network in memory on a driven clock: real protocols, bytes handed over by the turn, faults on demand."""

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone, ConnectionLost, ConnectionRefusedError
from twisted.internet.task import Clock
from twisted.python.failure import Failure


class Address:
    """An address as transports show it."""

    def __init__(self, host: str) -> None:
        self.host, self.port = host, 1


class Pipe:
    """One end's transport."""

    def __init__(self, net: "Net", host: str) -> None:
        self.net, self.host, self.out, self.other, self.protocol = net, host, [], None, None
        self.closing = self.dead = self.stalled = self.paused = self.ending = False
        self.producer, self.pulled = None, False

    def write(self, data: bytes) -> None:
        if not (self.closing or self.dead or self.ending):
            self.out.append(data)
            if self.producer and self.stalled and not self.pulled:
                self.producer.pauseProducing()

    def registerProducer(self, producer: object, streaming: bool) -> None:  # noqa: N802
        self.producer, self.pulled = producer, not streaming
        if self.pulled:
            producer.resumeProducing()

    def unregisterProducer(self) -> None:  # noqa: N802
        self.producer = None

    def pauseProducing(self) -> None:  # noqa: N802
        self.paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        self.paused = False

    def getPeer(self) -> Address:  # noqa: N802
        return Address(self.other.host)

    def loseConnection(self) -> None:  # noqa: N802
        self.closing = True

    def loseWriteConnection(self) -> None:  # noqa: N802
        """The other end closes as soon as it has read the end, unless its protocol `stays`."""
        self.ending = True

    def abortConnection(self) -> None:  # noqa: N802
        self.net.cut(self)


class Net:
    """Hosts by name; `dial` is what a Channel wants."""

    def __init__(self, clock: Clock) -> None:
        self.clock, self.hosts, self.pipes = clock, {}, []
        self.silent: set[str] = set()  # hosts that take bytes and say nothing
        self.crossed = 0  # deliveries so far
        self.fault_at, self.fault = 0, None  # called with the pipe in place of that delivery

    def listen(self, host: str, factory: object) -> None:
        self.hosts[host] = factory

    def dialer(self, host: str, who: str = "client") -> object:
        def dial(factory: object) -> Deferred:
            done = Deferred()
            self.clock.callLater(0, self._connect, host, who, factory, done)
            return done

        return dial

    def _connect(self, host: str, who: str, factory: object, done: Deferred) -> None:
        if done.called:
            return
        if host not in self.hosts:
            done.errback(Failure(ConnectionRefusedError()))
            return
        far_protocol = self.hosts[host].buildProtocol(Address(who))
        if far_protocol is None:  # closed as soon as it is made
            done.errback(Failure(ConnectionLost()))
            return
        near, far = Pipe(self, who), Pipe(self, host)
        near.other, far.other = far, near
        near.protocol, far.protocol = factory.buildProtocol(None), far_protocol
        self.pipes += [near, far]
        for pipe in (far, near):
            pipe.protocol.transport = pipe
            pipe.protocol.connectionMade()
        done.callback(near.protocol)

    def cut(self, pipe: Pipe, clean: bool = False) -> None:
        for end in (pipe, pipe.other):
            if not end.dead:
                end.dead, end.producer = True, None  # as the reactor's transports do
                reason = ConnectionDone() if clean else ConnectionLost()
                self.clock.callLater(0, end.protocol.connectionLost, Failure(reason))
        self.pipes = [p for p in self.pipes if not p.dead]

    def kill(self, host: str) -> None:
        """A host dies: its connections break and new ones are refused."""
        self.hosts.pop(host, None)
        for pipe in list(self.pipes):
            if pipe.host == host and not pipe.dead:
                self.cut(pipe)

    def pump(self) -> bool:
        moved = False
        for pipe in list(self.pipes):
            if pipe.dead or pipe.stalled or pipe.other.paused or pipe.host in self.silent:
                continue
            if pipe.out:
                self.crossed += 1
                moved = True
                if self.crossed == self.fault_at:
                    self.fault(pipe)
                    continue
                data, pipe.out = b"".join(pipe.out), []
                pipe.other.protocol.dataReceived(data)
                if pipe.producer and pipe.pulled and not pipe.out:
                    pipe.producer.resumeProducing()
            elif not pipe.dead and (
                pipe.closing or (pipe.ending and not getattr(pipe.other.protocol, "stays", False))
            ):
                self.cut(pipe, clean=True)
                moved = True
        return moved

    def run(self, seconds: float = 0.0, step: float = 0.002) -> None:
        """Let time pass; bytes cross between any two steps."""
        until = self.clock.seconds() + seconds
        while True:
            for _ in range(200):
                self.clock.advance(0)
                moved = self.pump()
                if not moved and not any(
                    c.getTime() <= self.clock.seconds() for c in self.clock.getDelayedCalls()
                ):
                    break
            else:
                raise AssertionError("the network does not come to rest")
            now = self.clock.seconds()
            if now >= until - 1e-9:
                return
            soonest = min((c.getTime() for c in self.clock.getDelayedCalls()), default=until)
            self.clock.advance(min(until - now, max(step, soonest - now)))
