"""Judges a run by the rules, from the peers' records alone; the nodes' own counters are one more finding."""

from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import NamedTuple

from myrtlehub.lab.fault_soak.records import (
    AttemptEnd,
    AttemptRecord,
    HeldState,
    RequestRecord,
    ResponseEnd,
    RunRecords,
)

LATE_ANSWER_S = 0.5  # by which a final answer may be late
LEFT_S = 0.1  # after a client left, in which an attempt may still begin
TOLD_SLACK_S = 0.15  # by which an engine may be told more than is left
DRAIN_SLACK_S = 0.05
HELD_SLACK_S = 0.3
TRUNCATION_S = 5.0  # for which a client may wait behind its stream's last event
# What may come of a broken system call on a node's own sockets: its client cannot be reached any more.
BREAKING = ("kill", "broken sockets")
UNCONNECTED = ("connect fails", "socket fails")  # no connection can be made meanwhile
UNACCEPTING = ("accept fails",)


class Terms(NamedTuple):
    """What the run's settings state, in seconds."""

    drain_grace: float
    state_timeout: float
    dedup_window: float
    at_most_once: str  # the traffic type
    deduplicated: str


class Finding(NamedTuple):
    """One breach of a rule."""

    rule: str
    subject: str  # the id of a request, or a node
    detail: str


