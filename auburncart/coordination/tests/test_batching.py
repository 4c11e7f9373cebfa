"""Batching: sub-queries queued for the same upstream are sent in one request."""

import asyncio
import unittest

from auburncart.coordination.policies import default_policies
from auburncart.coordination.ranked_batching import RankedBatching
from auburncart.state.shards import Replica, Shard, ShardMap
from auburncart.state.work import Rank
from auburncart.tests.site import Site, search_request
from auburncart.tests.virtual import virtual_time

SHARDS = 16


def map_with_four_upstreams(site: Site, batch_limit: int) -> ShardMap:
    """Return a map by which four upstreams hold all shards, each shard on two of them."""
    models = list(site.models.values())[:4]
    replicas = [
        Replica(upstream.shape.address, "dc1", batch_limit=batch_limit) for upstream in models
    ]
    hits = {name: model.shards[name] for model in site.models.values() for name in model.shards}
    for model in models:
        model.shards = hits
    shards = {
        name: Shard(name, (replicas[number % 4], replicas[(number + 1) % 4]))
        for number, name in enumerate(sorted(hits))
    }
    return ShardMap("s1", 2, shards)


class BatchTest(unittest.TestCase):
    async def count_requests(self, batch_limit: int) -> int:
        site = Site(shards=SHARDS, policies=default_policies(vms=3))
        site.catalogue.install(map_with_four_upstreams(site, batch_limit))
        await site.searches.search(search_request(1))
        before = sum(model.requests for model in site.models.values())
        answer = (await site.searches.search(search_request(2))).ok
        await site.close()
        self.assertTrue(answer.coverage.complete)
        self.assertEqual(len(answer.hits), SHARDS)
        return sum(model.requests for model in site.models.values()) - before

    @virtual_time
    async def test_batches_need_at_most_a_fifth_of_the_requests(self) -> None:
        self.assertLessEqual(await self.count_requests(batch_limit=16), SHARDS / 5)

    @virtual_time
    async def test_batch_limit_of_one_needs_one_request_per_shard(self) -> None:
        self.assertEqual(await self.count_requests(batch_limit=1), SHARDS)

    @virtual_time
    async def test_urgent_search_waits_for_at_most_half_a_background_batch(self) -> None:
        replica = Replica("10.0.0.0:80", "dc1", batch_limit=16)
        batching = RankedBatching()
        self.assertEqual(batching.size(replica, 100, Rank.URGENT), 16)
        self.assertEqual(batching.size(replica, 100, Rank.BACKGROUND), 8)
        site = Site(shards=1, replicas=1, policies=default_policies(vms=25), batch_limit=16)
        archive = [
            asyncio.create_task(
                site.searches.search(search_request(number, kind="archive", seconds=5.0))
            )
            for number in range(16)
        ]
        await asyncio.sleep(0.007)
        start = asyncio.get_running_loop().time()
        await site.searches.search(search_request(99))
        waited = asyncio.get_running_loop().time() - start
        await asyncio.gather(*archive)
        await site.close()
        self.assertLess(waited, 0.05)
