"""Admission control: the gate before every attempt, slow start of cold engines, and load shedding.

The invariants of routing, which the code refers to by number:

1. Each sequence gets one final answer, before its abandon time.
2. No sequence that may have run has its effect a second time.
3. A draining or removed engine gets nothing new.
4. A cold engine gets only the share of traffic that it can handle while it warms up (slow start).
5. No engine holds the read state of a sequence for long.
"""

from myrtlehub.routing.contract import EngineState
from myrtlehub.routing.policy.engine_estimates import LEARNING, EngineEstimates
from myrtlehub.routing.policy.retries import may_run_at
from myrtlehub.routing.records import Engine, NotPlaced, Sequence, StartEstimate
from myrtlehub.routing.statistics import EstimateCorrection

# Share of a cold engine's overload limit that all nodes together send it on average, so that random peaks
# stay below the limit (`test_slow_start_bounds_what_all_nodes_send_however_many_they_are`).
SLOW_START_SHARE = 0.3
SLOW_START_RAMP = 0.5  # assumed share of a linear warm-up, because the real curve is unknown
MIN_COLD_TIME = 0.001  # seconds; lower bound of divisors
GOLDEN_RATIO = 0.6180339887  # makes evenly spread draws for all engines from the one draw of a sequence
MAX_WAIT_SHARE = 0.7  # share of the latency objective that a sequence may wait before it is rejected
# Sequences per rate half-life that a tenant may send beyond its quota, because a rate estimated from few
# arrivals is noisy.
QUOTA_SLACK = 1.5
QUOTA_SKEW = 1.25  # multiple of an even part of a quota that each node admits, as nodes get uneven traffic
# Share of the state timeout after which a waiting sequence releases its read state.
STATE_TIMEOUT_SHARE = 0.5
# The same after a failed connection to a writer, so that one more writer can be tried first, and while it is
# not known that the attempt which was to fetch the state has arrived.
UNREACHED_STATE_TIMEOUT_SHARE = 0.75
# Share of the state timeout after which the node checks whether an unanswered attempt has arrived. Most
# answers begin earlier, and the time until the release is enough for the check.
ARRIVAL_CHECK_SHARE = 0.45
INITIAL_DELAY_FACTOR = 0.5  # actual over estimated start delay, before any starts were observed
MAX_DELAY_FACTOR = 5.0  # upper bound of that ratio in one sample, so that one stall has a limited effect
MAX_DELAY_WEIGHT = 0.3  # upper bound of one sample's weight in the averages, however old the last sample is
# Share of the time left to the latency objective within which an answer must be expected to start, where
# engines report load to probes only.
PROBED_LIMIT_SHARE = 0.7


