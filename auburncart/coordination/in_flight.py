"""How many requests of this VM may be in flight to one upstream."""

import random
from abc import ABC, abstractmethod

from auburncart.state.shards import Replica

__all__ = ["AdaptiveInFlight", "InFlightLimit", "SheddingInFlight", "UnlimitedInFlight"]

UNLIMITED_REQUESTS = 1_000_000
BASELINE_WEIGHT = 0.1  # weight of a new latency in the average of requests sent alone
RATIO_WEIGHT = 0.2  # weight of a new value in the average latency ratio
MAX_LATENCY_RATIO = 1.5  # above it the upstream queues this VM's requests
LATENCY_CUT_FACTOR = 0.9
SHED_CUT_FACTOR = 0.5
GROWTH_REQUESTS = 0.2  # added by each reply that arrives while the limit is in use
MIN_CUT_INTERVAL_SECONDS = 0.05
INITIAL_PAUSE_SECONDS = 0.02
MAX_PAUSE_SECONDS = 1.0


class InFlightLimit(ABC):
    """Limits the requests of this VM in flight to one upstream; there is one for each upstream.

    :param replica: what the shard map says of the upstream.
    """

    def __init__(self, replica: Replica) -> None:
        self._replica = replica

    @abstractmethod
    def requests(self, now: float) -> int:
        """Return the most requests in flight now; 0 while the upstream is paused."""

    @abstractmethod
    def resumes_at(self) -> float:
        """Return the loop time in seconds from which :meth:`requests` is at least 1."""

    @abstractmethod
    def record_reply(self, seconds: float, sub_queries: int, in_flight: int, now: float) -> None:
        """Record the time of an answered request.

        :param seconds: time from sending to reply.
        :param sub_queries: number of its sub-queries.
        :param in_flight: requests in flight when the reply arrived, including this one.
        :param now: loop time in seconds.
        """

    @abstractmethod
    def record_shed(self, in_flight: int, now: float) -> None:
        """Record that the upstream shed a request."""


class UnlimitedInFlight(InFlightLimit):
    """Sets no limit beyond the number of connections; the baseline."""

    def requests(self, now: float) -> int:
        """Return a number above that of any upstream's connections."""
        return UNLIMITED_REQUESTS

    def resumes_at(self) -> float:
        """Return 0."""
        return 0.0

    def record_reply(self, seconds: float, sub_queries: int, in_flight: int, now: float) -> None:
        """Ignore the time."""

    def record_shed(self, in_flight: int, now: float) -> None:
        """Ignore the event."""


class SheddingInFlight(InFlightLimit):
    """Starts at the upstream's connections and backs off only when the upstream sheds.

    A shed request halves the limit; at a limit of one the upstream is paused, each time for twice
    as long. Replies that arrive while the limit is in use raise it again.

    :param replica: what the shard map says of the upstream.
    """

    def __init__(self, replica: Replica) -> None:
        super().__init__(replica)
        self._random = random.Random(replica.address)
        self._limit = float(replica.max_connections)
        self._cut_at = float("-inf")
        self._pause = 0.0
        self._resumes_at = 0.0

    def requests(self, now: float) -> int:
        """Return the limit, or 0 during a pause."""
        return 0 if now < self._resumes_at else int(self._limit)

    def resumes_at(self) -> float:
        """Return the end of the last pause."""
        return self._resumes_at

    def record_reply(self, seconds: float, sub_queries: int, in_flight: int, now: float) -> None:
        """Raise the limit if it was in use."""
        self._pause = 0.0
        if in_flight >= int(self._limit):
            self._limit = min(self._limit + GROWTH_REQUESTS, float(self._replica.max_connections))

    def record_shed(self, in_flight: int, now: float) -> None:
        """Cut the limit; pause the upstream if it shed the only request in flight."""
        if in_flight > 1 and self._limit > 1.0:
            self._limit = min(self._limit, float(in_flight))
            self._cut(SHED_CUT_FACTOR, now)
            return
        self._limit = 1.0
        self._pause = min(MAX_PAUSE_SECONDS, 2 * self._pause or INITIAL_PAUSE_SECONDS)
        self._resumes_at = now + self._pause * self._random.uniform(0.5, 1.0)

    def _cut(self, factor: float, now: float) -> None:
        if now - self._cut_at >= MIN_CUT_INTERVAL_SECONDS:
            self._cut_at = now
            self._limit = max(1.0, self._limit * factor)


class AdaptiveInFlight(SheddingInFlight):
    """Starts at the upstream's slots, grows while latency stays low, and backs off.

    The time of a request among others is compared with that of a request of about the same size
    that was alone. Where it has risen, the upstream queues requests that this VM could queue by
    rank, and could still move to another replica.

    :param replica: what the shard map says of the upstream.
    """

    def __init__(self, replica: Replica) -> None:
        super().__init__(replica)
        self._limit = float(replica.slots)
        self._baselines: dict[int, float] = {}
        self._latency_ratio = 1.0

    def record_reply(self, seconds: float, sub_queries: int, in_flight: int, now: float) -> None:
        """Raise or cut the limit by the time that a request took."""
        self._update_ratio(seconds, sub_queries.bit_length(), in_flight)
        if self._latency_ratio > MAX_LATENCY_RATIO:
            self._pause = 0.0
            self._cut(LATENCY_CUT_FACTOR, now)
        else:
            super().record_reply(seconds, sub_queries, in_flight, now)

    def _update_ratio(self, seconds: float, size: int, in_flight: int) -> None:
        baseline = self._baselines.get(size)
        if baseline is None:
            self._baselines[size] = seconds
            self._latency_ratio += RATIO_WEIGHT * (1.0 - self._latency_ratio)
        elif in_flight <= 1:
            self._baselines[size] = baseline + BASELINE_WEIGHT * (seconds - baseline)
            self._latency_ratio += RATIO_WEIGHT * (1.0 - self._latency_ratio)
        else:
            self._latency_ratio += RATIO_WEIGHT * (seconds / baseline - self._latency_ratio)
