"""Eviction of client connections when reactor turns last longer than the grace periods of the listener."""

from collections.abc import Callable

from myrtlehub.http1.close_reason import CloseReason
from myrtlehub.http1.listener import ConnectionListener

MAX_CONNECTIONS = 4
BURST = 2
LONG_TURN_S = 0.3


class FakeTimer:
    """Timer of a `FakeReactorClock`."""

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


class FakeReactorClock:
    """Clock of a reactor whose turns run the due timers and then poll the sockets."""

    def __init__(self) -> None:
        self.now = 100.0
        self.scheduled: list[FakeTimer] = []

    def seconds(self) -> float:
        return self.now

    def callLater(self, delay: float, call: Callable[..., object], /, *args: object) -> FakeTimer:  # noqa: N802
        scheduled = FakeTimer(self.now + delay, lambda: call(*args))
        self.scheduled.append(scheduled)
        return scheduled

    def run_timers(self) -> None:
        """Run the due timers; timers that these start without delay run one turn later."""
        due = [timer for timer in self.scheduled if timer.at <= self.now]
        self.scheduled = [timer for timer in self.scheduled if timer.at > self.now]
        for timer in due:
            if timer.is_active:
                timer.call()


class FakeConnection:
    """Client connection; `poll` reads its request, if the client has sent one."""

    def __init__(self, listener: ConnectionListener, has_sent_request: bool = False) -> None:
        self.idle_since = listener.clock.seconds()
        self.has_sent_request = has_sent_request
        self.is_closing = False
        self.is_dropped = False
        self.is_idle = True
        listener.connection_opened(self)

    def poll(self) -> None:
        if not self.is_closing:
            self.is_idle = not self.has_sent_request

    def linger(self, reason: CloseReason) -> None:
        self.is_closing = True

    def drop(self) -> None:
        self.is_closing = True
        self.is_dropped = True

    def drain(self) -> None:
        raise NotImplementedError


class ListenerHarness:
    """A listener, and connections that are polled once per reactor turn."""

    def __init__(self) -> None:
        self.clock = FakeReactorClock()
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


def test_a_request_is_read_before_an_eviction_delayed_by_long_reactor_turns() -> None:
    """After a long turn, connections exceed the grace periods although none of them was polled."""
    harness = ListenerHarness()
    requesting = harness.open(1, has_sent_request=True)
    silent = harness.open(MAX_CONNECTIONS)
    harness.clock.now += LONG_TURN_S
    for _ in range(6):
        harness.run_turn(LONG_TURN_S)
    assert not requesting[0].is_closing
    assert sum(connection.is_closing for connection in silent) == 1


def test_a_request_is_read_although_the_limit_is_exceeded_within_a_long_reactor_turn() -> None:
    """Connections accepted late in a turn don't evict one that was accepted earlier in the same turn."""
    harness = ListenerHarness()
    requesting = harness.open(1, has_sent_request=True)
    silent = harness.open(MAX_CONNECTIONS + BURST - 1)
    harness.clock.now += LONG_TURN_S
    late = harness.open(1)
    assert harness.full_states == [True]
    harness.clock.now += LONG_TURN_S
    for _ in range(8):
        harness.run_turn(LONG_TURN_S)
    assert not requesting[0].is_closing
    assert sum(connection.is_closing for connection in silent + late) == BURST + 1
    assert harness.full_states == [True, False]


def test_each_new_connection_beyond_the_burst_evicts_one_silent_connection() -> None:
    """Beyond the burst, a new connection immediately evicts the oldest one that has sent nothing."""
    harness = ListenerHarness()
    silent = harness.open(MAX_CONNECTIONS + BURST - 1)
    for _ in range(3):
        harness.run_turn(0.01)
    silent += harness.open(1)
    for _ in range(3):
        harness.run_turn(0.01)
    late = harness.open(1)
    assert [connection.is_dropped for connection in silent] == [True] + [False] * (len(silent) - 1)
    assert not late[0].is_closing and not harness.full_states


def test_exceeding_the_limit_again_schedules_no_second_eviction() -> None:
    """A connection that opens between the timer of an eviction and its poll schedules no other eviction."""
    harness = ListenerHarness()
    harness.open(MAX_CONNECTIONS + 1)
    harness.run_turn(0.06)
    harness.run_turn(0.0)  # the timer has run and waits for the poll
    harness.open(1)
    harness.run_turn(0.0)
    harness.run_turn(0.0)
    assert [connection.is_closing for connection in harness.connections] == [True, True] + [
        False
    ] * MAX_CONNECTIONS
    evictions = [timer for timer in harness.clock.scheduled if timer.at > harness.clock.now]
    assert len(evictions) == 1
