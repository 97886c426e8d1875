"""Server-sent events of an engine's stream: complete ones go on unchanged, all else is an error. Pure."""

import msgspec

from myrtlehub.relay.errors import EventStreamError
from myrtlehub.relay.parsing import parse_load_report
from myrtlehub.routing import contract

MAX_EVENT_BYTES = 128 * 1024  # events hold a few tokens
FIELD_NAMES = (b"data:", b":", b"event:", b"id:", b"retry:")  # with what an event, or a comment, begins
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
    """Parses one stream.

    Attributes:
        incomplete: The bytes of an event whose end has not come yet.
        cached_tokens: Prompt tokens that the engine had cached, as its usage event says.
        token_count: Tokens of the answer, as its usage event says.
        load: The last load report of the stream.
        done: The last event has come.
    """

    def __init__(self) -> None:
        self.incomplete = b""
        self.cached_tokens = 0.0
        self.token_count = 0
        self.load: contract.LoadReport | None = None
        self.done = False

    def feed(self, data: bytes) -> bytes:
        """Return complete events, as they came; EventStreamError where something is no event."""
        data = self.incomplete + data if self.incomplete else data
        end = data.rfind(b"\n\n")
        complete, self.incomplete = (data[: end + 2], data[end + 2 :]) if end >= 0 else (b"", data)
        for event in complete.split(b"\n\n") if complete else ():
            if event:
                self._inspect(event.lstrip(b"\n"))
        if len(self.incomplete) > MAX_EVENT_BYTES:
            raise EventStreamError("an event is too long")
        if self.incomplete and not self._may_begin(self.incomplete.lstrip(b"\n")):
            raise EventStreamError("no event begins like this")
        return complete

    @staticmethod
    def _may_begin(text: bytes) -> bool:
        """Return whether it can still become an event."""
        return not text or any(text.startswith(name) or name.startswith(text) for name in FIELD_NAMES)

    def _inspect(self, event: bytes) -> None:
        if not event.startswith(FIELD_NAMES):
            raise EventStreamError("no event begins like this")
        if event.startswith(b":"):
            if event.startswith(LOAD_COMMENT):
                self._read_load(event)
        elif b'"usage"' in event:
            self._read_usage(event)
        elif event.endswith(DONE):
            self.done = True

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
        """Note that the stream is over; EventStreamError if half an event is left."""
        incomplete = self.incomplete.strip(b"\n")
        if incomplete.startswith(LOAD_COMMENT):
            self._read_load(incomplete)
        elif incomplete and not incomplete.startswith(b":"):
            raise EventStreamError("half an event is left at the end")
