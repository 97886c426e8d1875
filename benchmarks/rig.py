"""What the benchmarks share: engines and nodes as processes on loopback, and a run of the reactor."""

import os
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

from ruamel.yaml import YAML
from twisted.internet import reactor
from twisted.internet.defer import Deferred

from myrtlehub.node.clock import SteadyClock

CLOCK = SteadyClock(reactor)


class Processes:
    """Programs of ours, their files and logs in one folder."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.running: list[subprocess.Popen] = []

    def start(self, program: str, name: str, tree: dict, cwd: str = ".") -> subprocess.Popen:
        """Start one, from the checkout in `cwd`, and wait until it is ready."""
        path, log = self.folder / f"{name}.yaml", self.folder / f"{name}.log"
        with path.open("w") as file:
            YAML(typ="safe").dump(tree, file)
        process = subprocess.Popen(
            [sys.executable, "-m", f"myrtlehub.cli.{program}", path],
            stdout=log.open("wb"),
            stderr=subprocess.STDOUT,
            cwd=cwd,
            env={**os.environ, "PYTHONPATH": os.path.abspath(cwd)},
        )
        self.running.append(process)
        while b'"ready"' not in log.read_bytes():
            if process.poll() is not None:
                raise SystemExit(log.read_text())
        return process

    def stop(self) -> None:
        """End all, the last first."""
        for process in reversed(self.running):
            process.terminate()
            process.wait(20)


def play(run: Callable[[], Deferred]) -> None:
    """Run the reactor until it is done; what went wrong is shown, and exit 1."""
    failures: list = []
    reactor.callWhenRunning(lambda: run().addErrback(failures.append).addBoth(lambda ignored: reactor.stop()))
    reactor.run()
    if failures:
        failures[0].printTraceback()
        sys.exit(1)
