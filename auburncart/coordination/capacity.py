"""How many sub-queries of this VM the upstreams can bear at the same time."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Collection, Mapping
from typing import NamedTuple

from auburncart.coordination.load_meter import LoadMeter
from auburncart.state.work import Rank

__all__ = ["DEFAULT_TOLERANCE", "AdaptiveCapacity", "Capacity", "FixedCapacity", "Sample"]

MIN_SUB_QUERIES = 4.0
MIN_SHARE = 0.25  # of the initial limit, which a limit never falls below
MAX_SUB_QUERIES = 20_000.0
DEFAULT_TOLERANCE = 1.1  # default of the ratio of times above which a limit shrinks
GROWTH = 0.05  # share of the initial limit by which a limit grows in each round
WARM_UP_SEARCHES = 20  # before a limit grows, since new connections slow the first ones
MOST_SHRINK = 0.7  # least factor of one round
BUSY_SHARE = 0.5  # share of a limit in use above which it counts as used


class Sample(NamedTuple):
    """What one search tells of the upstreams.

    :param kind: kind of work.
    :param seconds: time after which half of its shards had answered.
    :param cost: number of its sub-queries.
    :param in_use: sub-queries at work when it started, its own not counted, of each rank and of
        more urgent ones.
    :param queued: ranks of which requests wait.
    """

    kind: str
    seconds: float
    cost: int
    in_use: Mapping[Rank, float]
    queued: Collection[Rank] = ()


class Capacity(ABC):
    """Limits on the sub-queries at work, which follow what is measured."""

    @property
    @abstractmethod
    def seconds(self) -> float:
        """Typical time of a sub-query in seconds, 0 before the first."""

    @abstractmethod
    def limit(self, rank: Rank) -> float:
        """Return the most sub-queries of a rank and of more urgent ones at work."""

    @abstractmethod
    def record(self, sample: Sample, now: float) -> None:
        """Take in what one search has measured.

        :param now: loop time in seconds.
        """


class FixedCapacity(Capacity):
    """Limits that never change.

    :param most: most sub-queries at work.
    :param seconds: typical time of a sub-query.
    """

    def __init__(self, most: float, seconds: float) -> None:
        self._most = most
        self._seconds = seconds

    @property
    def seconds(self) -> float:
        """Typical time of a sub-query in seconds."""
        return self._seconds

    def limit(self, rank: Rank) -> float:
        """Return the same for each rank."""
        return self._most

    def record(self, sample: Sample, now: float) -> None:
        """Take in the time, which changes nothing."""


class AdaptiveCapacity(Capacity):
    """Limits that fall when sub-queries take longer than on idle upstreams.

    Each rank has a limit of its own. The limit that falls is that of the least urgent rank that
    has work; a more urgent rank's falls only when those below are at their least, so that a
    flood of background work takes no capacity from urgent work.

    :param initial: returns the limit to start from, such as this VM's share of all slots; it is
        called until it returns a number above 0.
    :param tolerance: ratio of the present time to the time without load above which a limit
        falls; a lower one keeps urgent work faster, a higher one serves more of the rest.
    """

    def __init__(self, initial: Callable[[], float], tolerance: float = DEFAULT_TOLERANCE) -> None:
        self._initial = initial
        self._tolerance = tolerance
        self._meter = LoadMeter()
        self._limits: dict[Rank, float] = {}
        self._peaks = dict.fromkeys(Rank, 0.0)
        self._searches = 0
        self._round = 0.0

    @property
    def seconds(self) -> float:
        """Typical time of a sub-query in seconds, 0 before the first."""
        return self._meter.seconds

    @property
    def ratio(self) -> float:
        """Smoothed ratio of the present time to the time without load."""
        return self._meter.ratio

    def limit(self, rank: Rank) -> float:
        """Return the most sub-queries of a rank and of more urgent ones at work."""
        if not self._limits and self._initial() > 0:
            self._limits = dict.fromkeys(Rank, max(MIN_SUB_QUERIES, self._initial()))
        return self._limits.get(rank, MIN_SUB_QUERIES)

    def record(self, sample: Sample, now: float) -> None:
        """Take in what one search has measured; a round ends after a limit of sub-queries."""
        limit = self.limit(Rank.BACKGROUND)
        idle = sample.in_use[Rank.BACKGROUND] < BUSY_SHARE * limit
        idle = idle or all(self.limit(rank) <= self._least() for rank in Rank)
        weight = min(1.0, sample.cost / limit)
        self._meter.record(sample.kind, sample.seconds, weight, idle, now)
        self._searches += 1
        self._round += sample.cost
        for rank in Rank:
            self._peaks[rank] = max(self._peaks[rank], sample.in_use[rank] + sample.cost)
        if self._round >= limit:
            self._end_round(sample)

    def _end_round(self, sample: Sample) -> None:
        factor = max(MOST_SHRINK, min(1.0, self._tolerance / self._meter.ratio))
        falling = self._falling(sample.in_use) if factor < 1.0 else None
        for rank in Rank:
            limit = self.limit(rank)
            if rank is falling:
                limit *= factor
            if self._grows(rank, falling, sample):
                limit += GROWTH * self._initial()
            self._limits[rank] = min(MAX_SUB_QUERIES, max(self._least(), limit))
        self._peaks = dict.fromkeys(Rank, 0.0)
        self._round = 0.0

    def _grows(self, rank: Rank, falling: Rank | None, sample: Sample) -> bool:
        """Return whether a limit was used and the upstreams' queues are not of its making."""
        if self._searches <= WARM_UP_SEARCHES or self._peaks[rank] < BUSY_SHARE * self.limit(rank):
            return False
        return falling in (None, rank) or (rank < falling and rank not in sample.queued)

    def _falling(self, in_use: Mapping[Rank, float]) -> Rank:
        """Return the least urgent rank that has work and is not at its least."""
        for rank in reversed(Rank):
            urgent = in_use[Rank(rank - 1)] if rank else 0.0
            if in_use[rank] > urgent and self.limit(rank) > self._least():
                return rank
        return Rank.URGENT

    def _least(self) -> float:
        return max(MIN_SUB_QUERIES, MIN_SHARE * self._initial())
