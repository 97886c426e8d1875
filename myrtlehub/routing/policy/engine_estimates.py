"""Estimates of the load, free memory, speed and health of engines, which all stages use.

An estimate is the mean of the engine's kind plus the decaying deviation of the engine.
"""

from statistics import median

from myrtlehub.routing.contract import Outcome, RouterConfig
from myrtlehub.routing.engine_table import EngineTable, LearningSettings
from myrtlehub.routing.policy.prefix_cache import CACHE_BOUNDS
from myrtlehub.routing.records import Attempt, Engine, Sequence

LEARNING = LearningSettings(
    half_life=5.0,  # seconds, for kinds with frequent observations
    max_half_life=15.0,  # seconds; with 160 nodes, an engine gives each one feedback about every 30 s
    rate_half_life=20.0,  # seconds; even a node with little traffic counts several starts in them
    sequence_weight=0.05,  # about the last 20 sequences
    kind_weight=0.1,  # about the last 10 reports of engines of the kind
    engine_weight=0.3,  # about the last 3 observations of the engine
    failure_weight=0.5,  # two consecutive failures raise the failure rate to 0.75
    unreached_weight=0.7,  # a refused connection is stronger evidence than an error: two raise it to 0.91
    slowdown_weight=0.2,  # about the last 5 answers of the engine
    initial_uncached_tokens=600.0,  # per queued sequence, before any was sent
    initial_read_rate=12000.0,  # prompt tokens per second, before any read was observed
    read_rate_samples=20,  # reads; a few outliers hardly change their median
    min_read_rate=200.0,  # tokens per second; limits the effect of a stalled read
    max_read_rate=100000.0,  # tokens per second; limits the effect of a very short read
    min_speed=-0.95,  # 0.05 times the rate of the kind, so that estimates stay positive
    max_speed=1.0,  # twice the rate of the kind
    min_sample_tokens=200.0,  # a shorter read takes mostly fixed overhead
    full_sample_tokens=2000.0,  # in a longer read, the fixed overhead is negligible
    cache=CACHE_BOUNDS,
)
DEFAULT_MEMORY_TOKENS = 150000.0  # per engine of a kind whose memory is not configured
# Upper bound of the number of other nodes that are assumed to select the same engines as this node. A few
# nodes get the same load reports and select alike; many nodes select differently.
MAX_CORRELATED_NODES = 3.0
OUTLIER_FAILURE_RATE_MARGIN = 0.25  # failure rate above the median at which an engine is ejected
# Failure rate from which a reset or refused connection is taken as a restart: after three consecutive resets
# or two consecutive refused connections (`test_one_reset_is_no_restart_and_three_in_a_row_are`).
RESTART_FAILURE_RATE = 0.8
UNANSWERED_PROBE_QUEUE_TIME = 0.5  # seconds; assumed at an engine whose probe timed out


class EngineEstimates(EngineTable):
    """The table of engines, with estimates that are derived from its observations."""

    def __init__(self, config: RouterConfig) -> None:
        super().__init__(config, LEARNING)

    def record_probe_timeout(self, engine: Engine) -> None:
        """Assume a long queue and full memory, because an engine queues probes like requests."""
        backlog = UNANSWERED_PROBE_QUEUE_TIME * self.read_rate(engine)
        backlog -= self.mean_backlog.get(engine.kind, 0.0)
        engine.backlog_deviation = self.updated_observation(engine.backlog_deviation, engine, backlog, 1.0)
        memory = 1.0 - self.mean_memory_share.get(engine.kind, 0.0)
        engine.memory_deviation = self.updated_observation(engine.memory_deviation, engine, memory, 1.0)

    def free_memory_share(self, writer: Engine, sequence: Sequence) -> float:
        """Return the share of a writer's memory that is free once a sequence and all assigned ones started.

        The tokens that other nodes have assigned are estimated from those of this node. Every other node is
        assumed to assign to each writer what this node assigns to an average writer. Up to
        `MAX_CORRELATED_NODES` of them are assumed to deviate from that average at this writer as this node
        does.
        """
        memory = self.config.memory[writer.kind] or DEFAULT_MEMORY_TOKENS
        free = self.free_memory_shares.get(writer.index)
        if free is None:
            own, mean = writer.assigned_tokens, self.assigned_tokens / max(1, len(self.writers))
            others = self.equivalent_other_nodes
            if others is None:
                others = self.equivalent_other_nodes = self._equivalent_other_nodes()
            assigned = own + others * mean + min(others, MAX_CORRELATED_NODES) * (own - mean)
            used = self.mean_memory_share.get(writer.kind, 0.0) + self.decayed(
                writer.memory_deviation, writer
            )
            free = self.free_memory_shares[writer.index] = 1.0 - used - assigned / memory
        return free - sequence.memory_tokens / memory

    def _equivalent_other_nodes(self) -> float:
        """Return the number of nodes with this node's traffic to which the other nodes are equivalent.

        It is the number of other nodes, limited to the number whose traffic fits in the remaining quotas.
        Without this limit, a node that gets several times the mean traffic expects as much from each other
        node, and estimates all writers to be full
        (`test_a_node_with_more_than_its_even_part_does_not_estimate_the_fleet_full`).
        """
        others = self.config.node_count - 1.0
        own_rate = sum(
            self.arrival_counters.rate(tenant, self.now) for tenant in range(len(self.config.quotas))
        )
        total_rate = sum(self.config.quotas)
        if not own_rate or not total_rate:
            return others
        return min(others, max(0.0, total_rate / own_rate - 1.0))

    def total_backlog(self, engine: Engine) -> float:
        """Return the estimated prompt tokens from all nodes that an engine has not read yet."""
        own = engine.own_backlog
        default = own * min(self.config.node_count - 1, MAX_CORRELATED_NODES)
        others = self.mean_backlog.get(engine.kind, default) + self.decayed(engine.backlog_deviation, engine)
        return own + max(0.0, others)

    def queueing_delay(self, engine: Engine) -> float:
        """Return the estimated seconds until an engine has read its backlog."""
        delay = self.queueing_delays.get(engine.index)
        if delay is None:
            delay = self.queueing_delays[engine.index] = self.total_backlog(engine) / self.read_rate(engine)
        return delay

    def slowdown(self, writer: Engine) -> float:
        """Return by how much a writer's answers exceed the mean duration, as a share of it."""
        return self.mean_slowdown.get(writer.kind, 0.0) + self.decayed(writer.slowdown_deviation, writer)

    def attempt_ended(self, sequence: Sequence, attempt: Attempt) -> None:
        """Update the estimates from the outcome of an attempt, and detect a restart of its engine.

        The endpoint list reports restarts seconds late. A single reset is not taken as a restart, because
        connections also break while engines keep running.
        """
        super().attempt_ended(sequence, attempt)
        engine = attempt.engine
        is_connection_failure = attempt.outcome in (Outcome.UNREACHED, Outcome.RESET)
        if is_connection_failure and self.decayed(engine.failure_rate, engine) > RESTART_FAILURE_RATE:
            engine.record_restart(self.now)

    def is_outlier(self, engine: Engine) -> bool:
        """Return whether the failure rate of an engine is far above the median of the serving engines."""
        decayed_rate = self.decayed(engine.failure_rate, engine)
        if decayed_rate <= OUTLIER_FAILURE_RATE_MARGIN:
            return False
        if self.median_failure_rate is None:
            self.median_failure_rate = median(
                self.decayed(other.failure_rate, other) for other in self.writers + self.readers
            )
        return decayed_rate > OUTLIER_FAILURE_RATE_MARGIN + self.median_failure_rate
