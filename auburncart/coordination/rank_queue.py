"""The queue of one rank, and the limit on its sub-queries in flight."""

import asyncio

from auburncart.coordination.capacity import Capacity
from auburncart.coordination.fair import FairQueue
from auburncart.state.table import Row
from auburncart.state.work import Rank, Work

__all__ = ["ConcurrencyLimiter", "RankQueue", "Waiter"]

SMOOTHING = 0.2  # share of a new measurement in the moving average
MAX_EXTRA_STARTS = 1.0  # urgent requests that may exceed the limit after a time without a queue
EXTRA_STARTS_PER_SECOND = 1.0


class Waiter:
    """A request in the queue; ``decision`` is True once it starts, or False for a refusal.

    :param latest_start: loop time in seconds after which it is too late to start the request.
    """

    __slots__ = ("decision", "latest_start", "queued", "queued_at", "row", "started", "work")

    def __init__(self, work: Work, row: Row, latest_start: float) -> None:
        self.work = work
        self.row = row
        self.latest_start = latest_start
        self.started = False
        self.queued = True
        self.queued_at = 0.0
        self.decision: asyncio.Future[bool] = asyncio.get_running_loop().create_future()


class ConcurrencyLimiter:
    """Counts the sub-queries in flight of one rank and of the more urgent ones.

    Where one search is larger than the limit, the starts are spaced so that the average number
    in flight stays within the limit.
    """

    def __init__(self, capacity: Capacity, rank: Rank) -> None:
        self._capacity = capacity
        self._rank = rank
        self.in_use = 0.0
        self.not_before = 0.0

    def allows(self, now: float) -> bool:
        """Return whether a search may start now."""
        return self.in_use < self._capacity.limit(self._rank) and now >= self.not_before

    def add(self, cost: float, now: float) -> None:
        """Count a search that starts."""
        self.in_use += cost
        excess = max(0.0, cost / self._capacity.limit(self._rank) - 1.0)
        self.not_before = max(self.not_before, now + excess * self._capacity.sub_query_seconds)


class RankQueue:
    """The queue of one rank, its concurrency limiter, and the credit from its floor.

    :param capacity: limits on the sub-queries in flight.
    :param rank: the rank.
    """

    def __init__(self, capacity: Capacity, rank: Rank) -> None:
        self._capacity = capacity
        self._rank = rank
        self._pace = 0.0  # seconds between starts, for each unit of cost
        self._last_start = 0.0
        self._extra_starts = MAX_EXTRA_STARTS if rank is Rank.URGENT else 0.0
        self._empty_since = 0.0
        self.limiter = ConcurrencyLimiter(capacity, rank)
        self.queue: FairQueue[Waiter] = FairQueue()
        self.credit = 0.0

    def push(self, waiter: Waiter, now: float) -> None:
        """Add a request to the queue."""
        if not self.queue:
            self._last_start = now
            self.credit = 0.0
            self._regain_extra_starts(now)
        work, row = waiter.work, waiter.row
        waiter.queued_at = now
        self.queue.push(work.customer, work.kind, work.cost, row.weight, waiter)

    def may_start(self, now: float) -> bool:
        """Return whether the next request may start now, within the limit or as an extra start."""
        return self.limiter.allows(now) or self._extra_starts >= 1.0

    def record_start(self, waiter: Waiter, now: float) -> None:
        """Record that a request left the queue and starts."""
        if not self.limiter.allows(now) and self._extra_starts >= 1.0:
            self._extra_starts -= 1.0
        seconds = (now - self._last_start) / waiter.work.cost
        self._pace += (SMOOTHING if self._pace else 1.0) * (seconds - self._pace)
        self._last_start = now
        self.record_removal(waiter, now)

    def record_removal(self, waiter: Waiter, now: float) -> None:
        """Record that a request left the queue."""
        if not self.queue:
            self._empty_since = now

    def add_credit(self, amount: float) -> None:
        """Add to the credit of the rank if it has requests in the queue."""
        if self.queue:
            self.credit += amount

    def estimate_wait(self, work: Work, row: Row, now: float) -> float:
        """Estimate the seconds that a new request would wait, from the intervals between starts."""
        if not self.queue and self.may_start(now):
            return 0.0
        cost = self.queue.queued_cost(work.customer) + work.cost
        share = self.queue.share(work.customer, row.weight)
        return max(0.0, self.limiter.not_before - now) + cost * self._current_pace(now) / share

    def overdue(self, now: float) -> Waiter | None:
        """Return the next request if it is too late to start it, or None."""
        waiter = self.queue.peek(lambda waiter: True)
        if waiter is None:
            return None
        return waiter if now > waiter.latest_start else None

    def _regain_extra_starts(self, now: float) -> None:
        """Regain extra starts for the time without a queue."""
        if self._rank is Rank.URGENT:
            regained = self._extra_starts + (now - self._empty_since) * EXTRA_STARTS_PER_SECOND
            self._extra_starts = min(MAX_EXTRA_STARTS, regained)

    def _current_pace(self, now: float) -> float:
        expected = self._capacity.sub_query_seconds / self._capacity.limit(self._rank)
        first = self.queue.peek(lambda waiter: True)
        if first is None:
            return expected
        # The sub-queries in flight share the time since the last start: they may end together.
        starting = max(first.work.cost, self.limiter.in_use)
        return max(self._pace, expected, (now - self._last_start) / starting)
