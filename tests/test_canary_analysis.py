"""The canary analysis on modelled fleets: who is stopped, who is not, what is put down to something else."""

import json

import numpy as np
import pytest

from myrtlehub.lab.fleet_model import Disturbance, FleetModel, Regression, roles_of
from myrtlehub.rollout.canary_analysis import CanaryAnalysis, Outcome, Verdict
from myrtlehub.rollout.samples import Metric, NodeRole
from myrtlehub.rollout.statistics import Guard
from myrtlehub.rollout.verdict_text import describe_comparison

GUARDS = (
    Guard(Metric.SERVED, 0.005, -1.0),
    Guard(Metric.SERVED, 0.01, -1.0, "post"),
    Guard(Metric.REJECTED, 0.005),
    Guard(Metric.FIRST_TOKEN, 0.05),
)


def watch(
    nodes: int,
    changed: int,
    seed: int,
    most: int = 40,
    harm: Regression | None = None,
    troubles: tuple[Disturbance, ...] = (),
    **more: float,
) -> tuple[Verdict, CanaryAnalysis, int]:
    """Measure 24 windows, then watch until something is said."""
    fleet = FleetModel(nodes, 2, seed, 5.0, harm, troubles)
    analysis = CanaryAnalysis(GUARDS, fleet.zones, 12, **more)
    for _ in range(24):
        analysis.add(fleet.advance(roles_of(nodes, 0), True))
    analysis.restart_observation()
    for _ in range(most):
        analysis.add(fleet.advance(roles_of(nodes, changed)))
        verdict = analysis.verdict()
        if verdict.outcome in (Outcome.WORSE, Outcome.PASS):
            break
    return verdict, analysis, analysis.disturbance.windows - analysis.disturbance.observed_from


@pytest.mark.parametrize("nodes", [24, 200])
def test_equal_versions_pass(nodes: int) -> None:
    for seed in range(20):
        verdict, _, _ = watch(nodes, nodes // 10, seed)
        assert verdict.outcome == Outcome.PASS, (seed, verdict.reason)


@pytest.mark.parametrize(
    ("harm", "figure"),
    [
        (Regression(0.1), "served: "),
        (Regression(slower=0.3), "first_token"),
        (Regression(0.3, one_type=True), "served of post"),
    ],
)
def test_a_worse_version_is_stopped_and_its_figure_named(harm: Regression, figure: str) -> None:
    for seed in range(8):
        verdict, _, windows = watch(24, 3, seed, harm=harm)
        assert verdict.outcome == Outcome.WORSE and figure in verdict.reason and windows <= 13, (
            seed,
            verdict,
        )
        worst = verdict.comparisons[0]
        assert worst.low > 0.0 and worst.harm >= worst.margin and worst.nodes == (3, 21)
        assert "3 changed nodes" in describe_comparison(worst) and "21 unchanged ones" in describe_comparison(
            worst
        )


def test_an_engine_failure_where_the_only_changed_node_is_does_not_stop_it() -> None:
    """A tenth of the utility of one zone goes, with a third of its engines, while stage one is watched."""
    for seed in range(10):
        verdict, analysis, windows = watch(24, 1, seed, troubles=(Disturbance(28, 8, 0, 0.1, 0.35),))
        assert verdict.outcome == Outcome.PASS and windows >= 12, (seed, verdict)
        assert any(t.any() for t in analysis.disturbance.disturbed_zones)


def test_a_burst_that_hits_all_is_a_disturbance_and_named() -> None:
    verdict, analysis, _ = watch(24, 3, 1, most=6, troubles=(Disturbance(26, 99, -1, 0.2, 0.0),))
    assert (
        verdict.outcome == Outcome.DISTURBANCE
        and "the fleet serves" in verdict.reason
        and analysis.is_disturbed
    )


def test_a_change_that_hurts_the_others_is_held_and_named_once_it_has_outlasted_a_burst() -> None:
    for seed in range(5):
        verdict, analysis, windows = watch(24, 12, seed, harm=Regression(0.05, others_from=0.5))
        assert verdict.outcome == Outcome.WORSE and "hurts the others" in verdict.reason, (
            seed,
            verdict.reason,
        )
        assert 2 * analysis.observation_windows <= windows < 40 and not any(
            c.low > 0.0 for c in verdict.comparisons
        )


@pytest.mark.parametrize("trouble", [Disturbance(26, 12, -1, 0.1, 0.0), Disturbance(26, 99, 0, 0.1, 0.35)])
def test_a_burst_that_passes_or_engines_that_go_are_not_blamed_on_the_change(trouble: Disturbance) -> None:
    for seed in range(5):
        verdict, _, _ = watch(24, 12, seed, most=45, troubles=(trouble,))
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
        block = fleet.advance(roles_of(24, 3))
        first.add(block)
        second.add(block)
    for guard in GUARDS:
        a, b = first.compare(guard), second.compare(guard)
        assert a.windows == b.windows == 8
        assert np.allclose([a.harm, a.low, a.high], [b.harm, b.low, b.high], rtol=0.02), (a, b)
    assert first.verdict().outcome == second.verdict().outcome == Outcome.WORSE
    other = CanaryAnalysis(GUARDS, fleet.zones[:-1], 12)
    with pytest.raises(ValueError, match="24,"):
        other.restore(first.snapshot())


def test_a_verdict_needs_windows_and_both_groups() -> None:
    verdict, _, _ = watch(24, 3, 3, most=2, harm=Regression(0.5))
    assert verdict.outcome == Outcome.UNDECIDED and not verdict.comparisons
    everybody, _, _ = watch(24, 24, 3)
    assert (
        everybody.outcome == Outcome.PASS and not everybody.comparisons
    )  # nobody is left to compare with: the fleet is watched


def test_utility_lost_bounds_a_change_whose_harm_is_below_every_margin() -> None:
    loose = (Guard(Metric.SERVED, 0.5, -1.0),)
    fleet = FleetModel(24, 2, 5, 5.0, Regression(0.2))
    analysis = CanaryAnalysis(loose, fleet.zones, 12, max_lost=0.2)
    for _ in range(24):
        analysis.add(fleet.advance(roles_of(24, 0), True))
    analysis.restart_observation()
    for _ in range(12):
        analysis.add(fleet.advance(roles_of(24, 6)))
    verdict = analysis.verdict()
    assert verdict.outcome == Outcome.WORSE and "may be lost" in verdict.reason


def test_an_unavailable_node_counts_for_nothing() -> None:
    fleet = FleetModel(6, 2, 9)
    analysis = CanaryAnalysis(GUARDS, fleet.zones, 3)
    for _ in range(5):
        analysis.add(fleet.advance(roles_of(6, 0), True))
    roles = roles_of(6, 1)
    roles[1] = NodeRole.UNAVAILABLE
    for _ in range(5):
        block = fleet.advance(roles)
        for above, below in block.metrics.values():
            above[1], below[1] = -1e9, 1.0  # whatever such a node says
        analysis.add(block)
    compared = analysis.compare(GUARDS[0])
    assert compared.nodes == (1, 4) and abs(compared.harm) < 0.2 and np.isfinite(compared.low)
