"""The state machine of an answer: what the client of a sequence has received.

In `STREAMING`, all tokens come from one attempt. After a final state the client is sent nothing more.
"""

from enum import StrEnum

from myrtlehub.state.state_machine import TransitionTable, forbid, on


class AnswerState(StrEnum):
    """What the client has received. The values of final states are counted and logged."""

    PENDING = "pending"
    STREAMING = "streaming"
    GENERATED = "generated"
    REJECTED = "rejected"
    ABORTED = "aborted"
    CLIENT_LEFT = "left"


class AnswerEvent(StrEnum):
    """An event that concerns an answer."""

    FIRST_TOKENS = "first_tokens"  # of any attempt
    MORE_TOKENS = "more_tokens"  # of the attempt that streams
    COMPLETED = "completed"
    STREAM_FAILED = "stream_failed"
    REJECT = "reject"
    ABORT = "abort"
    CLIENT_LEFT = "client_left"
    DEADLINE_PASSED = "deadline_passed"


class AnswerEffect(StrEnum):
    """What the owner of an answer has to do."""

    PASS = "pass"  # pass the tokens to the client
    STOP = "stop"  # another attempt is streaming: stop the one that sent these tokens
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
            on(AnswerEvent.STREAM_FAILED),
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
                AnswerEvent.STREAM_FAILED,
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
