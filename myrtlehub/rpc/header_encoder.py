"""A stateless encoder of header blocks, which concatenates cached encodings of single headers.

gRPC sends the same few headers repeatedly. HPACK's dynamic table would compress them further, but costs a
search and an insertion per header at both ends. A literal without indexing does not depend on other headers,
so its encoding by hpack can be cached.
"""

from collections.abc import Iterable

from hpack import Encoder, NeverIndexedHeaderTuple

MAX_CACHED_HEADERS = 4096  # per connection, to limit its memory; a full cache is cleared
MAX_CACHED_VALUE_SIZE = 64  # bytes; longer values are unlikely to be repeated
EMPTY_DYNAMIC_TABLE = b"\x20"  # starts the first block: dynamic table size update to 0


class StatelessHeaderEncoder:
    """Replacement of hpack's Encoder in h2."""

    def __init__(self) -> None:
        # h2 sets it from the peer's SETTINGS; it is not used, as a table of size 0 is always allowed.
        self.header_table_size = 0
        self._encoder = Encoder()
        self._cache: dict[tuple[str, str], bytes] = {}
        self._block_prefix = EMPTY_DYNAMIC_TABLE

    def encode(self, headers: Iterable[tuple[str, str]], huffman: bool = False) -> bytes:
        """Encode a header block."""
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
        if len(value) <= MAX_CACHED_VALUE_SIZE:
            if len(self._cache) >= MAX_CACHED_HEADERS:
                self._cache.clear()
            self._cache[header] = part
        return part
