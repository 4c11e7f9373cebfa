"""Tests of admission under floods: ranks, floors, fairness, limits and deadlines."""

import asyncio
import unittest
from collections import Counter

from auburncart.coordination.capacity import FixedCapacity
from auburncart.coordination.catalogue import Catalogue
from auburncart.coordination.ranked_admission import RankedAdmission
from auburncart.coordination.table import CurrentTable
from auburncart.state.failure import Ran
from auburncart.state.table import Row, Table, TableDocument
from auburncart.state.work import Rank, Work
from auburncart.tests.virtual import virtual_time

COST = 10
SERVICE_SECONDS = 0.01
FLOORS = (0.0, 0.1, 0.05)


class Load:
    """Sends requests that hold their permit for a fixed time; counts by customer and rank."""

    def __init__(self, limit: float = 4 * COST, vms: int = 1) -> None:
        self.tables = CurrentTable()
        self.tables.install(TableDocument(Table(1, (), FLOORS)))
        capacity = FixedCapacity(limit, SERVICE_SECONDS)
        self.admission = RankedAdmission(lambda: vms, lambda: vms, capacity)
        self.admission.bind(self.tables, Catalogue())
        self.served: Counter[tuple[str, Rank]] = Counter()
        self.refusals: list = []
        self.waits: dict[tuple[str, Rank], list[float]] = {}
        self.in_flight = 0
        self.peak = 0

    async def request(
        self, customer: str, rank: Rank, *, seconds: float = 60.0, row: Row | None = None
    ) -> None:
        loop = asyncio.get_running_loop()
        start = loop.time()
        row = row or Row(customer, "search", rank, max_queued=100_000, max_in_flight=1000)
        work = Work("r1", customer, "search", rank, start + seconds, start, COST)
        admitted = await self.admission.admit(work, row)
        if admitted.is_error():
            self.refusals.append((admitted.error, loop.time() - start))
            return
        self.waits.setdefault((customer, rank), []).append(loop.time() - start)
        self.in_flight += 1
        self.peak = max(self.peak, self.in_flight)
        try:
            await asyncio.sleep(SERVICE_SECONDS)
            self.served[customer, rank] += 1
        finally:
            self.in_flight -= 1
            admitted.ok.release()

    async def flood(self, customer: str, rank: Rank, count: int, **options) -> None:
        await asyncio.gather(*(self.request(customer, rank, **options) for _ in range(count)))


async def run_for(load: Load, *floods, seconds: float = 1.0) -> None:
    tasks = [asyncio.create_task(flood) for flood in floods]
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await asyncio.sleep(SERVICE_SECONDS)


class RankTest(unittest.TestCase):
    @virtual_time
    async def test_urgent_request_does_not_wait_behind_a_background_flood(self) -> None:
        load = Load()

        async def urgent() -> None:
            for _ in range(20):
                await asyncio.sleep(0.03)
                await load.request("b", Rank.URGENT)

        await run_for(load, load.flood("a", Rank.BACKGROUND, 2000), urgent())
        self.assertEqual(max(load.waits["b", Rank.URGENT]), 0.0)
        self.assertLessEqual(load.peak, 5)

    @virtual_time
    async def test_floors_hold_in_an_urgent_flood(self) -> None:
        load = Load()

        async def urgent_flood() -> None:
            tasks = [asyncio.create_task(load.request("a", Rank.URGENT)) for _ in range(50)]
            for _ in range(1000):
                await asyncio.sleep(0.001)
                tasks.append(asyncio.create_task(load.request("a", Rank.URGENT)))

        await run_for(
            load,
            urgent_flood(),
            load.flood("b", Rank.NORMAL, 500),
            load.flood("c", Rank.BACKGROUND, 500),
        )
        total = sum(load.served.values())
        self.assertGreaterEqual(load.served["b", Rank.NORMAL] / total, 0.08)
        self.assertGreaterEqual(load.served["c", Rank.BACKGROUND] / total, 0.04)
        self.assertGreaterEqual(load.served["a", Rank.URGENT] / total, 0.75)

    @virtual_time
    async def test_urgent_flood_is_refused_only_what_cannot_start_in_time(self) -> None:
        load = Load()
        deadline = 20 * SERVICE_SECONDS

        async def urgent_flood() -> None:
            for _ in range(1200):
                await asyncio.sleep(1 / 1200)  # three times the capacity
                asyncio.ensure_future(load.request("a", Rank.URGENT, seconds=deadline))

        await run_for(load, urgent_flood(), seconds=1.1)
        self.assertGreaterEqual(load.served["a", Rank.URGENT], 0.9 * 400)
        self.assertLessEqual(max(load.waits["a", Rank.URGENT]), deadline - SERVICE_SECONDS)
        self.assertTrue(all(refusal.ran is Ran.NO for refusal, _ in load.refusals))
        # After the flood, the customer is admitted at once again.
        refused = len(load.refusals)
        await asyncio.sleep(deadline)
        load.waits.clear()
        for _ in range(20):
            await load.request("a", Rank.URGENT, seconds=deadline)
        self.assertEqual(len(load.refusals), refused)
        self.assertEqual(max(load.waits["a", Rank.URGENT]), 0.0)

    @virtual_time
    async def test_urgent_callers_within_the_capacity_are_never_refused(self) -> None:
        for callers in (1, 2, 5, 20):
            load = Load()

            async def send_requests(load: Load = load) -> None:
                for _ in range(50):
                    await load.request("a", Rank.URGENT, seconds=100 * SERVICE_SECONDS)

            await asyncio.gather(*(send_requests() for _ in range(callers)))
            self.assertEqual(load.refusals, [], f"{callers} callers")


