"""The engines by index, with what a node counts and observes of them.

Nothing here is tuned: how fast observations fade, and what each weighs, is passed in by the policy. All that
is observed of an engine is held against what is usual for its kind, and fades to that with time.
"""

from collections import Counter
from typing import NamedTuple

from myrtlehub.routing.contract import EndpointUpdate, EngineState, LoadReport, Outcome, RouterConfig
from myrtlehub.routing.prompt_cache import CacheBounds, PromptCache
from myrtlehub.routing.records import Attempt, Engine, Sequence
from myrtlehub.routing.statistics import (
    DecayingCounters,
    MovingAverage,
    MovingAverages,
    Observation,
    RecentMedians,
)

SAME_START = 0.001  # seconds within which two times of a start are one, as they are rounded on their way
MIN_RATE = 0.01  # a second, and
MIN_DURATION = 0.01  # seconds: less is not divided by
FAILURES = (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.UNREACHED)


class LearningSettings(NamedTuple):
    """How a node learns; weights are of one observation in the average that it moves."""

    half_life: float  # seconds in which what was observed of an engine halves
    max_half_life: float  # the same at most, for kinds of engines that are rarely heard of
    rate_half_life: float  # seconds in which counts of arrivals and starts halve
    sequence_weight: float  # of one sequence in what is usual for all
    kind_weight: float  # of one engine in what is usual for its kind
    engine_weight: float  # in what was observed of an engine
    failure_weight: float  # the same of a failure in the share of failures
    unreached_weight: float  # and of a connection that was not established
    slowdown_weight: float  # the same of an answer's duration
    likely_uncached_tokens: float  # of a sequence that waits at an engine, until some were sent
    likely_read_rate: float  # prompt tokens a second, until answers have shown a rate
    read_rate_samples: int  # reads by which the rate of a kind is judged
    min_read_rate: float  # tokens a second that a single read can show
    max_read_rate: float
    min_speed: float  # by how much faster than usual a single read can show an engine to be
    max_speed: float
    min_sample_tokens: float  # uncached tokens of a read from which it shows a rate
    full_sample_tokens: float  # and from which it counts in full for its engine
    cache: CacheBounds


