"""Maps the status and rejection header of a response, or a failed request, to the outcome of an attempt."""

from typing import NamedTuple

from myrtlehub.routing.contract import Outcome


class AttemptEnd(NamedTuple):
    """The end of an attempt.

    Attributes:
        outcome: The outcome reported to the router.
        is_state_missing: Whether the reader had no read state for the writer to fetch.
    """

    outcome: Outcome
    is_state_missing: bool = False


class ResponseHead(NamedTuple):
    """The properties of a response that determine the outcome of its attempt.

    Attributes:
        is_read: Whether the attempt is a read; otherwise it is a write.
        status: The HTTP status.
        is_rejection: Whether the header X-Turned-Away states that the engine has not executed the request.
    """

    is_read: bool
    status: int
    is_rejection: bool


# Any other response leaves open whether the request was executed, and has the outcome ERROR.
ATTEMPT_END_BY_HEAD = {
    ResponseHead(True, 202, False): AttemptEnd(Outcome.READ),
    ResponseHead(False, 200, False): AttemptEnd(Outcome.GENERATED),
    ResponseHead(True, 503, True): AttemptEnd(Outcome.FULL),
    ResponseHead(False, 503, True): AttemptEnd(Outcome.FULL),
    ResponseHead(True, 504, True): AttemptEnd(Outcome.FULL),
    ResponseHead(False, 504, True): AttemptEnd(Outcome.FULL),
    ResponseHead(False, 410, True): AttemptEnd(Outcome.FULL, is_state_missing=True),
}


def attempt_end_of_response(is_read: bool, status: int, is_rejection: bool) -> AttemptEnd:
    """Return the end of an attempt by its response head. READ and GENERATED also need a complete body."""
    return ATTEMPT_END_BY_HEAD.get(ResponseHead(is_read, status, is_rejection), AttemptEnd(Outcome.ERROR))


def attempt_end_of_failure(request_sent: bool) -> AttemptEnd:
    """Return the end of an attempt without a complete response.

    Args:
        request_sent: Whether the request was sent completely. If not, the engine has not executed it.
    """
    return AttemptEnd(Outcome.RESET if request_sent else Outcome.UNREACHED)
