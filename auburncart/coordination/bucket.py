"""One bucket of claims: how a change is applied to it, and the task that writes it."""

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

MAX_CLAIMS = 900  # with the longest outcomes, so many still fit into one stored value
MAX_BURST_WRITES = 2  # writes without a delay in between: the claim of an order and its end
MAX_CONFLICT_DELAY_SECONDS = 0.01  # after the first conflict; doubles with each further one
MAX_WRITES = 8  # attempts to write one batch of changes before it fails
# Verdicts that count only if the bucket has just been read.
VERDICTS_OF_FRESH_READ = (Verdict.FOUND, Verdict.EXPIRED, Verdict.FULL)


class _PendingChange(NamedTuple):
    """A change that waits for the next write."""

    change: ClaimChange
    period: int
    done: asyncio.Future[ClaimVerdict]


def apply_change(
    bucket: ClaimBucket, change: ClaimChange, period: int
) -> tuple[ClaimBucket, ClaimVerdict]:
    """Return the bucket after a change, and the verdict on the change.

    :param bucket: the bucket, which is not modified.
    :param period: period of the key that the change is about.
    """
    if bucket.period > period:
        return bucket, ClaimVerdict(Verdict.EXPIRED)
    if bucket.period < period:
        bucket = ClaimBucket(period, {})
    claim = change.claim
    found = bucket.claims.get(claim.key)
    if not _may_change(found, change):
        assert found is not None
        held = found.holder == claim.holder and found.state is ClaimState.SENDING
        return bucket, ClaimVerdict(Verdict.HELD if held else Verdict.FOUND, found)
    if found is None and len(bucket.claims) >= MAX_CLAIMS:
        return bucket, ClaimVerdict(Verdict.FULL)
    claims = {**bucket.claims, claim.key: claim}
    return bucket._replace(claims=claims), ClaimVerdict(Verdict.HELD, claim)


def _may_change(found: Claim | None, change: ClaimChange) -> bool:
    if found is None:
        return True
    is_holder = found.holder == change.claim.holder
    if change.operation is ClaimOperation.CLAIM:
        same_order = found.digest == change.claim.digest
        return not is_holder and same_order and found.state is ClaimState.RELEASED
    return is_holder and found.state is ClaimState.SENDING


class BucketWriter:
    """Writes one bucket in a task, which ends when there is nothing more to write.

    :param name: name of the stored object.
    :param interval: mean seconds between two writes.
    :param rng: source of the jitter after a conflict.
    """

    def __init__(self, store: Store, name: str, interval: float, rng: random.Random) -> None:
        self._store = store
        self._rng = rng
        self._key: Key[ClaimBucket] = Key("claims", name)
        self._interval = interval
        self._pending: list[_PendingChange] = []
        self._change_arrived = asyncio.Event()
        self._write_times: deque[float] = deque(maxlen=MAX_BURST_WRITES)
        self._cached: Stored[ClaimBucket] | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self, on_end: Callable[[], object]) -> None:
        """Start the task; ``on_end()`` is called when it ends."""
        self._task = asyncio.create_task(self._run(on_end), name=f"claims {self._key.name}")

    async def submit(self, change: ClaimChange, period: int) -> ClaimVerdict:
        """Apply a change with the next write; it is skipped if the caller stops waiting for it."""
        done: asyncio.Future[ClaimVerdict] = asyncio.get_running_loop().create_future()
        self._pending.append(_PendingChange(change, period, done))
        self._change_arrived.set()
        return await done

    async def close(self) -> None:
        """Cancel the task and wait for its end."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self, on_end: Callable[[], object]) -> None:
        batch: list[_PendingChange] = []
        try:
            while await self._wait_for_changes():
                await self._wait_for_turn()
                batch, self._pending = self._pending, []
                await self._write_or_fail(batch)
        finally:
            on_end()
            for pending in (*batch, *self._pending):
                if not pending.done.done():
                    pending.done.set_exception(_unavailable("the writer of the bucket was stopped"))

    async def _wait_for_changes(self) -> bool:
        if not self._pending:
            self._change_arrived.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(MAX_BURST_WRITES * self._interval):
                    await self._change_arrived.wait()
        return bool(self._pending)

    async def _wait_for_turn(self) -> None:
        loop = asyncio.get_running_loop()
        if len(self._write_times) == MAX_BURST_WRITES:
            next_time = self._write_times[0] + MAX_BURST_WRITES * self._interval
            await asyncio.sleep(max(0.0, next_time - loop.time()))
        self._write_times.append(loop.time())

    async def _write_or_fail(self, batch: list[_PendingChange]) -> None:
        try:
            await self._write_with_retries(batch)
        except AuburncartError as error:
            self._cached = None
            sent = getattr(error, "sent", True)
            for pending in batch:
                if not pending.done.done():
                    failure = StoreUnavailableError(
                        error.reason, step=error.step, peer=error.peer, sent=sent
                    )
                    pending.done.set_exception(failure)

    async def _write_with_retries(self, batch: list[_PendingChange]) -> None:
        sent = False
        for attempt in range(MAX_WRITES):
            try:
                if await self._try_write(batch):
                    return
            except StoreConflictError:
                self._cached = None
                await asyncio.sleep(self._rng.uniform(0.0, MAX_CONFLICT_DELAY_SECONDS * 2**attempt))
            except StoreUnavailableError as error:
                self._cached = None
                if sent or not error.sent:
                    raise StoreUnavailableError(
                        error.reason, step=error.step, peer=error.peer, sent=sent or error.sent
                    ) from error
                sent = True
        raise _unavailable(f"write conflicts with other VMs in {MAX_WRITES} attempts")

    async def _try_write(self, batch: list[_PendingChange]) -> bool:
        just_read = self._cached is None
        stored = self._cached if self._cached is not None else await self._store.read(self._key)
        bucket = stored.value if stored else ClaimBucket(-1, {})
        changed = bucket
        verdicts = []
        for pending in batch:
            if pending.done.done():
                continue
            changed, verdict = apply_change(changed, pending.change, pending.period)
            verdicts.append((pending, verdict))
        if not just_read and any(
            verdict.verdict in VERDICTS_OF_FRESH_READ for _, verdict in verdicts
        ):
            self._cached = None
            return False
        if changed is not bucket:
            etag = await self._store.write(self._key, changed, stored.etag if stored else "")
            stored = Stored(changed, etag)
        self._cached = stored
        for pending, verdict in verdicts:
            if not pending.done.done():
                pending.done.set_result(verdict)
        return True


def _unavailable(reason: str) -> StoreUnavailableError:
    return StoreUnavailableError(reason, step="claim")
