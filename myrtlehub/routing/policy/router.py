"""The router of a node: runs the stages for each sequence, and ends sequences that cannot continue.

A sequence passes three stages before each attempt: writer selection, read placement and admission control.
A stage returns the engine to use, or a `NotPlaced`, after which the sequence waits at this node or ends. When
an attempt ends, the router updates its estimates, and then ends the sequence or runs the stages again.
"""

from random import Random

from myrtlehub.routing import contract
from myrtlehub.routing.calls import BaseRouter
from myrtlehub.routing.contract import Action, Arrival, Outcome, RouterConfig
from myrtlehub.routing.policy import admission, retries
from myrtlehub.routing.policy.candidate_engines import CandidateEngines
from myrtlehub.routing.policy.engine_estimates import EngineEstimates
from myrtlehub.routing.policy.load_probing import LoadProbing
from myrtlehub.routing.policy.read_placement import ReadPlacement
from myrtlehub.routing.policy.writer_selection import WriterSelection
from myrtlehub.routing.prompt_cache import NO_ENTRY
from myrtlehub.routing.records import (
    NO_CANDIDATES,
    Affinity,
    Attempt,
    Engine,
    NotPlaced,
    Sequence,
)

ANSWER_MARGIN_TICKS = 2  # multiple of `RouterConfig.tick` by which the final answer precedes the abandon time
MIN_ANSWER_MARGIN = 0.004  # seconds; lower bound of that margin, in which the client gets the answer
EXPECTED_OUTPUT_SHARE = 0.25  # expected share of the maximum output tokens
# Timeout of a first read as a share of the time left; the rest is enough for another attempt.
READ_TIMEOUT_SHARE = 0.6
WAKEUP_INTERVAL = 0.04  # seconds between two wake-ups while sequences wait at this node
POSTPONED_WAKEUP_INTERVAL = 0.005  # the same while placements are postponed, because their time is used up
PLACEMENT_INTERVAL = (
    0.08  # seconds between two placements of a waiting sequence, each of which runs all stages
)
PROBED_PLACEMENT_INTERVAL = 0.4  # the same if engines report load to probes only, since reports are rarer
MAX_FAILED_PLACEMENTS = 3  # sequences per wake-up that are placed and keep waiting; limits the cost with many
# Share of the node's time for placements that compare engines; the rest reads requests, relays answers and
# keeps deadlines.
MAX_PLACEMENT_TIME_SHARE = 0.7
MAX_PLACEMENT_BURST = 0.01  # seconds of such placements at once; everything else at the node waits for them


