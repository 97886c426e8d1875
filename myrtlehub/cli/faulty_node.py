"""Runs a node with one injected fault, to test rollouts of a program with a regression.

    python -m myrtlehub.cli.faulty_node KIND CONFIG

The program of the node is unchanged except for the fault that KIND names, and for its build label, which
gives it a revision of its own.
"""

import os
import sys
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random

from twisted.internet.defer import Deferred

from myrtlehub.cli.event_loop import get_event_loop
from myrtlehub.lab.program_patch import replace_attribute
from myrtlehub.lab.rollout_fleet import FOLDER_VARIABLE, NODE_COUNT_VARIABLE
from myrtlehub.node import node, node_runtime, revision
from myrtlehub.node.clock import MonotonicClock
from myrtlehub.node.engine_transport.transport import GrpcEngineTransport
from myrtlehub.node.sequences import Attempt
from myrtlehub.records import Recorder
from myrtlehub.routing.contract import Action, Arrival, Forget, Reject
from myrtlehub.routing.policy.router import Router

CRASH_AFTER_S = 5.0  # from the start of a node with the fault `crashes` to its exit
CRASH_EXIT_CODE = 3
NEVER_READY_S = 3600.0  # duration of the sleep in `never-ready`: longer than any rollout of a test
SEND_DELAY_S = 0.06  # added to each send by `slow`: about a third of the usual time to first token
LEAK_BYTES_PER_S = 2_000_000  # rate at which `leaks` leaks memory
LEAK_INTERVAL_S = 0.1
RANDOM_SEED = 7
# Fractions of sequences that are rejected, in addition to those that the router rejects.
REJECTED = 0.02  # by `rejects`
MOSTLY_REJECTED = 0.8  # by `rejects-most` and `foreign`
REJECTED_OF_ONE_TRAFFIC_TYPE = 0.5  # by `spoils`, of the traffic type below
REJECTED_BY_HALF = 0.3  # by `half`, as soon as half of the nodes run the faulty program
AFFECTED_TRAFFIC_TYPE = 1  # index of that type in the list `traffic` of the settings
RETRY_AFTER_S = 0.5  # Retry-After of the injected rejections


def _reject_fraction(fraction: Callable[[Arrival], float]) -> None:
    """Have the router reject a fraction of the arriving sequences, drawn at random."""
    draw = Random(RANDOM_SEED).random

    class RejectingRouter(Router):
        def arrive(self, now: float, ident: int, arrival: Arrival) -> list[Action]:
            if draw() < fraction(arrival):
                return [Reject(ident, RETRY_AFTER_S), Forget(ident)]
            return super().arrive(now, ident, arrival)

    replace_attribute(node_runtime, "Router", RejectingRouter)


def _slow() -> None:
    """Delay each send to an engine."""
    start = GrpcEngineTransport.start

    def start_late(self: GrpcEngineTransport, attempt: Attempt) -> None:
        self.clock.callLater(SEND_DELAY_S, lambda: start(self, attempt) if attempt.is_outstanding else None)

    replace_attribute(GrpcEngineTransport, "start", start_late)


def _leaks() -> None:
    """Leak memory from the start of the node on."""
    leaked: list[bytes] = []
    measure = node.Node.measure_lag

    def leak(self: node.Node) -> None:
        leaked.append(b"\1" * int(LEAK_BYTES_PER_S * LEAK_INTERVAL_S))
        self.clock.callLater(LEAK_INTERVAL_S, leak, self)

    def measure_and_leak(self: node.Node) -> None:
        if not leaked:
            leak(self)
        measure(self)

    replace_attribute(node.Node, "measure_lag", measure_and_leak)


def _crashes() -> None:
    """Exit after some seconds."""
    event_loop = get_event_loop()
    name = Path(sys.argv[1]).name.split(".")[0]

    def crash() -> None:
        # The rule checker needs the time of the crash, which only this process knows.
        path = Path(os.environ[FOLDER_VARIABLE]) / f"crash-{os.getpid()}.rec"
        Recorder("variant", MonotonicClock(event_loop), path).note("killed", who=name)
        os._exit(CRASH_EXIT_CODE)

    event_loop.callLater(CRASH_AFTER_S, crash)


def _half() -> None:
    """Reject a fraction of the sequences as soon as half of the nodes run this program.

    Each of them leaves a file named by its process id, so that the others can count it.
    """
    folder = Path(os.environ[FOLDER_VARIABLE])
    (folder / f"half-{os.getpid()}").touch()

    def fraction(arrival: Arrival) -> float:
        pids = [file.name.removeprefix("half-") for file in folder.glob("half-*")]
        running = sum(Path(f"/proc/{pid}").exists() for pid in pids)
        return REJECTED_BY_HALF if 2 * running >= int(os.environ[NODE_COUNT_VARIABLE]) else 0.0

    _reject_fraction(fraction)


def _deaf() -> None:
    """Never complete a graceful shutdown, whether SIGTERM or the admin service requests it."""

    def drain(self: node.Node) -> Deferred[None]:
        return Deferred()

    replace_attribute(node.Node, "drain", drain)


def _foreign() -> None:
    """Store endpoint lists by a later schema, and reject most sequences, so that the node is rolled back.

    The earlier program then has to start with a version store of the later schema.
    """
    from myrtlehub.membership import version_store

    version_store.SCHEMA_VERSION += 1
    version_store.SCHEMA = version_store.SCHEMA.replace(
        "NOT NULL)", "NOT NULL, more TEXT NOT NULL DEFAULT '')"
    )
    _reject_fraction(lambda arrival: MOSTLY_REJECTED)


def _spoils() -> None:
    """Reject half of the sequences of one traffic type."""
    _reject_fraction(
        lambda arrival: REJECTED_OF_ONE_TRAFFIC_TYPE if arrival.traffic == AFFECTED_TRAFFIC_TYPE else 0.0
    )


KINDS: dict[str, Callable[[], None]] = {
    "equal": lambda: None,
    "exits": partial(sys.exit, CRASH_EXIT_CODE),
    "never-ready": lambda: time.sleep(NEVER_READY_S),
    "crashes": _crashes,
    "slow": _slow,
    "leaks": _leaks,
    "rejects": lambda: _reject_fraction(lambda arrival: REJECTED),
    "rejects-most": lambda: _reject_fraction(lambda arrival: MOSTLY_REJECTED),
    "spoils": _spoils,
    "half": _half,
    "deaf": _deaf,
    "foreign": _foreign,
}


def main() -> None:
    """Inject the fault, and run the node."""
    kind = sys.argv.pop(1)
    if kind not in KINDS:
        sys.exit(f"{kind!r} is not one of {', '.join(KINDS)}")
    os.environ[revision.BUILD_LABEL_VARIABLE] = f"variant {kind}"
    KINDS[kind]()
    from myrtlehub.cli.node import main as run_node

    run_node()


if __name__ == "__main__":
    main()
