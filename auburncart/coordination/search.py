"""The service that answers searches from any front end."""

import asyncio
from typing import Any

from eliot import log_message, start_action
from expression import Error, Ok, Result

from auburncart.coordination.catalogue import Catalogue
from auburncart.coordination.observer import Observer
from auburncart.coordination.pinning import NOT_READY, PinnedSearches
from auburncart.coordination.policies import Policies
from auburncart.coordination.table import CurrentTable
from auburncart.coordination.upstream_registry import UpstreamRegistry
from auburncart.state.failure import Refusal, RefusalCode
from auburncart.state.query import query_digest
from auburncart.state.search import SearchAnswer, SearchRequest
from auburncart.state.table import Row, find_row
from auburncart.state.work import Work

__all__ = ["SearchService"]


class SearchService:
    """Answers searches: admits them, pins a snapshot and asks the shards.

    :param catalogue: the shard map in force.
    :param tables: the table in force.
    :param upstreams: the upstreams named by the shard map.
    :param policies: the policies to decide by.
    :param observer: told of each request's end.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        tables: CurrentTable,
        upstreams: UpstreamRegistry,
        policies: Policies,
        observer: Observer,
    ) -> None:
        self._catalogue = catalogue
        self._tables = tables
        self._policies = policies
        self._pinned = PinnedSearches(catalogue, upstreams, policies)
        self._observer = observer

    async def search(self, request: SearchRequest) -> Result[SearchAnswer, Refusal]:
        """Answer one search, or refuse it with ``ran: no``."""
        found = self._find_row(request)
        if found.is_error():
            return Error(found.error)
        row = found.ok
        arrival = asyncio.get_running_loop().time()
        with start_action(
            action_type="search",
            request_id=request.request_id,
            customer=request.customer,
            kind=request.kind,
            query=query_digest(request.kind, request.query),
        ) as action:
            result = await self._admit_and_run(request, row, arrival)
            outcome = self._outcome(result)
            action.add_success_fields(outcome=outcome, **_log_fields(result))
        self._observer.request_ended(row.rank, outcome, asyncio.get_running_loop().time() - arrival)
        return result

    def _find_row(self, request: SearchRequest) -> Result[Row, Refusal]:
        table = self._tables.table
        if table is None:
            return Error(NOT_READY._replace(reason="no table in force yet"))
        row = find_row(table, request.customer, request.kind)
        if row is None:
            reason = f"no row for customer {request.customer!r} and kind {request.kind!r}"
            return Error(Refusal(RefusalCode.BAD_REQUEST, reason))
        return Ok(row)

    async def _admit_and_run(
        self, request: SearchRequest, row: Row, arrival: float
    ) -> Result[SearchAnswer, Refusal]:
        cost = len(set(request.shards)) or self._shard_count()
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
        waited = asyncio.get_running_loop().time() - arrival
        log_message(message_type="admitted", rank=row.rank.name.lower(), seconds=round(waited, 4))
        try:
            return await self._pinned.run(request, row.rank, admitted.ok)
        finally:
            admitted.ok.release()

    def _shard_count(self) -> int:
        shard_map = self._catalogue.current
        return max(1, len(shard_map.shards)) if shard_map else 1

    def _outcome(self, result: Result[SearchAnswer, Refusal]) -> str:
        if result.is_error():
            return "refused"
        return "complete" if result.ok.coverage.complete else "partial"


def _log_fields(result: Result[SearchAnswer, Refusal]) -> dict[str, Any]:
    """Return the log fields of an answer or a refusal."""
    if result.is_error():
        return {"reason": result.error.reason, "step": result.error.step.value}
    answer = result.ok
    coverage = answer.coverage
    return {
        "snapshot": answer.snapshot,
        "asked": coverage.asked,
        "answered": coverage.answered,
        "missing": [gap.shard for gap in coverage.missing],
    }
