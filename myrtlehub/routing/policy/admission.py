"""Admission control: the check before each attempt, slow start of cold engines, and load shedding.

Routing maintains these invariants, to which comments refer by number:

1. Each sequence gets one final answer, before its abandon time.
2. A sequence that may have run does not have its effect a second time.
3. A draining or removed engine gets no new attempts.
4. A cold engine gets only the share of traffic that it can handle while it warms up (slow start).
5. No engine holds the read state of a sequence longer than the state timeout.
"""

from myrtlehub.routing.contract import EngineState
from myrtlehub.routing.policy.engine_estimates import LEARNING, EngineEstimates
from myrtlehub.routing.policy.retries import may_run_at
from myrtlehub.routing.records import Engine, NotPlaced, Sequence, StartEstimate
from myrtlehub.routing.statistics import EstimateCorrection

# Share of a cold engine's overload limit that all nodes together send to it on average, so that random peaks
# stay below the limit (`test_slow_start_bounds_what_all_nodes_send_however_many_they_are`).
SLOW_START_SHARE = 0.3
WARM_UP_CURVE_SHARE = 0.5  # share of a linear warm-up that is assumed, because the actual curve is unknown
MIN_WARM_UP_TIME = 0.001  # seconds; prevents a division by zero
GOLDEN_RATIO = 0.6180339887  # spreads the draw of a sequence evenly over the engines
MAX_WAIT_SHARE = 0.7  # share of the latency SLO that a sequence may wait before it is rejected
# Sequences per rate half-life by which a tenant may exceed its quota, because a rate that is estimated from a
# few arrivals is noisy.
QUOTA_BURST = 1.5
# Multiple of an even part of a quota that each node admits, because traffic is uneven.
QUOTA_IMBALANCE_FACTOR = 1.25
# Share of the state timeout after which the read state of a waiting sequence is released.
STATE_RELEASE_SHARE = 0.5
# The same share after a failed connection to a writer, so that another writer can be tried first, and while
# it is unknown whether the attempt that fetches the state has arrived.
UNREACHED_STATE_RELEASE_SHARE = 0.75
# Share of the state timeout after which the node checks whether an unanswered attempt has arrived: after most
# answers have started, and early enough to complete the check before the release.
ARRIVAL_CHECK_SHARE = 0.45
INITIAL_DELAY_CORRECTION = 0.5  # ratio of actual to estimated start delay, before any start was observed
MAX_DELAY_RATIO = 5.0  # upper bound of that ratio in one sample; limits the effect of one stall
MAX_DELAY_SAMPLE_WEIGHT = 0.3  # upper bound of the weight of one sample, even if the last one is old
# Share of the time left until the SLO deadline within which the estimated start has to be, if engines report
# load to probes only.
PROBED_SLO_SHARE = 0.7


