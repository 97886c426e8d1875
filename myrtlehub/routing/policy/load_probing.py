"""Load probing: which engines are probed for an arriving sequence, if engines report load to probes only.

A token bucket, which arrivals fill according to the price of a probe, limits the number of probes.
"""

from myrtlehub.routing.policy.engine_estimates import EngineEstimates
from myrtlehub.routing.policy.read_placement import ReadPlacement
from myrtlehub.routing.policy.writer_selection import WriterSelection
from myrtlehub.routing.records import Engine, Sequence

PROBE_BUDGET_PER_SEQUENCE = 0.01  # average cost of the probes for a sequence, in units of utility
MIN_PROBE_PRICE = 1e-6  # utility; prevents a division by zero
MAX_PROBES_PER_SEQUENCE = 6.0  # per sequence on average, at any price
PROBE_BUCKET_CAPACITY = 3.0 * MAX_PROBES_PER_SEQUENCE  # tokens; each probe uses one
PROBED_WRITER_COUNT = 2  # number of best-ranked writers that are probed, each with its reader
CANDIDATE_WRITER_COUNT = 8  # number of best-ranked writers that are ranked again after the probes
MIN_PROBE_INTERVAL = 0.3  # seconds between two probes of an engine, whose load changes little meanwhile


class LoadProbing:
    """Selects the engines to probe for a sequence."""

    def __init__(
        self, estimates: EngineEstimates, read_placement: ReadPlacement, writer_selection: WriterSelection
    ) -> None:
        config = estimates.config
        self.estimates = estimates
        self.read_placement = read_placement
        self.writer_selection = writer_selection
        self.random = read_placement.random
        self.is_enabled = config.load_by_probe_only and config.may_probe
        price = max(config.probe_price, MIN_PROBE_PRICE)
        self.bucket_tokens_per_sequence = min(MAX_PROBES_PER_SEQUENCE, PROBE_BUDGET_PER_SEQUENCE / price)
        self.bucket_tokens = MAX_PROBES_PER_SEQUENCE

    def select(self, sequence: Sequence, now: float) -> list[Engine]:
        """Return the engines to probe before a sequence is placed, and record their probes as pending."""
        self.bucket_tokens = min(self.bucket_tokens + self.bucket_tokens_per_sequence, PROBE_BUCKET_CAPACITY)
        probed = []
        for engine in self._probe_targets(sequence, now):
            if self.bucket_tokens >= 1.0 and now > engine.last_probed_at + MIN_PROBE_INTERVAL:
                self.bucket_tokens -= 1.0
                engine.last_probed_at = now
                sequence.pending_probes.add(engine)
                probed.append(engine)
        return probed

    def _probe_targets(self, sequence: Sequence, now: float) -> list[Engine]:
        """Return the best writers, their readers and a random engine, in the order of priority."""
        estimates, arrival = self.estimates, sequence.arrival
        candidates = sequence.candidates.writers
        usable = self.writer_selection.admission.usable_engines(candidates, sequence, now)
        plan = self.read_placement.plan(sequence, now)
        ranked = sorted(usable, key=self.writer_selection.score(sequence, plan, now), reverse=True)
        sequence.candidate_writers = ranked[:CANDIDATE_WRITER_COUNT]
        targets = ranked[:PROBED_WRITER_COUNT]
        for writer in ranked[:PROBED_WRITER_COUNT]:
            uncached = arrival.prompt_tokens - writer.cache.find(arrival, now).tokens
            reader = self.read_placement.choose_read(writer, sequence, plan, uncached, now).reader
            if reader is not None:
                targets.append(reader)
        serving = estimates.writers + estimates.readers
        if serving:
            targets.append(serving[int(self.random() * len(serving))])
        return targets
