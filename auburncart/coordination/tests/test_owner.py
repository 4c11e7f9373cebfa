"""Owners of buckets of claims: who they are, and what happens without them."""

import asyncio
import unittest

from auburncart.coordination import Node, SilentObserver, baseline_policies
from auburncart.coordination.idempotency import make_key
from auburncart.coordination.owner import owner_of
from auburncart.standins.fakes import FakeBus, FakeMembership, FakeNetwork, FakeStore
from auburncart.standins.site import DEMO_TABLE
from auburncart.state import Member, OrderRequest, Ran
from auburncart.tests.site import Site
from auburncart.tests.virtual import virtual_time

MEMBERS = tuple(Member(f"10.1.0.{number}:1", f"dc{number % 3}", 1) for number in range(9))
CENTRES = ("dc0", "dc1", "dc2")
ORDERS = 60


def owners(members: tuple[Member, ...]) -> dict[str, Member]:
    membership = FakeMembership(MEMBERS[0], members)
    return {str(number): owner_of(str(number), CENTRES, membership) for number in range(900)}


class Tier:
    """Nine VMs that share the writing of claims."""

    def __init__(self) -> None:
        self.site = Site(policies=baseline_policies(places=8, vms=len(MEMBERS)))
        self.network = FakeNetwork()
        self.nodes = [self.make(member) for member in MEMBERS]

    def make(self, own: Member) -> Node:
        site = self.site
        store = FakeStore(site.platform)
        node = Node(own.address, "dc1", store, site.dialer, site.policies, SilentObserver())
        node.tables.install(DEMO_TABLE)
        node.catalogue.install(site.shard_map)
        node.share_claims(FakeMembership(own, MEMBERS), FakeBus(own, self.network))
        return node

    async def order(self, number: int) -> Ran:
        deadline = asyncio.get_running_loop().time() + 5.0
        request = OrderRequest(
            f"r{number}", make_key(1.0, number), "ladera", "closure", "shard-01", "fix", deadline
        )
        result = await self.nodes[number % len(self.nodes)].orders.order(request)
        return result.error.ran if result.is_error() else result.ok.ran

    async def run(self) -> tuple[set[Ran], int]:
        """Send many orders at once; return what was said and the effects."""
        said = set(await asyncio.gather(*(self.order(number) for number in range(ORDERS))))
        keys = [effect.key for model in self.site.models.values() for effect in model.effects]
        for node in self.nodes:
            await node.stop()
        return said, len(keys)


class OwnerTest(unittest.TestCase):
    def test_lost_member_moves_only_its_own_buckets(self) -> None:
        before, after = owners(MEMBERS), owners(MEMBERS[:4] + MEMBERS[5:])
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
