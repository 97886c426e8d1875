"""Conversion between gRPC metadata and HTTP/2 headers; bytes of `-bin` keys are sent as base64."""

from base64 import b64decode, b64encode
from binascii import Error as Base64Error
from collections.abc import Iterable
from re import compile as compile_pattern

from myrtlehub.rpc.status import Code, Metadata, MetadataItem, RpcError

_KEY_PATTERN = compile_pattern(r"[0-9a-z_.\-]+")
_VALUE_PATTERN = compile_pattern(r"[\x20-\x7e]*")
RESERVED_KEYS = ("content-type", "te", "user-agent", "connection", "host")

Headers = list[tuple[str, str]]


def encode(metadata: Iterable[MetadataItem]) -> Headers:
    """Encode metadata as headers.

    Raises:
        ValueError: a key is reserved or invalid, or a value is invalid; the message names the key.
    """
    headers = []
    for key, value in metadata:
        if not _KEY_PATTERN.fullmatch(key) or key.startswith("grpc-") or key in RESERVED_KEYS:
            raise ValueError(f"metadata key {key!r} is reserved or invalid")
        if key.endswith("-bin"):
            raw = value if isinstance(value, bytes) else value.encode()
            headers.append((key, b64encode(raw).rstrip(b"=").decode()))
        elif isinstance(value, bytes) or not _VALUE_PATTERN.fullmatch(value):
            raise ValueError(f"metadata {key}: value is not printable ASCII; use a key with the suffix -bin")
        else:
            headers.append((key, value))
    return headers


def decode(headers: Iterable[tuple[str, str]]) -> Metadata:
    """Decode the metadata in received headers, without reserved headers.

    Raises:
        RpcError: INTERNAL, if the value of a `-bin` key is not valid base64.
    """
    metadata: list[MetadataItem] = []
    for key, value in headers:
        if key[0] == ":" or key.startswith("grpc-") or key in RESERVED_KEYS:
            continue
        if not key.endswith("-bin"):
            metadata.append((key, value))
            continue
        # Peers may join repeated binary headers with commas.
        metadata.extend((key, _decode_base64(key, part.strip())) for part in value.split(","))
    return tuple(metadata)


def _decode_base64(key: str, text: str) -> bytes:
    padding = "=" * (-len(text) % 4)
    try:
        return b64decode(text + padding, validate=True)
    except (Base64Error, ValueError) as error:
        raise RpcError(Code.INTERNAL, f"metadata {key} is not base64: {error}") from error


def first(metadata: Metadata, key: str, default: str = "") -> str:
    """Return the first text value of a key, or the default if there is none."""
    for name, value in metadata:
        if name == key and isinstance(value, str):
            return value
    return default
