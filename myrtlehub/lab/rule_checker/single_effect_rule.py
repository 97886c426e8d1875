"""Rule 2: what must not run twice is not sent twice, and what was rejected did not run."""

from dataclasses import dataclass
from typing import NamedTuple

from myrtlehub.lab.rule_checker.client_calls import ClientCall, ClientCalls
from myrtlehub.lab.rule_checker.findings import Findings, RecordHandlers, Rule
from myrtlehub.lab.rule_checker.scenario_facts import (
    DedupGroup,
    RetrySemantics,
    ScenarioFacts,
    TrafficTerms,
)
from myrtlehub.records import Record

REJECTED = "rejected"


class _AttemptKey(NamedTuple):
    sequence_id: str
    attempt: int


@dataclass(slots=True)
class _WriteAttempt:
    """One attempt to write that an engine received."""

    sequence_id: str
    engine: str
    at: float
    has_run: bool = False
    is_over: bool = False
    is_refused: bool = False  # or known never to run


class SingleEffectRule:
    """Follows the attempts to write of each idempotency key."""

    def __init__(self, findings: Findings, facts: ScenarioFacts, calls: ClientCalls) -> None:
        self._findings = findings
        self._facts = facts
        self._calls = calls
        self._by_idempotency_key: dict[str, list[_WriteAttempt]] = {}
        self._by_attempt: dict[_AttemptKey, _WriteAttempt] = {}

    @property
    def handlers(self) -> RecordHandlers:
        """What is done on each kind of record."""
        return {
            "got": self._on_got,
            "ran": self._on_ran,
            "claimed": self._on_claimed,
            "refused": self._on_refused,
            **dict.fromkeys(("stopped", "failed", "broken", "expired", "held", "ended"), self._on_over),
        }

    def finish(self) -> None:
        """Check the rejected calls."""
        for call in self._calls.by_name.values():
            if call.answer == REJECTED:
                self._check_rejected(call)

    def _breach(self, at: float, text: str) -> None:
        self._findings.add_breach(Rule.SINGLE_EFFECT, at, text)

    def _on_got(self, record: Record) -> None:
        fields = record.more
        if fields["reads"]:
            return
        self._findings.count(Rule.SINGLE_EFFECT)
        write = _WriteAttempt(fields["seq"], record.who, record.at)
        self._by_attempt[_AttemptKey(fields["seq"], fields["attempt"])] = write
        attempts = self._by_idempotency_key.setdefault(fields["mark"] or fields["seq"], [])
        first = next((attempt for attempt in attempts if not attempt.is_refused), None)
        attempts.append(write)
        if first is not None:
            self._check_repeat(fields["mark"], self._facts.terms_of(fields["traffic"]), first, write)

    def _check_repeat(
        self, idempotency_key: str, terms: TrafficTerms, first: _WriteAttempt, write: _WriteAttempt
    ) -> None:
        if terms.retry_semantics == RetrySemantics.AT_MOST_ONCE:
            self._breach(
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
            self._breach(write.at, f"{sent}, outside the dedup group of {first.engine}")
        elif write.at > first.at + terms.dedup_window + self._facts.slack:
            self._breach(write.at, f"{sent} {write.at - first.at:.2f} s later, past the window")

    def _on_ran(self, record: Record) -> None:
        fields = record.more
        write = self._by_attempt.get(_AttemptKey(fields["seq"], fields["attempt"]))
        if write is not None:
            write.has_run = True
        attempts = self._by_idempotency_key.get(fields["mark"] or fields["seq"], ())
        runs = sum(attempt.has_run for attempt in attempts)
        terms = self._facts.terms_of(fields["traffic"])
        if runs > 1 and terms.retry_semantics == RetrySemantics.AT_MOST_ONCE:
            self._breach(record.at, f"once-only {fields['mark']} ran {runs} times")

    def _on_claimed(self, record: Record) -> None:
        """Note a takeover: what ended at this engine without running never will run."""
        if not record.more["granted"]:
            return
        for key, write in self._by_attempt.items():
            is_claimed = key.sequence_id == record.more["seq"] and write.engine == record.who
            if is_claimed and write.is_over and not write.has_run:
                write.is_refused = True

    def _on_refused(self, record: Record) -> None:
        write = self._by_attempt.get(_AttemptKey(record.more["seq"], record.more["attempt"]))
        if write is not None:
            write.is_refused = True
            write.is_over = True

    def _on_over(self, record: Record) -> None:
        write = self._by_attempt.get(_AttemptKey(record.more["seq"], record.more["attempt"]))
        if write is not None:
            write.is_over = True

    def _check_rejected(self, call: ClientCall) -> None:
        terms = self._facts.terms_of(call.traffic)
        may_have_run = terms.retry_semantics == RetrySemantics.IDEMPOTENT or (
            terms.retry_semantics == RetrySemantics.KEYED and terms.dedup_group == DedupGroup.ALL
        )
        if may_have_run or not call.sequence_id:
            return
        for write in self._by_idempotency_key.get(call.idempotency_key or call.sequence_id, ()):
            if write.sequence_id == call.sequence_id and not write.is_refused:
                self._breach(
                    call.answered_at,
                    f"{call.name} rejected, but {write.engine} got {call.sequence_id} and did not refuse it",
                )
                return
