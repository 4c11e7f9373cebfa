"""Choice of a replica: by the load that this VM observes, local replicas first."""

import unittest
from typing import NamedTuple

from auburncart.coordination.least_loaded import LeastLoadedChoice
from auburncart.coordination.policies import default_policies
from auburncart.state.shards import Replica
from auburncart.state.upstream import UpstreamCondition
from auburncart.tests.site import Site, search_request
from auburncart.tests.virtual import virtual_time


class Candidate(NamedTuple):
    address: str
    local: bool = True
    latency: float = 0.005
    failures: int = 0
    condition: UpstreamCondition = UpstreamCondition.READY
    waiting: int = 0
    in_flight: int = 0

    @property
    def replica(self) -> Replica:
        return Replica(self.address, "dc1", batch_limit=4)


def share_of_first(
    choice: LeastLoadedChoice, candidates: list, now: float, attempts: int = 100
) -> float:
    """Return the share of attempts in which the first candidate is chosen."""
    chosen = [choice.choose(candidates, now) for _ in range(attempts)]
    return chosen.count(candidates[0]) / attempts


class LeastLoadedTest(unittest.TestCase):
    def setUp(self) -> None:
        self.choice = LeastLoadedChoice(1)

    def test_equal_candidates_get_equal_shares(self) -> None:
        self.assertAlmostEqual(
            share_of_first(self.choice, [Candidate("a"), Candidate("b")], 0), 0.5, 1
        )

    def test_slow_replica_gets_work_only_when_the_other_has_as_much_more(self) -> None:
        slow = Candidate("a", latency=0.05)
        self.assertEqual(share_of_first(self.choice, [slow, Candidate("b", in_flight=8)], 0), 0.0)
        self.assertEqual(share_of_first(self.choice, [slow, Candidate("b", in_flight=12)], 0), 1.0)

    def test_replica_that_was_slow_long_ago_is_tried_again(self) -> None:
        slow = Candidate("a", latency=0.5)
        self.assertEqual(share_of_first(self.choice, [slow, Candidate("b")], 0), 0.0)
        later = [slow, Candidate("b", in_flight=1, latency=0.006)]
        self.choice.choose(later, 39.9)
        self.assertEqual(share_of_first(self.choice, later, 40.0), 1.0)

    def test_failing_replica_is_avoided_while_another_answers(self) -> None:
        failing = Candidate("a", failures=1)
        self.assertEqual(
            share_of_first(self.choice, [failing, Candidate("b", in_flight=50)], 0), 0.0
        )

    def test_cold_replica_gets_its_share_gradually(self) -> None:
        warm = Candidate("b", in_flight=3)
        cold = Candidate("a", condition=UpstreamCondition.COLD)
        self.assertEqual(share_of_first(self.choice, [cold, warm], 0), 0.0)
        ready = Candidate("a")
        self.assertEqual(share_of_first(self.choice, [ready, warm], 1.0), 0.0)
        self.assertEqual(share_of_first(self.choice, [ready, warm], 11.0), 1.0)

    def test_sub_query_joins_a_queued_batch(self) -> None:
        self.assertEqual(
            share_of_first(self.choice, [Candidate("a", waiting=1), Candidate("b")], 0), 1.0
        )
        self.assertEqual(
            share_of_first(self.choice, [Candidate("a", waiting=4), Candidate("b")], 0), 0.0
        )

    def test_other_data_centre_only_if_no_local_one_answers_and_in_time(self) -> None:
        remote = Candidate("r", local=False, latency=0.02)
        busy = Candidate("a", in_flight=100, failures=1)
        lost = Candidate("a", failures=3)
        self.assertEqual(self.choice.choose([remote, busy], 0, 1.0), busy)
        self.assertEqual(self.choice.choose([remote, lost], 0, 1.0), remote)
        self.assertEqual(self.choice.choose([remote, lost], 0, 0.01), lost)
        self.assertIsNone(self.choice.choose([remote], 0, 0.01))


class DataCentreTest(unittest.TestCase):
    def make_site(self) -> Site:
        policies = default_policies(vms=3)
        return Site(shards=4, replicas=3, policies=policies, data_centres=("dc1", "dc1", "dc2"))

    def remote_requests(self, site: Site) -> int:
        return sum(site.models[f"10.0.{shard}.2:80"].requests for shard in range(4))

    @virtual_time
    async def test_other_data_centre_gets_nothing_while_local_replicas_answer(self) -> None:
        site = self.make_site()
        for number in range(20):
            await site.searches.search(search_request(number))
        await site.close()
        self.assertEqual(self.remote_requests(site), 0)

    @virtual_time
    async def test_shard_without_a_local_replica_is_asked_elsewhere(self) -> None:
        site = self.make_site()
        for copy in (0, 1):
            site.models[f"10.0.1.{copy}:80"].kill()
        for number in range(5):
            answer = (await site.searches.search(search_request(number))).ok
            self.assertTrue(answer.coverage.complete)
        await site.close()
        self.assertEqual(self.remote_requests(site), 5)

    @virtual_time
    async def test_partitioned_data_centre_answers_from_its_own_shards(self) -> None:
        site = self.make_site()
        site.dialer.cut |= {f"10.0.{shard}.2:80" for shard in range(4)}
        for copy in (0, 1):
            site.models[f"10.0.1.{copy}:80"].kill()
        answer = (await site.searches.search(search_request())).ok
        await site.close()
        self.assertEqual([gap.shard for gap in answer.coverage.missing], ["shard-01"])
        self.assertEqual(len(answer.hits), 3)
