"""Delegation of remote shards to a VM near their replicas, and the fallback without it."""

import asyncio
import contextlib
import unittest
from collections.abc import AsyncIterator, Callable
from types import SimpleNamespace

from auburncart.coordination.forwarding.delegation import Delegation
from auburncart.coordination.forwarding.helper_links import MergeLink
from auburncart.coordination.forwarding.merging import MergeServer, merging_wanted
from auburncart.coordination.forwarding.shard_owners import ShardOwners
from auburncart.coordination.forwarding.tests.gateway_fixture import (
    GatewayFixture,
    registration,
    request,
    search,
)
from auburncart.exception import LinkError, LinkTimeoutError
from auburncart.standins.replicas import FakeReplicaDialer, ReplicaModel
from auburncart.state.entryvm import EntryVm
from auburncart.state.event import Delegated, DelegationFailed, MergedForPeer
from auburncart.state.failure import Ran, Refusal, RefusalCode
from auburncart.state.forward import ForwardRequest, MergedAnswer, Reply
from auburncart.state.merge import MergeAnswer, MergeQuestion, SearchScope
from auburncart.tests.virtual import virtual_time

SHARDS = 8
ONE_WAY_SECONDS = 0.008
HELPER = EntryVm("vm-b", "dc1", "10.0.0.2:1", "10.0.0.2:2")
OWN = EntryVm("vm-a", "dc2", "10.0.0.1:1", "10.0.0.1:2")


def stamped(asked: ForwardRequest, shard: int) -> Reply:
    return Reply(200, b"OK", (), bytes([shard]) * 16, b"proof%d" % shard)


class DirectLink(MergeLink):
    """Link to a VM's server without sockets; fails with ``error`` if that is set."""

    def __init__(self, server: MergeServer) -> None:
        self.server = server
        self.error: LinkError | None = None
        self.fail_after = 0.0

    @property
    def usable(self) -> bool:
        return True

    @property
    def declining(self) -> bool:
        return False

    @property
    def round_trip(self) -> float:
        return 2.0 * ONE_WAY_SECONDS

    @property
    def outstanding(self) -> int:
        return 0

    async def ask(
        self, question: MergeQuestion, ping_after: float, may_give_up: Callable[[], bool]
    ) -> AsyncIterator[MergeAnswer]:
        await asyncio.sleep(self.fail_after)
        if self.error is not None:
            raise self.error
        await asyncio.sleep(ONE_WAY_SECONDS)
        now = asyncio.get_running_loop().time()
        async with contextlib.aclosing(self.server.answer(question, "10.0.0.1:9", now)) as answers:
            async for answer in answers:
                await asyncio.sleep(ONE_WAY_SECONDS)
                yield answer

    def close(self) -> None:
        pass


