"""Writer selection: the writer is chosen first, by free memory raised by the prompt tokens it has cached."""

from collections.abc import Callable

from myrtlehub.routing.policy.admission import Admission
from myrtlehub.routing.policy.engine_estimates import LEARNING, EngineEstimates
from myrtlehub.routing.policy.read_placement import ReadPlacement
from myrtlehub.routing.policy.retries import prefer_accepting
from myrtlehub.routing.records import Engine, ReadPlan, Sequence, StageResult

FREE_TOKENS = 20000.0  # what a wholly free writer is worth, in cached tokens
ZONE_TOKENS = 500.0  # what lying in this node's zone is worth, likewise
SLOWDOWN_COST = 0.5  # share of a writer's memory lost where answers take twice the usual time
LATENESS_COST = 3.0  # seconds that each second of late starts counts against a writer
MIN_FREE_SHARE = 1.0 - 0.92  # of a writer's memory, below which nothing new is begun for it
NEAR_CACHE_FACTOR = 10.0  # what a token cached by a reader beside a writer is worth, where writers are probed


class WriterSelection:
    """Chooses writers."""

    def __init__(self, estimates: EngineEstimates, admission: Admission, reads: ReadPlacement) -> None:
        self.config = estimates.config
        self.estimates = estimates
        self.admission = admission
        self.reads = reads
        self.random = reads.random

    def select(self, sequence: Sequence, now: float) -> StageResult:
        """Choose the writer of a sequence, or keep the one that it has."""
        writer = sequence.writer
        is_chosen = writer is not None and writer not in sequence.failed_engines
        if is_chosen and self.admission.usable([writer], sequence, now):
            return StageResult.PASS
        # Of those that ranked low when probes were sent nothing new was heard since, a moment ago.
        candidates = sequence.candidate_writers or self.estimates.writers
        sequence.candidate_writers = []
        usable = self._preferred(candidates, sequence, now)
        free = [w for w in usable if self.estimates.free_share(w, sequence) > MIN_FREE_SHARE]
        if not free and candidates is not self.estimates.writers:
            return self.select(sequence, now)
        if not usable:
            return StageResult.WAIT
        if not free and not sequence.attempts:
            # Writers that run out of memory put answers back into their queues and read them anew, which
            # keeps them full, whatever filled them: new work waits here, or is rejected in time for a retry.
            return self.admission.wait_or_reject(sequence, now)
        plan = sequence.read_plan = None if sequence.state_at is not None else self.reads.plan(sequence, now)
        sequence.writer = max(free or usable, key=self.score(sequence, plan, now))
        return StageResult.PASS

    def _preferred(self, candidates: list[Engine], sequence: Sequence, now: float) -> list[Engine]:
        """Return the usable writers, less those that failed it, were full or are silent."""
        usable = self.admission.usable(candidates, sequence, now)
        usable = [writer for writer in usable if writer not in sequence.failed_engines] or usable
        usable = prefer_accepting(usable, sequence, now) or usable
        # an engine whose queue, or end, keeps even a probe waiting
        return [writer for writer in usable if writer not in sequence.awaited_probes] or usable

    def score(self, sequence: Sequence, plan: ReadPlan | None, now: float) -> Callable[[Engine], float]:
        """Return the function of what a writer is worth to a sequence, in cached tokens."""
        config, estimates, reads, random = self.config, self.estimates, self.reads, self.random
        arrival, state_at = sequence.arrival, sequence.state_at
        # Many nodes would all follow a prefix to writers that they cannot probe.
        near_factor = NEAR_CACHE_FACTOR * config.load_by_probe_only

        def score(writer: Engine) -> float:
            cached = writer.cache.find(arrival, now).tokens
            if state_at is not None:
                delay = reads.move_time(state_at, writer, sequence)
            else:
                delay = reads.choose(writer, sequence, plan, arrival.prompt_tokens - cached, now).seconds
            beside = plan.by_cell.get(writer.cell) if plan else None
            near = near_factor * beside.cached_tokens if beside else 0.0
            late = estimates.observed(writer.lateness, writer)
            delay += estimates.wait(writer) + LATENESS_COST * late
            free = estimates.free_share(writer, sequence) - SLOWDOWN_COST * estimates.slowdown(writer)
            nearness = ZONE_TOKENS * (writer.zone == config.zone) - LEARNING.likely_read_rate * delay
            return FREE_TOKENS * free + max(cached, near) + nearness + random()

        return score
