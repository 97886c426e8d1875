"""Canary analysis of rollouts on a modelled fleet, beside simpler methods. Simulated.

    python benchmarks/canary_methods.py [--seeds 1000] [--out docs/charts]

Measures false stops, detection and lost utility in `lab/fleet_model`, with sample windows of 5 s. Each cell
plays complete rollouts: a baseline of 24 windows, then four stages (2, 10, 40, 100 per cent). A stage changes
8 per cent of the fleet at a time, warms up for 2 windows and is observed for 12. Disturbed rollouts also have
an engine failure in one zone and a burst over all zones, at random times. Prints Markdown; writes charts.
"""

import argparse
import os
from concurrent.futures import ProcessPoolExecutor
from functools import reduce
from pathlib import Path
from statistics import median
from typing import NamedTuple, Protocol

os.environ.setdefault("OPENBLAS_NUM_THREADS", "1")  # the process pool already uses every core
import numpy as np
from scipy.stats import ttest_ind  # type: ignore[import-untyped] # no stubs are installed

from myrtlehub.lab.fleet_model import Disturbance, FleetModel, Regression, roles_of, stages
from myrtlehub.rollout.canary_analysis import CanaryAnalysis, Outcome
from myrtlehub.rollout.samples import Metric, MetricKey, NodeRole, SampleWindow
from myrtlehub.rollout.statistics import Guard

MEASURE, WARM, WATCH, AWAY_SHARE, HOLD_MOST = 24, 2, 12, 0.08, 60
BLOCK = 5.0
HOUR = 720  # sample windows until an operator notices an unguarded change
GUARDS = (
    Guard(Metric.SERVED, 0.005, -1.0),
    *(Guard(Metric.SERVED, 0.01, -1.0, t) for t in ("ask", "post", "note")),
    Guard(Metric.REJECTED, 0.005),
    Guard(Metric.FIRST_TOKEN, 0.05),
)
HARMS = {
    "equal": Regression(),
    "1% less": Regression(0.01),
    "2% less": Regression(0.02),
    "5% less": Regression(0.05),
    "10% less": Regression(0.1),
    "one type 10% less": Regression(0.1, one_type=True),
    "10% slower": Regression(slower=0.1),
    "30% slower": Regression(slower=0.3),
    "5% less from half on": Regression(0.05, others_from=0.39),
}


class RolloutResult(NamedTuple):
    """The outcome of one rollout."""

    stopped: bool
    stage: int
    blocks: int  # sample windows since the first changed node
    lost: float  # utility lost to the change, as a multiple of the utility offered in one sample window


class Cell(NamedTuple):
    """The rollouts of one method, version and fleet."""

    method: str
    harm: str
    nodes: int
    is_troubled: bool
    results: list[RolloutResult]


class Method(Protocol):
    """Judges a rollout by its sample windows."""

    def __init__(self, zones: list[str]) -> None:
        """Create the judge of a rollout in a fleet with these zones."""

    def add(self, block: SampleWindow) -> None:
        """Add the next sample window."""

    def restart_observation(self) -> None:
        """Begin an observation, which covers only the sample windows added from now on."""

    def start_stage(self) -> None:
        """Begin a stage."""

    def verdict(self) -> Outcome:
        """Return the outcome of the present observation."""


class ThresholdBeforeAfter:
    """Compares changed nodes with the baseline before the change, by a threshold, after an observation."""

    def __init__(self, zones: list[str]) -> None:
        self.blocks: list[SampleWindow] = []
        self.since = 0

    def add(self, block: SampleWindow) -> None:
        """Add the next sample window."""
        self.blocks.append(block)

    def restart_observation(self) -> None:
        """Begin an observation, which covers only the sample windows added from now on."""
        self.since = len(self.blocks)

    def start_stage(self) -> None:
        """Do nothing: the method keeps no state for a stage."""

    def verdict(self) -> Outcome:
        """Return the outcome of the present observation."""
        watched = self.blocks[self.since :]
        if len(watched) < WATCH:
            return Outcome.UNDECIDED
        return Outcome.WORSE if any(self.worse(guard, watched) for guard in GUARDS) else Outcome.PASS

    def worse(self, guard: Guard, watched: list[SampleWindow]) -> bool:
        """Whether the guard's metric is worse on the changed nodes."""
        now = self.share(guard, watched, NodeRole.CHANGED)
        before = self.share(guard, [b for b in self.blocks if b.is_baseline], NodeRole.UNCHANGED)
        return guard.sign * (now - before) >= guard.margin

    def share(self, guard: Guard, blocks: list[SampleWindow], role: int) -> float:
        """Return the guard's metric over all nodes of a role."""
        above = sum(
            b.metrics[MetricKey(guard.metric, guard.traffic)][0][b.roles == role].sum() for b in blocks
        )
        below = sum(
            b.metrics[MetricKey(guard.metric, guard.traffic)][1][b.roles == role].sum() for b in blocks
        )
        return above / below if below else 0.0


