"""The generic tables that `state_machine` replaces, for those tables that are not moved onto it yet.

To be deleted with the last of them (takeovers and rollouts).
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


class Broken(Exception):
    """An event that the contract rules out, or one that a table does not know."""


class Life:
    """One machine being lived."""

    __slots__ = ("state", "table")

    def __init__(self, table: Table, state: str = "") -> None:
        self.table, self.state = table, state or table.first

    def step(self, event: str) -> str:
        """Take an event; what the owner has to do. Broken: the table has no row, or says breach."""
        step = self.table.steps.get((self.state, event))
        if step is None or step.do == BREACH:
            raise Broken(f"{self.table.name}: {event} in state {self.state}")
        self.state = step.state
        return step.do

    @property
    def over(self) -> bool:
        """Whether it is in a final state."""
        return self.state in self.table.finals


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
