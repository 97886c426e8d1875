"""Writer selection, the first stage: ranks writers by free memory, cached tokens, zone and start delay.

The score of a writer is the sum of these criteria, each converted to a number of cached tokens.
"""

from collections.abc import Callable

from myrtlehub.routing.policy.admission import Admission
from myrtlehub.routing.policy.engine_estimates import LEARNING, EngineEstimates
from myrtlehub.routing.policy.read_placement import ReadPlacement
from myrtlehub.routing.policy.retries import prefer_accepting
from myrtlehub.routing.records import Engine, NotPlaced, ReadPlan, Sequence

FREE_MEMORY_TOKENS = 20000.0  # cached tokens that are equivalent to a writer with all its memory free
LOCAL_ZONE_TOKENS = 500.0  # cached tokens that are equivalent to a writer in this node's zone
SLOWDOWN_COST = 0.5  # share of free memory that is equivalent to answers of twice the mean duration
LATENESS_COST = 3.0  # seconds of delay that are equivalent to one second of start lateness
# A writer with a smaller share of free memory gets no first attempts. With full memory, a writer preempts
# answers and later reads their prompts again, so that its memory stays full.
MIN_FREE_SHARE = 1.0 - 0.92
# Weight of a token that is cached at the best reader in a writer's cell, if writers are probed. Without
# probes, such tokens do not count, because many nodes would select the same writers without knowing that
# they are full.
CELL_CACHE_FACTOR = 10.0
NO_READ_PLAN = ReadPlan({}, {})  # of a sequence whose prompt has been read


class WriterSelection:
    """Selects the writers of sequences."""

    def __init__(
        self, estimates: EngineEstimates, admission: Admission, read_placement: ReadPlacement
    ) -> None:
        self.config = estimates.config
        self.estimates = estimates
        self.admission = admission
        self.read_placement = read_placement
        self.random = read_placement.random

    def select(self, sequence: Sequence, now: float) -> Engine | NotPlaced:
        """Return the writer selected for the last attempt if it is still usable, else the best writer."""
        if (writer := self.former_writer(sequence, now)) is not None:
            return writer
        # The candidates that ranked best before the probes have just reported their load.
        all_candidates = sequence.candidates.writers
        candidates = sequence.candidate_writers or all_candidates
        sequence.candidate_writers = []
        usable = self._preferred_writers(candidates, sequence, now)
        free = [
            engine for engine in usable if self.estimates.free_memory_share(engine, sequence) > MIN_FREE_SHARE
        ]
        if not free and candidates is not all_candidates:
            return self.select(sequence, now)  # among all candidates
        if not usable:
            return NotPlaced.WAIT
        if not free and not sequence.attempts:
            return self.admission.wait_or_reject(sequence, now)
        sequence.read_plan = (
            None if sequence.state_engine is not None else self.read_placement.plan(sequence, now)
        )
        score = self.score(sequence, sequence.read_plan or NO_READ_PLAN, now)
        sequence.writer = max(free or usable, key=score)
        return sequence.writer

    def former_writer(self, sequence: Sequence, now: float) -> Engine | None:
        """Return the writer selected for the last attempt, or None if there is none or it is not usable."""
        writer = sequence.writer
        if writer is None or writer in sequence.failed_engines:
            return None
        return writer if self.admission.usable_engines([writer], sequence, now) else None

    def _preferred_writers(self, candidates: list[Engine], sequence: Sequence, now: float) -> list[Engine]:
        """Return the usable writers; if possible, none that failed, is full or has a pending probe."""
        usable = self.admission.usable_engines(candidates, sequence, now)
        usable = [writer for writer in usable if writer not in sequence.failed_engines] or usable
        usable = prefer_accepting(usable, sequence, now) or usable
        return [writer for writer in usable if writer not in sequence.pending_probes] or usable

    def score(self, sequence: Sequence, plan: ReadPlan, now: float) -> Callable[[Engine], float]:
        """Return a function that scores writers for a sequence, in cached tokens; the highest is best."""
        config, estimates, placement, random = self.config, self.estimates, self.read_placement, self.random
        arrival, source = sequence.arrival, sequence.state_engine
        cell_factor = CELL_CACHE_FACTOR if config.load_by_probe_only else 0.0

        def score(writer: Engine) -> float:
            cached = writer.cache.find(arrival, now).tokens
            if source is not None:
                delay = placement.transfer_time(source, writer, sequence)
            else:
                delay = placement.choose_read(
                    writer, sequence, plan, arrival.prompt_tokens - cached, now
                ).seconds
            cell_read = plan.by_cell.get(writer.cell)
            cell_cached = cell_factor * cell_read.cached_tokens if cell_read else 0.0
            lateness = estimates.decayed(writer.start_lateness, writer)
            delay += estimates.queueing_delay(writer) + LATENESS_COST * lateness
            free = estimates.free_memory_share(writer, sequence) - SLOWDOWN_COST * estimates.slowdown(writer)
            zone_and_delay_tokens = (
                LOCAL_ZONE_TOKENS * (writer.zone == config.zone) - LEARNING.initial_read_rate * delay
            )
            return FREE_MEMORY_TOKENS * free + max(cached, cell_cached) + zone_and_delay_tokens + random()

        return score
