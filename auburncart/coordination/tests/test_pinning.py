"""Searches during which a snapshot is retired or a shard moves."""

import asyncio
import unittest

from auburncart.state.shards import Shard, ShardMap
from auburncart.tests.site import Site, search_request
from auburncart.tests.virtual import virtual_time

SHARDS = 6


def next_map(site: Site) -> ShardMap:
    return site.shard_map._replace(snapshot="s2", version=2)


async def switch_snapshot(site: Site, after: float, *, keep: bool = False) -> None:
    """Switch the upstreams to s2 at once, and this VM ``after`` seconds later."""
    for model in site.models.values():
        model.set_snapshots(*(("s1", "s2") if keep else ("s2",)))
    await asyncio.sleep(after)
    site.catalogue.install(next_map(site))


class RetiredSnapshotTest(unittest.TestCase):
    @virtual_time
    async def test_search_is_restarted_on_the_newer_snapshot(self) -> None:
        site = Site(shards=SHARDS)
        switching = asyncio.create_task(switch_snapshot(site, after=0.1))
        answer = (await site.searches.search(search_request())).ok
        await switching
        await site.close()
        self.assertEqual((answer.snapshot, answer.coverage.complete), ("s2", True))
        self.assertEqual(len(answer.hits), SHARDS)

    @virtual_time
    async def test_partly_retired_snapshot_is_never_mixed_with_another(self) -> None:
        site = Site(shards=SHARDS)
        for copy in range(2):
            site.models[f"10.0.3.{copy}:80"].set_snapshots("s2")
        answer = (await site.searches.search(search_request(seconds=0.3))).ok
        await site.close()
        self.assertEqual(answer.snapshot, "s1")
        self.assertEqual(len(answer.hits), SHARDS - 1)
        ((shard, _, _, reason),) = answer.coverage.missing
        self.assertEqual(shard, "shard-03")
        self.assertIn("retired", reason)

    @virtual_time
    async def test_missing_shards_are_named_when_it_is_too_late_to_restart(self) -> None:
        site = Site(shards=SHARDS)
        switching = asyncio.create_task(switch_snapshot(site, after=5.0))
        start = asyncio.get_running_loop().time()
        answer = (await site.searches.search(search_request(seconds=0.5))).ok
        self.assertLessEqual(asyncio.get_running_loop().time() - start, 0.5001)
        switching.cancel()
        await site.close()
        self.assertEqual((answer.coverage.answered, answer.coverage.complete), (0, False))
        self.assertEqual(len(answer.coverage.missing), SHARDS)

    @virtual_time
    async def test_straggler_does_not_delay_the_restart(self) -> None:
        site = Site(shards=SHARDS)
        await site.searches.search(search_request())
        for copy in range(2):
            site.models[f"10.0.0.{copy}:80"].set_slow(100)
        for copy in range(2):
            site.models[f"10.0.1.{copy}:80"].set_snapshots("s2")
        site.catalogue.install(site.shard_map._replace(version=2))
        searching = asyncio.create_task(site.searches.search(search_request(seconds=2.0)))
        await asyncio.sleep(0.05)
        for model in site.models.values():
            model.set_slow(1.0)
            model.set_snapshots("s1", "s2")
        site.catalogue.install(site.shard_map._replace(snapshot="s2", version=3))
        answer = (await searching).ok
        elapsed = asyncio.get_running_loop().time()
        await site.close()
        self.assertEqual((answer.snapshot, answer.coverage.complete), ("s2", True))
        self.assertLess(elapsed, 1.0)

    @virtual_time
    async def test_moved_shard_is_found_on_its_new_replica(self) -> None:
        site = Site(shards=SHARDS)
        hits = site.models["10.0.2.0:80"].shards["shard-02"]
        for copy in range(2):
            del site.models[f"10.0.2.{copy}:80"].shards["shard-02"]
        site.models["10.0.4.0:80"].shards["shard-02"] = hits
        for model in site.models.values():
            model.set_snapshots("s1", "s2")
        replicas = site.shard_map.shards["shard-04"].replicas[:1]
        shards = {**site.shard_map.shards, "shard-02": Shard("shard-02", replicas)}
        new = next_map(site)._replace(shards=shards)
        asyncio.get_running_loop().call_later(0.05, site.catalogue.install, new)
        answer = (await site.searches.search(search_request())).ok
        await site.close()
        self.assertEqual((answer.snapshot, answer.coverage.complete), ("s2", True))
        self.assertEqual(len(answer.hits), SHARDS)

    @virtual_time
    async def test_shard_named_twice_counts_once(self) -> None:
        site = Site(shards=SHARDS)
        request = search_request()._replace(shards=("shard-01", "shard-01", "shard-02"))
        answer = (await site.searches.search(request)).ok
        await site.close()
        self.assertEqual((answer.coverage.asked, len(answer.hits)), (2, 2))
