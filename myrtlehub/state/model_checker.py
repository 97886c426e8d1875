"""An exhaustive model checker.

The search is breadth first, so the trace of the first violation is a shortest one; `replay` follows it.
"""

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from typing import NamedTuple, TypeAlias, TypeVar

StateT = TypeVar("StateT", bound=Hashable)
# A function that returns the steps from a state. A step has a label, the state after it, and the rule that it
# violates; None or "" if it violates none.
Steps: TypeAlias = Callable[[StateT], Iterable[tuple[str, StateT, str | None]]]
# By visited state: its predecessor and the label of the step between them; None for the initial state.
_Parents: TypeAlias = dict[StateT, tuple[StateT, str] | None]

DEFAULT_MAX_STATES = 10_000_000  # per search, because all visited states are kept in memory


class CheckResult(NamedTuple):
    """The extent and the result of a search."""

    states: int
    steps: int
    depth: int  # steps from the initial state to the deepest state visited
    is_complete: bool  # every reachable state was visited
    violation: str | None
    trace: tuple[str, ...]  # labels of the steps from the initial state to the violation


class UnknownStepError(KeyError):
    """A trace names a step that the model does not offer in the state reached."""


def check_model(
    initial: StateT, steps: Steps[StateT], max_depth: int, max_states: int = DEFAULT_MAX_STATES
) -> CheckResult:
    """Visit all states up to a depth and a number of states; stop at the first violation."""
    parents: _Parents[StateT] = {initial: None}
    queue: deque[tuple[StateT, int]] = deque([(initial, 0)])
    step_count, deepest, is_complete = 0, 0, True
    while queue:
        state, depth = queue.popleft()
        deepest = max(deepest, depth)
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
    return CheckResult(len(parents), step_count, deepest, is_complete, None, ())


def _trace_to(parents: _Parents[StateT], state: StateT) -> tuple[str, ...]:
    labels = []
    while (parent := parents[state]) is not None:
        state, label = parent
        labels.append(label)
    return tuple(reversed(labels))


def replay(initial: StateT, steps: Steps[StateT], trace: Iterable[str]) -> tuple[StateT, str | None]:
    """Replay a trace of step labels; return the final state and the rule that the last step violates, if any.

    Raises:
        UnknownStepError: no step with the next label is possible in the state reached.
    """
    state: StateT = initial
    violation: str | None = None
    for label in trace:
        steps_by_label = {found: (next_state, broken) for found, next_state, broken in steps(state)}
        if label not in steps_by_label:
            raise UnknownStepError(label)
        state, violation = steps_by_label[label]
    return state, violation
