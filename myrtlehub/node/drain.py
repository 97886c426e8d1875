"""The drain of a node: waits until nothing is in flight, for a bounded time."""

from collections.abc import Sequence

from twisted.internet.defer import Deferred

from myrtlehub.clock import Clock, Timer
from myrtlehub.node.node_runtime import NodeRuntime

FLUSH_DELAY = 0.05  # seconds: a few turns of the event loop, for the last answers to leave
ABORT_REASON = "the node is going down"


def _ignore() -> None:
    """Take no note."""


class Drain:
    """Waits for the sequences of all runtimes; what has no answer after `within` seconds is aborted."""

    def __init__(self, clock: Clock, runtimes: Sequence[NodeRuntime], within: float) -> None:
        self._clock = clock
        self._runtimes = runtimes
        self._done = Deferred()
        self._limit: Timer | None = clock.callLater(within, self._abort_all)

    def start(self, hands_over: bool) -> None:
        """Wait from here on; `hands_over`: sequences whose clients may move are left to other nodes."""
        for runtime in self._runtimes:
            runtime.executor.on_idle = self._check
            if hands_over:
                runtime.front.hand_over()
        self._check()

    def wait(self) -> Deferred:
        """Return a Deferred of its own for each caller, which fires at the end of the drain."""
        done = Deferred()
        self._done.addCallback(lambda _: done.callback(None))
        return done

    def _check(self) -> None:
        # Only once: a runtime that was replaced may report again that it is idle.
        if self._limit is None or not all(runtime.is_idle for runtime in self._runtimes):
            return
        for runtime in self._runtimes:
            runtime.executor.on_idle = _ignore
        limit = self._limit
        self._limit = None
        if limit.active():
            limit.cancel()
        self._clock.callLater(FLUSH_DELAY, self._done.callback, None)

    def _abort_all(self) -> None:
        for runtime in self._runtimes:
            runtime.abort_all(ABORT_REASON)
