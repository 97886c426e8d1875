"""Runs a program of this package whose wall clock is set while it runs, for trials.

    python -m myrtlehub.cli.stepped_clock MODULE [ARGUMENT ...]

SIGUSR1 sets it back by an hour, SIGUSR2 ahead by one. Nothing else of the process is changed; the machine's
clock is left alone.
"""

import runpy
import signal
import sys
import time

HOUR = 3600.0  # seconds


class SteppedClock:
    """The wall clock as the program sees it."""

    def __init__(self) -> None:
        self._true_time = time.time
        self._offset = 0.0

    def time(self) -> float:
        """Return what `time.time` is to return."""
        return self._true_time() + self._offset

    def step(self, seconds: float) -> None:
        """Set the clock, and say so on standard output."""
        self._offset += seconds
        print(f'{{"event": "clock set", "by": {seconds}}}', flush=True)


def main() -> None:
    """Patch the clock before anything of the program is imported, and run the program."""
    clock = SteppedClock()
    time.time = clock.time
    signal.signal(signal.SIGUSR1, lambda *ignored: clock.step(-HOUR))
    signal.signal(signal.SIGUSR2, lambda *ignored: clock.step(HOUR))
    del sys.argv[0]
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
