"""Processes of nodes on other machines, started, looked at and killed by an operator's commands."""

import shlex
import subprocess
from pathlib import Path

from twisted.internet.defer import Deferred
from twisted.internet.threads import deferToThread

from myrtlehub.config.rollout_plan import ProcessCommands, RolloutPlanConfig
from myrtlehub.rollout_controller.process_supervisor import (
    UNKNOWN_START,
    ProcessIdentity,
    ProcessSupervisor,
)

COMMAND_TIMEOUT = 5.0  # seconds for an operator's command
COMMAND_FAILED = -1  # in place of an exit code
NO_PROCESS = 1  # exit code of the command `alive` where it surely found none


class RemoteSupervisor(ProcessSupervisor):
    """Runs an operator's commands for nodes on other machines."""

    def __init__(self, log_folder: Path, names: list[str], commands: ProcessCommands) -> None:
        super().__init__(log_folder)
        self.names = names
        self.commands = commands

    def start_ticks(self, pid: int) -> int:
        """Return that it is not known."""
        return UNKNOWN_START

    def is_alive(self, node: int, known: ProcessIdentity | None) -> bool | Deferred[bool]:
        """Ask the operator's command; only a plain 1 says that no process is there.

        Where nobody knows, a node may be serving.
        """
        if known is None or not known.pid:
            return False
        return deferToThread(lambda: self._run(self.commands.alive, node, known) != NO_PROCESS)

    def is_starting(self, node: int, known: ProcessIdentity | None) -> bool:
        """Return False: the command that starts a node there may end long before the node, and well."""
        return False

    def has_exited(self, node: int) -> bool:
        """Whether the command that starts the node has failed."""
        child = self.children.get(node)
        return child is not None and bool(child.poll())

    def kill(self, node: int, known: ProcessIdentity | None) -> None:
        """Run the operator's command that kills the process."""
        if known is not None and known.pid:
            deferToThread(self._run, self.commands.kill, node, known)

    def _run(self, command: str, node: int, known: ProcessIdentity) -> int:
        """Return the command's exit code; COMMAND_FAILED where it could not be run or did not end in time."""
        words = shlex.split(command.format(name=self.names[node], pid=known.pid))
        try:
            done = subprocess.run(
                words, stdin=subprocess.DEVNULL, capture_output=True, timeout=COMMAND_TIMEOUT
            )
        except (OSError, subprocess.SubprocessError):
            return COMMAND_FAILED
        return done.returncode


def make_supervisor(sheet: RolloutPlanConfig, base: Path) -> ProcessSupervisor:
    """Make the supervisor that a plan asks for; logs of nodes that it starts go to the plan's folder."""
    if sheet.processes:
        return RemoteSupervisor(base, [node.name for node in sheet.nodes], sheet.processes)
    return ProcessSupervisor(base)
