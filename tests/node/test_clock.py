"""Timers of a process whose wall clock is changed while it runs."""

import subprocess
import sys

import pytest

PROGRAM = """
import time
read_wall_clock, offset = time.time, [0.0]
time.time = lambda: read_wall_clock() + offset[0]
from twisted.internet import reactor
from myrtlehub.node.clock import MonotonicClock
clock = MonotonicClock(reactor)
early_timers = []
def stop():
    print(round(clock.seconds() - started_at, 1), early_timers)
    reactor.stop()
def fire_early():
    early_timers.append("too early")
started_at = clock.seconds()
late_timer = clock.callLater(600.0, fire_early)
clock.callLater(0.3, stop)
offset[0] = {offset}
reactor.run()
"""


@pytest.mark.parametrize("offset", [-3600.0, 3600.0])
def test_timers_ignore_changes_of_the_wall_clock(offset: float) -> None:
    """Twisted's default clock is the wall clock.

    Timers on it fire an hour late after the wall clock is set back by an hour, and all at once after it is
    set ahead.
    """
    run = subprocess.run(
        [sys.executable, "-c", PROGRAM.format(offset=offset)], capture_output=True, text=True, timeout=60
    )
    duration, _, early_timers = run.stdout.strip().partition(" ")
    assert 0.3 <= float(duration) < 5.0 and early_timers == "[]", run
