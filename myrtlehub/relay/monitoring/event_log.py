"""The log of events: one JSON object a line, and the last events in memory for when something goes wrong."""

import itertools
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from myrtlehub.relay.monitoring.log_writer import LogWriter

# Events that are too many to be logged, unless RELAY_LOG asks for all of them.
DETAILED_EVENTS = frozenset(
    ("answer", "engine", "attempt", "broken", "request rejected", "withheld", "release", "closed")
)
MAX_RECORDED_EVENTS = 2000
MAX_DUMPED_EVENTS = 300  # the latest: what came before a violation
DUMP_INTERVAL_S = 10.0  # at least, from one dump to the next
LOGGED = msgspec.json.Encoder(enc_hook=str)


def no_log(event: str, **fields: object) -> None:
    """Write nothing."""


class RecordedEvent(NamedTuple):
    """An event in memory; `at` in seconds of the node's clock."""

    at: float
    event: str
    fields: dict[str, Any]


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

    def __call__(self, event: str, **fields: Any) -> None:  # noqa: ANN401
        """Record an event, and write it unless it is a detail."""
        self._recorded.append(RecordedEvent(self._now(), event, fields))
        if self._log_all or event not in DETAILED_EVENTS:
            self._write(event, fields)

    def _write(self, event: str, fields: dict[str, Any]) -> None:
        try:
            line = LOGGED.encode({"event": event, **fields})
        except (TypeError, ValueError) as error:
            line = LOGGED.encode({"event": "unreadable event", "why": type(error).__name__})
        self._writer.write_line(line + b"\n")

    def dump(self) -> None:
        """Write the last events, details among them; once in a while at most."""
        now = self._now()
        if self._log_all or now < self._dumped_at + DUMP_INTERVAL_S:
            return
        self._dumped_at = now
        first = max(0, len(self._recorded) - MAX_DUMPED_EVENTS)
        for recorded in list(itertools.islice(self._recorded, first, None)):
            self._write("recorded", {"at": round(recorded.at, 4), "of": recorded.event, **recorded.fields})

    def flush(self, patience: float) -> None:
        """Write what waits as the log's reader was slow; wait so many seconds for it at most."""
        self._writer.flush(patience)
