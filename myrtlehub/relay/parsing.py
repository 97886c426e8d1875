"""Parsers for addresses, JSON and load reports, shared by the packages of the relay."""

from typing import Any, NamedTuple

import msgspec

from myrtlehub.platform_settings import load_report_from_platform
from myrtlehub.relay.errors import MalformedJsonError
from myrtlehub.routing import contract

PORT_LIMIT = 65536  # TCP port numbers are lower


class SocketAddress(NamedTuple):
    """Host and TCP port of a socket."""

    host: str
    port: int


def parse_address(text: Any) -> SocketAddress | None:  # noqa: ANN401
    """Parse HOST:PORT; return None if `text` is not a string of that form."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not (host and port.isascii() and port.isdigit() and 0 < int(port) < PORT_LIMIT):
        return None
    return SocketAddress(host, int(port))


def parse_json(data: bytes) -> Any:  # noqa: ANN401
    """Parse JSON.

    Raises:
        MalformedJsonError: `data` is not JSON, or is nested too deeply.
    """
    try:
        return msgspec.json.decode(data)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise MalformedJsonError(f"is not JSON: {error}") from error


def parse_load_report(text: bytes) -> contract.LoadReport | None:
    """Parse an engine's load report; return None if it is malformed."""
    try:
        report = msgspec.json.decode(text, type=dict[str, float])
    except (msgspec.DecodeError, ValueError, RecursionError):
        return None
    return load_report_from_platform(report)
