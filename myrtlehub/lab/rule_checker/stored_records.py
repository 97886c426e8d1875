"""The stored form of the records that clients, engines and scenarios write and the rules read.

The names of records and of their fields are stored in record files and keep their form. Here each kind of
record has a constant, and the fields that the rules use have a type whose attributes have the glossary's
terms. A record may have more fields than its type names.
"""

from enum import StrEnum
from typing import NamedTuple, TypeVar

import msgspec

from myrtlehub.records import Record

FieldsT = TypeVar("FieldsT", bound=msgspec.Struct)


class RecordKind(StrEnum):
    """The kinds of records that the rules read, by their stored names."""

    # written by the scenario
    TERMS = "terms"
    ENGINE_STATE_REPORTED = "told"  # a node was notified of an engine's state
    PROCESS_KILLED = "killed"
    NODE_PAUSED = "paused"
    # written by clients
    REQUEST_SENT = "ask"
    SEQUENCE_NAMED = "seq"
    REQUEST_RESUMED = "goes on"
    FIRST_TOKEN = "token"  # or a token after the final answer
    FINAL_ANSWER = "final"
    STREAM_MIGRATED = "moved"
    CLIENT_DISCONNECTED = "left"
    CALL_ENDED = "over"
    # written by engines
    ENGINE_STARTED = "up"
    ENGINE_CRASHED = "fell"
    ATTEMPT_RECEIVED = "got"
    EXECUTION_STARTED = "ran"
    ATTEMPT_REJECTED = "refused"
    ATTEMPT_CANCELLED = "stopped"
    ATTEMPT_FAILED = "failed"
    STREAM_BROKEN = "broken"
    ATTEMPT_EXPIRED = "expired"
    ATTEMPT_COMPLETED = "ended"
    READ_STATE_STORED = "held"
    READ_STATE_FREED = "freed"
    OWNERSHIP_CLAIMED = "claimed"


class FinalAnswer(StrEnum):
    """The final answers to a client, by the names that the protocol and the records have."""

    GENERATED = "generated"
    REJECTED = "rejected"
    ABORTED = "aborted"
    MISSING = "nothing"  # a reply of the chat front with none of the known contents


class RetrySemantics(StrEnum):
    """What a second execution does, by the words of traffic types."""

    IDEMPOTENT = "repeatable"
    KEYED = "tokened"
    AT_MOST_ONCE = "once-only"


class DedupGroup(StrEnum):
    """Engines that share a memory of idempotency keys, by the words of traffic types."""

    ALL = "all"
    CELL = "cell"
    ZONE = "zone"


class InvalidRecordError(ValueError):
    """A record does not have the fields of its kind."""


def fields_of(record: Record, fields_type: type[FieldsT]) -> FieldsT:
    """Return the fields of a record, typed.

    Raises:
        InvalidRecordError: a field is missing or has a wrong type.
    """
    try:
        return msgspec.convert(record.more, fields_type)
    except msgspec.ValidationError as error:
        raise InvalidRecordError(
            f"record {record.what!r} of {record.who} at {record.at:.3f} s: {error}"
        ) from error


# -- fields of the scenario's records -------------------------------------------------------------


class TrafficTerms(msgspec.Struct, frozen=True):
    """What the terms say of a traffic type."""

    name: str
    retry_semantics: RetrySemantics = msgspec.field(name="repeats")
    dedup_group: DedupGroup = DedupGroup.ALL
    dedup_window: float = 0.0  # seconds for which engines remember an idempotency key


class EngineLocation(NamedTuple):
    """An engine's address, and where it is."""

    address: str
    cell: int
    zone: str


class TermsFields(msgspec.Struct, frozen=True):
    """The figures of the rules, the traffic types and the engines of a scenario; times in seconds."""

    traffic: list[TrafficTerms]
    engines: list[EngineLocation]
    release_time: float = msgspec.field(name="let_go")
    slack: float | None = None
    answer_slack: float = 0.0


