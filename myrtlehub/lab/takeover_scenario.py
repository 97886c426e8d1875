"""A scenario in which nodes are lost and others take over their in-flight sequences."""

import json
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from statistics import quantiles

from myrtlehub.lab.client_load import ClientLoad
from myrtlehub.lab.processes import LogLine
from myrtlehub.lab.scenario_file import TakeoverScenarioConfig
from myrtlehub.lab.scenario_runner import ScenarioRunner
from myrtlehub.lab.simulated_clients.chat_clients import ChatClients
from myrtlehub.lab.takeover_fleet import TakeoverFaults, TakeoverFleet
from myrtlehub.lab.verdict_format import TakeoverFigures, Verdict
from myrtlehub.lab.verdict_text import verdict_text
from myrtlehub.log_events import LogEvent

TAKEOVER_EVENT = f'"event":"{LogEvent.TAKEOVER_DECIDED}"'  # as a line of a node's log has it


class NoTakeoverError(ValueError):
    """A scenario without takeover was to be played as one with takeover."""

    def __init__(self) -> None:
        super().__init__("the scenario has no group `takeover`")


class TakeoverRunner(ScenarioRunner):
    """Plays one scenario with takeover."""

    fleet: TakeoverFleet

    def make_fleet(self) -> TakeoverFleet:
        """Return the fleet, whose processes do not run yet."""
        return TakeoverFleet(self.context, _takeover_of(self))

    def make_faults(self) -> TakeoverFaults:
        """Return what begins and ends the faults of the scenario."""
        return TakeoverFaults(self.context, self.fleet)

    def verdict(self, load: ClientLoad) -> Verdict:
        """Return violations of rules, and figures, with the outcomes of sequences of lost nodes."""
        verdict = super().verdict(load)
        self.fleet.proxies.close()
        verdict["takeover"] = _takeover_figures(load.chat, self.context.folder)
        return verdict


def _takeover_of(runner: ScenarioRunner) -> TakeoverScenarioConfig:
    takeover = runner.context.scenario.takeover
    if takeover is None:
        raise NoTakeoverError
    return takeover


def _takeover_figures(clients: ChatClients, folder: Path) -> TakeoverFigures:
    lost: dict[str, dict[str, int]] = {}
    for (semantics, stage, answer), count in sorted(clients.lost.items()):
        lost.setdefault(f"{semantics}, {stage}", {})[answer] = count
    pauses = sorted(clients.stream_gaps)
    percentiles = quantiles(pauses, n=100) if len(pauses) > 1 else [0.0] * 99
    decisions: Counter[str] = Counter()
    seconds_to_records = []
    seconds_to_claims = []
    for line in _takeover_lines(folder):
        if "action" in line:
            decisions[line["action"]] += 1
            seconds_to_records.append(line["requested_after_s"])
            seconds_to_claims.append(line["duration_s"])
    return {
        "lost": lost,
        "came_back": len(pauses),
        "pause": {"p50": round(percentiles[49], 3), "p99": round(percentiles[98], 3)},
        "does": dict(sorted(decisions.items())),
        "records_p99": _p99(seconds_to_records),
        "claimed_p99": _p99(seconds_to_claims),
    }


def _takeover_lines(folder: Path) -> Iterator[LogLine]:
    for path in sorted(folder.glob("node-*.log")):
        for line in path.read_text(errors="replace").splitlines():
            if TAKEOVER_EVENT in line:
                yield json.loads(line)


def _p99(values: list[float]) -> float:
    return round(quantiles(values, n=100)[98], 4) if len(values) > 1 else 0.0


def takeover_text(verdict: Verdict) -> str:
    """Return the verdict as lines of text, the outcomes of lost sequences last."""
    figures = verdict["takeover"]
    pause = figures["pause"]
    lines = [verdict_text(verdict)]
    lines.append(
        f"sequences in flight at a loss, of which {figures['came_back']} were resumed after a pause of "
        f"p50 {pause['p50']:.2f} s, p99 {pause['p99']:.2f} s for their clients"
    )
    for group, answers in figures["lost"].items():
        counts = ", ".join(f"{answer} {count}" for answer, count in sorted(answers.items()))
        lines.append(f"  {group}: {counts}")
    decisions = ", ".join(f"{decision} {count}" for decision, count in figures["does"].items())
    lines.append(f"nodes that took over: {decisions}")
    return "\n".join(lines)
