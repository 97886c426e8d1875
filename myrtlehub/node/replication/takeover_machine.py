"""The states of a takeover as a transition table."""

from enum import StrEnum

from myrtlehub.state.state_machine import TransitionTable, forbid, on


class TakeoverState(StrEnum):
    """Where a takeover stands."""

    ASKING = "asking"  # replicas for the record
    CLAIMING = "claiming"  # at engines
    ATTACHING = "attaching"  # to a writer's stream
    STREAMING = "streaming"
    ANSWERED = "answered"
    SENT_AGAIN = "sent again"  # the router has the sequence
    LOST = "lost"  # another node has it
    LEFT = "left"  # its client went away, or this node ends


class TakeoverEvent(StrEnum):
    """What happens to a takeover."""

    RECORD_FOUND = "record found"
    NO_RECORD = "no record"
    ENGINES_REPORTED = "engines reported"
    ATTACH = "attach"
    SEND_AGAIN = "send again"
    GIVE_UP = "give up"
    TOKENS = "tokens"
    COMPLETE = "complete"
    STREAM_BROKE = "stream broke"
    SUPERSEDED = "superseded"
    CLIENT_LEFT = "client left"


class TakeoverEffect(StrEnum):
    """What the owner of the state machine does on an event."""

    CLAIM = "claim"
    DECIDE = "decide"
    ATTACH = "attach"
    SEND_AGAIN = "send again"
    PASS_TOKENS = "pass tokens"
    ANSWER = "answer"
    REPORT_LOSS = "report loss"


_State = TakeoverState
_Event = TakeoverEvent
_Effect = TakeoverEffect
_LEAVES = (
    on(_Event.SUPERSEDED, to=_State.LOST, effect=_Effect.REPORT_LOSS),
    on(_Event.CLIENT_LEFT, to=_State.LEFT),
)
_STREAM = (
    on(_Event.TOKENS, to=_State.STREAMING, effect=_Effect.PASS_TOKENS),
    on(_Event.COMPLETE, _Event.STREAM_BROKE, _Event.GIVE_UP, to=_State.ANSWERED, effect=_Effect.ANSWER),
    *_LEAVES,
    forbid(_Event.RECORD_FOUND, _Event.NO_RECORD, _Event.ENGINES_REPORTED, _Event.ATTACH, _Event.SEND_AGAIN),
)

TAKEOVER_TABLE = TransitionTable.build(
    "takeover",
    initial=TakeoverState.ASKING,
    finals=(TakeoverState.ANSWERED, TakeoverState.SENT_AGAIN, TakeoverState.LOST, TakeoverState.LEFT),
    events=TakeoverEvent,
    rows={
        TakeoverState.ASKING: (
            on(_Event.RECORD_FOUND, to=_State.CLAIMING, effect=_Effect.CLAIM),
            on(_Event.NO_RECORD, _Event.SEND_AGAIN, to=_State.SENT_AGAIN, effect=_Effect.SEND_AGAIN),
            on(_Event.GIVE_UP, to=_State.ANSWERED, effect=_Effect.ANSWER),
            *_LEAVES,
            forbid(
                _Event.ENGINES_REPORTED,
                _Event.ATTACH,
                _Event.TOKENS,
                _Event.COMPLETE,
                _Event.STREAM_BROKE,
            ),
        ),
        TakeoverState.CLAIMING: (
            on(_Event.ENGINES_REPORTED, effect=_Effect.DECIDE),
            on(_Event.ATTACH, to=_State.ATTACHING, effect=_Effect.ATTACH),
            on(_Event.SEND_AGAIN, to=_State.SENT_AGAIN, effect=_Effect.SEND_AGAIN),
            on(_Event.GIVE_UP, to=_State.ANSWERED, effect=_Effect.ANSWER),
            *_LEAVES,
            forbid(
                _Event.RECORD_FOUND,
                _Event.NO_RECORD,
                _Event.TOKENS,
                _Event.COMPLETE,
                _Event.STREAM_BROKE,
            ),
        ),
        TakeoverState.ATTACHING: _STREAM,
        TakeoverState.STREAMING: _STREAM,
    },
)
