"""Timers of a process whose wall clock is set while it runs."""

import subprocess
import sys

import pytest

SET = """
import time
true, off = time.time, [0.0]
time.time = lambda: true() + off[0]
from twisted.internet import reactor
from myrtlehub.node.clock import SteadyClock
clock = SteadyClock(reactor)
said = []
def over():
    print(round(clock.seconds() - began, 1), said)
    reactor.stop()
def late():
    said.append("too early")
began = clock.seconds()
far = clock.callLater(600.0, late)
clock.callLater(0.3, over)
off[0] = {by}
reactor.run()
"""


@pytest.mark.parametrize("by", [-3600.0, 3600.0])
def test_timers_do_not_go_by_the_wall_clock(by: float) -> None:
    """Set back, they would come an hour late; set ahead, all at once."""
    run = subprocess.run(
        [sys.executable, "-c", SET.format(by=by)], capture_output=True, text=True, timeout=60
    )
    took, _, said = run.stdout.strip().partition(" ")
    assert 0.3 <= float(took) < 5.0 and said == "[]", run
