"""Admission by rank, floor, weight, limit and deadline."""

import asyncio
from collections.abc import Callable

from expression import Error, Ok, Result

from auburncart.coordination.admission import Admission, Permit
from auburncart.coordination.capacity import DEFAULT_TOLERANCE, AdaptiveCapacity, Capacity, Sample
from auburncart.coordination.catalogue import Catalogue
from auburncart.coordination.mailbox import CLOCK_RESOLUTION_SECONDS
from auburncart.coordination.rank_queue import RankQueue, Waiter
from auburncart.coordination.table import CurrentTable
from auburncart.state.failure import Refusal, RefusalCode, Step
from auburncart.state.table import Row
from auburncart.state.work import Rank, Work

__all__ = ["RankedAdmission"]

REQUIRED_SUB_QUERY_TIMES = 3.0  # time that a search needs, in times of a sub-query
MIN_RETRY_SECONDS = 0.1

RowKey = tuple[str, str]


class RankedPermit(Permit):
    """Counts the sub-queries of one search that are still in flight.

    :param in_use: sub-queries in flight by rank when the search was queued.
    """

    def __init__(
        self, admission: "RankedAdmission", waiter: Waiter, in_use: dict[Rank, float]
    ) -> None:
        self._admission = admission
        self._work = waiter.work
        self._in_use = in_use
        self._started_at: float | None = None
        self._remaining = waiter.work.cost
        self._measured = False

    def update_remaining(self, remaining: int) -> None:
        """Release the capacity of sub-queries that have ended.

        A search that starts again takes the capacity back, as ``remaining`` is then larger.
        """
        ended = self._remaining - remaining
        if ended:
            self._remaining = remaining
            self._admission._release(self._work.rank, ended)
        if not self._measured:
            self._measure(remaining)

    def _measure(self, remaining: int) -> None:
        """Measure the time from the first update until half of the shards have ended."""
        now = asyncio.get_running_loop().time()
        self._measured = 2 * remaining <= self._work.cost
        if self._started_at is None:
            self._started_at = now
        elif self._measured and now > self._started_at:
            self._admission._record_search(self._work, now - self._started_at, self._in_use)

    def release(self) -> None:
        """Release the capacity of the sub-queries that are still open."""
        rest, self._remaining = self._remaining, 0
        self._admission._end_request(self._work, rest)


