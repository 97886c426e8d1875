"""Read placement: whether a prompt is read apart from its writer, and by which reader.

A prompt is split off when its uncached tokens reach a threshold. It goes to the reader in the writer's cell
that caches most of it, then to the least loaded.
"""

from collections import Counter
from collections.abc import Callable, Iterator

from myrtlehub.routing.policy.admission import Admission
from myrtlehub.routing.policy.engine_estimates import MAX_ALIKE_NODES, EngineEstimates
from myrtlehub.routing.policy.prefix_cache import HitRates, affinity_key, rank_affinity
from myrtlehub.routing.policy.retries import prefer_accepting
from myrtlehub.routing.records import Affinity, Engine, PlannedRead, ReadPlan, Sequence, StageResult
from myrtlehub.routing.statistics import MovingAverages, rendezvous_weight

SPLIT_TOKENS = 600.0  # uncached prompt tokens from which a prompt is read elsewhere; 0: never
LIKELY_MOVE_TIME = 1.0 / 24000.0  # seconds a token that a move between cells takes, until some were seen
MOVE_WEIGHT = 0.2  # of one move in the average of its link
MIN_MOVE_TOKENS = 500.0  # that a move counts for at least, as short ones tell little of a link
OWN_READ_FACTOR = 3.0  # times longer that a writer's own read counts, as its streams wait meanwhile
TIE_TIME = 0.1  # seconds within which chance picks among readers, lest all nodes send to one
CELL_SLACK = 1.3  # times their even part that a cell's readers are trusted with unseen
MAX_QUEUE_SHARE = 0.5  # of the time left to the latency objective, that a reader's queue and read may take
MIN_QUEUE_TIME = 0.1  # seconds that they may take in any case
REPORT_HALF_LIFE = 1.0  # seconds in which a report of what waits at a reader is half worthless
LAST_ATTEMPTS = 2  # left, with which a sequence that was refused is not split: it would take both


