"""Supervision of node processes on other machines, by commands of the operator."""

import shlex
import subprocess
from pathlib import Path

from twisted.internet.defer import Deferred
from twisted.internet.threads import deferToThread

from myrtlehub.config.rollout_plan import ProcessCommands, RolloutPlanConfig
from myrtlehub.rollout.journal_details import UNKNOWN_START
from myrtlehub.rollout_controller.process_supervisor import ProcessIdentity, ProcessSupervisor

COMMAND_TIMEOUT = 5.0  # seconds for a command of the operator
NO_PROCESS = 1  # exit code by which the command `alive` says that the process does not run


class RemoteSupervisor(ProcessSupervisor):
    """Runs the operator's commands for nodes on other machines."""

    def __init__(self, log_folder: Path, names: list[str], commands: ProcessCommands) -> None:
        """Start without child processes.

        Args:
            log_folder: the folder for the output of the start commands, one file for each node.
            names: the names of the nodes.
            commands: the operator's commands.
        """
        super().__init__(log_folder)
        self.names = names
        self.commands = commands

    def start_ticks(self, pid: int) -> int:
        """Return UNKNOWN_START, as processes of other machines are not visible here."""
        return UNKNOWN_START

    def is_alive(self, node: int, known: ProcessIdentity | None) -> bool | Deferred[bool]:
        """Run the operator's command; the process does not run only if its exit code is NO_PROCESS.

        If the command fails in another way, the node may still be serving, so it counts as alive.
        """
        if known is None or not known.pid:
            return False
        return deferToThread(lambda: self._run(self.commands.alive, node, known) != NO_PROCESS)

    def is_starting(self, node: int, known: ProcessIdentity | None) -> bool:
        """Return False: the start command may exit with success long before the node is ready."""
        return False

    def has_exited(self, node: int) -> bool:
        """Return whether the command that starts the node has failed."""
        child = self.children.get(node)
        return child is not None and bool(child.poll())

    def kill(self, node: int, known: ProcessIdentity | None) -> None:
        """Run the operator's command that kills the process."""
        if known is not None and known.pid:
            deferToThread(self._run, self.commands.kill, node, known)

    def _run(self, command: str, node: int, known: ProcessIdentity) -> int | None:
        """Return the exit code of a command; None if it could not be run or did not exit in time."""
        words = shlex.split(command.format(name=self.names[node], pid=known.pid))
        try:
            completed = subprocess.run(
                words, stdin=subprocess.DEVNULL, capture_output=True, timeout=COMMAND_TIMEOUT
            )
        except (OSError, subprocess.SubprocessError):
            return None
        return completed.returncode


def make_supervisor(config: RolloutPlanConfig, base: Path) -> ProcessSupervisor:
    """Return the supervisor of a plan; logs of nodes go to the folder of the plan."""
    if config.processes:
        return RemoteSupervisor(base, [node.name for node in config.nodes], config.processes)
    return ProcessSupervisor(base)
