"""Admission by rank, floor, weight, limit and deadline."""

import asyncio
from collections.abc import Callable

from expression import Error, Ok, Result

from auburncart.coordination.admission import Admission, Ticket
from auburncart.coordination.capacity import TOLERANCE, AdaptiveCapacity, Capacity, Sample
from auburncart.coordination.catalogue import Catalogue
from auburncart.coordination.lane import Lane, Waiter
from auburncart.coordination.mailbox import CLOCK_RESOLUTION_SECONDS
from auburncart.coordination.table import TableKeeper
from auburncart.state.failure import Refusal, RefusalCode, Step
from auburncart.state.table import Row
from auburncart.state.work import Rank, Work

__all__ = ["RankedAdmission"]

NEED_TIMES = 3.0  # sub-query times that a search needs to be of use
MIN_RETRY_SECONDS = 0.1

RowKey = tuple[str, str]


class RankedTicket(Ticket):
    """Counts the sub-queries of one search that are still at work.

    :param in_use: sub-queries at work when it started.
    """

    def __init__(
        self, admission: "RankedAdmission", waiter: Waiter, in_use: dict[Rank, float]
    ) -> None:
        self._admission = admission
        self._work = waiter.work
        self._in_use = in_use
        self._started: float | None = None
        self._remaining = waiter.work.cost
        self._measured = False

    def progress(self, remaining: int) -> None:
        """Give up the part of the place that belongs to sub-queries that have ended.

        A search that starts again takes its place anew, with a larger number.
        """
        ended = self._remaining - remaining
        if ended:
            self._remaining = remaining
            self._admission._leave(self._work.rank, ended)
        if not self._measured:
            self._measure(remaining)

    def _measure(self, remaining: int) -> None:
        """Take the time from the first word of progress until half of the shards have ended."""
        now = asyncio.get_running_loop().time()
        self._measured = 2 * remaining <= self._work.cost
        if self._started is None:
            self._started = now
        elif self._measured and now > self._started:
            self._admission._measure(self._work, now - self._started, self._in_use)

    def release(self) -> None:
        """Give up the rest of the place."""
        rest, self._remaining = self._remaining, 0
        self._admission._end(self._work, rest)


