"""Decodes the protobuf request of chat."""

from google.protobuf.message import DecodeError

from myrtlehub.node.request_decoder import DecodedRequest
from myrtlehub.proto import chat_pb2 as pb
from myrtlehub.rpc.status import Code, RpcError


def parse_request(data: bytes, is_resume: bool) -> pb.GenerateRequest:
    """Parse the message that a client sent to `Generate` or to `Resume`.

    Raises:
        RpcError: the message is malformed, or is meant for the other method.
    """
    try:
        message = pb.GenerateRequest.FromString(data)
    except DecodeError as error:
        raise RpcError(Code.INVALID_ARGUMENT, f"not a GenerateRequest: {error}") from error
    if is_resume != bool(message.resume.sequence):
        raise RpcError(Code.INVALID_ARGUMENT, "resume.sequence: has to be in Resume, and nowhere else")
    return message


def decode_request(message: pb.GenerateRequest, deadline_in: float) -> DecodedRequest:
    """Decode a request; `deadline_in` is the time until the deadline of the call, in seconds."""
    return DecodedRequest(
        traffic_type=message.traffic_type,
        tenant=message.tenant,
        session=message.session,
        prefix=message.shared_prefix,
        shared_tokens=message.shared_tokens,
        prompt_tokens=message.prompt_tokens,
        max_output_tokens=message.most_output,
        time_left=message.time_left_ms / 1000.0,
        deadline_in=deadline_in,
        idempotency_key=message.mark,
        is_retry=message.repeated,
        expected_seconds=message.expected_ms / 1000.0,
        prompt=message.prompt,
    )
