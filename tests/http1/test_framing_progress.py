"""What the framing of a message has announced, read beside the parser."""

import pytest

from myrtlehub.http1.framing import Framing
from myrtlehub.http1.framing_progress import FramingProgress


def chunked() -> FramingProgress:
    progress = FramingProgress()
    progress.begin({b"transfer-encoding": b"chunked"})
    return progress


@pytest.mark.parametrize(
    ("unparsed", "announced"),
    [
        (b"", 0),
        (b"\r\n", 0),
        (b"c", 12),
        (b"\r\nC0000000", 3 << 30),
        (b"\n4d\r\ndata: ", 77),
        (b"4d;name=value\r\n", 77),
        (b"00000000000000000000000000004d", 77),
        (b";4d", 0),
    ],
)
def test_a_size_line_announces_its_chunk_before_it_is_complete(unparsed: bytes, announced: int) -> None:
    progress = chunked()
    progress.read_size_line(unparsed)
    assert progress.announced_bytes == announced


def test_the_content_of_a_chunk_is_not_read_as_a_size_line() -> None:
    progress = chunked()
    progress.read_size_line(b"a\r\nc0000000")
    progress.content_received(8, is_chunk_end=False)
    assert not progress.expects_size_line and progress.announced_bytes == 2
    progress.content_received(2, is_chunk_end=True)
    assert progress.expects_size_line and progress.announced_bytes == 0


def test_the_content_that_comes_after_its_size_line_is_not_read_as_one() -> None:
    progress = chunked()
    progress.read_size_line(b"\r\na\r")
    assert progress.expects_size_line
    progress.read_size_line(b"\r\na\r\n")
    assert not progress.expects_size_line and progress.announced_bytes == 10


def test_a_trailer_is_not_read_as_a_size_line() -> None:
    progress = chunked()
    progress.read_size_line(b"0")
    assert progress.expects_size_line
    progress.read_size_line(b"0\r\nfeed: x")
    assert not progress.expects_size_line


def test_a_length_announces_the_whole_content() -> None:
    progress = FramingProgress()
    progress.begin({b"content-length": b"100"})
    progress.content_received(40, is_chunk_end=False)
    assert (progress.framing, progress.announced_bytes) == (Framing.LENGTH, 60)
    assert not progress.expects_size_line
