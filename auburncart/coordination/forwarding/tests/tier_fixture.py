"""A tier of many VMs with stand-in replicas and links, for tests on virtual time."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from types import SimpleNamespace

from auburncart.coordination.forwarding.delegation import Delegation
from auburncart.coordination.forwarding.helper_links import MergeLink
from auburncart.coordination.forwarding.merging import MergeServer
from auburncart.coordination.forwarding.request_limit import RequestShare
from auburncart.coordination.forwarding.shard_owners import ShardOwners
from auburncart.coordination.forwarding.share import LimitShares
from auburncart.coordination.forwarding.tests.gateway_fixture import (
    GatewayFixture,
    search,
    whole_limit,
)
from auburncart.exception import LinkError, LinkTimeoutError
from auburncart.standins.replicas import Arrival, FakeReplicaDialer, ReplicaModel
from auburncart.state.entryvm import EntryVm
from auburncart.state.forward import Reply
from auburncart.state.merge import MergeAnswer, MergeQuestion
from auburncart.state.registration import Registration

__all__ = ["REGIONS", "FakeLink", "Tier", "TierVm"]

REGIONS = {"dc1": "north", "dc2": "south", "dc3": "north", "dc4": "west"}
ONE_WAY_SECONDS = (0.0001, 0.0005, 0.008)  # by distance
ACCEPTANCE_SECONDS = 0.022  # after which a VM that does not accept a question is silent
SLOW_SECONDS = 0.05  # until a slow VM begins to work


def distance(own: str, other: str) -> int:
    if own == other:
        return 0
    return 1 if REGIONS[own] == REGIONS[other] else 2


class FakeLink(MergeLink):
    """Link between two VMs of a tier, without sockets.

    The tier's ``closed`` names VMs that cannot be reached, ``silent`` those that lose all that is
    sent to them, ``slow`` those that accept a question late; ``announces`` says whether VMs tell
    the others when they begin to decline questions.
    """

    def __init__(self, tier: "Tier", asker: EntryVm, vm: EntryVm) -> None:
        self._tier = tier
        self._vm = vm
        self._delay = ONE_WAY_SECONDS[distance(asker.data_centre, vm.data_centre)]

    @property
    def usable(self) -> bool:
        return self._vm.name not in self._tier.closed

    @property
    def declining(self) -> bool:
        server = self._tier.vms[self._vm.name].server
        return self._tier.announces and bool(server.decline_reason)

    @property
    def round_trip(self) -> float:
        return 2.0 * self._delay

    @property
    def outstanding(self) -> int:
        return 0

    async def ask(
        self, question: MergeQuestion, ping_after: float, may_give_up: Callable[[], bool]
    ) -> AsyncIterator[MergeAnswer]:
        self._tier.questions.append((self._vm.name, question))
        if self._vm.name in self._tier.silent:
            await asyncio.sleep(ACCEPTANCE_SECONDS)
            raise LinkTimeoutError("not accepted", step="accept", peer=self._vm.merge_address)
        if self._vm.name in self._tier.slow:
            await asyncio.sleep(ACCEPTANCE_SECONDS)
            if may_give_up():
                raise LinkTimeoutError("not accepted", step="accept", peer=self._vm.merge_address)
            await asyncio.sleep(SLOW_SECONDS - ACCEPTANCE_SECONDS)
        await asyncio.sleep(self._delay)
        server = self._tier.vms[self._vm.name].server
        now = asyncio.get_running_loop().time()
        async with contextlib.aclosing(server.answer(question, "10.0.0.1:9", now)) as answers:
            async for answer in answers:
                if self._vm.name in self._tier.closed:
                    raise LinkError("closed", step="reply", peer=self._vm.merge_address)
                await asyncio.sleep(self._delay)
                yield answer

    def close(self) -> None:
        pass


class TierVm(GatewayFixture):
    """One VM of a tier."""

    def __init__(self, tier: "Tier", vm: EntryVm) -> None:
        self._tier = tier
        self.vm = vm
        super().__init__(
            tier.route,
            replicas=FakeReplicaDialer(vm.name, tier.replicas),
            delegation=self._make_delegation,
            request_share=self._share_of_limit,
        )
        self._shares: LimitShares | None = None
        self.registry._distance = self.distance
        self.server = MergeServer(self.context, self.request_tracker, lambda: True, self.delegation)

    def share_limits(self) -> None:
        """Share the limits that replicas name with the other VMs."""
        shards = frozenset(self._tier.route.shards)
        self._shares = LimitShares(
            self.vm, self._tier.roster, self.registry, self.owners, lambda: shards, REGIONS
        )

    def _share_of_limit(self, replica: Registration, limit: float) -> RequestShare:
        if self._shares is None:
            return whole_limit(replica, limit)
        return self._shares.requests(replica, limit)

    def distance(self, data_centre: str) -> int:
        return distance(self.vm.data_centre, data_centre)

    def _make_delegation(self, fixture: GatewayFixture) -> Delegation:
        shards = frozenset(self._tier.route.shards)
        self.owners = ShardOwners(lambda: shards, self.registry, self._tier.roster, self.distance)
        self.delegation = Delegation(
            self.vm.name,
            self.registry,
            self._tier.roster,
            self.distance,
            self.owners,
            lambda vm: FakeLink(self._tier, self.vm, vm),
            self.journal,
        )
        return self.delegation


class Tier:
    """VMs in several data centres, and replicas of each shard.

    :param vm_counts: number of VMs in each data centre.
    :param shards: number of shards.
    :param locations: data centres of the replicas of the first, second and further shards; they
        repeat.
    """

    def __init__(
        self,
        vm_counts: dict[str, int],
        shards: int,
        locations: tuple[tuple[str, ...], ...] = (("dc1", "dc2"),),
    ) -> None:
        self.route = search(shards)
        self.replicas = FakeReplicaDialer()
        self.questions: list[tuple[str, MergeQuestion]] = []
        self.closed: set[str] = set()
        self.silent: set[str] = set()
        self.slow: set[str] = set()
        self.announces = True
        self.registrations: list[Registration] = []
        self.roster = SimpleNamespace(members=())
        self.vms: dict[str, TierVm] = {}
        for location, count in vm_counts.items():
            self.join(location, count)
        for number, shard in enumerate(self.route.shards):
            for location in locations[number % len(locations)]:
                instance = f"{shard}/{location}"
                reply = Reply(200, b"OK", (), bytes([number]) * 16, b"%d" % number)
                self.replicas.add(instance, ReplicaModel(reply=lambda asked, reply=reply: reply))
                self._register(Registration(instance, shard, instance, location, 2, False))

    @property
    def arrivals(self) -> list[Arrival]:
        """All requests that reached a replica, with the VM that sent each."""
        return self.replicas.arrivals

    def join(self, location: str, count: int) -> list[str]:
        """Add VMs to a data centre and return their names."""
        joined = [
            EntryVm(f"{location}-{number}", location, "", f"10.0.0.{number}:2")
            for number in range(count)
            if f"{location}-{number}" not in self.vms
        ]
        for vm in joined:
            self.vms[vm.name] = TierVm(self, vm)
            for registration in self.registrations:
                self.vms[vm.name].registry.install(registration)
        self.roster.members += tuple(joined)
        self.roster.vm_count = len(self.roster.members)
        return [vm.name for vm in joined]

    def _register(self, registration: Registration) -> None:
        self.registrations.append(registration)
        for vm in self.vms.values():
            vm.registry.install(registration)

    async def link(self) -> None:
        """Let all VMs open their links."""
        for vm in self.vms.values():
            vm.delegation._update_links(set())
        await asyncio.sleep(0.0)
