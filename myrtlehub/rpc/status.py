"""Status codes of gRPC, their form in headers, and the codes of HTTP and HTTP/2 failures.

Source: the pages of the gRPC project on gRPC over HTTP/2, and on the mapping of HTTP to gRPC status codes.
"""

from enum import IntEnum
from typing import NamedTuple
from urllib.parse import quote_from_bytes, unquote_to_bytes

from h2.errors import ErrorCodes

MetadataItem = tuple[str, str | bytes]  # key and value, which is bytes for keys that end in -bin
Metadata = tuple[MetadataItem, ...]


class Code(IntEnum):
    """Canonical status codes."""

    OK = 0
    CANCELLED = 1
    UNKNOWN = 2
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    NOT_FOUND = 5
    ALREADY_EXISTS = 6
    PERMISSION_DENIED = 7
    RESOURCE_EXHAUSTED = 8
    FAILED_PRECONDITION = 9
    ABORTED = 10
    OUT_OF_RANGE = 11
    UNIMPLEMENTED = 12
    INTERNAL = 13
    UNAVAILABLE = 14
    DATA_LOSS = 15
    UNAUTHENTICATED = 16


class Status(NamedTuple):
    """How a call ended.

    `unprocessed` is True only if it is certain that the peer's application did not receive the call: it was
    not sent, the peer refused the stream, or a GOAWAY named a lower last stream. `broken` is True if the
    connection or the stream failed before the peer had sent a status.
    """

    code: Code
    message: str = ""
    trailers: Metadata = ()
    unprocessed: bool = False
    broken: bool = False


class RpcError(Exception):
    """A call that ended with another status than OK."""

    def __init__(self, code: Code, message: str = "", status: Status | None = None) -> None:
        self.status = status or Status(code, message)
        super().__init__(f"{self.status.code.name}: {self.status.message}")


_CODES_OF_HTTP: dict[int, Code] = {
    400: Code.INTERNAL,
    401: Code.UNAUTHENTICATED,
    403: Code.PERMISSION_DENIED,
    404: Code.UNIMPLEMENTED,
    429: Code.UNAVAILABLE,
    502: Code.UNAVAILABLE,
    503: Code.UNAVAILABLE,
    504: Code.UNAVAILABLE,
}

_CODES_OF_RESET: dict[int, Code] = {
    ErrorCodes.REFUSED_STREAM: Code.UNAVAILABLE,
    ErrorCodes.CANCEL: Code.CANCELLED,
    ErrorCodes.ENHANCE_YOUR_CALM: Code.RESOURCE_EXHAUSTED,
    ErrorCodes.INADEQUATE_SECURITY: Code.PERMISSION_DENIED,
}


def from_http(status: int) -> Code:
    """Return the code for a response without grpc-status, by its HTTP status."""
    return _CODES_OF_HTTP.get(status, Code.UNKNOWN)


def from_reset(error: int) -> Code:
    """Return the code for a stream that the peer has reset, by its HTTP/2 error code."""
    return _CODES_OF_RESET.get(error, Code.INTERNAL)


def parse_code(text: str) -> Code:
    """Return the code in a grpc-status header, UNKNOWN if it is not a valid code."""
    try:
        return Code(int(text))
    except ValueError:
        return Code.UNKNOWN


def encode_message(text: str) -> str:
    """Percent-encode a grpc-message, except for printable ASCII characters other than '%'."""
    return quote_from_bytes(text.encode(), safe=_PLAIN_CHARACTERS)


def decode_message(text: str) -> str:
    """Decode a grpc-message; bytes that are not UTF-8 are replaced."""
    return unquote_to_bytes(text).decode(errors="replace")


_PLAIN_CHARACTERS = "".join(chr(code) for code in range(32, 127) if chr(code) != "%")
_MAX_TIMEOUT_COUNT = 10**8  # exclusive: at most eight digits
_MAX_TIMEOUT = "99999999H"
_UNITS = {"H": 3600.0, "M": 60.0, "S": 1.0, "m": 1e-3, "u": 1e-6, "n": 1e-9}


def encode_timeout(seconds: float) -> str:
    """Return the value of a grpc-timeout header, rounded down so that no hop lengthens a deadline."""
    seconds = max(0.0, seconds)
    for unit in "numSMH":
        count = int(seconds / _UNITS[unit] + 1e-9)
        if count < _MAX_TIMEOUT_COUNT:
            return f"{count}{unit}"
    return _MAX_TIMEOUT


def decode_timeout(text: str) -> float:
    """Return the seconds in a grpc-timeout header.

    Raises:
        ValueError: the header is malformed.
    """
    digits, unit = text[:-1], text[-1:]
    if not (1 <= len(digits) <= 8 and digits.isascii() and digits.isdigit() and unit in _UNITS):
        raise ValueError(f"grpc-timeout {text!r} is not 1 to 8 digits and one of H M S m u n")
    return int(digits) * _UNITS[unit]
