"""gRPC status codes, their encoding in headers, and their mapping from HTTP and HTTP/2 errors.

References: "gRPC over HTTP2" and "HTTP to gRPC Status Code Mapping" in the documentation of gRPC.
"""

from enum import IntEnum
from typing import NamedTuple
from urllib.parse import quote_from_bytes, unquote_to_bytes

from h2.errors import ErrorCodes

MetadataItem = tuple[str, str | bytes]  # key and value; bytes for keys with the suffix -bin
Metadata = tuple[MetadataItem, ...]


class Code(IntEnum):
    """Canonical gRPC status codes."""

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
    """Final status of a call.

    Attributes:
        unprocessed: True only if the peer's application certainly did not receive the call: it was not sent,
            the peer refused the stream, or the peer's GOAWAY had a lower last stream id.
        broken: The connection or the stream failed before the peer sent a status.
    """

    code: Code
    message: str = ""
    trailers: Metadata = ()
    unprocessed: bool = False
    broken: bool = False


class RpcError(Exception):
    """A call ended with a status other than OK."""

    def __init__(self, code: Code, message: str = "", status: Status | None = None) -> None:
        self.status = status or Status(code, message)
        super().__init__(f"{self.status.code.name}: {self.status.message}")


_CODES_BY_HTTP_STATUS: dict[int, Code] = {
    400: Code.INTERNAL,
    401: Code.UNAUTHENTICATED,
    403: Code.PERMISSION_DENIED,
    404: Code.UNIMPLEMENTED,
    429: Code.UNAVAILABLE,
    502: Code.UNAVAILABLE,
    503: Code.UNAVAILABLE,
    504: Code.UNAVAILABLE,
}

_CODES_BY_RESET_ERROR: dict[int, Code] = {
    ErrorCodes.REFUSED_STREAM: Code.UNAVAILABLE,
    ErrorCodes.CANCEL: Code.CANCELLED,
    ErrorCodes.ENHANCE_YOUR_CALM: Code.RESOURCE_EXHAUSTED,
    ErrorCodes.INADEQUATE_SECURITY: Code.PERMISSION_DENIED,
}


def code_from_http_status(status: int) -> Code:
    """Return the code for a response without grpc-status by its HTTP status."""
    return _CODES_BY_HTTP_STATUS.get(status, Code.UNKNOWN)


def code_from_reset_error(error: int) -> Code:
    """Return the code for a stream reset by the peer by its HTTP/2 error code."""
    return _CODES_BY_RESET_ERROR.get(error, Code.INTERNAL)


def parse_code(text: str) -> Code:
    """Parse a grpc-status header; return UNKNOWN for an invalid value."""
    try:
        return Code(int(text))
    except ValueError:
        return Code.UNKNOWN


def encode_message(text: str) -> str:
    """Percent-encode a grpc-message; printable ASCII characters other than '%' are not encoded."""
    return quote_from_bytes(text.encode(), safe=_PLAIN_CHARACTERS)


def decode_message(text: str) -> str:
    """Decode a percent-encoded grpc-message; invalid UTF-8 is replaced."""
    return unquote_to_bytes(text).decode(errors="replace")


_PLAIN_CHARACTERS = "".join(chr(code) for code in range(32, 127) if chr(code) != "%")
_TIMEOUT_COUNT_LIMIT = 10**8  # exclusive; a timeout has at most eight digits
_MAX_ENCODED_TIMEOUT = "99999999H"
_SECONDS_PER_UNIT = {"H": 3600.0, "M": 60.0, "S": 1.0, "m": 1e-3, "u": 1e-6, "n": 1e-9}


def encode_timeout(seconds: float) -> str:
    """Encode a grpc-timeout header, rounded down so that no hop extends a deadline."""
    seconds = max(0.0, seconds)
    for unit in "numSMH":
        count = int(seconds / _SECONDS_PER_UNIT[unit] + 1e-9)
        if count < _TIMEOUT_COUNT_LIMIT:
            return f"{count}{unit}"
    return _MAX_ENCODED_TIMEOUT


def decode_timeout(text: str) -> float:
    """Decode a grpc-timeout header to seconds.

    Raises:
        ValueError: the header is malformed.
    """
    digits, unit = text[:-1], text[-1:]
    if not (1 <= len(digits) <= 8 and digits.isascii() and digits.isdigit() and unit in _SECONDS_PER_UNIT):
        raise ValueError(f"grpc-timeout {text!r} is not 1 to 8 digits and one of H M S m u n")
    return int(digits) * _SECONDS_PER_UNIT[unit]
