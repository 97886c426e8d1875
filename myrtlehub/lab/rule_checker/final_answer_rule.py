"""Rule 1: each call gets one final answer, in time, of the tokens that a writer generated."""

from typing import NamedTuple

from myrtlehub.lab.rule_checker.client_calls import ClientCall, ClientCalls
from myrtlehub.lab.rule_checker.findings import Findings, RecordHandlers, Rule
from myrtlehub.lab.rule_checker.scenario_facts import ScenarioFacts
from myrtlehub.records import Record

GENERATED = "generated"
INVALID_ARGUMENT = "INVALID_ARGUMENT"
KILL_BEFORE_ASKED = 1.0  # seconds before a call in which a kill of its node excuses it


class _GeneratedAnswer(NamedTuple):
    """A complete answer, as its writer recorded it."""

    tokens: int
    checksum: int


class _UnansweredEnd(NamedTuple):
    at: float
    call: ClientCall


class _Pause(NamedTuple):
    """A time in which a node stood still."""

    node: str
    since: float
    until: float


class FinalAnswerRule:
    """Follows each call to its answer."""

    def __init__(self, findings: Findings, facts: ScenarioFacts, calls: ClientCalls) -> None:
        self.excused = 0  # answers that may be late only because the client's own process was
        self._findings = findings
        self._facts = facts
        self._calls = calls
        self._generated: dict[str, list[_GeneratedAnswer]] = {}  # by sequence id
        self._unanswered: list[_UnansweredEnd] = []
        self._pauses: list[_Pause] = []

    @property
    def handlers(self) -> RecordHandlers:
        """What is done on each kind of record."""
        return {
            "ask": self._on_ask,
            "goes on": self._on_resumed,
            "token": self._on_token,
            "final": self._on_final,
            "left": self._on_left,
            "over": self._on_over,
            "paused": self._on_paused,
            "ended": self._on_ended,
        }

    def finish(self, now: float) -> None:
        """Check what can be said only at the end."""
        for end in self._unanswered:
            self._check_unanswered(end)
        for call in self._calls.by_name.values():
            if call.end_code or call.has_left:
                continue
            time_left = call.whole_time if call.has_started else call.time_left
            if now > call.asked_at + time_left + self._facts.slack:
                self._breach(now, f"{call.name}: no final answer and still open at the end")

    def _breach(self, at: float, text: str) -> None:
        self._findings.add_breach(Rule.FINAL_ANSWER, at, text)

    def _on_ask(self, record: Record) -> None:
        self._findings.count(Rule.FINAL_ANSWER)

    def _on_resumed(self, record: Record) -> None:
        """Follow a client that came back, at another node, for the rest of what it had asked."""
        call = self._calls.of(record)
        before = self._calls.by_name[record.more["after"]]
        before.was_resumed = True
        call.has_started = record.more["tokens"] > 0
        if before.answer:
            self._breach(record.at, f"{call.name}: came back though {before.name} was {before.answer}")

    def _on_token(self, record: Record) -> None:
        call = self._calls.of(record)
        if call.answer:
            self._breach(record.at, f"{call.name}: a token after {call.answer}")
        if not call.has_started:
            self._check_time(record, call, "first token", call.time_left)
        call.has_started = True

    def _on_final(self, record: Record) -> None:
        call = self._calls.of(record)
        answer = record.more["answer"]
        if call.answer:
            self._breach(record.at, f"{call.name}: {answer} after {call.answer}")
            return
        call.answer = answer
        call.answered_at = record.at
        if answer == GENERATED and "sum" in record.more:
            self._check_tokens(record, call)
        time_left = call.whole_time if call.has_started else min(call.time_left, call.whole_time)
        self._check_time(record, call, answer, time_left)

    def _check_tokens(self, record: Record, call: ClientCall) -> None:
        sequence_id = record.more["seq"]
        received = _GeneratedAnswer(record.more["ids"], record.more["sum"])
        generated = self._generated.get(sequence_id, ())
        if received in generated:
            return
        counts = ", ".join(str(answer.tokens) for answer in generated) or "none"
        self._breach(
            record.at,
            f"{call.name}: its {received.tokens} tokens are not those that a writer made "
            f"for {sequence_id}: {counts}",
        )

    def _check_time(self, record: Record, call: ClientCall, what: str, time_left: float) -> None:
        late = record.at - call.asked_at - time_left
        allowed = self._facts.answer_slack + self._facts.slack
        if late <= allowed:
            return
        if late <= allowed + record.more.get("behind", 0.0):
            self.excused += 1  # the client's process itself was late to look
        else:
            self._breach(record.at, f"{call.name}: {what} {late:.3f} s late")

    def _on_left(self, record: Record) -> None:
        self._calls.of(record).has_left = True

    def _on_over(self, record: Record) -> None:
        call = self._calls.of(record)
        call.end_code = record.more["code"]
        is_excused = (
            call.has_left
            or record.more["unprocessed"]
            or call.end_code == INVALID_ARGUMENT
            or self._was_node_killed(call, record.at)
        )
        if not call.answer and not is_excused:
            # Whether its client came back for it is known at the end.
            self._unanswered.append(_UnansweredEnd(record.at, call))

    def _was_node_killed(self, call: ClientCall, now: float) -> bool:
        since = call.asked_at - KILL_BEFORE_ASKED
        return any(since <= killed_at <= now for killed_at in self._facts.killed_at.get(call.node, ()))

    def _on_paused(self, record: Record) -> None:
        fields = record.more
        self._pauses.append(_Pause(fields["who"], record.at, record.at + fields["lasts"]))

    def _on_ended(self, record: Record) -> None:
        fields = record.more
        if "sum" in fields:
            answer = _GeneratedAnswer(fields["tokens"], fields["sum"])
            self._generated.setdefault(fields["seq"], []).append(answer)

    def _check_unanswered(self, end: _UnansweredEnd) -> None:
        call = end.call
        # Who asked a node that stood still, and never heard that it was accepted, has nothing to resume.
        asked_paused_node = not call.sequence_id and any(
            pause.node == call.node and pause.since <= end.at and call.asked_at <= pause.until
            for pause in self._pauses
        )
        if not call.was_resumed and not asked_paused_node:
            self._breach(
                end.at,
                f"{call.name}: ended {call.end_code} without a final answer; its node was "
                "not killed, and its client did not come back",
            )
