"""What this node believes of the engines: load, free memory, speed, health.

All that is observed of an engine is held against what is usual for its kind, and fades to that with time.
"""

from statistics import median

from myrtlehub.routing.contract import Outcome, RouterConfig
from myrtlehub.routing.engine_table import EngineTable, LearningSettings
from myrtlehub.routing.policy.prefix_cache import CACHE_BOUNDS
from myrtlehub.routing.records import Attempt, Engine, Sequence

LEARNING = LearningSettings(
    half_life=5.0,  # seconds in which what was seen of an engine halves
    max_half_life=15.0,  # the same at most, for kinds of engines that are rarely heard of
    rate_half_life=20.0,  # seconds in which the counts of arrivals and starts halve
    sequence_weight=0.05,  # of one sequence in what is usual for all
    kind_weight=0.1,  # of one engine in what is usual for its kind
    engine_weight=0.3,  # of one observation in what was seen of an engine
    failure_weight=0.5,  # the same of a failure in its share of failures
    unreached_weight=0.7,  # and of a connection that was not established
    slowdown_weight=0.2,  # the same of an answer's duration
    likely_uncached_tokens=600.0,  # of a sequence that waits at an engine, until some were sent
    likely_read_rate=12000.0,  # prompt tokens a second, until answers have shown a rate
    read_rate_samples=20,  # reads by which the rate of a kind is judged
    min_read_rate=200.0,  # tokens a second that a single read can show
    max_read_rate=100000.0,
    min_speed=-0.95,  # by how much faster than usual a single read can show an engine to be
    max_speed=1.0,
    min_sample_tokens=200.0,  # uncached tokens of a read from which it shows a rate
    full_sample_tokens=2000.0,  # and from which it counts in full for its engine
    cache=CACHE_BOUNDS,
)
LIKELY_MEMORY = 150000.0  # tokens, where no figure is stated
MAX_ALIKE_NODES = 3.0  # other nodes at most that are taken to send to the engines that we send to
OUTLIER_MARGIN = 0.25  # share of failures above the fleet's median at which an engine is ejected
RESTARTED_FAILURES = 0.8  # share of failures from which an engine that cannot be reached counts as restarted
SILENT_QUEUE = 0.5  # seconds of queue that an engine is taken to have whose probe found no answer


class EngineEstimates(EngineTable):
    """The engines, and what is believed of them at the present time."""

    def __init__(self, config: RouterConfig) -> None:
        super().__init__(config, LEARNING)

    def probe_unanswered(self, engine: Engine) -> None:
        """Take an engine for full: a probe waits like a request, so a time-out is a long queue, no death."""
        backlog = SILENT_QUEUE * self.read_rate(engine) - self.usual_backlog.get(engine.kind, 0.0)
        engine.backlog = self.moved(engine.backlog, engine, backlog, 1.0)
        memory = 1.0 - self.usual_memory.get(engine.kind, 0.0)
        engine.memory = self.moved(engine.memory, engine, memory, 1.0)

    def free_share(self, writer: Engine, sequence: Sequence) -> float:
        """Return the share of a writer's memory left with this sequence and all that is meant for it.

        A few nodes that see the same reports choose as we do; of many, our own few sends tell nothing.
        """
        memory = self.config.memory[writer.kind] or LIKELY_MEMORY
        free = self.free_shares.get(writer.index)
        if free is None:
            mean = self.promised / max(1, len(self.writers))
            others = self._other_nodes()
            coming = writer.promised + others * mean + min(others, MAX_ALIKE_NODES) * (writer.promised - mean)
            used = self.usual_memory.get(writer.kind, 0.0) + self.observed(writer.memory, writer)
            free = self.free_shares[writer.index] = 1.0 - used - coming / memory
        return free - sequence.memory_need / memory

    def _other_nodes(self) -> float:
        """Return as many nodes with our traffic as the rest of what tenants may send is worth.

        A node that gets several times its even part would else see all writers full of what nobody sends.
        """
        others = self.config.node_count - 1.0
        ours = sum(self.arrivals.rate(tenant, self.now) for tenant in range(len(self.config.quotas)))
        total = sum(self.config.quotas)
        return min(others, max(0.0, total / ours - 1.0)) if ours and total else others

    def total_backlog(self, engine: Engine) -> float:
        """Return the prompt tokens that wait there, of all nodes."""
        own = engine.own_backlog
        alike = own * min(self.config.node_count - 1, MAX_ALIKE_NODES)
        others = self.usual_backlog.get(engine.kind, alike) + self.observed(engine.backlog, engine)
        return own + max(0.0, others)

    def wait(self, engine: Engine) -> float:
        """Return the seconds until what waits there has been read."""
        wait = self.waits.get(engine.index)
        if wait is None:
            wait = self.waits[engine.index] = self.total_backlog(engine) / self.read_rate(engine)
        return wait

    def slowdown(self, writer: Engine) -> float:
        """Return by how much of the usual time a writer's answers take longer."""
        return self.usual_slowdown.get(writer.kind, 0.0) + self.observed(writer.slowdown, writer)

    def attempt_ended(self, sequence: Sequence, attempt: Attempt) -> None:
        """Learn from how an attempt ended, and whether its engine has probably died and come back.

        The endpoint list tells of that seconds late. One reset is no death: connections break at engines
        that run on.
        """
        super().attempt_ended(sequence, attempt)
        engine = attempt.engine
        is_cut_off = attempt.outcome in (Outcome.UNREACHED, Outcome.RESET)
        if is_cut_off and self.observed(engine.failures, engine) > RESTARTED_FAILURES:
            engine.restarted(self.now)

    def is_outlier(self, engine: Engine) -> bool:
        """Return whether its share of failures is far above the median of the fleet."""
        share = self.observed(engine.failures, engine)
        if share <= OUTLIER_MARGIN:
            return False
        fleet = (self.observed(other.failures, other) for other in self.writers + self.readers)
        return share > OUTLIER_MARGIN + median(fleet)