class EngineStateFields(msgspec.Struct, frozen=True):
    """Which engine state a node was notified of."""

    node: str
    engine: str
    state: str
    drain_grace: float = msgspec.field(name="grace")  # seconds


class KilledFields(msgspec.Struct, frozen=True):
    """Which node or engine was killed."""

    process: str = msgspec.field(name="who")


class PausedFields(msgspec.Struct, frozen=True):
    """Which node was stopped, and for how many seconds."""

    node: str = msgspec.field(name="who")
    duration_s: float = msgspec.field(name="lasts")


# -- fields of clients' records -------------------------------------------------------------------


class CallFields(msgspec.Struct, frozen=True):
    """Which call a client's record is about."""

    call: str


class RequestFields(msgspec.Struct, frozen=True):
    """A request; its times are seconds from this record."""

    call: str
    node: str
    traffic: str
    idempotency_key: str = msgspec.field(name="mark")
    first_token_timeout: float = msgspec.field(name="left")
    answer_timeout: float | None = msgspec.field(name="whole", default=None)


class SequenceNameFields(msgspec.Struct, frozen=True):
    """The sequence id that a node gave a request; stored as an empty text if it gave none."""

    call: str
    sequence_id: str = msgspec.field(name="seq")


class ResumptionFields(msgspec.Struct, frozen=True):
    """Which call is resumed, and how many tokens of the sequence its client has."""

    call: str
    previous_call: str = msgspec.field(name="after")
    tokens: int


class ReceivedFields(msgspec.Struct, frozen=True):
    """A reply that was received: a token or the final answer."""

    call: str
    answer: str | None = None
    max_client_lag: float = msgspec.field(name="behind", default=0.0)  # seconds that the client may be late
    checksum: int | None = msgspec.field(name="sum", default=None)  # None if the client counted no tokens


class CountedTokensFields(msgspec.Struct, frozen=True):
    """The tokens of a sequence that a client had received when the final answer arrived."""

    sequence_id: str = msgspec.field(name="seq")
    token_count: int = msgspec.field(name="ids")
    checksum: int = msgspec.field(name="sum")


class CallEndFields(msgspec.Struct, frozen=True):
    """The status with which a call ended."""

    call: str
    status_code: str = msgspec.field(name="code")
    unprocessed: bool


# -- fields of engines' records -------------------------------------------------------------------


class EngineStartFields(msgspec.Struct, frozen=True):
    """An engine that started, with its figures for a cold start; times in seconds."""

    is_cold: bool = msgspec.field(name="cold")
    slots: int
    cold_share: float
    cold_time: float
    fall_multiple: float
    fall_time: float


class AttemptFields(msgspec.Struct, frozen=True):
    """Which attempt an engine's record is about."""

    sequence_id: str = msgspec.field(name="seq")
    attempt: int


class ReceivedAttemptFields(msgspec.Struct, frozen=True):
    """An attempt that an engine received."""

    sequence_id: str = msgspec.field(name="seq")
    attempt: int
    node: str
    traffic: str
    idempotency_key: str = msgspec.field(name="mark")  # empty if the client gave none
    is_read: bool = msgspec.field(name="reads")
    work: float  # slot-seconds


class ExecutionFields(msgspec.Struct, frozen=True):
    """An attempt to write whose execution started."""

    sequence_id: str = msgspec.field(name="seq")
    attempt: int
    traffic: str
    idempotency_key: str = msgspec.field(name="mark")


class CompletedAttemptFields(msgspec.Struct, frozen=True):
    """An attempt that completed; a batch has no checksum."""

    sequence_id: str = msgspec.field(name="seq")
    tokens: int
    checksum: int | None = msgspec.field(name="sum", default=None)


class FreedStateFields(msgspec.Struct, frozen=True):
    """A read state that an engine freed."""

    sequence_id: str = msgspec.field(name="seq")


class ClaimFields(msgspec.Struct, frozen=True):
    """A node's claim to own a sequence, and whether the engine granted it."""

    sequence_id: str = msgspec.field(name="seq")
    is_granted: bool = msgspec.field(name="granted")
