"""The claims of orders, stored in buckets by conditional writes."""

import random
from abc import ABC, abstractmethod

from auburncart.coordination.bucket import BucketWriter
from auburncart.coordination.idempotency import locate_bucket
from auburncart.coordination.interfaces import Store
from auburncart.state.order import ClaimChange, ClaimVerdict

__all__ = ["Claims", "StoredClaims"]


class Claims(ABC):
    """Applies changes of claims."""

    @abstractmethod
    async def apply(self, change: ClaimChange) -> ClaimVerdict:
        """Apply one change; applying it again is harmless.

        :raises StoreUnavailableError: the change is not known to be applied; ``sent`` tells whether
            it may have been.
        """


class StoredClaims(Claims):
    """Writes the buckets in the store; waiting changes of one bucket share a write.

    :param store: the platform's store.
    :param rng: source of the jitter after write conflicts, seeded differently on each VM.
    :param interval: minimum mean seconds between two writes of one bucket.
    """

    def __init__(self, store: Store, rng: random.Random, interval: float = 0.2) -> None:
        self._store = store
        self._rng = rng
        self._interval = interval
        self._writers: dict[str, BucketWriter] = {}

    @property
    def writers(self) -> int:
        """Number of buckets that have a running writer."""
        return len(self._writers)

    async def apply(self, change: ClaimChange) -> ClaimVerdict:
        """Apply one change with the next write of its bucket."""
        location = locate_bucket(change.claim.key)
        writer = self._writers.get(location.name)
        if writer is None:
            writer = BucketWriter(self._store, location.name, self._interval, self._rng)
            self._writers[location.name] = writer
            writer.start(lambda: self._writers.pop(location.name))
        return await writer.submit(change, location.period)

    async def close(self) -> None:
        """Stop all writers; changes in progress are not known to be applied."""
        for writer in list(self._writers.values()):
            await writer.close()
