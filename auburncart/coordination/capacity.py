"""Limits on the sub-queries that this VM has in flight, by rank."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Collection, Mapping
from typing import NamedTuple

from auburncart.coordination.latency_meter import LatencyMeter
from auburncart.state.work import Rank

__all__ = ["DEFAULT_TOLERANCE", "AdaptiveCapacity", "Capacity", "FixedCapacity", "Sample"]

MIN_SUB_QUERIES = 4.0
MIN_LIMIT_SHARE = 0.25  # share of the initial limit that every limit keeps
MAX_SUB_QUERIES = 20_000.0
DEFAULT_TOLERANCE = 1.1  # latency ratio above which a limit shrinks
GROWTH_SHARE = 0.05  # share of the initial limit by which a limit grows in each round
WARM_UP_SEARCHES = 20  # before a limit grows, since new connections slow the first searches
MIN_SHRINK_FACTOR = 0.7  # of a limit in one round
BUSY_SHARE = 0.5  # share of a limit in use above which it counts as used


class Sample(NamedTuple):
    """What one search measured of the upstreams.

    :param kind: kind of work.
    :param seconds: time after which half of its shards had answered.
    :param cost: number of its sub-queries.
    :param in_use: sub-queries of each rank and of more urgent ranks that were in flight when it
        started, without its own.
    :param queued: ranks that have requests in the queue.
    """

    kind: str
    seconds: float
    cost: int
    in_use: Mapping[Rank, float]
    queued: Collection[Rank] = ()


class Capacity(ABC):
    """Limits on the sub-queries in flight."""

    @property
    @abstractmethod
    def sub_query_seconds(self) -> float:
        """Typical time of a sub-query in seconds, 0 before the first."""

    @abstractmethod
    def limit(self, rank: Rank) -> float:
        """Return the maximum number of sub-queries in flight of a rank and more urgent ranks."""

    @abstractmethod
    def record(self, sample: Sample, now: float) -> None:
        """Record what one search measured.

        :param now: loop time in seconds.
        """


class FixedCapacity(Capacity):
    """Limits that never change.

    :param max_sub_queries: maximum number of sub-queries in flight.
    :param sub_query_seconds: typical time of a sub-query.
    """

    def __init__(self, max_sub_queries: float, sub_query_seconds: float) -> None:
        self._max_sub_queries = max_sub_queries
        self._sub_query_seconds = sub_query_seconds

    @property
    def sub_query_seconds(self) -> float:
        """Typical time of a sub-query in seconds."""
        return self._sub_query_seconds

    def limit(self, rank: Rank) -> float:
        """Return the same limit for each rank."""
        return self._max_sub_queries

    def record(self, sample: Sample, now: float) -> None:
        """Ignore the sample."""


class AdaptiveCapacity(Capacity):
    """Limits that shrink when sub-queries take longer than on idle upstreams.

    Each rank has its own limit. The limit that shrinks is that of the least urgent rank with
    work in flight. A more urgent rank's limit shrinks only when those of less urgent ranks are
    at their minimum, so that a flood of background work takes no capacity from urgent work.

    :param initial_limit: returns the limit to start from, such as this VM's share of all slots;
        called until it returns a number above 0.
    :param tolerance: ratio of the current sub-query time to the time without load, above which a
        limit shrinks; a lower ratio keeps urgent work faster, a higher one admits more of the
        rest.
    """

    def __init__(
        self, initial_limit: Callable[[], float], tolerance: float = DEFAULT_TOLERANCE
    ) -> None:
        self._initial_limit = initial_limit
        self._tolerance = tolerance
        self._meter = LatencyMeter()
        self._limits: dict[Rank, float] = {}
        self._peaks = dict.fromkeys(Rank, 0.0)
        self._searches = 0
        self._round_cost = 0.0

    @property
    def sub_query_seconds(self) -> float:
        """Typical time of a sub-query in seconds, 0 before the first."""
        return self._meter.seconds

    @property
    def ratio(self) -> float:
        """Smoothed ratio of the current sub-query time to the time without load."""
        return self._meter.ratio

    def limit(self, rank: Rank) -> float:
        """Return the maximum number of sub-queries in flight of a rank and more urgent ranks."""
        if not self._limits and self._initial_limit() > 0:
            self._limits = dict.fromkeys(Rank, max(MIN_SUB_QUERIES, self._initial_limit()))
        return self._limits.get(rank, MIN_SUB_QUERIES)

    def record(self, sample: Sample, now: float) -> None:
        """Record a search; a round ends after as many sub-queries as the background limit."""
        limit = self.limit(Rank.BACKGROUND)
        idle = sample.in_use[Rank.BACKGROUND] < BUSY_SHARE * limit
        idle = idle or all(self.limit(rank) <= self._min_limit() for rank in Rank)
        weight = min(1.0, sample.cost / limit)
        self._meter.record(sample.kind, sample.seconds, weight, idle, now)
        self._searches += 1
        self._round_cost += sample.cost
        for rank in Rank:
            self._peaks[rank] = max(self._peaks[rank], sample.in_use[rank] + sample.cost)
        if self._round_cost >= limit:
            self._end_round(sample)

    def _end_round(self, sample: Sample) -> None:
        factor = max(MIN_SHRINK_FACTOR, min(1.0, self._tolerance / self._meter.ratio))
        shrinking = self._rank_to_shrink(sample.in_use) if factor < 1.0 else None
        for rank in Rank:
            limit = self.limit(rank)
            if rank is shrinking:
                limit *= factor
            if self._may_grow(rank, shrinking, sample):
                limit += GROWTH_SHARE * self._initial_limit()
            self._limits[rank] = min(MAX_SUB_QUERIES, max(self._min_limit(), limit))
        self._peaks = dict.fromkeys(Rank, 0.0)
        self._round_cost = 0.0

    def _may_grow(self, rank: Rank, shrinking: Rank | None, sample: Sample) -> bool:
        """Return whether a limit was used and its rank did not cause the upstreams' queues."""
        if self._searches <= WARM_UP_SEARCHES or self._peaks[rank] < BUSY_SHARE * self.limit(rank):
            return False
        return shrinking in (None, rank) or (rank < shrinking and rank not in sample.queued)

    def _rank_to_shrink(self, in_use: Mapping[Rank, float]) -> Rank:
        """Return the least urgent rank that has work in flight and is above its minimum."""
        for rank in reversed(Rank):
            urgent = in_use[Rank(rank - 1)] if rank else 0.0
            if in_use[rank] > urgent and self.limit(rank) > self._min_limit():
                return rank
        return Rank.URGENT

    def _min_limit(self) -> float:
        return max(MIN_SUB_QUERIES, MIN_LIMIT_SHARE * self._initial_limit())
