"""Errors that a client raises for a request without a whole answer."""

from typing import ClassVar

from myrtlehub.client.results import AttemptResult, Outcome


class AnswerError(Exception):
    """A request ended without a whole answer, after `tokens_received` tokens and `attempts` attempts."""

    outcome: ClassVar[Outcome] = Outcome.LOST

    def __init__(self, message: str, tokens_received: int = 0, attempts: int = 1) -> None:
        super().__init__(message)
        self.tokens_received = tokens_received
        self.attempts = attempts


class RejectedError(AnswerError):
    """Nothing ran, or a repeat is harmless: send the request again, best after `retry_after` seconds."""

    outcome = Outcome.REJECTED
    retry_after = 0.0


class AbortedError(AnswerError):
    """The request may have run. A program must not send a once-only request again."""

    outcome = Outcome.ABORTED


class InvalidRequestError(AnswerError):
    """The request is malformed; it was not accepted and nothing ran. The text names the field."""

    outcome = Outcome.INVALID


def error_for(result: AttemptResult, tokens_received: int, attempts: int) -> AnswerError:
    """Make the error for the last attempt of a request that was not generated."""
    if result.outcome is Outcome.REJECTED or result.unprocessed:
        error = RejectedError(result.message, tokens_received, attempts)
        error.retry_after = result.retry_after
        return error
    if result.outcome is Outcome.INVALID:
        return InvalidRequestError(result.message, tokens_received, attempts)
    return AbortedError(result.message, tokens_received, attempts)
