"""CPU seconds that a router takes for the decisions of one sequence among 200 engines.

`python benchmarks/decision_speed.py TREE` prints it for the router of a tree; `compare_speed.py` calls it for
both of its trees. Each sequence arrives, starts its answer and ends; a disaggregated one is first read by a
reader (prefill).
"""

import sys
import time
from random import Random

from fleet_shape import READS, SERVING, WRITES
from router_dialects import Dialect, open_dialect
from router_settings import KIND_MEMORY, ROUTER_SETTINGS, TRAFFIC_SETTINGS, new_endpoint

ENGINES = 200
NODES = 40
WARM_UP = 300  # sequences before the measurement
SEQUENCES = 2000
ANSWER_SECONDS = 0.4
SECOND_READER_MEMORY = 100000.0  # tokens; of the fourth kind of engine


def make_router(dialect: Dialect) -> object:
    """Return a router of a fleet of 40 nodes, with 200 engines in its endpoint list."""
    router = dialect.router(make_config(dialect))
    dialect.call(router, "start", 100.0)
    updates = [
        dialect.make(
            "EndpointUpdate",
            **new_endpoint(index, kind=index % 2, zone=index % 3, cell=index % 8),
            state=SERVING,
        )
        for index in range(ENGINES)
    ]
    dialect.call(router, "update_endpoints", 100.0, updates, True)
    return router


def make_config(dialect: Dialect) -> object:
    """Return the configuration of a router, with one traffic type."""
    traffic = dialect.make(
        "TrafficType",
        **TRAFFIC_SETTINGS,
        retry_semantics="repeatable",
        seconds_per_token=0.05,
        utility=1.0,
    )
    return dialect.make(
        "RouterConfig",
        **ROUTER_SETTINGS,
        node_count=NODES,
        traffic=(traffic,),
        reads=READS,
        writes=WRITES,
        memory=(*KIND_MEMORY, SECOND_READER_MEMORY),
        may_hedge=False,
    )


def play(dialect: Dialect, router: object, first: int, count: int) -> None:
    """Play sequences from arrival to end."""
    random = Random(first)
    for ident in range(first, first + count):
        now = 101.0 + ident
        arrival = dialect.make(
            "Arrival",
            traffic=0,
            tenant=None,
            prompt_tokens=float(random.randint(50, 4000)),
            time_left=10.0,
            session=random.randrange(200),
            prefix=random.randrange(20),
            shared_tokens=40.0,
            max_output_tokens=300.0,
            expected_seconds=0.0,
        )
        actions = dialect.call(router, "arrive", now, ident, arrival)
        attempt = 0
        while any(action[0] == "Send" for action in actions):
            engine = next(action[2] for action in actions if action[0] == "Send")
            if not WRITES[engine % 2]:
                outcome, is_answered = dialect.outcome("read"), False
            else:
                outcome, is_answered = dialect.outcome("generated"), True
                dialect.call(router, "began", now + 0.1, ident, attempt, 0.1)
            load = dialect.make("LoadReport", memory_share=0.3, unread=100.0)
            end = (ident, attempt, outcome, ANSWER_SECONDS, is_answered, 10.0, load)
            actions = dialect.call(router, "ended", now + ANSWER_SECONDS, *end)
            attempt += 1


def main() -> None:
    """Print the CPU seconds per sequence."""
    sys.path.insert(0, sys.argv[1])
    dialect = open_dialect()
    router = make_router(dialect)
    play(dialect, router, 0, WARM_UP)
    started_at = time.process_time()
    play(dialect, router, WARM_UP, SEQUENCES)
    sys.stdout.write(f"{(time.process_time() - started_at) / SEQUENCES}\n")


if __name__ == "__main__":
    main()
