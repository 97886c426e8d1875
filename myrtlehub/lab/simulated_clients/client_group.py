"""What the clients of all fronts have in common: a channel to each node, and the wait before a retry."""

from collections.abc import Callable, Mapping
from random import Random

from myrtlehub.clock import Clock
from myrtlehub.lab.scenario_file import Scenario
from myrtlehub.records import Recorder
from myrtlehub.rpc.channel import Channel, Connect
from myrtlehub.rpc.transport_limits import TransportLimits

CONNECT_TIMEOUT = 0.5  # seconds
DISCONNECTED = "left"  # the word in a verdict's answer counts for clients that cancelled their call
RETRY_DELAY = 0.05  # seconds, if the answer asks for no other delay
RETRY_JITTER = 0.5  # largest part of Retry-After that a client adds, so that clients do not retry together


class ClientGroup:
    """Clients that share a channel to each node."""

    def __init__(
        self,
        scenario: Scenario,
        clock: Clock,
        dial_by_node: Mapping[str, Connect],
        recorder: Recorder,
        random: Random,
    ) -> None:
        self.scenario = scenario
        self.clock = clock
        self.recorder = recorder
        self.random = random
        self.nodes = sorted(dial_by_node)
        self.open = 0  # requests whose last call has not ended
        self.on_quiet: Callable[[], None] = lambda: None  # called when no request is open any more
        limits = _transport_limits(scenario)
        self.channels = {
            node: Channel(clock, dial, node, limits, Random(random.random()), connect_timeout=CONNECT_TIMEOUT)
            for node, dial in dial_by_node.items()
        }

    def close(self) -> None:
        """Close all channels."""
        for channel in self.channels.values():
            channel.close()

    def _with_jitter(self, retry_after: float) -> float:
        """Return the seconds until a retry that an answer asked to delay by `retry_after` seconds."""
        return retry_after * (1.0 + RETRY_JITTER * self.random.random())

    def _request_ended(self) -> None:
        self.open -= 1
        if not self.open:
            self.on_quiet()


def _transport_limits(scenario: Scenario) -> TransportLimits:
    """Return the limits of clients' connections: with takeover, keepalive pings detect a lost node."""
    if scenario.takeover is None:
        return TransportLimits()
    keepalive = scenario.takeover.keepalive
    return TransportLimits(keepalive_interval=keepalive, keepalive_timeout=keepalive)
