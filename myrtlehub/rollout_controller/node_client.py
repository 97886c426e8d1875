"""RPC client of one node's admin service: reads its status and counters, and sends orders."""

from enum import StrEnum
from typing import Protocol

from twisted.internet.defer import Deferred

from myrtlehub.clock import Clock
from myrtlehub.node.admin.service import ADMIN_SERVICE
from myrtlehub.proto import admin_pb2 as pb
from myrtlehub.rollout.node_status import NodeStatus, Revision
from myrtlehub.rollout.samples import NodeCounters, TrafficCounters
from myrtlehub.rpc.channel import Channel, Dialer

POLL_TIMEOUT = 1.5  # seconds; a node that has not answered by then counts as unreachable at this poll
ORDER_TIMEOUT = 5.0  # seconds; applying settings takes longer than reading a status
CONNECT_TIMEOUT = 1.0  # seconds; less than POLL_TIMEOUT, so that a poll fails with the connection error first


class OrderMethod(StrEnum):
    """RPC methods of the admin service that carry an order."""

    OBEY = "Obey"
    LEAVE = "Leave"
    STAGE = "Stage"
    APPLY = "Apply"


class OrderMessage(Protocol):
    """A protobuf message that carries an order."""

    def SerializeToString(self) -> bytes:  # noqa: N802 - protobuf's name
        """Return the encoded message."""


class NodeClient:
    """An RPC channel to the admin address of one node."""

    def __init__(self, clock: Clock, dial: Dialer, address: str) -> None:
        """Create a client; its channel connects at the first call.

        Args:
            clock: the clock of all timeouts.
            dial: returns the connect function of an address.
            address: the admin address of the node, as host:port.
        """
        self._clock = clock
        self._dial = dial
        self._address = address
        self._channel = self._new_channel()

    def _new_channel(self) -> Channel:
        connect = self._dial(self._address)
        return Channel(self._clock, connect, self._address, connect_timeout=CONNECT_TIMEOUT)

    def reconnect(self) -> None:
        """Replace the channel, so that the next poll does not wait for the old channel's backoff."""
        self.close()
        self._channel = self._new_channel()

    def close(self) -> None:
        """Close the channel."""
        self._channel.close()

    def status(self) -> Deferred[NodeStatus | None]:
        """Request the node's status; the result is None if the node does not answer."""
        return self._poll("Show").addCallback(_decode_status)

    def counters(self) -> Deferred[NodeCounters | None]:
        """Request the node's counters; the result is None if the node does not answer."""
        return self._poll("Figures").addCallback(_decode_counters)

    def order(self, method: OrderMethod, message: OrderMessage) -> Deferred[bytes]:
        """Send an order; fails with RpcError if the node rejects it or does not answer."""
        return self._channel.unary(ADMIN_SERVICE + method, message.SerializeToString(), timeout=ORDER_TIMEOUT)

    def _poll(self, method: str) -> Deferred[bytes | None]:
        reply: Deferred[bytes] = self._channel.unary(ADMIN_SERVICE + method, b"", timeout=POLL_TIMEOUT)
        return reply.addErrback(lambda failure: None)


def _decode_status(data: bytes | None) -> NodeStatus | None:
    if data is None:
        return None
    message = pb.NodeState.FromString(data)
    return NodeStatus(
        revision=Revision(message.program, message.settings),
        incarnation=message.run,
        pid=message.pid,
        is_draining=message.leaving,
        is_ready=message.proven,
        generation=message.generation,
        controller=message.controller,
    )


def _decode_counters(data: bytes | None) -> NodeCounters | None:
    if data is None:
        return None
    message = pb.NodeFigures.FromString(data)
    traffic = {counters.name: _decode_traffic(counters) for counters in message.traffic}
    return NodeCounters(message.run, traffic, message.memory, dict(message.engines))


def _decode_traffic(message: pb.TrafficFigures) -> TrafficCounters:
    return TrafficCounters(
        requests=message.asked,
        offered_utility=message.utility,
        earned_utility=message.served,
        rejected=message.answers.get("rejected", 0),
        aborted=message.answers.get("aborted", 0),
        attempts=message.attempts,
        answers_started=message.begun,
        first_token_log_sum=message.first_log,
        first_token_histogram=tuple(message.first.items()),
    )
