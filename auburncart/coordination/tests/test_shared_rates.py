"""Tests that a customer's rate holds over the whole tier, whichever VMs receive its requests."""

import asyncio
import unittest

from auburncart.coordination.policies import baseline_policies
from auburncart.coordination.rate_limiter import RateLimiter
from auburncart.coordination.shared_rate_limiter import GRANT_SECONDS, SharedRateLimiter
from auburncart.standins.fakes import FakeBus, FakeMembership, FakeNetwork
from auburncart.state.failure import Ran
from auburncart.state.member import Condition, Member
from auburncart.state.table import Row
from auburncart.state.work import Rank
from auburncart.tests.site import Site, search_request
from auburncart.tests.virtual import virtual_time

RATE = 100.0
ROW = Row("ladera", "search", Rank.NORMAL, max_rate=RATE)
MEMBERS = tuple(Member(f"10.0.0.{number}:9", f"dc{number % 3 + 1}", 1) for number in range(6))


class ListedMembership(FakeMembership):
    """Counts every member as possible, whatever its condition."""

    def live(self, data_centre: str) -> tuple[Member, ...]:
        return tuple(vm for vm in super().live(data_centre) if vm.condition is Condition.LIVE)

    def max_active_vms(self, data_centre: str) -> int:
        return len(super().live(data_centre))


class Tier:
    """Six VMs in three data centres, each with its own view of the others."""

    def __init__(self) -> None:
        self.network = FakeNetwork(0.01)
        self.views = [ListedMembership(own, MEMBERS) for own in MEMBERS]
        self.rate_limiters = [
            SharedRateLimiter(FakeBus(view.own, self.network), view, lambda: ("dc1", "dc2", "dc3"))
            for view in self.views
        ]
        self.tasks = [asyncio.create_task(limiter.run()) for limiter in self.rate_limiters]
        self.admitted = [0] * len(MEMBERS)

    async def send(self, demands: list[float], seconds: float) -> list[int]:
        """Send requests at the given rate to each VM; return how many each admitted."""
        self.admitted = [0] * len(MEMBERS)
        sending = (self._send(vm, demand, seconds) for vm, demand in enumerate(demands) if demand)
        await asyncio.gather(*sending)
        return self.admitted

    async def _send(self, vm: int, demand: float, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        start = loop.time()
        for number in range(int(demand * seconds)):
            await asyncio.sleep(max(0.0, start + number / demand - loop.time()))
            self.admitted[vm] += self.rate_limiters[vm].take("ladera", ROW, loop.time()) == 0.0

    def partition(self, data_centre: str) -> None:
        for left in MEMBERS:
            for right in MEMBERS:
                if (left.data_centre == data_centre) != (right.data_centre == data_centre):
                    self.network.cut(left.address, right.address)

    def detect_partition(self, data_centre: str) -> None:
        for view in self.views:
            inside = view.own.data_centre == data_centre
            view.members = tuple(
                member
                if (member.data_centre == data_centre) == inside
                else member._replace(condition=Condition.SUSPECT)
                for member in MEMBERS
            )

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()


class SharedRatesTest(unittest.TestCase):
    @virtual_time
    async def test_rate_is_used_and_kept_with_uneven_demand(self) -> None:
        tier = Tier()
        demands = [300.0, 60.0, 30.0, 0.0, 0.0, 10.0]
        await tier.send(demands, GRANT_SECONDS)
        admitted = sum(await tier.send(demands, 10.0))
        tier.stop()
        self.assertLessEqual(admitted, RATE * 10 * 1.05)
        self.assertGreaterEqual(admitted, RATE * 10 * 0.9)

    @virtual_time
    async def test_demand_that_moves_takes_its_rate_along(self) -> None:
        tier = Tier()
        await tier.send([200.0, 0, 0, 0, 0, 0], 6.0)
        moving = sum(await tier.send([0, 200.0, 0, 0, 0, 0], GRANT_SECONDS + 2))
        moved = sum(await tier.send([0, 200.0, 0, 0, 0, 0], 5.0))
        tier.stop()
        self.assertLessEqual(moving, RATE * (GRANT_SECONDS + 2) * 1.1)
        self.assertGreaterEqual(moved, RATE * 5 * 0.9)
        self.assertLessEqual(moved, RATE * 5 * 1.05)

    @virtual_time
    async def test_partitioned_data_centre_keeps_to_a_safe_share(self) -> None:
        tier = Tier()
        demands = [100.0] * 6
        await tier.send(demands, 5.0)
        tier.partition("dc2")
        tier.detect_partition("dc2")
        await tier.send(demands, GRANT_SECONDS + 2)
        admitted = await tier.send(demands, 10.0)
        tier.stop()
        inside = sum(
            admitted[vm] for vm, member in enumerate(MEMBERS) if member.data_centre == "dc2"
        )
        self.assertAlmostEqual(inside, RATE * 10 / 3, delta=RATE * 10 * 0.05)
        self.assertLessEqual(sum(admitted), RATE * 10 * 1.05)
        self.assertGreaterEqual(sum(admitted), RATE * 10 * 0.9)

    @virtual_time
    async def test_row_without_a_rate_is_not_limited(self) -> None:
        tier = Tier()
        rate_limiter = tier.rate_limiters[0]
        row = ROW._replace(max_rate=0.0)
        self.assertEqual({rate_limiter.take("ladera", row, 0.0) for _ in range(1000)}, {0.0})
        tier.stop()


class ClosedRateLimiter(RateLimiter):
    """Admits no request."""

    def take(self, customer: str, row: Row, now: float) -> float:
        return 1.5


class RefusalTest(unittest.TestCase):
    @virtual_time
    async def test_request_above_the_rate_is_refused_and_does_not_run(self) -> None:
        policies = baseline_policies(8, 3)._replace(rate_limiter=ClosedRateLimiter())
        site = Site(policies=policies)
        refusal = (await site.searches.search(search_request())).error
        await site.close()
        self.assertEqual((refusal.ran, refusal.retry_after), (Ran.NO, 1.5))
        self.assertEqual(sum(model.requests for model in site.models.values()), 0)
