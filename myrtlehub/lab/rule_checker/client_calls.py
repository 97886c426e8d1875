"""The calls of clients, as they recorded them."""

from dataclasses import dataclass

from myrtlehub.lab.rule_checker.findings import RecordHandlers
from myrtlehub.records import Record

NEVER = float("inf")


@dataclass(slots=True)
class ClientCall:
    """One call by which a client asks for a sequence."""

    name: str
    asked_at: float
    node: str
    traffic: str
    idempotency_key: str
    time_left: float  # seconds within which its first token or another answer is owed
    whole_time: float = NEVER  # seconds within which its answer has to be complete
    sequence_id: str = ""
    answer: str = ""  # the final answer, empty before it
    answered_at: float = 0.0
    end_code: str = ""  # of the call, empty before its end
    has_started: bool = False  # with a first token
    has_left: bool = False
    was_resumed: bool = False  # by a call to another node


class ClientCalls:
    """All calls, by name and by the sequence that a node made of them."""

    def __init__(self) -> None:
        self.by_name: dict[str, ClientCall] = {}
        self.by_sequence: dict[str, ClientCall] = {}

    @property
    def handlers(self) -> RecordHandlers:
        """What is done on each kind of record."""
        return {"ask": self._on_ask, "seq": self._on_sequence}

    def of(self, record: Record) -> ClientCall:
        """Return the call that a client's record is about."""
        return self.by_name[record.more["call"]]

    def _on_ask(self, record: Record) -> None:
        fields = record.more
        self.by_name[fields["call"]] = ClientCall(
            fields["call"],
            record.at,
            fields["node"],
            fields["traffic"],
            fields["mark"],
            fields["left"],
            fields.get("whole", NEVER),
        )

    def _on_sequence(self, record: Record) -> None:
        call = self.of(record)
        call.sequence_id = record.more["seq"]
        self.by_sequence[call.sequence_id] = call
