"""Nodes with one stated fault, for trials of rollouts.

    python -m myrtlehub.cli.faulty_node KIND CONFIG

The node is the real one; only what the kind names is different. It shows a revision of its own.
"""

import os
import sys
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random

from twisted.internet.defer import Deferred

from myrtlehub.lab.rollout_fleet import FOLDER_VARIABLE, NODE_COUNT_VARIABLE
from myrtlehub.node import node, node_runtime, revision
from myrtlehub.node.clock import SteadyClock
from myrtlehub.node.engine_transport.transport import GrpcEngineTransport
from myrtlehub.node.sequences import Attempt
from myrtlehub.records import Recorder
from myrtlehub.routing.contract import Action, Arrival, Forget, Reject

CRASH_AFTER = 5.0  # seconds, of `crashes`
SLOWER = 0.06  # seconds by which `slow` sends later: about a third of a first token's time
LEAK = 2_000_000  # bytes a second, of `leaks`
REJECTS = 0.02  # share of sequences that `rejects` rejects besides
REJECTS_MOST = 0.8  # of `rejects-most`, and of `foreign`
SPOILS = 0.5  # share of the second traffic type that `spoils` rejects
SPOILED_TRAFFIC = 1  # index of that type
HALF = 0.3  # share that `half` rejects, once half of the nodes have it
RETRY_AFTER = 0.5  # seconds, of these rejections


def _refusing(share: Callable[[Arrival], float]) -> None:
    """Have the router reject this share of what arrives."""
    draw = Random(7).random

    class Refusing(node_runtime.Router):
        def arrive(self, now: float, ident: int, arrival: Arrival) -> list[Action]:
            if draw() < share(arrival):
                return [Reject(ident, RETRY_AFTER), Forget(ident)]
            return super().arrive(now, ident, arrival)

    node_runtime.Router = Refusing


def _slow() -> None:
    start = GrpcEngineTransport.start

    def start_late(self: GrpcEngineTransport, attempt: Attempt) -> None:
        self.clock.callLater(SLOWER, lambda: start(self, attempt) if attempt.is_outstanding else None)

    GrpcEngineTransport.start = start_late


def _leaks() -> None:
    leaked: list[bytes] = []
    measure = node.Node.measure_lag

    def leak(self: node.Node) -> None:
        leaked.append(b"\1" * (LEAK // 10))
        self.clock.callLater(0.1, leak, self)

    def measure_and_leak(self: node.Node) -> None:
        if not leaked:
            leak(self)
        measure(self)

    node.Node.measure_lag = measure_and_leak


def _crashes() -> None:
    from twisted.internet import reactor

    name = Path(sys.argv[1]).name.split(".")[0]

    def crash() -> None:
        # The records have to say that this process ends here, as nothing else can.
        Recorder(
            "variant", SteadyClock(reactor), Path(os.environ[FOLDER_VARIABLE]) / f"crash-{os.getpid()}.rec"
        ).note("killed", who=name)
        os._exit(3)

    reactor.callLater(CRASH_AFTER, crash)


def _half() -> None:
    folder = Path(os.environ[FOLDER_VARIABLE])
    (folder / f"half-{os.getpid()}").touch()

    def share(arrival: Arrival) -> float:
        with_it = len(
            {file.name for file in folder.glob("half-*") if Path(f"/proc/{file.name[5:]}").exists()}
        )
        return HALF if 2 * with_it >= int(os.environ[NODE_COUNT_VARIABLE]) else 0.0

    _refusing(share)


def _deaf() -> None:
    """Do not end on SIGTERM, nor on an order to leave."""
    node.Node.drain = lambda self: Deferred()


def _foreign() -> None:
    """Store by a later schema; reject most, so that the earlier program is rolled back to."""
    from myrtlehub.membership import version_store

    version_store.SCHEMA_VERSION += 1
    version_store.SCHEMA = version_store.SCHEMA.replace(
        "NOT NULL)", "NOT NULL, more TEXT NOT NULL DEFAULT '')"
    )
    _refusing(lambda arrival: REJECTS_MOST)


KINDS: dict[str, Callable[[], None]] = {
    "equal": lambda: None,
    "exits": partial(sys.exit, 3),
    "never-ready": lambda: time.sleep(3600),
    "crashes": _crashes,
    "slow": _slow,
    "leaks": _leaks,
    "rejects": lambda: _refusing(lambda arrival: REJECTS),
    "rejects-most": lambda: _refusing(lambda arrival: REJECTS_MOST),
    "spoils": lambda: _refusing(lambda arrival: SPOILS * (arrival.traffic == SPOILED_TRAFFIC)),
    "half": _half,
    "deaf": _deaf,
    "foreign": _foreign,
}


def main() -> None:
    """Run a node of this kind."""
    kind = sys.argv.pop(1)
    if kind not in KINDS:
        sys.exit(f"{kind!r} is not one of {', '.join(KINDS)}")
    os.environ[revision.BUILD_LABEL_VARIABLE] = f"variant {kind}"
    KINDS[kind]()
    from myrtlehub.cli.node import main as hub_node

    hub_node()


if __name__ == "__main__":
    main()
