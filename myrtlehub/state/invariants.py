"""The invariants of a node: conditions that hold whenever it sends, closes, answers or forgets.

Every code path checks them with the functions of this module, which return the violated invariant or None. A
send that would violate an invariant is withheld; that is no defect, because the facts can change between the
router's decision and the first byte. Every other violation is a defect of the node; it is counted by kind.
"""

from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple


class Invariant(StrEnum):
    """A condition that has to hold. The values are counted and logged."""

    CLIENT_PRESENT = "client present"  # an attempt is sent only for a client that waits for its answer
    TIME_LEFT = "time left"  # an attempt is sent only before its deadline
    ENGINE_SERVING = "engine serving"  # an attempt is sent only to an engine in state serving
    SLOW_START = "slow start"  # a cold engine gets no more attempts than its slow start allows
    MAY_RUN = (
        "may run"  # an attempt is sent only if an earlier one cannot have run or a second run is harmless
    )
    ANSWER_BEFORE_CLOSE = "answer before close"  # the node closes no client connection with an open request
    ONE_FINAL_ANSWER = "one final answer"  # each sequence gets one, and nothing after it
    ANSWER_IN_TIME = "answer in time"  # the final answer is given before the deadline
    STATE_RELEASED = "state released"  # each read state was fetched, or its release was sent
    STATE_IN_TIME = "state in time"  # a read state is fetched or its release sent within the state timeout
    TIMER_ARMED = "timer armed"  # the next run of each recurring call is scheduled


class SendFacts(NamedTuple):
    """What is known of an attempt just before its first byte.

    Attributes:
        client_is_present: The client is connected and has received no part of an answer.
        time_left: Seconds until the attempt's own deadline.
        engine_is_serving: The endpoint list has the engine in state serving.
        is_in_slow_start_share: The engine is warm, or its slow start allows this sequence.
        may_run: No earlier attempt can have run, or a second run is harmless.
    """

    client_is_present: bool
    time_left: float
    engine_is_serving: bool
    is_in_slow_start_share: bool
    may_run: bool


def broken_by_send(facts: SendFacts) -> Invariant | None:
    """Return the first invariant that sending now would violate; None if the attempt may be sent."""
    verdicts = (
        (facts.client_is_present, Invariant.CLIENT_PRESENT),
        (facts.time_left > 0.0, Invariant.TIME_LEFT),
        (facts.engine_is_serving, Invariant.ENGINE_SERVING),
        (facts.may_run, Invariant.MAY_RUN),
        (facts.is_in_slow_start_share, Invariant.SLOW_START),
    )
    return next((invariant for is_satisfied, invariant in verdicts if not is_satisfied), None)


def broken_by_close(has_open_request: bool) -> Invariant | None:
    """Return the invariant that closing a client's connection violates, or None."""
    return Invariant.ANSWER_BEFORE_CLOSE if has_open_request else None


def broken_by_answer(has_final_answer: bool) -> Invariant | None:
    """Return the invariant that a final answer violates, or None; `has_final_answer`: there was one."""
    return Invariant.ONE_FINAL_ANSWER if has_final_answer else None


def broken_by_forgetting(has_final_answer: bool, has_unreleased_state: bool) -> Invariant | None:
    """Return the invariant that forgetting a sequence violates, or None."""
    if not has_final_answer:
        return Invariant.ONE_FINAL_ANSWER
    return Invariant.STATE_RELEASED if has_unreleased_state else None


def broken_by_waiting(overdue: float, tolerance: float) -> Invariant | None:
    """Return the invariant violated by a sequence without answer `overdue` s after its deadline, or None."""
    return Invariant.ANSWER_IN_TIME if overdue > tolerance else None


def broken_by_holding(held: float, timeout: float) -> Invariant | None:
    """Return the invariant violated by a read state neither fetched nor released for `held` s, or None."""
    return Invariant.STATE_IN_TIME if held > timeout else None


def broken_by_timer(is_armed: bool) -> Invariant | None:
    """Return the invariant that a recurring call violates, or None; `is_armed`: its next run is scheduled."""
    return None if is_armed else Invariant.TIMER_ARMED


class InvariantCounter:
    """Counts withheld sends and violations, by invariant.

    `on_violation(invariant, sequence_id)` is called with each violation; the id is empty if it concerns no
    single sequence.
    """

    def __init__(self, on_violation: Callable[[Invariant, str], None]) -> None:
        self._on_violation = on_violation
        self.withheld: Counter[str] = Counter()
        self.violations: Counter[str] = Counter()

    def count_withheld(self, invariant: Invariant) -> None:
        """Count an attempt that was not sent because of an invariant."""
        self.withheld[invariant.value] += 1

    def check(self, broken: Invariant | None, sequence_id: str = "") -> bool:
        """Count a violation if there is one; return whether there is none."""
        if broken is None:
            return True
        self.violations[broken.value] += 1
        self._on_violation(broken, sequence_id)
        return False
