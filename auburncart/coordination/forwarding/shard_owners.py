"""Owners of shards: the VMs that query the replicas of some shards for their whole region.

In a large tier each VM has a search only once in seconds. It would have no open connection to
most replicas, and would notice a slow or paused replica only by its own late request. An owner has
the searches of all VMs of its region for its shards, so that its connections stay open and its
measurements are recent.
"""

from collections.abc import Callable
from typing import NamedTuple

import xxhash

from auburncart.coordination.forwarding.replica_registry import ReplicaRegistry
from auburncart.coordination.forwarding.roster import Roster
from auburncart.coordination.rendezvous import rendezvous_select
from auburncart.state.entryvm import EntryVm

__all__ = ["OTHER_REGION", "OwnedShards", "ShardOwners"]

OTHER_REGION = 2  # distance of another region; within one, bytes are cheap and latencies short
MIN_OWNING_VMS = 16  # with fewer VMs, each one queries each replica often enough by itself
SHARDS_PER_OWNER = 12  # one question costs less than a request for each of so many shards
OWNERS_PER_GROUP = 2  # the second one replaces the first while that cannot be asked


class OwnedShards(NamedTuple):
    """Shards with the same owners.

    :param vms: the owners in this region, in the order in which to ask them.
    """

    shards: frozenset[str]
    vms: tuple[EntryVm, ...]


class ShardOwners:
    """Assigns each shard to owners in each data centre with a replica of it.

    All VMs with the same configuration and list of VMs assign them alike; where they differ for a
    while, a shard has more owners.

    :param shards: returns all shards in the configuration in force.
    :param registry: replicas, with their data centres.
    :param roster: the VMs.
    :param distance: returns the distance of a data centre: 0 for this VM's own, 1 in the same
        region, 2 in another region.
    """

    def __init__(
        self,
        shards: Callable[[], frozenset[str]],
        registry: ReplicaRegistry,
        roster: Roster,
        distance: Callable[[str], int],
    ) -> None:
        self._shards = shards
        self._registry = registry
        self._roster = roster
        self._distance = distance
        self._basis: tuple[object, ...] = ()
        self._groups: tuple[OwnedShards, ...] = ()
        self._owners: dict[str, frozenset[str]] = {}

    @property
    def active(self) -> bool:
        """Whether the tier is so large that shards have owners."""
        return len(self._roster.members) >= MIN_OWNING_VMS

    @property
    def groups(self) -> tuple[OwnedShards, ...]:
        """All shards with owners in this region."""
        self._update()
        return self._groups

    def owners_of(self, shard: str) -> frozenset[str]:
        """Return the names of a shard's owners in all regions."""
        self._update()
        return self._owners.get(shard, frozenset())

    def _update(self) -> None:
        basis = (self._shards(), self._registry.generation, self._roster.members)
        if len(self._basis) == len(basis) and all(map(_same, basis, self._basis)):
            return
        self._basis = basis
        self._groups, self._owners = (), {}
        if self.active:
            self._assign()

    def _assign(self) -> None:
        vms: dict[str, dict[str, EntryVm]] = {}
        for vm in self._roster.members:
            if vm.merge_address:
                vms.setdefault(vm.data_centre, {})[vm.name] = vm
        near: dict[str, tuple[int, str]] = {}
        groups: dict[tuple[str, int], list[str]] = {}
        for location, shards in self._shards_by_location().items():
            if location not in vms:
                continue
            for shard in shards:
                place = self._distance(location), location
                near[shard] = min(near.get(shard, place), place)
            for number, group in enumerate(_divide(shards)):
                groups[location, number] = group
        for (location, number), shards in groups.items():
            names = rendezvous_select(f"{location}/{number}", vms[location], OWNERS_PER_GROUP)
            for shard in shards:
                self._owners[shard] = self._owners.get(shard, frozenset()).union(names)
            asked = frozenset(shard for shard in shards if near[shard][1] == location)
            if asked and self._distance(location) < OTHER_REGION:
                owners = tuple(vms[location][name] for name in names)
                self._groups += (OwnedShards(asked, owners),)

    def _shards_by_location(self) -> dict[str, list[str]]:
        """Return the shards with a replica in each data centre."""
        locations: dict[str, list[str]] = {}
        for shard in sorted(self._shards()):
            for location in {
                pool.registration.data_centre for pool in self._registry.candidates(shard)
            }:
                locations.setdefault(location, []).append(shard)
        return locations


def _divide(shards: list[str]) -> list[list[str]]:
    """Divide shards by their hashes, so that one more or less moves few others."""
    count = -(-len(shards) // SHARDS_PER_OWNER)
    groups: list[list[str]] = [[] for _ in range(count)]
    for shard in shards:
        groups[xxhash.xxh64_intdigest(shard.encode()) % count].append(shard)
    return groups


def _same(one: object, other: object) -> bool:
    """Return whether two inputs are the same; collections are replaced when they change."""
    return one is other or (isinstance(one, int) and one == other)
