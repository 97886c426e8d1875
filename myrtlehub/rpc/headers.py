"""Header blocks that need no state: each header is encoded once and kept, a block is their joining.

gRPC sends the same few headers over and over. HPACK's dynamic table would make them short and dear: a
search and
an insertion for each, at both ends. Literals without indexing stand alone, so their bytes can be kept; hpack
itself makes them.
"""

from collections.abc import Iterable

from hpack import Encoder, NeverIndexedHeaderTuple

KEPT = 4096  # headers whose bytes are kept, by connection
SHORT = 64  # bytes of a value that is worth keeping


class PlainEncoder:
    """Stands in for hpack's Encoder under h2. The first block says that the dynamic table has size 0."""

    def __init__(self) -> None:
        self.header_table_size = 0  # h2 sets it by the peer's SETTINGS; a table of size 0 is always allowed
        self._encoder = Encoder()
        self._kept: dict[tuple[str, str], bytes] = {}
        self._first = b"\x20"

    def encode(self, headers: Iterable[tuple[str, str]], huffman: bool = False) -> bytes:
        """A header block."""
        kept, parts = self._kept, []
        for header in headers:
            part = kept.get(header)
            if part is None:
                part = self._encoder.encode([NeverIndexedHeaderTuple(*header)], huffman=False)
                if len(header[1]) <= SHORT:
                    if len(kept) >= KEPT:
                        kept.clear()
                    kept[header] = part
            parts.append(part)
        first, self._first = self._first, b""
        return first + b"".join(parts)
