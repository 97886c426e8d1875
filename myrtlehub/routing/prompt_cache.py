"""A table of the prompt tokens that one engine is estimated to have cached."""

from typing import NamedTuple

from myrtlehub.routing.contract import Arrival


class CacheEntry(NamedTuple):
    """An estimate of cached prompt tokens, with the time in seconds of its last confirmation."""

    tokens: float
    seen_at: float


NO_ENTRY = CacheEntry(0.0, 0.0)


class CacheBounds(NamedTuple):
    """Limits on the age and number of the entries of a `PromptCache`."""

    fresh_time: float  # seconds for which an entry counts fully; it fades to nothing in as many more
    max_entries: int


class PromptCache:
    """The cache entries of one engine, least recently confirmed first.

    An entry is keyed by the session of a prompt or by the negated number of its shared prefix, so that
    one table has both.
    """

    __slots__ = ("bounds", "entries")

    def __init__(self, bounds: CacheBounds) -> None:
        self.bounds = bounds
        self.entries: dict[int, CacheEntry] = {}

    def find(self, arrival: Arrival, now: float) -> CacheEntry:
        """Return the larger of the entries for a prompt's session and prefix, or `NO_ENTRY`.

        The returned tokens are reduced by age and limited to the tokens that the prompt can share.
        """
        entries = self.entries
        best = NO_ENTRY
        if not entries:
            return best
        fresh_time = self.bounds.fresh_time
        for key, max_tokens in (
            (arrival.session, arrival.prompt_tokens),
            (-arrival.prefix, arrival.shared_tokens),
        ):
            if not key or key not in entries:
                continue
            tokens, seen_at = entries[key]
            remaining = min(1.0, max(0.0, 1.0 - (now - seen_at - fresh_time) / fresh_time))
            tokens = min(tokens, max_tokens) * remaining
            if tokens > best.tokens:
                best = CacheEntry(tokens, seen_at)
        return best

    def add(self, arrival: Arrival, now: float) -> None:
        """Record that the engine reads a prompt, and evict entries that have faded or exceed the limit."""
        entries = self.entries
        for key, tokens in (
            (arrival.session, arrival.prompt_tokens),
            (-arrival.prefix, arrival.shared_tokens),
        ):
            if key:
                entries.pop(key, None)  # so that the new entry is the last
                entries[key] = CacheEntry(tokens, now)
        faded_before = now - 2.0 * self.bounds.fresh_time
        while entries:
            oldest = next(iter(entries))
            if len(entries) <= self.bounds.max_entries and entries[oldest].seen_at >= faded_before:
                break
            del entries[oldest]

    def drop_until(self, seen_at: float) -> None:
        """Drop the entries last confirmed at or before a time."""
        self.entries = {key: entry for key, entry in self.entries.items() if entry.seen_at > seen_at}

    def clear(self) -> None:
        """Drop all entries."""
        self.entries = {}
