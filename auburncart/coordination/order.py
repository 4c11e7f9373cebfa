"""The service that carries out non-idempotent orders at most once."""

import asyncio
from typing import NamedTuple

import xxhash
from eliot import start_action
from expression import Error, Ok, Result

from auburncart.coordination.catalogue import Catalogue
from auburncart.coordination.choice import ReplicaChoice
from auburncart.coordination.fleet import Fleet
from auburncart.coordination.interfaces import Key, Store, Stored
from auburncart.coordination.observer import Observer
from auburncart.coordination.table import TableKeeper
from auburncart.coordination.upstream import Upstream
from auburncart.exception import StoreConflictError, StoreUnavailableError, UpstreamError
from auburncart.state import (
    Claim,
    ClaimState,
    OrderAnswer,
    OrderReply,
    OrderRequest,
    Ran,
    Refusal,
    RefusalCode,
    Row,
    Step,
    UpstreamOrder,
    find_row,
)

__all__ = ["OrderService", "order_digest"]

RETRY_AFTER_SECONDS = 2.0

RAN_BY_STATE = {
    ClaimState.SENDING: Ran.UNKNOWN,
    ClaimState.DONE: Ran.YES,
    ClaimState.NOT_RUN: Ran.NO,
    ClaimState.UNKNOWN: Ran.UNKNOWN,
}


class _Held(NamedTuple):
    """A claim that this try holds, with the tag of its stored version."""

    claim: Claim
    etag: str


def order_digest(request: OrderRequest) -> str:
    """Return a digest of everything that makes two orders the same.

    :return: 32 hexadecimal digits.
    """
    parts = (request.customer, request.kind, request.shard, request.body)
    text = "".join(f"{len(part)}:{part}" for part in parts)
    return xxhash.xxh3_128_hexdigest(text.encode())


