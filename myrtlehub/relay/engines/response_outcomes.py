"""How an engine's response ends an attempt: one table, read by status and rejection header."""

from typing import NamedTuple

from myrtlehub.routing.contract import Outcome


class AttemptEnd(NamedTuple):
    """An outcome; `no_state`: the writer had nothing to fetch."""

    outcome: Outcome
    no_state: bool = False


class ResponseHead(NamedTuple):
    """What of a response decides; `marked_rejected`: its header X-Turned-Away says that nothing ran."""

    reads: bool
    status: int
    marked_rejected: bool


# Whatever is not here proves nothing, and is an error.
END_BY_HEAD = {
    ResponseHead(True, 202, False): AttemptEnd(Outcome.READ),
    ResponseHead(False, 200, False): AttemptEnd(Outcome.GENERATED),
    ResponseHead(True, 503, True): AttemptEnd(Outcome.FULL),
    ResponseHead(False, 503, True): AttemptEnd(Outcome.FULL),
    ResponseHead(True, 504, True): AttemptEnd(Outcome.FULL),
    ResponseHead(False, 504, True): AttemptEnd(Outcome.FULL),
    ResponseHead(False, 410, True): AttemptEnd(Outcome.FULL, no_state=True),
}


def end_of_head(reads: bool, status: int, marked_rejected: bool) -> AttemptEnd:
    """Return what a response's head says; READ and GENERATED hold once the response is complete."""
    return END_BY_HEAD.get(ResponseHead(reads, status, marked_rejected), AttemptEnd(Outcome.ERROR))


def end_of_failure(request_sent: bool) -> AttemptEnd:
    """Return the end where no complete response came: what was not sent whole can't have run."""
    return AttemptEnd(Outcome.RESET if request_sent else Outcome.UNREACHED)
