"""One call of a client for a sequence, or for the rest of one that it resumes."""

from binascii import crc32
from collections.abc import Mapping
from typing import Protocol

from myrtlehub.lab.rule_checker.stored_records import FinalAnswer
from myrtlehub.lab.simulated_clients.call_records import CountedTokens
from myrtlehub.lab.simulated_clients.chat_tally import ChatTally
from myrtlehub.lab.simulated_clients.recorded_call import CallOwner, RecordedCall
from myrtlehub.lab.simulated_clients.sequence_plan import PlannedSequence
from myrtlehub.proto import chat_pb2 as pb
from myrtlehub.rpc.client_call import ClientCall
from myrtlehub.rpc.status import Metadata, Status

GENERATE_METHOD = "/myrtlehub.v1.Chat/Generate"
RESUME_METHOD = "/myrtlehub.v1.Chat/Resume"
SEQUENCE_HEADER = "myrtle-seq"
TOKENS_FIELD = b"\x0a"  # the first byte of a reply with tokens
SHORTEST_TIMEOUT = 0.01  # seconds, of a call that resumes after the sequence's time has passed
SILENT_CLIENT_STAYS = 1.0  # seconds past its time to the first token
MIGRATED_REPLY = "moved"  # the name in the protocol


class ChatCallOwner(CallOwner, Protocol):
    """The clients that make the call, as the call sees them."""

    @property
    def can_resume(self) -> bool:
        """Whether clients resume sequences of lost nodes, and therefore count tokens."""

    @property
    def answer_timeout(self) -> float:
        """Seconds from the first request for a sequence to its final answer."""

    @property
    def tallies(self) -> Mapping[str, ChatTally]:
        """The counts of each traffic type."""

    @property
    def stream_gaps(self) -> list[float]:
        """Seconds from the last token at a lost node to the next token, for each resumed sequence."""

    def call_ended(self, call: "ChatCall", status: Status, /) -> None:
        """Count the call, resume or retry."""


