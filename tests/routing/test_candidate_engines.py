"""Placements in fleets that are too large to compare all engines."""

from collections import Counter
from collections.abc import Callable

import pytest
from router_bench import CONFIG, READER, WRITER, arrival, endpoint

from myrtlehub.routing.contract import EndpointUpdate, EngineState, Send
from myrtlehub.routing.policy.candidate_engines import MAX_CANDIDATES, SECTION_SIZE
from myrtlehub.routing.policy.router import Router
from myrtlehub.routing.records import Engine, Sequence

ENGINES = 3200
NOW = 100.0


def alternating(index: int) -> int:
    """Let half of the engines of each cell be readers."""
    return (READER, WRITER)[index % 2]


def fleet(
    count: int, cell_of: Callable[[int], int], kind_of: Callable[[int], int] = alternating
) -> list[EndpointUpdate]:
    """Return the endpoint list of a fleet."""
    return [
        endpoint(index, kind_of(index))._replace(
            cell=cell_of(index), hash_seed=(index + 1) * 2654435761 % 2**32
        )
        for index in range(count)
    ]


BLOCKS_OF_16 = fleet(ENGINES, lambda index: index // 16)
FLEETS = {
    "blocks of 16": BLOCKS_OF_16,
    "one cell": fleet(ENGINES, lambda index: 0),
    "a cell for each engine": fleet(ENGINES, lambda index: index),
    "readers in cells of their own": fleet(
        ENGINES, lambda index: index // 16, lambda index: READER if index < 160 else WRITER
    ),
    "few readers": fleet(ENGINES, lambda index: index // 16, lambda index: READER if index < 3 else WRITER),
    "one more than all": fleet(MAX_CANDIDATES + 1, lambda index: index // 16),
}


def router_of(updates: list[EndpointUpdate], node: int = 0) -> Router:
    """Return the router of one of 40 nodes."""
    router = Router(CONFIG._replace(seed=node, node=node, node_count=40))
    router.start(NOW)
    router.update_endpoints(NOW, updates, True)
    return router


def place(router: Router, number: int, session: int = 0, prefix: int = 0, prompt: float = 3000.0) -> int:
    """Pass a sequence to the router, and return the engine that it is sent to."""
    arrived = arrival(prompt=prompt, session=session, prefix=prefix, shared=prompt / 2 if prefix else 0.0)
    actions = router.arrive(NOW + 0.01 * number, number, arrived)
    (engine,) = [action.engine for action in actions if isinstance(action, Send)]
    return engine


# Guards against a placement whose cost grows with the fleet, by the engines that it looks at.
@pytest.mark.parametrize("updates", FLEETS.values(), ids=FLEETS.keys())
def test_a_placement_compares_a_bounded_number_of_engines(updates: list[EndpointUpdate]) -> None:
    router = router_of(updates)
    usable_engines = router.admission.usable_engines
    compared: list[int] = []

    def count_engines(engines: list[Engine], sequence: Sequence, now: float) -> list[Engine]:
        compared.append(len(engines))
        return usable_engines(engines, sequence, now)

    router.admission.usable_engines = count_engines  # type: ignore[method-assign]
    for number in range(50):
        compared.clear()
        place(router, number, session=1 + number % 5, prefix=1 + number % 3)
        assert sum(compared) < MAX_CANDIDATES + 3 * SECTION_SIZE


@pytest.mark.parametrize("updates", FLEETS.values(), ids=FLEETS.keys())
def test_the_load_spreads_over_a_large_fleet(updates: list[EndpointUpdate]) -> None:
    router = router_of(updates)
    writers = sum(update.kind == WRITER for update in updates)
    count = min(600, 2 * writers)
    sent = Counter(place(router, number, session=1 + number, prompt=300.0) for number in range(count))
    assert len(sent) > min(300, writers // 2)
    assert max(sent.values()) <= 12


def test_a_prompt_is_read_in_the_cell_of_its_writer() -> None:
    router = router_of(BLOCKS_OF_16)
    for number in range(100):
        reader = place(router, number, session=1 + number)
        writer = router.sequences[number].writer
        assert writer is not None and router.estimates.engines[reader].cell == writer.cell


def test_all_nodes_read_a_prefix_at_few_readers_of_a_large_fleet() -> None:
    readers = set()
    for node in range(10):
        router = router_of(BLOCKS_OF_16, node)
        router.read_placement.hit_rates._averages.update({0: 0.9, 1: 0.9})
        readers |= {place(router, number, prefix=77) for number in range(2)}
    assert len(readers) <= 12


def test_a_writer_that_keeps_the_prompt_is_a_candidate() -> None:
    for writer in (1, 1601, 3199):
        router = router_of(BLOCKS_OF_16)
        engine, kept = router.estimates.engines[writer], arrival(session=9)
        engine.cache.add(kept, NOW)
        router.candidates.record_prompt(kept, engine)
        for number in range(20):
            place(router, number, session=1000 + number)
        assert place(router, 20, session=9) == writer


def test_engines_that_left_a_large_fleet_are_no_candidates() -> None:
    router = router_of(BLOCKS_OF_16)
    gone = {place(router, number, session=9) for number in range(20)}
    changes = [BLOCKS_OF_16[index]._replace(state=EngineState.DRAINING, is_new=False) for index in gone]
    router.update_endpoints(NOW + 1.0, changes, False)
    assert not gone & {place(router, 100 + number, session=9) for number in range(20)}
