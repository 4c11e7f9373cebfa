"""Tests that poison queries crash a bounded number of replicas and that others are answered."""

import asyncio
import unittest

from auburncart.coordination.batching import UpToLimit
from auburncart.coordination.crash_quarantine import CrashQuarantine
from auburncart.coordination.node import Node
from auburncart.coordination.observer import NullObserver
from auburncart.coordination.policies import baseline_policies
from auburncart.coordination.retry import BudgetedRetrying
from auburncart.standins.fakes import FakeBus, FakeNetwork
from auburncart.standins.site import DEMO_TABLE
from auburncart.state.member import Member
from auburncart.state.payload import QueryLoss
from auburncart.state.query import QueryRun
from auburncart.state.search import SearchAnswer, SearchRequest
from auburncart.tests.site import Site
from auburncart.tests.virtual import virtual_time

POISON = "poison"
MAX_CRASHES = 2  # by one query in a connected tier, before its first refusal period ends
SHARDS = 10


class Tier:
    """Several VMs with the same upstreams, which crash on any query that contains ``poison``."""

    def __init__(
        self, vms: int = 3, canary: bool = True, shards: int = SHARDS, replicas: int = 2
    ) -> None:
        self.site = Site(shards=shards, replicas=replicas, batch_limit=8)
        self.network = FakeNetwork(0.01)
        self.quarantines: list[CrashQuarantine] = []
        self.nodes = [self._node(number, canary) for number in range(vms)]
        for model in self.site.models.values():
            model.set_crash_text(POISON)

    @property
    def crashes(self) -> int:
        return sum(model.crashes for model in self.site.models.values())

    def restart_replicas(self) -> None:
        for model in self.site.models.values():
            if not model.alive:
                model.restart()

    def partition_all(self) -> None:
        addresses = list(self.network.buses)
        for left in addresses:
            for right in addresses:
                self.network.cut(left, right)

    async def search(self, vm: int, query: str, seconds: float = 1.0) -> SearchAnswer:
        deadline = asyncio.get_running_loop().time() + seconds
        request = SearchRequest(f"vm{vm}-{query}", "ladera", "closure", query, deadline)
        return (await self.nodes[vm].searches.search(request)).ok

    async def close(self) -> None:
        for node in self.nodes:
            await node.stop()

    def _node(self, number: int, canary: bool) -> Node:
        quarantine = CrashQuarantine(seed=number, canary=canary)
        quarantine.exchange_losses(FakeBus(Member(f"10.9.0.{number}:7000", "dc1", 1), self.network))
        self.quarantines.append(quarantine)
        policies = baseline_policies(max_concurrent=64, vms=3)._replace(
            quarantine=quarantine,
            batching=UpToLimit(),
            retrying=BudgetedRetrying(seed=number),
        )
        site = self.site
        node = Node(f"vm{number}", "dc1", site.store, site.dialer, policies, NullObserver())
        node.catalogue.install(site.shard_map)
        node.tables.install(DEMO_TABLE)
        return node


