"""The parts of a node that depend on its settings: router, executor, transport, limits and fronts.

A node creates a runtime for each version of its settings. Only the latest accepts new sequences; earlier ones
complete their sequences in flight, with the settings that these began with.
"""

from collections.abc import Sequence
from functools import partial
from random import Random
from typing import Final, NamedTuple

from myrtlehub.clock import Clock
from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.config.node import NodeConfig
from myrtlehub.limits.admission import AdmissionController
from myrtlehub.limits.retry_budget import RetryBudget
from myrtlehub.limits.time_bucket import TimeBucket
from myrtlehub.log_events import Log
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.batch_fronts.coordinator import BatchCoordinator
from myrtlehub.node.batch_fronts.embeddings import EMBEDDINGS
from myrtlehub.node.batch_fronts.grpc_front import BatchFront, RequestT, serve_front
from myrtlehub.node.batch_fronts.rerank import RERANK
from myrtlehub.node.chat_front.admission_queue import QueuedRequest
from myrtlehub.node.chat_front.chat_front import ChatFront, ChatFrontLimits, TakeoverSupport
from myrtlehub.node.client_limits import ClientLimits
from myrtlehub.node.engine_pools import EnginePools
from myrtlehub.node.engine_transport.transport import GrpcEngineTransport
from myrtlehub.node.executor_observer import ExecutorObserver
from myrtlehub.node.protocols import EngineTransport
from myrtlehub.node.replication.record_publisher import RecordPublisher
from myrtlehub.node.replication.replicated_transport import ReplicatedTransport
from myrtlehub.node.replication.replication import Replication
from myrtlehub.node.request_decoder import RequestDecoder
from myrtlehub.node.router_config import fronts_of, router_config_of
from myrtlehub.node.sequences import InFlightSequence
from myrtlehub.node.traffic_counters import TrafficCounters
from myrtlehub.routing import contract
from myrtlehub.routing.policy.router import MAX_PLACEMENT_BURST, MAX_PLACEMENT_TIME_SHARE, Router
from myrtlehub.rpc.channel import Dialer
from myrtlehub.rpc.server import Server

# Added to the node's seed, so that the random numbers of each part do not depend on how many others draw.
TRANSPORT_SEED_OFFSET = 1
ADMISSION_SEED_OFFSET = 2
RETRY_BUDGET_SEED_OFFSET = 3
UNLIMITED_RETRIES: Final = "any"  # `limits.retries`: no retry budget


class RuntimeContext(NamedTuple):
    """What all runtimes of a node share."""

    clock: Clock
    dial: Dialer  # returns how a channel connects to an address
    incarnation: str
    log: Log
    executor_class: type[ActionExecutor]
    counters: TrafficCounters
    replication: Replication | None = None


class _ReplicationObserver(ExecutorObserver):
    """Notifies the publisher of sequence records of the start and end of answers."""

    def __init__(self, publisher: RecordPublisher) -> None:
        self._publisher = publisher

    def answer_started(self, sequence: InFlightSequence) -> None:
        """Report that an answer starts to stream."""
        self._publisher.answer_started(sequence)

    def answered(self, sequence: InFlightSequence) -> None:
        """Report a final answer."""
        self._publisher.answered(sequence.sequence_id)


