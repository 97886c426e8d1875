"""The prefix cache of an emulated engine: least recently used prefixes are evicted."""

from collections import OrderedDict
from typing import NamedTuple

from myrtlehub.emulator.machine import Task


class PrefixCache:
    """Cached tokens by session and by shared prefix."""

    def __init__(self, capacity: float) -> None:
        self._capacity = capacity
        self._tokens: OrderedDict[str, float] = OrderedDict()

    def find(self, task: Task) -> float:
        """Return the cached tokens of a prompt; at least one token is always read anew."""
        best = 0.0
        for name, usable in _prefixes_of(task):
            if name in self._tokens:
                self._tokens.move_to_end(name)
                best = max(best, min(self._tokens[name], usable))
        return min(best, max(0.0, task.prompt - 1.0))

    def store(self, task: Task) -> None:
        """Cache a prompt that was read."""
        for name, tokens in _prefixes_of(task):
            if tokens:
                self._tokens.pop(name, None)
                self._tokens[name] = tokens
        while sum(self._tokens.values()) > self._capacity and self._tokens:
            self._tokens.popitem(last=False)

    def clear(self) -> None:
        """Forget everything."""
        self._tokens.clear()


class _Prefix(NamedTuple):
    name: str
    tokens: float


def _prefixes_of(task: Task) -> list[_Prefix]:
    """Return the prefixes by which a prompt is cached: its session and its shared prefix."""
    prefixes = []
    if task.session:
        prefixes.append(_Prefix(f"s:{task.session}", task.prompt))
    if task.prefix:
        prefixes.append(_Prefix(f"p:{task.prefix}", task.shared_tokens))
    return prefixes
