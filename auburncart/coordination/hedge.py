"""When a second replica is asked while the first has not answered yet."""

import asyncio
from abc import ABC, abstractmethod
from typing import NamedTuple

from auburncart.coordination.latency import RecentLatency
from auburncart.coordination.upstream import Upstream
from auburncart.state.work import Rank

__all__ = ["AdaptiveHedging", "Hedging", "NoHedging"]

HEDGE_RATIO = 0.05  # tokens for each first attempt
INITIAL_TOKENS = 10.0
MAX_TOKENS = 50.0
HEDGE_PERCENTILE = 96.0
MIN_DELAY_SECONDS = 0.002

# Share of MAX_TOKENS that a rank leaves to those above it.
RESERVED_SHARES = {Rank.URGENT: 0.0, Rank.NORMAL: 0.1, Rank.BACKGROUND: 0.3}


class Hedging(ABC):
    """Decides after how long to hedge, and whether the budget allows it."""

    @abstractmethod
    def delay(self, rank: Rank, upstream: Upstream) -> float | None:
        """Return seconds to wait for ``upstream`` before hedging, or None for never."""

    @abstractmethod
    def allow(self, rank: Rank, target: Upstream) -> bool:
        """Spend one hedge of the budget; False if it is used up or ``target`` is too busy."""

    @abstractmethod
    def allows_move(self, target: Upstream) -> bool:
        """Return whether a job that is still queued may move to ``target``."""

    @abstractmethod
    def record_sent(self, count: int) -> None:
        """Count first attempts, from which the budget grows."""

    @abstractmethod
    def record_latency(self, rank: Rank, upstream: Upstream, seconds: float) -> None:
        """Record the time of one sub-query from entering the queue to its answer.

        For a sub-query that was cancelled it is the time until then.
        """


class NoHedging(Hedging):
    """Never asks a second replica; the baseline."""

    def delay(self, rank: Rank, upstream: Upstream) -> float | None:
        """Return None."""
        return None

    def allow(self, rank: Rank, target: Upstream) -> bool:
        """Return False."""
        return False

    def allows_move(self, target: Upstream) -> bool:
        """Return False."""
        return False

    def record_sent(self, count: int) -> None:
        """Ignore the count."""

    def record_latency(self, rank: Rank, upstream: Upstream, seconds: float) -> None:
        """Ignore the time."""


class _LatencyClass(NamedTuple):
    """Upstreams of the same size and place, whose latencies are recorded together."""

    rank: Rank
    data_centre: str
    slots: int
    batch_limit: int


class AdaptiveHedging(Hedging):
    """Hedges after a high percentile of recent latencies, within a token budget.

    :param ratio: tokens for each first attempt.
    :param percentile: percentile of recent latencies after which to hedge.
    """

    def __init__(self, ratio: float = HEDGE_RATIO, percentile: float = HEDGE_PERCENTILE) -> None:
        self._ratio = ratio
        self._percentile = percentile
        self._tokens = INITIAL_TOKENS
        self._recent: dict[_LatencyClass, RecentLatency] = {}

    def delay(self, rank: Rank, upstream: Upstream) -> float | None:
        """Return the percentile for upstreams of this class, None if there are too few values."""
        recent = self._recent.get(_class_of(rank, upstream))
        if recent is None:
            return None
        seconds = recent.percentile(self._percentile, asyncio.get_running_loop().time())
        return None if seconds is None else max(seconds, MIN_DELAY_SECONDS)

    def allow(self, rank: Rank, target: Upstream) -> bool:
        """Spend a token if the target starts at once and the rank may take one."""
        if not target.has_capacity or self._tokens < 1.0 + RESERVED_SHARES[rank] * MAX_TOKENS:
            return False
        self._tokens -= 1.0
        return True

    def allows_move(self, target: Upstream) -> bool:
        """Return whether the target starts at once; a move costs no upstream anything."""
        return target.has_capacity

    def record_sent(self, count: int) -> None:
        """Let the budget grow."""
        self._tokens = min(MAX_TOKENS, self._tokens + count * self._ratio)

    def record_latency(self, rank: Rank, upstream: Upstream, seconds: float) -> None:
        """Add a latency to those of the upstream's class."""
        latency_class = _class_of(rank, upstream)
        recent = self._recent.get(latency_class)
        if recent is None:
            recent = self._recent[latency_class] = RecentLatency()
        recent.record(seconds, asyncio.get_running_loop().time())


def _class_of(rank: Rank, upstream: Upstream) -> _LatencyClass:
    replica = upstream.replica
    return _LatencyClass(rank, replica.data_centre, replica.slots, replica.batch_limit)
