"""The texts of verdicts: reasons in the journal, in printed events and in the last line of the output."""

from collections.abc import Iterable

from myrtlehub.rollout.statistics import Comparison, Guard


def describe_guard(guard: Guard) -> str:
    """Return the name of a guard's metric, with the traffic type if it covers only one."""
    return f"{guard.metric} of {guard.traffic}" if guard.traffic else guard.metric


def describe_comparison(comparison: Comparison) -> str:
    """Describe a comparison: the metric, both groups and the interval of the harm."""
    return (
        f"{describe_guard(comparison.guard)}: "
        f"{comparison.changed:.4f} on {comparison.nodes.changed} changed nodes, "
        f"{comparison.unchanged:.4f} on {comparison.nodes.unchanged} unchanged ones; "
        f"worse by {comparison.harm:.4f} "
        f"({comparison.low:.4f} to {comparison.high:.4f}) over {comparison.windows} blocks, "
        f"{comparison.margin:.4f} is acceptable"
    )


def describe_worse(comparisons: Iterable[Comparison]) -> str:
    """Describe all comparisons that show harm."""
    return "; ".join(map(describe_comparison, comparisons))


def describe_loss(lost: float, max_lost_utility: float) -> str:
    """Describe a loss of utility above the limit, in units of the utility offered to the fleet per window."""
    return (
        f"the change has cost the utility of {lost:.1f} blocks of the whole fleet, "
        f"{max_lost_utility:.1f} may be lost"
    )


def describe_disturbance(reason: str) -> str:
    """Describe a disturbance that is not attributed to the change."""
    return f"{reason}: not put down to the change"


def describe_progress(windows: int, observation_windows: int) -> str:
    """Describe how many windows of the observation have passed."""
    return f"{windows} of {observation_windows} blocks watched"


def describe_pass(inconclusive: list[Comparison]) -> str:
    """Describe a pass; name the metrics whose harm is not shown to be below the margin."""
    if not inconclusive:
        return "within all margins"
    metrics = ", ".join(describe_guard(comparison.guard) for comparison in inconclusive)
    return f"not shown to be worse; less than the margin is not shown either for {metrics}"
