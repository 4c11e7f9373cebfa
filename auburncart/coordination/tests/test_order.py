"""Orders over fake upstreams: repeats, lost replies, store outages, deadlines and bad keys."""

import asyncio
import random
import unittest
from collections.abc import Callable

from auburncart.coordination.bucket import MAX_CLAIMS, apply_change
from auburncart.coordination.holder import ClaimHolder, truncate_outcome
from auburncart.coordination.idempotency import (
    PERIOD_SECONDS,
    RETENTION_SECONDS,
    RING_PERIODS,
    locate_bucket,
    make_key,
)
from auburncart.coordination.interfaces import Key
from auburncart.coordination.node import Node
from auburncart.coordination.observer import NullObserver
from auburncart.coordination.policies import baseline_policies, default_policies
from auburncart.protocol.platform import MAX_VALUE_BYTES, encode_value
from auburncart.standins.platform import WriteFault
from auburncart.standins.site import DEMO_TABLE
from auburncart.state.failure import Ran, RefusalCode
from auburncart.state.order import ClaimBucket, ClaimChange, ClaimOperation, OrderRequest, Verdict
from auburncart.state.table import TableDocument, find_row
from auburncart.tests.site import Site
from auburncart.tests.virtual import virtual_time

KEY = "00000000-03e8-7000-8000-000000000001"  # one second after the epoch

RNG = random.Random(1)


def order_request(number: int = 1, *, key: str = KEY, seconds: float = 1.0) -> OrderRequest:
    deadline = asyncio.get_running_loop().time() + seconds
    return OrderRequest(f"r{number}", key, "ladera", "closure", "shard-01", "fix", deadline)


def effects(site: Site) -> int:
    return sum(len(model.effects) for model in site.models.values())


def make_vm(site: Site, epoch: float) -> Node:
    """Return another VM over the same platform, whose loop time 0 is at ``epoch``."""
    node = Node("vm2", "dc1", site.store, site.dialer, site.policies, NullObserver(), epoch)
    node.tables.install(DEMO_TABLE)
    node.catalogue.install(site.shard_map)
    return node


class RateTest(unittest.TestCase):
    @virtual_time
    async def test_orders_over_the_rate_limit_are_refused_and_not_sent(self) -> None:
        policies = default_policies(vms=1)
        site = Site(policies=policies)
        table = DEMO_TABLE.table
        row = find_row(table, "ladera", "closure")._replace(customer="ladera", max_rate=2.0)
        site.tables.install(TableDocument(table._replace(version=2, rows=(*table.rows, row))))
        ran = []
        for number in range(10):
            key = make_key(1.0, number)
            result = await site.orders.order(order_request(number, key=key))
            ran.append(result.error.ran if result.is_error() else result.ok.ran)
        await site.close()
        self.assertEqual(set(ran), {Ran.YES, Ran.NO})
        self.assertEqual(effects(site), ran.count(Ran.YES))
        self.assertLessEqual(ran.count(Ran.YES), 2)


