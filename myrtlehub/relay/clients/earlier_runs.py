"""What the handler of clients' requests has to know of earlier requests with the same id."""

from typing import NamedTuple, Protocol


class PossibleRun(NamedTuple):
    """The first attempt of a request that may have run: the name of its engine, and when it was sent."""

    engine: str
    sent_at: float  # clock time in seconds


class EarlierRuns(Protocol):
    """The requests that run or may have run, and must not simply run again."""

    def is_running(self, sequence_id: str) -> bool:
        """Return whether a write of the request is outstanding, also one whose client has left."""

    def find(self, sequence_id: str) -> PossibleRun | None:
        """Return the first attempt of a request with this id that may have run, or None."""
