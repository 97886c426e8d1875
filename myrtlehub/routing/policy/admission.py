"""Admission control: the gate that every send passes, slow start, and what is shed.

The five rules: 1, one final answer in time; 2, no effect twice; 3, nothing new for engines that drain;
4, slow start of cold engines; 5, no state stays at an engine for long.
"""

from myrtlehub.routing.contract import EngineState
from myrtlehub.routing.policy.engine_estimates import LEARNING, EngineEstimates
from myrtlehub.routing.policy.retries import may_run_at
from myrtlehub.routing.records import Engine, Sequence, StageResult
from myrtlehub.routing.statistics import EstimateError

SLOW_START_SHARE = 0.3  # of what a cold engine may be sent in a span without failing, over all nodes
SLOW_START_RAMP = 0.5  # of an even ramp from cold to warm that is believed, as the true one is unknown
GOLDEN_RATIO = 0.6180339887  # spreads one draw of a sequence over engines
MAX_WAIT_SHARE = 0.7  # of the latency objective, for which a sequence waits here for capacity
QUOTA_SLACK = 1.5  # sequences a span that a tenant may send besides, as few make no share
QUOTA_SKEW = 1.25  # times its even part of a quota that a node admits, as nodes get unequal parts
STATE_TIMEOUT_SHARE = 0.5  # of the time for which an engine may hold a state, after which it is released
UNREACHED_STATE_TIMEOUT_SHARE = 0.75  # the same while a writer cannot be reached: one more may be tried
LIKELY_DELAY_FACTOR = 0.5  # of the estimate that a start takes, until some have been seen
MAX_DELAY_FACTOR = 5.0  # times the estimate that a single start counts at most
MAX_DELAY_WEIGHT = 0.3  # of a single start in the averages
PROBED_LIMIT_SHARE = 0.7  # of the time left that a start may be estimated at, where load is only probed for


class Admission:
    """Decides what is admitted, what waits at this node and what is rejected."""

    def __init__(self, estimates: EngineEstimates) -> None:
        self.config = estimates.config
        self.estimates = estimates
        # it fades, as a node that rejects all learns nothing more
        self.delay_error = EstimateError(LIKELY_DELAY_FACTOR, LEARNING.half_life)

    def is_over_quota(self, tenant: int) -> bool:
        """Return whether a tenant lately sent this node more than its part of the quota."""
        quota = self.config.quotas[tenant] / self.config.node_count if tenant >= 0 else 0.0
        rate = self.estimates.arrivals.rate(tenant, self.estimates.now)
        return 0.0 < quota * QUOTA_SKEW < rate - QUOTA_SLACK / LEARNING.rate_half_life

    def gate(self, sequence: Sequence, now: float) -> StageResult:
        """Check each of the rules; every send passes here."""
        engine = sequence.reader if sequence.is_split else sequence.writer
        attempts_left = self.config.max_attempts - len(sequence.attempts)
        if sequence.is_over or now >= sequence.abandon_at or attempts_left <= 0:
            return StageResult.GIVE_UP  # rule 1: answered by now, or nothing more may be sent
        if sequence.running_attempts():
            return StageResult.WAIT
        if not may_run_at(sequence, engine, now, self.config):
            return StageResult.GIVE_UP  # rule 2
        if engine.state != EngineState.SERVING:
            return StageResult.WAIT  # rule 3
        return StageResult.PASS if self.in_slow_start_share(engine, sequence, now) else StageResult.WAIT

    def usable(self, engines: list[Engine], sequence: Sequence, now: float) -> list[Engine]:
        """Return those that serve, may have this sequence while they are cold, and are no outliers."""
        is_outlier = self.estimates.is_outlier
        return [
            engine
            for engine in engines
            if engine.state == EngineState.SERVING
            and (not engine.started_at or self.in_slow_start_share(engine, sequence, now))
            and not (engine.failures.value and is_outlier(engine))
        ]

    def in_slow_start_share(self, engine: Engine, sequence: Sequence, now: float) -> bool:
        """Rule 4: a cold engine is only for a part of all sequences, which each draws once.

        So the sends of all nodes come to that part of what an engine is usually sent, however many nodes
        there are and however little each has seen; none saves up sends, or draws again with a retry.
        """
        config = self.config
        age = now - engine.started_at
        if not config.overload_window or not engine.started_at or age > config.cold_time:
            return True
        warmed = SLOW_START_RAMP * max(0.0, age) / max(config.cold_time, 0.001)
        share = config.cold_share + (1.0 - config.cold_share) * warmed
        alike = self.estimates.writers if config.writes[engine.kind] else self.estimates.readers
        draw = (sequence.slow_start_draw + engine.hash_seed * GOLDEN_RATIO) % 1.0
        return draw * max(1, len(alike)) < SLOW_START_SHARE * share * config.overload_multiple

    def wait_or_reject(self, sequence: Sequence, now: float) -> StageResult:
        """Let a sequence wait here for capacity; reject it in time for a retry, or if over its quota."""
        if sequence.is_over_quota or self.has_waited_long(sequence, now):
            return StageResult.REJECT
        return StageResult.WAIT

    def has_waited_long(self, sequence: Sequence, now: float) -> bool:
        """Return whether it has waited as long as it may for its first attempt."""
        objective = sequence.slo_at - sequence.arrived_at
        return now - sequence.arrived_at > MAX_WAIT_SHARE * objective

    def starts_late(self, sequence: Sequence, delay: float, now: float) -> bool:
        """Return whether an answer estimated to start after this delay misses the latency objective."""
        limit_share = PROBED_LIMIT_SHARE if self.config.load_by_probe_only else 1.0
        return delay * self.delay_error.factor(now) > limit_share * (sequence.slo_at - now)

    def start_seen(self, sequence: Sequence, now: float) -> None:
        """Learn how long a start took, or was waited for in vain, against the estimate."""
        expected = sequence.expected_delay
        if expected > 0.0:
            actual = min(now - sequence.placed_at, MAX_DELAY_FACTOR * expected)
            self.delay_error.observe(expected, actual, MAX_DELAY_WEIGHT, now)
            sequence.expected_delay = 0.0

    def holds_state_too_long(self, sequence: Sequence, now: float, share: float) -> bool:
        """Rule 5: what no writer fetches in this share of the time is released, and would be read anew."""
        return now > sequence.state_since + share * self.config.state_timeout
