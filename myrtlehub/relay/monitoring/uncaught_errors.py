"""Non-blocking output of tracebacks of uncaught exceptions to standard error."""

from typing import Any

from twisted.logger import LogLevel, eventAsText, globalLogBeginner

from myrtlehub.relay.monitoring.log_writer import LogWriter


def log_uncaught_errors(writer: LogWriter) -> None:
    """Write Twisted's critical log events, which contain the tracebacks, and discard all others.

    Without an observer, Twisted buffers all log events and writes critical ones to standard error with
    blocking calls, so that a pipe that is not read would block the process.
    """

    def write(event: dict[str, Any]) -> None:
        if event.get("log_level") is LogLevel.critical:
            writer.write_line(eventAsText(event, includeSystem=False).encode(errors="replace") + b"\n")

    observers = [write]
    globalLogBeginner.beginLoggingTo(
        observers,  # type: ignore[arg-type] # ILogObserver is a zope interface, unknown to mypy
        discardBuffer=True,
        redirectStandardIO=False,
    )
