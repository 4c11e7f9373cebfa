"""Searches over fake upstreams: answers, coverage and refusals."""

import asyncio
import unittest

import eliot

from auburncart.state.failure import Ran, RefusalCode
from auburncart.state.order import OrderRequest
from auburncart.tests.site import Site, search_request
from auburncart.tests.virtual import virtual_time

LOGGED_ID = "logged-search"


class SearchTest(unittest.TestCase):
    @virtual_time
    async def test_every_shard_answers(self) -> None:
        site = Site(shards=6)
        answer = (await site.searches.search(search_request())).ok
        await site.close()
        self.assertTrue(answer.coverage.complete)
        self.assertEqual(len(answer.hits), 6)
        self.assertEqual(answer.request_id, "r1")

    @virtual_time
    async def test_other_replica_is_asked_when_one_is_lost(self) -> None:
        site = Site(shards=3)
        site.models["10.0.1.0:80"].kill()
        for number in range(4):
            answer = (await site.searches.search(search_request(number))).ok
            self.assertTrue(answer.coverage.complete)
        await site.close()

    @virtual_time
    async def test_lost_shard_is_named_with_peer_and_step(self) -> None:
        site = Site(shards=3)
        for copy in range(2):
            site.models[f"10.0.1.{copy}:80"].kill()
        answer = (await site.searches.search(search_request())).ok
        await site.close()
        self.assertFalse(answer.coverage.complete)
        self.assertEqual(answer.coverage.answered, 2)
        (gap,) = answer.coverage.missing
        self.assertEqual(gap.shard, "shard-01")
        self.assertTrue(gap.peer.startswith("10.0.1."))
        self.assertEqual(gap.step.value, "connect")

    @virtual_time
    async def test_slow_shard_is_missing_at_the_deadline_and_other_hits_are_returned(
        self,
    ) -> None:
        site = Site(shards=3)
        for copy in range(2):
            site.models[f"10.0.2.{copy}:80"].set_slow(10_000)
        before = asyncio.get_running_loop().time()
        answer = (await site.searches.search(search_request(seconds=0.5))).ok
        self.assertLessEqual(asyncio.get_running_loop().time() - before, 0.501)
        await site.close()
        self.assertEqual([gap.shard for gap in answer.coverage.missing], ["shard-02"])
        self.assertEqual(len(answer.hits), 2)

    @virtual_time
    async def test_unknown_kind_is_refused_and_did_not_run(self) -> None:
        site = Site()
        refusal = (await site.searches.search(search_request(kind="unheard"))).error
        self.assertEqual(refusal.code, RefusalCode.BAD_REQUEST)
        self.assertEqual(refusal.ran, Ran.NO)
        self.assertEqual(sum(model.requests for model in site.models.values()), 0)


class LogTest(unittest.TestCase):
    def test_one_log_action_covers_admission_failure_and_answer(self) -> None:
        messages: list[dict] = []
        eliot.add_destinations(messages.append)
        try:
            self._search_with_a_killed_shard()
        finally:
            eliot.remove_destination(messages.append)
        (started,) = [message for message in messages if message.get("request_id") == LOGGED_ID]
        own = [message for message in messages if message["task_uuid"] == started["task_uuid"]]
        message_types = [message.get("message_type") or message["action_status"] for message in own]
        self.assertEqual(message_types[:2], ["started", "admitted"])
        self.assertIn("sub_query_failed", message_types)
        self.assertEqual(message_types[-1], "succeeded")
        self.assertEqual(own[-1]["missing"], ["shard-01"])
        failed = own[message_types.index("sub_query_failed")]
        self.assertEqual((failed["shard"], failed["step"]), ("shard-01", "connect"))
        self.assertTrue(failed["peer"].startswith("10.0.1."))

    @virtual_time
    async def _search_with_a_killed_shard(self) -> None:
        site = Site(shards=3)
        for copy in range(2):
            site.models[f"10.0.1.{copy}:80"].kill()
        await site.searches.search(search_request()._replace(request_id=LOGGED_ID))
        await site.close()


class OrderTest(unittest.TestCase):
    @virtual_time
    async def test_repeated_key_takes_effect_once(self) -> None:
        site = Site()
        deadline = asyncio.get_running_loop().time() + 1.0
        key = "00000000-03e8-7000-8000-000000000001"
        order = OrderRequest("r1", key, "ladera", "closure", "shard-01", "fix net", deadline)
        first = (await site.orders.order(order)).ok
        second = (await site.orders.order(order._replace(request_id="r2"))).ok
        effects = [effect for model in site.models.values() for effect in model.effects]
        self.assertEqual(len(effects), 1)
        self.assertEqual(first.ran, Ran.YES)
        self.assertEqual(
            (second.ran, second.outcome, second.repeated), (Ran.YES, first.outcome, True)
        )
