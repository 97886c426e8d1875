"""The arrival with which a sequence that was taken over is routed again."""

from collections.abc import Mapping

from myrtlehub.recovery.recovery_decision import RecoveryDecision
from myrtlehub.routing.contract import Arrival


def retry_arrival(
    arrival: Arrival,
    decision: RecoveryDecision,
    engine_indices: Mapping[str, int],
    started_at: float,
    now: float,
) -> Arrival:
    """Return the arrival of a sequence that was taken over.

    Args:
        arrival: the arrival of the client's request to resume.
        decision: the recovery decision, either to write from a read state or to retry.
        engine_indices: the indices of the engines in the endpoint list, by address.
        started_at: start of the takeover, in seconds on this node's clock.
        now: seconds on the same clock.
    """
    arrival = arrival._replace(time_left=max(0.0, arrival.time_left - (now - started_at)))
    reader = decision.target
    if reader is not None and reader.engine in engine_indices:
        arrival = arrival._replace(state_engine=engine_indices[reader.engine])
    uncertain = decision.uncertain_attempt
    if uncertain is not None and uncertain.engine in engine_indices:
        arrival = arrival._replace(
            may_have_run_at=engine_indices[uncertain.engine],
            may_have_run_ago=now - uncertain.intended_at,
        )
    return arrival
