"""What every program of the node's kind does as a process: memory after its start, signals."""

import gc
import signal
from collections.abc import Callable


def settle_memory() -> None:
    """Keep what start-up made out of the collector's way: its pauses would be seen as latency."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)


def on_term(call: Callable[[], None], reactor: object) -> None:
    """SIGTERM and SIGINT ask for an orderly end."""
    for name in (signal.SIGTERM, signal.SIGINT):
        on_signal(name, call, reactor)


def on_signal(name: signal.Signals, call: Callable[[], None], reactor: object) -> None:
    """Have the reactor call it, whenever the signal comes."""
    signal.signal(name, lambda *ignored: reactor.callFromThread(call))
