"""Calls between our channel and our server on a simulated clock."""

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
    got = []
    rig.channel.collect("/t.T/Join", [b"a", b"b", b"c"]).addBoth(got.append)
    rig.channel.collect("/t.T/Count", [b"5"]).addBoth(got.append)
    rig.channel.collect("/t.T/Echo", [b"x", b"", b"y" * 100000]).addBoth(got.append)
    rig.net.run(0.1)
    assert got == [[b"abc"], [b"0", b"1", b"2", b"3", b"4"], [b"x", b"", b"y" * 100000]]


def test_errors_have_a_status() -> None:
    rig = RpcRig()

    def crash(call: ServerCall, data: bytes) -> bytes:
        raise KeyError("secret")

    rig.server.add("/t.T/Crash", unary(crash))
    assert rig.unary("/t.T/None", b"").code == Code.UNIMPLEMENTED
    ended = rig.unary("/t.T/Crash", b"")
    assert ended.code == Code.INTERNAL and "secret" not in ended.message
    assert rig.unary("/t.T/One", b"still") == b"llits"


def test_a_deadline_passes_at_both_ends() -> None:
    rig = RpcRig()
    watcher = RecordingWatcher()
    rig.channel.call("/t.T/Never", watcher, timeout=0.5)
    rig.net.run(0.4)
    assert watcher.status is None and abs(EchoReceiver.calls[0].call.time_left() - 0.1) < 0.01
    rig.net.run(0.2)
    assert watcher.status.code == Code.DEADLINE_EXCEEDED
    assert EchoReceiver.calls[0].end in (Code.DEADLINE_EXCEEDED, Code.CANCELLED)


def test_a_cancel_reaches_the_other_end() -> None:
    rig = RpcRig()
    watcher, unsent = RecordingWatcher(), RecordingWatcher()
    call = rig.channel.call("/t.T/Never", watcher)
    rig.net.run(0.1)
    call.cancel()
    assert watcher.status.code == Code.CANCELLED and not watcher.status.unprocessed
    rig.net.run(0.1)
    assert EchoReceiver.calls[0].end == Code.CANCELLED and not rig.server.calls
    rig.channel.call("/t.T/Never", unsent).cancel()
    assert unsent.status.code == Code.CANCELLED and not rig.channel.protocol.streams


def test_flow_control_stops_the_source_of_a_stream_that_is_not_read_and_no_other() -> None:
    rig = RpcRig(TransportLimits(stream_window=32768), limits=TransportLimits(stream_window=32768))
    watcher, paused, resumed = RecordingWatcher(), [], []

    class Source:
        def __init__(self, call: ServerCall) -> None:
            self.call, self.is_running, self.unsent = call, True, 4000
            call.stream.registerProducer(self, True)
            self.more()

        def more(self) -> None:
            while self.is_running and self.unsent:
                self.unsent -= 1
                self.call.send(b"z" * 1000)

        def pauseProducing(self) -> None:  # noqa: N802
            self.is_running = False
            paused.append(self)

        def resumeProducing(self) -> None:  # noqa: N802
            self.is_running = True
            resumed.append(self)
            self.more()

        def stopProducing(self) -> None:  # noqa: N802
            self.is_running = False

    rig.server.add("/t.T/Pour", lambda call: (Source(call), Receiver())[1])
    call = rig.channel.call("/t.T/Pour", watcher)
    call.pauseProducing()
    rig.net.run(0.5)
    stuck = len(watcher.messages)
    assert paused and len(rig.server.calls) == 1
    pouring = next(iter(rig.server.calls))
    assert pouring.buffered < 2 * 65536 + 2000
    assert rig.unary("/t.T/One", b"abc") == b"cba" and len(watcher.messages) == stuck
    count = len(resumed)
    call.resumeProducing()
    rig.net.run(0.1)
    assert len(watcher.messages) == 4000 > stuck and len(resumed) > count
    call.cancel()
    rig.net.run(0.1)
    assert pouring.over


def test_calls_beyond_max_concurrent_streams_wait() -> None:
    rig = RpcRig(TransportLimits(max_streams=3))
    rig.unary("/t.T/One", b"")
    waiting = [RecordingWatcher() for _ in range(5)]
    calls = [rig.channel.call("/t.T/Never", watcher) for watcher in waiting]
    rig.net.run(0.1)
    assert len(rig.server.calls) == 3
    for call in calls[:2]:
        call.half_close()
    rig.net.run(0.1)
    assert len(rig.server.calls) == 3
    assert [watcher.status is not None for watcher in waiting] == [True] * 2 + [False] * 3


def test_a_draining_server_completes_running_calls_and_rejects_new_ones() -> None:
    rig = RpcRig()
    watcher, late = RecordingWatcher(), RecordingWatcher()
    call = rig.channel.call("/t.T/Never", watcher)
    rig.net.run(0.1)
    drained = []
    rig.server.drain().addCallback(drained.append)
    rig.net.hosts.pop("s")  # the port is closed first
    rig.net.run(0.1)
    rig.channel.call("/t.T/One", late)
    rig.net.run(0.5)
    assert late.status.code == Code.UNAVAILABLE and late.status.unprocessed and not drained
    call.send(b"last words")
    call.half_close()
    rig.net.run(0.5)
    assert watcher.messages == [b"last words"] and watcher.status.code == Code.OK and drained


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


def test_keepalive_detects_a_silent_peer() -> None:
    rig = RpcRig(limits=TransportLimits(keepalive_interval=5.0, keepalive_timeout=2.0))
    watcher = RecordingWatcher()
    rig.channel.call("/t.T/Never", watcher)
    rig.net.run(20.0)
    assert watcher.status is None  # answered pings keep the connection open
    rig.net.silent.add("s")
    rig.net.run(8.0)
    assert watcher.status.code == Code.UNAVAILABLE and watcher.status.broken
