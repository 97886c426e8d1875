"""Load probing: where engines tell their load to probes alone, arriving sequences ask those they may go to.

Probes are paced by the sequences of this node and by the price of one.
"""

from myrtlehub.routing.policy.engine_estimates import EngineEstimates
from myrtlehub.routing.policy.read_placement import ReadPlacement
from myrtlehub.routing.policy.writer_selection import WriterSelection
from myrtlehub.routing.records import Engine, Sequence

PROBE_SPEND = 0.01  # of the utility asked for, that probes may cost
MAX_PROBES = 6.0  # a sequence, however cheap they are
SAVED_PROBES = 3.0 * MAX_PROBES  # that may be saved up
PROBED_WRITERS = 2  # of the best, each with its reader; and one engine by chance
CANDIDATE_WRITERS = 8  # of which one is chosen once probes have answered
PROBE_INTERVAL = 0.3  # seconds in which an engine is not probed anew


class LoadProbing:
    """Decides which engines are probed for a sequence."""

    def __init__(self, estimates: EngineEstimates, reads: ReadPlacement, writers: WriterSelection) -> None:
        config = estimates.config
        self.estimates = estimates
        self.reads = reads
        self.writers = writers
        self.random = reads.random
        self.is_needed = config.load_by_probe_only and config.may_probe
        self.earned = min(MAX_PROBES, PROBE_SPEND / max(config.probe_price, 1e-6))  # probes by each sequence
        self.saved = MAX_PROBES

    def probe_for(self, sequence: Sequence, now: float) -> list[Engine]:
        """Return the engines to probe before a sequence is placed; it awaits their answers."""
        self.saved = min(self.saved + self.earned, SAVED_PROBES)
        probed = []
        for engine in self._wanted(sequence, now):
            if self.saved >= 1.0 and now > engine.last_probed_at + PROBE_INTERVAL:
                self.saved -= 1.0
                engine.last_probed_at = now
                sequence.awaited_probes.add(engine)
                probed.append(engine)
        return probed

    def _wanted(self, sequence: Sequence, now: float) -> list[Engine]:
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