class RankedAdmission(Admission):
    """Admits requests by rank first, then fairly by weight, within the capacity.

    For a request, only work of its own rank and of more urgent ranks counts as used capacity, so
    that a flood of a less urgent rank does not delay it. A rank with queued requests gains credit
    for its floor, a share of all that is admitted, and goes first once the credit covers its next
    request.

    :param data_centre_vms: returns the number of VMs that share a row's ``max_in_flight``.
    :param tier_vms: returns the number of VMs that share the slots of all upstreams.
    :param capacity: limits on the sub-queries in flight; by default they adapt to the upstreams.
    :param tolerance: latency ratio above which the default limits shrink.
    """

    def __init__(
        self,
        data_centre_vms: Callable[[], int],
        tier_vms: Callable[[], int],
        capacity: Capacity | None = None,
        tolerance: float = DEFAULT_TOLERANCE,
    ) -> None:
        self._data_centre_vms = data_centre_vms
        self._tier_vms = tier_vms
        self._tables: CurrentTable | None = None
        self._catalogue: Catalogue | None = None
        self._capacity = capacity or AdaptiveCapacity(self._initial_limit, tolerance)
        self._queues = {rank: RankQueue(self._capacity, rank) for rank in Rank}
        self._queued_by_row: dict[RowKey, int] = {}
        self._in_flight_by_row: dict[RowKey, int] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def capacity(self) -> Capacity:
        """Limits on the sub-queries in flight."""
        return self._capacity

    def queue_length(self, rank: Rank) -> int:
        """Return the number of requests of a rank in the queue."""
        return len(self._queues[rank].queue)

    def bind(self, tables: CurrentTable, catalogue: Catalogue) -> None:
        """Use the floors of the table and the number of slots in the shard map in force."""
        self._tables = tables
        self._catalogue = catalogue

    async def admit(self, work: Work, row: Row) -> Result[Permit, Refusal]:
        """Wait in the queue, unless the request could not start in time."""
        refusal = self._early_refusal(work, row)
        if refusal is not None:
            return Error(refusal)
        waiter = Waiter(work, row, work.deadline - self._required_seconds())
        in_use = {rank: rank_queue.limiter.in_use for rank, rank_queue in self._queues.items()}
        self._enqueue(waiter)
        try:
            async with asyncio.timeout_at(waiter.latest):
                started = await waiter.decision
        except TimeoutError:
            self._withdraw(waiter)
            return Error(
                self._overloaded("waited too long to be answered in time", self._required_seconds())
            )
        except asyncio.CancelledError:
            self._withdraw(waiter)
            raise
        if not started:
            return Error(
                self._overloaded("could not start in time to be answered", self._required_seconds())
            )
        return Ok(RankedPermit(self, waiter, in_use))

    def _initial_limit(self) -> float:
        room = self._catalogue.capacity if self._catalogue else 0.0
        return room / max(1, self._tier_vms())

    def _early_refusal(self, work: Work, row: Row) -> Refusal | None:
        now = asyncio.get_running_loop().time()
        rank_queue = self._queues[work.rank]
        wait = rank_queue.estimate_wait(work, row, now)
        if self._queued_by_row.get(_row_key(work), 0) >= row.max_queued:
            return self._overloaded("the queue is full: max_queued of the table", wait)
        if now + wait + self._required_seconds() >= work.deadline:
            return self._overloaded("the estimated wait exceeds the deadline", wait)
        return None

    def _required_seconds(self) -> float:
        return REQUIRED_SUB_QUERY_TIMES * self._capacity.sub_query_seconds

    def _overloaded(self, reason: str, wait: float) -> Refusal:
        retry_after = max(MIN_RETRY_SECONDS, wait)
        return Refusal(RefusalCode.OVERLOADED, reason, retry_after=retry_after, step=Step.QUEUE)

    def _enqueue(self, waiter: Waiter) -> None:
        key = _row_key(waiter.work)
        self._queued_by_row[key] = self._queued_by_row.get(key, 0) + 1
        self._queues[waiter.work.rank].push(waiter, asyncio.get_running_loop().time())
        self._dispatch()

    def _withdraw(self, waiter: Waiter) -> None:
        work = waiter.work
        if waiter.started:
            self._end_request(work, work.cost)
            return
        if waiter.queued:
            self._remove(waiter)
            self._dispatch()

    def _remove(self, waiter: Waiter) -> None:
        work = waiter.work
        waiter.queued = False
        rank_queue = self._queues[work.rank]
        rank_queue.queue.remove(work.customer, work.kind, waiter)
        rank_queue.record_removal(waiter, asyncio.get_running_loop().time())
        _subtract(self._queued_by_row, _row_key(work))

    def _record_search(self, work: Work, seconds: float, in_use: dict[Rank, float]) -> None:
        now = asyncio.get_running_loop().time()
        queued = {rank for rank, rank_queue in self._queues.items() if rank_queue.queue}
        self._capacity.record(Sample(work.kind, seconds, work.cost, in_use, queued), now)

    def _release(self, rank: Rank, cost: int) -> None:
        for other, rank_queue in self._queues.items():
            if other >= rank:
                rank_queue.limiter.in_use -= cost
        self._dispatch()

    def _end_request(self, work: Work, cost: int) -> None:
        _subtract(self._in_flight_by_row, _row_key(work))
        self._release(work.rank, cost)

    def _dispatch(self) -> None:
        now = asyncio.get_running_loop().time()
        self._refuse_overdue(now)
        while (rank_queue := self._next_queue(now)) is not None:
            waiter = rank_queue.queue.pop(self._ready)
            assert waiter is not None
            self._start(rank_queue, waiter, now)
        self._set_timer(now)

    def _refuse_overdue(self, now: float) -> None:
        for rank_queue in self._queues.values():
            while (waiter := rank_queue.overdue(now)) is not None:
                self._remove(waiter)
                if not waiter.decision.done():
                    waiter.decision.set_result(False)

    def _next_queue(self, now: float) -> RankQueue | None:
        for rank_queue in self._queues.values():
            waiter = rank_queue.queue.peek(self._ready) if rank_queue.credit > 0 else None
            if waiter is not None and rank_queue.credit >= waiter.work.cost:
                return rank_queue
        for rank_queue in self._queues.values():
            if rank_queue.may_start(now) and rank_queue.queue.peek(self._ready) is not None:
                return rank_queue
        return None

    def _ready(self, waiter: Waiter) -> bool:
        max_in_flight = max(1, waiter.row.max_in_flight // max(1, self._data_centre_vms()))
        return self._in_flight_by_row.get(_row_key(waiter.work), 0) < max_in_flight

    def _start(self, rank_queue: RankQueue, waiter: Waiter, now: float) -> None:
        work = waiter.work
        key = _row_key(work)
        rank_queue.record_start(waiter, now)
        rank_queue.credit = max(0.0, rank_queue.credit - work.cost)
        _subtract(self._queued_by_row, key)
        self._in_flight_by_row[key] = self._in_flight_by_row.get(key, 0) + 1
        self._count_start(work, now)
        waiter.queued = False
        waiter.started = True
        if not waiter.decision.done():
            waiter.decision.set_result(True)

    def _count_start(self, work: Work, now: float) -> None:
        table = self._tables.table if self._tables else None
        for rank, rank_queue in self._queues.items():
            if rank >= work.rank:
                rank_queue.limiter.add(work.cost, now)
            if rank != work.rank and table is not None:
                rank_queue.add_credit(table.floors[rank] * work.cost)

    def _set_timer(self, now: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        times = [
            rank_queue.limiter.not_before
            for rank_queue in self._queues.values()
            if rank_queue.queue and rank_queue.limiter.not_before > now
        ]
        if times:
            self._timer = asyncio.get_running_loop().call_at(
                min(times) + CLOCK_RESOLUTION_SECONDS, self._dispatch
            )


def _row_key(work: Work) -> RowKey:
    return work.customer, work.kind


def _subtract(counts: dict[RowKey, int], key: RowKey) -> None:
    counts[key] -= 1
    if not counts[key]:
        del counts[key]
