"""Runs a node with one injected fault, to test rollouts of a program with a regression.

    python -m myrtlehub.cli.faulty_node KIND CONFIG

The node's program is unchanged except for the fault named by KIND, and for its build label, which gives it a
distinct revision.
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

CRASH_AFTER_S = 5.0  # time from start to exit, of `crashes`
CRASH_EXIT_CODE = 3
NEVER_READY_S = 3600.0  # sleep of `never-ready`, longer than any rollout of a test
SEND_DELAY_S = 0.06  # delay of each send, of `slow`: about a third of the usual time to first token
LEAK_BYTES_PER_S = 2_000_000  # leak rate of `leaks`
LEAK_INTERVAL_S = 0.1
RANDOM_SEED = 7
# Fractions of sequences that are rejected in addition to those that the router rejects.
REJECTED_FRACTION = 0.02  # by `rejects`
MOST_REJECTED_FRACTION = 0.8  # by `rejects-most` and `foreign`
TRAFFIC_TYPE_REJECTED_FRACTION = 0.5  # by `spoils`, of the traffic type below
HALF_FLEET_REJECTED_FRACTION = 0.3  # by `half`, once half of the nodes run the faulty program
AFFECTED_TRAFFIC_TYPE = 1  # index of that type in the list `traffic` of the settings
RETRY_AFTER_S = 0.5  # Retry-After of the injected rejections


def _reject_fraction(fraction: Callable[[Arrival], float]) -> None:
    """Make the router reject a fraction of the arriving sequences, chosen at random."""
    draw = Random(RANDOM_SEED).random

    class RejectingRouter(Router):
        def arrive(self, now: float, ident: int, arrival: Arrival) -> list[Action]:
            if draw() < fraction(arrival):
                return [Reject(ident, RETRY_AFTER_S), Forget(ident)]
            return super().arrive(now, ident, arrival)

    replace_attribute(node_runtime, "Router", RejectingRouter)


def _delay_sends() -> None:
    """Delay each send to an engine."""
    start = GrpcEngineTransport.start

    def start_delayed(self: GrpcEngineTransport, attempt: Attempt) -> None:
        self.clock.callLater(SEND_DELAY_S, lambda: start(self, attempt) if attempt.is_outstanding else None)

    replace_attribute(GrpcEngineTransport, "start", start_delayed)


def _leak_memory() -> None:
    """Leak memory, beginning with the first measurement of the event loop lag."""
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


def _crash_after_delay() -> None:
    """Exit with CRASH_EXIT_CODE after CRASH_AFTER_S."""
    event_loop = get_event_loop()
    name = Path(sys.argv[1]).name.split(".")[0]

    def crash() -> None:
        # The rule checker needs the time of the crash, which only this process knows.
        path = Path(os.environ[FOLDER_VARIABLE]) / f"crash-{os.getpid()}.rec"
        Recorder("variant", MonotonicClock(event_loop), path).note("killed", who=name)
        os._exit(CRASH_EXIT_CODE)

    event_loop.callLater(CRASH_AFTER_S, crash)


def _reject_once_half_run() -> None:
    """Reject a fraction of the sequences once half of the nodes run this program.

    Each process creates a file named by its process id, so that the others can count it.
    """
    folder = Path(os.environ[FOLDER_VARIABLE])
    (folder / f"half-{os.getpid()}").touch()

    def fraction(arrival: Arrival) -> float:
        pids = [file.name.removeprefix("half-") for file in folder.glob("half-*")]
        running = sum(Path(f"/proc/{pid}").exists() for pid in pids)
        return HALF_FLEET_REJECTED_FRACTION if 2 * running >= int(os.environ[NODE_COUNT_VARIABLE]) else 0.0

    _reject_fraction(fraction)


def _never_drain() -> None:
    """Never complete a graceful shutdown, whether SIGTERM or the admin service requests it."""

    def drain(self: node.Node) -> Deferred[None]:
        return Deferred()

    replace_attribute(node.Node, "drain", drain)


def _use_later_schema() -> None:
    """Store endpoint lists in a later schema, and reject most sequences, so that the node is rolled back.

    The earlier program must then start with a version store of the later schema.
    """
    from myrtlehub.membership import version_store

    version_store.SCHEMA_VERSION += 1
    version_store.SCHEMA = version_store.SCHEMA.replace(
        "NOT NULL)", "NOT NULL, more TEXT NOT NULL DEFAULT '')"
    )
    _reject_fraction(lambda arrival: MOST_REJECTED_FRACTION)


def _reject_one_traffic_type() -> None:
    """Reject half of the sequences of one traffic type."""
    _reject_fraction(
        lambda arrival: TRAFFIC_TYPE_REJECTED_FRACTION if arrival.traffic == AFFECTED_TRAFFIC_TYPE else 0.0
    )


FAULTS: dict[str, Callable[[], None]] = {
    "equal": lambda: None,
    "exits": partial(sys.exit, CRASH_EXIT_CODE),
    "never-ready": lambda: time.sleep(NEVER_READY_S),
    "crashes": _crash_after_delay,
    "slow": _delay_sends,
    "leaks": _leak_memory,
    "rejects": lambda: _reject_fraction(lambda arrival: REJECTED_FRACTION),
    "rejects-most": lambda: _reject_fraction(lambda arrival: MOST_REJECTED_FRACTION),
    "spoils": _reject_one_traffic_type,
    "half": _reject_once_half_run,
    "deaf": _never_drain,
    "foreign": _use_later_schema,
}


def main() -> None:
    """Inject the fault, and run the node."""
    kind = sys.argv.pop(1)
    if kind not in FAULTS:
        sys.exit(f"{kind!r} is not one of {', '.join(FAULTS)}")
    os.environ[revision.BUILD_LABEL_VARIABLE] = f"variant {kind}"
    FAULTS[kind]()
    from myrtlehub.cli.node import main as run_node

    run_node()


if __name__ == "__main__":
    main()
