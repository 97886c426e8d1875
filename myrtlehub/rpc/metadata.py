"""Metadata against HTTP/2 headers: `-bin` values are bytes here and base64 on the wire."""

from base64 import b64decode, b64encode
from binascii import Error as Base64Error
from collections.abc import Iterable
from re import compile as pattern

from myrtlehub.rpc.status import Code, Metadata, RpcError

_KEY = pattern(r"[0-9a-z_.\-]+")
_VALUE = pattern(r"[\x20-\x7e]*")
RESERVED = ("content-type", "te", "user-agent", "connection", "host")

Headers = list[tuple[str, str]]


def encode(metadata: Iterable[tuple[str, str | bytes]]) -> Headers:
    """Headers for metadata; ValueError names a key or value that may not travel."""
    headers = []
    for key, value in metadata:
        if not _KEY.fullmatch(key) or key.startswith("grpc-") or key in RESERVED:
            raise ValueError(f"metadata key {key!r} may not be used")
        if key.endswith("-bin"):
            raw = value if isinstance(value, bytes) else value.encode()
            headers.append((key, b64encode(raw).rstrip(b"=").decode()))
        elif isinstance(value, bytes) or not _VALUE.fullmatch(value):
            raise ValueError(f"metadata {key}: only printable ASCII may be sent; use a key that ends in -bin")
        else:
            headers.append((key, value))
    return headers


def decode(headers: Iterable[tuple[str, str]]) -> Metadata:
    """Application metadata among received headers; INTERNAL where a -bin value is not base64."""
    metadata = []
    for key, value in headers:
        if key[0] == ":" or key.startswith("grpc-") or key in RESERVED:
            continue
        if not key.endswith("-bin"):
            metadata.append((key, value))
            continue
        for part in value.split(","):  # peers may join repeated binary headers
            part = part.strip()
            try:
                metadata.append((key, b64decode(part + "=" * (-len(part) % 4), validate=True)))
            except (Base64Error, ValueError) as fault:
                raise RpcError(Code.INTERNAL, f"metadata {key} is not base64: {fault}") from fault
    return tuple(metadata)


def first(metadata: Metadata, key: str, default: str = "") -> str:
    """The first text value under a key."""
    for name, value in metadata:
        if name == key and isinstance(value, str):
            return value
    return default
