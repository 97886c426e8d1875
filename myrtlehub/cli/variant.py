"""Programs that are not what they should be, for trials of rolling changes: a node with one stated fault.

    python -m myrtlehub.cli.variant KIND CONFIG

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

from myrtlehub.lab.rolling import FOLDER, NODES
from myrtlehub.node import node, revision, works
from myrtlehub.node.clock import SteadyClock
from myrtlehub.node.links import Links
from myrtlehub.records import Recorder
from myrtlehub.routing.contract import Action, Arrival, Forget, Reject

CRASH_AFTER = 5.0  # seconds, of `crashes`
SLOWER = 0.06  # seconds by which `slow` sends later: about a third of a first token's time
LEAK = 2_000_000  # bytes a second, of `leaks`
REJECTS = 0.02  # share of sequences that `rejects` turns away besides
SPOILS = 0.5  # share of the second traffic type that `spoils` turns away
HALF = 0.3  # share that `half` turns away, once half of the nodes have it


def _refusing(share: Callable[[Arrival], float]) -> None:
    """Have the module reject this share of what arrives."""
    chance = Random(7).random

    class Refusing(works.Router):
        def arrive(self, now: float, ident: int, a: Arrival) -> list[Action]:
            if chance() < share(a):
                return [Reject(ident, 0.5), Forget(ident)]
            return super().arrive(now, ident, a)

    works.Router = Refusing


def _slow() -> None:
    start = Links.start

    def later(self: Links, attempt: object) -> None:
        self.clock.callLater(SLOWER, lambda: start(self, attempt) if attempt.is_outstanding else None)

    Links.start = later


def _leaks() -> None:
    kept: list[bytes] = []
    measure = node.Node.measure_lag

    def leak(self: node.Node) -> None:
        kept.append(b"\1" * (LEAK // 10))
        self.clock.callLater(0.1, leak, self)

    def both(self: node.Node) -> None:
        if not kept:
            leak(self)
        measure(self)

    node.Node.measure_lag = both


def _crashes() -> None:
    from twisted.internet import reactor

    name = Path(sys.argv[1]).name.split(".")[0]

    def crash() -> None:
        # the day's records have to say that this process ends here, as nobody else can
        Recorder("variant", SteadyClock(reactor), Path(os.environ[FOLDER]) / f"crash-{os.getpid()}.rec").note(
            "killed", who=name
        )
        os._exit(3)

    reactor.callLater(CRASH_AFTER, crash)


def _half() -> None:
    folder = Path(os.environ[FOLDER])
    (folder / f"half-{os.getpid()}").touch()

    def share(a: Arrival) -> float:
        with_it = len({p.name for p in folder.glob("half-*") if Path(f"/proc/{p.name[5:]}").exists()})
        return HALF if 2 * with_it >= int(os.environ[NODES]) else 0.0

    _refusing(share)


def _deaf() -> None:
    """Neither SIGTERM nor an order to leave makes it end."""
    node.Node.drain = lambda self: Deferred()


def _foreign() -> None:
    """What it stores is of a later form; it rejects most, so that the earlier program comes back to it."""
    from myrtlehub.membership import store

    store.FORM += 1
    store.SCHEMA = store.SCHEMA.replace("NOT NULL)", "NOT NULL, more TEXT NOT NULL DEFAULT '')")
    _refusing(lambda a: 0.8)


KINDS: dict[str, Callable[[], None]] = {
    "equal": lambda: None,
    "exits": partial(sys.exit, 3),
    "never-ready": lambda: time.sleep(3600),
    "crashes": _crashes,
    "slow": _slow,
    "leaks": _leaks,
    "rejects": lambda: _refusing(lambda a: REJECTS),
    "rejects-most": lambda: _refusing(lambda a: 0.8),
    "spoils": lambda: _refusing(lambda a: SPOILS * (a.traffic == 1)),
    "half": _half,
    "deaf": _deaf,
    "foreign": _foreign,
}


def main() -> None:
    """Be a node of this kind."""
    kind = sys.argv.pop(1)
    if kind not in KINDS:
        sys.exit(f"{kind!r} is not one of {', '.join(KINDS)}")
    os.environ[revision.BUILD_LABEL_VARIABLE] = f"variant {kind}"
    KINDS[kind]()
    from myrtlehub.cli.node import main as hub_node

    hub_node()


if __name__ == "__main__":
    main()
