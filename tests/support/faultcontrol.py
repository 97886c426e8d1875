"""Writes the control file of a fault launcher for a test."""

import json
import sys
from pathlib import Path

from socketrig import wait_for_file


class FaultControlFile:
    """The control file by which a test makes system calls of one process fail."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "faults.json"
        self.injected_path = folder / "faults.json.injected"
        self.injected_path.touch()
        self.set()

    def set(self, **faults: object) -> None:
        """Make just these calls fail from now on; the file is replaced atomically."""
        written = self.path.with_suffix(".new")
        written.write_text(json.dumps(faults))
        written.replace(self.path)

    def argv(self) -> list[str]:
        """Return the command that starts a relay under this control file."""
        launcher = "myrtlehub.lab.fault_soak.fault_launcher"
        return [sys.executable, "-m", launcher, str(self.path), "myrtlehub.relay"]

    def injected_count(self, call: str) -> int:
        """Return how many of these calls have failed so far."""
        return self.injected_path.read_text().count(f"{call} ")

    def wait_for_injected(self, call: str, count: int) -> None:
        """Wait until `count` of these calls have failed."""
        wait_for_file(lambda: str(self.injected_path), lambda text: text.count(f"{call} ") >= count)