class ChatCall(RecordedCall):
    """A call for a sequence; `resumed` is the previous call, if this one resumes its sequence."""

    def __init__(
        self,
        owner: ChatCallOwner,
        plan: PlannedSequence,
        attempt: int,
        node: str,
        resumed: "ChatCall | None" = None,
    ) -> None:
        super().__init__(owner, plan, attempt, node)
        self.plan = plan
        self.resumed = resumed
        self.token_messages = 0  # of this call
        self.last_token_at: float | None = None
        self.is_in_time = False  # the first token came within the latency objective
        # Sequence id, tokens and checksum are of the sequence, over all calls; tokens are counted only by
        # clients that can resume.
        self.sequence_id: str | None = resumed.sequence_id if resumed else None
        self.token_count: int = resumed.token_count if resumed else 0
        self.checksum: int = resumed.checksum if resumed else 0  # CRC-32 of the token ids in their order
        self._owner = owner
        self._tally = owner.tallies[plan.traffic.name]

    @property
    def first_call(self) -> "ChatCall":
        """The call with which this sequence began."""
        return self if self.resumed is None else self.resumed.first_call

    def start(self) -> None:
        """Make the call."""
        first_token_timeout, answer_timeout = self._first_token_timeout(), self._answer_timeout()
        self._record_request(first_token_timeout, answer_timeout)
        self._tally.calls += 1
        request = self._request(first_token_timeout)
        method = GENERATE_METHOD
        if self.resumed is not None:
            method = RESUME_METHOD
            self._records.request_resumed(self.resumed.name, self.token_count)
            request.resume.sequence = self.sequence_id or ""
            request.resume.tokens = self.token_count
        call = self._send(method, request, answer_timeout)
        self._schedule_disconnect(call, first_token_timeout)

    def _first_token_timeout(self) -> float:
        """Return the seconds to the first token, or to the final answer if the client has tokens already."""
        timeout = self.plan.first_token_timeout
        if self.resumed is None:
            return timeout
        if self.token_count:
            return self._owner.answer_timeout
        return max(SHORTEST_TIMEOUT, timeout - self._elapsed())

    def _answer_timeout(self) -> float:
        """Return the seconds to the final answer."""
        timeout = self._owner.answer_timeout
        if self.resumed is None:
            return timeout
        return max(SHORTEST_TIMEOUT, timeout - self._elapsed())

    def _elapsed(self) -> float:
        """Return the seconds since the first request for the sequence."""
        return self.requested_at - self.first_call.requested_at

    def _request(self, first_token_timeout: float) -> pb.GenerateRequest:
        plan = self.plan
        return pb.GenerateRequest(
            traffic_type=plan.traffic.name,
            tenant=plan.tenant,
            session=plan.session,
            shared_prefix=plan.prefix,
            shared_tokens=plan.shared_tokens,
            prompt_tokens=plan.prompt,
            most_output=plan.output,
            mark=plan.idempotency_key,
            repeated=self.attempt > 0,
            time_left_ms=0 if self.token_count else int(first_token_timeout * 1000),
            may_move=self._owner.can_resume,
        )

    def _schedule_disconnect(self, call: ClientCall, first_token_timeout: float) -> None:
        disconnects_after = self.plan.disconnects_after
        if self.plan.is_silent:
            call.pauseProducing()
            self._disconnect_after(first_token_timeout + SILENT_CLIENT_STAYS)
        elif disconnects_after is not None and disconnects_after < self._owner.answer_timeout:
            self._disconnect_after(disconnects_after)

    # -- CallWatcher ------------------------------------------------------------------------------

    def headers(self, meta: Metadata) -> None:
        """Receive the sequence id that the node gave the request."""
        sequence_id = dict(meta).get(SEQUENCE_HEADER)
        self.sequence_id = sequence_id if isinstance(sequence_id, str) and sequence_id else None
        self._records.sequence_named(self.sequence_id)

    def message(self, data: bytes) -> None:
        """Receive a reply: tokens, the final answer, or that the node transferred the sequence to another."""
        now = self._clock.seconds()
        if data[:1] == TOKENS_FIELD:
            self._tokens_received(now, data)
        else:
            self._reply_received(now, pb.GenerateReply.FromString(data))

    def ended(self, status: Status) -> None:
        """Record the end of the call, and notify the owner."""
        super().ended(status)
        self._owner.call_ended(self, status)

    def _tokens_received(self, now: float, data: bytes) -> None:
        had_tokens = self.token_count > 0
        self.token_messages += 1
        if self._owner.can_resume:
            self._count_tokens(data)
        if self.token_messages == 1 or self.answer is not None:
            self._records.token_received(self._owner.behind(now))
        if self.last_token_at is None:
            self._first_token_received(now, had_tokens)
        else:
            self._tally.add_token_gap(now - self.last_token_at)
        self.last_token_at = now
        if self.token_messages == self.plan.disconnects_on_token:
            self._disconnect_after(self.plan.delay_after_token)

    def _count_tokens(self, data: bytes) -> None:
        for token in pb.GenerateReply.FromString(data).tokens.ids:
            self.token_count += 1
            self.checksum = crc32(token.to_bytes(4, "big"), self.checksum)

    def _first_token_received(self, now: float, had_tokens: bool) -> None:
        """Measure the first token of this call: the first of the sequence, or the first after a resume."""
        if self.resumed is not None:
            last_token_at = self.resumed.last_token_at
            since = self.resumed.requested_at if last_token_at is None else last_token_at
            self._owner.stream_gaps.append(now - since)
            if had_tokens:
                self.is_in_time = self.resumed.is_in_time
                return
        latency = now - self.first_call.requested_at
        self._tally.add_first_token(latency)
        traffic = self.plan.traffic
        objective = traffic.latency_slo + traffic.slo_per_1000_tokens * self.plan.prompt / 1000.0
        self.is_in_time = latency <= objective

    def _reply_received(self, now: float, reply: pb.GenerateReply) -> None:
        name = reply.WhichOneof("reply")
        if name == MIGRATED_REPLY:
            self._records.stream_migrated()
            return
        answer = FinalAnswer(name) if name is not None else FinalAnswer.MISSING
        counted = None
        if self._owner.can_resume:
            counted = CountedTokens(self.sequence_id, self.token_count, self.checksum)
        self._records.final_answer(answer, self.token_messages, self._owner.behind(now), counted)
        self.answer = self.answer or answer
        self.retry_after = reply.rejected.wait_ms / 1000.0
