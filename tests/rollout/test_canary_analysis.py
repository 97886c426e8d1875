"""The canary analysis on simulated fleets: changes that are stopped, changes that pass, and disturbances."""

import json

import numpy as np
import pytest

from myrtlehub.lab.fleet_model import Disturbance, FleetModel, Regression, roles_of
from myrtlehub.rollout.canary_analysis import CanaryAnalysis, Outcome, Verdict
from myrtlehub.rollout.errors import SnapshotMismatchError
from myrtlehub.rollout.samples import Metric, NodeRole
from myrtlehub.rollout.statistics import Guard
from myrtlehub.rollout.verdict_text import describe_comparison

GUARDS = (
    Guard(Metric.SERVED, 0.005, -1.0),
    Guard(Metric.SERVED, 0.01, -1.0, "post"),
    Guard(Metric.REJECTED, 0.005),
    Guard(Metric.FIRST_TOKEN, 0.05),
)


def observe(
    nodes: int,
    changed: int,
    seed: int,
    max_windows: int = 40,
    harm: Regression | None = None,
    disturbances: tuple[Disturbance, ...] = (),
    **options: float,
) -> tuple[Verdict, CanaryAnalysis, int]:
    """Measure a baseline of 24 windows, then observe until the verdict is final.

    Returns:
        The last verdict, the analysis, and the number of windows observed.
    """
    fleet = FleetModel(nodes, 2, seed, 5.0, harm, disturbances)
    analysis = CanaryAnalysis(GUARDS, fleet.zones, 12, **options)
    for _ in range(24):
        analysis.add(fleet.advance(roles_of(nodes, 0), True))
    analysis.restart_observation()
    for _ in range(max_windows):
        analysis.add(fleet.advance(roles_of(nodes, changed)))
        verdict = analysis.verdict()
        if verdict.outcome in (Outcome.WORSE, Outcome.PASS):
            break
    return verdict, analysis, analysis.disturbance.windows - analysis.disturbance.observation_start


