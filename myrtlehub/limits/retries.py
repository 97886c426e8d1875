"""Retry budgets: how many repeated tries a tenant may send for each first one. Pure, driven by times.

After an outage every client comes again, and what comes again is refused and comes once more: the storm is
what keeps the fleet down. A tenant's first tries earn repeats, up to a bound that is forgotten when nothing
comes; a repeat without credit is turned away at the door, nothing runs, and its wait grows with how far over
the budget the tenant is, spread so that clients do not come back together.
"""

from collections import OrderedDict
from collections.abc import Hashable
from random import Random

BURST = 20.0  # repeats that a tenant may send beside what its first tries earn
REFILL = 2.0  # of these a second, so that a lone client is never shut out
TENANTS = 4096  # at most; the one that has longest not come goes first
GROWTH = 2.0  # times the longest wait, at most


class RetryBudget:
    """One node's."""

    def __init__(self, ratio: float, random: Random) -> None:
        """`ratio`: repeats a first try, on the long run."""
        self.ratio, self._draw = ratio, random.random
        self._rows: OrderedDict[Hashable, tuple[float, float]] = OrderedDict()  # credit, when

    def _credit(self, now: float, tenant: Hashable) -> float:
        credit, at = self._rows.pop(tenant, (BURST, now))
        return max(credit, min(BURST, credit + REFILL * (now - at)))

    def _keep(self, tenant: Hashable, credit: float, now: float) -> None:
        self._rows[tenant] = (credit, now)
        while len(self._rows) > TENANTS:
            self._rows.popitem(last=False)

    def first(self, now: float, tenant: Hashable) -> None:
        """A first try came."""
        self._keep(tenant, min(5.0 * BURST, self._credit(now, tenant) + self.ratio), now)

    def repeat(self, now: float, tenant: Hashable, longest: float) -> float | None:
        """A repeated try came: None, it may go on; else seconds after which it may come once more."""
        credit = self._credit(now, tenant)
        if credit >= 1.0:
            self._keep(tenant, credit - 1.0, now)
            return None
        # Repeats that are turned away cost a little too: who hammers waits longer.
        credit = max(-BURST, credit - 0.1)
        self._keep(tenant, credit, now)
        over = 1.0 + (GROWTH - 1.0) * min(1.0, max(0.0, 1.0 - credit) / BURST)
        return longest * over * (0.5 + 0.5 * self._draw())
