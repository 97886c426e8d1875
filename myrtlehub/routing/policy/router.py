"""The router: composes all decisions.

A sequence passes a chain of stages: writer selection, read placement, the gate. Each passes it on, lets it
wait at this node or ends it. What an attempt showed is learned first; then its sequence ends or passes again.
"""

from random import Random

from myrtlehub.routing import contract
from myrtlehub.routing.calls import RouterCalls
from myrtlehub.routing.contract import Action, Arrival, Outcome, RouterConfig
from myrtlehub.routing.policy import admission, retries
from myrtlehub.routing.policy.engine_estimates import EngineEstimates
from myrtlehub.routing.policy.load_probing import LoadProbing
from myrtlehub.routing.policy.read_placement import ReadPlacement
from myrtlehub.routing.policy.writer_selection import WriterSelection
from myrtlehub.routing.prompt_cache import NO_ENTRY
from myrtlehub.routing.records import Affinity, Attempt, Engine, Sequence, StageResult

ANSWER_TICKS = 2  # of the node's timer, by which an answer comes before the abandon time
MIN_ANSWER_MARGIN = 0.004  # seconds, likewise at least
LIKELY_OUTPUT_SHARE = 0.25  # of the most that it may produce, that an answer is taken to produce
READ_TIMEOUT_SHARE = 0.6  # of the time left, for which a first read may be out
WAKEUP_INTERVAL = 0.04  # seconds between looks at what waits here
RETRY_INTERVAL = 0.08  # seconds from one placement of a sequence that waits here to the next
PROBED_RETRY_INTERVAL = 0.4  # the same where load is told to probes alone
MAX_VAIN_PLACEMENTS = 3  # sequences waiting here that are tried in vain at a time


