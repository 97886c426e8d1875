"""Prefix cache estimates: how many tokens of a prompt each engine has cached.

Without a cache entry, the estimate depends on the affinity of a reader: all nodes rank the readers of a
prefix in the same order, so that each prefix is cached at few readers.
"""

from myrtlehub.routing.contract import Arrival
from myrtlehub.routing.prompt_cache import CacheBounds
from myrtlehub.routing.records import Affinity, Attempt, Engine, Sequence
from myrtlehub.routing.statistics import MovingAverages, rendezvous_weight

CACHE_BOUNDS = CacheBounds(
    freshness_lifetime=30.0,  # seconds; 10 and 120 have the same effect within noise
    max_entries=4000,  # sessions and prefixes per engine; bounds the memory of a node
)
# Entries of fewer tokens are not compared with the cached tokens that the engine reports.
MIN_CONFIRMED_TOKENS = 64.0
# If an engine reports less than this share of an entry's tokens, its cache was flushed or evicted, or the
# engine has restarted, so all older entries are removed too.
MIN_CONFIRMED_SHARE = 0.5
# Number of readers that cache a prefix: more spread its load, fewer increase its hit rate.
AFFINITY_READER_COUNT = 6
INITIAL_HIT_SHARES = (0.5, 0.3, 0.0)  # by affinity, before any read was observed
HIT_WEIGHT = 0.1  # weight of one read in the average of its affinity
RANDOM_KEY_RANGE = 2**40  # range of the affinity keys of prompts without prefix and session


def affinity_key(sequence: Sequence) -> int:
    """Return the key by which readers are ranked: the prefix of a prompt, its session or a random number."""
    arrival = sequence.arrival
    return arrival.prefix or arrival.session or int(sequence.slow_start_draw * RANDOM_KEY_RANGE)


def affinity_by_reader(session: int, readers: list[Engine], weights: list[int]) -> dict[Engine, Affinity]:
    """Return the affinity of the top-ranked readers overall and in each cell; all others have OTHER.

    Args:
        session: The session of the prompt, which selects its HOME among the top-ranked readers.
        readers: The usable readers.
        weights: Their rendezvous weights for the affinity key of the prompt.
    """
    order = sorted(range(len(readers)), key=lambda index: -weights[index])
    ranked = [readers[index] for index in order]
    top_reader_of_cell: dict[int, Engine] = {}
    for reader in ranked:
        top_reader_of_cell.setdefault(reader.cell, reader)
    top_readers = ranked[:AFFINITY_READER_COUNT]
    affinity = dict.fromkeys([*top_reader_of_cell.values(), *top_readers], Affinity.NEAR)
    if top_readers:
        home = max(top_readers, key=lambda reader: rendezvous_weight(session, reader.hash_seed))
        affinity[home] = Affinity.HOME
    return affinity


class HitRates:
    """The average share of a prompt that readers have cached, by affinity."""

    def __init__(self) -> None:
        self._averages = MovingAverages()

    def expected_cached_tokens(self, arrival: Arrival) -> list[float]:
        """Return by affinity the expected number of cached prompt tokens at a reader without an entry."""
        if not arrival.shared_tokens:
            return [0.0 for _ in Affinity]
        shares = [self._averages.get(affinity, INITIAL_HIT_SHARES[affinity]) for affinity in Affinity]
        return [share * arrival.prompt_tokens for share in shares]

    def record_success(self, sequence: Sequence, attempt: Attempt, now: float) -> None:
        """Update the hit rates and the engine's cache entries from the cached tokens that it reports."""
        arrival = sequence.arrival
        had_entry = attempt.cached.tokens >= MIN_CONFIRMED_TOKENS
        if attempt.is_read and not had_entry and arrival.shared_tokens:
            share = attempt.cached_tokens / arrival.prompt_tokens
            self._averages.observe(attempt.affinity, share, HIT_WEIGHT)
        if attempt.fetches_state:
            return  # engines cache prompts that they read, but not fetched states
        if had_entry and attempt.cached_tokens < MIN_CONFIRMED_SHARE * attempt.cached.tokens:
            attempt.engine.cache.invalidate_until(attempt.cached.confirmed_at)
        attempt.engine.cache.add(arrival, now)
