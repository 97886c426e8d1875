"""Whose orders a node takes: those of the controller with the highest generation that it has seen. Pure."""

from typing import NamedTuple

FORMAT = 1  # newest format of messages, journals and plans that this version understands


class Order(NamedTuple):
    """What every order says of itself."""

    format: int
    generation: int
    controller: str
    run: str = ""  # the process that is meant; empty: whichever answers


class OrderBook:
    """What one process remembers of orders."""

    def __init__(self, run: str, generation: int = 0, controller: str = "") -> None:
        self.run, self.generation, self.controller = run, generation, controller

    def refusal(self, order: Order) -> str:
        """Why an order is not taken; empty where it is, and its generation is then remembered."""
        if order.format > FORMAT:
            return f"the order is in format {order.format}, and this node knows formats up to {FORMAT}"
        if not order.generation or not order.controller:
            return "an order has to name its generation and its controller"
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
        if order.run and order.run != self.run:
            return f"the order is for process {order.run}, and this is {self.run}"
        self.generation, self.controller = order.generation, order.controller
        return ""
