"""Requests of the client library, and their retry semantics."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from myrtlehub.proto import chat_pb2 as pb


class RetrySemantics(StrEnum):
    """Effect of a second execution of a request; the values are those of the setting `repeats`."""

    IDEMPOTENT = "repeatable"
    IDEMPOTENCY_KEY = "tokened"
    AT_MOST_ONCE = "once-only"


class RetryTerms(Protocol):
    """The attributes of a request that decide whether and for how long it is retried."""

    @property
    def retry_semantics(self) -> RetrySemantics:
        """Effect of a second execution."""

    @property
    def timeout(self) -> float:
        """Seconds for all attempts together."""

    @property
    def max_attempts(self) -> int:
        """Bound on the number of attempts."""


@dataclass(frozen=True)
class ChatRequest:
    """One request for generated tokens.

    `retry_semantics` has to be that of the traffic type in the node's settings; if unknown, use at most once.
    `first_token_timeout` limits the wait for the first token of an attempt (0: the traffic type's limit),
    `timeout` the request with all of its attempts, both in seconds.
    """

    traffic_type: str
    prompt_tokens: int
    max_output_tokens: int
    prompt: bytes = b""
    retry_semantics: RetrySemantics = RetrySemantics.AT_MOST_ONCE
    idempotency_key: str = ""
    tenant: str = ""
    session: str = ""
    shared_prefix: str = ""
    shared_tokens: int = 0
    first_token_timeout: float = 0.0
    timeout: float = 60.0
    max_attempts: int = 3

    def message(self, attempt: int) -> pb.GenerateRequest:
        """Make the message of an attempt, counted from 0."""
        return pb.GenerateRequest(
            traffic_type=self.traffic_type,
            tenant=self.tenant,
            session=self.session,
            shared_prefix=self.shared_prefix,
            shared_tokens=self.shared_tokens,
            prompt_tokens=self.prompt_tokens,
            most_output=self.max_output_tokens,
            time_left_ms=int(self.first_token_timeout * 1000),
            mark=self.idempotency_key,
            repeated=attempt > 0,
            prompt=self.prompt,
            may_move=True,
        )
