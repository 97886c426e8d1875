"""Process-wide set-up of the programs: garbage collection and signals."""

import gc
import signal
from collections.abc import Callable
from typing import Protocol

# Arguments of `gc.set_threshold`. The youngest generation is collected after this many net allocations, each
# older one after this many collections of the next younger. Collections are rare because few objects of these
# programs are in reference cycles.
COLLECTOR_THRESHOLDS = (20_000, 20, 50)


class ThreadSafeReactor(Protocol):
    """The part of a reactor that signal handlers use."""

    def callFromThread(self, call: Callable[[], None]) -> object:  # noqa: N802 - Twisted's name
        """Call in the event loop, from any thread or signal handler."""


def freeze_startup_objects() -> None:
    """Exempt the objects made at start-up from garbage collection, whose pauses would add to latency."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)


def call_on_termination(call: Callable[[], None], reactor: ThreadSafeReactor) -> None:
    """Call in the event loop on SIGTERM and SIGINT, which request a graceful shutdown."""
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        call_on_signal(signal_number, call, reactor)


def call_on_signal(
    signal_number: signal.Signals, call: Callable[[], None], reactor: ThreadSafeReactor
) -> None:
    """Call in the event loop each time the process receives a signal."""
    signal.signal(signal_number, lambda *_: reactor.callFromThread(call))
