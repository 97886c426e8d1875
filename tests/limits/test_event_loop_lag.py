"""Event loop lag: how much a node reduces the time left, because it runs late itself."""

from fleet import Fleet
from hypothesis import given
from hypothesis import strategies as st

from myrtlehub.limits import event_loop_lag

TURNS = st.lists(st.tuples(st.floats(0.0, 0.6), st.floats(0.0, 0.05)), min_size=1, max_size=40)


@given(TURNS, st.data())
def test_age_bounds_how_long_ago_anything_read_arrived(turns: list, data: object) -> None:
    """Turns have any length, with idle time between; in each, timers run before sockets are read."""
    meter = event_loop_lag.LagMeter()
    now = 100.0
    due = meter.tick(now)
    for busy, idle in turns:
        last_read_at = now
        now += busy
        arrived_at = data.draw(st.floats(last_read_at, now))  # while the turn ran
        if now >= due:
            due = meter.tick(now)
        assert now - arrived_at <= meter.age(now) + event_loop_lag.TICK_PERIOD + 1e-9
        assert meter.delay(now) >= meter.age(now)
        now += idle
        if now >= due:  # the loop is idle, so the tick runs on time
            due = meter.tick(max(due, now - idle))


@given(st.lists(st.floats(0.0, 1.0), max_size=60), st.floats(0.0, 5.0))
def test_time_left_is_reduced_by_at_most_the_margin_share(lags: list[float], stated: float) -> None:
    meter = event_loop_lag.LagMeter()
    now = 0.0
    due = meter.tick(now)
    for lag in lags:
        due = meter.tick(due + lag)
        now = due - event_loop_lag.TICK_PERIOD
        assert (
            (1.0 - event_loop_lag.MAX_MARGIN_SHARE) * stated - 1e-9 <= meter.time_left(now, stated) <= stated
        )
    worst = max([0.0, *lags])
    assert abs(meter.worst - worst) < 1e-6


def test_a_late_tick_counts_for_the_window_and_is_then_forgotten() -> None:
    meter = event_loop_lag.LagMeter()
    due = meter.tick(10.0)
    at = meter.tick(due + 0.3)
    now = at - 0.01  # in the late turn
    assert [
        round(seconds, 3) for seconds in (meter.time_left(now, 4.0), meter.delay(now), meter.age(now))
    ] == [
        3.1,
        0.3,
        0.3,
    ]
    at = meter.tick(at)
    now = at - 0.01  # in the next turn
    assert [
        round(seconds, 3) for seconds in (meter.time_left(now, 4.0), meter.delay(now), meter.age(now))
    ] == [
        3.4,
        0.3,
        0.0,
    ]
    while at < 10.3 + event_loop_lag.LAG_WINDOW + 0.1:
        at = meter.tick(at)
    assert meter.time_left(at, 4.0) == 4.0 and round(meter.worst, 3) == 0.3


def test_data_that_a_late_turn_reads_last_has_waited_for_that_turn_too() -> None:
    """The process waits for a core, and then reads from many sockets for longer than a tick period."""
    meter = event_loop_lag.LagMeter()
    due = meter.tick(10.0)
    turn_began = due + 0.2
    next_due = meter.tick(turn_began)
    for reading in (0.0, 0.01, 0.03, 0.1, 0.3):
        assert meter.age(turn_began + reading) >= 0.2 + reading - event_loop_lag.TICK_PERIOD - 1e-9
    meter.tick(next_due)  # the next turn is on time
    assert meter.age(next_due) == 0.0


def seconds_past_deadline(is_measured: bool) -> float:
    """Return how late a node answers that stalls for 0.3 s in each turn, while no engine answers."""
    fleet = Fleet("R0 W0 W0")
    node = fleet.nodes["n0"]
    fleet.generate(prompt=100, output=10)
    fleet.run(1.0)
    for name in fleet.engines:
        fleet.inject_fault(name, "hang")
    fleet.run(0.1)
    if is_measured:
        node.measure_lag()

    def stall() -> None:
        fleet.clock.advance(0.3)  # no message is delivered meanwhile
        fleet.net.run(0.0)

    stall()
    call = fleet.generate(prompt=1500, time_left=1.0)
    began = fleet.clock.seconds()
    while not call.answer and fleet.clock.seconds() < began + 3.0:
        fleet.net.run(0.01)
        stall()
    assert call.answer in ("rejected", "aborted")
    return fleet.records("final")[-1].at - began - 1.0


def test_a_node_that_stalls_answers_before_the_deadline() -> None:
    assert seconds_past_deadline(is_measured=False) > 0.15  # it is late without the meter
    assert seconds_past_deadline(is_measured=True) <= 0.05
