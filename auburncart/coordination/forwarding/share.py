"""Shares of one VM in the limits that all VMs keep together."""

from collections.abc import Callable, Mapping, Set

from auburncart.coordination.forwarding.replica_registry import ReplicaRegistry
from auburncart.coordination.forwarding.request_limit import RequestShare, request_share
from auburncart.coordination.forwarding.roster import Roster
from auburncart.coordination.forwarding.shard_owners import ShardOwners
from auburncart.state.entryvm import EntryVm
from auburncart.state.registration import Registration

__all__ = ["LimitShares", "connection_share", "share_of"]

NEARBY_CONNECTIONS = 0.6  # of a replica's connections, for the VMs in its region
# Of the extra requests to a shard, for the VMs near its replicas: they ask it for the other VMs.
NEARBY_SLACK = 0.9
OWNER_CONNECTIONS = 0.6  # of a replica's connections, for the owners of its shard
# Of the extra requests to a shard, for its owners. All other VMs need some: they ask the replicas
# of a shard whose owners cannot be asked.
OWNER_SLACK = 0.4


class LimitShares:
    """This VM's shares of the limits on replicas' connections, on requests and on extra requests.

    VMs that query a shard for others have larger shares: its owners in a large tier, in a small
    one the VMs of the regions with its replicas.

    :param own: this VM.
    :param roster: the VMs.
    :param registry: replicas, with their data centres.
    :param owners: the owners of shards.
    :param shards: returns all shards in the configuration in force.
    :param regions: region of each data centre.
    """

    def __init__(
        self,
        own: EntryVm,
        roster: Roster,
        registry: ReplicaRegistry,
        owners: ShardOwners,
        shards: Callable[[], frozenset[str]],
        regions: Mapping[str, str],
    ) -> None:
        self._own = own
        self._roster = roster
        self._registry = registry
        self._owners = owners
        self._shards = shards
        self._regions = regions
        self._counted: tuple[EntryVm, ...] = ()
        self._region_counts: dict[str, int] = {}

    def slack(self, service: str) -> float:
        """Return this VM's share of the extra requests to a service."""
        vms = self._roster.vm_count
        owners = self._owners.owners_of(service)
        if owners:
            return share_of(vms, len(owners), OWNER_SLACK, included=self._own.name in owners)
        if service not in self._shards():
            return 1.0 / vms
        replica_regions = self._replica_regions(service)
        return share_of(
            vms,
            self._count_vms(replica_regions),
            NEARBY_SLACK,
            included=self._region_of(self._own.data_centre) in replica_regions,
        )

    def connections(self, service: str, data_centre: str, limit: int) -> float:
        """Return this VM's share of the connections to a replica, below one in a large tier.

        :param data_centre: that of the replica.
        :param limit: connections that the replica accepts from all VMs together.
        """
        vms = self._roster.vm_count
        owners = self._owners.owners_of(service)
        if owners:
            share = share_of(vms, len(owners), OWNER_CONNECTIONS, included=self._own.name in owners)
            return limit * share
        region = self._region_of(data_centre)
        nearby = region == self._region_of(self._own.data_centre)
        return connection_share(limit, vms, self._count_vms({region}), nearby=nearby)

    def requests(self, replica: Registration, limit: float) -> RequestShare:
        """Return this VM's share of the requests that a replica accepts from all VMs.

        :param limit: requests per second.
        """
        members = self._roster.members
        vms = self._roster.vm_count
        if vms > len(members):
            return request_share(
                limit, self._own.name, (), [self._own.name], replica.instance
            ).divided(vms)
        favoured = self._favoured_vms(replica.service)
        names = [vm.name for vm in members]
        return request_share(
            limit,
            self._own.name,
            [name for name in names if name in favoured],
            [name for name in names if name not in favoured],
            replica.instance,
        )

    def _favoured_vms(self, service: str) -> Set[str]:
        """Return the VMs that query a shard for the others; none for a service without shards."""
        owners = self._owners.owners_of(service)
        if owners or service not in self._shards():
            return owners
        regions = self._replica_regions(service)
        return {
            vm.name for vm in self._roster.members if self._region_of(vm.data_centre) in regions
        }

    def _replica_regions(self, service: str) -> Set[str]:
        return {
            self._region_of(pool.registration.data_centre)
            for pool in self._registry.candidates(service)
        }

    def _region_of(self, data_centre: str) -> str:
        return self._regions.get(data_centre, "")

    def _count_vms(self, regions: Set[str]) -> int:
        """Return the number of VMs in the given regions."""
        if self._counted is not self._roster.members:
            self._counted = self._roster.members
            self._region_counts = {}
            for vm in self._counted:
                region = self._region_of(vm.data_centre)
                self._region_counts[region] = self._region_counts.get(region, 0) + 1
        return sum(self._region_counts.get(region, 0) for region in regions)


def connection_share(limit: int, vm_count: int, nearby_count: int, *, nearby: bool) -> float:
    """Return one VM's share of the connections to a replica.

    :param limit: connections that the replica accepts from all VMs together.
    :param vm_count: number of VMs.
    :param nearby_count: number of VMs in the replica's region.
    :param nearby: whether this VM is one of those.

    >>> round(connection_share(26, 8, 3, nearby=True), 2)
    5.2
    >>> connection_share(26, 8, 0, nearby=False)
    3.25
    """
    return limit * share_of(vm_count, nearby_count, NEARBY_CONNECTIONS, included=nearby)


def share_of(vm_count: int, favoured_count: int, favoured_share: float, *, included: bool) -> float:
    """Return one VM's share of a limit of which some VMs together have a larger part.

    :param vm_count: number of VMs.
    :param favoured_count: number of VMs that share the larger part.
    :param favoured_share: their part, at most 1.
    :param included: whether this VM is one of them.

    >>> round(share_of(9, 6, 0.9, included=True), 3), round(share_of(9, 6, 0.9, included=False), 3)
    (0.15, 0.033)
    >>> share_of(4, 4, 0.9, included=True)
    0.25
    """
    if not favoured_count or favoured_count >= vm_count:
        return 1.0 / max(1, vm_count)
    if included:
        return favoured_share / favoured_count
    return (1.0 - favoured_share) / (vm_count - favoured_count)
