"""Choice of a replica: what this VM sees counts, local ones come first."""

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
    at_work: int = 0

    @property
    def replica(self) -> Replica:
        return Replica(self.address, "dc1", batch_limit=4)


def part_of(choice: LeastLoadedChoice, candidates: list, now: float, tries: int = 100) -> float:
    """Return the part of tries that goes to the first candidate."""
    chosen = [choice.choose(candidates, now) for _ in range(tries)]
    return chosen.count(candidates[0]) / tries


class LeastLoadedTest(unittest.TestCase):
    def setUp(self) -> None:
        self.choice = LeastLoadedChoice(1)

    def test_equals_share(self) -> None:
        self.assertAlmostEqual(part_of(self.choice, [Candidate("a"), Candidate("b")], 0), 0.5, 1)

    def test_slow_replica_gets_work_only_when_the_other_has_as_much_more(self) -> None:
        slow = Candidate("a", latency=0.05)
        self.assertEqual(part_of(self.choice, [slow, Candidate("b", at_work=8)], 0), 0.0)
        self.assertEqual(part_of(self.choice, [slow, Candidate("b", at_work=12)], 0), 1.0)

    def test_replica_that_was_slow_long_ago_is_tried_again(self) -> None:
        slow = Candidate("a", latency=0.5)
        self.assertEqual(part_of(self.choice, [slow, Candidate("b")], 0), 0.0)
        later = [slow, Candidate("b", at_work=1, latency=0.006)]
        self.choice.choose(later, 39.9)
        self.assertEqual(part_of(self.choice, later, 40.0), 1.0)

    def test_failing_replica_is_avoided_while_another_answers(self) -> None:
        failing = Candidate("a", failures=1)
        self.assertEqual(part_of(self.choice, [failing, Candidate("b", at_work=50)], 0), 0.0)

    def test_cold_replica_gets_its_part_by_and_by(self) -> None:
        warm = Candidate("b", at_work=3)
        cold = Candidate("a", condition=UpstreamCondition.COLD)
        self.assertEqual(part_of(self.choice, [cold, warm], 0), 0.0)
        ready = Candidate("a")
        self.assertEqual(part_of(self.choice, [ready, warm], 1.0), 0.0)
        self.assertEqual(part_of(self.choice, [ready, warm], 11.0), 1.0)

    def test_sub_query_joins_a_request_that_waits(self) -> None:
        self.assertEqual(part_of(self.choice, [Candidate("a", waiting=1), Candidate("b")], 0), 1.0)
        self.assertEqual(part_of(self.choice, [Candidate("a", waiting=4), Candidate("b")], 0), 0.0)

    def test_other_data_centre_only_if_no_local_one_answers_and_in_time(self) -> None:
        remote = Candidate("r", local=False, latency=0.02)
        busy = Candidate("a", at_work=100, failures=1)
        lost = Candidate("a", failures=3)
        self.assertEqual(self.choice.choose([remote, busy], 0, 1.0), busy)
        self.assertEqual(self.choice.choose([remote, lost], 0, 1.0), remote)
        self.assertEqual(self.choice.choose([remote, lost], 0, 0.01), lost)
        self.assertIsNone(self.choice.choose([remote], 0, 0.01))


class DataCentreTest(unittest.TestCase):
    def make(self) -> Site:
        policies = default_policies(vms=3)
        return Site(shards=4, replicas=3, policies=policies, data_centres=("dc1", "dc1", "dc2"))

    def remote_requests(self, site: Site) -> int:
        return sum(site.models[f"10.0.{shard}.2:80"].requests for shard in range(4))

    @virtual_time
    async def test_other_data_centre_gets_nothing_while_local_replicas_answer(self) -> None:
        site = self.make()
        for number in range(20):
            await site.searches.search(search_request(number))
        await site.close()
        self.assertEqual(self.remote_requests(site), 0)

    @virtual_time
    async def test_shard_without_a_local_replica_is_asked_elsewhere(self) -> None:
        site = self.make()
        for copy in (0, 1):
            site.models[f"10.0.1.{copy}:80"].kill()
        for number in range(5):
            answer = (await site.searches.search(search_request(number))).ok
            self.assertTrue(answer.coverage.complete)
        await site.close()
        self.assertEqual(self.remote_requests(site), 5)

    @virtual_time
    async def test_cut_off_data_centre_serves_what_it_has_and_names_the_rest(self) -> None:
        site = self.make()
        site.dialer.cut |= {f"10.0.{shard}.2:80" for shard in range(4)}
        for copy in (0, 1):
            site.models[f"10.0.1.{copy}:80"].kill()
        answer = (await site.searches.search(search_request())).ok
        await site.close()
        self.assertEqual([gap.shard for gap in answer.coverage.missing], ["shard-01"])
        self.assertEqual(len(answer.hits), 3)
