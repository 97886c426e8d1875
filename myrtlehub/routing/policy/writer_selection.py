"""Writer selection, the first stage: by free memory, cached tokens of the prompt and start delay.

The score of a writer is the sum of the three, each converted to a number of cached tokens.
"""

from collections.abc import Callable

from myrtlehub.routing.policy.admission import Admission
from myrtlehub.routing.policy.engine_estimates import LEARNING, EngineEstimates
from myrtlehub.routing.policy.read_placement import ReadPlacement
from myrtlehub.routing.policy.retries import prefer_accepting
from myrtlehub.routing.records import Engine, NotPlaced, ReadPlan, Sequence

FREE_TOKENS = 20000.0  # cached tokens that count as much as a writer's whole memory being free
ZONE_TOKENS = 500.0  # cached tokens that count as much as being in this node's zone
SLOWDOWN_COST = 0.5  # share of free memory that answers of twice the usual duration cost a writer
LATENESS_COST = 3.0  # seconds of delay that one second of a writer's lateness counts as
# A writer with a smaller share of free memory gets no first attempts. When its memory is full, a writer
# preempts answers and later reads their prompts again, so that it stays full.
MIN_FREE_SHARE = 1.0 - 0.92
# Weight of a token cached at the best reader in a writer's cell, where writers are probed. Elsewhere such
# tokens do not count, because many nodes would choose the same writers without knowing that they are full.
NEAR_CACHE_FACTOR = 10.0
NO_READS = ReadPlan({}, {})  # the plan of a sequence whose prompt has been read already


class WriterSelection:
    """Selects the writers of sequences."""

    def __init__(self, estimates: EngineEstimates, admission: Admission, reads: ReadPlacement) -> None:
        self.config = estimates.config
        self.estimates = estimates
        self.admission = admission
        self.reads = reads
        self.random = reads.random

    def select(self, sequence: Sequence, now: float) -> Engine | NotPlaced:
        """Return the writer of a sequence: the one selected before while it is usable, else the best one."""
        if (writer := self._retained_writer(sequence, now)) is not None:
            return writer
        # Only writers that ranked best before the probes have just reported load, so these are tried first.
        candidates = sequence.candidate_writers or self.estimates.writers
        sequence.candidate_writers = []
        usable = self._preferred(candidates, sequence, now)
        free = [
            engine for engine in usable if self.estimates.free_memory_share(engine, sequence) > MIN_FREE_SHARE
        ]
        if not free and candidates is not self.estimates.writers:
            return self.select(sequence, now)  # among all writers
        if not usable:
            return NotPlaced.WAIT
        if not free and not sequence.attempts:
            return self.admission.wait_or_reject(sequence, now)
        sequence.read_plan = None if sequence.state_engine is not None else self.reads.plan(sequence, now)
        score = self.score(sequence, sequence.read_plan or NO_READS, now)
        sequence.writer = max(free or usable, key=score)
        return sequence.writer

    def _retained_writer(self, sequence: Sequence, now: float) -> Engine | None:
        """Return the writer selected before, or None if there is none that is still usable."""
        writer = sequence.writer
        if writer is None or writer in sequence.failed_engines:
            return None
        return writer if self.admission.usable([writer], sequence, now) else None

    def _preferred(self, candidates: list[Engine], sequence: Sequence, now: float) -> list[Engine]:
        """Return the usable writers, if possible without failed or full ones or ones with a pending probe."""
        usable = self.admission.usable(candidates, sequence, now)
        usable = [writer for writer in usable if writer not in sequence.failed_engines] or usable
        usable = prefer_accepting(usable, sequence, now) or usable
        return [writer for writer in usable if writer not in sequence.pending_probes] or usable

    def score(self, sequence: Sequence, plan: ReadPlan, now: float) -> Callable[[Engine], float]:
        """Return the function that scores writers for a sequence, in cached tokens; the highest is best."""
        config, estimates, reads, random = self.config, self.estimates, self.reads, self.random
        arrival, source = sequence.arrival, sequence.state_engine
        near_factor = NEAR_CACHE_FACTOR if config.load_by_probe_only else 0.0

        def score(writer: Engine) -> float:
            cached = writer.cache.find(arrival, now).tokens
            if source is not None:
                delay = reads.transfer_time(source, writer, sequence)
            else:
                delay = reads.choose(writer, sequence, plan, arrival.prompt_tokens - cached, now).seconds
            near_read = plan.by_cell.get(writer.cell)
            near_cached = near_factor * near_read.cached_tokens if near_read else 0.0
            lateness = estimates.decayed_value(writer.start_lateness, writer)
            delay += estimates.queueing_delay(writer) + LATENESS_COST * lateness
            free = estimates.free_memory_share(writer, sequence) - SLOWDOWN_COST * estimates.slowdown(writer)
            nearness = ZONE_TOKENS * (writer.zone == config.zone) - LEARNING.initial_read_rate * delay
            return FREE_TOKENS * free + max(cached, near_cached) + nearness + random()

        return score
