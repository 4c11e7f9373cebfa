"""All entry VMs of a deployment on one event loop, over shared upstream models."""

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
    FakeBus,
    FakeDialer,
    FakeMembership,
    FakeNetwork,
    FakeStore,
    NetworkDelay,
)
from auburncart.standins.platform import PlatformModel
from auburncart.standins.site import demo_hits, make_shard_map
from auburncart.standins.upstream import UpstreamModel, UpstreamProfile
from auburncart.state.member import Member
from auburncart.state.seat import Seat, SeatPlan, SeatPlans
from auburncart.state.shards import ShardMap

__all__ = ["POLICIES", "EntryVm", "PolicyInputs", "Tier", "place_upstreams"]

SNAPSHOT = "s1"
PEER_PORT = 7000


class PolicyInputs(NamedTuple):
    """Values from which a set of policies is built.

    :param max_concurrent: maximum number of concurrent searches, for policies with a fixed limit.
    :param vms: number of VMs of the whole tier.
    :param data_centres: number of data centres.
    """

    max_concurrent: int
    vms: int
    data_centres: int
    membership: FakeMembership
    bus: FakeBus
    observer: Observer


def _baseline(inputs: PolicyInputs) -> Policies:
    return baseline_policies(inputs.max_concurrent, inputs.vms)


def _alone(inputs: PolicyInputs) -> Policies:
    """Return the policies of a daemon without peers."""
    return default_policies(inputs.vms, seed=_seed(inputs))


def _default(inputs: PolicyInputs) -> Policies:
    """Return the policies of a daemon with peers, all of which hold seats."""
    membership = inputs.membership
    data_centre = membership.own.data_centre
    seats = {vm: Seat(vm.address, vm.incarnation) for vm in membership.live(data_centre)}
    shares = SeatShares(seats[membership.own], data_centre, inputs.data_centres)
    shares.install(SeatPlans((SeatPlan(1, tuple(seats.values())),)))
    for seat in seats.values():
        shares.confirm(seat, 1)
    policies = default_policies(
        inputs.vms,
        lambda: membership.max_active_vms(data_centre),
        lambda: len(membership.members),
        _seed(inputs),
    )
    return policies._replace(connection_limit=shares)


def _seed(inputs: PolicyInputs) -> int:
    return zlib.crc32(inputs.membership.own.address.encode())


POLICIES: dict[str, Callable[[PolicyInputs], Policies]] = {
    "baseline": _baseline,
    "default": _default,
    "alone": _alone,
}


class PlacedUpstream(NamedTuple):
    """An upstream with its data centre and its group of services."""

    profile: UpstreamProfile
    data_centre: str
    group: Group


def place_upstreams(site: SiteFile) -> list[PlacedUpstream]:
    """Return all upstreams of a deployment.

    Replica k of service s is in data centre (s + k) modulo the number of data centres; with the
    placement ``each``, every data centre gets ``group.replicas`` of them.
    """
    data_centres = [data_centre.name for data_centre in site.data_centres]
    upstreams = []
    for number, group in enumerate(site.groups):
        for service in range(group.services):
            for replica in range(group.replicas * site.replica_sets):
                name = f"{group.name}-{service:02}"
                profile = UpstreamProfile(
                    f"10.{number}.{service}.{replica}:80",
                    SNAPSHOT,
                    {name: demo_hits(name)},
                    group.slots,
                    group.connections,
                    group.request_seconds,
                    group.sub_seconds,
                    group.spread,
                )
                upstreams.append(
                    PlacedUpstream(
                        profile, data_centres[(service + replica) % len(data_centres)], group
                    )
                )
    return upstreams


class EntryVm(NamedTuple):
    """An entry VM: a node of the product over fake transport."""

    member: Member
    dialer: FakeDialer
    node: Node


class Tier:
    """All entry VMs and upstreams of a deployment.

    :param site: size of the deployment.
    :param policies: name of a set of :data:`POLICIES`.
    :param seed: seed of the upstreams' random service times.
    :param observer: observer of all VMs.
    :raises InputError: there is no such set of policies.
    """

    def __init__(self, site: SiteFile, policies: str, seed: int, observer: Observer) -> None:
        if policies not in POLICIES:
            raise InputError(
                f"no policies {policies!r}; known: {', '.join(POLICIES)}", step="bench"
            )
        self.site = site
        self.network = FakeNetwork()
        self._platform = PlatformModel()
        self._upstreams = place_upstreams(site)
        self.models = {
            upstream.profile.address: UpstreamModel(upstream.profile, seed * 100_003 + number)
            for number, upstream in enumerate(self._upstreams)
        }
        self.data_centres = {
            upstream.profile.address: upstream.data_centre for upstream in self._upstreams
        }
        self.shard_map = self._make_shard_map()
        self.vms = [self._make_vm(member, policies, observer) for member in self._members()]

    @property
    def shards(self) -> tuple[str, ...]:
        """Names of all shards."""
        return tuple(sorted(self.shard_map.shards))

    def replicas(self, shard: str) -> list[UpstreamModel]:
        """Return the upstream models that hold a shard."""
        return [self.models[replica.address] for replica in self.shard_map.shards[shard].replicas]

    def cut(self, data_centre: str) -> None:
        """Cut off a data centre from all others."""
        for vm in self.vms:
            inside = vm.member.data_centre == data_centre
            vm.dialer.unreachable.update(
                address
                for address, location in self.data_centres.items()
                if (location == data_centre) != inside
            )
            for other in self.vms:
                if inside and other.member.data_centre != data_centre:
                    self.network.cut(vm.member.address, other.member.address)

    def heal(self) -> None:
        """Reconnect all data centres."""
        self.network.heal()
        for vm in self.vms:
            vm.dialer.unreachable.clear()

    async def close(self) -> None:
        """Stop the nodes of all VMs, which closes their connections."""
        for vm in self.vms:
            await vm.node.stop()

    def _members(self) -> list[Member]:
        return [
            Member(f"10.200.{number}.{vm}:{PEER_PORT}", data_centre.name, 1)
            for number, data_centre in enumerate(self.site.data_centres)
            for vm in range(data_centre.vms)
        ]

    def _make_vm(self, member: Member, policies: str, observer: Observer) -> EntryVm:
        delays = {
            upstream.profile.address: NetworkDelay(
                self.site.one_way_seconds(member.data_centre, upstream.data_centre),
                upstream.group.connect_seconds,
            )
            for upstream in self._upstreams
        }
        inputs = PolicyInputs(
            self.site.places,
            self.site.vms,
            len(self.site.data_centres),
            FakeMembership(member, tuple(self._members())),
            FakeBus(member, self.network),
            observer,
        )
        dialer = FakeDialer(self.models, delays=delays)
        node = Node(
            member.address,
            member.data_centre,
            FakeStore(self._platform),
            dialer,
            POLICIES[policies](inputs),
            observer,
        )
        node.exchange_losses(inputs.bus)
        node.catalogue.install(self.shard_map)
        node.tables.install(self.site.table)
        return EntryVm(member, dialer, node)

    def _make_shard_map(self) -> ShardMap:
        profiles = [upstream.profile for upstream in self._upstreams]
        data_centres = [upstream.data_centre for upstream in self._upstreams]
        shard_map = make_shard_map(profiles, data_centres, 1)
        limits = {
            upstream.profile.address: upstream.group.batch_limit for upstream in self._upstreams
        }
        shards = {
            name: shard._replace(
                replicas=tuple(
                    replica._replace(batch_limit=limits[replica.address])
                    for replica in shard.replicas
                )
            )
            for name, shard in shard_map.shards.items()
        }
        return shard_map._replace(shards=shards)
