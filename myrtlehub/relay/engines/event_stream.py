"""Parser for the server-sent events of an engine's response stream. It does no I/O."""

import codecs
import re

import msgspec

from myrtlehub.relay.errors import EventStreamError, MalformedJsonError
from myrtlehub.relay.parsing import parse_json, parse_load_report
from myrtlehub.routing import contract
from myrtlehub.state.response_completeness import ResponseCompleteness

MAX_EVENT_BYTES = 256 * 1024  # the platform's limit for a body
EVENT_PREFIXES = (b"data:", b":", b"event:", b"id:", b"retry:")  # the lone colon starts a comment
DATA_FIELD = b"data:"
# Bytes that show whether an event has a valid prefix, after the line end that may precede it.
EVENT_START_BYTES = 2 + max(map(len, EVENT_PREFIXES))
EVENT_ENDS = (b"\n\n", b"\n\r\n")
MAX_EVENT_END_BYTES = max(map(len, EVENT_ENDS))
EVENT_SEPARATOR = re.compile(b"|".join(EVENT_ENDS))
LINE_ENDS = b"\r\n"
DONE_MARKER = b"[DONE]"
LOAD_COMMENT_PREFIX = b": X-Pressure:"
TRUNCATED_JSON = "Input data was truncated"  # the message of msgspec for a document that may go on


# Characters that no JSON document contains; tabs and line ends may stand between its elements.
CONTROL_CHARACTERS = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f]")
_utf_8_decoder = codecs.getincrementaldecoder("utf-8")


class _PromptDetails(msgspec.Struct):
    cached_tokens: float = 0.0


class _Usage(msgspec.Struct):
    prompt_tokens_details: _PromptDetails | None = None
    completion_tokens: float = 0.0


class _StreamEvent(msgspec.Struct):
    usage: _Usage | None = None
    error: object = None


_event_decoder = msgspec.json.Decoder(_StreamEvent)


class EventStreamParser:
    """Parses one event stream.

    Attributes:
        cached_tokens: Number of prompt tokens that the engine had cached, as the usage event states it.
        token_count: Number of generated tokens, as the usage event states it.
        load: The latest load report in the stream, if any.
        completeness: Whether the stream is complete; its content ends with the event `[DONE]`.
        event_count: Number of complete events with data, among them `[DONE]`.
        block_count: Number of complete events and comments; line ends between them are neither.
    """

    def __init__(self) -> None:
        self._incomplete = bytearray()  # the received part of an incomplete event
        self.cached_tokens = 0.0
        self.token_count = 0
        self.load: contract.LoadReport | None = None
        self.completeness = ResponseCompleteness()
        self.event_count = 0
        self.block_count = 0

    @property
    def is_within_event(self) -> bool:
        """Whether an event or a comment has begun and is not complete."""
        return bool(self._incomplete.strip(LINE_ENDS))

    @property
    def incomplete_bytes(self) -> int:
        """Bytes received of an event that is not complete yet."""
        return len(self._incomplete)

    def feed(self, data: bytes) -> bytes:
        """Add received data, and return the bytes of the events that it completes, unchanged.

        Only the new data is searched, so the cost of an event does not grow with the number of its parts.

        Raises:
            EventStreamError: The data is not an event stream, an event is too long or malformed, or it comes
                after the end of the content.
        """
        # The first bytes of the end of an event may have been the last ones received.
        search_from = max(0, len(self._incomplete) - (MAX_EVENT_END_BYTES - 1))
        self._incomplete += data
        complete = self._take_complete_events(search_from)
        for event in _split_events(complete):
            self._process_event(event)
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise EventStreamError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        if not _is_event_start(self._incomplete[:EVENT_START_BYTES].lstrip(LINE_ENDS)):
            raise EventStreamError("the data is not the start of an event")
        return complete

    def _take_complete_events(self, search_from: int) -> bytes:
        """Remove and return all complete events; the end of the last one is not before `search_from`."""
        end = max(_end_after_last(self._incomplete, mark, search_from) for mark in EVENT_ENDS)
        if not end:
            return b""
        complete = bytes(self._incomplete[:end])
        del self._incomplete[:end]
        return complete

    def _process_event(self, event: bytes) -> None:
        """Validate a complete event, and store what it states."""
        self.block_count += 1
        if not event.startswith(EVENT_PREFIXES):
            raise EventStreamError("the data is not the start of an event")
        if event.startswith(LOAD_COMMENT_PREFIX):
            self._parse_load(event)
        data = _data_of(event)
        if not data:  # a comment, or an event that the standard has clients ignore
            return
        if self.completeness.has_content_end:
            raise EventStreamError("the stream goes on after its end")
        if data == DONE_MARKER:
            self._process_end_marker()
        else:
            self._process_data(data)
        self.event_count += 1

    def _process_end_marker(self) -> None:
        if not self.event_count:
            raise EventStreamError("the stream ends before its first event")
        self.completeness.content_ended()

    def _process_data(self, data: bytes) -> None:
        fields = _decode_fields(data)
        if fields.error:
            self.completeness.content_failed()
        if fields.usage is not None:
            self._store_usage(fields.usage)

    def _store_usage(self, usage: _Usage) -> None:
        self.token_count = int(usage.completion_tokens)
        if usage.prompt_tokens_details is not None:
            self.cached_tokens = usage.prompt_tokens_details.cached_tokens

    def _parse_load(self, comment: bytes) -> None:
        first_line = comment.partition(b"\n")[0]
        self.load = parse_load_report(first_line[len(LOAD_COMMENT_PREFIX) :].strip()) or self.load

    def may_go_on(self) -> bool:
        """Return whether the received part of an incomplete event can be the start of a valid one."""
        event = bytes(self._incomplete).lstrip(LINE_ENDS)
        if not _may_become_utf_8(event):  # event streams have no other encoding
            return False
        if not all(_is_event_start(line.rstrip(b"\r")) for line in event.split(b"\n")):
            return False
        data = _data_of(event)
        return not data or DONE_MARKER.startswith(data) or _may_become_json(data)

    def end(self) -> None:
        """Process the end of the response, as its framing shows it.

        Raises:
            EventStreamError: The last event is incomplete. A final comment needs no blank line after it.
        """
        self.completeness.framing_ended()
        incomplete = bytes(self._incomplete).strip(LINE_ENDS)
        if incomplete.startswith(LOAD_COMMENT_PREFIX):
            self._parse_load(incomplete)
        elif incomplete and not incomplete.startswith(b":"):
            raise EventStreamError("the stream ends within an event")


