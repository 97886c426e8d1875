"""A simulated client that waits for one answer in the process of its node."""

from collections.abc import Callable
from enum import StrEnum

from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.request_decoder import DecodedRequest
from myrtlehub.node.sequences import InFlightSequence


class ClientAnswer(StrEnum):
    """How an answer ended for a client."""

    GENERATED = "generated"
    REJECTED = "rejected"
    ABORTED = "aborted"


class InProcessClient:
    """Waits for one answer; `on_started(client)` and `on_ended(client)` are each called once at most.

    Attributes:
        first_token_latency: Seconds from the request to the first token; None if no token has come.
        retry_after: Seconds after which a rejected request may be sent again; None without a rejection.
        answer: How the answer ended; None until then.
        sequence: The sequence that the node accepted.
    """

    def __init__(
        self,
        executor: ActionExecutor,
        request: DecodedRequest,
        now: float,
        on_ended: Callable[["InProcessClient"], None],
        on_started: Callable[["InProcessClient"], None],
    ) -> None:
        self.executor = executor
        self.request = request
        self.first_token_latency: float | None = None
        self.retry_after: float | None = None
        self.answer: ClientAnswer | None = None
        self.sequence: InFlightSequence | None = None
        self._requested_at = now
        self._on_ended = on_ended
        self._on_started = on_started

    def tokens(self, message: bytes) -> None:
        """Record the time of the first token; later tokens do not matter."""
        if self.first_token_latency is None:
            self.first_token_latency = self.executor.clock.seconds() - self._requested_at
            self._on_started(self)

    def generated(self, tokens: int) -> None:
        """Record that the answer is complete."""
        self._end(ClientAnswer.GENERATED)

    def rejected(self, retry_after: float) -> None:
        """Record a rejection."""
        self.retry_after = retry_after
        self._end(ClientAnswer.REJECTED)

    def aborted(self, reason: str) -> None:
        """Record an abort."""
        self._end(ClientAnswer.ABORTED)

    def _end(self, answer: ClientAnswer) -> None:
        self.answer = answer
        self._on_ended(self)
