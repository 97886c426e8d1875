"""Prefix cache estimates: how many prompt tokens each engine has cached.

Where this node has no entry for a prompt, an estimate comes from affinity: all nodes rank the readers of a
prefix in the same order, so that each prefix is cached at few readers.
"""

from myrtlehub.routing.contract import Arrival
from myrtlehub.routing.prompt_cache import CacheBounds
from myrtlehub.routing.records import Affinity, Attempt, Engine, Sequence
from myrtlehub.routing.statistics import MovingAverages, rendezvous_weight

CACHE_BOUNDS = CacheBounds(
    freshness_lifetime=30.0,  # seconds; 10 and 120 scored alike within noise
    max_entries=4000,  # sessions and prefixes per engine, which bounds the memory of a node
)
# An entry of fewer tokens is not compared with the cached tokens that its engine reports.
MIN_CONFIRMED_TOKENS = 64.0
# If an engine reports less than this share of an entry's tokens, its cache was flushed or evicted, or it has
# restarted: all older entries are then dropped too.
MIN_CONFIRMED_SHARE = 0.5
AFFINITY_READERS = 6  # readers that cache a prefix: more of them spread its load, fewer raise its hit rate
INITIAL_HIT_SHARES = (0.5, 0.3, 0.0)  # assumed by affinity before any reads were observed
HIT_WEIGHT = 0.1  # weight of one read in the average hit share of its affinity
SESSION_DRAW_KEYS = 2**40  # range of random affinity keys, for prompts without prefix and session


def affinity_key(sequence: Sequence) -> int:
    """Return the key by which readers are ranked: a prompt's prefix, else its session, else a random one."""
    arrival = sequence.arrival
    return arrival.prefix or arrival.session or int(sequence.slow_start_draw * SESSION_DRAW_KEYS)


def rank_affinity(session: int, readers: list[Engine], weights: list[int]) -> dict[Engine, Affinity]:
    """Return the readers nearer than `Affinity.OTHER`: the highest-ranked of all, and of each cell.

    Args:
        session: The session of the prompt, which selects its home among the highest-ranked readers.
        readers: The usable readers.
        weights: Their ranks for the prompt's affinity key; the highest comes first.
    """
    order = sorted(range(len(readers)), key=lambda place: -weights[place])
    ranked = [readers[place] for place in order]
    first_of_cell: dict[int, Engine] = {}
    for reader in ranked:
        first_of_cell.setdefault(reader.cell, reader)
    nearest = ranked[:AFFINITY_READERS]
    affinity = dict.fromkeys([*first_of_cell.values(), *nearest], Affinity.NEAR)
    if nearest:
        home = max(nearest, key=lambda reader: rendezvous_weight(session, reader.hash_seed))
        affinity[home] = Affinity.HOME
    return affinity


class HitRates:
    """The average share of a prompt that a reader has cached, by affinity."""

    def __init__(self) -> None:
        self._averages = MovingAverages()

    def estimated_tokens(self, arrival: Arrival) -> list[float]:
        """Return, by affinity, the prompt tokens expected to be cached at a reader without an entry."""
        if not arrival.shared_tokens:
            return [0.0 for _ in Affinity]
        shares = [self._averages.get(affinity, INITIAL_HIT_SHARES[affinity]) for affinity in Affinity]
        return [share * arrival.prompt_tokens for share in shares]

    def observe_success(self, sequence: Sequence, attempt: Attempt, now: float) -> None:
        """Update the hit rates and the engine's cache entries from the cached tokens that it reported."""
        arrival = sequence.arrival
        had_entry = attempt.cached.tokens >= MIN_CONFIRMED_TOKENS
        if attempt.is_read and not had_entry and arrival.shared_tokens:
            share = attempt.cached_tokens / arrival.prompt_tokens
            self._averages.observe(attempt.affinity, share, HIT_WEIGHT)
        if attempt.fetches_state:
            return  # engines cache the prompts that they read, and not the states that they fetch
        if had_entry and attempt.cached_tokens < MIN_CONFIRMED_SHARE * attempt.cached.tokens:
            attempt.engine.cache.invalidate_until(attempt.cached.confirmed_at)
        attempt.engine.cache.add(arrival, now)
