"""Periodic tasks and retries of a relay node continue after one of their runs has raised."""

from collections.abc import Callable

import pytest
from relaymessages import LONG_PROMPT, STREAM_HEAD
from relayrig import RawClientFactory, RelayRig, never_respond

from myrtlehub.log_events import LogEvent
from myrtlehub.node.executor_observer import ExecutorObserver
from myrtlehub.relay.process.graceful_shutdown import GracefulShutdown


class PlantedError(Exception):
    """Raised by a replaced callable."""


class Failing:
    """Replaces a callable: raises for the first `count` calls, then forwards them."""

    def __init__(self, call: Callable, count: int = 1) -> None:
        self.call = call
        self.count = count
        self.raised = 0

    def __call__(self, *arguments: object, **more: object) -> object:
        if self.raised < self.count:
            self.raised += 1
            raise PlantedError
        return self.call(*arguments, **more)


def run(rig: RelayRig, seconds: float) -> None:
    """Advance the clock as the reactor does: an exception ends only the call that raised it."""
    until = rig.clock.seconds() + seconds
    while True:
        try:
            rig.run(max(0.0, until - rig.clock.seconds()))
        except PlantedError:
            continue
        return


def test_a_list_that_could_not_be_applied_is_polled_again() -> None:
    rig = RelayRig("w1 w2")
    rig.node.discovery.on_update = failing = Failing(rig.node.discovery.on_update)
    with pytest.raises(PlantedError):
        rig.update_list(w1=rig.entry("w1", "leaving"))
    run(rig, 0.5)
    assert failing.raised == 1 and rig.open_watches
    for number in range(6):
        assert rig.request(f"a{number}").statuses == [200]
    assert not rig.engines["w1"].chat_requests()
    assert rig.node.discovery.is_armed()


def test_a_list_that_can_never_be_applied_is_polled_at_the_retry_interval() -> None:
    rig = RelayRig("w1")
    rig.node.discovery.on_update = Failing(rig.node.discovery.on_update, count=10_000)
    with pytest.raises(PlantedError):
        rig.update_list(w1=rig.entry("w1", "leaving"))
    before = len(rig.discovery.requests)
    run(rig, 1.0)
    assert 5 <= len(rig.discovery.requests) - before <= 10


def test_discovery_is_polled_again_after_a_send_that_raised() -> None:
    rig = RelayRig("w1")
    rig.node.discovery.pool.send = failing = Failing(rig.node.discovery.pool.send, count=3)
    rig.discovery.connections[-1].transport.abortConnection()
    run(rig, 1.0)
    assert failing.raised == 3 and rig.open_watches and rig.node.discovery.is_armed()


def test_discovery_is_polled_again_after_a_log_call_that_raised() -> None:
    rig = RelayRig("w1")
    rig.node.discovery.log = Failing(rig.node.discovery.log)
    rig.discovery.connections[-1].transport.abortConnection()
    run(rig, 1.0)
    assert rig.node.discovery.version == 1 and rig.node.discovery.is_armed()


def test_all_streams_are_checked_although_one_check_raises() -> None:
    rig = RelayRig("w1")
    rig.engines["w1"].script = lambda connection, head, body: connection.send(STREAM_HEAD)
    rig.request("a1")
    rig.request("a2")
    monitor = rig.node.engine_client.stream_monitor
    first, second = monitor.streams
    first.check_progress = Failing(first.check_progress, count=10_000)
    looks = []
    second.check_progress = looks.append
    run(rig, 2.0)
    assert len(looks) >= 7 and monitor.is_armed()


def test_idle_connections_are_closed_after_one_whose_close_raised() -> None:
    rig = RelayRig("w1")
    rig.request("a1")
    pool = rig.node.pool
    connection = pool.idle.of_peer("w1")[0]
    connection.close = Failing(connection.close)
    run(rig, pool.idle.max_idle + 3.0)
    assert pool.count == 0


