"""Where the list of engines comes from: one interface for the static section, pushes, and sources to come.

A source hands rows to a taker as they are: the whole list, or a change to it. It does not look at what they
mean; who takes them does (`node.host.Host.list_news`).
"""

from collections.abc import Callable, Sequence
from typing import Protocol

from myrtlehub.config.sheets import EngineRow

# Rows, whether they are the whole list, the version's number (0: the taker counts) and its digest.
Taker = Callable[[list[EngineRow], bool, int, str], None]


class ListSource(Protocol):
    """What a node asks of a source."""

    def follow(self, take: Taker) -> None:
        """Hand over the whole list, once it is known, and from then on each change."""

    def reread(self) -> None:
        """Hand over the whole list again."""


class StaticList:
    """The static section of a node's file; where the file allows pushes, they change what it says."""

    def __init__(self, rows: Sequence[EngineRow]) -> None:
        self._rows = {row.address: row for row in rows}
        self._take: Taker = lambda rows, whole, number, digest: None

    def follow(self, take: Taker) -> None:
        self._take = take
        self.reread()

    def reread(self) -> None:
        self._take(list(self._rows.values()), True, 0, "")

    def rows(self, instead: Sequence[EngineRow] | None = None) -> list[EngineRow]:
        """The list as it stands. `instead`: a file's section that takes its place, where nothing is
        pushed.
        """
        if instead is not None:
            self._rows = {row.address: row for row in instead}
        return list(self._rows.values())

    def push(self, rows: Sequence[EngineRow], whole: bool) -> None:
        """News from outside, as it stands from now on."""
        if whole:
            self._rows.clear()
        self._rows.update((row.address, row) for row in rows)
        for address in [a for a, r in self._rows.items() if r.state == "gone"]:
            del self._rows[address]
        self._take(list(rows), whole, 0, "")