class Admission:
    """Decides which sequences are sent, which wait at this node and which are rejected."""

    def __init__(self, estimates: EngineEstimates) -> None:
        self.config = estimates.config
        self.estimates = estimates
        # The error decays, so that a node which rejects everything, and observes no starts, accepts again.
        self.delay_correction = EstimateCorrection(INITIAL_DELAY_FACTOR, LEARNING.half_life)

    def is_over_quota(self, tenant: int | None) -> bool:
        """Return whether a tenant's recent rate at this node exceeds the node's part of its quota."""
        if tenant is None:
            return False
        quota = self.config.quotas[tenant] / self.config.node_count
        rate = self.estimates.arrival_counters.rate(tenant, self.estimates.now)
        return 0.0 < quota * QUOTA_SKEW < rate - QUOTA_SLACK / LEARNING.rate_half_life

    def gate(self, sequence: Sequence, engine: Engine, now: float) -> NotPlaced | None:
        """Check rules 1 to 4 before an attempt at an engine; return None if it may be sent."""
        attempts_left = self.config.max_attempts - len(sequence.attempts)
        if sequence.is_over or now >= sequence.abandon_at or attempts_left <= 0:
            return NotPlaced.GIVE_UP  # rule 1
        if sequence.running_attempts():
            return NotPlaced.WAIT
        if not may_run_at(sequence, engine, now, self.config):
            return NotPlaced.GIVE_UP  # rule 2
        if engine.state != EngineState.SERVING:
            return NotPlaced.WAIT  # rule 3
        if not self.is_in_slow_start_share(engine, sequence, now):
            return NotPlaced.WAIT  # rule 4
        return None

    def usable(self, engines: list[Engine], sequence: Sequence, now: float) -> list[Engine]:
        """Return the serving engines that are no outliers and may get this sequence (rule 4)."""
        is_outlier = self.estimates.is_outlier
        return [
            engine
            for engine in engines
            if engine.state == EngineState.SERVING
            and (not engine.started_at or self.is_in_slow_start_share(engine, sequence, now))
            and not (engine.failures.value and is_outlier(engine))
        ]

    def is_in_slow_start_share(self, engine: Engine, sequence: Sequence, now: float) -> bool:
        """Rule 4: return whether an engine has warmed up, or may get this sequence although it is cold.

        One random number, drawn when a sequence arrives, decides for all engines and all its attempts. So
        the sends of all nodes add up to the share of a cold engine without coordination, whatever the number
        of nodes and the traffic of each; no node saves up unused sends, and a retry is no second chance.
        """
        config = self.config
        age = now - engine.started_at
        if not config.overload_window or not engine.started_at or age > config.cold_time:
            return True
        warmed = SLOW_START_RAMP * max(0.0, age) / max(config.cold_time, MIN_COLD_TIME)
        share = config.cold_share + (1.0 - config.cold_share) * warmed
        peers = self.estimates.writers if config.writes[engine.kind] else self.estimates.readers
        draw = (sequence.slow_start_draw + engine.hash_seed * GOLDEN_RATIO) % 1.0
        return draw * max(1, len(peers)) < SLOW_START_SHARE * share * config.overload_multiple

    def wait_or_reject(self, sequence: Sequence, now: float) -> NotPlaced:
        """Let a sequence wait for capacity, or reject it if it is over quota or has waited long.

        The rejection comes early enough for the client to retry elsewhere.
        """
        if sequence.is_over_quota or self.has_waited_long(sequence, now):
            return NotPlaced.REJECT
        return NotPlaced.WAIT

    def has_waited_long(self, sequence: Sequence, now: float) -> bool:
        """Return whether a sequence has waited for its first attempt as long as it may."""
        objective = sequence.slo_deadline - sequence.arrived_at
        return now - sequence.arrived_at > MAX_WAIT_SHARE * objective

    def starts_late(self, sequence: Sequence, delay: float, now: float) -> bool:
        """Return whether an answer with this estimated start delay will miss the latency objective."""
        limit_share = PROBED_LIMIT_SHARE if self.config.load_by_probe_only else 1.0
        return delay * self.delay_correction.factor(now) > limit_share * (sequence.slo_deadline - now)

    def expect_start(self, sequence: Sequence, delay: float, now: float) -> None:
        """Store the estimated start delay of a sequence, to compare it with the actual one later."""
        sequence.start_estimate = StartEstimate(now, delay)

    def observe_start(self, sequence: Sequence, now: float) -> None:
        """Update the error of start estimates when a sequence starts, or ends without having started."""
        estimate = sequence.start_estimate
        sequence.start_estimate = None
        if estimate is not None and estimate.delay > 0.0:
            actual = min(now - estimate.estimated_at, MAX_DELAY_FACTOR * estimate.delay)
            self.delay_correction.observe(estimate.delay, actual, MAX_DELAY_WEIGHT, now)

    def expect_arrival(self, sequence: Sequence) -> None:
        """Rule 5: set when to check whether this attempt has arrived, and when to release the state.

        An attempt that was sent need not have arrived: its connection may have been cut off without an error,
        or its engine may read nothing. Then it does not stop the time for which a read state may be held.
        Only the engine shows that it has arrived, by an answer or by the check. Without that, the state is
        released, although the attempt may have arrived after all: it then finds no state.
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
                sequence.state_held_since + UNREACHED_STATE_TIMEOUT_SHARE * timeout
            )

    def retains_state_too_long(self, sequence: Sequence, now: float, share: float) -> bool:
        """Rule 5: return whether a read state was not fetched within a share of the state timeout."""
        return now > sequence.state_held_since + share * self.config.state_timeout
