"""Versions of the list of engines: immutable, numbered, with a digest; and what lies between two of them."""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash
from immutables import Map

from myrtlehub.config.sheets import EngineRow
from myrtlehub.membership.rows import served


class Version(NamedTuple):
    """One whole list. `engines` maps address to row; two versions share what they have in common."""

    number: int
    engines: Map
    source: str
    digest: str
    taken_at: float  # seconds, on the node's clock
    old: bool = False  # from the store, as no source had a good one at the start


class Difference(NamedTuple):
    """What changed from one version to the next, by address; a row is the newer one."""

    added: tuple[EngineRow, ...] = ()
    gone: tuple[EngineRow, ...] = ()  # as they were
    draining: tuple[EngineRow, ...] = ()
    changed: tuple[tuple[EngineRow, tuple[str, ...]], ...] = ()  # and which fields

    def __bool__(self) -> bool:
        return any(self)

    def rows(self) -> list[EngineRow]:
        """The change as rows: what is gone says so."""
        return [
            *self.added,
            *self.draining,
            *(row for row, _ in self.changed),
            *(row.having(state="gone") for row in self.gone),
        ]


def digest_of(rows: Iterable[EngineRow]) -> str:
    """Of the content alone: the order of rows and of files does not count."""
    figures = sorted(served(r).figures for r in rows if r.state != "gone")
    return xxhash.xxh3_128_hexdigest(repr(figures).encode())


def make(
    number: int, rows: Iterable[EngineRow], source: str, now: float, old: bool = False, digest: str = ""
) -> Version:
    """A version of these rows; `digest`, where it is known already."""
    rows = [served(r) for r in rows if r.state != "gone"]
    return Version(number, Map({r.address: r for r in rows}), source, digest or digest_of(rows), now, old)


def difference(before: Map, after: Map) -> Difference:
    """What to tell so that `before` becomes `after`; in the order of addresses, the same at every node."""
    added, draining, changed = [], [], []
    names, old, new = EngineRow.FIGURES, dict(before), dict(after)
    for address in sorted(new):
        row, was = new[address], old.get(address)
        if was is None:
            added.append(row)
        elif row is not was and row.figures != was.figures:
            x, y = row.figures, was.figures
            fields = tuple([names[i] for i in range(len(names)) if x[i] != y[i]])
            if fields == ("state",) and row.state == "draining":
                draining.append(row)
            else:
                changed.append((row, fields))
    gone = [old[address] for address in sorted(old.keys() - new.keys())]
    return Difference(tuple(added), tuple(gone), tuple(draining), tuple(changed))
