"""Nodes and emulated engines in one process, on a clock that is advanced by calls. Simulated.

Action executor, request decoder and router are the node's; the engine transport is replaced by simulated
links. What a scenario with processes cannot show, thousands of sequences a second or many nodes, runs here in
a fraction of its time, and the same seed gives the same figures.
"""

from collections.abc import Callable, Mapping
from itertools import count
from typing import NamedTuple

from twisted.internet.task import Clock

from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.config.node import NodeConfig
from myrtlehub.emulator.machine import Machine
from myrtlehub.lab.in_process_client import InProcessClient
from myrtlehub.lab.in_process_engine import LINK_DELAY, InProcessEngine
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.request_decoder import DecodedRequest, RequestDecoder
from myrtlehub.node.router_config import router_config_of
from myrtlehub.node.sequences import Attempt
from myrtlehub.routing import contract
from myrtlehub.routing.policy.router import Router

START_TIME = 1000.0  # seconds of the clock


class _SimulatedCall(NamedTuple):
    """An attempt at an engine."""

    engine: InProcessEngine
    key: int


class InProcessTransport:
    """The engine transport of one node, over simulated links."""

    executor: ActionExecutor  # set by the fleet, as an executor is made with its transport

    def __init__(
        self,
        clock: Clock,
        engines: Mapping[str, InProcessEngine],
        attempt_keys: Callable[[], int],
        decoder: RequestDecoder,
    ) -> None:
        """Make a transport; `attempt_keys()` returns a number that no other attempt of the fleet has."""
        self._clock = clock
        self._engines = engines
        self._attempt_keys = attempt_keys
        self._decoder = decoder

    def start(self, attempt: Attempt) -> None:
        """Send an attempt to its engine."""
        call = _SimulatedCall(self._engine(attempt.engine), self._attempt_keys())
        attempt.transport_call = call
        self._clock.callLater(LINK_DELAY, call.engine.receive, call.key, attempt, self.executor)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt at its engine."""
        call = attempt.transport_call
        if isinstance(call, _SimulatedCall):
            self._clock.callLater(LINK_DELAY, call.engine.cancel, call.key)

    def release(self, engine: int, sequence_id: str) -> None:
        """Release a read state at its reader."""
        self._clock.callLater(LINK_DELAY, self._engine(engine).release, sequence_id)

    def probe(
        self, engine: int, timeout: float, on_result: Callable[[bool, contract.LoadReport | None], None]
    ) -> None:
        """Request a load report of an engine."""
        target = self._engine(engine)
        self._clock.callLater(2 * LINK_DELAY, lambda: on_result(True, target.load_report()))

    def close_idle(self, engine: int) -> None:
        """Do nothing: there are no connections."""

    def forget(self, address: str) -> None:
        """Do nothing: nothing is stored of an engine."""

    def _engine(self, index: int) -> InProcessEngine:
        return self._engines[self._decoder.engines.endpoints[index].address]


class InProcessFleet:
    """Nodes with the settings that `config_of(index)` returns, and engines with the machine of their kind."""

    def __init__(
        self,
        nodes: int,
        config_of: Callable[[int], NodeConfig],
        endpoints: list[EndpointConfig],
        machines: dict[str, Machine],
        seed: int,
    ) -> None:
        self.clock = Clock()
        self.clock.advance(START_TIME)
        self.engines: dict[str, InProcessEngine] = {}
        for index, endpoint in enumerate(endpoints):
            machine = machines[endpoint.kind]
            self.engines[endpoint.address] = InProcessEngine(
                self.clock, self.engines, endpoint.address, machine, seed + index
            )
        self._attempt_keys = count()
        configs = [config_of(index) for index in range(nodes)]
        self._decoders = [RequestDecoder(config) for config in configs]
        self.executors = [
            self._make_executor(f"n{index}.", configs[index], self._decoders[index], endpoints)
            for index in range(nodes)
        ]

    def _make_executor(
        self, id_prefix: str, config: NodeConfig, decoder: RequestDecoder, endpoints: list[EndpointConfig]
    ) -> ActionExecutor:
        router_config = router_config_of(config)
        transport = InProcessTransport(self.clock, self.engines, self._attempt_keys.__next__, decoder)
        executor = ActionExecutor(
            Router(router_config), decoder, router_config, self.clock, transport, id_prefix
        )
        transport.executor = executor
        executor.start()
        executor.update_endpoints(endpoints, True)
        return executor

    def send_request(
        self,
        node: int,
        request: DecodedRequest,
        on_ended: Callable[[InProcessClient], None],
        on_started: Callable[[InProcessClient], None] = lambda client: None,
    ) -> InProcessClient:
        """Send a request to a node; return its client."""
        executor = self.executors[node]
        now = self.clock.seconds()
        client = InProcessClient(executor, request, now, on_ended, on_started)
        client.sequence = executor.accept(request, self._decoders[node].arrival(request, now), client)
        return client

    def run(self, until: float) -> None:
        """Make all calls that are scheduled up to a time, in order of time."""
        calls = self.clock.calls  # sorted by time
        while calls and calls[0].getTime() <= until:
            self.clock.advance(max(0.0, calls[0].getTime() - self.clock.seconds()))
        self.clock.advance(max(0.0, until - self.clock.seconds()))
