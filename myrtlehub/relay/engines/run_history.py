"""Requests that run or may have run, so that none runs a second time when its id comes again."""

from myrtlehub.clock import Clock
from myrtlehub.node.endpoint_index import EndpointIndex
from myrtlehub.node.executor_observer import ExecutorObserver
from myrtlehub.node.sequences import Attempt
from myrtlehub.relay.clients.earlier_runs import PossibleRun
from myrtlehub.relay.engines.attempt_response import response_handler
from myrtlehub.relay.engines.recent_entries import RecentEntries
from myrtlehub.routing.contract import NOT_RUN_OUTCOMES, Outcome, RetrySemantics, RouterConfig

RETENTION_S = 600.0  # far longer than any client waits
MAX_RUNS = 20_000  # some minutes of a node's traffic
STOPPED_OUTCOMES = frozenset((Outcome.CANCELLED, Outcome.TIMEOUT))  # by this node, whether sent or not


class RunHistory(ExecutorObserver):
    """The possible runs of recent requests, by id, other than those that may be repeated without harm.

    A client that has left can send its request again on another connection, with the same id. The router does
    not know that id any more.

    Args:
        clock: The clock of the node.
        engines: The engines of the endpoint list.
        config: The configuration of the router.
    """

    def __init__(self, clock: Clock, engines: EndpointIndex, config: RouterConfig) -> None:
        self._engines = engines
        self._config = config
        self._running: dict[str, int] = {}  # number of outstanding writes by id
        self._runs: RecentEntries[PossibleRun] = RecentEntries(clock, RETENTION_S, MAX_RUNS)

    def is_running(self, sequence_id: str) -> bool:
        """Return whether a write of the request is outstanding, also one whose client has left."""
        return sequence_id in self._running

    def find(self, sequence_id: str) -> PossibleRun | None:
        """Return the first attempt of a request with this id that may have run, or None."""
        return self._runs.get(sequence_id)

    def attempt_started(self, attempt: Attempt) -> None:
        """Count an outstanding write; see `ExecutorObserver`."""
        if self._is_recorded(attempt):
            sequence_id = attempt.sequence.sequence_id
            self._running[sequence_id] = self._running.get(sequence_id, 0) + 1

    def attempt_ended(self, attempt: Attempt) -> None:
        """Record a write that may have run; see `ExecutorObserver`."""
        if not self._is_recorded(attempt):
            return
        sequence_id = attempt.sequence.sequence_id
        count = self._running.pop(sequence_id, 1) - 1
        if count > 0:
            self._running[sequence_id] = count
        if _may_have_run(attempt) and sequence_id not in self._runs:
            engine = self._engines.endpoints[attempt.engine].address
            self._runs.add(sequence_id, PossibleRun(engine, attempt.sent_at))

    def _is_recorded(self, attempt: Attempt) -> bool:
        traffic = self._config.traffic[attempt.sequence.arrival.traffic]
        return not attempt.is_read and traffic.retry_semantics != RetrySemantics.IDEMPOTENT


def _may_have_run(attempt: Attempt) -> bool:
    """Return whether an engine may have received the last byte of an ended attempt."""
    if attempt.outcome in NOT_RUN_OUTCOMES:
        return False
    if attempt.outcome not in STOPPED_OUTCOMES:
        return True
    handler = response_handler(attempt)
    return handler is not None and handler.was_sent
