"""Candidate engines: the part of a large fleet that is compared for one sequence.

In a fleet of up to `MAX_CANDIDATES` engines, all of them are candidates. In a larger one, the cost of a
placement must not grow with the fleet. The engines of each cell are therefore divided into sections, and the
candidates of a sequence are the sections

- of the writer selected for it before, and of the engines that keep its prompt according to this node,
- that follow the key of its prefix on a ring, in an order on which all nodes agree, so that each prefix is
  cached at few readers,
- and of others, drawn at random for each placement, so that the load spreads over the whole fleet.

A section has writers and readers of one cell, so that a prompt can be read in its writer's cell.
"""

from bisect import bisect_left
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import chain

from myrtlehub.routing.contract import Arrival
from myrtlehub.routing.engine_table import EngineTable
from myrtlehub.routing.policy.prefix_cache import affinity_key
from myrtlehub.routing.records import Candidates, Engine, Sequence
from myrtlehub.routing.statistics import rendezvous_weight

MAX_CANDIDATES = 200  # engines that one placement compares
SECTION_SIZE = 16  # engines of a cell that are candidates together
MIN_AFFINITY_READERS = 24  # in the sections on the ring; a prefix is cached at some of them
MAX_RING_CANDIDATES = 80  # engines in the sections on the ring
KEEPING_SECTION_COUNT = 4  # sections with engines that keep the prompt, the latest ones
MIN_CANDIDATES_OF_ROLE = 16  # readers, and writers, if the fleet has as many
MAX_DRAWS = MAX_CANDIDATES  # random sections for one placement, including those that are drawn twice
MAX_PROMPT_KEYS = 10_000  # sessions and prefixes for which the engines that keep them are known
MAX_ENGINES_PER_KEY = 8  # the latest ones
CELL_STRIDE = 1_000_003  # a prime; the sections of a cell get adjacent numbers after its multiple


@dataclass(frozen=True, eq=False, slots=True)
class Section:
    """Engines of one cell that are candidates together.

    Attributes:
        position: Position on the ring.
        cell: The cell.
        number: Number of the section in its cell.
        writers: Serving engines that write.
        readers: Serving engines that only read.
    """

    position: int
    cell: int
    number: int
    writers: tuple[Engine, ...]
    readers: tuple[Engine, ...]


@dataclass(slots=True)
class _Choice:
    """The sections that are chosen for a placement, in this order, and the numbers of their engines."""

    sections: dict[Section, None] = field(default_factory=dict)
    writer_count: int = 0
    reader_count: int = 0

    def add(self, section: Section) -> None:
        """Add a section; one that was added before has no effect."""
        if section not in self.sections:
            self.sections[section] = None
            self.writer_count += len(section.writers)
            self.reader_count += len(section.readers)


class PromptKeepers:
    """The latest engines that were sent a session or a prefix, for a bounded number of them."""

    def __init__(self) -> None:
        self._engines_by_key: dict[int, dict[Engine, None]] = {}  # the latest key and engine last

    def record(self, arrival: Arrival, engine: Engine) -> None:
        """Record that an engine reads a prompt."""
        for key in _prompt_keys(arrival):
            engines = self._engines_by_key.pop(key, {})
            engines.pop(engine, None)
            engines[engine] = None
            if len(engines) > MAX_ENGINES_PER_KEY:
                del engines[next(iter(engines))]
            self._engines_by_key[key] = engines
        while len(self._engines_by_key) > MAX_PROMPT_KEYS:
            del self._engines_by_key[next(iter(self._engines_by_key))]

    def find(self, arrival: Arrival) -> Iterator[Engine]:
        """Yield the engines that were sent the session or the prefix of a prompt, the latest first."""
        for key in _prompt_keys(arrival):
            yield from reversed(self._engines_by_key.get(key, {}))


