"""Builds the protobuf requests to engines, and the deadlines of their calls."""

from typing import NamedTuple

from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.engine_transport.attempt_watcher import AttemptWatcher
from myrtlehub.node.engine_transport.batch_attempt import BatchWatcher
from myrtlehub.node.engine_transport.read_attempt import ReadWatcher
from myrtlehub.node.engine_transport.write_attempt import WriteWatcher
from myrtlehub.node.request_decoder import decoded_request_of
from myrtlehub.node.sequences import NO_DEADLINE, Attempt
from myrtlehub.proto import engine_pb2 as pb
from myrtlehub.recovery.sequence_records import Ownership

# Seconds by which the deadline of the call to an engine is later than the attempt's timeout.
DEADLINE_MARGIN = 0.05


class EngineRequest(NamedTuple):
    """One call to an engine."""

    method: str
    watcher: AttemptWatcher
    timeout: float | None  # seconds; None: no deadline
    data: bytes


def build_work(attempt: Attempt, ownership: Ownership, now: float) -> pb.Work:
    """Build the part that all requests have in common."""
    sequence = attempt.sequence
    request = decoded_request_of(sequence)
    return pb.Work(
        epoch=ownership.epoch,
        owner=ownership.owner,
        sequence=sequence.sequence_id,
        attempt=sequence.earlier_attempts + attempt.number,
        traffic_type=request.traffic_type,
        tenant=request.tenant,
        session=request.session,
        shared_prefix=request.prefix,
        shared_tokens=request.shared_tokens,
        prompt_tokens=request.prompt_tokens,
        most_output=request.max_output_tokens,
        mark=request.idempotency_key,
        prompt=request.prompt,
        first_within_ms=max(1, int((sequence.deadline - now) * 1000)),
    )


def build_request(executor: ActionExecutor, attempt: Attempt, work: pb.Work, now: float) -> EngineRequest:
    """Build the request of an attempt: a part of a batch, a read or a write."""
    if decoded_request_of(attempt.sequence).batch_request:
        return _batch_request(executor, attempt, work, now)
    if attempt.is_read:
        return _read_request(executor, attempt, work, now)
    return _write_request(executor, attempt, work, now)


def _batch_request(executor: ActionExecutor, attempt: Attempt, work: pb.Work, now: float) -> EngineRequest:
    # Two concatenated protobuf messages decode as one message with the fields of both.
    data = pb.BatchRequest(work=work).SerializeToString() + decoded_request_of(attempt.sequence).batch_request
    timeout = attempt.times_out_at - now + DEADLINE_MARGIN
    return EngineRequest("Batch", BatchWatcher(executor, attempt), timeout, data)


def _read_request(executor: ActionExecutor, attempt: Attempt, work: pb.Work, now: float) -> EngineRequest:
    data = pb.ReadRequest(work=work).SerializeToString()
    timeout = attempt.times_out_at - now + DEADLINE_MARGIN
    return EngineRequest("Read", ReadWatcher(executor, attempt), timeout, data)


def _write_request(executor: ActionExecutor, attempt: Attempt, work: pb.Work, now: float) -> EngineRequest:
    sequence = attempt.sequence
    handle = attempt.claimed_state.handle if attempt.claimed_state else None
    state = handle if isinstance(handle, pb.State) else None
    data = pb.WriteRequest(work=work, state=state).SerializeToString()
    # The attempt's timeout applies to the first token only; the stream may last until the client's deadline.
    time_left = decoded_request_of(sequence).deadline_in - (now - sequence.accepted_at)
    timeout = time_left + DEADLINE_MARGIN if time_left != NO_DEADLINE else None
    return EngineRequest("Write", WriteWatcher(executor, attempt), timeout, data)
