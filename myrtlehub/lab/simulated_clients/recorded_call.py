"""Calls of clients to nodes, recorded from asking to their end."""

from collections.abc import Callable
from random import Random
from typing import Protocol

from myrtlehub.clock import Clock
from myrtlehub.lab.scenario_file import Scenario, TrafficMix
from myrtlehub.records import Recorder
from myrtlehub.rpc.channel import Channel, ClientCall
from myrtlehub.rpc.client_call import CallWatcher
from myrtlehub.rpc.status import Status
from myrtlehub.rpc.transport_limits import TransportLimits

CONNECT_TIMEOUT = 0.5  # seconds


class Plan(Protocol):
    """What a client will ask for."""

    traffic: TrafficMix
    idempotency_key: str


class ClientGroup:
    """Clients with a channel to each node, and what they record on them."""

    def __init__(
        self,
        scenario: Scenario,
        clock: Clock,
        dial_by_node: dict[str, Callable],
        recorder: Recorder,
        random: Random,
    ) -> None:
        self.scenario = scenario
        self.clock = clock
        self.recorder = recorder
        self.random = random
        self.nodes = sorted(dial_by_node)
        self.open = 0  # requests whose last call is not over
        self.on_quiet: Callable[[], None] = lambda: None
        limits = _transport_limits(scenario)
        self.channels = {
            node: Channel(clock, dial, node, limits, Random(random.random()), connect_timeout=CONNECT_TIMEOUT)
            for node, dial in dial_by_node.items()
        }

    def call_ended(self, call: "RecordedCall", status: Status) -> None:
        """Take the end of a call."""
        raise NotImplementedError

    def close(self) -> None:
        """Close all channels."""
        for channel in self.channels.values():
            channel.close()


def _transport_limits(scenario: Scenario) -> TransportLimits:
    if scenario.takeover is None:
        return TransportLimits()
    keepalive = scenario.takeover.keepalive
    return TransportLimits(keepalive_interval=keepalive, keepalive_timeout=keepalive)


class RecordedCall(CallWatcher):
    """One call for what a client wants."""

    def __init__(self, clients: ClientGroup, plan: Plan, number: int, node: str) -> None:
        self.clients = clients
        self.plan = plan
        self.number = number
        self.node = node
        self.name = f"{plan.idempotency_key}.{number}"
        self.answer = ""  # the final answer, empty before it
        self.retry_after = 0.0
        self.asked_at = 0.0
        self.has_left = False
        self.call: ClientCall | None = None

    def record_ask(self, time_left: float, whole_time: float) -> None:
        """Record that it is asked now: seconds until the first of an answer is owed, and all of it."""
        self.asked_at = self.clients.clock.seconds()
        self.clients.recorder.note(
            "ask",
            call=self.name,
            node=self.node,
            traffic=self.plan.traffic.name,
            mark=self.plan.idempotency_key,
            left=time_left,
            whole=whole_time,
        )

    def leave(self) -> None:
        """Cancel the call, as the client goes away."""
        if not self.call.over:
            self.has_left = True
            self.clients.recorder.note("left", call=self.name)
            self.call.cancel()

    def ended(self, status: Status) -> None:
        """Take the end of the call."""
        self.clients.recorder.note(
            "over", call=self.name, code=status.code.name, unprocessed=status.unprocessed
        )
        self.clients.call_ended(self, status)
