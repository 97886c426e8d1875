"""Cache of results, so that no input is computed twice for a tenant by the same version of a model.

Each tenant has a separate cache for each version of a model; all caches share one bound on memory. The
algorithm is S3-FIFO (Yang et al., "FIFO queues are all you need for cache eviction", SOSP 2023). New keys
enter a small queue, and those with a hit move from it to the main queue. A key that was evicted from the
small queue is remembered without its value in a ghost queue, and enters the main queue if it is added again.
So a flood of inputs that never recur uses a tenth of the memory and evicts nothing from the main queue.
docs/design/fronts.md compares S3-FIFO with LRU and W-TinyLFU.
"""

from collections import OrderedDict, deque
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, NamedTuple, TypeVar

SMALL_QUEUE_SHARE = 0.1  # share of a cache's capacity, the figure of the paper; larger values are not cached
MAX_HITS = 3  # up to which hits of a key are counted, as in the paper
MIN_GHOST_KEYS = 16  # evicted keys that are remembered by a cache with few entries
MAX_CACHES = 1024  # tenants times versions; the least recently used cache is dropped first

Value = TypeVar("Value")


@dataclass(slots=True)
class CacheEntry(Generic[Value]):
    """A cached value, its size in bytes, and its place in the queues."""

    value: Value
    size: int
    hits: int
    is_in_main: bool


class S3FifoCache(Generic[Value]):
    """A cache bounded in bytes, which evicts by S3-FIFO."""

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
        """Return the value, and count a hit."""
        entry = self._entries.get(key)
        if entry is None:
            return None
        entry.hits = min(MAX_HITS, entry.hits + 1)
        return entry.value

    def add(self, key: Hashable, value: Value, size: int) -> None:
        """Cache a value of `size` bytes, unless it is too large or its key is cached already."""
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
        self._remove(key, entry)
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
            self._remove(key, entry)

    def _remove(self, key: Hashable, entry: CacheEntry[Value]) -> None:
        del self._entries[key]
        self.used -= entry.size


class CacheKey(NamedTuple):
    """The tenant and the version of a model whose results a cache has."""

    tenant: Hashable
    model: str


class ResultCache(Generic[Value]):
    """The caches of all tenants and versions; each has the same capacity."""

    def __init__(self, capacity: int, max_share: float = 0.25) -> None:
        """Make an empty cache.

        Args:
            capacity: bytes of all caches together; 0: nothing is cached.
            max_share: share of the capacity that one cache has at most.
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
        """Return the cache of a tenant's results by one version; None if there is none yet."""
        return self._touch(CacheKey(tenant, model))

    def get(self, tenant: Hashable, model: str, key: Hashable) -> Value | None:
        """Return a cached result; None if there is none."""
        cache = self.cache_of(tenant, model)
        return cache.get(key) if cache is not None else None

    def add(self, tenant: Hashable, model: str, key: Hashable, value: Value, size: int) -> None:
        """Cache a result of `size` bytes, unless the endpoint list has no engine of its version any more."""
        if not model or (self.models and model not in self.models):
            return
        cache_key = CacheKey(tenant, model)
        cache = self._touch(cache_key)
        if cache is None:
            cache = self._create(cache_key)
        if cache is not None:
            cache.add(key, value, size)

    def set_models(self, models: frozenset[str]) -> int:
        """Set the versions of the endpoint list's engines, and drop the caches of other versions.

        Args:
            models: the versions; empty if the list does not name versions, and then no cache is dropped.

        Returns:
            The number of dropped results.
        """
        self.models = models
        outdated = [key for key in self._caches if models and key.model not in models]
        dropped = sum(len(self._caches.pop(key)) for key in outdated)
        if outdated:
            self._resize()
        return dropped

    def _touch(self, cache_key: CacheKey) -> S3FifoCache[Value] | None:
        cache = self._caches.get(cache_key)
        if cache is not None:
            self._caches.move_to_end(cache_key)
        return cache

    def _create(self, cache_key: CacheKey) -> S3FifoCache[Value] | None:
        if not self.capacity:
            return None
        cache = self._caches[cache_key] = S3FifoCache(0)
        while len(self._caches) > MAX_CACHES:
            self._caches.popitem(last=False)
        self._resize()
        return cache

    def _resize(self) -> None:
        """Divide the capacity evenly among the caches."""
        share = min(self.max_share, 1.0 / max(1, len(self._caches)))
        capacity = int(self.capacity * share)
        for cache in self._caches.values():
            cache.resize(capacity)