class OrderService:
    """Claims an order by a conditional write, sends it once, and stores the outcome.

    A claim is never taken over: whoever finds another's claim reports its state. A holder that
    dies leaves its order with outcome unknown.

    :param name: name of this VM's process, unique among all processes that ever hold claims.
    """

    def __init__(
        self,
        name: str,
        store: Store,
        catalogue: Catalogue,
        tables: TableKeeper,
        fleet: Fleet,
        choice: ReplicaChoice,
        observer: Observer,
    ) -> None:
        self._name = name
        self._store = store
        self._catalogue = catalogue
        self._tables = tables
        self._fleet = fleet
        self._choice = choice
        self._observer = observer

    async def order(self, request: OrderRequest) -> Result[OrderAnswer, Refusal]:
        """Carry out one order, or say truly what became of it."""
        table = self._tables.table
        row = find_row(table, request.customer, request.kind) if table else None
        if row is None:
            reason = f"no row for customer {request.customer!r} and kind {request.kind!r}"
            return Error(Refusal(RefusalCode.BAD_REQUEST, reason))
        arrival = asyncio.get_running_loop().time()
        with start_action(
            action_type="order", request_id=request.request_id, key=request.key
        ) as action:
            result = await self._routed(request, row)
            ran = result.error.ran if result.is_error() else result.ok.ran
            action.add_success_fields(ran=ran.value)
        self._observer.request_ended(
            row.rank, ran.value, asyncio.get_running_loop().time() - arrival
        )
        return result

    async def _routed(self, request: OrderRequest, row: Row) -> Result[OrderAnswer, Refusal]:
        now = asyncio.get_running_loop().time()
        shard_map = self._catalogue.current
        shard = shard_map.shards.get(request.shard) if shard_map else None
        if shard is None:
            reason = f"no shard {request.shard!r}"
            return Error(Refusal(RefusalCode.BAD_REQUEST, reason, step=Step.ROUTE))
        upstream = self._choice.choose(self._fleet.candidates(shard), now)
        if upstream is None:
            reason = f"no upstream of shard {request.shard!r} takes work"
            return Error(_unavailable(Step.ROUTE, reason))
        claimed = await self._claim(request)
        if claimed.is_error():
            return Error(claimed.error)
        if isinstance(claimed.ok, Claim):
            return Ok(_stored_answer(request, claimed.ok))
        return await self._send(request, claimed.ok, upstream)

    async def _claim(self, request: OrderRequest) -> Result[_Held | Claim, Refusal]:
        key: Key[Claim] = Key("claims", xxhash.xxh3_128_hexdigest(request.key.encode()))
        holder = f"{self._name}/{request.request_id}"
        claim = Claim(request.key, order_digest(request), ClaimState.SENDING, holder)
        try:
            return Ok(_Held(claim, await self._store.write(key, claim, "")))
        except StoreConflictError:
            return await self._existing(key, claim)
        except StoreUnavailableError:
            return await self._after_lost_reply(key, claim)

    async def _existing(self, key: Key[Claim], own: Claim) -> Result[_Held | Claim, Refusal]:
        try:
            stored = await self._store.read(key)
        except StoreUnavailableError as error:
            return Error(_unknown(f"another try holds the key; {error}"))
        if stored is None:
            return Error(_unknown("another try held the key"))
        return self._compare(stored, own)

    async def _after_lost_reply(
        self, key: Key[Claim], own: Claim
    ) -> Result[_Held | Claim, Refusal]:
        try:
            stored = await self._store.read(key)
        except StoreUnavailableError as error:
            return Error(_unavailable(Step.CLAIM, f"the order was not sent: {error}"))
        if stored is None:
            return Error(_unavailable(Step.CLAIM, "the order was not sent: claim not written"))
        return self._compare(stored, own)

    def _compare(self, stored: Stored[Claim], own: Claim) -> Result[_Held | Claim, Refusal]:
        if stored.value.holder == own.holder:
            return Ok(_Held(stored.value, stored.etag))
        if stored.value.digest != own.digest:
            reason = "the idempotency key belongs to another order"
            return Error(Refusal(RefusalCode.CONFLICT, reason, step=Step.CLAIM))
        return Ok(stored.value)

    async def _send(
        self, request: OrderRequest, held: _Held, upstream: Upstream
    ) -> Result[OrderAnswer, Refusal]:
        order = UpstreamOrder(
            request.request_id,
            request.key,
            request.shard,
            request.kind,
            request.body,
            request.deadline,
        )
        try:
            reply = await upstream.order(order)
        except UpstreamError as error:
            state = ClaimState.UNKNOWN if error.sent else ClaimState.NOT_RUN
            await self._finish(held, state, None)
            return Error(_failed(error))
        return await self._replied(request, held, reply)

    async def _replied(
        self, request: OrderRequest, held: _Held, reply: OrderReply
    ) -> Result[OrderAnswer, Refusal]:
        state = ClaimState.DONE if reply.accepted else ClaimState.NOT_RUN
        await self._finish(held, state, reply.outcome)
        return Ok(OrderAnswer(request.request_id, request.key, RAN_BY_STATE[state], reply.outcome))

    async def _finish(self, held: _Held, state: ClaimState, outcome: object) -> None:
        key: Key[Claim] = Key("claims", xxhash.xxh3_128_hexdigest(held.claim.key.encode()))
        claim = held.claim._replace(state=state, outcome=outcome)
        try:
            await self._store.write(key, claim, held.etag)
        except (StoreConflictError, StoreUnavailableError):
            self._observer.counted("claim_outcome_not_stored")


def _stored_answer(request: OrderRequest, claim: Claim) -> OrderAnswer:
    ran = RAN_BY_STATE[claim.state]
    return OrderAnswer(request.request_id, request.key, ran, claim.outcome, repeated=True)


def _unavailable(step: Step, reason: str) -> Refusal:
    return Refusal(RefusalCode.UNAVAILABLE, reason, Ran.NO, RETRY_AFTER_SECONDS, step)


def _unknown(reason: str) -> Refusal:
    return Refusal(RefusalCode.UNAVAILABLE, reason, Ran.UNKNOWN, RETRY_AFTER_SECONDS, Step.CLAIM)


def _failed(error: UpstreamError) -> Refusal:
    ran = Ran.UNKNOWN if error.sent else Ran.NO
    code = RefusalCode.FAILED if error.sent else RefusalCode.UNAVAILABLE
    return Refusal(code, str(error), ran, 0.0, Step.SEND, error.peer)
