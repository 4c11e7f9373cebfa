"""Delegation of shards to other VMs: those near the replicas, or the owners of the shards.

A shard of a search is remote if it has no replica in this region. One question and one merged
answer cross between regions instead of a request and a reply for each of those shards. Within a
region, the owners of shards query the replicas for all VMs.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Iterable, Set
from typing import NamedTuple

from auburncart.coordination.forwarding.helper_links import HelperLinks, MergeLink
from auburncart.coordination.forwarding.journal import Journal
from auburncart.coordination.forwarding.replica_registry import ReplicaRegistry
from auburncart.coordination.forwarding.roster import Roster
from auburncart.coordination.forwarding.search import Search
from auburncart.coordination.forwarding.shard_owners import OTHER_REGION, ShardOwners
from auburncart.coordination.rendezvous import rendezvous_select
from auburncart.exception import LinkError, LinkTimeoutError
from auburncart.state.entryvm import EntryVm
from auburncart.state.event import Delegated, DelegationFailed
from auburncart.state.forward import ForwardRequest, PartialAnswer
from auburncart.state.merge import Declined, MergeQuestion, SearchScope

__all__ = ["MIN_GROUP_SHARDS", "Delegation", "Helper", "ShardGroup"]

MAX_LINKS_PER_DATA_CENTRE = 3  # one VM may be lost while another is being replaced
MIN_GROUP_SHARDS = 3  # from which one question costs less than a request for each shard
ROUND_TRIP_MARGIN_SECONDS = 0.003  # for some iterations of both event loops
LINK_CHECK_SECONDS = 0.25  # between checks of the links to owners


class Helper(NamedTuple):
    """A VM that can ask shards for this one."""

    vm: EntryVm
    link: MergeLink


class ShardGroup(NamedTuple):
    """Shards that one helper asks.

    :param round_trip: seconds of the round trip to the helper, with a margin.
    :param scope: which further VMs the helper may ask.
    """

    helper: Helper
    shards: tuple[str, ...]
    round_trip: float
    scope: SearchScope


class Delegation:
    """Chooses helpers for remote shards, and asks them.

    :param own_name: name of this VM.
    :param registry: replicas, with their data centres.
    :param roster: the VMs.
    :param distance: returns the distance of a data centre: 0 for this VM's own, 1 in the same
        region, 2 in another region.
    :param owners: the owners of shards in this region.
    :param open_link: opens a link to a VM.
    :param journal: records each question and each failure.
    """

    def __init__(
        self,
        own_name: str,
        registry: ReplicaRegistry,
        roster: Roster,
        distance: Callable[[str], int],
        owners: ShardOwners,
        open_link: Callable[[EntryVm], MergeLink],
        journal: Journal,
    ) -> None:
        self._own_name = own_name
        self._registry = registry
        self._roster = roster
        self._distance = distance
        self._owners = owners
        self._links = HelperLinks(open_link)
        self._journal = journal
        self._remote_shards: dict[tuple[str, ...], dict[str, frozenset[str]]] = {}
        self._remote_shards_generation = -1
        self._linked_locations: set[str] = set()
        self._helper_vms: dict[str, list[EntryVm]] = {}
        self._helper_vms_basis: tuple[EntryVm, ...] = ()
        self._rotation = 0

    async def run(self) -> None:
        """Keep the links to owners open before they are needed; runs until cancelled."""
        while True:
            self._update_links(set())
            await asyncio.sleep(LINK_CHECK_SECONDS)

    def split(
        self, shards: tuple[str, ...], scope: SearchScope
    ) -> tuple[tuple[str, ...], tuple[ShardGroup, ...]]:
        """Return the shards to ask directly, and those that other VMs ask.

        :param scope: which VMs may be asked.
        """
        groups: list[ShardGroup] = []
        if scope is SearchScope.TIER:
            groups += self._remote_groups(shards)
        if scope is not SearchScope.REPLICAS and self._owners.active:
            remote = {shard for group in groups for shard in group.shards}
            groups += self._owner_groups(shard for shard in shards if shard not in remote)
        delegated = {shard for group in groups for shard in group.shards}
        return tuple(shard for shard in shards if shard not in delegated), tuple(groups)

    async def ask(
        self, group: ShardGroup, search: Search, may_give_up: Callable[[], bool]
    ) -> AsyncIterator[PartialAnswer]:
        """Have a helper ask its shards, and yield its answers.

        :param may_give_up: returns whether a helper that is slow to accept the question may be
            given up, because this VM can ask the replicas.
        :raises LinkError: no more answers come; its step is ``connect`` if no replica was asked.
        """
        request, vm = search.request, group.helper.vm
        now = _now()
        question = MergeQuestion(
            group.shards,
            search.priority,
            search.max_attempts,
            search.top_records,
            # The helper's own hedge may cross between data centres as well.
            max(0.0, search.hedge_delay - group.round_trip),
            request.request_id,
            request.method,
            request.host,
            request.target,
            request.headers,
            request.body,
            request.caller,
            search.deliver_at - now - group.round_trip,
            search.until - now - group.round_trip,
            request.deadline - now,
            group.scope,
        )
        self._journal.record(Delegated(request.request_id, vm.name, len(group.shards)))
        ping_after = max(0.0, search.deliver_at - now) + group.round_trip
        try:
            async with contextlib.aclosing(
                group.helper.link.ask(question, ping_after, may_give_up)
            ) as answers:  # type: ignore[type-var]
                async for answer in answers:
                    if isinstance(answer, Declined):
                        self._links.record_declined(vm)
                        raise LinkError(answer.reason, step="connect", peer=vm.merge_address)
                    self._links.record_answer(vm)
                    yield answer
        except LinkError as error:
            if isinstance(error, LinkTimeoutError):
                self._links.record_silent(vm)
            self._record_failure(request, vm, error)
            raise

    def close(self) -> None:
        """Close all links."""
        self._links.close()

    def _remote_groups(self, shards: tuple[str, ...]) -> list[ShardGroup]:
        """Return groups of remote shards for helpers near their replicas."""
        remote = dict(self._remote_shards_of(shards))
        groups = []
        while len(remote) >= MIN_GROUP_SHARDS:
            group = self._best_group(remote)
            if group is None:
                break
            groups.append(group)
            for shard in group.shards:
                del remote[shard]
        return groups

    def _owner_groups(self, shards: Iterable[str]) -> list[ShardGroup]:
        """Return groups of shards for their owners, without those that this VM owns."""
        remaining = set(shards)
        groups = []
        for owned in self._owners.groups:
            asked = tuple(sorted(owned.shards & remaining))
            helper = self._ready_owner(owned.vms)
            if helper is not None and len(asked) >= MIN_GROUP_SHARDS:
                groups.append(_group(helper, asked, SearchScope.REPLICAS))
        return groups

    def _ready_owner(self, vms: tuple[EntryVm, ...]) -> Helper | None:
        """Return the first owner that can be asked, None if that is this VM or there is none."""
        for vm in vms:
            if vm.name == self._own_name:
                return None
            link = self._links.ready(vm)
            if link is not None:
                return Helper(vm, link)
        return None

    def _best_group(self, remote: dict[str, frozenset[str]]) -> ShardGroup | None:
        """Return a group of as many shards as possible for a helper in the nearest data centre."""
        counts: dict[str, int] = {}
        for locations in remote.values():
            for location in locations:
                counts[location] = counts.get(location, 0) + 1
        ready = [
            helper
            for helper in self._ready_helpers(counts.keys())
            if counts.get(helper.vm.data_centre, 0) >= MIN_GROUP_SHARDS
        ]
        if not ready:
            return None
        self._rotation += 1

        def rank(index: int) -> tuple[int, int, int, int]:
            vm, link = ready[index]
            rotated = (index + self._rotation) % len(ready)
            location = vm.data_centre
            return self._distance(location), -counts[location], link.outstanding, rotated

        helper = ready[min(range(len(ready)), key=rank)]
        location = helper.vm.data_centre
        shards = tuple(shard for shard, locations in remote.items() if location in locations)
        return _group(helper, shards, SearchScope.REGION)

    def _ready_helpers(self, locations: Set[str]) -> list[Helper]:
        """Return the helpers that can be asked now, after linking to some data centres."""
        if not locations <= self._linked_locations:
            self._update_links(locations)
        return [
            Helper(vm, link)
            for location in sorted(locations)
            for vm in self._helper_vms_in(location)
            if (link := self._links.ready(vm)) is not None
        ]

    def _update_links(self, locations: Set[str]) -> None:
        """Open links to VMs that are needed, and close those to VMs that no longer are."""
        self._linked_locations |= locations
        wanted = {vm for location in self._linked_locations for vm in self._helper_vms_in(location)}
        for owned in self._owners.groups:
            for vm in owned.vms:
                if vm.name == self._own_name:
                    break
                wanted.add(vm)
                if not self._links.failing(vm):
                    break
        self._links.keep(wanted)

    def _helper_vms_in(self, location: str) -> list[EntryVm]:
        """Return the VMs of a data centre that this one links to, chosen by rendezvous hashing."""
        members = self._roster.members
        if self._helper_vms_basis is not members:
            self._helper_vms_basis = members
            self._helper_vms = {}
        if location not in self._helper_vms:
            vms = {vm.name: vm for vm in members if vm.data_centre == location and vm.merge_address}
            names = rendezvous_select(self._own_name, vms, MAX_LINKS_PER_DATA_CENTRE)
            self._helper_vms[location] = [vms[name] for name in names]
        return self._helper_vms[location]

    def _remote_shards_of(self, shards: tuple[str, ...]) -> dict[str, frozenset[str]]:
        """Return the nearest data centres with replicas of each remote shard."""
        if self._remote_shards_generation != self._registry.generation:
            self._remote_shards.clear()
            self._remote_shards_generation = self._registry.generation
        remote = self._remote_shards.get(shards)
        if remote is None:
            remote = self._remote_shards[shards] = self._find_remote_shards(shards)
        return remote

    def _find_remote_shards(self, shards: tuple[str, ...]) -> dict[str, frozenset[str]]:
        remote = {}
        for shard in shards:
            locations = {pool.registration.data_centre for pool in self._registry.candidates(shard)}
            nearest = min(map(self._distance, locations), default=0)
            if nearest >= OTHER_REGION:
                remote[shard] = frozenset(
                    location for location in locations if self._distance(location) == nearest
                )
        return remote

    def _record_failure(self, request: ForwardRequest, vm: EntryVm, error: LinkError) -> None:
        sent = error.step != "connect"
        seconds = _now() - request.arrived
        self._journal.record(
            DelegationFailed(request.request_id, vm.name, error.reason, sent, seconds)
        )


def _group(helper: Helper, shards: tuple[str, ...], scope: SearchScope) -> ShardGroup:
    return ShardGroup(helper, shards, helper.link.round_trip + ROUND_TRIP_MARGIN_SECONDS, scope)


def _now() -> float:
    return asyncio.get_running_loop().time()
