"""The lives of an attempt, an answer and a held state, as tables: every event in every state has a result.

They say what is so: what may have run, what is held where, what was answered. What to do next is the
module's.
A table maps (state, event) to (next state,
                                what its owner has to do). An event that cannot come by the contract
has the doing BREACH, which the owner must not pass over; one that may come late has LATE, which changes
nothing.
"""

from typing import NamedTuple

# What the owner does.
NOTHING, LATE, BREACH = "nothing", "late", "breach"
BEGIN, PASS, ANSWER, TELL_RELEASE, KEEP, STOP = "begin", "pass", "answer", "tell release", "keep", "stop"


class Step(NamedTuple):
    """Where an event leads."""

    state: str
    do: str


class Table(NamedTuple):
    """One machine: its first state, its final ones, and all steps."""

    name: str
    first: str
    finals: frozenset[str]
    steps: dict[tuple[str, str], Step]

    def states(self) -> list[str]:
        """All states, in the order of the table."""
        return list(dict.fromkeys(state for state, _ in self.steps))

    def events(self) -> list[str]:
        """All events, in the order of the table."""
        return list(dict.fromkeys(event for _, event in self.steps))

    def holes(self) -> list[tuple[str, str]]:
        """Pairs without a stated result: there may be none."""
        return [(s, e) for s in self.states() for e in self.events() if (s, e) not in self.steps]


def table(name: str, first: str, finals: str, text: str, events: str) -> Table:
    """Rows "state: event event -> next / do; ...", read once at import."""
    steps: dict[tuple[str, str], Step] = {}
    for row in text.strip().splitlines():
        state, rules = (part.strip() for part in row.split(":", 1))
        for rule in rules.split(";"):
            names, result = rule.split("->")
            to, do = (part.strip() for part in result.split("/"))
            for event in names.split():
                if (state, event) in steps:
                    raise ValueError(f"{name}: {state} has two results for {event}")
                steps[state, event] = Step(state if to == "=" else to, do)
    for final in finals.split():
        steps.update(((final, event), Step(final, LATE)) for event in events.split())
    return Table(name, first, frozenset(finals.split()), steps)


# A schedule attempt. What surely had no effect ends in `harmless`; what may have had one in `unknown` or,
# where
# tokens proved it, in `ran`. A read has no effect, however it ends.
ATTEMPT_EVENTS = "tokens read generated full unreached unsent error timeout reset cancelled"
ATTEMPT = table(
    "attempt",
    "writing",
    "harmless unknown ran",
    """
reading: read full unreached unsent error timeout reset cancelled -> harmless / answer; tokens generated -> = / breach
writing: tokens -> streaming / begin; generated -> ran / answer; full unreached unsent -> harmless / answer; error timeout reset cancelled -> unknown / answer; read -> = / breach
streaming: tokens -> = / pass; generated -> ran / answer; full unreached unsent error timeout reset cancelled -> ran / answer; read -> = / breach
""",
    ATTEMPT_EVENTS,
)

# What a client is told. `flowing` is bound to one attempt; from a final state on, nothing is said.
ANSWER_EVENTS = "first more whole broke reject abort leave late"
ANSWER_LIFE = table(
    "answer",
    "owed",
    "generated rejected aborted left",
    """
owed: first -> flowing / pass; more -> = / breach; whole -> generated / answer; broke -> = / nothing; reject -> rejected / answer; abort late -> aborted / answer; leave -> left / nothing
flowing: first -> = / stop; more -> = / pass; whole -> generated / answer; broke -> aborted / answer; reject -> aborted / answer; abort late -> aborted / answer; leave -> left / nothing
""",
    ANSWER_EVENTS,
)

# What one reader holds for one sequence, as far as the node can know. `claimed` and `reading`: an attempt
# is out
# that settles it, so a release then waits for its end. `maybe`: an attempt ended without a word of the state.
# `again`: a read is out where an earlier one may have left its state, which a refusal does not take away.
# `tried`: a claim on what may be there; a read given up may still finish after it, whatever the claim found.
HOLD_EVENTS = "send done refused lost claim fetched kept missing unsure release"
HOLD = table(
    "hold",
    "none",
    "",
    """
none: send -> reading / nothing; release -> = / nothing; claim fetched kept missing unsure done refused lost -> = / breach
reading: done -> held / keep; refused -> none / nothing; lost -> maybe / nothing; release -> = / nothing; send claim fetched kept missing unsure -> = / breach
again: done -> held / keep; refused lost -> maybe / nothing; release -> = / nothing; send claim fetched kept missing unsure -> = / breach
held: claim -> claimed / nothing; release -> none / tell release; send -> again / nothing; fetched kept missing unsure done refused lost -> = / breach
maybe: claim -> tried / nothing; release -> none / tell release; send -> again / nothing; fetched kept missing unsure done refused lost -> = / breach
claimed: fetched -> none / nothing; kept -> held / nothing; missing -> none / nothing; unsure -> maybe / nothing; release -> = / nothing; send claim done refused lost -> = / breach
tried: fetched kept missing unsure -> maybe / nothing; release -> = / nothing; send claim done refused lost -> = / breach
""",
    HOLD_EVENTS,
)

TABLES = (ATTEMPT, ANSWER_LIFE, HOLD)
READ_ENDS = {
    "read": "done",
    "full": "refused",
    "unreached": "refused",
    "unsent": "refused",
    "error": "lost",
    "timeout": "lost",
    "reset": "lost",
    "cancelled": "lost",
}
OUT = ("reading", "writing", "streaming")


class Broken(Exception):
    """An event that the contract rules out, or one that a table does not know."""


class Life:
    """One machine being lived."""

    __slots__ = ("state", "table")

    def __init__(self, table: Table, state: str = "") -> None:
        self.table, self.state = table, state or table.first

    def step(self, event: str) -> str:
        """Take an event; what the owner has to do. Raises Broken where the table has no row, or says
        breach.
        """
        step = self.table.steps.get((self.state, event))
        if step is None or step.do == BREACH:
            raise Broken(f"{self.table.name}: {event} in state {self.state}")
        self.state = step.state
        return step.do

    @property
    def over(self) -> bool:
        """Whether it is in a final state."""
        return self.state in self.table.finals


def write_ends(outcome: str, no_state: bool) -> str:
    """What the end of a write that claimed a state tells of that state."""
    if outcome == "full":
        return "missing" if no_state else "kept"
    if outcome in ("unreached", "unsent"):
        return "kept"
    return "fetched" if outcome == "generated" else "unsure"


def may_have_run(attempts: tuple[str, ...]) -> bool:
    """Whether any of these attempts, by their states, may have had an effect or still can."""
    return any(state in ("writing", "streaming", "unknown", "ran") for state in attempts)


def mermaid(table: Table) -> str:
    """The machine as a mermaid state diagram; late and breach events are left out."""
    edges: dict[tuple[str, str, str], list[str]] = {}
    for (state, event), step in table.steps.items():
        if step.do not in (LATE, BREACH):
            edges.setdefault((state, step.state, step.do), []).append(event)
    lines = ["stateDiagram-v2", f"    [*] --> {table.first}"]
    for (state, to, do), events in edges.items():
        does = "" if do == NOTHING else f" / {do}"
        lines.append(f"    {state} --> {to}: {', '.join(events)}{does}")
    lines += [f"    {final} --> [*]" for final in sorted(table.finals)]
    return "\n".join(lines)
