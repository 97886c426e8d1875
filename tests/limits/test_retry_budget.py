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
def test_admitted_retries_are_bounded_by_the_credit_of_first_attempts(attempts: list, ratio: float) -> None:
    budget = RetryBudget(ratio, Random(1))
    now = 0.0
    first_attempts = Counter()
    admitted_retries = Counter()
    for is_first, tenant, elapsed in attempts:
        now += elapsed
        if is_first:
            budget.record_first_attempt(now, tenant)
            first_attempts[tenant] += 1
            continue
        retry_after = budget.spend_retry(now, tenant, 2.0)
        admitted_retries[tenant] += retry_after is None
        assert retry_after is None or 1.0 <= retry_after <= 2.0 * retry_budget.MAX_WAIT_GROWTH
        assert (
            admitted_retries[tenant]
            <= retry_budget.BURST + ratio * first_attempts[tenant] + retry_budget.REFILL_PER_S * now + 1e-6
        )
    assert len(budget._credits) <= 2


def test_retry_after_grows_with_rejections_and_no_tenant_is_locked_out() -> None:
    budget = RetryBudget(0.2, Random(1))
    for _ in range(int(retry_budget.BURST)):
        assert budget.spend_retry(0.0, "t", 2.0) is None
    retry_afters = [budget.spend_retry(0.0, "t", 2.0) for _ in range(200)]
    assert sum(retry_afters[:20]) < sum(retry_afters[-20:]) and len(set(retry_afters)) > 190  # randomized
    assert budget.spend_retry(0.0, "other", 2.0) is None
    assert budget.spend_retry(15.0, "t", 2.0) is None
    for number in range(5000):
        budget.record_first_attempt(20.0, f"t{number}")
    assert len(budget._credits) == retry_budget.MAX_TENANTS


def run_retry_storm(ratio: str) -> tuple[float, Fleet]:
    """Return the engine attempts per first attempt while two writers fail for 3 s and clients retry."""
    fleet = Fleet("W0 W0", slots=20, step="5ms", more_settings=f"limits: {{retries: {ratio}}}")
    for name in fleet.engines:
        fleet.inject_fault(name, "refuse", factor=1.0, seconds=3.0)
    fleet.run(0.05)
    in_flight: list[tuple[ChatCallWatcher, int]] = []  # calls, with the number of their earlier retries
    retries: list[tuple[float, int]] = []  # times of retries, with the number of earlier ones
    first_attempts = 0
    while fleet.clock.seconds() < 1010.0:
        now = fleet.clock.seconds()
        if now < 1006.0:
            in_flight.append((fleet.generate(prompt=100, output=20, time_left=1.2), 0))
            first_attempts += 1
        for retry_at, retry_count in [retry for retry in retries if retry[0] <= now]:
            retries.remove((retry_at, retry_count))
            in_flight.append(
                (fleet.generate(prompt=100, output=20, time_left=1.2, repeated=True), retry_count)
            )
        for call, retry_count in [entry for entry in in_flight if entry[0].answer]:
            in_flight = [entry for entry in in_flight if entry[0] is not call]
            if call.answer != "generated" and retry_count < 8:
                retries.append((now + 0.05, retry_count + 1))  # a client that ignores Retry-After
        fleet.run(0.02)
    fleet.run(6.0)
    assert_rules_kept(fleet)
    assert_nothing_left(fleet)
    return len(fleet.records("got")) / first_attempts, fleet


def test_a_retry_storm_after_an_outage_is_bounded() -> None:
    attempts_without_budget, _ = run_retry_storm("any")
    attempts_with_budget, fleet = run_retry_storm("0.2")
    assert attempts_with_budget < 0.5 * attempts_without_budget, (
        attempts_without_budget,
        attempts_with_budget,
    )
    assert fleet.nodes["n0"].client_limits.counts["repeats turned away"] > 100
    call = fleet.generate(prompt=100, output=20)
    fleet.run(1.0)
    assert call.answer == "generated"