class FairnessTest(unittest.TestCase):
    @virtual_time
    async def test_flood_of_one_customer_leaves_the_other_its_share(self) -> None:
        load = Load()
        await run_for(
            load,
            load.flood("flooder", Rank.NORMAL, 3000),
            load.flood("other", Rank.NORMAL, 150),
        )
        self.assertEqual(load.served["other", Rank.NORMAL], 150)
        self.assertLess(max(load.waits["other", Rank.NORMAL]), 150 * 2 * SERVICE_SECONDS / 4 + 0.01)

    @virtual_time
    async def test_customers_share_by_weight(self) -> None:
        load = Load()
        rows = {
            name: Row(name, "search", Rank.NORMAL, weight, 1000, 100_000)
            for name, weight in (("heavy", 3.0), ("light", 1.0))
        }
        await run_for(
            load, *(load.flood(name, Rank.NORMAL, 1000, row=row) for name, row in rows.items())
        )
        ratio = load.served["heavy", Rank.NORMAL] / load.served["light", Rank.NORMAL]
        self.assertAlmostEqual(ratio, 3.0, delta=0.2)


class LimitTest(unittest.TestCase):
    @virtual_time
    async def test_request_that_cannot_start_in_time_is_refused_at_once(self) -> None:
        load = Load()
        flood = asyncio.create_task(load.flood("a", Rank.BACKGROUND, 400))
        await asyncio.sleep(0.1)
        await load.request("a", Rank.BACKGROUND, seconds=0.2)
        ((refusal, waited),) = load.refusals
        self.assertEqual((refusal.ran, waited), (Ran.NO, 0.0))
        self.assertAlmostEqual(refusal.retry_after, 360 * SERVICE_SECONDS / 4, delta=0.2)
        await flood

    @virtual_time
    async def test_request_that_waited_too_long_never_starts(self) -> None:
        load = Load(limit=COST)
        await load.request("a", Rank.NORMAL)
        blocker = await load.admission.admit(
            Work("r0", "x", "search", Rank.URGENT, 60.0, 0.0, COST), Row("x", "search", Rank.URGENT)
        )
        await load.request("a", Rank.NORMAL, seconds=0.2)
        self.assertEqual(load.served["a", Rank.NORMAL], 1)
        ((refusal, waited),) = load.refusals
        self.assertEqual(refusal.ran, Ran.NO)
        self.assertLess(waited, 0.2)
        blocker.ok.release()

    @virtual_time
    async def test_row_limits_are_kept_and_shared_between_vms(self) -> None:
        load = Load(limit=1000 * COST, vms=2)
        row = Row("a", "search", Rank.NORMAL, 1.0, max_in_flight=6, max_queued=5)
        await load.flood("a", Rank.NORMAL, 20, row=row)
        self.assertEqual(load.peak, 3)
        self.assertEqual(load.served["a", Rank.NORMAL], 8)
        self.assertEqual(len(load.refusals), 12)

    @virtual_time
    async def test_cancelled_requests_release_their_capacity(self) -> None:
        load = Load()
        await run_for(load, load.flood("a", Rank.NORMAL, 300), seconds=0.035)
        self.assertEqual(load.admission.queue_length(Rank.NORMAL), 0)
        before = sum(load.served.values())
        await load.flood("b", Rank.NORMAL, 4)
        self.assertEqual(sum(load.served.values()) - before, 4)
        self.assertEqual(max(load.waits["b", Rank.NORMAL]), 0.0)