def _end_after_last(text: bytearray, mark: bytes, search_from: int) -> int:
    """Return the position after the last mark that does not begin before `search_from`; 0 without one."""
    position = text.rfind(mark, search_from)
    return position + len(mark) if position >= 0 else 0


def _split_events(text: bytes) -> list[bytes]:
    """Return complete events without the blank lines after them."""
    events = EVENT_SEPARATOR.split(text) if b"\r" in text else text.split(EVENT_ENDS[0])
    return [event for event in (part.lstrip(LINE_ENDS) for part in events) if event]


def _is_event_start(text: bytes | bytearray) -> bool:
    """Return whether the text can be the start of an event."""
    return not text or any(text.startswith(prefix) or prefix.startswith(text) for prefix in EVENT_PREFIXES)


def _data_of(event: bytes) -> bytes | None:
    """Return the data of an event, joined from all of its data fields; None if it has none."""
    if b"\n" not in event:
        return event[len(DATA_FIELD) :].strip() if event.startswith(DATA_FIELD) else None
    fields = [line[len(DATA_FIELD) :] for line in event.split(b"\n") if line.startswith(DATA_FIELD)]
    return b"\n".join(fields).strip() if fields else None


def _decode_fields(data: bytes) -> _StreamEvent:
    """Return the fields that the router uses; the defaults if they have other types.

    Raises:
        EventStreamError: The data is not JSON.
    """
    try:
        return _event_decoder.decode(data)
    except (msgspec.DecodeError, ValueError, RecursionError):
        pass
    try:
        parse_json(data)
    except MalformedJsonError as error:
        raise EventStreamError(f"the data of an event {error}") from error
    return _StreamEvent()


def _may_become_json(data: bytes) -> bool:
    """Return whether the data is JSON, or can be the start of a JSON document.

    The JSON decoder does not look into a string that has not ended.
    """
    if CONTROL_CHARACTERS.search(data):
        return False
    try:
        msgspec.json.decode(data)
    except msgspec.DecodeError as error:
        return str(error) == TRUNCATED_JSON
    except (ValueError, RecursionError):
        return False
    return True


def _may_become_utf_8(data: bytes) -> bool:
    """Return whether the data is UTF-8, except for a last character that may go on."""
    try:
        _utf_8_decoder().decode(data)
    except UnicodeDecodeError:
        return False
    return True
