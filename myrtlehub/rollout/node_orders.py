"""Whose orders a node takes: those of the controller with the highest generation that it has seen."""

from typing import NamedTuple

FORMAT_VERSION = 1  # newest format of messages, journals and plans that this version understands


class Order(NamedTuple):
    """What every order says of itself."""

    format: int
    generation: int
    controller: str
    incarnation: str = ""  # the process that is meant; empty: whichever answers


class OrderValidator:
    """Remembers for one process whose orders it takes."""

    def __init__(self, incarnation: str, generation: int = 0, controller: str = "") -> None:
        self.incarnation = incarnation
        self.generation = generation
        self.controller = controller

    def refusal(self, order: Order) -> str:
        """Return why an order is not taken; empty where it is, and its generation is then remembered."""
        reason = self._wrong_format(order) or self._outranked(order)
        if reason:
            return reason
        if order.incarnation and order.incarnation != self.incarnation:
            return f"the order is for process {order.incarnation}, and this is {self.incarnation}"
        self.generation = order.generation
        self.controller = order.controller
        return ""

    def _wrong_format(self, order: Order) -> str:
        if order.format > FORMAT_VERSION:
            return (
                f"the order is in format {order.format}, and this node knows formats up to {FORMAT_VERSION}"
            )
        if not order.generation or not order.controller:
            return "an order has to name its generation and its controller"
        return ""

    def _outranked(self, order: Order) -> str:
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
        return ""
