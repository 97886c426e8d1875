"""How a row of the list is read, whatever kind of row it is; needs nothing else of the program."""

from typing import Protocol, Self


class Row(Protocol):
    """What a row of any source has; `figures` are its fields from address to model, in their order."""

    address: str
    kind: str
    weight: float
    state: str

    @property
    def figures(self) -> tuple:
        """All of it."""

    def having(self, **figures: object) -> Self:
        """The same with some figures replaced."""


def served(row: Row) -> Row:
    """A row as it is routed by: an engine of weight 0 drains."""
    if row.weight == 0.0 and row.state == "serving":
        return row.having(state="draining")
    return row
