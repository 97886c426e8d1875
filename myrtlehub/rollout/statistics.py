"""Statistics of the canary analysis: the difference of a metric between changed and unchanged nodes.

The requests of one node are not independent and nodes differ from each other, so the sampling unit is the
node, not the request. For each node and sample window, the offset of its metric from the metric of the
unchanged nodes in the same zone is computed, and the node's own offset before the change is subtracted.
Engine failures and traffic bursts affect both groups alike and cancel out.

The result may be evaluated after every window: the bounds form a normal-mixture confidence sequence (Robbins
1970; Howard, Ramdas, McAuliffe, Sekhon 2021, "Time-uniform, nonparametric, nonasymptotic confidence
sequences"). They are widened from the normal to Student's t distribution, as the variance between nodes is
estimated from few nodes.
"""

from typing import NamedTuple

import numpy as np
from scipy.special import ndtr, stdtrit  # type: ignore[import-untyped]  # scipy has no type information

from myrtlehub.rollout.metric_tally import MetricTally, TallySum
from myrtlehub.rollout.samples import ALL_TRAFFIC, BoolArray, FloatArray, Metric

MIN_WINDOWS = 3  # needed for a comparison; fewer show only a momentary difference
PRIOR_NODES = 4.0  # weight, in nodes, of the prior of the variance between nodes
PRIOR_DEVIATION = 0.25  # standard deviation between equal nodes in that prior, as a fraction of the margin
MAX_VARIANCE_INFLATION = 4.0  # largest factor by which autocorrelation increases the noise variance
MAX_AUTOCORRELATION = 0.6  # upper limit of the estimate; a higher one results only from too few windows
# Fraction of the permitted false-alarm rate for which the bounds are computed. Noise and variance are only
# estimated: with the full rate, 1.2 to 1.4 of 100 equal versions were stopped where 1 was permitted.
FALSE_ALARM_RATE_FRACTION = 0.5
# Ratio of the observation length to the rho of the mixture; 8 makes the bounds tightest near the end of an
# observation.
OBSERVATION_TO_RHO_RATIO = 8.0
EPSILON = 1e-12  # keeps divisors above zero


class Guard(NamedTuple):
    """A metric that must not get worse."""

    metric: Metric
    margin: float  # smallest unacceptable harm, in the metric's unit
    sign: float = 1.0  # 1.0: higher is worse; -1.0: lower is worse
    traffic: str = ALL_TRAFFIC


class NodeCounts(NamedTuple):
    """The number of nodes in each group."""

    changed: int
    unchanged: int


class Comparison(NamedTuple):
    """The comparison of one guarded metric, in the metric's unit. A positive harm means worse."""

    guard: Guard
    changed: float  # the changed nodes' metric in the compared windows
    unchanged: float  # the unchanged nodes' metric in the compared windows
    harm: float
    low: float  # lower bound of the harm; both bounds hold for all evaluations together
    high: float  # upper bound of the harm
    windows: int
    nodes: NodeCounts
    margin: float


class BoundParameters(NamedTuple):
    """The parameters from which the confidence bounds of a stage are computed."""

    # Permitted probability, over all evaluations, of stopping a version that is no worse.
    false_alarm_rate: float
    guard_count: int
    observation_windows: int  # number of windows for which a stage is observed


class _Means(NamedTuple):
    """The mean offset of each node and its weight."""

    mean: FloatArray
    weight: FloatArray


class _BaselineOffsets(NamedTuple):
    """The offset of each node from the unchanged nodes of its zone before the change."""

    mean: FloatArray
    variance: float  # between nodes
    reliability: FloatArray  # by node: the fraction of the variance of its mean that is not noise


def compare_metric(guard: Guard, tally: MetricTally, parameters: BoundParameters) -> Comparison | None:
    """Compare changed with unchanged nodes; return None if there are too few windows or nodes."""
    sums = tally.sums
    changed = sums[TallySum.CHANGED_WEIGHT] > 0.0
    unchanged = (sums[TallySum.UNCHANGED_WEIGHT] > 0.0) & ~changed
    if tally.windows < MIN_WINDOWS or not changed.any() or not unchanged.any():
        return None
    noise = noise_variance(tally)
    baseline = _baseline_offsets(tally, noise)
    means = _corrected_means(tally, changed, baseline)
    reference = _ratio(sums[TallySum.UNCHANGED_NUMERATOR], sums[TallySum.UNCHANGED_DENOMINATOR])
    weights = _node_weights(means, baseline, noise, unchanged, guard.margin)
    difference = _weighted_mean(weights, means.mean, changed) - _weighted_mean(weights, means.mean, unchanged)
    deviation = float(np.sqrt(1.0 / weights[changed].sum() + 1.0 / weights[unchanged].sum()))
    half_width = deviation * critical_value(parameters, tally.windows, int(unchanged.sum()))
    harm = guard.sign * float(difference)
    return Comparison(
        guard=guard,
        changed=_ratio(sums[TallySum.CHANGED_NUMERATOR], sums[TallySum.CHANGED_DENOMINATOR]),
        unchanged=reference,
        harm=harm,
        low=harm - half_width,
        high=harm + half_width,
        windows=tally.windows,
        nodes=NodeCounts(int(changed.sum()), int(unchanged.sum())),
        margin=guard.margin,
    )


