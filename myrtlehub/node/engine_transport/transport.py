"""The engine transport over gRPC: one channel an engine."""

from collections.abc import Callable
from random import Random

from myrtlehub.clock import Clock
from myrtlehub.log_events import LogEvent
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.engine_transport.attempt_watcher import load_report_of
from myrtlehub.node.engine_transport.engine_requests import request_of, work_of
from myrtlehub.node.sequences import Attempt
from myrtlehub.proto import engine_pb2 as pb
from myrtlehub.recovery.sequence_records import UNOWNED, Ownership
from myrtlehub.routing import contract
from myrtlehub.rpc.channel import Channel, ChannelState
from myrtlehub.rpc.transport_limits import TransportLimits

SERVICE = "/myrtlehub.v1.Engine/"
RELEASE_TIMEOUT = 1.0  # seconds


class GrpcEngineTransport:
    """Channels by engine address, and the attempts on them. Implements `protocols.EngineTransport`."""

    def __init__(
        self,
        clock: Clock,
        dial: Callable[[str], Callable],
        name: str,
        random: Random,
        connect_timeout: float,
        transport_limits: TransportLimits | None = None,
    ) -> None:
        """Make a transport without channels.

        Args:
            clock: the node's clock.
            dial: returns how a channel connects to an address.
            name: the node's name, which engines log.
            random: spreads the pauses between attempts to connect.
            connect_timeout: seconds.
            transport_limits: of all channels.
        """
        self.clock = clock
        self.dial = dial
        self.name = name
        self.random = random
        self.connect_timeout = connect_timeout
        self.transport_limits = transport_limits or TransportLimits()
        self.channels: dict[str, Channel] = {}
        self.executor: ActionExecutor | None = None
        # Returns by which ownership this node has a sequence, if nodes replicate their sequence records.
        self.ownership_of: Callable[[str], Ownership] = lambda sequence_id: UNOWNED

    def channel(self, engine: int) -> Channel:
        """Return the channel to an engine, by its index; made at its first use."""
        return self.channel_to(self.executor.decoder.engines.rows[engine].address)

    def channel_to(self, address: str) -> Channel:
        """Return the channel to an address; made at its first use."""
        channel = self.channels.get(address)
        if channel is None:
            channel = self.channels[address] = Channel(
                self.clock,
                self.dial(address),
                address,
                self.transport_limits,
                self.random,
                connect_timeout=self.connect_timeout,
            )
        return channel

    def start(self, attempt: Attempt) -> None:
        """Send an attempt."""
        sequence_id = attempt.sequence.sequence_id
        now = self.clock.seconds()
        work = work_of(attempt, self.ownership_of(sequence_id), now)
        request = request_of(self.executor, attempt, work, now)
        metadata = (
            ("myrtle-seq", sequence_id),
            ("myrtle-attempt", str(work.attempt)),
            ("myrtle-node", self.name),
            ("myrtle-list", self.executor.list_label),
        )
        channel = self.channel(attempt.engine)
        attempt.call = channel.call(SERVICE + request.method, request.watcher, metadata, request.timeout)
        attempt.call.send(request.data)
        attempt.call.half_close()

    def cancel(self, attempt: Attempt) -> None:
        """Reset an attempt at its engine."""
        if attempt.call is not None:
            attempt.call.cancel()

    def release(self, engine: int, sequence_id: str) -> None:
        """Ask an engine to free what it holds for a sequence."""
        ownership = self.ownership_of(sequence_id)
        request = pb.ReleaseRequest(sequence=sequence_id, epoch=ownership.epoch, owner=ownership.owner)
        reply = self.channel(engine).unary(
            SERVICE + "Release", request.SerializeToString(), timeout=RELEASE_TIMEOUT
        )
        reply.addErrback(lambda failure: None)  # an unreachable engine frees it after its own state timeout

    def probe(
        self, engine: int, timeout: float, then: Callable[[bool, contract.LoadReport | None], None]
    ) -> None:
        """Ask an engine for its load; `then(is_answered, load)` is called once, in a later turn."""
        reply = self.channel(engine).unary(
            SERVICE + "Probe", pb.ProbeRequest().SerializeToString(), timeout=timeout
        )
        reply.addCallback(pb.ProbeReply.FromString)
        # A malformed reply counts as none; an exception that `then` itself raises is logged.
        reply.addCallbacks(
            lambda message: then(True, load_report_of(message)), lambda failure: then(False, None)
        )
        reply.addErrback(
            lambda failure: self.executor.log(LogEvent.UNEXPECTED_ERROR, traceback=failure.getTraceback())
        )

    def close_idle(self, engine: int) -> None:
        """Close an unused connection to an engine."""
        self.channel(engine).close_idle()

    def forget(self, address: str) -> None:
        """Drop the channel to an engine that has left the endpoint list and is unused."""
        channel = self.channels.pop(address, None)
        if channel is not None:
            channel.close_idle()

    def unreachable_engines(self) -> frozenset[str]:
        """Return the addresses to which no connection could be made of late."""
        return frozenset(
            address
            for address, channel in self.channels.items()
            if channel.state == ChannelState.TRANSIENT_FAILURE
        )

    def close(self) -> None:
        """Close all channels; the node ends."""
        for channel in self.channels.values():
            channel.close()
        self.channels.clear()
