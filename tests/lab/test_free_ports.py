"""Ports for the programs of scenarios."""

import subprocess
import sys

from myrtlehub.lab.processes import free_ports

SEARCH_FROM = """
import itertools, sys
from myrtlehub.lab import processes
processes._CANDIDATES = itertools.count(int(sys.argv[1]))
print(processes.free_ports(1)[0])
"""


def test_a_port_that_another_process_has_reserved_is_not_returned() -> None:
    """Two programs of different runs once got the same port, as their searches met at it."""
    (port,) = free_ports(1)
    done = subprocess.run(
        [sys.executable, "-c", SEARCH_FROM, str(port)], capture_output=True, text=True, check=True, timeout=60
    )
    assert int(done.stdout) > port
