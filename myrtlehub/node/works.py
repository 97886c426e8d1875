"""What a node does by one reading of its settings: door, module, executor, transport and fronts. A node has one that
takes new sequences; one that was replaced goes on with those it has, by the settings that they began with,
and then ends.
"""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from myrtlehub.config.endpoints import EndpointConfig
from myrtlehub.config.node import NodeConfig
from myrtlehub.limits.admission import AdmissionController
from myrtlehub.limits.retry_budget import RetryBudget
from myrtlehub.node.action_executor import ActionExecutor
from myrtlehub.node.batch_fronts.coordinator import BatchCoordinator
from myrtlehub.node.batch_fronts.embeddings import EMBEDDINGS
from myrtlehub.node.batch_fronts.grpc_front import serve_front
from myrtlehub.node.batch_fronts.rerank import RERANK
from myrtlehub.node.chat_front.chat_front import ChatFront, ChatFrontLimits, TakeoverSupport
from myrtlehub.node.client_limits import ClientLimits
from myrtlehub.node.engine_pools import EnginePools
from myrtlehub.node.engine_transport.transport import GrpcEngineTransport
from myrtlehub.node.figures import Figures
from myrtlehub.node.replication.replicated_transport import ReplicatedTransport
from myrtlehub.node.replication.replication import Replication
from myrtlehub.node.request_decoder import RequestDecoder
from myrtlehub.node.router_config import fronts_of, router_config_of
from myrtlehub.node.sequences import InFlightSequence
from myrtlehub.routing.policy.router import Router

FRONTS = (EMBEDDINGS, RERANK)  # beside chat


class Around(NamedTuple):
    """What works of one node have in common."""

    clock: object
    dial: Callable[[str], Callable]
    run: str
    log: Callable[..., None]
    executor_class: type[ActionExecutor]
    figures: Figures
    replication: Replication | None = None


class Works:
    """One settings' worth of a node. `number` counts the changes of settings that this process has
    applied.
    """

    def __init__(
        self, sheet: NodeConfig, around: Around, number: int = 0, before: "Works | None" = None
    ) -> None:
        self.sheet, self.around, self.number = sheet, around, number
        node, terms, fronts = sheet.node, router_config_of(sheet), fronts_of(sheet)
        clock, log = around.clock, around.log
        self.transport = GrpcEngineTransport(
            clock, around.dial, node.name, Random(node.seed + 1), node.connect_timeout
        )
        # The id names the run and the settings as well: a node that came back must not speak of old
        # sequences.
        run = f"{around.run}~{number}" if number else around.run
        replication = around.replication
        carrier = self.transport if replication is None else ReplicatedTransport(self.transport, replication)
        self.executor = around.executor_class(
            self._router(fronts), RequestDecoder(sheet), terms, clock, carrier, f"{node.name}.{run}.", log
        )
        if before is not None:
            self.transport.channels = (
                before.transport.channels
            )  # a change of settings makes no new connections
            self.executor.decoder.lag = before.executor.decoder.lag
        self.transport.executor = self.executor
        if replication is not None:
            publisher = replication.publisher
            self.transport.ownership_of, self.executor.on_begun = (
                publisher.ownership_of,
                publisher.answer_started,
            )
        self.executor.probe_timeout = sheet.reports.probe_timeout
        around.figures.follow(self.executor)
        if replication is not None:
            counted = self.executor.on_answered

            def answered(held: InFlightSequence) -> None:
                counted(held)
                replication.publisher.answered(held.sequence_id)

            self.executor.on_answered = answered
        limits = sheet.limits
        retries = None if limits.retries == "any" else RetryBudget(limits.retries, Random(node.seed + 3))
        self.client_limits = ClientLimits(limits, clock, log, retries, node.max_wait)
        self.batches = BatchCoordinator(self.executor, sheet, clock)
        gate = (
            AdmissionController(Random(node.seed + 2), {t.name: t.utility for t in sheet.traffic})
            if (limits.admit)
            else None
        )
        self.fronts = fronts
        self.batches.dispatcher.pooled_fronts = fronts if len(fronts) > 1 else []
        self.front = ChatFront(
            self.executor,
            ChatFrontLimits(
                node.most_sequences, node.max_wait, self.batches.shares, self.client_limits, gate
            ),
            self._takeover_support(),
            around.figures.turned_away,
        )
        self.executor.start()

    def _takeover_support(self) -> TakeoverSupport | None:
        replication = self.around.replication
        if replication is None:
            return None
        return TakeoverSupport(replication, self.transport, self.sheet.engines_may.claims)

    def _router(self, fronts: list[str]) -> object:
        """The module; where several fronts are served, once a field of engines."""
        if len(fronts) == 1:
            return Router(router_config_of(self.sheet, fronts[0]))
        kinds = [frozenset(i for i, k in enumerate(self.sheet.kinds) if k.serves(f)) for f in fronts]
        return EnginePools(
            Router,
            [router_config_of(self.sheet, f) for f in fronts],
            kinds,
            [fronts.index(t.front) for t in self.sheet.traffic],
        )

    def serve(self, server: object) -> None:
        """Take all new calls from here on: methods are replaced in one turn, those in hand keep their
        objects.
        """
        self.front.serve(server)
        for front in FRONTS:
            if front.name in self.fronts:
                serve_front(front, self.batches, server, lambda: self.front.is_closed, self.client_limits)
            else:
                for path in (front.unary_path, front.stream_path):
                    server.methods.pop(path, None)

    def list_news(self, rows: list[EndpointConfig], whole: bool, number: int = 0, digest: str = "") -> None:
        """News of the list, as far as these settings know its kinds and zones."""
        decoder = self.executor.decoder
        known = [r for r in rows if r.kind in decoder.kinds and r.zone in decoder.zones]
        self.executor.update_endpoints(known, whole, number, digest)
        self.batches.endpoints_changed()

    @property
    def idle(self) -> bool:
        """Whether nothing is in hand."""
        return not self.executor.in_flight and not self.batches.in_flight

    def cut(self, why: str) -> None:
        """Answer all that is in hand now."""
        for batch in list(self.batches.in_flight):
            batch.deadline_passed()
        for held in list(self.executor.in_flight.values()):
            self.executor.deadline_passed(held, why)
