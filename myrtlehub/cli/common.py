"""What the programs share: files that are wrong, listening, structured logs, ending."""

import sys
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import msgspec
import structlog
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP4ServerEndpoint
from twisted.internet.error import CannotListenError
from twisted.logger import globalLogBeginner, textFileLogObserver

from myrtlehub.config.load import Faults, Sheet, load

S = TypeVar("S", bound=Sheet)


def fail(text: str) -> None:
    """One line on standard error, exit 2."""
    print(text, file=sys.stderr)
    sys.exit(2)


def sheet_of(path: Path, schema: type[S]) -> S:
    """A file, checked whole; its faults a line each and exit 2."""
    try:
        return load(path, schema)
    except Faults as fault:
        fail(str(fault))


def _json(event: dict, **ignored: object) -> str:
    return msgspec.json.encode(event).decode()


def logger(**always: object) -> Callable[..., None]:
    """JSON lines on standard output; `log(event, field=...)`."""
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.EventRenamer("event"),
            structlog.processors.JSONRenderer(serializer=_json),
        ],
        logger_factory=structlog.WriteLoggerFactory(sys.stdout),
        cache_logger_on_first_use=True,
    )
    globalLogBeginner.beginLoggingTo([textFileLogObserver(sys.stderr)], redirectStandardIO=False)
    bound = structlog.get_logger().bind(**always)

    def log(event: str, **more: object) -> None:
        bound.info(event, **more)
        sys.stdout.flush()

    return log


def dialer(reactor: object) -> Callable[[str], Callable]:
    """`dial(address)` for channels, over TCP."""

    def dial(address: str) -> Callable:
        host, port = address.rsplit(":", 1)
        return TCP4ClientEndpoint(reactor, host, int(port), timeout=30).connect

    return dial


def listen(reactor: object, address: str, factory: object) -> object:
    """The listening port, or one line and exit 2."""
    host, port = address.rsplit(":", 1)
    made = []
    TCP4ServerEndpoint(reactor, int(port), interface=host, backlog=511).listen(factory).addBoth(made.append)
    result = made[0]
    if hasattr(result, "stopListening"):
        return result
    reason = result.value
    said = reason.socketError if isinstance(reason, CannotListenError) else reason
    fail(f"cannot listen on {address}: {said}")
