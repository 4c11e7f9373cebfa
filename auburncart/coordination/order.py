"""The service that executes non-idempotent orders at most once."""

import asyncio

from eliot import start_action
from expression import Error, Ok, Result

from auburncart.coordination.admission import Admission
from auburncart.coordination.catalogue import Catalogue
from auburncart.coordination.choice import ReplicaChoice
from auburncart.coordination.holder import ClaimHolder
from auburncart.coordination.idempotency import canonical_key, check_age
from auburncart.coordination.observer import Observer
from auburncart.coordination.refusals import OrderRefusals
from auburncart.coordination.table import CurrentTable
from auburncart.coordination.upstream import Upstream
from auburncart.coordination.upstream_registry import UpstreamRegistry
from auburncart.exception import InputError, StoreUnavailableError, UpstreamError
from auburncart.state.failure import Ran, Refusal
from auburncart.state.order import (
    Claim,
    ClaimState,
    ClaimVerdict,
    OrderAnswer,
    OrderRequest,
    Verdict,
)
from auburncart.state.table import Row, find_row
from auburncart.state.upstream import OrderReply, UpstreamOrder
from auburncart.state.work import Work

__all__ = ["OrderService"]

RAN_BY_STATE = {
    ClaimState.SENDING: Ran.UNKNOWN,
    ClaimState.DONE: Ran.YES,
    ClaimState.REJECTED: Ran.NO,
    ClaimState.RELEASED: Ran.NO,
    ClaimState.UNKNOWN: Ran.UNKNOWN,
}


