"""Parser for the server-sent events of an engine's response stream. It does no I/O."""

import msgspec

from myrtlehub.relay.errors import EventStreamError
from myrtlehub.relay.parsing import parse_load_report
from myrtlehub.routing import contract

MAX_EVENT_BYTES = 128 * 1024  # an event has only a few tokens; a longer one is malformed
EVENT_PREFIXES = (b"data:", b":", b"event:", b"id:", b"retry:")  # the lone colon starts a comment
EVENT_END = b"\n\n"
# Bytes that show whether an event has a valid prefix, after the one line end that may precede it.
EVENT_START_BYTES = 1 + max(map(len, EVENT_PREFIXES))
DONE_MARKER = b"[DONE]"
LOAD_COMMENT_PREFIX = b": X-Pressure:"


class _PromptDetails(msgspec.Struct):
    cached_tokens: float = 0.0


class _Usage(msgspec.Struct):
    prompt_tokens_details: _PromptDetails | None = None
    completion_tokens: float = 0.0


class _UsageEvent(msgspec.Struct):
    usage: _Usage | None = None


_usage_decoder = msgspec.json.Decoder(_UsageEvent)


class EventStreamParser:
    """Parses one event stream.

    Attributes:
        cached_tokens: Number of prompt tokens that the engine had cached, as the usage event states it.
        token_count: Number of generated tokens, as the usage event states it.
        load: The latest load report in the stream, if any.
        is_done: Whether the final event `[DONE]` was received.
        event_count: Number of complete events, without comments.
    """

    def __init__(self) -> None:
        self._incomplete = bytearray()  # the received part of an incomplete event
        self.cached_tokens = 0.0
        self.token_count = 0
        self.load: contract.LoadReport | None = None
        self.is_done = False
        self.event_count = 0

    @property
    def incomplete_bytes(self) -> int:
        """Bytes received of an event that is not complete yet."""
        return len(self._incomplete)

    def feed(self, data: bytes) -> bytes:
        """Add received data, and return the bytes of the events that it completes, unchanged.

        Only the new data is searched, so the cost of an event does not grow with the number of its parts.

        Raises:
            EventStreamError: The data is not an event stream, or an event is too long.
        """
        # The first byte of the end of an event may have been the last one received.
        search_from = max(0, len(self._incomplete) - 1)
        self._incomplete += data
        complete = self._take_complete_events(search_from)
        for event in complete.split(EVENT_END) if complete else ():
            if event:
                self._process_event(event.lstrip(b"\n"))
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise EventStreamError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        if not self._is_event_start(self._incomplete[:EVENT_START_BYTES].lstrip(b"\n")):
            raise EventStreamError("the data is not the start of an event")
        return complete

    def _take_complete_events(self, search_from: int) -> bytes:
        """Remove and return all complete events; the end of the last one is not before `search_from`."""
        position = self._incomplete.rfind(EVENT_END, search_from)
        if position < 0:
            return b""
        end = position + len(EVENT_END)
        complete = bytes(self._incomplete[:end])
        del self._incomplete[:end]
        return complete

    @staticmethod
    def _is_event_start(text: bytes | bytearray) -> bool:
        """Return whether the text can be the start of an event."""
        return not text or any(
            text.startswith(prefix) or prefix.startswith(text) for prefix in EVENT_PREFIXES
        )

    def _process_event(self, event: bytes) -> None:
        """Validate a complete event, and store its usage, load report or `[DONE]` marker, if any."""
        if not event.startswith(EVENT_PREFIXES):
            raise EventStreamError("the data is not the start of an event")
        if event.startswith(b":"):
            if event.startswith(LOAD_COMMENT_PREFIX):
                self._parse_load(event)
            return
        self.event_count += 1
        if b'"usage"' in event:
            self._parse_usage(event)
        elif event.endswith(DONE_MARKER):
            self.is_done = True

    def _parse_load(self, comment: bytes) -> None:
        self.load = parse_load_report(comment[len(LOAD_COMMENT_PREFIX) :].strip()) or self.load

    def _parse_usage(self, event: bytes) -> None:
        try:
            usage = _usage_decoder.decode(event.partition(b":")[2].strip()).usage
        except (msgspec.DecodeError, ValueError, RecursionError):
            return
        if usage is not None:
            self.token_count = int(usage.completion_tokens)
            if usage.prompt_tokens_details is not None:
                self.cached_tokens = usage.prompt_tokens_details.cached_tokens

    def end(self) -> None:
        """Process the end of the stream.

        Raises:
            EventStreamError: The last event is incomplete. A final comment needs no blank line after it.
        """
        incomplete = bytes(self._incomplete).strip(b"\n")
        if incomplete.startswith(LOAD_COMMENT_PREFIX):
            self._parse_load(incomplete)
        elif incomplete and not incomplete.startswith(b":"):
            raise EventStreamError("the stream ends within an event")
