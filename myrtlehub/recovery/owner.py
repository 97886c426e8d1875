"""An owner's side of a record: what has to be known by whom before an attempt may be sent. Pure.

Where a repeat does no harm, keepers are told beside the send. Otherwise a send waits until all keepers that
were told of the sequence, each still by the same process, have its intent. The very first one may go with
those that answered: a keeper of which no word came has the whole record so far or nothing, and either is
right.
"""

from typing import NamedTuple, Self

from myrtlehub.recovery.records import FULL, REPEATABLE, SUPERSEDED, Intent, Record

GO, WAIT, NEVER = "go", "wait", "never"


class Owned(NamedTuple):
    """One sequence in hand, and what its keepers have said of it."""

    record: Record
    runs: tuple[
        tuple[str, str], ...
    ]  # keepers, and the process that answered there when they were first told
    version: int = 0  # of the record; each intent makes a new one
    has: tuple[int, ...] = ()  # version that each keeper is known to have, -1: none
    unsure: frozenset[str] = frozenset()  # keepers of which nobody knows any more what they have
    superseded: bool = False

    @classmethod
    def begun(cls, record: Record, runs: dict[str, str], taken: bool = False) -> Self:
        """A sequence that this node owns from now on. Where it was taken over no intent is the very first."""
        return cls(record, tuple(sorted(runs.items())), int(taken), (-1,) * len(runs))

    def told_late(self, runs: dict[str, str]) -> Self:
        """Nobody kept word of it so far, and now somebody can: the record has all that was sent, and what
        comes next needs their word.
        """
        return self._replace(runs=tuple(sorted(runs.items())), has=(-1,) * len(runs))

    def intends(self, intent: Intent) -> Self:
        """An attempt is to be sent."""
        record = self.record._replace(intents=(*self.record.intents, intent))
        return self._replace(record=record, version=self.version + 1)

    def heard(self, keeper: str, run: str, version: int, word: str) -> Self:
        """A keeper's word on a version."""
        at = next((i for i, (name, _) in enumerate(self.runs) if name == keeper), -1)
        if at < 0:
            return self
        if word == SUPERSEDED:
            return self._replace(superseded=True)
        if run != self.runs[at][1]:
            return self.unheard(keeper)  # it may have handed the record out before it began anew
        if word == FULL:
            # It has nothing that it could hand out, if it never had.
            return self._without(at) if self.has[at] < 0 else self.unheard(keeper)
        has = max(self.has[at], version)
        return self._replace(has=self.has[:at] + (has,) + self.has[at + 1 :])

    def _without(self, at: int) -> Self:
        return self._replace(
            runs=self.runs[:at] + self.runs[at + 1 :], has=self.has[:at] + self.has[at + 1 :]
        )

    def unheard(self, keeper: str) -> Self:
        """No word came in time, its connection broke, or it is another process now."""
        return self._replace(unsure=self.unsure | {keeper})

    def behind(self) -> list[str]:
        """Keepers that are not known to have the newest version."""
        return [name for (name, _), has in zip(self.runs, self.has, strict=True) if has < self.version]

    def may_send(self) -> str:
        """Whether the newest intent may be carried out: now, not yet, or never."""
        if self.superseded:
            return NEVER
        if self.record.repeats == REPEATABLE:
            return GO
        behind = set(self.behind())
        if self.version <= 1:
            return GO if behind <= self.unsure else WAIT
        return NEVER if behind & self.unsure else WAIT if behind else GO
