"""The simulator adapter: reads a batch of events per line, and writes a line of orders for each batch."""

import sys

import msgspec

from myrtlehub.routing.contract import Action
from myrtlehub.simulator.node import Node
from myrtlehub.simulator.wire import MS_PER_SECOND, Event, Order, WireError

EXIT_INVALID_INPUT = 2


def process_batch(nodes: dict[str, Node], batch: Event) -> Order:
    """Pass the events of a batch to the nodes and return the resulting orders."""
    now = batch["MomentMs"] / MS_PER_SECOND
    orders: list[Order] = []
    for event in batch["events"]:
        name = event["NodeId"]
        if event["verb"] == "KILL":
            nodes.pop(name, None)
            # Orders that a killed node gave earlier in this batch have not been sent and are lost with it.
            orders = [order for order in orders if order["NodeId"] != name]
            continue
        actions = _handle_event(nodes, name, event, now)
        orders.extend(order for order in map(nodes[name].encode_action, actions) if order)
    return {"frame": batch["frame"], "orders": orders}


def _handle_event(nodes: dict[str, Node], name: str, event: Event, now: float) -> list[Action]:
    verb = event["verb"]
    if verb == "SPAWN":
        nodes[name] = Node(name, event, now)
        return nodes[name].start_actions
    if name not in nodes:
        raise WireError(f"{verb} for {name}, which has not been started")
    return nodes[name].handle_event(event, now)


class Simulation:
    """The nodes of a simulation, and the encoding of its input and output lines."""

    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {}
        self.frame: int | None = None  # frame number of the last batch, for error messages
        self._decode = msgspec.json.Decoder().decode
        self._encode = msgspec.json.Encoder().encode

    def process_line(self, line: bytes) -> bytes:
        """Process one line of input and return the line of output.

        Raises:
            WireError: The input is malformed; the message states the problem and the frame.
        """
        try:
            batch = self._decode(line)
            if not isinstance(batch, dict):
                raise WireError("a batch has to be an object")
            self.frame = batch.get("frame")
            return self._encode(process_batch(self.nodes, batch))
        except msgspec.DecodeError as error:
            raise WireError(f"after frame {self.frame}: not JSON: {error}") from error
        except KeyError as error:
            raise WireError(f"frame {self.frame}: missing or unknown: {error}") from error
        except (WireError, TypeError, ValueError) as error:
            raise WireError(f"frame {self.frame}: {error}") from error


def main() -> int:
    """Process batches until the end of the input, and return the exit status."""
    simulation = Simulation()
    for line in sys.stdin.buffer:
        if not line.strip():
            continue
        try:
            reply = simulation.process_line(line)
        except WireError as error:
            print(f"simhost: {error}", file=sys.stderr)
            return EXIT_INVALID_INPUT
        sys.stdout.buffer.write(reply + b"\n")
        sys.stdout.buffer.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