class OrderService:
    """Claims an order by a conditional write, sends it once, and stores the outcome.

    A claim is never taken over: an attempt that finds another holder's claim reports its state.
    Only the holder itself releases a claim, and only if it knows that it did not send the order. If
    the holder crashes, the outcome of its order stays unknown. Each order runs in a task of its
    own, which goes on when the caller times out or disconnects.

    :param holder: claims of this process.
    :param admission: admits orders together with searches, each order as one sub-query.
    :param epoch: seconds since the epoch at loop time 0.
    """

    def __init__(
        self,
        holder: ClaimHolder,
        catalogue: Catalogue,
        tables: CurrentTable,
        upstreams: UpstreamRegistry,
        admission: Admission,
        choice: ReplicaChoice,
        observer: Observer,
        epoch: float,
    ) -> None:
        self._holder = holder
        self._catalogue = catalogue
        self._tables = tables
        self._upstreams = upstreams
        self._admission = admission
        self._choice = choice
        self._observer = observer
        self._epoch = epoch
        self._tasks: set[asyncio.Task[Result[OrderAnswer, Refusal]]] = set()

    @property
    def in_flight(self) -> int:
        """Number of orders in progress, and of claims whose end is not stored yet."""
        return len(self._tasks) + self._holder.unsettled

    async def order(self, request: OrderRequest) -> Result[OrderAnswer, Refusal]:
        """Execute one order, or return what is certain about earlier attempts of it."""
        try:
            request = request._replace(key=canonical_key(request.key))
        except InputError as error:
            return Error(OrderRefusals(request).invalid_key(error))
        found = self._row(request)
        if found.is_error():
            return Error(found.error)
        row = found.ok
        task = asyncio.create_task(
            self._execute_logged(request, row), name=f"order {request.request_id}"
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def close(self, seconds: float) -> int:
        """Wait until the orders in flight end and their outcomes are stored, then cancel the rest.

        :param seconds: maximum seconds to wait.
        :return: number of orders whose outcome is not stored; their repeats find ``unknown``.
        """
        until = asyncio.get_running_loop().time() + seconds
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=seconds)
        remaining = len(self._tasks)
        for task in self._tasks:
            task.cancel()
        return remaining + await self._holder.close(until)

    def _row(self, request: OrderRequest) -> Result[Row, Refusal]:
        table = self._tables.table
        if table is None:
            return Error(OrderRefusals(request).not_ready("table"))
        row = find_row(table, request.customer, request.kind)
        return Ok(row) if row else Error(OrderRefusals(request).no_row())

    async def _execute_logged(
        self, request: OrderRequest, row: Row
    ) -> Result[OrderAnswer, Refusal]:
        loop = asyncio.get_running_loop()
        arrival = loop.time()
        with start_action(
            action_type="order", request_id=request.request_id, key=request.key
        ) as action:
            result = await self._admit_and_execute(request, row, arrival)
            ran = result.error.ran if result.is_error() else result.ok.ran
            action.add_success_fields(ran=ran.value)
        self._observer.request_ended(row.rank, ran.value, loop.time() - arrival)
        return result

    async def _admit_and_execute(
        self, request: OrderRequest, row: Row, arrival: float
    ) -> Result[OrderAnswer, Refusal]:
        work = Work(
            request.request_id, request.customer, request.kind, row.rank, request.deadline, arrival
        )
        admitted = await self._admission.admit(work, row)
        if admitted.is_error():
            return Error(OrderRefusals(request).not_admitted(admitted.error))
        try:
            return await self._route_and_execute(request)
        finally:
            admitted.ok.release()

    async def _route_and_execute(self, request: OrderRequest) -> Result[OrderAnswer, Refusal]:
        refusals = OrderRefusals(request)
        now = asyncio.get_running_loop().time()
        age = check_age(request.key, self._epoch + now)
        if age.expired or age.in_future:
            return Error(refusals.expired() if age.expired else refusals.in_future())
        shard_map = self._catalogue.current
        if shard_map is None:
            return Error(refusals.not_ready("shard map"))
        shard = shard_map.shards.get(request.shard)
        if shard is None:
            return Error(refusals.no_shard())
        candidates = self._upstreams.candidates(shard)
        if self._choice.choose(candidates, now, request.deadline) is None:
            return Error(refusals.no_upstream())
        return await self._claim_and_send(request, candidates)

    async def _claim_and_send(
        self, request: OrderRequest, candidates: list[Upstream]
    ) -> Result[OrderAnswer, Refusal]:
        claim = self._holder.make_claim(request)
        try:
            verdict = await self._holder.claim(claim, request.deadline)
        except StoreUnavailableError as error:
            return Error(OrderRefusals(request).not_claimed(error))
        if verdict.verdict is Verdict.HELD:
            return await self._send(request, claim, candidates)
        return self._report_claim(request, claim, verdict)

    def _report_claim(
        self, request: OrderRequest, own: Claim, verdict: ClaimVerdict
    ) -> Result[OrderAnswer, Refusal]:
        refusals = OrderRefusals(request)
        if verdict.claim is None:
            return Error(
                refusals.expired() if verdict.verdict is Verdict.EXPIRED else refusals.full()
            )
        if verdict.claim.digest != own.digest:
            return Error(refusals.key_reused())
        ran = RAN_BY_STATE[verdict.claim.state]
        return Ok(
            OrderAnswer(request.request_id, request.key, ran, verdict.claim.outcome, repeated=True)
        )

    async def _send(
        self, request: OrderRequest, claim: Claim, candidates: list[Upstream]
    ) -> Result[OrderAnswer, Refusal]:
        try:
            reply = await self._send_with_failover(request, candidates)
        except UpstreamError as error:
            if error.sent:
                await self._holder.finish(claim, ClaimState.UNKNOWN, None, request.deadline)
            else:
                await self._holder.release(claim, request.deadline)
            return Error(OrderRefusals(request).send_failed(error))
        state = ClaimState.DONE if reply.accepted else ClaimState.REJECTED
        await self._holder.finish(claim, state, reply.outcome, request.deadline)
        return Ok(OrderAnswer(request.request_id, request.key, RAN_BY_STATE[state], reply.outcome))

    async def _send_with_failover(
        self, request: OrderRequest, candidates: list[Upstream]
    ) -> OrderReply:
        """Send the order to one upstream, and to the next only if it certainly was not sent.

        :raises UpstreamError: failure of the last upstream that was tried.
        """
        order = UpstreamOrder(
            request.request_id,
            request.key,
            request.shard,
            request.kind,
            request.body,
            request.deadline,
        )
        remaining = list(candidates)
        failure = UpstreamError("no upstream is accepting work", step="route", sent=False)
        while remaining:
            now = asyncio.get_running_loop().time()
            upstream = self._choice.choose(remaining, now, request.deadline)
            if upstream is None or now >= request.deadline:
                break
            remaining.remove(upstream)
            try:
                return await upstream.order(order)
            except UpstreamError as error:
                if error.sent:
                    raise
                failure = error
        raise failure
