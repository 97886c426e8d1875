"""The stored form of the records that clients, engines and scenarios write and the rules read.

Record files hold the names of records and fields, so these names are fixed. This module has a constant for
each kind of record, and a type for the fields that the rules use, with attributes named by the glossary. A
record may have further fields, which are ignored.
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
    FIRST_TOKEN = "token"  # also used for a token that arrives after the final answer
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
    """The kinds of final answer to a client, by their names in the protocol and in records."""

    GENERATED = "generated"
    REJECTED = "rejected"
    ABORTED = "aborted"
    MISSING = "nothing"  # a chat reply that has neither tokens nor a known final answer


class RetrySemantics(StrEnum):
    """The retry semantics of a traffic type, by their stored names."""

    IDEMPOTENT = "repeatable"
    KEYED = "tokened"
    AT_MOST_ONCE = "once-only"


class DedupGroup(StrEnum):
    """The scope in which engines deduplicate idempotency keys together, by its stored name."""

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
    """The retry semantics and the deduplication of a traffic type in a scenario."""

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
    """A notification to a node that an engine has entered a state."""

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
    """The call that a client's record refers to."""

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
    max_client_lag: float = msgspec.field(name="behind", default=0.0)  # seconds by which it was read late
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
    """The attempt that an engine's record refers to."""

    sequence_id: str = msgspec.field(name="seq")
    attempt: int


class ReceivedAttemptFields(AttemptFields, frozen=True):
    """An attempt that an engine received."""

    node: str
    traffic: str
    idempotency_key: str = msgspec.field(name="mark")  # empty if the client gave none
    is_read: bool = msgspec.field(name="reads")
    work: float  # slot-seconds of the engine


class ExecutionFields(AttemptFields, frozen=True):
    """An attempt to write whose execution started."""

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
