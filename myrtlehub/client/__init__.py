"""Client library for a myrtlehub node.

- `requests`, `errors`, `results`: requests, the errors that are raised, and the outcome of an attempt.
- `retries`: decides whether and when an attempt is followed by another; without I/O, shared by all clients.
- `sync_client`, `asyncio_client`, `batch_client`: clients over grpcio (extra `client`); they share
  `grpcio_calls`.
- `twisted_client`: a client over this project's own gRPC channel.

A chat client delivers tokens and ends with one final answer: a generated answer is a value, any other outcome
is raised as an `AnswerError`. The server side is in `myrtlehub.node`.
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
