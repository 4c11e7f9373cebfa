"""One bucket of claims: what a change makes of it, and the task that writes it."""

import asyncio
import contextlib
import random
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from auburncart.coordination.interfaces import Key, Store, Stored
from auburncart.exception import AuburncartError, StoreConflictError, StoreUnavailableError
from auburncart.state.order import (
    Claim,
    ClaimBucket,
    ClaimChange,
    ClaimOperation,
    ClaimState,
    ClaimVerdict,
    Verdict,
)

__all__ = ["BucketWriter", "apply_change"]

MOST_CLAIMS = 900  # a bucket of this many claims with the longest outcomes fits into one value
BURST = 2  # writes that may follow each other at once: an order's claim and its end
CONFLICT_SECONDS = 0.01  # longest pause after the first conflict; it doubles with each
MOST_WRITES = 8  # tries of one group before it is given up
KINDS_THAT_FIND = (Verdict.FOUND, Verdict.EXPIRED, Verdict.FULL)


class _Pending(NamedTuple):
    """A change that waits to be applied."""

    change: ClaimChange
    period: int
    done: asyncio.Future[ClaimVerdict]


def apply_change(
    bucket: ClaimBucket, change: ClaimChange, period: int
) -> tuple[ClaimBucket, ClaimVerdict]:
    """Return the bucket after a change, and the verdict on it.

    :param bucket: the bucket, which is not changed itself.
    :param period: period of the change's key.
    """
    if bucket.period > period:
        return bucket, ClaimVerdict(Verdict.EXPIRED)
    if bucket.period < period:
        bucket = ClaimBucket(period, {})
    wanted = change.claim
    found = bucket.claims.get(wanted.key)
    if not _may_change(found, change):
        assert found is not None
        held = found.holder == wanted.holder and found.state is ClaimState.SENDING
        return bucket, ClaimVerdict(Verdict.HELD if held else Verdict.FOUND, found)
    if found is None and len(bucket.claims) >= MOST_CLAIMS:
        return bucket, ClaimVerdict(Verdict.FULL)
    claims = {**bucket.claims, wanted.key: wanted}
    return bucket._replace(claims=claims), ClaimVerdict(Verdict.HELD, wanted)


def _may_change(found: Claim | None, change: ClaimChange) -> bool:
    if found is None:
        return True
    own = found.holder == change.claim.holder
    if change.operation is ClaimOperation.CLAIM:
        same = found.digest == change.claim.digest
        return not own and same and found.state is ClaimState.RELEASED
    return own and found.state is ClaimState.SENDING


class BucketWriter:
    """Writes one bucket by one task, which ends when there is nothing more to write.

    :param name: name of the stored object.
    :param interval: mean seconds between two writes.
    :param rng: source of the pauses after a conflict.
    """

    def __init__(self, store: Store, name: str, interval: float, rng: random.Random) -> None:
        self._store = store
        self._rng = rng
        self._key: Key[ClaimBucket] = Key("claims", name)
        self._interval = interval
        self._pending: list[_Pending] = []
        self._wake = asyncio.Event()
        self._times: deque[float] = deque(maxlen=BURST)
        self._known: Stored[ClaimBucket] | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self, ended: Callable[[], object]) -> None:
        """Begin to write; ``ended()`` is called when the task has nothing more to do."""
        self._task = asyncio.create_task(self._run(ended), name=f"claims {self._key.name}")

    async def put(self, change: ClaimChange, period: int) -> ClaimVerdict:
        """Apply a change with the next write; one that nobody waits for any more is left out."""
        done: asyncio.Future[ClaimVerdict] = asyncio.get_running_loop().create_future()
        self._pending.append(_Pending(change, period, done))
        self._wake.set()
        return await done

    async def close(self) -> None:
        """End the task."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self, ended: Callable[[], object]) -> None:
        group: list[_Pending] = []
        try:
            while await self._more():
                await self._pace()
                group, self._pending = self._pending, []
                await self._settle(group)
        finally:
            ended()
            for waiting in (*group, *self._pending):
                if not waiting.done.done():
                    waiting.done.set_exception(_unavailable("ended"))

    async def _more(self) -> bool:
        if not self._pending:
            self._wake.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(BURST * self._interval):
                    await self._wake.wait()
        return bool(self._pending)

    async def _pace(self) -> None:
        loop = asyncio.get_running_loop()
        if len(self._times) == BURST:
            next_time = self._times[0] + BURST * self._interval
            await asyncio.sleep(max(0.0, next_time - loop.time()))
        self._times.append(loop.time())

    async def _settle(self, group: list[_Pending]) -> None:
        try:
            await self._commit(group)
        except AuburncartError as error:
            self._known = None
            sent = getattr(error, "sent", True)
            for waiting in group:
                if not waiting.done.done():
                    failure = StoreUnavailableError(
                        error.reason, step=error.step, peer=error.peer, sent=sent
                    )
                    waiting.done.set_exception(failure)

    async def _commit(self, group: list[_Pending]) -> None:
        sent = False
        for attempt in range(MOST_WRITES):
            try:
                if await self._try(group):
                    return
            except StoreConflictError:
                self._known = None
                await asyncio.sleep(self._rng.uniform(0.0, CONFLICT_SECONDS * 2**attempt))
            except StoreUnavailableError as error:
                self._known = None
                if sent or not error.sent:
                    raise StoreUnavailableError(
                        error.reason, step=error.step, peer=error.peer, sent=sent or error.sent
                    ) from error
                sent = True
        raise _unavailable(f"changed by others {MOST_WRITES} times")

    async def _try(self, group: list[_Pending]) -> bool:
        fresh = self._known is None
        stored = self._known if self._known is not None else await self._store.read(self._key)
        bucket = stored.value if stored else ClaimBucket(-1, {})
        changed = bucket
        verdicts = []
        for waiting in group:
            if waiting.done.done():
                continue
            changed, verdict = apply_change(changed, waiting.change, waiting.period)
            verdicts.append((waiting, verdict))
        if not fresh and any(verdict.verdict in KINDS_THAT_FIND for _, verdict in verdicts):
            self._known = None
            return False
        if changed is not bucket:
            etag = await self._store.write(self._key, changed, stored.etag if stored else "")
            stored = Stored(changed, etag)
        self._known = stored
        for waiting, verdict in verdicts:
            if not waiting.done.done():
                waiting.done.set_result(verdict)
        return True


def _unavailable(reason: str) -> StoreUnavailableError:
    return StoreUnavailableError(reason, step="claim")
