"""Shards without a replica here are asked by a VM near them, or from here if it cannot."""

import asyncio
import contextlib
import unittest
from collections.abc import AsyncIterator
from types import SimpleNamespace

from auburncart.coordination.forwarding.delegation import Delegation, MergeLink
from auburncart.coordination.forwarding.merging import MergeServer, merging_wanted
from auburncart.coordination.forwarding.tests.rig import Rig, registration, request, search
from auburncart.exception import LinkError, LinkTimeoutError
from auburncart.standins.replicas import FakeReplicas, ReplicaModel
from auburncart.state.entryvm import EntryVm
from auburncart.state.event import Delegated, DelegationFailed, MergedForPeer
from auburncart.state.failure import Ran, Refusal, RefusalCode
from auburncart.state.forward import ForwardRequest, Merged, Reply
from auburncart.state.merge import MergeAnswer, MergeQuestion
from auburncart.tests.virtual import virtual_time

SHARDS = 8
WAY_SECONDS = 0.008
HELPER = EntryVm("vm-b", "dc1", "10.0.0.2:1", "10.0.0.2:2")
OWN = EntryVm("vm-a", "dc2", "10.0.0.1:1", "10.0.0.1:2")


def stamped(asked: ForwardRequest, shard: int) -> Reply:
    return Reply(200, b"OK", (), bytes([shard]) * 16, b"proof%d" % shard)


class DirectLink(MergeLink):
    """Reaches a VM's server without sockets; it may lose the question or the answer."""

    def __init__(self, server: MergeServer) -> None:
        self.server = server
        self.lose: LinkError | None = None
        self.lose_after = 0.0

    @property
    def usable(self) -> bool:
        return True

    @property
    def round_trip(self) -> float:
        return 2.0 * WAY_SECONDS

    @property
    def outstanding(self) -> int:
        return 0

    async def ask(self, question: MergeQuestion, patience: float) -> AsyncIterator[MergeAnswer]:
        await asyncio.sleep(self.lose_after)
        if self.lose is not None:
            raise self.lose
        await asyncio.sleep(WAY_SECONDS)
        async with contextlib.aclosing(self.server.answer(question, "10.0.0.1:9")) as answers:
            async for answer in answers:
                await asyncio.sleep(WAY_SECONDS)
                yield answer

    def close(self) -> None:
        pass


