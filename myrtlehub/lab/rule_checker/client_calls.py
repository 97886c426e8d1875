"""The calls of clients, as the clients recorded them."""

from dataclasses import dataclass

from myrtlehub.lab.rule_checker.findings import RecordHandlers
from myrtlehub.lab.rule_checker.stored_records import (
    CallFields,
    RecordKind,
    RequestFields,
    SequenceNameFields,
    fields_of,
)
from myrtlehub.records import Record

UNLIMITED = float("inf")  # seconds


@dataclass(slots=True)
class ClientCall:
    """One call in which a client requests a sequence or resumes one."""

    name: str
    requested_at: float
    node: str
    traffic: str
    idempotency_key: str
    first_token_timeout: float  # seconds to the first token, or to a final answer without tokens
    answer_timeout: float  # seconds from the request to the final answer
    sequence_id: str | None = None  # None until a node accepted the request
    answer: str | None = None  # the final answer
    answered_at: float | None = None
    status_code: str | None = None  # gRPC status with which the call ended
    has_first_token: bool = False
    has_disconnected: bool = False  # the client cancelled the call
    was_resumed: bool = False  # by a call to another node


class ClientCalls:
    """All calls, by name and by the sequence id that a node assigned."""

    def __init__(self) -> None:
        self.by_name: dict[str, ClientCall] = {}
        self.by_sequence: dict[str, ClientCall] = {}

    @property
    def handlers(self) -> RecordHandlers:
        """The handler of each kind of record."""
        return {
            RecordKind.REQUEST_SENT: self._on_request_sent,
            RecordKind.SEQUENCE_NAMED: self._on_sequence_named,
        }

    def of(self, record: Record) -> ClientCall:
        """Return the call that a client's record refers to."""
        return self.by_name[fields_of(record, CallFields).call]

    def _on_request_sent(self, record: Record) -> None:
        fields = fields_of(record, RequestFields)
        self.by_name[fields.call] = ClientCall(
            name=fields.call,
            requested_at=record.at,
            node=fields.node,
            traffic=fields.traffic,
            idempotency_key=fields.idempotency_key,
            first_token_timeout=fields.first_token_timeout,
            answer_timeout=UNLIMITED if fields.answer_timeout is None else fields.answer_timeout,
        )

    def _on_sequence_named(self, record: Record) -> None:
        fields = fields_of(record, SequenceNameFields)
        call = self.by_name[fields.call]
        call.sequence_id = fields.sequence_id or None
        if call.sequence_id is not None:
            self.by_sequence[call.sequence_id] = call
