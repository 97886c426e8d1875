"""Headers of clients' requests: those that the relay interprets and those that it forwards to engines."""

from http import HTTPStatus

from myrtlehub.http1.headers import Headers
from myrtlehub.relay.errors import RejectedRequestError

MAX_NUMBER_DIGITS = 12  # enough for any time in ms or length in tokens

# Headers that the relay interprets. Each may occur only once in a request.
INTERPRETED_HEADERS = frozenset(
    (
        b"x-txn",
        b"x-lane",
        b"x-org",
        b"x-entity",
        b"x-labels",
        b"x-resent",
        b"content-type",
        b"x-remaining-ms",
        b"x-estimate",
    )
)
# Headers that are not forwarded: hop-by-hop headers (RFC 9110, section 7.6.1), those of which the relay sends
# its own, and Accept-Encoding, as the relay has to read the events of the response. All others are forwarded.
NOT_FORWARDED_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"te",
        b"trailer",
        b"proxy-authorization",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"host",
        b"content-length",
        b"accept-encoding",
        b"x-remaining-ms",
        b"x-estimate",
    )
)


def interpreted_headers(headers: Headers) -> dict[bytes, bytes]:
    """Return the interpreted headers by name.

    Raises:
        RejectedRequestError: One of them occurs more than once.
    """
    fields: dict[bytes, bytes] = {}
    for name, value in headers:
        if name in INTERPRETED_HEADERS:
            if name in fields:
                raise RejectedRequestError(HTTPStatus.BAD_REQUEST, f"{name.decode()} occurs more than once")
            fields[name] = value
    return fields


def forwarded_headers(headers: Headers) -> Headers:
    """Return the headers that are forwarded to engines.

    They include headers unknown to the relay, because engines interpret some of them. For example, an engine
    that does not receive the Idempotency-Key executes a retry as a new request.
    """
    not_forwarded = _names_not_forwarded(headers)
    return [header for header in headers if header.name not in not_forwarded]


def _names_not_forwarded(headers: Headers) -> frozenset[bytes]:
    """Return the names of headers not to forward, including those listed in Connection headers."""
    connection_options = [
        part.strip().lower() for name, value in headers if name == b"connection" for part in value.split(b",")
    ]
    return NOT_FORWARDED_HEADERS.union(connection_options) if connection_options else NOT_FORWARDED_HEADERS


def parse_number(text: bytes, name: str) -> int:
    """Parse a non-negative integer.

    Raises:
        RejectedRequestError: `text` is not a non-negative integer; the message contains `name`.
    """
    if not (0 < len(text) <= MAX_NUMBER_DIGITS and text.isdigit()):
        raise RejectedRequestError(HTTPStatus.BAD_REQUEST, f"{name} is not a non-negative integer")
    return int(text)


def parse_labels(text: bytes) -> dict[bytes, bytes]:
    """Parse the value of X-Labels: comma-separated NAME=VALUE pairs.

    Raises:
        RejectedRequestError: A part is not such a pair, or a name occurs more than once.
    """
    labels: dict[bytes, bytes] = {}
    for part in text.split(b",") if text else ():
        name, equals, value = part.strip().partition(b"=")
        if not equals or name in labels:
            raise RejectedRequestError(HTTPStatus.BAD_REQUEST, "X-Labels is malformed")
        labels[name] = value
    return labels