class RankedAdmission(Admission):
    """Lets requests in by rank first, then fairly by weight, as far as the capacity allows.

    A request of one rank sees only the work of its own and of more urgent ranks as taken
    capacity, so that a flood of a less urgent rank does not stand in its way. A rank that waits
    is owed its floor of all that is let in, and goes first when it is owed enough.

    :param vms: returns the number of VMs that share a row's ``max_in_flight``.
    :param tier: returns the number of VMs that share the slots of all upstreams.
    :param capacity: limits on the sub-queries at work; by default such that follow the upstreams.
    :param tolerance: slowing down that such limits allow.
    """

    def __init__(
        self,
        vms: Callable[[], int],
        tier: Callable[[], int],
        capacity: Capacity | None = None,
        tolerance: float = TOLERANCE,
    ) -> None:
        self._vms = vms
        self._tier = tier
        self._tables: TableKeeper | None = None
        self._catalogue: Catalogue | None = None
        self._capacity = capacity or AdaptiveCapacity(self._share, tolerance)
        self._lanes = {rank: Lane(self._capacity, rank) for rank in Rank}
        self._queued: dict[RowKey, int] = {}
        self._at_work: dict[RowKey, int] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def capacity(self) -> Capacity:
        """Limit on the sub-queries at work."""
        return self._capacity

    def waiting(self, rank: Rank) -> int:
        """Return the number of requests of a rank that wait."""
        return len(self._lanes[rank].queue)

    def follow(self, tables: TableKeeper, catalogue: Catalogue) -> None:
        """Take floors from the table and the number of slots from the shard map in force."""
        self._tables = tables
        self._catalogue = catalogue

    async def admit(self, work: Work, row: Row) -> Result[Ticket, Refusal]:
        """Wait for a turn, unless it could not come in time."""
        refusal = self._early_refusal(work, row)
        if refusal is not None:
            return Error(refusal)
        waiter = Waiter(work, row, work.deadline - self._needed())
        in_use = {rank: lane.gate.in_use for rank, lane in self._lanes.items()}
        self._enqueue(waiter)
        try:
            async with asyncio.timeout_at(waiter.latest):
                granted = await waiter.turn
        except TimeoutError:
            self._withdraw(waiter)
            return Error(self._overloaded("waited past its use", self._needed()))
        except asyncio.CancelledError:
            self._withdraw(waiter)
            raise
        if not granted:
            return Error(self._overloaded("no turn in time to be answered", self._needed()))
        return Ok(RankedTicket(self, waiter, in_use))

    def _share(self) -> float:
        room = self._catalogue.room if self._catalogue else 0.0
        return room / max(1, self._tier())

    def _early_refusal(self, work: Work, row: Row) -> Refusal | None:
        now = asyncio.get_running_loop().time()
        lane = self._lanes[work.rank]
        wait = lane.wait(work, row, now)
        if self._queued.get(_row_key(work), 0) >= row.max_queued:
            return self._overloaded("as many wait as the table's max_queued allows", wait)
        if now + wait + self._needed() >= work.deadline:
            return self._overloaded("no turn before the deadline", wait)
        return None

    def _needed(self) -> float:
        return NEED_TIMES * self._capacity.seconds

    def _overloaded(self, reason: str, wait: float) -> Refusal:
        retry_after = max(MIN_RETRY_SECONDS, wait)
        return Refusal(RefusalCode.OVERLOADED, reason, retry_after=retry_after, step=Step.QUEUE)

    def _enqueue(self, waiter: Waiter) -> None:
        key = _row_key(waiter.work)
        self._queued[key] = self._queued.get(key, 0) + 1
        self._lanes[waiter.work.rank].push(waiter, asyncio.get_running_loop().time())
        self._dispatch()

    def _withdraw(self, waiter: Waiter) -> None:
        work = waiter.work
        if waiter.granted:
            self._end(work, work.cost)
            return
        if waiter.queued:
            self._take_out(waiter)
            self._dispatch()

    def _take_out(self, waiter: Waiter) -> None:
        work = waiter.work
        waiter.queued = False
        lane = self._lanes[work.rank]
        lane.queue.remove(work.customer, work.kind, waiter)
        lane.left(waiter, asyncio.get_running_loop().time())
        _subtract(self._queued, _row_key(work))

    def _measure(self, work: Work, seconds: float, in_use: dict[Rank, float]) -> None:
        now = asyncio.get_running_loop().time()
        queued = {rank for rank, lane in self._lanes.items() if lane.queue}
        self._capacity.record(Sample(work.kind, seconds, work.cost, in_use, queued), now)

    def _leave(self, rank: Rank, cost: int) -> None:
        for other, lane in self._lanes.items():
            if other >= rank:
                lane.gate.in_use -= cost
        self._dispatch()

    def _end(self, work: Work, cost: int) -> None:
        _subtract(self._at_work, _row_key(work))
        self._leave(work.rank, cost)

    def _dispatch(self) -> None:
        now = asyncio.get_running_loop().time()
        self._drop_overdue(now)
        while (lane := self._next_lane(now)) is not None:
            waiter = lane.queue.pop(self._ready)
            assert waiter is not None
            self._grant(lane, waiter, now)
        self._set_timer(now)

    def _drop_overdue(self, now: float) -> None:
        for lane in self._lanes.values():
            while (waiter := lane.overdue(now)) is not None:
                self._take_out(waiter)
                if not waiter.turn.done():
                    waiter.turn.set_result(False)

    def _next_lane(self, now: float) -> Lane | None:
        for lane in self._lanes.values():
            waiter = lane.queue.peek(self._ready) if lane.credit > 0 else None
            if waiter is not None and lane.credit >= waiter.work.cost:
                return lane
        for lane in self._lanes.values():
            if lane.may_start(now) and lane.queue.peek(self._ready) is not None:
                return lane
        return None

    def _ready(self, waiter: Waiter) -> bool:
        most = max(1, waiter.row.max_in_flight // max(1, self._vms()))
        return self._at_work.get(_row_key(waiter.work), 0) < most

    def _grant(self, lane: Lane, waiter: Waiter, now: float) -> None:
        work = waiter.work
        key = _row_key(work)
        lane.granted(waiter, now)
        lane.credit = max(0.0, lane.credit - work.cost)
        _subtract(self._queued, key)
        self._at_work[key] = self._at_work.get(key, 0) + 1
        self._count(work, now)
        waiter.queued = False
        waiter.granted = True
        if not waiter.turn.done():
            waiter.turn.set_result(True)

    def _count(self, work: Work, now: float) -> None:
        table = self._tables.table if self._tables else None
        for rank, lane in self._lanes.items():
            if rank >= work.rank:
                lane.gate.enter(work.cost, now)
            if rank != work.rank and table is not None:
                lane.earn(table.floors[rank] * work.cost)

    def _set_timer(self, now: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        times = [
            lane.gate.not_before
            for lane in self._lanes.values()
            if lane.queue and lane.gate.not_before > now
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
