"""How many sub-queries of this VM the upstreams can bear at the same time."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import NamedTuple

__all__ = ["AdaptiveCapacity", "Capacity", "FixedCapacity"]

MIN_SUB_QUERIES = 4.0
MIN_SHARE = 0.25  # of the initial limit, which the limit never falls below
MAX_SUB_QUERIES = 20_000.0
TOLERANCE = 1.25  # time under load over time without, at which the limit neither grows nor falls
HEADROOM = 0.05  # share of the initial limit by which the limit grows in each round
WARM_UP_SEARCHES = 20  # before the limit grows, since new connections slow the first ones
MOST_SHRINK = 0.7  # least factor of one round
SMOOTHING = 0.2
RISE_SECONDS = 60.0  # time constant by which the time without load rises
BUSY_SHARE = 0.5  # share of the limit in use above which a search tells nothing of an idle fleet


class Capacity(ABC):
    """Limit on the sub-queries at work, which follows what is measured."""

    @property
    @abstractmethod
    def limit(self) -> float:
        """Most sub-queries at work at the same time."""

    @property
    @abstractmethod
    def seconds(self) -> float:
        """Typical time of a sub-query in seconds, 0 before the first."""

    @abstractmethod
    def record(self, kind: str, seconds: float, cost: int, in_use: float, now: float) -> None:
        """Take in the median time of a search's sub-queries.

        :param kind: kind of work.
        :param seconds: time after which half of its shards had answered.
        :param cost: number of its sub-queries.
        :param in_use: sub-queries at work when it started, its own not counted.
        :param now: loop time in seconds.
        """


class FixedCapacity(Capacity):
    """A limit that never changes.

    :param limit: most sub-queries at work.
    """

    def __init__(self, limit: float) -> None:
        self._limit = limit
        self._seconds = 0.0

    @property
    def limit(self) -> float:
        """Most sub-queries at work at the same time."""
        return self._limit

    @property
    def seconds(self) -> float:
        """Typical time of a sub-query in seconds."""
        return self._seconds

    def record(self, kind: str, seconds: float, cost: int, in_use: float, now: float) -> None:
        """Take in the time, which changes no limit."""
        self._seconds += (SMOOTHING if self._seconds else 1.0) * (seconds - self._seconds)


class _Times(NamedTuple):
    """Smoothed times of a kind's sub-queries in seconds: at present, and without load."""

    present: float
    idle: float
    since: float


class AdaptiveCapacity(Capacity):
    """A limit that falls when sub-queries take longer than on an idle fleet.

    The ratio of the present time to the time without load tells how long the upstreams' queues
    are, whoever filled them. It is taken from the median of a search's sub-queries, which one
    straggler does not move. The time without load is kept for each kind of work; it rises only
    from searches that found this VM idle or its limit at the minimum, so that a long flood is
    not taken for the normal state.

    :param initial: returns the limit to start from, such as this VM's share of all slots; it is
        called until it returns a number above 0.
    """

    def __init__(self, initial: Callable[[], float]) -> None:
        self._initial = initial
        self._limit = 0.0
        self._seconds = 0.0
        self._ratio = 1.0
        self._times: dict[str, _Times] = {}
        self._searches = 0
        self._round = 0.0
        self._peak = 0.0

    @property
    def limit(self) -> float:
        """Most sub-queries at work at the same time."""
        self._limit = self._limit or self._initial()
        return self._limit or MIN_SUB_QUERIES

    @property
    def seconds(self) -> float:
        """Typical time of a sub-query in seconds, 0 before the first."""
        return self._seconds

    @property
    def ratio(self) -> float:
        """Smoothed ratio of the present time to the time without load."""
        return self._ratio

    def record(self, kind: str, seconds: float, cost: int, in_use: float, now: float) -> None:
        """Take in the median time of a search's sub-queries; a round ends after a limit of them."""
        self._seconds += (SMOOTHING if self._seconds else 1.0) * (seconds - self._seconds)
        weight = SMOOTHING * min(1.0, cost / self.limit)
        self._ratio += weight * (self._kind_ratio(kind, seconds, in_use, now) - self._ratio)
        self._searches += 1
        self._round += cost
        self._peak = max(self._peak, in_use + cost)
        if self._round >= self.limit:
            self._end_round()

    def _kind_ratio(self, kind: str, seconds: float, in_use: float, now: float) -> float:
        times = self._times.setdefault(kind, _Times(seconds, seconds, now))
        present = times.present + SMOOTHING * (seconds - times.present)
        idle = min(times.idle, present)
        if in_use < BUSY_SHARE * self.limit or self.limit <= self._least():
            idle += min(1.0, (now - times.since) / RISE_SECONDS) * (present - idle)
        self._times[kind] = _Times(present, idle, now)
        return present / idle

    def _end_round(self) -> None:
        warm = self._searches > WARM_UP_SEARCHES
        used = warm and self._peak >= BUSY_SHARE * self.limit
        factor = max(MOST_SHRINK, min(1.0, TOLERANCE / self._ratio))
        grown = self.limit * factor + (
            HEADROOM * max(MIN_SUB_QUERIES, self._initial()) if used else 0.0
        )
        self._limit = min(MAX_SUB_QUERIES, max(self._least(), grown))
        self._round = 0.0
        self._peak = 0.0

    def _least(self) -> float:
        return max(MIN_SUB_QUERIES, MIN_SHARE * self._initial())
