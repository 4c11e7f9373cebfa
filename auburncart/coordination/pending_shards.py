"""The shards of one search that have no result yet, and when each needs its next action."""

import heapq
import itertools
from collections.abc import Iterator
from enum import Enum

from auburncart.coordination.job import Job

__all__ = ["DueAction", "PendingShard", "PendingShards"]


class DueAction(Enum):
    """The action that is scheduled for a shard."""

    HEDGE = "hedge"
    RETRY = "retry"


class PendingShard:
    """One shard of a search that has no result yet.

    :ivar jobs: attempts that are queued or in flight.
    :ivar tried: addresses asked so far.
    :ivar attempts: number of attempts so far.
    :ivar untried_only: whether only an address not in ``tried`` may be asked.
    :ivar hedge_wait: seconds between checks for a hedge.
    """

    __slots__ = ("attempts", "due", "due_at", "hedge_wait", "jobs", "name", "tried", "untried_only")

    def __init__(self, name: str) -> None:
        self.name = name
        self.jobs: list[Job] = []
        self.tried: set[str] = set()
        self.attempts = 0
        self.untried_only = False
        self.hedge_wait = 0.0
        self.due = DueAction.HEDGE
        self.due_at: float | None = None


class PendingShards:
    """The pending shards of one search, with a heap of their scheduled actions."""

    def __init__(self) -> None:
        self._by_name: dict[str, PendingShard] = {}
        self._heap: list[tuple[float, int, str]] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._by_name)

    def __iter__(self) -> Iterator[PendingShard]:
        return iter(list(self._by_name.values()))

    def __contains__(self, name: object) -> bool:
        return name in self._by_name

    def get(self, name: str) -> PendingShard | None:
        """Return the pending shard of a name, or None."""
        return self._by_name.get(name)

    def add(self, shard: PendingShard) -> None:
        """Add a shard."""
        self._by_name[shard.name] = shard

    def remove(self, shard: PendingShard) -> None:
        """Remove a shard, if it is still pending."""
        self._by_name.pop(shard.name, None)

    def schedule(self, shard: PendingShard, action: DueAction, at: float) -> None:
        """Schedule an action for a shard in place of the one scheduled before.

        :param at: loop time in seconds.
        """
        shard.due = action
        shard.due_at = at
        heapq.heappush(self._heap, (at, next(self._numbers), shard.name))

    def next_time(self) -> float:
        """Return the loop time in seconds of the next action; infinite if there is none."""
        while self._heap and self._stale(self._heap[0]):
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else float("inf")

    def take_due(self, now: float) -> list[PendingShard]:
        """Return the shards whose action is due, each once."""
        due = []
        while self.next_time() <= now:
            shard = self._by_name[heapq.heappop(self._heap)[2]]
            shard.due_at = None
            due.append(shard)
        return due

    def _stale(self, entry: tuple[float, int, str]) -> bool:
        shard = self._by_name.get(entry[2])
        return shard is None or shard.due_at != entry[0]
