"""Event loop lag: by how much a node reduces the time left of a request to account for its own delays."""

from fleet import Fleet
from hypothesis import given
from hypothesis import strategies as st

from myrtlehub.limits import event_loop_lag

ITERATIONS = st.lists(st.tuples(st.floats(0.0, 0.6), st.floats(0.0, 0.05)), min_size=1, max_size=40)


@given(ITERATIONS, st.data())
def test_age_is_an_upper_bound_for_the_time_since_data_arrived(iterations: list, data: object) -> None:
    """Iterations have any length, with idle time between them. Timers run before sockets are read."""
    meter = event_loop_lag.LagMeter()
    now = 100.0
    next_tick_at = meter.tick(now)
    for busy_seconds, idle_seconds in iterations:
        last_read_at = now
        now += busy_seconds
        arrived_at = data.draw(st.floats(last_read_at, now))  # during the iteration
        if now >= next_tick_at:
            next_tick_at = meter.tick(now)
        assert now - arrived_at <= meter.max_data_age(now) + event_loop_lag.TICK_PERIOD + 1e-9
        assert meter.delay(now) >= meter.max_data_age(now)
        now += idle_seconds
        if now >= next_tick_at:  # the loop is idle, so the tick runs on time
            next_tick_at = meter.tick(max(next_tick_at, now - idle_seconds))


@given(st.lists(st.floats(0.0, 1.0), max_size=60), st.floats(0.0, 5.0))
def test_time_left_is_reduced_by_at_most_the_margin_share(lags: list[float], client_timeout: float) -> None:
    meter = event_loop_lag.LagMeter()
    now = 0.0
    next_tick_at = meter.tick(now)
    for lag in lags:
        next_tick_at = meter.tick(next_tick_at + lag)
        now = next_tick_at - event_loop_lag.TICK_PERIOD
        assert (
            (1.0 - event_loop_lag.MAX_MARGIN_SHARE) * client_timeout - 1e-9
            <= meter.time_left(now, client_timeout)
            <= client_timeout
        )
    max_lag = max([0.0, *lags])
    assert abs(meter.max_lag - max_lag) < 1e-6


def test_a_late_tick_counts_for_the_window_and_is_then_forgotten() -> None:
    meter = event_loop_lag.LagMeter()
    due_at = meter.tick(10.0)
    next_tick_at = meter.tick(due_at + 0.3)
    now = next_tick_at - 0.01  # in the late iteration
    assert [
        round(seconds, 3)
        for seconds in (meter.time_left(now, 4.0), meter.delay(now), meter.max_data_age(now))
    ] == [
        3.1,
        0.3,
        0.3,
    ]
    next_tick_at = meter.tick(next_tick_at)
    now = next_tick_at - 0.01  # in the next iteration
    assert [
        round(seconds, 3)
        for seconds in (meter.time_left(now, 4.0), meter.delay(now), meter.max_data_age(now))
    ] == [
        3.4,
        0.3,
        0.0,
    ]
    while next_tick_at < 10.3 + event_loop_lag.LAG_WINDOW + 0.1:
        next_tick_at = meter.tick(next_tick_at)
    assert meter.time_left(next_tick_at, 4.0) == 4.0 and round(meter.max_lag, 3) == 0.3


def test_the_age_of_data_includes_the_time_spent_in_a_late_iteration() -> None:
    """The process waits for a core, and then reads from many sockets for longer than a tick period."""
    meter = event_loop_lag.LagMeter()
    due_at = meter.tick(10.0)
    iteration_start = due_at + 0.2
    next_tick_at = meter.tick(iteration_start)
    for elapsed in (0.0, 0.01, 0.03, 0.1, 0.3):
        assert (
            meter.max_data_age(iteration_start + elapsed) >= 0.2 + elapsed - event_loop_lag.TICK_PERIOD - 1e-9
        )
    meter.tick(next_tick_at)  # the next iteration is on time
    assert meter.max_data_age(next_tick_at) == 0.0


def seconds_past_deadline(is_lag_measured: bool) -> float:
    """Return how late a node that stalls for 0.3 s per iteration answers, while no engine answers."""
    fleet = Fleet("R0 W0 W0")
    node = fleet.nodes["n0"]
    fleet.generate(prompt=100, output=10)
    fleet.run(1.0)
    for name in fleet.engines:
        fleet.inject_fault(name, "hang")
    fleet.run(0.1)
    if is_lag_measured:
        node.measure_lag()

    def stall() -> None:
        fleet.clock.advance(0.3)  # no message is delivered in this time
        fleet.net.run(0.0)

    stall()
    call = fleet.generate(prompt=1500, time_left=1.0)
    start = fleet.clock.seconds()
    while not call.answer and fleet.clock.seconds() < start + 3.0:
        fleet.net.run(0.01)
        stall()
    assert call.answer in ("rejected", "aborted")
    return fleet.records("final")[-1].at - start - 1.0


def test_a_node_that_stalls_answers_before_the_deadline() -> None:
    assert seconds_past_deadline(is_lag_measured=False) > 0.15  # late without lag measurement
    assert seconds_past_deadline(is_lag_measured=True) <= 0.05
