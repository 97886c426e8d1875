"""The judge on made-up fleets: who is stopped, who is not, and what is put down to something else."""

import json

import numpy as np
import pytest

from myrtlehub.lab.manynodes import Harm, ManyNodes, Trouble, roles_of
from myrtlehub.rollout.judge import AWAY, PASS, TROUBLE, UNSURE, WORSE, Guard, Judge, Verdict, said

GUARDS = (
    Guard("served", 0.005, -1.0),
    Guard("served", 0.01, -1.0, "post"),
    Guard("rejected", 0.005),
    Guard("first_token", 0.05),
)


def watch(
    nodes: int,
    changed: int,
    seed: int,
    most: int = 40,
    harm: Harm | None = None,
    troubles: tuple[Trouble, ...] = (),
    **more: float,
) -> tuple[Verdict, Judge, int]:
    """Measure 24 blocks, then watch until something is said."""
    fleet = ManyNodes(nodes, 2, seed, 5.0, harm, troubles)
    judge = Judge(GUARDS, fleet.zones, 12, **more)
    for _ in range(24):
        judge.add(fleet.block(roles_of(nodes, 0), True))
    judge.watch_anew()
    for _ in range(most):
        judge.add(fleet.block(roles_of(nodes, changed)))
        verdict = judge.verdict()
        if verdict.says in (WORSE, PASS):
            break
    return verdict, judge, judge.blocks - judge.since


@pytest.mark.parametrize("nodes", [24, 200])
def test_equal_versions_pass(nodes: int) -> None:
    for seed in range(20):
        verdict, _, _ = watch(nodes, nodes // 10, seed)
        assert verdict.says == PASS, (seed, verdict.why)


@pytest.mark.parametrize(
    ("harm", "figure"),
    [
        (Harm(0.1), "served: "),
        (Harm(slower=0.3), "first_token"),
        (Harm(0.3, one_type=True), "served of post"),
    ],
)
def test_a_worse_version_is_stopped_and_its_figure_named(harm: Harm, figure: str) -> None:
    for seed in range(8):
        verdict, _, blocks = watch(24, 3, seed, harm=harm)
        assert verdict.says == WORSE and figure in verdict.why and blocks <= 13, (seed, verdict)
        worst = verdict.of[0]
        assert worst.low > 0.0 and worst.harm >= worst.margin and worst.nodes == (3, 21)
        assert "3 changed nodes" in said(worst) and "21 unchanged ones" in said(worst)


def test_an_engine_failure_where_the_only_changed_node_is_does_not_stop_it() -> None:
    """A tenth of the utility of one zone goes, with a third of its engines, while stage one is watched."""
    for seed in range(10):
        verdict, judge, blocks = watch(24, 1, seed, troubles=(Trouble(28, 8, 0, 0.1, 0.35),))
        assert verdict.says == PASS and blocks >= 12, (seed, verdict)
        assert any(t.any() for t in judge.troubled)


def test_a_burst_that_hits_all_is_held_and_named() -> None:
    verdict, judge, _ = watch(24, 3, 1, most=6, troubles=(Trouble(26, 99, -1, 0.2, 0.0),))
    assert verdict.says == TROUBLE and "the fleet serves" in verdict.why and judge.in_trouble


def test_a_change_that_hurts_the_others_is_held_and_named_once_it_has_outlasted_a_burst() -> None:
    for seed in range(5):
        verdict, judge, blocks = watch(24, 12, seed, harm=Harm(0.05, others_from=0.5))
        assert verdict.says == WORSE and "hurts the others" in verdict.why, (seed, verdict.why)
        assert 2 * judge.watch <= blocks < 40 and not any(c.low > 0.0 for c in verdict.of)


@pytest.mark.parametrize("trouble", [Trouble(26, 12, -1, 0.1, 0.0), Trouble(26, 99, 0, 0.1, 0.35)])
def test_a_burst_that_passes_or_engines_that_go_are_not_blamed_on_the_change(trouble: Trouble) -> None:
    for seed in range(5):
        verdict, _, _ = watch(24, 12, seed, most=45, troubles=(trouble,))
        assert verdict.says in (PASS, TROUBLE), (seed, verdict.why)


def test_a_judge_that_goes_on_from_what_another_learned_says_the_same() -> None:
    fleet = ManyNodes(24, 2, 4, 5.0, Harm(0.1))
    first, second = (Judge(GUARDS, fleet.zones, 12) for _ in range(2))
    for _ in range(24):
        first.add(fleet.block(roles_of(24, 0), True))
    second.recall(json.loads(json.dumps(first.known())))
    for judge in (first, second):
        judge.stage_begun()
        judge.watch_anew()
    for _ in range(8):
        block = fleet.block(roles_of(24, 3))
        first.add(block)
        second.add(block)
    for guard in GUARDS:
        a, b = first.compare(guard), second.compare(guard)
        assert a.blocks == b.blocks == 8
        assert np.allclose([a.harm, a.low, a.high], [b.harm, b.low, b.high], rtol=0.02), (a, b)
    assert first.verdict().says == second.verdict().says == WORSE
    other = Judge(GUARDS, fleet.zones[:-1], 12)
    with pytest.raises(ValueError, match="24,"):
        other.recall(first.known())


def test_a_verdict_needs_blocks_and_both_groups() -> None:
    verdict, judge, _ = watch(24, 3, 3, most=2, harm=Harm(0.5))
    assert verdict.says == UNSURE and not verdict.of
    everybody, _, _ = watch(24, 24, 3)
    assert everybody.says == PASS and not everybody.of  # nobody is left to compare with: the fleet is watched


def test_utility_lost_bounds_a_change_whose_harm_is_below_every_margin() -> None:
    loose = (Guard("served", 0.5, -1.0),)
    fleet = ManyNodes(24, 2, 5, 5.0, Harm(0.2))
    judge = Judge(loose, fleet.zones, 12, most_lost=0.2)
    for _ in range(24):
        judge.add(fleet.block(roles_of(24, 0), True))
    judge.watch_anew()
    for _ in range(12):
        judge.add(fleet.block(roles_of(24, 6)))
    verdict = judge.verdict()
    assert verdict.says == WORSE and "may be lost" in verdict.why


def test_a_node_that_is_away_counts_for_nothing() -> None:
    fleet = ManyNodes(6, 2, 9)
    judge = Judge(GUARDS, fleet.zones, 3)
    for _ in range(5):
        judge.add(fleet.block(roles_of(6, 0), True))
    roles = roles_of(6, 1)
    roles[1] = AWAY
    for _ in range(5):
        block = fleet.block(roles)
        for above, below in block.sums.values():
            above[1], below[1] = -1e9, 1.0  # whatever such a node says
        judge.add(block)
    compared = judge.compare(GUARDS[0])
    assert compared.nodes == (1, 4) and abs(compared.harm) < 0.2 and np.isfinite(compared.low)
