"""Executes actions on nodes: sends orders by RPC, starts and kills processes."""

import time
from typing import NamedTuple, Protocol

from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure

from myrtlehub.log_events import Log, LogEvent
from myrtlehub.proto import admin_pb2 as pb
from myrtlehub.rollout.node_orders import FORMAT_VERSION
from myrtlehub.rollout.rollout_state import NodeAction
from myrtlehub.rollout.states import ROLLBACK_STATES, NodeState
from myrtlehub.rollout_controller.node_client import OrderMessage, OrderMethod
from myrtlehub.rollout_controller.node_tracker import TrackedNode
from myrtlehub.rollout_controller.plan_files import PlanFiles, PlanSide
from myrtlehub.rollout_controller.process_supervisor import ProcessSupervisor
from myrtlehub.rpc.status import Code, RpcError

# Status codes with which a node rejects the content of an order. A node rejects an order of a superseded
# controller with PERMISSION_DENIED, which is not handled here: the next poll shows the other controller.
REJECTION_CODES = (Code.FAILED_PRECONDITION, Code.INVALID_ARGUMENT)
START_ORDER_NAME = "begin"  # `Rejection.order` of a process that could not be started


class Rejection(NamedTuple):
    """An order that a node rejected, or a process that could not be started."""

    order: str
    message: str  # the reason, without the name of the node
    reason: str  # the reason, with the names of the node and the order


class ActionObserver(Protocol):
    """Is notified of actions that failed."""

    def order_rejected(self, node: int, rejection: Rejection) -> None:
        """Handle an order that a node rejected."""

    def start_failed(self, node: int, rejection: Rejection) -> None:
        """Handle a process that could not be started."""

    def controller_failed(self, failure: Failure) -> None:
        """Handle an error that ends the controller."""


class NodeActions:
    """Executes the actions of one controller."""

    def __init__(
        self,
        files: PlanFiles,
        nodes: list[TrackedNode],
        supervisor: ProcessSupervisor,
        controller_id: str,
        observer: ActionObserver,
        log: Log,
    ) -> None:
        """Create an executor; `generation` has to be set before the first action.

        Args:
            files: the plan and its files.
            nodes: the nodes of the fleet.
            supervisor: starts and kills their processes.
            controller_id: identifier of the controller.
            observer: is notified of actions that failed.
            log: logs killed processes.
        """
        self.generation = 0
        self.controller_id = controller_id
        self._files = files
        self._nodes = nodes
        self._supervisor = supervisor
        self._observer = observer
        self._log = log

    def announce_controller(self, node: int) -> None:
        """Order a node to accept orders only from this controller.

        A node that is unreachable now learns of the controller from its next order.
        """
        self._send_order(node, OrderMethod.OBEY, self._order_message())

    def execute(self, action: NodeAction, node: int, state: NodeState) -> None:
        """Execute an action on a node.

        Args:
            action: the action; REPORT is not executed here.
            node: index of the node.
            state: the node's current state.
        """
        match action:
            case NodeAction.DRAIN:
                self._drain(node)
            case NodeAction.APPLY_NEW:
                self._apply_settings(node, PlanSide.NEW)
            case NodeAction.APPLY_OLD:
                self._apply_settings(node, PlanSide.OLD)
            case NodeAction.START_NEW:
                self._start(node, PlanSide.OLD if state in ROLLBACK_STATES else PlanSide.NEW)
            case NodeAction.START_OLD:
                self._start(node, PlanSide.OLD)
            case NodeAction.KILL:
                self._kill(node)
            case NodeAction.REPORT:
                pass

    def _drain(self, node: int) -> None:
        status = self._nodes[node].status
        if status and status.incarnation:
            self._send_order(node, OrderMethod.LEAVE, self._order_message(incarnation=status.incarnation))

    def _apply_settings(self, node: int, side: PlanSide) -> None:
        """Send the settings to the node, then order it to apply them."""
        text = self._files.settings_path(node, side).read_text()
        staged = self._send_order(
            node, OrderMethod.STAGE, pb.StagedSettings(order=self._order_message(), text=text)
        )
        staged.addCallback(self._apply_staged, node).addErrback(self._observer.controller_failed)

    def _apply_staged(self, reply: bytes | None, node: int) -> Deferred[bytes | None]:
        if reply is None:
            return succeed(None)
        digest = pb.OrderTaken.FromString(reply).settings
        return self._send_order(node, OrderMethod.APPLY, self._order_message(settings=digest))

    def _start(self, node: int, side: PlanSide) -> None:
        name = self._files.names[node]
        command = self._files.start_command(node, side)
        try:
            self._nodes[node].is_exit_handled = False
            self._supervisor.start(node, name, command, f"{self.generation} {self.controller_id}")
        except OSError as error:
            reason = f"{name}: {command}: {error.strerror}"
            self._observer.start_failed(node, Rejection(START_ORDER_NAME, reason, reason))

    def _kill(self, node: int) -> None:
        self._log(LogEvent.PROCESS_KILLED, node=self._files.names[node], killed_at_s=time.monotonic())
        self._supervisor.kill(node, self._nodes[node].process)

    def _order_message(self, incarnation: str = "", settings: str = "") -> pb.Order:
        return pb.Order(
            format=FORMAT_VERSION,
            generation=self.generation,
            controller=self.controller_id,
            run=incarnation,
            settings=settings,
        )

    def _send_order(self, node: int, method: OrderMethod, message: OrderMessage) -> Deferred[bytes | None]:
        """Send an order; the result is the reply, or None if the order was rejected or not answered."""
        reply = self._nodes[node].client.order(method, message)
        return reply.addErrback(self._order_failed, node, method)

    def _order_failed(self, failure: Failure, node: int, method: OrderMethod) -> None:
        """Notify the observer if the node rejected the order.

        An order that was not answered needs no handling: the next poll shows whether it has to be repeated.
        """
        error = failure.value
        if isinstance(error, RpcError) and error.status.code in REJECTION_CODES:
            order = method.lower()
            message = error.status.message
            reason = f"{self._files.names[node]} refused {order}: {message}"
            self._observer.order_rejected(node, Rejection(order, message, reason))
