"""Runs a program of this package with a wall clock that tests can set while it runs.

    python -m myrtlehub.cli.stepped_clock MODULE [ARGUMENT ...]

SIGUSR1 sets the wall clock of the process back by an hour, SIGUSR2 forward by an hour. The clock of the
machine and the process's monotonic clock are not changed.
"""

import runpy
import signal
import sys
import time

STEP_S = 3600.0


class SteppedClock:
    """A replacement for `time.time` that can be set."""

    def __init__(self) -> None:
        self._system_time = time.time
        self._offset_s = 0.0

    def time(self) -> float:
        """Return the seconds since the epoch, by this clock."""
        return self._system_time() + self._offset_s

    def step(self, seconds: float) -> None:
        """Move the clock by a number of seconds, and print the event on standard output."""
        self._offset_s += seconds
        print(f'{{"event": "clock set", "by": {seconds}}}', flush=True)


def main() -> None:
    """Replace `time.time` before any module of the program is imported, and run the program."""
    clock = SteppedClock()
    time.time = clock.time
    signal.signal(signal.SIGUSR1, lambda *ignored: clock.step(-STEP_S))
    signal.signal(signal.SIGUSR2, lambda *ignored: clock.step(STEP_S))
    del sys.argv[0]
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
