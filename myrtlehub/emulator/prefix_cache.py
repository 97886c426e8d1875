"""The prefix cache of an emulated engine; it evicts the least recently used prefixes."""

from collections import OrderedDict
from typing import NamedTuple

from myrtlehub.emulator.machine import Task


class PrefixCache:
    """The cached tokens of sessions and of shared prefixes; `capacity` is in tokens."""

    def __init__(self, capacity: float) -> None:
        self._capacity = capacity
        self._tokens: OrderedDict[str, float] = OrderedDict()

    def find(self, task: Task) -> float:
        """Return how many tokens of a prompt are cached; at least one token always has to be read."""
        longest = 0.0
        for name, usable in _prefixes_of(task):
            if name in self._tokens:
                self._tokens.move_to_end(name)
                longest = max(longest, min(self._tokens[name], usable))
        return min(longest, max(0.0, task.prompt - 1.0))

    def store(self, task: Task) -> None:
        """Cache the prefixes of a prompt that was read."""
        for name, tokens in _prefixes_of(task):
            if tokens:
                self._tokens.pop(name, None)
                self._tokens[name] = tokens
        while sum(self._tokens.values()) > self._capacity and self._tokens:
            self._tokens.popitem(last=False)

    def clear(self) -> None:
        """Evict all prefixes."""
        self._tokens.clear()


class _Prefix(NamedTuple):
    name: str
    tokens: float


def _prefixes_of(task: Task) -> list[_Prefix]:
    """Return the prefixes under which a prompt is cached: that of its session and the shared one."""
    prefixes = []
    if task.session:
        prefixes.append(_Prefix(f"s:{task.session}", task.prompt))
    if task.prefix:
        prefixes.append(_Prefix(f"p:{task.prefix}", task.shared_tokens))
    return prefixes
