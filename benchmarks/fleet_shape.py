"""The configurations, engines and requests that the scenarios of `driven_fleet.py` draw at random."""

from dataclasses import dataclass, field
from random import Random
from typing import Any

from router_dialects import Dialect

SERVING, DRAINING, GONE = 0, 1, 2
READS = (True, False, True, True)  # by kind of engine: reader, writer, both, a second reader
WRITES = (False, True, True, False)
ENGINE_COUNTS = (1, 2, 3, 6, 12, 12, 24, 24, 60, 200)
NODE_COUNTS = (1, 2, 2, 40, 200)
TIME_LEFT = (0.05, 0.5, 1.5, *9 * (0.0,))  # seconds; 0 stands for the timeout of the traffic type


@dataclass(slots=True)
class Engine:
    """One modelled engine, with its fields in the endpoint list."""

    index: int
    kind: int
    zone: int
    cell: int
    hash_seed: int
    state: int = SERVING
    started_at: float = 0.0
    fault_share: float = 0.0
    full_share: float = 0.0
    slowness: float = 1.0
    is_silent: bool = False
    work: float = 0.0  # queued prompt tokens
    work_at: float = 0.0
    streams: int = 0


@dataclass(slots=True)
class Sequence:
    """One client request, with its state at the client and at engines."""

    ident: int
    fields: dict[str, Any]
    attempts: list[int] = field(default_factory=list)  # indices of the engines
    running: set[int] = field(default_factory=set)
    is_over: bool = False


class FleetShape:
    """The random parameters of one scenario: its fleet, configuration and requests."""

    def __init__(self, dialect: Dialect, random: Random) -> None:
        self.dialect = dialect
        self.random = random
        self._draw_shape()
        self.traffic = self._traffic_types()

    def _draw_shape(self) -> None:
        draw = self.random
        self.engine_count = draw.choice(ENGINE_COUNTS)
        self.zones = draw.choice((1, 2, 3))
        self.cells = draw.choice((1, 2, 4, 8))
        self.mix = draw.choice(((0, 1), (0, 1, 1), (0, 1, 2), (2,), (0, 3, 1, 2), (1,)))
        self.load_by_probe_only = draw.random() < 0.3
        self.reports = draw.choice(("all", "memory", "unread", "waiting", "none"))
        self.fault_share = draw.choice((0.0, 0.01, 0.05, 0.2))
        self.full_share = draw.choice((0.0, 0.02, 0.2))
        self.changes = draw.choice((0.0, 0.3, 1.0))  # how often the fleet changes; 0: never
        self.tenants = draw.choice((0, 1, 4))
        self.resumed_share = draw.choice((0.0, 0.05))
        self.rate = self.engine_count * draw.choice((0.1, 0.3, 1.0, 4.0))  # sequences per second
        self.memory = draw.choice((20000.0, 100000.0, 250000.0))

    def _traffic_types(self) -> tuple[Any, ...]:
        draw, make = self.random, self.dialect.make
        types = [
            ("repeatable", "all", 0.0),
            ("once-only", "all", 0.0),
            ("tokened", "all", 5.0),
            ("tokened", "zone", draw.choice((0.2, 5.0))),
            ("tokened", "cell", 2.0),
        ]
        return tuple(
            make(
                "TrafficType",
                retry_semantics=semantics,
                latency_slo=draw.choice((0.3, 1.0, 2.0)),
                slo_per_token=draw.choice((0.0, 4e-5)),
                abandon_time=draw.choice((3.0, 10.0)),
                seconds_per_token=0.05,
                utility=draw.choice((0.5, 1.0, 3.0)),
                late_share=0.3,
                dedup_group=group,
                dedup_window=window,
            )
            for semantics, group, window in types
        )

    def config(self) -> Any:  # noqa: ANN401 - a value of whichever tree
        """Draw the configuration of a router."""
        draw = self.random
        return self.dialect.make(
            "RouterConfig",
            seed=draw.randrange(2**32),
            node=0,
            node_count=draw.choice(NODE_COUNTS),
            zone=draw.randrange(self.zones),
            traffic=self.traffic,
            reads=READS,
            writes=WRITES,
            memory=(200000.0, self.memory, draw.choice((0.0, self.memory)), 100000.0),
            quotas=tuple(draw.choice((0.0, 1.0, 20.0)) for _ in range(self.tenants)),
            writers_can_read=draw.random() < 0.75,
            may_reserve=draw.random() < 0.2,
            may_cancel=draw.random() < 0.7,
            may_migrate=draw.random() < 0.2,
            may_probe=self.load_by_probe_only or draw.random() < 0.3,
            may_gossip=draw.random() < 0.2,
            may_hedge=draw.random() < 0.3,
            max_attempts=draw.choice((2, 3, 5)),
            state_timeout=draw.choice((0.2, 0.5, 2.0)),
            drain_grace=0.25,
            cold_share=draw.choice((0.05, 0.25, 1.0)),
            cold_time=draw.choice((2.0, 12.0)),
            overload_multiple=draw.choice((1.5, 2.5)),
            overload_window=draw.choice((0.0, 1.0)),
            answer_slack=0.016,
            tick=draw.choice((0.0, 0.004)),
            max_retry_after=draw.choice((0.0, 2.0)),
            over_quota_utility=0.1,
            polls_endpoints=draw.random() < 0.5,
            load_by_probe_only=self.load_by_probe_only,
            connect_timeout=draw.choice((0.0, 0.1)),
            probe_price=draw.choice((0.0, 0.002, 0.05)),
        )

    def new_engine(self, index: int, now: float) -> Engine:
        """Draw an engine; the first one always writes, so that answers are possible."""
        draw = self.random
        engine = Engine(
            index=index,
            kind=draw.choice([kind for kind in self.mix if WRITES[kind] or index]),
            zone=draw.randrange(self.zones),
            cell=draw.randrange(self.cells),
            hash_seed=draw.randrange(2**32),
            work_at=now,
        )
        engine.fault_share, engine.full_share = self.fault_share, self.full_share
        engine.slowness = draw.choice((1.0, 1.0, 1.0, 3.0))
        return engine

    def request(self, engine_count: int) -> dict[str, Any]:
        """Draw the fields of an arrival."""
        draw = self.random
        traffic = draw.randrange(len(self.traffic))
        prompt = float(int(min(30000.0, 20.0 + draw.lognormvariate(7.0, 1.1))))
        tenant = draw.randrange(-1, self.tenants)
        fields = {
            "traffic": traffic,
            "tenant": None if tenant < 0 else tenant,
            "prompt_tokens": prompt,
            "time_left": draw.choice(TIME_LEFT) or self.traffic[traffic].abandon_time,
            "session": draw.choice((0, draw.randrange(1, 60))),
            "prefix": draw.choice((0, draw.randrange(1, 12))),
            "shared_tokens": 0.0,
            "max_output_tokens": float(draw.choice((16, 200, 2000))),
            "expected_seconds": draw.choice((0.0, 2.0)),
            "is_resumed": draw.random() < 0.02,
        }
        if fields["prefix"]:
            fields["shared_tokens"] = float(int(prompt * draw.random()))
        if draw.random() < self.resumed_share:
            fields["state_engine"] = draw.randrange(engine_count)
        if draw.random() < self.resumed_share:
            fields["may_have_run_at"] = draw.randrange(engine_count)
            fields["may_have_run_ago"] = draw.random() * 3.0
        return fields
