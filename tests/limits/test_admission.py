"""Admission control: the limit adapts to latency, utility sets the order, each sequence ends exactly once."""

from random import Random

from fleet import Fleet
from fleet_checks import assert_nothing_left, assert_rules_kept
from hypothesis import given
from hypothesis import strategies as st

from myrtlehub.limits import admission
from myrtlehub.limits.admission import AdmissionController, VegasLimiter

UTILITY = {"low": 0.5, "high": 4.0}
OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(["arrive", "arrive", "arrive", "first token", "fail", "disconnect", "wait"]),
        st.sampled_from(["low", "high"]),
        st.floats(0.0, 3.0),
    ),
    max_size=150,
)


@given(OPERATIONS)
def test_each_sequence_is_admitted_shed_or_cancelled_once_and_the_count_is_exact(operations: list) -> None:
    controller = AdmissionController(Random(1), UTILITY)
    now = 0.0
    arrival_count = 0
    controller.limiter.limit = 5.0
    queued: set[int] = set()
    admitted: list[int] = []
    ended: dict[int, int] = {}

    def collect() -> None:
        while (item := controller.admit_next()) is not None:
            queued.remove(item)
            admitted.append(item)
            ended[item] = ended.get(item, 0) + 1
        for item in controller.take_shed(now):
            queued.remove(item)
            ended[item] = ended.get(item, 0) + 1

    for operation, traffic_type, seconds in operations:
        if operation == "arrive":
            controller.enqueue(now, traffic_type, 1.0, arrival_count)
            queued.add(arrival_count)
            arrival_count += 1
        elif operation == "first token" and admitted:
            admitted.pop(0)
            controller.record_first_token(now, seconds, 1.0)
        elif operation == "fail" and admitted:
            admitted.pop(0)
            controller.record_failure(now, seconds > 1.0)
        elif operation == "disconnect" and queued:
            cancelled = min(queued)
            assert controller.cancel(cancelled) and not controller.cancel(cancelled)
            queued.remove(cancelled)
            ended[cancelled] = ended.get(cancelled, 0) + 1
        else:
            now += seconds
        collect()
        assert (
            controller.in_flight == len(admitted)
            and admission.MIN_LIMIT <= controller.limiter.limit <= admission.MAX_LIMIT
        )
        assert len(queued) <= 2 + admission.QUEUE_SHARE * max(controller.limiter.limit, 10.0)
    now += 10.0
    collect()
    assert not queued and set(ended) == set(range(arrival_count)) and set(ended.values()) <= {1}


def test_highest_utility_is_admitted_first_and_lowest_is_shed() -> None:
    controller = AdmissionController(Random(1), UTILITY)
    controller.limiter.limit = 4.0
    for i in range(4):
        controller.enqueue(0.0, "low", 1.0, f"in{i}")
        assert controller.admit_next() == f"in{i}"
    controller.enqueue(0.0, "low", 1.0, "a")
    controller.enqueue(0.1, "high", 1.0, "b")
    controller.enqueue(0.1, "low", 1.0, "c")
    assert list(controller.take_shed(0.1)) == [] and controller.admit_next() is None
    controller.enqueue(0.2, "high", 1.0, "d")  # over half the limit is queued: the lowest utility is shed
    assert list(controller.take_shed(0.2)) == ["c"]
    controller.record_first_token(0.2, 0.2, 1.0)
    assert controller.admit_next() == "b"
    assert list(controller.take_shed(0.401)) == ["a"]  # queued for 0.4 of its latency SLO
    assert controller.next_shed_at() == 0.2 + admission.MAX_WAIT_SHARE


def test_the_limit_shrinks_as_latency_grows_and_recovers() -> None:
    limiter = VegasLimiter()
    for _ in range(300):
        limiter.sample(0.0, 0.1, 1000)
    limit_at_low_latency = limiter.limit
    assert limit_at_low_latency > admission.INITIAL_LIMIT
    for _ in range(500):
        limiter.sample(1.0, 0.6, 1000)
    limit_at_high_latency = limiter.limit
    assert limit_at_high_latency < 0.8 * limit_at_low_latency
    for _ in range(500):
        limiter.sample(2.0, 0.12, 1000)
    assert limiter.limit > limit_at_high_latency
    limit_before_idle = limiter.limit
    for _ in range(500):
        limiter.sample(3.0, 0.12, 1)  # few in flight: low latency is no evidence about a higher load
    assert limiter.limit == limit_before_idle
    for _ in range(500):
        limiter.sample(25.0, 0.5, 1000)  # after BASELINE_LIFETIME the minimum latency is replaced
    assert limiter.limit > limit_before_idle


def run_overload(admit: str) -> tuple[dict, Fleet]:
    """Send far more requests than two writers can serve, and count those answered within the latency SLO.

    Half of the requests have traffic type `post`, which has three times the utility of `ask`.
    """
    fleet = Fleet(
        "R0 R0 W0 W0", slots=10, step="20ms", read_rate=12000.0, more_settings=f"limits: {{admit: {admit}}}"
    )
    random = Random(5)
    in_time = {"ask": 0, "post": 0}
    calls = []
    for _ in range(600):
        call = fleet.generate(random.choice(["ask", "post"]), prompt=random.choice([300, 1500]), output=60)
        call.since = fleet.clock.seconds()
        calls.append(call)
        fleet.run(0.004)
    fleet.run(6.0)
    first_token_at = {record.more["call"]: record.at for record in fleet.records("token")}
    traffic_types = {record.more["call"]: record.more["traffic"] for record in reversed(fleet.records("ask"))}
    for call in calls:
        assert call.answer in ("generated", "rejected", "aborted")
        is_in_time = call.answer == "generated" and first_token_at[call.name] - call.since <= 1.0
        in_time[traffic_types[call.name]] += is_in_time
    assert_rules_kept(fleet)
    assert_nothing_left(fleet)
    return in_time, fleet


def test_under_overload_admission_raises_the_utility_that_is_answered_in_time() -> None:
    without, _ = run_overload("no")
    with_admission, fleet = run_overload("yes")
    utility = [in_time["ask"] + 3 * in_time["post"] for in_time in (without, with_admission)]
    assert utility[1] > 1.2 * utility[0], (without, with_admission)
    controller = fleet.nodes["n0"].front.admission.controller
    assert controller.in_flight == 0 and not controller._queue
    call = fleet.generate(prompt=300, output=20)
    fleet.run(2.0)
    assert call.answer == "generated"  # after the overload


def test_clients_that_disconnect_from_the_queue_leave_no_state() -> None:
    fleet = Fleet("W0", slots=2, step="50ms", more_settings="limits: {admit: yes}")
    controller = fleet.nodes["n0"].front.admission.controller
    controller.limiter.limit = 4.0
    fleet.inject_fault("W0a", "hang", seconds=3.0)
    fleet.run(0.05)
    calls = [fleet.generate("post", prompt=100, output=200) for _ in range(9)]
    fleet.run(0.05)
    assert controller.in_flight == 4 and controller._queue
    for call in calls:
        if not call.answer:
            fleet.cancel(call)
    fleet.run(4.0)
    assert controller.in_flight == 0 and not controller._queue
    assert_rules_kept(fleet)
    assert_nothing_left(fleet)
