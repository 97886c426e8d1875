"""One connection an engine, and what is said on it: the host's EngineTransport over gRPC."""

from collections.abc import Callable
from random import Random

from myrtlehub.node.action_executor import NEVER, ActionExecutor
from myrtlehub.node.sequences import Attempt
from myrtlehub.proto import engine_pb2 as pb
from myrtlehub.recovery.sequence_records import UNOWNED, Ownership
from myrtlehub.routing import contract
from myrtlehub.rpc.channel import Channel, ChannelState
from myrtlehub.rpc.client_call import CallWatcher
from myrtlehub.rpc.status import Code, Status
from myrtlehub.rpc.transport_limits import TransportLimits

SERVICE = "/myrtlehub.v1.Engine/"
TOKENS = 0x0A  # first byte of a reply whose oneof is field 1: tokens, in WriteReply and GenerateReply alike
LATE = 0.05  # seconds past its time-out at which the engine's own deadline for an attempt falls


def load_of(message: object) -> contract.LoadReport | None:
    """A load report as the module's, None where there is none."""
    if not message.HasField("load"):
        return None
    load = message.load
    return contract.LoadReport(
        **{f: getattr(load, f) for f in contract.LoadReport._fields if load.HasField(f)}
    )


def outcome_of(status: Status) -> str:
    """What a call's end tells of its attempt, where the engine itself said nothing of it.

    Only what surely never reached the engine's program counts as not having run.
    """
    if status.unprocessed:
        return contract.Outcome.UNREACHED
    if status.broken:
        return contract.Outcome.RESET
    return contract.Outcome.TIMEOUT if status.code == Code.DEADLINE_EXCEEDED else contract.Outcome.ERROR


class _Watcher(CallWatcher):
    """Of an attempt: what its call brings, told to the host."""

    def __init__(self, host: ActionExecutor, attempt: Attempt) -> None:
        self.host, self.attempt = host, attempt

    def parsed(self, kind: type, data: bytes) -> object | None:
        """A reply; None if it is none, which ends the attempt as an error."""
        try:
            return kind.FromString(data)
        except ValueError:
            self.attempt.call.cancel()
            self.host.ended(self.attempt, contract.Outcome.ERROR)
            return None

    def ended(self, status: Status) -> None:
        self.host.ended(self.attempt, outcome_of(status))


class _Read(_Watcher):
    reply: bytes | None = None

    def message(self, data: bytes) -> None:
        self.reply = data

    def ended(self, status: Status) -> None:
        if status.code != Code.OK or self.reply is None:
            super().ended(status)
            return
        reply = self.parsed(pb.ReadReply, self.reply)
        if reply is None:
            return
        load = load_of(reply)
        if reply.HasField("read"):
            self.host.ended(self.attempt, contract.Outcome.READ, float(reply.kept_tokens), load, reply.read)
        else:
            self.host.ended(self.attempt, contract.Outcome.FULL, 0.0, load_of(reply.refused) or load)


class _Write(_Watcher):
    def message(self, data: bytes) -> None:
        attempt = self.attempt
        if data[:1] == b"\x0a":
            if attempt.is_streaming:
                self.host.tokens_received(attempt, data)
            elif attempt.is_outstanding:
                self.host.began(attempt, data)
            return
        reply = self.parsed(pb.WriteReply, data)
        if reply is None:
            return
        which = reply.WhichOneof("reply")
        if which == "ended":
            ended = reply.ended
            self.host.ended(
                attempt,
                contract.Outcome.GENERATED,
                float(ended.kept_tokens),
                load_of(ended),
                tokens=ended.tokens,
            )
        elif which == "refused":
            self.host.ended(
                attempt, contract.Outcome.FULL, float(reply.refused.no_state), load_of(reply.refused)
            )


class _Batch(_Watcher):
    """A part of a batch: its results count once all are there, and one that broke off is done again."""

    def __init__(self, host: ActionExecutor, attempt: Attempt) -> None:
        super().__init__(host, attempt)
        self.results: list[pb.ItemResult] = []

    def message(self, data: bytes) -> None:
        attempt = self.attempt
        if not attempt.is_outstanding:
            return
        reply = self.parsed(pb.BatchReply, data)
        if reply is None:
            return
        which = reply.WhichOneof("reply")
        if which == "items":
            self.results.extend(reply.items.results)
        elif which == "ended":
            self.host.began(attempt, (reply.ended.model, self.results))
            self.host.ended(
                attempt, contract.Outcome.GENERATED, 0.0, load_of(reply.ended), tokens=len(self.results)
            )
        elif which == "refused":
            self.host.ended(attempt, contract.Outcome.FULL, 0.0, load_of(reply.refused))


