"""Errors that a client raises for a request without a complete answer."""

from typing import ClassVar

from myrtlehub.client.results import AttemptResult, Outcome


class AnswerError(Exception):
    """A request ended without a complete answer, after `tokens_received` tokens and `attempts` attempts."""

    outcome: ClassVar[Outcome] = Outcome.LOST

    def __init__(self, message: str, tokens_received: int = 0, attempts: int = 1) -> None:
        super().__init__(message)
        self.tokens_received = tokens_received
        self.attempts = attempts


class RejectedError(AnswerError):
    """Nothing ran, or a second execution is harmless; send again after `retry_after` seconds or later."""

    outcome = Outcome.REJECTED
    retry_after = 0.0  # 0: the node has stated none


class AbortedError(AnswerError):
    """The request may have run; a program must not send one again whose semantics are at most once."""

    outcome = Outcome.ABORTED


class InvalidRequestError(AnswerError):
    """The request is malformed: it was not accepted and nothing ran. The message names the field."""

    outcome = Outcome.INVALID


def error_for(result: AttemptResult, tokens_received: int, attempts: int) -> AnswerError:
    """Return the error for the result of a request's last attempt, other than a generated answer."""
    if result.outcome is Outcome.REJECTED or result.unprocessed:
        error = RejectedError(result.message, tokens_received, attempts)
        error.retry_after = result.retry_after or 0.0
        return error
    if result.outcome is Outcome.INVALID:
        return InvalidRequestError(result.message, tokens_received, attempts)
    return AbortedError(result.message, tokens_received, attempts)