class Oracle:
    """Judges one run."""

    def __init__(self, records: RunRecords, terms: Terms) -> None:
        self.records = records
        self.terms = terms
        self.tolerance = 0.03 + records.driver_lag
        self.attempts: dict[str, list[AttemptRecord]] = defaultdict(list)
        for attempt in records.attempts:
            self.attempts[attempt.id].append(attempt)

    def findings(self) -> list[Finding]:
        """Return all breaches."""
        found: list[Finding] = []
        for request in self.records.requests.values():
            found += self._judge_answer(request)
            found += self._judge_attempts(request)
        found += self._judge_drains()
        found += self._judge_states()
        found += self._judge_processes()
        return found

    # -- one final answer -------------------------------------------------------------------------

    def _judge_answer(self, request: RequestRecord) -> Iterator[Finding]:
        if request.end == ResponseEnd.CLIENT_LEFT or self._was_broken(request):
            return
        held_up = self._stopped(request) + self._unable(
            request, UNACCEPTING, request.sent_at, request.ended_at
        )
        if request.end == ResponseEnd.UNANSWERED:
            forwarded = bool(self.attempts[request.id])
            if request.is_first_on_connection or forwarded:
                yield Finding("lost", request.id, f"closed with no answer, forwarded: {forwarded}")
        elif request.end == ResponseEnd.OPEN and not request.events:
            yield Finding("lost", request.id, "no answer at all")
        elif not request.events:
            late = request.ended_at - max(request.deadline, request.answerable_at)
            if late > LATE_ANSWER_S + held_up + self.tolerance:
                yield Finding("lost", request.id, f"answered {late:.3f} s late")
        elif request.status == 200:
            yield from self._judge_stream(request)

    def _judge_stream(self, request: RequestRecord) -> Iterator[Finding]:
        writes = [a for a in self.attempts[request.id] if not a.reads and not self._was_cut_off(a)]
        finished = [a for a in writes if a.end == AttemptEnd.FINISHED]
        whole = [a.events for a in self.attempts[request.id] if a.end == AttemptEnd.FINISHED]
        if request.end == ResponseEnd.COMPLETE and request.events not in whole:
            yield Finding("spoilt", request.id, f"{request.events} events, whole, of no engine's stream")
        if request.end == ResponseEnd.OPEN:
            yield Finding("lost", request.id, "its stream never ends")
        cut_while_running = [
            a
            for a in writes
            if a.end == AttemptEnd.LOST and a.events >= request.events and request.end == ResponseEnd.CUT
        ]
        if request.end == ResponseEnd.CUT and finished and not cut_while_running:
            yield Finding("lost", request.id, "its stream was cut, its engine's is whole")

    def _was_cut_off(self, attempt: AttemptRecord) -> bool:
        """Tell whether bytes of an attempt may have been lost between engine and node."""
        until = (attempt.ended_at or float("inf")) + self.tolerance
        return any(
            cut.engine == attempt.engine and cut.begin <= until and cut.end >= attempt.began_at
            for cut in self.records.cuts
        )

    def _was_broken(self, request: RequestRecord) -> bool:
        until = request.ended_at or float("inf")
        return any(
            span.node == request.node
            and span.what in BREAKING
            and span.begin <= until + self.tolerance
            and span.end >= request.sent_at - self.tolerance
            for span in self.records.spans
        )

    def _unable(
        self, request: RequestRecord, what: tuple[str, ...], begin: float, end: float | None
    ) -> float:
        """Return for how long in that time its node could not do something."""
        until = end or float("inf")
        return sum(
            min(span.end, until) - max(span.begin, begin)
            for span in self.records.spans
            if span.node == request.node and span.what in what and span.begin < until and span.end > begin
        )

    def _stopped(self, request: RequestRecord) -> float:
        """Return for how long its node was stopped around it."""
        until = (request.ended_at or float("inf")) + 1.0
        return sum(
            span.end - span.begin
            for span in self.records.spans
            if span.node == request.node
            and span.what == "stop"
            and span.begin <= until
            and span.end >= request.sent_at - 1.0
        )

    # -- no effect twice, nothing late ------------------------------------------------------------

    def _judge_attempts(self, request: RequestRecord) -> Iterator[Finding]:
        attempts = sorted(self.attempts[request.id], key=lambda attempt: attempt.arrived_at)
        held_up = self._stopped(request)
        for attempt in attempts:
            if request.left_at is not None:
                late = attempt.began_at - request.left_at
                if late > LEFT_S + held_up + self.tolerance:
                    yield Finding("after the client", request.id, f"an attempt {late:.3f} s after it left")
            excess = attempt.told_ms / 1e3 - (request.deadline - attempt.arrived_at)
            if excess > TOLD_SLACK_S + held_up + self.tolerance:
                yield Finding("time told", request.id, f"{excess:.3f} s more than is left")
        yield from self._judge_effects(request, [a for a in attempts if not a.reads])

    def _judge_effects(self, request: RequestRecord, writes: list[AttemptRecord]) -> Iterator[Finding]:
        for number, write in enumerate(writes):
            earlier = [w for w in writes[:number] if not self._surely_never_ran(w, write.arrived_at)]
            if not earlier:
                continue
            if request.traffic == self.terms.at_most_once:
                yield Finding("twice", request.id, "a further write, though an earlier one may have run")
            elif request.traffic == self.terms.deduplicated:
                age = write.arrived_at - earlier[0].arrived_at
                if age > self.terms.dedup_window + self.tolerance:
                    yield Finding("twice", request.id, f"{age:.3f} s after the first, past the window")

    def _surely_never_ran(self, write: AttemptRecord, before: float) -> bool:
        return write.end == AttemptEnd.TURNED_AWAY and write.ended_at <= before + self.tolerance

    # -- drains, held state, processes ------------------------------------------------------------

    def _judge_drains(self) -> Iterator[Finding]:
        for position, change in enumerate(self.records.changes):
            if change.health == "active":
                continue
            later = (c.at for c in self.records.changes[position + 1 :] if c.engine == change.engine)
            until = next(later, float("inf"))
            for attempt in self.records.attempts:
                if attempt.engine != change.engine or not change.at < attempt.began_at < until:
                    continue
                request = self.records.requests.get(attempt.id)
                told_at = change.told_at.get(request.node, float("inf")) if request else float("inf")
                allowed = told_at + self.terms.drain_grace + DRAIN_SLACK_S + self.tolerance
                if attempt.began_at > allowed + (self._stopped(request) if request else 0.0):
                    late = attempt.began_at - told_at
                    yield Finding("drain", attempt.id, f"to {attempt.engine} {late:.3f} s after it was told")

    def _judge_states(self) -> Iterator[Finding]:
        allowed = self.terms.state_timeout + HELD_SLACK_S + self.tolerance
        for state in self.records.states:
            request = self.records.requests.get(state.id)
            if request is None or self._lost_its_node(request):
                continue
            pinned = self._longest_unused(state, state.until)
            unable = self._unable(request, UNCONNECTED, state.since, state.until)
            if pinned > allowed + self._stopped(request) + unable:
                yield Finding("pinned", state.id, f"{pinned:.3f} s at {state.engine} with no attempt out")

    def _lost_its_node(self, request: RequestRecord) -> bool:
        return any(
            span.node == request.node and span.what == "kill" and span.end >= request.sent_at
            for span in self.records.spans
        )

    def _longest_unused(self, state: HeldState, until: float) -> float:
        """Return the longest time in which the state was held and no attempt of its request was out."""
        used = sorted(
            (a.arrived_at, end)
            for a in self.attempts[state.id]
            if a.arrived_at < until and (end := self._out_until(a, until)) > state.since
        )
        longest = 0.0
        free_from = state.since
        for begin, end in used:
            longest = max(longest, begin - free_from)
            free_from = max(free_from, end)
        return max(longest, until - free_from)

    def _out_until(self, attempt: AttemptRecord, until: float) -> float:
        """Return when the node can know that an attempt has ended: not while its answer is cut off."""
        ended_at = attempt.ended_at if attempt.ended_at is not None else until
        cuts = [
            cut.end for cut in self.records.cuts if cut.engine == attempt.engine and cut.begin <= ended_at
        ]
        return max([ended_at, *(end for end in cuts if end >= attempt.began_at)])

    def _judge_processes(self) -> Iterator[Finding]:
        for ended in self.records.exits:
            if not ended.was_asked or ended.code != 0 or ended.errors:
                errors = ended.errors.strip().splitlines()[-1:] or [""]
                yield Finding("crash", f"n{ended.node}", f"exit {ended.code}: {errors[0][:200]}")
        for violation, count in Counter(self.records.node_violations).items():
            yield Finding("invariant", violation, f"{count} times by the nodes' own counters")
        for probe in self.records.failed_probes:
            yield Finding("not recovered", probe, "no answer after all troubles were over")
