"""Headers of clients' requests: which are read here, and which go on to engines."""

from myrtlehub.http1.interfaces import Headers
from myrtlehub.relay.errors import RejectedRequestError

MAX_NUMBER_DIGITS = 12  # of a whole number from outside: beyond any time or length

# Headers of a request that are read here: each may be there once.
READ_HEADERS = frozenset(
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
# Headers that are between two ends of a connection, by RFC 9110 (7.6.1), or written anew: all others go on.
CONNECTION_HEADERS = frozenset(
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
        b"x-remaining-ms",
        b"x-estimate",
    )
)


def read_fields(headers: Headers) -> dict[bytes, bytes]:
    """Return the headers that are read here, by name; RejectedRequestError where one is there twice."""
    fields: dict[bytes, bytes] = {}
    for name, value in headers:
        if name in READ_HEADERS:
            if name in fields:
                raise RejectedRequestError(400, f"{name.decode()} is there twice")
            fields[name] = value
    return fields


def forwarded_headers(headers: Headers) -> Headers:
    """Return the headers that go on to engines: all but those of the client's connection."""
    own = _connection_headers(headers)
    return [(name, value) for name, value in headers if name not in own]


def _connection_headers(headers: Headers) -> frozenset[bytes]:
    """Return the names that don't go on to engines, with those that the client's Connection names.

    Guards against dropping what an engine acts on: by Idempotency-Key it knows a repeat of what it has done.
    """
    named = [
        part.strip().lower() for name, value in headers if name == b"connection" for part in value.split(b",")
    ]
    return CONNECTION_HEADERS.union(named) if named else CONNECTION_HEADERS


def parse_number(text: bytes, what: str) -> int:
    """Read a whole number; RejectedRequestError names `what`."""
    if not (0 < len(text) <= MAX_NUMBER_DIGITS and text.isdigit()):
        raise RejectedRequestError(400, f"{what} is no number")
    return int(text)


def parse_labels(text: bytes) -> dict[bytes, bytes]:
    """Read X-Labels: NAME=VALUE parts with commas between them."""
    labels = {}
    for part in text.split(b",") if text else ():
        name, equals, value = part.strip().partition(b"=")
        if not equals or name in labels:
            raise RejectedRequestError(400, "X-Labels can't be read")
        labels[name] = value
    return labels
