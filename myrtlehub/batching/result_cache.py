"""Cache of results, which saves engines from recomputing repeated inputs of a tenant.

Each tenant has a separate cache for each model version; all caches share one memory limit. The eviction
algorithm is S3-FIFO (Yang et al., "FIFO queues are all you need for cache eviction", SOSP 2023). New keys
enter a small queue. At its head, keys with a hit move to the main queue, and the others are evicted. The key
of an evicted entry stays in a ghost queue for some time; if it is added again, it enters the main queue. A
scan of inputs that do not recur therefore uses about a tenth of the memory and leaves the main queue intact.
docs/design/fronts.md compares S3-FIFO with LRU and W-TinyLFU.
"""

from collections import OrderedDict, deque
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, NamedTuple, TypeVar

# Fraction of the capacity for the small queue, as in the paper; larger values are not cached.
SMALL_QUEUE_SHARE = 0.1
MAX_HITS = 3  # maximum of a key's hit counter, as in the paper
MIN_GHOST_KEYS = 16  # minimum capacity of the ghost queue, for caches with fewer entries
MAX_CACHES = 1024  # one per tenant and model version; the least recently used is evicted first

Value = TypeVar("Value")


@dataclass(slots=True)
class CacheEntry(Generic[Value]):
    """A cached value, its size in bytes, its hit counter, and which queue it is in."""

    value: Value
    size: int
    hits: int
    is_in_main: bool


class S3FifoCache(Generic[Value]):
    """A cache with a capacity in bytes and S3-FIFO eviction."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.used = 0
        self._small_used = 0
        self._small: deque[Hashable] = deque()
        self._main: deque[Hashable] = deque()
        self._ghost: OrderedDict[Hashable, None] = OrderedDict()
        self._entries: dict[Hashable, CacheEntry[Value]] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, key: Hashable) -> Value | None:
        """Return the value and count a hit; None if the key is not cached."""
        entry = self._entries.get(key)
        if entry is None:
            return None
        entry.hits = min(MAX_HITS, entry.hits + 1)
        return entry.value

    def add(self, key: Hashable, value: Value, size: int) -> None:
        """Cache a value of `size` bytes, unless it is too large or its key is already cached."""
        if key in self._entries or size > self.capacity * SMALL_QUEUE_SHARE:
            return
        while self.used + size > self.capacity:
            self._evict()
        is_in_main = key in self._ghost
        if is_in_main:
            del self._ghost[key]
            self._main.append(key)
        else:
            self._small.append(key)
            self._small_used += size
        self._entries[key] = CacheEntry(value, size, 0, is_in_main)
        self.used += size

    def resize(self, capacity: int) -> None:
        """Change the capacity, and evict entries until the rest fits."""
        self.capacity = capacity
        while self.used > capacity:
            self._evict()

    def _evict(self) -> None:
        if self._small_used > self.capacity * SMALL_QUEUE_SHARE or not self._main:
            self._evict_from_small()
        else:
            self._evict_from_main()

    def _evict_from_small(self) -> None:
        key = self._small.popleft()
        entry = self._entries[key]
        self._small_used -= entry.size
        if entry.hits > 0:
            entry.hits = 0
            entry.is_in_main = True
            self._main.append(key)
            return
        self._remove_entry(key, entry)
        self._ghost[key] = None
        while len(self._ghost) > max(MIN_GHOST_KEYS, len(self._entries)):
            self._ghost.popitem(last=False)

    def _evict_from_main(self) -> None:
        key = self._main.popleft()
        entry = self._entries[key]
        if entry.hits > 0:
            entry.hits -= 1
            self._main.append(key)
        else:
            self._remove_entry(key, entry)

    def _remove_entry(self, key: Hashable, entry: CacheEntry[Value]) -> None:
        del self._entries[key]
        self.used -= entry.size


class CacheKey(NamedTuple):
    """The key of a cache: a tenant and a model version."""

    tenant: Hashable
    model: str


class ResultCache(Generic[Value]):
    """The caches of all tenants and model versions, of equal capacity."""

    def __init__(self, capacity: int, max_share: float = 0.25) -> None:
        """Make an empty cache.

        Args:
            capacity: total capacity of all caches, in bytes; 0 disables caching.
            max_share: maximum fraction of the capacity for a single cache.
        """
        self.capacity = capacity
        self.max_share = max_share
        self.models: frozenset[str] = frozenset()
        self._caches: OrderedDict[CacheKey, S3FifoCache[Value]] = OrderedDict()

    @property
    def used(self) -> int:
        """The bytes in use."""
        return sum(cache.used for cache in self._caches.values())

    def cache_of(self, tenant: Hashable, model: str) -> S3FifoCache[Value] | None:
        """Return the cache for a tenant and a model version; None if there is none yet."""
        return self._find_cache(CacheKey(tenant, model))

    def get(self, tenant: Hashable, model: str, key: Hashable) -> Value | None:
        """Return a cached result; None if there is none."""
        cache = self.cache_of(tenant, model)
        return cache.get(key) if cache is not None else None

    def add(self, tenant: Hashable, model: str, key: Hashable, value: Value, size: int) -> None:
        """Cache a result of `size` bytes, unless its version is unknown or not in the endpoint list."""
        if not model or (self.models and model not in self.models):
            return
        cache_key = CacheKey(tenant, model)
        cache = self._find_cache(cache_key)
        if cache is None:
            cache = self._create_cache(cache_key)
        if cache is not None:
            cache.add(key, value, size)

    def set_models(self, models: frozenset[str]) -> int:
        """Set the model versions of the engines in the endpoint list, and drop the caches of other versions.

        Args:
            models: the versions; if empty, the list states no versions, and no cache is dropped.

        Returns:
            The number of dropped results.
        """
        self.models = models
        outdated = [key for key in self._caches if models and key.model not in models]
        dropped = sum(len(self._caches.pop(key)) for key in outdated)
        if outdated:
            self._resize_caches()
        return dropped

    def _find_cache(self, cache_key: CacheKey) -> S3FifoCache[Value] | None:
        """Return a cache, if there is one, and mark it as the most recently used."""
        cache = self._caches.get(cache_key)
        if cache is not None:
            self._caches.move_to_end(cache_key)
        return cache

    def _create_cache(self, cache_key: CacheKey) -> S3FifoCache[Value] | None:
        if not self.capacity:
            return None
        cache = self._caches[cache_key] = S3FifoCache(0)
        while len(self._caches) > MAX_CACHES:
            self._caches.popitem(last=False)
        self._resize_caches()
        return cache

    def _resize_caches(self) -> None:
        """Divide the capacity evenly among the caches, with at most `max_share` for each."""
        capacity_share = min(self.max_share, 1.0 / max(1, len(self._caches)))
        capacity = int(self.capacity * capacity_share)
        for cache in self._caches.values():
            cache.resize(capacity)