class FaultTest(unittest.TestCase):
    @virtual_time
    async def test_second_attempt_with_the_same_request_id_does_not_run_again(self) -> None:
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
    async def test_slow_connect_ends_at_the_deadline_and_sends_nothing(self) -> None:
        site = Site()
        site.dialer._connect_seconds = 60.0
        started_at = asyncio.get_running_loop().time()
        refusal = (await site.orders.order(order_request())).error
        self.assertLess(asyncio.get_running_loop().time() - started_at, 1.5)
        self.assertEqual((refusal.ran, effects(site)), (Ran.NO, 0))

    @virtual_time
    async def test_outcome_of_a_cancelled_attempt_is_stored(self) -> None:
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
    async def test_orders_respect_the_connection_limit(self) -> None:
        site = Site(shards=2, replicas=1)
        keys = [f"00000000-03e8-7000-8000-{number:012}" for number in range(60)]
        requests = [order_request(n, key=key, seconds=60.0) for n, key in enumerate(keys)]
        results = await asyncio.gather(*(site.orders.order(request) for request in requests))
        self.assertTrue(all(result.is_ok() for result in results))
        self.assertLessEqual(site.models["10.0.1.0:80"].peak_connections, 25 // 3)

    @virtual_time
    async def test_store_outage_refuses_orders_and_leaves_repeats_unknown(self) -> None:
        site = Site()
        self.assertEqual((await site.orders.order(order_request())).ok.ran, Ran.YES)
        site.platform.set_outage(True)
        other = order_request(2, key=KEY[:-1] + "2")
        self.assertEqual((await site.orders.order(other)).error.ran, Ran.NO)
        repeat = order_request(3)._replace(repeat=True)
        other_vm = make_vm(site, 0.0)
        self.assertEqual((await other_vm.orders.order(repeat)).error.ran, Ran.UNKNOWN)

    @virtual_time
    async def test_order_is_sent_to_another_replica_if_the_first_is_unreachable(self) -> None:
        site = Site()
        site.dialer.cut.add("10.0.1.0:80")
        for number in range(6):
            key = f"00000000-03e8-7000-8000-{number:012}"
            answer = await site.orders.order(order_request(number, key=key))
            self.assertTrue(answer.is_ok(), answer)
        self.assertEqual(effects(site), 6)
        await site.close()

    @virtual_time
    async def test_vm_without_table_or_shard_map_refuses_orders(self) -> None:
        site = Site()
        node = Node("vm9", "dc1", site.store, site.dialer, site.policies, NullObserver())
        refusal = (await node.orders.order(order_request())).error
        self.assertEqual((refusal.code, refusal.ran), (RefusalCode.UNAVAILABLE, Ran.NO))
        node.tables.install(DEMO_TABLE)
        refusal = (await node.orders.order(order_request())).error
        self.assertEqual((refusal.code, refusal.ran), (RefusalCode.UNAVAILABLE, Ran.NO))
        self.assertEqual(site.platform.calls, 0)

    @virtual_time
    async def test_key_that_is_too_old_or_in_the_future_is_refused(self) -> None:
        site = Site()
        later = make_vm(site, RETENTION_SECONDS + 10.0)
        refusal = (await later.orders.order(order_request())).error
        self.assertEqual((refusal.code, refusal.ran), (RefusalCode.EXPIRED, Ran.UNKNOWN))
        refusal = (await site.orders.order(order_request(key=make_key(3600.0, 1)))).error
        self.assertEqual((refusal.code, refusal.ran), (RefusalCode.BAD_REQUEST, Ran.NO))
        self.assertEqual(effects(site), 0)

    @virtual_time
    async def test_old_key_never_runs_again_after_its_bucket_name_was_reused(self) -> None:
        site = Site()
        await site.orders.order(order_request())
        ring_seconds = RING_PERIODS * PERIOD_SECONDS
        keys = (make_key(1.0 + ring_seconds, number) for number in range(10_000))
        later = next(key for key in keys if locate_bucket(key).name == locate_bucket(KEY).name)
        other = make_vm(site, ring_seconds)
        self.assertEqual((await other.orders.order(order_request(2, key=later))).ok.ran, Ran.YES)
        third = make_vm(site, 0.0)
        refusal = (await third.orders.order(order_request(3))).error
        self.assertEqual((refusal.code, refusal.ran), (RefusalCode.EXPIRED, Ran.UNKNOWN))
        self.assertEqual(effects(site), 2)
        await other.stop()
        await third.stop()

    @virtual_time
    async def test_invalid_key_is_refused_and_upper_case_is_accepted(self) -> None:
        site = Site()
        for key in ("", "key-1", "5c0f6e2e-8f0b-4c5e-9d4e-1f6f0d9d1a11"):
            refusal = (await site.orders.order(order_request(key=key))).error
            self.assertEqual((refusal.code, refusal.ran), (RefusalCode.BAD_REQUEST, Ran.NO))
        await site.orders.order(order_request(key=KEY.upper()))
        self.assertTrue((await site.orders.order(order_request(2))).ok.repeated)
        self.assertEqual(effects(site), 1)

    @virtual_time
    async def test_order_in_flight_completes_on_an_upstream_removed_from_the_map(self) -> None:
        site = Site()
        order = asyncio.create_task(site.orders.order(order_request()))
        await asyncio.sleep(0.0075)
        await site.upstreams.close_removed(site.shard_map._replace(shards={}))
        self.assertEqual(((await order).ok.ran, effects(site)), (Ran.YES, 1))

    @virtual_time
    async def test_full_bucket_with_the_longest_outcomes_fits_into_one_value(self) -> None:
        site = Site()
        holder = ClaimHolder("n" * 63 + "/0123456789ab", site.node._claims, NullObserver(), RNG)
        bucket, period = ClaimBucket(-1, {}), locate_bucket(KEY).period
        for number in range(2 * MAX_CLAIMS):
            request = order_request(key=make_key(1.0, number))
            claim = holder.make_claim(request)._replace(
                outcome=truncate_outcome("\U0001f6a7" * 5000)
            )
            change = ClaimChange(ClaimOperation.CLAIM, claim)
            bucket, verdict = apply_change(bucket, change, period)
        self.assertEqual(verdict.verdict, Verdict.FULL)
        self.assertLessEqual(len(encode_value(Key("claims", "x"), bucket)), MAX_VALUE_BYTES)

    @virtual_time
    async def test_vm_answers_repeats_of_its_own_orders_during_an_outage(self) -> None:
        site = Site()
        first = (await site.orders.order(order_request())).ok
        calls = site.platform.calls
        again = (await site.orders.order(order_request(2))).ok
        self.assertEqual((again.ran, again.repeated, site.platform.calls), (Ran.YES, True, calls))
        site.platform.set_outage(True)
        again = (await site.orders.order(order_request(3))).ok
        self.assertEqual((again.ran, again.outcome), (Ran.YES, first.outcome))
        other = (await site.orders.order(order_request(4)._replace(body="tear"))).error
        self.assertEqual(other.code, RefusalCode.CONFLICT)

    @virtual_time
    async def test_repeat_of_an_order_in_flight_is_unknown_during_an_outage(self) -> None:
        site = Site()
        for model in site.models.values():
            model.set_slow(5000)
        first = asyncio.create_task(site.orders.order(order_request(seconds=90.0)))
        await asyncio.sleep(0.05)
        for store_fails in (lambda: site.platform.set_outage(True), self.make_store_slow(site)):
            store_fails()
            again = (await site.orders.order(order_request(2))).ok
            self.assertEqual((again.ran, again.repeated), (Ran.UNKNOWN, True))
        site.platform.set_delay(0.0)
        self.assertEqual(((await first).ok.ran, effects(site)), (Ran.YES, 1))

    def make_store_slow(self, site: Site) -> Callable[[], None]:
        def slow_down() -> None:
            site.platform.set_outage(False)
            site.platform.set_delay(1.5)

        return slow_down

    @virtual_time
    async def test_orders_over_capacity_are_refused_by_admission(self) -> None:
        site = Site(policies=baseline_policies(max_concurrent=2, vms=3))
        for model in site.models.values():
            model.set_slow(1000)
        keys = [f"00000000-03e8-7000-8000-{number:012}" for number in range(20)]
        orders = [
            asyncio.create_task(site.orders.order(order_request(n, key=key, seconds=60.0)))
            for n, key in enumerate(keys)
        ]
        await asyncio.sleep(0.5)
        self.assertEqual(len(site.platform.objects), 2)
        late = order_request(99, key=make_key(1.0, 99), seconds=0.2)
        refusal = (await site.orders.order(late)).error
        self.assertEqual((refusal.code, refusal.ran), (RefusalCode.OVERLOADED, Ran.NO))
        repeat = late._replace(repeat=True, deadline=late.deadline + 0.5)
        self.assertEqual((await site.orders.order(repeat)).error.ran, Ran.UNKNOWN)
        for order in orders:
            order.cancel()
        await site.close()

    @virtual_time
    async def test_same_key_with_another_body_is_refused(self) -> None:
        site = Site()
        await site.orders.order(order_request())
        refusal = (await site.orders.order(order_request(2)._replace(body="tear"))).error
        self.assertEqual((refusal.code, refusal.ran), (RefusalCode.CONFLICT, Ran.NO))
