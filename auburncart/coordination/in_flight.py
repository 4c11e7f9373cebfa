"""How many requests may be at work on one upstream at the same time."""

import random
from abc import ABC, abstractmethod

from auburncart.state.shards import Replica

__all__ = ["AdaptiveInFlight", "InFlightLimit", "SheddingInFlight", "UnlimitedInFlight"]

UNBOUNDED = 1_000_000
BASE_WEIGHT = 0.1  # share of a new time in the average of times without own contention
RISE_WEIGHT = 0.2  # share of a new ratio in the average rise
MOST_RISE = 1.5  # ratio of times above which the upstream queues this VM's requests
LATENCY_CUT = 0.9
SHED_CUT = 0.5
GROWTH = 0.2  # requests added by a reply that came in time while the limit was in use
CUT_SECONDS = 0.05  # least time between two cuts
FIRST_PAUSE_SECONDS = 0.02
LONGEST_PAUSE_SECONDS = 1.0


class InFlightLimit(ABC):
    """Bounds the requests of this VM at work on one upstream; there is one for each upstream.

    :param replica: what the shard map says of the upstream.
    """

    def __init__(self, replica: Replica) -> None:
        self._replica = replica

    @abstractmethod
    def requests(self, now: float) -> int:
        """Return the most requests at work now; 0 while the upstream is left alone."""

    @abstractmethod
    def resumes_at(self) -> float:
        """Return the loop time in seconds from which :meth:`requests` is at least 1."""

    @abstractmethod
    def record_reply(self, seconds: float, subs: int, in_flight: int, now: float) -> None:
        """Take in the time of an answered request.

        :param seconds: time from sending to reply.
        :param subs: number of its sub-queries.
        :param in_flight: requests at work when the reply came, this one among them.
        :param now: loop time in seconds.
        """

    @abstractmethod
    def record_shed(self, in_flight: int, now: float) -> None:
        """Take in that the upstream had no room for a request."""


class UnlimitedInFlight(InFlightLimit):
    """Sets no limit beyond the number of connections; the baseline."""

    def requests(self, now: float) -> int:
        """Return a number above that of any upstream's connections."""
        return UNBOUNDED

    def resumes_at(self) -> float:
        """Return 0."""
        return 0.0

    def record_reply(self, seconds: float, subs: int, in_flight: int, now: float) -> None:
        """Ignore the time."""

    def record_shed(self, in_flight: int, now: float) -> None:
        """Ignore the event."""


class SheddingInFlight(InFlightLimit):
    """Starts at all connections and backs off only when the upstream sheds.

    A shed request halves the limit; at one request the upstream is left alone for a time that
    doubles. Replies that come while the limit is in use raise it again.

    :param replica: what the shard map says of the upstream.
    """

    def __init__(self, replica: Replica) -> None:
        super().__init__(replica)
        self._random = random.Random(replica.address)
        self._limit = float(replica.connections)
        self._cut_at = float("-inf")
        self._pause = 0.0
        self._resumes_at = 0.0

    def requests(self, now: float) -> int:
        """Return the limit, or 0 during a pause."""
        return 0 if now < self._resumes_at else int(self._limit)

    def resumes_at(self) -> float:
        """Return the end of the last pause."""
        return self._resumes_at

    def record_reply(self, seconds: float, subs: int, in_flight: int, now: float) -> None:
        """Grow if the limit was in use."""
        self._pause = 0.0
        if in_flight >= int(self._limit):
            self._limit = min(self._limit + GROWTH, float(self._replica.connections))

    def record_shed(self, in_flight: int, now: float) -> None:
        """Back off; leave the upstream alone for a moment if one request was too many."""
        if in_flight > 1 and self._limit > 1.0:
            self._limit = min(self._limit, float(in_flight))
            self._cut(SHED_CUT, now)
            return
        self._limit = 1.0
        self._pause = min(LONGEST_PAUSE_SECONDS, 2 * self._pause or FIRST_PAUSE_SECONDS)
        self._resumes_at = now + self._pause * self._random.uniform(0.5, 1.0)

    def _cut(self, factor: float, now: float) -> None:
        if now - self._cut_at >= CUT_SECONDS:
            self._cut_at = now
            self._limit = max(1.0, self._limit * factor)


class AdaptiveInFlight(SheddingInFlight):
    """Starts at the upstream's slots, grows while that costs no time, and backs off.

    The time of a request among others is compared with the time of a request of about the same
    size that was alone: where it has risen, the upstream queues what this VM could queue itself,
    by rank and where it can still be moved.

    :param replica: what the shard map says of the upstream.
    """

    def __init__(self, replica: Replica) -> None:
        super().__init__(replica)
        self._limit = float(replica.slots)
        self._base: dict[int, float] = {}
        self._rise = 1.0

    def record_reply(self, seconds: float, subs: int, in_flight: int, now: float) -> None:
        """Grow or back off by the time that a request took."""
        self._learn(seconds, subs.bit_length(), in_flight)
        if self._rise > MOST_RISE:
            self._pause = 0.0
            self._cut(LATENCY_CUT, now)
        else:
            super().record_reply(seconds, subs, in_flight, now)

    def _learn(self, seconds: float, size: int, in_flight: int) -> None:
        base = self._base.get(size)
        if base is None:
            self._base[size] = seconds
            self._rise += RISE_WEIGHT * (1.0 - self._rise)
        elif in_flight <= 1:
            self._base[size] = base + BASE_WEIGHT * (seconds - base)
            self._rise += RISE_WEIGHT * (1.0 - self._rise)
        else:
            self._rise += RISE_WEIGHT * (seconds / base - self._rise)