class Admission:
    """Decides whether a sequence is sent, waits at this node or is rejected."""

    def __init__(self, estimates: EngineEstimates) -> None:
        self.config = estimates.config
        self.estimates = estimates
        # Its decay ensures that a node which rejects everything, and so observes no starts, accepts again.
        self.delay_correction = EstimateCorrection(INITIAL_DELAY_CORRECTION, LEARNING.half_life)

    def is_over_quota(self, tenant: int | None) -> bool:
        """Return whether the recent rate of a tenant at this node exceeds this node's part of the quota."""
        if tenant is None:
            return False
        quota = self.config.quotas[tenant] / self.config.node_count
        rate = self.estimates.arrival_counters.rate(tenant, self.estimates.now)
        return 0.0 < quota * QUOTA_IMBALANCE_FACTOR < rate - QUOTA_BURST / LEARNING.rate_half_life

    def check_attempt(self, sequence: Sequence, engine: Engine, now: float) -> NotPlaced | None:
        """Check invariants 1 to 4 before an attempt at an engine; return None if it may be sent."""
        attempts_left = self.config.max_attempts - len(sequence.attempts)
        if sequence.is_over or now >= sequence.abandon_at or attempts_left <= 0:
            return NotPlaced.GIVE_UP  # invariant 1: one final answer
        if sequence.running_attempts():
            return NotPlaced.WAIT
        if not may_run_at(sequence, engine, now, self.config):
            return NotPlaced.GIVE_UP  # invariant 2: no second effect
        if engine.state != EngineState.SERVING:
            return NotPlaced.WAIT  # invariant 3: draining engines
        if not self.is_in_slow_start_share(engine, sequence, now):
            return NotPlaced.WAIT  # invariant 4: slow start
        return None

    def usable_engines(self, engines: list[Engine], sequence: Sequence, now: float) -> list[Engine]:
        """Return the serving engines that are no outliers and may get this sequence (invariant 4)."""
        is_outlier = self.estimates.is_outlier
        return [
            engine
            for engine in engines
            if engine.state == EngineState.SERVING
            and (not engine.started_at or self.is_in_slow_start_share(engine, sequence, now))
            and not (engine.failure_rate.value and is_outlier(engine))
        ]

    def is_in_slow_start_share(self, engine: Engine, sequence: Sequence, now: float) -> bool:
        """Return whether an engine is warm, or its slow start allows this sequence (invariant 4).

        A random number that is drawn when a sequence arrives decides for all engines and all its attempts.
        So a cold engine gets its share of the traffic of all nodes without coordination, independent of the
        number of nodes and the traffic of each. No node accumulates unused sends, and a retry has no further
        chance.
        """
        config = self.config
        age = now - engine.started_at
        if not config.overload_window or not engine.started_at or age > config.cold_time:
            return True
        warmed = WARM_UP_CURVE_SHARE * max(0.0, age) / max(config.cold_time, MIN_WARM_UP_TIME)
        share = config.cold_share + (1.0 - config.cold_share) * warmed
        peers = self.estimates.writers if config.writes[engine.kind] else self.estimates.readers
        draw = (sequence.slow_start_draw + engine.hash_seed * GOLDEN_RATIO) % 1.0
        return draw * max(1, len(peers)) < SLOW_START_SHARE * share * config.overload_multiple

    def wait_or_reject(self, sequence: Sequence, now: float) -> NotPlaced:
        """Return REJECT for a sequence that is over quota or has waited for its limit, else WAIT.

        The limit leaves the client enough time to retry elsewhere.
        """
        if sequence.is_over_quota or self.has_exceeded_wait_limit(sequence, now):
            return NotPlaced.REJECT
        return NotPlaced.WAIT

    def has_exceeded_wait_limit(self, sequence: Sequence, now: float) -> bool:
        """Return whether a sequence has waited longer than it may for its first attempt."""
        slo = sequence.slo_deadline - sequence.arrived_at
        return now - sequence.arrived_at > MAX_WAIT_SHARE * slo

    def will_miss_slo(self, sequence: Sequence, delay: float, now: float) -> bool:
        """Return whether an answer with this estimated start delay will miss the latency SLO."""
        limit_share = PROBED_SLO_SHARE if self.config.load_by_probe_only else 1.0
        return delay * self.delay_correction.factor(now) > limit_share * (sequence.slo_deadline - now)

    def record_start_estimate(self, sequence: Sequence, delay: float, now: float) -> None:
        """Record the estimated start delay of a sequence, for the comparison with the actual one."""
        sequence.start_estimate = StartEstimate(now, delay)

    def record_start(self, sequence: Sequence, now: float) -> None:
        """Update the correction of estimates when a sequence starts, or ends without a start."""
        estimate = sequence.start_estimate
        sequence.start_estimate = None
        if estimate is not None and estimate.delay > 0.0:
            actual = min(now - estimate.estimated_at, MAX_DELAY_RATIO * estimate.delay)
            self.delay_correction.observe(estimate.delay, actual, MAX_DELAY_SAMPLE_WEIGHT, now)

    def expect_arrival(self, sequence: Sequence) -> None:
        """Schedule the arrival check of an attempt that was sent, and the release of the state (invariant 5).

        An attempt may not arrive although it was sent: its connection can be cut off without an error, or
        its engine can stop reading. Then nothing fetches the read state, and its timeout continues. Only an
        answer or the arrival check proves the arrival. Without it, the state is released; if the attempt has
        arrived after all, it finds no state.
        Test: `test_a_state_is_released_in_time_although_its_write_never_arrives`.
        """
        sequence.clear_release_timers()
        had_read = sequence.arrival.state_engine is not None or any(
            attempt.is_read and not attempt.is_running for attempt in sequence.attempts
        )
        if had_read and sequence.state_held_since > 0.0 and self.config.may_check_arrival:
            timeout = self.config.state_timeout
            sequence.arrival_check_due_at = sequence.state_held_since + ARRIVAL_CHECK_SHARE * timeout
            sequence.state_release_due_at = (
                sequence.state_held_since + UNREACHED_STATE_RELEASE_SHARE * timeout
            )

    def has_state_expired(self, sequence: Sequence, now: float, share: float) -> bool:
        """Return whether a read state was not fetched within a share of the state timeout (invariant 5)."""
        return now > sequence.state_held_since + share * self.config.state_timeout
