"""State machines as transition tables: every event in every state has a stated transition.

A table is written as rows, a state after another:

    rows={
        Lamp.OFF: (
            on(LampEvent.SWITCH, to=Lamp.ON, effect=LampEffect.LIGHT),
            on(LampEvent.LOOK),  # stays, and nothing has to be done
            forbid(LampEvent.BURN_OUT),
        ),
        ...
    }

States, events and effects are enumerations of whoever defines the table. An event that the contract rules out
in a state is forbidden there: `StateMachine.step` raises. In a final state every event is late: it changes
nothing.
"""

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import NamedTuple, Self


class CommonEffect(StrEnum):
    """Effects that every table knows, beside those of its own."""

    NOTHING = "nothing"
    LATE = "late"  # the machine has ended: nothing changes
    VIOLATION = "breach"  # the contract rules the event out in this state


# Machines step once a token: a look-up in an enumeration costs as much as the rest of a step.
_VIOLATION = CommonEffect.VIOLATION


class Transition(NamedTuple):
    """Where an event leads, and what the owner of the machine has to do."""

    next_state: StrEnum
    effect: StrEnum


class Row(NamedTuple):
    """One or more events of a state that have the same transition."""

    events: tuple[StrEnum, ...]
    next_state: StrEnum | None  # None: the state stays as it is
    effect: StrEnum


def on(*events: StrEnum, to: StrEnum | None = None, effect: StrEnum = CommonEffect.NOTHING) -> Row:
    """Make a row: these events lead to a state, or leave it as it is."""
    return Row(events, to, effect)


def forbid(*events: StrEnum) -> Row:
    """Make a row of events that the contract rules out."""
    return Row(events, None, CommonEffect.VIOLATION)


class InvalidTransitionError(Exception):
    """An event that the contract rules out in a state, or that the table does not know."""

    def __init__(self, table: str, state: str, event: str) -> None:
        super().__init__(f"{table}: {event} in state {state}")
        self.table = table
        self.state = state
        self.event = event


class TransitionTable(NamedTuple):
    """One kind of state machine: its initial state, its final ones, and all transitions."""

    name: str
    initial: StrEnum
    finals: frozenset[StrEnum]
    transitions: dict[tuple[StrEnum, StrEnum], Transition]

    @classmethod
    def build(
        cls,
        name: str,
        *,
        initial: StrEnum,
        events: Iterable[StrEnum],
        rows: Mapping[StrEnum, Iterable[Row]],
        finals: Iterable[StrEnum] = (),
    ) -> Self:
        """Make a table of rows by state; a final state takes all events as late ones.

        Raises:
            ValueError: a state has two transitions for one event.
        """
        transitions: dict[tuple[StrEnum, StrEnum], Transition] = {}
        for state, state_rows in rows.items():
            for row in state_rows:
                for event in row.events:
                    if (state, event) in transitions:
                        raise ValueError(f"{name}: {state} has two transitions for {event}")
                    transitions[state, event] = Transition(row.next_state or state, row.effect)
        all_finals = frozenset(finals)
        all_events = tuple(events)
        for final in sorted(all_finals):
            for event in all_events:
                transitions[final, event] = Transition(final, CommonEffect.LATE)
        return cls(name, initial, all_finals, transitions)

    def states(self) -> list[StrEnum]:
        """List all states, in the order of the table."""
        return list(dict.fromkeys(state for state, _ in self.transitions))

    def events(self) -> list[StrEnum]:
        """List all events, in the order of the table."""
        return list(dict.fromkeys(event for _, event in self.transitions))

    def missing(self) -> list[tuple[StrEnum, StrEnum]]:
        """List the pairs of state and event without a transition: there may be none."""
        return [
            (state, event)
            for state in self.states()
            for event in self.events()
            if (state, event) not in self.transitions
        ]

    def mermaid(self) -> str:
        """Draw the table as a mermaid state diagram, without late and forbidden events."""
        edges: dict[tuple[str, str, str], list[str]] = {}
        for (state, event), (next_state, effect) in self.transitions.items():
            if effect not in (CommonEffect.LATE, CommonEffect.VIOLATION):
                edges.setdefault((state, next_state, effect), []).append(event)
        lines = ["stateDiagram-v2", f"    [*] --> {self.initial}"]
        for (state, next_state, effect), events in edges.items():
            suffix = "" if effect == CommonEffect.NOTHING else f" / {effect}"
            lines.append(f"    {state} --> {next_state}: {', '.join(events)}{suffix}")
        lines += [f"    {final} --> [*]" for final in sorted(self.finals)]
        return "\n".join(lines)


class StateMachine:
    """One running instance of a table."""

    __slots__ = ("state", "table")

    def __init__(self, table: TransitionTable, state: StrEnum | None = None) -> None:
        self.table = table
        self.state = state or table.initial

    def step(self, event: StrEnum) -> StrEnum:
        """Take an event and return the effect that its owner has to carry out.

        Raises:
            InvalidTransitionError: the table forbids the event here, or does not know it.
        """
        transition = self.table.transitions.get((self.state, event))
        if transition is None or transition.effect is _VIOLATION:
            raise InvalidTransitionError(self.table.name, self.state, event)
        self.state, effect = transition
        return effect

    @property
    def is_final(self) -> bool:
        """Whether it has reached a final state."""
        return self.state in self.table.finals
