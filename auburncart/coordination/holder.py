"""Holds the claims of one process, from the first write to the stored outcome."""

import asyncio
import itertools
import random
from typing import Any

import xxhash

from auburncart.coordination.backoff import Backoff
from auburncart.coordination.claims import Claims
from auburncart.coordination.observer import Observer
from auburncart.coordination.recent import RecentClaims
from auburncart.exception import StoreUnavailableError
from auburncart.state.order import (
    Claim,
    ClaimChange,
    ClaimOperation,
    ClaimState,
    ClaimVerdict,
    OrderRequest,
    Verdict,
)

__all__ = ["ClaimHolder", "truncate_outcome", "order_digest"]

MAX_OUTCOME_CHARACTERS = 160  # an outcome with a longer text is truncated
MAX_UNSETTLED_CLAIMS = 1000
MAX_BACKOFF_SECONDS = 2.0


def order_digest(request: OrderRequest) -> str:
    """Return a digest of the parts that identify an order.

    :return: 32 hexadecimal digits.
    """
    parts = (request.customer, request.kind, request.shard, request.body)
    text = "".join(f"{len(part)}:{part}" for part in parts)
    return xxhash.xxh3_128_hexdigest(text.encode())


class ClaimHolder:
    """Claims orders for one process, and makes sure that their outcomes are stored.

    A task for each claim repeats the write of its end until it succeeds.

    :param process: name of the process, never used by another.
    :param rng: source of the jitter between attempts.
    """

    def __init__(
        self, process: str, claims: Claims, observer: Observer, rng: random.Random
    ) -> None:
        self._process = process
        self._claims = claims
        self._observer = observer
        self._rng = rng
        self._recent = RecentClaims()
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def unsettled(self) -> int:
        """Number of claims whose end (finish or release) is not stored yet."""
        return len(self._tasks)

    def set_claims(self, claims: Claims) -> None:
        """Use ``claims`` for all further changes."""
        self._claims = claims

    def make_claim(self, request: OrderRequest) -> Claim:
        """Return a new claim, with a holder of its own."""
        holder = f"{self._process}/{next(self._numbers)}"
        return Claim(request.key, order_digest(request), ClaimState.SENDING, holder)

    async def claim(self, claim: Claim, deadline: float) -> ClaimVerdict:
        """Claim an order; it may be sent only after a verdict of ``HELD`` before the deadline.

        :param deadline: loop time in seconds.
        :raises StoreUnavailableError: the order is not claimed; a claim that may have been stored
            is released.
        """
        final = self._recent.final(claim.key)
        if final is not None:
            return ClaimVerdict(Verdict.FOUND, final)
        try:
            verdict = await self._claim_until(claim, deadline)
        except StoreUnavailableError:
            last = self._recent.last(claim.key)
            if last is None:
                raise
            return ClaimVerdict(Verdict.FOUND, last)
        if verdict.claim is not None:
            self._recent.add(verdict.claim)
        return verdict

    async def finish(self, claim: Claim, state: ClaimState, outcome: Any, deadline: float) -> None:
        """Store the outcome of a sent order; returns at the deadline, but keeps trying after it."""
        done = claim._replace(state=state, outcome=truncate_outcome(outcome))
        self._recent.add(done)
        await self._store_end(ClaimChange(ClaimOperation.FINISH, done), deadline)

    async def release(self, claim: Claim, deadline: float) -> None:
        """Release the claim of an order that was not sent, so that a repeat may send it."""
        change = _release_change(claim)
        self._recent.add(change.claim)
        await self._store_end(change, deadline)

    async def close(self, until: float) -> int:
        """Wait for the claims whose end is not stored yet, then abandon them.

        :param until: loop time in seconds.
        :return: number of claims abandoned.
        """
        if self._tasks:
            remaining = max(0.0, until - asyncio.get_running_loop().time())
            await asyncio.wait(self._tasks, timeout=remaining)
        remaining = len(self._tasks)
        for task in self._tasks:
            task.cancel()
        return remaining

    async def _claim_until(self, claim: Claim, deadline: float) -> ClaimVerdict:
        try:
            async with asyncio.timeout_at(deadline):
                return await self._claims.apply(ClaimChange(ClaimOperation.CLAIM, claim))
        except StoreUnavailableError as error:
            if error.sent:
                self._start_storing(_release_change(claim))
            raise
        except TimeoutError as error:
            self._start_storing(_release_change(claim))
            raise StoreUnavailableError(
                "the deadline passed before the claim was stored", step="claim"
            ) from error

    async def _store_end(self, change: ClaimChange, deadline: float) -> None:
        task = self._start_storing(change)
        if task is not None:
            remaining = max(0.0, deadline - asyncio.get_running_loop().time())
            await asyncio.wait((task,), timeout=remaining)

    def _start_storing(self, change: ClaimChange) -> asyncio.Task[None] | None:
        if len(self._tasks) >= MAX_UNSETTLED_CLAIMS:
            self._observer.count("claim_end_not_stored")
            return None
        task = asyncio.create_task(
            self._store_with_retries(change), name=f"claim {change.claim.key}"
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _store_with_retries(self, change: ClaimChange) -> None:
        backoff = Backoff(self._rng, max_seconds=MAX_BACKOFF_SECONDS)
        while True:
            try:
                await self._claims.apply(change)
                return
            except StoreUnavailableError:
                self._observer.count("claim_end_retried")
            await asyncio.sleep(backoff.next_delay())


def _release_change(claim: Claim) -> ClaimChange:
    return ClaimChange(ClaimOperation.RELEASE, claim._replace(state=ClaimState.RELEASED))


def truncate_outcome(outcome: Any) -> Any:
    """Return an outcome as it is stored: a long one is truncated."""
    text = repr(outcome)
    return (
        outcome
        if len(text) <= MAX_OUTCOME_CHARACTERS
        else {"shortened": text[:MAX_OUTCOME_CHARACTERS]}
    )
