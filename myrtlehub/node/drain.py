"""Graceful shutdown of a node: a bounded wait until it is idle and its clients have disconnected."""

from collections.abc import Sequence

from twisted.internet.defer import Deferred

from myrtlehub.clock import Clock, Timer
from myrtlehub.node.executor_observer import ExecutorObserver
from myrtlehub.node.node_runtime import NodeRuntime

FLUSH_DELAY = 0.05  # seconds; several iterations of the event loop, in which the last answers are written
ABORT_REASON = "the node is going down"


class Drain(ExecutorObserver):
    """Waits at most `timeout` seconds until all runtimes are idle and all client connections are closed.

    A client may send a request before it has read the GOAWAY of its connection. If the process exited then,
    the client would get no final answer and could not know whether the request ran. So the drain also waits
    until each connection is closed, which happens once its client has acknowledged the GOAWAY
    (`test_a_request_sent_before_its_client_has_read_the_goaway_is_answered`).
    """

    def __init__(self, clock: Clock, runtimes: Sequence[NodeRuntime], timeout: float) -> None:
        self._clock = clock
        self._runtimes = runtimes
        self._done: Deferred[None] = Deferred()
        self._timeout_timer: Timer | None = clock.callLater(timeout, self._on_timeout)  # None: ended
        self._is_awaiting_connections = True

    def start(self, hand_over_sequences: bool, connections_closed: "Deferred[None]") -> None:
        """Start to wait.

        Args:
            hand_over_sequences: Whether clients that can resume a sequence are told to do so at another node.
            connections_closed: Fires once the connections of all clients are closed.
        """
        for runtime in self._runtimes:
            runtime.executor.add_observer(self)
            if hand_over_sequences:
                runtime.front.hand_over()
        connections_closed.addCallback(self._on_connections_closed)
        self._check()

    def _on_connections_closed(self, _result: None) -> None:
        self._is_awaiting_connections = False
        self._check()

    def wait(self) -> "Deferred[None]":
        """Return a new Deferred that fires when the drain has ended."""
        done: Deferred[None] = Deferred()
        self._done.addCallback(lambda _: done.callback(None))
        return done

    def executor_idle(self) -> None:
        """End the drain if no runtime has anything in flight."""
        self._check()

    def _check(self) -> None:
        # Executors may report several times that they are idle, but the drain must end only once.
        if self._timeout_timer is None or self._is_awaiting_connections:
            return
        if not all(runtime.is_idle for runtime in self._runtimes):
            return
        for runtime in self._runtimes:
            runtime.executor.remove_observer(self)
        timeout_timer = self._timeout_timer
        self._timeout_timer = None
        if timeout_timer.active():
            timeout_timer.cancel()
        self._clock.callLater(FLUSH_DELAY, self._done.callback, None)

    def _on_timeout(self) -> None:
        """Abort everything in flight, and stop waiting for connections to close."""
        self._is_awaiting_connections = False
        for runtime in self._runtimes:
            runtime.abort_all(ABORT_REASON)
        self._check()
