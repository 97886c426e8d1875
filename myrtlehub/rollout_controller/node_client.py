"""RPC to the admin service of one node: its status and counters, and orders to it."""

from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from myrtlehub.node.admin.service import SERVICE
from myrtlehub.proto import admin_pb2 as pb
from myrtlehub.rollout.node_status import NodeStatus, Revision
from myrtlehub.rollout.samples import NodeCounters, TrafficCounters
from myrtlehub.rpc.channel import Channel

ANSWER_TIMEOUT = 1.5  # seconds for a node's answer; one that is late counts as not reached at this poll
ORDER_TIMEOUT = 5.0
CONNECT_TIMEOUT = 1.0

Dialer = Callable[[str], Callable]  # address -> what a channel connects by


class OrderMethod(StrEnum):
    """Orders that a node takes."""

    OBEY = "Obey"
    LEAVE = "Leave"
    STAGE = "Stage"
    APPLY = "Apply"


class OrderMessage(Protocol):
    """A protobuf message of an order."""

    def SerializeToString(self) -> bytes:  # noqa: N802 - protobuf's name
        """Return its bytes."""


class NodeClient:
    """A channel to one node's admin address."""

    def __init__(self, reactor: IReactorTime, dial: Dialer, address: str) -> None:
        self._reactor = reactor
        self._dial = dial
        self._address = address
        self._channel = self._connect()

    def _connect(self) -> Channel:
        connect = self._dial(self._address)
        return Channel(self._reactor, connect, self._address, connect_timeout=CONNECT_TIMEOUT)

    def reconnect(self) -> None:
        """Use a channel of its own for the next poll: this one may be waiting to connect again."""
        self.close()
        self._channel = self._connect()

    def close(self) -> None:
        """End the channel."""
        self._channel.close()

    def status(self) -> Deferred[NodeStatus | None]:
        """Ask for the node's status; None where it does not answer."""
        return self._ask("Show").addCallback(_decode_status)

    def counters(self) -> Deferred[NodeCounters | None]:
        """Ask for the node's counters; None where it does not answer."""
        return self._ask("Figures").addCallback(_decode_counters)

    def order(self, method: OrderMethod, message: OrderMessage) -> Deferred[bytes]:
        """Give an order; fails with RpcError where it is not taken or not heard."""
        return self._channel.unary(SERVICE + method, message.SerializeToString(), timeout=ORDER_TIMEOUT)

    def _ask(self, method: str) -> Deferred[bytes | None]:
        answer = self._channel.unary(SERVICE + method, b"", timeout=ANSWER_TIMEOUT)
        return answer.addErrback(lambda failure: None)


def _decode_status(data: bytes | None) -> NodeStatus | None:
    if data is None:
        return None
    message = pb.NodeState.FromString(data)
    return NodeStatus(
        Revision(message.program, message.settings),
        message.run,
        message.pid,
        message.leaving,
        message.proven,
        message.generation,
        message.controller,
    )


def _decode_counters(data: bytes | None) -> NodeCounters | None:
    if data is None:
        return None
    message = pb.NodeFigures.FromString(data)
    traffic = {figures.name: _decode_traffic(figures) for figures in message.traffic}
    return NodeCounters(message.run, traffic, message.memory, dict(message.engines))


def _decode_traffic(message: pb.TrafficFigures) -> TrafficCounters:
    return TrafficCounters(
        message.asked,
        message.utility,
        message.served,
        message.answers.get("rejected", 0),
        message.answers.get("aborted", 0),
        message.attempts,
        message.begun,
        message.first_log,
        tuple(message.first.items()),
    )
