"""Decides whether, when and at which node a request is attempted again; without I/O, for all clients."""

from collections.abc import Callable, Iterable

from myrtlehub.client.errors import error_for
from myrtlehub.client.requests import ChatRequest, RetrySemantics, RetryTerms
from myrtlehub.client.results import AttemptResult, Generated, Outcome, result_of
from myrtlehub.proto import chat_pb2 as pb

GENERATE_METHOD = "/myrtlehub.v1.Chat/Generate"
RESUME_METHOD = "/myrtlehub.v1.Chat/Resume"
SEQUENCE_KEY = "myrtle-seq"  # metadata key: the id of a sequence
RESUMABLE_KEY = "myrtle-resume"  # metadata key: present if a client may resume the sequence

MAX_RESUMES = 12  # per request; after so many, no node of the fleet is likely to be reachable
FIRST_RESUME_SPREAD = 0.15  # seconds; spreads the first resumes of all clients of a lost node
RESUME_BACKOFF = 0.1  # seconds; the delay before a resume is this, times the number of resumes so far
MIN_RETRY_AFTER = 0.02  # seconds, so that a short Retry-After causes no burst of retries
BASE_BACKOFF = 0.05  # seconds, doubled with each attempt
MIN_CALL_TIMEOUT = 0.001  # seconds, for a call that starts at its deadline


class RetryState:
    """The attempts of one request; `random` returns numbers in [0, 1) that spread the retries of clients."""

    def __init__(self, request: RetryTerms, now: float, random: Callable[[], float]) -> None:
        self.request = request
        self.random = random
        self.deadline = now + request.timeout
        self.attempts = 0  # number of attempts that have ended, without those that were resumed
        self.tokens = 0  # number of tokens, or items of a batch stream, that were received
        self.started_at = now  # start time of the current sequence
        self.sequence: str | None = None  # id of a resumable sequence, the same at all nodes
        self.resumes = 0
        self.resuming = False  # the next call resumes the sequence
        self.node_index = 0  # index of the next node to call, modulo the number of nodes

    def call_timeout(self, now: float) -> float:
        """Return the maximum duration of the next call in seconds."""
        return max(MIN_CALL_TIMEOUT, self.deadline - now)

    def next_delay(self, result: AttemptResult, now: float) -> float | None:
        """Return the seconds until the next call, or None if the request has ended with this result.

        A rejected request is retried after its Retry-After. One that may have run is retried only if it is
        idempotent and none of its tokens were delivered, as they would be delivered twice. A sequence whose
        node or connection was lost is resumed first, whatever its retry semantics.
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
        # The retry is a new sequence; after a lost attempt it goes to the next node, as the last may be down.
        self.resuming = False
        self.sequence = None
        self.started_at = now
        if result.outcome is Outcome.LOST:
            self.node_index += 1
        return delay

    def _backoff(self, result: AttemptResult) -> float | None:
        """Return the seconds until a retry, or None if the request must not be retried."""
        is_rejected = result.outcome is Outcome.REJECTED
        # Without a Retry-After, an exponential backoff keeps clients from retrying at the same time.
        without_retry_after = is_rejected and result.retry_after is None
        if not without_retry_after and (is_rejected or result.unprocessed):
            return max(result.retry_after or 0.0, MIN_RETRY_AFTER) * (1.0 + 0.5 * self.random())
        may_have_run = result.outcome in (Outcome.ABORTED, Outcome.LOST)
        is_idempotent = self.request.retry_semantics == RetrySemantics.IDEMPOTENT
        if without_retry_after or (may_have_run and is_idempotent):
            return BASE_BACKOFF * 2.0**self.attempts * (0.5 + self.random())
        return None

    def _resume_delay(self, result: AttemptResult, now: float) -> float | None:
        """Return the seconds until a resume at the next node, or None if the sequence cannot be resumed."""
        can_resume = self.sequence is not None and result.outcome in (Outcome.LOST, Outcome.MOVED)
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
        """Return the generated answer, or raise an `AnswerError` for any other outcome."""
        if result.outcome is Outcome.GENERATED:
            return Generated(result.item_count, self.attempts)
        raise error_for(result, self.tokens, self.attempts)


class ChatRetryState(RetryState):
    """The attempts of a chat request, whose sequence may be resumed at another node."""

    request: ChatRequest

    def record_metadata(self, metadata: Iterable[tuple[str, str | bytes]]) -> None:
        """Store the sequence id in the initial metadata of a call, if the sequence may be resumed."""
        values = dict(metadata)
        if RESUMABLE_KEY in values:
            sequence = values.get(SEQUENCE_KEY)
            self.sequence = sequence if isinstance(sequence, str) and sequence else None

    def method(self) -> str:
        """Return the method of the next call."""
        return RESUME_METHOD if self.resuming else GENERATE_METHOD

    def message(self, now: float) -> pb.GenerateRequest:
        """Make the message of the next call."""
        message = self.request.message(self.attempts)
        if self.resuming and self.sequence is not None:
            message.resume.sequence = self.sequence
            message.resume.tokens = self.tokens
            if message.time_left_ms:
                elapsed_ms = int((now - self.started_at) * 1000)
                message.time_left_ms = max(1, message.time_left_ms - elapsed_ms)
        return message


class ChatAttempt:
    """The replies of one call; `result` is that of the final reply, or LOST if none was received."""

    def __init__(self, retries: ChatRetryState) -> None:
        self._retries = retries
        self.result = AttemptResult(Outcome.LOST, message="the stream ended without a final answer")
        self.has_final_reply = False

    def receive(self, reply: pb.GenerateReply) -> tuple[int, ...] | None:
        """Process a reply; return its token ids, or None for the final reply."""
        result = result_of(reply)
        if result is not None:
            self.result = result
            self.has_final_reply = True
            return None
        self._retries.tokens += len(reply.tokens.ids)
        return tuple(reply.tokens.ids)

    def fail(self, result: AttemptResult) -> None:
        """Store the result of a call that failed, unless a final reply was received before."""
        if not self.has_final_reply:
            self.result = result
