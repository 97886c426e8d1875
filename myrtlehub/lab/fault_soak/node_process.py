"""One relay node as a process, with injected faults of system calls and clock."""

import os
import shlex
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec

from myrtlehub.lab.fault_soak.fault_control import CallFaults, write_atomically
from myrtlehub.lab.fault_soak.fleet_settings import HOST, platform_settings
from myrtlehub.lab.fault_soak.records import NodeExit, NodeShutdown, RunRecords
from myrtlehub.lab.interfaces import Reactor
from myrtlehub.lab.processes import LogLine, free_ports
from myrtlehub.platform_settings import earliest_kill_delay

LAUNCHER = "myrtlehub.lab.fault_soak.fault_launcher"
RELAY = "myrtlehub.relay"
# As in the `run` command of the deploy file: SIGHUP is ignored until the program has installed its handler.
IGNORE_HANGUP = "trap '' HUP; "
POLL_INTERVAL_S = 0.03
CLIENTS_AFTER_TERM_S = 0.25  # in which new clients still connect after SIGTERM
DESCRIPTOR_LIMIT = 256
LAUNCHER_DESCRIPTORS = 8  # that the launcher needs beside those of the node
RELOAD_COUNT = 3


def _ignore_termination(node: int) -> None:
    """Do nothing: no callback is set."""