class ThresholdConcurrent(ThresholdBeforeAfter):
    """Compares changed with unchanged nodes over the same time, by a threshold."""

    def worse(self, guard: Guard, watched: list[SampleWindow]) -> bool:
        """Whether the guard's metric is worse on the changed nodes."""
        if not (watched[-1].roles == NodeRole.UNCHANGED).any():
            return False
        return (
            guard.sign
            * (self.share(guard, watched, NodeRole.CHANGED) - self.share(guard, watched, NodeRole.UNCHANGED))
            >= guard.margin
        )


class WelchTest(ThresholdBeforeAfter):
    """Welch's t-test over nodes, once after each observation, at a level of 0.01 over all guards."""

    def worse(self, guard: Guard, watched: list[SampleWindow]) -> bool:
        """Whether the guard's metric is worse on the changed nodes."""
        key = MetricKey(guard.metric, guard.traffic)
        above = reduce(np.add, (b.metrics[key][0] for b in watched))
        below = reduce(np.add, (b.metrics[key][1] for b in watched))
        roles = watched[-1].roles
        of = [
            above[(roles == r) & (below > 0)] / below[(roles == r) & (below > 0)]
            for r in (NodeRole.CHANGED, NodeRole.UNCHANGED)
        ]
        if min(map(len, of)) < 2:
            return False
        harm = guard.sign * (of[0].mean() - of[1].mean())
        side = "greater" if guard.sign > 0 else "less"
        if harm < guard.margin:
            return False
        p_value = float(ttest_ind(*of, equal_var=False, alternative=side).pvalue)
        return p_value < 0.01 / len(GUARDS)


class Sequential:
    """The sequential analysis that the rollout controller uses."""

    def __init__(self, zones: list[str]) -> None:
        self.judge = CanaryAnalysis(GUARDS, zones, WATCH)

    def add(self, block: SampleWindow) -> None:
        """Add the next sample window."""
        self.judge.add(block)

    def restart_observation(self) -> None:
        """Begin an observation, which covers only the sample windows added from now on."""
        self.judge.restart_observation()

    def start_stage(self) -> None:
        """Begin a stage."""
        self.judge.start_stage()

    def verdict(self) -> Outcome:
        """Return the outcome of the present observation."""
        return self.judge.verdict().outcome


METHODS: dict[str, type[Method]] = {
    "threshold, before and after": ThresholdBeforeAfter,
    "threshold, beside": ThresholdConcurrent,
    "fixed length, Welch's t": WelchTest,
    "sequential (taken)": Sequential,
}


def troubles_of(seed: int, zones: int) -> tuple[Disturbance, ...]:
    """Draw an engine failure in one zone and a burst over all zones, at random times of the rollout."""
    r = np.random.default_rng(seed + 10**6)
    return (
        Disturbance(int(r.integers(30, 90)), int(r.integers(4, 12)), int(r.integers(zones)), 0.2, 0.35),
        Disturbance(int(r.integers(30, 120)), int(r.integers(2, 6)), None, 0.1, 0.0),
    )


def run_rollout(args: tuple[str, str, int, bool, int]) -> RolloutResult:
    """Run one rollout from its first sample window to its last node, or to its rollback."""
    name, harm, nodes, troubled, seed = args
    zones = 4 if nodes > 50 else 2
    fleet = FleetModel(nodes, zones, seed, BLOCK, HARMS[harm], troubles_of(seed, zones) if troubled else ())
    judge = METHODS[name](fleet.zones)
    for _ in range(MEASURE):
        judge.add(fleet.advance(roles_of(nodes, 0), True))
    asked = fleet.offered / MEASURE
    step, done = max(1, round(nodes * AWAY_SHARE)), 0
    for stage, until in enumerate(stages(nodes)):
        judge.start_stage()
        while done < until:
            judge.add(fleet.advance(roles_of(nodes, done, min(step, until - done))))
            done += min(step, until - done)
        for _ in range(WARM):  # warming nodes are not compared, but their lost utility counts
            block = fleet.advance(roles_of(nodes, done))
            block.roles[:done] = 0
            judge.add(block)
        judge.restart_observation()
        held = 0
        while True:
            judge.add(fleet.advance(roles_of(nodes, done)))
            says = judge.verdict()
            held += says == Outcome.DISTURBANCE
            if says == Outcome.WORSE or held > HOLD_MOST:
                return RolloutResult(True, stage, fleet.step - MEASURE, fleet.lost / asked)
            if says == Outcome.PASS:
                break
    return RolloutResult(False, len(stages(nodes)), fleet.step - MEASURE, fleet.lost / asked)


