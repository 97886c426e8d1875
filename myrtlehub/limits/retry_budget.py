"""Retry budgets: limit the number of retries per first attempt of a tenant.

After an outage all clients retry, and retry again when they are rejected. Such a retry storm keeps the fleet
overloaded. Retry budgets prevent it: a tenant's first attempts earn bounded credit for retries, and a retry
without credit is rejected before any of it runs. Its Retry-After grows with the tenant's deficit, and is
randomized so that clients do not all retry at the same time.
"""

from collections import OrderedDict
from collections.abc import Hashable
from random import Random
from typing import NamedTuple

BURST = 20.0  # initial credit of a tenant, in retries
# Retries per second refilled while the credit is below BURST: a tenant without first attempts can retry too.
REFILL_PER_S = 2.0
MAX_CREDIT = 5.0 * BURST  # retries; limit of the credit that first attempts earn
REJECTION_COST = 0.1  # retries subtracted for a rejected retry, so that clients without backoff wait longer
MAX_TENANTS = 4096  # tenants whose credit is stored; the least recently seen one is evicted first
MAX_WAIT_GROWTH = 2.0  # largest factor by which a Retry-After exceeds that of other rejections
MIN_WAIT_SHARE = 0.5  # fraction of a Retry-After that is not randomized


class TenantCredit(NamedTuple):
    """The credit of a tenant when it was last updated."""

    retries: float  # retries that the tenant may send; negative after rejected retries
    updated_at: float


class RetryBudget:
    """The retry budgets of all tenants of one node."""

    def __init__(self, ratio: float, random: Random) -> None:
        """Create the budgets.

        Args:
            ratio: retries earned by one first attempt.
            random: randomizes the Retry-After of rejected retries.
        """
        self.ratio = ratio
        self._uniform = random.random
        self._credits: OrderedDict[Hashable, TenantCredit] = OrderedDict()  # least recently seen first

    def record_first_attempt(self, now: float, tenant: Hashable) -> None:
        """Add the credit that a first attempt earns."""
        self._store_credit(now, tenant, min(MAX_CREDIT, self._pop_credit(now, tenant) + self.ratio))

    def spend_retry(self, now: float, tenant: Hashable, max_retry_after: float) -> float | None:
        """Spend credit on a retry.

        Args:
            now: seconds.
            tenant: the tenant that retries.
            max_retry_after: the longest Retry-After of other rejections, in seconds.

        Returns:
            None if the retry is within the budget, otherwise its Retry-After in seconds.
        """
        credit = self._pop_credit(now, tenant)
        if credit >= 1.0:
            self._store_credit(now, tenant, credit - 1.0)
            return None
        credit = max(-BURST, credit - REJECTION_COST)
        self._store_credit(now, tenant, credit)
        deficit_share = min(1.0, max(0.0, 1.0 - credit) / BURST)
        growth = 1.0 + (MAX_WAIT_GROWTH - 1.0) * deficit_share
        return max_retry_after * growth * (MIN_WAIT_SHARE + (1.0 - MIN_WAIT_SHARE) * self._uniform())

    def _pop_credit(self, now: float, tenant: Hashable) -> float:
        """Remove a tenant's entry and return its current credit, including the refill."""
        credit = self._credits.pop(tenant, None) or TenantCredit(BURST, now)
        return max(credit.retries, min(BURST, credit.retries + REFILL_PER_S * (now - credit.updated_at)))

    def _store_credit(self, now: float, tenant: Hashable, retries: float) -> None:
        self._credits[tenant] = TenantCredit(retries, now)
        while len(self._credits) > MAX_TENANTS:
            self._credits.popitem(last=False)
