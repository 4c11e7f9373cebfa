"""When a second replica is asked while the first still works."""

import asyncio
from abc import ABC, abstractmethod
from typing import NamedTuple

from auburncart.coordination.latency import RecentLatency
from auburncart.coordination.upstream import Upstream
from auburncart.state.work import Rank

__all__ = ["AdaptiveHedging", "Hedging", "NoHedging"]

HEDGE_RATIO = 0.05  # hedges for each first try
HEDGE_RESERVE = 10.0  # tokens at the start
MAX_TOKENS = 50.0
HEDGE_PERCENTILE = 96.0
SHORTEST_DELAY_SECONDS = 0.002

# Tokens that a rank leaves to those above it, as a share of the most that there can be.
KEPT_BY_RANK = {Rank.URGENT: 0.0, Rank.NORMAL: 0.1, Rank.BACKGROUND: 0.3}


class Hedging(ABC):
    """Decides after how long to hedge, and whether the budget allows it."""

    @abstractmethod
    def delay(self, rank: Rank, upstream: Upstream) -> float | None:
        """Return seconds to wait for ``upstream`` before hedging, or None for never."""

    @abstractmethod
    def allow(self, rank: Rank, target: Upstream) -> bool:
        """Spend one hedge of the budget; False if it is used up or ``target`` is too busy."""

    @abstractmethod
    def moves(self, target: Upstream) -> bool:
        """Return whether a job that still waits in a queue is moved to ``target``."""

    @abstractmethod
    def record_sent(self, count: int) -> None:
        """Count first tries, from which the budget grows."""

    @abstractmethod
    def record_latency(self, rank: Rank, upstream: Upstream, seconds: float) -> None:
        """Take in the time of one sub-query from its queue to its answer.

        For a sub-query that was given up it is the time until then.
        """


class NoHedging(Hedging):
    """Never asks a second replica; the baseline."""

    def delay(self, rank: Rank, upstream: Upstream) -> float | None:
        """Return None."""
        return None

    def allow(self, rank: Rank, target: Upstream) -> bool:
        """Return False."""
        return False

    def moves(self, target: Upstream) -> bool:
        """Return False."""
        return False

    def record_sent(self, count: int) -> None:
        """Ignore the count."""

    def record_latency(self, rank: Rank, upstream: Upstream, seconds: float) -> None:
        """Ignore the time."""


class _Class(NamedTuple):
    """Upstreams of one shape and place, whose times are taken together."""

    rank: Rank
    data_centre: str
    slots: int
    batch_limit: int


class AdaptiveHedging(Hedging):
    """Hedges after a high percentile of recent times, within a token budget.

    :param ratio: tokens for each first try.
    :param percentile: percentile of recent times after which to hedge.
    """

    def __init__(self, ratio: float = HEDGE_RATIO, percentile: float = HEDGE_PERCENTILE) -> None:
        self._ratio = ratio
        self._percentile = percentile
        self._tokens = HEDGE_RESERVE
        self._recent: dict[_Class, RecentLatency] = {}

    def delay(self, rank: Rank, upstream: Upstream) -> float | None:
        """Return the percentile of the times of upstreams of this class, None if too few."""
        recent = self._recent.get(_class_of(rank, upstream))
        if recent is None:
            return None
        seconds = recent.percentile(self._percentile, asyncio.get_running_loop().time())
        return None if seconds is None else max(seconds, SHORTEST_DELAY_SECONDS)

    def allow(self, rank: Rank, target: Upstream) -> bool:
        """Spend a token if the target starts at once and the rank may take one."""
        if not target.free or self._tokens < 1.0 + KEPT_BY_RANK[rank] * MAX_TOKENS:
            return False
        self._tokens -= 1.0
        return True

    def moves(self, target: Upstream) -> bool:
        """Return whether the target starts at once; a move costs no upstream anything."""
        return target.free

    def record_sent(self, count: int) -> None:
        """Let the budget grow."""
        self._tokens = min(MAX_TOKENS, self._tokens + count * self._ratio)

    def record_latency(self, rank: Rank, upstream: Upstream, seconds: float) -> None:
        """Add a time to those of its class."""
        name = _class_of(rank, upstream)
        recent = self._recent.get(name)
        if recent is None:
            recent = self._recent[name] = RecentLatency()
        recent.record(seconds, asyncio.get_running_loop().time())


def _class_of(rank: Rank, upstream: Upstream) -> _Class:
    replica = upstream.replica
    return _Class(rank, replica.data_centre, replica.slots, replica.batch_limit)
