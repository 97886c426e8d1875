"""Retries: where a sequence may go again after an attempt, and which engines it then tries first."""

from myrtlehub.routing.contract import DedupGroup, Outcome, RetrySemantics, RouterConfig
from myrtlehub.routing.records import Attempt, Engine, Sequence

CAPACITY_MEMORY = 20.0  # seconds for which an engine that was full for a tenant and type is their last choice
# Seconds that a retry may take from the decision, or its last check, to the engine: for 0.15 a node may be
# held up between reading its clock and writing; two turns of the event loop and the way there take 0.05.
SEND_MARGIN = 0.15 + 0.05
NOT_RUN = (  # outcomes after which no answer can have run unknown to us
    Outcome.GENERATED,
    Outcome.READ,
    Outcome.FULL,
    Outcome.UNREACHED,
    Outcome.UNSENT,
)


def may_run_at(sequence: Sequence, engine: Engine, now: float, config: RouterConfig) -> bool:
    """Rule 2: what may have run goes again only as its traffic type allows."""
    # it has to be there while the engines still know its idempotency key
    arrives_at = now + config.connect_timeout + SEND_MARGIN
    return may_arrive_at(sequence, engine, arrives_at, config)


def may_arrive_at(sequence: Sequence, engine: Engine, arrives_at: float, config: RouterConfig) -> bool:
    """Rule 2, for an attempt that is at the engine at that time."""
    first = sequence.possible_run
    traffic = sequence.traffic
    if first is None or traffic.retry_semantics == RetrySemantics.IDEMPOTENT:
        return True
    if traffic.retry_semantics == RetrySemantics.AT_MOST_ONCE:
        return False
    is_in_time = arrives_at < first.sent_at + traffic.dedup_window
    return is_in_time and engine.dedup_group(traffic) == first.dedup_group


def may_reject(sequence: Sequence) -> bool:
    """Return whether a rejection is true: it did not run, or another run does no harm anywhere."""
    traffic = sequence.traffic
    if traffic.retry_semantics == RetrySemantics.IDEMPOTENT:
        return True
    if traffic.retry_semantics == RetrySemantics.IDEMPOTENCY_KEY and traffic.dedup_group == DedupGroup.ALL:
        return True
    # a read that is still out counts until it is known to have ended
    return sequence.possible_run is None and not sequence.running_attempts()


def record_capacity(sequence: Sequence, attempt: Attempt, now: float) -> None:
    """Remember for which tenants and traffic types an engine had capacity, and for which not."""
    engine = attempt.engine
    if attempt.has_succeeded:
        engine.accepts_until[sequence.customer] = now + CAPACITY_MEMORY
    elif attempt.outcome == Outcome.FULL and not attempt.cached_tokens:
        sequence.was_refused = True
        engine.full_until[sequence.customer] = now + CAPACITY_MEMORY
        engine.accepts_until.pop(sequence.customer, None)


def prefer_accepting(engines: list[Engine], sequence: Sequence, now: float) -> list[Engine]:
    """Return those not full for its tenant and type of late; once refused, those that accepted such."""
    customer = sequence.customer
    willing = [engine for engine in engines if engine.full_until.get(customer, now) <= now]
    if not sequence.was_refused:
        return willing
    return [engine for engine in willing if engine.accepts_until.get(customer, now) > now] or willing


def record_outcome(sequence: Sequence, attempt: Attempt, now: float) -> None:
    """Take note of where a sequence stands after an attempt."""
    outcome = attempt.outcome
    if sequence.possible_run is None and not attempt.is_read and outcome not in NOT_RUN:
        sequence.may_have_run(attempt.engine, attempt.sent_at)
    if outcome == Outcome.READ and attempt.is_read and not sequence.has_begun:
        sequence.state_at = attempt.engine
        sequence.state_since = now
    elif outcome == Outcome.FULL and attempt.cached_tokens and not attempt.is_read:
        sequence.state_at = None
    elif outcome not in (Outcome.GENERATED, Outcome.READ, Outcome.UNSENT):
        sequence.failed_engines.add(attempt.engine)
        if outcome != Outcome.UNREACHED:  # the time runs on while connections fail to come up
            sequence.state_since = now
