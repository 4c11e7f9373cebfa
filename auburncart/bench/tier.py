"""The entry VMs of a deployment on one loop, over the same upstream models."""

import zlib
from collections.abc import Callable
from typing import NamedTuple

from auburncart.bench.site import Group, SiteFile
from auburncart.coordination.node import Node
from auburncart.coordination.observer import Observer
from auburncart.coordination.policies import Policies, baseline_policies, default_policies
from auburncart.coordination.seats import SeatShares
from auburncart.exception import InputError
from auburncart.standins.fakes import (
    Distance,
    FakeBus,
    FakeDialer,
    FakeMembership,
    FakeNetwork,
    FakeStore,
)
from auburncart.standins.platform import PlatformModel
from auburncart.standins.site import demo_hits, make_shard_map
from auburncart.standins.upstream import UpstreamModel, UpstreamShape
from auburncart.state.member import Member
from auburncart.state.seat import Seat, SeatPlan, SeatPlans
from auburncart.state.shards import ShardMap

__all__ = ["POLICIES", "EntryVm", "Tier", "VmParts", "make_shapes"]

SNAPSHOT = "s1"
PEER_PORT = 7000


class VmParts(NamedTuple):
    """What a set of policies may be built from.

    :param places: searches at work at the same time, where a policy fixes their number.
    :param vms: number of VMs of the whole tier.
    :param data_centres: number of data centres.
    """

    places: int
    vms: int
    data_centres: int
    membership: FakeMembership
    bus: FakeBus
    observer: Observer


def _baseline(parts: VmParts) -> Policies:
    return baseline_policies(parts.places, parts.vms)


def _alone(parts: VmParts) -> Policies:
    """Return the policies of a daemon that has no peers."""
    return default_policies(parts.vms, seed=_seed(parts))


def _default(parts: VmParts) -> Policies:
    """Return the policies of a daemon with peers, all of them seated."""
    membership = parts.membership
    centre = membership.own.data_centre
    seats = {vm: Seat(vm.address, vm.incarnation) for vm in membership.live(centre)}
    shares = SeatShares(seats[membership.own], centre, parts.data_centres)
    shares.install(SeatPlans((SeatPlan(1, tuple(seats.values())),)))
    for seat in seats.values():
        shares.confirm(seat, 1)
    policies = default_policies(
        parts.vms,
        lambda: membership.max_active_vms(centre),
        lambda: len(membership.members),
        _seed(parts),
    )
    return policies._replace(connection_limit=shares)


def _seed(parts: VmParts) -> int:
    return zlib.crc32(parts.membership.own.address.encode())


POLICIES: dict[str, Callable[[VmParts], Policies]] = {
    "baseline": _baseline,
    "default": _default,
    "alone": _alone,
}


class PlacedShape(NamedTuple):
    """An upstream, its data centre and the group of services that it belongs to."""

    shape: UpstreamShape
    data_centre: str
    group: Group


def make_shapes(site: SiteFile) -> list[PlacedShape]:
    """Return all upstreams of a deployment.

    Replica k of service s stands in data centre s + k, or in every data centre where the placement
    says so.
    """
    centres = [centre.name for centre in site.data_centres]
    placed = []
    for number, group in enumerate(site.groups):
        for service in range(group.services):
            for copy in range(group.replicas * site.copies):
                name = f"{group.name}-{service:02}"
                shape = UpstreamShape(
                    f"10.{number}.{service}.{copy}:80",
                    SNAPSHOT,
                    {name: demo_hits(name)},
                    group.slots,
                    group.connections,
                    group.request_seconds,
                    group.sub_seconds,
                    group.spread,
                )
                placed.append(PlacedShape(shape, centres[(service + copy) % len(centres)], group))
    return placed


class EntryVm(NamedTuple):
    """One entry VM: the product's own services over fakes."""

    member: Member
    dialer: FakeDialer
    node: Node


class Tier:
    """All entry VMs and upstreams of a deployment.

    :param site: its sizes.
    :param policies: name of a set of :data:`POLICIES`.
    :param seed: seed of the upstreams' random times.
    :param observer: told what the VMs do.
    :raises InputError: there is no such set.
    """

    def __init__(self, site: SiteFile, policies: str, seed: int, observer: Observer) -> None:
        if policies not in POLICIES:
            raise InputError(
                f"no policies {policies!r}; known: {', '.join(POLICIES)}", step="bench"
            )
        self.site = site
        self.network = FakeNetwork()
        self._platform = PlatformModel()
        self._placed = make_shapes(site)
        self.models = {
            placed.shape.address: UpstreamModel(placed.shape, seed * 100_003 + number)
            for number, placed in enumerate(self._placed)
        }
        self.data_centres = {placed.shape.address: placed.data_centre for placed in self._placed}
        self.shard_map = self._make_shard_map()
        self.vms = [self._make_vm(member, policies, observer) for member in self._members()]

    @property
    def shards(self) -> tuple[str, ...]:
        """Names of all shards."""
        return tuple(sorted(self.shard_map.shards))

    def replicas(self, shard: str) -> list[UpstreamModel]:
        """Return the models that hold a shard."""
        return [self.models[replica.address] for replica in self.shard_map.shards[shard].replicas]

    def cut(self, data_centre: str) -> None:
        """Cut a data centre off from all others."""
        for vm in self.vms:
            inside = vm.member.data_centre == data_centre
            vm.dialer.cut.update(
                address
                for address, centre in self.data_centres.items()
                if (centre == data_centre) != inside
            )
            for other in self.vms:
                if inside and other.member.data_centre != data_centre:
                    self.network.cut(vm.member.address, other.member.address)

    def heal(self) -> None:
        """End every cut."""
        self.network.heal()
        for vm in self.vms:
            vm.dialer.cut.clear()

    async def close(self) -> None:
        """End all connections of all VMs."""
        for vm in self.vms:
            await vm.node.stop()

    def _members(self) -> list[Member]:
        return [
            Member(f"10.200.{number}.{vm}:{PEER_PORT}", centre.name, 1)
            for number, centre in enumerate(self.site.data_centres)
            for vm in range(centre.vms)
        ]

    def _make_vm(self, member: Member, policies: str, observer: Observer) -> EntryVm:
        distances = {
            placed.shape.address: Distance(
                self.site.one_way(member.data_centre, placed.data_centre),
                placed.group.connect_seconds,
            )
            for placed in self._placed
        }
        parts = VmParts(
            self.site.places,
            self.site.vms,
            len(self.site.data_centres),
            FakeMembership(member, tuple(self._members())),
            FakeBus(member, self.network),
            observer,
        )
        dialer = FakeDialer(self.models, distances=distances)
        node = Node(
            member.address,
            member.data_centre,
            FakeStore(self._platform),
            dialer,
            POLICIES[policies](parts),
            observer,
        )
        node.exchange_losses(parts.bus)
        node.catalogue.install(self.shard_map)
        node.tables.install(self.site.table)
        return EntryVm(member, dialer, node)

    def _make_shard_map(self) -> ShardMap:
        shapes = [placed.shape for placed in self._placed]
        centres = [placed.data_centre for placed in self._placed]
        whole = make_shard_map(shapes, centres, 1)
        limits = {placed.shape.address: placed.group.batch_limit for placed in self._placed}
        shards = {
            name: shard._replace(
                replicas=tuple(
                    replica._replace(batch_limit=limits[replica.address])
                    for replica in shard.replicas
                )
            )
            for name, shard in whole.shards.items()
        }
        return whole._replace(shards=shards)
