"""Statistics of the canary analysis: how far a figure of changed nodes is from that of unchanged ones.

Requests of one node are not independent and nodes differ, so a thousand requests of one changed node prove
nothing about the change: the node is the unit. What is compared is, node by node, its figure against the
unchanged nodes of its zone in the same sample window, less by how much it differed from them before anything
was changed. Engines that fail and bursts hit both sides alike and cancel.

The result may be looked at after every window: its bounds are a normal mixture's (a confidence sequence:
Robbins 1970; Howard, Ramdas, McAuliffe, Sekhon 2021, "Time-uniform, nonparametric, nonasymptotic confidence
sequences"), widened from normal to Student's t, as the scatter between nodes is known from few of them.
"""

from typing import NamedTuple

import numpy as np
from scipy.special import ndtr, stdtrit

from myrtlehub.rollout.metric_tally import MetricTally, TallySum
from myrtlehub.rollout.samples import ALL_TRAFFIC

MIN_WINDOWS = 3  # that are compared before anything is said: one is a moment, not a difference
PRIOR_NODES = 4.0  # nodes' worth of belief in the scatter that margins are made for, beside what is seen
PRIOR_SCATTER = 0.25  # of the margin: the scatter between like nodes that is believed before any was seen
MAX_INFLATION = 4.0  # by which windows that resemble the last one may widen the noise
MAX_AUTOCORRELATION = 0.6
# Of the share of false alarms that is granted, what bounds are made for: noise and scatter are estimated and
# not known, and with all of it 1.2 to 1.4 in 100 equal versions were stopped where 1 was granted.
ALARM_SPENT = 0.5
WATCHES_TO_TIGHTEST = 8.0  # bounds are tightest at about the end of the watch
TINY = 1e-12


class Guard(NamedTuple):
    """One figure that may not get worse."""

    metric: str
    margin: float  # by how much worse is not acceptable, in the figure's unit
    sign: float = 1.0  # 1: higher is worse; -1: lower is worse
    traffic: str = ALL_TRAFFIC
    relative: bool = False  # the margin is a share of the unchanged nodes' figure


class NodeCounts(NamedTuple):
    """How many nodes were compared."""

    changed: int
    unchanged: int


class Comparison(NamedTuple):
    """One guard, as far as it is known. In the figure's unit; `harm` more than 0 is worse."""

    guard: Guard
    changed: float  # the changed nodes' figure in the windows compared
    unchanged: float
    harm: float
    low: float  # bounds of the harm, valid at all looks together
    high: float
    windows: int
    nodes: NodeCounts
    margin: float


class ErrorBudget(NamedTuple):
    """What the bounds are made for."""

    alarm: float  # share of equal versions that may be called worse, over all guards and looks of a stage
    guards: int
    watch: int  # windows for which a stage is observed


class _Means(NamedTuple):
    """Each node's mean of a figure's offsets, and the weight that it rests on."""

    mean: np.ndarray
    weight: np.ndarray


class _BaselineOffsets(NamedTuple):
    """How nodes differed from each other before the change."""

    mean: np.ndarray
    scatter: float  # variance between nodes
    trust: np.ndarray  # by node: the part of its offset that is more than noise


def compare_metric(guard: Guard, tally: MetricTally, budget: ErrorBudget) -> Comparison | None:
    """Compare changed with unchanged nodes; None where there are too few windows or nodes."""
    sums = tally.sums
    changed = sums[TallySum.CHANGED_WEIGHT] > 0.0
    unchanged = (sums[TallySum.UNCHANGED_WEIGHT] > 0.0) & ~changed
    if tally.windows < MIN_WINDOWS or not changed.any() or not unchanged.any():
        return None
    noise = noise_variance(tally)
    baseline = _baseline_offsets(tally, noise)
    means = _corrected_means(tally, changed, baseline)
    reference = _ratio(sums[TallySum.UNCHANGED_NUMERATOR], sums[TallySum.UNCHANGED_DENOMINATOR])
    margin = guard.margin * (abs(reference) if guard.relative else 1.0)
    weights = _node_weights(means, baseline, noise, unchanged, margin)
    difference = _weighted_mean(weights, means.mean, changed) - _weighted_mean(weights, means.mean, unchanged)
    deviation = float(np.sqrt(1.0 / weights[changed].sum() + 1.0 / weights[unchanged].sum()))
    width = deviation * bound_multiple(budget, tally.windows, int(unchanged.sum()))
    harm = guard.sign * float(difference)
    return Comparison(
        guard,
        _ratio(sums[TallySum.CHANGED_NUMERATOR], sums[TallySum.CHANGED_DENOMINATOR]),
        reference,
        harm,
        harm - width,
        harm + width,
        tally.windows,
        NodeCounts(int(changed.sum()), int(unchanged.sum())),
        margin,
    )


