"""How what comes back from an engine ends a schedule attempt: one table, read by status and mark."""

from typing import NamedTuple

from myrtlehub.routing import contract


class End(NamedTuple):
    """An outcome; `no_state`: the writer had nothing to fetch."""

    outcome: str
    no_state: bool = False


# (reads, status, marked as turned away) -> end. Whatever is not here proves nothing, and is an error.
HEADS = {
    (True, 202, False): End(contract.Outcome.READ),
    (False, 200, False): End(contract.Outcome.GENERATED),
    (True, 503, True): End(contract.Outcome.FULL),
    (False, 503, True): End(contract.Outcome.FULL),
    (True, 504, True): End(contract.Outcome.FULL),
    (False, 504, True): End(contract.Outcome.FULL),
    (False, 410, True): End(contract.Outcome.FULL, no_state=True),
}


def of_head(reads: bool, status: int, turned_away: bool) -> End:
    """What an answer's head says; READ and GENERATED hold once the answer is whole."""
    return HEADS.get((reads, status, turned_away), End(contract.Outcome.ERROR))


def of_break(sent: bool) -> End:
    """No whole answer came: what was not sent whole can't have run."""
    return End(contract.Outcome.RESET if sent else contract.Outcome.UNREACHED)
