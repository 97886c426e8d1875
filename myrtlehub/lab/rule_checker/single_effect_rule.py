"""Rule 2: a request that must not run twice is not sent twice, and a rejected request has not run."""

from dataclasses import dataclass
from typing import NamedTuple

from myrtlehub.lab.rule_checker.client_calls import ClientCall, ClientCalls
from myrtlehub.lab.rule_checker.findings import Findings, RecordHandlers, Rule
from myrtlehub.lab.rule_checker.scenario_facts import ScenarioFacts
from myrtlehub.lab.rule_checker.stored_records import (
    AttemptFields,
    ClaimFields,
    DedupGroup,
    ExecutionFields,
    FinalAnswer,
    ReceivedAttemptFields,
    RecordKind,
    RetrySemantics,
    TrafficTerms,
    fields_of,
)
from myrtlehub.records import Record

ATTEMPT_ENDS = (  # without rejections, which have a handler of their own
    RecordKind.ATTEMPT_CANCELLED,
    RecordKind.ATTEMPT_FAILED,
    RecordKind.STREAM_BROKEN,
    RecordKind.ATTEMPT_EXPIRED,
    RecordKind.READ_STATE_STORED,
    RecordKind.ATTEMPT_COMPLETED,
)


class _AttemptKey(NamedTuple):
    sequence_id: str
    attempt: int


@dataclass(slots=True)
class _WriteAttempt:
    """An attempt to write an answer (decode), as the engine that received it recorded it."""

    sequence_id: str
    engine: str
    at: float
    has_run: bool = False
    has_ended: bool = False
    never_runs: bool = False  # rejected, or ended before the engine granted a claim to the sequence


class SingleEffectRule:
    """Follows the attempts to write of each idempotency key."""

    def __init__(self, findings: Findings, facts: ScenarioFacts, calls: ClientCalls) -> None:
        self._findings = findings
        self._facts = facts
        self._calls = calls
        self._by_idempotency_key: dict[str, list[_WriteAttempt]] = {}  # by sequence id if there is no key
        self._by_attempt: dict[_AttemptKey, _WriteAttempt] = {}

    @property
    def handlers(self) -> RecordHandlers:
        """The handler of each kind of record."""
        return {
            RecordKind.ATTEMPT_RECEIVED: self._on_attempt_received,
            RecordKind.EXECUTION_STARTED: self._on_execution_started,
            RecordKind.OWNERSHIP_CLAIMED: self._on_ownership_claimed,
            RecordKind.ATTEMPT_REJECTED: self._on_attempt_rejected,
            **dict.fromkeys(ATTEMPT_ENDS, self._on_attempt_ended),
        }

    def finish(self) -> None:
        """Check that no rejected call ran."""
        for call in self._calls.by_name.values():
            if call.answer == FinalAnswer.REJECTED and call.answered_at is not None:
                self._check_rejected(call, call.answered_at)

    def _add_breach(self, at: float, text: str) -> None:
        self._findings.add_breach(Rule.SINGLE_EFFECT, at, text)

    def _on_attempt_received(self, record: Record) -> None:
        fields = fields_of(record, ReceivedAttemptFields)
        if fields.is_read:
            return
        self._findings.count(Rule.SINGLE_EFFECT)
        write = _WriteAttempt(fields.sequence_id, record.who, record.at)
        self._by_attempt[_AttemptKey(fields.sequence_id, fields.attempt)] = write
        attempts = self._by_idempotency_key.setdefault(fields.idempotency_key or fields.sequence_id, [])
        first = next((attempt for attempt in attempts if not attempt.never_runs), None)
        attempts.append(write)
        terms = self._facts.terms_of(fields.traffic)
        if first is not None and terms is not None:
            self._check_repeat(fields.idempotency_key, terms, first, write)

    def _check_repeat(
        self, idempotency_key: str, terms: TrafficTerms, first: _WriteAttempt, write: _WriteAttempt
    ) -> None:
        if terms.retry_semantics == RetrySemantics.AT_MOST_ONCE:
            self._add_breach(
                write.at,
                f"once-only {idempotency_key}: {write.sequence_id} sent to {write.engine}, "
                f"but {first.engine} got it before and did not refuse it",
            )
        elif terms.retry_semantics == RetrySemantics.KEYED:
            self._check_keyed_repeat(idempotency_key, terms, first, write)

    def _check_keyed_repeat(
        self, idempotency_key: str, terms: TrafficTerms, first: _WriteAttempt, write: _WriteAttempt
    ) -> None:
        sent = f"tokened {idempotency_key}: sent to {write.engine}"
        if not self._facts.share_dedup_memory(terms, write.engine, first.engine):
            self._add_breach(write.at, f"{sent}, outside the dedup group of {first.engine}")
        elif write.at > first.at + terms.dedup_window + self._facts.slack:
            self._add_breach(write.at, f"{sent} {write.at - first.at:.2f} s later, past the window")

    def _on_execution_started(self, record: Record) -> None:
        fields = fields_of(record, ExecutionFields)
        write = self._by_attempt.get(_AttemptKey(fields.sequence_id, fields.attempt))
        if write is not None:
            write.has_run = True
        attempts = self._by_idempotency_key.get(fields.idempotency_key or fields.sequence_id, [])
        runs = sum(attempt.has_run for attempt in attempts)
        terms = self._facts.terms_of(fields.traffic)
        if runs > 1 and terms is not None and terms.retry_semantics == RetrySemantics.AT_MOST_ONCE:
            self._add_breach(record.at, f"once-only {fields.idempotency_key} ran {runs} times")

    def _on_ownership_claimed(self, record: Record) -> None:
        """Mark attempts that ended here unexecuted: after a granted claim they can no longer run."""
        fields = fields_of(record, ClaimFields)
        if not fields.is_granted:
            return
        for key, write in self._by_attempt.items():
            is_claimed = key.sequence_id == fields.sequence_id and write.engine == record.who
            if is_claimed and write.has_ended and not write.has_run:
                write.never_runs = True

    def _on_attempt_rejected(self, record: Record) -> None:
        write = self._write_of(record)
        if write is not None:
            write.never_runs = True
            write.has_ended = True

    def _on_attempt_ended(self, record: Record) -> None:
        write = self._write_of(record)
        if write is not None:
            write.has_ended = True

    def _write_of(self, record: Record) -> _WriteAttempt | None:
        """Return the attempt to write that an engine's record refers to; None for a read attempt."""
        fields = fields_of(record, AttemptFields)
        return self._by_attempt.get(_AttemptKey(fields.sequence_id, fields.attempt))

    def _check_rejected(self, call: ClientCall, answered_at: float) -> None:
        if call.sequence_id is None or self._may_rejected_have_run(call):
            return
        for write in self._by_idempotency_key.get(call.idempotency_key or call.sequence_id, ()):
            if write.sequence_id == call.sequence_id and not write.never_runs:
                self._add_breach(
                    answered_at,
                    f"{call.name} rejected, but {write.engine} got {call.sequence_id} and did not refuse it",
                )
                return

    def _may_rejected_have_run(self, call: ClientCall) -> bool:
        """Return whether a second execution does no harm, wherever the client's retry is sent."""
        terms = self._facts.terms_of(call.traffic)
        if terms is None:
            return False
        return terms.retry_semantics == RetrySemantics.IDEMPOTENT or (
            terms.retry_semantics == RetrySemantics.KEYED and terms.dedup_group == DedupGroup.ALL
        )
