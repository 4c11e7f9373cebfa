"""Orders over fake upstreams: what a repeat, a lost reply and a pause may lead to."""

import asyncio
import unittest

from auburncart.standins.platform import WriteFault
from auburncart.state import OrderRequest, Ran, RefusalCode
from auburncart.tests.site import Site
from auburncart.tests.virtual import virtual_time

KEY = "00000000-03e8-7000-8000-000000000001"  # one second after the epoch


def order_request(number: int = 1, *, key: str = KEY, seconds: float = 1.0) -> OrderRequest:
    deadline = asyncio.get_running_loop().time() + seconds
    return OrderRequest(f"r{number}", key, "ladera", "closure", "shard-01", "fix", deadline)


def effects(site: Site) -> int:
    return sum(len(model.effects) for model in site.models.values())


class FaultTest(unittest.TestCase):
    @virtual_time
    async def test_try_with_the_request_id_of_another_is_not_taken_for_it(self) -> None:
        site = Site()
        await site.orders.order(order_request())
        await site.orders.order(order_request())
        self.assertEqual(effects(site), 1)

    @virtual_time
    async def test_order_that_was_not_sent_runs_when_repeated(self) -> None:
        site = Site()
        site.dialer.cut.update(site.models)
        refusal = (await site.orders.order(order_request())).error
        self.assertEqual(refusal.ran, Ran.NO)
        site.dialer.cut.clear()
        answer = (await site.orders.order(order_request(2))).ok
        self.assertEqual((answer.ran, effects(site)), (Ran.YES, 1))

    @virtual_time
    async def test_claim_whose_reply_was_lost_runs_when_repeated_after_the_outage(self) -> None:
        site = Site()
        site.platform.fail_next_write(WriteFault.LOST_REPLY)
        site.platform.set_delay(0.01)
        asyncio.get_running_loop().call_later(0.025, site.platform.set_outage, True)
        refusal = (await site.orders.order(order_request(seconds=6.0))).error
        self.assertEqual((refusal.ran, effects(site)), (Ran.NO, 0))
        site.platform.set_outage(False)
        await asyncio.sleep(30.0)
        answer = (await site.orders.order(order_request(2))).ok
        self.assertEqual((answer.ran, effects(site)), (Ran.YES, 1))

    @virtual_time
    async def test_slow_connect_ends_at_the_deadline_and_was_not_sent(self) -> None:
        site = Site()
        site.dialer._connect_seconds = 60.0
        began = asyncio.get_running_loop().time()
        refusal = (await site.orders.order(order_request())).error
        self.assertLess(asyncio.get_running_loop().time() - began, 1.5)
        self.assertEqual((refusal.ran, effects(site)), (Ran.NO, 0))

    @virtual_time
    async def test_cancelled_try_leaves_a_known_outcome(self) -> None:
        site = Site()
        for model in site.models.values():
            model.set_slow(50)
        task = asyncio.create_task(site.orders.order(order_request(seconds=5.0)))
        await asyncio.sleep(0.03)
        task.cancel()
        await asyncio.sleep(6.0)
        answer = (await site.orders.order(order_request(2))).ok
        self.assertEqual((answer.ran, effects(site)), (Ran.YES, 1))

    @virtual_time
    async def test_outcome_whose_write_failed_is_stored_later(self) -> None:
        site = Site()
        task = asyncio.create_task(site.orders.order(order_request()))
        await asyncio.sleep(0.006)  # claimed and connected, not yet answered
        site.platform.set_outage(True)
        first = (await task).ok
        self.assertEqual(first.ran, Ran.YES)
        site.platform.set_outage(False)
        await asyncio.sleep(30.0)
        second = (await site.orders.order(order_request(2))).ok
        self.assertEqual((second.ran, second.outcome), (Ran.YES, first.outcome))

    @virtual_time
    async def test_orders_keep_to_the_connection_limit(self) -> None:
        site = Site(shards=2, replicas=1)
        keys = [f"00000000-03e8-7000-8000-{number:012}" for number in range(60)]
        requests = [order_request(n, key=key, seconds=60.0) for n, key in enumerate(keys)]
        results = await asyncio.gather(*(site.orders.order(request) for request in requests))
        self.assertTrue(all(result.is_ok() for result in results))
        self.assertLessEqual(site.models["10.0.1.0:80"].peak_connections, 25 // 3)

    @virtual_time
    async def test_store_down_is_refused_and_a_repeat_is_not_said_not_to_have_run(self) -> None:
        site = Site()
        self.assertEqual((await site.orders.order(order_request())).ok.ran, Ran.YES)
        site.platform.set_outage(True)
        other = order_request(2, key=KEY[:-1] + "2")
        self.assertEqual((await site.orders.order(other)).error.ran, Ran.NO)
        repeat = order_request(3)._replace(repeat=True)
        self.assertEqual((await site.orders.order(repeat)).error.ran, Ran.UNKNOWN)

    @virtual_time
    async def test_same_key_with_another_body_is_refused(self) -> None:
        site = Site()
        await site.orders.order(order_request())
        refusal = (await site.orders.order(order_request(2)._replace(body="tear"))).error
        self.assertEqual((refusal.code, refusal.ran), (RefusalCode.CONFLICT, Ran.NO))
