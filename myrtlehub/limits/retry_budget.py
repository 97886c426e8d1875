"""Retry budgets: how many retries a tenant may send for each first attempt.

After an outage all clients retry, and retry again when they are rejected. Such a retry storm keeps the fleet
overloaded. Retry budgets prevent it: a tenant's first attempts earn credit for retries, up to a bound, and a
retry without credit is rejected before any of it runs. Its Retry-After grows with the tenant's debt, and is
random so that clients do not all retry at the same time.
"""

from collections import OrderedDict
from collections.abc import Hashable
from random import Random
from typing import NamedTuple

BURST = 20.0  # initial credit of a tenant, in retries
# Retries per second by which a credit below BURST recovers: a tenant without first attempts can retry too.
REFILL_PER_S = 2.0
MAX_CREDIT = 5.0 * BURST  # retries; first attempts earn no credit beyond it
REJECTION_COST = 0.1  # retries subtracted for a rejected retry: clients that do not back off wait longer
MAX_TENANTS = 4096  # tenants whose credit is stored; the least recently seen is removed first
MAX_WAIT_GROWTH = 2.0  # largest factor by which a Retry-After exceeds that of other rejections
MIN_WAIT_SHARE = 0.5  # fraction of a Retry-After that is not random


class TenantCredit(NamedTuple):
    """The credit of a tenant as of a time."""

    retries: float  # retries that the tenant may send; negative after rejected retries
    at: float


class RetryBudget:
    """The retry budgets of all tenants of one node."""

    def __init__(self, ratio: float, random: Random) -> None:
        """Make the budgets.

        Args:
            ratio: retries that one first attempt earns.
            random: randomizes the Retry-After of rejected retries.
        """
        self.ratio = ratio
        self._draw = random.random
        self._credits: OrderedDict[Hashable, TenantCredit] = OrderedDict()  # least recently seen first

    def record_first_attempt(self, now: float, tenant: Hashable) -> None:
        """Add the credit that a first attempt earns."""
        self._put_credit(now, tenant, min(MAX_CREDIT, self._take_credit(now, tenant) + self.ratio))

    def spend_retry(self, now: float, tenant: Hashable, longest: float) -> float | None:
        """Spend credit on a retry.

        Args:
            now: seconds.
            tenant: the tenant that retries.
            longest: the longest Retry-After of other rejections, in seconds.

        Returns:
            None if the retry is within the budget, else the seconds of its Retry-After.
        """
        credit = self._take_credit(now, tenant)
        if credit >= 1.0:
            self._put_credit(now, tenant, credit - 1.0)
            return None
        credit = max(-BURST, credit - REJECTION_COST)
        self._put_credit(now, tenant, credit)
        over_budget = min(1.0, max(0.0, 1.0 - credit) / BURST)
        growth = 1.0 + (MAX_WAIT_GROWTH - 1.0) * over_budget
        return longest * growth * (MIN_WAIT_SHARE + (1.0 - MIN_WAIT_SHARE) * self._draw())

    def _take_credit(self, now: float, tenant: Hashable) -> float:
        """Remove a tenant's entry; return its credit as of now, including what has been refilled."""
        credit = self._credits.pop(tenant, None) or TenantCredit(BURST, now)
        return max(credit.retries, min(BURST, credit.retries + REFILL_PER_S * (now - credit.at)))

    def _put_credit(self, now: float, tenant: Hashable, retries: float) -> None:
        self._credits[tenant] = TenantCredit(retries, now)
        while len(self._credits) > MAX_TENANTS:
            self._credits.popitem(last=False)
