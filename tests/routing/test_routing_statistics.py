"""Tests of the statistics, the prompt cache estimate and the engine ids of the simulator adapter."""

import pytest
from router_bench import arrival

from myrtlehub.routing.contract import EngineState
from myrtlehub.routing.prompt_cache import CacheBounds, PromptCache
from myrtlehub.routing.statistics import (
    DecayingCounters,
    EstimateCorrection,
    MovingAverages,
    RunningMedians,
    rendezvous_weight,
)
from myrtlehub.simulator.ids import EngineIds
from myrtlehub.simulator.wire import WireError


def test_the_first_value_initializes_a_moving_average() -> None:
    averages = MovingAverages()
    assert averages.observe(3, 10.0, 0.1) == 10.0 == averages[3]
    assert averages.observe(3, 20.0, 0.1) == 10.0 and averages[3] == 11.0


def test_decaying_counters_halve_in_their_half_life() -> None:
    counters = DecayingCounters(20.0)
    counters.add(1, 100.0)
    assert counters.rate(1, 120.0) == pytest.approx(counters.rate(1, 100.0) / 2)
    assert counters.rate(2, 120.0) == 0.0


def test_running_medians_discard_old_samples() -> None:
    medians = RunningMedians(3, 100.0)
    assert medians.get(0) == 100.0
    assert [medians.add(0, sample) for sample in (200.0, 300.0, 400.0, 400.0)] == [200.0, 200.0, 300.0, 400.0]


def test_an_estimate_correction_decays_to_its_default_factor() -> None:
    correction = EstimateCorrection(0.5, 5.0)
    correction.observe(1.0, 2.0, 0.3, 100.0)
    assert correction.factor(100.0) == 2.0 and correction.factor(105.0) == pytest.approx(1.25)


def test_rendezvous_hashing_moves_only_the_keys_of_a_removed_engine() -> None:
    seeds = [2654435761 * index % 2**32 for index in range(1, 9)]
    selected = {key: max(seeds, key=lambda seed: rendezvous_weight(key, seed)) for key in range(1, 400)}
    assert len(set(selected.values())) == len(seeds)
    for key, best in selected.items():
        if best != seeds[0]:
            assert max(seeds[1:], key=lambda seed: rendezvous_weight(key, seed)) == best


def test_prompt_cache_entries_expire_and_the_oldest_are_evicted() -> None:
    cache = PromptCache(CacheBounds(freshness_lifetime=30.0, max_entries=2))
    first, second, third = (arrival(prompt=1000.0, session=session) for session in (1, 2, 3))
    cache.add(first, 0.0)
    assert [cache.find(first, now).tokens for now in (0.0, 30.0, 45.0, 60.0)] == [1000.0, 1000.0, 500.0, 0.0]
    cache.add(second, 1.0)
    cache.add(third, 2.0)
    assert list(cache.entries) == [2, 3]
    cache.invalidate_until(1.0)
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
