"""Tests of combined failures: an outage or a partition during a shutdown, and a pause."""

import asyncio
import itertools
import unittest

from auburncart.coordination.idempotency import make_key
from auburncart.coordination.node import Node
from auburncart.coordination.observer import NullObserver
from auburncart.coordination.shutdown import Shutdown, ShutdownTimes
from auburncart.coordination.tests.test_outage import new_table, publish_initial, replace_table
from auburncart.coordination.tests.test_shutdown import Port
from auburncart.scenario.pause import Freezer, FrozenDialer, FrozenStore
from auburncart.standins.fakes import FakeDialer, FakeStore
from auburncart.state.failure import Ran
from auburncart.state.order import OrderRequest
from auburncart.tests.site import Site, search_request
from auburncart.tests.virtual import virtual_time

TIMES = ShutdownTimes(2.0, 10.0)
ORDERS = 40
numbers = itertools.count(1)


class Vm:
    """A VM that can be paused and disconnected from the store."""

    def __init__(self, site: Site) -> None:
        self.freezer = Freezer()
        self.store = FakeStore(site.platform)
        self.dialer = FakeDialer(site.models)
        self.node = Node(
            f"vm{next(numbers)}",
            "dc1",
            FrozenStore(self.store, self.freezer),
            FrozenDialer(self.dialer, self.freezer),
            site.policies,
            NullObserver(),
        )
        self.port = Port(self.node)
        self.node.start()

    async def order(self, key: str, number: int, *, repeat: bool = False) -> Ran:
        deadline = asyncio.get_running_loop().time() + 3.0
        request = OrderRequest(
            f"o{number}", key, "ladera", "closure", "shard-01", "fix", deadline, repeat
        )
        with self.node.request_tracker.track():
            result = await self.node.orders.order(request)
        return result.error.ran if result.is_error() else result.ok.ran

    async def leave(self) -> int:
        """Shut down and return the number of claims whose outcome could not be stored."""
        assert await Shutdown(self.node.request_tracker, self.port, TIMES).run() == 0
        unstored = await self.node.orders.close(TIMES.drain_timeout)
        await self.node.stop()
        return unstored


def effects_by_key(site: Site) -> dict[str, int]:
    counts: dict[str, int] = {}
    for model in site.models.values():
        for effect in model.effects:
            counts[effect.key] = counts.get(effect.key, 0) + 1
    return counts


class CombinedFailuresTest(unittest.TestCase):
    def check(self, site: Site, keys: list[str], answers: list[Ran]) -> None:
        effects = effects_by_key(site)
        for key, ran in zip(keys, answers, strict=True):
            wanted = {Ran.YES: (1,), Ran.NO: (0,), Ran.UNKNOWN: (0, 1)}[ran]
            self.assertIn(effects.get(key, 0), wanted, (key, ran))

    @virtual_time
    async def test_outage_during_a_replacement_cuts_off_nothing_and_answers_truthfully(
        self,
    ) -> None:
        site = Site()
        await publish_initial(site)
        old, new = Vm(site), Vm(site)
        await asyncio.sleep(1.0)
        keys = [make_key(1.0, number) for number in range(ORDERS)]
        loop = asyncio.get_running_loop()
        loop.call_later(0.25, site.platform.set_outage, True)
        loop.call_later(6.0, site.platform.set_outage, False)
        orders = []
        for number, key in enumerate(keys):
            orders.append(asyncio.create_task(old.order(key, number)))
            await asyncio.sleep(0.02)
        self.assertEqual(await old.leave(), 0)
        answers = await asyncio.gather(*orders)
        self.check(site, keys, answers)
        self.assertTrue({Ran.YES, Ran.NO} <= set(answers))
        search = (await new.node.searches.search(search_request())).ok
        self.assertTrue(search.coverage.complete)
        await asyncio.sleep(15.0)
        again = [await new.order(key, 100 + n, repeat=True) for n, key in enumerate(keys)]
        self.check(site, keys, again)
        self.assertNotIn(Ran.NO, again)
        await new.node.stop()

    @virtual_time
    async def test_shutdown_without_the_store_still_answers_and_ends_in_time(self) -> None:
        site = Site()
        await publish_initial(site)
        vm = Vm(site)
        await asyncio.sleep(1.0)
        keys = [make_key(1.0, number) for number in range(ORDERS)]
        orders = [asyncio.create_task(vm.order(key, n)) for n, key in enumerate(keys)]
        searches = [asyncio.create_task(vm.port.send(number)) for number in range(10)]
        await asyncio.sleep(0.01)
        vm.store.cut = True
        started_at = asyncio.get_running_loop().time()
        unstored = await vm.leave()
        self.assertLess(asyncio.get_running_loop().time() - started_at, 20.0)
        self.assertTrue(all(await asyncio.gather(*searches)))
        self.check(site, keys, await asyncio.gather(*orders))
        self.assertGreater(unstored, 0)  # outcomes not stored: a repeat gets 'unknown'
        other = Vm(site)
        await asyncio.sleep(1.0)
        again = [await other.order(key, 100 + n, repeat=True) for n, key in enumerate(keys)]
        self.check(site, keys, again)
        await other.node.stop()

    @virtual_time
    async def test_pause_during_a_table_change_while_callers_repeat_their_orders(self) -> None:
        site = Site()
        await publish_initial(site)
        paused, other = Vm(site), Vm(site)
        await asyncio.sleep(1.0)
        keys = [make_key(1.0, number) for number in range(ORDERS)]
        first = [asyncio.create_task(paused.order(key, n)) for n, key in enumerate(keys)]
        await asyncio.sleep(0.004)
        paused.freezer.freeze()
        await replace_table(site, new_table(5))
        await asyncio.sleep(1.0)
        again = [await other.order(key, 100 + n, repeat=True) for n, key in enumerate(keys)]
        await asyncio.sleep(30.0)
        paused.freezer.thaw()
        late = await asyncio.gather(*first)
        await asyncio.sleep(30.0)
        self.assertEqual(paused.node.tables.table.version, 5)
        self.check(site, keys, again)
        for key, ran in zip(keys, late, strict=True):
            if ran is Ran.YES:
                self.assertEqual(effects_by_key(site)[key], 1)
        self.assertLessEqual(max(effects_by_key(site).values(), default=0), 1)
        final = [await other.order(key, 200 + n, repeat=True) for n, key in enumerate(keys)]
        self.check(site, keys, final)
        self.assertEqual(set(final), {Ran.YES})
        await paused.node.stop()
        await other.node.stop()
