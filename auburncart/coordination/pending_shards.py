"""What one search knows of each of its shards, and when each is due for another try."""

import heapq
import itertools
from collections.abc import Iterator
from enum import Enum

from auburncart.coordination.job import Job

__all__ = ["PendingShard", "PendingShards", "DueAction"]


class DueAction(Enum):
    """What is due for a shard at a time."""

    HEDGE = "hedge"
    RETRY = "retry"


class PendingShard:
    """One shard of a search that has not been settled.

    :ivar jobs: tries in a queue or at work.
    :ivar tried: addresses asked so far.
    :ivar tries: number of tries so far.
    :ivar other_only: whether only an address not in ``tried`` may be asked.
    :ivar wait: seconds between checks for a hedge.
    """

    __slots__ = ("due", "due_at", "jobs", "name", "other_only", "tried", "tries", "wait")

    def __init__(self, name: str) -> None:
        self.name = name
        self.jobs: list[Job] = []
        self.tried: set[str] = set()
        self.tries = 0
        self.other_only = False
        self.wait = 0.0
        self.due = DueAction.HEDGE
        self.due_at: float | None = None


class PendingShards:
    """The unsettled shards of one search and a heap of what is due."""

    def __init__(self) -> None:
        self._open: dict[str, PendingShard] = {}
        self._heap: list[tuple[float, int, str]] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._open)

    def __iter__(self) -> Iterator[PendingShard]:
        return iter(list(self._open.values()))

    def __contains__(self, name: object) -> bool:
        return name in self._open

    def get(self, name: str) -> PendingShard | None:
        """Return the unsettled shard of a name, or None."""
        return self._open.get(name)

    def add(self, ask: PendingShard) -> None:
        """Add a shard."""
        self._open[ask.name] = ask

    def settle(self, ask: PendingShard) -> None:
        """Take a shard out."""
        self._open.pop(ask.name, None)

    def schedule(self, ask: PendingShard, due: DueAction, at: float) -> None:
        """Set what is due for a shard, in place of what was.

        :param at: loop time in seconds.
        """
        ask.due = due
        ask.due_at = at
        heapq.heappush(self._heap, (at, next(self._numbers), ask.name))

    def next_time(self) -> float:
        """Return the loop time in seconds at which something is due; infinite if nothing is."""
        while self._heap and self._stale(self._heap[0]):
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else float("inf")

    def take_due(self, now: float) -> list[PendingShard]:
        """Return the shards for which something is due, each once."""
        due = []
        while self.next_time() <= now:
            ask = self._open[heapq.heappop(self._heap)[2]]
            ask.due_at = None
            due.append(ask)
        return due

    def _stale(self, entry: tuple[float, int, str]) -> bool:
        ask = self._open.get(entry[2])
        return ask is None or ask.due_at != entry[0]
