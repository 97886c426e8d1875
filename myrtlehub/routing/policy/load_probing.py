"""Load probing: which engines an arriving sequence probes, where engines report load to probes only.

The number of probes is limited by this node's arrivals and by the price of a probe.
"""

from myrtlehub.routing.policy.engine_estimates import EngineEstimates
from myrtlehub.routing.policy.read_placement import ReadPlacement
from myrtlehub.routing.policy.writer_selection import WriterSelection
from myrtlehub.routing.records import Engine, Sequence

PROBE_SPEND = 0.01  # average cost of probes per sequence, in units of utility
MIN_PROBE_PRICE = 1e-6  # utility; lower bound of divisors
MAX_PROBES = 6.0  # per sequence on average, however cheap they are
MAX_PROBE_TOKENS = 3.0 * MAX_PROBES  # capacity of the token bucket that limits probes
PROBED_WRITERS = 2  # number of best-ranked writers that are probed, each with its reader
CANDIDATE_WRITERS = 8  # number of best-ranked writers that are ranked again after the probes
PROBE_INTERVAL = 0.3  # seconds between two probes of an engine, as load changes little sooner


class LoadProbing:
    """Decides which engines to probe for a sequence; a token bucket filled by arrivals limits the probes."""

    def __init__(self, estimates: EngineEstimates, reads: ReadPlacement, writers: WriterSelection) -> None:
        config = estimates.config
        self.estimates = estimates
        self.reads = reads
        self.writers = writers
        self.random = reads.random
        self.is_needed = config.load_by_probe_only and config.may_probe
        price = max(config.probe_price, MIN_PROBE_PRICE)
        self.tokens_per_sequence = min(MAX_PROBES, PROBE_SPEND / price)
        self.tokens = MAX_PROBES

    def select(self, sequence: Sequence, now: float) -> list[Engine]:
        """Return the engines to probe before a sequence is placed, and record that it awaits them."""
        self.tokens = min(self.tokens + self.tokens_per_sequence, MAX_PROBE_TOKENS)
        probed = []
        for engine in self._wanted(sequence, now):
            if self.tokens >= 1.0 and now > engine.last_probed_at + PROBE_INTERVAL:
                self.tokens -= 1.0
                engine.last_probed_at = now
                sequence.pending_probes.add(engine)
                probed.append(engine)
        return probed

    def _wanted(self, sequence: Sequence, now: float) -> list[Engine]:
        """Return the best writers, their readers and one random engine, the most important first."""
        estimates, arrival = self.estimates, sequence.arrival
        usable = self.writers.admission.usable(estimates.writers, sequence, now)
        plan = self.reads.plan(sequence, now)
        ranked = sorted(usable, key=self.writers.score(sequence, plan, now), reverse=True)
        sequence.candidate_writers = ranked[:CANDIDATE_WRITERS]
        wanted = ranked[:PROBED_WRITERS]
        for writer in ranked[:PROBED_WRITERS]:
            uncached = arrival.prompt_tokens - writer.cache.find(arrival, now).tokens
            reader = self.reads.choose(writer, sequence, plan, uncached, now).reader
            if reader is not None:
                wanted.append(reader)
        serving = estimates.writers + estimates.readers
        if serving:
            wanted.append(serving[int(self.random() * len(serving))])
        return wanted
