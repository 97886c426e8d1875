"""What one engine is believed to have cached: a bounded table of sessions and shared prefixes."""

from typing import NamedTuple

from myrtlehub.routing.contract import Arrival


class CacheEntry(NamedTuple):
    """Prompt tokens that an engine should have cached, and when that was last seen."""

    tokens: float
    seen_at: float


NO_ENTRY = CacheEntry(0.0, 0.0)


class CacheBounds(NamedTuple):
    """How long entries count, and how many there are at most."""

    fresh_time: float  # seconds for which an entry counts in full, and over which it then fades away
    max_entries: int


class PromptCache:
    """Entries by session and, negated, by shared prefix; the one seen last is at the end."""

    __slots__ = ("bounds", "entries")

    def __init__(self, bounds: CacheBounds) -> None:
        self.bounds = bounds
        self.entries: dict[int, CacheEntry] = {}

    def find(self, arrival: Arrival, now: float) -> CacheEntry:
        """Return what should be cached of a prompt, by its session or its prefix."""
        entries = self.entries
        best = NO_ENTRY
        if not entries:
            return best
        fresh_time = self.bounds.fresh_time
        for key, most in ((arrival.session, arrival.prompt_tokens), (-arrival.prefix, arrival.shared_tokens)):
            if not key or key not in entries:
                continue
            tokens, seen_at = entries[key]
            tokens = min(tokens, most) * min(1.0, max(0.0, 1.0 - (now - seen_at - fresh_time) / fresh_time))
            if tokens > best.tokens:
                best = CacheEntry(tokens, seen_at)
        return best

    def add(self, arrival: Arrival, now: float) -> None:
        """Take note that a prompt is read, and drop what is too old or too much."""
        entries = self.entries
        for key, tokens in (
            (arrival.session, arrival.prompt_tokens),
            (-arrival.prefix, arrival.shared_tokens),
        ):
            if key:
                entries.pop(key, None)
                entries[key] = CacheEntry(tokens, now)
        # entries that have faded away count for nothing
        seen_before = now - 2.0 * self.bounds.fresh_time
        while entries:
            oldest = next(iter(entries))
            if len(entries) <= self.bounds.max_entries and entries[oldest].seen_at >= seen_before:
                break
            del entries[oldest]

    def drop_until(self, seen_at: float) -> None:
        """Drop what was not seen after a time."""
        self.entries = {key: entry for key, entry in self.entries.items() if entry.seen_at > seen_at}

    def clear(self) -> None:
        """Drop all."""
        self.entries = {}
