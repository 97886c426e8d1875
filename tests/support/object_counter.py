"""Runs the relay without the garbage collector; SIGUSR1 has it log how many objects of a class there are."""

import gc
import json
import os
import signal
from collections import Counter


def log_objects(*_: object) -> None:
    """Write a line as the relay's log has them."""
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