class DelegationTest(unittest.TestCase):
    def build(self, attempts: int = 2) -> None:
        """Build two VMs, with the replicas in the helper's data centre."""
        route = search(SHARDS)._replace(max_attempts=attempts)
        replicas = FakeReplicaDialer()
        self.connected = True
        self.helper = GatewayFixture(route, replicas=replicas)
        server = MergeServer(
            self.helper.context, self.helper.request_tracker, lambda: self.connected
        )
        self.link = DirectLink(server)
        self.asker = GatewayFixture(
            route, replicas=replicas, distance=2, delegation=self.delegation
        )
        for number in range(SHARDS):
            model = ReplicaModel(reply=lambda asked, number=number: stamped(asked, number))
            self.helper.add(f"s{number}", 1, model)
            self.asker.add(f"s{number}", 1)

    def delegation(self, fixture: GatewayFixture) -> Delegation:
        roster = SimpleNamespace(members=(OWN, HELPER))
        owners = ShardOwners(frozenset, fixture.registry, roster, lambda location: 2)
        return Delegation(
            OWN.name,
            fixture.registry,
            roster,
            lambda location: 2,
            owners,
            lambda vm: self.link,
            fixture.journal,
        )

    def replicas_asked(self, fixture: GatewayFixture) -> int:
        """Return the number of replicas that a VM has asked."""
        return sum(pool.latency > 0.0 for pool in fixture.registry.pools)

    @virtual_time
    async def test_the_vm_near_the_replicas_merges(self) -> None:
        self.build()
        answer = await self.asker.gateway.answer(request())
        assert isinstance(answer, MergedAnswer)
        self.assertEqual((len(answer.stamps), answer.missing), (SHARDS, 0))
        self.assertEqual(
            (self.replicas_asked(self.helper), self.replicas_asked(self.asker)), (SHARDS, 0)
        )
        self.assertEqual(len(self.asker.journal.of(Delegated)), 1)
        self.assertEqual(len(self.helper.journal.of(MergedForPeer)), 1)

    @virtual_time
    async def test_a_late_part_is_missing_at_the_latency_target(self) -> None:
        self.build()
        self.helper.replicas.models["s3/1"].service_seconds = 60.0
        started_at = asyncio.get_running_loop().time()
        answer = await self.asker.gateway.answer(request())
        assert isinstance(answer, MergedAnswer)
        self.assertEqual((answer.missing, list(answer.failures)), (1, ["s3"]))
        self.assertLess(asyncio.get_running_loop().time() - started_at, 0.1)

    @virtual_time
    async def test_a_vm_that_leaves_or_has_lost_the_store_declines(self) -> None:
        self.build()
        causes = {
            "store": lambda: setattr(self, "connected", False),
            "leaving": lambda: self.helper.request_tracker.leave(),
        }
        for cause, apply_cause in causes.items():
            self.build()
            apply_cause()
            with self.subTest(cause):
                answer = await self.asker.gateway.answer(request())
                assert isinstance(answer, MergedAnswer)
                self.assertEqual(
                    (self.replicas_asked(self.helper), self.replicas_asked(self.asker)), (0, SHARDS)
                )
                failed = self.asker.journal.of(DelegationFailed)
                self.assertEqual([event.sent for event in failed], [False])

    async def answer_with_lost_helper(
        self, error: LinkError, after: float, attempts: int = 2, replicas: int = 1
    ) -> MergedAnswer | Refusal:
        """Answer a search whose helper is lost after some seconds.

        :param replicas: number of replicas of each shard.
        """
        self.build(attempts)
        for number in range(SHARDS):
            for replica in range(2, replicas + 1):
                self.asker.add(f"s{number}", replica)
        await asyncio.sleep(10.0)
        self.link.error, self.link.fail_after = error, after
        answer = await self.asker.gateway.answer(request())
        assert isinstance(answer, MergedAnswer | Refusal)
        return answer

    @virtual_time
    async def test_shards_that_the_helper_did_not_ask_are_asked_directly(self) -> None:
        answer = await self.answer_with_lost_helper(
            LinkError("not open", step="connect", peer="p"), 0.0
        )
        self.assertIsInstance(answer, MergedAnswer)

    @virtual_time
    async def test_a_helper_lost_before_hedging_is_replaced_by_one_direct_attempt(self) -> None:
        answer = await self.answer_with_lost_helper(
            LinkError("reset", step="reply", peer="p"), 0.01
        )
        self.assertIsInstance(answer, MergedAnswer)
        self.assertEqual(self.replicas_asked(self.asker), SHARDS)

    @virtual_time
    async def test_with_one_attempt_allowed_a_lost_helper_is_not_replaced(self) -> None:
        answer = await self.answer_with_lost_helper(
            LinkError("reset", step="reply", peer="p"), 0.01, attempts=1
        )
        self.assertIsInstance(answer, Refusal)
        self.assertEqual(self.replicas_asked(self.asker), 0)

    @virtual_time
    async def test_a_helper_that_may_have_hedged_is_not_replaced(self) -> None:
        answer = await self.answer_with_lost_helper(
            LinkError("reset", step="reply", peer="p"), 0.08
        )
        assert isinstance(answer, Refusal)
        self.assertEqual((answer.code, answer.ran), (RefusalCode.FAILED, Ran.UNKNOWN))
        self.assertEqual(answer.peer, "p")
        self.assertEqual(self.replicas_asked(self.asker), 0)

    @virtual_time
    async def test_an_unresponsive_helper_is_replaced(self) -> None:
        answer = await self.answer_with_lost_helper(
            LinkTimeoutError("still", step="reply", peer="p"), 0.15
        )
        self.assertIsInstance(answer, MergedAnswer)

    @virtual_time
    async def test_an_unresponsive_helper_does_not_lead_to_a_third_replica(self) -> None:
        """It may have hedged, so that two of three replicas may have the search."""
        answer = await self.answer_with_lost_helper(
            LinkTimeoutError("still", step="reply", peer="p"), 0.15, replicas=3
        )
        self.assertIsInstance(answer, Refusal)
        self.assertEqual(self.replicas_asked(self.asker), 0)

    @virtual_time
    async def test_a_helper_that_has_not_accepted_in_time_is_replaced(self) -> None:
        answer = await self.answer_with_lost_helper(
            LinkTimeoutError("not accepted", step="accept", peer="p"), 0.08, replicas=3
        )
        self.assertIsInstance(answer, MergedAnswer)

    @virtual_time
    async def test_late_parts_follow_the_first_partial_answer(self) -> None:
        self.build()
        for number in range(4):
            self.helper.replicas.models[f"s{number}/1"].service_seconds = 0.3
        answer = await self.asker.gateway.answer(request())
        assert isinstance(answer, MergedAnswer)
        self.assertGreaterEqual(len(answer.stamps), 6)

    @virtual_time
    async def test_shards_with_a_local_replica_are_asked_directly(self) -> None:
        self.build()
        near = EntryVm("vm-c", "dc2", "", "10.0.0.3:2")
        delegation = self.asker.gateway._delegation
        assert delegation is not None
        route = search(SHARDS)
        for number in range(3):
            entry = registration(f"s{number}", 2)._replace(data_centre=near.data_centre)
            self.asker.registry.install(entry)
        delegation._distance = lambda location: 0 if location == near.data_centre else 2
        direct, groups = delegation.split(route.shards, SearchScope.TIER)
        self.assertEqual(direct, ("s0", "s1", "s2"))
        self.assertEqual([len(group.shards) for group in groups], [SHARDS - 3])

    @virtual_time
    async def test_work_at_the_helper_is_cancelled_when_the_caller_disconnects(self) -> None:
        self.build()
        model = self.helper.replicas.models["s0/1"]
        model.service_seconds = 60.0
        task = asyncio.create_task(self.asker.gateway.answer(request(seconds=30.0)))
        await asyncio.sleep(0.05)
        self.assertEqual(model.in_flight, 1)
        task.cancel()
        await asyncio.sleep(0.01)
        self.assertEqual(model.in_flight, 0)

    @virtual_time
    async def test_a_region_with_replicas_does_not_delegate(self) -> None:
        self.build()
        answer = await self.helper.gateway.answer(request())
        assert isinstance(answer, MergedAnswer)
        self.assertEqual(self.helper.journal.of(Delegated), [])

    @virtual_time
    async def test_merging_is_wanted_only_near_the_replicas(self) -> None:
        self.build()
        regions = {"dc1": "north", "dc2": "south"}
        table, registry = self.helper.configuration.table, self.helper.registry
        both = (OWN, HELPER)
        self.assertTrue(merging_wanted(table, registry, both, "dc1", regions))
        self.assertFalse(merging_wanted(table, registry, both, "dc2", regions))
        self.assertFalse(merging_wanted(table, registry, (HELPER,), "dc1", regions))
        self.assertFalse(merging_wanted(None, registry, both, "dc1", regions))
