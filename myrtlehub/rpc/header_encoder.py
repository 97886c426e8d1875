"""A stateless encoder of header blocks: each header is encoded once, and a block joins the cached bytes.

gRPC sends the same few headers repeatedly. The dynamic table of HPACK would make them shorter, but costs a
search and an insertion per header at both ends. A literal without indexing does not depend on other headers,
so its encoding, which hpack makes, can be cached.
"""

from collections.abc import Iterable

from hpack import Encoder, NeverIndexedHeaderTuple

MAX_CACHED_HEADERS = 4096  # per connection, to bound its memory; the cache is then cleared
MAX_CACHED_VALUE = 64  # bytes; longer values are unlikely to recur
EMPTY_DYNAMIC_TABLE = b"\x20"  # the size update with which the first block announces a table of size 0


class StatelessHeaderEncoder:
    """Replaces hpack's Encoder in h2."""

    def __init__(self) -> None:
        # Set by h2 from the peer's SETTINGS, and not used: a table of size 0 is always allowed.
        self.header_table_size = 0
        self._encoder = Encoder()
        self._cache: dict[tuple[str, str], bytes] = {}
        self._block_prefix = EMPTY_DYNAMIC_TABLE

    def encode(self, headers: Iterable[tuple[str, str]], huffman: bool = False) -> bytes:
        """Return a header block."""
        cache = self._cache
        parts = []
        for header in headers:
            part = cache.get(header)
            if part is None:
                part = self._encode_header(header)
            parts.append(part)
        prefix = self._block_prefix
        self._block_prefix = b""
        return prefix + b"".join(parts)

    def _encode_header(self, header: tuple[str, str]) -> bytes:
        name, value = header
        part = self._encoder.encode([NeverIndexedHeaderTuple(name, value)], huffman=False)
        if len(value) <= MAX_CACHED_VALUE:
            if len(self._cache) >= MAX_CACHED_HEADERS:
                self._cache.clear()
            self._cache[header] = part
        return part