def noise_variance(tally: MetricTally) -> float:
    """Return the variance of a node's metric between windows, for windows of weight 1.

    For windows of weight w, the variance is this value divided by w. It is increased by the autocorrelation
    of consecutive windows.
    """
    sums = tally.sums
    mean, weight = _means(sums[TallySum.OFFSET], sums[TallySum.WEIGHT])
    degrees_of_freedom = max(1.0, float(sums[TallySum.COUNT].sum() - (weight > 0.0).sum()))
    noise = max(0.0, float((sums[TallySum.SQUARE] - mean * mean * weight).sum())) / degrees_of_freedom
    products = sums[TallySum.PAIR_PRODUCT] - mean * (sums[TallySum.PAIR_LATER] + sums[TallySum.PAIR_EARLIER])
    products = products + mean * mean * sums[TallySum.PAIR_WEIGHT]
    covariance = float(products.sum()) / max(1.0, float(sums[TallySum.PAIR_COUNT].sum()))
    correlation = min(MAX_AUTOCORRELATION, max(0.0, covariance / max(noise, EPSILON)))
    return noise * min(MAX_VARIANCE_INFLATION, (1.0 + correlation) / (1.0 - correlation))


def critical_value(parameters: BoundParameters, windows: int, unchanged: int) -> float:
    """Return the distance of a bound from the estimate, in standard deviations.

    Args:
        parameters: the permitted false-alarm rate and the length of an observation.
        windows: number of windows compared.
        unchanged: number of unchanged nodes compared.
    """
    alpha = FALSE_ALARM_RATE_FRACTION * parameters.false_alarm_rate / max(1, parameters.guard_count)
    rho = max(1.0, parameters.observation_windows / OBSERVATION_TO_RHO_RATIO)
    log_threshold = np.log((windows + rho) / rho) + 2.0 * np.log(1.0 / alpha)
    normal_value = np.sqrt((windows + rho) / windows * log_threshold)
    return -float(stdtrit(unchanged - 1.0 + PRIOR_NODES, ndtr(-normal_value)))


def _baseline_offsets(tally: MetricTally, noise: float) -> _BaselineOffsets:
    mean, weight = _means(tally.sums[TallySum.BASELINE_OFFSET], tally.sums[TallySum.BASELINE_WEIGHT])
    variance = _variance_between_nodes(_Means(mean, weight), noise)
    reliability = variance / (variance + noise / np.maximum(weight, EPSILON) + EPSILON)
    return _BaselineOffsets(mean, variance, reliability)


def _corrected_means(tally: MetricTally, changed: BoolArray, baseline: _BaselineOffsets) -> _Means:
    """Return each node's mean offset since the change, minus the reliable part of its offset before it."""
    sums = tally.sums
    of_changed = _means(sums[TallySum.CHANGED_OFFSET], sums[TallySum.CHANGED_WEIGHT])
    of_unchanged = _means(sums[TallySum.UNCHANGED_OFFSET], sums[TallySum.UNCHANGED_WEIGHT])
    mean = np.where(changed, of_changed.mean, of_unchanged.mean) - baseline.reliability * baseline.mean
    return _Means(mean, np.where(changed, of_changed.weight, of_unchanged.weight))


def _node_weights(
    means: _Means, baseline: _BaselineOffsets, noise: float, unchanged: BoolArray, margin: float
) -> FloatArray:
    """Return the inverse variance of each node's mean: noise, baseline offset, and drift since the change."""
    noise_of_mean = noise / np.maximum(means.weight, EPSILON)
    explained = noise_of_mean + baseline.variance * (1.0 - baseline.reliability)
    drift = _variance_between_nodes(
        _Means(means.mean[unchanged], means.weight[unchanged]),
        noise,
        (PRIOR_DEVIATION * margin) ** 2,
        PRIOR_NODES,
        (explained - noise_of_mean)[unchanged],
    )
    weights: FloatArray = 1.0 / (explained + drift + EPSILON)
    return weights


def _variance_between_nodes(
    means: _Means,
    noise: float,
    prior: float = 0.0,
    prior_nodes: float = 0.0,
    explained: FloatArray | None = None,
) -> float:
    """Return the variance between nodes that noise does not explain.

    Args:
        means: the nodes' means.
        noise: the variance within a node for weight 1, as returned by `noise_variance`.
        prior: the expected variance.
        prior_nodes: the weight of the prior, in nodes.
        explained: by node, a further part of the variance that has a known cause.
    """
    mean, weight = means
    has_weight = weight > 0
    if has_weight.sum() < 2:
        return prior
    pooled_mean = float((mean[has_weight] * weight[has_weight]).sum() / weight[has_weight].sum())
    known_variance = 0.0 if explained is None else explained[has_weight]
    excess = (mean[has_weight] - pooled_mean) ** 2 - noise / weight[has_weight] - known_variance
    degrees_of_freedom = float(has_weight.sum()) - 1.0
    variance = max(0.0, float(excess.sum()) / degrees_of_freedom)
    return max(
        0.0, (variance * degrees_of_freedom + prior * prior_nodes) / (degrees_of_freedom + prior_nodes)
    )


def _weighted_mean(weights: FloatArray, mean: FloatArray, nodes: BoolArray) -> np.float64:
    return np.float64(weights[nodes] @ mean[nodes]) / np.float64(weights[nodes].sum())


def _means(offset: FloatArray, weight: FloatArray) -> _Means:
    return _Means(np.divide(offset, weight, out=np.zeros(len(weight)), where=weight > 0), weight)


def _ratio(numerator: FloatArray, denominator: FloatArray) -> float:
    total = float(denominator.sum())
    return float(numerator.sum()) / total if total > 0 else 0.0
