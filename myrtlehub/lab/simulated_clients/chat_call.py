"""One call of a client for a sequence, or for the rest of one."""

from binascii import crc32
from typing import TYPE_CHECKING

from myrtlehub.lab.simulated_clients.recorded_call import RecordedCall
from myrtlehub.lab.simulated_clients.sequence_plan import PlannedSequence
from myrtlehub.proto import chat_pb2 as pb

if TYPE_CHECKING:
    from myrtlehub.lab.simulated_clients.chat_clients import ChatClients

GENERATE_METHOD = "/myrtlehub.v1.Chat/Generate"
RESUME_METHOD = "/myrtlehub.v1.Chat/Resume"
SEQUENCE_HEADER = "myrtle-seq"
TOKENS_FIELD = b"\x0a"  # the first byte of a reply with tokens
SHORTEST_TIME_LEFT = 0.01  # seconds, of a call that resumes
SILENT_CLIENT_STAYS = 1.0  # seconds past its time to the first token
MOVED_REPLY = "moved"


class ChatCall(RecordedCall):
    """A call; `resumed` is the one before, for whose rest it comes."""

    clients: "ChatClients"
    plan: PlannedSequence

    def __init__(
        self,
        clients: "ChatClients",
        plan: PlannedSequence,
        number: int,
        node: str,
        resumed: "ChatCall | None" = None,
    ) -> None:
        super().__init__(clients, plan, number, node)
        self.resumed = resumed
        self.messages = 0  # with tokens, of this call
        self.last_token_at = 0.0
        self.is_in_time = False
        self.sequence_id = resumed.sequence_id if resumed else ""
        self.token_count = resumed.token_count if resumed else 0  # of the sequence, where they are counted
        self.checksum = resumed.checksum if resumed else 0  # over them in their order
        self.tokens_before = self.token_count

    @property
    def first_call(self) -> "ChatCall":
        """The call with which this sequence began."""
        return self if self.resumed is None else self.resumed.first_call

    def start(self) -> None:
        """Make the call."""
        clients = self.clients
        time_left, whole_time = self._times()
        self.record_ask(time_left, whole_time)
        clients.tallies[self.plan.traffic.name].calls += 1
        request = self._request(time_left)
        method = GENERATE_METHOD
        if self.resumed is not None:
            method = RESUME_METHOD
            clients.recorder.note("goes on", call=self.name, after=self.resumed.name, tokens=self.token_count)
            request.resume.sequence = self.sequence_id
            request.resume.tokens = self.token_count
        self.call = clients.channels[self.node].call(method, self, timeout=whole_time)
        self.call.send(request.SerializeToString())
        self.call.half_close()
        self._schedule_leave(time_left)

    def _times(self) -> tuple[float, float]:
        """Return the seconds within which the first token, and the whole answer, is owed."""
        time_left = self.plan.time_left
        whole_time = self.clients.whole_time
        if self.resumed is None:
            return time_left, whole_time
        passed = self.clients.clock.seconds() - self.first_call.asked_at
        first_token_time = max(SHORTEST_TIME_LEFT, time_left - passed)
        time_left = whole_time if self.token_count else first_token_time
        return time_left, max(SHORTEST_TIME_LEFT, whole_time - passed)

    def _request(self, time_left: float) -> pb.GenerateRequest:
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
            repeated=self.number > 0,
            time_left_ms=0 if self.token_count else int(time_left * 1000),
            may_move=self.clients.can_resume,
        )

    def _schedule_leave(self, time_left: float) -> None:
        clock = self.clients.clock
        if self.plan.is_silent:
            self.call.pauseProducing()
            clock.callLater(time_left + SILENT_CLIENT_STAYS, self.leave)
        elif self.plan.leaves_after < self.clients.whole_time:
            clock.callLater(self.plan.leaves_after, self.leave)

    def headers(self, metadata: tuple) -> None:
        """Take the name that the node gave the sequence."""
        self.sequence_id = dict(metadata).get(SEQUENCE_HEADER, "")
        self.clients.recorder.note("seq", call=self.name, seq=self.sequence_id)

    def message(self, data: bytes) -> None:
        """Take a reply: tokens, the final answer, or that another node has the sequence."""
        now = self.clients.clock.seconds()
        if data[:1] == TOKENS_FIELD:
            self._tokens_received(now, data)
        else:
            self._reply_received(now, pb.GenerateReply.FromString(data))

    def _tokens_received(self, now: float, data: bytes) -> None:
        clients = self.clients
        self.messages += 1
        if clients.can_resume:
            for token in pb.GenerateReply.FromString(data).tokens.ids:
                self.token_count += 1
                self.checksum = crc32(token.to_bytes(4, "big"), self.checksum)
        if self.messages == 1 or self.answer:
            clients.recorder.note("token", call=self.name, behind=clients.behind(now))
        if self.messages == 1:
            self._first_token_received(now)
        else:
            clients.tallies[self.plan.traffic.name].add_token_gap(now - self.last_token_at)
        self.last_token_at = now
        if self.messages == self.plan.leaves_on_token:
            clients.clock.callLater(self.plan.leaves_after_token, self.leave)

    def _first_token_received(self, now: float) -> None:
        """Measure the first token of this call: of the sequence, or of its rest."""
        if self.resumed is not None:
            self.clients.pauses.append(now - (self.resumed.last_token_at or self.resumed.asked_at))
        if self.tokens_before:
            self.is_in_time = self.resumed.is_in_time
            return
        latency = now - self.first_call.asked_at
        traffic = self.plan.traffic
        self.clients.tallies[traffic.name].add_first_token(latency)
        objective = traffic.latency_slo + traffic.slo_per_1000_tokens * self.plan.prompt / 1000.0
        self.is_in_time = latency <= objective

    def _reply_received(self, now: float, reply: pb.GenerateReply) -> None:
        clients = self.clients
        answer = reply.WhichOneof("reply") or "nothing"
        if answer == MOVED_REPLY:
            clients.recorder.note("moved", call=self.name)
            return
        received = {}
        if clients.can_resume:
            received = {"ids": self.token_count, "sum": self.checksum, "seq": self.sequence_id}
        clients.recorder.note(
            "final",
            call=self.name,
            answer=answer,
            tokens=self.messages,
            behind=clients.behind(now),
            **received,
        )
        self.answer = self.answer or answer
        self.retry_after = reply.rejected.wait_ms / 1000.0
