"""Runs a program of ours whose wall clock is set while it runs, for trials.

    python -m myrtlehub.cli.stepped MODULE [ARGUMENT ...]

SIGUSR1 sets it back by an hour, SIGUSR2 ahead by one. Nothing else of the process is changed; the machine's
clock is left alone.
"""

import runpy
import signal
import sys
import time

HOUR = 3600.0

_true, _off = time.time, [0.0]


def _shown() -> float:
    return _true() + _off[0]


def _set(by: float) -> None:
    _off[0] += by
    print(f'{{"event": "clock set", "by": {by}}}', flush=True)


def main() -> None:
    """Patch the clock before anything of the program is imported, and be the program."""
    time.time = _shown
    signal.signal(signal.SIGUSR1, lambda *ignored: _set(-HOUR))
    signal.signal(signal.SIGUSR2, lambda *ignored: _set(HOUR))
    del sys.argv[0]
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
