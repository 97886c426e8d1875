"""The event log: JSON lines, and a flight recorder with the latest events, which is dumped at violations."""

import itertools
import time
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from myrtlehub.log_events import LogEvent
from myrtlehub.relay.monitoring.log_writer import LogWriter

# Events that are too frequent to be written by default; they are written if RELAY_LOG=all.
DETAILED_EVENTS = frozenset(
    (
        LogEvent.SEQUENCE_ANSWERED,
        LogEvent.ENGINE_STATE_CHANGED,
        LogEvent.ATTEMPT_SENT,
        LogEvent.ATTEMPT_ARRIVED,
        LogEvent.ATTEMPT_ENDED,
        LogEvent.ATTEMPT_FAILED,
        LogEvent.REQUEST_REJECTED,
        LogEvent.SEND_WITHHELD,
        LogEvent.RELEASE_SENT,
        LogEvent.RELEASE_ENDED,
        LogEvent.CONNECTION_CLOSED,
        LogEvent.PEER_CONNECTION_CLOSED,
    )
)
MAX_RECORDED_EVENTS = 2000  # events in the flight recorder
MAX_DUMPED_EVENTS = 300  # events written by one dump
DUMP_INTERVAL_S = 10.0  # shortest time between two dumps, so that repeated violations do not flood the log
TIME_DIGITS = 4  # decimal places of the seconds in a dump
UNIX_TIME_DIGITS = 3  # decimal places of the Unix time of each line
_line_encoder = msgspec.json.Encoder(enc_hook=str)


class RecordedEvent(NamedTuple):
    """An event in the flight recorder; `at` is in seconds of the node's clock."""

    at: float
    event: LogEvent
    fields: dict[str, object]


class EventLog:
    """Writes events as JSON lines, and records the latest events of all kinds in memory.

    It never raises: a node must not fail because it cannot write its log.

    Args:
        writer: Writes the lines.
        now: Returns the node's time in seconds.
        log_all: Whether to write detailed events too.
        unix_time: Returns the wall clock's Unix time in seconds, which each line has as `time`. Nothing but
            the log may depend on it, because a wall clock can be set.
    """

    def __init__(
        self,
        writer: LogWriter,
        now: Callable[[], float],
        log_all: bool = False,
        unix_time: Callable[[], float] = time.time,
    ) -> None:
        self._writer = writer
        self._now = now
        self._log_all = log_all
        self._unix_time = unix_time
        self._recorded: deque[RecordedEvent] = deque(maxlen=MAX_RECORDED_EVENTS)
        self._last_dump_at = float("-inf")

    def __call__(self, event: LogEvent, /, **fields: object) -> None:
        """Record an event, and write it unless it is a detailed event and `log_all` is off."""
        self._recorded.append(RecordedEvent(self._now(), event, fields))
        if self._log_all or event not in DETAILED_EVENTS:
            self._write(event, fields)

    def _write(self, event: LogEvent, fields: dict[str, object]) -> None:
        logged_at = round(self._unix_time(), UNIX_TIME_DIGITS)
        try:
            line = _line_encoder.encode({"event": event, "time": logged_at, **fields})
        except (TypeError, ValueError) as error:
            line = _line_encoder.encode(
                {"event": LogEvent.EVENT_NOT_ENCODABLE, "time": logged_at, "reason": type(error).__name__}
            )
        self._writer.write_line(line + b"\n")

    def dump(self) -> None:
        """Write the latest recorded events, including detailed ones.

        No effect if all events are written anyway, or within DUMP_INTERVAL_S of the last dump.
        """
        now = self._now()
        if self._log_all or now < self._last_dump_at + DUMP_INTERVAL_S:
            return
        self._last_dump_at = now
        first = max(0, len(self._recorded) - MAX_DUMPED_EVENTS)
        for recorded in list(itertools.islice(self._recorded, first, None)):
            at = round(recorded.at, TIME_DIGITS)
            self._write(
                LogEvent.EVENT_RECORDED,
                {"recorded_at_s": at, "recorded": recorded.event, **recorded.fields},
            )

    def flush(self, timeout: float) -> None:
        """Write buffered lines, waiting up to `timeout` seconds for a slow reader of the log."""
        self._writer.flush(timeout)
