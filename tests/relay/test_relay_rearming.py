"""Periodic tasks and retries of a relay node continue after one of their calls has raised."""

from collections.abc import Callable

import pytest
from relaymessages import DONE, EVENT, LONG_PROMPT, STREAM_HEAD, USAGE
from relayrig import RawClientFactory, RelayRig, never_respond

from myrtlehub.log_events import LogEvent
from myrtlehub.node.executor_observer import ExecutorObserver
from myrtlehub.relay.process.graceful_shutdown import GracefulShutdown


class InjectedError(Exception):
    """Raised by `FailingCallable`."""


class FailingCallable:
    """Wraps a callable: raises for the first `count` calls, then forwards calls to it."""

    def __init__(self, call: Callable, count: int = 1) -> None:
        self.call = call
        self.count = count
        self.raised = 0

    def __call__(self, *arguments: object, **keywords: object) -> object:
        if self.raised < self.count:
            self.raised += 1
            raise InjectedError
        return self.call(*arguments, **keywords)


def run_despite_errors(rig: RelayRig, seconds: float) -> None:
    """Advance the clock like the reactor, where an exception ends only the call that raised it."""
    end = rig.clock.seconds() + seconds
    while True:
        try:
            rig.run(max(0.0, end - rig.clock.seconds()))
        except InjectedError:
            continue
        return


def test_a_list_that_could_not_be_applied_is_polled_again() -> None:
    rig = RelayRig("w1 w2")
    rig.node.discovery.on_update = failing = FailingCallable(rig.node.discovery.on_update)
    with pytest.raises(InjectedError):
        rig.update_list(w1=rig.entry("w1", "leaving"))
    run_despite_errors(rig, 0.5)
    assert failing.raised == 1 and rig.open_watches
    for number in range(6):
        assert rig.request(f"a{number}").statuses == [200]
    assert not rig.engines["w1"].chat_requests()
    assert rig.node.discovery.is_armed()


def test_a_list_that_can_never_be_applied_is_polled_at_the_retry_interval() -> None:
    rig = RelayRig("w1")
    rig.node.discovery.on_update = FailingCallable(rig.node.discovery.on_update, count=10_000)
    with pytest.raises(InjectedError):
        rig.update_list(w1=rig.entry("w1", "leaving"))
    before = len(rig.discovery.requests)
    run_despite_errors(rig, 1.0)
    assert 5 <= len(rig.discovery.requests) - before <= 10


def test_discovery_is_polled_again_after_a_send_that_raised() -> None:
    rig = RelayRig("w1")
    rig.node.discovery.pool.send = failing = FailingCallable(rig.node.discovery.pool.send, count=3)
    rig.discovery.connections[-1].transport.abortConnection()
    run_despite_errors(rig, 1.0)
    assert failing.raised == 3 and rig.open_watches and rig.node.discovery.is_armed()


def test_discovery_is_polled_again_after_a_log_call_that_raised() -> None:
    rig = RelayRig("w1")
    rig.node.discovery.log = FailingCallable(rig.node.discovery.log)
    rig.discovery.connections[-1].transport.abortConnection()
    run_despite_errors(rig, 1.0)
    assert rig.node.discovery.version == 1 and rig.node.discovery.is_armed()


def test_all_streams_are_checked_although_one_check_raises() -> None:
    rig = RelayRig("w1")
    rig.engines["w1"].script = lambda connection, head, body: connection.send(STREAM_HEAD)
    rig.request("a1")
    rig.request("a2")
    monitor = rig.node.engine_client.stream_monitor
    first, second = monitor.streams
    first.check_progress = FailingCallable(first.check_progress, count=10_000)
    check_times = []
    second.check_progress = check_times.append
    run_despite_errors(rig, 2.0)
    assert len(check_times) >= 7 and monitor.is_armed()


def test_idle_connections_are_closed_after_one_whose_close_raised() -> None:
    rig = RelayRig("w1")
    rig.request("a1")
    pool = rig.node.engine_connections.attempts
    connection = pool.idle.of_peer("w1")[0]
    connection.close = FailingCallable(connection.close)
    run_despite_errors(rig, pool.idle.max_idle + 3.0)
    assert pool.count == 0


