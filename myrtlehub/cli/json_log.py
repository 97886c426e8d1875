"""The structured log of a program: one JSON object per line on standard output."""

import sys

import msgspec
import structlog
from twisted.logger import globalLogBeginner, textFileLogObserver

from myrtlehub.log_events import Log, LogEvent


def _to_json(event: dict[str, object], **_options: object) -> str:
    return msgspec.json.encode(event).decode()


def make_log(**common_fields: object) -> Log:
    """Return a log that writes JSON lines to standard output; each line has the common fields.

    Twisted's own log, with the tracebacks of uncaught exceptions, is written to standard error as text.
    """
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.EventRenamer("event"),
            structlog.processors.JSONRenderer(serializer=_to_json),
        ],
        logger_factory=structlog.WriteLoggerFactory(sys.stdout),
        cache_logger_on_first_use=True,
    )
    globalLogBeginner.beginLoggingTo(
        [textFileLogObserver(sys.stderr)],  # type: ignore[list-item] # mypy does not know zope interfaces
        redirectStandardIO=False,
    )
    logger = structlog.get_logger().bind(**common_fields)

    def log(event: LogEvent, /, **fields: object) -> None:
        logger.info(event, **fields)
        sys.stdout.flush()

    return log
