"""Graceful shutdown of a node: a bounded wait until nothing is in flight and all clients know of it."""

from collections.abc import Sequence

from twisted.internet.defer import Deferred

from myrtlehub.clock import Clock, Timer
from myrtlehub.node.executor_observer import ExecutorObserver
from myrtlehub.node.node_runtime import NodeRuntime

FLUSH_DELAY = 0.05  # seconds; a few turns of the event loop, in which the last answers are written
ABORT_REASON = "the node is going down"


class Drain(ExecutorObserver):
    """Waits for the sequences of all runtimes and for clients' connections, for at most `timeout` seconds.

    A client may send a request before it has read the GOAWAY of its connection. If the process ended then,
    the client would get no final answer and could not know whether the request ran. So the drain also waits
    until all connections are closed, each after its client has acknowledged that it opens no more streams.
    Test: `test_a_request_sent_before_its_client_has_read_the_goaway_is_answered`.
    """

    def __init__(self, clock: Clock, runtimes: Sequence[NodeRuntime], timeout: float) -> None:
        self._clock = clock
        self._runtimes = runtimes
        self._done: Deferred[None] = Deferred()
        self._limit: Timer | None = clock.callLater(timeout, self._on_timeout)
        self._awaits_connections = True

    def start(self, hands_over: bool, connections_closed: "Deferred[None]") -> None:
        """Start to wait.

        Args:
            hands_over: whether clients that can resume are told to do so at other nodes.
            connections_closed: fires once the connections of all clients are closed.
        """
        for runtime in self._runtimes:
            runtime.executor.add_observer(self)
            if hands_over:
                runtime.front.hand_over()
        connections_closed.addCallback(self._on_connections_closed)
        self._check()

    def _on_connections_closed(self, _result: None) -> None:
        self._awaits_connections = False
        self._check()

    def wait(self) -> "Deferred[None]":
        """Return a new Deferred that fires at the end of the drain."""
        done: Deferred[None] = Deferred()
        self._done.addCallback(lambda _: done.callback(None))
        return done

    def executor_idle(self) -> None:
        """End the drain if all runtimes are idle."""
        self._check()

    def _check(self) -> None:
        # A replaced runtime may report more than once that it is idle; the drain ends once.
        if self._limit is None or self._awaits_connections:
            return
        if not all(runtime.is_idle for runtime in self._runtimes):
            return
        for runtime in self._runtimes:
            runtime.executor.remove_observer(self)
        limit = self._limit
        self._limit = None
        if limit.active():
            limit.cancel()
        self._clock.callLater(FLUSH_DELAY, self._done.callback, None)

    def _on_timeout(self) -> None:
        """Abort the sequences without an answer, and stop waiting for connections to close."""
        self._awaits_connections = False
        for runtime in self._runtimes:
            runtime.abort_all(ABORT_REASON)
        self._check()