class Router(BaseRouter):
    """The router of one node.

    Args:
        config: The configuration.
        placement_budget: While it is used up, no sequence is placed whose placement compares engines; it
            waits at this node, where its deadline and the limit on its wait are kept. None: no limit.
    """

    def __init__(
        self,
        config: RouterConfig,
        placement_budget: contract.PlacementBudget | None = None,
    ) -> None:
        self.placement_budget = placement_budget or contract.UnlimitedPlacements()
        # The only source of randomness, so that decisions are reproducible from the seed and the events.
        self.random = Random(config.seed).random
        self.estimates = EngineEstimates(config)
        super().__init__(self.estimates, WAKEUP_INTERVAL, POSTPONED_WAKEUP_INTERVAL)
        self.candidates = CandidateEngines(self.estimates, self.random)
        self.admission = admission.Admission(self.estimates)
        self.read_placement = ReadPlacement(self.estimates, self.admission, self.random)
        self.writer_selection = WriterSelection(self.estimates, self.admission, self.read_placement)
        self.load_probing = LoadProbing(self.estimates, self.read_placement, self.writer_selection)

    def _on_endpoints_changed(self) -> None:
        self.candidates.update()
        self.read_placement.update_reader_shares()

    def _on_probe_timeout(self, engine: Engine) -> None:
        self.estimates.record_probe_timeout(engine)

    def _new_sequence(self, now: float, sequence_id: int, arrival: Arrival) -> Sequence:
        margin = max(ANSWER_MARGIN_TICKS * self.config.tick, MIN_ANSWER_MARGIN)
        abandon_at = now + arrival.time_left - margin
        memory_tokens = arrival.prompt_tokens + EXPECTED_OUTPUT_SHARE * arrival.max_output_tokens
        traffic = self.config.traffic[arrival.traffic]
        return Sequence(sequence_id, arrival, traffic, now, abandon_at, self.random(), memory_tokens)

    def _admit(self, sequence: Sequence, now: float) -> None:
        sequence.is_over_quota = self.admission.is_over_quota(sequence.arrival.tenant)
        if not self.load_probing.is_enabled:
            self._place_within_budget(sequence, now)
        elif self.placement_budget.try_begin():
            sequence.candidates = self.candidates.select(sequence)
            probed = self.load_probing.select(sequence, now)
            sequence.candidates = NO_CANDIDATES
            self.placement_budget.end()
            self.pending_actions.extend(contract.Probe(engine.index) for engine in probed)
            if sequence.pending_probes:
                self.waiting[sequence.id] = sequence
            else:
                self._place_within_budget(sequence, now)
        else:
            self._postpone(sequence, now)

    def _place_waiting(self, now: float) -> None:
        failed_placements = 0
        # In a dict, because a sequence that waits can be due as well.
        concerned = {sequence.id: sequence for sequence in self._due_sequences(now)} | self.waiting
        by_urgency = sorted(
            concerned.values(),
            key=lambda sequence: (sequence.is_over_quota, sequence.slo_deadline, sequence.id),
        )
        for sequence in by_urgency:
            if sequence.is_over or sequence.has_begun:
                continue
            if now >= sequence.abandon_at:
                self._reject_or_abort(sequence)
                continue
            if now >= sequence.state_release_due_at:
                self._release_state(sequence)
            elif now >= sequence.arrival_check_due_at:
                sequence.arrival_check_due_at = float("inf")
                self.pending_actions.append(contract.CheckArrival(sequence.id, len(sequence.attempts) - 1))
            if sequence.id not in self.waiting:
                continue
            may_try = failed_placements < MAX_FAILED_PLACEMENTS and self._may_place_again(sequence, now)
            if may_try or sequence.attempts or self.admission.has_exceeded_wait_limit(sequence, now):
                self._place_within_budget(sequence, now)
                failed_placements += sequence.id in self.waiting

    def _may_place_again(self, sequence: Sequence, now: float) -> bool:
        """Return whether the last placement is long enough ago, and engines gave feedback since then."""
        interval = PROBED_PLACEMENT_INTERVAL if self.config.load_by_probe_only else PLACEMENT_INTERVAL
        last_placed_at = sequence.last_placed_at
        return now > last_placed_at + interval and self.last_feedback_at > last_placed_at

    def _place_within_budget(self, sequence: Sequence, now: float) -> None:
        """Place a sequence, or let it wait for a later call if the time for placements is used up.

        A sequence that has waited for its limit without an attempt is rejected then. A write that fetches a
        read state from the writer that was selected for it is sent in any case, since that takes no time.
        Test: `test_requests_are_answered_in_time_however_long_a_placement_takes`.
        """
        fetches_state = sequence.state_engine is not None
        is_selected = fetches_state and self.writer_selection.former_writer(sequence, now) is not None
        if is_selected:
            self._place(sequence, now)
        elif self.placement_budget.try_begin():
            self._place(sequence, now)
            self.placement_budget.end()
        elif not sequence.attempts and self.admission.has_exceeded_wait_limit(sequence, now):
            self._reject_or_abort(sequence, self.config.max_retry_after)
        else:
            self._postpone(sequence, now)

    def _postpone(self, sequence: Sequence, now: float) -> None:
        """Let a sequence wait because the time for placements is used up."""
        self.has_postponed_placement = True
        self._wait(sequence, now)

    def _wait(self, sequence: Sequence, now: float) -> None:
        """Let a sequence wait at this node; release its read state if that has waited for long enough."""
        self.waiting[sequence.id] = sequence
        if sequence.attempts and not sequence.running_attempts():
            self._release_expired_state(sequence, now, admission.STATE_RELEASE_SHARE)

    def _place(self, sequence: Sequence, now: float) -> None:
        """Run the stages, and send the next attempt if each of them selects an engine."""
        self.waiting.pop(sequence.id, None)
        sequence.last_placed_at = now
        result = self._run_stages(sequence, now)
        if isinstance(result, Engine):
            self._send(sequence, result, now)
        elif result is NotPlaced.WAIT:
            self._wait(sequence, now)
        else:
            self._reject_or_abort(
                sequence, self.config.max_retry_after if result is NotPlaced.REJECT else 0.0
            )

    def _run_stages(self, sequence: Sequence, now: float) -> Engine | NotPlaced:
        """Return the engine for the next attempt, or the `NotPlaced` of the first stage that selects none."""
        sequence.candidates = self.candidates.select(sequence)
        writer = self.writer_selection.select(sequence, now)
        if isinstance(writer, NotPlaced):
            return writer
        engine = self.read_placement.place(sequence, writer, now)
        sequence.candidates = NO_CANDIDATES  # only needed by the stages before
        if isinstance(engine, NotPlaced):
            return engine
        return self.admission.check_attempt(sequence, engine, now) or engine

    def _release_expired_state(self, sequence: Sequence, now: float, share: float) -> None:
        if self.admission.has_state_expired(sequence, now, share):
            self._release_state(sequence)

    def _release_state(self, sequence: Sequence) -> None:
        self.pending_actions.append(contract.Release(sequence.id))
        sequence.state_engine = None
        sequence.state_held_since = float("inf")
        sequence.clear_release_timers()

    def _send(self, sequence: Sequence, engine: Engine, now: float) -> None:
        """Send the next attempt, which reads the prompt if the sequence is split, else writes the answer."""
        arrival = sequence.arrival
        # Only a first read has its own timeout. Under high load, timeouts of later attempts would expire as
        # well, and the retries would increase the load.
        is_first_read = sequence.is_split and not sequence.attempts
        timeout = READ_TIMEOUT_SHARE * (sequence.abandon_at - now) if is_first_read else 0.0
        attempt = self._new_attempt(sequence, engine, now)
        self.estimates.assign_writer(sequence, sequence.writer)
        sequence.attempts.append(attempt)
        self.admission.expect_arrival(sequence)
        self._add_due_time(sequence)
        self.estimates.attempt_sent(attempt)
        if not attempt.fetches_state:  # engines cache prompts that they read, but not fetched states
            engine.cache.add(arrival, now)
            self.candidates.record_prompt(arrival, engine)
        self.pending_actions.append(contract.Send(sequence.id, engine.index, timeout))

    def _new_attempt(self, sequence: Sequence, engine: Engine, now: float) -> Attempt:
        arrival, is_read = sequence.arrival, sequence.is_split
        has_state = sequence.state_engine is not None
        cached = NO_ENTRY if has_state else engine.cache.find(arrival, now)
        affinity = sequence.affinity.get(engine, Affinity.OTHER) if is_read else Affinity.OTHER
        estimated = (
            self.read_placement.hit_rates.expected_cached_tokens(arrival)[affinity] if is_read else 0.0
        )
        uncached = 0.0 if has_state else max(0.0, arrival.prompt_tokens - max(cached.tokens, estimated))
        backlog = self.estimates.total_backlog(engine)
        return Attempt(engine, is_read, now, uncached, backlog, cached, affinity, has_state)

    def check_send(self, now: float, sequence_id: int, attempt: int) -> contract.SendCheck:
        """Check an attempt again just before its first byte; does not change the router's state."""
        sequence = self.sequences.get(sequence_id)
        if sequence is None or attempt >= len(sequence.attempts):
            return contract.SendCheck(may_run=False, is_in_slow_start_share=False)
        engine = sequence.attempts[attempt].engine
        return contract.SendCheck(
            may_run=retries.may_run_on_arrival(sequence, engine, now + retries.SEND_MARGIN, self.config),
            is_in_slow_start_share=self.admission.is_in_slow_start_share(engine, sequence, now),
        )

    def _on_attempt_began(self, sequence: Sequence, attempt: Attempt, now: float, latency: float) -> None:
        writer, source = attempt.engine, sequence.reader
        sequence.clear_release_timers()
        # Load reports include the memory of the sequence once its answer has started, so it is no longer
        # assigned. If the engines report no memory, it stays assigned until the sequence ends.
        is_reported = writer.kind in self.estimates.mean_memory_share
        self.estimates.assign_writer(sequence, None if is_reported else sequence.assigned_writer)
        self.admission.record_start(sequence, now)
        was_transferred = False
        if attempt.fetches_state and source is not None and source.cell != writer.cell:
            was_transferred = True
            self.read_placement.record_transfer(source, writer, sequence.arrival.prompt_tokens, latency)
        self.estimates.attempt_began(attempt, latency, was_transferred)

    def _on_attempt_ended(self, sequence: Sequence, attempt: Attempt, now: float) -> None:
        self.estimates.attempt_ended(sequence, attempt)
        sequence.clear_release_timers()
        if attempt.has_succeeded:
            self.read_placement.hit_rates.record_success(sequence, attempt, now)
        retries.record_capacity(sequence, attempt, now)
        retries.record_outcome(sequence, attempt, now)
        sequence.is_over = sequence.is_over or attempt.is_answered
        if sequence.is_over:
            self._forget(sequence)
        elif not retries.may_run_at(sequence, attempt.engine, now, self.config):
            self._reject_or_abort(sequence)
        elif not sequence.running_attempts():
            if attempt.outcome == Outcome.UNREACHED and sequence.state_held_since > 0.0:
                # Each failed connection to a writer uses up a part of the state timeout
                # (`test_a_read_state_is_released_in_time_while_writers_cannot_be_reached`).
                self._release_expired_state(sequence, now, admission.UNREACHED_STATE_RELEASE_SHARE)
            self._place_within_budget(sequence, now)

    def _reject_or_abort(self, sequence: Sequence, retry_after: float = 0.0) -> None:
        """End a sequence with a rejection if that is allowed, else with an abort."""
        self.admission.record_start(sequence, self.estimates.now)
        can_reject = retries.may_reject(sequence)
        answer = contract.Reject(sequence.id, retry_after) if can_reject else contract.Abort(sequence.id)
        self._end_sequence(sequence, answer)

    def _end_sequence(self, sequence: Sequence, answer: Action | None) -> None:
        sequence.is_over = True
        if answer is not None:
            self.pending_actions.append(answer)
        if self.config.may_cancel and not sequence.has_begun:
            running = sequence.running_attempts()
            self.pending_actions.extend(contract.CancelAttempt(sequence.id, number) for number in running)
        self._forget(sequence)

    def _forget(self, sequence: Sequence) -> None:
        """Discard an ended sequence and release its read states (invariant 5), once no attempt is running."""
        self.waiting.pop(sequence.id, None)
        self.estimates.assign_writer(sequence, None)
        if sequence.running_attempts():
            return
        has_read = any(attempt.is_read for attempt in sequence.attempts)
        if sequence.arrival.state_engine is not None or has_read:
            self.pending_actions.append(contract.Release(sequence.id))
        self.pending_actions.append(contract.Forget(sequence.id))
        self.sequences.pop(sequence.id, None)
