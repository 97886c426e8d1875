"""Estimates of an engine's load, free memory, speed and health, as all stages use them.

Each estimate is the average of the engine's kind plus the decaying observations of the engine itself.
"""

from statistics import median

from myrtlehub.routing.contract import Outcome, RouterConfig
from myrtlehub.routing.engine_table import EngineTable, LearningSettings
from myrtlehub.routing.policy.prefix_cache import CACHE_BOUNDS
from myrtlehub.routing.records import Attempt, Engine, Sequence

LEARNING = LearningSettings(
    half_life=5.0,  # seconds, for kinds of engines that are often observed
    max_half_life=15.0,  # seconds; of 160 nodes, each gets feedback from an engine about every 30 s
    rate_half_life=20.0,  # seconds, in which also a node with little traffic counts several starts
    sequence_weight=0.05,  # averages over about 20 sequences
    kind_weight=0.1,  # averages over about 10 reports of the engines of a kind
    engine_weight=0.3,  # averages over about 3 observations of an engine
    failure_weight=0.5,  # two failures in a row raise the share of failures to 0.75
    unreached_weight=0.7,  # a refused connection says more than an error: two raise the share to 0.91
    slowdown_weight=0.2,  # averages over about 5 answers of an engine
    initial_uncached_tokens=600.0,  # assumed for a queued sequence before any were sent
    initial_read_rate=12000.0,  # prompt tokens per second, before any reads were observed
    read_rate_samples=20,  # reads: so many that a few outliers hardly change the median
    min_read_rate=200.0,  # tokens per second, so that one stalled read has a limited effect
    max_read_rate=100000.0,  # tokens per second, so that one very short read has a limited effect
    min_speed=-0.95,  # a read rate of 0.05 of the usual one, so that estimates stay positive
    max_speed=1.0,  # twice the usual read rate
    min_sample_tokens=200.0,  # tokens: the time of a shorter read is mostly fixed overhead
    full_sample_tokens=2000.0,  # tokens: from there the fixed overhead matters little
    cache=CACHE_BOUNDS,
)
DEFAULT_MEMORY = 150000.0  # tokens, of a kind whose memory is not configured
# Upper bound of the number of other nodes that are assumed to choose the same engines as this one. A few
# nodes see the same load reports and choose alike; many nodes make different choices.
MAX_CORRELATED_NODES = 3.0
OUTLIER_MARGIN = 0.25  # share of failures above the fleet's median from which an engine is ejected
# Share of failures from which a reset or refused connection means a restart: three resets or two refused
# connections in a row (`test_one_reset_is_no_restart_and_three_in_a_row_are`).
RESTARTED_FAILURES = 0.8
UNANSWERED_PROBE_QUEUE_TIME = 0.5  # seconds of queue assumed at an engine whose probe timed out


class EngineEstimates(EngineTable):
    """The table of engines, with the estimates derived from its observations."""

    def __init__(self, config: RouterConfig) -> None:
        super().__init__(config, LEARNING)

    def probe_unanswered(self, engine: Engine) -> None:
        """Assume that an engine is full: probes queue like requests, so a timeout means a long queue."""
        backlog = UNANSWERED_PROBE_QUEUE_TIME * self.read_rate(engine)
        backlog -= self.usual_backlog.get(engine.kind, 0.0)
        engine.backlog = self.updated(engine.backlog, engine, backlog, 1.0)
        memory = 1.0 - self.usual_memory.get(engine.kind, 0.0)
        engine.memory = self.updated(engine.memory, engine, memory, 1.0)

    def free_share(self, writer: Engine, sequence: Sequence) -> float:
        """Return the share of a writer's memory that a sequence, and all those already assigned, leave free.

        The tokens that other nodes have assigned to the writer are estimated from those of this node. Each
        other node is assumed to assign as much as this one does to an average writer, and up to
        `MAX_CORRELATED_NODES` of them to prefer this writer to the average as this node does.
        """
        memory = self.config.memory[writer.kind] or DEFAULT_MEMORY
        free = self.free_shares.get(writer.index)
        if free is None:
            own, mean = writer.assigned_tokens, self.assigned_tokens / max(1, len(self.writers))
            others = self._equivalent_other_nodes()
            assigned = own + others * mean + min(others, MAX_CORRELATED_NODES) * (own - mean)
            used = self.usual_memory.get(writer.kind, 0.0) + self.observed(writer.memory, writer)
            free = self.free_shares[writer.index] = 1.0 - used - assigned / memory
        return free - sequence.memory_need / memory

    def _equivalent_other_nodes(self) -> float:
        """Return by how many nodes with this node's traffic the other nodes can be represented.

        It is the number of other nodes, but at most as many as the rest of all quotas allows. Without this
        bound, a node with several times its even part of the traffic would expect as much from each other
        node, and estimate all writers to be full
        (`test_a_node_with_more_than_its_even_part_does_not_estimate_the_fleet_full`).
        """
        others = self.config.node_count - 1.0
        own_rate = sum(self.arrivals.rate(tenant, self.now) for tenant in range(len(self.config.quotas)))
        total_rate = sum(self.config.quotas)
        if not own_rate or not total_rate:
            return others
        return min(others, max(0.0, total_rate / own_rate - 1.0))

    def total_backlog(self, engine: Engine) -> float:
        """Return the prompt tokens of all nodes that an engine has yet to read."""
        own = engine.own_backlog
        default = own * min(self.config.node_count - 1, MAX_CORRELATED_NODES)
        others = self.usual_backlog.get(engine.kind, default) + self.observed(engine.backlog, engine)
        return own + max(0.0, others)

    def wait(self, engine: Engine) -> float:
        """Return the seconds until an engine has read its backlog."""
        wait = self.waits.get(engine.index)
        if wait is None:
            wait = self.waits[engine.index] = self.total_backlog(engine) / self.read_rate(engine)
        return wait

    def slowdown(self, writer: Engine) -> float:
        """Return the excess duration of a writer's answers, as a share of the usual duration."""
        return self.usual_slowdown.get(writer.kind, 0.0) + self.observed(writer.slowdown, writer)

    def attempt_ended(self, sequence: Sequence, attempt: Attempt) -> None:
        """Update the estimates from the outcome of an attempt, and detect a probable restart of its engine.

        The endpoint list reports a restart seconds late. One reset is no restart, because connections also
        break at engines that keep running.
        """
        super().attempt_ended(sequence, attempt)
        engine = attempt.engine
        is_cut_off = attempt.outcome in (Outcome.UNREACHED, Outcome.RESET)
        if is_cut_off and self.observed(engine.failures, engine) > RESTARTED_FAILURES:
            engine.record_restart(self.now)

    def is_outlier(self, engine: Engine) -> bool:
        """Return whether an engine's share of failures is far above the median of the serving engines."""
        share = self.observed(engine.failures, engine)
        if share <= OUTLIER_MARGIN:
            return False
        fleet = (self.observed(other.failures, other) for other in self.writers + self.readers)
        return share > OUTLIER_MARGIN + median(fleet)
