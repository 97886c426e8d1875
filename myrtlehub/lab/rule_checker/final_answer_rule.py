"""Rule 1: each call gets exactly one final answer, in time, with the tokens that an engine generated."""

from typing import NamedTuple

from myrtlehub.lab.rule_checker.client_calls import ClientCall, ClientCalls
from myrtlehub.lab.rule_checker.findings import Findings, RecordHandlers, Rule
from myrtlehub.lab.rule_checker.scenario_facts import ScenarioFacts
from myrtlehub.lab.rule_checker.stored_records import (
    CallEndFields,
    CompletedAttemptFields,
    CountedTokensFields,
    FinalAnswer,
    PausedFields,
    ReceivedFields,
    RecordKind,
    ResumptionFields,
    fields_of,
)
from myrtlehub.records import Record

INVALID_ARGUMENT = "INVALID_ARGUMENT"
MAX_KILL_TO_REQUEST = 1.0  # seconds; a node killed at most this long before a call excuses the missing answer


class _GeneratedAnswer(NamedTuple):
    """A complete answer, as recorded by the engine that wrote it or by the client."""

    tokens: int
    checksum: int


class _UnansweredEnd(NamedTuple):
    """A call that ended without a final answer."""

    at: float
    call: ClientCall


class _NodePause(NamedTuple):
    """A time span in which a node's process was suspended by SIGSTOP."""

    node: str
    since: float
    until: float