class EngineTable:
    """The engines of the endpoint list, and what was observed of them up to the present time, `now`."""

    def __init__(self, config: RouterConfig, settings: LearningSettings) -> None:
        self.config = config
        self.settings = settings
        self.now = 0.0
        self.engines: list[Engine] = []  # by index
        self.writers: list[Engine] = []  # that serve
        self.readers: list[Engine] = []  # that serve, and do not write
        self.serving_by_kind: Counter[int] = Counter()
        self.promised = 0.0  # tokens, to all writers
        self.half_life = settings.half_life
        self.half_lives: dict[int, float] = {}  # of observations, by kind
        self.starts = DecayingCounters(settings.rate_half_life)  # answers and reads, by kind of engine
        self.arrivals = DecayingCounters(settings.rate_half_life)  # by tenant
        self.usual_memory = MovingAverages()  # share in use, by kind
        self.usual_backlog = MovingAverages()  # prompt tokens of other nodes, by kind
        self.usual_slowdown = MovingAverages()  # of answers, by kind
        self.usual_duration = MovingAverages()  # seconds of answers, by traffic type
        self.usual_uncached = MovingAverage()  # prompt tokens to read of what this node sends
        self.read_rates = RecentMedians(settings.read_rate_samples, settings.likely_read_rate)  # by kind
        self.forget_derived()

    def forget_derived(self) -> None:
        """Drop what was derived in this call, as what it was derived from has changed."""
        self.waits: dict[int, float] = {}  # by index of the engine
        self.free_shares: dict[int, float] = {}

    def update(self, updates: list[EndpointUpdate], is_complete: bool) -> None:
        """Take the complete endpoint list, or a change to it."""
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
        if update.is_new or update.started_at > engine.started_at + SAME_START:
            engine.reset(update.is_new)
            usual = self.usual_memory.get(update.kind, 0.0)
            engine.memory = Observation(-usual, self.now)  # it holds nothing
            engine.restarted(update.started_at)
        engine.state = update.state
        engine.kind = update.kind
        engine.zone = update.zone
        engine.cell = update.cell
        engine.hash_seed = update.hash_seed

    def observed(self, observation: Observation, engine: Engine) -> float:
        """Return what was observed of an engine, faded."""
        value, at = observation
        if not value:
            return 0.0
        return value * 0.5 ** ((self.now - at) / self.half_lives.get(engine.kind, self.half_life))

    def moved(self, observation: Observation, engine: Engine, value: float, weight: float) -> Observation:
        """Return what was observed of an engine, faded and moved towards a value by this weight."""
        known = self.observed(observation, engine)
        return Observation(known + weight * (value - known), self.now)

    def promise(self, sequence: Sequence, writer: Engine | None) -> None:
        """Count what a sequence will take at the writer that it is meant for, until it begins there."""
        self.forget_derived()
        if sequence.promised_to is not None:
            sequence.promised_to.promised -= sequence.memory_need
            self.promised -= sequence.memory_need
        if writer is not None:
            writer.promised += sequence.memory_need
            self.promised += sequence.memory_need
        sequence.promised_to = writer

    def load_reported(self, engine: Engine, load: LoadReport) -> None:
        """Take a load report."""
        weight = self.settings.kind_weight
        share = load.memory_share
        if share is not None:
            usual = self.usual_memory.observe(engine.kind, share, weight)
            engine.memory = self.moved(engine.memory, engine, share - usual, 1.0)
        backlog = load.unread
        if backlog is None and load.waiting is not None:
            backlog = load.waiting * self.usual_uncached.get(self.settings.likely_uncached_tokens)
        if backlog is not None:
            backlog = max(0.0, backlog - engine.own_backlog)
            usual = self.usual_backlog.observe(engine.kind, backlog, weight)
            engine.backlog = self.moved(engine.backlog, engine, backlog - usual, 1.0)

    def read_rate(self, engine: Engine) -> float:
        """Return its prompt tokens a second: what is usual for its kind, and how it has lately differed."""
        return self.read_rates.get(engine.kind) * (1.0 + self.observed(engine.speed, engine))

    def attempt_sent(self, attempt: Attempt) -> None:
        """Count what an attempt has an engine read."""
        attempt.engine.own_backlog += attempt.uncached_tokens
        attempt.engine.own_reads += attempt.is_read
        if not attempt.fetches_state:
            self.usual_uncached.observe(attempt.uncached_tokens, self.settings.sequence_weight)

    def attempt_began(self, attempt: Attempt, latency: float, has_moved: bool) -> None:
        """Learn from an answer that has begun; if its state came from another cell, not how late it was."""
        engine = attempt.engine
        self._observe_success(engine)
        self._read_took(attempt, latency, attempt.uncached_tokens)
        if not has_moved:
            late = max(0.0, latency - attempt.uncached_tokens / self.read_rate(engine))
            engine.lateness = self.moved(engine.lateness, engine, late, self.settings.engine_weight)
        engine.own_backlog = max(0.0, engine.own_backlog - attempt.uncached_tokens)
        attempt.uncached_tokens = 0.0

    def attempt_ended(self, sequence: Sequence, attempt: Attempt) -> None:
        """Learn from how an attempt ended, and count it no more."""
        engine = attempt.engine
        gap = self.serving_by_kind[engine.kind] / max(self.starts.rate(engine.kind, self.now), MIN_RATE)
        self.half_lives[engine.kind] = min(max(self.settings.half_life, gap), self.settings.max_half_life)
        if attempt.has_succeeded and attempt.is_read:
            self._observe_success(engine)
            self._read_took(attempt, attempt.latency, sequence.arrival.prompt_tokens - attempt.cached_tokens)
        if attempt.has_succeeded and sequence.has_begun:
            self._answer_took(engine, sequence.arrival.traffic, attempt.latency)
        if attempt.outcome in FAILURES:
            is_unreached = attempt.outcome == Outcome.UNREACHED
            weight = self.settings.unreached_weight if is_unreached else self.settings.failure_weight
            engine.failures = self.moved(engine.failures, engine, 1.0, weight)
        engine.own_backlog = max(0.0, engine.own_backlog - attempt.uncached_tokens)
        engine.own_reads -= attempt.is_read

    def _observe_success(self, engine: Engine) -> None:
        engine.failures = self.moved(engine.failures, engine, 0.0, self.settings.engine_weight)
        self.starts.add(engine.kind, self.now)

    def _answer_took(self, engine: Engine, traffic: int, latency: float) -> None:
        """Learn which engines, and kinds of them, begin in time and write slowly."""
        usual = self.usual_duration.observe(traffic, latency, self.settings.sequence_weight)
        longer = latency / max(usual, MIN_DURATION) - 1.0
        longer -= self.usual_slowdown.observe(engine.kind, longer, self.settings.kind_weight)
        engine.slowdown = self.moved(engine.slowdown, engine, longer, self.settings.slowdown_weight)

    def _read_took(self, attempt: Attempt, latency: float, uncached_tokens: float) -> None:
        """Learn how fast a kind reads: the median of its last reads, by those that are not very short.

        With a mean, one slow start, or a queue that nobody told of, would make all engines look too slow to
        send to where a node sees little, and nothing would be learnt any more.
        """
        settings = self.settings
        if uncached_tokens < settings.min_sample_tokens or latency <= 0.0:
            return
        engine = attempt.engine
        rate = (attempt.backlog + uncached_tokens) / latency
        rate = min(settings.max_read_rate, max(settings.min_read_rate, rate))
        faster = rate / self.read_rates.add(engine.kind, rate) - 1.0
        faster = max(settings.min_speed, min(settings.max_speed, faster))
        weight = settings.engine_weight * min(1.0, uncached_tokens / settings.full_sample_tokens)
        engine.speed = self.moved(engine.speed, engine, faster, weight)
