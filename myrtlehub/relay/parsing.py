"""Parsing that settings, endpoint lists, requests and engines' responses share."""

from typing import Any, NamedTuple

import msgspec

from myrtlehub.platform_settings import load_report_from_platform
from myrtlehub.relay.errors import MalformedJsonError
from myrtlehub.routing import contract

PORT_LIMIT = 65536


class SocketAddress(NamedTuple):
    """Where something listens."""

    host: str
    port: int


def parse_address(text: Any) -> SocketAddress | None:  # noqa: ANN401
    """Read HOST:PORT; None if it is no such text."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not (host and port.isascii() and port.isdigit() and 0 < int(port) < PORT_LIMIT):
        return None
    return SocketAddress(host, int(port))


def parse_json(data: bytes) -> Any:  # noqa: ANN401
    """Read JSON; MalformedJsonError where it can't be read, however deep it is nested."""
    try:
        return msgspec.json.decode(data)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise MalformedJsonError(f"is not JSON: {error}") from error


def parse_load_report(text: bytes) -> contract.LoadReport | None:
    """Read a load report; one that can't be read is none."""
    try:
        report = msgspec.json.decode(text, type=dict[str, float])
    except (msgspec.DecodeError, ValueError, RecursionError):
        return None
    return load_report_from_platform(report)
