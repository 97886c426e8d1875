"""An exhaustive model checker.

The search is breadth first, so the trace to the first violation is a shortest one. `replay` replays a trace.
"""

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from typing import NamedTuple, TypeAlias, TypeVar

StateT = TypeVar("StateT", bound=Hashable)
# Returns the steps from a state. A step is a label, the state after the step, and the rule that it violates;
# None or "" if it violates none.
Steps: TypeAlias = Callable[[StateT], Iterable[tuple[str, StateT, str | None]]]
# Maps each visited state to its predecessor and the label of the step between them; None for the initial one.
_Parents: TypeAlias = dict[StateT, tuple[StateT, str] | None]

DEFAULT_MAX_STATES = 10_000_000  # per search, because all visited states are kept in memory


class CheckResult(NamedTuple):
    """The result of a search, and how much of the state space it covered."""

    states: int
    steps: int
    depth: int  # largest number of steps from the initial state to a visited state
    is_complete: bool  # whether every reachable state was visited
    violation: str | None
    trace: tuple[str, ...]  # labels of the steps from the initial state to the violation


class UnknownStepError(KeyError):
    """A trace contains a step that is not possible in the state reached."""


def check_model(
    initial: StateT, steps: Steps[StateT], max_depth: int, max_states: int = DEFAULT_MAX_STATES
) -> CheckResult:
    """Visit all states within the given depth and number of states; stop at the first violation."""
    parents: _Parents[StateT] = {initial: None}
    queue: deque[tuple[StateT, int]] = deque([(initial, 0)])
    step_count, max_visited_depth, is_complete = 0, 0, True
    while queue:
        state, depth = queue.popleft()
        max_visited_depth = max(max_visited_depth, depth)
        for label, next_state, violation in steps(state):
            step_count += 1
            if violation:
                trace = (*_trace_to(parents, state), label)
                return CheckResult(len(parents), step_count, depth + 1, False, violation, trace)
            if next_state in parents:
                continue
            if depth + 1 > max_depth or len(parents) >= max_states:
                is_complete = False
                continue
            parents[next_state] = (state, label)
            queue.append((next_state, depth + 1))
    return CheckResult(len(parents), step_count, max_visited_depth, is_complete, None, ())


def _trace_to(parents: _Parents[StateT], state: StateT) -> tuple[str, ...]:
    labels = []
    while (parent := parents[state]) is not None:
        state, label = parent
        labels.append(label)
    return tuple(reversed(labels))


def replay(initial: StateT, steps: Steps[StateT], trace: Iterable[str]) -> tuple[StateT, str | None]:
    """Replay a trace of step labels; return the state reached and the rule violated by the last step, if any.

    Raises:
        UnknownStepError: no step with the next label is possible in the state reached.
    """
    state: StateT = initial
    violation: str | None = None
    for label in trace:
        steps_by_label = {
            step_label: (next_state, violated_rule) for step_label, next_state, violated_rule in steps(state)
        }
        if label not in steps_by_label:
            raise UnknownStepError(label)
        state, violation = steps_by_label[label]
    return state, violation
