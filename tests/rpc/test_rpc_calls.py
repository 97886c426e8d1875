"""Calls between a channel and a server on a simulated clock."""

from random import Random

from rpc_rig import EchoReceiver, RecordingWatcher, RpcRig

from myrtlehub.rpc.backoff import Backoff
from myrtlehub.rpc.channel import ChannelState
from myrtlehub.rpc.method_handlers import unary
from myrtlehub.rpc.server_call import Receiver, ServerCall
from myrtlehub.rpc.status import Code
from myrtlehub.rpc.transport_limits import TransportLimits


def test_unary_and_streaming_calls() -> None:
    rig = RpcRig()
    assert rig.unary("/t.T/One", b"abc") == b"cba"
    results = []
    rig.channel.collect("/t.T/Join", [b"a", b"b", b"c"]).addBoth(results.append)
    rig.channel.collect("/t.T/Count", [b"5"]).addBoth(results.append)
    rig.channel.collect("/t.T/Echo", [b"x", b"", b"y" * 100000]).addBoth(results.append)
    rig.net.run(0.1)
    assert results == [[b"abc"], [b"0", b"1", b"2", b"3", b"4"], [b"x", b"", b"y" * 100000]]


def test_errors_are_reported_by_their_status() -> None:
    rig = RpcRig()

    def raise_error(call: ServerCall, data: bytes) -> bytes:
        raise KeyError("secret")

    rig.server.add("/t.T/Crash", unary(raise_error))
    assert rig.unary("/t.T/None", b"").code == Code.UNIMPLEMENTED
    ended = rig.unary("/t.T/Crash", b"")
    assert ended.code == Code.INTERNAL and "secret" not in ended.message
    assert rig.unary("/t.T/One", b"still") == b"llits"


def test_deadline_ends_the_call_on_client_and_server() -> None:
    rig = RpcRig()
    watcher = RecordingWatcher()
    rig.channel.call("/t.T/Never", watcher, timeout=0.5)
    rig.net.run(0.4)
    assert watcher.status is None and abs(EchoReceiver.calls[0].call.time_left() - 0.1) < 0.01
    rig.net.run(0.2)
    assert watcher.status.code == Code.DEADLINE_EXCEEDED
    assert EchoReceiver.calls[0].end in (Code.DEADLINE_EXCEEDED, Code.CANCELLED)


def test_cancellation_reaches_the_server() -> None:
    rig = RpcRig()
    watcher, unsent_watcher = RecordingWatcher(), RecordingWatcher()
    call = rig.channel.call("/t.T/Never", watcher)
    rig.net.run(0.1)
    call.cancel()
    assert watcher.status.code == Code.CANCELLED and not watcher.status.unprocessed
    rig.net.run(0.1)
    assert EchoReceiver.calls[0].end == Code.CANCELLED and not rig.server.calls
    rig.channel.call("/t.T/Never", unsent_watcher).cancel()
    assert unsent_watcher.status.code == Code.CANCELLED and not rig.channel.protocol.streams


def test_flow_control_suspends_only_the_producer_of_an_unread_stream() -> None:
    rig = RpcRig(TransportLimits(stream_window=32768), limits=TransportLimits(stream_window=32768))
    watcher, paused, resumed = RecordingWatcher(), [], []

    class PushProducer:
        def __init__(self, call: ServerCall) -> None:
            self.call, self.is_running, self.unsent_messages = call, True, 4000
            call.stream.registerProducer(self, True)
            self.produce()

        def produce(self) -> None:
            while self.is_running and self.unsent_messages:
                self.unsent_messages -= 1
                self.call.send(b"z" * 1000)

        def pauseProducing(self) -> None:  # noqa: N802
            self.is_running = False
            paused.append(self)

        def resumeProducing(self) -> None:  # noqa: N802
            self.is_running = True
            resumed.append(self)
            self.produce()

        def stopProducing(self) -> None:  # noqa: N802
            self.is_running = False

    rig.server.add("/t.T/Produce", lambda call: (PushProducer(call), Receiver())[1])
    call = rig.channel.call("/t.T/Produce", watcher)
    call.pauseProducing()
    rig.net.run(0.5)
    received_while_paused = len(watcher.messages)
    assert paused and len(rig.server.calls) == 1
    server_call = next(iter(rig.server.calls))
    assert server_call.buffered < 2 * 65536 + 2000
    assert rig.unary("/t.T/One", b"abc") == b"cba" and len(watcher.messages) == received_while_paused
    resume_count = len(resumed)
    call.resumeProducing()
    rig.net.run(0.1)
    assert len(watcher.messages) == 4000 > received_while_paused and len(resumed) > resume_count
    call.cancel()
    rig.net.run(0.1)
    assert server_call.over


