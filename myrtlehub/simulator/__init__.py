"""Adapter for the operators' simulator: decodes its events into router calls, and encodes router actions.

`python -m myrtlehub.simulator` reads one JSON batch per line from standard input and writes one line to
standard output for each batch. Each simulated node has its own router. The adapter makes no decisions.

- `wire`: the names of the protocol, and the encoding of actions.
- `ids`: maps the protocol's ids to the indices that routers use.
- `node`: a simulated node.
- `__main__`: the program.
"""

from myrtlehub.simulator.node import Node
from myrtlehub.simulator.wire import OUTCOME_BY_CODE, STATE_BY_NAME, WireError

__all__ = ["OUTCOME_BY_CODE", "STATE_BY_NAME", "Node", "WireError"]
