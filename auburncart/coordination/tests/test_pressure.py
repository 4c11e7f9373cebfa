"""In-flight limits: they fall when an upstream sheds or slows down, and recover."""

import asyncio
import unittest

from auburncart.coordination.in_flight import AdaptiveInFlight, SheddingInFlight, UnlimitedInFlight
from auburncart.coordination.tests.trial import hedging_and_retrying
from auburncart.state.shards import Replica
from auburncart.state.upstream import UpstreamCondition
from auburncart.tests.site import Site, search_request
from auburncart.tests.virtual import virtual_time

REPLICA = Replica("10.0.0.1:80", "dc1", slots=4, max_connections=20)


class LimitTest(unittest.TestCase):
    def test_starts_at_the_slots_and_grows_while_latency_stays_low(self) -> None:
        limit = AdaptiveInFlight(REPLICA)
        self.assertEqual(limit.requests(0.0), 4)
        for step in range(200):
            limit.record_reply(0.01, 1, limit.requests(step), float(step))
        self.assertEqual(limit.requests(200.0), 20)

    def test_backs_off_when_latency_rises_and_recovers(self) -> None:
        limit = AdaptiveInFlight(REPLICA)
        limit.record_reply(0.01, 1, 1, 0.0)
        for step in range(60):
            limit.record_reply(0.05, 1, 4, step * 0.1)
        self.assertEqual(limit.requests(6.0), 1)
        for step in range(60):
            limit.record_reply(0.01, 1, limit.requests(6.0), 6.0 + step * 0.1)
        self.assertGreaterEqual(limit.requests(12.0), 4)

    def test_slow_upstream_without_a_queue_keeps_its_limit(self) -> None:
        limit = AdaptiveInFlight(REPLICA)
        limit.record_reply(0.01, 1, 1, 0.0)
        for step in range(400):
            limit.record_reply(0.05, 1, limit.requests(0.0), step * 0.1)
        self.assertGreaterEqual(limit.requests(40.0), 4)

    def test_slower_larger_batches_cause_no_cut(self) -> None:
        limit = AdaptiveInFlight(REPLICA)
        for step in range(100):
            size = 1 + 7 * (step % 2)
            limit.record_reply(0.01 * size, size, 1 + 3 * (step > 10), step * 0.1)
        self.assertGreaterEqual(limit.requests(10.0), 4)

    def test_shedding_halves_the_limit_and_then_pauses_for_a_growing_time(self) -> None:
        limit = AdaptiveInFlight(REPLICA)
        limit.record_shed(4, 0.0)
        limit.record_shed(2, 0.1)
        self.assertEqual(limit.requests(0.2), 1)
        pauses = []
        now = 0.2
        for _ in range(10):
            limit.record_shed(1, now)
            self.assertEqual(limit.requests(now), 0)
            pauses.append(limit.resumes_at() - now)
            now = limit.resumes_at()
            self.assertEqual(limit.requests(now), 1)
        self.assertLessEqual(pauses[0], 0.02)
        self.assertLessEqual(max(pauses), 1.0)
        self.assertGreaterEqual(pauses[-1], 0.5)
        limit.record_reply(0.01, 1, 1, now)
        limit.record_shed(1, now)
        self.assertLessEqual(limit.resumes_at() - now, 0.02)

    def test_baseline_sets_no_limit(self) -> None:
        limit = UnlimitedInFlight(REPLICA)
        limit.record_shed(1, 0.0)
        self.assertGreater(limit.requests(0.0), REPLICA.max_connections)


class ShedTest(unittest.TestCase):
    async def _requests_while_shedding(self, site: Site) -> tuple[int, bool]:
        """Return the requests sent in a second of shedding, and whether searches complete again."""
        model = site.models["10.0.0.0:80"]
        model.set_condition(UpstreamCondition.SHEDDING)
        searches = []
        for number in range(100):
            request = search_request(number, seconds=0.3)
            searches.append(asyncio.create_task(site.searches.search(request)))
            await asyncio.sleep(0.01)
        await asyncio.gather(*searches)
        sent = model.requests
        model.set_condition(UpstreamCondition.READY)
        recovered = False
        for number in range(40):
            answer = (await site.searches.search(search_request(number, seconds=0.3))).ok
            recovered = recovered or answer.coverage.complete
            await asyncio.sleep(0.05)
        await site.close()
        return sent, recovered

    @virtual_time
    async def test_shedding_upstream_gets_few_requests_and_recovers(self) -> None:
        unlimited_site = Site(shards=1, replicas=1, policies=hedging_and_retrying())
        sent_unlimited, _ = await self._requests_while_shedding(unlimited_site)
        self.assertGreater(sent_unlimited, 100)
        for limit_class in (AdaptiveInFlight, SheddingInFlight):
            site = Site(
                shards=1,
                replicas=1,
                policies=hedging_and_retrying()._replace(in_flight_limit=limit_class),
            )
            sent, recovered = await self._requests_while_shedding(site)
            self.assertLessEqual(sent, 20, limit_class)
            self.assertTrue(recovered, limit_class)

    @virtual_time
    async def test_search_does_not_wait_for_a_shard_whose_replicas_all_shed(
        self,
    ) -> None:
        for limit_class in (AdaptiveInFlight, SheddingInFlight):
            await self._search_while_all_shed(limit_class)

    async def _search_while_all_shed(self, limit_class: type[SheddingInFlight]) -> None:
        site = Site(shards=2, policies=hedging_and_retrying()._replace(in_flight_limit=limit_class))
        for copy in range(2):
            site.models[f"10.0.0.{copy}:80"].set_condition(UpstreamCondition.SHEDDING)
        loop = asyncio.get_running_loop()
        for number in range(200):
            start = loop.time()
            answer = (await site.searches.search(search_request(number, seconds=5.0))).ok
            self.assertLessEqual(loop.time() - start, 1.0)
            self.assertEqual(answer.coverage.answered, 1)
        await site.close()


if __name__ == "__main__":
    unittest.main()
