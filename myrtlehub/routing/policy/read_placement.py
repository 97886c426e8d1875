"""Read placement, the second stage: whether a reader reads the prompt instead of the writer, and which one.

A sequence is split, so that a reader reads its prompt, if at least `SPLIT_TOKENS` prompt tokens are not
cached at the writer. The reader is the one in the writer's cell with the most cached tokens, and of equal
ones the one with the fewest reads in flight from this node.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from typing import NamedTuple

from myrtlehub.routing.policy.admission import Admission
from myrtlehub.routing.policy.engine_estimates import MAX_CORRELATED_NODES, EngineEstimates
from myrtlehub.routing.policy.prefix_cache import HitRates, affinity_by_reader, affinity_key
from myrtlehub.routing.policy.retries import prefer_accepting
from myrtlehub.routing.records import (
    Affinity,
    Engine,
    NotPlaced,
    PlannedRead,
    ReadEstimate,
    ReadPlan,
    Sequence,
)
from myrtlehub.routing.statistics import MovingAverages, rendezvous_weight

SPLIT_TOKENS = 600.0  # uncached prompt tokens from which a sequence is split; 0 never splits
INITIAL_TRANSFER_TIME = 1.0 / 24000.0  # seconds per token between cells, before any transfer was observed
TRANSFER_WEIGHT = 0.2  # weight of one transfer in the average of its cell
# Lower bound of the tokens of a transfer sample, because short transfers take mostly fixed overhead.
MIN_TRANSFER_TOKENS = 500.0
WRITER_READ_COST_FACTOR = 3.0  # cost factor of a read by the writer, which delays its streams
TIE_BREAK_JITTER = 0.1  # seconds; random, so that not all nodes select the same reader
# Multiple of an even share of all reads that the readers of a cell get without recent load reports.
CELL_SHARE_FACTOR = 1.3
# Share of the time left until the SLO deadline in which a reader has to finish its queue and the read.
MAX_READ_TIME_SHARE = 0.5
MIN_READ_TIME_LIMIT = 0.1  # seconds; lower bound of that limit
REPORT_HALF_LIFE = 1.0  # seconds in which the weight of a load report decays to half
RESERVED_ATTEMPTS = 2  # a rejected sequence with only these left is not split, which takes two


class _RankedRead(NamedTuple):
    """The best read for a cell so far, and its rank, of which the highest is best."""

    rank: tuple[int, int, int, float]  # cached tokens, negated reads in flight, rendezvous weight, seconds
    read: PlannedRead


class _TimedRead(NamedTuple):
    """The read from which writers in a zone get the read state first, so far, and its sort key."""

    # Seconds with transfer and jitter, and seconds of the read; the lowest is best.
    order: tuple[float, float]
    read: ReadEstimate


class ReadPlacement:
    """Selects the engines that read prompts."""

    def __init__(self, estimates: EngineEstimates, admission: Admission, random: Callable[[], float]) -> None:
        self.config = estimates.config
        self.estimates = estimates
        self.admission = admission
        self.random = random
        self.hit_rates = HitRates()
        # The number of readers per writer of a cell, relative to the fleet, times `CELL_SHARE_FACTOR`.
        self.reader_share_by_cell: dict[int, float] = {}
        self.zone_transfer_times = MovingAverages()  # seconds per token, from a cell to others in its zone
        self.remote_transfer_times = MovingAverages()  # seconds per token, from a cell to other zones

    def update_reader_shares(self) -> None:
        """Recompute the reader shares of all cells from the endpoint list."""
        writers, readers = self.estimates.writers, self.estimates.readers
        ratio = CELL_SHARE_FACTOR * len(writers) / max(1, len(readers))
        writers_of_cell = Counter(writer.cell for writer in writers)
        readers_of_cell = Counter(reader.cell for reader in readers)
        self.reader_share_by_cell = {
            cell: ratio * count / max(1, writers_of_cell[cell]) for cell, count in readers_of_cell.items()
        }

    def place(self, sequence: Sequence, writer: Engine, now: float) -> Engine | NotPlaced:
        """Return the engine for the next attempt: the writer, or a reader if the sequence is split."""
        sequence.is_split = False
        if sequence.state_engine is not None:
            return writer
        plan = sequence.read_plan or self.plan(sequence, now)
        sequence.read_plan = None
        uncached = sequence.arrival.prompt_tokens - writer.cache.find(sequence.arrival, now).tokens
        read = self.choose_read(writer, sequence, plan, uncached, now)
        sequence.reader = read.reader
        delay = read.seconds
        delay += self.estimates.queueing_delay(writer) + self.estimates.decayed(writer.start_lateness, writer)
        if not sequence.attempts and self.admission.will_miss_slo(sequence, delay, now):
            # Sending it would lengthen the queues that are the reason why it is late.
            return self.admission.wait_or_reject(sequence, now)
        self.admission.record_start_estimate(sequence, delay, now)
        if not read.is_possible:
            return NotPlaced.WAIT
        if read.reader is None or self._must_save_attempts(sequence, writer):
            return writer
        sequence.is_split = True
        return read.reader

    def _must_save_attempts(self, sequence: Sequence, writer: Engine) -> bool:
        """Return whether a rejected sequence has too few attempts left to be split."""
        attempts_left = self.config.max_attempts - len(sequence.attempts)
        return sequence.was_rejected and attempts_left <= RESERVED_ATTEMPTS and self._can_read(writer)

    def plan(self, sequence: Sequence, now: float) -> ReadPlan:
        """Find for each cell the best reader with capacity, and for each zone the one that is ready first.

        Of equal readers, the one with the highest index is selected for a cell, and the one with the lowest
        index for a zone.
        """
        limit = max(MIN_READ_TIME_LIMIT, MAX_READ_TIME_SHARE * (sequence.slo_deadline - now))
        by_cell: dict[int, _RankedRead] = {}
        by_zone: dict[int | None, _TimedRead] = {}
        for reader, cached, weight, seconds in self._estimate_reads(sequence, now):
            if seconds < limit:
                rank = (round(cached), -reader.own_reads, weight, seconds)
                best = by_cell.get(reader.cell)
                if best is None or rank >= best.rank:
                    by_cell[reader.cell] = _RankedRead(rank, PlannedRead(seconds, reader, rank[0]))
            for zone, times in ((reader.zone, self.zone_transfer_times), (None, self.remote_transfer_times)):
                transfer = sequence.arrival.prompt_tokens * times.get(reader.cell, INITIAL_TRANSFER_TIME)
                order = (seconds + transfer + TIE_BREAK_JITTER * self.random(), seconds)
                earliest = by_zone.get(zone)
                if earliest is None or order < earliest.order:
                    by_zone[zone] = _TimedRead(order, ReadEstimate(reader, seconds))
        return ReadPlan(
            {cell: best.read for cell, best in by_cell.items()},
            {zone: earliest.read for zone, earliest in by_zone.items()},
        )

    def _estimate_reads(self, sequence: Sequence, now: float) -> Iterator[tuple[Engine, float, int, float]]:
        """Yield each usable reader with its cached tokens, rendezvous weight and seconds until it has read.

        The older the load report of a reader, the more often the reader is skipped, until it gets only the
        share of its cell. Otherwise all nodes would send to the few readers of a cell with many writers
        (`test_a_cell_with_few_readers_reads_its_part`).
        """
        estimates, arrival, prompt = self.estimates, sequence.arrival, sequence.arrival.prompt_tokens
        draw = self.random()
        half_life = REPORT_HALF_LIFE * (1.0 + MAX_CORRELATED_NODES / self.config.node_count)
        readers = self._usable_readers(sequence, now)
        key = affinity_key(sequence)
        weights = [rendezvous_weight(key, reader.hash_seed) for reader in readers]
        affinity = sequence.affinity = self._affinity(sequence, readers, weights)
        expected_cached_tokens = self.hit_rates.expected_cached_tokens(arrival)
        for reader, weight in zip(readers, weights, strict=True):
            estimated = expected_cached_tokens[affinity.get(reader, Affinity.OTHER)]
            cached = max(reader.cache.find(arrival, now).tokens, estimated)
            seconds = (estimates.total_backlog(reader) + prompt - cached) / estimates.read_rate(reader)
            report_weight: float = 0.5 ** ((now - reader.backlog_deviation.at) / half_life)
            if draw > report_weight + (1.0 - report_weight) * self.reader_share_by_cell[reader.cell]:
                seconds += sequence.slo_deadline - now
            yield reader, cached, weight, seconds

    def _affinity(
        self, sequence: Sequence, readers: list[Engine], weights: list[int]
    ) -> dict[Engine, Affinity]:
        """Return the affinity of the usable readers; in a large fleet, of those on which all nodes agree."""
        agreed = sequence.candidates.affinity_readers
        if agreed is not None:
            weight_of = dict(zip(readers, weights, strict=True))
            readers = [reader for reader in readers if reader in agreed]
            weights = [weight_of[reader] for reader in readers]
        return affinity_by_reader(sequence.arrival.session, readers, weights)

    def _usable_readers(self, sequence: Sequence, now: float) -> list[Engine]:
        readers = [reader for reader in sequence.candidates.readers if reader not in sequence.failed_engines]
        return prefer_accepting(self.admission.usable_engines(readers, sequence, now), sequence, now)

    def choose_read(
        self, writer: Engine, sequence: Sequence, plan: ReadPlan, uncached: float, now: float
    ) -> PlannedRead:
        """Select the engine that reads a prompt for a writer.

        Args:
            writer: The writer.
            sequence: The sequence of the prompt.
            plan: The candidate readers of the sequence.
            uncached: Prompt tokens that the writer has not cached.
            now: The current time.
        """
        can_read = self._can_read(writer)
        own_read = WRITER_READ_COST_FACTOR * uncached / self.estimates.read_rate(writer)
        if can_read and (SPLIT_TOKENS <= 0 or uncached < SPLIT_TOKENS):
            return PlannedRead(own_read)
        if writer.cell in plan.by_cell:
            return plan.by_cell[writer.cell]
        # No reader of the cell has capacity. Its readers may be overloaded, and links to other cells slow, so
        # the engine that is ready first reads the prompt, which may be the writer.
        earliest = self._earliest_read_elsewhere(writer, sequence, plan)
        if can_read and (
            earliest is None or own_read + self.estimates.queueing_delay(writer) < earliest.seconds
        ):
            return PlannedRead(own_read)
        if earliest is None:
            return PlannedRead(sequence.abandon_at - now, is_possible=False)
        return PlannedRead(earliest.seconds, earliest.reader)

    def _earliest_read_elsewhere(
        self, writer: Engine, sequence: Sequence, plan: ReadPlan
    ) -> ReadEstimate | None:
        """Return the reader from which a writer gets the read state first, and the seconds until then."""
        earliest: ReadEstimate | None = None
        for zone in (writer.zone, None):
            read = plan.by_zone.get(zone)
            if read is None:
                continue
            ready = read.seconds + self.transfer_time(read.reader, writer, sequence)
            order = (ready, read.reader.index)
            if earliest is None or order < (earliest.seconds, earliest.reader.index):
                earliest = ReadEstimate(read.reader, ready)
        return earliest

    def _can_read(self, writer: Engine) -> bool:
        return self.config.reads[writer.kind] or self.config.writers_can_read

    def transfer_time(self, source: Engine, writer: Engine, sequence: Sequence) -> float:
        """Return the estimated seconds that a writer takes to fetch a read state from its source."""
        if source.cell == writer.cell:
            return 0.0
        times = self._transfer_times(source, writer)
        return sequence.arrival.prompt_tokens * times.get(source.cell, INITIAL_TRANSFER_TIME)

    def record_transfer(self, source: Engine, writer: Engine, prompt_tokens: float, latency: float) -> None:
        """Update the average transfer time between cells from a transfer that took `latency` seconds."""
        times = self._transfer_times(source, writer)
        times.observe(source.cell, latency / max(MIN_TRANSFER_TOKENS, prompt_tokens), TRANSFER_WEIGHT)

    def _transfer_times(self, source: Engine, writer: Engine) -> MovingAverages:
        return self.zone_transfer_times if source.zone == writer.zone else self.remote_transfer_times
