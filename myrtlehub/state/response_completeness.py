"""Whether a response whose content marks its own end is complete. No I/O.

Such a response has two ends. That of its content is a part that says so, such as the event `[DONE]` of a
stream. That of its framing is the last chunk, the last byte of its length or the close of its connection. A
peer that fails in between may send either end without the other, so a response is complete only if both have
arrived. The parser of the content refuses what follows its end.
"""

from enum import StrEnum


class MissingEnd(StrEnum):
    """Why a response is not complete; the values are logged."""

    CONTENT = "content"  # the framing has ended, the content has not
    FRAMING = "framing"  # the connection or the call has ended before the framing
    VALID_CONTENT = "valid_content"  # the content says that the peer failed


class ResponseCompleteness:
    """The ends of one response that have arrived so far.

    Attributes:
        has_content_end: Whether the end of the content has arrived.
        has_framing_end: Whether the end of the framing has arrived.
        is_content_valid: Whether the content may still be that of a complete response.
    """

    __slots__ = ("has_content_end", "has_framing_end", "is_content_valid")

    def __init__(self) -> None:
        self.has_content_end = False
        self.has_framing_end = False
        self.is_content_valid = True

    def content_ended(self) -> None:
        """Record the end of the content."""
        self.has_content_end = True

    def content_failed(self) -> None:
        """Record a part of the content by which the peer says that the response will not be complete."""
        self.is_content_valid = False

    def framing_ended(self) -> None:
        """Record the end of the framing."""
        self.has_framing_end = True

    @property
    def missing(self) -> MissingEnd | None:
        """What the response lacks; None if it is complete."""
        if not self.has_framing_end:
            return MissingEnd.FRAMING
        if not self.is_content_valid:
            return MissingEnd.VALID_CONTENT
        return None if self.has_content_end else MissingEnd.CONTENT
