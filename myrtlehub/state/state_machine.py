"""Table-driven state machines, in which every state has a transition for every event.

A table is written as rows, state by state:

    rows={
        ConnectionState.IDLE: (
            on(ConnectionEvent.DIAL, to=ConnectionState.CONNECTING, effect=ConnectionEffect.START_TIMER),
            on(ConnectionEvent.CLOSE),  # no change and no effect
            forbid(ConnectionEvent.DATA_RECEIVED),
        ),
        ...
    }

The module that defines a table also defines its states, events and effects as enumerations. An event that
cannot occur in a state is forbidden in it, and `StateMachine.step` raises an error. In a final state every
event is late and changes nothing.
"""

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import Generic, NamedTuple, Never, Self, TypeVar, overload

StateT = TypeVar("StateT", bound=StrEnum)
EventT = TypeVar("EventT", bound=StrEnum)
StateT_co = TypeVar("StateT_co", bound=StrEnum, covariant=True)
EventT_co = TypeVar("EventT_co", bound=StrEnum, covariant=True)


class CommonEffect(StrEnum):
    """Effects common to all tables; each table may define its own in addition."""

    NOTHING = "nothing"
    LATE = "late"  # the machine is in a final state and does not change
    VIOLATION = "violation"  # the event cannot occur in this state; its source violates the contract


# Kept as a module constant because `StateMachine.step` runs for each token message, and looking up the enum
# member would take as long as the rest of the method.
_VIOLATION = CommonEffect.VIOLATION


class Transition(NamedTuple, Generic[StateT]):
    """The state after an event, and the effect that the owner of the machine must apply."""

    next_state: StateT
    effect: StrEnum


class Row(NamedTuple, Generic[StateT_co, EventT_co]):
    """Events that have the same transition in a state; the state is unchanged if `next_state` is None."""

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
    """Return a row in which these events lead to the state `to`, or leave the state unchanged."""
    return Row(events, to, effect)


def forbid(*events: EventT) -> Row[Never, EventT]:
    """Return a row that marks these events as impossible in a state."""
    return Row(events, None, CommonEffect.VIOLATION)


class AmbiguousTransitionError(ValueError):
    """A table defines two transitions for the same event in the same state."""


class InvalidTransitionError(Exception):
    """An event is forbidden in a state, or the table does not define it."""

    def __init__(self, table: str, state: str, event: str) -> None:
        super().__init__(f"{table}: {event} in state {state}")
        self.table = table
        self.state = state
        self.event = event


class TransitionTable(NamedTuple, Generic[StateT, EventT]):
    """The definition of a state machine: its initial state, final states and transitions."""

    name: str
    initial: StateT
    final_states: frozenset[StateT]
    transitions: dict[tuple[StateT, EventT], Transition[StateT]]

    @classmethod
    def build(
        cls,
        name: str,
        *,
        initial: StateT,
        events: Iterable[EventT],
        rows: Mapping[StateT, Iterable[Row[StateT, EventT]]],
        final_states: Iterable[StateT] = (),
    ) -> Self:
        """Build a table from rows.

        Args:
            name: identifies the table in error messages.
            initial: the state of a new machine.
            events: all events; the transitions of final states are in their order.
            rows: the transitions of each state that is not final.
            final_states: the final states, in which every event is late.

        Raises:
            AmbiguousTransitionError: a state has two transitions for the same event.
        """
        transitions: dict[tuple[StateT, EventT], Transition[StateT]] = {}
        for state, state_rows in rows.items():
            for row in state_rows:
                for event in row.events:
                    if (state, event) in transitions:
                        raise AmbiguousTransitionError(f"{name}: {state} has two transitions for {event}")
                    transitions[state, event] = Transition(row.next_state or state, row.effect)
        final_set = frozenset(final_states)
        event_list = tuple(events)
        for final in sorted(final_set):
            for event in event_list:
                transitions[final, event] = Transition(final, CommonEffect.LATE)
        return cls(name, initial, final_set, transitions)

    def states(self) -> list[StateT]:
        """Return all states in table order."""
        return list(dict.fromkeys(state for state, _ in self.transitions))

    def events(self) -> list[EventT]:
        """Return all events in table order."""
        return list(dict.fromkeys(event for _, event in self.transitions))

    def missing_transitions(self) -> list[tuple[StateT, EventT]]:
        """Return the (state, event) pairs without a transition; a complete table has none."""
        return [
            (state, event)
            for state in self.states()
            for event in self.events()
            if (state, event) not in self.transitions
        ]

    def to_mermaid(self) -> str:
        """Return the table as a Mermaid state diagram, without late and forbidden events."""
        edges: dict[tuple[StateT, StateT, StrEnum], list[str]] = {}
        for (state, event), (next_state, effect) in self.transitions.items():
            if effect not in (CommonEffect.LATE, CommonEffect.VIOLATION):
                edges.setdefault((state, next_state, effect), []).append(event)
        lines = ["stateDiagram-v2", f"    [*] --> {self.initial}"]
        for (state, next_state, effect), events in edges.items():
            suffix = "" if effect == CommonEffect.NOTHING else f" / {effect}"
            lines.append(f"    {state} --> {next_state}: {', '.join(events)}{suffix}")
        lines += [f"    {final} --> [*]" for final in sorted(self.final_states)]
        return "\n".join(lines)


class StateMachine(Generic[StateT, EventT]):
    """An instance of a transition table, with its current state."""

    __slots__ = ("state", "table")

    def __init__(self, table: TransitionTable[StateT, EventT], state: StateT | None = None) -> None:
        """Create a machine in `state`, or in the table's initial state if it is None."""
        self.table = table
        self.state = state or table.initial

    def step(self, event: EventT) -> StrEnum:
        """Apply an event and return the effect that the owner of the machine must apply.

        Raises:
            InvalidTransitionError: the event is forbidden in the current state, or the table does not define
                it.
        """
        transition = self.table.transitions.get((self.state, event))
        if transition is None or transition.effect is _VIOLATION:
            raise InvalidTransitionError(self.table.name, self.state, event)
        self.state, effect = transition
        return effect

    @property
    def is_final(self) -> bool:
        """Whether the machine is in a final state."""
        return self.state in self.table.final_states
