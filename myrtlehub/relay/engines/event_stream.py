"""Parser for the server-sent events in an engine's stream. It does no I/O."""

import msgspec

from myrtlehub.relay.errors import EventStreamError
from myrtlehub.relay.parsing import parse_load_report
from myrtlehub.routing import contract

MAX_EVENT_BYTES = 128 * 1024  # far more than the few tokens of an event need; a longer one is malformed
EVENT_PREFIXES = (b"data:", b":", b"event:", b"id:", b"retry:")  # event fields; the colon of a comment
DONE = b"[DONE]"
LOAD_COMMENT = b": X-Pressure:"


class _PromptDetails(msgspec.Struct):
    cached_tokens: float = 0.0


class _Usage(msgspec.Struct):
    prompt_tokens_details: _PromptDetails | None = None
    completion_tokens: float = 0.0


class _UsageEvent(msgspec.Struct):
    usage: _Usage | None = None


_usage_decoder = msgspec.json.Decoder(_UsageEvent)


class EventStreamParser:
    """Parses one stream of events.

    Attributes:
        incomplete: The data received of an event that is not complete yet.
        cached_tokens: Number of prompt tokens that the engine had cached, from the usage event.
        token_count: Number of generated tokens, from the usage event.
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
        """Add received data, and return the events that it completes, as the unchanged bytes.

        Raises:
            EventStreamError: The data is not a stream of events, or an event is too long.
        """
        data = self.incomplete + data if self.incomplete else data
        end = data.rfind(b"\n\n")
        complete, self.incomplete = (data[: end + 2], data[end + 2 :]) if end >= 0 else (b"", data)
        for event in complete.split(b"\n\n") if complete else ():
            if event:
                self._inspect(event.lstrip(b"\n"))
        if len(self.incomplete) > MAX_EVENT_BYTES:
            raise EventStreamError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        if self.incomplete and not self._may_become_event(self.incomplete.lstrip(b"\n")):
            raise EventStreamError("the data is not the beginning of an event")
        return complete

    @staticmethod
    def _may_become_event(text: bytes) -> bool:
        """Return whether the text can be the beginning of an event."""
        return not text or any(
            text.startswith(prefix) or prefix.startswith(text) for prefix in EVENT_PREFIXES
        )

    def _inspect(self, event: bytes) -> None:
        """Validate a complete event; if it contains usage, a load report or the end mark, record that."""
        if not event.startswith(EVENT_PREFIXES):
            raise EventStreamError("the data is not the beginning of an event")
        if event.startswith(b":"):
            if event.startswith(LOAD_COMMENT):
                self._read_load(event)
        elif b'"usage"' in event:
            self._read_usage(event)
        elif event.endswith(DONE):
            self.is_done = True

    def _read_load(self, comment: bytes) -> None:
        self.load = parse_load_report(comment[len(LOAD_COMMENT) :].strip()) or self.load

    def _read_usage(self, event: bytes) -> None:
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
            EventStreamError: The last event is incomplete. A final comment may lack its blank line.
        """
        incomplete = self.incomplete.strip(b"\n")
        if incomplete.startswith(LOAD_COMMENT):
            self._read_load(incomplete)
        elif incomplete and not incomplete.startswith(b":"):
            raise EventStreamError("the stream ends within an event")
