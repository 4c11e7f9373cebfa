"""The capacity follows the upstreams' queues."""

import unittest

from auburncart.coordination.capacity import AdaptiveCapacity, Sample
from auburncart.state.work import Rank

SHARE = 50.0


def used(in_use: float, rank: Rank = Rank.URGENT) -> dict[Rank, float]:
    """Return what is in use by rank when all of it is of one rank."""
    return {one: in_use if one >= rank else 0.0 for one in Rank}


def feed(
    capacity: AdaptiveCapacity,
    seconds: float,
    count: int,
    in_use: float,
    at: float,
    rank: Rank = Rank.URGENT,
) -> None:
    for number in range(count):
        capacity.record(Sample("search", seconds, 50, used(in_use, rank)), at + number * 0.01)


class AdaptiveCapacityTest(unittest.TestCase):
    def setUp(self) -> None:
        self.capacity = AdaptiveCapacity(lambda: SHARE)
        feed(self.capacity, 0.005, 50, 0.0, 0.0)

    def limit(self, rank: Rank = Rank.URGENT) -> float:
        return self.capacity.limit(rank)

    def test_starts_from_the_share_of_all_slots(self) -> None:
        self.assertEqual(AdaptiveCapacity(lambda: SHARE).limit(Rank.URGENT), SHARE)

    def test_falls_when_sub_queries_take_longer_and_recovers(self) -> None:
        before = self.limit()
        feed(self.capacity, 0.02, 40, 50.0, 1.0)
        self.assertLess(self.limit(), before / 3)
        feed(self.capacity, 0.005, 400, 50.0, 2.0)
        self.assertGreater(self.limit(), before / 2)

    def test_does_not_grow_while_it_is_not_used(self) -> None:
        self.capacity.record(Sample("search", 0.005, 100, used(0.0)), 1.0)
        before = self.limit()
        for number in range(500):
            self.capacity.record(Sample("search", 0.005, 1, used(0.0)), 1.0 + number * 0.01)
        self.assertEqual(self.limit(), before)

    def test_long_flood_is_not_taken_for_the_normal_state(self) -> None:
        for second in range(600):
            in_use = self.limit()
            slow = 0.005 * (1.0 + in_use / SHARE)
            feed(self.capacity, slow, 5, in_use, 1.0 + second)
        self.assertLess(self.limit(), SHARE)

    def test_queries_that_became_slower_for_good_get_their_capacity_back(self) -> None:
        feed(self.capacity, 0.02, 100, 50.0, 1.0)
        low = self.limit()
        self.assertGreaterEqual(low, SHARE / 4)
        for second in range(600):
            feed(self.capacity, 0.02, 5, 0.0, 2.0 + second)
        self.assertGreater(self.limit(), 2 * low)

    def test_background_flood_takes_no_capacity_from_urgent_work(self) -> None:
        before = self.limit()
        feed(self.capacity, 0.02, 10, 100.0, 1.0, Rank.BACKGROUND)
        self.assertLess(self.limit(Rank.BACKGROUND), before / 2)
        self.assertGreaterEqual(self.limit(), before)
