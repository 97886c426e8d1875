"""An exhaustive model checker: breadth first, so the first violation has a shortest trace, which replays."""

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from typing import NamedTuple, TypeVar

State = TypeVar("State", bound=Hashable)
# Moves from a state: a label, the state after it, and the violation that it is or "".
Moves = Callable[[State], Iterable[tuple[str, State, str]]]

DEFAULT_MAX_STATES = 10_000_000


class CheckResult(NamedTuple):
    """What a search came to."""

    states: int
    moves: int
    depth: int
    is_complete: bool  # every reachable state was visited
    violation: str
    trace: tuple[str, ...]  # labels from the first state to the violation


def check_model(
    first: State, moves: Moves, max_depth: int, max_states: int = DEFAULT_MAX_STATES
) -> CheckResult:
    """Visit all states within a depth, up to a number of them, and stop at the first violation."""
    parents: dict[State, tuple[State, str] | None] = {first: None}
    queue: deque[tuple[State, int]] = deque([(first, 0)])
    move_count, deepest, is_complete = 0, 0, True
    while queue:
        state, depth = queue.popleft()
        deepest = max(deepest, depth)
        for label, after, violation in moves(state):
            move_count += 1
            if violation:
                trace = (*_trace_to(parents, state), label)
                return CheckResult(len(parents), move_count, depth + 1, False, violation, trace)
            if after in parents:
                continue
            if depth + 1 > max_depth or len(parents) >= max_states:
                is_complete = False
                continue
            parents[after] = (state, label)
            queue.append((after, depth + 1))
    return CheckResult(len(parents), move_count, deepest, is_complete, "", ())


def _trace_to(parents: dict[State, tuple[State, str] | None], state: State) -> tuple[str, ...]:
    labels = []
    while (parent := parents[state]) is not None:
        state, label = parent
        labels.append(label)
    return tuple(reversed(labels))


def replay(first: State, moves: Moves, trace: Iterable[str]) -> tuple[State, str]:
    """Follow a trace by its labels; returns the last state and its violation, or "".

    Raises:
        KeyError: a label is no move there.
    """
    state, violation = first, ""
    for wanted in trace:
        state, violation = {label: (after, found) for label, after, found in moves(state)}[wanted]
    return state, violation