class CandidateEngines:
    """Selects the engines that are compared for a sequence.

    Args:
        engine_table: The engines of the endpoint list.
        random: Returns a random number in [0, 1). It is called for fleets over `MAX_CANDIDATES` only.
    """

    def __init__(self, engine_table: EngineTable, random: Callable[[], float]) -> None:
        self._table = engine_table
        self._random = random
        self._keepers = PromptKeepers()
        self._sections: list[Section] = []  # by position; empty if all engines are candidates
        self._positions: list[int] = []  # of the sections
        self._sections_with_writers: list[Section] = []
        self._sections_with_readers: list[Section] = []
        self._section_of: dict[Engine, Section] = {}

    def update(self) -> None:
        """Divide the engines into sections; called when the endpoint list has changed."""
        table = self._table
        is_large = len(table.writers) + len(table.readers) > MAX_CANDIDATES
        sections = _divide(table.writers, table.readers) if is_large else iter(())
        self._sections = sorted(sections, key=lambda section: (section.position, section.cell))
        self._positions = [section.position for section in self._sections]
        self._sections_with_writers = [section for section in self._sections if section.writers]
        self._sections_with_readers = [section for section in self._sections if section.readers]
        self._section_of = {
            engine: section
            for section in self._sections
            for engine in chain(section.writers, section.readers)
        }

    def record_prompt(self, arrival: Arrival, engine: Engine) -> None:
        """Record that an engine reads a prompt."""
        if self._sections:
            self._keepers.record(arrival, engine)

    def select(self, sequence: Sequence) -> Candidates:
        """Return the engines to compare for the next placement of a sequence."""
        if not self._sections:
            return Candidates(self._table.writers, self._table.readers)
        on_ring = self._sections_on_ring(affinity_key(sequence))
        choice = _Choice()
        for section in [*self._keeping_sections(sequence), *on_ring]:
            choice.add(section)
        self._add_random(
            choice, self._sections, lambda: choice.writer_count + choice.reader_count >= MAX_CANDIDATES
        )
        self._add_random(
            choice, self._sections_with_writers, lambda: choice.writer_count >= MIN_CANDIDATES_OF_ROLE
        )
        self._add_random(
            choice, self._sections_with_readers, lambda: choice.reader_count >= MIN_CANDIDATES_OF_ROLE
        )
        return Candidates(
            [engine for section in choice.sections for engine in section.writers],
            [engine for section in choice.sections for engine in section.readers],
            {engine for section in on_ring for engine in section.readers},
        )

    def _keeping_sections(self, sequence: Sequence) -> list[Section]:
        """Return the sections of the former writer and of the engines that keep the prompt."""
        engines = self._keepers.find(sequence.arrival)
        former_writer = () if sequence.writer is None else (sequence.writer,)
        sections = (self._section_of.get(engine) for engine in chain(former_writer, engines))
        found = dict.fromkeys(section for section in sections if section is not None)
        return list(found)[:KEEPING_SECTION_COUNT]

    def _sections_on_ring(self, key: int) -> list[Section]:
        """Return the sections from the position of a key on, until they have enough readers."""
        start = bisect_left(self._positions, rendezvous_weight(key, 0))
        found = _Choice()
        for offset in range(len(self._sections)):
            is_full = found.writer_count + found.reader_count >= MAX_RING_CANDIDATES
            if is_full or found.reader_count >= MIN_AFFINITY_READERS:
                break
            found.add(self._sections[(start + offset) % len(self._sections)])
        return list(found.sections)

    def _add_random(self, choice: _Choice, sections: list[Section], is_enough: Callable[[], bool]) -> None:
        """Add random sections until there are enough, or the limit on draws is reached."""
        for _ in range(MAX_DRAWS if sections else 0):
            if is_enough():
                return
            choice.add(sections[int(self._random() * len(sections))])


def _prompt_keys(arrival: Arrival) -> Iterator[int]:
    """Yield the keys of the session and of the prefix of a prompt, as far as it has them."""
    if arrival.session:
        yield arrival.session
    if arrival.prefix:
        yield -arrival.prefix


def _divide(writers: list[Engine], readers: list[Engine]) -> Iterator[Section]:
    """Yield the sections of all cells, with equal parts of the writers and of the readers of the cell."""
    writers_by_cell, readers_by_cell = _by_cell(writers), _by_cell(readers)
    for cell in writers_by_cell.keys() | readers_by_cell.keys():
        own_writers, own_readers = writers_by_cell.get(cell, []), readers_by_cell.get(cell, [])
        count = -(-(len(own_writers) + len(own_readers)) // SECTION_SIZE)
        for number in range(count):
            position = rendezvous_weight(cell * CELL_STRIDE + number, 0)
            yield Section(
                position, cell, number, tuple(own_writers[number::count]), tuple(own_readers[number::count])
            )


def _by_cell(engines: list[Engine]) -> dict[int, list[Engine]]:
    """Return the engines of each cell, in an order on which all nodes agree."""
    by_cell: dict[int, list[Engine]] = {}
    for engine in sorted(engines, key=lambda engine: engine.hash_seed):
        by_cell.setdefault(engine.cell, []).append(engine)
    return by_cell
