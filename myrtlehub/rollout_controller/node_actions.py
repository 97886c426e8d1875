"""Carries out actions for nodes: orders over RPC, starting and killing processes."""

import time
from typing import NamedTuple, Protocol

from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure

from myrtlehub.log_events import LogEvent
from myrtlehub.proto import admin_pb2 as pb
from myrtlehub.rollout.node_orders import FORMAT_VERSION
from myrtlehub.rollout.progress import NodeAction
from myrtlehub.rollout.states import ROLLBACK_STATES, NodeState
from myrtlehub.rollout_controller.node_client import OrderMessage, OrderMethod
from myrtlehub.rollout_controller.node_tracker import TrackedNode
from myrtlehub.rollout_controller.plan_files import PlanFiles, PlanSide
from myrtlehub.rollout_controller.process_supervisor import ProcessSupervisor
from myrtlehub.rollout_controller.rollout_record import EventPrinter
from myrtlehub.rpc.status import Code, RpcError

REFUSAL_CODES = (Code.FAILED_PRECONDITION, Code.INVALID_ARGUMENT)


class Refusal(NamedTuple):
    """What a node, or this machine, did not do."""

    order: str
    message: str
    reason: str  # the same for people who do not know of which node it is


class ActionObserver(Protocol):
    """Who hears how actions end."""

    def order_refused(self, node: int, refusal: Refusal) -> None:
        """Take note that a node refused an order."""

    def start_failed(self, node: int, refusal: Refusal) -> None:
        """Take note that a node's process could not be started."""

    def action_failed(self, failure: Failure) -> None:
        """Take note of an error that ends the controller."""


class NodeActions:
    """Carries out actions in the name of one controller."""

    def __init__(
        self,
        files: PlanFiles,
        nodes: list[TrackedNode],
        supervisor: ProcessSupervisor,
        controller: str,
        observer: ActionObserver,
        print_event: EventPrinter,
    ) -> None:
        self.generation = 0
        self.controller = controller
        self._files = files
        self._nodes = nodes
        self._supervisor = supervisor
        self._observer = observer
        self._print_event = print_event

    def announce(self, node: int) -> None:
        """Tell a node whom it obeys; one that is not reached hears it with its next order."""
        self._order(node, OrderMethod.OBEY, self._header())

    def carry_out(self, kind: NodeAction, node: int, state: NodeState) -> None:
        """Carry out one action for a node that is in this state."""
        match kind:
            case NodeAction.LEAVE:
                self._leave(node)
            case NodeAction.APPLY_NEW:
                self._apply_settings(node, PlanSide.NEW)
            case NodeAction.APPLY_OLD:
                self._apply_settings(node, PlanSide.OLD)
            case NodeAction.START_NEW:
                self._start(node, PlanSide.OLD if state in ROLLBACK_STATES else PlanSide.NEW)
            case NodeAction.START_OLD:
                self._start(node, PlanSide.OLD)
            case NodeAction.KILL:
                self._print_event(
                    LogEvent.PROCESS_KILLED, node=self._files.names[node], killed_at_s=time.monotonic()
                )
                self._supervisor.kill(node, self._nodes[node].process)

    def _leave(self, node: int) -> None:
        status = self._nodes[node].status
        if status and status.incarnation:
            self._order(node, OrderMethod.LEAVE, self._header(incarnation=status.incarnation))

    def _apply_settings(self, node: int, side: PlanSide) -> None:
        """Stage the settings at the node, then apply what it staged."""
        text = self._files.settings_path(node, side).read_text()
        staged = self._order(node, OrderMethod.STAGE, pb.StagedSettings(order=self._header(), text=text))
        staged.addCallback(self._apply_staged, node).addErrback(self._observer.action_failed)

    def _apply_staged(self, reply: bytes | None, node: int) -> Deferred[bytes | None]:
        if reply is None:
            return succeed(None)
        digest = pb.OrderTaken.FromString(reply).settings
        return self._order(node, OrderMethod.APPLY, self._header(settings=digest))

    def _start(self, node: int, side: PlanSide) -> None:
        name = self._files.names[node]
        command = self._files.start_command(node, side)
        try:
            self._nodes[node].exit_noted = False
            self._supervisor.start(node, name, command, f"{self.generation} {self.controller}")
        except OSError as error:
            reason = f"{name}: {command}: {error.strerror}"
            self._observer.start_failed(node, Refusal("begin", reason, reason))

    def _header(self, incarnation: str = "", settings: str = "") -> pb.Order:
        return pb.Order(
            format=FORMAT_VERSION,
            generation=self.generation,
            controller=self.controller,
            run=incarnation,
            settings=settings,
        )

    def _order(self, node: int, method: OrderMethod, message: OrderMessage) -> Deferred[bytes | None]:
        """Give an order; the reply, or None where it was not taken."""
        done = self._nodes[node].client.order(method, message)
        return done.addErrback(self._not_taken, node, method)

    def _not_taken(self, failure: Failure, node: int, method: OrderMethod) -> None:
        """Pass on why the node refused; an order that was not heard shows at the next poll."""
        if failure.check(RpcError) and failure.value.status.code in REFUSAL_CODES:
            order = method.lower()
            message = failure.value.status.message
            reason = f"{self._files.names[node]} refused {order}: {message}"
            self._observer.order_refused(node, Refusal(order, message, reason))
