"""Selection of the replica to which a request is sent."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from auburncart.coordination.forwarding.replica import ReplicaConnectionPool

__all__ = ["ShortestWait", "ReplicaSelection"]

# By distance (same data centre, same region, other region): round trip and a margin.
DISTANCE_SECONDS = (0.001, 0.003, 0.020)
INITIAL_LATENCY_SECONDS = 0.02  # assumed for a replica that has not answered yet
# A replica that is not asked cannot show that it has become faster.
LATENCY_HALF_LIFE_SECONDS = 4.0
CONNECT_SECONDS = 0.006  # a replica's own time for a new connection
WARM_UP_FACTOR = 1.6  # by which a replica is slower just after its start


class ReplicaSelection(ABC):
    """Selects among the replicas of one service."""

    @abstractmethod
    def pick(
        self,
        candidates: Sequence[ReplicaConnectionPool],
        tried: Sequence[ReplicaConnectionPool],
        priority: int = 0,
    ) -> ReplicaConnectionPool | None:
        """Return the replica to ask next, or None if all were tried.

        :param priority: rank of the request, 0 the most urgent.
        """

    @abstractmethod
    def expected_reply_time(self, pool: ReplicaConnectionPool) -> float:
        """Return the seconds after which a replica is expected to reply if it is asked now."""


class ShortestWait(ReplicaSelection):
    """Selects the replica with the shortest expected wait, as observed by this VM."""

    def pick(
        self,
        candidates: Sequence[ReplicaConnectionPool],
        tried: Sequence[ReplicaConnectionPool],
        priority: int = 0,
    ) -> ReplicaConnectionPool | None:
        """Return the replica with the shortest expected wait; ejected ones come last."""
        untried = [pool for pool in candidates if pool not in tried]
        if not untried:
            return None
        return min(
            untried,
            key=lambda pool: (pool.ejected, _expected_wait(pool) + pool.send_delay(priority)),
        )

    def expected_reply_time(self, pool: ReplicaConnectionPool) -> float:
        """Return the expected wait, with a connect if no connection is open."""
        connect = 0.0 if pool.connections else CONNECT_SECONDS + DISTANCE_SECONDS[pool.distance]
        return _expected_wait(pool) + connect + pool.send_delay(0)


def _expected_wait(pool: ReplicaConnectionPool) -> float:
    latency = INITIAL_LATENCY_SECONDS + DISTANCE_SECONDS[pool.distance]
    if pool.latency:
        trust = 0.5 ** (pool.latency_age / LATENCY_HALF_LIFE_SECONDS)
        latency += trust * (pool.latency - latency)
    if pool.registration.warm_up_seconds > 0.0:
        latency *= WARM_UP_FACTOR
    load = 1.0 + pool.outstanding / max(1, pool.registration.slots)
    return max(latency * load, pool.stalled) + DISTANCE_SECONDS[pool.distance]
