"""When a second replica is asked while the first still works."""

from abc import ABC, abstractmethod

from auburncart.coordination.upstream import Upstream
from auburncart.state import Rank

__all__ = ["Hedging", "NoHedging"]


class Hedging(ABC):
    """Decides after how long to hedge, and whether the budget allows it."""

    @abstractmethod
    def delay(self, rank: Rank, upstream: Upstream) -> float | None:
        """Return seconds to wait for ``upstream`` before hedging, or None for never."""

    @abstractmethod
    def allow(self, rank: Rank) -> bool:
        """Spend one hedge of the budget; False if the budget is used up."""

    @abstractmethod
    def record_sent(self, count: int) -> None:
        """Count first tries, from which the budget grows."""

    @abstractmethod
    def record_latency(self, upstream: Upstream, seconds: float) -> None:
        """Take in the time of one answered sub-query."""


class NoHedging(Hedging):
    """Never asks a second replica; the baseline."""

    def delay(self, rank: Rank, upstream: Upstream) -> float | None:
        """Return None."""
        return None

    def allow(self, rank: Rank) -> bool:
        """Return False."""
        return False

    def record_sent(self, count: int) -> None:
        """Ignore the count."""

    def record_latency(self, upstream: Upstream, seconds: float) -> None:
        """Ignore the time."""
