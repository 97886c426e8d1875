"""Kept results: what was made once for a tenant and a version of a model is not made again. Pure.

S3-FIFO (Yang et al., "FIFO queues are all you need for cache eviction", SOSP 2023), a cache a tenant, cut
from one bound: new keys enter a small queue, and only what was asked for again while there moves to the main
one; a key that was lately thrown out of the small queue is remembered without its value and enters the main
queue at once. So a flood of inputs that never come again passes through a tenth of the room and wipes
nothing. Weighed against LRU and TinyLFU in docs/design/fronts.md.
"""

from collections import OrderedDict, deque
from collections.abc import Hashable

SMALL = 0.1  # of a tenant's room
MOST_SEEN = 3  # hits that are remembered of a key
TENANTS = 1024  # at most; the one that has longest not asked goes first


class Shelf:
    """One tenant's. `room` in bytes; `add` with the size of a value."""

    def __init__(self, room: int) -> None:
        self.room = room
        self._small: deque[Hashable] = deque()
        self._main: deque[Hashable] = deque()
        self._ghost: OrderedDict[Hashable, None] = OrderedDict()
        self._values: dict[Hashable, list] = {}  # value, size, hits, whether in the main queue
        self.used = self._small_used = 0

    def get(self, key: Hashable) -> object | None:
        """The value, and it counts as asked for."""
        entry = self._values.get(key)
        if entry is None:
            return None
        entry[2] = min(MOST_SEEN, entry[2] + 1)
        return entry[0]

    def add(self, key: Hashable, value: object, size: int) -> None:
        """Keep it, if it can be; a key that is there stays as it is."""
        if key in self._values or size > self.room * SMALL:
            return
        while self.used + size > self.room:
            self._evict()
        main = key in self._ghost
        if main:
            del self._ghost[key]
            self._main.append(key)
        else:
            self._small.append(key)
            self._small_used += size
        self._values[key] = [value, size, 0, main]
        self.used += size

    def _evict(self) -> None:
        if self._small_used > self.room * SMALL or not self._main:
            self._evict_small()
        else:
            self._evict_main()

    def _evict_small(self) -> None:
        key = self._small.popleft()
        entry = self._values[key]
        self._small_used -= entry[1]
        if entry[2] > 0:
            entry[2], entry[3] = 0, True
            self._main.append(key)
            return
        self._drop(key, entry)
        self._ghost[key] = None
        while len(self._ghost) > max(16, len(self._values)):
            self._ghost.popitem(last=False)

    def _evict_main(self) -> None:
        key = self._main.popleft()
        entry = self._values[key]
        if entry[2] > 0:
            entry[2] -= 1
            self._main.append(key)
        else:
            self._drop(key, entry)

    def _drop(self, key: Hashable, entry: list) -> None:
        del self._values[key]
        self.used -= entry[1]

    def __len__(self) -> int:
        return len(self._values)


class KeptResults:
    """All tenants'. `room` bytes over all of them; each has an even part of it, at most `most_share`."""

    def __init__(self, room: int, most_share: float = 0.25) -> None:
        self.room, self.most_share = room, most_share
        self._shelves: OrderedDict[tuple[Hashable, str], Shelf] = OrderedDict()
        self.models: frozenset[str] = frozenset()

    def _part(self) -> int:
        return int(self.room * min(self.most_share, 1.0 / max(1, len(self._shelves))))

    def _shelf(self, tenant: Hashable, model: str, make: bool) -> Shelf | None:
        key = tenant, model
        shelf = self._shelves.get(key)
        if shelf is None and make and self.room:
            shelf = self._shelves[key] = Shelf(0)
            while len(self._shelves) > TENANTS:
                self._shelves.popitem(last=False)
            self._resize()
        if shelf is not None:
            self._shelves.move_to_end(key)
        return shelf

    def _resize(self) -> None:
        part = self._part()
        for shelf in self._shelves.values():
            shelf.room = part
            while shelf.used > part:
                shelf._evict()

    def get(self, tenant: Hashable, model: str, key: Hashable) -> object | None:
        """What is kept, or None."""
        shelf = self._shelf(tenant, model, False)
        return shelf.get(key) if shelf is not None else None

    def add(self, tenant: Hashable, model: str, key: Hashable, value: object, size: int) -> None:
        """Keep it, unless this version is not in the list any more."""
        if model and (not self.models or model in self.models):
            shelf = self._shelf(tenant, model, True)
            if shelf is not None:
                shelf.add(key, value, size)

    def serve(self, models: frozenset[str]) -> int:
        """The versions that the list has now; what is kept of others goes, whole. Entries that went."""
        self.models = models
        gone = [k for k in self._shelves if models and k[1] not in models]
        count = sum(len(self._shelves.pop(k)) for k in gone)
        if gone:
            self._resize()
        return count

    @property
    def used(self) -> int:
        """Bytes."""
        return sum(s.used for s in self._shelves.values())
