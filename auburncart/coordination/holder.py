"""The claims that one process holds, from the first write to the stored outcome."""

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
    ClaimState,
    ClaimStep,
    ClaimVerdict,
    OrderRequest,
    Verdict,
)

__all__ = ["ClaimHolder", "kept_outcome", "order_digest"]

LONGEST_OUTCOME = 160  # characters of its text
MOST_UNSETTLED = 1000
MOST_BACKOFF_SECONDS = 2.0


def order_digest(request: OrderRequest) -> str:
    """Return a digest of everything that makes two orders the same.

    :return: 32 hexadecimal digits.
    """
    parts = (request.customer, request.kind, request.shard, request.body)
    text = "".join(f"{len(part)}:{part}" for part in parts)
    return xxhash.xxh3_128_hexdigest(text.encode())


class ClaimHolder:
    """Claims orders for one process and sees that what became of them is stored.

    What cannot be stored at once is tried again by a task for each claim until it is.

    :param process: name that no other process ever had or will have.
    :param rng: source of the jitter between tries.
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
        """Number of claims whose end is not stored yet."""
        return len(self._tasks)

    def route(self, claims: Claims) -> None:
        """Apply changes through ``claims`` from now on."""
        self._claims = claims

    def make_claim(self, request: OrderRequest) -> Claim:
        """Return a claim of a try's own."""
        holder = f"{self._process}/{next(self._numbers)}"
        return Claim(request.key, order_digest(request), ClaimState.SENDING, holder)

    async def claim(self, claim: Claim, deadline: float) -> ClaimVerdict:
        """Claim an order; only a verdict of ``HELD`` before the deadline allows to send it.

        :param deadline: loop time in seconds.
        :raises StoreUnavailableError: it is not claimed; if it may have been, it is given back.
        """
        final = self._recent.final(claim.key)
        if final is not None:
            return ClaimVerdict(Verdict.FOUND, final)
        try:
            verdict = await self._apply_until(claim, deadline)
        except StoreUnavailableError:
            last = self._recent.last(claim.key)
            if last is None:
                raise
            return ClaimVerdict(Verdict.FOUND, last)
        if verdict.claim is not None:
            self._recent.remember(verdict.claim)
        return verdict

    async def finish(self, claim: Claim, state: ClaimState, outcome: Any, deadline: float) -> None:
        """Store what became of a sent order; waits until the deadline, but goes on after it."""
        done = claim._replace(state=state, outcome=kept_outcome(outcome))
        self._recent.remember(done)
        await self._settled(ClaimChange(ClaimStep.FINISH, done), deadline)

    async def release(self, claim: Claim, deadline: float) -> None:
        """Give back the claim of an order that was not sent, so that a repeat may send it."""
        change = _release(claim)
        self._recent.remember(change.claim)
        await self._settled(change, deadline)

    async def close(self, until: float) -> int:
        """Wait for the claims that are not settled yet, then give them up.

        :param until: loop time in seconds.
        :return: number of claims given up.
        """
        if self._tasks:
            left = max(0.0, until - asyncio.get_running_loop().time())
            await asyncio.wait(self._tasks, timeout=left)
        left = len(self._tasks)
        for task in self._tasks:
            task.cancel()
        return left

    async def _apply_until(self, claim: Claim, deadline: float) -> ClaimVerdict:
        try:
            async with asyncio.timeout_at(deadline):
                return await self._claims.apply(ClaimChange(ClaimStep.CLAIM, claim))
        except StoreUnavailableError as error:
            if error.sent:
                self._settle(_release(claim))
            raise
        except TimeoutError as error:
            self._settle(_release(claim))
            raise StoreUnavailableError("deadline passed", step="claim") from error

    async def _settled(self, change: ClaimChange, deadline: float) -> None:
        task = self._settle(change)
        if task is not None:
            left = max(0.0, deadline - asyncio.get_running_loop().time())
            await asyncio.wait((task,), timeout=left)

    def _settle(self, change: ClaimChange) -> asyncio.Task[None] | None:
        if len(self._tasks) >= MOST_UNSETTLED:
            self._observer.count("claim_end_not_stored")
            return None
        task = asyncio.create_task(self._retry(change), name=f"claim {change.claim.key}")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _retry(self, change: ClaimChange) -> None:
        backoff = Backoff(self._rng, max_seconds=MOST_BACKOFF_SECONDS)
        while True:
            try:
                await self._claims.apply(change)
                return
            except StoreUnavailableError:
                self._observer.count("claim_end_retried")
            await asyncio.sleep(backoff.next_delay())


def _release(claim: Claim) -> ClaimChange:
    return ClaimChange(ClaimStep.RELEASE, claim._replace(state=ClaimState.RELEASED))


def kept_outcome(outcome: Any) -> Any:
    """Return an outcome as it is stored: a long one is shortened to its first characters."""
    text = repr(outcome)
    return outcome if len(text) <= LONGEST_OUTCOME else {"shortened": text[:LONGEST_OUTCOME]}
