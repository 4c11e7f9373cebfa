"""Tests of the measured tiers of VMs."""

import unittest

from auburncart.bench.peers import measure_tier


class TierTest(unittest.TestCase):
    def test_a_small_tier_exchanges_messages_and_changes_come_into_force(self) -> None:
        cost = measure_tier(3)
        self.assertGreater(cost.idle.messages, 0)
        self.assertGreater(cost.restarts.sent_bytes, 0)
        self.assertLess(cost.propagation_seconds, 7.0)
        self.assertEqual(cost.idle.sent_bytes, measure_tier(3).idle.sent_bytes)
