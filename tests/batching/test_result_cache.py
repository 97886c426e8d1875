"""The result cache: capacity, eviction, and separation of tenants and model versions."""

from collections import OrderedDict
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from myrtlehub.batching.result_cache import ResultCache, S3FifoCache


@given(st.lists(st.tuples(st.integers(0, 40), st.integers(1, 60)), max_size=300))
def test_a_cache_stays_within_its_capacity_and_returns_what_was_added(
    accesses: list[tuple[int, int]],
) -> None:
    cache = S3FifoCache(600)
    for key, size in accesses:
        found = cache.get(key)
        assert found in (None, f"v{key}")
        if found is None:
            cache.add(key, f"v{key}", size)
        assert 0 <= cache.used <= 600
        assert cache.used == sum(entry.size for entry in cache._entries.values())
        assert cache._small_used == sum(
            entry.size for entry in cache._entries.values() if not entry.is_in_main
        )
        assert sorted([*cache._small, *cache._main]) == sorted(cache._entries)


def test_a_scan_leaves_most_hot_keys_cached_and_tenants_are_separate() -> None:
    cache = ResultCache(200 * 100 * 4, 1.0)
    random = Random(2)
    hot_keys = [f"h{number}" for number in range(60)]
    for _ in range(3000):
        key = random.choice(hot_keys)
        if cache.get("t", "m1", key) is None:
            cache.add("t", "m1", key, key, 100)
    for number in range(50_000):
        cache.add("t", "m1", f"scan{number}", number, 100)
        cache.add("other", "m1", f"scan{number}", number, 100)
        if number % 50 == 0:
            cache.get("t", "m1", random.choice(hot_keys))
    assert sum(cache.get("t", "m1", key) is not None for key in hot_keys) > 50
    assert cache.used <= cache.capacity
    lru: OrderedDict = OrderedDict((key, 1) for key in hot_keys)  # for comparison: LRU evicts all hot keys
    for number in range(50_000):
        lru[f"scan{number}"] = 1
        while len(lru) > 800:
            lru.popitem(last=False)
    assert not any(key in lru for key in hot_keys)
    cache.set_models(frozenset({"m2"}))
    assert cache.used == 0 and cache.get("t", "m1", hot_keys[0]) is None
    cache.add("t", "m1", "late", 1, 100)  # a late result of the former version
    assert cache.get("t", "m1", "late") is None
