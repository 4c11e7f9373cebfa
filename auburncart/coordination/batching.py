"""How many queued sub-queries are sent in one request to an upstream."""

from abc import ABC, abstractmethod

from auburncart.state.shards import Replica
from auburncart.state.work import Rank

__all__ = ["Batching", "OnePerRequest", "UpToLimit"]


class Batching(ABC):
    """Chooses the size of the batch that a free connection takes from its upstream's queue."""

    @abstractmethod
    def size(self, replica: Replica, waiting: int, rank: Rank = Rank.URGENT) -> int:
        """Return how many of the ``waiting`` sub-queries of a rank to send now; at least 1."""


class OnePerRequest(Batching):
    """Sends each sub-query in a request of its own; the baseline."""

    def size(self, replica: Replica, waiting: int, rank: Rank = Rank.URGENT) -> int:
        """Return 1."""
        return 1


class UpToLimit(Batching):
    """Sends all queued sub-queries, up to the upstream's batch limit."""

    def size(self, replica: Replica, waiting: int, rank: Rank = Rank.URGENT) -> int:
        """Return the smaller of ``waiting`` and the upstream's batch limit.

        >>> UpToLimit().size(Replica("127.0.0.1:1", "dc1", batch_limit=8), 20)
        8
        """
        return max(1, min(waiting, replica.batch_limit))
