"""What has to hold whenever a node sends, retries, closes, answers or forgets: facts in, a verdict out.

One place for all paths. A send that would break a rule is withheld by its verdict, which is no fault: events
cross. Whatever else is found broken is a violation: it is counted by kind, and means a defect of the node.
"""

from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple


class Invariant(StrEnum):
    """What has to hold."""

    CLIENT_PRESENT = "client present"  # nothing is sent for a client that left or has its answer
    TIME_LEFT = "time left"  # nor after its deadline
    ENGINE_SERVING = "engine serving"  # nor to an engine that drains or is gone
    SLOW_START = "slow start"  # nor to a cold engine beyond its share
    MAY_RUN = "may run"  # nor again where an earlier attempt may have run and another does harm
    ANSWER_BEFORE_CLOSE = "answer before close"  # a connection with an open request is not closed by us
    ONE_FINAL_ANSWER = "one final answer"  # each sequence has one, and nothing comes after it
    ANSWER_IN_TIME = "answer in time"  # and it comes before the deadline
    STATE_RELEASED = "state released"  # each read state is fetched, or a release of it is under way
    TIMER_ARMED = "timer armed"  # whatever recurs goes on to do so


class SendFacts(NamedTuple):
    """What is known of an attempt just before its first byte.

    Attributes:
        client_is_present: The client waits for an answer that has not begun.
        time_left: Seconds until the attempt's own deadline.
        engine_is_serving: The endpoint list has the engine for new work.
        is_in_slow_start_share: The engine is warm, or this sequence is of its share.
        may_run: Another run does no harm.
    """

    client_is_present: bool
    time_left: float
    engine_is_serving: bool
    is_in_slow_start_share: bool
    may_run: bool


def broken_by_send(facts: SendFacts) -> Invariant | None:
    """Return what sending now would break, first things first; None where the send may be made."""
    verdicts = (
        (facts.client_is_present, Invariant.CLIENT_PRESENT),
        (facts.time_left > 0.0, Invariant.TIME_LEFT),
        (facts.engine_is_serving, Invariant.ENGINE_SERVING),
        (facts.may_run, Invariant.MAY_RUN),
        (facts.is_in_slow_start_share, Invariant.SLOW_START),
    )
    return next((invariant for holds, invariant in verdicts if not holds), None)


def broken_by_close(has_open_request: bool, client_has_closed: bool) -> Invariant | None:
    """Return what closing a client's connection from our side breaks."""
    return Invariant.ANSWER_BEFORE_CLOSE if has_open_request and not client_has_closed else None


def broken_by_answer(has_final_answer: bool) -> Invariant | None:
    """Return what an answer breaks where the sequence may have its final answer already."""
    return Invariant.ONE_FINAL_ANSWER if has_final_answer else None


def broken_by_forgetting(has_final_answer: bool, has_unreleased_state: bool) -> Invariant | None:
    """Return what forgetting a sequence breaks: its answer is owed, or a state that nobody has released."""
    if not has_final_answer:
        return Invariant.ONE_FINAL_ANSWER
    return Invariant.STATE_RELEASED if has_unreleased_state else None


def broken_by_waiting(overdue: float, tolerance: float) -> Invariant | None:
    """Return what an unanswered sequence breaks that is `overdue` seconds past its deadline."""
    return Invariant.ANSWER_IN_TIME if overdue > tolerance else None


def broken_by_timer(is_armed: bool) -> Invariant | None:
    """Return what a recurring call breaks that is not due any more."""
    return None if is_armed else Invariant.TIMER_ARMED


class InvariantCounter:
    """Counts what was withheld, and what was violated, by kind.

    `on_violation(invariant, sequence_id)` is called with each violation; the id is empty where it concerns no
    single sequence.
    """

    def __init__(self, on_violation: Callable[[Invariant, str], None]) -> None:
        self._on_violation = on_violation
        self.withheld: Counter[str] = Counter()
        self.violations: Counter[str] = Counter()

    def count_withheld(self, invariant: Invariant) -> None:
        """Count a send that was not made."""
        self.withheld[invariant.value] += 1

    def check(self, broken: Invariant | None, sequence_id: str = "") -> bool:
        """Take a verdict; returns whether the invariant holds."""
        if broken is None:
            return True
        self.violations[broken.value] += 1
        self._on_violation(broken, sequence_id)
        return False
