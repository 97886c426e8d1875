"""The state machine of an attempt: what the node knows of its effect at the engine.

An attempt that certainly had no effect ends in `HARMLESS`. One that may have had an effect ends in `UNKNOWN`,
or in `RAN` if tokens prove it. A read has no effect, whatever its outcome.
"""

from collections.abc import Iterable
from enum import StrEnum

from myrtlehub.state.state_machine import TransitionTable, forbid, on


class AttemptState(StrEnum):
    """What the node knows of an attempt. The values are logged."""

    READING = "reading"
    WRITING = "writing"
    STREAMING = "streaming"
    HARMLESS = "harmless"
    UNKNOWN = "unknown"
    RAN = "ran"


class AttemptEvent(StrEnum):
    """An event of an attempt; all but the first are the outcomes of `routing.contract.Outcome`."""

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

    BEGIN = "begin"  # these are the first tokens: start the answer with them
    PASS = "pass"  # pass the tokens on
    REPORT = "report"  # report the end of the attempt


OUTSTANDING_STATES = (AttemptState.READING, AttemptState.WRITING, AttemptState.STREAMING)
_STATES_WITH_EFFECT = (  # states of attempts that may have had an effect, or still can
    AttemptState.WRITING,
    AttemptState.STREAMING,
    AttemptState.UNKNOWN,
    AttemptState.RAN,
)
_REJECTIONS = (AttemptEvent.FULL, AttemptEvent.UNREACHED, AttemptEvent.UNSENT)
_FAILURES = (AttemptEvent.ERROR, AttemptEvent.TIMEOUT, AttemptEvent.RESET, AttemptEvent.CANCELLED)

# State machines of reads are created in READING instead of the initial state.
ATTEMPT = TransitionTable.build(
    "attempt",
    initial=AttemptState.WRITING,
    events=AttemptEvent,
    finals=(AttemptState.HARMLESS, AttemptState.UNKNOWN, AttemptState.RAN),
    rows={
        AttemptState.READING: (
            on(
                AttemptEvent.READ,
                *_REJECTIONS,
                *_FAILURES,
                to=AttemptState.HARMLESS,
                effect=AttemptEffect.REPORT,
            ),
            forbid(AttemptEvent.TOKENS, AttemptEvent.GENERATED),
        ),
        AttemptState.WRITING: (
            on(AttemptEvent.TOKENS, to=AttemptState.STREAMING, effect=AttemptEffect.BEGIN),
            on(AttemptEvent.GENERATED, to=AttemptState.RAN, effect=AttemptEffect.REPORT),
            on(*_REJECTIONS, to=AttemptState.HARMLESS, effect=AttemptEffect.REPORT),
            on(*_FAILURES, to=AttemptState.UNKNOWN, effect=AttemptEffect.REPORT),
            forbid(AttemptEvent.READ),
        ),
        AttemptState.STREAMING: (
            on(AttemptEvent.TOKENS, effect=AttemptEffect.PASS),
            on(
                AttemptEvent.GENERATED,
                *_REJECTIONS,
                *_FAILURES,
                to=AttemptState.RAN,
                effect=AttemptEffect.REPORT,
            ),
            forbid(AttemptEvent.READ),
        ),
    },
)


def may_have_run(attempts: Iterable[AttemptState]) -> bool:
    """Return whether any attempt in one of these states may have had an effect, or still can."""
    return any(state in _STATES_WITH_EFFECT for state in attempts)