@pytest.mark.parametrize("method", ["on_data", "on_complete"])
def test_a_connection_leaves_its_pool_although_the_handler_of_its_last_data_raises(method: str) -> None:
    rig = RelayRig("w1")
    head = STREAM_HEAD.replace(b"Transfer-Encoding: chunked", b"Connection: close")
    rig.engines["w1"].script = lambda connection, request, body: connection.send(head)
    rig.request("a1", traffic="post")
    pool = rig.node.engine_connections.attempts
    connection = rig.engines["w1"].connections[0]
    pending = next(iter(rig.node.executor.in_flight.values())).attempts[0].transport_call
    failing = FailingCallable(getattr(pending.handler, method))
    setattr(pending.handler, method, failing)
    connection.send(EVENT + USAGE + DONE)
    connection.transport.loseConnection()
    run_despite_errors(rig, 0.1)
    assert failing.raised == 1 and pool.count == 0


def test_the_lag_is_measured_after_a_tick_that_raised() -> None:
    rig = RelayRig("w1")
    rig.node.measure_lag()
    lag_meter = rig.node.decoder.lag_meter
    lag_meter.tick = failing = FailingCallable(lag_meter.tick)
    run_despite_errors(rig, 0.5)
    assert failing.raised == 1 and lag_meter.max_data_age(rig.clock.seconds()) == 0.0


def test_a_release_is_retried_after_a_send_that_raised() -> None:
    rig = RelayRig("r1 w1")
    rig.engines["w1"].script = never_respond
    client = rig.request("a1", LONG_PROMPT)
    rig.run(0.1)
    pool = rig.node.engine_connections.cleanup
    pool.send = FailingCallable(pool.send, count=2)
    client.transport.loseConnection()
    run_despite_errors(rig, 1.0)
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
        rig.node.listener.drain = FailingCallable(rig.node.listener.drain)
    else:
        setattr(shutdown, method, FailingCallable(getattr(shutdown, method)))
    if method == "drain":
        with pytest.raises(InjectedError):
            shutdown.start()
    else:
        shutdown.start()
    run_despite_errors(rig, 1.5)
    assert ended


def test_a_request_whose_send_raised_is_retried() -> None:
    rig = RelayRig("w1 w2")
    rig.node.engine_client.start = FailingCallable(rig.node.engine_client.start)
    with pytest.raises(InjectedError):
        rig.request("a1", traffic="post")
    run_despite_errors(rig, 0.2)
    assert len(rig.engines["w1"].chat_requests() + rig.engines["w2"].chat_requests()) == 1
    assert not rig.node.executor.in_flight


def test_a_deadline_is_kept_although_an_action_before_its_wakeup_raised() -> None:
    """The wake-up is the last action of a router call. Once lost, it would never be scheduled again."""
    rig = RelayRig("w1")
    rig.engines["w1"].script = never_respond
    executor = rig.node.executor
    observer = ExecutorObserver()
    observer.attempt_started = FailingCallable(observer.attempt_started)
    executor.add_observer(observer)
    with pytest.raises(InjectedError):
        rig.request("a1", remaining_ms=500)
    run_despite_errors(rig, 1.0)
    client = rig.request("a2", remaining_ms=500)
    run_despite_errors(rig, 1.0)
    assert client.statuses == [503] and not executor.in_flight


def test_a_sequence_that_the_router_leaves_unanswered_is_aborted_and_counted_as_a_violation() -> None:
    rig = RelayRig("w1")
    rig.engines["w1"].script = never_respond
    rig.node.executor.router._place_waiting = lambda now: None  # the router's wake-ups have no effect
    client = rig.request("a1", remaining_ms=500)
    attempt = next(iter(rig.node.executor.in_flight.values())).attempts[0]
    attempt.stop_timer()
    run_despite_errors(rig, 0.8)
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
    listener._drop = FailingCallable(listener._drop)
    for _ in range(listener.max_connections + listener.burst + 3):
        rig.net.dialer("node")(RawClientFactory())
    run_despite_errors(rig, 0.5)
    assert True in paused and paused[-1] is False
    run_despite_errors(rig, 4.0)
    assert len(listener.connections) <= listener.max_connections
