"""Batches that are smaller for lower ranks."""

from auburncart.coordination.batching import Batching
from auburncart.state.shards import Replica
from auburncart.state.work import Rank

__all__ = ["RankedBatching"]

LIMIT_SHARES = {Rank.URGENT: 1.0, Rank.NORMAL: 1.0, Rank.BACKGROUND: 0.5}


class RankedBatching(Batching):
    """Sends all queued sub-queries, up to the rank's share of the upstream's batch limit.

    A request holds one of the upstream's few slots until all its sub-queries have ended, and an
    urgent sub-query that arrives meanwhile waits for it. So an urgent batch may be as large as
    the upstream allows, and a background batch half of that.
    """

    def size(self, replica: Replica, waiting: int, rank: Rank = Rank.URGENT) -> int:
        """Return the smaller of ``waiting`` and the rank's share of the batch limit.

        >>> RankedBatching().size(Replica("127.0.0.1:1", "dc1", batch_limit=8), 20, Rank.BACKGROUND)
        4
        """
        limit = int(replica.batch_limit * LIMIT_SHARES[rank])
        return max(1, min(waiting, limit))
