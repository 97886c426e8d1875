"""Header fields of HTTP messages."""

from typing import NamedTuple


class Header(NamedTuple):
    """One header field; h11 gives names in lower case."""

    name: bytes
    value: bytes


Headers = list[Header]
