"""Outages, delays and invalid values of the platform's store, and how many calls it gets."""

import asyncio
import unittest

from auburncart.coordination.catalogue import SHARD_MAP
from auburncart.coordination.idempotency import make_key
from auburncart.coordination.interfaces import Stored
from auburncart.coordination.node import Node
from auburncart.coordination.observer import NullObserver
from auburncart.coordination.table import TABLE
from auburncart.protocol.platform import encode_value, object_path
from auburncart.standins.fakes import FakeStore
from auburncart.standins.platform import PlatformModel
from auburncart.standins.site import DEMO_TABLE, publish
from auburncart.state.failure import Ran
from auburncart.state.order import OrderRequest
from auburncart.tests.site import Site, search_request
from auburncart.tests.virtual import virtual_time

TABLE_PATH = object_path(TABLE)
VMS = 60
IN_FORCE_SECONDS = 7


class EarlyStore(FakeStore):
    """A store whose watches return early although nothing has changed."""

    async def watch(self, key, etag, wait):
        self._model.calls += 1
        await asyncio.sleep(0.001)


class HangingStore(FakeStore):
    """A store whose first watch of each object never returns."""

    def __init__(self, model: PlatformModel) -> None:
        super().__init__(model)
        self.hung: set[str] = set()

    async def watch(self, key, etag, wait) -> Stored | None:
        if key.kind not in self.hung:
            self.hung.add(key.kind)
            await asyncio.Event().wait()
        return await super().watch(key, etag, wait)


async def publish_initial(site: Site) -> None:
    await publish(site.platform, site.shard_map, DEMO_TABLE)


async def replace_table(site: Site, body: bytes) -> None:
    await site.platform.write(TABLE_PATH, body, site.platform.objects[TABLE_PATH].etag)


def new_table(version: int) -> bytes:
    document = DEMO_TABLE._replace(table=DEMO_TABLE.table._replace(version=version))
    return encode_value(TABLE, document)


def order_request(number: int) -> OrderRequest:
    now = asyncio.get_running_loop().time()
    key = make_key(now, number)
    return OrderRequest(f"o{number}", key, "ladera", "closure", "shard-01", "fix", now + 5.0)


def make_node(site: Site, number: int, store: FakeStore) -> Node:
    return Node(f"vm{number}", "dc1", store, site.dialer, site.policies, NullObserver())


class WatchTest(unittest.TestCase):
    @virtual_time
    async def test_invalid_table_does_not_stop_the_watch(self) -> None:
        site = Site()
        await publish_initial(site)
        site.node.start()
        for body in (b"{", b"[]", b'{"table": null}', b"\xff", b'{"table":{"version":"x"}}'):
            await replace_table(site, body)
            await asyncio.sleep(30.0)
            self.assertEqual(site.tables.table.version, 1)
        await replace_table(site, new_table(7))
        await asyncio.sleep(30.0)
        self.assertEqual(site.tables.table.version, 7)
        await site.close()

    @virtual_time
    async def test_hanging_watch_is_abandoned(self) -> None:
        site = Site()
        await publish_initial(site)
        node = make_node(site, 2, HangingStore(site.platform))
        node.start()
        await asyncio.sleep(60.0)
        self.assertTrue(node.ready)
        await node.stop()

    @virtual_time
    async def test_watch_that_returns_early_is_repeated_after_a_delay(self) -> None:
        site = Site()
        node = make_node(site, 2, EarlyStore(site.platform))
        node.start()
        await asyncio.sleep(60.0)
        await node.stop()
        self.assertLess(site.platform.calls, 60)


class OutageTest(unittest.TestCase):
    @virtual_time
    async def test_long_outage_leaves_searches_working_and_refuses_orders(self) -> None:
        site = Site()
        await publish_initial(site)
        site.node.start()
        await asyncio.sleep(1.0)
        site.platform.set_outage(True)
        loop = asyncio.get_running_loop()
        for hour in range(3):
            answer = (await site.searches.search(search_request(hour))).ok
            self.assertTrue(answer.coverage.complete)
            before = loop.time()
            refusal = (await site.orders.order(order_request(hour))).error
            self.assertEqual(refusal.ran, Ran.NO)
            self.assertLess(loop.time() - before, 5.1)
            await asyncio.sleep(3600.0)
        self.assertEqual([len(model.effects) for model in site.models.values()], [0] * 8)
        site.platform.set_outage(False)
        await asyncio.sleep(15.0)
        self.assertEqual((await site.orders.order(order_request(9))).ok.ran, Ran.YES)
        await site.close()

    @virtual_time
    async def test_orders_in_an_outage_make_few_store_calls(self) -> None:
        site = Site()
        site.platform.set_outage(True)
        for number in range(600):
            self.assertEqual((await site.orders.order(order_request(number))).error.ran, Ran.NO)
            await asyncio.sleep(0.1)
        self.assertLess(site.platform.calls, 60)
        await site.close()

    @virtual_time
    async def test_slow_store_delays_orders_but_not_searches(self) -> None:
        site = Site()
        await publish_initial(site)
        site.node.start()
        await asyncio.sleep(1.0)
        site.platform.set_delay(1.2)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        searched = (await site.searches.search(search_request())).ok
        self.assertTrue(searched.coverage.complete)
        self.assertLess(loop.time() - started_at, 0.1)
        self.assertEqual((await site.orders.order(order_request(1))).ok.ran, Ran.YES)
        short_order = order_request(2)._replace(deadline=loop.time() + 1.0)
        self.assertEqual((await site.orders.order(short_order)).error.ran, Ran.NO)
        await asyncio.sleep(30.0)
        again = short_order._replace(request_id="o3", deadline=loop.time() + 9.0, repeat=True)
        self.assertEqual((await site.orders.order(again)).ok.ran, Ran.YES)
        await replace_table(site, new_table(2))
        await asyncio.sleep(IN_FORCE_SECONDS)
        self.assertEqual(site.tables.table.version, 2)
        await site.close()

    @virtual_time
    async def test_store_calls_are_bounded_when_an_outage_ends(self) -> None:
        site = Site()
        await publish_initial(site)
        nodes = [make_node(site, number, FakeStore(site.platform)) for number in range(VMS)]
        for node in nodes:
            node.start()
        await asyncio.sleep(30.0)
        site.platform.set_outage(True)
        calls_in_outage = await self.count_calls_each_second(site.platform, 600)
        site.platform.set_outage(False)
        await replace_table(site, new_table(2))
        calls_after_outage = await self.count_calls_each_second(site.platform, IN_FORCE_SECONDS)
        self.assertLess(sum(calls_in_outage[60:]) / len(calls_in_outage[60:]), VMS / 2)
        self.assertLess(max(calls_in_outage[60:]), VMS)
        self.assertLess(max(calls_after_outage), 2 * VMS)
        self.assertEqual({node.tables.table.version for node in nodes}, {2})
        for node in nodes:
            await node.stop()

    async def count_calls_each_second(self, platform: PlatformModel, seconds: int) -> list[int]:
        counts = []
        for _ in range(seconds):
            before = platform.calls
            await asyncio.sleep(1.0)
            counts.append(platform.calls - before)
        return counts


class ShardMapTest(unittest.TestCase):
    @virtual_time
    async def test_invalid_shard_map_leaves_the_previous_one_in_force(self) -> None:
        site = Site()
        await publish_initial(site)
        site.node.start()
        path = object_path(SHARD_MAP)
        await site.platform.write(path, b'{"shards": 3}', site.platform.objects[path].etag)
        await asyncio.sleep(30.0)
        self.assertTrue((await site.searches.search(search_request())).ok.coverage.complete)
        await site.close()
