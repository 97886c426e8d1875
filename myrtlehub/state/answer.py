"""State machine of an answer: what the client of a sequence has received.

In `STREAMING`, all tokens come from a single attempt. Once a final state is reached, nothing more is sent to
the client.
"""

from enum import StrEnum

from myrtlehub.state.state_machine import TransitionTable, forbid, on


class AnswerState(StrEnum):
    """What the client has received. The values of the final states appear in counters and logs."""

    PENDING = "pending"
    STREAMING = "streaming"
    GENERATED = "generated"
    REJECTED = "rejected"
    ABORTED = "aborted"
    CLIENT_LEFT = "left"


class AnswerEvent(StrEnum):
    """An event of an answer."""

    FIRST_TOKENS = "first_tokens"  # of any attempt
    MORE_TOKENS = "more_tokens"  # of the streaming attempt
    COMPLETED = "completed"
    STREAM_FAILED = "stream_failed"
    REJECT = "reject"
    ABORT = "abort"
    CLIENT_LEFT = "client_left"
    DEADLINE_PASSED = "deadline_passed"


class AnswerEffect(StrEnum):
    """An action that the owner of an answer has to take."""

    PASS = "pass"  # forward the tokens to the client
    STOP = "stop"  # another attempt is streaming: cancel the one that sent these tokens
    ANSWER = "answer"  # send the final answer to the client


ANSWER = TransitionTable.build(
    "answer",
    initial=AnswerState.PENDING,
    events=AnswerEvent,
    final_states=(
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
