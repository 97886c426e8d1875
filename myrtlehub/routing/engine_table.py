"""The table of engines, with what this node counts and observes of them.

The table computes averages, but decides nothing and has no tuned value: the weights and half-lives of the
averages come from the policy as `LearningSettings`. An observation of an engine is stored as its difference
from what is usual for the engine's kind, and decays towards zero.
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

SAME_START_TOLERANCE = 0.001  # seconds by which reports of one start differ: they are rounded on the wire
MIN_RATE = 0.01  # events per second; lower bound of divisors
MIN_DURATION = 0.01  # seconds; lower bound of divisors
FAILURES = (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.UNREACHED)


class LearningSettings(NamedTuple):
    """How quickly a node learns.

    A weight (0 to 1) is the share of a new value in an exponential moving average.
    """

    half_life: float  # seconds in which an observation of an engine halves; the lower bound for all kinds
    max_half_life: float  # seconds; upper bound of the half-life, for kinds that are seldom observed
    rate_half_life: float  # seconds in which counts of arrivals and starts decay to half
    sequence_weight: float  # weight of one sequence in averages over all sequences
    kind_weight: float  # weight of one observation in averages over the engines of a kind
    engine_weight: float  # weight of one observation in the averages of one engine
    failure_weight: float  # weight of one failed attempt in the average share of failures of its engine
    unreached_weight: float  # the same for an attempt that could not connect
    slowdown_weight: float  # weight of one answer in an engine's average slowdown
    initial_uncached_tokens: float  # assumed for a queued sequence before any were sent
    initial_read_rate: float  # prompt tokens per second, before any reads were observed
    read_rate_samples: int  # number of recent reads of which the median is taken, by kind
    min_read_rate: float  # tokens per second; lower bound of one sample
    max_read_rate: float  # tokens per second; upper bound of one sample
    min_speed: float  # bounds of one sample of `Engine.speed`
    max_speed: float
    min_sample_tokens: float  # reads of fewer uncached tokens are not sampled
    full_sample_tokens: float  # uncached tokens from which a sample has its full weight
    cache: CacheBounds


class EngineTable:
    """The engines of the endpoint list, and the observations of them up to the time `now`."""

    def __init__(self, config: RouterConfig, settings: LearningSettings) -> None:
        self.config = config
        self.settings = settings
        self.now = 0.0
        self.engines: list[Engine] = []  # by index
        self.writers: list[Engine] = []  # serving engines that write, by index
        self.readers: list[Engine] = []  # serving engines that read and do not write, by index
        self.serving_by_kind: Counter[int] = Counter()
        self.assigned_tokens = 0.0  # sum over all writers
        self.half_life = settings.half_life
        self.half_lives: dict[int, float] = {}  # of observations, by kind
        self.starts = DecayingCounters(settings.rate_half_life)  # of answers and reads, by kind of engine
        self.arrivals = DecayingCounters(settings.rate_half_life)  # by tenant
        self.usual_memory = MovingAverages()  # share in use, by kind
        self.usual_backlog = MovingAverages()  # unread prompt tokens from other nodes, by kind
        self.usual_slowdown = MovingAverages()  # of answers, by kind
        self.usual_duration = MovingAverages()  # seconds of answers, by traffic type
        self.usual_uncached = MovingAverage()  # uncached prompt tokens of the attempts of this node
        self.read_rates = RunningMedians(settings.read_rate_samples, settings.initial_read_rate)  # by kind
        self.clear_memo()

    def clear_memo(self) -> None:
        """Clear the values memoized during one call, because their inputs have changed."""
        self.waits: dict[int, float] = {}  # seconds, by index of the engine
        self.free_shares: dict[int, float] = {}  # by index of the writer

    def update(self, updates: Iterable[EndpointUpdate], is_complete: bool) -> None:
        """Apply the complete endpoint list, or a change to it."""
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
        self.serving_by_kind = Counter(engine.kind for engine in serving)

    def _update_engine(self, engine: Engine, update: EndpointUpdate) -> None:
        if update.is_new or update.started_at > engine.started_at + SAME_START_TOLERANCE:
            engine.reset(update.is_new)
            usual = self.usual_memory.get(update.kind, 0.0)
            engine.memory = Observation(-usual, self.now)  # a process that has just started uses no memory
            engine.record_restart(update.started_at)
        engine.state = update.state
        engine.kind = update.kind
        engine.zone = update.zone
        engine.cell = update.cell
        engine.hash_seed = update.hash_seed

    def observed(self, observation: Observation, engine: Engine) -> float:
        """Return the value of an observation of an engine, decayed by its age."""
        value, observed_at = observation
        if not value:
            return 0.0
        decay: float = 0.5 ** ((self.now - observed_at) / self.half_lives.get(engine.kind, self.half_life))
        return value * decay

    def updated(self, observation: Observation, engine: Engine, value: float, weight: float) -> Observation:
        """Return an observation after decay, moved towards a value by the fraction `weight`."""
        decayed = self.observed(observation, engine)
        return Observation(decayed + weight * (value - decayed), self.now)

    def assign(self, sequence: Sequence, writer: Engine | None) -> None:
        """Count the memory of a sequence at the writer where it will start, and stop counting it elsewhere.

        Args:
            sequence: The sequence, which has yet to start.
            writer: The writer; None if the sequence has started or ended.
        """
        self.clear_memo()
        if sequence.assigned_to is not None:
            sequence.assigned_to.assigned_tokens -= sequence.memory_need
            self.assigned_tokens -= sequence.memory_need
        if writer is not None:
            writer.assigned_tokens += sequence.memory_need
            self.assigned_tokens += sequence.memory_need
        sequence.assigned_to = writer

    def load_reported(self, engine: Engine, load: LoadReport) -> None:
        """Update the memory and the backlog of an engine from its load report."""
        weight = self.settings.kind_weight
        share = load.memory_share
        if share is not None:
            usual = self.usual_memory.observe(engine.kind, share, weight)
            engine.memory = self.updated(engine.memory, engine, share - usual, 1.0)
        backlog = load.unread
        if backlog is None and load.waiting is not None:
            backlog = load.waiting * self.usual_uncached.get(self.settings.initial_uncached_tokens)
        if backlog is not None:
            backlog = max(0.0, backlog - engine.own_backlog)
            usual = self.usual_backlog.observe(engine.kind, backlog, weight)
            engine.backlog = self.updated(engine.backlog, engine, backlog - usual, 1.0)

    def read_rate(self, engine: Engine) -> float:
        """Return the estimated prompt tokens per second of an engine."""
        return self.read_rates.get(engine.kind) * (1.0 + self.observed(engine.speed, engine))

    def attempt_sent(self, attempt: Attempt) -> None:
        """Count the prompt tokens that an engine has to read for an attempt."""
        attempt.engine.own_backlog += attempt.uncached_tokens
        attempt.engine.own_reads += attempt.is_read
        if not attempt.fetches_state:
            self.usual_uncached.observe(attempt.uncached_tokens, self.settings.sequence_weight)

    def attempt_began(self, attempt: Attempt, latency: float, was_transferred: bool) -> None:
        """Update the estimates of an engine whose answer has started.

        Args:
            attempt: The attempt that writes the answer.
            latency: Seconds from the sending of the attempt to the start of its answer.
            was_transferred: Its read state came from another cell, which may have made it late.
        """
        engine = attempt.engine
        self._observe_success(engine)
        self._observe_read(attempt, latency, attempt.uncached_tokens)
        if not was_transferred:
            lateness = max(0.0, latency - attempt.uncached_tokens / self.read_rate(engine))
            engine.lateness = self.updated(engine.lateness, engine, lateness, self.settings.engine_weight)
        engine.own_backlog = max(0.0, engine.own_backlog - attempt.uncached_tokens)
        attempt.uncached_tokens = 0.0

    def attempt_ended(self, sequence: Sequence, attempt: Attempt) -> None:
        """Update the estimates from the outcome of an attempt, and stop counting its tokens at its engine."""
        engine = attempt.engine
        self._update_half_life(engine.kind)
        if attempt.has_succeeded and attempt.is_read:
            self._observe_success(engine)
            self._observe_read(
                attempt, attempt.latency, sequence.arrival.prompt_tokens - attempt.cached_tokens
            )
        if attempt.has_succeeded and sequence.has_begun:
            self._observe_answer(engine, sequence.arrival.traffic, attempt.latency)
        if attempt.outcome in FAILURES:
            is_unreached = attempt.outcome == Outcome.UNREACHED
            weight = self.settings.unreached_weight if is_unreached else self.settings.failure_weight
            engine.failures = self.updated(engine.failures, engine, 1.0, weight)
        engine.own_backlog = max(0.0, engine.own_backlog - attempt.uncached_tokens)
        engine.own_reads -= attempt.is_read

    def _update_half_life(self, kind: int) -> None:
        """Set the half-life of a kind to the mean time between two starts at one engine, within bounds."""
        gap = self.serving_by_kind[kind] / max(self.starts.rate(kind, self.now), MIN_RATE)
        self.half_lives[kind] = min(max(self.settings.half_life, gap), self.settings.max_half_life)

    def _observe_success(self, engine: Engine) -> None:
        engine.failures = self.updated(engine.failures, engine, 0.0, self.settings.engine_weight)
        self.starts.add(engine.kind, self.now)

    def _observe_answer(self, engine: Engine, traffic: int, latency: float) -> None:
        """Update by how much the answers of an engine, and of its kind, take longer than usual."""
        usual = self.usual_duration.observe(traffic, latency, self.settings.sequence_weight)
        excess = latency / max(usual, MIN_DURATION) - 1.0
        excess -= self.usual_slowdown.observe(engine.kind, excess, self.settings.kind_weight)
        engine.slowdown = self.updated(engine.slowdown, engine, excess, self.settings.slowdown_weight)

    def _observe_read(self, attempt: Attempt, latency: float, uncached_tokens: float) -> None:
        """Update the read rates of an engine and of its kind from a read, unless it is too short.

        The rate of a kind is a median. With a mean, one late answer would make all engines of the kind look
        too slow to send to at a node with little traffic, which would then observe nothing more
        (`test_one_late_answer_does_not_make_all_engines_look_too_slow`).
        """
        settings = self.settings
        if uncached_tokens < settings.min_sample_tokens or latency <= 0.0:
            return
        engine = attempt.engine
        rate = (attempt.backlog + uncached_tokens) / latency
        rate = min(settings.max_read_rate, max(settings.min_read_rate, rate))
        excess = rate / self.read_rates.add(engine.kind, rate) - 1.0
        excess = max(settings.min_speed, min(settings.max_speed, excess))
        weight = settings.engine_weight * min(1.0, uncached_tokens / settings.full_sample_tokens)
        engine.speed = self.updated(engine.speed, engine, excess, weight)
