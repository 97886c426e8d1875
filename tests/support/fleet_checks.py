"""Checks of an in-process fleet: the five rules, and the release of all resources."""

from fleet import Fleet

from myrtlehub.lab.rule_checker.checker import RuleChecker, check_records
from myrtlehub.records import Record

TRAFFIC_TYPES = [
    {"name": "ask", "repeats": "repeatable", "dedup_group": "all", "dedup_window": 0.0},
    {"name": "post", "repeats": "once-only", "dedup_group": "all", "dedup_window": 0.0},
    {"name": "note", "repeats": "tokened", "dedup_group": "cell", "dedup_window": 5.0},
]


def check_rules(fleet: Fleet) -> RuleChecker:
    """Run the rule checker over all records of a fleet."""
    fleet.scenario_recorder.note("ends")
    terms = {
        "traffic": TRAFFIC_TYPES,
        "let_go": 0.5,
        "slack": 0.05,
        "engines": [
            (record["address"], record["cell"], record["zone"]) for record in fleet.endpoints.values()
        ],
    }
    return check_records([Record(0.0, "day", "terms", terms), *fleet.log])


def assert_rules_kept(fleet: Fleet) -> RuleChecker:
    """Check that no rule was broken in a fleet."""
    checker = check_rules(fleet)
    assert not checker.breaches, "\n".join(breach.text for breach in checker.breaches)
    return checker


def assert_nothing_left(fleet: Fleet) -> None:
    """Check that all running nodes and engines have released everything."""
    assert all(
        not node.executor.in_flight and not node.executor.outstanding_attempt_count()
        for node in fleet.nodes.values()
    )
    for engine in fleet.engines.values():
        model = engine.model
        if not model.has_crashed:
            assert not model.prefill.read_states and not model.decode.running
            assert not model.decode.queue and not model.prefill.running
            assert abs(model.resources.used_memory) < 1e-6
