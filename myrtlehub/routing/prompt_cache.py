"""An estimate of the contents of an engine's prefix cache."""

from typing import NamedTuple

from myrtlehub.routing.contract import Arrival


class CacheEntry(NamedTuple):
    """An estimated number of cached prompt tokens, and the time in seconds when it was last confirmed."""

    tokens: float
    confirmed_at: float


NO_ENTRY = CacheEntry(0.0, 0.0)


class CacheBounds(NamedTuple):
    """The limits on the age and number of entries of a `PromptCache`."""

    freshness_lifetime: float  # seconds at full value; over as many more, the value decreases linearly to 0
    max_entries: int


class PromptCache:
    """The cache entries of one engine, in the order of their last confirmation, oldest first.

    The key of an entry is the session of a prompt, or the negated id of its shared prefix, so that both share
    one dictionary.
    """

    __slots__ = ("bounds", "entries")

    def __init__(self, bounds: CacheBounds) -> None:
        self.bounds = bounds
        self.entries: dict[int, CacheEntry] = {}

    def find(self, arrival: Arrival, now: float) -> CacheEntry:
        """Return the entry for a prompt's session or prefix that has more tokens, or `NO_ENTRY`.

        The number of tokens is reduced according to the entry's age, and limited to the tokens of the prompt
        that the entry can cover.
        """
        entries = self.entries
        best = NO_ENTRY
        if not entries:
            return best
        freshness_lifetime = self.bounds.freshness_lifetime
        for key, max_tokens in (
            (arrival.session, arrival.prompt_tokens),
            (-arrival.prefix, arrival.shared_tokens),
        ):
            if not key or key not in entries:
                continue
            tokens, confirmed_at = entries[key]
            remaining = min(
                1.0, max(0.0, 1.0 - (now - confirmed_at - freshness_lifetime) / freshness_lifetime)
            )
            tokens = min(tokens, max_tokens) * remaining
            if tokens > best.tokens:
                best = CacheEntry(tokens, confirmed_at)
        return best

    def add(self, arrival: Arrival, now: float) -> None:
        """Add entries for a prompt that the engine reads, and evict expired and excess entries."""
        entries = self.entries
        for key, tokens in (
            (arrival.session, arrival.prompt_tokens),
            (-arrival.prefix, arrival.shared_tokens),
        ):
            if key:
                entries.pop(key, None)  # reinserts the key at the end
                entries[key] = CacheEntry(tokens, now)
        expired_before = now - 2.0 * self.bounds.freshness_lifetime
        while entries:
            oldest = next(iter(entries))
            if len(entries) <= self.bounds.max_entries and entries[oldest].confirmed_at >= expired_before:
                break
            del entries[oldest]

    def invalidate_until(self, confirmed_at: float) -> None:
        """Remove the entries that were last confirmed at or before a time."""
        self.entries = {
            key: entry for key, entry in self.entries.items() if entry.confirmed_at > confirmed_at
        }

    def clear(self) -> None:
        """Remove all entries."""
        self.entries = {}