def test_the_lag_is_measured_after_a_tick_that_raised() -> None:
    rig = RelayRig("w1")
    rig.node.measure_lag()
    lag = rig.node.decoder.lag
    lag.tick = failing = Failing(lag.tick)
    run(rig, 0.5)
    assert failing.raised == 1 and lag.age(rig.clock.seconds()) == 0.0


def test_a_release_is_retried_after_a_send_that_raised() -> None:
    rig = RelayRig("r1 w1")
    rig.engines["w1"].script = never_respond
    client = rig.request("a1", LONG_PROMPT)
    rig.run(0.1)
    rig.node.pool.send = Failing(rig.node.pool.send, count=2)
    client.transport.loseConnection()
    run(rig, 1.0)
    assert b"/state/a1" in rig.engines["r1"].released_paths()
    assert not rig.node.engine_client.releaser.is_busy()


@pytest.mark.parametrize("method", ["drain", "stop_listening", "is_busy"])
def test_the_process_ends_whatever_a_step_of_its_shutdown_raises(method: str) -> None:
    rig = RelayRig("w1")
    ended: list[float] = []
    shutdown = GracefulShutdown(
        rig.clock,
        rig.node.listener,
        rig.node.is_busy,
        lambda: None,
        lambda: ended.append(rig.clock.seconds()),
    )
    if method == "drain":
        rig.node.listener.drain = Failing(rig.node.listener.drain)
    else:
        setattr(shutdown, method, Failing(getattr(shutdown, method)))
    if method == "drain":
        with pytest.raises(PlantedError):
            shutdown.start()
    else:
        shutdown.start()
    run(rig, 1.5)
    assert ended


def test_a_request_whose_send_raised_is_retried() -> None:
    rig = RelayRig("w1 w2")
    rig.node.engine_client.start = Failing(rig.node.engine_client.start)
    with pytest.raises(PlantedError):
        rig.request("a1", traffic="post")
    run(rig, 0.2)
    assert len(rig.engines["w1"].chat_requests() + rig.engines["w2"].chat_requests()) == 1
    assert not rig.node.executor.in_flight


def test_a_deadline_is_kept_although_an_action_before_its_wakeup_raised() -> None:
    """The wake-up is the last action of a router call; if it is lost once, it is never scheduled again."""
    rig = RelayRig("w1")
    rig.engines["w1"].script = never_respond
    executor = rig.node.executor
    observer = ExecutorObserver()
    observer.attempt_started = Failing(observer.attempt_started)
    executor.add_observer(observer)
    with pytest.raises(PlantedError):
        rig.request("a1", remaining_ms=500)
    run(rig, 1.0)
    client = rig.request("a2", remaining_ms=500)
    run(rig, 1.0)
    assert client.statuses == [503] and not executor.in_flight


def test_a_sequence_that_the_router_leaves_unanswered_is_aborted_and_counted_as_a_violation() -> None:
    rig = RelayRig("w1")
    rig.engines["w1"].script = never_respond
    rig.node.executor.router._place_waiting = lambda now: None  # its wake-ups have no effect
    client = rig.request("a1", remaining_ms=500)
    attempt = next(iter(rig.node.executor.in_flight.values())).attempts[0]
    attempt.stop_timer()
    run(rig, 0.8)
    assert client.statuses == [502]
    assert rig.node.monitor.counter.violations == {"answer in time": 1}
    assert [
        fields["sequence_id"] for event, fields in rig.logged if event == LogEvent.INVARIANT_VIOLATED
    ] == ["a1"]


def test_connections_are_accepted_again_after_one_that_could_not_be_dropped() -> None:
    rig = RelayRig("w1", descriptors=100)
    listener = rig.node.listener
    paused: list[bool] = []
    listener.on_full = paused.append
    listener._drop = Failing(listener._drop)
    for _ in range(listener.max_connections + listener.burst + 3):
        rig.net.dialer("node")(RawClientFactory())
    run(rig, 0.5)
    assert True in paused and paused[-1] is False
    run(rig, 4.0)
    assert len(listener.connections) <= listener.max_connections