@pytest.mark.parametrize("nodes", [24, 200])
def test_a_version_that_is_no_worse_passes(nodes: int) -> None:
    for seed in range(20):
        verdict, _, _ = observe(nodes, nodes // 10, seed)
        assert verdict.outcome == Outcome.PASS, (seed, verdict.reason)


@pytest.mark.parametrize(
    ("harm", "metric"),
    [
        (Regression(0.1), "served: "),
        (Regression(slower=0.3), "first_token"),
        (Regression(0.3, one_type=True), "served of post"),
    ],
)
def test_a_worse_version_is_stopped_and_its_metric_named(harm: Regression, metric: str) -> None:
    for seed in range(8):
        verdict, _, windows = observe(24, 3, seed, harm=harm)
        assert verdict.outcome == Outcome.WORSE and metric in verdict.reason and windows <= 13, (
            seed,
            verdict,
        )
        worst = verdict.comparisons[0]
        assert worst.low > 0.0 and worst.harm >= worst.margin and worst.nodes == (3, 21)
        description = describe_comparison(worst)
        assert "3 changed nodes" in description and "21 unchanged ones" in description


def test_an_engine_failure_in_the_zone_of_the_only_changed_node_does_not_stop_the_rollout() -> None:
    """The zone loses a third of its engines and a tenth of its utility while the first stage is observed."""
    for seed in range(10):
        verdict, analysis, windows = observe(24, 1, seed, disturbances=(Disturbance(28, 8, 0, 0.1, 0.35),))
        assert verdict.outcome == Outcome.PASS and windows >= 12, (seed, verdict)
        assert any(zones.any() for zones in analysis.disturbance.disturbed_zones)


def test_a_burst_in_the_whole_fleet_is_a_disturbance_with_a_reason() -> None:
    verdict, analysis, _ = observe(
        24, 3, 1, max_windows=6, disturbances=(Disturbance(26, 99, None, 0.2, 0.0),)
    )
    assert (
        verdict.outcome == Outcome.DISTURBANCE
        and "the fleet serves" in verdict.reason
        and analysis.is_disturbed
    )


def test_a_change_that_harms_unchanged_nodes_is_stopped_once_it_has_outlasted_a_burst() -> None:
    for seed in range(5):
        verdict, analysis, windows = observe(24, 12, seed, harm=Regression(0.05, others_from=0.5))
        assert verdict.outcome == Outcome.WORSE and "hurts the others" in verdict.reason, (
            seed,
            verdict.reason,
        )
        assert 2 * analysis.observation_windows <= windows < 40 and not any(
            comparison.low > 0.0 for comparison in verdict.comparisons
        )


@pytest.mark.parametrize(
    "disturbance", [Disturbance(26, 12, None, 0.1, 0.0), Disturbance(26, 99, 0, 0.1, 0.35)]
)
def test_a_short_burst_or_lost_engines_are_not_attributed_to_the_change(
    disturbance: Disturbance,
) -> None:
    for seed in range(5):
        verdict, _, _ = observe(24, 12, seed, max_windows=45, disturbances=(disturbance,))
        assert verdict.outcome in (Outcome.PASS, Outcome.DISTURBANCE), (seed, verdict.reason)


def test_an_analysis_restored_from_a_snapshot_gives_the_same_verdict() -> None:
    fleet = FleetModel(24, 2, 4, 5.0, Regression(0.1))
    first, second = (CanaryAnalysis(GUARDS, fleet.zones, 12) for _ in range(2))
    for _ in range(24):
        first.add(fleet.advance(roles_of(24, 0), True))
    second.restore(json.loads(json.dumps(first.snapshot())))
    for analysis in (first, second):
        analysis.start_stage()
        analysis.restart_observation()
    for _ in range(8):
        window = fleet.advance(roles_of(24, 3))
        first.add(window)
        second.add(window)
    for guard in GUARDS:
        original, restored = first.compare(guard), second.compare(guard)
        assert original.windows == restored.windows == 8
        intervals = [(compared.harm, compared.low, compared.high) for compared in (original, restored)]
        assert np.allclose(*intervals, rtol=0.02), (original, restored)
    assert first.verdict().outcome == second.verdict().outcome == Outcome.WORSE
    other = CanaryAnalysis(GUARDS, fleet.zones[:-1], 12)
    with pytest.raises(SnapshotMismatchError, match="24,"):
        other.restore(first.snapshot())


def test_a_verdict_needs_windows_and_both_groups() -> None:
    verdict, _, _ = observe(24, 3, 3, max_windows=2, harm=Regression(0.5))
    assert verdict.outcome == Outcome.UNDECIDED and not verdict.comparisons
    all_changed, _, _ = observe(24, 24, 3)
    # Without an unchanged node there is no comparison; the fleet is only observed.
    assert all_changed.outcome == Outcome.PASS and not all_changed.comparisons


def test_the_limit_on_lost_utility_stops_a_change_whose_harm_is_below_every_margin() -> None:
    wide_margin = (Guard(Metric.SERVED, 0.5, -1.0),)
    fleet = FleetModel(24, 2, 5, 5.0, Regression(0.2))
    analysis = CanaryAnalysis(wide_margin, fleet.zones, 12, max_lost_utility=0.2)
    for _ in range(24):
        analysis.add(fleet.advance(roles_of(24, 0), True))
    analysis.restart_observation()
    for _ in range(12):
        analysis.add(fleet.advance(roles_of(24, 6)))
    verdict = analysis.verdict()
    assert verdict.outcome == Outcome.WORSE and "0.2 may be lost" in verdict.reason


def test_an_unavailable_node_is_excluded_from_the_comparison() -> None:
    fleet = FleetModel(6, 2, 9)
    analysis = CanaryAnalysis(GUARDS, fleet.zones, 3)
    for _ in range(5):
        analysis.add(fleet.advance(roles_of(6, 0), True))
    roles = roles_of(6, 1)
    roles[1] = NodeRole.UNAVAILABLE
    for _ in range(5):
        window = fleet.advance(roles)
        for numerator, denominator in window.metrics.values():
            numerator[1], denominator[1] = -1e9, 1.0  # would dominate every comparison if it were counted
        analysis.add(window)
    compared = analysis.compare(GUARDS[0])
    assert compared.nodes == (1, 4) and abs(compared.harm) < 0.2 and np.isfinite(compared.low)
