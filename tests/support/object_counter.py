"""Runs the relay without the garbage collector; on SIGUSR1 it logs the number of live objects of a class."""

import gc
import json
import os
import signal
from collections import Counter


def log_objects(*_: object) -> None:
    """Write an entry in the format of the relay's log."""
    counts = Counter(type(item).__qualname__ for item in gc.get_objects())
    os.write(1, json.dumps({"event": "objects", "counts": counts}).encode() + b"\n")


def main() -> None:
    """Run the relay; `freeze_startup_objects` must not turn the collector on again."""
    signal.signal(signal.SIGUSR1, log_objects)
    gc.disable()
    from myrtlehub.relay.__main__ import main as run_relay

    run_relay()


if __name__ == "__main__":
    main()
