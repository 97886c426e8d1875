"""The control file of a fault launcher, as a test drives it."""

import json
import sys
from pathlib import Path

from socketrig import wait_for_file


class FaultControlFile:
    """System calls of one process, which fail from one moment to another."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "faults.json"
        self.injected_path = folder / "faults.json.injected"
        self.injected_path.touch()
        self.set()

    def set(self, **faults: object) -> None:
        """Have these calls fail from now on, and no others; the file is replaced whole."""
        written = self.path.with_suffix(".new")
        written.write_text(json.dumps(faults))
        written.replace(self.path)

    def argv(self) -> list[str]:
        """Return what starts a relay whose calls fail so."""
        launcher = "myrtlehub.lab.fault_soak.fault_launcher"
        return [sys.executable, "-m", launcher, str(self.path), "myrtlehub.relay"]

    def injected_count(self, call: str) -> int:
        """Return how many of these calls failed so far."""
        return self.injected_path.read_text().count(f"{call} ")

    def wait_for_injected(self, call: str, count: int) -> None:
        """Wait until so many of these calls have failed."""
        wait_for_file(lambda: str(self.injected_path), lambda text: text.count(f"{call} ") >= count)
