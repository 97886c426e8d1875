"""Invariants of a node, checked on each send, connection close, final answer and removal of a sequence.

Every code path checks them with the functions of this module, which return the violated invariant or None. A
send that would violate an invariant is withheld. This is not a defect, because conditions can change between
the router's decision and the first byte. Every other violation is a defect of the node and is counted by
invariant.
"""

from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple


class Invariant(StrEnum):
    """A condition that must hold. The values appear in counters and logs."""

    CLIENT_PRESENT = "client present"  # an attempt is sent only while the client waits for its answer
    TIME_LEFT = "time left"  # an attempt is sent only before its deadline
    ENGINE_SERVING = "engine serving"  # an attempt is sent only to an engine in state serving
    SLOW_START = "slow start"  # a cold engine gets no more attempts than its slow start allows
    MAY_RUN = "may run"  # an attempt is sent only if no earlier one can have run, or a second run is safe
    ANSWER_BEFORE_CLOSE = "answer before close"  # no client connection with an open request is closed
    ONE_FINAL_ANSWER = "one final answer"  # each sequence gets exactly one, and nothing after it
    ANSWER_IN_TIME = "answer in time"  # the final answer is sent before the deadline
    STATE_RELEASED = "state released"  # each read state was fetched, or its release was sent
    STATE_IN_TIME = "state in time"  # a read state is fetched or its release sent within the state timeout
    TIMER_ARMED = "timer armed"  # the next run of each recurring call is scheduled


class SendPreconditions(NamedTuple):
    """The preconditions of a send, evaluated just before its first byte.

    Attributes:
        client_is_present: The client is connected and has received no part of an answer.
        time_left: Seconds until the attempt's own deadline.
        engine_is_serving: The endpoint list has the engine in state serving.
        is_in_slow_start_share: The engine is warm, or its slow start allows this sequence.
        may_run: No earlier attempt can have run, or running the sequence twice is safe.
    """

    client_is_present: bool
    time_left: float
    engine_is_serving: bool
    is_in_slow_start_share: bool
    may_run: bool


def violated_by_send(facts: SendPreconditions) -> Invariant | None:
    """Return the first invariant that sending now would violate, or None if the attempt may be sent."""
    conditions = (
        (facts.client_is_present, Invariant.CLIENT_PRESENT),
        (facts.time_left > 0.0, Invariant.TIME_LEFT),
        (facts.engine_is_serving, Invariant.ENGINE_SERVING),
        (facts.may_run, Invariant.MAY_RUN),
        (facts.is_in_slow_start_share, Invariant.SLOW_START),
    )
    return next((invariant for is_satisfied, invariant in conditions if not is_satisfied), None)


def violated_by_close(has_open_request: bool) -> Invariant | None:
    """Return the invariant that closing a client connection violates, or None."""
    return Invariant.ANSWER_BEFORE_CLOSE if has_open_request else None


def violated_by_answer(has_final_answer: bool) -> Invariant | None:
    """Return the invariant that a final answer violates, or None.

    Args:
        has_final_answer: whether an earlier final answer was sent.
    """
    return Invariant.ONE_FINAL_ANSWER if has_final_answer else None


def violated_by_removal(has_final_answer: bool, has_unreleased_state: bool) -> Invariant | None:
    """Return the invariant that removing a sequence from the node violates, or None."""
    if not has_final_answer:
        return Invariant.ONE_FINAL_ANSWER
    return Invariant.STATE_RELEASED if has_unreleased_state else None


def violated_by_overdue_answer(overdue: float, tolerance: float) -> Invariant | None:
    """Return the invariant violated by a sequence without a final answer, or None.

    Args:
        overdue: seconds since the deadline.
        tolerance: seconds by which a final answer may be late.
    """
    return Invariant.ANSWER_IN_TIME if overdue > tolerance else None


def violated_by_state_retention(held: float, timeout: float) -> Invariant | None:
    """Return the invariant violated by a read state that is neither fetched nor released, or None.

    Args:
        held: seconds for which the read state has been held.
        timeout: the state timeout, in seconds.
    """
    return Invariant.STATE_IN_TIME if held > timeout else None


def violated_by_timer(is_armed: bool) -> Invariant | None:
    """Return the invariant that a recurring call violates, or None.

    Args:
        is_armed: whether its next run is scheduled.
    """
    return None if is_armed else Invariant.TIMER_ARMED


class InvariantCounter:
    """Counts withheld sends and violations by invariant."""

    def __init__(self, on_violation: Callable[[Invariant, str], None]) -> None:
        """Start with zero counts.

        Args:
            on_violation: called on each violation with the invariant and the sequence id, which is empty if
                the violation concerns no single sequence.
        """
        self._on_violation = on_violation
        self.withheld: Counter[str] = Counter()
        self.violations: Counter[str] = Counter()

    def count_withheld(self, invariant: Invariant) -> None:
        """Count an attempt that was withheld because of an invariant."""
        self.withheld[invariant.value] += 1

    def check(self, violated: Invariant | None, sequence_id: str = "") -> bool:
        """Count and report the violated invariant, if any; return whether there is none."""
        if violated is None:
            return True
        self.violations[violated.value] += 1
        self._on_violation(violated, sequence_id)
        return False
