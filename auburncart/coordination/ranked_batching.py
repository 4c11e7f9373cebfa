"""Batches that are smaller for the less urgent ranks."""

from auburncart.coordination.batching import Batching
from auburncart.state.shards import Replica
from auburncart.state.work import Rank

__all__ = ["RankedBatching"]

LIMIT_SHARES = {Rank.URGENT: 1.0, Rank.NORMAL: 1.0, Rank.BACKGROUND: 0.5}


class RankedBatching(Batching):
    """Sends what waits in one request, up to a part of the upstream's limit by rank.

    A request holds one of the upstream's few slots until all its sub-queries have ended, and an
    urgent sub-query that comes then waits for it. So an urgent batch may be as long as the
    upstream takes it, and a background batch half of that.
    """

    def size(self, replica: Replica, waiting: int, rank: Rank = Rank.URGENT) -> int:
        """Return the smaller of what waits and the rank's part of the limit.

        >>> RankedBatching().size(Replica("127.0.0.1:1", "dc1", batch_limit=8), 20, Rank.BACKGROUND)
        4
        """
        most = int(replica.batch_limit * LIMIT_SHARES[rank])
        return max(1, min(waiting, most))
