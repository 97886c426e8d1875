"""Eviction of clients' connections when reactor turns last longer than the listener's grace periods."""

from collections.abc import Callable

from myrtlehub.http1.close_reason import CloseReason
from myrtlehub.http1.listener import ConnectionListener

MAX_CONNECTIONS = 4
BURST = 2
LONG_TURN_S = 0.3


class ScheduledCall:
    """A timer of `TurnClock`."""

    def __init__(self, at: float, call: Callable[[], object]) -> None:
        self.at = at
        self.call = call
        self.is_active = True

    def active(self) -> bool:
        return self.is_active

    def cancel(self) -> None:
        self.is_active = False

    def reset(self, delay: float, /) -> None:
        raise NotImplementedError


class TurnClock:
    """A clock with the order of a reactor's turn: timers that are due, then a poll of the sockets."""

    def __init__(self) -> None:
        self.now = 100.0
        self.scheduled: list[ScheduledCall] = []

    def seconds(self) -> float:
        return self.now

    def callLater(self, delay: float, call: Callable[..., object], /, *args: object) -> ScheduledCall:  # noqa: N802
        scheduled = ScheduledCall(self.now + delay, lambda: call(*args))
        self.scheduled.append(scheduled)
        return scheduled

    def run_timers(self) -> None:
        """Run the timers that are due; those that they start without delay run a turn later."""
        due = [timer for timer in self.scheduled if timer.at <= self.now]
        self.scheduled = [timer for timer in self.scheduled if timer.at > self.now]
        for timer in due:
            if timer.is_active:
                timer.call()


class FakeConnection:
    """A client's connection whose request, if it has sent one, is read by `poll`."""

    def __init__(self, listener: ConnectionListener, has_sent_request: bool = False) -> None:
        self.idle_since = listener.clock.seconds()
        self.has_sent_request = has_sent_request
        self.is_closing = False
        self.is_dropped = False
        self.is_unused = True
        listener.connection_opened(self)

    def poll(self) -> None:
        if not self.is_closing:
            self.is_unused = not self.has_sent_request

    def linger(self, reason: CloseReason) -> None:
        self.is_closing = True

    def drop(self) -> None:
        self.is_closing = True
        self.is_dropped = True

    def drain(self) -> None:
        raise NotImplementedError


class Rig:
    """A listener, and connections that are polled once a turn."""

    def __init__(self) -> None:
        self.clock = TurnClock()
        self.listener = ConnectionListener(self.clock, lambda exchange: None, MAX_CONNECTIONS, BURST)
        self.connections: list[FakeConnection] = []
        self.full_states: list[bool] = []
        self.listener.on_full = self.full_states.append

    def open(self, count: int, has_sent_request: bool = False) -> list[FakeConnection]:
        opened = [FakeConnection(self.listener, has_sent_request) for _ in range(count)]
        self.connections += opened
        return opened

    def run_turn(self, duration_s: float) -> None:
        self.clock.run_timers()
        for connection in self.connections:
            connection.poll()
        self.clock.now += duration_s


def test_a_request_is_read_before_an_eviction_that_long_turns_delay() -> None:
    """All connections are older than each age once the turn that accepted them is over; none was read yet."""
    rig = Rig()
    requesting = rig.open(1, has_sent_request=True)
    silent = rig.open(MAX_CONNECTIONS)
    rig.clock.now += LONG_TURN_S
    for _ in range(6):
        rig.run_turn(LONG_TURN_S)
    assert not requesting[0].is_closing
    assert sum(connection.is_closing for connection in silent) == 1


def test_a_request_is_read_although_the_limit_is_exceeded_within_a_long_turn() -> None:
    """Connections that are accepted late in a turn evict none that was accepted early in the same turn."""
    rig = Rig()
    requesting = rig.open(1, has_sent_request=True)
    silent = rig.open(MAX_CONNECTIONS + BURST - 1)
    rig.clock.now += LONG_TURN_S
    late = rig.open(1)
    assert rig.full_states == [True]
    rig.clock.now += LONG_TURN_S
    for _ in range(8):
        rig.run_turn(LONG_TURN_S)
    assert not requesting[0].is_closing
    assert sum(connection.is_closing for connection in silent + late) == BURST + 1
    assert rig.full_states == [True, False]


def test_silent_connections_are_evicted_one_for_each_new_one() -> None:
    """Beyond the burst, the oldest connection that has sent nothing is dropped for the new one at once."""
    rig = Rig()
    silent = rig.open(MAX_CONNECTIONS + BURST - 1)
    for _ in range(3):
        rig.run_turn(0.01)
    silent += rig.open(1)
    for _ in range(3):
        rig.run_turn(0.01)
    late = rig.open(1)
    assert [connection.is_dropped for connection in silent] == [True] + [False] * (len(silent) - 1)
    assert not late[0].is_closing and not rig.full_states


def test_a_limit_that_is_exceeded_again_schedules_one_eviction() -> None:
    """A connection that opens between the eviction's timer and the poll that it awaits schedules none."""
    rig = Rig()
    rig.open(MAX_CONNECTIONS + 1)
    rig.run_turn(0.06)
    rig.run_turn(0.0)  # the timer has run, the poll is awaited
    rig.open(1)
    rig.run_turn(0.0)
    rig.run_turn(0.0)
    assert [connection.is_closing for connection in rig.connections] == [True, True] + [
        False
    ] * MAX_CONNECTIONS
    evictions = [timer for timer in rig.clock.scheduled if timer.at > rig.clock.now]
    assert len(evictions) == 1
