"""Starts nodes and emulated engines on loopback for `rollout.py` and `takeover.py`; figures are simulated."""

import subprocess
import sys
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

# Settings that the nodes of both examples have; the fields in braces are of `str.format`.
FLEET_SETTINGS = """
kinds:
  - {{name: reader, reads: yes, memory: 200k tokens}}
  - {{name: writer, writes: yes, memory: 200k tokens}}
zones: [north]
rules:
  {{drain_grace: 250ms, let_go: 500ms, cold_share: 0.25, cold_time: 8s, fall_multiple: 2.5, fall_time: 1s}}
list:
  engines:
    - {{address: "127.0.0.1:{reader_port}", kind: reader, zone: north}}
    - {{address: "127.0.0.1:{writer_port}", kind: writer, zone: north}}
"""


class LocalPrograms:
    """Processes of nodes and emulated engines, with their settings files in one folder."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._processes: list[subprocess.Popen[str]] = []

    def start_engine(self, task: str, port: int, settings: str) -> None:
        """Start an emulated engine with a task, `reads` or `writes`, and further settings as YAML."""
        path = self.folder / f"{task}.yaml"
        path.write_text(f"{{name: {task}, listen: '127.0.0.1:{port}', {task}: yes, {settings}}}\n")
        self._start("myrtlehub.cli.emulator", path)

    def start_node(self, name: str, settings: str) -> subprocess.Popen[str]:
        """Start a node with the text of its settings file; return its process."""
        path = self.folder / f"{name}.yaml"
        path.write_text(settings)
        return self._start("myrtlehub.cli.node", path)

    def _start(self, module: str, path: Path) -> subprocess.Popen[str]:
        """Start a program, and wait until it logs that it is ready."""
        process = subprocess.Popen(
            [sys.executable, "-m", module, str(path)], stdout=subprocess.PIPE, text=True
        )
        self._processes.append(process)
        output = process.stdout
        if output is not None:
            for line in output:
                if '"ready"' in line:
                    break
            # The rest of the log is read and discarded: the program would block once the pipe is full.
            threading.Thread(target=output.read, daemon=True).start()
        return process

    def end(self) -> None:
        """Send SIGTERM to all processes, the last started first, and wait until they have exited."""
        for process in reversed(self._processes):
            process.terminate()
            process.wait()


@contextmanager
def local_programs(folder: Path) -> Iterator[LocalPrograms]:
    """Yield the programs of a folder, and end them afterwards."""
    programs = LocalPrograms(folder)
    try:
        yield programs
    finally:
        programs.end()