class ReadPlacement:
    """Chooses where prompts are read."""

    def __init__(self, estimates: EngineEstimates, admission: Admission, random: Callable[[], float]) -> None:
        self.config = estimates.config
        self.estimates = estimates
        self.admission = admission
        self.random = random
        self.hit_rates = HitRates()
        self.trusted_shares: dict[int, float] = {}  # by cell: readers a writer, against the fleet
        self.cell_moves = MovingAverages()  # seconds a token out of a cell, to others of its zone
        self.zone_moves = MovingAverages()  # and to other zones

    def update_cells(self) -> None:
        """Take note that the endpoint list changed."""
        writers, readers = self.estimates.writers, self.estimates.readers
        ratio = CELL_SLACK * len(writers) / max(1, len(readers))
        writers_of_cell = Counter(writer.cell for writer in writers)
        readers_of_cell = Counter(reader.cell for reader in readers)
        self.trusted_shares = {
            cell: ratio * count / max(1, writers_of_cell[cell]) for cell, count in readers_of_cell.items()
        }

    def place(self, sequence: Sequence, now: float) -> StageResult:
        """Split a sequence when its writer would have to read too much itself, or cannot read."""
        sequence.is_split = False
        writer = sequence.writer
        if sequence.state_at is not None:
            return StageResult.PASS
        plan = sequence.read_plan or self.plan(sequence, now)
        sequence.read_plan = None
        uncached = sequence.arrival.prompt_tokens - writer.cache.find(sequence.arrival, now).tokens
        read = self.choose(writer, sequence, plan, uncached, now)
        sequence.reader = read.reader
        delay = read.seconds
        delay += self.estimates.wait(writer) + self.estimates.observed(writer.lateness, writer)
        if not sequence.attempts and self.admission.starts_late(sequence, delay, now):
            # an engine's queue would hold only what comes too late, whatever filled it
            return self.admission.wait_or_reject(sequence, now)
        sequence.placed_at = now
        sequence.expected_delay = delay
        if not read.is_possible:
            return StageResult.WAIT  # there is no reader, and the writer cannot read
        attempts_left = self.config.max_attempts - len(sequence.attempts)
        is_short = sequence.was_refused and attempts_left <= LAST_ATTEMPTS and self._can_read(writer)
        sequence.is_split = read.reader is not None and not is_short
        return StageResult.PASS

    def plan(self, sequence: Sequence, now: float) -> ReadPlan:
        """Find the best reader of each cell that has capacity, and the soonest of each zone and of all."""
        engines = self.estimates.engines
        limit = max(MIN_QUEUE_TIME, MAX_QUEUE_SHARE * (sequence.slo_at - now))
        by_cell: dict[int, tuple] = {}  # (what they are compared by, seconds, index)
        by_zone: dict[int | None, tuple] = {}
        for reader, cached, weight, seconds in self._estimate_reads(sequence, now):
            if seconds < limit:
                choice = ((round(cached), -reader.own_reads, weight), seconds, reader.index)
                by_cell[reader.cell] = max(by_cell.get(reader.cell, choice), choice)
            for zone, moves in ((reader.zone, self.cell_moves), (None, self.zone_moves)):
                move = sequence.arrival.prompt_tokens * moves.get(reader.cell, LIKELY_MOVE_TIME)
                choice = (seconds + move + TIE_TIME * self.random(), seconds, reader.index)
                by_zone[zone] = min(by_zone.get(zone, choice), choice)
        return ReadPlan(
            {cell: PlannedRead(seconds, engines[i], rank[0]) for cell, (rank, seconds, i) in by_cell.items()},
            {zone: PlannedRead(seconds, engines[i]) for zone, (_, seconds, i) in by_zone.items()},
        )

    def _estimate_reads(self, sequence: Sequence, now: float) -> Iterator[tuple[Engine, float, int, float]]:
        """Yield each usable reader, its cached tokens, affinity weight, and the seconds that a read takes."""
        estimates, arrival, prompt = self.estimates, sequence.arrival, sequence.arrival.prompt_tokens
        chance = self.random()
        half_life = REPORT_HALF_LIFE * (1.0 + MAX_ALIKE_NODES / self.config.node_count)
        readers = self._usable_readers(sequence, now)
        key = affinity_key(sequence)
        weights = [rendezvous_weight(key, reader.hash_seed) for reader in readers]
        affinity = sequence.affinity = rank_affinity(arrival.session, readers, weights)
        likely_tokens = self.hit_rates.likely_tokens(arrival)
        for reader, weight in zip(readers, weights, strict=True):
            likely = likely_tokens[affinity.get(reader, Affinity.OTHER)]
            cached = max(reader.cache.find(arrival, now).tokens, likely)
            seconds = (estimates.total_backlog(reader) + prompt - cached) / estimates.read_rate(reader)
            # Cells whose few readers all nodes take to be free: what is not known of them is judged by how
            # many readers a writer of that cell has, against the fleet.
            known = 0.5 ** ((now - reader.backlog.at) / half_life)
            if chance > known + (1.0 - known) * self.trusted_shares[reader.cell]:
                seconds += sequence.slo_at - now
            yield reader, cached, weight, seconds

    def _usable_readers(self, sequence: Sequence, now: float) -> list[Engine]:
        readers = [reader for reader in self.estimates.readers if reader not in sequence.failed_engines]
        return prefer_accepting(self.admission.usable(readers, sequence, now), sequence, now)

    def choose(
        self, writer: Engine, sequence: Sequence, plan: ReadPlan, uncached: float, now: float
    ) -> PlannedRead:
        """Choose who reads a prompt for this writer, of which it has so many tokens uncached."""
        estimates = self.estimates
        can_read = self._can_read(writer)
        alone = OWN_READ_FACTOR * uncached / estimates.read_rate(writer)
        if can_read and (SPLIT_TOKENS <= 0 or uncached < SPLIT_TOKENS):
            return PlannedRead(alone)
        if writer.cell in plan.by_cell:
            return plan.by_cell[writer.cell]
        # Readers flooded by a lasting heavy mix, and states that queue on the links between cells: where no
        # reader of the cell has capacity, who should be ready first reads, the writer included.
        best = PlannedRead(sequence.abandon_at - now, is_possible=False)
        for read in [plan.by_zone[zone] for zone in (writer.zone, None) if zone in plan.by_zone]:
            ready = read.seconds + self.move_time(read.reader, writer, sequence)
            if not best.is_possible or (ready, read.reader.index) < (best.seconds, best.reader.index):
                best = PlannedRead(ready, read.reader)
        if can_read and (not best.is_possible or alone + estimates.wait(writer) < best.seconds):
            return PlannedRead(alone)
        return best

    def _can_read(self, writer: Engine) -> bool:
        return self.config.reads[writer.kind] or self.config.writers_can_read

    def move_time(self, reader: Engine, writer: Engine, sequence: Sequence) -> float:
        """Return the seconds in which a writer should fetch a read state."""
        if reader.cell == writer.cell:
            return 0.0
        moves = self.cell_moves if reader.zone == writer.zone else self.zone_moves
        return sequence.arrival.prompt_tokens * moves.get(reader.cell, LIKELY_MOVE_TIME)

    def moved(self, reader: Engine, writer: Engine, prompt_tokens: float, latency: float) -> None:
        """Learn how long a move between cells took."""
        moves = self.cell_moves if reader.zone == writer.zone else self.zone_moves
        moves.observe(reader.cell, latency / max(MIN_MOVE_TOKENS, prompt_tokens), MOVE_WEIGHT)
