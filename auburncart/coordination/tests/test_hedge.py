"""Hedging: a straggler does not delay the search, and the budget holds in every case."""

import asyncio
import unittest

from auburncart.coordination.hedge import AdaptiveHedging
from auburncart.coordination.latency import RecentLatency
from auburncart.coordination.tests.trial import TrialResult, baseline, measure
from auburncart.state.work import Rank
from auburncart.tests.site import Site, search_request
from auburncart.tests.virtual import virtual_time

MAX_CALM_EXTRA = 0.05
MAX_FAULT_EXTRA = 0.10
MAX_STRAGGLER_RATIO = 1.3


def measure_briefly(case: str, policies: str) -> TrialResult:
    return measure(case, policies, seconds=4.0)


class FixedDelay(AdaptiveHedging):
    """Hedges after 10 ms, whatever the recent latencies."""

    def delay(self, rank, upstream):  # type: ignore[no-untyped-def]
        return 0.01


class HedgeTest(unittest.TestCase):
    def test_one_straggler_keeps_p99_and_extra_load_within_bounds(self) -> None:
        calm = measure_briefly("calm", "baseline")
        hedged = measure_briefly("straggler", "hedges")
        self.assertLessEqual(hedged.p99, MAX_STRAGGLER_RATIO * calm.p99)
        self.assertEqual(hedged.complete, 1.0)
        self.assertLessEqual(hedged.extra, MAX_FAULT_EXTRA)

    def test_straggler_as_canary_keeps_p99_within_bounds(self) -> None:
        calm = measure_briefly("calm", "whole")
        straggler = measure_briefly("straggler", "whole")
        self.assertLessEqual(straggler.p99, MAX_STRAGGLER_RATIO * calm.p99)

    def test_frozen_replica_costs_no_coverage(self) -> None:
        hedged = measure_briefly("frozen", "both")
        self.assertEqual(hedged.complete, 1.0)
        self.assertLessEqual(hedged.extra, MAX_FAULT_EXTRA)

    def test_budget_when_calm(self) -> None:
        self.assertLessEqual(measure_briefly("calm", "both").extra, MAX_CALM_EXTRA)

    def test_budget_when_everything_is_slow(self) -> None:
        self.assertLessEqual(measure_briefly("all_slow", "both").extra, MAX_FAULT_EXTRA)

    @virtual_time
    async def test_losing_request_is_cancelled_at_its_upstream(self) -> None:
        site = Site(shards=1, policies=baseline()._replace(hedging=FixedDelay()))
        slow, fast = site.models["10.0.0.1:80"], site.models["10.0.0.0:80"]
        slow.set_slow(1000.0)
        await site.searches.search(search_request(1))
        answer = (await site.searches.search(search_request(2))).ok
        await asyncio.sleep(0.05)
        self.assertTrue(answer.coverage.complete)
        self.assertEqual((slow.sub_queries, fast.sub_queries), (2, 2))
        self.assertEqual([upstream.outstanding for upstream in site.upstreams], [0, 0])
        await site.close()

    @virtual_time
    async def test_queued_job_is_moved_without_a_token(self) -> None:
        hedging = FixedDelay(ratio=0.0)
        while hedging._tokens >= 1.0:
            hedging._tokens -= 1.0
        site = Site(shards=1, policies=baseline()._replace(hedging=hedging))
        site.models["10.0.0.1:80"].set_slow(1000.0)
        share = 25 // 3
        searches = [
            asyncio.create_task(site.searches.search(search_request(number)))
            for number in range(2 * share + 4)
        ]
        answers = [(await search).ok for search in searches]
        sent = sum(model.sub_queries for model in site.models.values())
        await site.close()
        # All jobs still queued for the frozen replica moved to the other; none was sent twice.
        self.assertEqual(sum(answer.coverage.complete for answer in answers), share + 4)
        self.assertEqual(sent, 2 * share + 4)

    @virtual_time
    async def test_no_hedge_to_a_replica_that_is_busy(self) -> None:
        site = Site(shards=1, policies=baseline()._replace(hedging=FixedDelay()))
        for model in site.models.values():
            model.set_slow(1000.0)
        share = 25 // 3
        searches = [
            asyncio.create_task(site.searches.search(search_request(number)))
            for number in range(2 * share)
        ]
        await asyncio.gather(*searches)
        sent = sum(model.sub_queries for model in site.models.values())
        await site.close()
        self.assertEqual(sent, 2 * share)

    @virtual_time
    async def test_lower_ranks_leave_tokens_to_the_urgent_rank(self) -> None:
        site = Site(shards=1)
        (upstream, _) = site.upstreams.candidates(site.shard_map.shards["shard-00"])
        hedging = AdaptiveHedging()
        hedging.record_sent(1000)
        taken = {
            rank: sum(hedging.allow(rank, upstream) for _ in range(100)) for rank in reversed(Rank)
        }
        await site.close()
        self.assertEqual(list(taken.values()), [35, 10, 5])

    def test_old_latencies_are_dropped(self) -> None:
        recent = RecentLatency()
        self.assertIsNone(recent.percentile(95.0, 0.0))
        for _ in range(100):
            recent.record(1.0, 0.0)
        self.assertAlmostEqual(recent.percentile(95.0, 1.0) or 0.0, 1.0, delta=0.02)
        for tick in range(100):
            recent.record(0.01, 6.0 + tick * 0.1)
        self.assertAlmostEqual(recent.percentile(95.0, 16.0) or 0.0, 0.01, delta=0.001)


if __name__ == "__main__":
    unittest.main()
