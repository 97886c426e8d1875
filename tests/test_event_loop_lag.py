"""Event loop lag: what a node takes off the time it is given, as it runs late itself."""

from fleet import Fleet
from hypothesis import given
from hypothesis import strategies as st

from myrtlehub.limits import event_loop_lag

TURNS = st.lists(st.tuples(st.floats(0.0, 0.6), st.floats(0.0, 0.05)), min_size=1, max_size=40)


@given(TURNS, st.data())
def test_age_bounds_how_long_ago_anything_read_arrived(turns: list, data: object) -> None:
    """Turns of any length with rests between: timers first, then what arrived until now is read."""
    meter, now = event_loop_lag.LagMeter(), 100.0
    due = meter.tick(now)
    for busy, rest in turns:
        looked = now  # the last time that sockets were read
        now += busy
        came = data.draw(st.floats(looked, now))  # while the turn ran
        if now >= due:
            due = meter.tick(now)
        assert now - came <= meter.age(now) + event_loop_lag.TICK_PERIOD + 1e-9
        assert meter.delay(now) >= meter.age(now)
        now += rest
        if now >= due:  # idle: the tick fires when it is due
            due = meter.tick(max(due, now - rest))


@given(st.lists(st.floats(0.0, 1.0), max_size=60), st.floats(0.0, 5.0))
def test_time_left_is_reduced_by_at_most_the_margin_share(lates: list[float], stated: float) -> None:
    meter, now = event_loop_lag.LagMeter(), 0.0
    due = meter.tick(now)
    for late in lates:
        due = meter.tick(due + late)
        now = due - event_loop_lag.TICK_PERIOD
        assert (
            (1.0 - event_loop_lag.MAX_MARGIN_SHARE) * stated - 1e-9 <= meter.time_left(now, stated) <= stated
        )
    worst = max([0.0, *lates])
    assert abs(meter.worst - worst) < 1e-6


def test_a_late_tick_counts_for_the_window_and_is_then_forgotten() -> None:
    meter = event_loop_lag.LagMeter()
    due = meter.tick(10.0)
    at = meter.tick(due + 0.3)
    now = at - 0.01  # in the turn that was late
    assert [round(x, 3) for x in (meter.time_left(now, 4.0), meter.delay(now), meter.age(now))] == [
        3.1,
        0.3,
        0.3,
    ]
    at = meter.tick(at)
    now = at - 0.01  # the next one
    assert [round(x, 3) for x in (meter.time_left(now, 4.0), meter.delay(now), meter.age(now))] == [
        3.4,
        0.3,
        0.0,
    ]
    while at < 10.3 + event_loop_lag.LAG_WINDOW + 0.1:
        at = meter.tick(at)
    assert meter.time_left(at, 4.0) == 4.0 and round(meter.worst, 3) == 0.3


def test_what_a_late_turn_reads_last_has_waited_for_that_turn_too() -> None:
    """Crossing: the process waits for a core, and then has many sockets to read, for longer than a tick."""
    meter = event_loop_lag.LagMeter()
    due = meter.tick(10.0)
    late = due + 0.2
    next_due = meter.tick(late)
    for reading in (0.0, 0.01, 0.03, 0.1, 0.3):
        assert meter.age(late + reading) >= 0.2 + reading - event_loop_lag.TICK_PERIOD - 1e-9
    meter.tick(next_due)  # the next turn is on time
    assert meter.age(next_due) == 0.0


def late_by(measured: bool) -> float:
    """A client asks a node that stands still for 0.3 s again and again, and no engine answers."""
    f = Fleet("R0 W0 W0")
    node = f.nodes["n0"]
    f.ask(prompt=100, output=10)
    f.run(1.0)
    for name in f.stands:
        f.misbehave(name, "hang")
    f.run(0.1)
    if measured:
        node.measure_lag()

    def stall() -> None:
        f.clock.advance(0.3)  # nothing crosses, no timer is heard
        f.net.run(0.0)

    stall()
    caller = f.ask(prompt=1500, left=1.0)
    at = f.clock.seconds()
    while not caller.answer and f.clock.seconds() < at + 3.0:
        f.net.run(0.01)
        stall()
    assert caller.answer in ("rejected", "aborted")
    return f.what("final")[-1].at - at - 1.0


def test_a_node_that_stalls_gives_up_sooner_and_answers_before_the_deadline() -> None:
    assert late_by(measured=False) > 0.15  # the failure is there without the meter
    assert late_by(measured=True) <= 0.05