class PoisonTest(unittest.TestCase):
    @virtual_time
    async def test_baseline_loses_both_replicas_of_every_shard(self) -> None:
        site = Site(shards=SHARDS)
        for model in site.models.values():
            model.set_crash_text("net")
        deadline = asyncio.get_running_loop().time() + 1.0
        await site.searches.search(SearchRequest("r", "ladera", "closure", "net", deadline))
        await site.close()
        self.assertEqual(sum(model.crashes for model in site.models.values()), 2 * SHARDS)

    @virtual_time
    async def test_query_resent_to_every_vm_crashes_the_maximum_and_no_more(self) -> None:
        tier = Tier()
        answers = []
        for turn in range(30):
            answers.append(await tier.search(turn % 3, POISON))
            tier.restart_replicas()
        await tier.close()
        self.assertEqual(tier.crashes, MAX_CRASHES)
        for answer in answers:
            self.assertEqual(answer.coverage.answered, 0)
            reasons = {gap.reason for gap in answer.coverage.missing}
            self.assertEqual(reasons, {"not sent: upstreams were lost while they ran this query"})

    @virtual_time
    async def test_query_sent_to_all_vms_at_once(self) -> None:
        tier = Tier(vms=8)
        searches = [tier.search(vm, POISON) for vm in range(8) for _ in range(5)]
        await asyncio.gather(*searches)
        await tier.close()
        # All VMs test it on the same shards in the same order, one search at a time on each VM.
        self.assertLessEqual(tier.crashes, 2 * MAX_CRASHES)

    @virtual_time
    async def test_partitioned_vms_lose_at_most_the_maximum_each(self) -> None:
        tier = Tier(vms=3)
        tier.partition_all()
        for turn in range(12):
            await tier.search(turn % 3, POISON)
            tier.restart_replicas()
        await tier.close()
        self.assertLessEqual(tier.crashes, 3 * MAX_CRASHES)

    @virtual_time
    async def test_each_later_refusal_period_costs_one_replica_in_the_whole_tier(self) -> None:
        tier = Tier()
        loop = asyncio.get_running_loop()
        end = loop.time() + 3600.0
        turn = 0
        while loop.time() < end:
            await tier.search(turn % 3, POISON)
            tier.restart_replicas()
            turn += 1
            await asyncio.sleep(1.0)
        await tier.close()
        # Refusal periods last at least 30, 60, 120, ... seconds: at most seven end within an hour.
        self.assertLessEqual(tier.crashes, MAX_CRASHES + 7)

    @virtual_time
    async def test_harmless_queries_sent_with_it_are_answered_in_full(self) -> None:
        tier = Tier()
        loop = asyncio.get_running_loop()
        harmless = []
        for turn in range(60):
            searches = [tier.search(vm, f"good {vm} {turn % 4}") for vm in range(3)]
            if turn % 5 == 0:
                searches.append(tier.search(turn % 3, POISON))
            found = await asyncio.gather(*searches)
            harmless += found[:3]
            tier.restart_replicas()
            await asyncio.sleep(0.05)
        complete = sum(answer.coverage.complete for answer in harmless)
        await tier.close()
        self.assertEqual(complete, len(harmless))
        self.assertLess(loop.time(), 60.0)

    @virtual_time
    async def test_harmless_query_of_a_lost_batch_is_cleared_by_its_own_trial(self) -> None:
        tier = Tier(vms=1, canary=False, shards=1, replicas=3)
        good = [tier.search(0, f"good {number}") for number in range(6)]
        answers = await asyncio.gather(*good, tier.search(0, POISON))
        tier.restart_replicas()
        again = await tier.search(0, POISON)
        await tier.close()
        self.assertEqual(tier.crashes, MAX_CRASHES)
        self.assertTrue(all(answer.coverage.complete for answer in answers[:6]))
        self.assertFalse(again.coverage.complete)

    @virtual_time
    async def test_lost_data_centre_refuses_no_query_for_long(self) -> None:
        tier = Tier(vms=2)
        await tier.search(0, "good")
        running = [asyncio.create_task(tier.search(vm, "good")) for vm in (0, 1)]
        await asyncio.sleep(0.007)
        for shard in range(SHARDS):
            tier.site.models[f"10.0.{shard}.0:80"].kill()
        await asyncio.gather(*running)
        answers = [await tier.search(vm, "good") for vm in (0, 1)]
        await tier.close()
        self.assertTrue(all(answer.coverage.complete for answer in answers))

    @virtual_time
    async def test_memory_is_bounded(self) -> None:
        quarantine = CrashQuarantine(seed=1)
        for number in range(20_000):
            run = QueryRun(f"{number:032x}", "s1", "a")
            quarantine.record_loss(f"10.0.0.{number}:80", (run,), True, 0.0)
            quarantine.record_answer(QueryRun(f"{number:032x}", "s1", "b"), 0.0)
        self.assertLessEqual(len(quarantine._suspects), 4096)
        self.assertLessEqual(len(quarantine._answered_snapshots), 8192)

    @virtual_time
    async def test_reports_that_arrive_twice_and_late_count_once(self) -> None:
        tier = Tier(vms=1)
        bus = FakeBus(Member("10.9.9.9:7000", "dc1", 1), tier.network)
        run = QueryRun.of("closure", "good", "s1", "shard-00")
        for _ in range(5):
            bus.publish(QueryLoss(run.digest, "10.0.0.0:80", True, run.shard))
            await asyncio.sleep(0.5)
        answer = await tier.search(0, "good")
        await tier.close()
        self.assertTrue(answer.coverage.complete)


if __name__ == "__main__":
    unittest.main()
