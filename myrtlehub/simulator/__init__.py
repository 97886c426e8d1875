"""Adapter to the operators' simulator: decodes batches into calls of routers, and encodes their actions.

`python -m myrtlehub.simulator` reads one JSON batch a line on standard input and answers each with one line
on standard output. Each node named on the wire has a router of its own. The adapter decides nothing.
`wire` has the words of the wire, `ids` its ids against our indices, `node` one node, `__main__` the program.
"""

from myrtlehub.simulator.node import Node
from myrtlehub.simulator.wire import OUTCOMES, STATES, WireError

__all__ = ["OUTCOMES", "STATES", "Node", "WireError"]
