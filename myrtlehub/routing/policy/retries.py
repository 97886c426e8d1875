"""Retries: which engines may run a sequence after an earlier attempt, and which are preferred."""

from myrtlehub.routing.contract import NOT_RUN_OUTCOMES, DedupGroup, Outcome, RetrySemantics, RouterConfig
from myrtlehub.routing.records import Attempt, Engine, Sequence

CAPACITY_TTL = 20.0  # seconds for which an engine's acceptance or rejection of a workload is valid
# Longest time in seconds from a decision, or from the check before the first byte, until the attempt arrives
# at its engine. The process can be suspended for 0.15 s between reading the clock and writing; two iterations
# of the event loop and the network take 0.05 s.
SEND_MARGIN = 0.15 + 0.05
# After these outcomes, the sequence has not run or this node has its result.
NO_UNKNOWN_RUN_OUTCOMES = NOT_RUN_OUTCOMES | {Outcome.GENERATED, Outcome.READ}


def may_run_at(sequence: Sequence, engine: Engine, now: float, config: RouterConfig) -> bool:
    """Return whether an attempt that is decided now may run at an engine (invariant 2).

    The attempt has to arrive within the dedup window of the first one, even if connecting takes the full
    timeout
    (`test_a_retry_arrives_within_its_dedup_window_though_its_connection_is_slow`).
    """
    arrives_at = now + config.connect_timeout + SEND_MARGIN
    return may_run_on_arrival(sequence, engine, arrives_at, config)


def may_run_on_arrival(sequence: Sequence, engine: Engine, arrives_at: float, config: RouterConfig) -> bool:
    """Return whether an attempt may run at an engine if it arrives there at `arrives_at` (invariant 2)."""
    first = sequence.possible_run
    traffic = sequence.traffic
    if first is None or traffic.retry_semantics == RetrySemantics.IDEMPOTENT:
        return True
    if traffic.retry_semantics == RetrySemantics.AT_MOST_ONCE:
        return False
    is_in_window = arrives_at < first.sent_at + traffic.dedup_window
    return is_in_window and engine.dedup_group(traffic) == first.dedup_group


def may_reject(sequence: Sequence) -> bool:
    """Return whether a rejection is allowed: the sequence did not run, or a retry has no second effect."""
    traffic = sequence.traffic
    if traffic.retry_semantics == RetrySemantics.IDEMPOTENT:
        return True
    if traffic.retry_semantics == RetrySemantics.IDEMPOTENCY_KEY and traffic.dedup_group == DedupGroup.ALL:
        return True
    # Attempts in flight, which `possible_run` does not include, may have run too.
    return sequence.possible_run is None and not sequence.running_attempts()


def record_capacity(sequence: Sequence, attempt: Attempt, now: float) -> None:
    """Record whether an engine accepted or rejected the workload of a sequence."""
    engine = attempt.engine
    if attempt.has_succeeded:
        engine.accepts_until[sequence.workload] = now + CAPACITY_TTL
    elif attempt.outcome == Outcome.FULL and not attempt.cached_tokens:
        sequence.was_rejected = True
        engine.full_until[sequence.workload] = now + CAPACITY_TTL
        engine.accepts_until.pop(sequence.workload, None)


def prefer_accepting(engines: list[Engine], sequence: Sequence, now: float) -> list[Engine]:
    """Return the engines that did not recently reject the workload of a sequence.

    For a sequence that was rejected itself, return only those of them that recently accepted the workload, if
    there are any.
    """
    workload = sequence.workload
    not_full = [engine for engine in engines if engine.full_until.get(workload, now) <= now]
    if not sequence.was_rejected:
        return not_full
    return [engine for engine in not_full if engine.accepts_until.get(workload, now) > now] or not_full


def record_outcome(sequence: Sequence, attempt: Attempt, now: float) -> None:
    """Record a possible run, a read state or a failed engine from the outcome of an attempt."""
    outcome = attempt.outcome
    if sequence.possible_run is None and not attempt.is_read and outcome not in NO_UNKNOWN_RUN_OUTCOMES:
        sequence.record_possible_run(attempt.engine, attempt.sent_at)
    if outcome == Outcome.READ and attempt.is_read and not sequence.has_begun:
        sequence.state_engine = attempt.engine
        sequence.state_held_since = now
    elif outcome == Outcome.FULL and attempt.cached_tokens and not attempt.is_read:
        sequence.state_engine = None  # the reader has lost the state
    elif outcome not in (Outcome.GENERATED, Outcome.READ, Outcome.UNSENT):
        sequence.failed_engines.add(attempt.engine)
        if outcome != Outcome.UNREACHED:  # a failed connection does not extend the time of a read state
            sequence.state_held_since = now
