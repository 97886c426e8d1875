"""Counts of a node's pending work, which a process logs shortly before the earliest SIGKILL."""

from collections import Counter
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from myrtlehub.http1.server_interfaces import AdmittedConnection
from myrtlehub.node.sequences import InFlightSequence


class SequenceStage(StrEnum):
    """What an in-flight sequence waits for; the values are logged."""

    WAITING = "waiting"  # for an engine
    READING = "reading"  # for a reader's response
    WRITING = "writing"  # for the first token
    STREAMING = "streaming"  # for the end of its answer
    ANSWERED = "answered"  # for the end of an attempt, or for nothing: it has its final answer


class ConnectionStage(StrEnum):
    """What a client's connection waits for; the values are logged."""

    REQUEST_OPEN = "request_open"  # for the end of a response
    REQUEST_INCOMPLETE = "request_incomplete"  # for the rest of a request
    IDLE = "idle"  # for a request, or to be closed as unused
    LINGERING = "lingering"  # for the client to read the last response and close


class PendingWork(NamedTuple):
    """Counts of pending work.

    Attributes:
        sequences: Number of in-flight sequences by stage.
        connections: Number of client connections by stage.
        releases: Number of unanswered releases of read state and of second releases still to be sent.
    """

    sequences: dict[str, int]
    connections: dict[str, int]
    releases: int


def count_sequences(sequences: Iterable[InFlightSequence]) -> dict[str, int]:
    """Return the number of sequences in each stage."""
    return dict(sorted(Counter(_sequence_stage(sequence).value for sequence in sequences).items()))


def count_connections(connections: Iterable[AdmittedConnection]) -> dict[str, int]:
    """Return the number of client connections in each stage."""
    return dict(sorted(Counter(_connection_stage(connection).value for connection in connections).items()))


def _sequence_stage(sequence: InFlightSequence) -> SequenceStage:
    if sequence.answer.is_final:
        return SequenceStage.ANSWERED
    if sequence.first_token_at is not None:
        return SequenceStage.STREAMING
    outstanding = [attempt for attempt in sequence.attempts if attempt.is_outstanding]
    if not outstanding:
        return SequenceStage.WAITING
    return SequenceStage.READING if outstanding[-1].is_read else SequenceStage.WRITING


def _connection_stage(connection: AdmittedConnection) -> ConnectionStage:
    if connection.is_closing:
        return ConnectionStage.LINGERING
    if connection.has_open_request:
        return ConnectionStage.REQUEST_OPEN
    return ConnectionStage.IDLE if connection.is_idle else ConnectionStage.REQUEST_INCOMPLETE
