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

WINDOW_SECONDS = 5.0
BASELINE_WINDOWS = 24
WARM_UP_WINDOWS = 2
OBSERVATION_WINDOWS = 12
MAX_DISTURBED_WINDOWS = 60  # of an observation; after more, the rollout is stopped
BATCH_FRACTION = 0.08  # of the fleet, changed at a time
UNGUARDED_WINDOWS = 720  # until an operator notices an unguarded change: one hour
GUARDS = (
    Guard(Metric.SERVED, 0.005, -1.0),
    *(Guard(Metric.SERVED, 0.01, -1.0, t) for t in ("ask", "post", "note")),
    Guard(Metric.REJECTED, 0.005),
    Guard(Metric.FIRST_TOKEN, 0.05),
)
REGRESSIONS = {
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


class RolloutCase(NamedTuple):
    """One rollout to play."""

    method: str
    regression: str
    nodes: int
    is_disturbed: bool
    seed: int


class RolloutResult(NamedTuple):
    """The outcome of one rollout."""

    is_stopped: bool
    stage: int
    windows: int  # sample windows since the first changed node
    lost: float  # utility lost to the change, as a multiple of the utility offered in one sample window


class Cell(NamedTuple):
    """The rollouts of one method, version and fleet."""

    method: str
    regression: str
    nodes: int
    is_disturbed: bool
    results: list[RolloutResult]


class Method(Protocol):
    """Judges a rollout by its sample windows."""

    def __init__(self, zones: list[str]) -> None:
        """Start judging a rollout in a fleet with these zones."""

    def add(self, window: SampleWindow) -> None:
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
        self.windows: list[SampleWindow] = []
        self.observed_from = 0  # index of the observation's first window

    def add(self, window: SampleWindow) -> None:
        """Add the next sample window."""
        self.windows.append(window)

    def restart_observation(self) -> None:
        """Begin an observation, which covers only the sample windows added from now on."""
        self.observed_from = len(self.windows)

    def start_stage(self) -> None:
        """Do nothing: the method keeps no state for a stage."""

    def verdict(self) -> Outcome:
        """Return the outcome of the present observation."""
        observed = self.windows[self.observed_from :]
        if len(observed) < OBSERVATION_WINDOWS:
            return Outcome.UNDECIDED
        return Outcome.WORSE if any(self.is_worse(guard, observed) for guard in GUARDS) else Outcome.PASS

    def is_worse(self, guard: Guard, observed: list[SampleWindow]) -> bool:
        """Whether the guard's metric is worse on the changed nodes."""
        now = self.metric_of(guard, observed, NodeRole.CHANGED)
        before = self.metric_of(guard, [w for w in self.windows if w.is_baseline], NodeRole.UNCHANGED)
        return guard.sign * (now - before) >= guard.margin

    def metric_of(self, guard: Guard, windows: list[SampleWindow], role: NodeRole) -> float:
        """Return the guard's metric over all nodes of a role."""
        key = MetricKey(guard.metric, guard.traffic)
        numerator = sum(w.metrics[key][0][w.roles == role].sum() for w in windows)
        denominator = sum(w.metrics[key][1][w.roles == role].sum() for w in windows)
        return numerator / denominator if denominator else 0.0


class ThresholdConcurrent(ThresholdBeforeAfter):
    """Compares changed with unchanged nodes over the same time, by a threshold."""

    def is_worse(self, guard: Guard, observed: list[SampleWindow]) -> bool:
        """Whether the guard's metric is worse on the changed nodes."""
        if not (observed[-1].roles == NodeRole.UNCHANGED).any():
            return False
        changed = self.metric_of(guard, observed, NodeRole.CHANGED)
        unchanged = self.metric_of(guard, observed, NodeRole.UNCHANGED)
        return guard.sign * (changed - unchanged) >= guard.margin


class WelchTest(ThresholdBeforeAfter):
    """Welch's t-test over nodes, once after each observation, at a level of 0.01 over all guards."""

    def is_worse(self, guard: Guard, observed: list[SampleWindow]) -> bool:
        """Whether the guard's metric is worse on the changed nodes."""
        key = MetricKey(guard.metric, guard.traffic)
        numerators = reduce(np.add, (w.metrics[key][0] for w in observed))
        denominators = reduce(np.add, (w.metrics[key][1] for w in observed))
        roles = observed[-1].roles
        changed, unchanged = (
            numerators[(roles == role) & (denominators > 0)]
            / denominators[(roles == role) & (denominators > 0)]
            for role in (NodeRole.CHANGED, NodeRole.UNCHANGED)
        )
        if min(len(changed), len(unchanged)) < 2:
            return False
        if guard.sign * (changed.mean() - unchanged.mean()) < guard.margin:
            return False
        side = "greater" if guard.sign > 0 else "less"
        p_value = float(ttest_ind(changed, unchanged, equal_var=False, alternative=side).pvalue)
        return p_value < 0.01 / len(GUARDS)


class Sequential:
    """The sequential analysis that the rollout controller uses."""

    def __init__(self, zones: list[str]) -> None:
        self.analysis = CanaryAnalysis(GUARDS, zones, OBSERVATION_WINDOWS)

    def add(self, window: SampleWindow) -> None:
        """Add the next sample window."""
        self.analysis.add(window)

    def restart_observation(self) -> None:
        """Begin an observation, which covers only the sample windows added from now on."""
        self.analysis.restart_observation()

    def start_stage(self) -> None:
        """Begin a stage."""
        self.analysis.start_stage()

    def verdict(self) -> Outcome:
        """Return the outcome of the present observation."""
        return self.analysis.verdict().outcome


METHODS: dict[str, type[Method]] = {
    "threshold, before and after": ThresholdBeforeAfter,
    "threshold, beside": ThresholdConcurrent,
    "fixed length, Welch's t": WelchTest,
    "sequential (taken)": Sequential,
}


def draw_disturbances(seed: int, zones: int) -> tuple[Disturbance, ...]:
    """Draw an engine failure in one zone and a burst over all zones, at random times of the rollout."""
    random = np.random.default_rng(seed + 10**6)
    return (
        Disturbance(
            int(random.integers(30, 90)), int(random.integers(4, 12)), int(random.integers(zones)), 0.2, 0.35
        ),
        Disturbance(int(random.integers(30, 120)), int(random.integers(2, 6)), None, 0.1, 0.0),
    )


def run_rollout(case: RolloutCase) -> RolloutResult:
    """Run one rollout from its first sample window to its last node, or to its rollback."""
    nodes = case.nodes
    zones = 4 if nodes > 50 else 2
    disturbances = draw_disturbances(case.seed, zones) if case.is_disturbed else ()
    fleet = FleetModel(nodes, zones, case.seed, WINDOW_SECONDS, REGRESSIONS[case.regression], disturbances)
    method = METHODS[case.method](fleet.zones)
    for _ in range(BASELINE_WINDOWS):
        method.add(fleet.advance(roles_of(nodes, 0), True))
    offered_per_window = fleet.offered / BASELINE_WINDOWS
    changed = 0
    is_stopped = False
    stage = 0
    for until in stages(nodes):
        change_nodes(fleet, method, changed, until)
        changed = until
        is_stopped = not passes_observation(fleet, method, changed)
        if is_stopped:
            break
        stage += 1
    windows = fleet.step - BASELINE_WINDOWS
    return RolloutResult(is_stopped, stage, windows, fleet.lost / offered_per_window)


def change_nodes(fleet: FleetModel, method: Method, changed: int, until: int) -> None:
    """Run the part of a stage that changes its nodes, some at a time, and warms them up.

    Args:
        fleet: to run.
        method: to add the sample windows to.
        changed: number of nodes that are already changed.
        until: number of changed nodes at the end of the stage.
    """
    nodes = len(fleet.zones)
    method.start_stage()
    at_a_time = max(1, round(nodes * BATCH_FRACTION))
    while changed < until:
        changing = min(at_a_time, until - changed)
        method.add(fleet.advance(roles_of(nodes, changed, changing)))
        changed += changing
    for _ in range(WARM_UP_WINDOWS):  # warming nodes are not compared, but their lost utility counts
        window = fleet.advance(roles_of(nodes, changed))
        window.roles[:changed] = NodeRole.UNAVAILABLE
        method.add(window)


def passes_observation(fleet: FleetModel, method: Method, changed: int) -> bool:
    """Observe the changed nodes until the method decides, and return whether the stage passes."""
    nodes = len(fleet.zones)
    method.restart_observation()
    disturbed_windows = 0
    while True:
        method.add(fleet.advance(roles_of(nodes, changed)))
        outcome = method.verdict()
        disturbed_windows += outcome == Outcome.DISTURBANCE
        if outcome == Outcome.WORSE or disturbed_windows > MAX_DISTURBED_WINDOWS:
            return False
        if outcome == Outcome.PASS:
            return True


def unguarded_loss(regression_name: str) -> float:
    """Return the utility lost to an unanalysed change, as a multiple of that offered in one window."""
    regression = REGRESSIONS[regression_name]
    lost = regression.served * (0.3 if regression.one_type else 1.0) * 0.93
    return lost * (UNGUARDED_WINDOWS + 1.0 / BATCH_FRACTION / 2)


def main() -> None:
    """Run all cells, print the table and write the charts."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=1000)
    parser.add_argument("--out", type=Path, default=Path("docs/charts"))
    parser.add_argument("--judges", nargs="*", default=list(METHODS))
    parser.add_argument("--nodes", type=int, nargs="*", default=[24, 200])
    parser.add_argument("--harms", nargs="*", default=list(REGRESSIONS))
    options = parser.parse_args()
    cells: list[Cell] = []
    with ProcessPoolExecutor() as pool:
        for nodes in options.nodes:
            for is_disturbed in (False, True):
                print_heading(nodes, is_disturbed, options.seeds)
                for method in options.judges:
                    for regression in options.harms:
                        cell = run_cell(pool, method, regression, nodes, is_disturbed, options.seeds)
                        cells.append(cell)
                        print(row_of(cell), flush=True)
    options.out.mkdir(parents=True, exist_ok=True)
    draw_chart(cells, options.out)


def run_cell(
    pool: ProcessPoolExecutor, method: str, regression: str, nodes: int, is_disturbed: bool, seeds: int
) -> Cell:
    """Run the rollouts of a cell, with seeds from 0, in the processes of a pool."""
    cases = [RolloutCase(method, regression, nodes, is_disturbed, seed) for seed in range(seeds)]
    return Cell(method, regression, nodes, is_disturbed, list(pool.map(run_rollout, cases, chunksize=8)))


def print_heading(nodes: int, is_disturbed: bool, seeds: int) -> None:
    """Print the title and the heading of the table of one fleet."""
    print(f"\n{nodes} nodes, {'with' if is_disturbed else 'no'} trouble, {seeds} changes a cell\n")
    print(
        "| judge | version | stopped | by stage 2 | minutes to the stop, p50 | lost of unguarded "
        "hour | minutes of a change that passes, p50 |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- |", flush=True)


def row_of(cell: Cell) -> str:
    """Return one row of the table."""
    results = cell.results
    stopped = [result for result in results if result.is_stopped]
    passed = [result for result in results if not result.is_stopped]
    lost = sum(result.lost for result in results) / len(results)
    unguarded = unguarded_loss(cell.regression)
    return (
        f"| {cell.method} | {cell.regression} | {len(stopped) / len(results):.3f} | "
        f"{sum(result.stage < 2 for result in stopped) / len(results):.3f} | "
        f"{median_minutes(stopped):.1f} | "
        f"{f'{lost / unguarded:.3f}' if unguarded else '-'} | "
        f"{median_minutes(passed):.1f} |"
    )


def median_minutes(results: list[RolloutResult]) -> float:
    """Return the median duration of rollouts since the first changed node; NaN if there are none."""
    if not results:
        return float("nan")
    return median(result.windows for result in results) * WINDOW_SECONDS / 60


def draw_chart(cells: list[Cell], out: Path) -> None:
    """Plot the fraction of changes that each method stopped, by version, with one panel for each fleet."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    fleets = sorted({(cell.nodes, cell.is_disturbed) for cell in cells})
    figure, panels = plt.subplots(1, len(fleets), figsize=(5 * len(fleets), 4.5), sharey=True, squeeze=False)
    regressions = [name for name in REGRESSIONS if any(cell.regression == name for cell in cells)]
    methods = [name for name in METHODS if any(cell.method == name for cell in cells)]
    for panel, (nodes, is_disturbed) in zip(panels[0], fleets, strict=True):
        for i, method in enumerate(methods):
            results = {
                cell.regression: cell.results
                for cell in cells
                if (cell.method, cell.nodes, cell.is_disturbed) == (method, nodes, is_disturbed)
            }
            fractions = [sum(e.is_stopped for e in results[r]) / len(results[r]) for r in regressions]
            panel.bar(np.arange(len(regressions)) + 0.2 * i, fractions, 0.2, label=method)
        panel.set_xticks(np.arange(len(regressions)) + 0.3, regressions, rotation=60, ha="right")
        panel.set_title(f"{nodes} nodes{', with trouble' if is_disturbed else ''} (simulated)")
    panels[0][0].set_ylabel("share of changes stopped")
    panels[0][0].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(out / "judges.png", dpi=110)


if __name__ == "__main__":
    main()
