"""Time slices of the event loop for parsing the data received on a group of connections."""

from typing import Protocol

from myrtlehub.clock import Clock

# Time in seconds that one connection's data may be parsed before that of other connections.
SLICE_S = 0.00025
# Time in seconds per turn of the event loop for data that has just arrived, and the same for data that was
# deferred. Timers and sockets wait for both, so each is small against the shortest time limit (0.1 s).
TURN_BUDGET_S = 0.005


class Parser(Protocol):
    """A connection whose received data is parsed step by step."""

    def parse_step(self) -> bool:
        """Parse one element of the received data; return False if nothing can be parsed at present."""

    def pause_input(self) -> None:
        """Stop reading from the socket, because the received data is parsed in a later turn."""

    def resume_input(self) -> None:
        """Read from the socket again, because the received data is parsed."""

    def abort_parsing(self) -> None:
        """Close the connection, because a step raised an exception."""


class ParseScheduler:
    """Bounds the time that parsing takes in one turn of the event loop, whatever the peers send.

    Data is parsed when it arrives, for up to SLICE_S per connection and TURN_BUDGET_S per turn. The rest is
    deferred, and its connection is not read from meanwhile, so a peer cannot add to it. Deferred connections
    get one slice each in turn: alternately one that had no slice since it was read, so that a short message
    does not wait for all long ones, and one that had, so that many short ones do not stop a long one.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Deferred connections in the order in which they get a slice; the dicts are used as ordered sets.
        self._without_slice: dict[Parser, None] = {}
        self._with_slice: dict[Parser, None] = {}
        self._time_left = TURN_BUDGET_S
        self._is_turn_scheduled = False
        self._was_without_slice = False  # whether the last deferred connection that was parsed had no slice

    def data_received(self, parser: Parser) -> None:
        """Parse the new data of a connection now, or defer it if this turn's time is used up."""
        if parser in self._without_slice or parser in self._with_slice:
            return
        if self._without_slice or self._time_left <= 0.0:
            self._without_slice[parser] = None
            parser.pause_input()
            self._schedule_turn()
        elif self._parse(parser):
            self._with_slice[parser] = None
            parser.pause_input()
            self._schedule_turn()

    def remove(self, parser: Parser) -> None:
        """Remove a connection that was lost."""
        self._without_slice.pop(parser, None)
        self._with_slice.pop(parser, None)

    def _parse(self, parser: Parser) -> bool:
        """Parse for one slice; return whether there may be more to parse."""
        started_at = now = self._clock.seconds()
        has_more = True
        try:
            while has_more and now - started_at < SLICE_S:
                has_more = parser.parse_step()
                now = self._clock.seconds()
        except BaseException:
            parser.abort_parsing()
            raise
        finally:
            self._time_left -= now - started_at
            if self._time_left < TURN_BUDGET_S / 2:
                self._schedule_turn()
        return has_more

    def _schedule_turn(self) -> None:
        """Renew the time budget, and parse deferred data, in the next turn of the event loop."""
        if not self._is_turn_scheduled:
            self._is_turn_scheduled = True
            self._clock.callLater(0.0, self._begin_turn)

    def _begin_turn(self) -> None:
        self._is_turn_scheduled = False
        self._time_left = TURN_BUDGET_S
        try:
            while self._time_left > 0.0 and (self._without_slice or self._with_slice):
                self._parse_deferred()
        finally:
            self._time_left = TURN_BUDGET_S
            if self._without_slice or self._with_slice:
                self._schedule_turn()

    def _parse_deferred(self) -> None:
        queue = self._next_queue()
        parser = next(iter(queue))
        del queue[parser]
        if self._parse(parser):
            self._with_slice[parser] = None
        else:
            parser.resume_input()

    def _next_queue(self) -> dict[Parser, None]:
        """Return the queue to take a connection from: the two alternate unless one is empty."""
        self._was_without_slice = bool(self._without_slice) and not (
            self._was_without_slice and self._with_slice
        )
        return self._without_slice if self._was_without_slice else self._with_slice
