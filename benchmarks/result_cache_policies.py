"""Result cache: hit rate and CPU cost of three published policies on the same draws. Simulated.

The node uses S3-FIFO (`batching/result_cache.py`). LRU and W-TinyLFU (Einziger, Friedman, Manes,
"TinyLFU: a highly efficient cache admission policy", 2017; a window of one per cent, a segmented main part, a
count-min sketch that is halved as it ages) are written here for the comparison.

    python benchmarks/result_cache_policies.py [--count 150000] [--seeds 3]
"""

import time
from collections import OrderedDict
from collections.abc import Iterator
from random import Random
from typing import Protocol

import click

from myrtlehub.batching.result_cache import S3FifoCache

CAPACITY = 2000  # entries of equal size


class Policy(Protocol):
    """A cache with a replacement policy."""

    def lookup(self, key: int) -> bool:
        """Return whether the key is cached, and insert it if not."""


class Lru:
    """Least recently used."""

    def __init__(self) -> None:
        self.rows: OrderedDict[int, None] = OrderedDict()

    def lookup(self, key: int) -> bool:
        """Return whether the key is cached, and insert it if not."""
        if key in self.rows:
            self.rows.move_to_end(key)
            return True
        self.rows[key] = None
        if len(self.rows) > CAPACITY:
            self.rows.popitem(last=False)
        return False


class CountMinSketch:
    """Count-min: four rows of small counters, halved every ten times the capacity."""

    def __init__(self, width: int) -> None:
        self.width = width
        self.rows = [bytearray(width) for _ in range(4)]
        self.count = 0

    def counters(self, key: int) -> Iterator[tuple[bytearray, int]]:
        """Yield row and index of each counter of a key."""
        for i, row in enumerate(self.rows):
            yield row, hash((key, i)) % self.width

    def add(self, key: int) -> None:
        """Count a key."""
        for row, at in self.counters(key):
            row[at] = min(15, row[at] + 1)
        self.count += 1
        if self.count >= 10 * CAPACITY:
            self.count //= 2
            for row in self.rows:
                for i, n in enumerate(row):
                    row[i] = n >> 1

    def frequency(self, key: int) -> int:
        """Estimate how often a key was counted."""
        return min(row[at] for row, at in self.counters(key))


class TinyLfu:
    """W-TinyLFU: an LRU window, then admission by frequency into a segmented main part."""

    def __init__(self) -> None:
        self.window: OrderedDict[int, None] = OrderedDict()
        self.probation: OrderedDict[int, None] = OrderedDict()
        self.protected: OrderedDict[int, None] = OrderedDict()
        self.sketch = CountMinSketch(4 * CAPACITY)
        self.max_window = max(1, CAPACITY // 100)
        self.max_protected = int(0.8 * (CAPACITY - self.max_window))

    def lookup(self, key: int) -> bool:
        """Return whether the key is cached, and insert it if not."""
        self.sketch.add(key)
        if key in self.window:
            self.window.move_to_end(key)
            return True
        if key in self.protected:
            self.protected.move_to_end(key)
            return True
        if key in self.probation:
            del self.probation[key]
            self.protected[key] = None
            if len(self.protected) > self.max_protected:
                self.probation[self.protected.popitem(last=False)[0]] = None
            return True
        self.window[key] = None
        if len(self.window) > self.max_window:
            candidate = self.window.popitem(last=False)[0]
            if len(self.probation) + len(self.protected) < CAPACITY - self.max_window:
                self.probation[candidate] = None
            elif self.probation:
                victim = next(iter(self.probation))
                if self.sketch.frequency(candidate) > self.sketch.frequency(victim):
                    del self.probation[victim]
                    self.probation[candidate] = None
        return False


class S3Fifo:
    """S3-FIFO, as the node uses it."""

    def __init__(self) -> None:
        self.cache: S3FifoCache[bool] = S3FifoCache(CAPACITY * 10)

    def lookup(self, key: int) -> bool:
        """Return whether the key is cached, and insert it if not."""
        if self.cache.get(key) is not None:
            return True
        self.cache.add(key, True, 10)
        return False


POLICIES: tuple[type[Policy], ...] = (Lru, TinyLfu, S3Fifo)


def draws(kind: str, count: int, random: Random) -> list[tuple[int, bool]]:
    """Draw keys, and whether the lookup of each counts in the hit rate: those of a flood do not."""
    zipf = [1.0 / (i + 1) ** 0.9 for i in range(40_000)]
    keys = random.choices(range(len(zipf)), zipf, k=count)
    if kind == "zipf":
        return [(k, True) for k in keys]
    out = []
    for i, k in enumerate(keys):
        if kind == "flood, four for one":
            out += [(10**6 + 4 * i + j, False) for j in range(4)]
        elif kind == "flood in one go, at half" and i == count // 2:
            out += [(10**7 + j, False) for j in range(20 * CAPACITY)]
        elif kind == "drift" and i % 20_000 == 0:
            shift = i
        out.append((k + (shift if kind == "drift" else 0), True))
    return out


@click.command()
@click.option("--count", default=150_000)
@click.option("--seeds", default=3)
def main(count: int, seeds: int) -> None:
    """Print hit rates and microseconds per lookup."""
    click.echo(f"room for {CAPACITY} of 40,000 keys, {count:,} lookups, mean of {seeds} seeds (simulated)")
    for kind in ("zipf", "flood, four for one", "flood in one go, at half", "drift"):
        columns = []
        for policy in POLICIES:
            hits = requests = total = 0
            took = 0.0
            for seed in range(seeds):
                cache, stream = policy(), draws(kind, count, Random(seed))
                at = time.perf_counter()
                results = [cache.lookup(k) for k, _ in stream]
                took += time.perf_counter() - at
                hits += sum(r for r, (_, counts) in zip(results, stream, strict=True) if counts)
                requests += sum(counts for _, counts in stream)
                total += len(stream)
            columns.append(f"{policy.__name__} {hits / requests:.3f} ({took / total * 1e6:.2f} us)")
        click.echo(f"{kind:<26} " + ", ".join(columns))


if __name__ == "__main__":
    main()
