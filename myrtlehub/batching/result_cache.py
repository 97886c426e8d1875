"""Cache of results: what was computed for a tenant by one version of a model is not computed again.

Each tenant has a cache of its own for each version, and all share one bound on memory. The algorithm is
S3-FIFO (Yang et al., "FIFO queues are all you need for cache eviction", SOSP 2023): new keys enter a small
queue, and only those that were asked for again while there move to the main queue. A key that was recently
evicted from the small queue is remembered without its value, and enters the main queue at once if it comes
again. So a flood of inputs that never recur passes through a tenth of the memory and evicts nothing else.
Compared with LRU and W-TinyLFU in docs/design/fronts.md.
"""

from collections import OrderedDict, deque
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, NamedTuple, TypeVar

SMALL_QUEUE_SHARE = 0.1  # of a cache's capacity; larger values are not cached
MAX_HITS = 3  # that are counted of a key
MIN_GHOST_KEYS = 16
MAX_CACHES = 1024  # the least recently used is dropped first

Value = TypeVar("Value")


@dataclass(slots=True)
class CacheEntry(Generic[Value]):
    """A cached value."""

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
        """Cache a value unless it is too large; a key that is there stays as it is."""
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
        """Change the capacity, and evict what exceeds it."""
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
    """Whose results a cache has."""

    tenant: Hashable
    model: str


class ResultCache(Generic[Value]):
    """The caches of all tenants and versions.

    Each has an even part of `capacity`, in bytes, and at most `max_share` of it.
    """

    def __init__(self, capacity: int, max_share: float = 0.25) -> None:
        self.capacity = capacity
        self.max_share = max_share
        self.models: frozenset[str] = frozenset()
        self._caches: OrderedDict[CacheKey, S3FifoCache[Value]] = OrderedDict()

    @property
    def used(self) -> int:
        """Bytes in use."""
        return sum(cache.used for cache in self._caches.values())

    def cache_of(self, tenant: Hashable, model: str) -> S3FifoCache[Value] | None:
        """Return the cache of a tenant's results by one version, or None if there is none yet."""
        return self._touch(CacheKey(tenant, model))

    def get(self, tenant: Hashable, model: str, key: Hashable) -> Value | None:
        """Return a cached result, or None."""
        cache = self.cache_of(tenant, model)
        return cache.get(key) if cache is not None else None

    def add(self, tenant: Hashable, model: str, key: Hashable, value: Value, size: int) -> None:
        """Cache a result, unless the endpoint list does not name its version any more."""
        if not model or (self.models and model not in self.models):
            return
        cache_key = CacheKey(tenant, model)
        cache = self._touch(cache_key)
        if cache is None:
            cache = self._create(cache_key)
        if cache is not None:
            cache.add(key, value, size)

    def set_models(self, models: frozenset[str]) -> int:
        """Take the versions that the endpoint list names, and drop the caches of all others.

        Returns the number of results dropped.
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
        share = min(self.max_share, 1.0 / max(1, len(self._caches)))
        part = int(self.capacity * share)
        for cache in self._caches.values():
            cache.resize(part)
