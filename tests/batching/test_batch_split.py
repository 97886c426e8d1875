"""Splitting of batches: the limits, balance and number of parts."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from myrtlehub.batching.batch_split import PartLimits, split_batch

COSTS = st.lists(st.integers(1, 9000), max_size=120)


@given(COSTS, st.integers(1, 64), st.integers(1, 12))
def test_parts_respect_the_limits_and_contain_every_item_once(
    costs: list[int], max_items: int, engine_count: int
) -> None:
    limits = PartLimits(8000.0, max_items, 2000.0)
    parts = split_batch(costs, limits, engine_count)
    assert sorted(index for part in parts for index in part) == list(range(len(costs)))
    for part in parts:
        assert part == sorted(part) and 0 < len(part) <= max_items
        assert len(part) == 1 or sum(costs[index] for index in part) <= limits.max_tokens


def test_small_batches_are_not_split_and_large_ones_have_even_parts() -> None:
    assert split_batch([100] * 12, PartLimits(8000.0, 64, 2000.0), 8) == [list(range(12))]
    parts = split_batch([100] * 120, PartLimits(8000.0, 64, 2000.0), 4)
    assert [len(part) for part in parts] == [30] * 4
    parts_of_random_costs = split_batch(
        [Random(1).randint(10, 900) for _ in range(200)], PartLimits(16000.0, 256, 2000.0), 5
    )
    assert len(parts_of_random_costs) == 5
