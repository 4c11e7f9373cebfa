"""A circuit breaker in front of the platform's store."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from auburncart.coordination.backoff import Backoff
from auburncart.coordination.interfaces import Key, Store, Stored
from auburncart.exception import ProtocolError, StoreConflictError, StoreUnavailableError
from auburncart.state.member import Member

__all__ = ["CircuitBreakerStore"]

T = TypeVar("T")

FAILURES_TO_OPEN = 2
MAX_CONCURRENT_CALLS = 16


class CircuitBreakerStore(Store):
    """Forwards calls to a store, and refuses them at once while the store is failing.

    After ``FAILURES_TO_OPEN`` failures in a row the breaker opens: one probe call at a time is
    forwarded, after an exponential, jittered delay. All others fail with ``sent=False``, so that
    it is certain that they changed nothing. Watches are always forwarded, since whoever follows
    an object has a backoff of its own.

    :param store: the store.
    :param backoff: delays between probe calls.
    """

    def __init__(self, store: Store, backoff: Backoff) -> None:
        self._store = store
        self._backoff = backoff
        self._failures = 0
        self._next_probe = 0.0
        self._probing = False
        self._call_slots = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

    @property
    def is_open(self) -> bool:
        """Whether calls are refused at the moment."""
        return self._failures >= FAILURES_TO_OPEN

    async def read(self, key: Key[T]) -> Stored[T] | None:
        """Return the object, or None if it does not exist."""
        return await self._call(lambda: self._store.read(key))

    async def watch(self, key: Key[T], etag: str, wait: float) -> Stored[T] | None:
        """Wait until the object's tag differs from ``etag``."""
        return await self._store.watch(key, etag, wait)

    async def write(self, key: Key[T], value: T, etag: str) -> str:
        """Write on the condition that the object's tag is ``etag``."""
        return await self._call(lambda: self._store.write(key, value, etag))

    async def members(self) -> tuple[Member, ...]:
        """Return the platform's list of live and leaving VMs."""
        return await self._call(self._store.members)

    async def _call(self, call: Callable[[], Awaitable[T]]) -> T:
        self._refuse_if_open()
        async with self._call_slots:
            self._refuse_if_open()
            self._probing = self.is_open
            try:
                result = await call()
            except StoreUnavailableError:
                self._record_failure()
                raise
            except (StoreConflictError, ProtocolError):
                self._record_success()
                raise
            finally:
                self._probing = False
        self._record_success()
        return result

    def _refuse_if_open(self) -> None:
        now = asyncio.get_running_loop().time()
        if self.is_open and (self._probing or now < self._next_probe):
            raise StoreUnavailableError("the store is down", step="store", sent=False)

    def _record_success(self) -> None:
        self._failures = 0
        self._backoff.reset()

    def _record_failure(self) -> None:
        self._failures += 1
        if self.is_open:
            now = asyncio.get_running_loop().time()
            self._next_probe = now + self._backoff.next_delay()
