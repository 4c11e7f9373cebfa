"""Owners of shards: the VMs that query the replicas of some shards for their whole region.

In a large tier each VM has a search only once in seconds. It would have no open connection to
most replicas, and would notice a slow or paused replica only by its own late request. An owner has
the searches of all VMs of its region for its shards, so that its connections stay open and its
measurements are recent.
"""

import itertools
from collections.abc import Callable, Iterable
from typing import NamedTuple

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
    """Assigns all shards to owners in each data centre that has most of their replicas.

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
        groups = []
        for number, shards in enumerate(_divide(sorted(self._shards()))):
            owners = {
                location: tuple(
                    vms[location][name]
                    for name in rendezvous_select(
                        f"{location}/{number}", vms[location], OWNERS_PER_GROUP
                    )
                )
                for location in self._locations_of_most(shards)
                if location in vms
            }
            names = frozenset(vm.name for chosen in owners.values() for vm in chosen)
            self._owners.update(dict.fromkeys(shards, names))
            near = min(
                owners, key=lambda location: (self._distance(location), location), default=""
            )
            if near and self._distance(near) < OTHER_REGION:
                groups.append(OwnedShards(frozenset(shards), owners[near]))
        self._groups = tuple(groups)

    def _locations_of_most(self, shards: Iterable[str]) -> list[str]:
        """Return the data centres with a replica of at least half of the shards."""
        counts: dict[str, int] = {}
        total = 0
        for shard in shards:
            total += 1
            for location in {
                pool.registration.data_centre for pool in self._registry.candidates(shard)
            }:
                counts[location] = counts.get(location, 0) + 1
        return [location for location, count in counts.items() if 2 * count >= total]


def _divide(names: list[str]) -> list[list[str]]:
    """Divide names into groups of about the same size."""
    count = -(-len(names) // SHARDS_PER_OWNER)
    bounds = [len(names) * number // max(1, count) for number in range(count + 1)]
    return [names[start:end] for start, end in itertools.pairwise(bounds)]


def _same(one: object, other: object) -> bool:
    """Return whether two inputs are the same; collections are replaced when they change."""
    return one is other or (isinstance(one, int) and one == other)
