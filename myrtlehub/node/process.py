"""What every program of the node's kind does as a process: memory after its start, signals."""

import gc
import signal
from collections.abc import Callable
from typing import Protocol

# Of the collector's generations: the youngest is collected rarely, as few objects here are in cycles.
COLLECTOR_THRESHOLDS = (20_000, 20, 50)


class ThreadSafeReactor(Protocol):
    """What is needed of a reactor."""

    def callFromThread(self, call: Callable[[], None]) -> object:  # noqa: N802
        """Call in the event loop."""


def freeze_startup_objects() -> None:
    """Exempt what start-up made from garbage collection: its pauses would be seen as latency."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)


def call_on_termination(call: Callable[[], None], reactor: ThreadSafeReactor) -> None:
    """Have the reactor call it on SIGTERM and SIGINT, which ask for an orderly end."""
    for name in (signal.SIGTERM, signal.SIGINT):
        call_on_signal(name, call, reactor)


def call_on_signal(name: signal.Signals, call: Callable[[], None], reactor: ThreadSafeReactor) -> None:
    """Have the reactor call it, whenever the signal comes."""
    signal.signal(name, lambda *ignored: reactor.callFromThread(call))
