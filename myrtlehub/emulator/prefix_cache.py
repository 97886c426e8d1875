"""The prefix cache of an emulated engine, with LRU eviction."""

from collections import OrderedDict
from typing import NamedTuple

from myrtlehub.emulator.machine import Task


class PrefixCache:
    """The cached tokens of sessions and of shared prefixes; `capacity` is in tokens."""

    def __init__(self, capacity: float) -> None:
        self._capacity = capacity
        self._tokens_by_key: OrderedDict[str, float] = OrderedDict()

    def count_cached_tokens(self, task: Task) -> float:
        """Return how many tokens of a prompt are cached: at most all but one, which always has to be read."""
        cached_tokens = 0.0
        for key, usable_tokens in _prefixes_of(task):
            if key in self._tokens_by_key:
                self._tokens_by_key.move_to_end(key)
                cached_tokens = max(cached_tokens, min(self._tokens_by_key[key], usable_tokens))
        return min(cached_tokens, max(0.0, task.prompt_tokens - 1.0))

    def store(self, task: Task) -> None:
        """Cache the prefixes of a prompt that was read."""
        for key, tokens in _prefixes_of(task):
            if tokens:
                self._tokens_by_key.pop(key, None)
                self._tokens_by_key[key] = tokens
        while sum(self._tokens_by_key.values()) > self._capacity and self._tokens_by_key:
            self._tokens_by_key.popitem(last=False)

    def clear(self) -> None:
        """Evict all prefixes."""
        self._tokens_by_key.clear()


class _Prefix(NamedTuple):
    key: str
    tokens: float


def _prefixes_of(task: Task) -> list[_Prefix]:
    """Return the cacheable prefixes of a prompt: that of its session and the shared one."""
    prefixes = []
    if task.session:
        prefixes.append(_Prefix(f"s:{task.session}", task.prompt_tokens))
    if task.prefix:
        prefixes.append(_Prefix(f"p:{task.prefix}", task.shared_tokens))
    return prefixes
