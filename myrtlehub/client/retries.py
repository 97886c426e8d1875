"""Whether a request is attempted again, when and at which node: pure, the same for all clients."""

from collections.abc import Callable, Iterable

from myrtlehub.client.errors import error_for
from myrtlehub.client.requests import ChatRequest, RetrySemantics, RetryTerms
from myrtlehub.client.results import AttemptResult, Generated, Outcome, result_of
from myrtlehub.proto import chat_pb2 as pb

GENERATE_METHOD = "/myrtlehub.v1.Chat/Generate"
RESUME_METHOD = "/myrtlehub.v1.Chat/Resume"
SEQUENCE_KEY = "myrtle-seq"  # metadata: a sequence's id
RESUMABLE_KEY = "myrtle-resume"  # metadata: a client may resume the sequence

MAX_RESUMES = 12  # of one request: a client that finds no node by then has lost the fleet
FIRST_RESUME_SPREAD = 0.15  # seconds over which clients of a lost node spread their first resume
RESUME_BACKOFF = 0.1  # seconds, times the number of resumes
MIN_RETRY_AFTER = 0.02  # seconds
BASE_BACKOFF = 0.05  # seconds, doubled with each attempt
MIN_CALL_TIMEOUT = 0.001  # seconds


class RetryState:
    """The attempts of one request; `random` draws in [0, 1) and spreads retries of many clients."""

    def __init__(self, request: RetryTerms, now: float, random: Callable[[], float]) -> None:
        self.request = request
        self.random = random
        self.deadline = now + request.timeout
        self.attempts = 0  # so far
        self.tokens = 0  # received
        self.started_at = now  # of the present sequence
        self.sequence = ""  # the id at all nodes, once its node has sent it
        self.resumes = 0
        self.resuming = False  # the next call resumes the sequence
        self.node_index = 0  # of the node to call, among those that are known

    def call_timeout(self, now: float) -> float:
        """Seconds that the next call may take."""
        return max(MIN_CALL_TIMEOUT, self.deadline - now)

    def next_delay(self, result: AttemptResult, now: float) -> float | None:
        """Return the seconds until the next call, or None if `final_answer` has to say how it ended.

        A rejected request is retried after its Retry-After. One that may have run is retried only if it is
        idempotent and none of its tokens were handed out, as they would come twice. A sequence whose node or
        connection was lost is resumed first, whatever its retry semantics.
        """
        resume_delay = self._resume_delay(result, now)
        if resume_delay is not None:
            return resume_delay
        self.attempts += 1
        if self.attempts >= self.request.max_attempts or self.tokens:
            return None
        delay = self._backoff(result)
        if delay is None or now + delay >= self.deadline:
            return None
        # It is another sequence from here on, at another node where one is known: the first may be gone.
        self.resuming = False
        self.sequence = ""
        self.started_at = now
        if result.outcome is Outcome.LOST:
            self.node_index += 1
        return delay

    def _backoff(self, result: AttemptResult) -> float | None:
        """Seconds until a retry, or None if the request must not be retried."""
        rejected = result.outcome is Outcome.REJECTED
        # Clients must not all return at once when nodes cannot state a Retry-After.
        without_retry_after = rejected and not result.retry_after
        if not without_retry_after and (rejected or result.unprocessed):
            return max(result.retry_after, MIN_RETRY_AFTER) * (1.0 + 0.5 * self.random())
        may_have_run = result.outcome in (Outcome.ABORTED, Outcome.LOST)
        is_idempotent = self.request.retry_semantics == RetrySemantics.IDEMPOTENT
        if without_retry_after or (may_have_run and is_idempotent):
            return BASE_BACKOFF * 2.0**self.attempts * (0.5 + self.random())
        return None

    def _resume_delay(self, result: AttemptResult, now: float) -> float | None:
        """Seconds until the sequence is resumed at the next node, or None if it cannot be."""
        can_resume = self.sequence and result.outcome in (Outcome.LOST, Outcome.MOVED)
        if not can_resume or self.resumes >= MAX_RESUMES:
            return None
        self.resuming = True
        self.node_index += 1
        self.resumes += 1
        if self.resumes == 1:
            delay = FIRST_RESUME_SPREAD * self.random()
        else:
            delay = RESUME_BACKOFF * self.resumes * (0.5 + self.random())
        return delay if now + delay < self.deadline else None

    def final_answer(self, result: AttemptResult) -> Generated:
        """Return the generated answer; raise an `AnswerError` for every other outcome."""
        if result.outcome is Outcome.GENERATED:
            return Generated(result.count, self.attempts)
        raise error_for(result, self.tokens, self.attempts)


class ChatRetryState(RetryState):
    """The attempts of a chat request, whose sequence may be resumed at another node."""

    request: ChatRequest

    def record_metadata(self, metadata: Iterable[tuple[str, str | bytes]]) -> None:
        """Take the initial metadata of a call."""
        values = dict(metadata)
        if RESUMABLE_KEY in values:
            self.sequence = values.get(SEQUENCE_KEY, "")

    def method(self) -> str:
        """Return the method of the next call."""
        return RESUME_METHOD if self.resuming else GENERATE_METHOD

    def message(self, now: float) -> pb.GenerateRequest:
        """Make the message of the next call."""
        message = self.request.message(self.attempts)
        if self.resuming:
            message.resume.sequence = self.sequence
            message.resume.tokens = self.tokens
            if message.time_left_ms:
                elapsed_ms = int((now - self.started_at) * 1000)
                message.time_left_ms = max(1, message.time_left_ms - elapsed_ms)
        return message


class ChatAttempt:
    """The replies of one call; `result` is that of the final reply, or else a lost attempt."""

    def __init__(self, retries: ChatRetryState) -> None:
        self._retries = retries
        self.result = AttemptResult(Outcome.LOST, message="the stream ended without a final answer")
        self.has_final_reply = False

    def receive(self, reply: pb.GenerateReply) -> tuple[int, ...] | None:
        """Take a reply; return its token ids, or None for the final one."""
        result = result_of(reply)
        if result is not None:
            self.result = result
            self.has_final_reply = True
            return None
        self._retries.tokens += len(reply.tokens.ids)
        return tuple(reply.tokens.ids)

    def fail(self, result: AttemptResult) -> None:
        """Take the result of a call that failed; a final reply before it stands."""
        if not self.has_final_reply:
            self.result = result
