"""Asking shards near this VM for a VM that stands elsewhere."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable

from auburncart.coordination.forwarding.attempts import Tools
from auburncart.coordination.forwarding.delegation import LEAST_GROUP
from auburncart.coordination.forwarding.directory import Directory
from auburncart.coordination.forwarding.gathering import (
    Gathering,
    merge_portions,
)
from auburncart.coordination.forwarding.routes import RouteTable
from auburncart.coordination.forwarding.search import Search
from auburncart.coordination.shutdown import RequestTracker
from auburncart.state.entryvm import EntryVm
from auburncart.state.event import MergedForPeer
from auburncart.state.forward import ForwardRequest, Portion
from auburncart.state.merge import Declined, MergeAnswer, MergeQuestion

__all__ = ["MergeServer", "merging_wanted"]


def merging_wanted(
    table: RouteTable | None,
    directory: Directory,
    vms: Iterable[EntryVm],
    data_centre: str,
    regions: dict[str, str],
) -> bool:
    """Return whether regions with VMs lack replicas of shards that stand in a data centre.

    :param data_centre: the VM's own.
    :param regions: region of each data centre.
    """
    others = {regions.get(vm.data_centre, "") for vm in vms} - {regions.get(data_centre)}
    lacking = dict.fromkeys(others, 0)
    for shard in table.shards if table else ():
        homes = {pool.registration.data_centre for pool in directory.candidates(shard)}
        if data_centre in homes:
            for other in others - {regions.get(home, "") for home in homes}:
                lacking[other] += 1
    return any(count >= LEAST_GROUP for count in lacking.values())


class MergeServer:
    """Answers other VMs' questions, while this VM hears of replicas that come and go.

    :param tools: what tries are made with.
    :param request_tracker: the requests in flight.
    :param current: returns whether this VM hears from the store.
    """

    def __init__(
        self, tools: Tools, request_tracker: RequestTracker, current: Callable[[], bool]
    ) -> None:
        self._tools = tools
        self._request_tracker = request_tracker
        self._current = current

    async def answer(self, question: MergeQuestion, asker: str) -> AsyncIterator[MergeAnswer]:
        """Answer one question; closing the iterator ends all work on it.

        :param asker: address of the VM that asks.
        """
        declined = self._objection()
        if declined:
            yield Declined(declined)
            return
        search = _search_of(question)
        gathering = Gathering(search, self._tools, None)
        with self._request_tracker.track():
            gathering.start()
            try:
                async for portion in self._portions(gathering, search, asker):
                    yield portion
            finally:
                gathering.close()

    async def _portions(
        self, gathering: Gathering, search: Search, asker: str
    ) -> AsyncIterator[Portion]:
        """Yield one portion at the time of delivery, and later parts as they come."""
        loop = asyncio.get_running_loop()
        top = search.top_records
        portions: list[Portion] = []
        while not gathering.done and loop.time() < search.deliver_at:
            portions += await gathering.take(search.deliver_at)
        first = merge_portions(portions, top)
        self._record(search, asker, first)
        yield first
        while not gathering.done and loop.time() < search.until:
            portions = await gathering.take(search.until)
            if portions:
                yield merge_portions(portions, top)

    def _objection(self) -> str:
        """Return why no question is taken, an empty string if they are."""
        if not self._request_tracker.ready:
            return "this VM is leaving, or not ready yet"
        if not self._current():
            return "the store does not answer this VM"
        return ""

    def _record(self, search: Search, asker: str, portion: Portion) -> None:
        request = search.request
        left = tuple(shard for shard in search.shards if shard not in portion.shards)
        seconds = asyncio.get_running_loop().time() - request.arrived
        self._tools.journal.record(
            MergedForPeer(request.request_id, asker, seconds, len(portion.shards), left)
        )


def _search_of(question: MergeQuestion) -> Search:
    now = asyncio.get_running_loop().time()
    request = ForwardRequest(
        question.request_id,
        question.method,
        question.host,
        question.target.partition(b"?")[0].decode("latin-1"),
        question.target,
        question.fields,
        question.body,
        now,
        now + question.time_left,
        question.caller,
    )
    return Search(
        request,
        question.shards,
        question.priority,
        question.most_attempts,
        question.top_records,
        question.hedge_delay,
        now + min(question.deliver_in, question.give_up_in),
        now + question.give_up_in,
    )
