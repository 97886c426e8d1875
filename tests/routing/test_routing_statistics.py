"""Statistics, the prompt cache table and the ids of the simulator adapter."""

import pytest
from router_bench import arrival

from myrtlehub.routing.contract import EngineState
from myrtlehub.routing.prompt_cache import CacheBounds, PromptCache
from myrtlehub.routing.statistics import (
    DecayingCounters,
    EstimateError,
    MovingAverages,
    RecentMedians,
    rendezvous_weight,
)
from myrtlehub.simulator.ids import EngineIds
from myrtlehub.simulator.wire import WireError


def test_the_first_value_starts_a_moving_average() -> None:
    averages = MovingAverages()
    assert averages.observe(3, 10.0, 0.1) == 10.0 == averages[3]
    assert averages.observe(3, 20.0, 0.1) == 10.0 and averages[3] == 11.0


def test_decaying_counters_halve() -> None:
    counters = DecayingCounters(20.0)
    counters.add(1, 100.0)
    assert counters.rate(1, 120.0) == pytest.approx(counters.rate(1, 100.0) / 2)
    assert counters.rate(2, 120.0) == 0.0


def test_recent_medians_forget_old_samples() -> None:
    medians = RecentMedians(3, 100.0)
    assert medians.get(0) == 100.0
    assert [medians.add(0, sample) for sample in (200.0, 300.0, 400.0, 400.0)] == [200.0, 200.0, 300.0, 400.0]


def test_an_estimates_error_decays_to_the_default_factor() -> None:
    error = EstimateError(0.5, 5.0)
    error.observe(1.0, 2.0, 0.3, 100.0)
    assert error.factor(100.0) == 2.0 and error.factor(105.0) == pytest.approx(1.25)


def test_rendezvous_weights_move_few_keys_when_an_engine_goes() -> None:
    seeds = [2654435761 * index % 2**32 for index in range(1, 9)]
    firsts = {key: max(seeds, key=lambda seed: rendezvous_weight(key, seed)) for key in range(1, 400)}
    assert len(set(firsts.values())) == len(seeds)
    for key, first in firsts.items():
        if first != seeds[0]:
            assert max(seeds[1:], key=lambda seed: rendezvous_weight(key, seed)) == first


def test_a_prompt_cache_fades_entries_and_drops_the_oldest() -> None:
    cache = PromptCache(CacheBounds(fresh_time=30.0, max_entries=2))
    first, second, third = (arrival(prompt=1000.0, session=session) for session in (1, 2, 3))
    cache.add(first, 0.0)
    assert [cache.find(first, now).tokens for now in (0.0, 30.0, 45.0, 60.0)] == [1000.0, 1000.0, 500.0, 0.0]
    cache.add(second, 1.0)
    cache.add(third, 2.0)
    assert list(cache.entries) == [2, 3]
    cache.drop_until(1.0)
    assert list(cache.entries) == [3]


def test_an_engines_index_is_reused_once_nothing_of_it_is_in_flight() -> None:
    ids = EngineIds()
    old = ids.add_or_update("old", EngineState.SERVING)
    ids.count_sent(old)
    ids.add_or_update("old", EngineState.REMOVED)
    ids.free_removed()
    assert ids.add_or_update("second", EngineState.SERVING) != old and ids.index("old") == old
    ids.count_ended(old)
    ids.free_if_removed(old)
    with pytest.raises(WireError, match="old is not listed"):
        ids.index("old")
    assert ids.add_or_update("third", EngineState.SERVING) == old and ids.id_of(old) == "third"