def test_calls_above_max_concurrent_streams_are_queued() -> None:
    rig = RpcRig(TransportLimits(max_streams=3))
    rig.unary("/t.T/One", b"")
    watchers = [RecordingWatcher() for _ in range(5)]
    calls = [rig.channel.call("/t.T/Never", watcher) for watcher in watchers]
    rig.net.run(0.1)
    assert len(rig.server.calls) == 3
    for call in calls[:2]:
        call.half_close()
    rig.net.run(0.1)
    assert len(rig.server.calls) == 3
    assert [watcher.status is not None for watcher in watchers] == [True] * 2 + [False] * 3


def test_draining_server_completes_running_calls_and_rejects_new_ones() -> None:
    rig = RpcRig()
    watcher, late_watcher = RecordingWatcher(), RecordingWatcher()
    call = rig.channel.call("/t.T/Never", watcher)
    rig.net.run(0.1)
    drained = []
    rig.server.drain().addCallback(drained.append)
    rig.net.hosts.pop("s")  # new connections are refused
    rig.net.run(0.1)
    rig.channel.call("/t.T/One", late_watcher)
    rig.net.run(0.5)
    assert late_watcher.status.code == Code.UNAVAILABLE and late_watcher.status.unprocessed and not drained
    call.send(b"last message")
    call.half_close()
    rig.net.run(0.5)
    assert watcher.messages == [b"last message"] and watcher.status.code == Code.OK and drained


def test_reconnection_after_backoff() -> None:
    rig = RpcRig()
    rig.unary("/t.T/One", b"")
    watcher = RecordingWatcher()
    rig.channel.call("/t.T/Never", watcher)
    rig.net.run(0.1)
    factory = rig.net.hosts["s"]
    rig.net.kill("s")
    rig.net.run(0.01)
    assert (
        watcher.status.code == Code.UNAVAILABLE and watcher.status.broken and not watcher.status.unprocessed
    )
    rejected = rig.unary("/t.T/One", b"")
    assert rejected.code == Code.UNAVAILABLE and rejected.unprocessed
    assert rig.channel.state in (ChannelState.TRANSIENT_FAILURE, ChannelState.IDLE)
    rig.net.listen("s", factory)
    rig.net.run(3.0)
    assert rig.unary("/t.T/One", b"ab") == b"ba" and rig.channel.state == ChannelState.READY
    initial_delays = [Backoff(Random(7).random).next() for _ in range(3)]
    backoff = Backoff(Random(7).random, 0.05, 2.0)
    growing_delays = [backoff.next() for _ in range(12)]
    assert (
        0.04 <= initial_delays[0] <= 0.06
        and growing_delays[3] > growing_delays[0]
        and max(growing_delays) <= 2.4
    )


def test_keepalive_detects_an_unresponsive_peer() -> None:
    rig = RpcRig(limits=TransportLimits(keepalive_interval=5.0, keepalive_timeout=2.0))
    watcher = RecordingWatcher()
    rig.channel.call("/t.T/Never", watcher)
    rig.net.run(20.0)
    assert watcher.status is None  # acknowledged pings keep the connection open
    rig.net.silent.add("s")
    rig.net.run(8.0)
    assert watcher.status.code == Code.UNAVAILABLE and watcher.status.broken
