"""Processes of nodes on this machine: whether one is there, starting and ending them."""

import os
import shlex
import subprocess
from pathlib import Path
from typing import NamedTuple

import psutil
from twisted.internet.defer import Deferred

from myrtlehub.node.admin.orders import GENERATION_VARIABLE

UNKNOWN_START = 0
STAT_START_TIME = 19  # index of the start time among the fields of /proc/PID/stat after the program's name


class ProcessIdentity(NamedTuple):
    """A process by its number and by when it began, which tells it from a later one of the same number."""

    pid: int
    start_ticks: int  # since the machine's start; 0: not known


class ProcessSupervisor:
    """Starts nodes as processes of this machine that outlive the controller."""

    def __init__(self, log_folder: Path) -> None:
        self.log_folder = log_folder
        self.children: dict[int, subprocess.Popen] = {}

    def start_ticks(self, pid: int) -> int:
        """Return the ticks from the machine's start to that of a process; 0 where it is not known.

        Wall clocks are set meanwhile, and would tell a living process from itself.
        """
        try:
            stat = Path(f"/proc/{pid}/stat").read_text()
            return int(stat.rpartition(")")[2].split()[STAT_START_TIME])
        except (OSError, ValueError, IndexError):
            return UNKNOWN_START

    def is_alive(self, node: int, known: ProcessIdentity | None) -> bool | Deferred[bool]:
        """Whether the process that last answered there, or was started by us, still runs."""
        child = self.children.get(node)
        if child is not None and child.poll() is None:
            return True
        if known is None or (child is not None and child.pid == known.pid):
            return False
        try:
            # The number may be another process's by now: ours began when the one that answered did.
            same = not known.start_ticks or self.start_ticks(known.pid) == known.start_ticks
            return same and psutil.Process(known.pid).status() != psutil.STATUS_ZOMBIE
        except psutil.NoSuchProcess:
            return False

    def is_starting(self, node: int, known: ProcessIdentity | None) -> bool:
        """Whether the process that we started there runs and has not answered yet."""
        child = self.children.get(node)
        return child is not None and child.poll() is None and (known is None or known.pid != child.pid)

    def has_exited(self, node: int) -> bool:
        """Whether the process that we started there has ended."""
        return node in self.children and self.children[node].poll() is not None

    def start(self, node: int, name: str, command: str, generation: str) -> None:
        """Start a node that outlives us.

        Raises:
            OSError: there is no such program.
        """
        with (self.log_folder / f"{name}.log").open("ab") as log:
            self.children[node] = subprocess.Popen(
                shlex.split(command),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
                env={**os.environ, GENERATION_VARIABLE: generation},
            )

    def kill(self, node: int, known: ProcessIdentity | None) -> None:
        """Kill the node's process if it still runs."""
        if not self.is_alive(node, known):
            return
        child = self.children.get(node)
        if child is not None and child.poll() is None:
            child.kill()
        else:
            psutil.Process(known.pid).kill()
