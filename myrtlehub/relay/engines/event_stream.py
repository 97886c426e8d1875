"""Parser for the server-sent events of an engine's response stream. It does no I/O."""

import msgspec

from myrtlehub.relay.errors import EventStreamError
from myrtlehub.relay.parsing import parse_load_report
from myrtlehub.routing import contract

MAX_EVENT_BYTES = 128 * 1024  # an event has only a few tokens; a longer one is malformed
EVENT_PREFIXES = (b"data:", b":", b"event:", b"id:", b"retry:")  # the lone colon starts a comment
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
        incomplete: The received part of an incomplete event.
        cached_tokens: Number of prompt tokens that the engine had cached, as the usage event states it.
        token_count: Number of generated tokens, as the usage event states it.
        load: The latest load report in the stream, if any.
        is_done: Whether the final event `[DONE]` was received.
    """

    def __init__(self) -> None:
        self.incomplete = b""
        self.cached_tokens = 0.0
        self.token_count = 0
        self.load: contract.LoadReport | None = None
        self.is_done = False

    def feed(self, data: bytes) -> bytes:
        """Add received data, and return the bytes of the events that it completes, unchanged.

        Raises:
            EventStreamError: The data is not an event stream, or an event is too long.
        """
        data = self.incomplete + data if self.incomplete else data
        end = data.rfind(b"\n\n")
        complete, self.incomplete = (data[: end + 2], data[end + 2 :]) if end >= 0 else (b"", data)
        for event in complete.split(b"\n\n") if complete else ():
            if event:
                self._process_event(event.lstrip(b"\n"))
        if len(self.incomplete) > MAX_EVENT_BYTES:
            raise EventStreamError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        if self.incomplete and not self._is_event_start(self.incomplete.lstrip(b"\n")):
            raise EventStreamError("the data is not the start of an event")
        return complete

    @staticmethod
    def _is_event_start(text: bytes) -> bool:
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
        elif b'"usage"' in event:
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
        incomplete = self.incomplete.strip(b"\n")
        if incomplete.startswith(LOAD_COMMENT_PREFIX):
            self._parse_load(incomplete)
        elif incomplete and not incomplete.startswith(b":"):
            raise EventStreamError("the stream ends within an event")
