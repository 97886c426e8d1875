"""Helpers for benchmarks: engines and nodes as processes on loopback, channels, and a run of the reactor."""

import os
import subprocess
import sys
from collections.abc import Callable, Generator
from pathlib import Path
from typing import Any, TypeAlias, TypeVar

from ruamel.yaml import YAML
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from myrtlehub.lab.processes import HOST, free_ports
from myrtlehub.node.clock import MonotonicClock
from myrtlehub.rpc.channel import Channel

CLOCK = MonotonicClock(reactor)
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
STOP_TIMEOUT = 20  # seconds
CONNECT_TIMEOUT = 30  # seconds

Result = TypeVar("Result")
Steps: TypeAlias = Generator["Deferred[Any]", Any, Result]  # the body of an `inlineCallbacks` function
Connect: TypeAlias = Callable[[Factory], "Deferred[Any]"]  # connects a protocol factory to one address
Settings: TypeAlias = dict[str, Any]  # of a program, with the keys of its YAML

NODE_RULES = {
    "drain_grace": "250ms",
    "let_go": "500ms",
    "cold_share": 0.25,
    "cold_time": "10s",
    "fall_multiple": 2.5,
    "fall_time": "1s",
}


class Processes:
    """Child processes of this project's programs, with their settings and logs in one folder."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.running: list[subprocess.Popen[bytes]] = []

    def start(
        self, program: str, name: str, settings: Settings, checkout: str = "."
    ) -> subprocess.Popen[bytes]:
        """Start a program of a checkout and wait until it is ready."""
        path = self.folder / f"{name}.yaml"
        log = self.folder / f"{name}.log"
        with path.open("w") as file:
            YAML(typ="safe").dump(settings, file)
        process = subprocess.Popen(
            [sys.executable, "-m", f"myrtlehub.cli.{program}", path],
            stdout=log.open("wb"),
            stderr=subprocess.STDOUT,
            cwd=checkout,
            env={**os.environ, "PYTHONPATH": str(Path(checkout).resolve())},
        )
        self.running.append(process)
        while b'"ready"' not in log.read_bytes():
            if process.poll() is not None:
                raise SystemExit(log.read_text())
        return process

    def stop(self) -> None:
        """Stop all processes in reverse order of their start."""
        for process in reversed(self.running):
            process.terminate()
            process.wait(STOP_TIMEOUT)


def fast_writer_settings(name: str, address: str, step: str, slots: int) -> Settings:
    """Return the settings of an emulated writer that is never the bottleneck of a measurement."""
    return {
        "name": name,
        "listen": address,
        "writes": True,
        "slots": slots,
        "queue": 5000,
        "step": step,
        "step_crowd": 0.0,
        "read_rate": 10000000,
        "memory": "100M tokens",
    }


def writer_pool_settings(engines: list[str]) -> Settings:
    """Return the part of a node's settings that describes a pool of such writers."""
    return {
        "kinds": [{"name": "writer", "writes": True, "memory": "100M tokens"}],
        "zones": ["z"],
        "rules": NODE_RULES,
        "list": {"engines": [{"address": address, "kind": "writer", "zone": "z"} for address in engines]},
    }


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses with ports that are free at present."""
    return [f"{HOST}:{port}" for port in free_ports(count)]


def cpu_seconds(pid: int) -> float:
    """Return the CPU seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    user_ticks, system_ticks = int(fields[11]), int(fields[12])
    return (user_ticks + system_ticks) / CLOCK_TICKS_PER_SECOND


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    raise RuntimeError(f"process {pid} has no VmRSS")


def open_channel(address: str) -> Channel:
    """Return a channel to an address, over TCP."""
    return Channel(CLOCK, connect_to(address), address)


def connect_to(address: str) -> Connect:
    """Return the function that connects a protocol factory to an address."""
    host, port = address.rsplit(":", 1)
    endpoint = TCP4ClientEndpoint(reactor, host, int(port), timeout=CONNECT_TIMEOUT)

    def connect(factory: Factory) -> "Deferred[Any]":
        return endpoint.connect(factory)  # type: ignore[arg-type] # mypy does not read zope's interfaces

    return connect


def run_reactor(benchmark: Callable[[], "Deferred[Any]"]) -> None:
    """Run the reactor until the benchmark is done; show a failure and exit 1."""
    failures: list[Failure] = []

    def stop(result: object) -> None:
        if isinstance(result, Failure):
            failures.append(result)
        reactor.stop()  # type: ignore[misc] # Twisted declares the method as an attribute

    def start() -> None:
        benchmark().addBoth(stop)

    reactor.callWhenRunning(start)
    reactor.run()  # type: ignore[misc] # as above
    if failures:
        failures[0].printTraceback()  # type: ignore[no-untyped-call] # Twisted has no annotation
        sys.exit(1)
