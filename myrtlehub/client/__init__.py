"""Client library for a myrtlehub node.

- `requests`, `errors`, `results`: requests, the errors that are raised, and the outcome of an attempt.
- `retries`: whether and when an attempt is followed by another; pure, shared by all clients.
- `sync_client`, `asyncio_client`, `batch_client`: clients over grpcio (extra `client`), with what they share
  in `grpcio_calls`.
- `twisted_client`: a client over this project's own gRPC channel.

Each client yields tokens and ends with one final answer: a generated one is a value, every other outcome is
raised as an `AnswerError`. The server side lives in `myrtlehub.node`.
"""

from myrtlehub.client.errors import AbortedError, AnswerError, InvalidRequestError, RejectedError
from myrtlehub.client.requests import ChatRequest, RetrySemantics
from myrtlehub.client.results import Generated

__all__ = [
    "AbortedError",
    "AnswerError",
    "ChatRequest",
    "Generated",
    "InvalidRequestError",
    "RejectedError",
    "RetrySemantics",
]
