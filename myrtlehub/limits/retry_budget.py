"""Retry budgets: how many retries a tenant may send for each first attempt.

After an outage every client retries, and what is rejected is retried once more: this retry storm keeps the
fleet down. A tenant's first attempts earn retries, up to a bound that is forgotten when nothing arrives. A
retry without credit is rejected before anything runs, and its Retry-After grows with how far over the budget
the tenant is, drawn at random so that clients do not return together.
"""

from collections import OrderedDict
from collections.abc import Hashable
from random import Random
from typing import NamedTuple

BURST = 20.0  # retries that a tenant may send beside what its first attempts earn
REFILL_PER_S = 2.0  # of these, so that a lone client is never shut out
MAX_CREDIT = 5.0 * BURST  # that first attempts may earn
REJECTION_COST = 0.1  # rejected retries cost a little too: who hammers waits longer
MAX_TENANTS = 4096  # remembered; the least recently seen is forgotten first
MAX_WAIT_GROWTH = 2.0  # times the longest wait
MIN_WAIT_SHARE = 0.5  # of the wait, that is not drawn at random


class TenantCredit(NamedTuple):
    """Retries that a tenant may send, as of a time."""

    retries: float
    at: float


class RetryBudget:
    """The retry budgets of one node."""

    def __init__(self, ratio: float, random: Random) -> None:
        """`ratio`: retries for each first attempt, in the long run."""
        self.ratio = ratio
        self._draw = random.random
        self._credits: OrderedDict[Hashable, TenantCredit] = OrderedDict()  # least recently seen first

    def _take_credit(self, now: float, tenant: Hashable) -> float:
        credit = self._credits.pop(tenant, None) or TenantCredit(BURST, now)
        return max(credit.retries, min(BURST, credit.retries + REFILL_PER_S * (now - credit.at)))

    def _put_credit(self, now: float, tenant: Hashable, retries: float) -> None:
        self._credits[tenant] = TenantCredit(retries, now)
        while len(self._credits) > MAX_TENANTS:
            self._credits.popitem(last=False)

    def record_first_attempt(self, now: float, tenant: Hashable) -> None:
        """Earn credit for a first attempt."""
        self._put_credit(now, tenant, min(MAX_CREDIT, self._take_credit(now, tenant) + self.ratio))

    def spend_retry(self, now: float, tenant: Hashable, longest: float) -> float | None:
        """Spend credit on a retry; None if it may go on, else its Retry-After in seconds."""
        credit = self._take_credit(now, tenant)
        if credit >= 1.0:
            self._put_credit(now, tenant, credit - 1.0)
            return None
        credit = max(-BURST, credit - REJECTION_COST)
        self._put_credit(now, tenant, credit)
        over_budget = min(1.0, max(0.0, 1.0 - credit) / BURST)
        growth = 1.0 + (MAX_WAIT_GROWTH - 1.0) * over_budget
        return longest * growth * (MIN_WAIT_SHARE + (1.0 - MIN_WAIT_SHARE) * self._draw())
