"""The service that answers searches, whatever front end they come through."""

import asyncio

from eliot import start_action
from expression import Error, Ok, Result

from auburncart.coordination.admission import Ticket
from auburncart.coordination.catalogue import Catalogue
from auburncart.coordination.fleet import Fleet
from auburncart.coordination.gather import Gather
from auburncart.coordination.observer import Observer
from auburncart.coordination.policies import Policies
from auburncart.coordination.table import TableKeeper
from auburncart.state import (
    Refusal,
    RefusalCode,
    Row,
    SearchAnswer,
    SearchRequest,
    ShardMap,
    Step,
    Work,
    find_row,
)

__all__ = ["SearchService"]

NOT_READY_RETRY_SECONDS = 2.0


class SearchService:
    """Answers searches: admission, pinning, fan-out.

    :param catalogue: the shard map in force.
    :param tables: the table in force.
    :param fleet: the upstreams.
    :param policies: the policies to decide by.
    :param observer: told of each request's end.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        tables: TableKeeper,
        fleet: Fleet,
        policies: Policies,
        observer: Observer,
    ) -> None:
        self._catalogue = catalogue
        self._tables = tables
        self._fleet = fleet
        self._policies = policies
        self._observer = observer

    async def search(self, request: SearchRequest) -> Result[SearchAnswer, Refusal]:
        """Answer one search, or refuse it with ``ran: no``."""
        found = self._row(request)
        if found.is_error():
            return Error(found.error)
        row = found.ok
        arrival = asyncio.get_running_loop().time()
        with start_action(
            action_type="search", request_id=request.request_id, kind=request.kind
        ) as action:
            result = await self._admitted(request, row, arrival)
            outcome = self._outcome(result)
            action.add_success_fields(outcome=outcome)
        self._observer.request_ended(row.rank, outcome, asyncio.get_running_loop().time() - arrival)
        return result

    def _row(self, request: SearchRequest) -> Result[Row, Refusal]:
        table = self._tables.table
        if table is None:
            return Error(_not_ready("no table in force yet"))
        row = find_row(table, request.customer, request.kind)
        if row is None:
            reason = f"no row for customer {request.customer!r} and kind {request.kind!r}"
            return Error(Refusal(RefusalCode.BAD_REQUEST, reason))
        return Ok(row)

    async def _admitted(
        self, request: SearchRequest, row: Row, arrival: float
    ) -> Result[SearchAnswer, Refusal]:
        cost = len(request.shards) or self._shard_count()
        work = Work(
            request.request_id,
            request.customer,
            request.kind,
            row.rank,
            request.deadline,
            arrival,
            cost,
        )
        admitted = await self._policies.admission.admit(work, row)
        if admitted.is_error():
            return Error(admitted.error)
        try:
            return await self._pinned(request, row, admitted.ok)
        finally:
            admitted.ok.release()

    async def _pinned(
        self, request: SearchRequest, row: Row, ticket: Ticket
    ) -> Result[SearchAnswer, Refusal]:
        shard_map = self._catalogue.current
        if shard_map is None:
            return Error(_not_ready("no shard map yet"))
        names = request.shards or tuple(sorted(shard_map.shards))
        unknown = [name for name in names if name not in shard_map.shards]
        if unknown:
            reason = f"snapshot {shard_map.snapshot} has no shard {unknown[0]!r}"
            return Error(Refusal(RefusalCode.BAD_REQUEST, reason, step=Step.ROUTE))
        return Ok(await self._gather(request, shard_map, names, row, ticket))

    async def _gather(
        self,
        request: SearchRequest,
        shard_map: ShardMap,
        names: tuple[str, ...],
        row: Row,
        ticket: Ticket,
    ) -> SearchAnswer:
        gather = Gather(
            request, shard_map, names, row.rank, self._fleet, self._policies, ticket.progress
        )
        return await gather.run()

    def _shard_count(self) -> int:
        shard_map = self._catalogue.current
        return len(shard_map.shards) if shard_map else 1

    def _outcome(self, result: Result[SearchAnswer, Refusal]) -> str:
        if result.is_error():
            return "refused"
        return "complete" if result.ok.coverage.complete else "partial"


def _not_ready(reason: str) -> Refusal:
    return Refusal(
        RefusalCode.UNAVAILABLE, reason, retry_after=NOT_READY_RETRY_SECONDS, step=Step.ROUTE
    )
