"""Read placement, the second stage: whether an engine other than the writer reads the prompt, and which.

A prompt with at least `SPLIT_TOKENS` uncached tokens is read by a reader instead of its writer. The reader
is the one in the writer's cell with the most cached tokens, and among equals the one with the fewest reads in
flight from this node.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from typing import NamedTuple

from myrtlehub.routing.policy.admission import Admission
from myrtlehub.routing.policy.engine_estimates import MAX_CORRELATED_NODES, EngineEstimates
from myrtlehub.routing.policy.prefix_cache import HitRates, affinity_key, rank_affinity
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

SPLIT_TOKENS = 600.0  # uncached prompt tokens from which another engine reads the prompt; 0 never splits
INITIAL_TRANSFER_TIME = 1.0 / 24000.0  # seconds per token between cells, before any transfers were observed
TRANSFER_WEIGHT = 0.2  # weight of one transfer in the average time of its cell
# Tokens that a smaller transfer counts as, because most of its time is fixed overhead.
MIN_TRANSFER_TOKENS = 500.0
OWN_READ_FACTOR = 3.0  # cost factor of a read by the writer itself, because it delays the writer's streams
TIE_TIME = 0.1  # seconds of random difference between readers, so that not all nodes send to the same one
# Without recent load reports, the readers of a cell get this multiple of an even share of all reads.
CELL_SLACK = 1.3
# Share of the time left to the latency objective in which a reader has to finish its queue and the read.
MAX_QUEUE_SHARE = 0.5
MIN_QUEUE_TIME = 0.1  # seconds; lower bound of that time
REPORT_HALF_LIFE = 1.0  # seconds in which the weight of a reader's load report halves
LAST_ATTEMPTS = 2  # with so few attempts left, a rejected sequence is not split, which takes two


class _RankedRead(NamedTuple):
    """The best read found so far for a cell, with its rank; a greater rank is better."""

    rank: tuple[int, int, int, float]  # cached tokens, reads in flight (negated), prefix rank, seconds
    read: PlannedRead


class _TimedRead(NamedTuple):
    """The read found so far that gives the writers of a zone the read state first, and its sort key."""

    # Seconds with transfer and random difference, seconds of the read; the smallest key is best.
    order: tuple[float, float]
    read: ReadEstimate


class ReadPlacement:
    """Chooses the engines that read prompts."""

    def __init__(self, estimates: EngineEstimates, admission: Admission, random: Callable[[], float]) -> None:
        self.config = estimates.config
        self.estimates = estimates
        self.admission = admission
        self.random = random
        self.hit_rates = HitRates()
        # By cell: its number of readers per writer, divided by that of the fleet, times `CELL_SLACK`.
        self.reader_shares: dict[int, float] = {}
        self.zone_transfer_times = MovingAverages()  # seconds per token, from a cell to others of its zone
        self.remote_transfer_times = MovingAverages()  # seconds per token, from a cell to other zones

    def update_cells(self) -> None:
        """Recompute the reader shares of all cells from the endpoint list."""
        writers, readers = self.estimates.writers, self.estimates.readers
        ratio = CELL_SLACK * len(writers) / max(1, len(readers))
        writers_of_cell = Counter(writer.cell for writer in writers)
        readers_of_cell = Counter(reader.cell for reader in readers)
        self.reader_shares = {
            cell: ratio * count / max(1, writers_of_cell[cell]) for cell, count in readers_of_cell.items()
        }

    def place(self, sequence: Sequence, writer: Engine, now: float) -> Engine | NotPlaced:
        """Return the engine for the next attempt: the selected writer, or a reader if the prompt is split."""
        sequence.is_split = False
        if sequence.state_engine is not None:
            return writer
        plan = sequence.read_plan or self.plan(sequence, now)
        sequence.read_plan = None
        uncached = sequence.arrival.prompt_tokens - writer.cache.find(sequence.arrival, now).tokens
        read = self.choose(writer, sequence, plan, uncached, now)
        sequence.reader = read.reader
        delay = read.seconds
        delay += self.estimates.queueing_delay(writer) + self.estimates.decayed_value(
            writer.start_lateness, writer
        )
        if not sequence.attempts and self.admission.starts_late(sequence, delay, now):
            # Sending it would only lengthen the queues that make it late.
            return self.admission.wait_or_reject(sequence, now)
        self.admission.expect_start(sequence, delay, now)
        if not read.is_possible:
            return NotPlaced.WAIT
        if read.reader is None or self._must_save_attempts(sequence, writer):
            return writer
        sequence.is_split = True
        return read.reader

    def _must_save_attempts(self, sequence: Sequence, writer: Engine) -> bool:
        """Return whether a rejected sequence has too few attempts left for both a read and a write."""
        attempts_left = self.config.max_attempts - len(sequence.attempts)
        return sequence.was_rejected and attempts_left <= LAST_ATTEMPTS and self._can_read(writer)

    def plan(self, sequence: Sequence, now: float) -> ReadPlan:
        """Find the best reader with capacity for each cell, and the one that finishes first for each zone.

        Of equal readers in a cell the one with the highest index is best, and for a zone the one with the
        lowest index.
        """
        limit = max(MIN_QUEUE_TIME, MAX_QUEUE_SHARE * (sequence.slo_deadline - now))
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
                order = (seconds + transfer + TIE_TIME * self.random(), seconds)
                soonest = by_zone.get(zone)
                if soonest is None or order < soonest.order:
                    by_zone[zone] = _TimedRead(order, ReadEstimate(reader, seconds))
        return ReadPlan(
            {cell: best.read for cell, best in by_cell.items()},
            {zone: soonest.read for zone, soonest in by_zone.items()},
        )

    def _estimate_reads(self, sequence: Sequence, now: float) -> Iterator[tuple[Engine, float, int, float]]:
        """Yield each usable reader with its cached tokens, prefix rank and seconds until it has read.

        The older the load report of a reader, the more often the reader is passed over, until it gets only
        its cell's share of the reads. Otherwise all nodes would send to the few readers of a cell with many
        writers (`test_a_cell_with_few_readers_reads_its_part`).
        """
        estimates, arrival, prompt = self.estimates, sequence.arrival, sequence.arrival.prompt_tokens
        draw = self.random()
        half_life = REPORT_HALF_LIFE * (1.0 + MAX_CORRELATED_NODES / self.config.node_count)
        readers = self._usable_readers(sequence, now)
        key = affinity_key(sequence)
        weights = [rendezvous_weight(key, reader.hash_seed) for reader in readers]
        affinity = sequence.affinity = rank_affinity(arrival.session, readers, weights)
        estimated_tokens = self.hit_rates.estimated_tokens(arrival)
        for reader, weight in zip(readers, weights, strict=True):
            estimated = estimated_tokens[affinity.get(reader, Affinity.OTHER)]
            cached = max(reader.cache.find(arrival, now).tokens, estimated)
            seconds = (estimates.total_backlog(reader) + prompt - cached) / estimates.read_rate(reader)
            known: float = 0.5 ** ((now - reader.backlog_deviation.at) / half_life)
            if draw > known + (1.0 - known) * self.reader_shares[reader.cell]:
                seconds += sequence.slo_deadline - now
            yield reader, cached, weight, seconds

    def _usable_readers(self, sequence: Sequence, now: float) -> list[Engine]:
        readers = [reader for reader in self.estimates.readers if reader not in sequence.failed_engines]
        return prefer_accepting(self.admission.usable(readers, sequence, now), sequence, now)

    def choose(
        self, writer: Engine, sequence: Sequence, plan: ReadPlan, uncached: float, now: float
    ) -> PlannedRead:
        """Choose the engine that reads a prompt for a writer.

        Args:
            writer: The writer.
            sequence: The sequence of the prompt.
            plan: The readers that the sequence may use.
            uncached: Tokens of the prompt that the writer has not cached.
            now: The present time.
        """
        can_read = self._can_read(writer)
        own_read = OWN_READ_FACTOR * uncached / self.estimates.read_rate(writer)
        if can_read and (SPLIT_TOKENS <= 0 or uncached < SPLIT_TOKENS):
            return PlannedRead(own_read)
        if writer.cell in plan.by_cell:
            return plan.by_cell[writer.cell]
        # No reader of the cell has capacity: its readers may be overloaded, and links to other cells slow.
        # The engine that would be ready first reads the prompt; this may be the writer.
        soonest = self._soonest_elsewhere(writer, sequence, plan)
        if can_read and (
            soonest is None or own_read + self.estimates.queueing_delay(writer) < soonest.seconds
        ):
            return PlannedRead(own_read)
        if soonest is None:
            return PlannedRead(sequence.abandon_at - now, is_possible=False)
        return PlannedRead(soonest.seconds, soonest.reader)

    def _soonest_elsewhere(self, writer: Engine, sequence: Sequence, plan: ReadPlan) -> ReadEstimate | None:
        """Return the reader whose read state a writer would have first, with the seconds until then."""
        soonest: ReadEstimate | None = None
        for zone in (writer.zone, None):
            read = plan.by_zone.get(zone)
            if read is None:
                continue
            ready = read.seconds + self.transfer_time(read.reader, writer, sequence)
            order = (ready, read.reader.index)
            if soonest is None or order < (soonest.seconds, soonest.reader.index):
                soonest = ReadEstimate(read.reader, ready)
        return soonest

    def _can_read(self, writer: Engine) -> bool:
        return self.config.reads[writer.kind] or self.config.writers_can_read

    def transfer_time(self, source: Engine, writer: Engine, sequence: Sequence) -> float:
        """Return the estimated seconds in which a writer fetches a read state from its source."""
        if source.cell == writer.cell:
            return 0.0
        times = self._transfer_times(source, writer)
        return sequence.arrival.prompt_tokens * times.get(source.cell, INITIAL_TRANSFER_TIME)

    def observe_transfer(self, source: Engine, writer: Engine, prompt_tokens: float, latency: float) -> None:
        """Update the average transfer time after a transfer between cells that took `latency` seconds."""
        times = self._transfer_times(source, writer)
        times.observe(source.cell, latency / max(MIN_TRANSFER_TOKENS, prompt_tokens), TRANSFER_WEIGHT)

    def _transfer_times(self, source: Engine, writer: Engine) -> MovingAverages:
        return self.zone_transfer_times if source.zone == writer.zone else self.remote_transfer_times
