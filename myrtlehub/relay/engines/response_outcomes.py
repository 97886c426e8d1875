"""How an engine's response, or the lack of one, ends an attempt: one table by status and rejection header."""

from typing import NamedTuple

from myrtlehub.routing.contract import Outcome


class AttemptEnd(NamedTuple):
    """The end of an attempt.

    Attributes:
        outcome: The outcome reported to the router.
        is_state_missing: The writer found no read state to fetch.
    """

    outcome: Outcome
    is_state_missing: bool = False


class ResponseHead(NamedTuple):
    """The parts of a response that determine the outcome.

    Attributes:
        is_read: The attempt is a read; otherwise a write.
        status: The HTTP status.
        is_rejection: The header X-Turned-Away says that the engine has not executed the request.
    """

    is_read: bool
    status: int
    is_rejection: bool


# Any other response does not prove whether the request was executed, and has the outcome ERROR.
END_BY_RESPONSE = {
    ResponseHead(True, 202, False): AttemptEnd(Outcome.READ),
    ResponseHead(False, 200, False): AttemptEnd(Outcome.GENERATED),
    ResponseHead(True, 503, True): AttemptEnd(Outcome.FULL),
    ResponseHead(False, 503, True): AttemptEnd(Outcome.FULL),
    ResponseHead(True, 504, True): AttemptEnd(Outcome.FULL),
    ResponseHead(False, 504, True): AttemptEnd(Outcome.FULL),
    ResponseHead(False, 410, True): AttemptEnd(Outcome.FULL, is_state_missing=True),
}


def end_by_response(is_read: bool, status: int, is_rejection: bool) -> AttemptEnd:
    """Return the end that a response's head announces; READ and GENERATED need a complete body as well."""
    return END_BY_RESPONSE.get(ResponseHead(is_read, status, is_rejection), AttemptEnd(Outcome.ERROR))


def end_by_failure(request_sent: bool) -> AttemptEnd:
    """Return the end of an attempt without a complete response.

    Args:
        request_sent: The last byte of the request was sent; otherwise the engine cannot have executed it.
    """
    return AttemptEnd(Outcome.RESET if request_sent else Outcome.UNREACHED)
