"""The table of engines, with the load, speed and failures that this node observes.

The table computes averages. It makes no routing decisions and has no tuned values: the policy passes the
weights and half-lives as `LearningSettings`. An observation of an engine is stored as its deviation from the
mean of the engine's kind, and decays to zero.
"""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from myrtlehub.routing.contract import EndpointUpdate, EngineState, LoadReport, Outcome, RouterConfig
from myrtlehub.routing.prompt_cache import CacheBounds, PromptCache
from myrtlehub.routing.records import Attempt, Engine, Sequence
from myrtlehub.routing.statistics import (
    DecayingCounters,
    MovingAverage,
    MovingAverages,
    Observation,
    RunningMedians,
)

START_TIME_TOLERANCE = 0.001  # seconds; start times are rounded on the wire
MIN_EVENT_RATE = 0.01  # events per second; prevents a division by zero
MIN_DURATION = 0.01  # seconds; prevents a division by zero
FAILED_OUTCOMES = (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.UNREACHED)


class LearningSettings(NamedTuple):
    """The weights, half-lives and bounds of the averages.

    A weight from 0 to 1 is the share of a new value in an exponential moving average.
    """

    half_life: float  # seconds in which an observation of an engine decays to half; lower bound for all kinds
    max_half_life: float  # seconds; upper bound, for kinds with rare observations
    rate_half_life: float  # seconds in which counters of arrivals and starts decay to half
    sequence_weight: float  # weight of one sequence in averages over all sequences
    kind_weight: float  # weight of one observation in averages over the engines of a kind
    engine_weight: float  # weight of one observation in the averages of one engine
    failure_weight: float  # weight of one failed attempt in the failure rate of its engine
    unreached_weight: float  # weight of an attempt without a connection in that rate
    slowdown_weight: float  # weight of one answer in the slowdown of an engine
    initial_uncached_tokens: float  # per queued sequence, before any was sent
    initial_read_rate: float  # prompt tokens per second, before any read was observed
    read_rate_samples: int  # number of recent reads in the running median of a kind
    min_read_rate: float  # tokens per second; lower bound of one sample
    max_read_rate: float  # tokens per second; upper bound of one sample
    min_speed: float  # lower bound of one sample of `Engine.speed_deviation`
    max_speed: float  # upper bound of that sample
    min_sample_tokens: float  # uncached tokens; shorter reads are ignored
    full_sample_tokens: float  # uncached tokens from which a read has its full weight
    cache: CacheBounds