class Links:
    """Channels by engine address. `dial(address)` gives a channel's way there."""

    def __init__(
        self,
        clock: object,
        dial: Callable[[str], Callable],
        name: str,
        random: Random,
        connect_timeout: float,
        bounds: TransportLimits | None = None,
    ) -> None:
        self.clock, self.dial, self.name, self.random = clock, dial, name, random
        self.connect_timeout, self.bounds = connect_timeout, bounds or TransportLimits()
        self.channels: dict[str, Channel] = {}
        self.host: ActionExecutor | None = None
        # By which ownership this node has a sequence, if nodes replicate their work.
        self.ownership_of: Callable[[str], Ownership] = lambda label: UNOWNED

    def channel(self, engine: int) -> Channel:
        """The engine's channel; made at its first use."""
        return self.to(self.host.decoder.engines.rows[engine].address)

    def to(self, address: str) -> Channel:
        """The channel to an address."""
        channel = self.channels.get(address)
        if channel is None:
            channel = self.channels[address] = Channel(
                self.clock,
                self.dial(address),
                address,
                self.bounds,
                self.random,
                connect_timeout=self.connect_timeout,
            )
        return channel

    def start(self, attempt: Attempt) -> None:
        held, asked = attempt.sequence, attempt.sequence.request
        ownership = self.ownership_of(held.sequence_id)
        work = pb.Work(
            epoch=ownership.epoch,
            owner=ownership.owner,
            sequence=held.sequence_id,
            attempt=held.earlier_attempts + attempt.number,
            traffic_type=asked.traffic_type,
            tenant=asked.tenant,
            session=asked.session,
            shared_prefix=asked.prefix,
            shared_tokens=asked.shared_tokens,
            prompt_tokens=asked.prompt_tokens,
            most_output=asked.max_output_tokens,
            mark=asked.mark,
            prompt=asked.text,
            first_within_ms=max(1, int((held.deadline - self.clock.seconds()) * 1000)),
        )
        if asked.batch:
            # EnginePools of two serialised messages, one after the other, are those of one.
            path, watcher = "Batch", _Batch(self.host, attempt)
            data = pb.BatchRequest(work=work).SerializeToString() + asked.batch
            timeout = attempt.times_out_at - self.clock.seconds() + LATE
        elif attempt.reads:
            path, watcher, request = "Read", _Read(self.host, attempt), pb.ReadRequest(work=work)
            timeout, data = attempt.times_out_at - self.clock.seconds() + LATE, request.SerializeToString()
        else:
            path, watcher = "Write", _Write(self.host, attempt)
            request = pb.WriteRequest(
                work=work, state=attempt.fetched_state.handle if attempt.fetched_state else None
            )
            timeout = asked.deadline_in - (self.clock.seconds() - held.accepted_at)
            timeout, data = timeout + LATE if timeout != NEVER else None, request.SerializeToString()
        meta = (
            ("myrtle-seq", held.sequence_id),
            ("myrtle-attempt", str(work.attempt)),
            ("myrtle-node", self.name),
            ("myrtle-list", self.host.list_label),
        )
        attempt.call = self.channel(attempt.engine).call(SERVICE + path, watcher, meta, timeout)
        attempt.call.send(data)
        attempt.call.half_close()

    def cancel(self, attempt: Attempt) -> None:
        if attempt.call is not None:
            attempt.call.cancel()

    def release(self, engine: int, label: str) -> None:
        ownership = self.ownership_of(label)
        done = self.channel(engine).unary(
            SERVICE + "Release",
            pb.ReleaseRequest(
                sequence=label, epoch=ownership.epoch, owner=ownership.owner
            ).SerializeToString(),
            timeout=1.0,
        )
        done.addErrback(lambda failure: None)  # an engine that cannot be told lets go by its own bound

    def probe(
        self, engine: int, timeout: float, then: Callable[[bool, contract.LoadReport | None], None]
    ) -> None:
        done = self.channel(engine).unary(
            SERVICE + "Probe", pb.ProbeRequest().SerializeToString(), timeout=timeout
        )
        done.addCallback(pb.ProbeReply.FromString)
        # A reply that is none counts as no word; what `then` itself does wrong is not hidden.
        done.addCallbacks(lambda reply: then(True, load_of(reply)), lambda failure: then(False, None))
        done.addErrback(lambda failure: self.host.log("fault", text=failure.getTraceback()))

    def close_idle(self, engine: int) -> None:
        self.channel(engine).close_idle()

    def forget(self, address: str) -> None:
        channel = self.channels.pop(address, None)
        if channel is not None:
            channel.close_idle()

    def silent(self) -> frozenset[str]:
        """Engines to which no connection could be made of late: their own word that they are gone."""
        return frozenset(a for a, c in self.channels.items() if c.state == ChannelState.TRANSIENT_FAILURE)

    def close(self) -> None:
        """Close all; the node ends."""
        for channel in self.channels.values():
            channel.close()
        self.channels.clear()
