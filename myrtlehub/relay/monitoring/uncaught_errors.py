"""Tracebacks of what nobody caught, written to standard error without ever blocking."""

from typing import Any

from twisted.logger import LogLevel, eventAsText, globalLogBeginner

from myrtlehub.relay.monitoring.log_writer import LogWriter


def log_uncaught_errors(writer: LogWriter) -> None:
    """Have the reactor's critical events written, and no others.

    Guards against Twisted's own way before its log has begun: it writes to standard error whatever becomes of
    that, so that a pipe that nobody drains would stop the process, and keeps all other events in memory.
    """

    def write(event: dict[str, Any]) -> None:
        if event.get("log_level") is LogLevel.critical:
            writer.write_line(eventAsText(event, includeSystem=False).encode(errors="replace") + b"\n")

    globalLogBeginner.beginLoggingTo([write], discardBuffer=True, redirectStandardIO=False)
