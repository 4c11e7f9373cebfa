"""Budget for the extra requests that hedges and retries send to a service."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

__all__ = ["BudgetBounds", "RetryBudget"]

BUCKETS = 10  # in a window: requests are counted to a tenth of it
RESERVED_SHARE = 0.5  # of the slack, for requests that cannot do without an extra one
USED_SHARE = 0.85  # of the bounds: the windows of different VMs are offset by up to a bucket


class BudgetBounds(NamedTuple):
    """Bounds on the extra requests of all VMs together to one service.

    :param ratio: extra requests for each caller's request.
    :param slack: extra requests in addition to that.
    :param window: seconds over which requests are counted.
    """

    ratio: float = 0.2
    slack: float = 50.0
    window: float = 10.0


class _Bucket(NamedTuple):
    start: float
    requests: int
    extras: int


class RetryBudget:
    """This VM's share of the bounds, for each service.

    :param bounds: bounds of all VMs together.
    :param share: returns this VM's share of the slack for a service.
    """

    def __init__(self, bounds: BudgetBounds, share: Callable[[str], float]) -> None:
        self._bounds = bounds
        self._share = share
        self._services: dict[str, deque[_Bucket]] = {}
        self._started_at = asyncio.get_running_loop().time()

    @property
    def min_remaining(self) -> float:
        """Extra requests left for the service with the fewest, infinity without services."""
        return min(map(self.remaining, self._services), default=float("inf"))

    def record_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        self._count(service, 1, 0)

    def remaining(self, service: str) -> float:
        """Return the number of extra requests that may be sent now."""
        buckets = self._recent(service)
        requests = sum(bucket.requests for bucket in buckets)
        extras = sum(bucket.extras for bucket in buckets)
        return USED_SHARE * (self._bounds.ratio * requests + self._slack(service)) - extras

    def reserve(self, service: str) -> float:
        """Return the number of extra requests to leave for those that need them most."""
        return RESERVED_SHARE * USED_SHARE * self._slack(service)

    def spend(self, service: str) -> bool:
        """Count an extra request if the budget allows it."""
        if self.remaining(service) < 1.0:
            return False
        self._count(service, 0, 1)
        return True

    def _slack(self, service: str) -> float:
        """Return this VM's slack: none at first, since the previous process may have spent it."""
        uptime = asyncio.get_running_loop().time() - self._started_at
        if uptime < self._bounds.window:
            return 0.0
        return self._bounds.slack * self._share(service)

    def _count(self, service: str, requests: int, extras: int) -> None:
        buckets = self._recent(service)
        now = asyncio.get_running_loop().time()
        if buckets and now - buckets[-1].start < self._bounds.window / BUCKETS:
            last = buckets.pop()
            requests += last.requests
            extras += last.extras
            now = last.start
        buckets.append(_Bucket(now, requests, extras))

    def _recent(self, service: str) -> deque[_Bucket]:
        buckets = self._services.setdefault(service, deque())
        # One bucket more than the window, so that no extra request is dropped too early.
        oldest = asyncio.get_running_loop().time() - self._bounds.window * (1.0 + 1.0 / BUCKETS)
        while buckets and buckets[0].start < oldest:
            buckets.popleft()
        return buckets
