"""Code that the clients over grpcio share: starting a call, and converting an error status to a result."""

from collections.abc import Sequence

import grpc  # type: ignore[import-untyped]  # grpcio publishes no types

from myrtlehub.client.results import AttemptResult, Outcome
from myrtlehub.client.retries import ChatRetryState
from myrtlehub.proto import chat_pb2 as pb


def start_call(
    channels: Sequence[grpc.Channel] | Sequence[grpc.aio.Channel], retries: ChatRetryState, now: float
) -> grpc.Call | grpc.aio.UnaryStreamCall:
    """Start the next call of a request, to the node that its retry state selects."""
    method = channels[retries.node_index % len(channels)].unary_stream(
        retries.method(),
        request_serializer=pb.GenerateRequest.SerializeToString,
        response_deserializer=pb.GenerateReply.FromString,
    )
    return method(retries.message(now), timeout=retries.call_timeout(now))


def result_of_error(error: grpc.RpcError) -> AttemptResult:
    """Return the result of a call that ended with an error status.

    grpcio does not report whether a failed call reached the node's application. Every call therefore counts
    as possibly processed.
    """
    if error.code() == grpc.StatusCode.INVALID_ARGUMENT:
        return AttemptResult(Outcome.INVALID, message=error.details() or "")
    if error.code() == grpc.StatusCode.ABORTED:  # another node has taken the sequence over
        return AttemptResult(Outcome.ABORTED, message=error.details() or "")
    return AttemptResult(Outcome.LOST, message=f"{error.code().name}: {error.details()}")