class Router(RouterCalls):
    """The routing decisions of one node."""

    def __init__(self, config: RouterConfig) -> None:
        self.random = Random(config.seed).random
        self.estimates = EngineEstimates(config)
        super().__init__(self.estimates, WAKEUP_INTERVAL)
        self.admission = admission.Admission(self.estimates)
        self.reads = ReadPlacement(self.estimates, self.admission, self.random)
        self.writers = WriterSelection(self.estimates, self.admission, self.reads)
        self.probing = LoadProbing(self.estimates, self.reads, self.writers)
        self.stages = (self.writers.select, self.reads.place, self.admission.gate)

    def _endpoints_changed(self) -> None:
        self.reads.update_cells()

    def _probe_unanswered(self, engine: Engine) -> None:
        self.estimates.probe_unanswered(engine)

    def _accept(self, now: float, ident: int, arrival: Arrival) -> Sequence:
        margin = max(ANSWER_TICKS * self.config.tick, MIN_ANSWER_MARGIN)
        abandon_at = now + arrival.time_left - margin
        need = arrival.prompt_tokens + LIKELY_OUTPUT_SHARE * arrival.max_output_tokens
        traffic = self.config.traffic[arrival.traffic]
        return Sequence(ident, arrival, traffic, now, abandon_at, self.random(), need)

    def _admit(self, sequence: Sequence, now: float) -> None:
        sequence.is_over_quota = self.admission.is_over_quota(sequence.arrival.tenant)
        if self.probing.is_needed:
            probed = self.probing.probe_for(sequence, now)
            self.actions.extend(contract.Probe(engine.index) for engine in probed)
        if sequence.awaited_probes:
            self.waiting[sequence.id] = sequence
        else:
            self._place(sequence, now)

    def _place_waiting(self, now: float) -> None:
        in_vain = 0
        interval = PROBED_RETRY_INTERVAL if self.config.load_by_probe_only else RETRY_INTERVAL
        by_urgency = sorted(self.sequences.values(), key=lambda one: (one.is_over_quota, one.slo_at, one.id))
        for sequence in by_urgency:
            if sequence.is_over or sequence.has_begun:
                continue
            # A long queue here would take long: a few are tried, and all that are due.
            is_due = sequence.attempts or self.admission.has_waited_long(sequence, now)
            has_news = now > sequence.last_tried_at + interval and self.heard_at > sequence.last_tried_at
            if now >= sequence.abandon_at:
                self._give_up(sequence)
            elif sequence.id in self.waiting and (is_due or (in_vain < MAX_VAIN_PLACEMENTS and has_news)):
                self._place(sequence, now)
                in_vain += sequence.id in self.waiting

    def _place(self, sequence: Sequence, now: float) -> None:
        """Pass the stages, and send the sequence if all let it."""
        self.waiting.pop(sequence.id, None)
        sequence.last_tried_at = now
        result = StageResult.PASS
        for stage in self.stages:
            result = stage(sequence, now)
            if result != StageResult.PASS:
                break
        if result == StageResult.PASS:
            self._send(sequence, sequence.reader if sequence.is_split else sequence.writer, now)
        elif result == StageResult.WAIT:
            self.waiting[sequence.id] = sequence
            if sequence.attempts and not sequence.running_attempts():
                self._release_old_state(sequence, now, admission.STATE_TIMEOUT_SHARE)
        else:
            self._give_up(sequence, self.config.max_retry_after if result == StageResult.REJECT else 0.0)

    def _release_old_state(self, sequence: Sequence, now: float, share: float) -> None:
        if self.admission.holds_state_too_long(sequence, now, share):
            self.actions.append(contract.Release(sequence.id))
            sequence.state_at = None
            sequence.state_since = float("inf")

    def _send(self, sequence: Sequence, engine: Engine, now: float) -> None:
        arrival = sequence.arrival
        is_read = sequence.is_split
        has_state = sequence.state_at is not None
        cached = NO_ENTRY if has_state else engine.cache.find(arrival, now)
        affinity = sequence.affinity.get(engine, Affinity.OTHER) if is_read else Affinity.OTHER
        likely = self.reads.hit_rates.likely_tokens(arrival)[affinity] if is_read else 0.0
        uncached = 0.0 if has_state else max(0.0, arrival.prompt_tokens - max(cached.tokens, likely))
        backlog = self.estimates.total_backlog(engine)
        attempt = Attempt(engine, is_read, now, uncached, backlog, cached, affinity, has_state)
        # one time-out a sequence: those that fire under mere load make load
        is_first_read = is_read and not sequence.attempts
        timeout = READ_TIMEOUT_SHARE * (sequence.abandon_at - now) if is_first_read else 0.0
        self.estimates.promise(sequence, sequence.writer)
        sequence.attempts.append(attempt)
        self.estimates.attempt_sent(attempt)
        if not has_state:  # a fetched state is not cached for the next prompt
            engine.cache.add(arrival, now)
        self.actions.append(contract.Send(sequence.id, engine.index, timeout))

    def check_send(self, now: float, ident: int, attempt: int) -> contract.SendCheck:
        """Return what still holds of an attempt before its first byte; changes nothing."""
        sequence = self.sequences.get(ident)
        if sequence is None or attempt >= len(sequence.attempts):
            return contract.SendCheck(may_run=False, in_slow_start_share=False)
        engine = sequence.attempts[attempt].engine
        return contract.SendCheck(
            may_run=retries.may_arrive_at(sequence, engine, now + retries.SEND_MARGIN, self.config),
            in_slow_start_share=self.admission.in_slow_start_share(engine, sequence, now),
        )

    def _attempt_began(self, sequence: Sequence, attempt: Attempt, now: float, latency: float) -> None:
        writer, reader = attempt.engine, sequence.reader
        is_reported = (
            writer.kind in self.estimates.usual_memory
        )  # load reports show what it takes from now on
        self.estimates.promise(sequence, None if is_reported else sequence.promised_to)
        self.admission.start_seen(sequence, now)
        has_moved = attempt.fetches_state and reader is not None and reader.cell != writer.cell
        if has_moved:
            self.reads.moved(reader, writer, sequence.arrival.prompt_tokens, latency)
        self.estimates.attempt_began(attempt, latency, has_moved)

    def _attempt_ended(self, sequence: Sequence, attempt: Attempt, now: float) -> None:
        self.estimates.attempt_ended(sequence, attempt)
        if attempt.has_succeeded:
            self.reads.hit_rates.succeeded(sequence, attempt, now)
        retries.record_capacity(sequence, attempt, now)
        retries.record_outcome(sequence, attempt, now)
        sequence.is_over = sequence.is_over or attempt.is_answered
        if sequence.is_over:
            self._forget(sequence)
        elif not retries.may_run_at(sequence, attempt.engine, now, self.config):
            self._give_up(sequence)  # nothing more may be tried: say so at once
        elif not sequence.running_attempts():
            if attempt.outcome == Outcome.UNREACHED and sequence.state_since > 0.0:
                # Writers that are cut off: with each connection that does not come up the state would stay.
                self._release_old_state(sequence, now, admission.UNREACHED_STATE_TIMEOUT_SHARE)
            self._place(sequence, now)

    def _give_up(self, sequence: Sequence, retry_after: float = 0.0) -> None:
        """Give the final answer at once: a rejection where that is true, else an abort."""
        self.admission.start_seen(sequence, self.estimates.now)
        is_harmless = retries.may_reject(sequence)
        answer = contract.Reject(sequence.id, retry_after) if is_harmless else contract.Abort(sequence.id)
        self._end(sequence, answer)

    def _end(self, sequence: Sequence, answer: Action | None) -> None:
        sequence.is_over = True
        if answer:
            self.actions.append(answer)
        if self.config.may_cancel and not sequence.has_begun:
            running = sequence.running_attempts()
            self.actions.extend(contract.CancelAttempt(sequence.id, number) for number in running)
        self._forget(sequence)

    def _forget(self, sequence: Sequence) -> None:
        """Rule 5: release all that is held for an ended sequence once none of its attempts is out."""
        self.waiting.pop(sequence.id, None)
        self.estimates.promise(sequence, None)
        if sequence.running_attempts():
            return
        is_read = any(attempt.is_read for attempt in sequence.attempts)
        if sequence.arrival.state_held_by >= 0 or is_read:
            self.actions.append(contract.Release(sequence.id))
        self.actions.append(contract.Forget(sequence.id))
        self.sequences.pop(sequence.id, None)
