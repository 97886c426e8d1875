"""A stream of events, cut where events end: whole ones go on as they are, what is none spoils it. Pure."""

import msgspec

from myrtlehub.relay.bootstrap import load_of
from myrtlehub.routing import contract

EVENT_MOST = 128 * 1024  # bytes of one event: they hold a few tokens
FIELDS = (b"data:", b":", b"event:", b"id:", b"retry:")  # with what an event, or a comment, begins
DONE = b"[DONE]"
REPORT = b": X-Pressure:"


class Spoilt(Exception):
    """What came is no event."""


class _Details(msgspec.Struct):
    cached_tokens: float = 0.0


class _Usage(msgspec.Struct):
    prompt_tokens_details: _Details | None = None
    completion_tokens: float = 0.0


class _Tail(msgspec.Struct):
    usage: _Usage | None = None


_tail = msgspec.json.Decoder(_Tail)


class Events:
    """One stream. `feed` gives what may go on; `kept`, `tokens` and `load` are what its tail told."""

    def __init__(self) -> None:
        self.rest = b""
        self.kept = 0.0
        self.tokens = 0
        self.load: contract.LoadReport | None = None
        self.done = False  # its last event came

    def feed(self, data: bytes) -> bytes:
        """Whole events, as they came; Spoilt where something is none."""
        data = self.rest + data if self.rest else data
        end = data.rfind(b"\n\n")
        whole, self.rest = (data[: end + 2], data[end + 2 :]) if end >= 0 else (b"", data)
        for event in whole.split(b"\n\n") if whole else ():
            if event:
                self._look(event.lstrip(b"\n"))
        if len(self.rest) > EVENT_MOST or (self.rest and not self._may_begin(self.rest.lstrip(b"\n"))):
            raise Spoilt
        return whole

    @staticmethod
    def _may_begin(text: bytes) -> bool:
        """Whether it can still become an event."""
        return not text or any(text.startswith(f) or f.startswith(text) for f in FIELDS)

    def _look(self, event: bytes) -> None:
        if not event.startswith(FIELDS):
            raise Spoilt
        if event.startswith(b":"):
            if event.startswith(REPORT):
                self.load = load_of(event[len(REPORT) :].strip()) or self.load
        elif b'"usage"' in event:
            self._usage(event)
        elif event.endswith(DONE):
            self.done = True

    def _usage(self, event: bytes) -> None:
        try:
            usage = _tail.decode(event.partition(b":")[2].strip()).usage
        except (msgspec.DecodeError, ValueError, RecursionError):
            return
        if usage is not None:
            self.tokens = int(usage.completion_tokens)
            if usage.prompt_tokens_details is not None:
                self.kept = usage.prompt_tokens_details.cached_tokens

    def end(self) -> None:
        """The stream is over; Spoilt if half an event is left."""
        rest = self.rest.strip(b"\n")
        if rest.startswith(REPORT):
            self.load = load_of(rest[len(REPORT) :].strip()) or self.load
        elif rest and not rest.startswith(b":"):
            raise Spoilt
