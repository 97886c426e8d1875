"""The prefix cache estimate: which prompt tokens each engine is believed to have cached.

Where this node knows nothing of a prompt, affinity stands in: an order of readers by prefix that is the same
at every node, so that a prefix is cached at few readers.
"""

from myrtlehub.routing.contract import Arrival
from myrtlehub.routing.prompt_cache import CacheBounds
from myrtlehub.routing.records import Affinity, Attempt, Engine, Sequence
from myrtlehub.routing.statistics import MovingAverages, rendezvous_weight

CACHE_BOUNDS = CacheBounds(
    fresh_time=30.0,  # seconds for which an entry counts in full, and over which it then fades away
    max_entries=4000,  # sessions and prefixes for each engine
)
MIN_TOKENS = 64.0  # of an entry from which what an engine reports tells whether it was right
VOID_SHARE = 0.5  # of an entry: an engine that has less of it has lost all older ones too
AFFINITY_READERS = 6  # at which a prefix is cached first of all
HIT_SHARES = (0.5, 0.3, 0.0)  # of a prompt that readers have cached, by affinity, until some were seen
HIT_WEIGHT = 0.1  # of one read in the average of its affinity


def affinity_key(sequence: Sequence) -> int:
    """Return what a prompt has in common with others: a prefix, else its session, else nothing."""
    arrival = sequence.arrival
    return arrival.prefix or arrival.session or int(sequence.slow_start_draw * 2**40)


def rank_affinity(session: int, readers: list[Engine], weights: list[int]) -> dict[Engine, Affinity]:
    """Return the affinity of the first readers by weight for a prefix, and of the first of each cell."""
    ranked = [readers[place] for place in sorted(range(len(readers)), key=lambda place: -weights[place])]
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
    """Shares of prompts that readers have lately had cached, by affinity."""

    def __init__(self) -> None:
        self._averages = MovingAverages()

    def likely_tokens(self, arrival: Arrival) -> list[float]:
        """Return by affinity the tokens that a reader should have cached where nothing is known of it."""
        if not arrival.shared_tokens:
            return [0.0 for _ in Affinity]
        shares = [self._averages.get(affinity, HIT_SHARES[affinity]) for affinity in Affinity]
        return [share * arrival.prompt_tokens for share in shares]

    def succeeded(self, sequence: Sequence, attempt: Attempt, now: float) -> None:
        """Learn what an engine had cached of a prompt that it read, or wrote an answer to."""
        arrival = sequence.arrival
        is_known = attempt.cached.tokens >= MIN_TOKENS
        if attempt.is_read and not is_known and arrival.shared_tokens:
            share = attempt.cached_tokens / arrival.prompt_tokens
            self._averages.observe(attempt.affinity, share, HIT_WEIGHT)
        if attempt.fetches_state:
            return  # a fetched state is not cached for the next prompt
        if is_known and attempt.cached_tokens < VOID_SHARE * attempt.cached.tokens:
            # a flush, a restart or eviction: what was seen then is gone, and all that is older
            attempt.engine.cache.drop_until(attempt.cached.seen_at)
        attempt.engine.cache.add(arrival, now)
