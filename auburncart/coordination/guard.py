"""A store that is not asked while it is known to be down."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from auburncart.coordination.backoff import Backoff
from auburncart.coordination.interfaces import Key, Store, Stored
from auburncart.exception import ProtocolError, StoreConflictError, StoreUnavailableError
from auburncart.state.member import Member

__all__ = ["GuardedStore"]

T = TypeVar("T")

FAILURES_TO_SHUT = 2
MOST_CALLS = 16


class GuardedStore(Store):
    """Passes calls on to a store, and refuses them at once while it is failing.

    After some failures in a row one call at a time is let through, after a growing, jittered
    time; all others fail with ``sent=False``, so that it is certain that they changed nothing.
    Watches pass as they are, since whoever follows an object has waiting times of its own.

    :param store: the store.
    :param backoff: times between the calls that are let through.
    """

    def __init__(self, store: Store, backoff: Backoff) -> None:
        self._store = store
        self._backoff = backoff
        self._failures = 0
        self._next_try = 0.0
        self._trying = False
        self._places = asyncio.Semaphore(MOST_CALLS)

    @property
    def shut(self) -> bool:
        """Whether calls are being refused."""
        return self._failures >= FAILURES_TO_SHUT

    async def read(self, key: Key[T]) -> Stored[T] | None:
        """Return the object, or None if it does not exist."""
        return await self._pass(lambda: self._store.read(key))

    async def watch(self, key: Key[T], etag: str, wait: float) -> Stored[T] | None:
        """Wait until the object's tag differs from ``etag``."""
        return await self._store.watch(key, etag, wait)

    async def write(self, key: Key[T], value: T, etag: str) -> str:
        """Write on the condition that the object's tag is ``etag``."""
        return await self._pass(lambda: self._store.write(key, value, etag))

    async def members(self) -> tuple[Member, ...]:
        """Return the platform's list of live and leaving VMs."""
        return await self._pass(self._store.members)

    async def _pass(self, call: Callable[[], Awaitable[T]]) -> T:
        self._refuse_if_shut()
        async with self._places:
            self._refuse_if_shut()
            self._trying = self.shut
            try:
                result = await call()
            except StoreUnavailableError:
                self._failed()
                raise
            except (StoreConflictError, ProtocolError):
                self._answered()
                raise
            finally:
                self._trying = False
        self._answered()
        return result

    def _refuse_if_shut(self) -> None:
        now = asyncio.get_running_loop().time()
        if self.shut and (self._trying or now < self._next_try):
            raise StoreUnavailableError("the store is down", step="store", sent=False)

    def _answered(self) -> None:
        self._failures = 0
        self._backoff.reset()

    def _failed(self) -> None:
        self._failures += 1
        if self.shut:
            now = asyncio.get_running_loop().time()
            self._next_try = now + self._backoff.next_delay()