class EngineTable:
    """The engines of the endpoint list, with the observations of them up to the time `now`."""

    def __init__(self, config: RouterConfig, settings: LearningSettings) -> None:
        self.config = config
        self.settings = settings
        self.now = 0.0
        self.engines: list[Engine] = []  # by index
        self.writers: list[Engine] = []  # serving engines that write, by index
        self.readers: list[Engine] = []  # serving engines that only read, by index
        self.serving_count_by_kind: Counter[int] = Counter()
        self.assigned_tokens = 0.0  # sum over all writers
        self.half_life = settings.half_life
        self.half_life_by_kind: dict[int, float] = {}  # seconds, of observations
        self.start_counters = DecayingCounters(settings.rate_half_life)  # of answers and reads, by kind
        self.arrival_counters = DecayingCounters(settings.rate_half_life)  # by tenant
        self.mean_memory_share = MovingAverages()  # in use, by kind
        self.mean_backlog = MovingAverages()  # unread prompt tokens from other nodes, by kind
        self.mean_slowdown = MovingAverages()  # excess duration of answers, as a share, by kind
        self.mean_answer_duration = MovingAverages()  # seconds, by traffic type
        self.mean_uncached_tokens = MovingAverage()  # per attempt of this node
        self.read_rates = RunningMedians(settings.read_rate_samples, settings.initial_read_rate)  # by kind
        self.clear_memo()

    def clear_memo(self) -> None:
        """Discard the memoized values, which are valid only while their inputs are unchanged."""
        self.queueing_delays: dict[int, float] = {}  # seconds, by index of the engine
        self.free_memory_shares: dict[int, float] = {}  # by index of the writer
        self.equivalent_other_nodes: float | None = None  # nodes with this one's traffic
        self.median_failure_rate: float | None = None  # of the serving engines

    def update(self, updates: Iterable[EndpointUpdate], is_complete: bool) -> None:
        """Apply the complete endpoint list, or a change to it."""
        self.median_failure_rate = None
        for update in updates:
            while len(self.engines) <= update.engine:
                self.engines.append(Engine(len(self.engines), PromptCache(self.settings.cache)))
            self._update_engine(self.engines[update.engine], update)
        if is_complete:
            for index in set(range(len(self.engines))) - {update.engine for update in updates}:
                self.engines[index].state = EngineState.DRAINING
        serving = [engine for engine in self.engines if engine.state == EngineState.SERVING]
        reading = [engine for engine in serving if self.config.reads[engine.kind]]
        self.writers = [engine for engine in serving if self.config.writes[engine.kind]]
        self.readers = [engine for engine in reading if not self.config.writes[engine.kind]]
        self.serving_count_by_kind = Counter(engine.kind for engine in serving)

    def _update_engine(self, engine: Engine, update: EndpointUpdate) -> None:
        if update.is_new or update.started_at > engine.started_at + START_TIME_TOLERANCE:
            engine.reset(update.is_new)
            mean = self.mean_memory_share.get(update.kind, 0.0)
            engine.memory_deviation = Observation(-mean, self.now)  # a new process uses no memory
            engine.record_restart(update.started_at)
        engine.state = update.state
        engine.kind = update.kind
        engine.zone = update.zone
        engine.cell = update.cell
        engine.hash_seed = update.hash_seed

    def decayed(self, observation: Observation, engine: Engine) -> float:
        """Return the value of an observation of an engine after its decay."""
        value, observed_at = observation
        if not value:
            return 0.0
        decay: float = 0.5 ** (
            (self.now - observed_at) / self.half_life_by_kind.get(engine.kind, self.half_life)
        )
        return value * decay

    def updated_observation(
        self, observation: Observation, engine: Engine, value: float, weight: float
    ) -> Observation:
        """Return an observation after its decay and the update with a new value."""
        old_value = self.decayed(observation, engine)
        return Observation(old_value + weight * (value - old_value), self.now)

    def assign_writer(self, sequence: Sequence, writer: Engine | None) -> None:
        """Assign the memory of a sequence to its writer, and remove it from its former writer.

        Args:
            sequence: The sequence.
            writer: The writer; None once the sequence has started or ended.
        """
        self.clear_memo()
        if sequence.assigned_writer is not None:
            sequence.assigned_writer.assigned_tokens -= sequence.memory_tokens
            self.assigned_tokens -= sequence.memory_tokens
        if writer is not None:
            writer.assigned_tokens += sequence.memory_tokens
            self.assigned_tokens += sequence.memory_tokens
        sequence.assigned_writer = writer

    def record_load_report(self, engine: Engine, load: LoadReport) -> None:
        """Update the memory and backlog estimates of an engine from its load report."""
        weight = self.settings.kind_weight
        share = load.memory_share
        if share is not None:
            mean = self.mean_memory_share.observe(engine.kind, share, weight)
            engine.memory_deviation = self.updated_observation(
                engine.memory_deviation, engine, share - mean, 1.0
            )
        backlog = load.unread
        if backlog is None and load.waiting is not None:
            backlog = load.waiting * self.mean_uncached_tokens.get(self.settings.initial_uncached_tokens)
        if backlog is not None:
            backlog = max(0.0, backlog - engine.own_backlog)
            mean = self.mean_backlog.observe(engine.kind, backlog, weight)
            engine.backlog_deviation = self.updated_observation(
                engine.backlog_deviation, engine, backlog - mean, 1.0
            )

    def read_rate(self, engine: Engine) -> float:
        """Return the estimated read rate of an engine in prompt tokens per second."""
        return self.read_rates.get(engine.kind) * (1.0 + self.decayed(engine.speed_deviation, engine))

    def attempt_sent(self, attempt: Attempt) -> None:
        """Add an attempt that was sent to the backlog and the reads of its engine."""
        attempt.engine.own_backlog += attempt.uncached_tokens
        attempt.engine.own_reads += attempt.is_read
        if not attempt.fetches_state:
            self.mean_uncached_tokens.observe(attempt.uncached_tokens, self.settings.sequence_weight)

    def attempt_began(self, attempt: Attempt, latency: float, was_transferred: bool) -> None:
        """Update the estimates of an engine whose answer has started.

        Args:
            attempt: The attempt that writes the answer.
            latency: Seconds from sending the attempt until its answer started.
            was_transferred: Its read state came from another cell, so that a late start says nothing of the
                engine.
        """
        engine = attempt.engine
        self._observe_success(engine)
        self._observe_read(attempt, latency, attempt.uncached_tokens)
        if not was_transferred:
            lateness = max(0.0, latency - attempt.uncached_tokens / self.read_rate(engine))
            engine.start_lateness = self.updated_observation(
                engine.start_lateness, engine, lateness, self.settings.engine_weight
            )
        engine.own_backlog = max(0.0, engine.own_backlog - attempt.uncached_tokens)
        attempt.uncached_tokens = 0.0

    def attempt_ended(self, sequence: Sequence, attempt: Attempt) -> None:
        """Update the estimates from the outcome of an attempt, and remove it from its engine's backlog."""
        engine = attempt.engine
        self.median_failure_rate = None
        self._update_half_life(engine.kind)
        if attempt.has_succeeded and attempt.is_read:
            self._observe_success(engine)
            self._observe_read(
                attempt, attempt.latency, sequence.arrival.prompt_tokens - attempt.cached_tokens
            )
        if attempt.has_succeeded and sequence.has_begun:
            self._observe_answer(engine, sequence.arrival.traffic, attempt.latency)
        if attempt.outcome in FAILED_OUTCOMES:
            is_unreached = attempt.outcome == Outcome.UNREACHED
            weight = self.settings.unreached_weight if is_unreached else self.settings.failure_weight
            engine.failure_rate = self.updated_observation(engine.failure_rate, engine, 1.0, weight)
        engine.own_backlog = max(0.0, engine.own_backlog - attempt.uncached_tokens)
        engine.own_reads -= attempt.is_read

    def _update_half_life(self, kind: int) -> None:
        """Set the half-life of a kind to the mean interval between two starts at an engine, within bounds."""
        mean_interval = self.serving_count_by_kind[kind] / max(
            self.start_counters.rate(kind, self.now), MIN_EVENT_RATE
        )
        self.half_life_by_kind[kind] = min(
            max(self.settings.half_life, mean_interval), self.settings.max_half_life
        )

    def _observe_success(self, engine: Engine) -> None:
        self.median_failure_rate = None
        engine.failure_rate = self.updated_observation(
            engine.failure_rate, engine, 0.0, self.settings.engine_weight
        )
        self.start_counters.add(engine.kind, self.now)

    def _observe_answer(self, engine: Engine, traffic: int, latency: float) -> None:
        """Update the slowdown of an engine and of its kind from the duration of an answer."""
        mean = self.mean_answer_duration.observe(traffic, latency, self.settings.sequence_weight)
        excess = latency / max(mean, MIN_DURATION) - 1.0
        excess -= self.mean_slowdown.observe(engine.kind, excess, self.settings.kind_weight)
        engine.slowdown_deviation = self.updated_observation(
            engine.slowdown_deviation, engine, excess, self.settings.slowdown_weight
        )

    def _observe_read(self, attempt: Attempt, latency: float, uncached_tokens: float) -> None:
        """Update the read rates of an engine and of its kind from a read, unless the read is too short.

        The rate of a kind is a median, which one outlier does not change. With a mean, a single late answer
        at a node with little traffic makes all engines of the kind appear too slow; the node then sends
        nothing, and no observation corrects the estimate
        (`test_one_late_answer_does_not_make_all_engines_look_too_slow`).
        """
        settings = self.settings
        if uncached_tokens < settings.min_sample_tokens or latency <= 0.0:
            return
        engine = attempt.engine
        rate = (attempt.backlog_at_send + uncached_tokens) / latency
        rate = min(settings.max_read_rate, max(settings.min_read_rate, rate))
        excess = rate / self.read_rates.add(engine.kind, rate) - 1.0
        excess = max(settings.min_speed, min(settings.max_speed, excess))
        weight = settings.engine_weight * min(1.0, uncached_tokens / settings.full_sample_tokens)
        engine.speed_deviation = self.updated_observation(engine.speed_deviation, engine, excess, weight)
