import asyncio
import unittest

from auburncart.coordination.capacity import FixedCapacity
from auburncart.coordination.rank_queue import RankQueue, Waiter
from auburncart.state.table import Row
from auburncart.state.work import Rank, Work
from auburncart.tests.virtual import virtual_time

COST = 10  # sub-queries of a search
IN_FLIGHT = 4  # searches that the limit allows at once
QUEUED = 15
SUB_QUERY_SECONDS = 0.01
DEADLINE_SECONDS = 1.0


def waiter(number: int) -> Waiter:
    work = Work(f"id{number}", "ladera", "closure", Rank.URGENT, DEADLINE_SECONDS, 0.0, COST)
    return Waiter(work, Row("ladera", "closure", Rank.URGENT), DEADLINE_SECONDS)


class EstimateTest(unittest.TestCase):
    """20 callers of searches over 10 shards, of which 4 searches run at once."""

    def setUp(self) -> None:
        self.capacity = FixedCapacity(COST * IN_FLIGHT, SUB_QUERY_SECONDS)

    def start_with_queue(self) -> RankQueue:
        rank_queue = RankQueue(self.capacity, Rank.URGENT)
        now = asyncio.get_running_loop().time()
        for number in range(IN_FLIGHT + QUEUED):
            rank_queue.push(waiter(number), now)
        for _ in range(IN_FLIGHT):
            self.start(rank_queue, now)
        return rank_queue

    def start(self, rank_queue: RankQueue, now: float) -> None:
        started = rank_queue.queue.pop(lambda waiter: True)
        assert started is not None
        rank_queue.record_start(started, now)
        rank_queue.limiter.add(COST, now)

    def estimate(self, rank_queue: RankQueue) -> float:
        new = waiter(99)
        return rank_queue.estimate_wait(new.work, new.row, asyncio.get_running_loop().time())

    @virtual_time
    async def test_searches_in_flight_together_end_together(self) -> None:
        """The time since the last start is not that of each queued search in turn."""
        rank_queue = self.start_with_queue()
        for _ in range(4):
            await asyncio.sleep(0.1)
            # All that run end after 0.1 s, so that 16 searches take 0.4 s.
            self.assertLess(self.estimate(rank_queue), DEADLINE_SECONDS)
            now = asyncio.get_running_loop().time()
            for _ in range(min(IN_FLIGHT, len(rank_queue.queue))):
                rank_queue.limiter.in_use -= COST
                self.start(rank_queue, now)

    @virtual_time
    async def test_a_queue_that_stands_still_is_noticed_before_the_deadline(self) -> None:
        rank_queue = self.start_with_queue()
        await asyncio.sleep(DEADLINE_SECONDS / 2)
        self.assertGreater(self.estimate(rank_queue), DEADLINE_SECONDS)
