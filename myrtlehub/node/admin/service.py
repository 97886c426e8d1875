"""The methods of the admin service."""

from myrtlehub.node.admin.endpoint_list_push import push_endpoint_list
from myrtlehub.node.admin.figures import node_figures
from myrtlehub.node.admin.interfaces import AdministeredNode
from myrtlehub.node.admin.limits_state import limits_state
from myrtlehub.node.admin.node_state import node_state
from myrtlehub.node.admin.orders import OrderHandlers
from myrtlehub.rpc.method_handlers import unary
from myrtlehub.rpc.server import Server
from myrtlehub.rpc.server_call import ServerCall

ADMIN_SERVICE = "/myrtlehub.v1.NodeAdmin/"


class NodeAdmin:
    """Serves the gRPC service `NodeAdmin` for a node."""

    def __init__(self, node: AdministeredNode) -> None:
        self.node = node
        self.orders = OrderHandlers(node)

    def serve(self, server: Server) -> None:
        """Serve the methods."""
        methods = {
            "PushList": self._push_list,
            "Show": self._show,
            "Limits": self._limits,
            "Figures": self._figures,
            "Stage": self.orders.stage,
            "Apply": self.orders.apply,
            "Obey": self.orders.accept_generation,
            "Leave": self.orders.drain,
        }
        for name, method in methods.items():
            server.add(ADMIN_SERVICE + name, unary(method))

    def _push_list(self, _call: ServerCall, data: bytes) -> bytes:
        return push_endpoint_list(self.node, data).SerializeToString()

    def _show(self, _call: ServerCall, _data: bytes) -> bytes:
        return node_state(self.node, self.orders).SerializeToString()

    def _limits(self, _call: ServerCall, _data: bytes) -> bytes:
        now = self.node.clock.seconds()
        return limits_state(self.node.client_limits, now).SerializeToString()

    def _figures(self, _call: ServerCall, _data: bytes) -> bytes:
        return node_figures(self.node).SerializeToString()
