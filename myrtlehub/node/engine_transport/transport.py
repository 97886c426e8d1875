"""The engine transport over gRPC: one channel per engine."""

from collections.abc import Callable
from random import Random

from twisted.python.failure import Failure

from myrtlehub.clock import Clock
from myrtlehub.log_events import LogEvent
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.engine_transport.attempt_watcher import call_of, load_report_of
from myrtlehub.node.engine_transport.engine_requests import build_request, build_work
from myrtlehub.node.sequences import Attempt
from myrtlehub.proto import engine_pb2 as pb
from myrtlehub.recovery.sequence_records import UNOWNED, Ownership
from myrtlehub.routing import contract
from myrtlehub.rpc.channel import Channel, ChannelState, Dialer
from myrtlehub.rpc.transport_limits import TransportLimits

ENGINE_SERVICE = "/myrtlehub.v1.Engine/"
RELEASE_TIMEOUT = 1.0  # seconds


class GrpcEngineTransport:
    """Sends attempts over channels to engines; implements `protocols.EngineTransport`.

    Attributes:
        channels: by engine address.
        executor: receives the outcomes; set before the first attempt is started.
        ownership_of: returns this node's ownership of a sequence; `UNOWNED` unless the nodes replicate their
            sequence records.
    """

    executor: ActionExecutor

    def __init__(
        self,
        clock: Clock,
        dial: Dialer,
        name: str,
        random: Random,
        connect_timeout: float,
        transport_limits: TransportLimits | None = None,
    ) -> None:
        """Create a transport without channels.

        Args:
            clock: the node's clock.
            dial: returns the connect function of an address.
            name: the node's name, which engines log.
            random: adds jitter to the backoff between connection attempts.
            connect_timeout: seconds after which a connection attempt fails.
            transport_limits: the limits of all channels.
        """
        self.clock = clock
        self.dial = dial
        self.name = name
        self.random = random
        self.connect_timeout = connect_timeout
        self.transport_limits = transport_limits or TransportLimits()
        self.channels: dict[str, Channel] = {}
        self.ownership_of: Callable[[str], Ownership] = lambda sequence_id: UNOWNED

    def channel(self, engine: int) -> Channel:
        """Return the channel to an engine by endpoint index, creating it on first use."""
        return self.channel_to(self.executor.decoder.engines.endpoints[engine].address)

    def channel_to(self, address: str) -> Channel:
        """Return the channel to an address, creating it on first use."""
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
        work = build_work(attempt, self.ownership_of(sequence_id), now)
        request = build_request(self.executor, attempt, work, now)
        metadata = (
            ("myrtle-seq", sequence_id),
            ("myrtle-attempt", str(work.attempt)),
            ("myrtle-node", self.name),
            ("myrtle-list", self.executor.list_label),
        )
        channel = self.channel(attempt.engine)
        call = attempt.transport_call = channel.call(
            ENGINE_SERVICE + request.method, request.watcher, metadata, request.timeout
        )
        call.send(request.data)
        call.half_close()

    def cancel(self, attempt: Attempt) -> None:
        """Reset an attempt at its engine."""
        call = call_of(attempt)
        if call is not None:
            call.cancel()

    def release(self, engine: int, sequence_id: str) -> None:
        """Request an engine to release the read state of a sequence."""
        ownership = self.ownership_of(sequence_id)
        request = pb.ReleaseRequest(sequence=sequence_id, epoch=ownership.epoch, owner=ownership.owner)
        reply = self.channel(engine).unary(
            ENGINE_SERVICE + "Release", request.SerializeToString(), timeout=RELEASE_TIMEOUT
        )
        reply.addErrback(
            lambda failure: None
        )  # an unreachable engine releases the state after its own timeout

    def probe(
        self, engine: int, timeout: float, on_result: Callable[[bool, contract.LoadReport | None], None]
    ) -> None:
        """Request a load report.

        `on_result(is_answered, load)` is called once, in a later iteration of the event loop.
        """
        reply = self.channel(engine).unary(
            ENGINE_SERVICE + "Probe", pb.ProbeRequest().SerializeToString(), timeout=timeout
        )
        reply.addCallback(pb.ProbeReply.FromString)
        # A malformed reply counts as no answer; an exception that `on_result` itself raises is logged.
        reply.addCallbacks(
            lambda message: on_result(True, load_report_of(message)), lambda failure: on_result(False, None)
        )
        reply.addErrback(self._log_failure)

    def _log_failure(self, failure: Failure) -> None:
        self.executor.log(LogEvent.UNEXPECTED_ERROR, traceback=failure.getTraceback())

    def close_idle(self, engine: int) -> None:
        """Close an unused connection to an engine."""
        self.channel(engine).close_idle()

    def forget(self, address: str) -> None:
        """Drop the channel to an engine that was removed from the endpoint list and is unused."""
        channel = self.channels.pop(address, None)
        if channel is not None:
            channel.close_idle()

    def unreachable_engines(self) -> frozenset[str]:
        """Return the addresses whose last connection attempt failed."""
        return frozenset(
            address
            for address, channel in self.channels.items()
            if channel.state == ChannelState.TRANSIENT_FAILURE
        )

    def close(self) -> None:
        """Close all channels."""
        for channel in self.channels.values():
            channel.close()
        self.channels.clear()