class NodeRuntime:
    """Router, executor, transport, limits and fronts of a node, with one version of its settings."""

    def __init__(
        self,
        settings: NodeConfig,
        context: RuntimeContext,
        settings_change_count: int = 0,
        predecessor: "NodeRuntime | None" = None,
    ) -> None:
        """Start a runtime; it accepts calls once `serve` is called.

        Args:
            settings: The settings of the node.
            context: What it shares with the other runtimes of the node.
            settings_change_count: Number of changes that the process has applied; 0 for its first runtime.
            predecessor: The runtime that it replaces.
        """
        self.settings = settings
        self.context = context
        self.settings_change_count = settings_change_count
        self.fronts = fronts_of(settings)
        self.decoder = RequestDecoder(settings)
        self.transport = self._make_transport()
        self.executor = self._make_executor()
        self.transport.executor = self.executor
        if predecessor is not None:
            self._reuse_parts_of(predecessor)
        self._observe_answers()
        self.client_limits = self._make_client_limits()
        self.batches = BatchCoordinator(self.executor, self.decoder, settings, context.clock)
        if len(self.fronts) > 1:
            self.batches.dispatcher.pooled_fronts = self.fronts
        self.front = self._make_chat_front()
        self.executor.start()

    # -- construction ------------------------------------------------------------------------------------

    def _make_transport(self) -> GrpcEngineTransport:
        node = self.settings.node
        return GrpcEngineTransport(
            self.context.clock,
            self.context.dial,
            node.name,
            Random(node.seed + TRANSPORT_SEED_OFFSET),
            node.connect_timeout,
        )

    def _make_executor(self) -> ActionExecutor:
        context = self.context
        # Part of sequence ids, which must be unique among all runtimes and processes of a node.
        runtime_id = (
            f"{context.incarnation}~{self.settings_change_count}"
            if self.settings_change_count
            else context.incarnation
        )
        transport: EngineTransport = self.transport
        if context.replication is not None:
            transport = ReplicatedTransport(self.transport, context.replication)
        executor = context.executor_class(
            self._make_router(context.clock),
            self.decoder,
            router_config_of(self.settings),
            context.clock,
            transport,
            f"{self.settings.node.name}.{runtime_id}.",
            context.log,
        )
        executor.probe_timeout = self.settings.reports.probe_timeout
        return executor

    def _make_router(self, clock: Clock) -> contract.Router:
        """Return the router of the only front, or with several fronts the routers of their engine pools."""
        settings, fronts = self.settings, self.fronts
        placement_budget = TimeBucket(clock, MAX_PLACEMENT_TIME_SHARE, MAX_PLACEMENT_BURST)
        if len(fronts) == 1:
            return Router(router_config_of(settings, fronts[0]), placement_budget)
        return EnginePools(
            partial(Router, placement_budget=placement_budget),
            [router_config_of(settings, front) for front in fronts],
            [
                frozenset(index for index, kind in enumerate(settings.kinds) if kind.serves(front))
                for front in fronts
            ],
            [fronts.index(traffic_type.front) for traffic_type in settings.traffic],
        )

    def _reuse_parts_of(self, predecessor: "NodeRuntime") -> None:
        # Channels are reused so that a change of settings opens no connections.
        self.transport.channels = predecessor.transport.channels
        self.decoder.lag = predecessor.decoder.lag

    def _observe_answers(self) -> None:
        counters, replication = self.context.counters, self.context.replication
        counters.observe(self.executor, self.decoder.traffic_types)
        if replication is None:
            return
        self.executor.add_observer(_ReplicationObserver(replication.publisher))
        self.transport.ownership_of = replication.publisher.ownership_of

    def _make_client_limits(self) -> ClientLimits:
        node, limits = self.settings.node, self.settings.limits
        retry_budget = None
        if limits.retries != UNLIMITED_RETRIES:
            retry_budget = RetryBudget(limits.retries, Random(node.seed + RETRY_BUDGET_SEED_OFFSET))
        return ClientLimits(limits, self.context.clock, self.context.log, retry_budget, node.max_wait)

    def _make_chat_front(self) -> ChatFront:
        node = self.settings.node
        limits = ChatFrontLimits(
            max_sequences=node.most_sequences,
            max_retry_after=node.max_wait,
            fair_share=self.batches.fair_share,
            client_limits=self.client_limits,
            admission=self._make_admission_controller(),
        )
        return ChatFront(
            self.executor,
            self.decoder,
            limits,
            self._takeover_support(),
            self.context.counters.record_rejected,
        )

    def _make_admission_controller(self) -> AdmissionController[QueuedRequest] | None:
        if not self.settings.limits.admit:
            return None
        utility_by_traffic_type = {
            traffic_type.name: traffic_type.utility for traffic_type in self.settings.traffic
        }
        return AdmissionController(
            Random(self.settings.node.seed + ADMISSION_SEED_OFFSET), utility_by_traffic_type
        )

    def _takeover_support(self) -> TakeoverSupport | None:
        replication = self.context.replication
        if replication is None:
            return None
        return TakeoverSupport(replication, self.transport, self.settings.engines_may.claims)

    # -- use by the node ---------------------------------------------------------------

    def serve(self, server: Server) -> None:
        """Handle all new calls; calls in flight stay with the runtime that accepted them."""
        self.front.serve(server)
        self._serve_batches(server, EMBEDDINGS)
        self._serve_batches(server, RERANK)

    def _serve_batches(self, server: Server, front: BatchFront[RequestT]) -> None:
        """Serve a batch front, or stop serving it if none of the settings' traffic types uses it."""
        if front.name in self.fronts:
            serve_front(front, self.batches, server, lambda: self.front.is_closed, self.client_limits)
            return
        for path in (front.unary_path, front.stream_path):
            server.methods.pop(path, None)

    def update_endpoints(
        self,
        endpoints: Sequence[EndpointConfig],
        is_complete: bool,
        version: int | None = None,
        digest: str | None = None,
    ) -> None:
        """Apply the complete endpoint list, or a change to it; skip endpoints of unknown kinds or zones."""
        kinds, zones = self.decoder.kinds, self.decoder.zones
        known_endpoints = [
            endpoint for endpoint in endpoints if endpoint.kind in kinds and endpoint.zone in zones
        ]
        self.executor.update_endpoints(known_endpoints, is_complete, version, digest)
        self.batches.endpoints_changed()

    @property
    def is_idle(self) -> bool:
        """Whether no sequence and no batch is in flight."""
        return not self.executor.in_flight and not self.batches.in_flight

    def abort_all(self, reason: str) -> None:
        """End all batches as if their deadline had passed, and abort all sequences in flight."""
        for batch in list(self.batches.in_flight):
            batch.deadline_passed()
        for sequence in list(self.executor.in_flight.values()):
            self.executor.abort(sequence, reason)
