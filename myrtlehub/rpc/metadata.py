"""Conversion between metadata and HTTP/2 headers; values of `-bin` keys are bytes, in base64 on the wire."""

from base64 import b64decode, b64encode
from binascii import Error as Base64Error
from collections.abc import Iterable
from re import compile as compile_pattern

from myrtlehub.rpc.status import Code, Metadata, MetadataItem, RpcError

_KEY = compile_pattern(r"[0-9a-z_.\-]+")
_VALUE = compile_pattern(r"[\x20-\x7e]*")
RESERVED = ("content-type", "te", "user-agent", "connection", "host")

Headers = list[tuple[str, str]]


def encode(metadata: Iterable[MetadataItem]) -> Headers:
    """Return headers for metadata.

    Raises:
        ValueError: a key or value may not be sent; the message names the key.
    """
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
    """Return the application's metadata in received headers.

    Raises:
        RpcError: INTERNAL, if the value of a `-bin` key is not base64.
    """
    metadata: list[MetadataItem] = []
    for key, value in headers:
        if key[0] == ":" or key.startswith("grpc-") or key in RESERVED:
            continue
        if not key.endswith("-bin"):
            metadata.append((key, value))
            continue
        # Peers may join repeated binary headers by commas.
        metadata.extend((key, _decode_base64(key, part.strip())) for part in value.split(","))
    return tuple(metadata)


def _decode_base64(key: str, text: str) -> bytes:
    padding = "=" * (-len(text) % 4)
    try:
        return b64decode(text + padding, validate=True)
    except (Base64Error, ValueError) as error:
        raise RpcError(Code.INTERNAL, f"metadata {key} is not base64: {error}") from error


def first(metadata: Metadata, key: str, default: str = "") -> str:
    """Return the first text value of a key, or the default."""
    for name, value in metadata:
        if name == key and isinstance(value, str):
            return value
    return default
