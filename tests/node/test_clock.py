"""Timers of a process whose wall clock is set while it runs."""

import subprocess
import sys

import pytest

PROGRAM = """
import time
wall_time, offset = time.time, [0.0]
time.time = lambda: wall_time() + offset[0]
from twisted.internet import reactor
from myrtlehub.node.clock import SteadyClock
clock = SteadyClock(reactor)
early_timers = []
def end():
    print(round(clock.seconds() - started_at, 1), early_timers)
    reactor.stop()
def fire_early():
    early_timers.append("too early")
started_at = clock.seconds()
far = clock.callLater(600.0, fire_early)
clock.callLater(0.3, end)
offset[0] = {offset}
reactor.run()
"""


@pytest.mark.parametrize("offset", [-3600.0, 3600.0])
def test_timers_do_not_go_by_the_wall_clock(offset: float) -> None:
    """With the wall clock set back they would fire an hour late; with it set ahead, all at once."""
    run = subprocess.run(
        [sys.executable, "-c", PROGRAM.format(offset=offset)], capture_output=True, text=True, timeout=60
    )
    duration, _, early_timers = run.stdout.strip().partition(" ")
    assert 0.3 <= float(duration) < 5.0 and early_timers == "[]", run
