"""Process-wide setup: garbage collection and signal handlers."""

import gc
import signal
from collections.abc import Callable
from typing import Protocol

# Arguments of `gc.set_threshold`: the youngest generation is collected after the first number of net
# allocations, each older one after that many collections of the next younger. Collections can be rare because
# few objects of these programs are in reference cycles.
GC_THRESHOLDS = (20_000, 20, 50)


class ThreadSafeReactor(Protocol):
    """The part of a reactor that signal handlers use to enter the event loop."""

    def callFromThread(self, callback: Callable[[], None]) -> object:  # noqa: N802 - Twisted's name
        """Schedule `callback` in the event loop; may be called from any thread or signal handler."""


def freeze_startup_objects() -> None:
    """Exempt the objects created during startup from garbage collection, whose pauses would add latency."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def call_on_termination(callback: Callable[[], None], reactor: ThreadSafeReactor) -> None:
    """Run `callback` in the event loop on SIGTERM and SIGINT, which request a graceful shutdown."""
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        call_on_signal(signal_number, callback, reactor)


def call_on_signal(
    signal_number: signal.Signals, callback: Callable[[], None], reactor: ThreadSafeReactor
) -> None:
    """Run `callback` in the event loop each time the process receives the signal."""
    signal.signal(signal_number, lambda *_: reactor.callFromThread(callback))
