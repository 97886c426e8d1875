"""Retry budgets: the cost of a retry storm is bounded, and no client is locked out."""

from collections import Counter
from random import Random

from fleet import ChatCallWatcher, Fleet
from fleet_checks import assert_nothing_left, assert_rules_kept
from hypothesis import given
from hypothesis import strategies as st

from myrtlehub.limits import retry_budget
from myrtlehub.limits.retry_budget import RetryBudget

ATTEMPTS = st.lists(st.tuples(st.booleans(), st.sampled_from("ab"), st.floats(0.0, 0.5)), max_size=300)


@given(ATTEMPTS, st.sampled_from([0.0, 0.2, 1.0]))
def test_admitted_retries_are_bounded_by_what_first_attempts_earned(attempts: list, ratio: float) -> None:
    budget = RetryBudget(ratio, Random(1))
    now = 0.0
    first = Counter()
    admitted = Counter()
    for is_first, tenant, gap in attempts:
        now += gap
        if is_first:
            budget.record_first_attempt(now, tenant)
            first[tenant] += 1
            continue
        wait = budget.spend_retry(now, tenant, 2.0)
        admitted[tenant] += wait is None
        assert wait is None or 1.0 <= wait <= 2.0 * retry_budget.MAX_WAIT_GROWTH
        assert (
            admitted[tenant]
            <= retry_budget.BURST + ratio * first[tenant] + retry_budget.REFILL_PER_S * now + 1e-6
        )
    assert len(budget._credits) <= 2


def test_retry_after_grows_under_load_and_a_lone_client_is_never_locked_out() -> None:
    budget = RetryBudget(0.2, Random(1))
    for _ in range(int(retry_budget.BURST)):
        assert budget.spend_retry(0.0, "t", 2.0) is None
    waits = [budget.spend_retry(0.0, "t", 2.0) for _ in range(200)]
    assert sum(waits[:20]) < sum(waits[-20:]) and len(set(waits)) > 190  # they are random
    assert budget.spend_retry(0.0, "other", 2.0) is None
    assert budget.spend_retry(15.0, "t", 2.0) is None
    for number in range(5000):
        budget.record_first_attempt(20.0, f"t{number}")
    assert len(budget._credits) == retry_budget.MAX_TENANTS


def run_retry_storm(ratio: str) -> tuple[float, Fleet]:
    """Return the attempts at engines for each first attempt, with two writers down for 3 s and retries."""
    fleet = Fleet("W0 W0", slots=20, step="5ms", more_settings=f"limits: {{retries: {ratio}}}")
    for name in fleet.engines:
        fleet.inject_fault(name, "refuse", factor=1.0, seconds=3.0)
    fleet.run(0.05)
    in_flight: list[tuple[ChatCallWatcher, int]] = []  # calls, and the retries before each
    retries: list[tuple[float, int]] = []  # when to retry, and the retries before
    first_attempts = 0
    while fleet.clock.seconds() < 1010.0:
        now = fleet.clock.seconds()
        if now < 1006.0:
            in_flight.append((fleet.generate(prompt=100, output=20, time_left=1.2), 0))
            first_attempts += 1
        for retry_at, count in [retry for retry in retries if retry[0] <= now]:
            retries.remove((retry_at, count))
            in_flight.append((fleet.generate(prompt=100, output=20, time_left=1.2, repeated=True), count))
        for call, count in [entry for entry in in_flight if entry[0].answer]:
            in_flight = [entry for entry in in_flight if entry[0] is not call]
            if call.answer != "generated" and count < 8:
                retries.append((now + 0.05, count + 1))  # a client that ignores Retry-After
        fleet.run(0.02)
    fleet.run(6.0)
    assert_rules_kept(fleet)
    assert_nothing_left(fleet)
    return len(fleet.records("got")) / first_attempts, fleet


def test_a_retry_storm_after_an_outage_is_bounded() -> None:
    without, _ = run_retry_storm("any")
    with_budget, fleet = run_retry_storm("0.2")
    assert with_budget < 0.5 * without, (without, with_budget)
    assert fleet.nodes["n0"].client_limits.counts["repeats turned away"] > 100
    call = fleet.generate(prompt=100, output=20)
    fleet.run(1.0)
    assert call.answer == "generated"
