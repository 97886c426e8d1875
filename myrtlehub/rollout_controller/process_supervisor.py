"""Supervision of node processes on this machine: liveness, start and kill."""

import os
import shlex
import subprocess
from pathlib import Path
from typing import NamedTuple

import psutil
from twisted.internet.defer import Deferred

from myrtlehub.node.admin.orders import GENERATION_VARIABLE
from myrtlehub.rollout.journal_details import UNKNOWN_START

STAT_START_TIME = 19  # index of the start time among the fields that follow the name in /proc/PID/stat


class ProcessIdentity(NamedTuple):
    """A process, identified by its PID and start time, because PIDs are reused."""

    pid: int
    start_ticks: int  # clock ticks since the machine was booted; UNKNOWN_START if not known


class ProcessSupervisor:
    """Starts nodes as processes on this machine; they keep running after the controller has exited."""

    def __init__(self, log_directory: Path) -> None:
        """Create a supervisor without child processes.

        Args:
            log_directory: the directory for the output of the nodes, one file for each.
        """
        self.log_directory = log_directory
        self.children: dict[int, subprocess.Popen[bytes]] = {}  # by node index: the process started last

    def start_ticks(self, pid: int) -> int:
        """Return the start time of a process in clock ticks since boot, or UNKNOWN_START.

        A start time by the wall clock would change when the clock is set, and a running process would then
        seem to be a different one.
        """
        try:
            stat = Path(f"/proc/{pid}/stat").read_text()
            return int(stat.rpartition(")")[2].split()[STAT_START_TIME])
        except (OSError, ValueError, IndexError):
            return UNKNOWN_START

    def is_alive(self, node: int, known_process: ProcessIdentity | None) -> bool | Deferred[bool]:
        """Return whether a node's process runs: the child started here, or the process that answered last.

        Args:
            node: index of the node.
            known_process: the process that answered last; None if none has.
        """
        return self._is_running(node, known_process)

    def _is_running(self, node: int, known_process: ProcessIdentity | None) -> bool:
        child = self.children.get(node)
        if child is not None and child.poll() is None:
            return True
        if known_process is None or (child is not None and child.pid == known_process.pid):
            return False
        try:
            # The node may have exited and its PID may have been reused by another process
            # (test_a_process_is_identified_by_its_start_time_even_if_the_clock_is_set).
            is_same_process = (
                not known_process.start_ticks
                or self.start_ticks(known_process.pid) == known_process.start_ticks
            )
            return is_same_process and psutil.Process(known_process.pid).status() != psutil.STATUS_ZOMBIE
        except psutil.NoSuchProcess:
            return False

    def is_starting(self, node: int, known_process: ProcessIdentity | None) -> bool:
        """Return whether the process started here is running but has not answered yet."""
        child = self.children.get(node)
        return (
            child is not None
            and child.poll() is None
            and (known_process is None or known_process.pid != child.pid)
        )

    def has_exited(self, node: int) -> bool:
        """Return whether the process started here has exited."""
        return node in self.children and self.children[node].poll() is not None

    def start(self, node: int, name: str, command: str, generation: str) -> None:
        """Start a node in a session of its own, so that it outlives the controller.

        Args:
            node: index of the node.
            name: name of the node, and of its log file.
            command: the command line.
            generation: "GENERATION CONTROLLER" of the controller that the node follows from its start.

        Raises:
            OSError: the program cannot be started.
        """
        with (self.log_directory / f"{name}.log").open("ab") as log:
            self.children[node] = subprocess.Popen(
                shlex.split(command),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
                env={**os.environ, GENERATION_VARIABLE: generation},
            )

    def kill(self, node: int, known_process: ProcessIdentity | None) -> None:
        """Kill the node's process if it is running."""
        child = self.children.get(node)
        if child is not None and child.poll() is None:
            child.kill()
        elif known_process is not None and self._is_running(node, known_process):
            psutil.Process(known_process.pid).kill()
