"""Retry budgets: what a retry storm may cost, and that nobody is shut out."""

from collections import Counter
from random import Random

from fleet import Caller, Fleet
from hypothesis import given
from hypothesis import strategies as st
from test_request_path import assert_nothing_left, assert_rules_kept

from myrtlehub.limits import retry_budget
from myrtlehub.limits.retry_budget import RetryBudget

ATTEMPTS = st.lists(st.tuples(st.booleans(), st.sampled_from("ab"), st.floats(0.0, 0.5)), max_size=300)


@given(ATTEMPTS, st.sampled_from([0.0, 0.2, 1.0]))
def test_admitted_retries_are_bounded_by_what_first_attempts_earned(attempts: list, ratio: float) -> None:
    budget, now = RetryBudget(ratio, Random(1)), 0.0
    first, admitted = Counter(), Counter()
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


def test_retry_after_grows_under_load_and_a_lone_client_is_never_shut_out() -> None:
    budget = RetryBudget(0.2, Random(1))
    for _ in range(int(retry_budget.BURST)):
        assert budget.spend_retry(0.0, "t", 2.0) is None
    waits = [budget.spend_retry(0.0, "t", 2.0) for _ in range(200)]
    assert sum(waits[:20]) < sum(waits[-20:]) and len(set(waits)) > 190  # and spread
    assert budget.spend_retry(0.0, "other", 2.0) is None
    assert budget.spend_retry(15.0, "t", 2.0) is None
    for i in range(5000):
        budget.record_first_attempt(20.0, f"t{i}")
    assert len(budget._credits) == retry_budget.MAX_TENANTS


def storm(ratio: str) -> tuple[float, Fleet]:
    """Count attempts at engines for each first one, while two writers are down for 3 s and clients retry."""
    f = Fleet("W0 W0", slots=20, step="5ms", more=f"limits: {{retries: {ratio}}}")
    for name in f.stands:
        f.misbehave(name, "refuse", factor=1.0, seconds=3.0)
    f.run(0.05)
    asked: list[tuple[Caller, int, float]] = []
    again: list[tuple[float, int]] = []
    firsts = 0
    while f.clock.seconds() < 1010.0:
        now = f.clock.seconds()
        if now < 1006.0:
            asked.append((f.ask(prompt=100, output=20, left=1.2), 0, now))
            firsts += 1
        for when, tries in [a for a in again if a[0] <= now]:
            again.remove((when, tries))
            asked.append((f.ask(prompt=100, output=20, left=1.2, repeated=True), tries, now))
        for caller, tries, _ in [a for a in asked if a[0].answer]:
            asked = [a for a in asked if a[0] is not caller]
            if caller.answer != "generated" and tries < 8:
                again.append((now + 0.05, tries + 1))  # a client that does not heed the wait
        f.run(0.02)
    f.run(6.0)
    assert_rules_kept(f)
    assert_nothing_left(f)
    return len(f.what("got")) / firsts, f


def test_a_retry_storm_after_an_outage_is_bounded() -> None:
    without, _ = storm("any")
    with_it, f = storm("0.2")
    assert with_it < 0.5 * without, (without, with_it)
    assert f.nodes["n0"].client_limits.counts["repeats turned away"] > 100
    c = f.ask(prompt=100, output=20)
    f.run(1.0)
    assert c.answer == "generated"
