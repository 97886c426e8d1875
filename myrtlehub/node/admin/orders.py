"""Orders of a rollout's controller: stage settings, apply them, accept a new controller generation, drain."""

import os
from typing import NamedTuple

from myrtlehub.config.loader import ConfigError
from myrtlehub.config.node import NodeConfig
from myrtlehub.log_events import LogEvent
from myrtlehub.node.admin.interfaces import AdministeredNode
from myrtlehub.node.revision import settings_digest
from myrtlehub.node.settings_change import SettingsChangeError, parse_settings, validate_change
from myrtlehub.proto import admin_pb2 as pb
from myrtlehub.rollout.node_orders import Order, OrderValidator
from myrtlehub.rpc.server_call import ServerCall
from myrtlehub.rpc.status import Code, RpcError

# Environment variable that a controller sets for a node that it starts: "GENERATION CONTROLLER".
GENERATION_VARIABLE = "HUB_ROLL_GENERATION"


class StagedSettings(NamedTuple):
    """Validated settings that have not been applied yet."""

    digest: str
    settings: NodeConfig


def _initial_validator(incarnation: str) -> OrderValidator:
    """Return the validator of orders, which knows the controller that started this process, if any."""
    generation, _, controller = os.environ.get(GENERATION_VARIABLE, "").partition(" ")
    return OrderValidator(incarnation, int(generation) if generation.isdecimal() else 0, controller)


class OrderHandlers:
    """The methods of NodeAdmin that carry an `Order`."""

    def __init__(self, node: AdministeredNode) -> None:
        self.node = node
        self.validator = _initial_validator(node.incarnation)
        self.staged: StagedSettings | None = None

    def _validate(self, order: pb.Order, method: str) -> None:
        reason = self.validator.rejection_reason(
            Order(order.format, order.generation, order.controller, order.run)
        )
        if reason:
            self.node.log(LogEvent.ADMIN_CALL_REJECTED, method=method, reason=reason)
            raise RpcError(Code.PERMISSION_DENIED, reason)

    def stage(self, _call: ServerCall, data: bytes) -> bytes:
        """Validate settings, and stage them until they are applied."""
        request = pb.StagedSettings.FromString(data)
        self._validate(request.order, "stage")
        try:
            settings = parse_settings(request.text)
            self._validate_change(settings)
        except ConfigError as error:
            raise RpcError(Code.INVALID_ARGUMENT, str(error)) from error
        digest = settings_digest(settings)
        self.staged = StagedSettings(digest, settings)
        self.node.log(LogEvent.SETTINGS_STAGED, settings=digest)
        return pb.OrderTaken(settings=digest, changed=True).SerializeToString()

    def _validate_change(self, settings: NodeConfig) -> None:
        try:
            validate_change(self.node.settings, settings, self.node.endpoint_source.endpoints())
        except SettingsChangeError as error:
            raise RpcError(Code.FAILED_PRECONDITION, str(error)) from error

    def apply(self, _call: ServerCall, data: bytes) -> bytes:
        """Apply the staged settings to all sequences that begin from now on."""
        order = pb.Order.FromString(data)
        self._validate(order, "apply")
        if order.settings == settings_digest(self.node.settings):
            return pb.OrderTaken(settings=order.settings).SerializeToString()  # the order is a retry
        staged = self._take_staged(order.settings)
        self._validate_change(staged.settings)  # the endpoint list may have changed since they were staged
        self.node.apply(staged.settings)
        self.node.log(
            LogEvent.SETTINGS_APPLIED,
            settings=staged.digest,
            on_former_settings=self.node.replaced_sequence_count(),
        )
        return pb.OrderTaken(settings=staged.digest, changed=True).SerializeToString()

    def _take_staged(self, digest: str) -> StagedSettings:
        staged = self.staged
        if staged is None or staged.digest != digest:
            raise RpcError(Code.FAILED_PRECONDITION, f"settings {digest} are not staged here")
        if self.node.is_draining:
            raise RpcError(Code.FAILED_PRECONDITION, "this node is leaving")
        self.staged = None
        return staged

    def accept_generation(self, _call: ServerCall, data: bytes) -> bytes:
        """Accept the controller's generation; orders with a lower generation are rejected from now on."""
        self._validate(pb.Order.FromString(data), "obey")
        return pb.OrderTaken(settings=settings_digest(self.node.settings)).SerializeToString()

    def drain(self, _call: ServerCall, data: bytes) -> bytes:
        """Drain the node, and end the process."""
        self._validate(pb.Order.FromString(data), "leave")
        changed = not self.node.is_draining
        if changed:
            self.node.clock.callLater(0, self.node.request_drain)  # after the reply is written
        return pb.OrderTaken(
            settings=settings_digest(self.node.settings), changed=changed
        ).SerializeToString()