class DelegationTest(unittest.TestCase):
    def build(self, attempts: int = 2) -> None:
        """Two VMs: the replicas stand beside the helper."""
        route = search(SHARDS)._replace(most_attempts=attempts)
        replicas = FakeReplicas()
        self.connected = True
        self.helper = Rig(route, replicas=replicas)
        server = MergeServer(self.helper.tools, self.helper.request_tracker, lambda: self.connected)
        self.link = DirectLink(server)
        self.asker = Rig(route, replicas=replicas, distance=2, delegation=self.delegation)
        for number in range(SHARDS):
            model = ReplicaModel(reply=lambda asked, number=number: stamped(asked, number))
            self.helper.add(f"s{number}", 1, model)
            self.asker.add(f"s{number}", 1)

    def delegation(self, rig: Rig) -> Delegation:
        roster = SimpleNamespace(members=(OWN, HELPER))
        return Delegation(
            OWN.name, rig.directory, roster, lambda home: 2, lambda vm: self.link, rig.journal
        )

    def ran_at(self, rig: Rig) -> int:
        """Number of requests that a VM's pools have sent."""
        return sum(pool.latency > 0.0 for pool in rig.directory.pools)

    @virtual_time
    async def test_the_vm_near_the_replicas_merges(self) -> None:
        self.build()
        answer = await self.asker.gateway.answer(request())
        assert isinstance(answer, Merged)
        self.assertEqual((len(answer.stamps), answer.missing), (SHARDS, 0))
        self.assertEqual((self.ran_at(self.helper), self.ran_at(self.asker)), (SHARDS, 0))
        self.assertEqual(len(self.asker.journal.of(Delegated)), 1)
        self.assertEqual(len(self.helper.journal.of(MergedForPeer)), 1)

    @virtual_time
    async def test_a_late_part_is_missing_at_the_callers_latency_target(self) -> None:
        self.build()
        self.helper.replicas.models["s3/1"].seconds = 60.0
        began = asyncio.get_running_loop().time()
        answer = await self.asker.gateway.answer(request())
        assert isinstance(answer, Merged)
        self.assertEqual((answer.missing, list(answer.failures)), (1, ["s3"]))
        self.assertLess(asyncio.get_running_loop().time() - began, 0.1)

    @virtual_time
    async def test_a_vm_that_leaves_or_does_not_hear_from_the_store_declines(self) -> None:
        self.build()
        objections = {
            "store": lambda: setattr(self, "connected", False),
            "leaving": lambda: self.helper.request_tracker.leave(),
        }
        for objection, arise in objections.items():
            self.build()
            arise()
            with self.subTest(objection):
                answer = await self.asker.gateway.answer(request())
                assert isinstance(answer, Merged)
                self.assertEqual((self.ran_at(self.helper), self.ran_at(self.asker)), (0, SHARDS))
                failed = self.asker.journal.of(DelegationFailed)
                self.assertEqual([event.sent for event in failed], [False])

    async def lose(self, error: LinkError, after: float, attempts: int = 2) -> Merged | Refusal:
        """Answer a search whose helper is lost."""
        self.build(attempts)
        await asyncio.sleep(10.0)
        self.link.lose, self.link.lose_after = error, after
        answer = await self.asker.gateway.answer(request())
        assert isinstance(answer, Merged | Refusal)
        return answer

    @virtual_time
    async def test_shards_that_were_not_asked_there_are_asked_here(self) -> None:
        answer = await self.lose(LinkError("not open", step="connect", peer="p"), 0.0)
        self.assertIsInstance(answer, Merged)

    @virtual_time
    async def test_a_helper_that_is_lost_before_its_hedges_is_replaced_by_one_try_here(
        self,
    ) -> None:
        answer = await self.lose(LinkError("reset", step="reply", peer="p"), 0.01)
        self.assertIsInstance(answer, Merged)
        self.assertEqual(self.ran_at(self.asker), SHARDS)

    @virtual_time
    async def test_a_route_of_one_try_is_not_tried_here_once_a_helper_had_it(self) -> None:
        answer = await self.lose(LinkError("reset", step="reply", peer="p"), 0.01, attempts=1)
        self.assertIsInstance(answer, Refusal)
        self.assertEqual(self.ran_at(self.asker), 0)

    @virtual_time
    async def test_a_helper_that_may_have_hedged_is_not_replaced(self) -> None:
        answer = await self.lose(LinkError("reset", step="reply", peer="p"), 0.08)
        assert isinstance(answer, Refusal)
        self.assertEqual((answer.code, answer.ran), (RefusalCode.FAILED, Ran.UNKNOWN))
        self.assertEqual(answer.peer, "p")
        self.assertEqual(self.ran_at(self.asker), 0)

    @virtual_time
    async def test_a_helper_that_stands_still_is_replaced(self) -> None:
        answer = await self.lose(LinkTimeoutError("still", step="reply", peer="p"), 0.15)
        self.assertIsInstance(answer, Merged)

    @virtual_time
    async def test_parts_that_come_late_are_told_after_the_first_portion(self) -> None:
        self.build()
        for number in range(4):
            self.helper.replicas.models[f"s{number}/1"].seconds = 0.3
        answer = await self.asker.gateway.answer(request())
        assert isinstance(answer, Merged)
        self.assertGreaterEqual(len(answer.stamps), 6)

    @virtual_time
    async def test_shards_with_a_replica_here_are_asked_from_here(self) -> None:
        self.build()
        near = EntryVm("vm-c", "dc2", "", "10.0.0.3:2")
        delegation = self.asker.gateway._delegation
        assert delegation is not None
        route = search(SHARDS)
        for number in range(3):
            entry = registration(f"s{number}", 2)._replace(data_centre=near.data_centre)
            self.asker.directory.install(entry)
        delegation._distance = lambda home: 0 if home == near.data_centre else 2
        here, groups = delegation.split(route.shards)
        self.assertEqual(here, ("s0", "s1", "s2"))
        self.assertEqual([len(group.shards) for group in groups], [SHARDS - 3])

    @virtual_time
    async def test_work_at_the_other_vm_ends_when_the_caller_leaves(self) -> None:
        self.build()
        model = self.helper.replicas.models["s0/1"]
        model.seconds = 60.0
        task = asyncio.create_task(self.asker.gateway.answer(request(seconds=30.0)))
        await asyncio.sleep(0.05)
        self.assertEqual(model.running, 1)
        task.cancel()
        await asyncio.sleep(0.01)
        self.assertEqual(model.running, 0)

    @virtual_time
    async def test_a_region_with_replicas_merges_for_itself(self) -> None:
        self.build()
        answer = await self.helper.gateway.answer(request())
        assert isinstance(answer, Merged)
        self.assertEqual(self.helper.journal.of(Delegated), [])

    @virtual_time
    async def test_merging_is_wanted_only_near_the_replicas(self) -> None:
        self.build()
        regions = {"dc1": "north", "dc2": "south"}
        table, directory = self.helper.keeper.table, self.helper.directory
        both = (OWN, HELPER)
        self.assertTrue(merging_wanted(table, directory, both, "dc1", regions))
        self.assertFalse(merging_wanted(table, directory, both, "dc2", regions))
        self.assertFalse(merging_wanted(table, directory, (HELPER,), "dc1", regions))
        self.assertFalse(merging_wanted(None, directory, both, "dc1", regions))
