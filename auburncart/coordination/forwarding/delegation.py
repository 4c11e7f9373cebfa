"""Delegation of remote shards to a VM near their replicas.

A shard of a search is remote if it has no replica in this region. One question and one merged
answer cross between regions instead of a request and a reply for each of those shards.
"""

import asyncio
import contextlib
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable, Set
from typing import NamedTuple

from auburncart.coordination.forwarding.journal import Journal
from auburncart.coordination.forwarding.replica_registry import ReplicaRegistry
from auburncart.coordination.forwarding.roster import Roster
from auburncart.coordination.forwarding.search import Search
from auburncart.coordination.rendezvous import rendezvous_select
from auburncart.exception import LinkError
from auburncart.state.entryvm import EntryVm
from auburncart.state.event import Delegated, DelegationFailed
from auburncart.state.forward import ForwardRequest, PartialAnswer
from auburncart.state.merge import Declined, MergeAnswer, MergeQuestion

__all__ = ["OTHER_REGION", "Delegation", "ShardGroup", "Helper", "MergeLink"]

MAX_LINKS_PER_DATA_CENTRE = 3  # one VM may be lost while another is being replaced
MIN_GROUP_SHARDS = 3  # from which one question costs less than a request for each shard
OTHER_REGION = 2  # distance of another region; within one, bytes are cheap and latencies short
ROUND_TRIP_MARGIN_SECONDS = 0.003  # for some iterations of both event loops
DECLINED_PAUSE_SECONDS = 1.0  # a VM that declined a question is leaving or has lost the store


class MergeLink(ABC):
    """Link to one VM, which reconnects by itself."""

    @property
    @abstractmethod
    def usable(self) -> bool:
        """Whether the VM can be asked now."""

    @property
    @abstractmethod
    def round_trip(self) -> float:
        """Round trip to the VM in seconds, as measured when the link was opened."""

    @property
    @abstractmethod
    def outstanding(self) -> int:
        """Number of questions in flight."""

    @abstractmethod
    def ask(self, question: MergeQuestion, ping_after: float) -> AsyncIterator[MergeAnswer]:
        """Ask for some shards; closing the iterator cancels the question.

        :param ping_after: seconds without an answer after which the VM must prove to be alive.
        :raises LinkError: there are no more answers; its step is ``connect`` if nothing was sent.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the link."""


class Helper(NamedTuple):
    """A VM that can ask shards for this one."""

    vm: EntryVm
    link: MergeLink


class ShardGroup(NamedTuple):
    """Shards that one helper asks.

    :param round_trip: seconds of the round trip to the helper, with a margin.
    """

    helper: Helper
    shards: tuple[str, ...]
    round_trip: float


class Delegation:
    """Chooses helpers for remote shards, and asks them.

    :param own_name: name of this VM.
    :param registry: replicas, with their data centres.
    :param roster: the VMs.
    :param distance: returns the distance of a data centre: 0 for this VM's own, 1 in the same
        region, 2 in another region.
    :param open_link: opens a link to a VM.
    :param journal: records each question and each failure.
    """

    def __init__(
        self,
        own_name: str,
        registry: ReplicaRegistry,
        roster: Roster,
        distance: Callable[[str], int],
        open_link: Callable[[EntryVm], MergeLink],
        journal: Journal,
    ) -> None:
        self._own_name = own_name
        self._registry = registry
        self._roster = roster
        self._distance = distance
        self._open_link = open_link
        self._journal = journal
        self._remote_shards: dict[tuple[str, ...], dict[str, frozenset[str]]] = {}
        self._remote_shards_generation = -1
        self._members: tuple[EntryVm, ...] = ()
        self._linked_locations: set[str] = set()
        self._links: dict[EntryVm, MergeLink] = {}
        self._paused_until: dict[EntryVm, float] = {}
        self._rotation = 0

    def split(self, shards: tuple[str, ...]) -> tuple[tuple[str, ...], tuple[ShardGroup, ...]]:
        """Return the shards to ask directly, and those that helpers ask."""
        remote = dict(self._remote_shards_of(shards))
        groups = []
        while len(remote) >= MIN_GROUP_SHARDS:
            group = self._best_group(remote)
            if group is None:
                break
            groups.append(group)
            for shard in group.shards:
                del remote[shard]
        delegated = {shard for group in groups for shard in group.shards}
        return tuple(shard for shard in shards if shard not in delegated), tuple(groups)

    async def ask(self, group: ShardGroup, search: Search) -> AsyncIterator[PartialAnswer]:
        """Have a helper ask its shards, and yield its answers.

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
        )
        self._journal.record(Delegated(request.request_id, vm.name, len(group.shards)))
        ping_after = max(0.0, search.deliver_at - now) + group.round_trip
        try:
            async with contextlib.aclosing(group.helper.link.ask(question, ping_after)) as answers:  # type: ignore[type-var]
                async for answer in answers:
                    if isinstance(answer, Declined):
                        self._paused_until[vm] = _now() + DECLINED_PAUSE_SECONDS
                        raise LinkError(answer.reason, step="connect", peer=vm.merge_address)
                    yield answer
        except LinkError as error:
            self._record_failure(request, vm, error)
            raise

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()

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
        return ShardGroup(helper, shards, helper.link.round_trip + ROUND_TRIP_MARGIN_SECONDS)

    def _ready_helpers(self, locations: Set[str]) -> list[Helper]:
        """Return the helpers that can be asked now, after linking to some data centres."""
        if self._members is not self._roster.members or not locations <= self._linked_locations:
            self._update_links(locations)
        now = _now()
        return [
            Helper(vm, link)
            for vm, link in self._links.items()
            if link.usable and self._paused_until.get(vm, 0.0) <= now
        ]

    def _update_links(self, locations: Set[str]) -> None:
        """Open links to new VMs, and close those to VMs that have gone."""
        self._members = self._roster.members
        self._linked_locations |= locations
        wanted = {vm for location in self._linked_locations for vm in self._helper_vms_in(location)}
        for vm in sorted(wanted - self._links.keys()):
            self._links[vm] = self._open_link(vm)
        for vm in self._links.keys() - wanted:
            self._links.pop(vm).close()
            self._paused_until.pop(vm, None)

    def _helper_vms_in(self, location: str) -> list[EntryVm]:
        """Return the VMs of a data centre that this one links to, chosen by rendezvous hashing."""
        vms = {
            vm.name: vm for vm in self._members if vm.data_centre == location and vm.merge_address
        }
        return [
            vms[name] for name in rendezvous_select(self._own_name, vms, MAX_LINKS_PER_DATA_CENTRE)
        ]

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


def _now() -> float:
    return asyncio.get_running_loop().time()
