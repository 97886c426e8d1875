"""State machine of an attempt: what the node knows about the attempt's effect at the engine.

An attempt that is known to have had no effect ends in `HARMLESS`. One that may have had an effect ends in
`UNKNOWN`, or in `RAN` if received tokens prove it. A read has no effect, whatever its outcome.
"""

from collections.abc import Iterable
from enum import StrEnum

from myrtlehub.state.state_machine import TransitionTable, forbid, on


class AttemptState(StrEnum):
    """What the node knows about an attempt. The values are logged."""

    READING = "reading"
    WRITING = "writing"
    STREAMING = "streaming"
    HARMLESS = "harmless"
    UNKNOWN = "unknown"
    RAN = "ran"


class AttemptEvent(StrEnum):
    """An event of an attempt; all but the first have the values of `routing.contract.Outcome`."""

    TOKENS = "tokens"
    READ = "read"
    GENERATED = "generated"
    FULL = "full"
    UNREACHED = "unreached"
    UNSENT = "unsent"
    ERROR = "error"
    TIMEOUT = "timeout"
    RESET = "reset"
    CANCELLED = "cancelled"


class AttemptEffect(StrEnum):
    """An action that the owner of an attempt has to take."""

    BEGIN = "begin"  # start the answer with these first tokens
    PASS = "pass"  # forward the tokens
    REPORT = "report"  # report the end of the attempt


OUTSTANDING_STATES = (AttemptState.READING, AttemptState.WRITING, AttemptState.STREAMING)
_POSSIBLE_EFFECT_STATES = (  # an attempt in one of these states may have had an effect, or still can
    AttemptState.WRITING,
    AttemptState.STREAMING,
    AttemptState.UNKNOWN,
    AttemptState.RAN,
)
_REJECTION_EVENTS = (AttemptEvent.FULL, AttemptEvent.UNREACHED, AttemptEvent.UNSENT)
_FAILURE_EVENTS = (AttemptEvent.ERROR, AttemptEvent.TIMEOUT, AttemptEvent.RESET, AttemptEvent.CANCELLED)

# The state machine of a read is created in READING instead of the initial state.
ATTEMPT = TransitionTable.build(
    "attempt",
    initial=AttemptState.WRITING,
    events=AttemptEvent,
    final_states=(AttemptState.HARMLESS, AttemptState.UNKNOWN, AttemptState.RAN),
    rows={
        AttemptState.READING: (
            on(
                AttemptEvent.READ,
                *_REJECTION_EVENTS,
                *_FAILURE_EVENTS,
                to=AttemptState.HARMLESS,
                effect=AttemptEffect.REPORT,
            ),
            forbid(AttemptEvent.TOKENS, AttemptEvent.GENERATED),
        ),
        AttemptState.WRITING: (
            on(AttemptEvent.TOKENS, to=AttemptState.STREAMING, effect=AttemptEffect.BEGIN),
            on(AttemptEvent.GENERATED, to=AttemptState.RAN, effect=AttemptEffect.REPORT),
            on(*_REJECTION_EVENTS, to=AttemptState.HARMLESS, effect=AttemptEffect.REPORT),
            on(*_FAILURE_EVENTS, to=AttemptState.UNKNOWN, effect=AttemptEffect.REPORT),
            forbid(AttemptEvent.READ),
        ),
        AttemptState.STREAMING: (
            on(AttemptEvent.TOKENS, effect=AttemptEffect.PASS),
            on(
                AttemptEvent.GENERATED,
                *_REJECTION_EVENTS,
                *_FAILURE_EVENTS,
                to=AttemptState.RAN,
                effect=AttemptEffect.REPORT,
            ),
            forbid(AttemptEvent.READ),
        ),
    },
)


def may_have_run(attempts: Iterable[AttemptState]) -> bool:
    """Return whether any attempt in one of these states may have had an effect, or still can."""
    return any(state in _POSSIBLE_EFFECT_STATES for state in attempts)
