"""The state machine of an attempt: what is known of its effect at an engine.

What surely had no effect ends in `HARMLESS`; what may have had one ends in `UNKNOWN` or, where tokens proved
it, in `RAN`. A read has no effect, however it ends.
"""

from collections.abc import Iterable
from enum import StrEnum

from myrtlehub.state.state_machine import TransitionTable, forbid, on


class AttemptState(StrEnum):
    """What is known of an attempt."""

    READING = "reading"
    WRITING = "writing"
    STREAMING = "streaming"
    HARMLESS = "harmless"
    UNKNOWN = "unknown"
    RAN = "ran"


class AttemptEvent(StrEnum):
    """What happens to an attempt; all but the first are the outcomes of the routing contract."""

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
    """What the owner of an attempt has to do."""

    BEGIN = "begin"  # the answer has begun: pass on its first tokens
    PASS = "pass"  # pass tokens on
    ANSWER = "answer"  # the attempt has ended


OUTSTANDING_STATES = (AttemptState.READING, AttemptState.WRITING, AttemptState.STREAMING)
_STATES_WITH_EFFECT = (  # or that can still lead to one
    AttemptState.WRITING,
    AttemptState.STREAMING,
    AttemptState.UNKNOWN,
    AttemptState.RAN,
)
_REFUSALS = (AttemptEvent.FULL, AttemptEvent.UNREACHED, AttemptEvent.UNSENT)
_FAILURES = (AttemptEvent.ERROR, AttemptEvent.TIMEOUT, AttemptEvent.RESET, AttemptEvent.CANCELLED)

# A read begins in READING instead.
ATTEMPT = TransitionTable.build(
    "attempt",
    initial=AttemptState.WRITING,
    events=AttemptEvent,
    finals=(AttemptState.HARMLESS, AttemptState.UNKNOWN, AttemptState.RAN),
    rows={
        AttemptState.READING: (
            on(
                AttemptEvent.READ,
                *_REFUSALS,
                *_FAILURES,
                to=AttemptState.HARMLESS,
                effect=AttemptEffect.ANSWER,
            ),
            forbid(AttemptEvent.TOKENS, AttemptEvent.GENERATED),
        ),
        AttemptState.WRITING: (
            on(AttemptEvent.TOKENS, to=AttemptState.STREAMING, effect=AttemptEffect.BEGIN),
            on(AttemptEvent.GENERATED, to=AttemptState.RAN, effect=AttemptEffect.ANSWER),
            on(*_REFUSALS, to=AttemptState.HARMLESS, effect=AttemptEffect.ANSWER),
            on(*_FAILURES, to=AttemptState.UNKNOWN, effect=AttemptEffect.ANSWER),
            forbid(AttemptEvent.READ),
        ),
        AttemptState.STREAMING: (
            on(AttemptEvent.TOKENS, effect=AttemptEffect.PASS),
            on(
                AttemptEvent.GENERATED,
                *_REFUSALS,
                *_FAILURES,
                to=AttemptState.RAN,
                effect=AttemptEffect.ANSWER,
            ),
            forbid(AttemptEvent.READ),
        ),
    },
)


def may_have_run(attempts: Iterable[AttemptState]) -> bool:
    """Tell whether any of these attempts may have had an effect or still can, by their states."""
    return any(state in _STATES_WITH_EFFECT for state in attempts)
