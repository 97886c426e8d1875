"""Event log: JSON lines, and a flight recorder of the latest events that is dumped on a violation."""

import itertools
import time
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from myrtlehub.log_events import LogEvent
from myrtlehub.relay.monitoring.log_writer import LogWriter

# Events that are too frequent to be written by default; RELAY_LOG=all writes them.
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
DUMP_INTERVAL_S = 10.0  # shortest interval between dumps, so that repeated violations do not flood the log
CLOCK_TIME_DIGITS = 4  # decimal places of the clock time in a dump
UNIX_TIME_DIGITS = 3  # decimal places of the Unix time of each line
_line_encoder = msgspec.json.Encoder(enc_hook=str)


class RecordedEvent(NamedTuple):
    """An event in the flight recorder; `recorded_at` is the clock time in seconds."""

    recorded_at: float
    event: LogEvent
    fields: dict[str, object]


class EventLog:
    """Writes events as JSON lines, and keeps the latest events of all kinds in memory.

    It never raises, because a node must not fail if it cannot write its log.

    Args:
        writer: Writes the lines.
        now: Returns the clock time in seconds.
        log_all: Whether to write detailed events too.
        unix_time: Returns the wall-clock time as Unix time in seconds, which is logged as `time`. Only the
            log may depend on it, because the wall clock can be adjusted.
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
        """Record an event, and write it unless it is detailed and `log_all` is off."""
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

        Does nothing if all events are written anyway, or within DUMP_INTERVAL_S of the last dump.
        """
        now = self._now()
        if self._log_all or now < self._last_dump_at + DUMP_INTERVAL_S:
            return
        self._last_dump_at = now
        first = max(0, len(self._recorded) - MAX_DUMPED_EVENTS)
        for recorded in list(itertools.islice(self._recorded, first, None)):
            recorded_at = round(recorded.recorded_at, CLOCK_TIME_DIGITS)
            self._write(
                LogEvent.EVENT_RECORDED,
                {"recorded_at_s": recorded_at, "recorded": recorded.event, **recorded.fields},
            )

    def flush(self, timeout: float) -> None:
        """Write buffered lines, waiting up to `timeout` seconds for a slow reader of the log."""
        self._writer.flush(timeout)
