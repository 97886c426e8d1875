"""A scenario in which nodes are lost and others take over their in-flight sequences."""

import json
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from statistics import quantiles
from typing import Any

from myrtlehub.lab.fault_proxy import Direction, FaultProxy
from myrtlehub.lab.fault_scheduler import FaultScheduler
from myrtlehub.lab.fleet_layout import ZONE, FleetLayout
from myrtlehub.lab.interfaces import Reactor
from myrtlehub.lab.process_files import ProcessFiles
from myrtlehub.lab.processes import HOST, Process, free_ports
from myrtlehub.lab.scenario_file import CUT_OFF, PEER_FAULTS, FaultConfig
from myrtlehub.lab.scenario_runner import ScenarioRunner
from myrtlehub.lab.verdict import Verdict, verdict_text
from myrtlehub.log_events import LogEvent
from myrtlehub.node.clock import SteadyClock

DRAIN_WITHIN = "5s"
TAKEOVER_EVENT = f'"event":"{LogEvent.TAKEOVER_DECIDED}"'  # as it stands in a line of a node's log


class PeerProxies:
    """A fault proxy from each node to each other one; clients and engines reach nodes directly."""

    def __init__(self, reactor: Reactor, layout: FleetLayout) -> None:
        ports = free_ports(len(layout.nodes))
        self.addresses = {node: f"{HOST}:{port}" for node, port in zip(layout.nodes, ports, strict=True)}
        self._reactor = reactor
        self._proxies: dict[tuple[str, str], FaultProxy] = {}  # by the node that dials, and the other

    def address_for(self, node: str, peer: str) -> str:
        """Return at what address a node reaches a peer; itself without a proxy."""
        if node == peer:
            return self.addresses[peer]
        if (node, peer) not in self._proxies:
            self._proxies[node, peer] = FaultProxy(self._reactor, self.addresses[peer]).listen()
        return self._proxies[node, peer].address

    def cut_off(self, name: str) -> None:
        """Stall both directions between a node and all others."""
        for nodes, proxy in self._proxies.items():
            if name in nodes:
                proxy.stall()

    def cut_out(self, name: str) -> None:
        """Stall what a node sends to others; it hears them still."""
        for (node, peer), proxy in self._proxies.items():
            if node == name:
                proxy.stall(Direction.FORWARD)
            elif peer == name:
                proxy.stall(Direction.BACKWARD)

    def restore_later(self, name: str, clock: SteadyClock, seconds: float) -> None:
        """End the faults between a node and all others after so many seconds."""
        for nodes, proxy in self._proxies.items():
            if name in nodes:
                clock.callLater(seconds, proxy.restore)

    def close(self) -> None:
        """Close all proxies."""
        for proxy in self._proxies.values():
            proxy.close()


class TakeoverFiles(ProcessFiles):
    """Files of a fleet with takeover."""

    proxies: PeerProxies  # set by the runner, which has them once the fleet is laid out

    def node_file(self, name: str) -> dict:
        """Return the file of a node, with its peers."""
        tree = super().node_file(name)
        takeover = self._scenario.takeover
        if not takeover.on:
            return tree
        tree["node"]["drain_within"] = DRAIN_WITHIN
        tree["engines_may"] = {"claims": takeover.claims}
        tree["takeover"] = {
            "listen": self.proxies.addresses[name],
            "copies": takeover.copies,
            "comes_back": f"{takeover.comes_back}s",
            "peers": [
                {"name": peer, "zone": ZONE, "address": self.proxies.address_for(name, peer)}
                for peer in self._layout.nodes
            ],
        }
        return tree

    def engine_file(self, name: str, incarnation: int, is_cold: bool) -> dict:
        """Return the file of an emulated engine, whose streams outlive their node."""
        tree = super().engine_file(name, incarnation, is_cold)
        takeover = self._scenario.takeover
        if takeover.on and takeover.claims:
            tree["stream_bound"] = f"{takeover.stream_bound}s"
        return tree


class TakeoverFaults(FaultScheduler):
    """Faults of a fleet with takeover."""

    def begin_node_fault(self, fault: FaultConfig, name: str) -> None:
        """Begin a fault of a node; some cut it off from others."""
        if fault.do not in PEER_FAULTS:
            super().begin_node_fault(fault, name)
            return
        proxies = self.runner.proxies
        if fault.do == CUT_OFF:
            proxies.cut_off(name)
        else:
            proxies.cut_out(name)
        self.runner.recorder.note("cut", who=name, how=fault.do, lasts=fault.lasts)
        proxies.restore_later(name, self.runner.clock, fault.lasts)


class TakeoverRunner(ScenarioRunner):
    """Plays one scenario with takeover."""

    files_class = TakeoverFiles
    faults_class = TakeoverFaults

    def __init__(self, *args: Any, **options: Any) -> None:  # noqa: ANN401
        super().__init__(*args, **options)
        self.proxies = PeerProxies(self.reactor, self.layout)
        self.files.proxies = self.proxies

    def on_process_end(self, process: Process) -> None:
        """Note an end that was not expected; a node that was told to leave has a successor."""
        if process.exit_code != 0:
            super().on_process_end(process)

    def verdict(self) -> Verdict:
        """Return rules and figures, with what became of sequences of lost nodes."""
        verdict = super().verdict()
        self.proxies.close()
        verdict["takeover"] = {**self._client_figures(), **_node_figures(self.folder)}
        return verdict

    def _client_figures(self) -> dict:
        lost: dict[str, dict[str, int]] = {}
        for (repeats, stage, answer), count in sorted(self.clients.lost.items()):
            lost.setdefault(f"{repeats}, {stage}", {})[answer] = count
        pauses = sorted(self.clients.stream_gaps)
        percentiles = quantiles(pauses, n=100) if len(pauses) > 1 else [0.0] * 99
        return {
            "lost": lost,
            "came_back": len(pauses),
            "pause": {"p50": round(percentiles[49], 3), "p99": round(percentiles[98], 3)},
        }


def _node_figures(folder: Path) -> dict:
    decisions: Counter[str] = Counter()
    asked_seconds = []
    total_seconds = []
    for line in _takeover_lines(folder):
        if "action" in line:
            decisions[line["action"]] += 1
            asked_seconds.append(line["requested_after_s"])
            total_seconds.append(line["duration_s"])
    return {
        "does": dict(sorted(decisions.items())),
        "records_p99": _p99(asked_seconds),
        "claimed_p99": _p99(total_seconds),
    }


def _takeover_lines(folder: Path) -> Iterator[dict]:
    for path in sorted(folder.glob("node-*.log")):
        for line in path.read_text(errors="replace").splitlines():
            if TAKEOVER_EVENT in line:
                yield json.loads(line)


def _p99(values: list[float]) -> float:
    return round(quantiles(values, n=100)[98], 4) if len(values) > 1 else 0.0


def takeover_text(verdict: Verdict) -> str:
    """Return the verdict for people, what became of lost sequences last."""
    figures = verdict["takeover"]
    pause = figures["pause"]
    lines = [verdict_text(verdict)]
    lines.append(
        f"work in hand at a loss, {figures['came_back']} streams went on; the pause that clients saw: "
        f"p50 {pause['p50']:.2f} s, p99 {pause['p99']:.2f} s"
    )
    for what, answers in figures["lost"].items():
        counts = ", ".join(f"{answer} {count}" for answer, count in sorted(answers.items()))
        lines.append(f"  {what}: {counts}")
    decisions = ", ".join(f"{decision} {count}" for decision, count in figures["does"].items())
    lines.append(f"nodes that took over: {decisions}")
    return "\n".join(lines)