class NodeProcess:
    """Starts a node, and starts it again whenever its process has exited.

    Args:
        reactor: Reactor of the driver.
        number: Number of the node.
        node_count: Number of nodes in the fleet.
        folder: Folder for the files of the node, which is created.
        discovery_addresses: The two addresses of its discovery agent.
        records: Where exits are recorded.
        deadline_s: Deadline of all traffic types in seconds.
        program: Module that is run as the node.

    Attributes:
        number: Number of the node.
        address: Where clients connect, HOST:PORT.
        call_faults: The active faults of system calls and clock; see `set_call_faults`.
        on_terminated: Called with the number of the node just after the first SIGTERM to a process.
    """

    def __init__(
        self,
        reactor: Reactor,
        number: int,
        node_count: int,
        folder: Path,
        discovery_addresses: list[str],
        records: RunRecords,
        deadline_s: float,
        program: str = RELAY,
    ) -> None:
        self.reactor = reactor
        self.number = number
        self.folder = folder
        self.records = records
        self.program = program
        self.address = f"{HOST}:{free_ports(1)[0]}"
        self.call_faults = CallFaults()
        self.on_terminated: Callable[[int], None] = _ignore_termination
        self._discovery_addresses = discovery_addresses
        self._discovery_position = 0
        self._settings = platform_settings(node_count, number, deadline_s)
        self._process: subprocess.Popen[bytes] | None = None
        self._start_count = 0
        self._terminated_at: float | None = None
        self._was_killed = False
        self._restarts = True
        folder.mkdir(parents=True)
        self._write_config()
        self.set_call_faults(self.call_faults)

    def _write_config(self) -> None:
        config = {
            "name": f"n{self.number}",
            "listen": self.address,
            "discovery": self._discovery_addresses[self._discovery_position],
            "seed": "7",
            "limits": {"sockets": DESCRIPTOR_LIMIT},
            "settings": self._settings,
        }
        write_atomically(self.folder / "config.json", config)

    def set_call_faults(self, faults: CallFaults) -> None:
        """Replace the active faults of system calls and clock."""
        self.call_faults = faults
        write_atomically(self.folder / "faults.json", faults)

    def set_reachable(self, address: str, is_reachable: bool) -> None:
        """Let the node connect to an address, or let no connection to it be established."""
        unreachable = set(self.call_faults.unreachable)
        unreachable = unreachable - {address} if is_reachable else unreachable | {address}
        self.set_call_faults(
            msgspec.structs.replace(self.call_faults, unreachable=tuple(sorted(unreachable)))
        )

    def start(self) -> None:
        """Start the process, and poll for its exit."""
        self._start_count += 1
        self._terminated_at = None
        self._was_killed = False
        environment = {
            **os.environ,
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "FAULT_SEED": str(self.number),
            "RELAY_LOG": "all",
        }
        command = [sys.executable, "-m", LAUNCHER, str(self.folder / "faults.json"), self.program]
        limit = f"ulimit -n {DESCRIPTOR_LIMIT + LAUNCHER_DESCRIPTORS}; exec "
        argv = ["/bin/sh", "-c", IGNORE_HANGUP + limit + shlex.join(command)]
        with self._log_path.open("wb") as log, self._errors_path.open("wb") as errors:
            process = subprocess.Popen(argv, env=environment, stdout=log, stderr=errors)
        self._process = process
        self.reactor.callLater(POLL_INTERVAL_S, self._poll, process)

    @property
    def _log_path(self) -> Path:
        return self.folder / f"log.{self._start_count}"

    @property
    def _errors_path(self) -> Path:
        return self.folder / f"errors.{self._start_count}"

    def _poll(self, process: subprocess.Popen[bytes]) -> None:
        code = process.poll()
        if code is None:
            self.reactor.callLater(POLL_INTERVAL_S, self._poll, process)
            return
        errors = self._errors_path.read_text(errors="replace")
        if not self._was_killed or errors:
            was_requested = self._terminated_at is not None or self._was_killed
            # SIGTERM may come before the program has its handler. It has logged and accepted nothing then.
            ended_at_start = code == -signal.SIGTERM and self._log_path.stat().st_size == 0
            code = 0 if self._was_killed or (was_requested and ended_at_start) else code
            self.records.exits.append(NodeExit(self.number, time.monotonic(), code, was_requested, errors))
        if self._restarts:
            self.start()

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def address_for_clients(self) -> str | None:
        """Return the node's address; None while the load balancer in front of it would send it no clients."""
        has_started = self.is_running and self._log_path.stat().st_size > 0
        is_removed = (
            self._terminated_at is not None and time.monotonic() > self._terminated_at + CLIENTS_AFTER_TERM_S
        )
        return self.address if has_started and not is_removed else None

    def signal(self, signal_number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self._process is not None and self.is_running:
            self._process.send_signal(signal_number)

    def terminate(self, restarts: bool = True) -> None:
        """Send SIGTERM; `restarts`: a new process is started once this one has exited."""
        self._restarts = restarts
        if self._terminated_at is None and self._process is not None and self.is_running:
            self._terminated_at = time.monotonic()
            shutdown = NodeShutdown(self.number, self._terminated_at)
            self.records.shutdowns.append(shutdown)
            delay = earliest_kill_delay(self._settings)
            self.reactor.callLater(delay, self._kill_unless_ended, self._process, shutdown)
            self.reactor.callLater(0.0, self.on_terminated, self.number)
        self.signal(signal.SIGTERM)

    def _kill_unless_ended(self, process: subprocess.Popen[bytes], shutdown: NodeShutdown) -> None:
        """Kill a process that got SIGTERM, at the earliest instant at which the platform may."""
        if process.poll() is None:
            shutdown.killed_at = time.monotonic()
            self._was_killed = True
            process.kill()

    def kill(self) -> None:
        """Send SIGKILL."""
        self._was_killed = True
        self.signal(signal.SIGKILL)

    def reload(self) -> None:
        """Change the discovery address in the configuration and send SIGHUP, several times in a row."""
        for _ in range(RELOAD_COUNT):
            self._discovery_position = 1 - self._discovery_position
            self._write_config()
            self.signal(signal.SIGHUP)

    def lines_about(self, text: str, max_lines: int) -> list[str]:
        """Return the last lines of this node's logs that contain a text, each after the name of its file."""
        lines = [
            f"n{self.number}/{path.name}: {line}"
            for path in sorted(self.folder.glob("log.*"))
            for line in path.read_text(errors="replace").splitlines()
            if text in line
        ]
        return lines[-max_lines:]

    def log_lines(self) -> Iterator[LogLine]:
        """Yield the log lines of all processes so far, in the order of their starts by file name."""
        for path in sorted(self.folder.glob("log.*")):
            for line in path.read_text(errors="replace").splitlines():
                if line.startswith("{") and line.endswith("}"):
                    yield msgspec.json.decode(line)
