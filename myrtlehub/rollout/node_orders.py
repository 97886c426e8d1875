"""Validation of orders at a node, which obeys only the controller with the highest generation seen so far."""

from typing import NamedTuple

FORMAT_VERSION = 1  # newest format of messages, journals and plans that this version understands


class Order(NamedTuple):
    """The header of an order."""

    format: int
    generation: int
    controller: str
    incarnation: str = ""  # of the process that the order is for; empty, as on the wire: any process


class OrderValidator:
    """Accepts or rejects the orders sent to one process, and keeps track of the controller that it obeys."""

    def __init__(self, incarnation: str, generation: int = 0, controller: str = "") -> None:
        """Start by obeying the controller that started this process, if there is one.

        Args:
            incarnation: identifier of this process.
            generation: generation of that controller; 0 if there is none.
            controller: identifier of that controller; empty if there is none.
        """
        self.incarnation = incarnation
        self.generation = generation
        self.controller = controller

    def rejection_reason(self, order: Order) -> str | None:
        """Accept an order, obey its controller from now on and return None; or return why it is rejected."""
        reason = self._format_error(order) or self._generation_error(order) or self._incarnation_error(order)
        if reason is None:
            self.generation = order.generation
            self.controller = order.controller
        return reason

    def _format_error(self, order: Order) -> str | None:
        if order.format > FORMAT_VERSION:
            return (
                f"the order is in format {order.format}, and this node knows formats up to {FORMAT_VERSION}"
            )
        if not order.generation or not order.controller:
            return "an order has to name its generation and its controller"
        return None

    def _generation_error(self, order: Order) -> str | None:
        if order.generation < self.generation:
            return (
                f"the order is of generation {order.generation}; this node obeys {self.generation} "
                f"of controller {self.controller}"
            )
        if order.generation == self.generation and order.controller != self.controller:
            return (
                f"generation {order.generation} is controller {self.controller}'s; {order.controller} has to "
                "resume with a higher one"
            )
        return None

    def _incarnation_error(self, order: Order) -> str | None:
        if order.incarnation and order.incarnation != self.incarnation:
            return f"the order is for process {order.incarnation}, and this is {self.incarnation}"
        return None
