"""The claims of orders, kept in buckets that are written on condition."""

import random
from abc import ABC, abstractmethod

from auburncart.coordination.bucket import BucketWriter
from auburncart.coordination.idempotency import locate_bucket
from auburncart.coordination.interfaces import Store
from auburncart.state.order import ClaimChange, ClaimVerdict

__all__ = ["Claims", "StoredClaims"]


class Claims(ABC):
    """Applies changes to claims."""

    @abstractmethod
    async def apply(self, change: ClaimChange) -> ClaimVerdict:
        """Apply one change; to apply it again changes nothing more.

        :raises StoreUnavailableError: it is not known to be applied; ``sent`` tells whether it
            may be.
        """


class StoredClaims(Claims):
    """Writes the buckets of the store; changes of one bucket share a write.

    :param store: the platform's store.
    :param rng: source of the pauses after a conflict, another one on each VM.
    :param interval: least seconds between two writes of one bucket, on average.
    """

    def __init__(self, store: Store, rng: random.Random, interval: float = 0.2) -> None:
        self._store = store
        self._rng = rng
        self._interval = interval
        self._writers: dict[str, BucketWriter] = {}

    @property
    def writers(self) -> int:
        """Number of buckets that are being written."""
        return len(self._writers)

    async def apply(self, change: ClaimChange) -> ClaimVerdict:
        """Apply one change with the next write of its bucket."""
        location = locate_bucket(change.claim.key)
        writer = self._writers.get(location.name)
        if writer is None:
            writer = BucketWriter(self._store, location.name, self._interval, self._rng)
            self._writers[location.name] = writer
            writer.start(lambda: self._writers.pop(location.name))
        return await writer.put(change, location.period)

    async def close(self) -> None:
        """End all writers; changes at work are not known to be applied."""
        for writer in list(self._writers.values()):
            await writer.close()