class FinalAnswerRule:
    """Follows each call to its final answer."""

    def __init__(self, findings: Findings, facts: ScenarioFacts, calls: ClientCalls) -> None:
        self.excused = 0  # late answers that the client's own event loop may have read late
        self._findings = findings
        self._facts = facts
        self._calls = calls
        self._generated: dict[str, list[_GeneratedAnswer]] = {}  # by sequence id
        self._unanswered: list[_UnansweredEnd] = []
        self._pauses: list[_NodePause] = []

    @property
    def handlers(self) -> RecordHandlers:
        """The handler of each kind of record."""
        return {
            RecordKind.REQUEST_SENT: self._on_request_sent,
            RecordKind.REQUEST_RESUMED: self._on_request_resumed,
            RecordKind.FIRST_TOKEN: self._on_token,
            RecordKind.FINAL_ANSWER: self._on_final_answer,
            RecordKind.CLIENT_DISCONNECTED: self._on_client_disconnected,
            RecordKind.CALL_ENDED: self._on_call_ended,
            RecordKind.NODE_PAUSED: self._on_node_paused,
            RecordKind.ATTEMPT_COMPLETED: self._on_attempt_completed,
        }

    def finish(self, now: float) -> None:
        """Check the calls that ended without an answer, and those that are still open."""
        for end in self._unanswered:
            self._check_unanswered(end)
        for call in self._calls.by_name.values():
            if call.status_code is not None or call.has_disconnected:
                continue
            timeout = call.answer_timeout if call.has_first_token else call.first_token_timeout
            if now > call.requested_at + timeout + self._facts.slack:
                self._add_breach(now, f"{call.name}: no final answer and still open at the end")

    def _add_breach(self, at: float, text: str) -> None:
        self._findings.add_breach(Rule.FINAL_ANSWER, at, text)

    def _on_request_sent(self, record: Record) -> None:
        self._findings.count(Rule.FINAL_ANSWER)

    def _on_request_resumed(self, record: Record) -> None:
        """Mark the earlier call as resumed: the client requests the rest of its sequence at another node."""
        fields = fields_of(record, ResumptionFields)
        call = self._calls.by_name[fields.call]
        previous = self._calls.by_name[fields.previous_call]
        previous.was_resumed = True
        call.has_first_token = fields.tokens > 0
        if previous.answer is not None:
            self._add_breach(
                record.at, f"{call.name}: came back though {previous.name} was {previous.answer}"
            )

    def _on_token(self, record: Record) -> None:
        fields = fields_of(record, ReceivedFields)
        call = self._calls.by_name[fields.call]
        if call.answer is not None:
            self._add_breach(record.at, f"{call.name}: a token after {call.answer}")
        if not call.has_first_token:
            self._check_time(record.at, call, "first token", call.first_token_timeout, fields.max_client_lag)
        call.has_first_token = True

    def _on_final_answer(self, record: Record) -> None:
        fields = fields_of(record, ReceivedFields)
        call = self._calls.by_name[fields.call]
        if call.answer is not None:
            self._add_breach(record.at, f"{call.name}: {fields.answer} after {call.answer}")
            return
        call.answer = fields.answer
        call.answered_at = record.at
        if fields.answer == FinalAnswer.GENERATED and fields.checksum is not None:
            self._check_tokens(record, call)
        timeout = call.answer_timeout
        if not call.has_first_token:
            timeout = min(call.first_token_timeout, timeout)
        self._check_time(record.at, call, str(fields.answer), timeout, fields.max_client_lag)

    def _check_tokens(self, record: Record, call: ClientCall) -> None:
        """Check that the client received exactly the tokens that an engine generated."""
        fields = fields_of(record, CountedTokensFields)
        received = _GeneratedAnswer(fields.token_count, fields.checksum)
        generated = self._generated.get(fields.sequence_id, [])
        if received in generated:
            return
        counts = ", ".join(str(answer.tokens) for answer in generated) or "none"
        self._add_breach(
            record.at,
            f"{call.name}: its {received.tokens} tokens are not those that a writer made "
            f"for {fields.sequence_id}: {counts}",
        )

    def _check_time(
        self, at: float, call: ClientCall, what: str, timeout: float, max_client_lag: float
    ) -> None:
        late = at - call.requested_at - timeout
        allowed = self._facts.answer_slack + self._facts.slack
        if late <= allowed:
            return
        if late <= allowed + max_client_lag:
            self.excused += 1  # it may have arrived in time and waited for the client's event loop
        else:
            self._add_breach(at, f"{call.name}: {what} {late:.3f} s late")

    def _on_client_disconnected(self, record: Record) -> None:
        self._calls.of(record).has_disconnected = True

    def _on_call_ended(self, record: Record) -> None:
        fields = fields_of(record, CallEndFields)
        call = self._calls.by_name[fields.call]
        call.status_code = fields.status_code
        is_excused = (
            call.has_disconnected
            or fields.unprocessed
            or call.status_code == INVALID_ARGUMENT
            or self._was_node_killed(call, record.at)
        )
        if call.answer is None and not is_excused:
            # Later records show whether the client resumed the sequence, so the check waits for `finish`.
            self._unanswered.append(_UnansweredEnd(record.at, call))

    def _was_node_killed(self, call: ClientCall, now: float) -> bool:
        since = call.requested_at - MAX_KILL_TO_REQUEST
        return any(since <= killed_at <= now for killed_at in self._facts.killed_at.get(call.node, ()))

    def _on_node_paused(self, record: Record) -> None:
        fields = fields_of(record, PausedFields)
        self._pauses.append(_NodePause(fields.node, record.at, record.at + fields.duration_s))

    def _on_attempt_completed(self, record: Record) -> None:
        fields = fields_of(record, CompletedAttemptFields)
        if fields.checksum is not None:
            answer = _GeneratedAnswer(fields.tokens, fields.checksum)
            self._generated.setdefault(fields.sequence_id, []).append(answer)

    def _check_unanswered(self, end: _UnansweredEnd) -> None:
        call = end.call
        if call.was_resumed or self._was_lost_at_paused_node(end):
            return
        self._add_breach(
            end.at,
            f"{call.name}: ended {call.status_code} without a final answer; its node was "
            "not killed, and its client did not come back",
        )

    def _was_lost_at_paused_node(self, end: _UnansweredEnd) -> bool:
        """Return whether a paused node never accepted the call, so that its client has nothing to resume."""
        call = end.call
        return call.sequence_id is None and any(
            pause.node == call.node and pause.since <= end.at and call.requested_at <= pause.until
            for pause in self._pauses
        )
