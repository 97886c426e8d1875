"""What a node's keepers know of a sequence that it has in hand, and who may change that. Pure.

A record names every engine to which the sequence may have been sent: where a repeat could do harm, the intent
to send is with all keepers before the send. A claim raises the record's epoch; from then on its keeper takes
nothing any more from whoever had it before, so that an owner that was only paused adds no engine that the new
one does not know of.

The argument for *once* rests on two things that each hold for themselves: every engine that any owner of a
lower epoch may send to is in the record of every keeper that may hand it out; and an engine that was claimed
refuses whatever comes by a lower claim (`fence`). So what earlier owners did has shown itself in the answers
to the claim, or can't happen any more.
"""

from typing import NamedTuple

REPEATABLE, TOKENED, ONCE_ONLY = "repeatable", "tokened", "once-only"
KEPT, SUPERSEDED, FULL = "kept", "superseded", "full"  # words of a keeper


class Claim(NamedTuple):
    """Who has a sequence: the higher one, by number and then by name, has it. Names are a node's and its
    process's, so that a node that came back is another owner than before.
    """

    epoch: int
    owner: str


NOBODY = Claim(0, "")


class Intent(NamedTuple):
    """An attempt that may have been sent."""

    number: int
    engine: str
    reads: bool
    at: float  # seconds on the clock of whoever holds the record


class Record(NamedTuple):
    """A sequence in hand, as a keeper has it. Times are seconds on the keeper's clock."""

    sequence: str
    claim: Claim
    repeats: str
    until: float  # abandon time; an answer that has begun may take longer
    intents: tuple[Intent, ...] = ()
    streams: bool = False  # its answer has begun


def kept(held: Record | None, told: Record) -> tuple[Record, str]:
    """A record that its owner tells, whole each time: the one to hold from now on, and the word for the
    owner.

    Told late or twice it takes nothing away: intents are only ever added.
    """
    if held is None:
        return told, KEPT
    if told.claim < held.claim:
        return held, SUPERSEDED
    both = {i.number: i for i in (*told.intents, *held.intents)}
    intents = tuple(both[n] for n in sorted(both))
    return told._replace(intents=intents, streams=held.streams or told.streams), KEPT


def ended(held: Record | None, claim: Claim) -> tuple[Record | None, str]:
    """Its owner has given the final answer: nothing is kept of it any more."""
    if held is not None and claim < held.claim:
        return held, SUPERSEDED
    return None, KEPT


def taken(held: Record, by: str, least: int = 0) -> Record:
    """Another node takes it over: the record as it has it from now on, by a claim above all before."""
    return held._replace(claim=Claim(max(held.claim.epoch, least) + 1, by))


def joined(found: list[Record]) -> Record:
    """What several keepers have of one sequence, as one record with the highest claim."""
    first = max(found, key=lambda r: r.claim)
    both = {i.number: i for r in found for i in r.intents}
    return first._replace(intents=tuple(both[n] for n in sorted(both)), streams=any(r.streams for r in found))


class Book:
    """All records that one keeper holds for other nodes, bounded in count.

    Where there is no room, what is worth least to know gives way: repeatable sequences of which nothing has
    streamed (their clients ask anew), then other repeatable ones, tokened, once-only; the oldest first. What
    was taken over never does: this keeper would take word of it from its former owner.
    """

    def __init__(self, most: int) -> None:
        self.most = most
        self.records: dict[str, Record] = {}
        self.dropped = 0  # that gave way, since the start

    def keep(self, told: Record) -> str:
        """A record from its owner; the word for it."""
        held = self.records.get(told.sequence)
        if held is None and len(self.records) >= self.most and not self._give_way(told):
            return FULL
        self.records[told.sequence], word = kept(held, told)
        return word

    def end(self, sequence: str, claim: Claim) -> str:
        """The owner has answered."""
        record, word = ended(self.records.get(sequence), claim)
        if record is None:
            self.records.pop(sequence, None)
        return word

    def take(self, sequence: str, by: str, least: int = 0) -> Record | None:
        """Hand a record out to a node that takes its sequence over; None where there is none."""
        held = self.records.get(sequence)
        if held is None:
            return None
        self.records[sequence] = held = taken(held, by, least)
        return held

    def of(self, owner: str) -> list[Record]:
        """All records of one owner, the one with the least time left first."""
        return sorted((r for r in self.records.values() if r.claim.owner == owner), key=lambda r: r.until)

    def overdue(self, now: float) -> list[str]:
        """Drop what nobody can be asking for any more; the sequences dropped."""
        gone = [r.sequence for r in self.records.values() if now >= r.until]
        for sequence in gone:
            del self.records[sequence]
        return gone

    def _give_way(self, told: Record) -> bool:
        """Make room for a record, if one that is worth no more is held."""
        free = [(_worth(r), i, r.sequence) for i, r in enumerate(self.records.values()) if r.claim.epoch <= 1]
        if not free or min(free)[0] > _worth(told):
            return False
        del self.records[min(free)[2]]
        self.dropped += 1
        return True


def _worth(r: Record) -> tuple[int, bool]:
    return (REPEATABLE, TOKENED, ONCE_ONLY).index(r.repeats), r.streams
