"""Merging of shards for other VMs: those of other regions, and all VMs for shards owned here."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable

from auburncart.coordination.forwarding.attempts import ForwardingContext
from auburncart.coordination.forwarding.delegation import MIN_GROUP_SHARDS, Delegation
from auburncart.coordination.forwarding.fanout import (
    Fanout,
    merge_partial_answers,
)
from auburncart.coordination.forwarding.replica_registry import ReplicaRegistry
from auburncart.coordination.forwarding.routes import RouteTable
from auburncart.coordination.forwarding.search import Search
from auburncart.coordination.shutdown import RequestTracker
from auburncart.state.entryvm import EntryVm
from auburncart.state.event import MergedForPeer
from auburncart.state.forward import MAX_PART_BYTES, ForwardRequest, PartialAnswer
from auburncart.state.merge import Declined, MergeAnswer, MergeQuestion

__all__ = ["MergeServer", "merging_wanted"]


def merging_wanted(
    table: RouteTable | None,
    registry: ReplicaRegistry,
    vms: Iterable[EntryVm],
    data_centre: str,
    regions: dict[str, str],
) -> bool:
    """Return whether VMs in other regions need this one to ask shards for them.

    They do if their region has no replicas of shards that have some in this data centre.

    :param data_centre: this VM's data centre.
    :param regions: region of each data centre.
    """
    other_regions = {regions.get(vm.data_centre, "") for vm in vms} - {regions.get(data_centre)}
    lacking_shards = dict.fromkeys(other_regions, 0)
    for shard in table.shards if table else ():
        locations = {pool.registration.data_centre for pool in registry.candidates(shard)}
        if data_centre in locations:
            for region in other_regions - {regions.get(location, "") for location in locations}:
                lacking_shards[region] += 1
    return any(count >= MIN_GROUP_SHARDS for count in lacking_shards.values())


class MergeServer:
    """Answers other VMs' questions, as long as this VM knows the current replicas.

    :param context: the collaborators of the forwarding code.
    :param request_tracker: tracks the requests in flight.
    :param store_connected: returns whether the store answers this VM.
    :param delegation: chooses the owners of shards; None to ask all shards directly.
    """

    def __init__(
        self,
        context: ForwardingContext,
        request_tracker: RequestTracker,
        store_connected: Callable[[], bool],
        delegation: Delegation | None = None,
    ) -> None:
        self._context = context
        self._delegation = delegation
        self._request_tracker = request_tracker
        self._store_connected = store_connected

    @property
    def decline_reason(self) -> str:
        """Why questions are declined now, an empty string if they are accepted."""
        if not self._request_tracker.ready:
            return "this VM is leaving, or not ready yet"
        if not self._store_connected():
            return "the store does not answer this VM"
        return ""

    async def answer(
        self, question: MergeQuestion, asker: str, received_at: float
    ) -> AsyncIterator[MergeAnswer]:
        """Answer one question; closing the iterator cancels all work on it.

        :param asker: address of the VM that asks.
        :param received_at: loop time in seconds at which the question came in.
        """
        decline_reason = self.decline_reason
        if decline_reason:
            yield Declined(decline_reason)
            return
        search = _search_of(question, received_at)
        fanout = Fanout(search, self._context, self._delegation)
        with self._request_tracker.track():
            fanout.start()
            try:
                async for partial in self._partial_answers(fanout, search, asker):
                    yield partial
            finally:
                fanout.close()

    async def _partial_answers(
        self, fanout: Fanout, search: Search, asker: str
    ) -> AsyncIterator[PartialAnswer]:
        """Yield one partial answer at the time of delivery, and later parts as they come."""
        loop = asyncio.get_running_loop()
        top = search.top_records
        partials: list[PartialAnswer] = []
        while not fanout.done and loop.time() < search.deliver_at:
            partials += await fanout.take(search.deliver_at)
        first = merge_partial_answers(partials, top)
        self._record(search, asker, first)
        yield first
        while not fanout.done and loop.time() < search.until:
            partials = await fanout.take(search.until)
            if partials:
                yield merge_partial_answers(partials, top)

    def _record(self, search: Search, asker: str, partial: PartialAnswer) -> None:
        request = search.request
        missing = tuple(shard for shard in search.shards if shard not in partial.shards)
        seconds = asyncio.get_running_loop().time() - request.arrived
        self._context.journal.record(
            MergedForPeer(request.request_id, asker, seconds, len(partial.shards), missing)
        )


def _search_of(question: MergeQuestion, now: float) -> Search:
    request = ForwardRequest(
        question.request_id,
        question.method,
        question.host,
        question.target.partition(b"?")[0].decode("latin-1"),
        question.target,
        question.headers,
        question.body,
        now,
        now + question.time_left,
        question.caller,
        max_reply_bytes=MAX_PART_BYTES,
    )
    return Search(
        request,
        question.shards,
        question.priority,
        question.max_attempts,
        question.top_records,
        question.hedge_delay,
        now + min(question.first_answer_delay, question.timeout),
        now + question.timeout,
        question.scope,
    )
