"""Draining upstreams get no new work and lose none; wrong signals cost no coverage."""

import asyncio
import random
import unittest

from auburncart.coordination.drain import UPSTREAM_STATUS, SignalDraining
from auburncart.coordination.idempotency import make_key
from auburncart.coordination.policies import default_policies
from auburncart.coordination.tests.trial import baseline, retrying
from auburncart.protocol.platform import encode_value, object_path
from auburncart.state.order import OrderRequest
from auburncart.state.upstream import UpstreamCondition
from auburncart.state.upstream_status import UpstreamStatus
from auburncart.tests.site import Site, search_request
from auburncart.tests.virtual import virtual_time

DRAINED = "10.0.1.0:80"
MAX_DRAIN_SECONDS = 3.0


class DrainSite(Site):
    """A site under steady load that records when one upstream got requests."""

    def __init__(self, shards: int = 4) -> None:
        policies = retrying()._replace(draining=SignalDraining())
        super().__init__(shards=shards, policies=policies)
        self.request_times: list[float] = []
        self.followers: list[asyncio.Task[None]] = []
        model = self.models[DRAINED]
        search = model.search

        async def recorded(batch):  # type: ignore[no-untyped-def]
            self.request_times.append(asyncio.get_running_loop().time())
            return await search(batch)

        model.search = recorded  # type: ignore[method-assign]

    def follow(self) -> None:
        following = self.policies.draining.follow(self.store, self.catalogue, random.Random(1))
        self.followers.append(asyncio.create_task(following))

    async def load(self, seconds: float) -> list:  # type: ignore[type-arg]
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        tasks = []
        while loop.time() < end:
            request = search_request(len(tasks))
            tasks.append(asyncio.create_task(self.searches.search(request)))
            await asyncio.sleep(0.01)
        return [(await task).ok.coverage for task in tasks]

    async def close(self) -> None:
        for task in self.followers:
            task.cancel()
        await super().close()


class DrainTest(unittest.TestCase):
    @virtual_time
    async def test_baseline_keeps_sending_work(self) -> None:
        site = Site(shards=4, policies=baseline())
        site.models[DRAINED].set_condition(UpstreamCondition.DRAINING)
        before = site.models[DRAINED].requests
        for number in range(50):
            await site.searches.search(search_request(number))
        await site.close()
        self.assertGreater(site.models[DRAINED].requests - before, 20)

    @virtual_time
    async def test_own_report_ends_new_work_and_loses_none(self) -> None:
        site = DrainSite()
        await site.load(1.0)
        signalled_at = asyncio.get_running_loop().time()
        site.models[DRAINED].set_condition(UpstreamCondition.DRAINING)
        coverages = await site.load(10.0)
        await site.close()
        self.assertTrue(all(coverage.complete for coverage in coverages))
        self.assertLessEqual(max(site.request_times), signalled_at + MAX_DRAIN_SECONDS)

    @virtual_time
    async def test_order_goes_to_the_replica_that_does_not_drain(self) -> None:
        site = DrainSite(shards=2)
        await site.load(0.5)
        site.models[DRAINED].set_condition(UpstreamCondition.DRAINING)
        await site.load(0.5)
        for number in range(6):
            deadline = asyncio.get_running_loop().time() + 1.0
            key = make_key(deadline, number)
            order = OrderRequest(
                f"o{number}", key, "ladera", "closure", "shard-01", "fix", deadline
            )
            self.assertTrue((await site.orders.order(order)).is_ok())
        effects = {address: len(model.effects) for address, model in site.models.items()}
        await site.close()
        self.assertEqual((effects[DRAINED], effects["10.0.1.1:80"]), (0, 6))

    @virtual_time
    async def test_platform_list_ends_new_work(self) -> None:
        site = DrainSite()
        site.follow()
        await site.load(1.0)
        signalled_at = asyncio.get_running_loop().time()
        status = encode_value(UPSTREAM_STATUS, UpstreamStatus((DRAINED,)))
        await site.platform.write(object_path(UPSTREAM_STATUS), status, "")
        coverages = await site.load(10.0)
        await site.close()
        self.assertTrue(all(coverage.complete for coverage in coverages))
        self.assertLessEqual(max(site.request_times), signalled_at + MAX_DRAIN_SECONDS)

    @virtual_time
    async def test_newer_shard_map_without_it_ends_new_work_of_pinned_searches(self) -> None:
        site = DrainSite()
        site.follow()
        await site.load(1.0)
        signalled_at = asyncio.get_running_loop().time()
        shards = {
            name: shard._replace(
                replicas=tuple(replica for replica in shard.replicas if replica.address != DRAINED)
            )
            for name, shard in site.shard_map.shards.items()
        }
        site.catalogue.install(site.shard_map._replace(version=2, shards=shards))
        coverages = await site.load(5.0)
        await site.close()
        self.assertTrue(all(coverage.complete for coverage in coverages))
        self.assertLessEqual(max(site.request_times), signalled_at + MAX_DRAIN_SECONDS)

    @virtual_time
    async def test_queued_jobs_move_and_requests_in_flight_end(self) -> None:
        site = DrainSite()
        site.models[DRAINED].set_slow(30.0)
        searches = [
            asyncio.create_task(site.searches.search(search_request(number, seconds=5.0)))
            for number in range(80)
        ]
        await asyncio.sleep(0.05)
        site.models[DRAINED].set_condition(UpstreamCondition.DRAINING)
        coverages = [(await search).ok.coverage for search in searches]
        await site.close()
        self.assertTrue(all(coverage.complete for coverage in coverages))
        self.assertLess(len(site.request_times), 20)

    @virtual_time
    async def test_restarted_upstream_gets_work_again(self) -> None:
        site = DrainSite()
        model = site.models[DRAINED]
        await site.load(1.0)
        model.set_condition(UpstreamCondition.DRAINING)
        await site.load(3.0)
        model.kill()
        await site.load(2.0)
        model.set_condition(UpstreamCondition.READY)
        model.restart()
        restarted_at = asyncio.get_running_loop().time()
        coverages = await site.load(4.0)
        await site.close()
        self.assertTrue(all(coverage.complete for coverage in coverages))
        times = [at for at in site.request_times if at > restarted_at]
        self.assertTrue(times)
        self.assertLessEqual(times[0], restarted_at + 2.0)

    @virtual_time
    async def test_wrong_reports_and_lists_cost_no_coverage(self) -> None:
        site = DrainSite()
        site.follow()
        for model in site.models.values():
            model.set_report(UpstreamCondition.DRAINING)
        status = encode_value(UPSTREAM_STATUS, UpstreamStatus(tuple(site.models)))
        await site.platform.write(object_path(UPSTREAM_STATUS), status, "")
        coverages = await site.load(5.0)
        used = sum(1 for model in site.models.values() if model.requests > 50)
        await site.close()
        self.assertTrue(all(coverage.complete for coverage in coverages))
        self.assertEqual(used, len(site.models))

    @virtual_time
    async def test_dead_upstream_without_a_signal_is_detected(self) -> None:
        site = Site(shards=4, policies=default_policies(3))
        site.models[DRAINED].kill()
        answers = [(await site.searches.search(search_request(n))).ok for n in range(20)]
        await site.close()
        self.assertTrue(all(answer.coverage.complete for answer in answers))


if __name__ == "__main__":
    unittest.main()
