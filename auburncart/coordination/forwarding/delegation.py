"""Letting a VM near the replicas ask those shards of a search that have none in this region.

One question and one merged answer cross between regions instead of a request and a reply for
each of those shards.
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
from auburncart.coordination.rendezvous import top
from auburncart.exception import LinkError
from auburncart.state.entryvm import EntryVm
from auburncart.state.event import Delegated, DelegationFailed
from auburncart.state.forward import ForwardRequest, Portion
from auburncart.state.merge import Declined, MergeAnswer, MergeQuestion

__all__ = ["OTHER_REGION", "Delegation", "Group", "Helper", "MergeLink"]

MOST_LINKS = 3  # to VMs of one data centre: one may be lost, another be replaced meanwhile
LEAST_GROUP = 3  # shards from which one question costs less than a request for each
OTHER_REGION = 2  # distance of another region; within one, bytes are cheap and ways short
WAY_MARGIN_SECONDS = 0.003  # beyond the way to a helper and back: some turns of both loops
DECLINED_SECONDS = 1.0  # for which a VM that declined is not asked: it is leaving or lost the store


class MergeLink(ABC):
    """The link to one VM, which a task of its own keeps open."""

    @property
    @abstractmethod
    def usable(self) -> bool:
        """Whether the VM can be asked now."""

    @property
    @abstractmethod
    def round_trip(self) -> float:
        """Seconds of the way to the VM and back, as measured when the link was opened."""

    @property
    @abstractmethod
    def outstanding(self) -> int:
        """Number of questions at work there."""

    @abstractmethod
    def ask(self, question: MergeQuestion, ping_after: float) -> AsyncIterator[MergeAnswer]:
        """Ask for some shards; closing the iterator withdraws the question.

        :param ping_after: seconds after which the VM has to show that it is still there.
        :raises LinkError: there are no more answers; its step is ``connect`` if nothing was sent.
        """

    @abstractmethod
    def close(self) -> None:
        """End the link."""


class Helper(NamedTuple):
    """A VM that may ask shards for this one."""

    vm: EntryVm
    link: MergeLink


class Group(NamedTuple):
    """Shards that one helper asks.

    :param seconds: time of the way to it and back.
    """

    helper: Helper
    shards: tuple[str, ...]
    seconds: float


class Delegation:
    """Chooses VMs for the shards that have no replica here, and asks them.

    :param own: name of this VM.
    :param registry: replicas, with their data centres.
    :param roster: the VMs.
    :param distance: returns how far a data centre is: 0 here, 1 in this region, 2 elsewhere.
    :param open_link: opens a link to a VM.
    :param journal: told of each question.
    """

    def __init__(
        self,
        own: str,
        registry: ReplicaRegistry,
        roster: Roster,
        distance: Callable[[str], int],
        open_link: Callable[[EntryVm], MergeLink],
        journal: Journal,
    ) -> None:
        self._own = own
        self._registry = registry
        self._roster = roster
        self._distance = distance
        self._open_link = open_link
        self._journal = journal
        self._far: dict[tuple[str, ...], dict[str, frozenset[str]]] = {}
        self._far_as_of = -1
        self._members: tuple[EntryVm, ...] = ()
        self._linked: set[str] = set()
        self._links: dict[EntryVm, MergeLink] = {}
        self._rests: dict[EntryVm, float] = {}
        self._turn = 0

    def split(self, shards: tuple[str, ...]) -> tuple[tuple[str, ...], tuple[Group, ...]]:
        """Return the shards that are asked from here, and those that helpers ask."""
        far = dict(self._far_of(shards))
        groups = []
        while len(far) >= LEAST_GROUP:
            group = self._best_group(far)
            if group is None:
                break
            groups.append(group)
            for shard in group.shards:
                del far[shard]
        delegated = {shard for group in groups for shard in group.shards}
        return tuple(shard for shard in shards if shard not in delegated), tuple(groups)

    async def ask(self, group: Group, search: Search) -> AsyncIterator[Portion]:
        """Have a helper ask its shards; yields parts as they come.

        :raises LinkError: there are no more; its step is ``connect`` if no replica was asked.
        """
        request, vm = search.request, group.helper.vm
        now = _now()
        question = MergeQuestion(
            group.shards,
            search.priority,
            search.most_attempts,
            search.top_records,
            # A hedge there may cross between data centres as well.
            max(0.0, search.hedge_delay - group.seconds),
            request.request_id,
            request.method,
            request.host,
            request.target,
            request.fields,
            request.body,
            request.caller,
            search.deliver_at - now - group.seconds,
            search.until - now - group.seconds,
            request.deadline - now,
        )
        self._journal.record(Delegated(request.request_id, vm.name, len(group.shards)))
        ping_after = max(0.0, search.deliver_at - now) + group.seconds
        try:
            async with contextlib.aclosing(group.helper.link.ask(question, ping_after)) as answers:  # type: ignore[type-var]
                async for answer in answers:
                    if isinstance(answer, Declined):
                        self._rests[vm] = _now() + DECLINED_SECONDS
                        raise LinkError(answer.reason, step="connect", peer=vm.merge_address)
                    yield answer
        except LinkError as error:
            self._note_failure(request, vm, error)
            raise

    def close(self) -> None:
        """End all links."""
        for link in self._links.values():
            link.close()

    def _best_group(self, far: dict[str, frozenset[str]]) -> Group | None:
        """Return the nearest data centre's helper for as many shards as possible."""
        counts: dict[str, int] = {}
        for homes in far.values():
            for home in homes:
                counts[home] = counts.get(home, 0) + 1
        ready = [
            helper
            for helper in self._ready(counts.keys())
            if counts.get(helper.vm.data_centre, 0) >= LEAST_GROUP
        ]
        if not ready:
            return None
        self._turn += 1

        def rank(place: int) -> tuple[int, int, int, int]:
            vm, link = ready[place]
            turn = (place + self._turn) % len(ready)
            home = vm.data_centre
            return self._distance(home), -counts[home], link.outstanding, turn

        helper = ready[min(range(len(ready)), key=rank)]
        home = helper.vm.data_centre
        shards = tuple(shard for shard, homes in far.items() if home in homes)
        return Group(helper, shards, helper.link.round_trip + WAY_MARGIN_SECONDS)

    def _ready(self, homes: Set[str]) -> list[Helper]:
        """Return the VMs in some data centres that can be asked now."""
        if self._members is not self._roster.members or not homes <= self._linked:
            self._keep_links(homes)
        now = _now()
        return [
            Helper(vm, link)
            for vm, link in self._links.items()
            if link.usable and self._rests.get(vm, 0.0) <= now
        ]

    def _keep_links(self, homes: Set[str]) -> None:
        """Open links to VMs that are new, and end those to VMs that have gone."""
        self._members = self._roster.members
        self._linked |= homes
        wanted = {vm for home in self._linked for vm in self._helpers_in(home)}
        for vm in sorted(wanted - self._links.keys()):
            self._links[vm] = self._open_link(vm)
        for vm in self._links.keys() - wanted:
            self._links.pop(vm).close()
            self._rests.pop(vm, None)

    def _helpers_in(self, home: str) -> list[EntryVm]:
        """Return the few VMs of a data centre that this one asks; other VMs ask others there."""
        vms = {vm.name: vm for vm in self._members if vm.data_centre == home and vm.merge_address}
        return [vms[name] for name in top(self._own, vms, MOST_LINKS)]

    def _far_of(self, shards: tuple[str, ...]) -> dict[str, frozenset[str]]:
        """Return the data centres of each shard that has no replica in this region."""
        if self._far_as_of != self._registry.generation:
            self._far.clear()
            self._far_as_of = self._registry.generation
        far = self._far.get(shards)
        if far is None:
            far = self._far[shards] = self._find_far(shards)
        return far

    def _find_far(self, shards: tuple[str, ...]) -> dict[str, frozenset[str]]:
        far = {}
        for shard in shards:
            homes = {pool.registration.data_centre for pool in self._registry.candidates(shard)}
            nearest = min(map(self._distance, homes), default=0)
            if nearest >= OTHER_REGION:
                far[shard] = frozenset(home for home in homes if self._distance(home) == nearest)
        return far

    def _note_failure(self, request: ForwardRequest, vm: EntryVm, error: LinkError) -> None:
        sent = error.step != "connect"
        seconds = _now() - request.arrived
        self._journal.record(
            DelegationFailed(request.request_id, vm.name, error.reason, sent, seconds)
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
