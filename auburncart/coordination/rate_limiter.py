"""How many requests of a customer are let in each second."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from auburncart.state.table import Row

__all__ = ["EqualShareRateLimiter", "NoRateLimiter", "RateLimiter", "TokenBucket"]

BURST_SECONDS = 0.5  # of the rate that may come at once


class RateLimiter(ABC):
    """Keeps customers to the ``max_rate`` of their rows."""

    @abstractmethod
    def take(self, customer: str, row: Row, now: float) -> float:
        """Count one request.

        :param now: loop time in seconds.
        :return: 0 if it may go on, otherwise the seconds after which a new try makes sense.
        """

    async def run(self) -> None:  # noqa: B027
        """Do what has to be done in the background until cancelled; by default nothing."""


class NoRateLimiter(RateLimiter):
    """Sets no limit; the baseline."""

    def take(self, customer: str, row: Row, now: float) -> float:
        """Return 0."""
        return 0.0


class TokenBucket:
    """Lets requests through at a rate that may change, with a short burst.

    >>> bucket = TokenBucket(10.0, 0.0)
    >>> [bucket.take(0.0) for _ in range(6)]
    [0.0, 0.0, 0.0, 0.0, 0.0, 0.1]
    """

    def __init__(self, per_second: float, now: float) -> None:
        self._per_second = per_second
        self._tokens = self._most()
        self._at = now

    def change(self, per_second: float, now: float) -> None:
        """Go on at another rate."""
        self._refill(now)
        self._per_second = per_second
        self._tokens = min(self._tokens, self._most())

    def take(self, now: float) -> float:
        """Take a token; return 0, or the seconds until there is one."""
        self._refill(now)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        return (1.0 - self._tokens) / max(self._per_second, 1e-3)

    def _most(self) -> float:
        return max(1.0, BURST_SECONDS * self._per_second)

    def _refill(self, now: float) -> None:
        grown = self._tokens + (now - self._at) * self._per_second
        self._tokens = min(self._most(), grown)
        self._at = now


class EqualShareRateLimiter(RateLimiter):
    """Gives each VM an equal part of a rate, where VMs do not hear of each other.

    :param vms: returns the number of VMs that share a rate.
    """

    def __init__(self, vms: Callable[[], int]) -> None:
        self._vms = vms
        self._buckets: dict[tuple[str, str], tuple[float, TokenBucket]] = {}

    def take(self, customer: str, row: Row, now: float) -> float:
        """Count one request against this VM's part."""
        if row.max_rate <= 0:
            return 0.0
        part = row.max_rate / max(1, self._vms())
        known, bucket = self._buckets.get((customer, row.kind)) or (0.0, TokenBucket(part, now))
        if known != part:
            bucket.change(part, now)
            self._buckets[customer, row.kind] = (part, bucket)
        return bucket.take(now)
