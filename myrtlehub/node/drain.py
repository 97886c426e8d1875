"""Graceful shutdown of a node: waits until nothing is in flight, for a bounded time."""

from collections.abc import Sequence

from twisted.internet.defer import Deferred

from myrtlehub.clock import Clock, Timer
from myrtlehub.node.executor_observer import ExecutorObserver
from myrtlehub.node.node_runtime import NodeRuntime

FLUSH_DELAY = 0.05  # seconds; a few turns of the event loop, in which the last answers are written
ABORT_REASON = "the node is going down"


class Drain(ExecutorObserver):
    """Waits for the sequences of all runtimes, and aborts those without an answer after `timeout` seconds."""

    def __init__(self, clock: Clock, runtimes: Sequence[NodeRuntime], timeout: float) -> None:
        self._clock = clock
        self._runtimes = runtimes
        self._done: Deferred[None] = Deferred()
        self._limit: Timer | None = clock.callLater(timeout, self._abort_all)

    def start(self, hands_over: bool) -> None:
        """Start to wait; with `hands_over`, clients that can resume are told to do so at other nodes."""
        for runtime in self._runtimes:
            runtime.executor.add_observer(self)
            if hands_over:
                runtime.front.hand_over()
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
        if self._limit is None or not all(runtime.is_idle for runtime in self._runtimes):
            return
        for runtime in self._runtimes:
            runtime.executor.remove_observer(self)
        limit = self._limit
        self._limit = None
        if limit.active():
            limit.cancel()
        self._clock.callLater(FLUSH_DELAY, self._done.callback, None)

    def _abort_all(self) -> None:
        for runtime in self._runtimes:
            runtime.abort_all(ABORT_REASON)
