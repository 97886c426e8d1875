"""The log of events: one JSON object a line, and the last events in memory for when something goes wrong."""

import itertools
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from myrtlehub.log_events import LogEvent
from myrtlehub.relay.log_writer import LogWriter

# Events that are too many to be logged, unless RELAY_LOG asks for all of them.
DETAILED_EVENTS = frozenset(
    (
        LogEvent.SEQUENCE_ANSWERED,
        LogEvent.ENGINE_STATE_CHANGED,
        LogEvent.ATTEMPT_ENDED,
        LogEvent.ATTEMPT_FAILED,
        LogEvent.REQUEST_REJECTED,
        LogEvent.SEND_WITHHELD,
        LogEvent.CONNECTION_CLOSED,
    )
)
MAX_RECORDED_EVENTS = 2000
MAX_DUMPED_EVENTS = 300  # the latest: what came before a violation
DUMP_INTERVAL_S = 10.0  # at least, from one dump to the next
LOGGED = msgspec.json.Encoder(enc_hook=str)


class RecordedEvent(NamedTuple):
    """An event in memory; `at` in seconds of the node's clock."""

    at: float
    event: LogEvent
    fields: dict[str, object]


class EventLog:
    """Logs events, and keeps the last ones of all kinds in memory (a flight recorder).

    It never raises: a node must not fail for lack of its log.
    """

    def __init__(self, writer: LogWriter, now: Callable[[], float], log_all: bool = False) -> None:
        self._writer = writer
        self._now = now
        self._log_all = log_all
        self._recorded: deque[RecordedEvent] = deque(maxlen=MAX_RECORDED_EVENTS)
        self._dumped_at = float("-inf")

    def __call__(self, event: LogEvent, /, **fields: object) -> None:
        """Record an event, and write it unless it is a detail."""
        self._recorded.append(RecordedEvent(self._now(), event, fields))
        if self._log_all or event not in DETAILED_EVENTS:
            self._write(event, fields)

    def _write(self, event: LogEvent, fields: dict[str, object]) -> None:
        try:
            line = LOGGED.encode({"event": event, **fields})
        except (TypeError, ValueError) as error:
            line = LOGGED.encode({"event": LogEvent.EVENT_NOT_ENCODABLE, "reason": type(error).__name__})
        self._writer.write_line(line + b"\n")

    def dump(self) -> None:
        """Write the last events, details among them; once in a while at most."""
        now = self._now()
        if self._log_all or now < self._dumped_at + DUMP_INTERVAL_S:
            return
        self._dumped_at = now
        first = max(0, len(self._recorded) - MAX_DUMPED_EVENTS)
        for recorded in list(itertools.islice(self._recorded, first, None)):
            self._write(
                LogEvent.EVENT_RECORDED,
                {"recorded_at_s": round(recorded.at, 4), "recorded": recorded.event, **recorded.fields},
            )

    def flush(self, patience: float) -> None:
        """Write what waits as the log's reader was slow; wait so many seconds for it at most."""
        self._writer.flush(patience)
