"""Which replica of a service a request is given to."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from auburncart.coordination.forwarding.replica import ReplicaConnectionPool

__all__ = ["ShortestWait", "ReplicaSelection"]

DISTANCE_SECONDS = (0.001, 0.003, 0.020)  # here, in the region, elsewhere: two ways and a margin
FIRST_LATENCY_SECONDS = 0.02  # of a replica that has not answered yet
WARMING_FACTOR = 1.6  # how much longer a replica takes that has just started


class ReplicaSelection(ABC):
    """Picks among the replicas of one service."""

    @abstractmethod
    def pick(
        self, candidates: Sequence[ReplicaConnectionPool], tried: Sequence[ReplicaConnectionPool]
    ) -> ReplicaConnectionPool | None:
        """Return the replica to ask next, or None if there is none that was not tried."""


class ShortestWait(ReplicaSelection):
    """Picks the replica that is expected to answer first, by what this VM has seen of it."""

    def pick(
        self, candidates: Sequence[ReplicaConnectionPool], tried: Sequence[ReplicaConnectionPool]
    ) -> ReplicaConnectionPool | None:
        """Return the replica with the shortest expected wait; ill ones only if none is well."""
        fresh = [pool for pool in candidates if pool not in tried]
        if not fresh:
            return None
        return min(fresh, key=_expected_wait)


def _expected_wait(pool: ReplicaConnectionPool) -> tuple[bool, float]:
    latency = pool.latency or FIRST_LATENCY_SECONDS + DISTANCE_SECONDS[pool.distance]
    if pool.registration.warming > 0.0:
        latency *= WARMING_FACTOR
    load = 1.0 + pool.outstanding / max(1, pool.registration.slots)
    return pool.ejected, latency * load + DISTANCE_SECONDS[pool.distance]