def unguarded(harm: str, nodes: int) -> float:
    """Return the utility lost to an unanalysed change, as a multiple of that offered in one window."""
    h = HARMS[harm]
    lost = h.served * (0.3 if h.one_type else 1.0) * 0.93
    return lost * (HOUR + 1.0 / AWAY_SHARE / 2)


def main() -> None:
    """Run all cells, print the table and write the charts."""
    ask = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    ask.add_argument("--seeds", type=int, default=1000)
    ask.add_argument("--out", type=Path, default=Path("docs/charts"))
    ask.add_argument("--judges", nargs="*", default=list(METHODS))
    ask.add_argument("--nodes", type=int, nargs="*", default=[24, 200])
    ask.add_argument("--harms", nargs="*", default=list(HARMS))
    args = ask.parse_args()
    rows: list[Cell] = []
    with ProcessPoolExecutor() as pool:
        for nodes in args.nodes:
            for troubled in (False, True):
                print(
                    f"\n{nodes} nodes, {'with' if troubled else 'no'} trouble, {args.seeds} changes a cell\n"
                )
                print(
                    "| judge | version | stopped | by stage 2 | minutes to the stop, p50 | lost of unguarded "
                    "hour | minutes of a change that passes, p50 |"
                )
                print("| --- | --- | --- | --- | --- | --- | --- |", flush=True)
                for name in args.judges:
                    for harm in args.harms:
                        ends = list(
                            pool.map(
                                run_rollout,
                                [(name, harm, nodes, troubled, s) for s in range(args.seeds)],
                                chunksize=8,
                            )
                        )
                        rows.append(Cell(name, harm, nodes, troubled, ends))
                        print(line(name, harm, nodes, ends), flush=True)
    args.out.mkdir(parents=True, exist_ok=True)
    chart(rows, args.out)


def line(name: str, harm: str, nodes: int, ends: list[RolloutResult]) -> str:
    """Return one row of the table."""
    stops = [e for e in ends if e.stopped]
    passes = [e for e in ends if not e.stopped]
    lost = sum(e.lost for e in ends) / len(ends)
    whole = unguarded(harm, nodes)
    return (
        f"| {name} | {harm} | {len(stops) / len(ends):.3f} | "
        f"{sum(e.stage < 2 for e in stops) / len(ends):.3f} | "
        f"{median(e.blocks for e in stops) * BLOCK / 60 if stops else float('nan'):.1f} | "
        f"{f'{lost / whole:.3f}' if whole else '-'} | "
        f"{median(e.blocks for e in passes) * BLOCK / 60 if passes else float('nan'):.1f} |"
    )


def chart(rows: list[Cell], out: Path) -> None:
    """Plot the fraction of changes that each method stopped, by version, with one panel for each fleet."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    cells = sorted({(row.nodes, row.is_troubled) for row in rows})
    figure, panels = plt.subplots(1, len(cells), figsize=(5 * len(cells), 4.5), sharey=True, squeeze=False)
    harms = [h for h in HARMS if any(row.harm == h for row in rows)]
    for panel, (nodes, troubled) in zip(panels[0], cells, strict=True):
        names = [n for n in METHODS if any(row.method == n for row in rows)]
        for i, name in enumerate(names):
            mine = {row.harm: row.results for row in rows if row[0] == name and row[2:4] == (nodes, troubled)}
            shares = [sum(e.stopped for e in mine[h]) / len(mine[h]) for h in harms]
            panel.bar(np.arange(len(harms)) + 0.2 * i, shares, 0.2, label=name)
        panel.set_xticks(np.arange(len(harms)) + 0.3, harms, rotation=60, ha="right")
        panel.set_title(f"{nodes} nodes{', with trouble' if troubled else ''} (simulated)")
    panels[0][0].set_ylabel("share of changes stopped")
    panels[0][0].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(out / "judges.png", dpi=110)


if __name__ == "__main__":
    main()
