"""Owners of claim buckets: how they are selected, and what happens when they fail."""

import asyncio
import unittest
from typing import Any

from auburncart.coordination.idempotency import locate_bucket, make_key
from auburncart.coordination.node import Node
from auburncart.coordination.observer import NullObserver
from auburncart.coordination.owner import RELAY_TIMEOUT_SECONDS, owner_of
from auburncart.coordination.policies import baseline_policies
from auburncart.exception import LinkError
from auburncart.protocol.peer import decode_message, encode_message
from auburncart.standins.fakes import FakeBus, FakeMembership, FakeNetwork, FakeStore
from auburncart.standins.site import DEMO_TABLE
from auburncart.state.failure import Ran
from auburncart.state.link import Answer, Question
from auburncart.state.member import Member
from auburncart.state.order import (
    Claim,
    ClaimChange,
    ClaimOperation,
    ClaimQuestion,
    ClaimReply,
    ClaimState,
    OrderRequest,
    Verdict,
)
from auburncart.tests.site import Site
from auburncart.tests.virtual import virtual_time

MEMBERS = tuple(Member(f"10.1.0.{number}:1", f"dc{number % 3}", 1) for number in range(9))
DATA_CENTRES = ("dc0", "dc1", "dc2")
ORDERS = 60


def owners_by_bucket(members: tuple[Member, ...]) -> dict[int, Member]:
    membership = FakeMembership(MEMBERS[0], members)
    return {number: owner_of(number, DATA_CENTRES, membership) for number in range(900)}


class LossyBus(FakeBus):
    """A bus that can lose the answers to questions that were acted on."""

    loses_answers = False

    async def answer(self, question: tuple[Any, ...], origin: Member) -> tuple[Any, ...]:
        answer = await super().answer(question, origin)
        if self.loses_answers:
            raise LinkError("lost")
        return answer


class Tier:
    """Nine VMs that route claims to their owners."""

    def __init__(self) -> None:
        self.site = Site(policies=baseline_policies(max_concurrent=64, vms=len(MEMBERS)))
        self.network = FakeNetwork()
        self.stores: dict[str, FakeStore] = {}
        self.buses: dict[str, LossyBus] = {}
        self.nodes = [self.make(member) for member in MEMBERS]

    def make(self, own: Member) -> Node:
        site = self.site
        store = self.stores[own.address] = FakeStore(site.platform)
        node = Node(own.address, "dc1", store, site.dialer, site.policies, NullObserver())
        node.tables.install(DEMO_TABLE)
        node.catalogue.install(site.shard_map)
        bus = self.buses[own.address] = LossyBus(own, self.network)
        node.route_claims_to_owners(FakeMembership(own, MEMBERS), bus)
        return node

    def owner(self, key: str) -> Member:
        return owner_of(locate_bucket(key).bucket, ("dc1",), FakeMembership(MEMBERS[0], MEMBERS))

    async def order(self, number: int, at: Node | None = None) -> Ran:
        deadline = asyncio.get_running_loop().time() + 5.0
        request = OrderRequest(
            f"r{number}", make_key(1.0, number), "ladera", "closure", "shard-01", "fix", deadline
        )
        node = at or self.nodes[number % len(self.nodes)]
        result = await node.orders.order(request)
        return result.error.ran if result.is_error() else result.ok.ran

    async def run(self) -> tuple[set[Ran], int]:
        """Send many orders at once; return the values of ``ran`` and the number of effects."""
        reported = set(await asyncio.gather(*(self.order(number) for number in range(ORDERS))))
        keys = [effect.key for model in self.site.models.values() for effect in model.effects]
        for node in self.nodes:
            await node.stop()
        return reported, len(keys)


class OwnerTest(unittest.TestCase):
    def test_questions_and_replies_survive_encoding(self) -> None:
        claim = Claim(make_key(1.0, 1), "0" * 32, ClaimState.DONE, "vm1/1", {"number": [1, "a"]})
        question = ClaimQuestion(ClaimChange(ClaimOperation.FINISH, claim), False)
        replies = (ClaimReply(Verdict.FOUND, claim), ClaimReply(None, None, False, "down"))
        messages = [Question(1, question), *(Answer(1, reply) for reply in replies)]
        for message in messages:
            self.assertEqual(decode_message(encode_message(message)), message)

    def test_lost_member_moves_only_its_own_buckets(self) -> None:
        before, after = owners_by_bucket(MEMBERS), owners_by_bucket(MEMBERS[:4] + MEMBERS[5:])
        moved = {name for name in before if before[name] != after[name]}
        self.assertEqual(moved, {name for name in before if before[name] == MEMBERS[4]})
        counts = [list(before.values()).count(member) for member in MEMBERS]
        self.assertGreater(min(counts), 50)

    @virtual_time
    async def test_every_order_runs_once_through_its_owner(self) -> None:
        tier = Tier()
        self.assertEqual(await tier.run(), ({Ran.YES}, ORDERS))

    @virtual_time
    async def test_every_order_runs_once_when_no_owner_can_be_reached(self) -> None:
        tier = Tier()
        for left in MEMBERS:
            for right in MEMBERS:
                tier.network.cut(left.address, right.address)
        self.assertEqual(await tier.run(), ({Ran.YES}, ORDERS))

    @virtual_time
    async def test_unresponsive_owner_delays_only_the_first_order(self) -> None:
        tier = Tier()
        tier.network.cut(MEMBERS[1].address, MEMBERS[4].address)
        theirs = [n for n in range(999) if tier.owner(make_key(1.0, n)) == MEMBERS[4]][:20]
        started_at = asyncio.get_running_loop().time()
        for number in theirs:
            self.assertEqual(await tier.order(number, tier.nodes[1]), Ran.YES)
        elapsed = asyncio.get_running_loop().time() - started_at
        self.assertLess(elapsed, 2 * RELAY_TIMEOUT_SECONDS + len(theirs) * 0.1)

    @virtual_time
    async def test_claim_is_released_if_the_answer_of_its_owner_was_lost(self) -> None:
        tier = Tier()
        key = make_key(1.0, 1)
        owner = tier.owner(key)
        asking = next(n for n in tier.nodes[1::3] if n.name != owner.address)
        tier.stores[asking.name].cut = True
        mine = [n for n in range(2, 99) if tier.owner(make_key(1.0, n)).address == asking.name]
        for number in mine[:2]:  # opens the circuit breaker of the asking VM
            self.assertEqual(await tier.order(number, asking), Ran.NO)
        tier.buses[owner.address].loses_answers = True
        self.assertEqual(await tier.order(1, asking), Ran.NO)
        tier.buses[owner.address].loses_answers = False
        tier.stores[asking.name].cut = False
        await asyncio.sleep(30.0)
        self.assertEqual(await tier.order(1), Ran.YES)

    @virtual_time
    async def test_asking_vm_writes_claims_if_the_owner_stops(self) -> None:
        tier = Tier()
        tier.site.platform.set_delay(0.05)
        orders = [asyncio.create_task(tier.order(number, tier.nodes[0])) for number in range(20)]
        await asyncio.sleep(0.02)
        await asyncio.gather(*(node.stop() for node in tier.nodes[1:]))
        self.assertEqual(set(await asyncio.gather(*orders)), {Ran.YES})
