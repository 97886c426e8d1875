"""What the programs share: invalid files, listening, structured logs, ending."""

import sys
from collections.abc import Callable
from pathlib import Path
from typing import NoReturn, TypeVar

import msgspec
import structlog
from twisted.internet.base import ReactorBase
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP4ServerEndpoint
from twisted.internet.error import CannotListenError
from twisted.internet.interfaces import IListeningPort, IProtocolFactory
from twisted.logger import globalLogBeginner, textFileLogObserver

from myrtlehub.config.loader import ConfigError, ConfigModel, load_config
from myrtlehub.log_events import Log

INVALID = 2  # exit code where a file or an address is wrong
CONNECT_TIMEOUT = 30  # seconds
LISTEN_BACKLOG = 511

Model = TypeVar("Model", bound=ConfigModel)
Connect = Callable[[IProtocolFactory], Deferred]  # opens a connection to one address


def fail(text: str) -> NoReturn:
    """Print one line on standard error, and exit with INVALID."""
    print(text, file=sys.stderr)
    sys.exit(INVALID)


def load_or_exit(path: Path, model: type[Model]) -> Model:
    """Load a file, checked whole; print its faults a line each and exit with INVALID if there are any."""
    try:
        return load_config(path, model)
    except ConfigError as error:
        fail(str(error))


def _to_json(event: dict, **ignored: object) -> str:
    return msgspec.json.encode(event).decode()


def logger(**always: object) -> Log:
    """Return a log of JSON lines on standard output; the fields `always` are in each."""
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.EventRenamer("event"),
            structlog.processors.JSONRenderer(serializer=_to_json),
        ],
        logger_factory=structlog.WriteLoggerFactory(sys.stdout),
        cache_logger_on_first_use=True,
    )
    globalLogBeginner.beginLoggingTo([textFileLogObserver(sys.stderr)], redirectStandardIO=False)
    bound = structlog.get_logger().bind(**always)

    def log(event: str, **fields: object) -> None:
        bound.info(event, **fields)
        sys.stdout.flush()

    return log


def dialer(reactor: ReactorBase) -> Callable[[str], Connect]:
    """Return `dial(address)` for channels, over TCP."""

    def dial(address: str) -> Connect:
        host, port = address.rsplit(":", 1)
        return TCP4ClientEndpoint(reactor, host, int(port), timeout=CONNECT_TIMEOUT).connect

    return dial


def listen(reactor: ReactorBase, address: str, factory: IProtocolFactory) -> IListeningPort:
    """Listen; print one line and exit with INVALID if that is not possible."""
    host, port = address.rsplit(":", 1)
    results: list = []
    endpoint = TCP4ServerEndpoint(reactor, int(port), interface=host, backlog=LISTEN_BACKLOG)
    endpoint.listen(factory).addBoth(results.append)
    result = results[0]
    if hasattr(result, "stopListening"):
        return result
    reason = result.value
    message = reason.socketError if isinstance(reason, CannotListenError) else reason
    fail(f"cannot listen on {address}: {message}")
