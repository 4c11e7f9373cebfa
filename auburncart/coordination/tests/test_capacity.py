"""Tests that the capacity adapts to the queues of the upstreams."""

import unittest

from auburncart.coordination.capacity import AdaptiveCapacity, Sample
from auburncart.state.work import Rank

INITIAL_LIMIT = 50.0


def in_use_by_rank(in_use: float, rank: Rank = Rank.URGENT) -> dict[Rank, float]:
    """Return the sub-queries in flight by rank if all of them are of one rank."""
    return {other: in_use if other >= rank else 0.0 for other in Rank}


def record_searches(
    capacity: AdaptiveCapacity,
    seconds: float,
    count: int,
    in_use: float,
    start: float,
    rank: Rank = Rank.URGENT,
) -> None:
    for number in range(count):
        capacity.record(
            Sample("search", seconds, 50, in_use_by_rank(in_use, rank)), start + number * 0.01
        )


class AdaptiveCapacityTest(unittest.TestCase):
    def setUp(self) -> None:
        self.capacity = AdaptiveCapacity(lambda: INITIAL_LIMIT)
        record_searches(self.capacity, 0.005, 50, 0.0, 0.0)

    def limit(self, rank: Rank = Rank.URGENT) -> float:
        return self.capacity.limit(rank)

    def test_starts_from_the_initial_limit(self) -> None:
        self.assertEqual(AdaptiveCapacity(lambda: INITIAL_LIMIT).limit(Rank.URGENT), INITIAL_LIMIT)

    def test_shrinks_when_sub_queries_take_longer_and_recovers(self) -> None:
        before = self.limit()
        record_searches(self.capacity, 0.02, 40, 50.0, 1.0)
        self.assertLess(self.limit(), before / 3)
        record_searches(self.capacity, 0.005, 400, 50.0, 2.0)
        self.assertGreater(self.limit(), before / 2)

    def test_does_not_grow_while_unused(self) -> None:
        self.capacity.record(Sample("search", 0.005, 100, in_use_by_rank(0.0)), 1.0)
        before = self.limit()
        for number in range(500):
            self.capacity.record(
                Sample("search", 0.005, 1, in_use_by_rank(0.0)), 1.0 + number * 0.01
            )
        self.assertEqual(self.limit(), before)

    def test_long_flood_does_not_become_the_baseline(self) -> None:
        for second in range(600):
            in_use = self.limit()
            seconds = 0.005 * (1.0 + in_use / INITIAL_LIMIT)
            record_searches(self.capacity, seconds, 5, in_use, 1.0 + second)
        self.assertLess(self.limit(), INITIAL_LIMIT)

    def test_recovers_when_queries_become_permanently_slower(self) -> None:
        record_searches(self.capacity, 0.02, 100, 50.0, 1.0)
        low = self.limit()
        self.assertGreaterEqual(low, INITIAL_LIMIT / 4)
        for second in range(600):
            record_searches(self.capacity, 0.02, 5, 0.0, 2.0 + second)
        self.assertGreater(self.limit(), 2 * low)

    def test_background_flood_takes_no_capacity_from_urgent_work(self) -> None:
        before = self.limit()
        record_searches(self.capacity, 0.02, 10, 100.0, 1.0, Rank.BACKGROUND)
        self.assertLess(self.limit(Rank.BACKGROUND), before / 2)
        self.assertGreaterEqual(self.limit(), before)
