"""State machines as transition tables: every event in every state has a stated transition.

A table is written as rows, state by state:

    rows={
        Lamp.OFF: (
            on(LampEvent.SWITCH, to=Lamp.ON, effect=LampEffect.LIGHT),
            on(LampEvent.LOOK),  # no change and no effect
            forbid(LampEvent.BURN_OUT),
        ),
        ...
    }

States, events and effects are enumerations of the module that defines the table. An event that cannot occur
in a state is forbidden there: `StateMachine.step` raises. In a final state every event is late: it changes
nothing.
"""

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import Generic, NamedTuple, Never, Self, TypeVar, overload

StateT = TypeVar("StateT", bound=StrEnum)
EventT = TypeVar("EventT", bound=StrEnum)
StateT_co = TypeVar("StateT_co", bound=StrEnum, covariant=True)
EventT_co = TypeVar("EventT_co", bound=StrEnum, covariant=True)


class CommonEffect(StrEnum):
    """Effects common to all tables; each table may define others of its own."""

    NOTHING = "nothing"
    LATE = "late"  # the machine is in a final state: nothing changes
    VIOLATION = "violation"  # the event cannot occur in this state: its sender violates the contract


# A constant, because `step` runs for each token message, and an access to the member of the enumeration would
# take as long as the rest of it.
_VIOLATION = CommonEffect.VIOLATION


class Transition(NamedTuple, Generic[StateT]):
    """The state after an event, and the effect that the owner of the machine has to carry out."""

    next_state: StateT
    effect: StrEnum


class Row(NamedTuple, Generic[StateT_co, EventT_co]):
    """Events that have the same transition in a state; `next_state` None leaves the state as it is."""

    events: tuple[EventT_co, ...]
    next_state: StateT_co | None
    effect: StrEnum


@overload
def on(*events: EventT, effect: StrEnum = ...) -> Row[Never, EventT]: ...
@overload
def on(*events: EventT, to: StateT, effect: StrEnum = ...) -> Row[StateT, EventT]: ...
def on(
    *events: EventT, to: StateT | None = None, effect: StrEnum = CommonEffect.NOTHING
) -> Row[StateT, EventT]:
    """Return a row by which these events lead to the state `to`, or leave the state as it is."""
    return Row(events, to, effect)


def forbid(*events: EventT) -> Row[Never, EventT]:
    """Return a row that marks these events as impossible in a state."""
    return Row(events, None, CommonEffect.VIOLATION)


class AmbiguousTransitionError(ValueError):
    """A table has two transitions for the same event in the same state."""


class InvalidTransitionError(Exception):
    """An event is forbidden in a state, or its table does not have it."""

    def __init__(self, table: str, state: str, event: str) -> None:
        super().__init__(f"{table}: {event} in state {state}")
        self.table = table
        self.state = state
        self.event = event


class TransitionTable(NamedTuple, Generic[StateT, EventT]):
    """One kind of state machine: its initial state, its final states and all transitions."""

    name: str
    initial: StateT
    finals: frozenset[StateT]
    transitions: dict[tuple[StateT, EventT], Transition[StateT]]

    @classmethod
    def build(
        cls,
        name: str,
        *,
        initial: StateT,
        events: Iterable[EventT],
        rows: Mapping[StateT, Iterable[Row[StateT, EventT]]],
        finals: Iterable[StateT] = (),
    ) -> Self:
        """Make a table.

        Args:
            name: identifies the machine in error messages.
            initial: the state of a new machine.
            events: all events, in the order in which final states list them.
            rows: the transitions of each state that is not final.
            finals: the states in which every event is late.

        Raises:
            AmbiguousTransitionError: a state has two transitions for one event.
        """
        transitions: dict[tuple[StateT, EventT], Transition[StateT]] = {}
        for state, state_rows in rows.items():
            for row in state_rows:
                for event in row.events:
                    if (state, event) in transitions:
                        raise AmbiguousTransitionError(f"{name}: {state} has two transitions for {event}")
                    transitions[state, event] = Transition(row.next_state or state, row.effect)
        all_finals = frozenset(finals)
        all_events = tuple(events)
        for final in sorted(all_finals):
            for event in all_events:
                transitions[final, event] = Transition(final, CommonEffect.LATE)
        return cls(name, initial, all_finals, transitions)

    def states(self) -> list[StateT]:
        """List all states, in the order of the table."""
        return list(dict.fromkeys(state for state, _ in self.transitions))

    def events(self) -> list[EventT]:
        """List all events, in the order of the table."""
        return list(dict.fromkeys(event for _, event in self.transitions))

    def missing(self) -> list[tuple[StateT, EventT]]:
        """List the pairs of a state and an event that have no transition; a complete table has none."""
        return [
            (state, event)
            for state in self.states()
            for event in self.events()
            if (state, event) not in self.transitions
        ]

    def mermaid(self) -> str:
        """Draw the table as a mermaid state diagram, without late and forbidden events."""
        edges: dict[tuple[StateT, StateT, StrEnum], list[str]] = {}
        for (state, event), (next_state, effect) in self.transitions.items():
            if effect not in (CommonEffect.LATE, CommonEffect.VIOLATION):
                edges.setdefault((state, next_state, effect), []).append(event)
        lines = ["stateDiagram-v2", f"    [*] --> {self.initial}"]
        for (state, next_state, effect), events in edges.items():
            suffix = "" if effect == CommonEffect.NOTHING else f" / {effect}"
            lines.append(f"    {state} --> {next_state}: {', '.join(events)}{suffix}")
        lines += [f"    {final} --> [*]" for final in sorted(self.finals)]
        return "\n".join(lines)


class StateMachine(Generic[StateT, EventT]):
    """One running instance of a table."""

    __slots__ = ("state", "table")

    def __init__(self, table: TransitionTable[StateT, EventT], state: StateT | None = None) -> None:
        """Create a machine in the given state; None stands for the table's initial state."""
        self.table = table
        self.state = state or table.initial

    def step(self, event: EventT) -> StrEnum:
        """Apply an event and return the effect that the owner of the machine has to carry out.

        Raises:
            InvalidTransitionError: the table forbids the event in the current state, or does not have it.
        """
        transition = self.table.transitions.get((self.state, event))
        if transition is None or transition.effect is _VIOLATION:
            raise InvalidTransitionError(self.table.name, self.state, event)
        self.state, effect = transition
        return effect

    @property
    def is_final(self) -> bool:
        """Whether the machine is in a final state."""
        return self.state in self.table.finals
