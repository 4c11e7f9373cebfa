"""The capacity follows the upstreams' queues."""

import unittest

from auburncart.coordination.capacity import AdaptiveCapacity

SHARE = 50.0


def feed(capacity: AdaptiveCapacity, seconds: float, count: int, in_use: float, at: float) -> None:
    for number in range(count):
        capacity.record("search", seconds, 50, in_use, at + number * 0.01)


class AdaptiveCapacityTest(unittest.TestCase):
    def setUp(self) -> None:
        self.capacity = AdaptiveCapacity(lambda: SHARE)
        feed(self.capacity, 0.005, 50, 0.0, 0.0)

    def test_starts_from_the_share_of_all_slots(self) -> None:
        self.assertEqual(AdaptiveCapacity(lambda: SHARE).limit, SHARE)

    def test_falls_when_sub_queries_take_longer_and_recovers(self) -> None:
        before = self.capacity.limit
        feed(self.capacity, 0.02, 40, 50.0, 1.0)
        self.assertLess(self.capacity.limit, before / 3)
        feed(self.capacity, 0.005, 400, 50.0, 2.0)
        self.assertGreater(self.capacity.limit, before / 2)

    def test_does_not_grow_while_it_is_not_used(self) -> None:
        self.capacity.record("search", 0.005, 100, 0.0, 1.0)
        before = self.capacity.limit
        for number in range(500):
            self.capacity.record("search", 0.005, 1, 0.0, 1.0 + number * 0.01)
        self.assertEqual(self.capacity.limit, before)

    def test_long_flood_is_not_taken_for_the_normal_state(self) -> None:
        for second in range(600):
            in_use = self.capacity.limit
            slow = 0.005 * (1.0 + in_use / SHARE)
            feed(self.capacity, slow, 5, in_use, 1.0 + second)
        self.assertLess(self.capacity.limit, SHARE)

    def test_queries_that_became_slower_for_good_get_their_capacity_back(self) -> None:
        feed(self.capacity, 0.02, 100, 50.0, 1.0)
        low = self.capacity.limit
        self.assertGreaterEqual(low, SHARE / 4)
        for second in range(600):
            feed(self.capacity, 0.02, 5, 0.0, 2.0 + second)
        self.assertGreater(self.capacity.limit, 2 * low)
