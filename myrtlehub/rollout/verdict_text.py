"""The wording of verdicts, for people: in the journal, in printed events and in the rollout's last line."""

from collections.abc import Iterable

from myrtlehub.rollout.statistics import Comparison, Guard


def describe_guard(guard: Guard) -> str:
    """Name a guard's figure, and the traffic type where it is of one."""
    return f"{guard.metric} of {guard.traffic}" if guard.traffic else guard.metric


def describe_comparison(comparison: Comparison) -> str:
    """State one comparison: figure, both groups, interval."""
    return (
        f"{describe_guard(comparison.guard)}: "
        f"{comparison.changed:.4f} on {comparison.nodes.changed} changed nodes, "
        f"{comparison.unchanged:.4f} on {comparison.nodes.unchanged} unchanged ones; "
        f"worse by {comparison.harm:.4f} "
        f"({comparison.low:.4f} to {comparison.high:.4f}) over {comparison.windows} blocks, "
        f"{comparison.margin:.4f} is acceptable"
    )


def describe_worse(comparisons: Iterable[Comparison]) -> str:
    """State all comparisons that show harm."""
    return "; ".join(map(describe_comparison, comparisons))


def describe_loss(lost: float, max_lost: float) -> str:
    """State that the rollout has cost more utility than it may."""
    return (
        f"the change has cost the utility of {lost:.1f} blocks of the whole fleet, {max_lost:.1f} may be lost"
    )


def describe_disturbance(reason: str) -> str:
    """State that something else disturbs the fleet."""
    return f"{reason}: not put down to the change"


def describe_progress(windows: int, watch: int) -> str:
    """State how much of the watch is over."""
    return f"{windows} of {watch} blocks watched"


def describe_pass(doubtful: list[Comparison]) -> str:
    """State a pass, and of which figures it could not be shown that harm is below the margin."""
    if not doubtful:
        return "within all margins"
    figures = ", ".join(describe_guard(comparison.guard) for comparison in doubtful)
    return f"not shown to be worse; less than the margin is not shown either for {figures}"
