"""The state machine of an answer: what the client of a sequence was told.

`STREAMING` is bound to one attempt. From a final state on nothing is said to the client.
"""

from enum import StrEnum

from myrtlehub.state.state_machine import TransitionTable, forbid, on


class AnswerState(StrEnum):
    """What the client was told."""

    PENDING = "pending"
    STREAMING = "streaming"
    GENERATED = "generated"
    REJECTED = "rejected"
    ABORTED = "aborted"
    CLIENT_LEFT = "left"


class AnswerEvent(StrEnum):
    """What happens to an answer."""

    FIRST_TOKENS = "first"  # of any attempt
    MORE_TOKENS = "more"
    COMPLETED = "whole"
    STREAM_BROKE = "broke"
    REJECT = "reject"
    ABORT = "abort"
    CLIENT_LEFT = "leave"
    DEADLINE_PASSED = "late"


class AnswerEffect(StrEnum):
    """What the owner of an answer has to do."""

    PASS = "pass"  # pass tokens on to the client
    STOP = "stop"  # another attempt streams already: stop this one
    ANSWER = "answer"  # give the client its final answer


ANSWER = TransitionTable.build(
    "answer",
    initial=AnswerState.PENDING,
    events=AnswerEvent,
    finals=(
        AnswerState.GENERATED,
        AnswerState.REJECTED,
        AnswerState.ABORTED,
        AnswerState.CLIENT_LEFT,
    ),
    rows={
        AnswerState.PENDING: (
            on(AnswerEvent.FIRST_TOKENS, to=AnswerState.STREAMING, effect=AnswerEffect.PASS),
            forbid(AnswerEvent.MORE_TOKENS),
            on(AnswerEvent.COMPLETED, to=AnswerState.GENERATED, effect=AnswerEffect.ANSWER),
            on(AnswerEvent.STREAM_BROKE),
            on(AnswerEvent.REJECT, to=AnswerState.REJECTED, effect=AnswerEffect.ANSWER),
            on(
                AnswerEvent.ABORT,
                AnswerEvent.DEADLINE_PASSED,
                to=AnswerState.ABORTED,
                effect=AnswerEffect.ANSWER,
            ),
            on(AnswerEvent.CLIENT_LEFT, to=AnswerState.CLIENT_LEFT),
        ),
        AnswerState.STREAMING: (
            on(AnswerEvent.FIRST_TOKENS, effect=AnswerEffect.STOP),
            on(AnswerEvent.MORE_TOKENS, effect=AnswerEffect.PASS),
            on(AnswerEvent.COMPLETED, to=AnswerState.GENERATED, effect=AnswerEffect.ANSWER),
            on(
                AnswerEvent.STREAM_BROKE,
                AnswerEvent.REJECT,
                AnswerEvent.ABORT,
                AnswerEvent.DEADLINE_PASSED,
                to=AnswerState.ABORTED,
                effect=AnswerEffect.ANSWER,
            ),
            on(AnswerEvent.CLIENT_LEFT, to=AnswerState.CLIENT_LEFT),
        ),
    },
)
