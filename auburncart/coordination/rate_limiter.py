"""Limits on the rate of requests of each customer."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from auburncart.state.table import Row

__all__ = ["EqualShareRateLimiter", "NoRateLimiter", "RateLimiter", "TokenBucket"]

BURST_SECONDS = 0.5  # of the rate that may arrive at once


class RateLimiter(ABC):
    """Limits customers to the ``max_rate`` of their rows."""

    @abstractmethod
    def take(self, customer: str, row: Row, now: float) -> float:
        """Count one request.

        :param now: loop time in seconds.
        :return: 0 if the request is within the rate, otherwise the seconds until it may be retried.
        """

    async def run(self) -> None:  # noqa: B027
        """Run the background work until cancelled; by default there is none."""


class NoRateLimiter(RateLimiter):
    """Limits no rate; the baseline."""

    def take(self, customer: str, row: Row, now: float) -> float:
        """Return 0."""
        return 0.0


class TokenBucket:
    """A token bucket whose rate may change, with a short burst.

    >>> bucket = TokenBucket(10.0, 0.0)
    >>> [bucket.take(0.0) for _ in range(6)]
    [0.0, 0.0, 0.0, 0.0, 0.0, 0.1]
    """

    def __init__(self, per_second: float, now: float) -> None:
        self._per_second = per_second
        self._tokens = self._max_tokens()
        self._refilled_at = now

    def set_rate(self, per_second: float, now: float) -> None:
        """Continue at another rate."""
        self._refill(now)
        self._per_second = per_second
        self._tokens = min(self._tokens, self._max_tokens())

    def take(self, now: float) -> float:
        """Take a token; return 0, or the seconds until one is available."""
        self._refill(now)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        return (1.0 - self._tokens) / max(self._per_second, 1e-3)

    def _max_tokens(self) -> float:
        return max(1.0, BURST_SECONDS * self._per_second)

    def _refill(self, now: float) -> None:
        tokens = self._tokens + (now - self._refilled_at) * self._per_second
        self._tokens = min(self._max_tokens(), tokens)
        self._refilled_at = now


class EqualShareRateLimiter(RateLimiter):
    """Gives each VM an equal share of a rate, for VMs that do not communicate.

    :param vms: returns the number of VMs that share a rate.
    """

    def __init__(self, vms: Callable[[], int]) -> None:
        self._vms = vms
        self._buckets: dict[tuple[str, str], tuple[float, TokenBucket]] = {}

    def take(self, customer: str, row: Row, now: float) -> float:
        """Count one request against this VM's share."""
        if row.max_rate <= 0:
            return 0.0
        share = row.max_rate / max(1, self._vms())
        previous, bucket = self._buckets.get((customer, row.kind)) or (0.0, TokenBucket(share, now))
        if previous != share:
            bucket.set_rate(share, now)
            self._buckets[customer, row.kind] = (share, bucket)
        return bucket.take(now)
