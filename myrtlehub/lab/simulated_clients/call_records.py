"""The records that a client writes of one call; their names and fields are stored and keep their form.

`rule_checker.stored_records` has the meaning of each field.
"""

from typing import NamedTuple

from myrtlehub.lab.rule_checker.stored_records import FinalAnswer, RecordKind
from myrtlehub.records import Recorder
from myrtlehub.rpc.status import Status


class CountedTokens(NamedTuple):
    """The tokens of a sequence that a client has, over all its calls."""

    sequence_id: str | None
    token_count: int
    checksum: int


class CallRecords:
    """Writes the records of the call `name`."""

    def __init__(self, recorder: Recorder, name: str) -> None:
        self._recorder = recorder
        self._name = name

    def request_sent(
        self,
        node: str,
        traffic: str,
        idempotency_key: str,
        first_token_timeout: float,
        answer_timeout: float,
    ) -> None:
        """Record a request; the timeouts are seconds from now."""
        self._recorder.note(
            RecordKind.REQUEST_SENT,
            call=self._name,
            node=node,
            traffic=traffic,
            mark=idempotency_key,
            left=first_token_timeout,
            whole=answer_timeout,
        )

    def request_resumed(self, previous_call: str, token_count: int) -> None:
        """Record that this call resumes a sequence of which the client has `token_count` tokens."""
        self._recorder.note(
            RecordKind.REQUEST_RESUMED, call=self._name, after=previous_call, tokens=token_count
        )

    def sequence_named(self, sequence_id: str | None) -> None:
        """Record the sequence id that the node gave; it is stored as an empty text if there is none."""
        self._recorder.note(RecordKind.SEQUENCE_NAMED, call=self._name, seq=sequence_id or "")

    def token_received(self, max_client_lag: float) -> None:
        """Record a token or an item; clients record the first one, and those after the final answer."""
        self._recorder.note(RecordKind.FIRST_TOKEN, call=self._name, behind=max_client_lag)

    def stream_migrated(self) -> None:
        """Record that the node transferred the sequence to another node."""
        self._recorder.note(RecordKind.STREAM_MIGRATED, call=self._name)

    def final_answer(
        self,
        answer: FinalAnswer | None,
        received: int,
        max_client_lag: float,
        counted: CountedTokens | None = None,
    ) -> None:
        """Record the final answer, with the number of token messages or items that this call received."""
        counts: dict[str, object] = {}
        if counted is not None:
            counts = {"ids": counted.token_count, "sum": counted.checksum, "seq": counted.sequence_id or ""}
        self._recorder.note(
            RecordKind.FINAL_ANSWER,
            call=self._name,
            answer=answer,
            tokens=received,
            behind=max_client_lag,
            **counts,
        )

    def client_disconnected(self) -> None:
        """Record that the client cancels the call."""
        self._recorder.note(RecordKind.CLIENT_DISCONNECTED, call=self._name)

    def call_ended(self, status: Status) -> None:
        """Record the status of the call."""
        self._recorder.note(
            RecordKind.CALL_ENDED, call=self._name, code=status.code.name, unprocessed=status.unprocessed
        )
