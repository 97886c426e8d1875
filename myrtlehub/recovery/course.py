"""What becomes of a sequence that was taken over. Pure.

Decided by its kind of repeat, by what the engines said to the claim, and by how many tokens its client has.
What is not known for certain to have had no effect counts as having run.
"""

from typing import NamedTuple

from myrtlehub.recovery import fence
from myrtlehub.recovery.records import ONCE_ONLY, REPEATABLE, Intent

ATTACH, HELD, AGAIN, ABORT, REJECT = "attach", "held", "again", "abort", "reject"


class Standing(NamedTuple):
    """What one engine said of one attempt."""

    intent: Intent
    says: str  # a word of `fence`
    tokens: int = 0  # made so far
    first: int = 0  # the first of them that it still has


class Doing(NamedTuple):
    """What to do, and where."""

    do: str
    engine: str = ""
    number: int = -1  # of the attempt
    why: str = ""
    ran: Intent | None = None  # the first attempt that may have had its effect, where the sequence goes again


GOES_ON = (fence.WAITING, fence.WRITING, fence.ENDED)
HARMLESS = (fence.NEVER, fence.REFUSED, fence.READING, fence.HELD)


def may_have_run(s: Standing) -> bool:
    """Whether this attempt may have had an effect, or still can. Reads have none."""
    return not s.intent.reads and s.says not in HARMLESS


def decide(repeats: str, standings: list[Standing], seen: int, whole: bool = True) -> Doing:
    """What to do for a client that has `seen` tokens.

    `whole`: the record is known to name all attempts (a keeper had it). Without one, whatever is not
    repeatable may have run.
    """
    writes = [s for s in standings if not s.intent.reads]
    goes_on = [
        s
        for s in writes
        if s.says in GOES_ON
        and s.first <= seen <= max(seen, s.tokens)
        and not (s.says == fence.ENDED and s.tokens < seen)
    ]
    if goes_on:
        # Of two answers the client goes on with the one that it has begun with: the later attempt, as no
        # attempt is sent beside one that streams.
        best = max(goes_on, key=lambda s: (s.says != fence.WAITING, s.intent.number))
        return Doing(ATTACH, best.intent.engine, best.intent.number)
    ran = next((s.intent for s in sorted(writes, key=lambda s: s.intent.number) if may_have_run(s)), None)
    if not whole and (seen or repeats != REPEATABLE):
        return Doing(ABORT, why="no keeper knows what was sent for it")
    if seen:
        return Doing(ABORT, why="the writer of what was begun is gone, and no other goes on with its text")
    if ran is not None and repeats == ONCE_ONLY:
        return Doing(ABORT, why=f"attempt {ran.number} may have run at {ran.engine}")
    held = [s for s in standings if s.intent.reads and s.says == fence.HELD]
    if held:
        return Doing(HELD, held[-1].intent.engine, held[-1].intent.number, ran=ran)
    return Doing(AGAIN, ran=ran)
