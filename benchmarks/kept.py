"""Kept results: hit share and cost of three published ways, side by side on the same draws. Simulated.

S3-FIFO is what the node uses (`batching/result_cache.py`). LRU and W-TinyLFU (Einziger, Friedman, Manes, "TinyLFU: a
highly efficient cache admission policy", 2017; a window of one per cent, a segmented main part, a count-min
sketch that is halved as it ages) are written here for the comparison. `python benchmarks/kept.py`.
"""

import time
from collections import OrderedDict
from collections.abc import Iterator
from random import Random

import click

from myrtlehub.batching.result_cache import S3FifoCache

ROOM = 2000  # entries, all of one size


class Lru:
    """The plain one."""

    def __init__(self) -> None:
        self.rows: OrderedDict = OrderedDict()

    def ask(self, key: int) -> bool:
        if key in self.rows:
            self.rows.move_to_end(key)
            return True
        self.rows[key] = None
        if len(self.rows) > ROOM:
            self.rows.popitem(last=False)
        return False


class Sketch:
    """Count-min, four rows of small counters, halved every ten times the room."""

    def __init__(self, width: int) -> None:
        self.width, self.rows, self.count = width, [bytearray(width) for _ in range(4)], 0

    def places(self, key: int) -> Iterator[tuple[bytearray, int]]:
        for i, row in enumerate(self.rows):
            yield row, hash((key, i)) % self.width

    def add(self, key: int) -> None:
        for row, at in self.places(key):
            row[at] = min(15, row[at] + 1)
        self.count += 1
        if self.count >= 10 * ROOM:
            self.count //= 2
            for row in self.rows:
                for i, n in enumerate(row):
                    row[i] = n >> 1

    def often(self, key: int) -> int:
        return min(row[at] for row, at in self.places(key))


class TinyLfu:
    """A window, then admission by frequency into a segmented main part."""

    def __init__(self) -> None:
        self.window: OrderedDict = OrderedDict()
        self.probation: OrderedDict = OrderedDict()
        self.protected: OrderedDict = OrderedDict()
        self.sketch = Sketch(4 * ROOM)
        self.most_window = max(1, ROOM // 100)
        self.most_protected = int(0.8 * (ROOM - self.most_window))

    def ask(self, key: int) -> bool:
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
            if len(self.protected) > self.most_protected:
                self.probation[self.protected.popitem(last=False)[0]] = None
            return True
        self.window[key] = None
        if len(self.window) > self.most_window:
            candidate = self.window.popitem(last=False)[0]
            if len(self.probation) + len(self.protected) < ROOM - self.most_window:
                self.probation[candidate] = None
            elif self.probation:
                victim = next(iter(self.probation))
                if self.sketch.often(candidate) > self.sketch.often(victim):
                    del self.probation[victim]
                    self.probation[candidate] = None
        return False


class S3Fifo:
    """Ours."""

    def __init__(self) -> None:
        self.cache = S3FifoCache(ROOM * 10)

    def ask(self, key: int) -> bool:
        if self.cache.get(key) is not None:
            return True
        self.cache.add(key, True, 10)
        return False


def draws(kind: str, count: int, random: Random) -> list[tuple[int, bool]]:
    """Keys, and whether they count: a flood's own do not."""
    zipf = [1.0 / (i + 1) ** 0.9 for i in range(40_000)]
    keys = random.choices(range(len(zipf)), zipf, k=count)
    if kind == "zipf":
        return [(k, True) for k in keys]
    out = []
    for i, k in enumerate(keys):
        if kind == "flood, four for one":
            out += [(10**6 + 4 * i + j, False) for j in range(4)]
        elif kind == "flood in one go, at half" and i == count // 2:
            out += [(10**7 + j, False) for j in range(20 * ROOM)]
        elif kind == "drift" and i % 20_000 == 0:
            shift = i
        out.append((k + (shift if kind == "drift" else 0), True))
    return out


@click.command()
@click.option("--count", default=150_000)
@click.option("--seeds", default=3)
def main(count: int, seeds: int) -> None:
    """Print hit shares and microseconds an ask."""
    click.echo(f"room for {ROOM} of 40,000 keys, {count:,} asks, mean of {seeds} seeds (simulated)")
    for kind in ("zipf", "flood, four for one", "flood in one go, at half", "drift"):
        said = []
        for way in (Lru, TinyLfu, S3Fifo):
            hits = asked = total = 0
            took = 0.0
            for seed in range(seeds):
                cache, stream = way(), draws(kind, count, Random(seed))
                at = time.perf_counter()
                results = [cache.ask(k) for k, _ in stream]
                took += time.perf_counter() - at
                hits += sum(r for r, (_, counts) in zip(results, stream, strict=True) if counts)
                asked += sum(counts for _, counts in stream)
                total += len(stream)
            said.append(f"{way.__name__} {hits / asked:.3f} ({took / total * 1e6:.2f} us)")
        click.echo(f"{kind:<26} " + ", ".join(said))


if __name__ == "__main__":
    main()
