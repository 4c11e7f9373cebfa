"""Retries depend on the kind of failure, stay within a budget and find recovered upstreams."""

import asyncio
import unittest

from auburncart.coordination.policies import baseline_policies
from auburncart.coordination.redial import BackoffRedialing
from auburncart.coordination.retry import BudgetedRetrying, ReplicaAvailability, UnbudgetedRetrying
from auburncart.state.failure import Failure, FailureCode, Step
from auburncart.state.upstream import UpstreamCondition
from auburncart.tests.site import Site, search_request
from auburncart.tests.virtual import virtual_time


def budgeted_policies():  # type: ignore[no-untyped-def]
    return baseline_policies(max_concurrent=64, vms=3)._replace(
        retrying=BudgetedRetrying(seed=1), redialing=BackoffRedialing(seed=1)
    )


def failure(code: FailureCode, sent: bool = True) -> Failure:
    return Failure(Step.REPLY, "10.0.0.1:80", "test", code, sent)


class RecordingSite(Site):
    """A site that records dials."""

    def __init__(self, **kwargs) -> None:  # type: ignore[no-untyped-def]
        super().__init__(**kwargs)
        self.dials: list[tuple[str, float]] = []
        connect = self.dialer.connect

        async def recorded(replica):  # type: ignore[no-untyped-def]
            self.dials.append((replica.address, asyncio.get_running_loop().time()))
            return await connect(replica)

        self.dialer.connect = recorded  # type: ignore[method-assign]

    async def load(self, searches: int, gap: float, first: int = 0) -> list:  # type: ignore[type-arg]
        """Start searches at a fixed rate and return their answers."""
        tasks = []
        for number in range(first, first + searches):
            tasks.append(asyncio.create_task(self.searches.search(search_request(number))))
            await asyncio.sleep(gap)
        return [(await task).ok for task in tasks]

    def sent(self) -> int:
        return sum(model.sub_queries for model in self.models.values())


class RetryTest(unittest.TestCase):
    @virtual_time
    async def test_baseline_tries_three_times_with_two_replicas(self) -> None:
        site = RecordingSite(shards=1)
        for model in site.models.values():
            model.set_condition(UpstreamCondition.SHEDDING)
        await site.load(1, 0.5)
        await site.close()
        self.assertEqual(site.sent(), 3)

    @virtual_time
    async def test_few_dials_while_all_replicas_of_a_shard_are_down(self) -> None:
        site = RecordingSite(shards=3, policies=budgeted_policies())
        for copy in range(2):
            site.models[f"10.0.1.{copy}:80"].kill()
        answers = await site.load(500, 0.01)
        await site.close()
        dials = [at for address, at in site.dials if address.startswith("10.0.1.")]
        self.assertEqual({answer.coverage.answered for answer in answers}, {2})
        self.assertEqual(site.sent(), 1000)
        # Two replicas for five seconds: a dial each half second at most after the first few.
        self.assertLessEqual(len(dials), 2 * (5 + 10))

    @virtual_time
    async def test_upstream_that_returns_gets_work_within_two_seconds(self) -> None:
        site = RecordingSite(shards=1, policies=budgeted_policies())
        for model in site.models.values():
            model.kill()
        await site.load(1000, 0.01)
        for model in site.models.values():
            model.restart()
        before = asyncio.get_running_loop().time()
        while not (await site.searches.search(search_request())).ok.coverage.complete:
            await asyncio.sleep(0.05)
        elapsed = asyncio.get_running_loop().time() - before
        await site.close()
        self.assertLessEqual(elapsed, 2.0)

    @virtual_time
    async def test_retries_add_at_most_a_tenth_while_every_replica_sheds(self) -> None:
        site = RecordingSite(shards=4, policies=budgeted_policies())
        for model in site.models.values():
            model.set_condition(UpstreamCondition.SHEDDING)
        await site.load(500, 0.01)
        await site.close()
        self.assertLessEqual(site.sent(), 2000 * 1.1)

    @virtual_time
    async def test_only_replica_is_tried_again_after_a_delay(self) -> None:
        site = RecordingSite(shards=1, replicas=1, policies=budgeted_policies())
        model = site.models["10.0.0.0:80"]
        model.set_condition(UpstreamCondition.SHEDDING)
        search = asyncio.create_task(site.searches.search(search_request()))
        await asyncio.sleep(0.009)
        model.set_condition(UpstreamCondition.READY)
        answer = (await search).ok
        await site.close()
        self.assertTrue(answer.coverage.complete)
        self.assertEqual(site.sent(), 2)

    def test_kind_of_failure_decides_which_replicas_are_tried_again(self) -> None:
        retrying = BudgetedRetrying(seed=1)
        for code in FailureCode:
            untried = retrying.plan(1, failure(code), ReplicaAvailability(untried=True), 0.0, 1.0)
            tried = retrying.plan(1, failure(code), ReplicaAvailability(untried=False), 0.0, 1.0)
            self.assertEqual(untried is None, code is FailureCode.QUARANTINED, code)
            retried_codes = {
                FailureCode.UNREACHABLE,
                FailureCode.LOST,
                FailureCode.SHED,
                FailureCode.MISMATCH,
            }
            self.assertEqual(tried is not None, code in retried_codes, code)
            if tried is not None:
                self.assertGreater(tried.delay, 0.0)

    def test_no_retry_past_the_deadline_and_unsent_work_costs_no_token(self) -> None:
        retrying = BudgetedRetrying(initial_tokens=0.0, seed=1)
        self.assertIsNone(
            retrying.plan(1, failure(FailureCode.LOST), ReplicaAvailability(untried=True), 0.0, 1.0)
        )
        unsent = failure(FailureCode.UNREACHABLE, sent=False)
        self.assertIsNotNone(retrying.plan(1, unsent, ReplicaAvailability(untried=True), 0.0, 1.0))
        self.assertIsNone(retrying.plan(1, unsent, ReplicaAvailability(untried=True), 0.999, 1.0))
        retrying.record_sent(20)
        self.assertIsNotNone(
            retrying.plan(1, failure(FailureCode.LOST), ReplicaAvailability(untried=True), 0.0, 1.0)
        )
        self.assertIsNone(
            UnbudgetedRetrying().plan(3, unsent, ReplicaAvailability(untried=True), 0.0, 1.0)
        )


if __name__ == "__main__":
    unittest.main()
