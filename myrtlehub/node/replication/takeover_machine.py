"""The state machine of a takeover, as a transition table."""

from enum import StrEnum

from myrtlehub.state.state_machine import Row, TransitionTable, forbid, on


class TakeoverState(StrEnum):
    """The state of a takeover."""

    FETCHING_RECORD = "fetching record"  # from replicas
    CLAIMING = "claiming"  # at engines
    ATTACHING = "attaching"  # to a writer's stream, before its first token
    STREAMING = "streaming"
    ANSWERED = "answered"
    REDISPATCHED = "redispatched"  # the router has the sequence
    SUPERSEDED = "superseded"  # another node owns the sequence
    RELEASED = "released"  # the client disconnected, or this node shuts down


class TakeoverEvent(StrEnum):
    """An event of a takeover."""

    RECORD_FOUND = "record found"
    NO_RECORD = "no record"
    ENGINES_REPORTED = "engines reported"
    ATTACH = "attach"
    REDISPATCH = "redispatch"
    ABORT = "abort"
    TOKENS_RECEIVED = "tokens received"
    STREAM_COMPLETED = "stream completed"
    STREAM_BROKE = "stream broke"
    SUPERSEDED = "superseded"
    RELEASED = "released"


class TakeoverEffect(StrEnum):
    """The effect that the owner of the state machine executes on an event."""

    CLAIM = "claim"
    DECIDE = "decide"
    ATTACH = "attach"
    REDISPATCH = "redispatch"
    RELAY_TOKENS = "relay tokens"
    ANSWER = "answer"
    REPORT_SUPERSEDED = "report superseded"


_State = TakeoverState
_Event = TakeoverEvent
_Effect = TakeoverEffect
_END_WITHOUT_ANSWER_TRANSITIONS = (
    on(_Event.SUPERSEDED, to=_State.SUPERSEDED, effect=_Effect.REPORT_SUPERSEDED),
    on(_Event.RELEASED, to=_State.RELEASED),
)
_ATTACHED_TRANSITIONS: tuple[Row[TakeoverState, TakeoverEvent], ...] = (
    on(_Event.TOKENS_RECEIVED, to=_State.STREAMING, effect=_Effect.RELAY_TOKENS),
    on(
        _Event.STREAM_COMPLETED,
        _Event.STREAM_BROKE,
        _Event.ABORT,
        to=_State.ANSWERED,
        effect=_Effect.ANSWER,
    ),
    *_END_WITHOUT_ANSWER_TRANSITIONS,
    forbid(_Event.RECORD_FOUND, _Event.NO_RECORD, _Event.ENGINES_REPORTED, _Event.ATTACH, _Event.REDISPATCH),
)

TAKEOVER_TABLE = TransitionTable.build(
    "takeover",
    initial=_State.FETCHING_RECORD,
    final_states=(_State.ANSWERED, _State.REDISPATCHED, _State.SUPERSEDED, _State.RELEASED),
    events=TakeoverEvent,
    rows={
        _State.FETCHING_RECORD: (
            on(_Event.RECORD_FOUND, to=_State.CLAIMING, effect=_Effect.CLAIM),
            on(_Event.NO_RECORD, _Event.REDISPATCH, to=_State.REDISPATCHED, effect=_Effect.REDISPATCH),
            on(_Event.ABORT, to=_State.ANSWERED, effect=_Effect.ANSWER),
            *_END_WITHOUT_ANSWER_TRANSITIONS,
            forbid(
                _Event.ENGINES_REPORTED,
                _Event.ATTACH,
                _Event.TOKENS_RECEIVED,
                _Event.STREAM_COMPLETED,
                _Event.STREAM_BROKE,
            ),
        ),
        _State.CLAIMING: (
            on(_Event.ENGINES_REPORTED, effect=_Effect.DECIDE),
            on(_Event.ATTACH, to=_State.ATTACHING, effect=_Effect.ATTACH),
            on(_Event.REDISPATCH, to=_State.REDISPATCHED, effect=_Effect.REDISPATCH),
            on(_Event.ABORT, to=_State.ANSWERED, effect=_Effect.ANSWER),
            *_END_WITHOUT_ANSWER_TRANSITIONS,
            forbid(
                _Event.RECORD_FOUND,
                _Event.NO_RECORD,
                _Event.TOKENS_RECEIVED,
                _Event.STREAM_COMPLETED,
                _Event.STREAM_BROKE,
            ),
        ),
        _State.ATTACHING: _ATTACHED_TRANSITIONS,
        _State.STREAMING: _ATTACHED_TRANSITIONS,
    },
)