def noise_variance(tally: MetricTally) -> float:
    """Return the variance of a window's figure times its weight, within nodes.

    It is wider where a window resembles the last one.
    """
    sums = tally.sums
    mean, weight = _means(sums[TallySum.OFFSET], sums[TallySum.WEIGHT])
    freedom = max(1.0, float(sums[TallySum.COUNT].sum() - (weight > 0.0).sum()))
    noise = max(0.0, float((sums[TallySum.SQUARE] - mean * mean * weight).sum())) / freedom
    products = sums[TallySum.PAIR_PRODUCT] - mean * (sums[TallySum.PAIR_NEW] + sums[TallySum.PAIR_LAST])
    products = products + mean * mean * sums[TallySum.PAIR_WEIGHT]
    covariance = float(products.sum()) / max(1.0, float(sums[TallySum.PAIR_COUNT].sum()))
    correlation = min(MAX_AUTOCORRELATION, max(0.0, covariance / max(noise, TINY)))
    return noise * min(MAX_INFLATION, (1.0 + correlation) / (1.0 - correlation))


def bound_multiple(budget: ErrorBudget, windows: int, unchanged: int) -> float:
    """Return how many standard deviations away a bound lies after so many windows, at any number of looks."""
    alpha = ALARM_SPENT * budget.alarm / max(1, budget.guards)
    rho = max(1.0, budget.watch / WATCHES_TO_TIGHTEST)
    growth = np.log((windows + rho) / rho) + 2.0 * np.log(1.0 / alpha)
    normal = np.sqrt((windows + rho) / windows * growth)
    return -float(stdtrit(unchanged - 1.0 + PRIOR_NODES, ndtr(-normal)))


def _baseline_offsets(tally: MetricTally, noise: float) -> _BaselineOffsets:
    mean, weight = _means(tally.sums[TallySum.BASELINE_OFFSET], tally.sums[TallySum.BASELINE_WEIGHT])
    scatter = _scatter(_Means(mean, weight), noise)
    trust = scatter / (scatter + noise / np.maximum(weight, TINY) + TINY)
    return _BaselineOffsets(mean, scatter, trust)


def _corrected_means(tally: MetricTally, changed: np.ndarray, baseline: _BaselineOffsets) -> _Means:
    """Return each node's mean since the change, less its own offset from before."""
    sums = tally.sums
    of_changed = _means(sums[TallySum.CHANGED_OFFSET], sums[TallySum.CHANGED_WEIGHT])
    of_unchanged = _means(sums[TallySum.UNCHANGED_OFFSET], sums[TallySum.UNCHANGED_WEIGHT])
    mean = np.where(changed, of_changed.mean, of_unchanged.mean) - baseline.trust * baseline.mean
    return _Means(mean, np.where(changed, of_changed.weight, of_unchanged.weight))


def _node_weights(
    means: _Means, baseline: _BaselineOffsets, noise: float, unchanged: np.ndarray, margin: float
) -> np.ndarray:
    """Return by node the inverse of its mean's variance: noise, offset from before, drift since."""
    noise_of_mean = noise / np.maximum(means.weight, TINY)
    known = noise_of_mean + baseline.scatter * (1.0 - baseline.trust)
    drift = _scatter(
        _Means(means.mean[unchanged], means.weight[unchanged]),
        noise,
        (PRIOR_SCATTER * margin) ** 2,
        PRIOR_NODES,
        (known - noise_of_mean)[unchanged],
    )
    return 1.0 / (known + drift + TINY)


def _scatter(
    means: _Means,
    noise: float,
    prior: float = 0.0,
    prior_nodes: float = 0.0,
    known: np.ndarray | None = None,
) -> float:
    """Return the variance between nodes beyond what noise explains, moderated by a prior of so many nodes."""
    mean, weight = means
    seen = weight > 0
    if seen.sum() < 2:
        return prior
    centre = float((mean[seen] * weight[seen]).sum() / weight[seen].sum())
    extra = (mean[seen] - centre) ** 2 - noise / weight[seen] - (0.0 if known is None else known[seen])
    freedom = float(seen.sum()) - 1.0
    variance = max(0.0, float(extra.sum()) / freedom)
    return max(0.0, (variance * freedom + prior * prior_nodes) / (freedom + prior_nodes))


def _weighted_mean(weights: np.ndarray, mean: np.ndarray, nodes: np.ndarray) -> float:
    return (weights[nodes] @ mean[nodes]) / weights[nodes].sum()


def _means(offset: np.ndarray, weight: np.ndarray) -> _Means:
    return _Means(np.divide(offset, weight, out=np.zeros(len(weight)), where=weight > 0), weight)


def _ratio(numerator: np.ndarray, denominator: np.ndarray) -> float:
    total = float(denominator.sum())
    return float(numerator.sum()) / total if total > 0 else 0.0
