import asyncio
import unittest

from auburncart.coordination.forwarding.budget import BudgetBounds, RetryBudget
from auburncart.tests.virtual import virtual_time

BOUNDS = BudgetBounds(ratio=0.2, slack=58.0, window=10.0)


def spend_all(budget: RetryBudget) -> int:
    count = 0
    while budget.spend("s"):
        count += 1
    return count


class BudgetTest(unittest.TestCase):
    @virtual_time
    async def test_min_remaining_is_that_of_the_service_with_the_fewest(self) -> None:
        budget = RetryBudget(BOUNDS, lambda service: 1.0)
        self.assertEqual(budget.min_remaining, float("inf"))
        await asyncio.sleep(BOUNDS.window)
        budget.record_request("a")
        budget.record_request("b")
        self.assertTrue(budget.spend("b"))
        self.assertEqual(budget.min_remaining, budget.remaining("b"))
        self.assertLess(budget.remaining("b"), budget.remaining("a"))

    @virtual_time
    async def test_all_vms_together_stay_within_the_bounds(self) -> None:
        budgets = [RetryBudget(BOUNDS, lambda service: 1.0 / 9) for _ in range(9)]
        await asyncio.sleep(BOUNDS.window)
        for budget in budgets:
            for _ in range(50):
                budget.record_request("s")
        spent = sum(spend_all(budget) for budget in budgets)
        self.assertGreater(spent, 80)
        self.assertLessEqual(spent, 0.2 * 450 + 58)

    @virtual_time
    async def test_a_restarted_process_has_no_slack_during_its_first_window(self) -> None:
        first = RetryBudget(BOUNDS, lambda service: 1.0 / 9)
        await asyncio.sleep(BOUNDS.window)
        self.assertGreater(spend_all(first), 0)
        second = RetryBudget(BOUNDS, lambda service: 1.0 / 9)
        await asyncio.sleep(0.9 * BOUNDS.window)
        self.assertEqual(spend_all(second), 0)

    @virtual_time
    async def test_extra_requests_count_for_the_whole_window(self) -> None:
        budget = RetryBudget(BOUNDS, lambda service: 1.0 / 9)
        await asyncio.sleep(BOUNDS.window)
        spent = spend_all(budget)
        await asyncio.sleep(0.99 * BOUNDS.window)
        self.assertEqual(spend_all(budget), 0)
        await asyncio.sleep(0.2 * BOUNDS.window)
        self.assertEqual(spend_all(budget), spent)
