"""Retry budgets: how many retries a tenant may send for each first attempt.

After an outage every client retries, and what is rejected is retried once more: a retry storm, which keeps
the fleet overloaded. A tenant's first attempts earn credit for retries, up to a bound. A retry without credit
is rejected before anything runs. Its Retry-After grows with the tenant's debt, and is random so that clients
do not return together.
"""

from collections import OrderedDict
from collections.abc import Hashable
from random import Random
from typing import NamedTuple

BURST = 20.0  # retries that a tenant may send in addition to those that its first attempts earn
REFILL_PER_S = 2.0  # retries of the burst that come back, so that a client without first attempts can retry
MAX_CREDIT = 5.0 * BURST  # retries up to which first attempts earn credit
REJECTION_COST = 0.1  # credit that a rejected retry costs: a client that retries without a pause waits longer
MAX_TENANTS = 4096  # tenants that are remembered; the least recently seen is forgotten first
MAX_WAIT_GROWTH = 2.0  # factor by which a Retry-After can exceed the longest wait of other rejections
MIN_WAIT_SHARE = 0.5  # share of the wait that is not random


class TenantCredit(NamedTuple):
    """The credit of a tenant at a time."""

    retries: float  # that it may send; below 0 after rejected retries
    at: float


class RetryBudget:
    """The retry budgets of all tenants of one node."""

    def __init__(self, ratio: float, random: Random) -> None:
        """Make the budgets.

        Args:
            ratio: retries that one first attempt earns.
            random: spreads the Retry-After of rejected retries.
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
        """Remove a tenant's entry and return its credit as of now."""
        credit = self._credits.pop(tenant, None) or TenantCredit(BURST, now)
        return max(credit.retries, min(BURST, credit.retries + REFILL_PER_S * (now - credit.at)))

    def _put_credit(self, now: float, tenant: Hashable, retries: float) -> None:
        self._credits[tenant] = TenantCredit(retries, now)
        while len(self._credits) > MAX_TENANTS:
            self._credits.popitem(last=False)
