"""The events that an engine model reports; a `KeyT` identifies the attempt of an event."""

from enum import StrEnum
from typing import Generic, NamedTuple, TypeAlias

from myrtlehub.emulator.machine import KeyT


class FreeReason(StrEnum):
    """Why a read state was freed; the values are stored in records."""

    RELEASED = "released"
    FETCHED = "fetched"
    LOST = "lost"
    CLOSED = "closed"
    EXPIRED = "bound"


class PromptRead(NamedTuple, Generic[KeyT]):
    """A prompt was read, and its read state is stored."""

    key: KeyT
    cached_tokens: float
    tokens: float


class BatchDone(NamedTuple, Generic[KeyT]):
    """All items of a batch were computed."""

    key: KeyT


class FetchNeeded(NamedTuple, Generic[KeyT]):
    """A write has a slot and memory; the caller must fetch its read state and call `EngineModel.fetched`."""

    key: KeyT


class Started(NamedTuple, Generic[KeyT]):
    """The computation of an answer or a batch has started; from now on the attempt counts as executed."""

    key: KeyT


class TokensGenerated(NamedTuple, Generic[KeyT]):
    """A stream has generated further tokens."""

    key: KeyT
    token_count: int


class AnswerDone(NamedTuple, Generic[KeyT]):
    """An answer is complete."""

    key: KeyT
    cached_tokens: float
    tokens: int


class Rejected(NamedTuple, Generic[KeyT]):
    """An attempt was rejected without any effect: the engine is full, or the read state is missing."""

    key: KeyT
    is_state_missing: bool = False


class Failed(NamedTuple, Generic[KeyT]):
    """An attempt failed by an injected fault."""

    key: KeyT


class Expired(NamedTuple, Generic[KeyT]):
    """An attempt expired in the queue, because its turn came too late."""

    key: KeyT


class StateFreed(NamedTuple):
    """The memory of a read state was freed."""

    sequence_id: str
    tokens: float
    reason: FreeReason


class Crashed(NamedTuple):
    """The engine crashed by overload during slow start; it processes nothing from now on."""


AttemptEvent: TypeAlias = (
    PromptRead[KeyT]
    | BatchDone[KeyT]
    | FetchNeeded[KeyT]
    | Started[KeyT]
    | TokensGenerated[KeyT]
    | AnswerDone[KeyT]
    | Rejected[KeyT]
    | Failed[KeyT]
    | Expired[KeyT]
)
ModelEvent: TypeAlias = AttemptEvent[KeyT] | StateFreed | Crashed
