"""One relay node as a process, whose system calls and clock fail on demand."""

import json
import os
import shlex
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from myrtlehub.lab.fault_soak.fleet_settings import HOST, platform_settings
from myrtlehub.lab.fault_soak.records import NodeExit, RunRecords
from myrtlehub.lab.interfaces import Reactor
from myrtlehub.lab.processes import free_ports

LAUNCHER = "myrtlehub.lab.fault_soak.fault_launcher"
RELAY = "myrtlehub.relay"
IGNORE_HANGUP = "trap '' HUP; exec "  # as `run` of the deploy file does, until the program can hear it
POLL_INTERVAL_S = 0.03
ACCEPTS_AFTER_TERM_S = 0.25  # for which clients still come after SIGTERM
DESCRIPTORS = 256


class NodeProcess:
    """Starts a node, ends it, starts it again; `program` is the module that is run."""

    def __init__(
        self,
        reactor: Reactor,
        number: int,
        node_count: int,
        folder: Path,
        discovery: list[str],
        records: RunRecords,
        program: str = RELAY,
    ) -> None:
        self.reactor = reactor
        self.number = number
        self.folder = folder
        self.records = records
        self.program = program
        self.address = f"{HOST}:{free_ports(1)[0]}"
        self._discovery = discovery
        self._discovery_position = 0
        self._settings = platform_settings(node_count, number)
        self._process: subprocess.Popen | None = None
        self._starts = 0
        self._faults: dict[str, Any] = {}
        self._terminated_at: float | None = None
        self._was_killed = False
        self._restarts = True
        folder.mkdir(parents=True)
        self._write_config()
        self.set_faults()

    def _write_config(self) -> None:
        config = {
            "name": f"n{self.number}",
            "listen": self.address,
            "discovery": self._discovery[self._discovery_position],
            "seed": "7",
            "limits": {"sockets": DESCRIPTORS},
            "settings": self._settings,
        }
        self._replace("config.json", config)

    def _replace(self, name: str, content: dict[str, Any]) -> None:
        written = self.folder / f"{name}.new"
        written.write_text(json.dumps(content))
        written.replace(self.folder / name)

    def set_faults(self, **faults: Any) -> None:  # noqa: ANN401
        """Change the faults of its system calls; None ends one."""
        self._faults.update(faults)
        self._replace(
            "faults.json", {name: value for name, value in self._faults.items() if value is not None}
        )

    def cut_off(self, address: str, is_cut_off: bool) -> None:
        """Let no connection to an address come up, or let them again."""
        unreachable = set(self._faults.get("unreachable", ()))
        unreachable = unreachable | {address} if is_cut_off else unreachable - {address}
        self.set_faults(unreachable=sorted(unreachable))

    def start(self) -> None:
        """Start the process, and watch it from then on."""
        self._starts += 1
        self._terminated_at = None
        self._was_killed = False
        environment = {
            **os.environ,
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "FAULT_SEED": str(self.number),
        }
        command = [sys.executable, "-m", LAUNCHER, str(self.folder / "faults.json"), self.program]
        argv = ["/bin/sh", "-c", IGNORE_HANGUP + shlex.join(command)]
        with (
            (self.folder / f"log.{self._starts}").open("wb") as log,
            (self.folder / f"errors.{self._starts}").open("wb") as errors,
        ):
            self._process = subprocess.Popen(argv, env=environment, stdout=log, stderr=errors)
        self.reactor.callLater(POLL_INTERVAL_S, self._poll, self._process)

    def _poll(self, process: subprocess.Popen) -> None:
        code = process.poll()
        if code is None:
            self.reactor.callLater(POLL_INTERVAL_S, self._poll, process)
            return
        errors = (self.folder / f"errors.{self._starts}").read_text(errors="replace")
        if not self._was_killed or errors:
            was_asked = self._terminated_at is not None or self._was_killed
            code = 0 if self._was_killed else code
            self.records.exits.append(NodeExit(self.number, time.monotonic(), code, was_asked, errors))
        if self._restarts:
            self.start()

    @property
    def is_running(self) -> bool:
        """Whether the process is there."""
        return self._process is not None and self._process.poll() is None

    def address_for_clients(self) -> str | None:
        """Return where clients go; None while the front in front of it sends none."""
        if not self.is_running or not self._is_ready():
            return None
        ended = self._terminated_at is not None
        is_gone = ended and time.monotonic() > self._terminated_at + ACCEPTS_AFTER_TERM_S
        return None if is_gone else self.address

    def _is_ready(self) -> bool:
        return (self.folder / f"log.{self._starts}").stat().st_size > 0

    def signal(self, name: str) -> None:
        """Send a signal, by its name without SIG."""
        if self.is_running:
            self._process.send_signal(signal.Signals[f"SIG{name}"])

    def terminate(self, restarts: bool = True) -> None:
        """Ask it to end; a new process follows unless this is the end of the run."""
        self._restarts = restarts
        if self._terminated_at is None:
            self._terminated_at = time.monotonic()
        self.signal("TERM")

    def kill(self) -> None:
        """End it at once."""
        self._was_killed = True
        self.signal("KILL")

    def move_discovery(self) -> None:
        """Have it follow discovery at the other address, and tell it three times."""
        for _ in range(3):
            self._discovery_position = 1 - self._discovery_position
            self._write_config()
            self.signal("HUP")

    def logged(self) -> list[dict[str, Any]]:
        """Return what all its processes have logged."""
        texts = (path.read_text(errors="replace") for path in sorted(self.folder.glob("log.*")))
        lines = (line for text in texts for line in text.splitlines())
        return [json.loads(line) for line in lines if line.startswith("{") and line.endswith("}")]
