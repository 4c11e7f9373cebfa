"""The waiting requests of one rank, and the gate through which they start."""

import asyncio

from auburncart.coordination.capacity import Capacity
from auburncart.coordination.fair import FairQueue
from auburncart.state.table import Row
from auburncart.state.work import Rank, Work

__all__ = ["Gate", "Lane", "Waiter"]

RATE_WEIGHT = 0.2  # share of a new measurement in the moving average
SPARE_STARTS = 1.0  # urgent requests that may start beyond the limit after a time without a queue
SPARE_STARTS_PER_SECOND = 1.0


class Waiter:
    """A request that waits for its turn, which is True, or False for a refusal.

    :param latest: loop time in seconds after which starting it makes no sense.
    """

    __slots__ = ("granted", "latest", "queued", "queued_at", "row", "turn", "work")

    def __init__(self, work: Work, row: Row, latest: float) -> None:
        self.work = work
        self.row = row
        self.latest = latest
        self.granted = False
        self.queued = True
        self.queued_at = 0.0
        self.turn: asyncio.Future[bool] = asyncio.get_running_loop().create_future()


class Gate:
    """Counts the sub-queries at work of one rank and of the more urgent ones.

    Where one search is larger than the limit, the gate spaces the starts so that the average
    in use keeps to the limit.
    """

    def __init__(self, capacity: Capacity, rank: Rank) -> None:
        self._capacity = capacity
        self._rank = rank
        self.in_use = 0.0
        self.not_before = 0.0

    def open(self, now: float) -> bool:
        """Return whether a search may start now."""
        return self.in_use < self._capacity.limit(self._rank) and now >= self.not_before

    def enter(self, cost: float, now: float) -> None:
        """Count a search that starts."""
        self.in_use += cost
        excess = max(0.0, cost / self._capacity.limit(self._rank) - 1.0)
        self.not_before = max(self.not_before, now + excess * self._capacity.seconds)


class Lane:
    """One rank: its queue, its gate, and the floor that it is owed.

    :param capacity: limit on the sub-queries at work.
    :param rank: the rank.
    """

    def __init__(self, capacity: Capacity, rank: Rank) -> None:
        self._capacity = capacity
        self._rank = rank
        self._pace = 0.0
        self._last_grant = 0.0
        self._spare = SPARE_STARTS if rank is Rank.URGENT else 0.0
        self._empty_since = 0.0
        self.gate = Gate(capacity, rank)
        self.queue: FairQueue[Waiter] = FairQueue()
        self.credit = 0.0

    def push(self, waiter: Waiter, now: float) -> None:
        """Add a request that waits."""
        if not self.queue:
            self._last_grant = now
            self.credit = 0.0
            self._save(now)
        work, row = waiter.work, waiter.row
        waiter.queued_at = now
        self.queue.push(work.customer, work.kind, work.cost, row.weight, waiter)

    def may_start(self, now: float) -> bool:
        """Return whether the next request may start now, by the gate or beyond it."""
        return self.gate.open(now) or self._spare >= 1.0

    def granted(self, waiter: Waiter, now: float) -> None:
        """Take in that a request left the queue to start."""
        if not self.gate.open(now) and self._spare >= 1.0:
            self._spare -= 1.0
        seconds = (now - self._last_grant) / waiter.work.cost
        self._pace += (RATE_WEIGHT if self._pace else 1.0) * (seconds - self._pace)
        self._last_grant = now
        self.left(waiter, now)

    def left(self, waiter: Waiter, now: float) -> None:
        """Take in that a request left the queue."""
        if not self.queue:
            self._empty_since = now

    def earn(self, amount: float) -> None:
        """Add to what the rank is owed while it waits."""
        if self.queue:
            self.credit += amount

    def wait(self, work: Work, row: Row, now: float) -> float:
        """Estimate the seconds that a new request would wait, from the pace of the last ones."""
        if not self.queue and self.may_start(now):
            return 0.0
        cost = self.queue.cost(work.customer) + work.cost
        share = self.queue.share(work.customer, row.weight)
        return max(0.0, self.gate.not_before - now) + cost * self._present_pace(now) / share

    def overdue(self, now: float) -> Waiter | None:
        """Return the next request if it waited too long to start."""
        waiter = self.queue.peek(lambda waiter: True)
        if waiter is None:
            return None
        return waiter if now > waiter.latest else None

    def _save(self, now: float) -> None:
        """Regain starts beyond the limit for the time without a queue."""
        if self._rank is Rank.URGENT:
            saved = self._spare + (now - self._empty_since) * SPARE_STARTS_PER_SECOND
            self._spare = min(SPARE_STARTS, saved)

    def _present_pace(self, now: float) -> float:
        expected = self._capacity.seconds / self._capacity.limit(self._rank)
        first = self.queue.peek(lambda waiter: True)
        if first is None:
            return expected
        return max(self._pace, expected, (now - self._last_grant) / first.work.cost)
