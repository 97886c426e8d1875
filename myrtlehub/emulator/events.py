"""What an engine model reports: one type for each event."""

from enum import StrEnum
from typing import NamedTuple, TypeAlias

from myrtlehub.emulator.machine import AttemptKey


class FreeReason(StrEnum):
    """Why a read state was freed; the values are written to records."""

    RELEASED = "released"
    FETCHED = "fetched"
    LOST = "lost"
    CLOSED = "closed"
    EXPIRED = "bound"


class PromptRead(NamedTuple):
    """A prompt is read, and its read state is stored."""

    key: AttemptKey
    cached_tokens: float
    tokens: float


class BatchDone(NamedTuple):
    """A batch is done."""

    key: AttemptKey


class FetchNeeded(NamedTuple):
    """A writer has a slot and memory: its read state is to be fetched, then `fetched` called."""

    key: AttemptKey


class Started(NamedTuple):
    """An answer begins to be generated: from here on the attempt has had its effect."""

    key: AttemptKey


class TokensGenerated(NamedTuple):
    """A stream has further tokens."""

    key: AttemptKey
    count: int


class AnswerDone(NamedTuple):
    """An answer is complete."""

    key: AttemptKey
    cached_tokens: float
    tokens: int


class Refused(NamedTuple):
    """An attempt does not run here."""

    key: AttemptKey
    no_state: bool = False


class Failed(NamedTuple):
    """An attempt fails by an injected fault."""

    key: AttemptKey


class Expired(NamedTuple):
    """An attempt had not begun when its time was over."""

    key: AttemptKey


class StateFreed(NamedTuple):
    """The memory of a read state was freed."""

    sequence_id: str
    tokens: float
    reason: FreeReason


class Crashed(NamedTuple):
    """The engine was overloaded while cold, and does nothing more."""


ModelEvent: TypeAlias = (
    PromptRead
    | BatchDone
    | FetchNeeded
    | Started
    | TokensGenerated
    | AnswerDone
    | Refused
    | Failed
    | Expired
    | StateFreed
    | Crashed
)
