"""Supervision of node processes on other machines, by commands that the operator configures."""

import shlex
import subprocess
from pathlib import Path

from twisted.internet.defer import Deferred
from twisted.internet.threads import deferToThread

from myrtlehub.config.rollout_plan import ProcessCommands, RolloutPlanConfig
from myrtlehub.rollout.journal_details import UNKNOWN_START
from myrtlehub.rollout_controller.process_supervisor import ProcessIdentity, ProcessSupervisor

COMMAND_TIMEOUT = 5.0  # seconds until a command counts as failed
PROCESS_NOT_RUNNING = 1  # exit code of the command `alive` if the process does not run


class RemoteSupervisor(ProcessSupervisor):
    """Runs the configured commands for nodes on other machines."""

    def __init__(self, log_directory: Path, node_names: list[str], commands: ProcessCommands) -> None:
        """Create a supervisor without child processes.

        Args:
            log_directory: the directory for the output of the start commands, one file for each node.
            node_names: the names of the nodes.
            commands: the configured commands.
        """
        super().__init__(log_directory)
        self.node_names = node_names
        self.commands = commands

    def start_ticks(self, pid: int) -> int:
        """Return UNKNOWN_START, as processes of other machines are not visible here."""
        return UNKNOWN_START

    def is_alive(self, node: int, known_process: ProcessIdentity | None) -> bool | Deferred[bool]:
        """Run the command `alive`; only exit code PROCESS_NOT_RUNNING means that the process has ended.

        If the command fails in another way, the node may still be serving, so it counts as alive.
        """
        if known_process is None or not known_process.pid:
            return False
        return deferToThread(
            lambda: self._run(self.commands.alive, node, known_process) != PROCESS_NOT_RUNNING
        )

    def is_starting(self, node: int, known_process: ProcessIdentity | None) -> bool:
        """Return False: the start command may exit with success long before the node is ready."""
        return False

    def has_exited(self, node: int) -> bool:
        """Return whether the command that starts the node has failed."""
        child = self.children.get(node)
        return child is not None and bool(child.poll())

    def kill(self, node: int, known_process: ProcessIdentity | None) -> None:
        """Run the command that kills the process."""
        if known_process is not None and known_process.pid:
            deferToThread(self._run, self.commands.kill, node, known_process)

    def _run(self, command: str, node: int, known_process: ProcessIdentity) -> int | None:
        """Return the exit code of a command; None if it could not be run or did not exit in time."""
        arguments = shlex.split(command.format(name=self.node_names[node], pid=known_process.pid))
        try:
            completed = subprocess.run(
                arguments, stdin=subprocess.DEVNULL, capture_output=True, timeout=COMMAND_TIMEOUT
            )
        except (OSError, subprocess.SubprocessError):
            return None
        return completed.returncode


def make_supervisor(config: RolloutPlanConfig, plan_directory: Path) -> ProcessSupervisor:
    """Return the supervisor that the plan configures; logs of nodes go to the directory of the plan."""
    if config.processes:
        return RemoteSupervisor(plan_directory, [node.name for node in config.nodes], config.processes)
    return ProcessSupervisor(plan_directory)
